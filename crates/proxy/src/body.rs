//! Bodies as hyper takes them.

use bytes::Bytes;
use corkhollow_engine::{BodyFrame, BufferedBody, ClientBody, IncompleteBody};
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// Pieces on their way out.
pub struct BufferedBodyReader {
    pieces: Rc<BufferedBody>,
    at: usize,
    left: u64,
}

impl BufferedBodyReader {
    pub fn new(pieces: Rc<BufferedBody>) -> Self {
        BufferedBodyReader { left: pieces.len(), pieces, at: 0 }
    }

    fn next(&mut self) -> Option<Frame<Bytes>> {
        let piece = self.pieces.chunk(self.at).cloned()?;
        self.at += 1;
        self.left -= piece.len() as u64;
        Some(Frame::data(piece))
    }
}

/// The body of a request on its way to a server.
pub enum RequestBody {
    /// All of it is here.
    Buffered(BufferedBodyReader),
    /// As it comes from the client.
    Stream {
        body: ClientBody,
        /// The server has not asked for it yet (`Expect: 100-continue`).
        continue_wait: Option<Pin<Box<dyn Future<Output = ()>>>>,
    },
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        match self.get_mut() {
            RequestBody::Buffered(body) => Poll::Ready(body.next().map(Ok)),
            RequestBody::Stream { body, continue_wait } => {
                if let Some(waiting) = continue_wait {
                    ready!(waiting.as_mut().poll(cx));
                    *continue_wait = None;
                }
                body.as_mut().poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(body) => body.left == 0,
            RequestBody::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => SizeHint::with_exact(body.left),
            RequestBody::Stream { body, .. } => body.size_hint(),
        }
    }
}

/// What goes back to a client.
pub enum AnswerBody {
    Text(Option<Bytes>),
    Buffered(BufferedBodyReader),
    /// A long answer as it comes.
    Stream {
        pieces: mpsc::Receiver<BodyFrame>,
        length: Option<u64>,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Poll::Ready(text.take().map(|t| Ok(Frame::data(t)))),
            AnswerBody::Buffered(body) => Poll::Ready(body.next().map(Ok)),
            AnswerBody::Stream { pieces, .. } => pieces.poll_recv(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_none(),
            AnswerBody::Buffered(body) => body.left == 0,
            AnswerBody::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |t| t.len() as u64)),
            AnswerBody::Buffered(body) => SizeHint::with_exact(body.left),
            AnswerBody::Stream { length, .. } => length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
