//! Slow start with many balancers that share servers and do not communicate: together they must not overload
//! cold servers, and must give them their share.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Number of nodes and of servers, and the interval between requests to each node.
const NODES: u32 = 25;
const SERVERS: u8 = 15;
const REQUEST_INTERVAL: Nanos = 70 * MS;
/// Settings of slow start.
const RAMP: Nanos = 20_000 * MS;
const COLD_FROM: f64 = 0.15;
const OVERLOAD_WINDOW: Nanos = 2_000 * MS;

/// Nodes and their servers, which process one request at a time, in 30 ms when warm.
struct Simulation {
    test_nodes: Vec<TestNode>,
    free_at: BTreeMap<ServerId, Nanos>,
    started: BTreeMap<ServerId, Nanos>,
}

impl Simulation {
    /// The fraction of its full capacity that a server has at a time.
    fn capacity(&self, server: ServerId, at: Nanos) -> f64 {
        let age = self.started.get(&server).map_or(RAMP, |started| at - started);
        (COLD_FROM + (1.0 - COLD_FROM) * age as f64 / RAMP as f64).min(1.0)
    }

    /// Runs all nodes, with staggered requests. Returns the times at which each server was sent requests.
    fn run(&mut self, from: Nanos, until: Nanos) -> BTreeMap<ServerId, Vec<Nanos>> {
        let mut sends: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
        let arrival =
            |k: usize| Reverse((from + REQUEST_INTERVAL * k as Nanos / Nanos::from(NODES), k, None));
        let mut events: BinaryHeap<_> = (0..self.test_nodes.len()).map(arrival).collect();
        while let Some(Reverse((now, k, answer))) = events.pop() {
            let test_node = &mut self.test_nodes[k];
            test_node.now = now;
            if let Some((id, server, took)) = answer {
                test_node.outcome(id, server, 0, took, Ending::Ok);
                continue;
            }
            if now + REQUEST_INTERVAL < until {
                events.push(Reverse((now + REQUEST_INTERVAL, k, None)));
            }
            let (id, actions) = test_node.request();
            if let Some(server) = sent(&actions, id) {
                sends.entry(server).or_default().push(now);
                let work = (30.0 * MS as f64 / self.capacity(server, now)) as Nanos;
                let free_at = self.free_at.entry(server).or_default();
                *free_at = now.max(*free_at) + work;
                events.push(Reverse((*free_at, k, Some((id, server, *free_at - now)))));
            }
        }
        sends
    }
}

/// New nodes with these servers.
fn new_simulation(list: &[Server]) -> Simulation {
    let test_node = |ordinal| {
        let mut s = settings(Effect::Safe);
        (s.ordinal, s.group_size) = (ordinal, NODES);
        (s.ramp, s.cold_from, s.overload_window, s.tip_multiple) = (RAMP, COLD_FROM, OVERLOAD_WINDOW, 3.0);
        TestNode::new(s, list.to_vec(), u64::from(ordinal))
    };
    Simulation {
        test_nodes: (0..NODES).map(test_node).collect(),
        free_at: BTreeMap::new(),
        started: BTreeMap::new(),
    }
}

const START: Nanos = 1_000_000 * MS;
/// Requests per second that each server gets while all are warm.
const WARM_RATE: f64 = NODES as f64 / SERVERS as f64 * 1e9 / REQUEST_INTERVAL as f64;

/// Servers that start at this time.
fn cold_servers(servers: u8, at: Nanos) -> Vec<Server> {
    (100..100 + servers).map(|k| Server { started_at: at, ..Server::warm(server(k)) }).collect()
}

/// Checks that all nodes together overload no cold server in any window, and send the cold servers no more
/// than a tenth of the overload in the first tenth of a window. Returns what the cold servers got in the last
/// 5 of 10 s, as a fraction of their share of the load.
fn check_cold_servers(simulation: &mut Simulation, cold: &[Server], now: Nanos) -> f64 {
    simulation.started = cold.iter().map(|s| (s.id, now)).collect();
    let sends = simulation.run(now, now + 10_000 * MS);
    let budget = |at| {
        3.0 * simulation.capacity(cold[0].id, at + OVERLOAD_WINDOW / 2) * WARM_RATE * OVERLOAD_WINDOW as f64
            / 1e9
    };
    let mut first_sends = 0;
    for server in cold {
        let times = &sends[&server.id];
        for (k, first) in times.iter().enumerate() {
            let within = times[k..].iter().take_while(|t| **t < first + OVERLOAD_WINDOW).count() as f64;
            let max = budget(*first);
            assert!(within <= max, "{:?} gets {within} in a window from {first}, over {max}", server.id);
        }
        first_sends += times.iter().filter(|t| **t < now + OVERLOAD_WINDOW / 10).count();
    }
    let max = cold.len() as f64 * budget(now) / 10.0;
    assert!(first_sends as f64 <= max, "they get {first_sends} at once, over {max}");
    let late = now + 5_000 * MS;
    let got: usize = cold.iter().map(|s| sends[&s.id].iter().filter(|t| **t >= late).count()).sum();
    got as f64 / (cold.len() as f64 * WARM_RATE * 5.0 * simulation.capacity(cold[0].id, late))
}

/// Replaces this many servers by cold ones after 5 s.
fn replace_servers(replaced: u8) -> f64 {
    let mut simulation = new_simulation(&servers(SERVERS));
    let now = START + 5_000 * MS;
    simulation.run(START, now);
    let cold = cold_servers(replaced, now);
    let removed = servers(replaced).into_iter().map(|s| Server { phase: Phase::Removed, ..s });
    for test_node in &mut simulation.test_nodes {
        test_node.now = now;
        test_node.list(ListKind::Changes, removed.clone().chain(cold.clone()).collect());
    }
    check_cold_servers(&mut simulation, &cold, now)
}

/// Guards against a send rate averaged over a whole ramp that has mostly not passed, which starves cold
/// servers.
#[test]
fn cold_servers_get_their_share_from_many_nodes() {
    let share = replace_servers(9);
    assert!(share > 0.8, "they get {share} of their share");
}

/// A zone in which all servers are cold has no other servers to take the load.
#[test]
fn a_cold_zone_is_not_overloaded_by_many_nodes() {
    let share = replace_servers(SERVERS);
    assert!(share > 0.8, "they get {share} of their share");
}

/// Guards against new nodes, which have no send rate yet, that use cold servers only after their ramp.
#[test]
fn new_nodes_use_cold_servers() {
    let cold = cold_servers(9, START);
    let list: Vec<_> = servers(SERVERS - 9).into_iter().chain(cold.clone()).collect();
    let share = check_cold_servers(&mut new_simulation(&list), &cold, START);
    assert!(share > 0.6, "they get {share} of their share");
}
