//! Forwards answers in the platform's dialect: only a 200 is forwarded, and a short answer is buffered whole
//! before the engine sees it.

use super::connection::ServerConnection;
use super::upstreams::Upstreams;
use crate::headers::{strip_hop_by_hop, NOT_PROCESSED};
use bytes::Bytes;
use corkhollow_balance::interface::{Ending, Nanos};
use corkhollow_engine::{Answer, AttemptId, BodyBuffer, Engine, IncompleteBody};
use corkhollow_plan::limits::{Arrival, MAX_BODY_BYTES};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Longer answers are streamed.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// A map of header fields with room for more beyond those that it has is replaced.
const MAX_SPARE_HEADER_FIELDS: usize = 32;
/// A longer answer counts as broken.
const MAX_ANSWER_BYTES: u64 = MAX_BODY_BYTES;
/// A short answer whose body stands still for this long counts as broken if another attempt can follow.
const REPLACEABLE_STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// A short answer whose body stands still for this long counts as broken.
const HELD_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A short answer that is not whole this long before it is due is passed on as it comes.
const PASS_ON_MARGIN: Nanos = 50_000_000;
/// A streamed answer that stalls for this long counts as broken: a server that lost power or network never
/// closes its connections.
const STREAMED_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Forwards an answer and reports it to the engine; true if it was read to its end.
pub(super) async fn forward_answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    response: Response<Incoming>,
) -> bool {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|value| value == "1");
    let is_overloaded_status =
        matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    if head.status != StatusCode::OK {
        let ending = match head.status {
            _ if is_overloaded_status && not_processed => Ending::Full,
            status if status.is_client_error() => Ending::Rejected,
            _ => Ending::Error,
        };
        // The attempt stays open until its answer is read, since a second one may not be allowed
        // concurrently.
        let is_complete = Box::pin(discard(connection, body)).await;
        engine.on_attempt_ended(id, ending);
        return is_complete;
    }
    let mut headers = without_spare_capacity(head.headers);
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::TRAILER);
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_ANSWER_BYTES) {
        engine.on_attempt_ended(id, Ending::Reset);
        return false;
    }
    let mut buffered = BodyBuffer::new(upstreams.budget.small_lease(Arrival::Whole));
    let mut overflow = None;
    let mut stall = StallWatch::new();
    while length.is_none_or(|length| length <= MAX_BUFFERED_BYTES) {
        let wait_until = stall.deadline(engine, id);
        match tokio::time::timeout_at(wait_until, connection.drive(body.frame())).await {
            Ok(None) => {
                engine.on_buffered_answer(id, head.status, headers, buffered.finish());
                return true;
            }
            Ok(Some(Ok(frame))) => {
                stall = StallWatch::new();
                let Ok(data) = frame.into_data() else { continue };
                let fits = buffered.len() + data.len() as u64 <= MAX_BUFFERED_BYTES;
                if !fits || !buffered.push(&data) {
                    overflow = Some(data);
                    break;
                }
            }
            Err(_) if stall.may_go_on(engine, id) => {}
            Err(_) if stall.is_sound() => break,
            // The request may have been processed. Waiting until the deadline would look to the decision
            // module like an overloaded server.
            Ok(Some(Err(_))) | Err(_) => {
                engine.on_attempt_ended(id, Ending::Reset);
                return false;
            }
        }
    }
    // Boxed to keep the future of the attempt small.
    Box::pin(stream_answer(engine, id, connection, headers, length, buffered, overflow, body)).await
}

/// How long a short answer has stood still, and may stand still, while it is held back.
struct StallWatch {
    since: Instant,
    timeout: Duration,
}

impl StallWatch {
    fn new() -> Self {
        StallWatch { since: Instant::now(), timeout: REPLACEABLE_STALL_TIMEOUT }
    }

    /// Until when the next frame is awaited: until the answer has stood still for too long, or is due.
    fn deadline(&self, engine: &Engine, id: AttemptId) -> Instant {
        let stalled_at = self.since + self.timeout;
        let due_at = engine.answer_deadline(id).map(|at| at.saturating_sub(PASS_ON_MARGIN));
        due_at.map_or(stalled_at, |at| engine.clock().instant(at).min(stalled_at))
    }

    /// Whether the answer may stand still for longer, as no other attempt would replace this one. Asked when it has
    /// stood still for the shorter time.
    fn may_go_on(&mut self, engine: &Engine, id: AttemptId) -> bool {
        let is_first_timeout = self.timeout == REPLACEABLE_STALL_TIMEOUT && !self.is_sound();
        if is_first_timeout && !engine.should_replace_stalled(id) {
            self.timeout = HELD_STALL_TIMEOUT;
        }
        is_first_timeout && self.is_sound()
    }

    /// Whether the answer has not stood still for too long.
    fn is_sound(&self) -> bool {
        self.since.elapsed() < self.timeout
    }
}

/// The same fields in a map of their size. hyper parses an answer into the map that the request was sent from, which
/// may be many times larger, and the client's connection would keep it.
fn without_spare_capacity(headers: HeaderMap) -> HeaderMap {
    if headers.capacity() <= MAX_SPARE_HEADER_FIELDS + headers.len() {
        return headers;
    }
    let mut copy = HeaderMap::with_capacity(headers.len());
    copy.extend(headers);
    copy
}

/// Reads and discards the body of an unwanted answer within limits of size and time, so that the connection
/// can be reused; true if it was read to its end.
pub(super) async fn discard(connection: &mut ServerConnection, mut body: Incoming) -> bool {
    let mut remaining_bytes = MAX_BUFFERED_BYTES as usize;
    let read_to_end = async {
        loop {
            match connection.drive(body.frame()).await {
                None => return true,
                Some(Ok(frame)) => {
                    match remaining_bytes.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
                        Some(rest) => remaining_bytes = rest,
                        None => return false,
                    }
                }
                Some(Err(_)) => return false,
            }
        }
    };
    tokio::time::timeout(Duration::from_millis(200), read_to_end).await.unwrap_or(false)
}

/// Streams a long answer as fast as the client reads it; true if it was read to its end.
#[allow(clippy::too_many_arguments)]
async fn stream_answer(
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    headers: HeaderMap,
    length: Option<u64>,
    buffered: BodyBuffer,
    mut overflow: Option<Bytes>,
    mut body: Incoming,
) -> bool {
    let (to_client, frames) = mpsc::channel(1);
    if !engine.on_answer(id, Answer::Stream { status: StatusCode::OK, headers, length, frames }) {
        return false;
    }
    let (buffered, _lease) = buffered.finish().into_parts();
    let mut buffered = buffered.into_iter();
    let mut remaining_bytes = MAX_ANSWER_BYTES;
    // Nothing is read before there is room for it: what waits for the client is in memory.
    while let Ok(room) = to_client.reserve().await {
        let chunk = match buffered.next().or_else(|| overflow.take()) {
            Some(chunk) => Some(chunk),
            None => match next_chunk(connection, &mut body).await {
                Ok(Some(chunk)) => Some(chunk),
                Ok(None) => return true,
                Err(IncompleteBody) => None,
            },
        };
        let rest = chunk.as_ref().and_then(|chunk| remaining_bytes.checked_sub(chunk.len() as u64));
        let (Some(chunk), Some(rest)) = (chunk, rest) else {
            room.send(Err(IncompleteBody));
            return false;
        };
        remaining_bytes = rest;
        room.send(Ok(Frame::data(chunk)));
    }
    false
}

/// The next data of a streamed answer; `None` at its end.
async fn next_chunk(
    connection: &mut ServerConnection,
    body: &mut Incoming,
) -> Result<Option<Bytes>, IncompleteBody> {
    loop {
        match tokio::time::timeout(STREAMED_STALL_TIMEOUT, connection.drive(body.frame())).await {
            Ok(None) => return Ok(None),
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Ok(Some(Err(_))) | Err(_) => return Err(IncompleteBody),
        }
    }
}
