//! Clients' connections: taken, watched, closed. What is asked on them is answered by the dialect of their listener.

use super::client::{Client, Connection};
use super::closing::{carry_out, CloseDecision, CloseReason, Stage};
use super::respond::respond;
use super::service::Service;
use crate::socket::{is_out_of_descriptors, SocketIo};
use corkhollow_balance::interface::Nanos;
use corkhollow_engine::log;
use corkhollow_plan::plan::Dialect;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// What a client still sends behind its last answer is read until it is silent for this long,
const SILENT: Duration = Duration::from_millis(500);
/// and no longer than this.
const LINGER: Duration = Duration::from_secs(5);
/// The log tells of full tables this often at most.
const REPORT_EVERY: Nanos = 5_000_000_000;

/// All clients' connections; bounded by the budget.
pub struct ClientConnections {
    service: Rc<Service>,
    open: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    left: Notify,
    reported_at: Cell<Nanos>,
}

impl ClientConnections {
    /// No connection yet.
    pub fn new(service: Rc<Service>) -> Rc<Self> {
        Rc::new(ClientConnections {
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
                    Err(error) if is_out_of_descriptors(&error) => {
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
        let connection = Connection { number: id, stream, peer, listener: name.clone(), waited, surplus };
        let client = Client::new(connection, self.service.clock.now(), budget.client());
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
    pub fn close_slow_heads(&self) {
        self.close_all(CloseReason::SlowHead);
    }

    /// Once a second: closes what stands still. No client may hold a descriptor for good.
    pub fn close_idle_and_stalled(&self) {
        let now = self.service.clock.now();
        for client in self.open.borrow().values() {
            if client.socket.had_traffic.replace(false) || client.stage.get() == Stage::Waiting {
                client.still_since.set(now);
            }
        }
        self.close_all(CloseReason::IdleTimeout);
        self.close_all(CloseReason::Stalled);
    }

    /// Closes connections that came to a listener that is no more, each when it is between requests.
    pub fn close_listener(&self, name: &str) {
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
                let unread = || !client.socket.is_quiet();
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
            () = client.socket.lingering_close(SILENT, LINGER) => {}
            () = client.close.notified() => {}
        }
    }
}
