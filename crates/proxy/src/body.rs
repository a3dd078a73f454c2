//! Message bodies in the form that hyper sends.

use bytes::Bytes;
use corkhollow_engine::{BodyFrame, BufferedBody, ClientBody, IncompleteBody};
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::sync::mpsc;

/// Frames shorter than this are copied before they are queued for writing.
const MAX_COPIED_FRAME_BYTES: usize = 16 << 10;

/// Prepares a frame of a streamed body for hyper's queue, where it waits until the receiver reads it. A frame is
/// a slice of the buffer that its connection was read into, and would keep all of that buffer in memory: a short
/// one is copied.
fn detach_from_read_buffer(frame: Frame<Bytes>) -> Frame<Bytes> {
    frame.map_data(|data| match data.len() {
        ..MAX_COPIED_FRAME_BYTES => Bytes::copy_from_slice(&data),
        _ => data,
    })
}

/// Reads a buffered body, which several attempts may share.
pub struct BufferedBodyReader {
    body: Rc<BufferedBody>,
    next_block: usize,
    bytes_left: u64,
}

impl BufferedBodyReader {
    pub fn new(body: Rc<BufferedBody>) -> Self {
        BufferedBodyReader { bytes_left: body.len(), body, next_block: 0 }
    }

    fn next(&mut self) -> Option<Frame<Bytes>> {
        let block = self.body.block(self.next_block).cloned()?;
        self.next_block += 1;
        self.bytes_left -= block.len() as u64;
        Some(Frame::data(block))
    }
}

/// The body of a request to a server.
pub enum RequestBody {
    /// Received completely.
    Buffered(BufferedBodyReader),
    /// Streamed from the client.
    Stream {
        body: ClientBody,
        /// With `Expect: 100-continue`, completes when the body may be sent.
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
                let frame = ready!(body.as_mut().poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map(detach_from_read_buffer)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(body) => body.bytes_left == 0,
            RequestBody::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(body) => SizeHint::with_exact(body.bytes_left),
            RequestBody::Stream { body, .. } => body.size_hint(),
        }
    }
}

/// The body of an answer to a client.
pub enum AnswerBody {
    Text(Option<Bytes>),
    Buffered(BufferedBodyReader),
    /// Streamed from the server.
    Stream {
        frames: mpsc::Receiver<BodyFrame>,
        length: Option<u64>,
    },
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        match self.get_mut() {
            AnswerBody::Text(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            AnswerBody::Buffered(body) => Poll::Ready(body.next().map(Ok)),
            AnswerBody::Stream { frames, .. } => {
                let frame = ready!(frames.poll_recv(cx));
                Poll::Ready(frame.map(|frame| frame.map(detach_from_read_buffer)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Text(text) => text.is_none(),
            AnswerBody::Buffered(body) => body.bytes_left == 0,
            AnswerBody::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Text(text) => SizeHint::with_exact(text.as_ref().map_or(0, |text| text.len() as u64)),
            AnswerBody::Buffered(body) => SizeHint::with_exact(body.bytes_left),
            AnswerBody::Stream { length, .. } => length.map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
