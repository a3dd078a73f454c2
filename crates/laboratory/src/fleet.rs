//! A seeded model of nodes over one fleet of servers, in which every queue is known: what a node cannot know is counted
//! beside what it did. Servers take as many requests at a time as they have cores, the others in turn; one that has just started
//! is cold, as the nodes' settings say. Times are simulated.

use corkhollow_balance::interface::*;
use corkhollow_balance::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// What comes of one class.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Requests a second over all nodes.
    pub rate: f64,
    /// Mean work of a request on a server of size 1.
    pub work: Nanos,
    /// Its work varies evenly by this part of the mean to either side, 0 to 1; above 1 it is exponential.
    pub spread: f64,
    /// Whose they are.
    pub tenant: u32,
    /// Whether a request tells its work.
    pub hinted: bool,
}

impl Stream {
    /// Requests of one length.
    pub fn new(rate: f64, work: Nanos) -> Self {
        Stream { rate, work, spread: 0.0, tenant: 0, hinted: false }
    }
}

/// What became of a stream's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    /// How many came.
    pub offered: u32,
    /// Answered within their class's aim.
    pub in_time: u32,
    /// Answered after it.
    pub late: u32,
    /// Refused.
    pub refused: u32,
    /// Of those refused: how many while some server had nothing to do.
    pub beside_idle: u32,
    /// Never answered, or failed.
    pub lost: u32,
}

impl Count {
    /// The part answered within the aim.
    pub fn served(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

#[derive(Default)]
struct Machine {
    cores: usize,
    /// When the process started; none where it has been there for long.
    born: Option<Nanos>,
    gone: Option<Nanos>,
    waiting: VecDeque<(RequestId, Nanos)>,
    running: Vec<RequestId>,
    /// Work sent within the last window of the fall time, while cold.
    window: VecDeque<(Nanos, f64)>,
}

/// What was sent to servers while they were cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    /// The most work sent within any window of the fall time, as a part of what pushes over.
    pub nearest: f64,
    /// The same where each request counts with the mean work: what nodes decide, without what the draw of lengths adds.
    pub nearest_mean: f64,
    /// Work sent, as a part of what the cold servers could have done meanwhile.
    pub sent: f64,
}

struct Open {
    node: usize,
    stream: usize,
    came: Nanos,
    work: Nanos,
    attempts: Vec<ServerId>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Done(ServerId, RequestId),
    Hear(usize, usize),
    GiveUp(RequestId),
    Timer(usize),
}

/// Nodes, servers and what is under way.
pub struct Model {
    /// The time.
    pub now: Nanos,
    /// The nodes' decisions, by ordinal.
    pub nodes: Vec<Balancer>,
    /// What all nodes are told but for their ordinals.
    pub settings: Settings,
    /// What comes, with its class.
    pub streams: Vec<(u16, Stream)>,
    /// What became of each stream.
    pub counts: Vec<Count>,
    /// Attempts so far.
    pub sends: u64,
    /// What cold servers were sent.
    cold: Cold,
    /// The part of all requests that comes to the first node alone; the rest are spread evenly over all.
    pub first_share: f64,
    /// Changes of the list reach each node within this, evenly.
    pub heard_within: Nanos,
    changes: Vec<Vec<Server>>,
    cores: usize,
    machines: BTreeMap<ServerId, Machine>,
    open: BTreeMap<RequestId, Open>,
    steps: BinaryHeap<Reverse<(Nanos, u64, Step)>>,
    rng: Pcg64Mcg,
    next: RequestId,
    order: u64,
    busy: usize,
}

impl Model {
    /// As many nodes with these settings, over servers that are all warm.
    ///
    /// # Errors
    /// Where no node could act on the settings.
    pub fn new(settings: Settings, nodes: u32, servers: u64, seed: u64) -> Result<Self, SettingsError> {
        Model::with_cores(settings, nodes, servers, 1, seed)
    }

    /// The same with servers of several cores.
    ///
    /// # Errors
    /// Where no node could act on the settings.
    pub fn with_cores(
        settings: Settings,
        nodes: u32,
        servers: u64,
        cores: usize,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let now = 1_000_000_000_000;
        let list: Vec<_> = (0..servers).map(|k| Server::warm(ServerId(k))).collect();
        let mut model = Model {
            now,
            nodes: Vec::new(),
            streams: Vec::new(),
            counts: Vec::new(),
            sends: 0,
            cold: Cold::default(),
            first_share: 0.0,
            heard_within: 1_000_000_000,
            changes: Vec::new(),
            cores,
            machines: list.iter().map(|s| (s.id, Machine { cores, ..Machine::default() })).collect(),
            open: BTreeMap::new(),
            steps: BinaryHeap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            next: 0,
            order: 0,
            busy: 0,
            settings,
        };
        for ordinal in 0..nodes {
            let own = Settings { ordinal, group_size: nodes, ..model.settings.clone() };
            let mut node = Balancer::new(own, seed ^ u64::from(ordinal))?;
            node.handle(now, Event::List { kind: ListKind::Full, servers: list.clone() }, &mut Vec::new());
            model.nodes.push(node);
        }
        Ok(model)
    }

    /// Requests of a class begin to come. Returns the stream's index.
    pub fn stream(&mut self, class: u16, stream: Stream) -> usize {
        self.streams.push((class, stream));
        self.counts.push(Count::default());
        let k = self.streams.len() - 1;
        self.after_gap(k);
        k
    }

    fn chance(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 0.5) / 4_294_967_296.0
    }

    fn push(&mut self, at: Nanos, step: Step) {
        self.order += 1;
        self.steps.push(Reverse((at, self.order, step)));
    }

    fn after_gap(&mut self, stream: usize) {
        let rate = self.streams[stream].1.rate;
        // A stream that is off is looked at again after a while.
        let gap = if rate > 0.0 { -self.chance().ln() / rate } else { 0.1 };
        self.push(self.now + (gap * 1e9) as Nanos, Step::Arrive(stream));
    }

    /// Plays on for this long.
    pub fn play(&mut self, span: Nanos) {
        let until = self.now + span;
        while let Some(Reverse((at, _, step))) = self.steps.peek().copied().filter(|s| s.0 .0 <= until) {
            self.steps.pop();
            self.now = at;
            match step {
                Step::Arrive(stream) => {
                    if self.streams[stream].1.rate > 0.0 {
                        let first = self.first_share > 0.0 && self.chance() < self.first_share;
                        let node = self.rng.next_u32() as usize % self.nodes.len();
                        self.arrive(stream, if first { 0 } else { node });
                    }
                    self.after_gap(stream);
                }
                Step::Done(server, id) => self.done(server, id),
                Step::Hear(node, change) => {
                    let servers = self.changes[change].clone();
                    self.handle(node, Event::List { kind: ListKind::Changes, servers });
                }
                Step::GiveUp(id) => self.give_up(id),
                Step::Timer(node) => self.handle(node, Event::Timer { token: 0 }),
            }
        }
        self.now = until;
    }

    /// The counts since the last call.
    pub fn take(&mut self) -> Vec<Count> {
        let fresh = vec![Count::default(); self.counts.len()];
        std::mem::replace(&mut self.counts, fresh)
    }

    /// One request of a stream, now.
    pub fn arrive(&mut self, stream: usize, node: usize) -> RequestId {
        let (class, what) = self.streams[stream];
        let drawn = match what.spread > 1.0 {
            true => -self.chance().ln(),
            false => 1.0 + what.spread * (2.0 * self.chance() - 1.0),
        };
        let work = (what.work as f64 * drawn) as Nanos;
        self.next += 1;
        let (id, give_up_at) = (self.next, self.now + self.settings.classes[usize::from(class)].give_up);
        self.open.insert(id, Open { node, stream, came: self.now, work, attempts: Vec::new() });
        self.counts[stream].offered += 1;
        self.push(give_up_at, Step::GiveUp(id));
        let work_hint = what.hinted.then_some(work);
        let request = Request { class, tenant: what.tenant, work_hint, ..Request::new(id, give_up_at) };
        self.handle(node, Event::Request(request));
        id
    }

    fn handle(&mut self, node: usize, event: Event) {
        let mut sink = Vec::new();
        self.nodes[node].handle(self.now, event, &mut sink);
        for action in sink {
            match action {
                Action::Send { request, server, .. } => {
                    let Some(open) = self.open.get_mut(&request) else { continue };
                    open.attempts.push(server);
                    let (work, mean) = (open.work, self.streams[open.stream].1.work);
                    self.sends += 1;
                    self.weigh(server, work, mean);
                    self.machines.get_mut(&server).expect("listed").waiting.push_back((request, work));
                    self.begin(server);
                }
                Action::Refuse { request, .. } => {
                    let Some(open) = self.open.remove(&request) else { continue };
                    let count = &mut self.counts[open.stream];
                    count.refused += 1;
                    count.beside_idle += u32::from(self.busy < self.machines.len());
                }
                Action::Fail { request } => {
                    if let Some(open) = self.open.remove(&request) {
                        self.counts[open.stream].lost += 1;
                    }
                }
                Action::StartTimer { after, .. } => self.push(self.now + after, Step::Timer(node)),
                _ => {}
            }
        }
    }

    /// The part of its capacity that a server has at a time.
    fn share(&self, born: Option<Nanos>, at: Nanos) -> f64 {
        let age = born.map_or(1.0, |born| at.saturating_sub(born) as f64 / self.settings.ramp as f64);
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Counts what is sent to a cold server against what would push it over.
    fn weigh(&mut self, server: ServerId, work: Nanos, mean: Nanos) {
        let (now, fall) = (self.now, self.settings.overload_window);
        let machine = &self.machines[&server];
        let (born, cores) = (machine.born, machine.cores as f64);
        if self.share(born, now) >= 1.0 {
            return;
        }
        // Capacity rises evenly: what the middle of the window had is the mean of it.
        let middle = self.share(born, now.saturating_sub(fall / 2));
        let budget = self.settings.tip_multiple * cores * middle * fall as f64 / 1e9;
        let machine = self.machines.get_mut(&server).expect("listed");
        let mean = mean as f64 / 1e9;
        machine.window.push_back((now, work as f64 / 1e9));
        while machine.window.front().is_some_and(|sent| sent.0 + fall <= now) {
            machine.window.pop_front();
        }
        let within: f64 = machine.window.iter().map(|sent| sent.1).sum();
        self.cold.sent += work as f64 / 1e9;
        self.cold.nearest = self.cold.nearest.max(within / budget);
        self.cold.nearest_mean = self.cold.nearest_mean.max(machine.window.len() as f64 * mean / budget);
    }

    /// What cold servers were sent so far.
    pub fn cold(&self) -> Cold {
        let ramp = self.settings.ramp;
        let could = self.machines.values().filter_map(|machine| {
            let born = machine.born?;
            let end = self.now.min(born + ramp).min(machine.gone.unwrap_or(self.now));
            let mean = (self.share(machine.born, born) + self.share(machine.born, end)) / 2.0;
            Some(mean * machine.cores as f64 * end.saturating_sub(born) as f64 / 1e9)
        });
        Cold { sent: self.cold.sent / could.sum::<f64>().max(f64::MIN_POSITIVE), ..self.cold }
    }

    /// Servers that have not been replaced, the oldest first.
    pub fn serving(&self) -> Vec<ServerId> {
        self.machines.iter().filter(|(_, machine)| machine.gone.is_none()).map(|(id, _)| *id).collect()
    }

    /// A server is replaced by one that has just started; each node hears of it at a time of its own.
    pub fn replace(&mut self, old: ServerId) -> ServerId {
        if let Some(machine) = self.machines.get_mut(&old) {
            machine.gone = Some(self.now);
        }
        let id = ServerId(self.machines.keys().next_back().map_or(0, |id| id.0 + 1));
        self.machines.insert(id, Machine { cores: self.cores, born: Some(self.now), ..Machine::default() });
        let gone = Server { phase: Phase::Removed, ..Server::warm(old) };
        self.changes.push(vec![gone, Server { started_at: self.now, ..Server::warm(id) }]);
        for node in 0..self.nodes.len() {
            let after = (self.chance() * self.heard_within as f64) as Nanos;
            self.push(self.now + after, Step::Hear(node, self.changes.len() - 1));
        }
        id
    }

    fn begin(&mut self, server: ServerId) {
        let now = self.now;
        let machine = &self.machines[&server];
        if machine.running.len() >= machine.cores || machine.waiting.is_empty() {
            return;
        }
        let share = self.share(machine.born, now);
        let machine = self.machines.get_mut(&server).expect("listed");
        let Some((id, work)) = machine.waiting.pop_front() else { return };
        self.busy += usize::from(machine.running.is_empty());
        machine.running.push(id);
        self.push(now + (work as f64 / share) as Nanos, Step::Done(server, id));
    }

    fn done(&mut self, server: ServerId, id: RequestId) {
        let machine = self.machines.get_mut(&server).expect("listed");
        machine.running.retain(|running| *running != id);
        self.busy -= usize::from(machine.running.is_empty());
        self.begin(server);
        let Some(open) = self.open.get(&id) else { return };
        let (node, took) = (open.node, self.now - open.came);
        let attempt = open.attempts.iter().position(|s| *s == server).unwrap_or(0) as u8;
        let open = self.open.remove(&id).expect("it is open");
        let count = &mut self.counts[open.stream];
        match took <= self.settings.classes[usize::from(self.streams[open.stream].0)].aim {
            true => count.in_time += 1,
            false => count.late += 1,
        }
        let ending = Ending::Ok;
        let event = Event::Outcome {
            request: id,
            server,
            attempt,
            finished: true,
            took,
            ending,
            body_consumed: false,
            report: None,
        };
        self.handle(node, event);
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (node, took, attempts) = (open.node, self.now - open.came, open.attempts.clone());
        // What waits is not worked on; what is being worked on goes on to its end.
        for server in &attempts {
            let machine = self.machines.get_mut(server).expect("listed");
            machine.waiting.retain(|waiting| waiting.0 != id);
        }
        for (attempt, server) in attempts.into_iter().enumerate() {
            let event = Event::Outcome {
                request: id,
                server,
                attempt: attempt as u8,
                finished: false,
                took,
                ending: Ending::TimedOut,
                body_consumed: false,
                report: None,
            };
            self.handle(node, event);
        }
        if let Some(open) = self.open.remove(&id) {
            self.counts[open.stream].lost += 1;
        }
    }
}

/// Safe classes of these worths, with one aim and one give-up time.
pub fn classes(worths: &[f64], aim: Nanos, give_up: Nanos) -> Settings {
    let mut settings = Settings::single_class(aim, give_up);
    let class = settings.classes[0].clone();
    settings.classes = worths.iter().map(|worth| Class { worth: *worth, ..class.clone() }).collect();
    (settings.ramp, settings.overload_window) = (20_000_000_000, 2_000_000_000);
    settings
}
