//! The list of servers: additions, changes and removals, and the servers that this node ranks.

use super::score_order::ScoreOrder;
use super::{Balancer, DecayingValue, ServerState, Sink, TimerTask};
use crate::interface::{Action, ListKind, Nanos, Phase, Server};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// About how many nodes rank each server. A node knows only the queues that it has caused itself: the fewer
/// nodes share a server, the more each knows of its queue.
const NODES_PER_SERVER: f64 = 3.0;
/// Least capacity of the servers that a node ranks in a zone, in warm servers.
const MIN_WINDOW_CAPACITY: f64 = 2.0;
/// Half of the mean delay before the first renewal of a lost subscription. It does not depend on the
/// deadlines: a missed change counts as notified within 6 s, whatever they are.
const RESUBSCRIBE_BASE_NANOS: f64 = 0.5e9;

impl Balancer {
    pub(super) fn apply_list(&mut self, now: Nanos, kind: ListKind, servers: &[Server], sink: Sink) {
        match kind {
            // Jitter and backoff, because the whole group may have lost its subscriptions at once.
            ListKind::Failed => {
                self.list_failures = (self.list_failures + 1).min(2);
                let delay = RESUBSCRIBE_BASE_NANOS
                    * f64::from(1 << self.list_failures)
                    * (0.5 + self.random_fraction());
                return self.timers.push(Reverse((now + delay as Nanos, TimerTask::Resubscribe)));
            }
            ListKind::Cached if self.settings.must_subscribe => sink.push(Action::Subscribe),
            ListKind::Cached => {}
            ListKind::Full | ListKind::Changes => self.list_failures = 0,
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<_> = servers.iter().map(|server| server.id).collect();
            for index in 0..self.servers.len() {
                if !listed.contains(&self.servers[index].entry.id) {
                    self.stop_serving(now, index, Phase::Removed);
                }
            }
        }
        // Bounds the memory of a fleet that is replaced again and again: new servers reuse the states of
        // removed ones to which no request can refer any longer.
        let mut reusable =
            (0..self.servers.len()).filter(|&index| self.is_reusable(now, index)).collect::<VecDeque<_>>();
        for server in servers {
            match self.by_id.get(&server.id).copied() {
                Some(index) => self.update_server(now, index, *server),
                None if server.phase == Phase::Ready => self.add_server(now, *server, &mut reusable),
                None => {}
            }
        }
        (0..self.ready_by_zone.len()).for_each(|zone| self.update_ranked_window(now, zone));
    }

    /// Selects the servers of a zone that this node ranks; of all servers, a node of a large group would see
    /// each too seldom. Windows are consecutive servers in one common order. They start at multiples of the
    /// golden ratio, so that all servers are in about as many windows.
    pub(crate) fn update_ranked_window(&mut self, now: Nanos, zone: usize) {
        let count = self.ready_by_zone[zone].len();
        let nodes = f64::from(self.settings.group_size) / self.ready_by_zone.len() as f64;
        let window = (count as f64 * NODES_PER_SERVER / nodes).max(MIN_WINDOW_CAPACITY);
        let start = f64::from(self.settings.ordinal) * 0.618_033_988_749_895 % 1.0 * count as f64;
        let order: Vec<_> =
            (0..count).map(|k| self.ready_by_zone[zone][(start as usize + k) % count]).collect();
        let capacities: Vec<_> = order.iter().map(|&index| self.warm_fraction(now, index)).collect();
        let mean = order.iter().map(|&index| self.servers[index].size).sum::<f64>() / count as f64;
        // A window includes a server if it starts at it, or so far before it that the capacity in between is
        // less than the window's: among cold servers these are more. The second round starts with the sum
        // with which the first has ended.
        let (mut before, mut preceding) = (0.0, 0);
        for k in (0..2 * count).map(|k| k % count) {
            self.servers[order[k]].window_coverage = (preceding + 1) as f64 * mean;
            (before, preceding) = (before + capacities[k], preceding + 1);
            while before >= window || preceding >= count {
                before -= capacities[(count + k + 1 - preceding) % count];
                preceding -= 1;
            }
        }
        let mut filled = 0.0;
        for (index, capacity) in order.into_iter().zip(capacities) {
            let is_inside = filled < window;
            filled += capacity;
            match (self.ranked_by_zone[zone].contains(index), is_inside) {
                // All nodes learn of a cold server at about the same time. Random first intervals keep them
                // from overloading it with simultaneous first attempts.
                (false, true) => {
                    (self.servers[index].pacing_start, self.servers[index].pacing_jitter) =
                        (now as f64, self.random_fraction());
                    self.ranked_by_zone[zone].insert(index, self.servers[index].score);
                }
                (true, false) => self.ranked_by_zone[zone].remove(index),
                _ => {}
            }
        }
    }

    /// Whether the state of a removed server may be used for another one.
    fn is_reusable(&self, now: Nanos, index: usize) -> bool {
        let state = &self.servers[index];
        state.entry.phase == Phase::Removed
            && state.outstanding == 0
            && now >= state.left_at + self.max_give_up
    }

    fn add_server(&mut self, now: Nanos, server: Server, reusable: &mut VecDeque<usize>) {
        let size = if server.size > 0.0 && self.settings.sizes_known { f64::from(server.size) } else { 1.0 };
        let state = ServerState {
            entry: Server { phase: Phase::Removed, ..server },
            size,
            outstanding: 0,
            outstanding_weight: 0.0,
            silent_since: now,
            lag: DecayingValue { value: 0.0, updated_at: now },
            reported_queue: 0.0,
            reported_at: 0,
            weight_since_report: 0.0,
            score: 0.0,
            ejected_until: 0,
            consecutive_failures: 0,
            failure_rate: DecayingValue::default(),
            pacing_start: now as f64,
            pacing_jitter: 1.0,
            window_coverage: size,
            left_at: now,
            restart_listed_at: 0,
            start: None,
        };
        // A state that was reusable may have been taken by another server of the same list.
        let reused = std::iter::from_fn(|| reusable.pop_front()).find(|&index| self.is_reusable(now, index));
        let index = reused.unwrap_or(self.servers.len());
        if index < self.servers.len() {
            self.by_id.remove(&self.servers[index].entry.id);
            self.servers[index] = state;
        } else {
            self.servers.push(state);
        }
        self.by_id.insert(server.id, index);
        self.update_server(now, index, server);
    }

    pub(super) fn update_server(&mut self, now: Nanos, index: usize, server: Server) {
        // Any other start time is a restart, also an earlier one: the clock that dates it may have been set
        // back.
        let is_restarted = server.started_at != self.servers[index].entry.started_at;
        let is_new = self.servers[index].entry.phase != Phase::Ready;
        if is_restarted {
            self.servers[index].restart_listed_at = now;
        }
        if server.phase != Phase::Ready || server.zone != self.servers[index].entry.zone {
            self.stop_serving(now, index, server.phase);
        }
        self.servers[index].entry = server;
        if server.phase == Phase::Ready {
            self.date_start(now, index);
        }
        if server.phase == Phase::Ready && (is_new || is_restarted) {
            let state = &mut self.servers[index];
            (state.lag, state.failure_rate) =
                (DecayingValue { value: 0.0, updated_at: now }, DecayingValue::default());
            (state.consecutive_failures, state.ejected_until) = (0, 0);
            let zone = usize::from(server.zone);
            if self.ranked_by_zone.len() <= zone {
                self.ranked_by_zone.resize(zone + 1, ScoreOrder::default());
                self.ready_by_zone.resize(zone + 1, Vec::new());
            }
            if is_new {
                state.score = 0.0;
                let at = self.ready_by_zone[zone]
                    .partition_point(|&other| self.servers[other].entry.id < server.id);
                self.ready_by_zone[zone].insert(at, index);
            }
            (self.servers[index].pacing_start, self.servers[index].pacing_jitter) =
                (now as f64, self.random_fraction());
        }
    }

    /// Takes a server out of the ready ones; it gets no new attempts.
    pub(super) fn stop_serving(&mut self, now: Nanos, index: usize, phase: Phase) {
        if self.servers[index].entry.phase == Phase::Ready {
            self.servers[index].left_at = now;
            let (zone, id) = (usize::from(self.servers[index].entry.zone), self.servers[index].entry.id);
            self.ranked_by_zone[zone].remove(index);
            let at = self.ready_by_zone[zone].partition_point(|&other| self.servers[other].entry.id < id);
            self.ready_by_zone[zone].remove(at);
        }
        self.servers[index].entry.phase = if phase == Phase::Ready { Phase::Removed } else { phase };
    }
}
