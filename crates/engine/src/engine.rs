//! The shell around [`Requests`]: gives it the time, carries out what it writes down, and wakes it.
//!
//! Everything runs on one thread. The state is borrowed only while it takes an event, never across an await and not
//! while its commands are carried out.

use crate::body::BufferedBody;
use crate::clock::Clock;
use crate::log::log;
use crate::message::{Answer, AttemptId, Message, UploadProgress};
use crate::requests::{Command, DiscoveryCall, FinalAnswer, RequestMessage, Requests};
use crate::rules::Denial;
use corkhollow_balance::interface::{
    Ending, ListKind, Nanos, Quotas, Request, RequestId, Server, ServerId, Settings, SettingsError,
};
use corkhollow_balance::Knowledge;
use corkhollow_operate::{ClientRequestId, DenialPoint, Event, PoolMetrics, Subject};
use http::header::{HeaderMap, HeaderValue};
use http::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{oneshot, Notify};

/// The side that holds the connections to servers. It is called while the engine is at work and must not call back
/// before it returns.
pub trait Transport {
    /// Begins an attempt. How it goes is told by [`Engine::on_buffered_answer`], [`Engine::on_answer`] or [`Engine::on_attempt_ended`].
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn RunningAttempt>;

    /// Asks discovery.
    fn call_discovery(&self, call: DiscoveryCall);

    /// The name by which lists know this server.
    fn server_name(&self, server: ServerId) -> Option<Arc<str>>;

    /// Writes a line of the module's, about this server.
    fn log(&self, server: Option<ServerId>, text: &str);
}

/// An attempt that is under way.
pub trait RunningAttempt {
    /// Nobody waits for it any longer.
    fn abandon(self: Box<Self>);

    /// Calls it off, unless the last byte of its request is written; whether it has.
    fn cancel_if_unsent(&self) -> bool;
}

impl RequestMessage for Rc<Message> {
    fn is_body_consumed(&self) -> bool {
        Message::is_body_consumed(self)
    }

    fn deadline(&self, patience: Nanos) -> Option<Nanos> {
        let UploadProgress { ended_at, last_progress_at, stall_timeout, .. } = &*self.upload()?.progress;
        Some(match ended_at.get() {
            Some(at) => at.saturating_add(patience),
            // A server may take a connection and read nothing from it.
            None if self.is_body_consumed() => {
                last_progress_at.get().saturating_add(patience.max(*stall_timeout))
            }
            // It still waits for a connection.
            None => last_progress_at.get().saturating_add(patience),
        })
    }
}

type Told = Command<Rc<Message>, Answer>;
type Pool = Requests<HeaderValue, Rc<Message>, Answer>;

/// See the module's documentation.
pub struct Engine {
    clock: Clock,
    transport: Rc<dyn Transport>,
    figures: PoolMetrics,
    requests: RefCell<Pool>,
    /// Clients that wait.
    replies: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    /// Attempts that are out.
    running: RefCell<HashMap<AttemptId, Box<dyn RunningAttempt>>>,
    /// Empty between events: its memory serves the next one.
    commands: RefCell<Vec<Told>>,
    /// When the timers' task wakes.
    armed: Cell<Nanos>,
    timer: Notify,
}

impl Engine {
    /// An engine without any servers yet. The seed settles its balancer's random draws.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport>,
        figures: PoolMetrics,
    ) -> Result<Rc<Self>, SettingsError> {
        Ok(Rc::new(Engine {
            requests: RefCell::new(Requests::new(clock.now(), settings, seed)?),
            clock,
            transport,
            figures,
            replies: RefCell::default(),
            running: RefCell::default(),
            commands: RefCell::default(),
            armed: Cell::new(Nanos::MAX),
            timer: Notify::new(),
        }))
    }

    /// The engine's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Has the state take something, and carries out what follows.
    fn step<R>(self: &Rc<Self>, take: impl FnOnce(&mut Pool, Nanos, &mut Vec<Told>) -> R) -> R {
        let mut commands = self.commands.take();
        let result = take(&mut self.requests.borrow_mut(), self.clock.now(), &mut commands);
        for command in commands.drain(..) {
            self.carry_out(command);
        }
        self.commands.replace(commands);
        let next = self.requests.borrow().next_timer().unwrap_or(Nanos::MAX);
        if next < self.armed.get() {
            self.armed.set(next);
            self.timer.notify_one();
        }
        result
    }

    fn carry_out(self: &Rc<Self>, command: Told) {
        match command {
            Command::Send { id, server, message, hedge } => {
                if let Some(server) = self.transport.server_name(server) {
                    self.record(id.request, Event::AttemptSent { attempt: id.number, server, hedge });
                }
                let running = self.transport.send(self, id, server, message);
                self.running.borrow_mut().insert(id, running);
            }
            Command::Abandon(id) => {
                let running = self.running.borrow_mut().remove(&id);
                if let Some(running) = running {
                    running.abandon();
                }
            }
            Command::CancelUnsent(id) => {
                let unwritten =
                    self.running.borrow().get(&id).is_some_and(|running| running.cancel_if_unsent());
                if unwritten {
                    self.on_attempt_ended(id, Ending::NotSent);
                }
            }
            Command::Answer { request, answer } => {
                self.record(request, Event::Answered(answer.name()));
                let client_answer = match answer {
                    FinalAnswer::FromServer(server_answer) => server_answer,
                    FinalAnswer::Refused { retry_after, reason } => {
                        self.figures.count_refusal(reason);
                        Answer::Refused { retry_after }
                    }
                    FinalAnswer::Failed { timed_out } => Answer::Failed { timed_out },
                };
                if let Some(reply) = self.replies.borrow_mut().remove(&request) {
                    let _ = reply.send(client_answer);
                }
            }
            Command::CallDiscovery(call) => self.transport.call_discovery(call),
            Command::Log { server, text } => self.transport.log(server, &text),
            Command::AttemptEnded { id, ending } => {
                self.figures.count_attempt(ending);
                self.record(id.request, Event::AttemptEnded { attempt: id.number, ending });
            }
            Command::ProposalDenied { request, denial } => {
                self.denied(request, DenialPoint::Decision, denial)
            }
            Command::AttemptRepeated { after: None } => self.figures.hedges.inc(),
            Command::AttemptRepeated { after: Some(ending) } => self.figures.count_retry(ending),
        }
    }

    /// Takes a request; the ticket brings its answer. Dropped without one, the client has left. None where it has a
    /// name and another one of that name is live.
    pub fn submit(
        self: &Rc<Self>,
        name: Option<HeaderValue>,
        request: Request,
        message: Message,
    ) -> Option<PendingAnswer> {
        let (reply, answer) = oneshot::channel();
        let client_id =
            name.as_ref().map_or(ClientRequestId::new(b"-"), |id| ClientRequestId::new(id.as_bytes()));
        // It may be answered before the step is over.
        let id = self.requests.borrow().next_id();
        self.replies.borrow_mut().insert(id, reply);
        let request = Request { give_up_at: message.deadline, ..request };
        self.record(id, Event::Received(client_id));
        let taken = self.step(|all, now, sink| all.submit(now, name, request, Rc::new(message), sink));
        if taken.is_none() {
            self.replies.borrow_mut().remove(&id);
        }
        taken.map(|id| PendingAnswer { engine: self.clone(), id, answer, owed: true })
    }

    /// An attempt has come to an end without an answer for the client.
    pub fn on_attempt_ended(self: &Rc<Self>, id: AttemptId, ending: Ending) {
        self.running.borrow_mut().remove(&id);
        self.step(|all, now, sink| all.on_attempt_ended(now, id, ending, sink));
    }

    /// A server has the last byte of a request that went on as it came.
    pub fn on_request_written(self: &Rc<Self>, id: AttemptId) {
        self.step(|all, now, sink| all.on_request_written(now, id, sink));
    }

    /// The head of an answer has come, so long after the request's last byte went. That tells how busy the server is;
    /// how long the bodies take on their way, slow peers that they are, does not.
    pub fn on_answer_head(&self, id: AttemptId, took: Nanos) {
        self.requests.borrow_mut().on_answer_head(id, took);
    }

    /// An attempt has brought a whole answer: the first one is the client's.
    pub fn on_buffered_answer(
        self: &Rc<Self>,
        id: AttemptId,
        status: StatusCode,
        headers: HeaderMap,
        body: BufferedBody,
    ) {
        self.on_answer(id, Answer::Buffered { status, headers, body });
    }

    /// An attempt brings a long answer. False where it comes too late to be anybody's.
    pub fn on_answer(self: &Rc<Self>, id: AttemptId, answer: Answer) -> bool {
        self.running.borrow_mut().remove(&id);
        self.step(|all, now, sink| all.on_answer(now, id, answer, sink))
    }

    /// An attempt has brought an answer that tells of a failure. It goes to the client if nothing better comes.
    pub fn on_error_answer(self: &Rc<Self>, id: AttemptId, ending: Ending, answer: Answer) {
        self.running.borrow_mut().remove(&id);
        self.step(|all, now, sink| all.on_error_answer(now, id, ending, answer, sink));
    }

    /// An attempt has brought an interim answer: the client's, as long as it waits for the final one.
    pub fn on_interim_answer(&self, id: AttemptId, status: StatusCode, headers: HeaderMap) {
        let handler =
            self.requests.borrow().awaited_message(id).and_then(|message| message.interim_handler.clone());
        if let Some(handler) = handler {
            handler.forward(status, headers);
        }
    }

    /// Whether an attempt may still be written: see [`Requests::may_begin`].
    pub fn may_begin(&self, id: AttemptId) -> bool {
        let allowed = self.requests.borrow().may_begin(self.clock.now(), id);
        if let Err(denial) = allowed {
            self.denied(id.request, DenialPoint::FirstByte, denial);
        }
        allowed.is_ok()
    }

    /// Counts what the rules have denied. A proposal of the decision module that would have broken a rule is a fault of the program:
    /// it goes into the log.
    fn denied(&self, request: RequestId, proposed: DenialPoint, denial: Denial) {
        self.figures.count_denial(proposed, denial.name());
        self.record(request, Event::Denied(denial.name()));
        if proposed == DenialPoint::Decision && !denial.is_expected() {
            log(format_args!("request {request}: proposed and denied: {}; this is a fault", denial.name()));
        }
    }

    fn record(&self, request: RequestId, event: Event) {
        let subject = Subject::Request { pool: self.figures.pool.clone(), number: request };
        self.figures.events.record(self.clock.now(), subject, event);
    }

    fn on_client_left(self: &Rc<Self>, request: RequestId) {
        self.record(request, Event::ClientLeft);
        self.replies.borrow_mut().remove(&request);
        self.step(|all, now, sink| all.on_client_left(now, request, sink));
    }

    /// Discovery has spoken. The transport must have been told before: what the module then sends must find it.
    pub fn on_server_list(self: &Rc<Self>, kind: ListKind, servers: Vec<Server>) {
        self.step(|all, now, sink| all.on_server_list(now, kind, servers, sink));
    }

    /// Discovery has sent a list or a heartbeat: see [`Requests::observe_discovery`].
    pub fn observe_discovery(&self) {
        self.requests.borrow_mut().observe_discovery(self.clock.now());
    }

    /// Other settings take over: see [`Requests::retune`].
    ///
    /// # Errors
    /// Where no node could act on the settings; the old ones stay in force.
    pub fn retune(
        &self,
        settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        self.requests.borrow_mut().retune(self.clock.now(), settings, predecessors)
    }

    /// Counts as this node of so many from here on: see [`Balancer::set_group_position`](corkhollow_balance::Balancer::set_group_position).
    ///
    /// # Errors
    /// Where there is no such number in such a group; nothing is changed then.
    pub fn count_as(&self, ordinal: u32, group_size: u32) -> Result<(), SettingsError> {
        self.requests.borrow_mut().count_as(self.clock.now(), ordinal, group_size)
    }

    /// Goes by other shares of tenants: see [`Balancer::set_tenant_quotas`](corkhollow_balance::Balancer::set_tenant_quotas).
    ///
    /// # Errors
    /// Where a share is no rate; the old ones stay in force.
    pub fn keep_quotas(&self, quotas: Quotas) -> Result<(), SettingsError> {
        self.requests.borrow_mut().keep_quotas(quotas)
    }

    /// What the module goes by now, and the servers in its list.
    pub fn settings_and_servers(&self) -> (Settings, Vec<Server>) {
        let requests = self.requests.borrow();
        let (settings, servers) = requests.settings_and_servers();
        (settings.clone(), servers)
    }

    /// Forgets tenants that have been idle for long.
    pub fn forget_idle(&self) {
        self.requests.borrow_mut().forget_idle(self.clock.now());
    }

    /// What the module has learnt; of classes, those at these places.
    pub fn knowledge(&self, places: &[u16]) -> Knowledge {
        self.requests.borrow_mut().knowledge(self.clock.now(), places)
    }

    /// Takes over what another process's module has learnt: see [`Requests::recall`].
    pub fn recall(&self, known: &Knowledge, successors: &[Option<u16>]) -> Option<usize> {
        self.requests.borrow_mut().recall(self.clock.now(), known, successors)
    }

    /// Answers all that is under way by then: see [`Requests::set_shutdown_deadline`].
    pub fn set_shutdown_deadline(self: &Rc<Self>, at: Nanos) {
        self.step(|all, _, _| all.set_shutdown_deadline(at));
    }

    /// Servers in the list, and how many of them the module has ejected for now; brings the list's age up to date.
    pub fn census(&self) -> (usize, usize) {
        let (listed, ejected, age) = self.requests.borrow().census(self.clock.now());
        self.figures.list_age_seconds.set(age as f64 / 1e9);
        (listed, ejected)
    }

    /// Waits for timers and tells the module of them, until the engine is retired and its last request is over.
    pub async fn run_timers(self: Rc<Self>, retired: Rc<Cell<bool>>) {
        while !(retired.get() && self.requests.borrow().is_empty()) {
            let next = self.requests.borrow().next_timer().unwrap_or(Nanos::MAX);
            self.armed.set(next);
            let sleep =
                tokio::time::sleep_until(self.clock.instant(next.min(self.clock.now() + 1_000_000_000)));
            tokio::select! {
                _ = sleep => {}
                _ = self.timer.notified() => {}
            }
            self.step(|all, now, sink| all.fire_timers(now, sink));
        }
    }
}

/// A client's claim to one answer.
pub struct PendingAnswer {
    engine: Rc<Engine>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    owed: bool,
}

impl PendingAnswer {
    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.owed = false;
        answer.unwrap_or(Answer::Failed { timed_out: true })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if self.owed {
            self.engine.on_client_left(self.id);
        }
    }
}
