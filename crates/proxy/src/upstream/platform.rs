//! Answers in the platform's dialect: only 200 serves, and short answers are read to their end before anybody sees
//! them.

use super::connection::ServerConnection;
use super::upstreams::Upstreams;
use crate::headers::{strip_hop_by_hop, NOT_PROCESSED};
use bytes::Bytes;
use corkhollow_balance::interface::Ending;
use corkhollow_engine::{Answer, AttemptId, BufferedBody, Engine, IncompleteBody};
use corkhollow_plan::limits::MAX_BODY_BYTES;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{self, HeaderMap};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longer answers are passed on as they come.
const WHOLE: u64 = 64 * 1024;
/// An answer that is longer is spoilt: whatever keeps coming is not made for one request.
const LONGEST: u64 = MAX_BODY_BYTES;
/// The head of a short answer has come: its body cannot be held up for this long, and is never coming.
const SHORT_STALL: Duration = Duration::from_millis(250);
/// A long answer that stands still for this long has broken: a vanished machine never says so.
const STALL: Duration = Duration::from_millis(2500);

/// Takes an answer and tells of it; true where the connection came to the answer's end.
pub(super) async fn answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    response: Response<Incoming>,
) -> bool {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
    let turned_away = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    if head.status != StatusCode::OK {
        let ending = match head.status {
            _ if turned_away && not_processed => Ending::Full,
            status if status.is_client_error() => Ending::Rejected,
            _ => Ending::Error,
        };
        // An attempt is out as long as its answer is on its way, and another may not be allowed beside it.
        let whole = Box::pin(drain(connection, body)).await;
        engine.on_attempt_ended(id, ending);
        return whole;
    }
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::TRAILER);
    let length = body.size_hint().exact();
    if length.is_some_and(|l| l > LONGEST) {
        engine.on_attempt_ended(id, Ending::Reset);
        return false;
    }
    let mut pieces = BufferedBody::new(upstreams.budget.small_lease());
    let mut next = None;
    while length.is_none_or(|l| l <= WHOLE) {
        match tokio::time::timeout(SHORT_STALL, connection.drive(body.frame())).await {
            Ok(None) => {
                engine.on_buffered_answer(id, head.status, headers, pieces);
                return true;
            }
            // It may have run. Waited for to the deadline it would look to the module like a server in a jam.
            Ok(Some(Err(_))) | Err(_) => {
                engine.on_attempt_ended(id, Ending::Reset);
                return false;
            }
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                let fits = pieces.len() + data.len() as u64 <= WHOLE;
                if !fits || !pieces.push(data.clone()) {
                    next = Some(data);
                    break;
                }
            }
        }
    }
    // Apart from the attempt, which is made for short answers too.
    Box::pin(stream(engine, id, connection, headers, length, pieces, next, body)).await
}

/// Reads the rest of an answer that nobody wants, so that the connection can be kept; not for long.
pub(super) async fn drain(connection: &mut ServerConnection, mut body: Incoming) -> bool {
    let mut left = WHOLE as usize;
    let all = async {
        loop {
            match connection.drive(body.frame()).await {
                None => return true,
                Some(Ok(frame)) => match left.checked_sub(frame.data_ref().map_or(0, Bytes::len)) {
                    Some(rest) => left = rest,
                    None => return false,
                },
                Some(Err(_)) => return false,
            }
        }
    };
    tokio::time::timeout(Duration::from_millis(200), all).await.unwrap_or(false)
}

/// Passes a long answer on as fast as the client takes it.
#[allow(clippy::too_many_arguments)]
async fn stream(
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    headers: HeaderMap,
    length: Option<u64>,
    held: BufferedBody,
    mut next: Option<Bytes>,
    mut body: Incoming,
) -> bool {
    let (to_client, pieces) = mpsc::channel(1);
    if !engine.on_answer(id, Answer::Stream { status: StatusCode::OK, headers, length, frames: pieces }) {
        return false;
    }
    let (held, _lease) = held.into_parts();
    let mut held = held.into_iter();
    let mut left = LONGEST;
    loop {
        let piece = match held.next().or_else(|| next.take()) {
            Some(piece) => piece,
            None => match tokio::time::timeout(STALL, connection.drive(body.frame())).await {
                Ok(None) => return true,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(Some(Err(_))) | Err(_) => {
                    let _ = to_client.send(Err(IncompleteBody)).await;
                    return false;
                }
            },
        };
        let Some(rest) = left.checked_sub(piece.len() as u64) else {
            let _ = to_client.send(Err(IncompleteBody)).await;
            return false;
        };
        left = rest;
        if to_client.send(Ok(Frame::data(piece))).await.is_err() {
            return false;
        }
    }
}
