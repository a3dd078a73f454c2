//! Start times that are announced by wall clocks that are right, ahead or behind.

mod common;

use common::*;
use corkhollow_balance::interface::*;
use std::collections::VecDeque;

/// A large clock error; the clock of these tests starts at 1,000 s.
const LARGE_SKEW: Nanos = 900_000 * MS;
const REQUEST_INTERVAL: Nanos = 10 * MS;
const RESPONSE_TIME: Nanos = 200 * MS;
const WARM_SERVERS: u8 = 4;

fn warm_node() -> TestNode {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(WARM_SERVERS), 4);
    run(&mut test_node, 2_000 * MS);
    test_node
}

/// Sends requests for this long, which stay open long enough that all servers get some. Returns the servers
/// and times of those that went to other servers than the warm ones.
fn run(test_node: &mut TestNode, duration: Nanos) -> Vec<(ServerId, Nanos)> {
    let (start, mut sends, mut open) = (test_node.now, Vec::new(), VecDeque::new());
    while test_node.now < start + duration {
        test_node.now += REQUEST_INTERVAL;
        while let Some((id, to, _)) = open.pop_front_if(|(_, _, due)| *due <= test_node.now) {
            test_node.outcome(id, to, 0, RESPONSE_TIME, Ending::Ok);
        }
        let (id, actions) = test_node.request();
        let Some(to) = sent(&actions, id) else { continue };
        open.push_back((id, to, test_node.now + RESPONSE_TIME));
        if to >= server(WARM_SERVERS) {
            sends.push((to, test_node.now - start));
        }
    }
    for (id, to, _) in open {
        test_node.outcome(id, to, 0, RESPONSE_TIME, Ending::Ok);
    }
    sends
}

fn announce_start(test_node: &mut TestNode, number: u8, started_at: Nanos) {
    test_node.list(ListKind::Changes, vec![Server { started_at, ..Server::warm(server(number)) }]);
    test_node.balancer.observe_discovery(test_node.now);
}

/// A newly listed server has started since discovery was last observed without it, whatever its announced
/// start, and gets the requests of a server of that age.
#[test]
fn a_new_start_is_bounded_by_when_it_was_listed() {
    let sends = |announced: fn(Nanos) -> Nanos| {
        let mut test_node = warm_node();
        test_node.balancer.observe_discovery(test_node.now);
        let now = test_node.now;
        announce_start(&mut test_node, WARM_SERVERS, announced(now));
        // The ramp lasts 8 s.
        run(&mut test_node, 12_000 * MS)
    };
    let right = sends(|now| now);
    assert!(right.len() > 100, "the server is used: {}", right.len());
    assert_eq!(sends(|now| now - LARGE_SKEW), right, "far behind");
    assert_eq!(sends(|now| now - 3_000 * MS), right, "three seconds behind");
    assert_eq!(sends(|now| now + LARGE_SKEW), right, "far ahead");
    assert_ne!(sends(|_| 0), right, "long ago");
}

/// A restarted server is cold, also if the clock that announces its start was set back.
#[test]
fn a_restart_is_detected_after_clock_changes() {
    let sends = |announced: fn(Nanos) -> Nanos| {
        let mut test_node = warm_node();
        let long_ago = test_node.now - 60_000 * MS;
        announce_start(&mut test_node, WARM_SERVERS, long_ago);
        run(&mut test_node, 10_000 * MS);
        test_node.balancer.observe_discovery(test_node.now);
        let now = test_node.now;
        announce_start(&mut test_node, WARM_SERVERS, announced(now));
        run(&mut test_node, 2_000 * MS).len()
    };
    let (right, behind) = (sends(|now| now), sends(|now| now - LARGE_SKEW));
    assert_eq!(behind, right);
    assert!(sends(|now| now - 75_000 * MS) == right, "a start announced earlier than the previous one");
}

/// Only wall clocks date the starts in the first list. If this node's clock was ahead, two starts announced
/// before they were possible show it, and the servers of the first list are cold again.
#[test]
fn starts_of_the_first_list_are_corrected_once_clock_skew_is_detected() {
    let sends = |announced: fn(Nanos) -> Nanos| {
        let mut list = servers(WARM_SERVERS);
        let start = 1_000_000 * MS;
        list.push(Server { started_at: start - LARGE_SKEW, ..Server::warm(server(WARM_SERVERS)) });
        let mut test_node = TestNode::new(settings(Effect::Safe), list, 4);
        test_node.balancer.observe_discovery(test_node.now);
        run(&mut test_node, 100 * MS);
        for number in [20, 21] {
            test_node.balancer.observe_discovery(test_node.now);
            let at = announced(test_node.now);
            announce_start(&mut test_node, number, at);
        }
        let is_first = |(to, _): &&(ServerId, Nanos)| *to == server(WARM_SERVERS);
        run(&mut test_node, 1_000 * MS).iter().filter(is_first).count()
    };
    let (right, ahead) = (sends(|now| now), sends(|now| now - LARGE_SKEW));
    assert!(ahead * 2 < right, "{ahead} where our clock is ahead, {right} where it is right");
}
