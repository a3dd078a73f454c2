//! Bodies as they are held.

use bytes::Bytes;
use corkhollow_plan::limits::Lease;

/// A whole body, in the pieces in which it came: it can be sent again without a copy.
#[derive(Debug)]
pub struct BufferedBody {
    chunks: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl BufferedBody {
    /// Nothing yet; what comes is counted against the lease.
    pub fn new(lease: Lease) -> Self {
        BufferedBody { chunks: Vec::new(), len: 0, lease }
    }

    /// Adds a piece; false, with nothing added, where the budget has no room for it.
    pub fn push(&mut self, chunk: Bytes) -> bool {
        let fits = chunk.is_empty() || self.lease.grow(chunk.len());
        if fits && !chunk.is_empty() {
            self.len += chunk.len() as u64;
            self.chunks.push(chunk);
        }
        fits
    }

    /// Bytes in all.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether there is no byte.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// One of the pieces, in the order in which they came.
    pub fn chunk(&self, index: usize) -> Option<&Bytes> {
        self.chunks.get(index)
    }

    /// The pieces, and what holds their bytes in the budget.
    pub fn into_parts(self) -> (Vec<Bytes>, Lease) {
        (self.chunks, self.lease)
    }
}
