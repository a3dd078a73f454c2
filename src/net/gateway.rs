//! Between the sockets and the module: what happens becomes an event, what the module wants is carried out, in
//! order. The gateway owns the balancer, the requests that are under way and all timers.
//!
//! Everything runs on one thread. The state is borrowed only inside the methods here, never across an await.

use super::body::{Broken, Pieces};
use super::budget::Budget;
use super::clock::Clock;
use super::config::Config;
use super::io::Socket;
use super::servers::{self, Fleet};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::AbortHandle;
use yarrowfield::interface::{
    Action, Ending, Endpoint, Event, ListKind, Nanos, Request, RequestId, SettingsError,
};
use yarrowfield::Balancer;

/// How long an attempt that was given up may go on, so that its connection can be used again. Giving it up by
/// closing costs the server a new handshake, and the work goes on there all the same.
const LINGER: Nanos = 1_000_000_000;

/// A client's request as every attempt sends it.
#[derive(Debug)]
pub struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Rc<Pieces>,
    pub give_up_at: Nanos,
}

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    Whole { headers: HeaderMap, body: Pieces },
    Stream { headers: HeaderMap, length: Option<u64>, pieces: mpsc::Receiver<Result<Bytes, Broken>> },
    Refused { retry_after: Nanos },
    Failed { late: bool },
}

/// What an attempt is known by.
#[derive(Clone, Copy, Debug)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u8,
}

struct Attempt {
    server: Endpoint,
    sent_at: Nanos,
    open: bool,
    /// The connection that it has, once it has one.
    socket: Rc<RefCell<Option<Rc<Socket>>>>,
    task: Option<AbortHandle>,
}

struct Live {
    /// Its client's id, held in `State::ids`.
    name: HeaderValue,
    message: Rc<Message>,
    reply: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

struct State {
    balancer: Balancer,
    fleet: Fleet,
    /// Bounded by the clients' connections: each carries one request, and attempts outlive it by a deadline.
    live: HashMap<RequestId, Live>,
    /// The clients' ids of all that is live: a second request under one of them would be a second copy.
    ids: HashSet<HeaderValue>,
    /// Bounded by the rate of requests times the longest give-up time: an entry stays until it is due.
    timers: BinaryHeap<Reverse<(Nanos, Wake)>>,
    armed: Nanos,
    /// Attempts whose outcome is told already; bounded by the connections to servers.
    lingering: VecDeque<(Nanos, AbortHandle)>,
    next_id: RequestId,
}

/// What the discovery task is asked to do, where the list has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    Subscribe,
    Fetch,
}

/// See the module's documentation.
pub struct Gateway {
    pub config: Config,
    pub clock: Clock,
    pub budget: Rc<Budget>,
    /// SIGTERM has come: no more requests on kept connections.
    pub leaving: Cell<bool>,
    /// Discovery has told the list, so that new clients may come.
    pub ready: Cell<bool>,
    /// Bounded by the module, which asks again only after an answer.
    pub list_calls: mpsc::UnboundedSender<ListCall>,
    state: RefCell<State>,
    timer: Notify,
}

impl Gateway {
    pub fn new(
        config: Config,
        list_calls: mpsc::UnboundedSender<ListCall>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(config.settings.clone(), config.seed)?,
            fleet: Fleet::new(config.conn_idle),
            live: HashMap::new(),
            ids: HashSet::new(),
            timers: BinaryHeap::new(),
            armed: Nanos::MAX,
            lingering: VecDeque::new(),
            next_id: 0,
        };
        Ok(Rc::new(Gateway {
            budget: Budget::new(config.limits.sockets, config.limits.memory_mb),
            clock: Clock::start(),
            leaving: Cell::new(false),
            ready: Cell::new(false),
            list_calls,
            state: RefCell::new(state),
            timer: Notify::new(),
            config,
        }))
    }

    /// Runs `f` on the fleet's connections.
    pub fn fleet<T>(&self, f: impl FnOnce(&mut Fleet) -> T) -> T {
        f(&mut self.state.borrow_mut().fleet)
    }

    /// Takes a request; the ticket brings its answer. Dropped without one, the client has left. None where
    /// another one with its name is live.
    pub fn submit(self: &Rc<Self>, name: HeaderValue, request: Request, message: Message) -> Option<Ticket> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if !state.ids.insert(name.clone()) {
            return None;
        }
        let id = state.next_id;
        state.next_id = id.wrapping_add(1);
        let give_up_at = message.give_up_at;
        let live = Live { name, message: Rc::new(message), reply: Some(reply), attempts: Vec::new() };
        state.live.insert(id, live);
        self.start_timer(&mut state, give_up_at, Wake::Deadline(id));
        self.handle(&mut state, Event::Request(Request { id, ..request }));
        Some(Ticket { gateway: self.clone(), id, answer, owed: true })
    }

    /// An attempt has come to an end without an answer for the client.
    pub fn ended(self: &Rc<Self>, id: AttemptId, ending: Ending) {
        let mut state = self.state.borrow_mut();
        self.conclude(&mut state, id, ending);
    }

    /// An attempt has brought a whole answer: the first one is the client's.
    pub fn served(self: &Rc<Self>, id: AttemptId, headers: HeaderMap, body: Pieces) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&id.request) else { return };
        if live.attempts[usize::from(id.number)].open {
            if let Some(reply) = live.reply.take() {
                let _ = reply.send(Answer::Whole { headers, body });
            }
            self.conclude(&mut state, id, Ending::Ok);
        }
    }

    /// An attempt brings a long answer. False where it comes too late to be anybody's.
    ///
    /// The module hears that it is served, now: a long answer's time is that of its first bytes. Told at the end,
    /// it would take a server whose answer a slow client reads for a hung one, and leave it out. (The classes
    /// that the settings call streams are another thing; this site has none.)
    pub fn streams(self: &Rc<Self>, id: AttemptId, answer: Answer) -> bool {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&id.request) else { return false };
        if !live.attempts[usize::from(id.number)].open {
            return false;
        }
        let Some(reply) = live.reply.take() else { return false };
        let taken = reply.send(answer).is_ok();
        self.conclude(&mut state, id, Ending::Ok);
        taken
    }

    fn client_gone(self: &Rc<Self>, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&request) else { return };
        if live.reply.take().is_some() {
            self.handle(&mut state, Event::ClientGone { request });
            self.forget(&mut state, request);
        }
    }

    /// Discovery has spoken. The node's own table is told first: what the module then sends must find it.
    pub fn list(self: &Rc<Self>, kind: ListKind, entries: Vec<servers::Entry>) {
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        let servers = state.fleet.follow(now, kind, entries);
        self.handle(&mut state, Event::List { kind, servers });
    }

    /// Waits for timers and tells the module of them, for good.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = {
                let mut state = self.state.borrow_mut();
                let next = state.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
                let linger = state.lingering.front().map_or(Nanos::MAX, |(at, _)| *at);
                state.armed = next.min(linger);
                state.armed
            };
            let sleep =
                tokio::time::sleep_until(self.clock.instant(next.min(self.clock.now() + 1_000_000_000)));
            tokio::select! {
                _ = sleep => {}
                _ = self.timer.notified() => {}
            }
            self.fire();
        }
    }

    fn fire(self: &Rc<Self>) {
        let mut state = self.state.borrow_mut();
        while let Some(&Reverse((at, wake))) = state.timers.peek() {
            if at > self.clock.now() {
                break;
            }
            state.timers.pop();
            match wake {
                Wake::Module(token) => self.handle(&mut state, Event::Timer { token }),
                Wake::Deadline(id) => self.deadline(&mut state, id),
                Wake::AttemptTimeout(request, number) => {
                    self.conclude(&mut state, AttemptId { request, number }, Ending::TimedOut);
                }
            }
        }
        while let Some((at, _)) = state.lingering.front() {
            if *at > self.clock.now() {
                break;
            }
            if let Some((_, task)) = state.lingering.pop_front() {
                task.abort();
            }
        }
    }

    /// The client waits no longer: all that is out has timed out.
    fn deadline(self: &Rc<Self>, state: &mut State, request: RequestId) {
        let Some(live) = state.live.get(&request) else { return };
        for number in 0..live.attempts.len() as u8 {
            self.conclude(state, AttemptId { request, number }, Ending::TimedOut);
        }
        if let Some(reply) = state.live.get_mut(&request).and_then(|l| l.reply.take()) {
            let _ = reply.send(Answer::Failed { late: true });
            self.handle(state, Event::ClientGone { request });
        }
        self.forget(state, request);
    }

    fn conclude(self: &Rc<Self>, state: &mut State, id: AttemptId, ending: Ending) {
        let Some(live) = state.live.get_mut(&id.request) else { return };
        let Some(attempt) = live.attempts.get_mut(usize::from(id.number)).filter(|a| a.open) else { return };
        attempt.open = false;
        let event = Event::Outcome {
            request: id.request,
            server: attempt.server,
            attempt: id.number,
            finished: live.reply.is_none(),
            took: self.clock.now().saturating_sub(attempt.sent_at),
            ending,
            report: None,
        };
        if matches!(ending, Ending::TimedOut | Ending::Cancelled) {
            if let Some(task) = attempt.task.take() {
                let written = attempt.socket.borrow().as_ref().is_some_and(|s| s.written());
                if written {
                    state.lingering.push_back((self.clock.now() + LINGER, task));
                } else {
                    task.abort();
                }
            }
        }
        self.handle(state, event);
        self.forget(state, id.request);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&self, state: &mut State, request: RequestId) {
        let over = |l: &Live| l.reply.is_none() && l.attempts.iter().all(|a| !a.open);
        if state.live.get(&request).is_some_and(over) {
            if let Some(live) = state.live.remove(&request) {
                state.ids.remove(&live.name);
            }
        }
    }

    fn handle(self: &Rc<Self>, state: &mut State, event: Event) {
        let mut actions = Vec::new();
        state.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(state, action);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(state, request, server, timeout),
            Action::Refuse { request, retry_after } => {
                self.answer(state, request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => {
                let late = |l: &Live| l.message.give_up_at <= self.clock.now();
                let late = state.live.get(&request).is_some_and(late);
                self.answer(state, request, Answer::Failed { late });
            }
            Action::Cancel { request, attempt } => {
                self.conclude(state, AttemptId { request, number: attempt }, Ending::Cancelled);
            }
            Action::StartTimer { after, token } => {
                let at = self.clock.now().saturating_add(after);
                self.start_timer(state, at, Wake::Module(token));
            }
            Action::Subscribe => drop(self.list_calls.send(ListCall::Subscribe)),
            Action::FetchList => drop(self.list_calls.send(ListCall::Fetch)),
            Action::Log { text } => super::log(format_args!("{text}")),
            // The site allows neither, and the module asks for neither.
            Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, server: Endpoint, timeout: Nanos) {
        let Some(live) = state.live.get_mut(&request) else { return };
        let id = AttemptId { request, number: live.attempts.len() as u8 };
        let mut attempt =
            Attempt { server, sent_at: self.clock.now(), open: true, socket: Rc::default(), task: None };
        let most = self.config.settings.max_attempts as usize;
        let wanted = live.reply.is_some() && live.attempts.len() < most;
        if wanted {
            let task =
                servers::attempt(self.clone(), id, server, live.message.clone(), attempt.socket.clone());
            attempt.task = Some(tokio::task::spawn_local(task).abort_handle());
        }
        live.attempts.push(attempt);
        if !wanted {
            self.conclude(state, id, Ending::NotSent);
        } else if timeout > 0 {
            let at = self.clock.now().saturating_add(timeout);
            self.start_timer(state, at, Wake::AttemptTimeout(request, id.number));
        }
    }

    fn answer(&self, state: &mut State, request: RequestId, answer: Answer) {
        if let Some(reply) = state.live.get_mut(&request).and_then(|l| l.reply.take()) {
            let _ = reply.send(answer);
        }
        self.forget(state, request);
    }

    fn start_timer(&self, state: &mut State, at: Nanos, wake: Wake) {
        state.timers.push(Reverse((at, wake)));
        if at < state.armed {
            state.armed = at;
            self.timer.notify_one();
        }
    }

    /// Closes one connection whose attempt is long told of, to make room; false where there is none.
    pub fn stop_lingering(&self) -> bool {
        let oldest = self.state.borrow_mut().lingering.pop_front();
        oldest.inspect(|(_, task)| task.abort()).is_some()
    }
}

/// A client's claim to one answer.
pub struct Ticket {
    gateway: Rc<Gateway>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    owed: bool,
}

impl Ticket {
    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.owed = false;
        answer.unwrap_or(Answer::Failed { late: true })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.owed {
            self.gateway.client_gone(self.id);
        }
    }
}
