//! The ordinary path: who is drawn, who wins, ties, decay.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use std::collections::BTreeMap;

/// With all queues empty a tie goes to the more accomplished, so nobody outside the accomplished set can win.
#[test]
fn ties_go_to_the_accomplished() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(20), 3);
    let mut counts = BTreeMap::new();
    for k in 0..20 {
        counts.insert(server(k), 0u32);
    }
    for round in 0..400 {
        // A third of the aim is what a new node expects: all queues stay equal.
        let server = test_node.served(400 * MS / 3).expect("an idle fleet takes all");
        if round > 50 {
            let better = counts.values().filter(|&&c| c > counts[&server]).count();
            assert!(better < 10, "round {round}: {better} servers were more accomplished");
        }
        *counts.get_mut(&server).unwrap() += 1;
    }
    assert!(counts.values().filter(|&&c| c > 0).count() >= 5, "draws are random: {counts:?}");
    assert!(counts.values().filter(|&&c| c == 0).count() >= 5, "the rest never won a tie: {counts:?}");
}

/// With four servers all are drawn, and work that stays out goes round in shortest-queue order.
#[test]
fn the_shortest_queue_wins() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 5);
    let mut out = BTreeMap::new();
    for _ in 0..8 {
        let (id, actions) = test_node.request();
        let chosen = sent(&actions, id).expect("sent");
        let mine = *out.entry(chosen).or_insert(0u32);
        let least = (0..4).map(|k| out.get(&server(k)).copied().unwrap_or(0)).min().unwrap();
        assert_eq!(mine, least, "{out:?}");
        *out.get_mut(&chosen).unwrap() += 1;
    }
}

/// A server that answers slowly loses its place to quicker ones, and old merit fades.
#[test]
fn a_server_turned_slow_sinks() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 9);
    let first = test_node.served(50 * MS).unwrap();
    let mut late = 0;
    for round in 0..600 {
        test_node.now += 20 * MS;
        let (id, actions) = test_node.request();
        let server = sent(&actions, id).expect("sent");
        let took = if server == first { 300 * MS } else { 50 * MS };
        test_node.outcome(id, server, 0, took, Ending::Ok);
        late += u32::from(round >= 300 && server == first);
    }
    assert!(late < 60, "the slow one still got {late} of the last 300");
}

/// Quick errors must not climb: a server that fails fast has the emptiest queue of all.
#[test]
fn fast_errors_do_not_attract() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(8), 11);
    let bad = test_node.served(50 * MS).unwrap();
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

/// A server that takes work and stays silent must not look idle.
#[test]
fn silence_is_a_long_queue() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(4), 13);
    let (_, actions) = test_node.request();
    let mute = sent(&actions, 1).unwrap();
    for _ in 0..20 {
        test_node.served(50 * MS);
    }
    test_node.now += 500 * MS;
    for _ in 0..50 {
        assert_ne!(test_node.served(50 * MS), Some(mute));
    }
}

/// The home zone serves while it is quick; another is used when there is nobody at home.
#[test]
fn home_comes_first() {
    let mut list = servers(12);
    for s in &mut list[6..] {
        s.zone = 1;
    }
    let mut test_node = TestNode::new(settings(Effect::Safe), list.clone(), 17);
    for _ in 0..100 {
        assert!(test_node.served(50 * MS).unwrap() < server(6));
    }
    let gone = list[..6].iter().map(|s| Server { phase: Phase::Removed, ..*s }).collect();
    test_node.list(ListKind::Changes, gone);
    assert!(test_node.served(50 * MS).unwrap() >= server(6));
}

/// Equal settings, seed and events give equal actions.
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

/// Single resets come with real connections; each must not cost a server for seconds. Two in a row do.
#[test]
fn one_reset_marks_and_a_second_ejects() {
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

/// One that rejects whatever it gets would have the emptiest queue of all: only a single one is forgiven.
#[test]
fn a_server_that_rejects_all_does_not_attract() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(8), 11);
    let bad = test_node.served(50 * MS).unwrap();
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

/// A body that comes slowly is no work for its server yet, and the server's silence meanwhile says nothing.
#[test]
fn a_server_works_from_the_last_byte_on() {
    for written in [false, true] {
        let mut test_node = TestNode::new(settings(Effect::Safe), servers(1), 1);
        let (id, request) = test_node.draft();
        let late = test_node.now + 60_000 * MS;
        test_node.feed(Event::Request(Request { has_streaming_body: true, give_up_at: late, ..request }));
        if written {
            test_node.feed(Event::BodyWritten { request: id, attempt: 0 });
        }
        test_node.now += 5_000 * MS;
        let (_, actions) = test_node.request();
        let sent = actions.iter().any(|a| matches!(a, Action::Send { .. }));
        assert_eq!(sent, !written, "{actions:?}");
    }
}
