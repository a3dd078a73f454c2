//! Runs the request engine through random histories on a simulated clock, network and fleet, and checks its
//! guarantees: each request is answered once and in time, nothing is sent to a draining server, unsafe
//! requests run at most once, and the id of a request that may have run is not accepted again. [`Fault`] injects errors that the checks must detect. The same seed gives the
//! same history.

use corkhollow_balance::interface::*;
use corkhollow_engine::{AttemptId, Command, FinalAnswer, RequestMessage, Requests, UploadDeadline};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
/// Simulated time at which a history starts.
const START_TIME: Nanos = 1_000_000 * MS;
/// How many of the last commands a history keeps.
const MAX_KEPT_COMMANDS: usize = 40;
/// How long attempts may still be sent to a server after a list marks it as draining or removed.
const DRAIN_PROPAGATION_TIME: Nanos = 250 * MS;
/// How long after its deadline a request may still be answered.
const ANSWER_MARGIN: Nanos = MS;

/// The longest time in which an answer is passed on to its client.
const MAX_DELIVERY_TIME: Nanos = 1_500 * MS;
/// The longest time after which a request's id comes again.
const MAX_REPETITION_DELAY: Nanos = 3_000 * MS;

/// A request message without content: the index of its client.
#[derive(Clone, Debug, PartialEq)]
struct TestMessage(u32);

impl RequestMessage for TestMessage {
    fn is_body_consumed(&self) -> bool {
        false
    }
    fn upload_deadline(&self, _: Nanos, _: Nanos) -> Option<UploadDeadline> {
        None
    }
}

/// An error that is injected into a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// No error.
    None,
    /// Changes of the server list do not reach the engine.
    DrainIgnored,
    /// One answer in a hundred is lost.
    AnswerLost,
    /// One answer in a hundred is sent twice.
    #[value(name = "answer-doubled")]
    AnswerDuplicated,
    /// A reset is reported as a refused connection, so a request that may have run is repeated.
    UnsafeRepeated,
    /// Timers fire 20 ms late.
    TimersLate,
    /// An attempt is sent once it is connected, without asking the engine whether it still may.
    #[value(name = "begun-unasked")]
    SentUnchecked,
}

/// The violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time of the violation.
    pub at: Nanos,
    /// What happened, and to which request or client.
    pub description: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} ({:.3} ms after the start)",
            self.description,
            (self.at - START_TIME) as f64 / MS as f64
        )
    }
}

/// The result of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// The first violation.
    pub violation: Option<Violation>,
    /// Requests answered by a server.
    pub served: u32,
    /// Digest of all commands and their times.
    pub digest: u64,
    /// The last commands up to the violation, or to the end.
    pub last_commands: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrive,
    ClientLeft(u32),
    /// An attempt is connected and is sent, unless its server is dead.
    Connected(AttemptKey),
    /// An attempt ends: 0 answered, 1 connection failed, 2 reset, 3 error answer, 4 rejected as full, 5 not
    /// sent.
    Ended(AttemptKey, u8),
    ServerDrains(u64),
    ServerReturns(u64),
    ServerDies(u64),
    /// The node begins to shut down, with a deadline for all requests.
    ShutDown,
    /// The answer to a request has been passed on to its client.
    Delivered(RequestId),
    /// A request with the id of this client's request arrives.
    RepeatedId(u32),
}

type AttemptKey = (RequestId, u8);

struct Client {
    deadline: Nanos,
    effect: Effect,
    answers: u32,
    run_count: u32,
    /// When the first attempt that may have run was sent.
    first_run_at: Option<Nanos>,
    has_left: bool,
}

struct OpenAttempt {
    server: ServerId,
    client: u32,
    is_sent: bool,
}

struct Simulation {
    rng: Pcg64Mcg,
    /// Draws how long answers are passed on and when ids come again.
    id_rng: Pcg64Mcg,
    now: Nanos,
    fault: Fault,
    races: bool,
    requests: Requests<u32, TestMessage, u32>,
    scheduled: BTreeMap<(Nanos, u64), ScheduledEvent>,
    last_sequence: u64,
    clients: Vec<Client>,
    request_of: BTreeMap<RequestId, u32>,
    open_attempts: BTreeMap<AttemptKey, OpenAttempt>,
    /// When each server was marked as draining or removed, and which servers are dead.
    unavailable_since: BTreeMap<ServerId, Nanos>,
    dead: BTreeSet<ServerId>,
    /// Deadline of the node's shutdown.
    shutdown_deadline: Nanos,
    arrivals: u32,
    digest: u64,
    violation: Option<Violation>,
    served: u32,
    last_commands: VecDeque<String>,
}

const SERVER_COUNT: u64 = 8;
/// How long servers recognise a repeated keyed request.
const IDEMPOTENCY_WINDOW: Nanos = 500 * MS;
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Unsafe, Effect::Keyed];

fn random_settings(rng: &mut Pcg64Mcg) -> Settings {
    let mut settings = Settings::single_class(300 * MS, 800 * MS);
    let class = settings.classes[0].clone();
    settings.classes = EFFECTS
        .iter()
        .map(|effect| Class {
            effect: *effect,
            window: IDEMPOTENCY_WINDOW,
            worth: 1.0 + random_below(rng, 9) as f64,
            ..class.clone()
        })
        .collect();
    settings.second_copies = random_below(rng, 2) == 0;
    settings.cancel = random_below(rng, 2) == 0;
    settings.max_attempts = 1 + random_below(rng, 4) as u32;
    settings
}

fn random_below(rng: &mut Pcg64Mcg, bound: u64) -> u64 {
    (u64::from(rng.next_u32()) * bound) >> 32
}

impl Simulation {
    fn new(seed: u64, (fault, races): (Fault, bool), arrivals: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = START_TIME;
        let requests = Requests::new(now, random_settings(&mut rng), seed).expect("valid settings");
        let mut simulation = Simulation {
            rng,
            id_rng: Pcg64Mcg::seed_from_u64(!seed),
            now,
            fault,
            races,
            requests,
            scheduled: BTreeMap::new(),
            last_sequence: 0,
            clients: Vec::new(),
            request_of: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            dead: BTreeSet::new(),
            shutdown_deadline: Nanos::MAX,
            arrivals,
            digest: 0xcbf2_9ce4_8422_2325,
            violation: None,
            served: 0,
            last_commands: VecDeque::new(),
        };
        let servers = (0..SERVER_COUNT).map(|k| Server::warm(ServerId(k))).collect();
        simulation.call_engine(|r, now, sink| r.on_server_list(now, ListKind::Full, servers, sink));
        simulation.schedule(0, ScheduledEvent::Arrive);
        if races && random_below(&mut simulation.rng, 2) == 0 {
            let at = random_below(&mut simulation.rng, 800) * MS;
            simulation.schedule(at, ScheduledEvent::ShutDown);
        }
        for _ in 0..4 {
            let (at, server) = (
                random_below(&mut simulation.rng, 3_000) * MS,
                random_below(&mut simulation.rng, SERVER_COUNT),
            );
            let event = if random_below(&mut simulation.rng, 2) == 0 {
                ScheduledEvent::ServerDrains(server)
            } else {
                ScheduledEvent::ServerDies(server)
            };
            simulation.schedule(at, event);
            simulation.schedule(at + 1_500 * MS, ScheduledEvent::ServerReturns(server));
        }
        simulation
    }

    fn schedule(&mut self, gap: Nanos, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.scheduled.insert((self.now + gap, self.last_sequence), event);
    }

    fn record_violation(&mut self, description: String) {
        let now = self.now;
        self.violation.get_or_insert(Violation { at: now, description });
    }

    fn call_engine(
        &mut self,
        call: impl FnOnce(&mut Requests<u32, TestMessage, u32>, Nanos, &mut Vec<Command<TestMessage, u32>>),
    ) {
        let mut commands = Vec::new();
        call(&mut self.requests, self.now, &mut commands);
        for command in commands {
            let line = format!("{:.3} ms {command:?}", (self.now - START_TIME) as f64 / MS as f64);
            for byte in line.bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if self.violation.is_none() {
                self.last_commands.truncate(MAX_KEPT_COMMANDS - 1);
                self.last_commands.push_front(line);
            }
            self.execute(command);
        }
    }

    fn execute(&mut self, command: Command<TestMessage, u32>) {
        match command {
            Command::Send { id, server, message, .. } => {
                let key = (id.request, id.number);
                self.request_of.insert(id.request, message.0);
                self.open_attempts.insert(key, OpenAttempt { server, client: message.0, is_sent: false });
                let is_slow = self.races && random_below(&mut self.rng, 4) == 0;
                let delay = MS / 10 + random_below(&mut self.rng, if is_slow { 300 * MS } else { MS });
                self.schedule(delay, ScheduledEvent::Connected(key));
            }
            // An attempt that was sent may run although it is abandoned.
            Command::Abandon(id) => {
                let key = (id.request, id.number);
                if self.open_attempts.get(&key).is_some_and(|attempt| !attempt.is_sent) {
                    self.open_attempts.remove(&key);
                }
            }
            Command::CancelUnsent(id) => {
                let key = (id.request, id.number);
                let is_unsent = self.open_attempts.get(&key).is_some_and(|attempt| !attempt.is_sent);
                if is_unsent && self.fault != Fault::SentUnchecked {
                    self.end_attempt(key, 5);
                }
            }
            Command::Answer { request, answer } => {
                let is_lost = self.fault == Fault::AnswerLost && random_below(&mut self.rng, 100) == 0;
                let is_duplicated =
                    self.fault == Fault::AnswerDuplicated && random_below(&mut self.rng, 100) == 0;
                let answer_count = if is_lost { 0 } else { 1 + u32::from(is_duplicated) };
                let client = match self.request_of.get(&request) {
                    Some(client) => *client,
                    // Answered during its submission.
                    None => self.clients.len() as u32 - 1,
                };
                let client = &mut self.clients[client as usize];
                client.answers += answer_count;
                let (answers, is_late) = (client.answers, self.now > client.deadline + ANSWER_MARGIN);
                self.served += u32::from(matches!(answer, FinalAnswer::FromServer(_)));
                let delivery_time = random_below(&mut self.id_rng, MAX_DELIVERY_TIME);
                self.schedule(delivery_time, ScheduledEvent::Delivered(request));
                if answers > 1 {
                    self.record_violation(format!("request {request} has {answers} answers"));
                }
                if is_late {
                    self.record_violation(format!("request {request} is answered after its deadline"));
                }
            }
            Command::ProposalDenied { request, denial } if !denial.is_expected() => {
                self.record_violation(format!(
                    "request {request}: the engine denied a proposal of the balancer: {}",
                    denial.name()
                ));
            }
            Command::ProposalDenied { .. } => {}
            Command::CallDiscovery(_)
            | Command::Log { .. }
            | Command::AttemptEnded { .. }
            | Command::AttemptRepeated { .. } => {}
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.shutdown_deadline {
            return;
        }
        let class = random_below(&mut self.rng, 3) as u16;
        let timeout = (100 + random_below(&mut self.rng, 700)) * MS;
        let number = self.clients.len() as u32;
        let effect = EFFECTS[usize::from(class)];
        self.clients.push(Client {
            deadline: (self.now + timeout).min(self.shutdown_deadline),
            effect,
            answers: 0,
            run_count: 0,
            first_run_at: None,
            has_left: false,
        });
        let request = Request { class, ..Request::new(0, self.now + timeout) };
        let id = self.requests.next_id();
        self.request_of.insert(id, number);
        self.call_engine(|r, now, sink| {
            let submitted = r.submit(now, Some(number), request, TestMessage(number), sink);
            assert_eq!(submitted, Some(id));
        });
        if random_below(&mut self.id_rng, 4) == 0 {
            let gap = random_below(&mut self.id_rng, MAX_REPETITION_DELAY);
            self.schedule(gap, ScheduledEvent::RepeatedId(number));
        }
        if random_below(&mut self.rng, if self.races { 6 } else { 30 }) == 0 {
            let gap = random_below(&mut self.rng, 200) * MS;
            self.schedule(gap, ScheduledEvent::ClientLeft(id));
        }
        if number + 1 < self.arrivals {
            let gap = random_below(&mut self.rng, 12) * MS;
            self.schedule(gap, ScheduledEvent::Arrive);
        }
    }

    /// The id of a client's request comes again. It must be rejected if the first request may have run.
    fn repeat_id(&mut self, client: u32) {
        if self.clients[client as usize].run_count == 0 {
            return;
        }
        let mut accepted = None;
        let request = Request::new(0, self.now + MAX_REPETITION_DELAY);
        self.call_engine(|r, now, sink| {
            accepted = r.submit(now, Some(client), request, TestMessage(client), sink);
        });
        if accepted.is_some() {
            self.record_violation(format!(
                "the id of client {client} is accepted again after it may have run"
            ));
        }
    }

    /// An attempt is connected: checks whether it may still be sent, sends it and draws its outcome.
    fn on_connected(&mut self, key: AttemptKey) {
        let Some(&OpenAttempt { server, client, .. }) = self.open_attempts.get(&key) else { return };
        let id = AttemptId { request: key.0, number: key.1 };
        if self.dead.contains(&server) {
            return self.schedule(MS, ScheduledEvent::Ended(key, 1));
        }
        if self.fault != Fault::SentUnchecked && self.requests.may_begin(self.now, id).is_err() {
            return self.end_attempt(key, 5);
        }
        self.open_attempts.entry(key).and_modify(|attempt| attempt.is_sent = true);
        if self.unavailable_since.get(&server).is_some_and(|since| self.now > since + DRAIN_PROPAGATION_TIME)
        {
            self.record_violation(format!("request {} is sent to a draining or removed server", key.0));
        }
        let now = self.now;
        let Client { deadline, effect, answers, has_left, first_run_at, .. } = self.clients[client as usize];
        if answers > 0 || has_left || now > deadline + ANSWER_MARGIN {
            self.record_violation(format!("request {} is sent after its end", key.0));
        }
        if effect == Effect::Keyed && first_run_at.is_some_and(|at| now > at + IDEMPOTENCY_WINDOW) {
            self.record_violation(format!("request {} is repeated after the idempotency window", key.0));
        }
        let outcome = random_below(&mut self.rng, 20);
        // 3: rejected as full, 4: the connection failed. All others run.
        if outcome != 3 && outcome != 4 {
            let client = &mut self.clients[client as usize];
            client.run_count += 1;
            client.first_run_at.get_or_insert(now);
            let (run_count, effect) = (client.run_count, client.effect);
            if effect == Effect::Unsafe && run_count > 1 {
                self.record_violation(format!("unsafe request {} may have run {run_count} times", key.0));
            }
        }
        let (gap, ending) = match outcome {
            0 => (random_below(&mut self.rng, 200) * MS, 2), // reset
            1 => (5 * MS, 3),                                // error answer
            2 => return,                                     // no answer
            3 => (MS, 4),
            4 => (MS, 1),
            _ => (random_below(&mut self.rng, 120) * MS, 0),
        };
        self.schedule(gap, ScheduledEvent::Ended(key, ending));
    }

    fn end_attempt(&mut self, key: AttemptKey, ending: u8) {
        if self.open_attempts.remove(&key).is_none() {
            return;
        }
        let id = AttemptId { request: key.0, number: key.1 };
        self.call_engine(|r, now, sink| match ending {
            0 => {
                let _ = r.on_answer(now, id, key.0, sink);
            }
            3 => r.on_error_answer(now, id, Ending::Error, key.0, sink),
            4 => r.on_attempt_ended(now, id, Ending::Full, sink),
            1 => r.on_attempt_ended(now, id, Ending::ConnectFailed, sink),
            5 => r.on_attempt_ended(now, id, Ending::NotSent, sink),
            _ => {
                // The answer's head arrived earlier, so the server's time does not show when the request was
                // sent.
                r.on_answer_head(id, 5 * MS);
                r.on_attempt_ended(now, id, Ending::Reset, sink)
            }
        });
    }

    fn set_phase(&mut self, server: u64, phase: Phase) {
        let id = ServerId(server);
        match phase {
            Phase::Ready => drop(self.unavailable_since.remove(&id)),
            _ => drop(self.unavailable_since.entry(id).or_insert(self.now)),
        }
        if self.fault != Fault::DrainIgnored {
            let entry = Server { phase, ..Server::warm(id) };
            self.call_engine(|r, now, sink| r.on_server_list(now, ListKind::Changes, vec![entry], sink));
        }
    }

    /// Runs the history to its end and checks that every request was answered.
    fn run(mut self) -> History {
        loop {
            let timer_delay = if self.fault == Fault::TimersLate { 20 * MS } else { 0 };
            let timer = self.requests.next_timer().map(|at| at.max(self.now) + timer_delay);
            let event = self.scheduled.first_key_value().map(|(key, _)| *key);
            match (event, timer) {
                (Some(key), timer) if timer.is_none_or(|t| key.0 <= t) => {
                    let event = self.scheduled.remove(&key).expect("the first event");
                    self.now = key.0;
                    self.handle(event);
                }
                (_, Some(at)) => {
                    self.now = at;
                    self.call_engine(|r, now, sink| r.fire_timers(now, sink));
                }
                _ => break,
            }
        }
        if !self.requests.is_empty() {
            let left = self.requests.len();
            self.record_violation(format!("{left} requests never end"));
        }
        if let Some(k) = self.clients.iter().position(|c| c.answers == 0 && !c.has_left) {
            self.record_violation(format!("client {k} has no answer"));
        }
        let last_commands = self.last_commands.into_iter().rev().collect();
        History { violation: self.violation, served: self.served, digest: self.digest, last_commands }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrive => self.arrive(),
            ScheduledEvent::ClientLeft(request) => {
                let client = &mut self.clients[self.request_of[&request] as usize];
                if client.answers == 0 {
                    client.has_left = true;
                    self.call_engine(|r, now, sink| r.on_client_left(now, request, sink));
                }
            }
            ScheduledEvent::Connected(key) => self.on_connected(key),
            ScheduledEvent::Ended(key, 2) if self.fault == Fault::UnsafeRepeated => self.end_attempt(key, 1),
            ScheduledEvent::Ended(key, ending) => self.end_attempt(key, ending),
            ScheduledEvent::ShutDown => {
                self.shutdown_deadline = self.now + (100 + random_below(&mut self.rng, 700)) * MS;
                let shutdown_deadline = self.shutdown_deadline;
                self.clients
                    .iter_mut()
                    .for_each(|client| client.deadline = client.deadline.min(shutdown_deadline));
                self.requests.set_shutdown_deadline(shutdown_deadline);
            }
            ScheduledEvent::Delivered(request) => self.requests.on_delivery_ended(self.now, request),
            ScheduledEvent::RepeatedId(client) => self.repeat_id(client),
            ScheduledEvent::ServerDrains(server) => self.set_phase(server, Phase::Draining),
            ScheduledEvent::ServerDies(server) => {
                self.dead.insert(ServerId(server));
                self.set_phase(server, Phase::Removed);
            }
            ScheduledEvent::ServerReturns(server) => {
                self.dead.remove(&ServerId(server));
                self.set_phase(server, Phase::Ready);
            }
        }
    }
}

/// Runs the history of a seed with this many requests. With `races`, a quarter of the connections are slow to
/// open and a sixth of the clients disconnect early.
pub fn run_history(seed: u64, fault: Fault, races: bool, requests: u32) -> History {
    Simulation::new(seed, (fault, races), requests).run()
}

/// The lowest number of requests, up to `requests`, at which the history of a seed has a violation, and that
/// history.
pub fn find_shortest_violation(
    seed: u64,
    fault: Fault,
    races: bool,
    requests: u32,
) -> Option<(u32, History)> {
    let mut histories = (1..=requests).map(|count| (count, run_history(seed, fault, races, count)));
    histories.find(|(_, history)| history.violation.is_some())
}
