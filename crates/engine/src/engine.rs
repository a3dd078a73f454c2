//! The requests of one pool, its balancer and its timers.
//!
//! Everything runs on one thread. The state is borrowed only inside the methods here, never across an await.

use crate::body::Pieces;
use crate::clock::Clock;
use crate::message::{Answer, AttemptId, Message, Progress};
use corkhollow_balance::interface::{
    Action, Ending, Event, Heirs, ListKind, Nanos, Request, RequestId, Server, ServerId, Settings,
    SettingsError,
};
use corkhollow_balance::{Balancer, Knowledge};
use corkhollow_operate::PoolFigures;
use http::header::{HeaderMap, HeaderValue};
use http::StatusCode;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};

/// What discovery is asked to do, where the list has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// Open a watch.
    Subscribe,
    /// Fetch the list once.
    Fetch,
}

/// The side that holds the connections to servers. It is called while the engine is at work and must not call back
/// before it returns.
pub trait Carrier {
    /// Begins an attempt. How it goes is told by [`Engine::served`], [`Engine::streams`] or [`Engine::ended`].
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn Running>;

    /// Asks discovery.
    fn ask(&self, call: ListCall);

    /// Writes a line of the module's, about this server.
    fn log(&self, server: Option<ServerId>, text: &str);
}

/// An attempt that is under way.
pub trait Running {
    /// Nobody waits for it any longer.
    fn give_up(self: Box<Self>);
}

struct Attempt {
    server: ServerId,
    sent_at: Nanos,
    /// How long its server took to answer, once the answer's head is there.
    took: Option<Nanos>,
    open: bool,
    running: Option<Box<dyn Running>>,
}

struct Live {
    /// Its client's id, held in `State::ids`, where the front wants it to be the only one.
    name: Option<HeaderValue>,
    message: Rc<Message>,
    reply: Option<oneshot::Sender<Answer>>,
    attempts: Vec<Attempt>,
    /// More are not sent, whatever the settings say by now.
    most_attempts: usize,
    /// How long it may take from the end of its body.
    patience: Nanos,
    /// A server's own answer that tells of a failure: the client's, unless a later attempt brings a better one.
    fallback: Option<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

struct State {
    most_attempts: usize,
    balancer: Balancer,
    /// Bounded by the clients' connections: each carries one request, and attempts outlive it by a deadline.
    live: HashMap<RequestId, Live>,
    /// The clients' ids of all that is live: a second request under one of them would be a second copy.
    ids: HashSet<HeaderValue>,
    /// Bounded by the rate of requests times the longest give-up time: an entry stays until it is due.
    timers: BinaryHeap<Reverse<(Nanos, Wake)>>,
    armed: Nanos,
    /// Empty between events: its memory serves the next one.
    actions: Vec<Action>,
    next_id: RequestId,
    /// When discovery last told of servers.
    listed_at: Nanos,
}

/// See the module's documentation.
pub struct Engine {
    clock: Clock,
    carrier: Rc<dyn Carrier>,
    figures: PoolFigures,
    state: RefCell<State>,
    timer: Notify,
}

impl Engine {
    /// An engine without any servers yet. The seed settles its balancer's random draws.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        carrier: Rc<dyn Carrier>,
        figures: PoolFigures,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            most_attempts: settings.max_attempts as usize,
            balancer: Balancer::new(settings, seed)?,
            live: HashMap::new(),
            ids: HashSet::new(),
            timers: BinaryHeap::new(),
            armed: Nanos::MAX,
            actions: Vec::new(),
            next_id: 0,
            listed_at: clock.now(),
        };
        Ok(Rc::new(Engine { clock, carrier, figures, state: RefCell::new(state), timer: Notify::new() }))
    }

    /// The engine's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Takes a request; the ticket brings its answer. Dropped without one, the client has left. None where it has a
    /// name and another one of that name is live.
    pub fn submit(
        self: &Rc<Self>,
        name: Option<HeaderValue>,
        request: Request,
        message: Message,
    ) -> Option<Ticket> {
        let (reply, answer) = oneshot::channel();
        let mut state = self.state.borrow_mut();
        if name.as_ref().is_some_and(|name| !state.ids.insert(name.clone())) {
            return None;
        }
        let id = state.next_id;
        state.next_id = id.wrapping_add(1);
        let give_up_at = message.give_up_at;
        let patience = give_up_at.saturating_sub(self.clock.now());
        let live = Live {
            patience,
            name,
            message: Rc::new(message),
            reply: Some(reply),
            attempts: Vec::new(),
            most_attempts: state.most_attempts,
            fallback: None,
        };
        state.live.insert(id, live);
        self.start_timer(&mut state, give_up_at, Wake::Deadline(id));
        self.handle(&mut state, Event::Request(Request { id, ..request }));
        Some(Ticket { engine: self.clone(), id, answer, owed: true })
    }

    /// An attempt has come to an end without an answer for the client.
    pub fn ended(self: &Rc<Self>, id: AttemptId, ending: Ending) {
        let mut state = self.state.borrow_mut();
        self.conclude(&mut state, id, ending);
    }

    /// A server has the last byte of a request that went on as it came.
    pub fn written(self: &Rc<Self>, id: AttemptId) {
        let mut state = self.state.borrow_mut();
        self.handle(&mut state, Event::Written { request: id.request, attempt: id.number });
    }

    /// The head of an answer has come, so long after the request's last byte went. That tells how busy the server is;
    /// how long the bodies take on their way, slow peers that they are, does not.
    pub fn answering(&self, id: AttemptId, took: Nanos) {
        let mut state = self.state.borrow_mut();
        let attempts = state.live.get_mut(&id.request).map(|live| &mut live.attempts);
        if let Some(attempt) = attempts.and_then(|all| all.get_mut(usize::from(id.number))) {
            attempt.took = Some(took);
        }
    }

    /// An attempt has brought a whole answer: the first one is the client's.
    pub fn served(self: &Rc<Self>, id: AttemptId, status: StatusCode, headers: HeaderMap, body: Pieces) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&id.request) else { return };
        if live.attempts[usize::from(id.number)].open {
            if let Some(reply) = live.reply.take() {
                let _ = reply.send(Answer::Whole { status, headers, body });
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

    /// An attempt has brought an answer that tells of a failure. It goes to the client if nothing better comes.
    pub fn errored(self: &Rc<Self>, id: AttemptId, ending: Ending, answer: Answer) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&id.request) else { return };
        if live.attempts[usize::from(id.number)].open {
            live.fallback = Some(answer);
            self.conclude(&mut state, id, ending);
        }
    }

    /// An attempt has brought an interim answer: the client's, as long as it waits for the final one.
    pub fn interim(&self, id: AttemptId, status: StatusCode, headers: HeaderMap) {
        let waits = |live: &&Live| live.reply.is_some() && live.attempts[usize::from(id.number)].open;
        let interims = {
            let state = self.state.borrow();
            state.live.get(&id.request).filter(waits).and_then(|live| live.message.interims.clone())
        };
        if let Some(interims) = interims {
            interims.take(status, headers);
        }
    }

    fn client_gone(self: &Rc<Self>, request: RequestId) {
        let mut state = self.state.borrow_mut();
        let Some(live) = state.live.get_mut(&request) else { return };
        if live.reply.take().is_some() {
            self.handle(&mut state, Event::ClientGone { request });
            self.forget(&mut state, request);
        }
    }

    /// Discovery has spoken. The carrier must have been told before: what the module then sends must find it.
    pub fn list(self: &Rc<Self>, kind: ListKind, servers: Vec<Server>) {
        let mut state = self.state.borrow_mut();
        if matches!(kind, ListKind::Changes | ListKind::Full) {
            state.listed_at = self.clock.now();
        }
        self.handle(&mut state, Event::List { kind, servers });
    }

    /// Other settings take over; requests that are open keep the rules under which they were taken. `heirs` and what
    /// this returns: see [`Balancer::retune`].
    ///
    /// # Errors
    /// Where no node could act on the settings; the old ones stay in force.
    pub fn retune(&self, settings: Settings, heirs: &Heirs<'_>) -> Result<Vec<u16>, SettingsError> {
        let mut state = self.state.borrow_mut();
        let most_attempts = settings.max_attempts as usize;
        let places = state.balancer.retune(self.clock.now(), settings, heirs)?;
        state.most_attempts = most_attempts;
        Ok(places)
    }

    /// What the module has learnt; of classes, those at these places.
    pub fn knowledge(&self, places: &[u16]) -> Knowledge {
        self.state.borrow_mut().balancer.knowledge(self.clock.now(), places)
    }

    /// Takes over what another process's module has learnt: see [`Balancer::recall`].
    pub fn recall(&self, known: &Knowledge, heirs: &[Option<u16>]) -> Option<usize> {
        self.state.borrow_mut().balancer.recall(self.clock.now(), known, heirs)
    }

    /// Servers in the list, and how many of them the module has ejected for now; brings the list's age up to date.
    pub fn census(&self) -> (usize, usize) {
        let (state, now) = (self.state.borrow(), self.clock.now());
        self.figures.list_age.set(now.saturating_sub(state.listed_at) as f64 / 1e9);
        state.balancer.census(now)
    }

    /// Waits for timers and tells the module of them, until the engine is retired and its last request is over.
    pub async fn run_timers(self: Rc<Self>, retired: Rc<Cell<bool>>) {
        while !(retired.get() && self.state.borrow().live.is_empty()) {
            let next = {
                let mut state = self.state.borrow_mut();
                state.armed = state.timers.peek().map_or(Nanos::MAX, |Reverse((at, _))| *at);
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
    }

    /// The client waits no longer: all that is out has timed out.
    fn deadline(self: &Rc<Self>, state: &mut State, request: RequestId) {
        let Some(live) = state.live.get(&request) else { return };
        // Its time counts from the end of its body.
        if let Some(upload) = live.message.upload().filter(|_| live.reply.is_some()) {
            let now = self.clock.now();
            let Progress { ended_at, moved_at, still, .. } = &*upload.progress;
            let due = match ended_at.get() {
                Some(at) => at.saturating_add(live.patience),
                // A server may take a connection and read nothing from it.
                None if live.message.spent() => moved_at.get().saturating_add(live.patience.max(*still)),
                // It still waits for a connection.
                None => moved_at.get().saturating_add(live.patience),
            };
            if due > now {
                return self.start_timer(state, due, Wake::Deadline(request));
            }
        }
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
        self.figures.ended(ending);
        let now = self.clock.now();
        let event = Event::Outcome {
            request: id.request,
            server: attempt.server,
            attempt: id.number,
            finished: live.reply.is_none(),
            took: attempt.took.unwrap_or(now.saturating_sub(attempt.sent_at)),
            ending,
            spent: live.message.spent(),
            report: None,
        };
        if matches!(ending, Ending::TimedOut | Ending::Cancelled) {
            if let Some(running) = attempt.running.take() {
                running.give_up();
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
                if let Some(name) = live.name {
                    state.ids.remove(&name);
                }
            }
        }
    }

    fn handle(self: &Rc<Self>, state: &mut State, event: Event) {
        let mut actions = std::mem::take(&mut state.actions);
        state.balancer.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(state, action);
        }
        state.actions = actions;
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
            Action::Subscribe => self.carrier.ask(ListCall::Subscribe),
            Action::FetchList => self.carrier.ask(ListCall::Fetch),
            Action::Log { server, text } => self.carrier.log(server, &text),
            // The site allows neither, and the module asks for neither.
            Action::Probe { .. } | Action::Tell { .. } => {}
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, server: ServerId, timeout: Nanos) {
        let Some(live) = state.live.get_mut(&request) else { return };
        let id = AttemptId { request, number: live.attempts.len() as u8 };
        let wanted = live.reply.is_some() && live.attempts.len() < live.most_attempts;
        live.fallback = None;
        match live.attempts.last() {
            Some(_) if live.attempts.iter().any(|a| a.open) => self.figures.hedges.inc(),
            Some(_) => self.figures.retries.inc(),
            None => {}
        }
        let running = wanted.then(|| self.carrier.send(self, id, server, live.message.clone()));
        live.attempts.push(Attempt { server, sent_at: self.clock.now(), took: None, open: true, running });
        if !wanted {
            self.conclude(state, id, Ending::NotSent);
        } else if timeout > 0 {
            let at = self.clock.now().saturating_add(timeout);
            self.start_timer(state, at, Wake::AttemptTimeout(request, id.number));
        }
    }

    fn answer(&self, state: &mut State, request: RequestId, answer: Answer) {
        if let Some(live) = state.live.get_mut(&request) {
            let answer = live.fallback.take().unwrap_or(answer);
            if let Some(reply) = live.reply.take() {
                let _ = reply.send(answer);
            }
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
}

/// A client's claim to one answer.
pub struct Ticket {
    engine: Rc<Engine>,
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
            self.engine.client_gone(self.id);
        }
    }
}
