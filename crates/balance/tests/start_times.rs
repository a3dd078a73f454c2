//! Servers that start, announced by wall clocks that are right, ahead and behind.

mod common;

use common::*;
use corkhollow_balance::interface::*;
use std::collections::VecDeque;

/// A quarter of an hour: the clock of these tests begins at 1,000 s.
const FAR: Nanos = 900_000 * MS;
const STEP: Nanos = 10 * MS;
const TOOK: Nanos = 200 * MS;
const WARM: u8 = 4;

fn warm_node() -> TestNode {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(WARM), 4);
    play(&mut test_node, 2_000 * MS);
    test_node
}

/// Requests come each step for so long, and are answered so much later that all servers have some; the times of those that went to
/// servers which are not among the warm ones.
fn play(test_node: &mut TestNode, time: Nanos) -> Vec<(ServerId, Nanos)> {
    let (start, mut sends, mut open) = (test_node.now, Vec::new(), VecDeque::new());
    while test_node.now < start + time {
        test_node.now += STEP;
        while let Some((id, to, _)) = open.pop_front_if(|(_, _, due)| *due <= test_node.now) {
            test_node.outcome(id, to, 0, TOOK, Ending::Ok);
        }
        let (id, actions) = test_node.request();
        let Some(to) = sent(&actions, id) else { continue };
        open.push_back((id, to, test_node.now + TOOK));
        if to >= server(WARM) {
            sends.push((to, test_node.now - start));
        }
    }
    for (id, to, _) in open {
        test_node.outcome(id, to, 0, TOOK, Ending::Ok);
    }
    sends
}

fn announce_start(test_node: &mut TestNode, number: u8, started_at: Nanos) {
    test_node.list(ListKind::Changes, vec![Server { started_at, ..Server::warm(server(number)) }]);
    test_node.balancer.observe_discovery(test_node.now);
}

/// However far the clock is off that dates a start: the server has started since discovery was observed without it, and gets what any
/// other one gets at that age, until it is warm.
#[test]
fn a_start_that_a_list_newly_tells_is_dated_by_when_it_was_told() {
    let sends = |announced: fn(Nanos) -> Nanos| {
        let mut test_node = warm_node();
        test_node.balancer.observe_discovery(test_node.now);
        let now = test_node.now;
        announce_start(&mut test_node, WARM, announced(now));
        // The ramp lasts 8 s.
        play(&mut test_node, 12_000 * MS)
    };
    let right = sends(|now| now);
    assert!(right.len() > 100, "it is used: {}", right.len());
    assert_eq!(sends(|now| now - FAR), right, "far behind");
    assert_eq!(sends(|now| now - 3_000 * MS), right, "three seconds behind");
    assert_eq!(sends(|now| now + FAR), right, "far ahead");
    assert_ne!(sends(|_| 0), right, "long ago");
}

/// A known server that starts anew is cold, also where its clock was set back meanwhile.
#[test]
fn a_restart_is_one_whichever_way_its_clock_was_set() {
    let sends = |announced: fn(Nanos) -> Nanos| {
        let mut test_node = warm_node();
        let long_ago = test_node.now - 60_000 * MS;
        announce_start(&mut test_node, WARM, long_ago);
        play(&mut test_node, 10_000 * MS);
        test_node.balancer.observe_discovery(test_node.now);
        let now = test_node.now;
        announce_start(&mut test_node, WARM, announced(now));
        play(&mut test_node, 2_000 * MS).len()
    };
    let (right, behind) = (sends(|now| now), sends(|now| now - FAR));
    assert_eq!(behind, right);
    assert!(
        sends(|now| now - 75_000 * MS) == right,
        "it is later by its own clock, and earlier than it was announced before"
    );
}

/// Nothing bounds the starts in the first list but the wall clocks. Where ours was ahead when the process started, two starts that are
/// announced before they can have been show it, and the others are cold again.
#[test]
fn a_first_list_is_dated_anew_once_our_clock_is_seen_to_be_ahead() {
    let later = |announced: fn(Nanos) -> Nanos| {
        let mut list = servers(WARM);
        let start = 1_000_000 * MS;
        list.push(Server { started_at: start - FAR, ..Server::warm(server(WARM)) });
        let mut test_node = TestNode::new(settings(Effect::Safe), list, 4);
        test_node.balancer.observe_discovery(test_node.now);
        play(&mut test_node, 100 * MS);
        for number in [20, 21] {
            test_node.balancer.observe_discovery(test_node.now);
            let at = announced(test_node.now);
            announce_start(&mut test_node, number, at);
        }
        let of_first = |(to, _): &&(ServerId, Nanos)| *to == server(WARM);
        play(&mut test_node, 1_000 * MS).iter().filter(of_first).count()
    };
    let (right, ahead) = (later(|now| now), later(|now| now - FAR));
    assert!(ahead * 2 < right, "{ahead} where our clock is ahead, {right} where it is right");
}
