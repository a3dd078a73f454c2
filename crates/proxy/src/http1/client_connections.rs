//! Accepts, supervises and closes client connections.

use super::backlog::{Backlog, ROUND_INTERVAL};
use super::client_connection::{AcceptedConnection, ClientConnection};
use super::close_policy::{CloseReason, RequestStage};
use super::connection_task::serve_connection;
use super::service::Service;
use crate::socket::is_out_of_descriptors;
use corkhollow_balance::interface::Nanos;
use corkhollow_engine::log;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout_at;

/// A body that has stood still for this long may be refused for the memory and the connection that it holds.
const UPLOAD_STALL: Duration = Duration::from_millis(100);
/// Shortest interval between log lines about the connection limit.
const FULL_LOG_INTERVAL: Nanos = 5_000_000_000;

/// All client connections of a process; the budget bounds their number.
pub struct ClientConnections {
    service: Rc<Service>,
    /// Open connections by number.
    open: RefCell<HashMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// Signalled when a connection has ended.
    connection_closed: Notify,
    /// When the connection limit was last logged.
    full_logged_at: Cell<Nanos>,
}

/// What a new connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Room {
    /// A place among the connections that are served.
    Place,
    /// No more than a refusal of its request: all other clients await answers.
    Refusal,
}

impl ClientConnections {
    /// Creates an empty set of connections.
    pub fn new(service: Rc<Service>) -> Rc<Self> {
        let budget = service.budget.clone();
        let clients = Rc::new(ClientConnections {
            service,
            open: RefCell::default(),
            next_number: Cell::new(0),
            connection_closed: Notify::new(),
            full_logged_at: Cell::new(0),
        });
        let reclaimer = Rc::downgrade(&clients);
        budget.set_reclaimer(move || reclaimer.upgrade().is_some_and(|clients| clients.reclaim()));
        clients
    }

    /// Accepts connections until `stop` is notified, and then those left in the backlog.
    pub async fn accept(self: Rc<Self>, listener_name: Rc<str>, listener: TcpListener, stop: Rc<Notify>) {
        let mut stop = pin!(stop.notified());
        let mut backlog = Backlog::new(&listener);
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = backlog.accept_next(&listener) => accepted,
                _ = &mut stop => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let arrived_after = backlog.record_accept();
                    let over_limit = self.make_room(&mut backlog).await == Room::Refusal;
                    // Its wait may have begun with the wait for room.
                    let arrived_after = arrived_after.or(backlog.arrived_after());
                    let backlog_wait = arrived_after.map_or(Duration::ZERO, |at| at.elapsed());
                    self.start_serving(&listener_name, stream, peer, backlog_wait, over_limit);
                }
                Err(error) if is_out_of_descriptors(&error) => {
                    backlog.mark_blocked();
                    if !self.close_longest_idle() {
                        self.refuse_incomplete(1);
                    }
                    tokio::time::sleep(ROUND_INTERVAL).await;
                }
                // The client left while in the backlog; the next connection is not affected.
                Err(_) => tokio::task::yield_now().await,
            }
        }
        let backlog_wait = backlog.record_accept().map_or(Duration::ZERO, |at| at.elapsed());
        // Accept from the kernel directly: after a pause of the process, tokio may not yet know of waiting
        // connections.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, peer)) = listener.accept() {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                let over_limit = self.service.budget.must_refuse_clients() && !self.close_longest_idle();
                self.start_serving(&listener_name, stream, peer, backlog_wait, over_limit);
            }
        }
    }

    /// Waits until there is room for one more connection. At the limit, idle connections are closed for it, then those
    /// of clients that owe bytes, as slowly as the backlog allows: clients that write slowly keep their time.
    async fn make_room(&self, backlog: &mut Backlog) -> Room {
        let budget = &self.service.budget;
        loop {
            let is_full = budget.must_stop_accepting();
            if !budget.must_refuse_clients() {
                backlog.set_places(0);
                return Room::Place;
            }
            if !is_full && (backlog.take_place() || self.close_longest_idle()) {
                return Room::Place;
            }
            // Before anyone is cut off.
            if self.is_any_client_awaited() && budget.borrow_client() {
                return Room::Place;
            }
            backlog.mark_blocked();
            if let Some(count) = backlog.begin_round(budget.client_usage().1) {
                let refused = self.refuse_incomplete(count);
                backlog.set_places(refused);
                if refused == 0 && !is_full && !self.is_any_client_awaited() {
                    return Room::Refusal;
                }
                self.log_full();
                if refused == 0 && is_full {
                    self.close_longest_idle();
                }
            }
            let _ = timeout_at(backlog.next_round_at().into(), self.connection_closed.notified()).await;
        }
    }

    /// Starts a task that serves an accepted connection. `backlog_wait` is an upper bound on its time in the
    /// backlog.
    fn start_serving(
        self: &Rc<Self>,
        listener_name: &Rc<str>,
        stream: TcpStream,
        peer: SocketAddr,
        backlog_wait: Duration,
        over_limit: bool,
    ) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let connection = AcceptedConnection {
            number,
            stream,
            peer,
            listener_name: listener_name.clone(),
            backlog_wait,
            over_limit,
        };
        let slot = self.service.budget.client_slot();
        let client = ClientConnection::new(connection, self.service.clock.now(), slot);
        self.open.borrow_mut().insert(number, client.clone());
        let clients = self.clone();
        tokio::task::spawn_local(async move {
            serve_connection(&clients.service, client).await;
            clients.open.borrow_mut().remove(&number);
            clients.connection_closed.notify_one();
        });
    }

    /// Whether anything is expected of a client: its connection may be closed for others soon, if not now.
    fn is_any_client_awaited(&self) -> bool {
        let open = self.open.borrow();
        let is_awaited =
            |client: &Rc<ClientConnection>| client.stage.get() == RequestStage::Idle || client.owes_bytes();
        open.values().any(is_awaited)
    }

    /// Requests a close of the connection that has been idle longest; returns whether there was one to close.
    fn close_longest_idle(&self) -> bool {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        let mut idle: Vec<_> =
            open.values().filter(|client| client.stage.get() == RequestStage::Idle).collect();
        idle.sort_unstable_by_key(|client| client.idle_since.get());
        idle.into_iter().any(|client| client.close_if_allowed(CloseReason::MakeRoom, now, &limits))
    }

    /// Refuses at most `count` requests that have not arrived whole, by their [rank](ClientConnection::refusal_rank);
    /// returns how many.
    fn refuse_incomplete(&self, count: usize) -> usize {
        self.refuse_first(count, |client| client.owes_bytes())
    }

    /// Closes a connection for its memory, its connection to a server or what it has borrowed; returns whether there was
    /// one.
    fn reclaim(&self) -> bool {
        let has_borrowed = self.service.budget.borrowed_clients() > 0;
        self.refuse_stalled_upload()
            || (has_borrowed && (self.close_longest_idle() || self.refuse_incomplete(1) > 0))
    }

    /// Refuses the request whose body has stood still for longest, for the memory and the connection to a server that it
    /// may hold; returns whether there was one.
    fn refuse_stalled_upload(&self) -> bool {
        let is_stalled = |client: &ClientConnection| {
            let is_body =
                matches!(client.stage.get(), RequestStage::ReadingBody | RequestStage::AwaitingAnswer);
            is_body && client.owes_bytes() && client.socket.last_received_at.get().elapsed() >= UPLOAD_STALL
        };
        self.refuse_first(1, is_stalled) > 0
    }

    fn refuse_first(&self, count: usize, is_candidate: impl Fn(&ClientConnection) -> bool) -> usize {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        let mut incomplete: Vec<_> = open.values().filter(|client| is_candidate(client)).collect();
        incomplete.sort_unstable_by_key(|client| client.refusal_rank());
        let refused = incomplete
            .into_iter()
            .filter(|client| client.close_if_allowed(CloseReason::Incomplete, now, &limits));
        refused.take(count).count()
    }

    /// Logs what the open connections are doing, at most once per [`FULL_LOG_INTERVAL`].
    fn log_full(&self) {
        let now = self.service.clock.now();
        if now.saturating_sub(self.full_logged_at.get()) < FULL_LOG_INTERVAL {
            return;
        }
        self.full_logged_at.set(now);
        let open = self.open.borrow();
        let count = |stage| open.values().filter(|client| client.stage.get() == stage).count();
        let idle = open.values().filter(|client| client.is_between_requests()).count();
        log(format_args!(
            "client connection limit reached: {} open, {idle} idle, {} reading a head, {} reading a body, \
             {} awaiting an answer, {} writing an answer",
            open.len(),
            count(RequestStage::Idle) - idle,
            count(RequestStage::ReadingBody),
            count(RequestStage::AwaitingAnswer),
            count(RequestStage::WritingAnswer),
        ));
    }

    /// Requests a close of each connection to which this reason applies now.
    fn close_for_reason(&self, reason: CloseReason) {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        for client in self.open.borrow().values() {
            client.close_if_allowed(reason, now, &limits);
        }
    }

    /// Closes connections whose request head has not arrived within the header timeout.
    pub fn close_slow_heads(&self) {
        self.close_for_reason(CloseReason::SlowHead);
    }

    /// Closes idle and stalled connections, so that no client holds a descriptor forever. Called once a
    /// second.
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

    /// Closes the connections of a removed listener, each once its current request is answered.
    pub fn close_listener(&self, listener_name: &str) {
        let open = self.open.borrow();
        let connections = open.values().filter(|client| &*client.listener_name == listener_name);
        connections.for_each(|client| client.request_close(CloseReason::ListenerRemoved));
    }

    /// Requests a close of all connections that have been idle since `before` or longer; returns how many
    /// connections are still open.
    pub fn close_idle(&self, before: Nanos) -> usize {
        let (now, limits) = (self.service.clock.now(), self.service.close_limits());
        let open = self.open.borrow();
        for client in open.values().filter(|client| client.idle_since.get() <= before) {
            client.close_if_allowed(CloseReason::Draining, now, &limits);
        }
        open.len()
    }
}
