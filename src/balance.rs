//! All decisions. Types, events and actions: `src/interface.rs`.
//!
//! Sections: constants, state, list, ranking, queue estimate, choice (JSQ-DAS), cold servers, health,
//! requests, admission, attempts, timers.

use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

// ---- Constants: ratios of settings or of observations ----

/// Servers drawn for a request, and how many of them from the accomplished set.
const DRAWN: usize = 6;
const FROM_TOP: usize = 3;
/// Size of the accomplished set where the listed sizes do not tell fast from slow.
const TOP_SHARE: f64 = 0.5;
/// About how many nodes each server is ranked by, and the least that a node ranks in a zone.
const COVER: f64 = 3.0;
const LEAST_PART: f64 = 2.0 * DRAWN as f64;
/// Accomplishment fades by e within this many cold ramps: a noisy neighbour must not stay on top for good.
const FADE_RAMPS: f64 = 1.0;
/// The lag of a server is believed for this many give-up times.
const LAG_MEMORY: f64 = 3.0;
/// Least weight of a new response in a server's lag.
const LAG_WEIGHT: f64 = 0.15;
/// Weight of a new response in the fleet's pressure, and how slowly a class's usual response follows.
const PRESSURE_WEIGHT: f64 = 0.1;
/// Without news, pressure fades by e in this many aims.
const RELIEF: f64 = 3.0;
const TYPICAL_UP: f64 = 200.0;
const TYPICAL_DOWN: f64 = 50.0;
/// Weight of a new answer in what is learnt of hints, and the least answer time given to a light one.
const HINT_WEIGHT: f64 = 0.01;
const LIGHTEST: f64 = 0.25;
/// A reported queue is believed for this part of the lag's memory; usual ones average this many reports.
const REPORT_MEMORY: f64 = 0.15;
const USUAL_OVER: f64 = 100.0;
/// Queues closer than this part of a mean response count as tied.
const TIE_STEP: f64 = 0.1;
/// Another zone is looked at when the local answer is expected after this part of the aim ...
const WIDEN_AT: f64 = 0.6;
/// ... and taken when it is expected to be this much quicker.
const CROSS_GAIN: f64 = 0.6;
/// A cold server gets this part of its ramp share of what a like warm one gets.
const COLD_SHARE: f64 = 0.9;
/// A second copy goes out when this part of the aim is over.
const HEDGE_AT: f64 = 0.5;
/// Repeats that may cost servers work, as a part of requests.
const RETRY_SHARE: f64 = 0.1;
/// ... which shrinks with this power of the fleet's pressure.
const CALM_STEEP: i32 = 4;
/// No more than this part of a zone is ejected on soft evidence.
const EJECT_CAP: f64 = 0.5;
/// Refuse when the answer is expected after this multiple of the aim.
const ADMIT_AIMS: f64 = 0.75;
/// Lesser worth for the work lowers the limit with this power of its ratio to the best.
const WORTH_POWER: f64 = 0.5;
/// A tenant is over its share when it gets this many deviations of chance more.
const CHANCE: f64 = 1.0;
/// What a key's own server may be behind the best: it saves work there.
const KEY_BONUS: f64 = 0.6;

// ---- State ----

struct Node {
    server: Server,
    size: f64,
    out: u32,
    load: f64,
    silent_since: Nanos,
    lag: f64,
    lag_at: Nanos,
    queued: f64,
    report_at: Nanos,
    sent_since: f64,
    score: f64,
    place: Option<usize>,
    blocked_until: Nanos,
    strikes: u32,
    cold_next: Nanos,
    left_at: Nanos,
}

struct Attempt {
    node: usize,
    credit: f64,
    weight: f64,
    open: bool,
}

struct Pending {
    request: Request,
    arrived: Nanos,
    attempts: Vec<Attempt>,
    fence: Option<(usize, Nanos)>,
    answered: bool,
    streaming: bool,
}

impl Pending {
    fn open(&self) -> usize {
        self.attempts.iter().filter(|a| a.open).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Job {
    Hedge(RequestId),
    Relist,
}

/// The decisions of one node. Equal settings, seed and events give equal actions.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    by_endpoint: BTreeMap<Endpoint, usize>,
    ready: Vec<Vec<usize>>,
    ranks: Vec<Vec<usize>>,
    epoch: Nanos,
    pending: BTreeMap<RequestId, Pending>,
    typical: Vec<f64>,
    hints: Vec<[f64; 3]>,
    pressure: f64,
    pressure_at: Nanos,
    arrivals: Rate,
    tenants: Vec<Rate>,
    budget: f64,
    usual_queue: f64,
    jobs: BinaryHeap<Reverse<(Nanos, Job)>>,
    armed: Nanos,
    list_failures: u32,
    memory: f64,
    relief: f64,
    longest: Nanos,
}

/// A rate a second, averaged over the memory it is read with.
#[derive(Clone, Copy, Default)]
struct Rate {
    sum: f64,
    at: Nanos,
}

impl Rate {
    fn read(&self, now: Nanos, memory: f64) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / memory).exp() / (memory / 1e9)
    }
    fn count(&mut self, now: Nanos, memory: f64) {
        self.sum = self.sum * (-(now.saturating_sub(self.at) as f64) / memory).exp() + 1.0;
        self.at = now;
    }
}

impl Balancer {
    /// A balancer without any servers yet. The seed settles all its random draws.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let longest = settings.classes.iter().map(|c| c.give_up).max().unwrap_or(1);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            by_endpoint: BTreeMap::new(),
            ready: Vec::new(),
            ranks: Vec::new(),
            epoch: 0,
            pending: BTreeMap::new(),
            typical: settings.classes.iter().map(|c| c.aim as f64 / 3.0).collect(),
            hints: vec![[0.0; 3]; settings.classes.len()],
            pressure: 1.0,
            pressure_at: 0,
            arrivals: Rate::default(),
            tenants: vec![Rate::default(); settings.tenant_quota.len()],
            budget: 1.0,
            usual_queue: 0.0,
            jobs: BinaryHeap::new(),
            armed: Nanos::MAX,
            list_failures: 0,
            memory: LAG_MEMORY * longest as f64,
            relief: RELIEF * settings.classes.iter().map(|c| c.aim).max().unwrap_or(1) as f64,
            longest,
            settings,
        })
    }

    /// Takes one event at the given time and writes what is to be done about it into `sink`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, sink: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => self.follow_list(now, kind, &servers, sink),
            Event::Request(request) => self.admit(now, request, sink),
            Event::Outcome { request, server, attempt, finished, took, ending, report } => {
                self.learn(now, server, report);
                self.outcome(now, (request, attempt), finished, took, ending, sink)
            }
            Event::StreamStarted { request, .. } => {
                if let Some(p) = self.pending.get_mut(&request) {
                    p.streaming = true;
                }
            }
            Event::ClientGone { request } => self.close(request, sink),
            Event::Probed { server, report, .. } => self.learn(now, server, report),
            Event::Message { .. } => {}
            Event::Timer { .. } => {
                self.armed = Nanos::MAX;
                while let Some(&Reverse((at, job))) = self.jobs.peek() {
                    if at > now {
                        break;
                    }
                    self.jobs.pop();
                    match job {
                        Job::Hedge(id) => self.hedge(now, id, sink),
                        Job::Relist => sink.push(Action::Subscribe),
                    }
                }
            }
        }
        self.arm(now, sink);
    }

    /// How many servers it remembers, with those that have left.
    pub fn remembered(&self) -> usize {
        self.nodes.len()
    }

    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * below as u64) >> 32) as usize
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    // ---- List ----

    fn follow_list(&mut self, now: Nanos, kind: ListKind, servers: &[Server], sink: &mut Vec<Action>) {
        match kind {
            // The whole group may have been cut off at once: come back spread out, later each time.
            ListKind::Failed => {
                self.list_failures = (self.list_failures + 1).min(4);
                let pause = self.longest as f64 * f64::from(1 << self.list_failures) * (0.5 + self.chance());
                return self.jobs.push(Reverse((now + pause as Nanos, Job::Relist)));
            }
            ListKind::Cached if self.settings.must_subscribe => sink.push(Action::Subscribe),
            ListKind::Cached => {}
            ListKind::Full | ListKind::Changes => self.list_failures = 0,
        }
        if kind != ListKind::Changes {
            for i in 0..self.nodes.len() {
                if !servers.iter().any(|s| s.endpoint == self.nodes[i].server.endpoint) {
                    self.leave(now, i, Phase::Gone);
                }
            }
        }
        for server in servers {
            match self.by_endpoint.get(&server.endpoint).copied() {
                Some(i) => self.update(now, i, *server),
                None if server.phase == Phase::Ready => self.add(now, *server),
                None => {}
            }
        }
        (0..self.ready.len()).for_each(|zone| self.regroup(now, zone));
    }

    /// Ranks this node's own part of a zone: with many nodes each would see any one server too seldom. Parts
    /// are windows of one order, set off by the golden ratio, so that all servers are in about as many.
    fn regroup(&mut self, now: Nanos, zone: usize) {
        let count = self.ready[zone].len();
        let nodes = f64::from(self.settings.group_size) / self.ready.len() as f64;
        let part = (count as f64 * COVER / nodes).max(LEAST_PART);
        let start = f64::from(self.settings.ordinal) * 0.618_033_988_749_895 % 1.0 * count as f64;
        let mut filled = 0.0;
        for k in 0..count {
            let i = self.ready[zone][(start as usize + k) % count];
            let inside = filled < part;
            filled += self.cold_share(now, i);
            match self.nodes[i].place {
                None if inside => {
                    self.nodes[i].place = Some(self.ranks[zone].len());
                    self.ranks[zone].push(i);
                    self.credit(i, 0.0);
                }
                Some(_) if !inside => self.unrank(i),
                _ => {}
            }
        }
    }

    fn unrank(&mut self, i: usize) {
        let Some(place) = self.nodes[i].place.take() else { return };
        let rank = &mut self.ranks[usize::from(self.nodes[i].server.zone)];
        rank.remove(place);
        for (k, &j) in rank.iter().enumerate().skip(place) {
            self.nodes[j].place = Some(k);
        }
    }

    fn add(&mut self, now: Nanos, server: Server) {
        let size = if server.size > 0.0 && self.settings.sizes_known { f64::from(server.size) } else { 1.0 };
        let node = Node {
            server: Server { phase: Phase::Gone, ..server },
            size,
            out: 0,
            load: 0.0,
            silent_since: now,
            lag: 1.0,
            lag_at: now,
            queued: 0.0,
            report_at: 0,
            sent_since: 0.0,
            score: 0.0,
            place: None,
            blocked_until: 0,
            strikes: 0,
            cold_next: 0,
            left_at: now,
        };
        // A fleet that is replaced over and over must not fill memory: a place goes to the next server
        // once no request can speak of the one that left.
        let over = |n: &Node| n.server.phase == Phase::Gone && n.out == 0 && now >= n.left_at + self.longest;
        let i = self.nodes.iter().position(over).unwrap_or(self.nodes.len());
        if i < self.nodes.len() {
            self.by_endpoint.remove(&self.nodes[i].server.endpoint);
            self.nodes[i] = node;
        } else {
            self.nodes.push(node);
        }
        self.by_endpoint.insert(server.endpoint, i);
        self.update(now, i, server);
    }

    fn update(&mut self, now: Nanos, i: usize, server: Server) {
        let restarted = server.started_at > self.nodes[i].server.started_at;
        let fresh = self.nodes[i].server.phase != Phase::Ready;
        if server.phase != Phase::Ready || server.zone != self.nodes[i].server.zone {
            self.leave(now, i, server.phase);
        }
        self.nodes[i].server = server;
        if server.phase == Phase::Ready && (fresh || restarted) {
            let node = &mut self.nodes[i];
            (node.lag, node.lag_at, node.strikes, node.blocked_until) = (1.0, now, 0, 0);
            let zone = usize::from(server.zone);
            if self.ranks.len() <= zone {
                self.ranks.resize(zone + 1, Vec::new());
                self.ready.resize(zone + 1, Vec::new());
            }
            if fresh {
                node.score = 0.0;
                let at =
                    self.ready[zone].partition_point(|&j| self.nodes[j].server.endpoint < server.endpoint);
                self.ready[zone].insert(at, i);
            }
            // Every node hears of a cold server at about the same time: first sends are spread over an
            // interval, or all of them together would spend its tipping budget at once.
            if self.cold_share(now, i) < 1.0 {
                let wait = self.cold_interval(now, i) * self.chance();
                self.nodes[i].cold_next = now.saturating_add(wait as Nanos);
            }
        }
    }

    fn leave(&mut self, now: Nanos, i: usize, phase: Phase) {
        if self.nodes[i].server.phase == Phase::Ready {
            self.nodes[i].left_at = now;
            self.unrank(i);
            self.ready[usize::from(self.nodes[i].server.zone)].retain(|&j| j != i);
        }
        self.nodes[i].server.phase = if phase == Phase::Ready { Phase::Gone } else { phase };
    }

    // ---- Ranking: accomplishment counters, faded by growing the increment ----

    fn increment(&mut self, now: Nanos) -> f64 {
        let fade = FADE_RAMPS * self.settings.ramp as f64;
        let mut grown = (now.saturating_sub(self.epoch) as f64 / fade).exp();
        if grown > 1e100 {
            self.nodes.iter_mut().for_each(|n| n.score /= grown);
            self.pending.values_mut().flat_map(|p| &mut p.attempts).for_each(|a| a.credit /= grown);
            self.epoch = now;
            grown = 1.0;
        }
        grown
    }

    fn credit(&mut self, i: usize, by: f64) {
        self.nodes[i].score += by;
        let Some(mut at) = self.nodes[i].place else { return };
        let rank = &mut self.ranks[usize::from(self.nodes[i].server.zone)];
        let score = self.nodes[i].score;
        while at > 0 && self.nodes[rank[at - 1]].score < score {
            rank[at] = rank[at - 1];
            self.nodes[rank[at]].place = Some(at);
            at -= 1;
        }
        while at + 1 < rank.len() && self.nodes[rank[at + 1]].score > score {
            rank[at] = rank[at + 1];
            self.nodes[rank[at]].place = Some(at);
            at += 1;
        }
        rank[at] = i;
        self.nodes[i].place = Some(at);
    }

    // ---- Queue estimate, in mean responses ----

    fn learn(&mut self, now: Nanos, endpoint: Endpoint, report: Option<Report>) {
        let (Some(&i), Some(report)) = (self.by_endpoint.get(&endpoint), report) else { return };
        let node = &mut self.nodes[i];
        node.queued = f64::from(report.queued.unwrap_or(0.0)).max(0.0);
        node.report_at = now;
        self.usual_queue += (node.queued / node.size - self.usual_queue) / USUAL_OVER;
        node.sent_since = 0.0;
    }

    fn weight(&self, request: &Request) -> f64 {
        let class = usize::from(request.class);
        let [mean, spread, both] = self.hints[class];
        match request.work_hint {
            Some(hint) if spread > 0.0 => {
                let more = (both / spread).max(0.0) * (hint as f64 - mean) / self.typical[class];
                (1.0 + more).max(LIGHTEST)
            }
            _ => 1.0,
        }
    }

    /// How long an answer takes here, in the class's mean responses: recent lag, or the silence while work is
    /// out if that is longer (a hung server must not look idle), and the work that waits per unit of size.
    fn queue(&self, now: Nanos, i: usize, mean: f64, weight: f64) -> f64 {
        let node = &self.nodes[i];
        let faded = (-(now.saturating_sub(node.lag_at) as f64) / self.memory).exp();
        let fleet = self.pressure_now(now);
        let mut lag = fleet * (1.0 + (node.lag - 1.0) * faded) * weight;
        if node.out > 0 {
            lag = lag.max(now.saturating_sub(node.silent_since) as f64 / mean);
        }
        let age = now.saturating_sub(node.report_at) as f64;
        let known = (-age / (REPORT_MEMORY * self.memory)).exp();
        let own = node.load / node.size;
        let since = node.sent_since / node.size;
        let waiting =
            (node.queued / node.size * known + since.min(own) + self.usual_queue * (1.0 - known)).max(own);
        // The lag already holds the usual queue: only what differs from it counts.
        (lag + waiting - self.usual_queue).max(own)
    }

    fn pressure_now(&self, now: Nanos) -> f64 {
        let faded = (-(now.saturating_sub(self.pressure_at) as f64) / self.relief).exp();
        1.0 + (self.pressure - 1.0) * faded
    }

    // ---- Choice: JSQ-DAS within a zone ----

    fn usable(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let node = &self.nodes[i];
        node.blocked_until <= now
            && (node.strikes == 0 || node.out == 0)
            && node.cold_next <= now
            && (node.place.is_some() || self.cold_share(now, i) >= 1.0)
            && !pending.attempts.iter().any(|a| a.node == i)
            && self.inside(now, i, pending)
    }

    fn inside(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let class = &self.settings.classes[usize::from(pending.request.class)];
        let Some((first, until)) = pending.fence.filter(|_| class.effect == Effect::Keyed) else {
            return true;
        };
        let (a, b) = (&self.nodes[first].server, &self.nodes[i].server);
        let same = match class.group {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        };
        same && now < until
    }

    fn choose_in(&mut self, now: Nanos, zone: usize, pending: &Pending) -> Option<(usize, f64)> {
        let count = self.ranks.get(zone).map_or(0, Vec::len);
        if count == 0 {
            return None;
        }
        let mean = self.typical[usize::from(pending.request.class)];
        let top = ((TOP_SHARE * count as f64).ceil() as usize).clamp(1, count.max(2) - 1).min(count);
        let weight = self.weight(&pending.request);
        let mut drawn = [usize::MAX; DRAWN + 1];
        let mut have = 0;
        for (from, to, want) in [(0, top, FROM_TOP), (top, count, DRAWN - FROM_TOP)] {
            let (mut tries, goal) = (0, have + want.min(to - from));
            while have < goal && tries < 4 * want {
                let place = from + self.draw(to - from);
                let i = self.ranks[zone][place];
                tries += 1;
                if !drawn[..have].contains(&i) && self.usable(now, i, pending) {
                    drawn[have] = i;
                    have += 1;
                }
            }
        }
        let favourite = self.favourite(now, zone, pending);
        if let Some(i) = favourite.filter(|i| !drawn[..have].contains(i)) {
            drawn[have] = i;
            have += 1;
        }
        if have == 0 {
            drawn[0] = *self.ready[zone].iter().find(|&&i| self.usable(now, i, pending))?;
            have = 1;
        }
        drawn[..have]
            .iter()
            .map(|&i| {
                let queue =
                    self.queue(now, i, mean, weight) * if favourite == Some(i) { KEY_BONUS } else { 1.0 };
                (i, queue)
            })
            .min_by(|a, b| {
                let (qa, qb) = ((a.1 / TIE_STEP).round(), (b.1 / TIE_STEP).round());
                let place = |i: usize| self.nodes[i].place.unwrap_or(usize::MAX);
                qa.total_cmp(&qb).then(place(a.0).cmp(&place(b.0)))
            })
    }

    fn favourite(&self, now: Nanos, zone: usize, pending: &Pending) -> Option<usize> {
        let key = pending.request.key;
        if key == 0 || !self.settings.warm_keys {
            return None;
        }
        let hash = |i: usize| {
            let e = self.nodes[i].server.endpoint;
            let id = (u64::from(u32::from_be_bytes(e.address)) << 16) | u64::from(e.port);
            let mixed = (id ^ key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 11
        };
        let best = *self.ranks[zone].iter().max_by_key(|&&i| (hash(i), i))?;
        Some(best).filter(|&i| self.usable(now, i, pending))
    }

    fn choose(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let class = usize::from(pending.request.class);
        let (mean, aim) = (self.typical[class], self.settings.classes[class].aim as f64);
        let home = usize::from(self.settings.zone);
        let local = self.choose_in(now, home, pending);
        if local.is_some_and(|(_, q)| q * mean < WIDEN_AT * aim) || self.ranks.len() < 2 {
            return local;
        }
        let skip = self.draw(self.ranks.len());
        let mut best = local.map(|(i, q)| (i, q, q * CROSS_GAIN));
        for k in 0..self.ranks.len() {
            let zone = (k + skip) % self.ranks.len();
            if zone != home {
                if let Some((i, q)) = self.choose_in(now, zone, pending) {
                    if best.is_none_or(|b| q < b.2) && self.cold_share(now, i) >= 1.0 {
                        best = Some((i, q, q));
                    }
                }
            }
        }
        best.map(|(i, q, _)| (i, q))
    }

    // ---- Cold servers ----

    fn cold_share(&self, now: Nanos, i: usize) -> f64 {
        let started = self.nodes[i].server.started_at;
        let age = now.saturating_sub(started) as f64 / self.settings.ramp as f64;
        if started == 0 {
            return 1.0;
        }
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Time between two sends to a cold server: its ramp share of what this node sends a like warm server.
    fn cold_interval(&self, now: Nanos, i: usize) -> f64 {
        let zone = usize::from(self.settings.zone);
        let size: f64 = self.ranks.get(zone).map_or(0.0, |r| r.iter().map(|&j| self.nodes[j].size).sum());
        let rate = self.arrivals.read(now, self.settings.ramp as f64) / size.max(self.nodes[i].size);
        1e9 / (COLD_SHARE * self.cold_share(now, i) * rate * self.nodes[i].size).max(1e-6)
    }

    // ---- Health ----

    fn strike(&mut self, now: Nanos, i: usize, ending: Ending, sink: &mut Vec<Action>) {
        let zone = usize::from(self.nodes[i].server.zone);
        if self.nodes[i].blocked_until > now || self.nodes[i].server.phase != Phase::Ready {
            return;
        }
        let hard = ending == Ending::ConnectFailed;
        let out = self.ranks[zone].iter().filter(|&&j| self.nodes[j].blocked_until > now).count();
        if !hard && out as f64 >= EJECT_CAP * self.ranks[zone].len() as f64 {
            return;
        }
        let jitter = 0.75 + 0.5 * self.chance();
        let node = &mut self.nodes[i];
        node.strikes = (node.strikes + 1).min(4);
        if matches!(ending, Ending::Reset | Ending::Rejected) && node.strikes == 1 {
            return;
        }
        let pause = self.longest as f64 / 2.0 * f64::from(1 << node.strikes) * jitter;
        node.blocked_until = now + pause as Nanos;
        if node.strikes == 2 {
            let e = node.server.endpoint;
            sink.push(Action::Log { text: format!("ejected {:?}:{} after {:?}", e.address, e.port, ending) });
        }
    }

    // ---- Requests ----

    fn admit(&mut self, now: Nanos, request: Request, sink: &mut Vec<Action>) {
        let ramp = self.settings.ramp as f64;
        self.arrivals.count(now, ramp);
        let most = 1.0 + RETRY_SHARE * self.arrivals.read(now, ramp) * ramp / 1e9;
        // Copies into a jam make it worse: the budget dries up as answers take longer than usual.
        let calm = self.pressure_now(now).max(1.0).powi(-CALM_STEEP);
        self.budget = (self.budget + RETRY_SHARE * calm).min(most);
        let pending = Pending {
            request,
            arrived: now,
            attempts: Vec::new(),
            fence: None,
            answered: false,
            streaming: false,
        };
        let class = usize::from(request.class);
        if class < self.settings.classes.len() {
            if let Some((i, queue)) = self.choose(now, &pending) {
                let wait = queue * self.typical[class] - self.limit(now, &request);
                if wait <= 0.0 {
                    if let Some(rate) = self.tenants.get_mut(request.tenant as usize) {
                        rate.count(now, self.memory);
                    }
                    self.pending.insert(request.id, pending);
                    self.send(now, request.id, i, sink);
                    let class = &self.settings.classes[class];
                    if class.effect == Effect::Safe && self.settings.second_copies && !class.stream {
                        let at = now + (HEDGE_AT * class.aim as f64) as Nanos;
                        if at < request.give_up_at {
                            self.jobs.push(Reverse((at, Job::Hedge(request.id))));
                        }
                    }
                    return;
                }
                return self.refuse(request.id, wait, sink);
            }
        }
        self.refuse(request.id, self.longest as f64, sink);
    }

    // ---- Admission ----

    /// Whether a tenant already gets its share here. What is let in counts: clients that ask again after a
    /// refusal would put their tenant over its share and be refused the more.
    fn over_share(&self, now: Nanos, tenant: usize) -> bool {
        let Some(rate) = self.tenants.get(tenant) else { return false };
        let fair = self.settings.tenant_quota[tenant] / f64::from(self.settings.group_size);
        let seconds = self.memory / 1e9;
        rate.read(now, self.memory) > fair + CHANCE * (fair / seconds).sqrt()
    }

    fn limit(&self, now: Nanos, request: &Request) -> f64 {
        let class = &self.settings.classes[usize::from(request.class)];
        let cost = |c: usize| if self.settings.worth_by_work { 1.0 } else { self.typical[c] };
        let best = (0..self.typical.len())
            .map(|c| self.settings.classes[c].worth / cost(c))
            .fold(f64::MIN_POSITIVE, f64::max);
        let mut value = class.worth / cost(usize::from(request.class)) / best;
        if self.over_share(now, request.tenant as usize) {
            value *= self.settings.over_share_worth;
        }
        let left = request.give_up_at.saturating_sub(now) as f64;
        let most = (ADMIT_AIMS * (1.0 + class.late_worth) * class.aim as f64).min(left);
        most * value.clamp(0.0, 1.0).powf(WORTH_POWER)
    }

    fn refuse(&mut self, id: RequestId, wait: f64, sink: &mut Vec<Action>) {
        let spread = 0.5 + self.chance();
        let advice = (wait * spread).min(self.settings.max_retry_after as f64) as Nanos;
        let retry_after = if self.settings.retry_after { advice } else { 0 };
        sink.push(Action::Refuse { request: id, retry_after });
    }

    // ---- Attempts ----

    fn send(&mut self, now: Nanos, id: RequestId, i: usize, sink: &mut Vec<Action>) {
        let credit = self.increment(now);
        let weight = self.pending.get(&id).map_or(1.0, |p| self.weight(&p.request));
        if self.cold_share(now, i) < 1.0 {
            let wait = self.cold_interval(now, i) as Nanos;
            self.nodes[i].cold_next = now.saturating_add(wait);
        } else {
            self.nodes[i].cold_next = 0;
        }
        let node = &mut self.nodes[i];
        if node.out == 0 {
            node.silent_since = now;
        }
        node.out += 1;
        node.load += weight;
        node.sent_since += weight;
        let server = node.server.endpoint;
        self.credit(i, credit);
        if let Some(p) = self.pending.get_mut(&id) {
            p.attempts.push(Attempt { node: i, credit, weight, open: true });
            sink.push(Action::Send { request: id, server, timeout: 0 });
        }
    }

    fn outcome(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u8),
        finished: bool,
        took: Nanos,
        ending: Ending,
        sink: &mut Vec<Action>,
    ) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.open) else { return };
        a.open = false;
        let (i, credit, weight, class) = (a.node, a.credit, a.weight, usize::from(p.request.class));
        let hint = p.request.work_hint;
        let window = self.settings.classes[class].window;
        if !ending.never_ran() && p.fence.is_none() {
            p.fence = Some((i, now.saturating_sub(took) + window));
        }
        self.judge(now, i, (class, weight, hint), took, ending, credit, sink);
        if finished {
            return self.close(id, sink);
        }
        let Some(p) = self.pending.get(&id) else { return };
        if p.answered {
            return self.close(id, sink);
        }
        if p.open() > 0 && now < p.request.give_up_at {
            return;
        }
        self.again(now, id, ending, sink);
    }

    /// What an ending says of its server.
    #[allow(clippy::too_many_arguments)]
    fn judge(
        &mut self,
        now: Nanos,
        i: usize,
        (class, weight, hint): (usize, f64, Option<Nanos>),
        took: Nanos,
        ending: Ending,
        credit: f64,
        sink: &mut Vec<Action>,
    ) {
        let fleet = self.pressure_now(now);
        let node = &mut self.nodes[i];
        node.out = node.out.saturating_sub(1);
        node.load = if node.out == 0 { 0.0 } else { (node.load - weight).max(0.0) };
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Rejected | Ending::Full | Ending::Reset) {
            node.silent_since = now;
        }
        if matches!(ending, Ending::Ok | Ending::TimedOut) {
            let typical = &mut self.typical[class];
            if let Some(hint) = hint {
                let [mean, spread, both] = &mut self.hints[class];
                let (far, late) = (hint as f64 - *mean, took as f64 - *typical);
                *mean += far * HINT_WEIGHT;
                *spread += (far * far - *spread) * HINT_WEIGHT;
                *both += (far * late - *both) * HINT_WEIGHT;
            }
            let ratio = took as f64 / (*typical * weight);
            // The yardstick follows slowly, upwards slowest: it has to outlive a jam.
            *typical += (took as f64 - *typical) / if ratio > 1.0 { TYPICAL_UP } else { TYPICAL_DOWN };
            let gap = (-(now.saturating_sub(node.lag_at) as f64) / self.memory).exp();
            node.lag = 1.0 + (node.lag - 1.0) * gap;
            node.lag += (ratio / fleet - node.lag) * LAG_WEIGHT.max(1.0 - gap);
            self.pressure = fleet + (ratio - fleet) * PRESSURE_WEIGHT;
            self.pressure_at = now;
            node.lag_at = now;
        }
        match ending {
            Ending::Ok => {
                if node.blocked_until <= now {
                    node.strikes = 0;
                }
            }
            Ending::Cancelled | Ending::NotSent => {}
            // A server that fails fast would drain its queue and climb: take back its credit.
            Ending::Error
            | Ending::Rejected
            | Ending::Full
            | Ending::TimedOut
            | Ending::ConnectFailed
            | Ending::Reset => {
                self.credit(i, -credit);
                if ending != Ending::TimedOut {
                    self.strike(now, i, ending, sink);
                }
            }
        }
    }

    /// Sends a request again whose attempts have all ended without an answer, or ends it.
    fn again(&mut self, now: Nanos, id: RequestId, ending: Ending, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else { return };
        let class = usize::from(p.request.class);
        let effect = self.settings.classes[class].effect;
        let may_have_run = p.fence.is_some();
        let free = ending.never_ran();
        // One bad request must not be carried from server to server and count against each.
        let rejected = ending == Ending::Rejected;
        let allowed = !p.streaming
            && !rejected
            && p.attempts.len() < self.settings.max_attempts as usize
            && (!may_have_run || effect != Effect::Unsafe)
            && (free || self.budget >= 1.0)
            && now + (self.typical[class] / 2.0) as Nanos <= p.request.give_up_at;
        let mut p = p;
        let next = if allowed { self.choose(now, &p) } else { None };
        let all = self.settings.classes[class].group == Group::All;
        let harmless = !may_have_run || effect == Effect::Safe || (effect == Effect::Keyed && all);
        if next.is_none() {
            p.answered = true;
            if harmless && !rejected && now < p.request.give_up_at {
                self.refuse(id, self.typical[class], sink);
            } else {
                sink.push(Action::Fail { request: id });
            }
        }
        self.pending.insert(id, p);
        match next {
            Some((i, _)) => {
                if !free {
                    self.budget -= 1.0;
                }
                self.send(now, id, i, sink)
            }
            None => self.close(id, sink),
        }
    }

    /// A second copy for a request that is slow to come back, within the budget.
    fn hedge(&mut self, now: Nanos, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.remove(&id) else { return };
        let fits = !p.answered && p.open() == 1 && p.attempts.len() < self.settings.max_attempts as usize;
        let class = &self.settings.classes[usize::from(p.request.class)];
        let left = (p.arrived + class.aim).saturating_sub(now) as f64;
        let mean = self.typical[usize::from(p.request.class)];
        let next = if fits && self.budget >= 1.0 && now < p.request.give_up_at {
            self.choose(now, &p).filter(|&(_, q)| q * mean < left)
        } else {
            None
        };
        self.pending.insert(id, p);
        if let Some((i, _)) = next {
            self.budget -= 1.0;
            self.send(now, id, i, sink);
        }
    }

    /// Nothing more is owed: calls off what is still out and forgets the request once all is in.
    fn close(&mut self, id: RequestId, sink: &mut Vec<Action>) {
        let Some(p) = self.pending.get_mut(&id) else { return };
        if !p.answered && self.settings.cancel && !p.streaming {
            for (k, _) in p.attempts.iter().enumerate().filter(|(_, a)| a.open) {
                sink.push(Action::Cancel { request: id, attempt: k as u8 });
            }
        }
        p.answered = true;
        if p.open() == 0 {
            self.pending.remove(&id);
        }
    }

    // ---- Timers ----

    fn arm(&mut self, now: Nanos, sink: &mut Vec<Action>) {
        if let Some(&Reverse((at, _))) = self.jobs.peek() {
            if at < self.armed {
                self.armed = at;
                sink.push(Action::StartTimer { after: at.saturating_sub(now), token: 0 });
            }
        }
    }
}
