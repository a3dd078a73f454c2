//! Bodies as they are held and passed on.

use super::budget::Lease;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A whole body, in the pieces in which it came: it can be sent again without a copy.
#[derive(Debug)]
pub struct Pieces {
    pieces: Vec<Bytes>,
    len: u64,
    lease: Lease,
}

impl Pieces {
    pub fn new(lease: Lease) -> Self {
        Pieces { pieces: Vec::new(), len: 0, lease }
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

    pub fn len(&self) -> u64 {
        self.len
    }

    /// The pieces, and what holds their bytes in the budget.
    pub fn into_parts(self) -> (Vec<Bytes>, Lease) {
        (self.pieces, self.lease)
    }
}

/// Pieces on their way out.
pub struct PieceBody {
    pieces: Rc<Pieces>,
    at: usize,
    left: u64,
}

impl PieceBody {
    pub fn new(pieces: Rc<Pieces>) -> Self {
        PieceBody { left: pieces.len, pieces, at: 0 }
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pieces.get(self.at).cloned();
        if let Some(piece) = &piece {
            self.at += 1;
            self.left -= piece.len() as u64;
        }
        Poll::Ready(piece.map(|p| Ok(Frame::data(p))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// The server's side of a long answer has broken: the client has to see that it is cut.
#[derive(Debug, thiserror::Error)]
#[error("the answer broke off")]
pub struct Broken;

/// What goes back to a client.
pub enum AnswerBody {
    Text(Option<Bytes>),
    Whole(PieceBody),
    /// A long answer as it comes.
    Stream {
        pieces: mpsc::Receiver<Result<Bytes, Broken>>,
        length: Option<u64>,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Poll::Ready(text.take().map(|t| Ok(Frame::data(t)))),
            AnswerBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map(|f| f.map(|f| f.map_err(|never| match never {})))
            }
            AnswerBody::Stream { pieces, .. } => pieces.poll_recv(cx).map(|p| p.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_none(),
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Stream { length, .. } => length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
