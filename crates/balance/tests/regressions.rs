//! Regressions: failures that occurred once and must not occur again.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// Makes the fleet answer just before clients give up, for two seconds.
fn overload(test_node: &mut TestNode) {
    for _ in 0..200 {
        test_node.now += 10 * MS;
        test_node.serve(780 * MS);
    }
}

/// Guards against a node that keeps refusing requests after an overload, for lack of answers.
#[test]
fn requests_are_admitted_again_after_an_overload() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(10), 3);
    for _ in 0..300 {
        test_node.now += 10 * MS;
        test_node.serve(100 * MS);
    }
    overload(&mut test_node);
    let (id, actions) = test_node.request();
    assert!(refused(&actions, id), "an answer in time is unlikely during the overload: {actions:?}");
    test_node.now += 2_000 * MS;
    let (id, actions) = test_node.request();
    assert!(sent(&actions, id).is_some(), "the overload is over: {actions:?}");
}

/// Guards against hedges that make an overload worse.
#[test]
fn hedges_stop_in_an_overload() {
    let hedges = |overloaded: bool| {
        let mut s = settings(Effect::Safe);
        s.second_copies = true;
        // With such a long aim nothing is refused: only the retry budget limits hedges.
        s.classes[0].aim = 799 * MS;
        let mut test_node = TestNode::new(s, servers(10), 3);
        for _ in 0..300 {
            test_node.now += 10 * MS;
            test_node.serve(if overloaded { 700 * MS } else { 100 * MS });
        }
        let mut hedges = 0;
        for _ in 0..20 {
            let (id, _) = test_node.request();
            test_node.now += 400 * MS;
            let actions = test_node.handle(Event::Timer { token: 0 });
            hedges += u32::from(sent(&actions, id).is_some());
            test_node.handle(Event::ClientGone { request: id });
        }
        hedges
    };
    let (calm, overloaded) = (hedges(false), hedges(true));
    assert!(calm >= 2 && overloaded * 2 < calm, "{calm} hedges without overload, {overloaded} with it");
}

/// Guards against ejections by timeouts, which in an overload concentrate the load on ever fewer servers.
#[test]
fn a_timeout_does_not_eject() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(1), 3);
    let (id, actions) = test_node.request();
    let server = sent(&actions, id).unwrap();
    test_node.now += 800 * MS;
    assert!(failed(&test_node.outcome(id, server, 0, 800 * MS, Ending::TimedOut), id));
    test_node.now += 10_000 * MS;
    assert_eq!(test_node.serve(50 * MS), Some(server));
    let (id, _) = test_node.request();
    test_node.outcome(id, server, 0, MS, Ending::ConnectFailed);
    assert_eq!(test_node.serve(50 * MS), None, "a dead server is ejected");
}

/// An old report decays to the typical queue, so that a server without reports does not look idle.
#[test]
fn a_server_with_an_old_report_does_not_look_idle() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(2), 3);
    let report = |queued| Some(Report { queued: Some(queued), ..Report::default() });
    let send_report = |test_node: &mut TestNode, k, queued| {
        let (server, report) = (server(k), report(queued));
        test_node.handle(Event::Probed { server, ending: Ending::Ok, took: MS, report });
    };
    for _ in 0..300 {
        send_report(&mut test_node, 0, 4.0);
        send_report(&mut test_node, 1, 4.0);
    }
    // Server 0's report is old, and server 1 reports a shorter queue than usual.
    test_node.now += 5_000 * MS;
    send_report(&mut test_node, 1, 2.0);
    let (id, actions) = test_node.request();
    assert_eq!(sent(&actions, id), Some(server(1)));
}

/// Requests with one key go to one server while all are fast, and leave it when it is slow.
#[test]
fn a_key_keeps_its_server_while_it_is_fast() {
    let mut s = settings(Effect::Safe);
    s.warm_keys = true;
    let mut test_node = TestNode::new(s, servers(20), 3);
    let mut servers_of_key: BTreeMap<u64, BTreeSet<ServerId>> = BTreeMap::new();
    let mut id = 0;
    let mut send = |test_node: &mut TestNode, key, took: &dyn Fn(ServerId) -> Nanos| {
        id += 1;
        test_node.now += 20 * MS;
        let request = Request { key, ..Request::new(id, test_node.now + 800 * MS) };
        let server = sent(&test_node.handle(Event::Request(request)), id).expect("sent");
        test_node.outcome(id, server, 0, took(server), Ending::Ok);
        server
    };
    for round in 0..200u64 {
        let server = send(&mut test_node, 1 + round % 10, &|_| 100 * MS);
        servers_of_key.entry(1 + round % 10).or_default().insert(server);
    }
    assert!(servers_of_key.values().all(|s| s.len() == 1), "{servers_of_key:?}");
    let slow = *servers_of_key[&1].iter().next().unwrap();
    let took = |s| if s == slow { 380 * MS } else { 100 * MS };
    let kept = (0..60u64).filter(|k| {
        send(&mut test_node, 2 + k % 9, &took);
        send(&mut test_node, 1, &took) == slow
    });
    assert!(kept.count() < 20);
}

/// With work hints, a request that cannot be answered in time is refused at once, and slow answers to heavy
/// requests do not make the fleet look overloaded.
#[test]
fn heavy_requests_do_not_look_like_an_overload() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(6), 3);
    let serve = |test_node: &mut TestNode, hint: Nanos| {
        test_node.now += 10 * MS;
        let (id, actions) = test_node.request_with_hint(Some(hint));
        if let Some(server) = sent(&actions, id) {
            test_node.outcome(id, server, 0, 40 * MS + hint, Ending::Ok);
        }
        sent(&actions, id).is_some()
    };
    for k in 0..600 {
        assert!(
            serve(&mut test_node, if k % 20 == 0 { 200 * MS } else { 20 * MS }),
            "request {k} fits its aim"
        );
    }
    assert!(!serve(&mut test_node, 2_000 * MS), "no server answers this in time");
    for k in 0..30 {
        assert!(serve(&mut test_node, 200 * MS), "heavy request {k} in a row fits its aim");
    }
    assert!(serve(&mut test_node, 20 * MS));
}

/// Each node of a large group ranks its own window of a zone, and the windows cover the zone about evenly.
#[test]
fn windows_cover_the_fleet_evenly() {
    for (nodes, fleet, window, sharing) in [
        (5, 60, 30..=40, 1..=5),
        (40, 60, 4..=6, 1..=7),
        (100, 15, 2..=2, 8..=18),
        (1000, 15, 2..=2, 100..=170),
    ] {
        check_windows(nodes, fleet, window, sharing);
    }
}

/// Checks how many servers each node uses, and how many nodes use each server. With more servers, a node
/// would know little about each of them.
fn check_windows(nodes: u32, fleet: u8, window: RangeInclusive<usize>, sharing: RangeInclusive<u32>) {
    let mut nodes_of_server = BTreeMap::new();
    for ordinal in 0..nodes {
        let mut s = settings(Effect::Safe);
        (s.ordinal, s.group_size) = (ordinal, nodes);
        let mut test_node = TestNode::new(s, servers(fleet), 3);
        let mut used = BTreeSet::new();
        for _ in 0..200 {
            // Uneven response times prevent ties, so that all servers of the window are used.
            let took = (40 + 37 * (used.len() as Nanos + test_node.now / MS) % 200) * MS;
            test_node.now += 7 * MS;
            used.insert(test_node.serve(took).expect("an idle fleet serves all requests"));
        }
        assert!(window.contains(&used.len()), "node {ordinal} of {nodes} uses {} servers", used.len());
        used.into_iter().for_each(|server| *nodes_of_server.entry(server).or_insert(0u32) += 1);
    }
    assert_eq!(nodes_of_server.len(), usize::from(fleet), "every server is used");
    assert!(nodes_of_server.values().all(|n| sharing.contains(n)), "{nodes} nodes: {nodes_of_server:?}");
}

/// A window is measured by the current capacity of its servers: cold servers enlarge it.
#[test]
fn cold_servers_enlarge_a_window() {
    let warm_servers = |half_cold: bool| {
        let mut s = settings(Effect::Safe);
        (s.group_size, s.ramp, s.cold_from) = (40, 10_000 * MS, 0.1);
        let mut list = servers(60);
        for server in list.iter_mut().step_by(2).filter(|_| half_cold) {
            server.started_at = 1_000_000 * MS;
        }
        let is_even = |id: &ServerId| id.0.is_multiple_of(2);
        let mut test_node = TestNode::new(s, list, 3);
        let mut used = BTreeSet::new();
        for _ in 0..200 {
            test_node.now += 7 * MS;
            let took = (40 + 37 * (test_node.now / MS) % 200) * MS;
            used.extend(test_node.serve(took).filter(|id| !is_even(id)));
        }
        used.len()
    };
    assert!(
        warm_servers(true) > warm_servers(false),
        "{} warm servers beside cold ones, {} otherwise",
        warm_servers(true),
        warm_servers(false)
    );
}

/// A tenant that requests five times its share gets no more than about its share while others wait, and no
/// less because it retries after refusals; a tenant within its share gets all. Without contention, both get
/// all.
#[test]
fn a_tenant_gets_its_share() {
    let mut s = settings(Effect::Safe);
    s.tenant_quota = vec![20.0, 20.0].into();
    s.over_share_worth = 0.1;
    let admitted = |contended: bool| {
        let mut test_node = TestNode::new(s.clone(), servers(6), 3);
        let mut next = 10_000;
        let mut admitted = [0u32; 2];
        for step in 0..1_000 {
            test_node.now += 10 * MS;
            for tenant in (0..2).filter(|&t| t == 0 || step % 10 == 0) {
                next += 1;
                let request = Request { tenant, ..Request::new(next, test_node.now + 800 * MS) };
                let actions = test_node.handle(Event::Request(request));
                if let Some(server) = sent(&actions, next) {
                    let took = if contended && step % 4 > 0 { 150 * MS } else { 70 * MS };
                    test_node.outcome(next, server, 0, took, Ending::Ok);
                    admitted[tenant as usize] += 1;
                }
            }
        }
        admitted
    };
    assert_eq!(admitted(false), [1_000, 100], "no contention");
    let [over, within] = admitted(true);
    assert!((200..=400).contains(&over), "{over} admitted, with a share of 200");
    assert_eq!(within, 100, "all are within the share");
}

/// Requests whose late answers keep half of their worth are admitted with longer expected response times.
#[test]
fn late_worth_raises_the_latency_limit() {
    let admitted = |late_worth: f64| {
        let mut s = settings(Effect::Safe);
        s.classes[0].late_worth = late_worth;
        let mut test_node = TestNode::new(s, servers(6), 3);
        (0..100)
            .filter(|_| {
                test_node.now += 10 * MS;
                test_node.serve(410 * MS).is_some()
            })
            .count()
    };
    let (nothing, half) = (admitted(0.0), admitted(0.5));
    assert!(half > nothing + 10, "{nothing} admitted without late worth, {half} with half of the worth");
}

/// Guards against memory that grows when a fleet is replaced again and again.
#[test]
fn removed_servers_are_forgotten() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 3);
    let new_id = |k: u32| ServerId((u64::from(k) + 1) << 32);
    let mut last: Vec<_> = servers(4);
    for round in 0..500 {
        test_node.now += 1_000 * MS;
        let next: Vec<_> = (0..4).map(|k| Server::warm(new_id(round * 4 + k))).collect();
        let removed = last.iter().map(|s| Server { phase: Phase::Removed, ..*s });
        test_node.list(ListKind::Changes, removed.chain(next.iter().copied()).collect());
        for _ in 0..8 {
            let server = test_node.serve(50 * MS).expect("sent");
            assert!(next.iter().any(|s| s.id == server), "round {round}: {server:?} was removed");
        }
        last = next;
    }
    assert!(test_node.balancer.tracked_servers() <= 12, "{} servers", test_node.balancer.tracked_servers());
}

/// With little traffic, a cold server still gets a request per overload window, and has no limit once it is
/// warm.
#[test]
fn a_cold_server_is_used_with_little_traffic() {
    let mut settings = settings(Effect::Safe);
    (settings.overload_window, settings.ramp) = (2_000 * MS, 20_000 * MS);
    for (ramp, wait) in [(20_000, 2_001), (1, 2)] {
        settings.ramp = ramp * MS;
        let mut test_node = TestNode::new(settings.clone(), Vec::new(), 3);
        let cold = Server { started_at: test_node.now, ..Server::warm(server(1)) };
        test_node.list(ListKind::Full, vec![cold]);
        test_node.now += wait * MS;
        for _ in 0..3 {
            assert_eq!(test_node.serve(50 * MS), Some(server(1)), "ramp of {ramp} ms");
            test_node.now += 2_001 * MS;
        }
    }
}

/// When all servers of the home zone fail fast, those that cannot be ejected must not win by their empty
/// queues. After recovery they get their share again.
#[test]
fn servers_that_fail_fast_and_cannot_be_ejected_do_not_win() {
    let list = (0..6).map(|k| Server { zone: u8::from(k >= 2), ..Server::warm(server(k)) }).collect();
    let mut test_node = TestNode::new(settings(Effect::Unsafe), list, 3);
    let mut failing_share = |rounds: u32, fails: bool| {
        let mut to_failing = 0;
        for _ in 0..rounds {
            test_node.now += 10 * MS;
            let (id, actions) = test_node.request();
            let to = sent(&actions, id).expect("four healthy servers are idle");
            let is_failing = to.0 < 2;
            to_failing += u32::from(is_failing);
            let (took, ending) =
                if is_failing && fails { (MS, Ending::Error) } else { (80 * MS, Ending::Ok) };
            test_node.outcome(id, to, 0, took, ending);
        }
        f64::from(to_failing) / f64::from(rounds)
    };
    failing_share(100, true);
    let while_failing = failing_share(400, true);
    assert!(while_failing < 0.1, "{while_failing} of all requests went to failing servers");
    failing_share(2_000, false);
    let recovered = failing_share(400, false);
    assert!(recovered > 0.5, "only {recovered} went to the home zone after its recovery");
}

/// Settings with two classes, the first of much higher worth.
fn two_classes() -> Settings {
    let mut s = settings(Effect::Safe);
    let high = Class { worth: 20.0, ..s.classes[0].clone() };
    let low = Class { worth: 1.0, ..s.classes[0].clone() };
    s.classes = vec![high, low];
    s
}

fn submit(test_node: &mut TestNode, class: u16) -> (RequestId, Option<ServerId>) {
    let (id, request) = test_node.new_request();
    let actions = test_node.handle(Event::Request(Request { class, ..request }));
    (id, sent(&actions, id))
}

/// Guards against a class of low worth that idle servers refuse, because without answers the initial guess of
/// its response time never changes.
#[test]
fn a_class_of_low_worth_is_admitted_once_it_is_known_to_be_fast() {
    let mut test_node = TestNode::new(two_classes(), servers(10), 3);
    let mut refused = 0;
    for round in 0..600 {
        test_node.now += 20 * MS;
        // Some answers are slow, so that the fleet seems to be under some pressure.
        if let (id, Some(server)) = submit(&mut test_node, 0) {
            test_node.outcome(id, server, 0, if round % 4 == 0 { 100 * MS } else { 20 * MS }, Ending::Ok);
        }
        if round >= 200 {
            match submit(&mut test_node, 1) {
                (id, Some(server)) => drop(test_node.outcome(id, server, 0, 25 * MS, Ending::Ok)),
                (_, None) => refused += u32::from(round >= 400),
            }
        }
    }
    assert!(refused < 20, "an idle fleet refused {refused} of 200");
}

/// The home zone is too busy for the class of low worth, and the other zone is idle.
#[test]
fn nothing_is_refused_while_another_zone_can_serve_it() {
    let list = (0..8).map(|k| Server { zone: u8::from(k >= 4), ..Server::warm(server(k)) }).collect();
    let mut test_node = TestNode::new(two_classes(), list, 3);
    // Measures response times, so that only queues decide afterwards.
    for _ in 0..200 {
        test_node.now += 20 * MS;
        for class in 0..2 {
            if let (id, Some(server)) = submit(&mut test_node, class) {
                test_node.outcome(id, server, 0, 45 * MS, Ending::Ok);
            }
        }
    }
    let mut sent_to = [0, 0];
    for _ in 0..30 {
        let (_, to) = submit(&mut test_node, 1);
        let to = to.expect("refused while a zone is idle");
        sent_to[usize::from(to.0 >= 4)] += 1;
    }
    assert!(sent_to[0] >= 3, "the home zone comes first: {sent_to:?}");
    assert!(sent_to[1] >= 3, "{sent_to:?}");
}

/// A node that sees a request every quarter second during an overload admits about one in ten as a trial, not
/// one per aim, which would be all of them.
#[test]
fn a_node_with_few_requests_admits_few_trials() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 3);
    for _ in 0..40 {
        test_node.serve(40 * MS);
    }
    let mut admitted = 0;
    for _ in 0..400 {
        test_node.now += 250 * MS;
        // Each answer shows the overload again.
        let (id, actions) = test_node.request();
        if let Some(server) = sent(&actions, id) {
            admitted += 1;
            test_node.outcome(id, server, 0, 2_000 * MS, Ending::Ok);
        }
    }
    assert!((5..=120).contains(&admitted), "{admitted} of 400 admitted");
}

/// A retry's aim counts from the client's first try, whose age follows from what is left of the give-up time.
#[test]
fn the_aim_of_a_retry_counts_from_the_first_try() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 3);
    for _ in 0..40 {
        test_node.now += 10 * MS;
        test_node.serve(100 * MS);
    }
    // The aim is 400 ms and the give-up time 800 ms; first tries were 100, 350 and 500 ms ago.
    let mut is_admitted = |is_retry: bool, age: Nanos| {
        test_node.now += 50 * MS;
        let (id, request) = test_node.new_request();
        let give_up_at = request.give_up_at - age * MS;
        let actions = test_node.handle(Event::Request(Request { is_retry, give_up_at, ..request }));
        if let Some(server) = sent(&actions, id) {
            test_node.outcome(id, server, 0, 100 * MS, Ending::Ok);
            return true;
        }
        assert!(refused(&actions, id), "refused at once");
        false
    };
    assert!(is_admitted(true, 100), "there is time left");
    assert!(!is_admitted(true, 350) && !is_admitted(true, 500), "its aim is over or will be");
    assert!(
        is_admitted(false, 350) && is_admitted(false, 500),
        "a first try with less time left is not a retry"
    );
    assert!((0..30).all(|_| !is_admitted(true, 500)), "retries are not admitted as trials");
}
