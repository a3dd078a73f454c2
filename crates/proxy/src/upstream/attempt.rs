//! One attempt: obtains a connection, sends the request on it and forwards the answer.

use super::connection::{connect, ConnectError, IdleConnection, InterimAnswers, ServerConnection};
use super::upstreams::Upstreams;
use super::{http, platform};
use crate::body::{BufferedBodyReader, RequestBody};
use crate::headers::TIMEOUT_MS;
use crate::message_progress::BodyFraming;
use crate::shortage::reclaim;
use crate::socket::Socket;
use corkhollow_balance::interface::{Ending, Nanos, ServerId};
use corkhollow_engine::{AttemptId, ClientBody, Engine, Message, Payload, Upload};
use corkhollow_plan::limits::{Arrival, Slot};
use corkhollow_plan::plan::Dialect;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// A reset within this time means that the connection was already lost while it was idle; a later one means
/// that the server failed while it processed the request.
const IMMEDIATE_RESET_WINDOW: Nanos = 20_000_000;
/// How long to wait for `100 Continue` before the body is sent without it (RFC 9110, 10.1.1).
const CONTINUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs one attempt to its end and reports the outcome to the engine. The attempt may outlast the engine's
/// interest in it by a limited time, so that its connection can be reused.
pub(super) async fn run_attempt(
    upstreams: Rc<Upstreams>,
    engine: Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: Rc<Message>,
    attempt_socket: Rc<RefCell<Option<Rc<Socket>>>>,
) {
    let _cancel_on_panic = CancelOnPanic { engine: &engine, id };
    if let Err(ending) = exchange(&upstreams, &engine, id, server, &message, &attempt_socket).await {
        // An attempt that failed because of the client does not count against the server's health.
        let client_failed = message.upload().is_some_and(|upload| upload.progress.client_failed.get());
        engine.on_attempt_ended(id, if client_failed { Ending::Cancelled } else { ending });
    }
}

/// Reports an attempt whose task panics as cancelled: its request still gets an answer, and the panic does
/// not count against the server.
struct CancelOnPanic<'e> {
    engine: &'e Rc<Engine>,
    id: AttemptId,
}

impl Drop for CancelOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.engine.on_attempt_ended(self.id, Ending::Cancelled);
        }
    }
}

/// What an attempt holds of the process's limits.
struct ExchangeSlots {
    arrival: Arrival,
    /// Held until the request is written, if it had not arrived whole.
    upload: Option<Slot>,
    _exchange: Slot,
}

impl ExchangeSlots {
    async fn acquire(upstreams: &Upstreams, message: &Message) -> Result<Self, Ending> {
        let budget = &upstreams.budget;
        let has_arrived = |upload: &Rc<Upload>| upload.progress.arrived_at(upstreams.clock.now()).is_some();
        let (arrival, upload) = match message.upload().is_none_or(has_arrived) {
            true => (Arrival::Whole, None),
            false => (Arrival::Incomplete, Some(acquire(upstreams, || budget.upload_slot()).await?)),
        };
        let exchange = acquire(upstreams, || acquire_exchange_slot(upstreams)).await?;
        Ok(ExchangeSlots { arrival, upload, _exchange: exchange })
    }
}

/// When the connection of an attempt was opened and taken for it.
#[derive(Clone, Copy)]
struct ConnectionTimes {
    opened_at: Nanos,
    started_at: Nanos,
    /// How long it was idle before; `None` for a new one.
    idle_for: Option<Nanos>,
}

/// Sends the request and forwards the answer; an error is the attempt's outcome if there is no answer.
async fn exchange(
    upstreams: &Rc<Upstreams>,
    engine: &Rc<Engine>,
    id: AttemptId,
    server: ServerId,
    message: &Rc<Message>,
    attempt_socket: &RefCell<Option<Rc<Socket>>>,
) -> Result<(), Ending> {
    let mut slots = ExchangeSlots::acquire(upstreams, message).await?;
    let mut reused = checkout_rested(upstreams, server).await;
    let Some(address) = upstreams.with_servers(|s| s.address(server)) else { return Err(Ending::NotSent) };
    loop {
        let (mut connection, times) = match reused.take() {
            Some((idle, started_at)) => {
                let idle_for = Some(started_at.saturating_sub(idle.idle_since));
                (idle.connection, ConnectionTimes { opened_at: idle.opened_at, started_at, idle_for })
            }
            None => {
                let connection = open(upstreams, server, address, slots.arrival).await?;
                let now = upstreams.clock.now();
                (connection, ConnectionTimes { opened_at: now, started_at: now, idle_for: None })
            }
        };
        // The decision to send may be stale by now, after waiting for a connection: check it again.
        if !engine.may_begin(id) {
            return Err(Ending::NotSent);
        }
        let interim_answers = message.interim_handler.as_ref().map(|_| connection.start_interim_answers());
        let Some(request) = build_request(upstreams, message, times.started_at, interim_answers.clone())
        else {
            return Err(Ending::NotSent);
        };
        *attempt_socket.borrow_mut() = Some(connection.socket.clone());
        begin_request(upstreams, message, &connection.socket, times.started_at);
        let upload_slot = message.upload().map(|_| &mut slots.upload);
        let sent = send(engine, id, &mut connection, request, interim_answers, upload_slot).await;
        let is_written = connection.socket.is_request_written();
        return match sent {
            // The server cannot have read the request: the answer is another one's. Without its last byte the
            // request does not run.
            Ok(response) if is_premature(upstreams, &response, &connection.socket) => {
                upstreams.with_servers(|servers| servers.record_surplus(upstreams.clock.now()));
                Err(if is_written { Ending::Reset } else { Ending::ConnectFailed })
            }
            Ok(response) => {
                record_use(upstreams, times, false);
                if let Some(elapsed) = connection.socket.time_since_written() {
                    engine.on_answer_head(id, elapsed.as_nanos() as Nanos);
                }
                let is_complete =
                    forward_answer(upstreams, engine, id, message, &mut connection, response).await;
                release(upstreams, (server, address), connection, times.opened_at, is_complete).await;
                Ok(())
            }
            Err(_) if is_written => {
                let elapsed = upstreams.clock.now().saturating_sub(times.started_at);
                record_use(upstreams, times, elapsed < IMMEDIATE_RESET_WINDOW);
                Err(Ending::Reset)
            }
            Err(mut error) => {
                put_back_body(message, error.take_message());
                // The server closed the reused connection before the request was written, so the request was
                // not processed. Retry on a new connection.
                if times.idle_for.is_some() && !message.is_body_consumed() {
                    continue;
                }
                Err(Ending::ConnectFailed)
            }
        };
    }
}

/// Takes an idle connection to the server, and when; waits for one that has to rest before it is reused.
async fn checkout_rested(upstreams: &Upstreams, server: ServerId) -> Option<(IdleConnection, Nanos)> {
    let checkout = |now| upstreams.with_servers(|servers| servers.checkout(server, now)).zip(Some(now));
    let now = upstreams.clock.now();
    let idle = checkout(now);
    if idle.is_some() {
        return idle;
    }
    let reusable_at = upstreams.with_servers(|servers| servers.reusable_at(server, now))?;
    tokio::time::sleep_until(upstreams.clock.instant(reusable_at)).await;
    checkout(upstreams.clock.now())
}

/// Opens a connection to the server.
async fn open(
    upstreams: &Rc<Upstreams>,
    server: ServerId,
    address: SocketAddr,
    arrival: Arrival,
) -> Result<ServerConnection, Ending> {
    // Boxed to keep the future of the attempt small.
    let connection = Box::pin(connect(upstreams, address, arrival)).await.map_err(|error| match error {
        ConnectError::Failed => Ending::ConnectFailed,
        ConnectError::NoCapacity => Ending::NotSent,
    })?;
    // The server may have been drained or moved while the connection was being opened.
    let is_current = upstreams.with_servers(|servers| servers.address(server)) == Some(address);
    is_current.then_some(connection).ok_or(Ending::ConnectFailed)
}

/// Prepares a connection to a server for this request.
fn begin_request(upstreams: &Upstreams, message: &Message, socket: &Socket, now: Nanos) {
    // A server of the platform starts to process a request when it has the last byte; any other server
    // may start when it has the head.
    let framing = match (&message.payload, upstreams.dialect) {
        (Payload::Buffered(body), Dialect::Platform) => BodyFraming::Length(body.len()),
        (Payload::Stream(_), Dialect::Platform) => {
            declared_length(message).map_or(BodyFraming::Chunked, BodyFraming::Length)
        }
        _ => BodyFraming::Length(0),
    };
    socket.begin_request(framing, upstreams.forwards.clone());
    let is_reused_later = upstreams.with_servers(|servers| servers.delays_reuse(now));
    socket.acknowledges_reads.set(is_reused_later);
}

/// Sends a request and waits for the head of its answer. Once an upload is written, its slot is released and the engine is
/// notified.
async fn send(
    engine: &Rc<Engine>,
    id: AttemptId,
    connection: &mut ServerConnection,
    request: Request<RequestBody>,
    interim_answers: Option<InterimAnswers>,
    mut upload_slot: Option<&mut Option<Slot>>,
) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
    let socket = connection.socket.clone();
    let mut response = pin!(connection.sender.try_send_request(request));
    let response = poll_fn(|cx| {
        // Interim answers precede the final one.
        interim_answers
            .iter()
            .filter_map(InterimAnswers::take)
            .flatten()
            .for_each(|(status, headers)| engine.on_interim_answer(id, status, headers));
        let polled = response.as_mut().poll(cx);
        if upload_slot.is_some() && socket.is_request_written() {
            upload_slot.take().map(Option::take);
            engine.on_request_written(id);
        }
        polled
    });
    connection.drive(response).await
}

/// Records how a connection was found after its idle time.
fn record_use(upstreams: &Upstreams, times: ConnectionTimes, was_lost: bool) {
    let now = upstreams.clock.now();
    upstreams.with_servers(|servers| servers.idle_lifetime.record_use(now, times.idle_for, was_lost));
}

/// Keeps a connection for the next request, if it can carry one.
async fn release(
    upstreams: &Upstreams,
    (server, address): (ServerId, SocketAddr),
    mut connection: ServerConnection,
    opened_at: Nanos,
    is_complete: bool,
) {
    let is_reusable = is_complete && connection.is_reusable().await;
    if is_complete && connection.has_surplus_bytes {
        upstreams.with_servers(|servers| servers.record_surplus(upstreams.clock.now()));
    }
    if is_reusable && !upstreams.has_waiting_requests() {
        let idle = IdleConnection { connection, opened_at, idle_since: upstreams.clock.now() };
        upstreams.with_servers(|servers| servers.checkin(server, address, idle));
    }
}

/// Gives an upload the body back that was not sent.
fn put_back_body(message: &Message, unsent: Option<Request<RequestBody>>) {
    let unsent_body = unsent.map(Request::into_body);
    if let (Some(RequestBody::Stream { body, .. }), Some(upload)) = (unsent_body, message.upload()) {
        upload.put_back(body);
    }
}

/// Acquires a slot, if need be one that a client gives up who has stopped in the middle of its request.
async fn acquire(upstreams: &Upstreams, acquire: impl Fn() -> Option<Slot>) -> Result<Slot, Ending> {
    if let Some(slot) = acquire() {
        return Ok(slot);
    }
    // Boxed to keep the future of the attempt small.
    Box::pin(reclaim(&upstreams.budget, acquire)).await.ok_or(Ending::NotSent)
}

/// Makes room in memory for an exchange; `None` if that is not possible.
fn acquire_exchange_slot(upstreams: &Upstreams) -> Option<Slot> {
    loop {
        let slot = upstreams.budget.exchange_slot();
        if slot.is_some() || !upstreams.close_oldest_idle() {
            return slot;
        }
    }
}

/// Whether an answer of the platform came before its request was written. A server may turn a request away
/// before it has all of it; it begins to process a request only with the last byte.
fn is_premature(upstreams: &Upstreams, response: &Response<Incoming>, socket: &Socket) -> bool {
    upstreams.dialect == Dialect::Platform
        && response.status() == StatusCode::OK
        && socket.was_answered_early()
}

/// Forwards the answer in the server's dialect; true if the connection was read to the answer's end.
async fn forward_answer(
    upstreams: &Upstreams,
    engine: &Rc<Engine>,
    id: AttemptId,
    message: &Message,
    connection: &mut ServerConnection,
    response: Response<Incoming>,
) -> bool {
    match upstreams.dialect {
        Dialect::Platform => platform::forward_answer(upstreams, engine, id, connection, response).await,
        Dialect::Http => {
            let is_head_request = message.method == Method::HEAD;
            http::forward_answer(upstreams, engine, id, connection, response, is_head_request).await
        }
    }
}

/// The body length from the client's `Content-Length`, if there is one.
fn declared_length(message: &Message) -> Option<u64> {
    std::str::from_utf8(message.headers.get(&header::CONTENT_LENGTH)?).ok()?.parse().ok()
}

/// Builds the request to send to the server; `None` if another attempt has taken the body.
fn build_request(
    upstreams: &Upstreams,
    message: &Message,
    now: Nanos,
    interim_answers: Option<InterimAnswers>,
) -> Option<Request<RequestBody>> {
    let continue_received = message.headers.contains(&header::EXPECT).then(|| Arc::new(Notify::new()));
    let body = match &message.payload {
        Payload::Buffered(body) => RequestBody::Buffered(BufferedBodyReader::new(body.clone())),
        Payload::Stream(upload) => {
            let body: ClientBody = upload.take_body()?;
            RequestBody::Stream { body, continue_wait: continue_received.clone().map(wait_for_continue) }
        }
    };
    let mut request = Request::new(body);
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.to_header_map();
    if upstreams.dialect == Dialect::Platform {
        let timeout_ms = message.deadline.saturating_sub(now).div_ceil(1_000_000).max(1);
        request.headers_mut().insert(TIMEOUT_MS, HeaderValue::from(timeout_ms));
    }
    if continue_received.is_some() || interim_answers.is_some() {
        // `100 Continue` is not forwarded: the gateway sends its own to the client.
        hyper::ext::on_informational(&mut request, move |interim| {
            match (interim.status(), &continue_received, &interim_answers) {
                (StatusCode::CONTINUE, Some(continue_received), _) => continue_received.notify_one(),
                (StatusCode::CONTINUE, None, _) | (_, _, None) => {}
                (status, _, Some(interim_answers)) => interim_answers.push(status, interim.headers()),
            }
        });
    }
    Some(request)
}

/// Waits for `100 Continue` from the server, for at most [`CONTINUE_TIMEOUT`].
fn wait_for_continue(continue_received: Arc<Notify>) -> Pin<Box<dyn std::future::Future<Output = ()>>> {
    Box::pin(async move {
        let _ = tokio::time::timeout(CONTINUE_TIMEOUT, continue_received.notified()).await;
    })
}
