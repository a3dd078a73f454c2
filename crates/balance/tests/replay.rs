//! Replays of random events: guards against unintended changes of decisions by comparing digests of all
//! actions. An intended change of behaviour needs new digests.

mod common;
use common::MS;
use corkhollow_balance::interface::*;
use corkhollow_balance::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// A digest of a balancer's actions.
struct Digest(u64);

impl Digest {
    fn add(&mut self, word: u64) {
        self.0 = (self.0 ^ word).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, timeout } => {
                [1, u64::from(*request), server_number(*server), *timeout]
                    .into_iter()
                    .for_each(|w| self.add(w));
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
            // Log texts may change.
            Action::Log { .. } => {}
            Action::Probe { .. } | Action::SendMessage { .. } => self.add(8),
        }
    }
}

fn server_id(number: u64) -> ServerId {
    ServerId(number)
}

fn server_number(id: ServerId) -> u64 {
    id.0
}

fn settings(has_pushed_list: bool) -> Settings {
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
        must_subscribe: !has_pushed_list,
        group_size: 3,
        ordinal: 1,
        cold_from: 0.14,
        ramp: 23_000 * MS,
        overload_window: 2_000 * MS,
        warm_keys: !has_pushed_list,
        ..Settings::single_class(MS, MS)
    }
}

/// Replays random requests to servers that answer, fail, time out, drain and restart, as the seed determines.
/// Updates the settings to equal ones every `update_interval` requests. Returns the digest of all actions,
/// and how many of them were sends, refusals, failures and cancellations.
fn replay(seed: u64, servers: u64, requests: u32, update_interval: Option<u32>) -> (u64, [u32; 4]) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut balancer = Balancer::new(settings(seed.is_multiple_of(2)), seed).unwrap();
    let mut digest = Digest(seed);
    let mut counts = [0; 4];
    let mut due: BTreeMap<(Nanos, u64), Event> = BTreeMap::new();
    let mut attempts: BTreeMap<RequestId, u8> = BTreeMap::new();
    let (mut now, mut serial) = (1_000_000 * MS, 0);
    let entry = |k: u64, phase, started_at| Server {
        id: server_id(k << 16 | 80),
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
        let next_due =
            due.first_key_value().map(|((at, _), _)| *at).filter(|at| left == 0 || *at <= next_request);
        let event = match next_due {
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
                    let is_back = list[k].phase != Phase::Ready;
                    list[k].phase = if is_back { Phase::Ready } else { Phase::Draining };
                    if is_back {
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
        if update_interval
            .is_some_and(|interval| matches!(event, Event::Request(_)) && left.is_multiple_of(interval))
        {
            let predecessors = [Some(0), Some(1), Some(2)];
            let class_indices =
                balancer.update_settings(now, settings(seed.is_multiple_of(2)), &predecessors).unwrap();
            assert_eq!(class_indices, [0, 1, 2]);
        }
        let mut actions = Vec::new();
        balancer.handle(now, event, &mut actions);
        for action in &actions {
            digest.action(action);
            serial += 1;
            match *action {
                Action::Send { request, server, .. } => {
                    counts[0] += 1;
                    let sent_count = attempts.entry(request).or_default();
                    let attempt = *sent_count;
                    *sent_count += 1;
                    let draw = rng.next_u32();
                    let slowdown = if server_number(server) >> 16 == 2 { 5 } else { 1 };
                    let (ending, took) = match draw % 90 {
                        0 => (Ending::Error, 3),
                        1 => (Ending::Reset, 20),
                        2 => (Ending::Full, 1),
                        3 => (Ending::ConnectFailed, 1),
                        4 => (Ending::TimedOut, 600),
                        5 => (Ending::Rejected, 8),
                        _ => (Ending::Ok, (5 + u64::from(draw >> 8) % 60) * slowdown),
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
fn actions_match_their_digests() {
    let cases = [(1, 30, 4_000), (2, 90, 6_000), (3, 200, 4_000), (4, 400, 4_000)];
    let results = cases.map(|(seed, servers, requests)| replay(seed, servers, requests, None));
    for kind in 0..4 {
        assert!(
            results.iter().map(|(_, counts)| counts[kind]).sum::<u32>() > 20,
            "kind {kind} of action: {results:?}"
        );
    }
    assert_eq!(results.map(|(digest, _)| digest), DIGESTS, "{results:?}");
}

/// Updates to equal settings change no decision.
#[test]
fn updates_to_equal_settings_change_no_decision() {
    for (seed, servers, requests, interval) in [(1, 30, 4_000, 7), (2, 90, 6_000, 1), (3, 200, 4_000, 150)] {
        let expected = replay(seed, servers, requests, None);
        assert_eq!(
            replay(seed, servers, requests, Some(interval)),
            expected,
            "seed {seed}, every {interval} requests"
        );
    }
}

const DIGESTS: [u64; 4] =
    [8215332403411334423, 5455663322092362335, 8941862182810645642, 8500194565269313989];
