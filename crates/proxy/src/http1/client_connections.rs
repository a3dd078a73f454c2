//! Clients' connections: taken, watched, closed. What is asked on them is answered by the dialect of their listener.

use super::client_connection::{AcceptedConnection, ClientConnection};
use super::close_policy::{decide_close, CloseDecision, CloseReason, RequestStage};
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
const LINGER_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// and no longer than this.
const MAX_LINGER: Duration = Duration::from_secs(5);
/// The log tells of full tables this often at most.
const FULL_LOG_INTERVAL: Nanos = 5_000_000_000;

/// All clients' connections; bounded by the budget.
pub struct ClientConnections {
    service: Rc<Service>,
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    connection_closed: Notify,
    full_logged_at: Cell<Nanos>,
}

impl ClientConnections {
    /// No connection yet.
    pub fn new(service: Rc<Service>) -> Rc<Self> {
        Rc::new(ClientConnections {
            service,
            open: RefCell::default(),
            next_number: Cell::new(0),
            connection_closed: Notify::new(),
            full_logged_at: Cell::new(0),
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
            while self.service.budget.must_stop_accepting() {
                blocked_since.set(blocked_since.get().or(Some(Instant::now())));
                if !self.close_longest_idle() {
                    self.log_full();
                }
                let _ =
                    tokio::time::timeout(Duration::from_millis(20), self.connection_closed.notified()).await;
            }
            tokio::select! {
                biased;
                accepted = next() => match accepted {
                    Ok((stream, peer)) => self.start_serving(&name, stream, peer, waited()),
                    Err(error) if is_out_of_descriptors(&error) => {
                        blocked_since.set(blocked_since.get().or(Some(Instant::now())));
                        self.close_longest_idle();
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
                self.start_serving(&name, stream, peer, waited);
            }
        }
    }

    /// Serves an accepted connection, which may have waited in the backlog for so long.
    fn start_serving(self: &Rc<Self>, name: &Rc<str>, stream: TcpStream, peer: SocketAddr, waited: Duration) {
        let budget = &self.service.budget;
        let surplus = budget.must_refuse_clients() && !self.close_longest_idle();
        let id = self.next_number.get();
        self.next_number.set(id + 1);
        let connection = AcceptedConnection {
            number: id,
            stream,
            peer,
            listener_name: name.clone(),
            backlog_wait: waited,
            over_limit: surplus,
        };
        let client = ClientConnection::new(connection, self.service.clock.now(), budget.client_slot());
        self.open.borrow_mut().insert(id, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve_connection(&clients.service, client).await;
            clients.open.borrow_mut().remove(&id);
            clients.connection_closed.notify_one();
        });
    }

    fn close_longest_idle(&self) -> bool {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        let mut idle: Vec<_> = open.values().filter(|c| c.stage.get() == RequestStage::Idle).collect();
        idle.sort_unstable_by_key(|c| c.idle_since.get());
        idle.into_iter().any(|client| client.close_if_allowed(CloseReason::MakeRoom, now, &limits))
    }

    /// Says what the connections are doing that leave no room, now and then.
    fn log_full(&self) {
        let now = self.service.clock.now();
        if now.saturating_sub(self.full_logged_at.get()) < FULL_LOG_INTERVAL {
            return;
        }
        self.full_logged_at.set(now);
        let open = self.open.borrow();
        let count = |stage| open.values().filter(|c| c.stage.get() == stage).count();
        let idle = open.values().filter(|c| c.is_between_requests()).count();
        log(format_args!(
            "no room for clients: {} open, {idle} idle, {} in a head, {} in a body, {} waiting, {} being answered",
            open.len(),
            count(RequestStage::Idle) - idle,
            count(RequestStage::ReadingBody),
            count(RequestStage::AwaitingAnswer),
            count(RequestStage::WritingAnswer),
        ));
    }

    /// Closes each connection for which this is a reason now.
    fn close_for_reason(&self, reason: CloseReason) {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        for client in self.open.borrow().values() {
            client.close_if_allowed(reason, now, &limits);
        }
    }

    /// Cuts off those that have been at their head for too long, or have never begun one.
    pub fn close_slow_heads(&self) {
        self.close_for_reason(CloseReason::SlowHead);
    }

    /// Once a second: closes what stands still. No client may hold a descriptor for good.
    pub fn close_idle_and_stalled(&self) {
        let now = self.service.clock.now();
        for client in self.open.borrow().values() {
            if client.socket.had_traffic.replace(false) || client.stage.get() == RequestStage::AwaitingAnswer
            {
                client.last_progress_at.set(now);
            }
        }
        self.close_for_reason(CloseReason::IdleTimeout);
        self.close_for_reason(CloseReason::Stalled);
    }

    /// Closes connections that came to a listener that is no more, each when it is between requests.
    pub fn close_listener(&self, name: &str) {
        let open = self.open.borrow();
        let of_listener = open.values().filter(|client| &*client.listener_name == name);
        of_listener.for_each(|client| client.request_close(CloseReason::ListenerRemoved));
    }

    /// Closes all connections that have been between requests since this time; the number of those that are left.
    pub fn close_idle(&self, before: Nanos) -> usize {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        for client in open.values().filter(|client| client.idle_since.get() <= before) {
            client.close_if_allowed(CloseReason::Draining, now, &limits);
        }
        open.len()
    }
}

async fn serve_connection(service: &Rc<Service>, client: Rc<ClientConnection>) {
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(service.current_plan.get().plan.limits.read_buffer_bytes())
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(None);
    let answering = service_fn(|request| respond(service, &client, request));
    let io = TokioIo::new(SocketIo(client.socket.clone()));
    let mut connection = pin!(builder.serve_connection(io, answering));
    let site = service.current_plan.get();
    let told = site.plan.listeners.iter().find(|l| *l.name == *client.listener_name);
    let one_at_a_time = told.is_some_and(|l| l.dialect == Dialect::Platform);
    drop(site);
    loop {
        tokio::select! {
            biased;
            // What goes wrong here is the client's: it has gone, or was told 400.
            ended = connection.as_mut() => {
                let unreadable = ended.is_err_and(|error| error.is_parse());
                client.request_left_unread.set(unreadable || client.request_left_unread.get());
                break;
            }
            () = client.client_left(one_at_a_time) => return service.record_close(&client, "client-left", false),
            _ = client.close_signal.notified() => {
                let Some(reason) = client.pending_close.get() else { continue };
                let unread = || !client.socket.is_quiet();
                let state = client.state(service.clock.now());
                match decide_close(reason, &state, &service.close_limits(), unread) {
                    CloseDecision::Keep => client.pending_close.set(None),
                    CloseDecision::CloseAfterNextAnswer => {
                        client.pending_close.set(None);
                        client.close_after_answer.set(true);
                    }
                    CloseDecision::CloseGracefully => connection.as_mut().graceful_shutdown(),
                    CloseDecision::Abort => {
                        let dropped = client.stage.get() == RequestStage::AwaitingAnswer && client.request_complete.get();
                        service.record_close(&client, reason.name(), dropped);
                        return;
                    }
                }
            }
        }
    }
    let reason = match client.pending_close.get() {
        Some(reason) => reason.name(),
        None if client.request_left_unread.get() => "answered",
        None => "client",
    };
    service.record_close(&client, reason, false);
    if client.request_left_unread.get() {
        tokio::select! {
            () = client.socket.lingering_close(LINGER_SILENCE_TIMEOUT, MAX_LINGER) => {}
            () = client.close_signal.notified() => {}
        }
    }
}
