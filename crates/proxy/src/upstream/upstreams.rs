//! The servers of one pool with their connections, and the attempts on these.

use super::attempt::run_attempt;
use super::servers::{ListedServer, ReuseDelay, ServerTable};
use super::PoolContext;
use crate::socket::Socket;
use corkhollow_balance::interface::{ListKind, Nanos, Server, ServerId};
use corkhollow_engine::{log, AttemptId, Clock, DiscoveryCall, Engine, Message, RunningAttempt, Transport};
use corkhollow_operate::IntCounter;
use corkhollow_plan::limits::Budget;
use corkhollow_plan::plan::{Dialect, Limits, Pool};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;

/// How long an attempt that was given up may go on, so that its connection can be used again. Giving it up by
/// closing costs the server a new handshake, and the work goes on there all the same.
const ABANDONED_ATTEMPT_GRACE: Nanos = 1_000_000_000;

/// See the module's documentation.
pub struct Upstreams {
    /// The pool's name.
    name: String,
    servers: RefCell<ServerTable>,
    pub(super) dialect: Dialect,
    pub(super) budget: Rc<Budget>,
    pub(super) clock: Clock,
    /// Attempts written whole.
    pub(super) forwards: IntCounter,
    pub(super) connect_timeout: Cell<Duration>,
    /// How long an answer's body may stand still.
    pub(super) stall_timeout: Duration,
    /// How much a connection reads at once; an answer's head has to fit.
    pub(super) read_buffer_bytes: usize,
    limiter: Rc<ConnectionLimiter>,
    /// Attempts that were given up and go on for a while; bounded by the connections to servers.
    abandoned: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    /// Bounded by the module, which asks again only after an answer.
    list_calls: mpsc::UnboundedSender<DiscoveryCall>,
}

/// Connections that a pool may hold, and requests that wait for one.
struct ConnectionLimiter {
    max_connections: usize,
    max_waiting: usize,
    open: Cell<usize>,
    waiting: Cell<usize>,
    freed: Notify,
}

/// One connection's place in its pool, given back when dropped.
pub(super) struct ConnectionPermit(Option<Rc<ConnectionLimiter>>);

impl ConnectionPermit {
    /// A place in no pool.
    #[cfg(test)]
    pub(super) fn free() -> Self {
        ConnectionPermit(None)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        if let Some(limiter) = &self.0 {
            limiter.open.set(limiter.open.get() - 1);
            limiter.freed.notify_one();
        }
    }
}

/// Counts one that waits, also where it is dropped while it does.
struct WaitingGuard<'p>(&'p ConnectionLimiter);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        // It may have been woken, and the next one in its place must not sleep on.
        if self.0.open.get() < self.0.max_connections {
            self.0.freed.notify_one();
        }
    }
}

impl Upstreams {
    /// No servers yet.
    pub fn new(
        pool: &Pool,
        limits: &Limits,
        shared: &PoolContext,
        list_calls: mpsc::UnboundedSender<DiscoveryCall>,
    ) -> Rc<Self> {
        let rests = match pool.dialect {
            Dialect::Platform => ReuseDelay::Always,
            Dialect::Http => ReuseDelay::AfterSurplusBytes,
        };
        Rc::new(Upstreams {
            name: pool.name.clone(),
            servers: RefCell::new(ServerTable::new(pool.idle_timeout, rests)),
            dialect: pool.dialect,
            budget: shared.budget.clone(),
            clock: shared.clock,
            forwards: shared.metrics.forwards.clone(),
            connect_timeout: Cell::new(Duration::from_nanos(pool.connect_timeout)),
            stall_timeout: Duration::from_nanos(limits.stall_timeout),
            read_buffer_bytes: limits.read_buffer_bytes(),
            limiter: Rc::new(ConnectionLimiter {
                max_connections: pool.max_connections.unwrap_or(usize::MAX),
                max_waiting: pool.max_waiting,
                open: Cell::new(0),
                waiting: Cell::new(0),
                freed: Notify::new(),
            }),
            abandoned: Rc::default(),
            list_calls,
        })
    }

    /// Goes by these times from here on, for connections that are there already too.
    pub fn set_timeouts(&self, pool: &Pool) {
        self.connect_timeout.set(Duration::from_nanos(pool.connect_timeout));
        self.with_servers(|servers| servers.set_server_idle_timeout(pool.idle_timeout));
    }

    /// Runs `f` on the fleet's connections.
    pub(super) fn with_servers<T>(&self, f: impl FnOnce(&mut ServerTable) -> T) -> T {
        f(&mut self.servers.borrow_mut())
    }

    /// Takes over a list or changes to it, and puts it into the module's words.
    pub fn apply_list(&self, kind: ListKind, entries: Vec<ListedServer>) -> Vec<Server> {
        self.with_servers(|servers| servers.apply_list(self.clock.now(), kind, entries))
    }

    /// Closes what has stood idle for too long or was closed by its server.
    pub fn close_expired_idle(&self) {
        self.with_servers(|servers| servers.sweep(self.clock.now()));
        while self.budget.is_over_server_limit() && self.close_oldest_idle() {}
    }

    /// AbortOnDrop attempts that have lingered for long enough.
    pub fn abort_overdue_attempts(&self) {
        let now = self.clock.now();
        let mut abandoned = self.abandoned.borrow_mut();
        while let Some((_, task)) = abandoned.pop_front_if(|(at, _)| *at <= now) {
            task.abort();
        }
    }

    /// Closes one connection whose attempt is long told of, to make room; false where there is none.
    pub(super) fn abort_oldest_abandoned(&self) -> bool {
        let oldest = self.abandoned.borrow_mut().pop_front();
        oldest.inspect(|(_, task)| task.abort()).is_some()
    }

    /// Closes the connection that has stood idle for longest; false where there is none.
    pub(super) fn close_oldest_idle(&self) -> bool {
        self.with_servers(ServerTable::close_oldest_idle)
    }

    /// Whether requests wait for a connection: one that gets free is worth more than one that is kept.
    pub(super) fn has_waiting_requests(&self) -> bool {
        self.limiter.waiting.get() > 0
    }

    /// A place for one more connection, as soon as there is one; none where too many wait already.
    pub(super) async fn acquire_permit(&self) -> Option<ConnectionPermit> {
        let limiter = &self.limiter;
        if limiter.open.get() >= limiter.max_connections && !self.close_oldest_idle() {
            if limiter.waiting.get() >= limiter.max_waiting {
                return None;
            }
            limiter.waiting.set(limiter.waiting.get() + 1);
            let _waiting = WaitingGuard(limiter);
            while limiter.open.get() >= limiter.max_connections && !self.close_oldest_idle() {
                limiter.freed.notified().await;
            }
            limiter.open.set(limiter.open.get() + 1);
        } else {
            limiter.open.set(limiter.open.get() + 1);
        }
        Some(ConnectionPermit(Some(limiter.clone())))
    }
}

/// A handle on the upstreams that an engine can own.
pub struct UpstreamTransport(pub Rc<Upstreams>);

impl Transport for UpstreamTransport {
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn RunningAttempt> {
        let socket = Rc::default();
        let task = run_attempt(self.0.clone(), engine.clone(), id, server, message, Rc::clone(&socket));
        Box::new(SpawnedAttempt {
            socket,
            task: tokio::task::spawn_local(task).abort_handle(),
            abandoned: self.0.abandoned.clone(),
            clock: self.0.clock,
        })
    }

    fn call_discovery(&self, call: DiscoveryCall) {
        let _ = self.0.list_calls.send(call);
    }

    fn server_name(&self, server: ServerId) -> Option<Arc<str>> {
        self.0.with_servers(|servers| servers.name(server))
    }

    fn log(&self, server: Option<ServerId>, text: &str) {
        let pool = &self.0.name;
        match server.and_then(|id| Transport::server_name(self, id)) {
            Some(server) => log(format_args!("pool {pool}: server {server}: {text}")),
            None => log(format_args!("pool {pool}: {text}")),
        }
    }
}

struct SpawnedAttempt {
    /// The connection that it has, once it has one.
    socket: Rc<RefCell<Option<Rc<Socket>>>>,
    task: AbortHandle,
    abandoned: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    clock: Clock,
}

impl SpawnedAttempt {
    fn written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.is_request_written())
    }
}

impl RunningAttempt for SpawnedAttempt {
    fn cancel_if_unsent(&self) -> bool {
        let unwritten = !self.written();
        if unwritten {
            self.task.abort();
        }
        unwritten
    }

    fn abandon(self: Box<Self>) {
        if self.written() {
            self.abandoned.borrow_mut().push_back((self.clock.now() + ABANDONED_ATTEMPT_GRACE, self.task));
        } else {
            self.task.abort();
        }
    }
}
