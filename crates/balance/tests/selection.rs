//! Server selection: candidates, queues, ties, failures and zones.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use std::collections::BTreeMap;

/// With all queues empty, ties go to the higher score, so that only top-ranked servers win.
#[test]
fn ties_go_to_the_higher_score() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(20), 3);
    let mut counts = BTreeMap::new();
    for k in 0..20 {
        counts.insert(server(k), 0u32);
    }
    for round in 0..400 {
        // The initial guess of the response time, so that all estimated queues stay equal.
        let server = test_node.serve(400 * MS / 3).expect("an idle fleet serves all requests");
        if round > 50 {
            let better = counts.values().filter(|&&c| c > counts[&server]).count();
            assert!(better < 10, "round {round}: {better} servers had higher scores");
        }
        *counts.get_mut(&server).unwrap() += 1;
    }
    assert!(counts.values().filter(|&&c| c > 0).count() >= 5, "candidates are drawn at random: {counts:?}");
    assert!(counts.values().filter(|&&c| c == 0).count() >= 5, "the others never win a tie: {counts:?}");
}

/// With four servers all are candidates, and open requests are spread evenly.
#[test]
fn the_shortest_queue_wins() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 5);
    let mut open = BTreeMap::new();
    for _ in 0..8 {
        let (id, actions) = test_node.request();
        let chosen = sent(&actions, id).expect("sent");
        let chosen_open = *open.entry(chosen).or_insert(0u32);
        let min_open = (0..4).map(|k| open.get(&server(k)).copied().unwrap_or(0)).min().unwrap();
        assert_eq!(chosen_open, min_open, "{open:?}");
        *open.get_mut(&chosen).unwrap() += 1;
    }
}

/// A server that becomes slow loses its share to faster ones, because scores decay.
#[test]
fn a_server_that_becomes_slow_loses_its_share() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 9);
    let first = test_node.serve(50 * MS).unwrap();
    let mut to_slow = 0;
    for round in 0..600 {
        test_node.now += 20 * MS;
        let (id, actions) = test_node.request();
        let server = sent(&actions, id).expect("sent");
        let took = if server == first { 300 * MS } else { 50 * MS };
        test_node.outcome(id, server, 0, took, Ending::Ok);
        to_slow += u32::from(round >= 300 && server == first);
    }
    assert!(to_slow < 60, "the slow server got {to_slow} of the last 300");
}

/// Guards against a server that fails fast and wins by its empty queue.
#[test]
fn fast_failures_attract_no_requests() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(8), 11);
    let bad = test_node.serve(50 * MS).unwrap();
    let mut hits = 0;
    for _ in 0..400 {
        test_node.now += 10 * MS;
        let (id, actions) = test_node.request();
        let server = sent(&actions, id).expect("sent");
        if server == bad {
            hits += 1;
            let actions = test_node.outcome(id, server, 0, MS, Ending::Error);
            assert!(failed(&actions, id));
        } else {
            test_node.outcome(id, server, 0, 50 * MS, Ending::Ok);
        }
    }
    assert!(hits <= 8, "{hits} of 400 went to the failing server");
}

/// Guards against a hung server that looks idle.
#[test]
fn a_silent_server_has_a_long_queue() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(4), 13);
    let (_, actions) = test_node.request();
    let silent = sent(&actions, 1).unwrap();
    for _ in 0..20 {
        test_node.serve(50 * MS);
    }
    test_node.now += 500 * MS;
    for _ in 0..50 {
        assert_ne!(test_node.serve(50 * MS), Some(silent));
    }
}

/// The home zone serves while it is fast; another zone is used when the home zone has no servers.
#[test]
fn the_home_zone_comes_first() {
    let mut list = servers(12);
    for s in &mut list[6..] {
        s.zone = 1;
    }
    let mut test_node = TestNode::new(settings(Effect::Safe), list.clone(), 17);
    for _ in 0..100 {
        assert!(test_node.serve(50 * MS).unwrap() < server(6));
    }
    let removed = list[..6].iter().map(|s| Server { phase: Phase::Removed, ..*s }).collect();
    test_node.list(ListKind::Changes, removed);
    assert!(test_node.serve(50 * MS).unwrap() >= server(6));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = |seed| {
        let mut test_node = TestNode::new(settings(Effect::Safe), servers(30), seed);
        let mut all = Vec::new();
        for k in 0..300u64 {
            test_node.now += 3 * MS;
            let (id, actions) = test_node.request();
            let server = sent(&actions, id);
            all.extend(actions);
            if let Some(server) = server.filter(|_| k % 3 != 0) {
                let ending = if k % 7 == 0 { Ending::Error } else { Ending::Ok };
                all.extend(test_node.outcome(id, server, 0, 40 * MS, ending));
            }
        }
        all
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

/// Single resets are normal for connections and must not eject a server; two in a row do.
#[test]
fn the_second_consecutive_reset_ejects() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(1), 19);
    for round in 0..2 {
        let (id, actions) = test_node.request();
        let server = sent(&actions, id);
        assert!(server.is_some(), "round {round}");
        test_node.outcome(id, server.unwrap(), 0, 5 * MS, Ending::Reset);
    }
    let (id, actions) = test_node.request();
    assert!(refused(&actions, id), "{actions:?}");
}

/// Guards against a server that rejects all requests and wins by its empty queue.
#[test]
fn a_server_that_rejects_all_attracts_no_requests() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(8), 11);
    let bad = test_node.serve(50 * MS).unwrap();
    let mut hits = 0;
    for _ in 0..400 {
        test_node.now += 10 * MS;
        let (id, actions) = test_node.request();
        let server = sent(&actions, id).expect("sent");
        hits += u32::from(server == bad);
        let ending = if server == bad { Ending::Rejected } else { Ending::Ok };
        test_node.outcome(id, server, 0, if server == bad { MS } else { 50 * MS }, ending);
    }
    assert!(hits <= 8, "{hits} of 400 went to the server that rejects all");
}

/// A server's silence counts against it only from the last byte of the request on.
#[test]
fn a_server_may_be_silent_until_it_has_the_whole_body() {
    for is_written in [false, true] {
        let mut test_node = TestNode::new(settings(Effect::Safe), servers(1), 1);
        let (id, request) = test_node.new_request();
        let give_up_at = test_node.now + 60_000 * MS;
        test_node.handle(Event::Request(Request { has_streaming_body: true, give_up_at, ..request }));
        if is_written {
            test_node.handle(Event::BodyWritten { request: id, attempt: 0 });
        }
        test_node.now += 5_000 * MS;
        let (_, actions) = test_node.request();
        let sent = actions.iter().any(|a| matches!(a, Action::Send { .. }));
        assert_eq!(sent, !is_written, "{actions:?}");
    }
}
