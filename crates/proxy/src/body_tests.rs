//! Bodies on their way to hyper's write queue.

use crate::body::{AnswerBody, RequestBody};
use bytes::Bytes;
use corkhollow_engine::{BodyFrame, IncompleteBody};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A connection's read buffer, at its largest.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A request body that is streamed from a channel.
struct ChannelBody(mpsc::Receiver<BodyFrame>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyFrame>> {
        self.0.poll_recv(cx)
    }
}

/// Sends frames of read buffers through a body, and checks which of the buffers stay in memory.
async fn check_kept_buffers(
    sender: mpsc::Sender<BodyFrame>,
    mut body: impl Body<Data = Bytes, Error = IncompleteBody> + Unpin,
) {
    for (frame_bytes, keeps_buffer) in [(1, false), (256, false), (8_000, false), (60_000, true)] {
        let read_buffer = Bytes::from(vec![b'x'; READ_BUFFER_BYTES]);
        sender.send(Ok(Frame::data(read_buffer.slice(..frame_bytes)))).await.unwrap();
        let data = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(data, read_buffer[..frame_bytes]);
        assert_eq!(!read_buffer.is_unique(), keeps_buffer, "a frame of {frame_bytes} bytes");
    }
}

/// Guards against short frames that keep whole read buffers in memory while they wait for a slow reader. A long
/// frame is passed on without a copy.
#[tokio::test]
async fn a_short_frame_of_a_streamed_answer_does_not_keep_its_read_buffer() {
    let (to_client, frames) = mpsc::channel(1);
    check_kept_buffers(to_client, AnswerBody::Stream { frames, length: None }).await;
}

/// The same for a request that is streamed to a server.
#[tokio::test]
async fn a_short_frame_of_a_streamed_request_does_not_keep_its_read_buffer() {
    let (to_server, frames) = mpsc::channel(1);
    let body = RequestBody::Stream { body: Box::pin(ChannelBody(frames)), continue_wait: None };
    check_kept_buffers(to_server, body).await;
}
