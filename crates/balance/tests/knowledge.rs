//! Export and import of knowledge: a successor starts with what its predecessor knew, and rejects invalid
//! knowledge.

mod common;

use common::*;
use corkhollow_balance::interface::*;
use corkhollow_balance::{Balancer, ClassKnowledge, Knowledge, ServerKnowledge};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A node with ten servers under load: server 1 is five times as slow as the others, and server 0 is ejected
/// because it refuses connections.
fn trained_node() -> TestNode {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(10), 3);
    for round in 0..5_000 {
        if test_node.balancer.server_counts(test_node.now) == (10, 1) {
            return test_node;
        }
        test_node.now += 10 * MS;
        let (id, actions) = test_node.request();
        let Some(to) = sent(&actions, id) else { continue };
        match to.0 {
            0 if round >= 600 => drop(test_node.outcome(id, to, 0, MS, Ending::ConnectFailed)),
            1 => drop(test_node.outcome(id, to, 0, 200 * MS, Ending::Ok)),
            _ => drop(test_node.outcome(id, to, 0, 40 * MS, Ending::Ok)),
        }
    }
    panic!("server 0 is never ejected");
}

/// Sends a hundred requests; returns how many went to each server.
fn send_hundred(test_node: &mut TestNode) -> [u32; 10] {
    let mut sent_to = [0; 10];
    for _ in 0..100 {
        test_node.now += MS / 10;
        let (id, actions) = test_node.request();
        if let Some(to) = sent(&actions, id) {
            sent_to[to.0 as usize] += 1;
            test_node.outcome(id, to, 0, if to.0 == 1 { 200 * MS } else { 40 * MS }, Ending::Ok);
        }
    }
    sent_to
}

fn successor(old: &TestNode, list: Vec<Server>) -> TestNode {
    let mut test_node = TestNode::new(settings(Effect::Safe), list.clone(), 11);
    test_node.now = old.now;
    test_node.list(ListKind::Full, list);
    test_node
}

#[test]
fn a_successor_knows_ejected_and_slow_servers_from_the_start() {
    let mut old = trained_node();
    let known = old.balancer.export_knowledge(old.now, &[0]);
    assert_eq!(known.servers.len(), 10);
    let ejected_until = |k: &Knowledge| k.servers.iter().find(|s| s.id == server(0)).unwrap().ejected_until;
    assert!(ejected_until(&known) > old.now, "the dead server is ejected");
    let (mut warm, mut blank) = (successor(&old, servers(10)), successor(&old, servers(10)));
    assert_eq!(warm.balancer.import_knowledge(warm.now, &known, &[Some(0)]), Some(10));
    assert_eq!(warm.balancer.server_counts(warm.now), old.balancer.server_counts(old.now));
    // Exported again, it is the same except for rounding.
    let exported = warm.balancer.export_knowledge(warm.now, &[0]);
    assert_eq!(exported.classes, known.classes);
    for (new, old) in exported.servers.iter().zip(&known.servers) {
        assert!((new.score - old.score).abs() <= 1e-9 * old.score.max(1.0), "{new:?} {old:?}");
        assert_eq!(ServerKnowledge { score: 0.0, ..*new }, ServerKnowledge { score: 0.0, ..*old });
    }
    let (warm, blank) = (send_hundred(&mut warm), send_hundred(&mut blank));
    assert_eq!(warm[0], 0, "{warm:?}");
    assert!(blank[0] > 0 && blank[1] > 2 * warm[1], "blank {blank:?}, with knowledge {warm:?}");
}

/// Guards against validation that rejects the lag of servers far faster than an overloaded fleet.
#[test]
fn knowledge_exported_in_an_overload_is_valid() {
    let mut s = settings(Effect::Safe);
    s.classes.push(s.classes[0].clone());
    let mut test_node = TestNode::new(s, servers(4), 3);
    for round in 0..400 {
        test_node.now += 10 * MS;
        let class = u16::from(round >= 100 && round % 3 > 0);
        let (id, request) = test_node.new_request();
        let actions = test_node.handle(Event::Request(Request { class, ..request }));
        if let Some(to) = sent(&actions, id) {
            test_node.outcome(
                id,
                to,
                0,
                if class == 1 && round % 7 > 0 { 300 * MS } else { MS / 2 },
                Ending::Ok,
            );
        }
        let known = test_node.balancer.export_knowledge(test_node.now, &[0, 1]);
        assert!(known.is_valid(test_node.now), "round {round}: {known:?}");
    }
}

#[test]
fn servers_that_restarted_or_are_not_listed_are_skipped() {
    let mut old = trained_node();
    let known = old.balancer.export_knowledge(old.now, &[0]);
    let mut list = servers(10);
    list[0].started_at = old.now - 60_000 * MS;
    list.remove(5);
    let mut new = successor(&old, list);
    assert_eq!(new.balancer.import_knowledge(new.now, &known, &[Some(0)]), Some(8));
    assert_eq!(new.balancer.server_counts(new.now), (9, 0), "the ejected server has restarted");
}

/// Guards against ejections for failures that are long over.
#[test]
fn knowledge_that_is_old_or_from_the_future_is_rejected() {
    let mut old = trained_node();
    let known = old.balancer.export_knowledge(old.now, &[0]);
    for at in [old.now + 5_001 * MS, known.at - MS] {
        let mut new = successor(&old, servers(10));
        new.now = at;
        assert_eq!(new.balancer.import_knowledge(at, &known, &[Some(0)]), None);
        assert_eq!(new.balancer.server_counts(at), (10, 0));
    }
    let mut new = successor(&old, servers(10));
    // A class that no longer exists, or an index out of range, is not an error.
    for successors in [vec![], vec![None], vec![Some(7)]] {
        assert_eq!(new.balancer.import_knowledge(new.now, &known, &successors), Some(10));
    }
}

fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![0.0..4.0, any::<f64>(), Just(f64::NAN), Just(f64::INFINITY), Just(-1.0)]
}

fn any_time() -> impl Strategy<Value = Nanos> {
    prop_oneof![Just(1_000_000 * MS), 0..1_000_001 * MS, any::<u64>()]
}

proptest! {
    // Reproducible cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 1000, ..ProptestConfig::default() })]

    /// Any knowledge is imported whole or not at all, and the balancer goes on serving.
    #[test]
    fn any_knowledge_leaves_the_balancer_serving(
        typical_nanos in any_number(), answer_count in any_number(),
        servers_known in proptest::collection::vec(
            (0..12u64, any_number(), any_number(), any_number(), any::<u32>(), any_time(), any_time(), any_time()), 0..12),
    ) {
        let now = 1_000_000 * MS;
        let server_knowledge = |(id, lag, score, failure_rate, failures, lag_at, ejected_until, failure_rate_at)| ServerKnowledge {
            id: ServerId(id), started_at: 0, lag, lag_at, score, consecutive_failures: failures % 6, ejected_until,
            failure_rate, failure_rate_at,
        };
        let known = Knowledge {
            at: now,
            classes: vec![ClassKnowledge { typical_nanos, answer_count, min_nanos: 0.0 }],
            servers: servers_known.into_iter().map(server_knowledge).collect(),
        };
        let mut balancer = Balancer::new(settings(Effect::Safe), 5).unwrap();
        let mut sink = Vec::new();
        balancer.handle(now, Event::List { kind: ListKind::Full, servers: servers(10) }, &mut sink);
        let imported = balancer.import_knowledge(now, &known, &[Some(0)]);
        prop_assert_eq!(imported.is_some(), known.is_valid(now));
        prop_assert!(imported.is_some() || balancer.server_counts(now) == (10, 0));
        // Ejections end, and answers correct the other values.
        let mut at = now + 16 * 800 * MS;
        let mut served = 0;
        for id in 1..=600 {
            at += 20 * MS;
            sink.clear();
            balancer.handle(at, Event::Request(Request::new(id, at + 800 * MS)), &mut sink);
            if let Some(server) = sent(&sink, id) {
                served += u32::from(id > 500);
                let outcome = Event::Outcome {
                    request: id, server, attempt: 0, finished: true, took: 30 * MS, ending: Ending::Ok, body_consumed: false, report: None,
                };
                balancer.handle(at, outcome, &mut sink);
            }
        }
        prop_assert!(served > 90, "{} of the last 100 sent", served);
    }
}

/// Knowledge of a process whose clock differs by an hour can be converted to this process's clock.
#[test]
fn knowledge_can_be_shifted_to_another_clock() {
    const HOUR: Nanos = 3_600_000 * MS;
    let server = ServerKnowledge {
        id: server(1),
        started_at: 5,
        lag: 1.5,
        lag_at: 2 * HOUR,
        score: 1.0,
        consecutive_failures: 2,
        ejected_until: 2 * HOUR + MS,
        failure_rate: 0.5,
        failure_rate_at: 2 * HOUR - MS,
    };
    let known = Knowledge { at: 2 * HOUR, classes: Vec::new(), servers: vec![server] };
    let mut ahead = known.clone();
    ahead.shift(HOUR as i64);
    assert_eq!((ahead.at, ahead.servers[0].ejected_until), (3 * HOUR, 3 * HOUR + MS));
    assert!(ahead.is_valid(3 * HOUR + MS) && !ahead.is_valid(2 * HOUR));
    ahead.shift(-(HOUR as i64));
    assert_eq!(ahead, known, "shifted back; start times are not on this clock");
}
