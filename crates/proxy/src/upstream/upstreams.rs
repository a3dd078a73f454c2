//! The servers of one pool, the connections to them and the attempts that run on these.

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

/// How long an abandoned attempt may continue, so that its connection can be reused. Closing the connection
/// instead would not stop the server's work, and would cost it a new handshake.
const ABANDONED_ATTEMPT_GRACE: Nanos = 1_000_000_000;

/// The servers of one pool, with the limits and resources of the connections to them.
pub struct Upstreams {
    pool_name: String,
    servers: RefCell<ServerTable>,
    pub(super) dialect: Dialect,
    pub(super) budget: Rc<Budget>,
    pub(super) clock: Clock,
    /// Counts attempts whose request was written completely.
    pub(super) forwards: IntCounter,
    pub(super) connect_timeout: Cell<Duration>,
    /// How long an answer's body may stall.
    pub(super) stall_timeout: Duration,
    /// Read buffer of a connection; limits the size of an answer's head.
    pub(super) read_buffer_bytes: usize,
    limiter: Rc<ConnectionLimiter>,
    /// Abandoned attempts and when to abort them, oldest first; bounded by the limit on server connections.
    abandoned: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    /// Unbounded, but the decision module makes its next call only after the last one was answered.
    discovery_calls: mpsc::UnboundedSender<DiscoveryCall>,
}

/// Limits a pool's connections and the requests that wait for one.
struct ConnectionLimiter {
    max_connections: usize,
    max_waiting: usize,
    open: Cell<usize>,
    waiting: Cell<usize>,
    freed: Notify,
}

/// Permission for one connection of a pool, returned when dropped.
pub(super) struct ConnectionPermit(Option<Rc<ConnectionLimiter>>);

impl ConnectionPermit {
    /// A permit that belongs to no limiter.
    #[cfg(test)]
    pub(super) fn unlimited() -> Self {
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

/// Counts a waiting request until it is dropped, whether or not it got a permit.
struct WaitingGuard<'p>(&'p ConnectionLimiter);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        // The dropped request may have consumed a notification: pass it on to the next waiting one.
        if self.0.open.get() < self.0.max_connections {
            self.0.freed.notify_one();
        }
    }
}

impl Upstreams {
    /// Starts without servers.
    pub fn new(
        pool: &Pool,
        limits: &Limits,
        shared: &PoolContext,
        discovery_calls: mpsc::UnboundedSender<DiscoveryCall>,
    ) -> Rc<Self> {
        let reuse_delay = match pool.dialect {
            Dialect::Platform => ReuseDelay::Always,
            Dialect::Http => ReuseDelay::AfterSurplusBytes,
        };
        Rc::new(Upstreams {
            pool_name: pool.name.clone(),
            servers: RefCell::new(ServerTable::new(pool.idle_timeout, reuse_delay)),
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
            discovery_calls,
        })
    }

    /// Applies the pool's timeouts, also to connections that are open already.
    pub fn set_timeouts(&self, pool: &Pool) {
        self.connect_timeout.set(Duration::from_nanos(pool.connect_timeout));
        self.with_servers(|servers| servers.set_server_idle_timeout(pool.idle_timeout));
    }

    /// Runs `f` on the server table.
    pub(super) fn with_servers<T>(&self, f: impl FnOnce(&mut ServerTable) -> T) -> T {
        f(&mut self.servers.borrow_mut())
    }

    /// Applies a list or changes to one: see [`ServerTable::apply_list`].
    pub fn apply_list(&self, kind: ListKind, entries: Vec<ListedServer>) -> Vec<Server> {
        self.with_servers(|servers| servers.apply_list(self.clock.now(), kind, entries))
    }

    /// Closes idle connections that are no longer reusable, and more if the node holds too many connections.
    pub fn close_expired_idle(&self) {
        self.with_servers(|servers| servers.sweep(self.clock.now()));
        while self.budget.is_over_server_limit() && self.close_oldest_idle() {}
    }

    /// Aborts abandoned attempts whose grace period is over.
    pub fn abort_overdue_attempts(&self) {
        let now = self.clock.now();
        let mut abandoned = self.abandoned.borrow_mut();
        while let Some((_, task)) = abandoned.pop_front_if(|(abort_at, _)| *abort_at <= now) {
            task.abort();
        }
    }

    /// Aborts the oldest abandoned attempt, to free its connection; false if there is none.
    pub(super) fn abort_oldest_abandoned(&self) -> bool {
        let oldest = self.abandoned.borrow_mut().pop_front();
        oldest.inspect(|(_, task)| task.abort()).is_some()
    }

    /// Closes the connection that has been idle for longest; false if there is none.
    pub(super) fn close_oldest_idle(&self) -> bool {
        self.with_servers(ServerTable::close_oldest_idle)
    }

    /// Whether requests wait for a permit. Then a connection is closed after use rather than kept idle.
    pub(super) fn has_waiting_requests(&self) -> bool {
        self.limiter.waiting.get() > 0
    }

    /// Waits for a permit for one more connection; `None` if too many requests wait already.
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

/// Sends an engine's attempts to the servers of its pool.
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
        let _ = self.0.discovery_calls.send(call);
    }

    fn server_name(&self, server: ServerId) -> Option<Arc<str>> {
        self.0.with_servers(|servers| servers.name(server))
    }

    fn log(&self, server: Option<ServerId>, text: &str) {
        let pool = &self.0.pool_name;
        match server.and_then(|id| Transport::server_name(self, id)) {
            Some(server) => log(format_args!("pool {pool}: server {server}: {text}")),
            None => log(format_args!("pool {pool}: {text}")),
        }
    }
}

/// An attempt that runs as a task of its own.
struct SpawnedAttempt {
    /// The connection that the attempt uses, once it has one.
    socket: Rc<RefCell<Option<Rc<Socket>>>>,
    task: AbortHandle,
    abandoned: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    clock: Clock,
}

impl SpawnedAttempt {
    fn is_request_written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.is_request_written())
    }
}

impl RunningAttempt for SpawnedAttempt {
    fn cancel_if_unsent(&self) -> bool {
        let is_unsent = !self.is_request_written();
        if is_unsent {
            self.task.abort();
        }
        is_unsent
    }

    fn abandon(self: Box<Self>) {
        if self.is_request_written() {
            self.abandoned.borrow_mut().push_back((self.clock.now() + ABANDONED_ATTEMPT_GRACE, self.task));
        } else {
            self.task.abort();
        }
    }
}
