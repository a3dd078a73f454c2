//! All decisions of one node for one pool. Types, events and actions: `src/interface.rs`.
//!
//! One file per concern: `list` (who there is), `ranking` and `order` (accomplishment), `queue` (how long an
//! answer takes), `choice` (JSQ-DAS), `start_times` and `cold` (servers that have just started), `health`,
//! `admission`, `attempts`, `retune`. Constants are ratios of settings or of observations.

mod admission;
mod attempts;
mod health;
mod queue_estimate;
mod score_order;
mod scores;
mod selection;
mod server_list;
mod settings_update;
mod slow_start;
mod start_times;

use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use score_order::Order;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

type Sink<'a> = &'a mut Vec<Action>;

/// The lag of a server is believed for this many give-up times.
const LAG_MEMORY: f64 = 3.0;
/// Without news, pressure fades by e in this many aims.
const RELIEF: f64 = 3.0;

pub(crate) struct Node {
    pub(crate) server: Server,
    size: f64,
    out: u32,
    load: f64,
    silent_since: Nanos,
    pub(crate) lag: Faded,
    queued: f64,
    report_at: Nanos,
    sent_since: f64,
    pub(crate) score: f64,
    pub(crate) ejected_until: Nanos,
    pub(crate) consecutive_failures: u32,
    pub(crate) failure_rate: Faded,
    paced_from: f64,
    jitter: f64,
    reach: f64,
    left_at: Nanos,
    /// When its process last started; none before it has been listed as ready.
    start: Option<start_times::DatedStart>,
}

#[derive(Clone, Copy)]
struct Attempt {
    node: usize,
    at: Nanos,
    credit: f64,
    weight: f64,
    open: bool,
    working: bool,
    alone: bool,
    took: Nanos,
}

struct Pending {
    request: Request,
    arrived: Nanos,
    attempts: Vec<Attempt>,
    most: u32,
    fence: Option<(Server, Nanos)>,
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
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) nodes: Vec<Node>,
    pub(crate) by_id: BTreeMap<ServerId, usize>,
    pub(crate) ready: Vec<Vec<usize>>,
    ranks: Vec<Order>,
    epoch: Nanos,
    start_clock: start_times::StartClock,
    pending: BTreeMap<RequestId, Pending>,
    pub(crate) places: Vec<settings_update::Place>,
    waits: Faded,
    sent: Faded,
    begun: Nanos,
    pace: f64,
    pub(crate) tenants: BTreeMap<u32, Faded>,
    budget: f64,
    usual_queue: f64,
    jobs: BinaryHeap<Reverse<(Nanos, Job)>>,
    armed: Nanos,
    list_failures: u32,
    pub(crate) memory: f64,
    relief: f64,
    pub(crate) longest: Nanos,
}

/// A deviation from what is usual, or a sum, believed the less the longer there was no news of it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faded {
    pub(crate) value: f64,
    pub(crate) at: Nanos,
}

impl Faded {
    fn read(&self, now: Nanos, memory: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.at) as f64) / memory).exp()
    }
    fn learn(&mut self, now: Nanos, memory: f64, seen: f64, weight: f64) {
        self.add(now, memory, (seen - self.read(now, memory)) * weight);
    }
    /// What is counted so is, read with the same memory, a sum over about that time.
    fn add(&mut self, now: Nanos, memory: f64, more: f64) {
        (self.value, self.at) = (self.read(now, memory) + more, now);
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
            by_id: BTreeMap::new(),
            ready: Vec::new(),
            ranks: Vec::new(),
            epoch: 0,
            start_clock: start_times::StartClock::default(),
            pending: BTreeMap::new(),
            places: settings.classes.iter().map(settings_update::Place::new).collect(),
            waits: Faded::default(),
            sent: Faded::default(),
            begun: Nanos::MAX,
            pace: 0.0,
            tenants: BTreeMap::new(),
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
            Event::Outcome { request, server, attempt, finished, took, ending, body_consumed, report } => {
                self.learn(now, server, report);
                self.outcome(now, (request, attempt), finished, took, (ending, body_consumed), sink)
            }
            Event::BodyWritten { request, attempt } => self.written(now, request, attempt),
            Event::StreamStarted { request, .. } => {
                self.pending.entry(request).and_modify(|p| p.streaming = true);
            }
            Event::ClientGone { request } => self.close(request, sink),
            Event::Probed { server, report, .. } => self.learn(now, server, report),
            Event::Message { .. } => {}
            Event::Timer { .. } => {
                self.armed = Nanos::MAX;
                while let Some(&Reverse((_, job))) = self.jobs.peek().filter(|j| j.0 .0 <= now) {
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

    /// A server as it was last listed, for as long as it is remembered.
    pub fn server(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id).map(|&i| &self.nodes[i].server)
    }

    /// How many servers it remembers, with those that have left.
    pub fn tracked_servers(&self) -> usize {
        self.nodes.len()
    }

    /// How many servers the list holds, and how many of these get nothing for now because of their failures.
    pub fn server_counts(&self, now: Nanos) -> (usize, usize) {
        let listed = self.nodes.iter().filter(|n| n.server.phase != Phase::Removed);
        listed.fold((0, 0), |(all, out), n| (all + 1, out + usize::from(n.ejected_until > now)))
    }

    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * below as u64) >> 32) as usize
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn arm(&mut self, now: Nanos, sink: &mut Vec<Action>) {
        if let Some(&Reverse((at, _))) = self.jobs.peek() {
            if at < self.armed {
                self.armed = at;
                sink.push(Action::StartTimer { after: at.saturating_sub(now), token: 0 });
            }
        }
    }
}
