//! Towards the clients: the listener, requests coming in, final answers going out.

use crate::body::{AnswerBody, PieceBody};
use crate::headers::{strip, ID, TIMEOUT};
use crate::socket::{exhausted, Socket, SocketIo};
use bytes::Bytes;
use corkhollow_balance::interface::{self, Nanos};
use corkhollow_engine::{log, Answer, Broken, Clock, Engine, Message, Pieces};
use corkhollow_plan::limits::{Budget, Slot, MOST_BODY};
use corkhollow_plan::platform::Config;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Read buffer of a client's connection and the longest head; it bounds what 1,000 connections hold.
const BUFFER: usize = 16 * 1024;
/// A connection without a request is closed after this many seconds, one that stands still in the middle of a
/// request or of an answer after fewer: a slow client still moves.
const IDLE_S: u32 = 90;
const STUCK_S: u32 = 20;
/// A client may take 2 s to write a head; the rest is for what was late on the way. One that has just connected
/// has as long to bring its first.
const LONGEST_HEAD: Duration = Duration::from_millis(2200);
/// A body may stand still for this long, and take this long in all.
const STILL_BODY: Duration = Duration::from_millis(2200);
const LONGEST_BODY: Duration = Duration::from_secs(STUCK_S as u64);
/// The log tells of full tables this often at most.
const REPORT_EVERY: Nanos = 5_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Between requests, or in a head.
    Idle,
    /// In a body.
    Reading,
    /// The request is with the service, whose deadline bounds it.
    Waiting,
    /// The answer is on its way.
    Writing,
}

struct Client {
    socket: Rc<Socket>,
    stage: Cell<Stage>,
    idle_since: Cell<Nanos>,
    /// When it connected, until its first request is there.
    fresh_since: Cell<Option<Instant>>,
    still_s: Cell<u32>,
    /// It came when there was no place left: it is only told to come back.
    surplus: bool,
    cut: Cell<bool>,
    closing: Cell<bool>,
    close: Notify,
    _slot: Slot,
}

impl Client {
    fn idle(&self) -> bool {
        self.resting() && !self.closing.get() && self.socket.quiet()
    }

    /// Between requests, as far as has been read.
    fn resting(&self) -> bool {
        self.stage.get() == Stage::Idle && self.socket.heard.get().is_none()
    }

    fn dawdles(&self) -> bool {
        let silent = || self.fresh_since.get().filter(|_| self.socket.quiet());
        let begun = self.socket.heard.get().or_else(silent);
        let begun = begun.filter(|_| self.stage.get() == Stage::Idle);
        begun.is_some_and(|at| at.elapsed() > LONGEST_HEAD) && !self.closing.get()
    }

    /// Ends the connection: at once, or when no request is open. The task that serves it sleeps and has to be
    /// woken, or it holds its descriptor until the client leaves.
    fn stop(&self, cut: bool) {
        self.closing.set(true);
        self.cut.set(cut);
        self.close.notify_one();
    }
}

/// What all clients' connections work with.
pub struct Service {
    /// What the node has been told.
    pub config: Config,
    /// Its requests under way.
    pub engine: Rc<Engine>,
    /// Its clock.
    pub clock: Clock,
    /// What it may hold.
    pub budget: Rc<Budget>,
    /// SIGTERM has come: no more requests on kept connections.
    pub leaving: Cell<bool>,
    /// Discovery has told the list, so that new clients may come.
    pub ready: Rc<Cell<bool>>,
}

/// All clients' connections; bounded by the budget.
pub struct Clients {
    service: Rc<Service>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    left: Notify,
    reported_at: Cell<Nanos>,
}

impl Clients {
    /// No connection yet.
    pub fn new(service: Rc<Service>) -> Rc<Self> {
        Rc::new(Clients {
            service,
            open: RefCell::default(),
            next: Cell::new(0),
            left: Notify::new(),
            reported_at: Cell::new(0),
        })
    }

    /// Accepts until told to stop, and then what the kernel has accepted for us by then.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, stop: Rc<Notify>) {
        let mut stop = pin!(stop.notified());
        loop {
            while self.service.budget.clients_exhausted() {
                if !self.make_room() {
                    self.report();
                }
                let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
            }
            tokio::select! {
                biased;
                accepted = listener.accept() => self.accepted(accepted.map(|(stream, _)| stream)).await,
                _ = &mut stop => return,
            }
        }
    }

    async fn accepted(self: &Rc<Self>, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => self.open(stream),
            Err(e) if exhausted(&e) => {
                self.make_room();
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            // A client that left while it waited: nothing to do with the next one.
            Err(_) => tokio::task::yield_now().await,
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let budget = &self.service.budget;
        let surplus = budget.clients() >= budget.most_clients && !self.make_room();
        let client = Rc::new(Client {
            socket: Socket::new(stream),
            stage: Cell::new(Stage::Idle),
            idle_since: Cell::new(self.service.clock.now()),
            fresh_since: Cell::new(Some(Instant::now())),
            still_s: Cell::new(0),
            surplus,
            cut: Cell::new(false),
            closing: Cell::new(false),
            close: Notify::new(),
            _slot: budget.client(),
        });
        let id = self.next.get();
        self.next.set(id + 1);
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve(&clients.service, client).await;
            clients.open.borrow_mut().remove(&id);
            clients.left.notify_one();
        });
    }

    fn make_room(&self) -> bool {
        let open = self.open.borrow();
        let mut idle: Vec<_> = open.values().filter(|c| c.stage.get() == Stage::Idle).collect();
        idle.sort_unstable_by_key(|c| c.idle_since.get());
        idle.into_iter().find(|c| c.idle()).inspect(|c| c.stop(false)).is_some()
    }

    /// Says what the connections are doing that leave no room, now and then.
    fn report(&self) {
        let now = self.service.clock.now();
        if now.saturating_sub(self.reported_at.get()) < REPORT_EVERY {
            return;
        }
        self.reported_at.set(now);
        let open = self.open.borrow();
        let count = |stage| open.values().filter(|c| c.stage.get() == stage).count();
        let idle = open.values().filter(|c| c.resting()).count();
        log(format_args!(
            "no room for clients: {} open, {idle} idle, {} in a head, {} in a body, {} waiting, {} being answered",
            open.len(),
            count(Stage::Idle) - idle,
            count(Stage::Reading),
            count(Stage::Waiting),
            count(Stage::Writing),
        ));
    }

    /// Cuts off those that have been at their head for too long, or have never begun one.
    pub fn cut_heads(&self) {
        self.open.borrow().values().filter(|c| c.dawdles()).for_each(|c| c.stop(true));
    }

    /// Once a second: closes what stands still. No client may hold a descriptor for good.
    pub fn sweep(&self) {
        for client in self.open.borrow().values() {
            let still = if client.socket.moved.replace(false) { 0 } else { client.still_s.get() + 1 };
            client.still_s.set(still);
            let resting = client.resting();
            match client.stage.get() {
                Stage::Waiting => client.still_s.set(0),
                _ if resting && still >= IDLE_S && client.socket.quiet() => client.stop(false),
                _ if !resting && still >= STUCK_S => client.stop(true),
                _ => {}
            }
        }
    }

    /// Closes all connections that are between requests; the number of those that are left.
    pub fn close_idle(&self) -> usize {
        let open = self.open.borrow();
        open.values().filter(|c| c.idle()).for_each(|c| c.stop(false));
        open.len()
    }
}

async fn serve(service: &Rc<Service>, client: Rc<Client>) {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER).timer(hyper_util::rt::TokioTimer::new()).header_read_timeout(None);
    let service = service_fn(|request| respond(service, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            biased;
            // What goes wrong here is the client's: it has gone, or was told 400.
            _ = connection.as_mut() => return,
            _ = client.close.notified() => {
                if client.cut.get() {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// An answer that keeps its connection from counting as idle until hyper has taken all of it.
struct Outgoing {
    body: AnswerBody,
    service: Rc<Service>,
    client: Rc<Client>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.stage.set(Stage::Idle);
        self.client.idle_since.set(self.service.clock.now());
        self.client.socket.heard.set(None);
    }
}

/// Answers a request, and ends the connection with it where the node leaves or the client has no place. So it does
/// behind a chunked body: a length beside it may hide another request in what follows (RFC 9112, 6.1).
async fn respond(
    service: &Rc<Service>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Infallible> {
    client.stage.set(Stage::Reading);
    client.fresh_since.set(None);
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = answer(service, client, request).await;
    client.stage.set(Stage::Writing);
    if service.leaving.get() || client.surplus || chunked {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| Outgoing { body, service: service.clone(), client: client.clone() }))
}

async fn answer(service: &Rc<Service>, client: &Client, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    if head.uri.path() == "/up" && head.method == Method::GET {
        let up = service.ready.get() && !service.leaving.get();
        return text(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, "");
    }
    if head.headers.contains_key(header::TRANSFER_ENCODING) && client.socket.said("\ncontent-length:") {
        return closing(text(StatusCode::BAD_REQUEST, "two lengths\n"));
    }
    let name = head.uri.path().split('/').nth(1).unwrap_or_default();
    let Some(class) = service.config.classes.iter().position(|c| c == name) else {
        return closing(text(StatusCode::NOT_FOUND, "no such class of requests\n"));
    };
    let body = match take(service, client.surplus, body).await {
        Ok(body) => Rc::new(body),
        Err(BodyError::TooLarge) => return closing(text(StatusCode::PAYLOAD_TOO_LARGE, "over 32 MB\n")),
        Err(BodyError::NoRoom) => return closing(refused(interface::Nanos::MAX, service)),
        Err(BodyError::Late) => {
            return closing(text(StatusCode::REQUEST_TIMEOUT, "the body took too long\n"))
        }
        Err(BodyError::Broken) => return closing(text(StatusCode::BAD_REQUEST, "the body broke off\n")),
    };
    let mut headers = head.headers;
    strip(&mut headers);
    headers.remove(header::EXPECT);
    // Servers know a request by its id, and take one that they have for a second copy.
    let Some(id) = only(&headers, ID).filter(|id| !id.is_empty()).cloned() else {
        return closing(text(StatusCode::BAD_REQUEST, "one X-Request-ID is needed\n"));
    };
    let longest = service.config.settings.classes[class].give_up;
    // No client waits longer than its class: a longer figure would only hold memory.
    let wait = match only(&headers, TIMEOUT).map(|v| v.to_str().ok()?.trim().parse::<u64>().ok()) {
        Some(Some(ms)) => ms.saturating_mul(1_000_000).min(longest),
        None if !headers.contains_key(TIMEOUT) => longest,
        _ => return closing(text(StatusCode::BAD_REQUEST, "X-Timeout-Ms is no whole number\n")),
    };
    client.stage.set(Stage::Waiting);
    let now = service.clock.now();
    let give_up_at = now + wait;
    let number = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let tenant = headers.get("x-tenant-id").map(HeaderValue::as_bytes);
    let tenant = service.config.tenants.iter().position(|t| Some(t.as_bytes()) == tenant);
    let request = interface::Request {
        class: class as u8,
        tenant: tenant.map_or(u32::MAX, |t| t as u32),
        key: headers.get("x-route-key").map_or(0, |k| route_key(k.as_bytes())),
        work_hint: number("x-cost").filter(|us| *us > 0.0).map(|us| (us * 1000.0) as Nanos),
        is_retry: headers.get("x-retried").is_some_and(|v| v == "1"),
        is_write: headers
            .get("x-attrs")
            .is_some_and(|v| v.to_str().unwrap_or_default().split(',').any(|a| a.trim() == "write=1")),
        ..interface::Request::new(0, give_up_at)
    };
    if !headers.contains_key(header::CONTENT_LENGTH) && !body.is_empty() {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
    }
    let uri = match head.uri.path_and_query() {
        Some(path) if head.uri.scheme().is_some() => Uri::from(path.clone()),
        _ => head.uri,
    };
    let message = Message { method: head.method, uri, headers, body, give_up_at };
    let Some(mut ticket) = service.engine.submit(id, request, message) else {
        return closing(text(StatusCode::CONFLICT, "a request with this X-Request-ID is open\n"));
    };
    match ticket.answer().await {
        Answer::Whole { headers, body } => served(headers, AnswerBody::Whole(PieceBody::new(Rc::new(body)))),
        Answer::Stream { headers, length, pieces } => served(headers, AnswerBody::Stream { pieces, length }),
        Answer::Refused { retry_after } => refused(retry_after, service),
        Answer::Failed { late: true } => text(StatusCode::GATEWAY_TIMEOUT, "no answer in time\n"),
        Answer::Failed { late: false } => text(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}

/// The value of a header that stands there just once: of two, the servers might go by the other one.
fn only(headers: &HeaderMap, name: HeaderName) -> Option<&HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

fn route_key(text: &[u8]) -> u64 {
    let hex = std::str::from_utf8(text).ok().and_then(|t| u64::from_str_radix(t, 16).ok());
    hex.unwrap_or_else(|| corkhollow_plan::mix(text))
}

fn served(headers: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.headers_mut() = headers;
    response
}

fn refused(retry_after: Nanos, service: &Service) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "busy\n");
    let seconds = retry_after.min(service.config.settings.max_retry_after) as f64 / 1e9;
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        if retry_after > 0 && service.config.settings.retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn text(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let text = (!text.is_empty()).then(|| Bytes::from_static(text.as_bytes()));
    let mut response = Response::new(AnswerBody::Text(text));
    *response.status_mut() = status;
    response
}

fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

enum BodyError {
    TooLarge,
    NoRoom,
    Late,
    Broken,
}

/// Reads a body whole. Without room for it the rest is read and thrown away: the client gets its refusal when
/// it listens, and not a reset in the middle of its sending.
async fn take(service: &Service, throw_away: bool, mut body: Incoming) -> Result<Pieces, BodyError> {
    if body.size_hint().lower() > MOST_BODY {
        return Err(BodyError::TooLarge);
    }
    let mut pieces = Some(Pieces::new(service.budget.lease())).filter(|_| !throw_away);
    let mut len = 0;
    let end = Instant::now() + LONGEST_BODY;
    loop {
        // A length that is never filled must not hold its client and its bytes.
        let patience = STILL_BODY.min(end.saturating_duration_since(Instant::now()));
        let frame = tokio::time::timeout(patience, body.frame()).await.map_err(|_| BodyError::Late)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        len += data.len() as u64;
        if len > MOST_BODY {
            return Err(BodyError::TooLarge);
        }
        if pieces.as_mut().is_some_and(|p| !p.push(data)) {
            pieces = None;
        }
    }
    pieces.ok_or(BodyError::NoRoom)
}
