//! The servers of one pool with their connections, and the attempts on these.

use super::attempt::attempt;
use super::fleet::{Entry, Fleet, Rests};
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
const LINGER: Nanos = 1_000_000_000;

/// See the module's documentation.
pub struct Upstreams {
    /// The pool's name.
    name: String,
    fleet: RefCell<Fleet>,
    pub(super) dialect: Dialect,
    pub(super) budget: Rc<Budget>,
    pub(super) clock: Clock,
    /// Attempts written whole.
    pub(super) forwards: IntCounter,
    pub(super) connect_timeout: Cell<Duration>,
    /// How long an answer's body may stand still.
    pub(super) stall: Duration,
    /// How much a connection reads at once; an answer's head has to fit.
    pub(super) buffer: usize,
    places: Rc<Places>,
    /// Attempts that were given up and go on for a while; bounded by the connections to servers.
    lingering: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    /// Bounded by the module, which asks again only after an answer.
    list_calls: mpsc::UnboundedSender<DiscoveryCall>,
}

/// Connections that a pool may hold, and requests that wait for one.
struct Places {
    most: usize,
    most_waiting: usize,
    taken: Cell<usize>,
    waiting: Cell<usize>,
    freed: Notify,
}

/// One connection's place in its pool, given back when dropped.
pub(super) struct Place(Option<Rc<Places>>);

impl Place {
    /// A place in no pool.
    #[cfg(test)]
    pub(super) fn free() -> Self {
        Place(None)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(places) = &self.0 {
            places.taken.set(places.taken.get() - 1);
            places.freed.notify_one();
        }
    }
}

/// Counts one that waits, also where it is dropped while it does.
struct Waiting<'p>(&'p Places);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        // It may have been woken, and the next one in its place must not sleep on.
        if self.0.taken.get() < self.0.most {
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
            Dialect::Platform => Rests::Always,
            Dialect::Http => Rests::WhereServersSpeakUnasked,
        };
        Rc::new(Upstreams {
            name: pool.name.clone(),
            fleet: RefCell::new(Fleet::new(pool.idle_timeout, rests)),
            dialect: pool.dialect,
            budget: shared.budget.clone(),
            clock: shared.clock,
            forwards: shared.figures.forwards.clone(),
            connect_timeout: Cell::new(Duration::from_nanos(pool.connect_timeout)),
            stall: Duration::from_nanos(limits.stall_timeout),
            buffer: limits.read_buffer(),
            places: Rc::new(Places {
                most: pool.max_connections.unwrap_or(usize::MAX),
                most_waiting: pool.max_waiting,
                taken: Cell::new(0),
                waiting: Cell::new(0),
                freed: Notify::new(),
            }),
            lingering: Rc::default(),
            list_calls,
        })
    }

    /// Goes by these times from here on, for connections that are there already too.
    pub fn keep_times(&self, pool: &Pool) {
        self.connect_timeout.set(Duration::from_nanos(pool.connect_timeout));
        self.fleet(|f| f.keep_idle(pool.idle_timeout));
    }

    /// Runs `f` on the fleet's connections.
    pub(super) fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.fleet.borrow_mut())
    }

    /// Takes over a list or changes to it, and puts it into the module's words.
    pub fn follow(&self, kind: ListKind, entries: Vec<Entry>) -> Vec<Server> {
        self.fleet(|f| f.follow(self.clock.now(), kind, entries))
    }

    /// Closes what has stood idle for too long or was closed by its server.
    pub fn close_expired_idle(&self) {
        self.fleet(|f| f.sweep(self.clock.now()));
        while self.budget.servers_over() && self.evict() {}
    }

    /// Ends attempts that have lingered for long enough.
    pub fn abort_overdue_attempts(&self) {
        let now = self.clock.now();
        let mut lingering = self.lingering.borrow_mut();
        while let Some((_, task)) = lingering.pop_front_if(|(at, _)| *at <= now) {
            task.abort();
        }
    }

    /// Closes one connection whose attempt is long told of, to make room; false where there is none.
    pub(super) fn stop_lingering(&self) -> bool {
        let oldest = self.lingering.borrow_mut().pop_front();
        oldest.inspect(|(_, task)| task.abort()).is_some()
    }

    /// Closes the connection that has stood idle for longest; false where there is none.
    pub(super) fn evict(&self) -> bool {
        self.fleet(Fleet::evict)
    }

    /// Whether requests wait for a connection: one that gets free is worth more than one that is kept.
    pub(super) fn crowded(&self) -> bool {
        self.places.waiting.get() > 0
    }

    /// A place for one more connection, as soon as there is one; none where too many wait already.
    pub(super) async fn place(&self) -> Option<Place> {
        let places = &self.places;
        if places.taken.get() >= places.most && !self.evict() {
            if places.waiting.get() >= places.most_waiting {
                return None;
            }
            places.waiting.set(places.waiting.get() + 1);
            let _waiting = Waiting(places);
            while places.taken.get() >= places.most && !self.evict() {
                places.freed.notified().await;
            }
            places.taken.set(places.taken.get() + 1);
        } else {
            places.taken.set(places.taken.get() + 1);
        }
        Some(Place(Some(places.clone())))
    }
}

/// A handle on the upstreams that an engine can own.
pub struct Sender(pub Rc<Upstreams>);

impl Transport for Sender {
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn RunningAttempt> {
        let socket = Rc::default();
        let task = attempt(self.0.clone(), engine.clone(), id, server, message, Rc::clone(&socket));
        Box::new(Sent {
            socket,
            task: tokio::task::spawn_local(task).abort_handle(),
            lingering: self.0.lingering.clone(),
            clock: self.0.clock,
        })
    }

    fn call_discovery(&self, call: DiscoveryCall) {
        let _ = self.0.list_calls.send(call);
    }

    fn server_name(&self, server: ServerId) -> Option<Arc<str>> {
        self.0.fleet(|f| f.name(server))
    }

    fn log(&self, server: Option<ServerId>, text: &str) {
        let pool = &self.0.name;
        match server.and_then(|id| Transport::server_name(self, id)) {
            Some(server) => log(format_args!("pool {pool}: server {server}: {text}")),
            None => log(format_args!("pool {pool}: {text}")),
        }
    }
}

struct Sent {
    /// The connection that it has, once it has one.
    socket: Rc<RefCell<Option<Rc<Socket>>>>,
    task: AbortHandle,
    lingering: Rc<RefCell<VecDeque<(Nanos, AbortHandle)>>>,
    clock: Clock,
}

impl Sent {
    fn written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|s| s.is_request_written())
    }
}

impl RunningAttempt for Sent {
    fn cancel_if_unsent(&self) -> bool {
        let unwritten = !self.written();
        if unwritten {
            self.task.abort();
        }
        unwritten
    }

    fn abandon(self: Box<Self>) {
        if self.written() {
            self.lingering.borrow_mut().push_back((self.clock.now() + LINGER, self.task));
        } else {
            self.task.abort();
        }
    }
}
