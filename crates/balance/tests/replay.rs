//! The same events have to give the same actions, whatever is moved about inside the module. The digests were taken
//! from the module when it was still one file; a change of behaviour that is meant takes new ones.

mod common;
use common::MS;
use corkhollow_balance::interface::*;
use corkhollow_balance::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// All that a balancer did, folded into one number.
struct Digest(u64);

impl Digest {
    fn add(&mut self, word: u64) {
        self.0 = (self.0 ^ word).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, timeout } => {
                [1, u64::from(*request), number(*server), *timeout].into_iter().for_each(|w| self.add(w));
            }
            Action::Refuse { request, retry_after, .. } => {
                [2, u64::from(*request), *retry_after].into_iter().for_each(|w| self.add(w));
            }
            Action::Fail { request } => [3, u64::from(*request)].into_iter().for_each(|w| self.add(w)),
            Action::Cancel { request, attempt } => {
                [4, u64::from(*request), u64::from(*attempt)].into_iter().for_each(|w| self.add(w));
            }
            Action::StartTimer { after, token } => {
                [5, *after, u64::from(*token)].into_iter().for_each(|w| self.add(w));
            }
            Action::Subscribe => self.add(6),
            Action::FetchList => self.add(7),
            // Its wording is free.
            Action::Log { .. } => {}
            Action::Probe { .. } | Action::SendMessage { .. } => self.add(8),
        }
    }
}

fn id(k: u64) -> ServerId {
    ServerId(k)
}

fn number(id: ServerId) -> u64 {
    id.0
}

fn settings(zones_known: bool) -> Settings {
    let class = |effect, group, aim: u64, give_up: u64, worth| Class {
        aim: aim * MS,
        give_up: give_up * MS,
        worth,
        late_worth: 0.0,
        effect,
        group,
        window: 900 * MS,
        stream: false,
    };
    Settings {
        classes: vec![
            class(Effect::Safe, Group::All, 250, 600, 5.0),
            class(Effect::Keyed, Group::Zone, 600, 1500, 1.0),
            class(Effect::Unsafe, Group::All, 600, 2500, 10.0),
        ],
        tenant_quota: vec![150.0, 60.0].into(),
        over_share_worth: 0.05,
        second_copies: true,
        must_subscribe: !zones_known,
        group_size: 3,
        ordinal: 1,
        cold_from: 0.14,
        ramp: 23_000 * MS,
        overload_window: 2_000 * MS,
        warm_keys: !zones_known,
        ..Settings::single_class(MS, MS)
    }
}

/// A fleet of `servers` that answers, errs, resets, falls silent, drains and comes back cold, as the seed says. Every so
/// many requests the settings are taken over anew, as they are.
fn history(seed: u64, servers: u64, requests: u32, retuned: Option<u32>) -> (u64, [u32; 4]) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut balancer = Balancer::new(settings(seed.is_multiple_of(2)), seed).unwrap();
    let mut digest = Digest(seed);
    let mut counts = [0; 4];
    let mut due: BTreeMap<(Nanos, u64), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<RequestId, u8> = BTreeMap::new();
    let (mut now, mut serial) = (1_000_000 * MS, 0);
    let entry = |k: u64, phase, started_at| Server {
        id: id(k << 16 | 80),
        zone: (k % 3) as u8,
        kind: 0,
        cell: 0,
        phase,
        size: 1.0 + (k % 2) as f32,
        started_at,
    };
    let mut list = (0..servers).map(|k| entry(k, Phase::Ready, 0)).collect::<Vec<_>>();
    due.insert((now, 0), Event::List { kind: ListKind::Full, servers: list.clone() });
    let mut left = requests;
    let mut next_request = now;
    while left > 0 || !due.is_empty() {
        let coming =
            due.first_key_value().map(|((at, _), _)| *at).filter(|at| left == 0 || *at <= next_request);
        let event = match coming {
            Some(at) => {
                now = at;
                due.pop_first().unwrap().1
            }
            None => {
                now = next_request;
                left -= 1;
                let draw = rng.next_u32();
                next_request += u64::from(draw % 1_000) * 400_000 / servers;
                let class = (draw >> 16) % 3;
                let give_up = [600, 1500, 2500][class as usize];
                let request = Request {
                    class: class as u16,
                    tenant: (draw >> 20) % 3,
                    key: u64::from(draw >> 26),
                    work_hint: (draw & 64 != 0).then_some(u64::from(draw % 50) * MS),
                    ..Request::new(requests - left, now + give_up * MS)
                };
                if left.is_multiple_of(50) {
                    let k = (u64::from(rng.next_u32()) % servers) as usize;
                    let back = list[k].phase != Phase::Ready;
                    list[k].phase = if back { Phase::Ready } else { Phase::Draining };
                    if back {
                        list[k].started_at = now;
                    }
                    let changes = Event::List { kind: ListKind::Changes, servers: vec![list[k]] };
                    serial += 1;
                    due.insert((now + MS, serial), changes);
                }
                if left % 700 == 3 {
                    serial += 1;
                    due.insert(
                        (now + 2 * MS, serial),
                        Event::List { kind: ListKind::Failed, servers: vec![] },
                    );
                }
                Event::Request(request)
            }
        };
        if retuned.is_some_and(|every| matches!(event, Event::Request(_)) && left.is_multiple_of(every)) {
            let predecessors = [Some(0), Some(1), Some(2)];
            let places =
                balancer.update_settings(now, settings(seed.is_multiple_of(2)), &predecessors).unwrap();
            assert_eq!(places, [0, 1, 2]);
        }
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        for action in &actions {
            digest.action(action);
            serial += 1;
            match *action {
                Action::Send { request, server, .. } => {
                    counts[0] += 1;
                    let n = attempts.entry(request).or_default();
                    let attempt = *n;
                    *n += 1;
                    let draw = rng.next_u32();
                    let slow = if number(server) >> 16 == 2 { 5 } else { 1 };
                    let (ending, took) = match draw % 90 {
                        0 => (Ending::Error, 3),
                        1 => (Ending::Reset, 20),
                        2 => (Ending::Full, 1),
                        3 => (Ending::ConnectFailed, 1),
                        4 => (Ending::TimedOut, 600),
                        5 => (Ending::Rejected, 8),
                        _ => (Ending::Ok, (5 + u64::from(draw >> 8) % 60) * slow),
                    };
                    let (took, finished) = (took * MS, ending == Ending::Ok);
                    let outcome = Event::Outcome {
                        request,
                        server,
                        attempt,
                        finished,
                        took,
                        ending,
                        body_consumed: false,
                        report: None,
                    };
                    due.insert((now + took, serial), outcome);
                }
                Action::StartTimer { after, token } => {
                    due.insert((now + after, serial), Event::Timer { token });
                }
                Action::Refuse { .. } => counts[1] += 1,
                Action::Fail { .. } => counts[2] += 1,
                Action::Cancel { .. } => counts[3] += 1,
                _ => {}
            }
        }
    }
    (digest.0, counts)
}

#[test]
fn the_same_events_give_the_same_actions() {
    let cases = [(1, 30, 4_000), (2, 90, 6_000), (3, 200, 4_000), (4, 400, 4_000)];
    let seen = cases.map(|(seed, servers, requests)| history(seed, servers, requests, None));
    for kind in 0..4 {
        assert!(
            seen.iter().map(|(_, counts)| counts[kind]).sum::<u32>() > 20,
            "kind {kind} of action: {seen:?}"
        );
    }
    assert_eq!(seen.map(|(digest, _)| digest), DIGESTS, "{seen:?}");
}

/// Settings that change nothing, taken over in the middle of everything, change no decision.
#[test]
fn settings_that_stay_change_no_decision() {
    for (seed, servers, requests, every) in [(1, 30, 4_000, 7), (2, 90, 6_000, 1), (3, 200, 4_000, 150)] {
        let plain = history(seed, servers, requests, None);
        assert_eq!(
            history(seed, servers, requests, Some(every)),
            plain,
            "seed {seed}, each {every} requests"
        );
    }
}

const DIGESTS: [u64; 4] =
    [8215332403411334423, 5455663322092362335, 17831413394701041306, 8500194565269313989];
