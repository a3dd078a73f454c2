//! Bodies as they are held.

use bytes::Bytes;
use corkhollow_plan::limits::Lease;

/// A whole body, in the pieces in which it came: it can be sent again without a copy.
#[derive(Debug)]
pub struct BufferedBody {
    pieces: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl BufferedBody {
    /// Nothing yet; what comes is counted against the lease.
    pub fn new(lease: Lease) -> Self {
        BufferedBody { pieces: Vec::new(), len: 0, lease }
    }

    /// Adds a piece; false, with nothing added, where the budget has no room for it.
    pub fn push(&mut self, piece: Bytes) -> bool {
        let fits = piece.is_empty() || self.lease.grow(piece.len());
        if fits && !piece.is_empty() {
            self.len += piece.len() as u64;
            self.pieces.push(piece);
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
    pub fn piece(&self, at: usize) -> Option<&Bytes> {
        self.pieces.get(at)
    }

    /// The pieces, and what holds their bytes in the budget.
    pub fn into_parts(self) -> (Vec<Bytes>, Lease) {
        (self.pieces, self.lease)
    }
}
