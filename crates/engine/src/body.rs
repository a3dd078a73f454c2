//! Message bodies held in memory.

use bytes::{Bytes, BytesMut};
use corkhollow_plan::limits::Lease;

/// The first block of a body; each further one is as long as all blocks before it, up to [`MAX_BLOCK_BYTES`].
const MIN_BLOCK_BYTES: usize = 512;
/// At most this much of a body's memory is unused, unless a single chunk is longer.
const MAX_BLOCK_BYTES: usize = 16 << 10;

/// Collects a body as it is received.
///
/// Chunks are copied: a chunk is a slice of the buffer that its connection was read into, and would keep all of
/// that buffer in memory, which may be thousands of times longer. The lease counts the blocks that hold the
/// copies.
#[derive(Debug)]
pub struct BodyBuffer {
    full_blocks: Vec<Bytes>,
    last_block: BytesMut,
    len: u64,
    lease: Lease,
}

impl BodyBuffer {
    /// An empty body whose memory is charged to `lease`.
    pub fn new(lease: Lease) -> Self {
        BodyBuffer { full_blocks: Vec::new(), last_block: BytesMut::new(), len: 0, lease }
    }

    /// Appends a chunk. Returns false and appends nothing if the memory budget has no room for it.
    pub fn push(&mut self, chunk: &[u8]) -> bool {
        let room = self.last_block.capacity() - self.last_block.len();
        let (head, rest) = chunk.split_at(room.min(chunk.len()));
        let next_block_bytes = (self.len as usize).clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES).max(rest.len());
        if !rest.is_empty() && !self.lease.grow(next_block_bytes) {
            return false;
        }
        self.last_block.extend_from_slice(head);
        if !rest.is_empty() {
            self.start_block(next_block_bytes);
            self.last_block.extend_from_slice(rest);
        }
        self.len += chunk.len() as u64;
        true
    }

    /// Puts the last block, which is full, with the others, and starts a new one.
    fn start_block(&mut self, bytes: usize) {
        let full_block = std::mem::replace(&mut self.last_block, BytesMut::with_capacity(bytes));
        if !full_block.is_empty() {
            self.full_blocks.push(full_block.freeze());
        }
    }

    /// Length in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The body received so far.
    pub fn finish(mut self) -> BufferedBody {
        self.start_block(0);
        BufferedBody { blocks: self.full_blocks, len: self.len, lease: self.lease }
    }
}

/// A complete body, held so that it can be sent again without copying.
#[derive(Debug)]
pub struct BufferedBody {
    blocks: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl BufferedBody {
    /// An empty body.
    pub fn empty(lease: Lease) -> Self {
        BodyBuffer::new(lease).finish()
    }

    /// Length in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The block at `index`, in the order of the body.
    pub fn block(&self, index: usize) -> Option<&Bytes> {
        self.blocks.get(index)
    }

    /// The blocks, and the lease that accounts for them in the memory budget.
    pub fn into_parts(self) -> (Vec<Bytes>, Lease) {
        (self.blocks, self.lease)
    }
}
