//! Forwards answers of any HTTP/1.1 server: with any status, and with bodies streamed as they arrive.

use super::connection::ServerConnection;
use super::upstreams::Upstreams;
use crate::headers::{strip_hop_by_hop, NOT_PROCESSED};
use corkhollow_balance::interface::Ending;
use corkhollow_engine::{Answer, AttemptId, BodyBuffer, BodyFrame, Engine, IncompleteBody};
use corkhollow_plan::limits::Arrival;
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::{Response, StatusCode};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::sync::mpsc;

/// Body bytes that are already available are buffered up to this limit; the rest is streamed.
const MAX_GATHERED_BYTES: u64 = 64 * 1024;
/// How often the connection is polled again for a frame that is not available yet, before the rest of the
/// body is streamed.
const MAX_EXTRA_POLLS: usize = 3;

/// Classifies an answer by its status, as evidence on the server's health. A 500 is weak evidence: the
/// request alone may be the cause, and another server would probably answer the same.
fn classify(status: StatusCode, not_processed: bool) -> Ending {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Ending::Full,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            Ending::Error
        }
        StatusCode::INTERNAL_SERVER_ERROR => Ending::Rejected,
        _ => Ending::Ok,
    }
}

/// Forwards an answer and reports it to the engine; true if it was read to its end and the connection may be
/// reused.
pub(super) async fn forward_answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    response: Response<Incoming>,
    is_head_request: bool,
) -> bool {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|value| value == "1");
    let ending = classify(head.status, not_processed);
    // With both lengths, the peers may disagree on where this answer ends: response splitting (RFC 9112,
    // 6.3).
    let has_two_lengths = head.headers.contains_key(header::TRANSFER_ENCODING)
        && connection.socket.head_contains("\ncontent-length:");
    let (status, mut headers) = (head.status, head.headers);
    strip_hop_by_hop(&mut headers);
    if !is_head_request && status != StatusCode::NOT_MODIFIED {
        headers.remove(header::CONTENT_LENGTH);
    }
    let length = body.size_hint().exact();
    let mut gathered = BodyBuffer::new(upstreams.budget.small_lease(Arrival::Whole));
    let overflow = loop {
        match next_available_frame(connection, &mut body).await {
            None => break None,
            Some(None) => {
                report(engine, id, ending, Answer::Buffered { status, headers, body: gathered.finish() });
                return !has_two_lengths;
            }
            Some(Some(Ok(frame))) => {
                let fits = |data: &bytes::Bytes| gathered.len() + data.len() as u64 <= MAX_GATHERED_BYTES;
                match frame.into_data() {
                    Ok(data) if fits(&data) && gathered.push(&data) => {}
                    Ok(data) => break Some(Ok(hyper::body::Frame::data(data))),
                    Err(trailers) => break Some(Ok(trailers)),
                }
            }
            Some(Some(Err(_))) => break Some(Err(IncompleteBody)),
        }
    };
    let (to_client, frames) = mpsc::channel(1);
    if !report(engine, id, ending, Answer::Stream { status, headers, length, frames }) {
        return false;
    }
    let (gathered, _lease) = gathered.finish().into_parts();
    let first = gathered.into_iter().map(|data| Ok(hyper::body::Frame::data(data))).chain(overflow);
    // Boxed to keep the future of the attempt small.
    let is_complete = Box::pin(stream_answer(upstreams, connection, &mut body, first, to_client)).await;
    is_complete && !has_two_lengths
}

/// Streams an answer, first the buffered frames and then the rest; true if it was read to its end.
async fn stream_answer(
    upstreams: &Upstreams,
    connection: &mut ServerConnection,
    body: &mut Incoming,
    first: impl Iterator<Item = BodyFrame>,
    to_client: mpsc::Sender<BodyFrame>,
) -> bool {
    for frame in first {
        let is_broken = frame.is_err();
        if to_client.send(frame).await.is_err() || is_broken {
            return false;
        }
    }
    stream_rest(upstreams, connection, body, &to_client).await
}

/// Reports the answer to the engine; false if the answer is no longer wanted.
fn report(engine: &Rc<Engine>, id: AttemptId, ending: Ending, answer: Answer) -> bool {
    match (ending, answer) {
        (Ending::Ok, Answer::Buffered { status, headers, body }) => {
            engine.on_buffered_answer(id, status, headers, body);
            true
        }
        (Ending::Ok, answer) => engine.on_answer(id, answer),
        (ending, answer) => {
            engine.on_error_answer(id, ending, answer);
            true
        }
    }
}

/// The next frame if it is available without waiting: `Some(None)` at the end of the body, `None` if it is
/// not available yet.
async fn next_available_frame(
    connection: &mut ServerConnection,
    body: &mut Incoming,
) -> Option<Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>> {
    let mut extra_polls = 0;
    poll_fn(|cx| loop {
        connection.poll_driver(cx);
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(frame) => return Poll::Ready(Some(frame)),
            Poll::Pending if extra_polls < MAX_EXTRA_POLLS => extra_polls += 1,
            Poll::Pending => return Poll::Ready(None),
        }
    })
    .await
}

/// Streams the rest as fast as the client reads it; true if it was read to its end.
async fn stream_rest(
    upstreams: &Upstreams,
    connection: &mut ServerConnection,
    body: &mut Incoming,
    to_client: &mpsc::Sender<BodyFrame>,
) -> bool {
    loop {
        let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
        let frame = match tokio::time::timeout(upstreams.stall_timeout, connection.drive(next)).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => {
                let _ = to_client.send(Err(IncompleteBody)).await;
                return false;
            }
        };
        if to_client.send(Ok(frame)).await.is_err() {
            return false;
        }
    }
}
