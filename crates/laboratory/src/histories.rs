//! Random histories of the engine on a simulated clock, network and fleet: the four rules are held against each of them, and
//! deliberately broken variants have to be caught. The same seed gives the same history.

use corkhollow_balance::interface::*;
use corkhollow_engine::{AttemptId, Command, FinalAnswer, RequestMessage, Requests};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_000_000 * MS;
/// How many commands a history tells of.
const TOLD: usize = 40;
/// A server that drains gets nothing new from this long after the node was told.
const DRAIN_SLACK: Nanos = 250 * MS;
/// An answer may come this much after its request's time.
const LATE_SLACK: Nanos = MS;

/// What a request carries here: its client's number.
#[derive(Clone, Debug, PartialEq)]
struct Parcel(u32);

impl RequestMessage for Parcel {
    fn is_body_consumed(&self) -> bool {
        false
    }
    fn deadline(&self, _: Nanos) -> Option<Nanos> {
        None
    }
}

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Fault {
    /// Nothing.
    None,
    /// Lists are not told.
    DrainIgnored,
    /// One answer in a hundred is not given.
    AnswerLost,
    /// One answer in a hundred is given twice.
    AnswerDoubled,
    /// A reset is told as a refused connection: what may have run is sent again.
    UnsafeRepeated,
    /// Timers fire a while too late.
    TimersLate,
    /// Attempts whose connection comes up go on as they were decided, whatever has happened since.
    BegunUnasked,
}

/// Which rule a history breaks first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// When, in nanoseconds of the history's clock.
    pub at: Nanos,
    /// The rule, and by whom.
    pub rule: String,
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({:.3} ms after the start)", self.rule, (self.at - START) as f64 / MS as f64)
    }
}

/// What came of a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct History {
    /// The first rule that it breaks.
    pub broken: Option<Broken>,
    /// Requests that got a server's answer.
    pub served: u32,
    /// A digest of all commands with their times.
    pub digest: u64,
    /// The last commands before a rule was broken, or before the end.
    pub last: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Gone(u32),
    /// An attempt's connection has come up: it is written, and runs at its server unless that is dead.
    Begin(AttemptKey),
    End(AttemptKey, u8),
    Drain(u64),
    Back(u64),
    Die(u64),
    /// The node is told to end: all is answered a while later.
    Leave,
}

type AttemptKey = (RequestId, u8);

struct Client {
    due: Nanos,
    effect: Effect,
    answers: u32,
    runs: u32,
    /// When what may first have run was written.
    ran_at: Option<Nanos>,
    gone: bool,
}

struct Out {
    server: ServerId,
    client: u32,
    written: bool,
}

struct World {
    rng: Pcg64Mcg,
    now: Nanos,
    fault: Fault,
    crossings: bool,
    requests: Requests<u32, Parcel, u32>,
    steps: BTreeMap<(Nanos, u64), Step>,
    order: u64,
    clients: Vec<Client>,
    request_of: BTreeMap<RequestId, u32>,
    out: BTreeMap<AttemptKey, Out>,
    /// Since when a server has been told as draining or gone, and which are dead.
    told: BTreeMap<ServerId, Nanos>,
    dead: BTreeSet<ServerId>,
    /// When the node is gone.
    ends_at: Nanos,
    arrivals: u32,
    digest: u64,
    broken: Option<Broken>,
    served: u32,
    last: VecDeque<String>,
}

const SERVERS: u64 = 8;
/// For so long servers know a keyed request again.
const WINDOW: Nanos = 500 * MS;
const EFFECTS: [Effect; 3] = [Effect::Safe, Effect::Unsafe, Effect::Keyed];

fn settings(rng: &mut Pcg64Mcg) -> Settings {
    let mut settings = Settings::single_class(300 * MS, 800 * MS);
    let class = settings.classes[0].clone();
    settings.classes = EFFECTS
        .iter()
        .map(|effect| Class {
            effect: *effect,
            window: WINDOW,
            worth: 1.0 + below(rng, 9) as f64,
            ..class.clone()
        })
        .collect();
    settings.second_copies = below(rng, 2) == 0;
    settings.cancel = below(rng, 2) == 0;
    settings.max_attempts = 1 + below(rng, 4) as u32;
    settings
}

fn below(rng: &mut Pcg64Mcg, most: u64) -> u64 {
    (u64::from(rng.next_u32()) * most) >> 32
}

impl World {
    fn new(seed: u64, (fault, crossings): (Fault, bool), arrivals: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let now = START;
        let requests = Requests::new(now, settings(&mut rng), seed).expect("sound settings");
        let mut world = World {
            rng,
            now,
            fault,
            crossings,
            requests,
            steps: BTreeMap::new(),
            order: 0,
            clients: Vec::new(),
            request_of: BTreeMap::new(),
            out: BTreeMap::new(),
            told: BTreeMap::new(),
            dead: BTreeSet::new(),
            ends_at: Nanos::MAX,
            arrivals,
            digest: 0xcbf2_9ce4_8422_2325,
            broken: None,
            served: 0,
            last: VecDeque::new(),
        };
        let servers = (0..SERVERS).map(|k| Server::warm(ServerId(k))).collect();
        world.step(|r, now, sink| r.on_server_list(now, ListKind::Full, servers, sink));
        world.after(0, Step::Arrive);
        if crossings && below(&mut world.rng, 2) == 0 {
            let at = below(&mut world.rng, 800) * MS;
            world.after(at, Step::Leave);
        }
        for _ in 0..4 {
            let (at, server) = (below(&mut world.rng, 3_000) * MS, below(&mut world.rng, SERVERS));
            let what = if below(&mut world.rng, 2) == 0 { Step::Drain(server) } else { Step::Die(server) };
            world.after(at, what);
            world.after(at + 1_500 * MS, Step::Back(server));
        }
        world
    }

    fn after(&mut self, gap: Nanos, step: Step) {
        self.order += 1;
        self.steps.insert((self.now + gap, self.order), step);
    }

    fn breaks(&mut self, rule: String) {
        let now = self.now;
        self.broken.get_or_insert(Broken { at: now, rule });
    }

    fn step(
        &mut self,
        take: impl FnOnce(&mut Requests<u32, Parcel, u32>, Nanos, &mut Vec<Command<Parcel, u32>>),
    ) {
        let mut commands = Vec::new();
        take(&mut self.requests, self.now, &mut commands);
        for command in commands {
            let line = format!("{:.3} ms {command:?}", (self.now - START) as f64 / MS as f64);
            for byte in line.bytes() {
                self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
            if self.broken.is_none() {
                self.last.truncate(TOLD - 1);
                self.last.push_front(line);
            }
            self.carry_out(command);
        }
    }

    fn carry_out(&mut self, command: Command<Parcel, u32>) {
        match command {
            Command::Send { id, server, message, .. } => {
                let key = (id.request, id.number);
                self.request_of.insert(id.request, message.0);
                self.out.insert(key, Out { server, client: message.0, written: false });
                let slow = self.crossings && below(&mut self.rng, 4) == 0;
                let way = MS / 10 + below(&mut self.rng, if slow { 300 * MS } else { MS });
                self.after(way, Step::Begin(key));
            }
            // What is written and at work may run all the same.
            Command::Abandon(id) => {
                let key = (id.request, id.number);
                if self.out.get(&key).is_some_and(|out| !out.written) {
                    self.out.remove(&key);
                }
            }
            Command::CancelUnsent(id) => {
                let key = (id.request, id.number);
                let unwritten = self.out.get(&key).is_some_and(|out| !out.written);
                if unwritten && self.fault != Fault::BegunUnasked {
                    self.end(key, 5);
                }
            }
            Command::Answer { request, answer } => {
                let lost = self.fault == Fault::AnswerLost && below(&mut self.rng, 100) == 0;
                let twice = self.fault == Fault::AnswerDoubled && below(&mut self.rng, 100) == 0;
                let times = if lost { 0 } else { 1 + u32::from(twice) };
                let client = match self.request_of.get(&request) {
                    Some(client) => *client,
                    // Answered while it was being taken.
                    None => self.clients.len() as u32 - 1,
                };
                let client = &mut self.clients[client as usize];
                client.answers += times;
                let (answers, late) = (client.answers, self.now > client.due + LATE_SLACK);
                self.served += u32::from(matches!(answer, FinalAnswer::FromServer(_)));
                if answers > 1 {
                    self.breaks(format!("request {request} has {answers} answers"));
                }
                if late {
                    self.breaks(format!("request {request} is answered after its time"));
                }
            }
            Command::ProposalDenied { request, denial } if !denial.is_expected() => {
                self.breaks(format!(
                    "request {request}: the module proposes what is denied: {}",
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
        if self.now >= self.ends_at {
            return;
        }
        let class = below(&mut self.rng, 3) as u16;
        let patience = (100 + below(&mut self.rng, 700)) * MS;
        let number = self.clients.len() as u32;
        let effect = EFFECTS[usize::from(class)];
        self.clients.push(Client {
            due: (self.now + patience).min(self.ends_at),
            effect,
            answers: 0,
            runs: 0,
            ran_at: None,
            gone: false,
        });
        let request = Request { class, ..Request::new(0, self.now + patience) };
        let id = self.requests.next_id();
        self.request_of.insert(id, number);
        self.step(|r, now, sink| {
            let taken = r.submit(now, Some(number), request, Parcel(number), sink);
            assert_eq!(taken, Some(id));
        });
        if below(&mut self.rng, if self.crossings { 6 } else { 30 }) == 0 {
            let gap = below(&mut self.rng, 200) * MS;
            self.after(gap, Step::Gone(id));
        }
        if number + 1 < self.arrivals {
            let gap = below(&mut self.rng, 12) * MS;
            self.after(gap, Step::Arrive);
        }
    }

    /// An attempt's connection is there. What it may still do is asked; then it is written, and its fate is drawn.
    fn begin(&mut self, key: AttemptKey) {
        let Some(&Out { server, client, .. }) = self.out.get(&key) else { return };
        let id = AttemptId { request: key.0, number: key.1 };
        if self.dead.contains(&server) {
            return self.after(MS, Step::End(key, 1));
        }
        if self.fault != Fault::BegunUnasked && self.requests.may_begin(self.now, id).is_err() {
            return self.end(key, 5);
        }
        self.out.entry(key).and_modify(|out| out.written = true);
        if self.told.get(&server).is_some_and(|told| self.now > told + DRAIN_SLACK) {
            self.breaks(format!("request {} goes to a server that drains", key.0));
        }
        let now = self.now;
        let Client { due, effect, answers, gone, ran_at, .. } = self.clients[client as usize];
        if answers > 0 || gone || now > due + LATE_SLACK {
            self.breaks(format!("request {} goes on after its end", key.0));
        }
        if effect == Effect::Keyed && ran_at.is_some_and(|at| now > at + WINDOW) {
            self.breaks(format!("request {} goes to servers that have forgotten it", key.0));
        }
        let fate = below(&mut self.rng, 20);
        // 3: turned away, 4: the connection never came up. All others run.
        if fate != 3 && fate != 4 {
            let client = &mut self.clients[client as usize];
            client.runs += 1;
            client.ran_at.get_or_insert(now);
            let (runs, effect) = (client.runs, client.effect);
            if effect == Effect::Unsafe && runs > 1 {
                self.breaks(format!("client {} has its effect {runs} times", key.0));
            }
        }
        let (gap, ending) = match fate {
            0 => (below(&mut self.rng, 200) * MS, 2), // reset under way
            1 => (5 * MS, 3),                         // an error
            2 => return,                              // silence
            3 => (MS, 4),
            4 => (MS, 1),
            _ => (below(&mut self.rng, 120) * MS, 0),
        };
        self.after(gap, Step::End(key, ending));
    }

    fn end(&mut self, key: AttemptKey, ending: u8) {
        if self.out.remove(&key).is_none() {
            return;
        }
        let id = AttemptId { request: key.0, number: key.1 };
        self.step(|r, now, sink| match ending {
            0 => {
                let _ = r.on_answer(now, id, key.0, sink);
            }
            3 => r.on_error_answer(now, id, Ending::Error, key.0, sink),
            4 => r.on_attempt_ended(now, id, Ending::Full, sink),
            1 => r.on_attempt_ended(now, id, Ending::ConnectFailed, sink),
            5 => r.on_attempt_ended(now, id, Ending::NotSent, sink),
            _ => {
                // The head was there long before: how long the server took does not tell when the request was sent.
                r.on_answer_head(id, 5 * MS);
                r.on_attempt_ended(now, id, Ending::Reset, sink)
            }
        });
    }

    fn tell(&mut self, server: u64, phase: Phase) {
        let id = ServerId(server);
        match phase {
            Phase::Ready => drop(self.told.remove(&id)),
            _ => drop(self.told.entry(id).or_insert(self.now)),
        }
        if self.fault != Fault::DrainIgnored {
            let entry = Server { phase, ..Server::warm(id) };
            self.step(|r, now, sink| r.on_server_list(now, ListKind::Changes, vec![entry], sink));
        }
    }

    /// Plays to the end.
    fn play(mut self) -> History {
        loop {
            let late = if self.fault == Fault::TimersLate { 20 * MS } else { 0 };
            let timer = self.requests.next_timer().map(|at| at.max(self.now) + late);
            let step = self.steps.first_key_value().map(|(key, _)| *key);
            match (step, timer) {
                (Some(key), timer) if timer.is_none_or(|t| key.0 <= t) => {
                    let step = self.steps.remove(&key).expect("it is first");
                    self.now = key.0;
                    self.take(step);
                }
                (_, Some(at)) => {
                    self.now = at;
                    self.step(|r, now, sink| r.fire_timers(now, sink));
                }
                _ => break,
            }
        }
        if !self.requests.is_empty() {
            let left = self.requests.len();
            self.breaks(format!("{left} requests are never over"));
        }
        if let Some(k) = self.clients.iter().position(|c| c.answers == 0 && !c.gone) {
            self.breaks(format!("client {k} has no answer"));
        }
        let last = self.last.into_iter().rev().collect();
        History { broken: self.broken, served: self.served, digest: self.digest, last }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive => self.arrive(),
            Step::Gone(request) => {
                let client = &mut self.clients[self.request_of[&request] as usize];
                if client.answers == 0 {
                    client.gone = true;
                    self.step(|r, now, sink| r.on_client_left(now, request, sink));
                }
            }
            Step::Begin(key) => self.begin(key),
            Step::End(key, 2) if self.fault == Fault::UnsafeRepeated => self.end(key, 1),
            Step::End(key, ending) => self.end(key, ending),
            Step::Leave => {
                self.ends_at = self.now + (100 + below(&mut self.rng, 700)) * MS;
                let ends_at = self.ends_at;
                self.clients.iter_mut().for_each(|client| client.due = client.due.min(ends_at));
                self.requests.set_shutdown_deadline(ends_at);
            }
            Step::Drain(server) => self.tell(server, Phase::Draining),
            Step::Die(server) => {
                self.dead.insert(ServerId(server));
                self.tell(server, Phase::Removed);
            }
            Step::Back(server) => {
                self.dead.remove(&ServerId(server));
                self.tell(server, Phase::Ready);
            }
        }
    }
}

/// Plays the history of a seed with this many requests. With crossings, a quarter of the connections are slow to come up
/// and a sixth of the clients leave.
pub fn play(seed: u64, fault: Fault, crossings: bool, requests: u32) -> History {
    World::new(seed, (fault, crossings), requests).play()
}

/// The least number of requests, up to this many, with which a seed's history breaks a rule, and that history.
pub fn shortest(seed: u64, fault: Fault, crossings: bool, requests: u32) -> Option<(u32, History)> {
    let mut histories = (1..=requests).map(|few| (few, play(seed, fault, crossings, few)));
    histories.find(|(_, history)| history.broken.is_some())
}
