//! The lifecycle of requests as a state machine without I/O: it receives the time and an event, and appends
//! the commands that follow from it. [`Engine`](crate::Engine) executes them on sockets; tests
//! execute them on a simulated network.

use crate::active_request::{ActiveRequest, Attempt, RequestMessage};
use crate::command::{Command, DiscoveryCall, FinalAnswer};
use crate::message::AttemptId;
use crate::request_ids::RequestIds;
use crate::rules::{self, AttemptState, Denial, RequestState, RetryPolicy, SentAttempt};
use crate::timers::{Timer, Timers};
use corkhollow_balance::interface::{
    Action, Ending, Event, ListKind, Nanos, Quotas, Request, RequestId, Server, ServerId, Settings,
    SettingsError,
};
use corkhollow_balance::{Balancer, Knowledge};
use std::collections::HashMap;
use std::hash::Hash;
/// How often the deadline of a request is looked at again while its body is on its way.
const UPLOAD_CHECK_INTERVAL: Nanos = 50_000_000;

/// The requests, balancer and timers of one pool. `C` is the type of clients' request IDs, `M` of messages to
/// servers, `A` of servers' answers. Deterministic: equal settings, seed, times and events yield equal
/// commands.
pub struct Requests<C, M, A> {
    balancer: Balancer,
    /// Bounded by the number of client connections, each with one request; attempts outlive it until its
    /// deadline at most.
    active: HashMap<RequestId, ActiveRequest<C, M, A>>,
    /// The clients' IDs of active and recent requests; a second request with the same ID would be a duplicate.
    client_request_ids: RequestIds<C>,
    timers: Timers,
    /// A reused buffer, empty between events.
    actions: Vec<Action>,
    next_id: RequestId,
    /// When discovery last sent a full list or changes.
    last_list_at: Nanos,
    /// When the node shuts down; every request is answered by then.
    shutdown_at: Nanos,
}

impl<C: Clone + Eq + Hash, M: RequestMessage, A> Requests<C, M, A> {
    /// Starts without requests and servers. `seed` seeds the balancer's random number generator.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(now: Nanos, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Requests {
            balancer: Balancer::new(settings, seed)?,
            active: HashMap::new(),
            client_request_ids: RequestIds::new(),
            timers: Timers::default(),
            actions: Vec::new(),
            next_id: 0,
            last_list_at: now,
            shutdown_at: Nanos::MAX,
        })
    }

    /// The ID that the next request will get.
    pub fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// Number of active requests, including answered ones with an open attempt.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether no request is active.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// When [`Requests::fire_timers`] is due next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next_at()
    }

    /// Accepts a request, which will get one answer by `give_up_at`. Returns `None` and accepts nothing if
    /// another request has or had the same `client_request_id`: one that is active, one whose answer is still
    /// passed on, or one that may have run in the last [`ID_RETENTION`](crate::ID_RETENTION).
    pub fn submit(
        &mut self,
        now: Nanos,
        client_request_id: Option<C>,
        request: Request,
        message: M,
        commands: &mut Vec<Command<M, A>>,
    ) -> Option<RequestId> {
        if client_request_id.as_ref().is_some_and(|id| !self.client_request_ids.claim(now, id)) {
            return None;
        }
        let (id, give_up_at) = (self.next_id, request.give_up_at.min(self.shutdown_at));
        self.next_id = id.wrapping_add(1);
        let settings = self.balancer.settings();
        let class = settings.classes.get(usize::from(request.class));
        let entry = ActiveRequest {
            client_request_id,
            is_delivered: false,
            message,
            give_up_at,
            timeout: give_up_at.saturating_sub(now),
            is_awaited: true,
            attempts: Vec::new(),
            policy: class.map(|class| RetryPolicy::for_request(&request, class, settings)),
            fallback: None,
        };
        self.active.insert(id, entry);
        self.set_deadline_timer(now, id);
        self.handle_event(now, Event::Request(Request { id, give_up_at, ..request }), commands);
        Some(id)
    }

    /// Rejects an id that a client has sent to another process.
    pub fn reject_client_request_id(&mut self, now: Nanos, id: C) {
        self.client_request_ids.reject(now, id);
    }

    /// The ids of requests that are not accepted again at present.
    pub fn rejected_client_request_ids(&self) -> impl Iterator<Item = &C> {
        self.client_request_ids.claimed()
    }

    /// Handles an attempt that ended without an answer for the client.
    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        ending: Ending,
        commands: &mut Vec<Command<M, A>>,
    ) {
        self.end_attempt(now, id, ending, commands);
    }

    /// Tells the balancer that the last byte of a streamed request has been written to a server.
    pub fn on_request_written(&mut self, now: Nanos, id: AttemptId, commands: &mut Vec<Command<M, A>>) {
        self.handle_event(now, Event::BodyWritten { request: id.request, attempt: id.number }, commands);
    }

    /// Records the arrival of an answer's head, `latency` after the request's last byte. Unlike the transfer
    /// times of the bodies, which depend on slow peers, this reflects the load of the server.
    pub fn on_answer_head(&mut self, id: AttemptId, latency: Nanos) {
        let attempts = self.active.get_mut(&id.request).map(|entry| &mut entry.attempts);
        if let Some(attempt) = attempts.and_then(|attempts| attempts.get_mut(usize::from(id.number))) {
            attempt.latency = Some(latency);
        }
    }

    fn is_open(&self, id: AttemptId) -> bool {
        let attempt =
            self.active.get(&id.request).and_then(|entry| entry.attempts.get(usize::from(id.number)));
        attempt.is_some_and(|attempt| attempt.record.is_open())
    }

    /// Handles an answer for the client, or the beginning of a streamed one. Returns false if no client
    /// awaits it any longer.
    ///
    /// The balancer is told of the success now, not at the end of a streamed body; otherwise a client that
    /// reads slowly would make the server look hung. [`Event::StreamStarted`] is not used.
    pub fn on_answer(
        &mut self,
        now: Nanos,
        id: AttemptId,
        answer: A,
        commands: &mut Vec<Command<M, A>>,
    ) -> bool {
        if !self.is_open(id) {
            return false;
        }
        let entry = self.active.get_mut(&id.request).expect("an open attempt has its request");
        let was_awaited = std::mem::take(&mut entry.is_awaited);
        if was_awaited {
            commands.push(Command::Answer { request: id.request, answer: FinalAnswer::FromServer(answer) });
        }
        self.end_attempt(now, id, Ending::Ok, commands);
        if was_awaited {
            self.cancel_unsent(id.request, commands);
        }
        was_awaited
    }

    /// Handles an error answer. The client gets it unless a later attempt yields a better one.
    pub fn on_error_answer(
        &mut self,
        now: Nanos,
        id: AttemptId,
        ending: Ending,
        answer: A,
        commands: &mut Vec<Command<M, A>>,
    ) {
        if self.is_open(id) {
            if let Some(entry) = self.active.get_mut(&id.request) {
                entry.fallback = Some(answer);
            }
            self.end_attempt(now, id, ending, commands);
        }
    }

    /// The message of an attempt, while the attempt is open and the client awaits its answer.
    pub fn awaited_message(&self, id: AttemptId) -> Option<&M> {
        self.active
            .get(&id.request)
            .filter(|entry| entry.is_awaited && self.is_open(id))
            .map(|entry| &entry.message)
    }

    /// When the answer to an attempt's request is due, if its client awaits it.
    pub fn answer_deadline(&self, now: Nanos, id: AttemptId) -> Option<Nanos> {
        let entry = self.active.get(&id.request).filter(|entry| entry.is_awaited)?;
        Some(self.deadline_of(now, entry))
    }

    /// Whether an open attempt whose answer stands still is better given up for another one: the rules allow that,
    /// there is time for an answer that takes twice as long to begin, and the balancer would send it.
    pub fn should_replace_stalled(&mut self, now: Nanos, id: AttemptId) -> bool {
        let Some(entry) = self.active.get(&id.request) else { return false };
        let Some(attempt) = entry.attempts.get(usize::from(id.number)) else { return false };
        let Ok(state) = self.state_of(now, entry) else { return false };
        let latency = attempt.latency.unwrap_or(now.saturating_sub(attempt.record.sent_at));
        let has_time = state.deadline.saturating_sub(now) >= latency.saturating_mul(2);
        let may_repeat = rules::may_repeat_anywhere(now, state, entry.sent_attempts());
        let can_repeat = has_time && may_repeat && !entry.message.is_body_consumed();
        can_repeat && self.balancer.would_retry(now, id.request)
    }

    /// Whether an attempt may still be written; to be checked right before its first byte. While the
    /// connection was being established, the client may have left, the request may have been answered, the
    /// server may have started to drain or have restarted, or the idempotency window may have passed.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn may_begin(&self, now: Nanos, id: AttemptId) -> Result<(), Denial> {
        let number = usize::from(id.number);
        let entry = self.active.get(&id.request).ok_or(Denial::RequestOver)?;
        let attempt = entry.attempts.get(number).filter(|attempt| attempt.record.is_open());
        let attempt = attempt.ok_or(Denial::RequestOver)?;
        let others = entry.attempts.iter().enumerate().filter(|(index, _)| *index != number);
        let others = others.map(|(_, other)| &other.record);
        let chosen = &attempt.record.server;
        // A server that has restarted is another process than the one that was chosen.
        let server = self.balancer.server(chosen.id).filter(|server| server.started_at == chosen.started_at);
        rules::may_send(now, self.state_of(now, entry)?, others, server)
    }

    fn state_of(&self, now: Nanos, entry: &ActiveRequest<C, M, A>) -> Result<RequestState, Denial> {
        let policy = entry.policy.ok_or(Denial::RequestOver)?;
        Ok(RequestState { policy, is_awaited: entry.is_awaited, deadline: self.deadline_of(now, entry) })
    }

    /// Whether the rules allow the attempt that the balancer proposes.
    fn may_send(&self, now: Nanos, entry: &ActiveRequest<C, M, A>, server: ServerId) -> Result<(), Denial> {
        let (state, others) = (self.state_of(now, entry)?, entry.sent_attempts());
        rules::may_send(now, state, others, self.balancer.server(server))?;
        match entry.message.is_body_consumed() {
            true => Err(Denial::BodySpent),
            false => Ok(()),
        }
    }

    /// Handles the disconnection of a client, which needs no answer any longer.
    pub fn on_client_left(&mut self, now: Nanos, request: RequestId, commands: &mut Vec<Command<M, A>>) {
        let was_awaited =
            self.active.get_mut(&request).is_some_and(|entry| std::mem::take(&mut entry.is_awaited));
        if was_awaited {
            self.handle_event(now, Event::ClientGone { request }, commands);
            self.cancel_unsent(request, commands);
            self.remove_if_over(now, request);
        }
        self.on_delivery_ended(now, request);
    }

    /// Handles the end of an answer: it has been passed on to the client, or the client does not read it.
    pub fn on_delivery_ended(&mut self, now: Nanos, request: RequestId) {
        match self.active.get_mut(&request) {
            Some(entry) => entry.is_delivered = true,
            None => self.client_request_ids.end_delivery(now, request),
        }
    }

    /// Cancels the unwritten attempts of a request that is over, even if the settings do not allow
    /// cancelling.
    fn cancel_unsent(&self, request: RequestId, commands: &mut Vec<Command<M, A>>) {
        let attempts = self.active.get(&request).map_or(&[][..], |entry| &entry.attempts);
        let open = attempts.iter().enumerate().filter(|(_, attempt)| attempt.record.is_open());
        commands.extend(
            open.map(|(number, _)| Command::CancelUnsent(AttemptId { request, number: number as u8 })),
        );
    }

    /// Handles a message from discovery. The transport must know the servers first, as attempts may be sent
    /// at once.
    pub fn on_server_list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        servers: Vec<Server>,
        commands: &mut Vec<Command<M, A>>,
    ) {
        if matches!(kind, ListKind::Changes | ListKind::Full) {
            self.last_list_at = now;
        }
        self.handle_event(now, Event::List { kind, servers }, commands);
    }

    /// Records that discovery sent a list, which has been applied, or a heartbeat: see
    /// [`Balancer::observe_discovery`].
    pub fn observe_discovery(&mut self, now: Nanos) {
        self.balancer.observe_discovery(now);
    }

    /// Applies new settings; active requests keep the policy under which they were accepted. For
    /// `predecessors` and the returned value see [`Balancer::update_settings`].
    ///
    /// # Errors
    /// If the settings are invalid; the old ones stay in force.
    pub fn update_settings(
        &mut self,
        now: Nanos,
        settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        self.balancer.update_settings(now, settings, predecessors)
    }

    /// Gives back class indexes under which no further request is submitted: see
    /// [`Balancer::release_classes`].
    pub fn release_classes(&mut self, indexes: &[u16]) {
        self.balancer.release_classes(indexes);
    }

    /// Sets this node's number and the size of its group: see [`Balancer::set_group_position`].
    ///
    /// # Errors
    /// If `ordinal` is not below `group_size`; nothing changes then.
    pub fn set_group_position(
        &mut self,
        now: Nanos,
        ordinal: u32,
        group_size: u32,
    ) -> Result<(), SettingsError> {
        self.balancer.set_group_position(now, ordinal, group_size)
    }

    /// Replaces the tenants' quotas: see [`Balancer::set_tenant_quotas`].
    ///
    /// # Errors
    /// If a quota is not a valid rate; the old quotas stay in force.
    pub fn set_tenant_quotas(&mut self, quotas: Quotas) -> Result<(), SettingsError> {
        self.balancer.set_tenant_quotas(quotas)
    }

    /// The balancer's current settings and server list.
    pub fn settings_and_servers(&self) -> (&Settings, Vec<Server>) {
        (self.balancer.settings(), self.balancer.listed_servers())
    }

    /// Removes the state of tenants that have been idle for long: see [`Balancer::forget_idle_tenants`].
    pub fn forget_idle_tenants(&mut self, now: Nanos) {
        self.balancer.forget_idle_tenants(now);
    }

    /// What the balancer has learnt about servers and about the classes at `class_indexes`.
    pub fn export_knowledge(&mut self, now: Nanos, class_indexes: &[u16]) -> Knowledge {
        self.balancer.export_knowledge(now, class_indexes)
    }

    /// Imports what the balancer of another process has learnt: see [`Balancer::import_knowledge`].
    pub fn import_knowledge(
        &mut self,
        now: Nanos,
        known: &Knowledge,
        successors: &[Option<u16>],
    ) -> Option<usize> {
        self.balancer.import_knowledge(now, known, successors)
    }

    /// Number of listed servers, how many of them are ejected, and the age of the list.
    pub fn server_counts(&self, now: Nanos) -> (usize, usize, Nanos) {
        let (listed, ejected) = self.balancer.server_counts(now);
        (listed, ejected, now.saturating_sub(self.last_list_at))
    }

    /// Fires all timers that are due.
    pub fn fire_timers(&mut self, now: Nanos, commands: &mut Vec<Command<M, A>>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer(token) => self.handle_event(now, Event::Timer { token }, commands),
                Timer::Deadline(id) => self.expire(now, id, commands),
                Timer::AttemptTimeout(request, number) => {
                    self.end_attempt(now, AttemptId { request, number }, Ending::TimedOut, commands);
                }
            }
        }
    }

    /// Sets when the node shuts down: requests still active then fail, and new requests get no later
    /// deadline.
    pub fn set_shutdown_deadline(&mut self, at: Nanos) {
        self.shutdown_at = at;
        for (id, _) in self.active.iter().filter(|(_, entry)| entry.is_awaited) {
            self.timers.push(at, Timer::Deadline(*id));
        }
    }

    /// The deadline of a request. For a streamed request body it depends on the body's progress.
    fn deadline_of(&self, now: Nanos, entry: &ActiveRequest<C, M, A>) -> Nanos {
        let upload_deadline = entry.message.upload_deadline(now, entry.timeout);
        upload_deadline.map_or(entry.give_up_at, |deadline| deadline.at).min(self.shutdown_at)
    }

    /// Sets the timer for a request's deadline, or for the next look at a deadline that may still move.
    fn set_deadline_timer(&mut self, now: Nanos, request: RequestId) {
        let Some(entry) = self.active.get(&request) else { return };
        let may_move =
            entry.message.upload_deadline(now, entry.timeout).is_some_and(|deadline| !deadline.is_final);
        let next_check_at = if may_move { now.saturating_add(UPLOAD_CHECK_INTERVAL) } else { Nanos::MAX };
        let at = self.deadline_of(now, entry).min(next_check_at);
        self.timers.push(at, Timer::Deadline(request));
    }

    /// Fails a request at its deadline and ends its open attempts as timed out. Before the deadline, sets a new
    /// timer instead.
    fn expire(&mut self, now: Nanos, request: RequestId, commands: &mut Vec<Command<M, A>>) {
        let Some(entry) = self.active.get(&request) else { return };
        let due_at = match entry.is_awaited {
            true => self.deadline_of(now, entry),
            false => self.deadline_of(now, entry).min(entry.give_up_at),
        };
        if due_at > now {
            return self.set_deadline_timer(now, request);
        }
        // Answered before the attempts end: at a shutdown the balancer still assumes the original deadline
        // and would retry.
        let (was_awaited, attempt_count) = (entry.is_awaited, entry.attempts.len() as u8);
        self.answer_client(now, request, FinalAnswer::Failed { timed_out: true }, commands);
        for number in 0..attempt_count {
            self.end_attempt(now, AttemptId { request, number }, Ending::TimedOut, commands);
        }
        if was_awaited {
            self.handle_event(now, Event::ClientGone { request }, commands);
        }
        self.remove_if_over(now, request);
    }

    /// Ends an open attempt, counts it and reports its outcome to the balancer.
    fn end_attempt(&mut self, now: Nanos, id: AttemptId, ending: Ending, commands: &mut Vec<Command<M, A>>) {
        let Some(entry) = self.active.get_mut(&id.request) else { return };
        let Some(attempt) =
            entry.attempts.get_mut(usize::from(id.number)).filter(|attempt| attempt.record.is_open())
        else {
            return;
        };
        attempt.record.state = AttemptState::Ended(ending);
        commands.push(Command::AttemptEnded { id, ending });
        let event = Event::Outcome {
            request: id.request,
            server: attempt.record.server.id,
            attempt: id.number,
            finished: !entry.is_awaited,
            took: attempt.latency.unwrap_or(now.saturating_sub(attempt.record.sent_at)),
            ending,
            body_consumed: entry.message.is_body_consumed(),
            report: None,
        };
        if attempt.was_sent && matches!(ending, Ending::TimedOut | Ending::Cancelled) {
            commands.push(Command::Abandon(id));
        }
        self.handle_event(now, event, commands);
        self.remove_if_over(now, id.request);
    }

    /// Removes a request that no client awaits and that has no open attempt.
    fn remove_if_over(&mut self, now: Nanos, request: RequestId) {
        if !self.active.get(&request).is_some_and(ActiveRequest::is_over) {
            return;
        }
        let Some(entry) = self.active.remove(&request) else { return };
        let may_have_run = entry.may_have_run();
        match entry.client_request_id {
            Some(id) if !may_have_run => self.client_request_ids.release(&id),
            Some(id) if entry.is_delivered => self.client_request_ids.retire(now, id),
            Some(id) => self.client_request_ids.hold_for_delivery(request, id),
            None => {}
        }
    }

    /// Passes an event to the balancer and executes its actions.
    fn handle_event(&mut self, now: Nanos, event: Event, commands: &mut Vec<Command<M, A>>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(now, action, commands);
        }
        self.actions = actions;
    }

    fn execute(&mut self, now: Nanos, action: Action, commands: &mut Vec<Command<M, A>>) {
        match action {
            Action::Send { request, server, timeout } => {
                self.send_attempt(now, request, server, timeout, commands)
            }
            Action::Refuse { request, retry_after, reason } => {
                self.refuse_or_fail(now, request, FinalAnswer::Refused { retry_after, reason }, commands);
            }
            Action::Fail { request } => {
                let timed_out = self.active.get(&request).is_some_and(|entry| entry.give_up_at <= now);
                self.answer_client(now, request, FinalAnswer::Failed { timed_out }, commands);
            }
            Action::Cancel { request, attempt } => {
                self.end_attempt(now, AttemptId { request, number: attempt }, Ending::Cancelled, commands);
            }
            Action::StartTimer { after, token } => {
                self.timers.push(now.saturating_add(after), Timer::Balancer(token));
            }
            Action::Subscribe => commands.push(Command::CallDiscovery(DiscoveryCall::Subscribe)),
            Action::FetchList => commands.push(Command::CallDiscovery(DiscoveryCall::Fetch)),
            Action::Log { server, text } => commands.push(Command::Log { server, text }),
            // Probes and peer messages are not supported here; the balancer does not request them.
            Action::Probe { .. } | Action::SendMessage { .. } => {}
        }
    }

    /// Sends an attempt, or ends it as not sent if the rules deny it.
    fn send_attempt(
        &mut self,
        now: Nanos,
        request: RequestId,
        server: ServerId,
        timeout: Nanos,
        commands: &mut Vec<Command<M, A>>,
    ) {
        let Some(entry) = self.active.get(&request) else { return };
        let allowed = self.may_send(now, entry, server);
        let listed = self.balancer.server(server).copied().unwrap_or(Server::warm(server));
        let Some(entry) = self.active.get_mut(&request) else { return };
        let id = AttemptId { request, number: entry.attempts.len() as u8 };
        entry.fallback = None;
        let hedge = entry.attempts.iter().any(|attempt| attempt.record.is_open());
        if let Some(last) = entry.attempts.last() {
            let after = match last.record.state {
                AttemptState::Ended(ending) if !hedge => Some(ending),
                _ => None,
            };
            commands.push(Command::AttemptRepeated { after });
        }
        let record = SentAttempt { server: listed, sent_at: now, state: AttemptState::Open };
        entry.attempts.push(Attempt { record, latency: None, was_sent: allowed.is_ok() });
        if let Err(denial) = allowed {
            commands.push(Command::ProposalDenied { request, denial });
            return self.end_attempt(now, id, Ending::NotSent, commands);
        }
        commands.push(Command::Send { id, server, message: entry.message.clone(), hedge });
        if timeout > 0 {
            let timer = Timer::AttemptTimeout(request, id.number);
            self.timers.push(now.saturating_add(timeout), timer);
        }
    }

    /// Refuses a request, or fails it if a retry by the client could run it twice.
    fn refuse_or_fail(
        &mut self,
        now: Nanos,
        request: RequestId,
        refusal: FinalAnswer<A>,
        commands: &mut Vec<Command<M, A>>,
    ) {
        let may_refuse = |entry: &ActiveRequest<C, M, A>| {
            entry.policy.is_none_or(|policy| rules::may_refuse(policy, entry.sent_attempts()))
        };
        if self.active.get(&request).is_none_or(may_refuse) {
            return self.answer_client(now, request, refusal, commands);
        }
        commands.push(Command::ProposalDenied { request, denial: Denial::RefusalNotHarmless });
        self.answer_client(now, request, FinalAnswer::Failed { timed_out: false }, commands);
    }

    /// Gives the client its final answer, preferring a server's error answer to the given one.
    fn answer_client(
        &mut self,
        now: Nanos,
        request: RequestId,
        answer: FinalAnswer<A>,
        commands: &mut Vec<Command<M, A>>,
    ) {
        if let Some(entry) = self.active.get_mut(&request) {
            let answer = entry.fallback.take().map_or(answer, FinalAnswer::FromServer);
            if std::mem::take(&mut entry.is_awaited) {
                commands.push(Command::Answer { request, answer });
                self.cancel_unsent(request, commands);
            }
        }
        self.remove_if_over(now, request);
    }
}
