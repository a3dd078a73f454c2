//! The load balancing decisions of one node for one pool. Its settings, events and actions are defined in
//! `src/interface.rs`.
//!
//! One file per concern: `server_list` (the list of servers), `scores` and `score_order` (ranking by
//! completed requests), `queue_estimate` (expected response times), `selection` (choice of a server),
//! `start_times` and `slow_start` (servers that have just started), `health` (outlier ejection), `admission`,
//! `attempts`, `settings_update`. Constants are ratios of settings or of observations.

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
use score_order::ScoreOrder;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

type Sink<'a> = &'a mut Vec<Action>;

/// Time constant of decaying per-server and per-tenant values, in multiples of the longest give-up time.
const DECAY_GIVE_UPS: f64 = 3.0;
/// Time constant of the decay of delays without new answers, in multiples of the longest aim.
const DELAY_DECAY_AIMS: f64 = 3.0;

/// What this node knows of a server.
pub(crate) struct ServerState {
    /// The server's last list entry.
    pub(crate) entry: Server,
    /// Capacity relative to other servers; 1 where sizes cannot be compared.
    size: f64,
    /// Attempts in progress, and the sum of their weights.
    outstanding: u32,
    outstanding_weight: f64,
    /// When it last answered, or received work while it had none.
    silent_since: Nanos,
    /// Response time relative to the class's typical one, minus the fleet's pressure.
    pub(crate) lag: DecayingValue,
    reported_queue: f64,
    reported_at: Nanos,
    /// Weight of the attempts sent since the last report.
    weight_since_report: f64,
    pub(crate) score: f64,
    pub(crate) ejected_until: Nanos,
    pub(crate) consecutive_failures: u32,
    pub(crate) failure_rate: DecayingValue,
    /// While the server is warming up, the next attempt is due `pacing_jitter` intervals after this time.
    pacing_start: f64,
    pacing_jitter: f64,
    /// Number of window positions that include this server, times the zone's mean size; see
    /// `update_ranked_window`.
    window_coverage: f64,
    left_at: Nanos,
    /// When a list first announced its present process; 0 for the one that it was added with.
    restart_listed_at: Nanos,
    /// When its process last started; none before it has been listed as ready.
    start: Option<start_times::DatedStart>,
}

#[derive(Clone, Copy)]
struct Attempt {
    /// Index of the server.
    server: usize,
    sent_at: Nanos,
    /// Added to the server's score when the attempt was sent.
    credit: f64,
    /// Expected response time of the request, in its class's typical ones.
    weight: f64,
    is_open: bool,
    /// The server has received the whole request, and the attempt counts as outstanding.
    is_outstanding: bool,
    /// The server had no other outstanding attempt of this node when this one was sent.
    server_was_idle: bool,
    took: Nanos,
}

/// A request without a final answer, or with open attempts.
struct Pending {
    request: Request,
    arrived_at: Nanos,
    attempts: Vec<Attempt>,
    max_attempts: u32,
    /// Server of the first attempt that may have run, and until when its group drops repeats.
    first_run: Option<(Server, Nanos)>,
    /// No final answer is due any longer.
    closed: bool,
    /// The answer is a stream that has begun.
    response_started: bool,
}

impl Pending {
    fn open_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_open).count()
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerTask {
    Hedge(RequestId),
    Resubscribe,
}

/// The decisions of one node for one pool. Equal settings, seed and events give equal actions.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) servers: Vec<ServerState>,
    pub(crate) by_id: BTreeMap<ServerId, usize>,
    /// Indices of the ready servers of each zone, in the order of their identities.
    pub(crate) ready_by_zone: Vec<Vec<usize>>,
    /// The ready servers of each zone that this node ranks, by score.
    ranked_by_zone: Vec<ScoreOrder>,
    /// When the score unit was last reset to 1.
    score_epoch: Nanos,
    start_clock: start_times::StartClock,
    pending: BTreeMap<RequestId, Pending>,
    pub(crate) class_states: Vec<settings_update::ClassState>,
    /// Mean time by which answers exceed their class's typical time.
    fleet_delay: DecayingValue,
    /// Decaying count of sent attempts, over about one ramp.
    recent_sends: DecayingValue,
    first_send_at: Nanos,
    /// Attempts per second that this node sends.
    send_rate: f64,
    /// Decaying count of the requests admitted for each tenant.
    pub(crate) tenant_requests: BTreeMap<u32, DecayingValue>,
    /// Retries and hedges that may be sent now.
    retry_budget: f64,
    /// Moving average of reported queues per unit of size.
    typical_queue: f64,
    timers: BinaryHeap<Reverse<(Nanos, TimerTask)>>,
    next_wakeup: Nanos,
    list_failures: u32,
    /// Time constants of decaying values, in nanoseconds.
    pub(crate) decay_nanos: f64,
    delay_decay_nanos: f64,
    pub(crate) max_give_up: Nanos,
}

/// A deviation from the usual, or a sum, that decays exponentially while there are no new samples.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingValue {
    pub(crate) value: f64,
    pub(crate) updated_at: Nanos,
}

impl DecayingValue {
    fn value_at(&self, now: Nanos, decay_nanos: f64) -> f64 {
        self.value * (-(now.saturating_sub(self.updated_at) as f64) / decay_nanos).exp()
    }
    /// Moves the decayed value towards a sample.
    fn add_sample(&mut self, now: Nanos, decay_nanos: f64, sample: f64, weight: f64) {
        self.add(now, decay_nanos, (sample - self.value_at(now, decay_nanos)) * weight);
    }
    /// Adds to a decaying sum, which covers about the last `decay_nanos`.
    fn add(&mut self, now: Nanos, decay_nanos: f64, amount: f64) {
        (self.value, self.updated_at) = (self.value_at(now, decay_nanos) + amount, now);
    }
}

impl Balancer {
    /// Creates a balancer without servers. The seed determines all its random draws.
    ///
    /// # Errors
    /// Where the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let max_give_up = settings.classes.iter().map(|class| class.give_up).max().unwrap_or(1);
        Ok(Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            ready_by_zone: Vec::new(),
            ranked_by_zone: Vec::new(),
            score_epoch: 0,
            start_clock: start_times::StartClock::default(),
            pending: BTreeMap::new(),
            class_states: settings.classes.iter().map(settings_update::ClassState::new_held).collect(),
            fleet_delay: DecayingValue::default(),
            recent_sends: DecayingValue::default(),
            first_send_at: Nanos::MAX,
            send_rate: 0.0,
            tenant_requests: BTreeMap::new(),
            retry_budget: 1.0,
            typical_queue: 0.0,
            timers: BinaryHeap::new(),
            next_wakeup: Nanos::MAX,
            list_failures: 0,
            decay_nanos: DECAY_GIVE_UPS * max_give_up as f64,
            delay_decay_nanos: DELAY_DECAY_AIMS
                * settings.classes.iter().map(|class| class.aim).max().unwrap_or(1) as f64,
            max_give_up,
            settings,
        })
    }

    /// Handles one event at the given time, and appends the resulting actions to `sink`, in order.
    pub fn handle(&mut self, now: Nanos, event: Event, sink: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => self.apply_list(now, kind, &servers, sink),
            Event::Request(request) => self.admit(now, request, sink),
            Event::Outcome { request, server, attempt, finished, took, ending, body_consumed, report } => {
                self.record_report(now, server, report);
                self.end_attempt(now, (request, attempt), finished, took, (ending, body_consumed), sink)
            }
            Event::BodyWritten { request, attempt } => self.body_written(now, request, attempt),
            Event::StreamStarted { request, .. } => {
                self.pending.entry(request).and_modify(|pending| pending.response_started = true);
            }
            Event::ClientGone { request } => self.close(request, sink),
            Event::Probed { server, report, .. } => self.record_report(now, server, report),
            Event::Message { .. } => {}
            Event::Timer { .. } => {
                self.next_wakeup = Nanos::MAX;
                while let Some(&Reverse((_, task))) = self.timers.peek().filter(|timer| timer.0 .0 <= now) {
                    self.timers.pop();
                    match task {
                        TimerTask::Hedge(id) => self.hedge(now, id, sink),
                        TimerTask::Resubscribe => sink.push(Action::Subscribe),
                    }
                }
            }
        }
        self.start_timer(now, sink);
    }

    /// The last list entry of a server, for as long as the balancer tracks it.
    pub fn server(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id).map(|&index| &self.servers[index].entry)
    }

    /// How many servers are tracked, including those that have left the list.
    pub fn tracked_servers(&self) -> usize {
        self.servers.len()
    }

    /// How many servers are listed, and how many of these are ejected.
    pub fn server_counts(&self, now: Nanos) -> (usize, usize) {
        let listed = self.servers.iter().filter(|state| state.entry.phase != Phase::Removed);
        listed
            .fold((0, 0), |(all, ejected), state| (all + 1, ejected + usize::from(state.ejected_until > now)))
    }

    fn random_below(&mut self, bound: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * bound as u64) >> 32) as usize
    }

    /// Draws a uniform number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    fn start_timer(&mut self, now: Nanos, sink: &mut Vec<Action>) {
        if let Some(&Reverse((due, _))) = self.timers.peek() {
            if due < self.next_wakeup {
                self.next_wakeup = due;
                sink.push(Action::StartTimer { after: due.saturating_sub(now), token: 0 });
            }
        }
    }
}
