//! The list of servers: who comes, changes and leaves, and which of them this node ranks.

use super::score_order::Order;
use super::{Balancer, Faded, Job, Node, Sink};
use crate::interface::{Action, ListKind, Nanos, Phase, Server};
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};

/// About how many nodes rank each server, and the least that a node ranks in a zone. A node knows what it put
/// into a queue itself: the fewer share a server, the more each knows.
const COVER: f64 = 3.0;
const LEAST_PART: f64 = 2.0;
/// What is missed counts as told within 6 s, whatever the deadlines: half the mean first wait to ask again.
const RELIST: f64 = 0.5e9;

impl Balancer {
    pub(super) fn follow_list(&mut self, now: Nanos, kind: ListKind, servers: &[Server], sink: Sink) {
        match kind {
            // The whole group may have been cut off at once: come back spread out, later the next time.
            ListKind::Failed => {
                self.list_failures = (self.list_failures + 1).min(2);
                let pause = RELIST * f64::from(1 << self.list_failures) * (0.5 + self.chance());
                return self.jobs.push(Reverse((now + pause as Nanos, Job::Relist)));
            }
            ListKind::Cached if self.settings.must_subscribe => sink.push(Action::Subscribe),
            ListKind::Cached => {}
            ListKind::Full | ListKind::Changes => self.list_failures = 0,
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<_> = servers.iter().map(|s| s.id).collect();
            for i in 0..self.nodes.len() {
                if !listed.contains(&self.nodes[i].server.id) {
                    self.leave(now, i, Phase::Removed);
                }
            }
        }
        // A fleet that is replaced over and over must not fill memory: a place goes to the next server
        // once no request can speak of the one that left.
        let mut free = (0..self.nodes.len()).filter(|&i| self.over(now, i)).collect::<VecDeque<_>>();
        for server in servers {
            match self.by_id.get(&server.id).copied() {
                Some(i) => self.update(now, i, *server),
                None if server.phase == Phase::Ready => self.add(now, *server, &mut free),
                None => {}
            }
        }
        (0..self.ready.len()).for_each(|zone| self.regroup(now, zone));
    }

    /// Ranks this node's own part of a zone: with many nodes each would see any one server too seldom. Parts
    /// are windows of one order, set off by the golden ratio, so that all servers are in about as many.
    pub(crate) fn regroup(&mut self, now: Nanos, zone: usize) {
        let count = self.ready[zone].len();
        let nodes = f64::from(self.settings.group_size) / self.ready.len() as f64;
        let part = (count as f64 * COVER / nodes).max(LEAST_PART);
        let start = f64::from(self.settings.ordinal) * 0.618_033_988_749_895 % 1.0 * count as f64;
        let order: Vec<_> = (0..count).map(|k| self.ready[zone][(start as usize + k) % count]).collect();
        let shares: Vec<_> = order.iter().map(|&i| self.cold_share(now, i)).collect();
        let mean = order.iter().map(|&i| self.nodes[i].size).sum::<f64>() / count as f64;
        // Parts that hold a server begin at it, or where less than a part lies between: more of them among
        // cold ones. A second round knows what the first has ended with.
        let (mut before, mut back) = (0.0, 0);
        for k in (0..2 * count).map(|k| k % count) {
            self.nodes[order[k]].reach = (back + 1) as f64 * mean;
            (before, back) = (before + shares[k], back + 1);
            while before >= part || back >= count {
                before -= shares[(count + k + 1 - back) % count];
                back -= 1;
            }
        }
        let mut filled = 0.0;
        for (i, share) in order.into_iter().zip(shares) {
            let inside = filled < part;
            filled += share;
            match (self.ranks[zone].holds(i), inside) {
                // Every node hears of a cold server at about the same time: first sends are spread over an
                // interval, or all of them together would spend its tipping budget at once.
                (false, true) => {
                    (self.nodes[i].paced_from, self.nodes[i].jitter) = (now as f64, self.chance());
                    self.ranks[zone].insert(i, self.nodes[i].score);
                }
                (true, false) => self.ranks[zone].remove(i),
                _ => {}
            }
        }
    }

    fn over(&self, now: Nanos, i: usize) -> bool {
        let node = &self.nodes[i];
        node.server.phase == Phase::Removed && node.out == 0 && now >= node.left_at + self.longest
    }

    fn add(&mut self, now: Nanos, server: Server, free: &mut VecDeque<usize>) {
        let size = if server.size > 0.0 && self.settings.sizes_known { f64::from(server.size) } else { 1.0 };
        let node = Node {
            server: Server { phase: Phase::Removed, ..server },
            size,
            out: 0,
            load: 0.0,
            silent_since: now,
            lag: Faded { value: 0.0, at: now },
            queued: 0.0,
            report_at: 0,
            sent_since: 0.0,
            score: 0.0,
            ejected_until: 0,
            consecutive_failures: 0,
            failure_rate: Faded::default(),
            paced_from: now as f64,
            jitter: 1.0,
            reach: size,
            left_at: now,
            start: None,
        };
        // One that was free may be in use again by now.
        let old = std::iter::from_fn(|| free.pop_front()).find(|&i| self.over(now, i));
        let i = old.unwrap_or(self.nodes.len());
        if i < self.nodes.len() {
            self.by_id.remove(&self.nodes[i].server.id);
            self.nodes[i] = node;
        } else {
            self.nodes.push(node);
        }
        self.by_id.insert(server.id, i);
        self.update(now, i, server);
    }

    pub(super) fn update(&mut self, now: Nanos, i: usize, server: Server) {
        // Another start, whichever way the clock has been set that dates it.
        let restarted = server.started_at != self.nodes[i].server.started_at;
        let fresh = self.nodes[i].server.phase != Phase::Ready;
        if server.phase != Phase::Ready || server.zone != self.nodes[i].server.zone {
            self.leave(now, i, server.phase);
        }
        self.nodes[i].server = server;
        if server.phase == Phase::Ready {
            self.date_start(now, i);
        }
        if server.phase == Phase::Ready && (fresh || restarted) {
            let node = &mut self.nodes[i];
            (node.lag, node.failure_rate) = (Faded { value: 0.0, at: now }, Faded::default());
            (node.consecutive_failures, node.ejected_until) = (0, 0);
            let zone = usize::from(server.zone);
            if self.ranks.len() <= zone {
                self.ranks.resize(zone + 1, Order::default());
                self.ready.resize(zone + 1, Vec::new());
            }
            if fresh {
                node.score = 0.0;
                let at = self.ready[zone].partition_point(|&j| self.nodes[j].server.id < server.id);
                self.ready[zone].insert(at, i);
            }
            (self.nodes[i].paced_from, self.nodes[i].jitter) = (now as f64, self.chance());
        }
    }

    pub(super) fn leave(&mut self, now: Nanos, i: usize, phase: Phase) {
        if self.nodes[i].server.phase == Phase::Ready {
            self.nodes[i].left_at = now;
            let (zone, id) = (usize::from(self.nodes[i].server.zone), self.nodes[i].server.id);
            self.ranks[zone].remove(i);
            let at = self.ready[zone].partition_point(|&j| self.nodes[j].server.id < id);
            self.ready[zone].remove(at);
        }
        self.nodes[i].server.phase = if phase == Phase::Ready { Phase::Removed } else { phase };
    }
}
