//! Connects [`Requests`] to a [`Transport`]: passes it the time and events, executes its commands, and fires
//! its timers.
//!
//! Everything runs on one thread. The state is borrowed only while it handles an event, never across an await
//! or while its commands are executed.

use crate::active_request::{RequestMessage, UploadDeadline};
use crate::body::BufferedBody;
use crate::clock::Clock;
use crate::command::{Command, DiscoveryCall, FinalAnswer};
use crate::log::log;
use crate::message::{Answer, AttemptId, Message};
use crate::request_ids::{RequestKey, SharedIds};
use crate::requests::Requests;
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

/// The connections to servers and to discovery. Its methods are called while the engine executes commands,
/// and must not call back into the engine before they return.
pub trait Transport {
    /// Starts an attempt. Its result is reported through [`Engine::on_buffered_answer`],
    /// [`Engine::on_answer`], [`Engine::on_error_answer`] or [`Engine::on_attempt_ended`].
    fn send(
        &self,
        engine: &Rc<Engine>,
        id: AttemptId,
        server: ServerId,
        message: Rc<Message>,
    ) -> Box<dyn RunningAttempt>;

    /// Calls discovery.
    fn call_discovery(&self, call: DiscoveryCall);

    /// The name of a server in the server lists.
    fn server_name(&self, server: ServerId) -> Option<Arc<str>>;

    /// Logs a message of the balancer, about `server` if given.
    fn log(&self, server: Option<ServerId>, text: &str);
}

/// A handle on an attempt in progress.
pub trait RunningAttempt {
    /// Stops the attempt, whose result is no longer needed; it may continue for a while to keep its
    /// connection reusable.
    fn abandon(self: Box<Self>);

    /// Cancels the attempt unless the last byte of its request has been written. Returns whether it was
    /// cancelled.
    fn cancel_if_unsent(&self) -> bool;
}

impl RequestMessage for Rc<Message> {
    fn is_body_consumed(&self) -> bool {
        Message::is_body_consumed(self)
    }

    fn upload_deadline(&self, now: Nanos, timeout: Nanos) -> Option<UploadDeadline> {
        let progress = &self.upload()?.progress;
        let timeout_after_progress = progress.last_progress_at.get().saturating_add(timeout);
        Some(match progress.arrived_at(now) {
            Some(at) => UploadDeadline { at: at.saturating_add(timeout), is_final: true },
            // Bounded, as a server may accept the connection and never read from it.
            None if self.is_body_consumed() => {
                UploadDeadline { at: timeout_after_progress.max(progress.stalled_at()), is_final: false }
            }
            // No attempt has a connection yet.
            None => UploadDeadline { at: timeout_after_progress, is_final: false },
        })
    }
}

type PoolCommand = Command<Rc<Message>, Answer>;
type PoolRequests = Requests<RequestKey, Rc<Message>, Answer>;

/// The requests of one pool, driven by sockets and timers: see the module's documentation.
pub struct Engine {
    clock: Clock,
    transport: Rc<dyn Transport>,
    metrics: PoolMetrics,
    requests: RefCell<PoolRequests>,
    /// The channels on which clients await their final answers.
    waiting_clients: RefCell<HashMap<RequestId, oneshot::Sender<Answer>>>,
    running_attempts: RefCell<HashMap<AttemptId, Box<dyn RunningAttempt>>>,
    /// Set while another process accepts from the same listening socket.
    shared_ids: RefCell<Option<Box<dyn SharedIds>>>,
    /// A reused buffer, empty between events.
    commands: RefCell<Vec<PoolCommand>>,
    /// When the timer task wakes next.
    next_wake_at: Cell<Nanos>,
    /// Signals an earlier `next_wake_at` to the timer task.
    wake_changed: Notify,
}

impl Engine {
    /// Creates an engine without servers. `seed` seeds the balancer's random number generator.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(
        settings: Settings,
        seed: u64,
        clock: Clock,
        transport: Rc<dyn Transport>,
        metrics: PoolMetrics,
    ) -> Result<Rc<Self>, SettingsError> {
        Ok(Rc::new(Engine {
            requests: RefCell::new(Requests::new(clock.now(), settings, seed)?),
            clock,
            transport,
            metrics,
            waiting_clients: RefCell::default(),
            running_attempts: RefCell::default(),
            shared_ids: RefCell::default(),
            commands: RefCell::default(),
            next_wake_at: Cell::new(Nanos::MAX),
            wake_changed: Notify::new(),
        }))
    }

    /// The engine's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Applies an event to the state and executes the resulting commands.
    fn step<R>(
        self: &Rc<Self>,
        apply: impl FnOnce(&mut PoolRequests, Nanos, &mut Vec<PoolCommand>) -> R,
    ) -> R {
        let mut commands = self.commands.take();
        let result = apply(&mut self.requests.borrow_mut(), self.clock.now(), &mut commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        self.commands.replace(commands);
        let next = self.requests.borrow().next_timer().unwrap_or(Nanos::MAX);
        if next < self.next_wake_at.get() {
            self.next_wake_at.set(next);
            self.wake_changed.notify_one();
        }
        result
    }

    fn execute(self: &Rc<Self>, command: PoolCommand) {
        match command {
            Command::Send { id, server, message, hedge } => {
                if let Some(server) = self.transport.server_name(server) {
                    self.record(id.request, Event::AttemptSent { attempt: id.number, server, hedge });
                }
                let running = self.transport.send(self, id, server, message);
                self.running_attempts.borrow_mut().insert(id, running);
            }
            Command::Abandon(id) => {
                let running = self.running_attempts.borrow_mut().remove(&id);
                if let Some(running) = running {
                    running.abandon();
                }
            }
            Command::CancelUnsent(id) => {
                let was_cancelled =
                    self.running_attempts.borrow().get(&id).is_some_and(|running| running.cancel_if_unsent());
                if was_cancelled {
                    self.on_attempt_ended(id, Ending::NotSent);
                }
            }
            Command::Answer { request, answer } => {
                self.record(request, Event::Answered(answer.name()));
                let client_answer = match answer {
                    FinalAnswer::FromServer(server_answer) => server_answer,
                    FinalAnswer::Refused { retry_after, reason } => {
                        self.metrics.count_refusal(reason);
                        Answer::Refused { retry_after }
                    }
                    FinalAnswer::Failed { timed_out } => Answer::Failed { timed_out },
                };
                if let Some(reply) = self.waiting_clients.borrow_mut().remove(&request) {
                    let _ = reply.send(client_answer);
                }
            }
            Command::CallDiscovery(call) => self.transport.call_discovery(call),
            Command::Log { server, text } => self.transport.log(server, &text),
            Command::AttemptEnded { id, ending } => {
                self.metrics.count_attempt(ending);
                self.record(id.request, Event::AttemptEnded { attempt: id.number, ending });
            }
            Command::ProposalDenied { request, denial } => {
                self.report_denial(request, DenialPoint::Decision, denial)
            }
            Command::AttemptRepeated { after: None } => self.metrics.hedges.inc(),
            Command::AttemptRepeated { after: Some(ending) } => self.metrics.count_retry(ending),
        }
    }

    /// Accepts a request. The returned handle is kept until the answer has been passed on; dropping it before
    /// the answer signals that the client has left. Returns `None` if the `client_request_id` is taken: see
    /// [`Requests::submit`].
    pub fn submit(
        self: &Rc<Self>,
        client_request_id: Option<HeaderValue>,
        request: Request,
        message: Message,
    ) -> Option<PendingAnswer> {
        let (reply, answer) = oneshot::channel();
        let recorded_id = client_request_id
            .as_ref()
            .map_or(ClientRequestId::new(b"-"), |id| ClientRequestId::new(id.as_bytes()));
        // Registered first, since the request may be answered within `submit`.
        let id = self.requests.borrow().next_id();
        self.waiting_clients.borrow_mut().insert(id, reply);
        let request = Request { give_up_at: message.deadline, ..request };
        self.record(id, Event::Received(recorded_id));
        let accepted = self.step(|requests, now, commands| {
            let key = client_request_id.as_ref().map(|id| self.claim_shared_id(requests, now, id));
            requests.submit(now, key, request, Rc::new(message), commands)
        });
        if accepted.is_none() {
            self.waiting_clients.borrow_mut().remove(&id);
        }
        accepted.map(|id| PendingAnswer { engine: self.clone(), id, answer, is_pending: true })
    }

    /// The key of a request id. If other processes have claimed it before this one, `requests` reject it.
    fn claim_shared_id(&self, requests: &mut PoolRequests, now: Nanos, id: &HeaderValue) -> RequestKey {
        let key = RequestKey(corkhollow_plan::stable_hash(id.as_bytes()));
        if let Some(shared_ids) = &mut *self.shared_ids.borrow_mut() {
            let claimed_elsewhere = shared_ids.claim(key);
            claimed_elsewhere.into_iter().for_each(|key| requests.reject_client_request_id(now, key));
        }
        key
    }

    /// Starts or ends the exchange of request ids with the other process on the listening socket.
    pub fn set_shared_ids(&self, shared_ids: Option<Box<dyn SharedIds>>) {
        self.shared_ids.replace(shared_ids);
    }

    /// Rejects ids that were accepted elsewhere: see [`Requests::reject_client_request_id`].
    pub fn reject_request_ids(&self, ids: Vec<RequestKey>) {
        let (now, mut requests) = (self.clock.now(), self.requests.borrow_mut());
        ids.into_iter().for_each(|id| requests.reject_client_request_id(now, id));
    }

    /// The request ids that are not accepted again at present.
    pub fn rejected_request_ids(&self) -> Vec<RequestKey> {
        self.requests.borrow().rejected_client_request_ids().copied().collect()
    }

    /// Handles an attempt that ended without an answer for the client.
    pub fn on_attempt_ended(self: &Rc<Self>, id: AttemptId, ending: Ending) {
        self.running_attempts.borrow_mut().remove(&id);
        self.step(|requests, now, commands| requests.on_attempt_ended(now, id, ending, commands));
    }

    /// Reports that the last byte of a streamed request has been written to a server.
    pub fn on_request_written(self: &Rc<Self>, id: AttemptId) {
        self.step(|requests, now, commands| requests.on_request_written(now, id, commands));
    }

    /// Records the arrival of an answer's head: see [`Requests::on_answer_head`].
    pub fn on_answer_head(&self, id: AttemptId, latency: Nanos) {
        self.requests.borrow_mut().on_answer_head(id, latency);
    }

    /// Handles a complete answer; the client gets the first one.
    pub fn on_buffered_answer(
        self: &Rc<Self>,
        id: AttemptId,
        status: StatusCode,
        headers: HeaderMap,
        body: BufferedBody,
    ) {
        self.on_answer(id, Answer::Buffered { status, headers, body });
    }

    /// Handles an answer, complete or streamed. Returns false if no client awaits it any longer.
    pub fn on_answer(self: &Rc<Self>, id: AttemptId, answer: Answer) -> bool {
        self.running_attempts.borrow_mut().remove(&id);
        self.step(|requests, now, commands| requests.on_answer(now, id, answer, commands))
    }

    /// Handles an error answer. The client gets it unless a later attempt yields a better one.
    pub fn on_error_answer(self: &Rc<Self>, id: AttemptId, ending: Ending, answer: Answer) {
        self.running_attempts.borrow_mut().remove(&id);
        self.step(|requests, now, commands| requests.on_error_answer(now, id, ending, answer, commands));
    }

    /// Forwards an interim answer to the client while it awaits the final one.
    pub fn on_interim_answer(&self, id: AttemptId, status: StatusCode, headers: HeaderMap) {
        let handler =
            self.requests.borrow().awaited_message(id).and_then(|message| message.interim_handler.clone());
        if let Some(handler) = handler {
            handler.forward(status, headers);
        }
    }

    /// When the answer to an attempt's request is due: see [`Requests::answer_deadline`].
    pub fn answer_deadline(&self, id: AttemptId) -> Option<Nanos> {
        self.requests.borrow().answer_deadline(self.clock.now(), id)
    }

    /// Whether an attempt whose answer stands still is given up: see [`Requests::should_replace_stalled`].
    pub fn should_replace_stalled(&self, id: AttemptId) -> bool {
        self.requests.borrow_mut().should_replace_stalled(self.clock.now(), id)
    }

    /// Whether an attempt may still be written: see [`Requests::may_begin`].
    pub fn may_begin(&self, id: AttemptId) -> bool {
        let allowed = self.requests.borrow().may_begin(self.clock.now(), id);
        if let Err(denial) = allowed {
            self.report_denial(id.request, DenialPoint::FirstByte, denial);
        }
        allowed.is_ok()
    }

    /// Counts a denial. Logs one that a correct balancer could not have caused.
    fn report_denial(&self, request: RequestId, point: DenialPoint, denial: Denial) {
        self.metrics.count_denial(point, denial.name());
        self.record(request, Event::Denied(denial.name()));
        if point == DenialPoint::Decision && !denial.is_expected() {
            log(format_args!(
                "request {request}: the rules denied an action proposed by the balancer: {}; this is a fault",
                denial.name()
            ));
        }
    }

    fn record(&self, request: RequestId, event: Event) {
        let subject = Subject::Request { pool: self.metrics.pool.clone(), number: request };
        self.metrics.events.record(self.clock.now(), subject, event);
    }

    fn on_client_left(self: &Rc<Self>, request: RequestId) {
        self.record(request, Event::ClientLeft);
        self.waiting_clients.borrow_mut().remove(&request);
        self.step(|requests, now, commands| requests.on_client_left(now, request, commands));
    }

    fn on_delivery_ended(&self, request: RequestId) {
        self.requests.borrow_mut().on_delivery_ended(self.clock.now(), request);
    }

    /// Handles a message from discovery. The transport must know the servers first, as attempts may be sent
    /// at once.
    pub fn on_server_list(self: &Rc<Self>, kind: ListKind, servers: Vec<Server>) {
        self.step(|requests, now, commands| requests.on_server_list(now, kind, servers, commands));
    }

    /// Records that discovery sent a list or a heartbeat: see [`Requests::observe_discovery`].
    pub fn observe_discovery(&self) {
        self.requests.borrow_mut().observe_discovery(self.clock.now());
    }

    /// Applies new settings: see [`Requests::update_settings`].
    ///
    /// # Errors
    /// If the settings are invalid; the old ones stay in force.
    pub fn update_settings(
        &self,
        settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        self.requests.borrow_mut().update_settings(self.clock.now(), settings, predecessors)
    }

    /// Gives back class indexes under which no further request is submitted: see
    /// [`Requests::release_classes`].
    pub fn release_classes(&self, indexes: &[u16]) {
        self.requests.borrow_mut().release_classes(indexes);
    }

    /// Sets this node's number and the size of its group: see
    /// [`Balancer::set_group_position`](corkhollow_balance::Balancer::set_group_position).
    ///
    /// # Errors
    /// If `ordinal` is not below `group_size`; nothing changes then.
    pub fn set_group_position(&self, ordinal: u32, group_size: u32) -> Result<(), SettingsError> {
        self.requests.borrow_mut().set_group_position(self.clock.now(), ordinal, group_size)
    }

    /// Replaces the tenants' quotas: see
    /// [`Balancer::set_tenant_quotas`](corkhollow_balance::Balancer::set_tenant_quotas).
    ///
    /// # Errors
    /// If a quota is not a valid rate; the old quotas stay in force.
    pub fn set_tenant_quotas(&self, quotas: Quotas) -> Result<(), SettingsError> {
        self.requests.borrow_mut().set_tenant_quotas(quotas)
    }

    /// The balancer's current settings and server list.
    pub fn settings_and_servers(&self) -> (Settings, Vec<Server>) {
        let requests = self.requests.borrow();
        let (settings, servers) = requests.settings_and_servers();
        (settings.clone(), servers)
    }

    /// Removes the state of tenants that have been idle for long.
    pub fn forget_idle_tenants(&self) {
        self.requests.borrow_mut().forget_idle_tenants(self.clock.now());
    }

    /// What the balancer has learnt about servers and about the classes at `class_indexes`.
    pub fn export_knowledge(&self, class_indexes: &[u16]) -> Knowledge {
        self.requests.borrow_mut().export_knowledge(self.clock.now(), class_indexes)
    }

    /// Imports what the balancer of another process has learnt: see [`Requests::import_knowledge`].
    pub fn import_knowledge(&self, known: &Knowledge, successors: &[Option<u16>]) -> Option<usize> {
        self.requests.borrow_mut().import_knowledge(self.clock.now(), known, successors)
    }

    /// Sets when the node shuts down: see [`Requests::set_shutdown_deadline`].
    pub fn set_shutdown_deadline(self: &Rc<Self>, at: Nanos) {
        self.step(|requests, _, _| requests.set_shutdown_deadline(at));
    }

    /// Number of listed servers and how many of them are ejected. Also updates the metric of the list's age.
    pub fn server_counts(&self) -> (usize, usize) {
        let (listed, ejected, age) = self.requests.borrow().server_counts(self.clock.now());
        self.metrics.list_age_seconds.set(age as f64 / 1e9);
        (listed, ejected)
    }

    /// Fires timers until the engine is retired and its last request is over. Wakes at least once a second to
    /// notice that.
    pub async fn run_timers(self: Rc<Self>, retired: Rc<Cell<bool>>) {
        while !(retired.get() && self.requests.borrow().is_empty()) {
            let next = self.requests.borrow().next_timer().unwrap_or(Nanos::MAX);
            self.next_wake_at.set(next);
            let sleep =
                tokio::time::sleep_until(self.clock.instant(next.min(self.clock.now() + 1_000_000_000)));
            tokio::select! {
                _ = sleep => {}
                _ = self.wake_changed.notified() => {}
            }
            self.step(|requests, now, commands| requests.fire_timers(now, commands));
        }
    }
}

/// A submitted request. Dropped when its answer has been passed on; dropping it before the answer cancels the
/// request.
pub struct PendingAnswer {
    engine: Rc<Engine>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    is_pending: bool,
}

impl PendingAnswer {
    /// Waits for the answer.
    pub async fn answer(&mut self) -> Answer {
        let answer = (&mut self.answer).await;
        self.is_pending = false;
        answer.unwrap_or(Answer::Failed { timed_out: true })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        match self.is_pending {
            true => self.engine.on_client_left(self.id),
            false => self.engine.on_delivery_ended(self.id),
        }
    }
}
