//! Invariants: one final answer per request, no unsafe request run twice, no requests to draining servers, no
//! overload of cold servers.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use rand_core::{RngCore, SeedableRng};
use std::collections::BTreeMap;

const ENDINGS: [Ending; 9] = [
    Ending::Ok,
    Ending::Error,
    Ending::Rejected,
    Ending::Full,
    Ending::TimedOut,
    Ending::ConnectFailed,
    Ending::Reset,
    Ending::Cancelled,
    Ending::NotSent,
];

/// Every ending of an attempt leads to a retry only if the request's effect allows it.
#[test]
fn retries_depend_on_effect_and_ending() {
    for ending in ENDINGS.into_iter().filter(|e| *e != Ending::Ok) {
        let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(6), 1);
        let (id, actions) = test_node.request();
        let first = sent(&actions, id).unwrap();
        test_node.now += 10 * MS;
        let actions = test_node.outcome(id, first, 0, 10 * MS, ending);
        if ending.never_ran() {
            assert!(sent(&actions, id).is_some_and(|s| s != first), "{ending:?}: {actions:?}");
        } else {
            assert!(sent(&actions, id).is_none() && !refused(&actions, id), "{ending:?}: {actions:?}");
            assert!(failed(&actions, id), "{ending:?}: {actions:?}");
        }
        let mut test_node = TestNode::new(settings(Effect::Safe), servers(6), 1);
        let (id, actions) = test_node.request();
        let first = sent(&actions, id).unwrap();
        let actions = test_node.outcome(id, first, 0, 10 * MS, ending);
        if ending == Ending::Rejected {
            assert!(failed(&actions, id) && sent(&actions, id).is_none(), "{actions:?}");
        } else {
            assert!(sent(&actions, id).is_some_and(|s| s != first), "safe, {ending:?}: {actions:?}");
        }
    }
}

/// A keyed request that may have run is retried only within its group and window, and fails otherwise.
#[test]
fn keyed_requests_are_retried_within_group_and_window() {
    for (group, is_late) in
        [(Group::Zone, false), (Group::Cell, false), (Group::All, false), (Group::Zone, true)]
    {
        let mut s = settings(Effect::Keyed);
        s.classes[0].group = group;
        let mut list = servers(8);
        for (k, server) in list.iter_mut().enumerate() {
            server.zone = (k / 4) as u8;
            server.cell = (k / 2) as u16;
        }
        let mut test_node = TestNode::new(s, list.clone(), 2);
        let (id, actions) = test_node.request();
        let first = sent(&actions, id).unwrap();
        let took = if is_late { 650 * MS } else { 50 * MS };
        test_node.now += took;
        let actions = test_node.outcome(id, first, 0, took, Ending::Reset);
        let entry = |id: ServerId| list.iter().find(|s| s.id == id).unwrap();
        match sent(&actions, id) {
            Some(second) => {
                assert!(!is_late && second != first);
                assert!(group != Group::Zone || entry(first).zone == entry(second).zone);
                assert!(group != Group::Cell || entry(first).cell == entry(second).cell);
            }
            None => assert!(is_late && failed(&actions, id), "{group:?}: {actions:?}"),
        }
    }
}

/// Random events: every request gets one final answer, no attempt follows it, and no unsafe request runs
/// twice.
#[test]
fn random_events_keep_the_invariants() {
    for seed in 0..60u64 {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][(seed % 3) as usize];
        let mut s = settings(effect);
        s.second_copies = seed % 2 == 0;
        let mut test_node = TestNode::new(s, servers(8), seed);
        let mut draining = [false; 8];
        struct RequestRecord {
            give_up_at: Nanos,
            open: Vec<(u8, ServerId, Nanos)>,
            attempts: u8,
            may_have_run: bool,
            answers: u32,
        }
        let mut records: BTreeMap<RequestId, RequestRecord> = BTreeMap::new();
        for _ in 0..1500 {
            test_node.now += u64::from(rng.next_u32() % 20) * MS;
            let due = records
                .iter()
                .find(|(_, r)| r.answers == 0 && test_node.now >= r.give_up_at)
                .map(|(id, _)| *id);
            let picked = records.iter().filter(|(_, r)| !r.open.is_empty()).nth(rng.next_u32() as usize % 4);
            let target = due.or(picked.map(|(id, _)| *id));
            let actions = if let (Some(id), true) = (target, due.is_some() || rng.next_u32() % 2 == 0) {
                let record = records.get_mut(&id).unwrap();
                assert!(
                    !record.open.is_empty(),
                    "seed {seed}: request {id} is pending without an open attempt"
                );
                let (attempt, server, at) = record.open.swap_remove(0);
                let ending = match due {
                    Some(_) => Ending::TimedOut,
                    None => ENDINGS[rng.next_u32() as usize % ENDINGS.len()],
                };
                record.may_have_run |= !ending.never_ran();
                let finished = ending == Ending::Ok || record.answers > 0;
                record.answers += u32::from(ending == Ending::Ok && record.answers == 0);
                let (request, took) = (id, test_node.now - at);
                test_node.handle(Event::Outcome {
                    request,
                    server,
                    attempt,
                    finished,
                    took,
                    ending,
                    body_consumed: false,
                    report: None,
                })
            } else if rng.next_u32() % 10 == 0 {
                let k = rng.next_u32() as u8 % 8;
                draining[usize::from(k)] ^= true;
                let phase = if draining[usize::from(k)] { Phase::Draining } else { Phase::Ready };
                test_node.list(ListKind::Changes, vec![Server { phase, ..Server::warm(server(k)) }])
            } else if rng.next_u32() % 3 == 0 {
                test_node.handle(Event::Timer { token: rng.next_u32() })
            } else {
                let (id, actions) = test_node.request();
                let give_up_at = test_node.now + 800 * MS;
                let record =
                    RequestRecord { give_up_at, open: vec![], attempts: 0, may_have_run: false, answers: 0 };
                records.insert(id, record);
                actions
            };
            for action in actions {
                match action {
                    Action::Send { request, server, .. } => {
                        let record = records.get_mut(&request).unwrap();
                        assert_eq!(record.answers, 0, "seed {seed}: sent after the answer");
                        assert!(test_node.now < record.give_up_at && record.attempts < 4);
                        assert!(!draining[server.0 as usize], "seed {seed}: sent to a draining server");
                        assert!(effect != Effect::Unsafe || (!record.may_have_run && record.open.is_empty()));
                        assert!(record.open.is_empty() || (seed % 2 == 0 && effect == Effect::Safe));
                        record.open.push((record.attempts, server, test_node.now));
                        record.attempts += 1;
                    }
                    Action::Refuse { request, .. } => {
                        let record = records.get_mut(&request).unwrap();
                        record.answers += 1;
                        assert_eq!(record.answers, 1, "seed {seed}: answered twice");
                        assert!(effect != Effect::Unsafe || (!record.may_have_run && record.open.is_empty()));
                    }
                    Action::Fail { request } => {
                        let record = records.get_mut(&request).unwrap();
                        record.answers += 1;
                        assert_eq!(record.answers, 1, "seed {seed}: answered twice");
                    }
                    _ => {}
                }
            }
        }
        assert!(records.values().filter(|r| r.answers == 1).count() > 200);
    }
}

/// A server gets no new requests once the list has it as draining or removed, or no longer contains it.
#[test]
fn draining_and_removed_servers_get_no_requests() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(4), 1);
    test_node.list(ListKind::Changes, vec![Server { phase: Phase::Draining, ..Server::warm(server(0)) }]);
    test_node.list(ListKind::Changes, vec![Server { phase: Phase::Removed, ..Server::warm(server(1)) }]);
    for _ in 0..50 {
        assert!(test_node.serve(20 * MS).unwrap() >= server(2));
    }
    test_node.list(ListKind::Full, vec![Server::warm(server(3))]);
    for _ in 0..50 {
        assert_eq!(test_node.serve(20 * MS), Some(server(3)));
    }
}

/// When all servers restart at once, none gets more than three quarters of its overload rate in any window.
/// The rate is relative to the load while warm.
#[test]
fn a_cold_fleet_is_not_overloaded() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(5), 4);
    let step = 10 * MS;
    for _ in 0..3000 {
        test_node.now += step;
        test_node.serve(20 * MS);
    }
    let start = test_node.now;
    let cold: Vec<_> = servers(5).into_iter().map(|s| Server { started_at: start, ..s }).collect();
    test_node.list(ListKind::Changes, cold);
    // While warm, each server got 20 requests per second; the ramp lasts 8 s and starts at 0.3.
    let mut sends: BTreeMap<ServerId, Vec<Nanos>> = BTreeMap::new();
    for _ in 0..800 {
        test_node.now += step;
        if let Some(server) = test_node.serve(20 * MS) {
            sends.entry(server).or_default().push(test_node.now - start);
        }
    }
    assert!(sends.len() == 5, "all servers are used: {:?}", sends.keys());
    for (server, times) in sends {
        for (k, &from) in times.iter().enumerate() {
            let within = times[k..].iter().filter(|&&t| t < from + 800 * MS).count() as f64;
            let share = 0.3 + 0.7 * (from + 800 * MS) as f64 / 8000e6;
            let max = 20.0 * 0.8 * share.min(1.0) * 3.0 * 0.75;
            assert!(within <= max, "{server:?} got {within} within 800 ms from {from}, at most {max}");
        }
    }
}

/// Without servers, a request still gets its final answer.
#[test]
fn an_empty_list_refuses_requests() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), vec![], 1);
    let (id, actions) = test_node.request();
    assert!(refused(&actions, id), "{actions:?}");
}

/// Events about unknown requests, timers and servers change nothing.
#[test]
fn unknown_requests_timers_and_servers_are_ignored() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(3), 1);
    assert!(test_node.outcome(77, server(0), 0, MS, Ending::Error).is_empty());
    assert!(test_node.handle(Event::ClientGone { request: 77 }).is_empty());
    assert!(test_node.handle(Event::Timer { token: 9 }).is_empty());
    let removed = Server { phase: Phase::Removed, ..Server::warm(server(99)) };
    assert!(test_node.list(ListKind::Changes, vec![removed]).is_empty());
    let (id, actions) = test_node.request();
    let server = sent(&actions, id).unwrap();
    test_node.handle(Event::ClientGone { request: id });
    let actions = test_node.outcome(id, server, 0, 90 * MS, Ending::Error);
    assert!(sent(&actions, id).is_none() && !failed(&actions, id) && !refused(&actions, id), "{actions:?}");
}

/// A lost subscription is renewed after a delay that differs between nodes.
#[test]
fn a_lost_subscription_is_renewed() {
    let mut s = settings(Effect::Safe);
    s.must_subscribe = true;
    let delay = |seed| {
        let mut test_node = TestNode::new(s.clone(), vec![], seed);
        assert!(test_node.list(ListKind::Cached, servers(3)).contains(&Action::Subscribe));
        let actions = test_node.list(ListKind::Failed, vec![]);
        let after = actions.iter().find_map(|a| match a {
            Action::StartTimer { after, .. } => Some(*after),
            _ => None,
        });
        test_node.now += after.expect("a timer");
        assert!(test_node.handle(Event::Timer { token: 0 }).contains(&Action::Subscribe));
        after
    };
    assert_ne!(delay(1), delay(2));
}

/// Validation names the invalid setting.
#[test]
fn invalid_settings_are_named() {
    let error = |edit: fn(&mut Settings)| {
        let mut s = settings(Effect::Safe);
        edit(&mut s);
        corkhollow_balance::Balancer::new(s, 1).err()
    };
    assert_eq!(error(|s| s.classes.clear()), Some(SettingsError::Empty("classes")));
    assert_eq!(error(|s| s.group_size = 0), Some(SettingsError::Zero("group_size")));
    assert_eq!(error(|s| (s.ordinal, s.group_size) = (5, 5)), Some(SettingsError::OutOfRange("ordinal")));
    assert_eq!(error(|s| s.classes[0].give_up = 0), Some(SettingsError::Zero("give_up")));
    assert_eq!(error(|s| s.cold_from = 1.5), Some(SettingsError::NotAShare("cold_from")));
    assert_eq!(error(|s| s.tip_multiple = f64::NAN), Some(SettingsError::OutOfRange("tip_multiple")));
    assert_eq!(error(|_| {}), None);
}
