//! Bodies on their way to hyper's write queue.

use crate::body::AnswerBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc;

/// A connection's read buffer, at its largest.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Guards against short frames that keep whole read buffers in memory while they wait for a slow reader. A long
/// frame is passed on without a copy.
#[tokio::test]
async fn a_short_frame_of_a_streamed_answer_does_not_keep_its_read_buffer() {
    let (to_client, frames) = mpsc::channel(1);
    let mut body = AnswerBody::Stream { frames, length: None };
    for (frame_bytes, keeps_buffer) in [(1, false), (256, false), (8_000, false), (60_000, true)] {
        let read_buffer = Bytes::from(vec![b'x'; READ_BUFFER_BYTES]);
        to_client.send(Ok(Frame::data(read_buffer.slice(..frame_bytes)))).await.unwrap();
        let data = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(data, read_buffer[..frame_bytes]);
        assert_eq!(!read_buffer.is_unique(), keeps_buffer, "a frame of {frame_bytes} bytes");
    }
}
