//! Answers of any HTTP/1.1 server: every status passes, and bodies are passed on as they come.

use super::connection::ServerConnection;
use super::upstreams::Upstreams;
use crate::headers::{strip_hop_by_hop, NOT_PROCESSED};
use corkhollow_balance::interface::Ending;
use corkhollow_engine::{Answer, AttemptId, BodyFrame, BufferedBody, Engine, IncompleteBody};
use hyper::body::{Body, Incoming};
use hyper::header;
use hyper::{Response, StatusCode};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::sync::mpsc;

/// What is there of a body is gathered up to this before the rest is passed on as it comes.
const GATHERED: u64 = 64 * 1024;
/// Rounds in which the connection may bring more of a short body without being waited for.
const ROUNDS: usize = 3;

/// What an answer's status says of its server. A failure that the server found in the request alone (500) is weak
/// evidence, and others would find it too.
fn ending(status: StatusCode, not_processed: bool) -> Ending {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_processed => Ending::Full,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT => {
            Ending::Error
        }
        StatusCode::INTERNAL_SERVER_ERROR => Ending::Rejected,
        _ => Ending::Ok,
    }
}

/// Passes an answer on and tells of it; true where the connection came to the answer's end and may be used again.
pub(super) async fn answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    response: Response<Incoming>,
    bodiless: bool,
) -> bool {
    let (head, mut body) = response.into_parts();
    let not_processed = head.headers.get(NOT_PROCESSED).is_some_and(|v| v == "1");
    let ending = ending(head.status, not_processed);
    // Two lengths: the next answer on this connection might begin inside this one (RFC 9112, 6.3).
    let two_lengths = head.headers.contains_key(header::TRANSFER_ENCODING)
        && connection.socket.head_contains("\ncontent-length:");
    let (status, mut headers) = (head.status, head.headers);
    strip_hop_by_hop(&mut headers);
    if !bodiless && status != StatusCode::NOT_MODIFIED {
        headers.remove(header::CONTENT_LENGTH);
    }
    let length = body.size_hint().exact();
    let mut gathered = BufferedBody::new(upstreams.budget.small_lease());
    let over = loop {
        match at_hand(connection, &mut body).await {
            None => break None,
            Some(None) => {
                tell(engine, id, ending, Answer::Buffered { status, headers, body: gathered });
                return !two_lengths;
            }
            Some(Some(Ok(frame))) => {
                let fits = |data: &bytes::Bytes| gathered.len() + data.len() as u64 <= GATHERED;
                match frame.into_data() {
                    Ok(data) if fits(&data) && gathered.push(data.clone()) => {}
                    Ok(data) => break Some(Ok(hyper::body::Frame::data(data))),
                    Err(trailers) => break Some(Ok(trailers)),
                }
            }
            Some(Some(Err(_))) => break Some(Err(IncompleteBody)),
        }
    };
    let (to_client, pieces) = mpsc::channel(1);
    if !tell(engine, id, ending, Answer::Stream { status, headers, length, frames: pieces }) {
        return false;
    }
    let (gathered, _lease) = gathered.into_parts();
    let first = gathered.into_iter().map(|data| Ok(hyper::body::Frame::data(data))).chain(over);
    // Apart from the attempt, which is made for short answers too.
    let whole = Box::pin(stream(upstreams, connection, &mut body, first, to_client)).await;
    whole && !two_lengths
}

/// Passes an answer on, its first pieces and then the rest; true where it came to its end.
async fn stream(
    upstreams: &Upstreams,
    connection: &mut ServerConnection,
    body: &mut Incoming,
    first: impl Iterator<Item = BodyFrame>,
    to_client: mpsc::Sender<BodyFrame>,
) -> bool {
    for piece in first {
        let broken = piece.is_err();
        if to_client.send(piece).await.is_err() || broken {
            return false;
        }
    }
    pass_on(upstreams, connection, body, &to_client).await
}

/// Tells the engine; false where nobody wants the answer.
fn tell(engine: &Rc<Engine>, id: AttemptId, ending: Ending, answer: Answer) -> bool {
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

/// The next piece if it is there already: `Some(None)` is the body's end, `None` that it has to be waited for.
async fn at_hand(
    connection: &mut ServerConnection,
    body: &mut Incoming,
) -> Option<Option<Result<hyper::body::Frame<bytes::Bytes>, hyper::Error>>> {
    let mut rounds = 0;
    poll_fn(|cx| loop {
        connection.poll_driver(cx);
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Ready(piece) => return Poll::Ready(Some(piece)),
            Poll::Pending if rounds < ROUNDS => rounds += 1,
            Poll::Pending => return Poll::Ready(None),
        }
    })
    .await
}

/// Passes the rest on as fast as the client takes it; true where it came to its end.
async fn pass_on(
    upstreams: &Upstreams,
    connection: &mut ServerConnection,
    body: &mut Incoming,
    to_client: &mpsc::Sender<BodyFrame>,
) -> bool {
    loop {
        let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
        let piece = match tokio::time::timeout(upstreams.stall_timeout, connection.drive(next)).await {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) | Err(_) => {
                let _ = to_client.send(Err(IncompleteBody)).await;
                return false;
            }
        };
        if to_client.send(Ok(piece)).await.is_err() {
            return false;
        }
    }
}
