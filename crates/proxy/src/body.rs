//! Bodies as hyper takes them.

use bytes::Bytes;
use corkhollow_engine::{Broken, Pieces};
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Pieces on their way out.
pub struct PieceBody {
    pieces: Rc<Pieces>,
    at: usize,
    left: u64,
}

impl PieceBody {
    pub fn new(pieces: Rc<Pieces>) -> Self {
        PieceBody { left: pieces.len(), pieces, at: 0 }
    }
}

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.piece(self.at).cloned();
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
