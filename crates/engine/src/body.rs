//! Message bodies held in memory.

use bytes::Bytes;
use corkhollow_plan::limits::Lease;

/// A complete body in the chunks in which it was received, so that it can be sent again without copying.
#[derive(Debug)]
pub struct BufferedBody {
    chunks: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl BufferedBody {
    /// An empty body whose chunks are charged to `lease`.
    pub fn new(lease: Lease) -> Self {
        BufferedBody { chunks: Vec::new(), len: 0, lease }
    }

    /// Appends a chunk. Returns false and appends nothing if the memory budget has no room for it.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        let fits = chunk.is_empty() || self.lease.grow(chunk.len());
        if fits && !chunk.is_empty() {
            self.len += chunk.len() as u64;
            self.chunks.push(chunk);
        }
        fits
    }

    /// Length in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The chunk at `index`, in the order of arrival.
    pub fn chunk(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)
    }

    /// The chunks, and the lease that accounts for them in the memory budget.
    pub fn into_parts(self) -> (Vec<Bytes>, Lease) {
        (self.chunks, self.lease)
    }
}
