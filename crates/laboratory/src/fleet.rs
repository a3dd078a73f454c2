//! A seeded simulation of many nodes that balance requests over the same servers. The simulation knows every
//! queue, so it counts what no single node can see. A server runs one request per core and queues the others
//! first in, first out; a server that has just started has reduced capacity (slow start). All times are
//! simulated.

use corkhollow_balance::interface::*;
use corkhollow_balance::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// The arrivals of requests of one class from one tenant.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Requests per second over all nodes.
    pub rate: f64,
    /// Mean time that one core of a warm server takes for a request.
    pub work: Nanos,
    /// From 0 to 1, work is uniform within this fraction of the mean to either side; above 1 it is exponential.
    pub spread: f64,
    /// The tenant that sends all requests of the stream.
    pub tenant: u32,
    /// Whether requests carry their work as a hint.
    pub has_work_hint: bool,
}

impl Stream {
    /// A stream of requests of equal work, without hints, from tenant 0.
    pub fn new(rate: f64, work: Nanos) -> Self {
        Stream { rate, work, spread: 0.0, tenant: 0, has_work_hint: false }
    }
}

/// The requests of a stream by their result.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    /// All requests.
    pub offered: u32,
    /// Answered within their class's aim.
    pub in_time: u32,
    /// Answered after their class's aim.
    pub late: u32,
    /// Refused by the node.
    pub refused: u32,
    /// Refused while at least one server was idle; also counted in `refused`.
    pub refused_while_idle: u32,
    /// Not answered within their class's deadline, or failed.
    pub failed: u32,
}

impl RequestCounts {
    /// The fraction of all requests that were answered within the aim.
    pub fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

#[derive(Default)]
struct ServerState {
    cores: usize,
    /// When the server started; none if it was warm from the beginning.
    started_at: Option<Nanos>,
    removed_at: Option<Nanos>,
    queue: VecDeque<(RequestId, Nanos)>,
    running: Vec<RequestId>,
    /// Times of sending and work in seconds, within the last overload window, while cold.
    recent_sends: VecDeque<(Nanos, f64)>,
}

/// The work that servers received while they were cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdServerLoad {
    /// The highest ratio of the work sent within an overload window to the work that overloads the server.
    pub peak_ratio: f64,
    /// The same with each request counted at the mean work, which leaves out the randomness of the work.
    pub peak_ratio_at_mean_work: f64,
    /// The work sent as a fraction of the capacity that the servers had while cold. While the simulation runs
    /// it holds the work in seconds, which [`Model::cold_load`] converts.
    pub sent: f64,
}

struct OpenRequest {
    node: usize,
    stream: usize,
    arrived_at: Nanos,
    work: Nanos,
    attempts: Vec<ServerId>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Arrival(usize),
    Completion(ServerId, RequestId),
    ListChange(usize, usize),
    GiveUp(RequestId),
    Timer(usize),
}

/// The simulation: nodes, servers, open requests and scheduled events.
pub struct Model {
    /// The simulated time.
    pub now: Nanos,
    /// The nodes' balancers, by ordinal.
    pub nodes: Vec<Balancer>,
    /// The settings of all nodes; a node's own settings differ in ordinal and group size.
    pub settings: Settings,
    /// The streams of requests with their classes.
    pub streams: Vec<(u16, Stream)>,
    /// The results by stream.
    pub counts: Vec<RequestCounts>,
    /// All attempts that the nodes have sent.
    pub attempt_count: u64,
    cold_load: ColdServerLoad,
    /// The fraction of all requests that go to the first node; the others go to a random node.
    pub first_node_fraction: f64,
    /// A change of the server list reaches each node after a delay that is uniform up to this.
    pub max_list_delay: Nanos,
    list_changes: Vec<Vec<Server>>,
    cores: usize,
    server_states: BTreeMap<ServerId, ServerState>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    scheduled: BinaryHeap<Reverse<(Nanos, u64, ScheduledEvent)>>,
    rng: Pcg64Mcg,
    last_request_id: RequestId,
    last_sequence: u64,
    busy_servers: usize,
}

impl Model {
    /// A simulation of `nodes` nodes over `servers` warm servers with one core each.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(settings: Settings, nodes: u32, servers: u64, seed: u64) -> Result<Self, SettingsError> {
        Model::with_cores(settings, nodes, servers, 1, seed)
    }

    /// Like [`Model::new`], with servers of several cores.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn with_cores(
        settings: Settings,
        nodes: u32,
        servers: u64,
        cores: usize,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let now = 1_000_000_000_000;
        let list: Vec<_> = (0..servers).map(|index| Server::warm(ServerId(index))).collect();
        let mut model = Model {
            now,
            nodes: Vec::new(),
            streams: Vec::new(),
            counts: Vec::new(),
            attempt_count: 0,
            cold_load: ColdServerLoad::default(),
            first_node_fraction: 0.0,
            max_list_delay: 1_000_000_000,
            list_changes: Vec::new(),
            cores,
            server_states: list
                .iter()
                .map(|s| (s.id, ServerState { cores, ..ServerState::default() }))
                .collect(),
            open_requests: BTreeMap::new(),
            scheduled: BinaryHeap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_request_id: 0,
            last_sequence: 0,
            busy_servers: 0,
            settings,
        };
        for ordinal in 0..nodes {
            let node_settings = Settings { ordinal, group_size: nodes, ..model.settings.clone() };
            let mut node = Balancer::new(node_settings, seed ^ u64::from(ordinal))?;
            node.handle(now, Event::List { kind: ListKind::Full, servers: list.clone() }, &mut Vec::new());
            model.nodes.push(node);
        }
        Ok(model)
    }

    /// Starts a stream of requests of a class and returns its index.
    pub fn add_stream(&mut self, class: u16, stream: Stream) -> usize {
        self.streams.push((class, stream));
        self.counts.push(RequestCounts::default());
        let index = self.streams.len() - 1;
        self.schedule_next_arrival(index);
        index
    }

    fn random_fraction(&mut self) -> f64 {
        (f64::from(self.rng.next_u32()) + 0.5) / 4_294_967_296.0
    }

    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.scheduled.push(Reverse((at, self.last_sequence, event)));
    }

    fn schedule_next_arrival(&mut self, stream: usize) {
        let rate = self.streams[stream].1.rate;
        // A stream with a rate of 0 is checked again after 0.1 s.
        let gap = if rate > 0.0 { -self.random_fraction().ln() / rate } else { 0.1 };
        self.schedule(self.now + (gap * 1e9) as Nanos, ScheduledEvent::Arrival(stream));
    }

    /// Runs the simulation for this long.
    pub fn run_for(&mut self, duration: Nanos) {
        let until = self.now + duration;
        while let Some(Reverse((at, _, event))) = self.scheduled.peek().copied().filter(|s| s.0 .0 <= until) {
            self.scheduled.pop();
            self.now = at;
            match event {
                ScheduledEvent::Arrival(stream) => {
                    if self.streams[stream].1.rate > 0.0 {
                        let first = self.first_node_fraction > 0.0
                            && self.random_fraction() < self.first_node_fraction;
                        let node = self.rng.next_u32() as usize % self.nodes.len();
                        self.submit_request(stream, if first { 0 } else { node });
                    }
                    self.schedule_next_arrival(stream);
                }
                ScheduledEvent::Completion(server, id) => self.complete(server, id),
                ScheduledEvent::ListChange(node, change) => {
                    let servers = self.list_changes[change].clone();
                    self.handle_event(node, Event::List { kind: ListKind::Changes, servers });
                }
                ScheduledEvent::GiveUp(id) => self.abandon(id),
                ScheduledEvent::Timer(node) => self.handle_event(node, Event::Timer { token: 0 }),
            }
        }
        self.now = until;
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&mut self) -> Vec<RequestCounts> {
        let zeroed = vec![RequestCounts::default(); self.counts.len()];
        std::mem::replace(&mut self.counts, zeroed)
    }

    /// Submits one request of a stream to a node.
    pub fn submit_request(&mut self, stream: usize, node: usize) -> RequestId {
        let (class, spec) = self.streams[stream];
        let work_factor = match spec.spread > 1.0 {
            true => -self.random_fraction().ln(),
            false => 1.0 + spec.spread * (2.0 * self.random_fraction() - 1.0),
        };
        let work = (spec.work as f64 * work_factor) as Nanos;
        self.last_request_id += 1;
        let (id, give_up_at) =
            (self.last_request_id, self.now + self.settings.classes[usize::from(class)].give_up);
        self.open_requests
            .insert(id, OpenRequest { node, stream, arrived_at: self.now, work, attempts: Vec::new() });
        self.counts[stream].offered += 1;
        self.schedule(give_up_at, ScheduledEvent::GiveUp(id));
        let work_hint = spec.has_work_hint.then_some(work);
        let request = Request { class, tenant: spec.tenant, work_hint, ..Request::new(id, give_up_at) };
        self.handle_event(node, Event::Request(request));
        id
    }

    fn handle_event(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, server, .. } => {
                    let Some(open) = self.open_requests.get_mut(&request) else { continue };
                    open.attempts.push(server);
                    let (work, mean_work) = (open.work, self.streams[open.stream].1.work);
                    self.attempt_count += 1;
                    self.record_cold_send(server, work, mean_work);
                    self.server_states.get_mut(&server).expect("listed").queue.push_back((request, work));
                    self.start_next(server);
                }
                Action::Refuse { request, .. } => {
                    let Some(open) = self.open_requests.remove(&request) else { continue };
                    let count = &mut self.counts[open.stream];
                    count.refused += 1;
                    count.refused_while_idle += u32::from(self.busy_servers < self.server_states.len());
                }
                Action::Fail { request } => {
                    if let Some(open) = self.open_requests.remove(&request) {
                        self.counts[open.stream].failed += 1;
                    }
                }
                Action::StartTimer { after, .. } => {
                    self.schedule(self.now + after, ScheduledEvent::Timer(node))
                }
                _ => {}
            }
        }
    }

    /// The fraction of its warm capacity that a server has at a time.
    fn capacity_fraction(&self, started_at: Option<Nanos>, at: Nanos) -> f64 {
        let age = started_at
            .map_or(1.0, |started_at| at.saturating_sub(started_at) as f64 / self.settings.ramp as f64);
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Compares the work sent to a cold server within the overload window with the work that overloads it.
    fn record_cold_send(&mut self, server: ServerId, work: Nanos, mean_work: Nanos) {
        let (now, overload_window) = (self.now, self.settings.overload_window);
        let state = &self.server_states[&server];
        let (started_at, cores) = (state.started_at, state.cores as f64);
        if self.capacity_fraction(started_at, now) >= 1.0 {
            return;
        }
        // Capacity rises linearly, so the capacity in the middle of the window is its mean.
        let mean_capacity = self.capacity_fraction(started_at, now.saturating_sub(overload_window / 2));
        let overload_work = self.settings.tip_multiple * cores * mean_capacity * overload_window as f64 / 1e9;
        let state = self.server_states.get_mut(&server).expect("listed");
        let mean_work = mean_work as f64 / 1e9;
        state.recent_sends.push_back((now, work as f64 / 1e9));
        while state.recent_sends.front().is_some_and(|sent| sent.0 + overload_window <= now) {
            state.recent_sends.pop_front();
        }
        let window_work: f64 = state.recent_sends.iter().map(|sent| sent.1).sum();
        self.cold_load.sent += work as f64 / 1e9;
        self.cold_load.peak_ratio = self.cold_load.peak_ratio.max(window_work / overload_work);
        self.cold_load.peak_ratio_at_mean_work = self
            .cold_load
            .peak_ratio_at_mean_work
            .max(state.recent_sends.len() as f64 * mean_work / overload_work);
    }

    /// The work that cold servers have received so far.
    pub fn cold_load(&self) -> ColdServerLoad {
        let ramp = self.settings.ramp;
        let possible_work = self.server_states.values().filter_map(|state| {
            let started_at = state.started_at?;
            let end = self.now.min(started_at + ramp).min(state.removed_at.unwrap_or(self.now));
            let mean_capacity = (self.capacity_fraction(state.started_at, started_at)
                + self.capacity_fraction(state.started_at, end))
                / 2.0;
            Some(mean_capacity * state.cores as f64 * end.saturating_sub(started_at) as f64 / 1e9)
        });
        ColdServerLoad {
            sent: self.cold_load.sent / possible_work.sum::<f64>().max(f64::MIN_POSITIVE),
            ..self.cold_load
        }
    }

    /// Servers that have not been replaced, oldest first.
    pub fn active_servers(&self) -> Vec<ServerId> {
        self.server_states.iter().filter(|(_, state)| state.removed_at.is_none()).map(|(id, _)| *id).collect()
    }

    /// Replaces a server with a cold one and returns the new server; each node learns of it after its own
    /// random delay.
    pub fn replace_server(&mut self, old: ServerId) -> ServerId {
        if let Some(state) = self.server_states.get_mut(&old) {
            state.removed_at = Some(self.now);
        }
        let id = ServerId(self.server_states.keys().next_back().map_or(0, |id| id.0 + 1));
        self.server_states.insert(
            id,
            ServerState { cores: self.cores, started_at: Some(self.now), ..ServerState::default() },
        );
        let removed = Server { phase: Phase::Removed, ..Server::warm(old) };
        self.list_changes.push(vec![removed, Server { started_at: self.now, ..Server::warm(id) }]);
        for node in 0..self.nodes.len() {
            let delay = (self.random_fraction() * self.max_list_delay as f64) as Nanos;
            self.schedule(self.now + delay, ScheduledEvent::ListChange(node, self.list_changes.len() - 1));
        }
        id
    }

    fn start_next(&mut self, server: ServerId) {
        let now = self.now;
        let state = &self.server_states[&server];
        if state.running.len() >= state.cores || state.queue.is_empty() {
            return;
        }
        let capacity_fraction = self.capacity_fraction(state.started_at, now);
        let state = self.server_states.get_mut(&server).expect("listed");
        let Some((id, work)) = state.queue.pop_front() else { return };
        self.busy_servers += usize::from(state.running.is_empty());
        state.running.push(id);
        self.schedule(
            now + (work as f64 / capacity_fraction) as Nanos,
            ScheduledEvent::Completion(server, id),
        );
    }

    fn complete(&mut self, server: ServerId, id: RequestId) {
        let state = self.server_states.get_mut(&server).expect("listed");
        state.running.retain(|running| *running != id);
        self.busy_servers -= usize::from(state.running.is_empty());
        self.start_next(server);
        let Some(open) = self.open_requests.get(&id) else { return };
        let (node, took) = (open.node, self.now - open.arrived_at);
        let attempt = open.attempts.iter().position(|s| *s == server).unwrap_or(0) as u8;
        let open = self.open_requests.remove(&id).expect("the request is open");
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
        self.handle_event(node, event);
    }

    fn abandon(&mut self, id: RequestId) {
        let Some(open) = self.open_requests.get(&id) else { return };
        let (node, took, attempts) = (open.node, self.now - open.arrived_at, open.attempts.clone());
        // Queued requests are dropped; a request that is running occupies its core to the end.
        for server in &attempts {
            let state = self.server_states.get_mut(server).expect("listed");
            state.queue.retain(|queued| queued.0 != id);
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
            self.handle_event(node, event);
        }
        if let Some(open) = self.open_requests.remove(&id) {
            self.counts[open.stream].failed += 1;
        }
    }
}

/// Settings with one safe class for each worth, all with the same aim and give-up time.
pub fn safe_classes(worths: &[f64], aim: Nanos, give_up: Nanos) -> Settings {
    let mut settings = Settings::single_class(aim, give_up);
    let class = settings.classes[0].clone();
    settings.classes = worths.iter().map(|worth| Class { worth: *worth, ..class.clone() }).collect();
    (settings.ramp, settings.overload_window) = (20_000_000_000, 2_000_000_000);
    settings
}
