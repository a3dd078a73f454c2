//! Clients' connections: taken, watched, closed. What is asked on them is answered by the dialect of their listener.

use super::closing::{
    carry_out, should_close, CloseDecision, CloseLimits, CloseReason, ConnectionState, Stage,
};
use super::{general, platform};
use crate::body::AnswerBody;
use crate::site::Current;
use crate::socket::{exhausted, Socket, SocketIo};
use bytes::Bytes;
use corkhollow_balance::interface::Nanos;
use corkhollow_engine::{log, Broken, Clock};
use corkhollow_operate::{ClassFigures, Control, Event, Figures, Subject, Tally};
use corkhollow_plan::limits::{Budget, Slot};
use corkhollow_plan::plan::Dialect;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a client still sends behind its last answer is read until it is silent for this long,
const SILENT: Duration = Duration::from_millis(500);
/// and no longer than this.
const LINGER: Duration = Duration::from_secs(5);
/// What has waited whole in the backlog is read within this from when its connection is accepted.
const READ_AT_ONCE: Duration = Duration::from_millis(100);
/// The log tells of full tables this often at most.
const REPORT_EVERY: Nanos = 5_000_000_000;

/// One connection.
pub(super) struct Client {
    /// Its number in this process.
    number: u64,
    pub(super) socket: Rc<Socket>,
    /// The other end.
    pub(super) peer: SocketAddr,
    /// Its address without the port, as a header says it.
    pub(super) address: HeaderValue,
    /// The name of the listener that it came to.
    pub(super) listener: Rc<str>,
    pub(super) stage: Cell<Stage>,
    idle_since: Cell<Nanos>,
    /// When it connected, until its first request is there.
    fresh_since: Cell<Option<Instant>>,
    still_since: Cell<Nanos>,
    /// How long its first request may have waited in the backlog, and until when it counts as one that did.
    waited: Cell<Duration>,
    waited_until: Instant,
    /// How long the request under way may have waited there; nothing for all but the first.
    request_waited: Cell<Duration>,
    /// It came when there was no place left: it is only told to come back.
    pub(super) surplus: bool,
    /// Why it is about to be closed.
    closing: Cell<Option<CloseReason>>,
    /// The next answer is its last.
    last: Cell<bool>,
    /// All of the request under way is here.
    whole: Cell<bool>,
    /// How long the body of the request under way is, where that is known.
    body_length: Cell<Option<u64>>,
    /// The last answer may have left some of its request unread.
    unread: Cell<bool>,
    close: Notify,
    /// The request under way, once its class is known.
    tally: RefCell<Option<Tally>>,
    /// The rest of a body that was passed on in part and is not wanted any longer.
    pub(super) rest: RefCell<Option<Incoming>>,
    _slot: Slot,
}

impl Client {
    /// What a decision on its end goes by, as of now.
    fn state(&self, now: Nanos) -> ConnectionState {
        let since = |at: Option<Instant>| at.map(|at| at.elapsed());
        let stage = match self.stage.get() {
            // Hyper has the end of the answer, and the client has not taken it.
            Stage::Idle if !self.socket.has_flushed() => Stage::Writing,
            stage => stage,
        };
        ConnectionState {
            stage,
            head_for: since(self.socket.heard.get()),
            silent_for: since(self.fresh_since.get()),
            still_for: Duration::from_nanos(now.saturating_sub(self.still_since.get())),
        }
    }

    /// Between requests, as far as has been read.
    fn resting(&self) -> bool {
        self.stage.get() == Stage::Idle && self.socket.heard.get().is_none()
    }

    /// A request of this class is being read.
    pub(super) fn count(&self, class: &ClassFigures) {
        let mut tally = Tally::new(class.clone());
        if self.surplus {
            tally.no_place();
        }
        self.tally.replace(Some(tally));
    }

    /// How long all of the request under way may have waited before it could be read. One whose last byte comes only now has not.
    pub(super) fn waited(&self) -> Nanos {
        match Instant::now() < self.waited_until {
            true => self.request_waited.get().as_nanos() as Nanos,
            false => 0,
        }
    }

    /// The last byte of the request has come.
    pub(super) fn taken(&self, now: Nanos) {
        self.whole.set(true);
        if let Some(tally) = &mut *self.tally.borrow_mut() {
            tally.take(now);
        }
    }

    /// Ends when the client has left while its request, of which all is here, waits for its answer. One that has only ended
    /// its sending has left too: nobody can tell it from one that has closed, and the protocol has both mean the same
    /// where a node does it. On the platform, whose clients send one request at a time, what else they send must not
    /// hide their end.
    async fn leaves(&self, one_at_a_time: bool) {
        poll_fn(|cx| match self.stage.get() == Stage::Waiting && self.whole.get() {
            true => self.socket.poll_left(cx, one_at_a_time.then_some(&self.last)),
            false => Poll::Pending,
        })
        .await
    }

    /// Has the task that serves the connection close it; that task sleeps and has to be woken, or it holds its descriptor
    /// until the client leaves.
    fn close_for(&self, reason: CloseReason) {
        self.closing.set(Some(reason));
        self.close.notify_one();
    }

    /// Closes the connection for this reason where it may be closed; whether it is.
    fn close_if(&self, reason: CloseReason, now: Nanos, limits: &CloseLimits) -> bool {
        // One that is closed behind its answer may still stall.
        let chosen = self.closing.get().is_some() && reason != CloseReason::Stalled;
        let closes = !chosen && should_close(reason, &self.state(now), limits, || !self.socket.quiet());
        if closes {
            self.close_for(reason);
        }
        closes
    }
}

/// What all clients' connections work with.
pub struct Service {
    /// What is in force.
    pub site: Rc<Current>,
    /// The program's clock.
    pub clock: Clock,
    /// What it may hold.
    pub budget: Rc<Budget>,
    /// Whether it is up, keeps connections and takes new ones.
    pub control: Control,
    /// Numbers requests that bring no id.
    pub ids: Cell<u64>,
    /// What it has done.
    pub figures: Figures,
}

impl Service {
    /// Counts the end of a connection, and whether it dropped a request.
    fn closed(&self, client: &Client, reason: &'static str, dropped: bool) {
        self.figures.closed(reason, dropped);
        let subject = Subject::Connection(client.number);
        self.figures.recorder.record(self.clock.now(), subject, Event::Closed(reason));
    }

    fn close_limits(&self) -> CloseLimits {
        let limits = self.site.get().plan.limits;
        CloseLimits {
            head: Duration::from_nanos(limits.header_timeout),
            idle: Duration::from_nanos(limits.idle_timeout),
            stall: Duration::from_nanos(limits.stall_timeout),
        }
    }

    /// A number that no other request has, spread over all bits.
    pub(super) fn next_id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        corkhollow_plan::mix(&self.ids.get().to_le_bytes())
    }
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
    pub async fn accept(self: Rc<Self>, name: Rc<str>, listener: TcpListener, stop: Rc<Notify>) {
        let mut stop = pin!(stop.notified());
        // Since when connections have waited in the backlog, as none could be accepted; none where it has been empty since.
        let blocked_since: Cell<Option<Instant>> = Cell::new(None);
        let next = || {
            poll_fn(|cx| {
                let accepted = listener.poll_accept(cx);
                if accepted.is_pending() {
                    blocked_since.set(None);
                }
                accepted
            })
        };
        let waited = || blocked_since.get().map_or(Duration::ZERO, |since| since.elapsed());
        loop {
            while self.service.budget.clients_exhausted() {
                blocked_since.set(blocked_since.get().or(Some(Instant::now())));
                if !self.make_room() {
                    self.report();
                }
                let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
            }
            tokio::select! {
                biased;
                accepted = next() => match accepted {
                    Ok((stream, peer)) => self.open(&name, stream, peer, waited()),
                    Err(error) if exhausted(&error) => {
                        blocked_since.set(blocked_since.get().or(Some(Instant::now())));
                        self.make_room();
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                    // A client that left while it waited: nothing to do with the next one.
                    Err(_) => tokio::task::yield_now().await,
                },
                _ = &mut stop => break,
            }
        }
        let waited = waited();
        // The kernel itself is asked: a process that has stood still may not have been told of what waits there.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, peer)) = listener.accept() {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.open(&name, stream, peer, waited);
            }
        }
    }

    /// Serves an accepted connection, which may have waited in the backlog for so long.
    fn open(self: &Rc<Self>, name: &Rc<str>, stream: TcpStream, peer: SocketAddr, waited: Duration) {
        let budget = &self.service.budget;
        let surplus = budget.clients_full() && !self.make_room();
        let id = self.next.get();
        self.next.set(id + 1);
        let client = Rc::new(Client {
            number: id,
            socket: Socket::new(stream),
            peer,
            address: HeaderValue::try_from(peer.ip().to_string())
                .unwrap_or(HeaderValue::from_static("unknown")),
            listener: name.clone(),
            stage: Cell::new(Stage::Idle),
            idle_since: Cell::new(self.service.clock.now()),
            fresh_since: Cell::new(Some(Instant::now())),
            still_since: Cell::new(self.service.clock.now()),
            waited: Cell::new(waited),
            waited_until: Instant::now() + READ_AT_ONCE,
            request_waited: Cell::default(),
            surplus,
            closing: Cell::new(None),
            last: Cell::new(false),
            whole: Cell::new(false),
            unread: Cell::new(false),
            body_length: Cell::new(None),
            close: Notify::new(),
            tally: RefCell::default(),
            rest: RefCell::default(),
            _slot: budget.client(),
        });
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve(&clients.service, client).await;
            clients.open.borrow_mut().remove(&id);
            clients.left.notify_one();
        });
    }

    fn make_room(&self) -> bool {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        let mut idle: Vec<_> = open.values().filter(|c| c.stage.get() == Stage::Idle).collect();
        idle.sort_unstable_by_key(|c| c.idle_since.get());
        idle.into_iter().any(|client| client.close_if(CloseReason::MakeRoom, now, &limits))
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

    /// Closes each connection for which this is a reason now.
    fn close_all(&self, reason: CloseReason) {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        for client in self.open.borrow().values() {
            client.close_if(reason, now, &limits);
        }
    }

    /// Cuts off those that have been at their head for too long, or have never begun one.
    pub fn cut_heads(&self) {
        self.close_all(CloseReason::SlowHead);
    }

    /// Once a second: closes what stands still. No client may hold a descriptor for good.
    pub fn sweep(&self) {
        let now = self.service.clock.now();
        for client in self.open.borrow().values() {
            if client.socket.moved.replace(false) || client.stage.get() == Stage::Waiting {
                client.still_since.set(now);
            }
        }
        self.close_all(CloseReason::IdleTimeout);
        self.close_all(CloseReason::Stalled);
    }

    /// Closes connections that came to a listener that is no more, each when it is between requests.
    pub fn leave(&self, name: &str) {
        let open = self.open.borrow();
        let of_listener = open.values().filter(|client| &*client.listener == name);
        of_listener.for_each(|client| client.close_for(CloseReason::ListenerRemoved));
    }

    /// Closes all connections that have been between requests since this time; the number of those that are left.
    pub fn close_idle(&self, before: Nanos) -> usize {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        for client in open.values().filter(|client| client.idle_since.get() <= before) {
            client.close_if(CloseReason::Leaving, now, &limits);
        }
        open.len()
    }
}

async fn serve(service: &Rc<Service>, client: Rc<Client>) {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(service.site.get().plan.limits.read_buffer())
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(None);
    let answering = service_fn(|request| respond(service, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, answering));
    let site = service.site.get();
    let told = site.plan.listeners.iter().find(|l| *l.name == *client.listener);
    let one_at_a_time = told.is_some_and(|l| l.dialect == Dialect::Platform);
    drop(site);
    loop {
        tokio::select! {
            biased;
            // What goes wrong here is the client's: it has gone, or was told 400.
            ended = connection.as_mut() => {
                let unreadable = ended.is_err_and(|error| error.is_parse());
                client.unread.set(unreadable || client.unread.get());
                break;
            }
            () = client.leaves(one_at_a_time) => return service.closed(&client, "client-left", false),
            _ = client.close.notified() => {
                let Some(reason) = client.closing.get() else { continue };
                let unread = || !client.socket.quiet();
                let state = client.state(service.clock.now());
                match carry_out(reason, &state, &service.close_limits(), unread) {
                    CloseDecision::Keep => client.closing.set(None),
                    CloseDecision::CloseAfterAnswer => {
                        client.closing.set(None);
                        client.last.set(true);
                    }
                    CloseDecision::Close => connection.as_mut().graceful_shutdown(),
                    CloseDecision::Cut => {
                        let dropped = client.stage.get() == Stage::Waiting && client.whole.get();
                        service.closed(&client, reason.name(), dropped);
                        return;
                    }
                }
            }
        }
    }
    let reason = match client.closing.get() {
        Some(reason) => reason.name(),
        None if client.unread.get() => "answered",
        None => "client",
    };
    service.closed(&client, reason, false);
    if client.unread.get() {
        tokio::select! {
            () = client.socket.linger(SILENT, LINGER) => {}
            () = client.close.notified() => {}
        }
    }
}

/// An answer that keeps its connection from counting as idle until hyper has taken all of it.
pub(super) struct Outgoing {
    body: AnswerBody,
    service: Rc<Service>,
    client: Rc<Client>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let this = self.get_mut();
        let piece = std::task::ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let (Some(Err(_)), Some(tally)) = (&piece, &mut *this.client.tally.borrow_mut()) {
            tally.cut();
        }
        Poll::Ready(piece)
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
        self.client.tally.take();
        self.client.rest.take();
        self.client.stage.set(Stage::Idle);
        self.client.idle_since.set(self.service.clock.now());
        self.client.socket.forget(self.client.body_length.get());
    }
}

/// Answers a request in the dialect of its listener, and ends the connection with it where the program leaves, the
/// client has no place or the listener is no more. So it does behind a chunked body, on the platform and where the
/// head has not been seen as it came: a length beside it may hide another request in what follows (RFC 9112, 6.1).
async fn respond(
    service: &Rc<Service>,
    client: &Rc<Client>,
    request: Request<Incoming>,
) -> Result<Response<Outgoing>, Infallible> {
    client.stage.set(Stage::Reading);
    client.whole.set(false);
    client.fresh_since.set(None);
    client.request_waited.set(client.waited.take());
    let chunked = request.headers().contains_key(header::TRANSFER_ENCODING);
    let seen = chunked && client.socket.has_head(request.method().as_str());
    // Taken once: a new site takes over between two requests.
    let site = service.site.get();
    let listener = site.plan.listeners.iter().position(|l| *l.name == *client.listener);
    let dialect = listener.map_or(Dialect::Http, |l| site.plan.listeners[l].dialect);
    let bodiless = request.body().is_end_stream();
    client.body_length.set(request.body().size_hint().exact());
    let hides = chunked && !(seen && dialect == Dialect::Http);
    let mut response = match dialect {
        _ if head_length(&request) > site.plan.limits.header_bytes => too_long(),
        Dialect::Platform => platform::answer(service, &site, client, request).await,
        Dialect::Http => general::answer(service, &site, client, listener, request).await,
    };
    client.stage.set(Stage::Writing);
    if let Some(tally) = &mut *client.tally.borrow_mut() {
        let by_server = matches!(response.body(), AnswerBody::Whole(_) | AnswerBody::Stream { .. });
        tally.answer(service.clock.now(), response.status().as_u16(), by_server);
    }
    let last = !service.control.lock().keeps() || client.surplus || client.last.get();
    if last || hides || listener.is_none() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // What the surplus have sent has been read.
    let closes = response.headers().get(header::CONNECTION).is_some_and(|v| v == "close");
    client.unread.set(closes && !bodiless && !client.surplus);
    Ok(response.map(|body| Outgoing { body, service: service.clone(), client: client.clone() }))
}

/// How long a head is, in bytes, but for white space that nobody needs. Hyper turns away only what does not fit its buffer.
fn head_length(request: &Request<Incoming>) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + target + " HTTP/1.1\r\n ".len();
    request.headers().iter().fold(line, |sum, (name, value)| sum + name.as_str().len() + value.len() + 4)
}

fn too_long() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Text(None));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    closing(response)
}

/// Ends the connection behind an answer.
pub(super) fn closing(mut response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
