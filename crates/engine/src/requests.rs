//! Requests under way, as a state machine without input or output: it is given the time and what has happened, and
//! writes down what is to be done. The shell around it carries that out on sockets, a test on a simulated network.

use crate::message::AttemptId;
use crate::rules::{self, AttemptState, Denial, RequestState, RetryPolicy, SentAttempt};
use corkhollow_balance::interface::{
    Action, Ending, Event, ListKind, Nanos, Quotas, Refusal, Request, RequestId, Server, ServerId, Settings,
    SettingsError,
};
use corkhollow_balance::{Balancer, Knowledge};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::hash::Hash;

/// What discovery is asked to do, where the list has to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryCall {
    /// Open a watch.
    Subscribe,
    /// Fetch the list once.
    Fetch,
}

/// What is carried to servers for a request: a handle that is cheap to clone.
pub trait RequestMessage: Clone {
    /// It has gone, in whole or in part, and is not there for another attempt.
    fn is_body_consumed(&self) -> bool;

    /// When the request's time is up, as far as it is known by now, where that depends on how far its body has come. The
    /// patience is how long it may take from the end of its body.
    fn deadline(&self, patience: Nanos) -> Option<Nanos>;
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer<A> {
    /// A server's.
    FromServer(A),
    /// Turned away; a repeat is harmless.
    Refused {
        /// When to come back; 0 for no advice.
        retry_after: Nanos,
        /// Why.
        reason: Refusal,
    },
    /// Failed, with no word on its effect.
    Failed {
        /// Its time was up.
        timed_out: bool,
    },
}

impl<A> FinalAnswer<A> {
    /// Its name in events, with the reason where there was a choice.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::FromServer(_) => "by-server",
            FinalAnswer::Refused { reason, .. } => reason.name(),
            FinalAnswer::Failed { timed_out: true } => "out-of-time",
            FinalAnswer::Failed { timed_out: false } => "failed",
        }
    }
}

/// What is to be done, in the order in which it is written down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command<M, A> {
    /// Begin an attempt.
    Send {
        /// Which one.
        id: AttemptId,
        /// Where to.
        server: ServerId,
        /// What is carried.
        message: M,
        /// It goes out beside another attempt of its request.
        hedge: bool,
    },
    /// Nobody waits for the attempt any longer.
    Abandon(AttemptId),
    /// The attempt's request is over. Where its last byte has not been written, it must not be: then it is called off, and
    /// has [`Ending::NotSent`]. One that is written goes on to its end.
    CancelUnsent(AttemptId),
    /// Give the client its final answer. Comes once for each request, unless its client leaves before.
    Answer {
        /// Whose.
        request: RequestId,
        /// The answer.
        answer: FinalAnswer<A>,
    },
    /// Ask discovery.
    CallDiscovery(DiscoveryCall),
    /// Write a line of the module's, about this server.
    Log {
        /// The server, where it is about one.
        server: Option<ServerId>,
        /// The line.
        text: String,
    },
    /// For the figures: an attempt has ended.
    AttemptEnded {
        /// Which one.
        id: AttemptId,
        /// How.
        ending: Ending,
    },
    /// For the figures: an attempt follows on another one of its request.
    AttemptRepeated {
        /// How the one before has ended; none where it is open and this one is a hedge.
        after: Option<Ending>,
    },
    /// For the figures: the decision module has proposed what the rules deny, and it is not done.
    ProposalDenied {
        /// Of this request.
        request: RequestId,
        /// Why.
        denial: Denial,
    },
}

struct Attempt {
    record: SentAttempt,
    /// How long its server took to answer, once the answer's head is there.
    took: Option<Nanos>,
    sent: bool,
}

struct Live<N, M, A> {
    /// Its client's id, held in `names`, where the front wants it to be the only one.
    name: Option<N>,
    message: M,
    give_up_at: Nanos,
    /// How long it may take from the end of its body.
    patience: Nanos,
    /// The client waits for an answer.
    owed: bool,
    attempts: Vec<Attempt>,
    /// What the settings allowed for it when it was taken.
    policy: Option<RetryPolicy>,
    /// A server's own answer that tells of a failure: the client's, unless a later attempt brings a better one.
    fallback: Option<A>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Wake {
    Module(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

/// The requests of one pool, its balancer and its timers. `N` names requests, `M` is what is carried, `A` a server's answer.
/// Equal settings, seed, times and events give equal commands.
pub struct Requests<N, M, A> {
    balancer: Balancer,
    /// Bounded by the clients' connections: each carries one request, and attempts outlive it by a deadline.
    live: HashMap<RequestId, Live<N, M, A>>,
    /// The clients' ids of all that is live: a second request under one of them would be a second copy.
    names: HashSet<N>,
    /// Bounded by the rate of requests times the longest give-up time: an entry stays until it is due.
    timers: BinaryHeap<Reverse<(Nanos, Wake)>>,
    /// Empty between events: its memory serves the next one.
    actions: Vec<Action>,
    next_id: RequestId,
    /// When discovery last told of servers.
    listed_at: Nanos,
    /// The node leaves: all is answered by then.
    ends_at: Nanos,
}

impl<N: Clone + Eq + Hash, M: RequestMessage, A> Requests<N, M, A> {
    /// None yet, and no servers. The seed settles the balancer's random draws.
    ///
    /// # Errors
    /// Where no node could act on the settings.
    pub fn new(now: Nanos, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Requests {
            balancer: Balancer::new(settings, seed)?,
            live: HashMap::new(),
            names: HashSet::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            next_id: 0,
            listed_at: now,
            ends_at: Nanos::MAX,
        })
    }

    /// The number that the next request gets.
    pub fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// How many are under way, those with them that are answered and have an attempt out.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether none is under way.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// When [`Requests::fire_timers`] is due next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes a request, which gets one answer by `give_up_at`. None, with nothing taken, where it has a name and another
    /// one of that name is live.
    pub fn submit(
        &mut self,
        now: Nanos,
        name: Option<N>,
        request: Request,
        message: M,
        sink: &mut Vec<Command<M, A>>,
    ) -> Option<RequestId> {
        if name.as_ref().is_some_and(|name| !self.names.insert(name.clone())) {
            return None;
        }
        let (id, give_up_at) = (self.next_id, request.give_up_at.min(self.ends_at));
        self.next_id = id.wrapping_add(1);
        let settings = self.balancer.settings();
        let class = settings.classes.get(usize::from(request.class));
        let live = Live {
            name,
            message,
            give_up_at,
            patience: give_up_at.saturating_sub(now),
            owed: true,
            attempts: Vec::new(),
            policy: class.map(|class| RetryPolicy::for_class(class, settings)),
            fallback: None,
        };
        self.live.insert(id, live);
        self.timers.push(Reverse((give_up_at, Wake::Deadline(id))));
        self.handle(now, Event::Request(Request { id, give_up_at, ..request }), sink);
        Some(id)
    }

    /// An attempt has come to an end without an answer for the client.
    pub fn on_attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        ending: Ending,
        sink: &mut Vec<Command<M, A>>,
    ) {
        self.conclude(now, id, ending, sink);
    }

    /// A server has the last byte of a request that went on as it came.
    pub fn on_request_written(&mut self, now: Nanos, id: AttemptId, sink: &mut Vec<Command<M, A>>) {
        self.handle(now, Event::BodyWritten { request: id.request, attempt: id.number }, sink);
    }

    /// The head of an answer has come, so long after the request's last byte went. That tells how busy the server is;
    /// how long the bodies take on their way, slow peers that they are, does not.
    pub fn on_answer_head(&mut self, id: AttemptId, took: Nanos) {
        let attempts = self.live.get_mut(&id.request).map(|live| &mut live.attempts);
        if let Some(attempt) = attempts.and_then(|all| all.get_mut(usize::from(id.number))) {
            attempt.took = Some(took);
        }
    }

    fn is_open(&self, id: AttemptId) -> bool {
        let attempt = self.live.get(&id.request).and_then(|l| l.attempts.get(usize::from(id.number)));
        attempt.is_some_and(|a| a.record.is_open())
    }

    /// An attempt has brought the client's answer, or the beginning of it. False where it comes too late to be
    /// anybody's.
    ///
    /// The module hears that it is served, now: a long answer's time is that of its first bytes. Told at the end,
    /// it would take a server whose answer a slow client reads for a hung one, and leave it out. (The classes
    /// that the settings call streams are another thing; this site has none.)
    pub fn on_answer(&mut self, now: Nanos, id: AttemptId, answer: A, sink: &mut Vec<Command<M, A>>) -> bool {
        if !self.is_open(id) {
            return false;
        }
        let live = self.live.get_mut(&id.request).expect("an open attempt has its request");
        let owed = std::mem::take(&mut live.owed);
        if owed {
            sink.push(Command::Answer { request: id.request, answer: FinalAnswer::FromServer(answer) });
        }
        self.conclude(now, id, Ending::Ok, sink);
        if owed {
            self.cancel_unsent(id.request, sink);
        }
        owed
    }

    /// An attempt has brought an answer that tells of a failure. It goes to the client if nothing better comes.
    pub fn on_error_answer(
        &mut self,
        now: Nanos,
        id: AttemptId,
        ending: Ending,
        answer: A,
        sink: &mut Vec<Command<M, A>>,
    ) {
        if self.is_open(id) {
            if let Some(live) = self.live.get_mut(&id.request) {
                live.fallback = Some(answer);
            }
            self.conclude(now, id, ending, sink);
        }
    }

    /// What is carried for an attempt's request, while the attempt is out and a client waits for its answer.
    pub fn awaited_message(&self, id: AttemptId) -> Option<&M> {
        self.live.get(&id.request).filter(|live| live.owed && self.is_open(id)).map(|live| &live.message)
    }

    /// Whether an attempt may still be written. To be asked right before its first byte goes: opening a connection takes
    /// time, in which its client may leave, its request be answered, its server be told to drain, or what must not run
    /// twice be forgotten by those who would have known it again.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_begin(&self, now: Nanos, id: AttemptId) -> Result<(), Denial> {
        let number = usize::from(id.number);
        let live = self.live.get(&id.request).ok_or(Denial::RequestOver)?;
        let attempt = live.attempts.get(number).filter(|attempt| attempt.record.is_open());
        let attempt = attempt.ok_or(Denial::RequestOver)?;
        let others = live.attempts.iter().enumerate().filter(|(at, _)| *at != number);
        let others = others.map(|(_, other)| &other.record);
        let server = self.balancer.server(attempt.record.server.id);
        rules::may_send(now, self.facts(live)?, others, server)
    }

    fn facts(&self, live: &Live<N, M, A>) -> Result<RequestState, Denial> {
        let policy = live.policy.ok_or(Denial::RequestOver)?;
        Ok(RequestState { policy, is_awaited: live.owed, deadline: self.due(live) })
    }

    /// Whether the attempt that the decision module proposes may be sent.
    fn may_send(&self, now: Nanos, live: &Live<N, M, A>, server: ServerId) -> Result<(), Denial> {
        let earlier = live.attempts.iter().map(|attempt| &attempt.record);
        rules::may_send(now, self.facts(live)?, earlier, self.balancer.server(server))?;
        match live.message.is_body_consumed() {
            true => Err(Denial::BodySpent),
            false => Ok(()),
        }
    }

    /// The client is gone: nothing more is owed.
    pub fn on_client_left(&mut self, now: Nanos, request: RequestId, sink: &mut Vec<Command<M, A>>) {
        let owed = self.live.get_mut(&request).is_some_and(|live| std::mem::take(&mut live.owed));
        if owed {
            self.handle(now, Event::ClientGone { request }, sink);
            self.cancel_unsent(request, sink);
            self.forget(request);
        }
    }

    /// Calls off what has not been written of a request that is over, whatever the settings say of cancelling.
    fn cancel_unsent(&self, request: RequestId, sink: &mut Vec<Command<M, A>>) {
        let attempts = self.live.get(&request).map_or(&[][..], |live| &live.attempts);
        let open = attempts.iter().enumerate().filter(|(_, attempt)| attempt.record.is_open());
        sink.extend(open.map(|(k, _)| Command::CancelUnsent(AttemptId { request, number: k as u8 })));
    }

    /// Discovery has spoken. Whoever carries attempts must have been told before: what is then sent must find it.
    pub fn on_server_list(
        &mut self,
        now: Nanos,
        kind: ListKind,
        servers: Vec<Server>,
        sink: &mut Vec<Command<M, A>>,
    ) {
        if matches!(kind, ListKind::Changes | ListKind::Full) {
            self.listed_at = now;
        }
        self.handle(now, Event::List { kind, servers }, sink);
    }

    /// Discovery has sent a list, which has been taken in, or a heartbeat: see [`Balancer::observe_discovery`].
    pub fn observe_discovery(&mut self, now: Nanos) {
        self.balancer.observe_discovery(now);
    }

    /// Other settings take over; requests that are open keep the rules under which they were taken. `predecessors` and what
    /// this returns: see [`Balancer::update_settings`].
    ///
    /// # Errors
    /// Where no node could act on the settings; the old ones stay in force.
    pub fn retune(
        &mut self,
        now: Nanos,
        settings: Settings,
        predecessors: &[Option<u16>],
    ) -> Result<Vec<u16>, SettingsError> {
        self.balancer.update_settings(now, settings, predecessors)
    }

    /// Counts as this node of so many from here on: see [`Balancer::set_group_position`].
    ///
    /// # Errors
    /// Where there is no such number in such a group; nothing is changed then.
    pub fn count_as(&mut self, now: Nanos, ordinal: u32, group_size: u32) -> Result<(), SettingsError> {
        self.balancer.set_group_position(now, ordinal, group_size)
    }

    /// Goes by other shares of tenants: see [`Balancer::set_tenant_quotas`].
    ///
    /// # Errors
    /// Where a share is no rate; the old ones stay in force.
    pub fn keep_quotas(&mut self, quotas: Quotas) -> Result<(), SettingsError> {
        self.balancer.set_tenant_quotas(quotas)
    }

    /// What the module goes by now, and the servers in its list.
    pub fn settings_and_servers(&self) -> (&Settings, Vec<Server>) {
        (self.balancer.settings(), self.balancer.listed_servers())
    }

    /// Forgets tenants that have been idle for long: see [`Balancer::forget_idle_tenants`].
    pub fn forget_idle(&mut self, now: Nanos) {
        self.balancer.forget_idle_tenants(now);
    }

    /// What the module has learnt; of classes, those at these places.
    pub fn knowledge(&mut self, now: Nanos, places: &[u16]) -> Knowledge {
        self.balancer.export_knowledge(now, places)
    }

    /// Takes over what another process's module has learnt: see [`Balancer::import_knowledge`].
    pub fn recall(&mut self, now: Nanos, known: &Knowledge, successors: &[Option<u16>]) -> Option<usize> {
        self.balancer.import_knowledge(now, known, successors)
    }

    /// Servers in the list, how many of them the module has ejected for now, and how old the list is.
    pub fn census(&self, now: Nanos) -> (usize, usize, Nanos) {
        let (listed, ejected) = self.balancer.server_counts(now);
        (listed, ejected, now.saturating_sub(self.listed_at))
    }

    /// Tells of all timers that are due.
    pub fn fire_timers(&mut self, now: Nanos, sink: &mut Vec<Command<M, A>>) {
        while let Some(&Reverse((_, wake))) = self.timers.peek().filter(|t| t.0 .0 <= now) {
            self.timers.pop();
            match wake {
                Wake::Module(token) => self.handle(now, Event::Timer { token }, sink),
                Wake::Deadline(id) => self.deadline(now, id, sink),
                Wake::AttemptTimeout(request, number) => {
                    self.conclude(now, AttemptId { request, number }, Ending::TimedOut, sink);
                }
            }
        }
    }

    /// Nobody will be there to answer after this: what is under way then has failed, and so has what comes and would wait
    /// longer.
    pub fn set_shutdown_deadline(&mut self, at: Nanos) {
        self.ends_at = at;
        let late = self.live.iter().filter(|(_, live)| live.owed);
        self.timers.extend(late.map(|(id, _)| Reverse((at, Wake::Deadline(*id)))));
    }

    /// When a request's time is up. Where its body is still coming that counts from the body's end.
    fn due(&self, live: &Live<N, M, A>) -> Nanos {
        live.message.deadline(live.patience).unwrap_or(live.give_up_at).min(self.ends_at)
    }

    /// The client waits no longer: all that is out has timed out.
    fn deadline(&mut self, now: Nanos, request: RequestId, sink: &mut Vec<Command<M, A>>) {
        let Some(live) = self.live.get(&request) else { return };
        let due = self.due(live);
        if live.owed && due > now {
            return self.timers.push(Reverse((due, Wake::Deadline(request))));
        }
        // The answer first: where the node leaves, the module knows of more time, and would use it.
        let (owed, attempts) = (live.owed, live.attempts.len() as u8);
        self.answer(request, FinalAnswer::Failed { timed_out: true }, sink);
        for number in 0..attempts {
            self.conclude(now, AttemptId { request, number }, Ending::TimedOut, sink);
        }
        if owed {
            self.handle(now, Event::ClientGone { request }, sink);
        }
        self.forget(request);
    }

    fn conclude(&mut self, now: Nanos, id: AttemptId, ending: Ending, sink: &mut Vec<Command<M, A>>) {
        let Some(live) = self.live.get_mut(&id.request) else { return };
        let Some(attempt) = live.attempts.get_mut(usize::from(id.number)).filter(|a| a.record.is_open())
        else {
            return;
        };
        attempt.record.state = AttemptState::Ended(ending);
        sink.push(Command::AttemptEnded { id, ending });
        let event = Event::Outcome {
            request: id.request,
            server: attempt.record.server.id,
            attempt: id.number,
            finished: !live.owed,
            took: attempt.took.unwrap_or(now.saturating_sub(attempt.record.sent_at)),
            ending,
            body_consumed: live.message.is_body_consumed(),
            report: None,
        };
        if attempt.sent && matches!(ending, Ending::TimedOut | Ending::Cancelled) {
            sink.push(Command::Abandon(id));
        }
        self.handle(now, event, sink);
        self.forget(id.request);
    }

    /// Drops a request that is answered and has no attempt out.
    fn forget(&mut self, request: RequestId) {
        let over = |l: &Live<N, M, A>| !l.owed && l.attempts.iter().all(|a| !a.record.is_open());
        if self.live.get(&request).is_some_and(over) {
            if let Some(name) = self.live.remove(&request).and_then(|live| live.name) {
                self.names.remove(&name);
            }
        }
    }

    fn handle(&mut self, now: Nanos, event: Event, sink: &mut Vec<Command<M, A>>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, sink);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, now: Nanos, action: Action, sink: &mut Vec<Command<M, A>>) {
        match action {
            Action::Send { request, server, timeout } => self.send(now, request, server, timeout, sink),
            Action::Refuse { request, retry_after, reason } => {
                self.refuse(request, FinalAnswer::Refused { retry_after, reason }, sink);
            }
            Action::Fail { request } => {
                let timed_out = self.live.get(&request).is_some_and(|live| live.give_up_at <= now);
                self.answer(request, FinalAnswer::Failed { timed_out }, sink);
            }
            Action::Cancel { request, attempt } => {
                self.conclude(now, AttemptId { request, number: attempt }, Ending::Cancelled, sink);
            }
            Action::StartTimer { after, token } => {
                self.timers.push(Reverse((now.saturating_add(after), Wake::Module(token))));
            }
            Action::Subscribe => sink.push(Command::CallDiscovery(DiscoveryCall::Subscribe)),
            Action::FetchList => sink.push(Command::CallDiscovery(DiscoveryCall::Fetch)),
            Action::Log { server, text } => sink.push(Command::Log { server, text }),
            // The site allows neither, and the module asks for neither.
            Action::Probe { .. } | Action::SendMessage { .. } => {}
        }
    }

    fn send(
        &mut self,
        now: Nanos,
        request: RequestId,
        server: ServerId,
        timeout: Nanos,
        sink: &mut Vec<Command<M, A>>,
    ) {
        let Some(live) = self.live.get(&request) else { return };
        let allowed = self.may_send(now, live, server);
        let listed = self.balancer.server(server).copied().unwrap_or(Server::warm(server));
        let Some(live) = self.live.get_mut(&request) else { return };
        let id = AttemptId { request, number: live.attempts.len() as u8 };
        live.fallback = None;
        let hedge = live.attempts.iter().any(|attempt| attempt.record.is_open());
        if let Some(last) = live.attempts.last() {
            let after = match last.record.state {
                AttemptState::Ended(ending) if !hedge => Some(ending),
                _ => None,
            };
            sink.push(Command::AttemptRepeated { after });
        }
        let record = SentAttempt { server: listed, sent_at: now, state: AttemptState::Open };
        live.attempts.push(Attempt { record, took: None, sent: allowed.is_ok() });
        if let Err(denial) = allowed {
            sink.push(Command::ProposalDenied { request, denial });
            return self.conclude(now, id, Ending::NotSent, sink);
        }
        sink.push(Command::Send { id, server, message: live.message.clone(), hedge });
        if timeout > 0 {
            let wake = Wake::AttemptTimeout(request, id.number);
            self.timers.push(Reverse((now.saturating_add(timeout), wake)));
        }
    }

    /// Refuses a request, or fails it where a repeat might do harm.
    fn refuse(&mut self, request: RequestId, refused: FinalAnswer<A>, sink: &mut Vec<Command<M, A>>) {
        let attempts = |live: &Live<N, M, A>| {
            live.policy.is_none_or(|policy| {
                rules::may_refuse(policy, live.attempts.iter().map(|attempt| &attempt.record))
            })
        };
        if self.live.get(&request).is_none_or(attempts) {
            return self.answer(request, refused, sink);
        }
        sink.push(Command::ProposalDenied { request, denial: Denial::RefusalNotHarmless });
        self.answer(request, FinalAnswer::Failed { timed_out: false }, sink);
    }

    fn answer(&mut self, request: RequestId, answer: FinalAnswer<A>, sink: &mut Vec<Command<M, A>>) {
        if let Some(live) = self.live.get_mut(&request) {
            let answer = live.fallback.take().map_or(answer, FinalAnswer::FromServer);
            if std::mem::take(&mut live.owed) {
                sink.push(Command::Answer { request, answer });
                self.cancel_unsent(request, sink);
            }
        }
        self.forget(request);
    }
}
