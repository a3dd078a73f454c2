//! Updates of settings: open requests keep their rules, and what is known of servers stays.

mod common;

use common::*;
use corkhollow_balance::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn sent(actions: &[Action]) -> Vec<ServerId> {
    let server = |a: &Action| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

fn end_attempt(
    test_node: &mut TestNode,
    id: RequestId,
    server: ServerId,
    attempt: u8,
    ending: Ending,
) -> Vec<Action> {
    test_node.handle(Event::Outcome {
        request: id,
        server,
        attempt,
        finished: ending == Ending::Ok,
        took: 10 * MS,
        ending,
        body_consumed: false,
        report: None,
    })
}

fn submit(test_node: &mut TestNode, class: u16) -> (RequestId, Vec<Action>) {
    let (id, request) = test_node.new_request();
    (id, test_node.handle(Event::Request(Request { class, ..request })))
}

#[test]
fn an_open_request_keeps_its_effect_and_its_attempts() {
    for (old, new) in [(Effect::Unsafe, Effect::Safe), (Effect::Safe, Effect::Unsafe)] {
        let mut test_node = TestNode::new(settings(old), servers(8), 1);
        let (id, actions) = test_node.request();
        let first = sent(&actions)[0];
        let new_settings = Settings { max_attempts: 1, ..settings(new) };
        let now = test_node.now;
        let class_indices = test_node.balancer.update_settings(now, new_settings, &[Some(0)]).unwrap();
        assert_eq!(class_indices, [1], "other rules are another class");
        let actions = end_attempt(&mut test_node, id, first, 0, Ending::Reset);
        // The request may have run: it is retried only if it was admitted as safe, and regardless of the new
        // limit of one attempt.
        assert_eq!(sent(&actions).len(), usize::from(old == Effect::Safe), "{old:?} to {new:?}: {actions:?}");
        let (id, actions) = submit(&mut test_node, class_indices[0]);
        let server = sent(&actions)[0];
        let actions = end_attempt(&mut test_node, id, server, 0, Ending::ConnectFailed);
        assert!(sent(&actions).is_empty(), "more attempts than the new settings allow: {actions:?}");
        // A request whose head was read before the update still has the old class index.
        let (id, actions) = submit(&mut test_node, 0);
        let server = sent(&actions)[0];
        let actions = end_attempt(&mut test_node, id, server, 0, Ending::Reset);
        assert!(sent(&actions).is_empty(), "{actions:?}");
    }
}

#[test]
fn an_update_keeps_what_is_known_of_servers() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(3), 1);
    let (id, actions) = test_node.request();
    let bad = sent(&actions)[0];
    end_attempt(&mut test_node, id, bad, 0, Ending::Error);
    let now = test_node.now;
    assert_eq!(test_node.balancer.server_counts(now), (3, 1));
    let class_indices = test_node.balancer.update_settings(now, settings(Effect::Safe), &[Some(0)]).unwrap();
    assert_eq!(class_indices, [0], "the same class keeps its index");
    assert_eq!(test_node.balancer.server_counts(now), (3, 1));
    for _ in 0..20 {
        let (_, actions) = test_node.request();
        assert!(!sent(&actions).contains(&bad));
    }
}

#[test]
fn invalid_settings_change_nothing() {
    let mut test_node = TestNode::new(settings(Effect::Safe), servers(3), 1);
    let now = test_node.now;
    for invalid in [
        Settings { max_attempts: 0, ..settings(Effect::Safe) },
        Settings { classes: Vec::new(), ..settings(Effect::Safe) },
    ] {
        assert!(test_node.balancer.update_settings(now, invalid, &[Some(0)]).is_err());
        let (id, actions) = test_node.request();
        let first = sent(&actions)[0];
        assert_eq!(sent(&end_attempt(&mut test_node, id, first, 0, Ending::ConnectFailed)).len(), 1);
    }
}

/// Guards against memory that grows with replaced classes, and against reuse of the class of an open request.
#[test]
fn class_indices_are_reused_once_no_request_has_them() {
    let class = |aim: Nanos| {
        let mut settings = settings(Effect::Safe);
        settings.classes[0].aim = aim;
        settings
    };
    let mut test_node = TestNode::new(class(100 * MS), servers(3), 1);
    let (open, actions) = test_node.request();
    let server = sent(&actions)[0];
    let (mut max_index, mut held_indices) = (0, vec![0]);
    for k in 1..200 {
        test_node.now += 20_000 * MS;
        let now = test_node.now;
        let indices = test_node.balancer.update_settings(now, class((100 + k) * MS), &[None]).unwrap();
        assert_ne!(indices[0], 0, "the class index of an open request");
        max_index = max_index.max(indices[0]);
        test_node.balancer.release_classes(&held_indices);
        held_indices = indices;
    }
    assert!(max_index < 3, "{max_index}");
    test_node.now += 20_000 * MS;
    end_attempt(&mut test_node, open, server, 0, Ending::Ok);
    let now = test_node.now;
    assert_eq!(test_node.balancer.update_settings(now, class(7 * MS), &[None]).unwrap(), [0]);
}

/// Guards against a second run of an unsafe request whose body arrives while its class is dropped and others are
/// added: however long that takes, none of them gets its index.
#[test]
fn a_class_keeps_its_index_until_it_is_released() {
    let with_aim = |effect: Effect, aim: Nanos| {
        let mut settings = settings(effect);
        settings.classes[0].aim = aim;
        settings
    };
    let mut test_node = TestNode::new(with_aim(Effect::Unsafe, 100 * MS), servers(8), 1);
    for k in 1..20 {
        test_node.now += 3_600_000 * MS;
        let now = test_node.now;
        let indices =
            test_node.balancer.update_settings(now, with_aim(Effect::Safe, k * MS), &[None]).unwrap();
        assert_ne!(indices, [0], "the index of a class that a request may still refer to");
        test_node.balancer.release_classes(&indices);
    }
    let (id, actions) = submit(&mut test_node, 0);
    let server = sent(&actions)[0];
    let actions = end_attempt(&mut test_node, id, server, 0, Ending::Reset);
    assert!(sent(&actions).is_empty(), "an unsafe request is retried: {actions:?}");
    test_node.balancer.release_classes(&[0]);
    let now = test_node.now;
    assert_eq!(
        test_node.balancer.update_settings(now, with_aim(Effect::Safe, 50 * MS), &[None]).unwrap(),
        [0]
    );
}

/// A class that stays in the settings is held by each list that has it.
#[test]
fn a_class_in_several_lists_is_held_until_all_are_released() {
    let mut test_node = TestNode::new(settings(Effect::Unsafe), servers(3), 1);
    let now = test_node.now;
    for _ in 0..3 {
        let kept = test_node.balancer.update_settings(now, settings(Effect::Unsafe), &[Some(0)]).unwrap();
        assert_eq!(kept, [0]);
    }
    for remaining in (0..4).rev() {
        let indices = test_node.balancer.update_settings(now, settings(Effect::Safe), &[None]).unwrap();
        assert_ne!(indices, [0], "{} lists still hold the class", remaining + 1);
        test_node.balancer.release_classes(&[0]);
        test_node.balancer.release_classes(&indices);
    }
    assert_eq!(test_node.balancer.update_settings(now, settings(Effect::Safe), &[None]).unwrap(), [0]);
}

/// A request that was received while one attempt and no hedge were allowed gets no more under later settings.
#[test]
fn a_request_keeps_the_limits_on_attempts_under_which_it_was_received() {
    let received_under = Settings { max_attempts: 1, second_copies: false, ..settings(Effect::Safe) };
    let in_force = Settings { max_attempts: 4, second_copies: true, ..settings(Effect::Safe) };
    for (limits, attempts) in [(&received_under, 1), (&in_force, 2)] {
        let mut test_node = TestNode::new(in_force.clone(), servers(8), 1);
        let (id, request) = test_node.new_request();
        let actions = test_node.handle(Event::Request(request.with_limits_of(limits)));
        let server = sent(&actions)[0];
        assert_eq!(
            actions.iter().any(|action| matches!(action, Action::StartTimer { .. })),
            limits.second_copies,
            "the timer of a hedge: {actions:?}"
        );
        let actions = end_attempt(&mut test_node, id, server, 0, Ending::ConnectFailed);
        assert_eq!(1 + sent(&actions).len(), attempts, "{actions:?}");
    }
}

fn with_quotas(quotas: &[(u32, f64)]) -> Settings {
    Settings {
        tenant_quota: Quotas::new(quotas.iter().copied()),
        over_share_worth: 0.0,
        ..settings(Effect::Safe)
    }
}

/// Submits a request of this tenant; returns whether it is refused.
fn is_refused(test_node: &mut TestNode, tenant: u32) -> bool {
    let (id, request) = test_node.new_request();
    let actions = test_node.handle(Event::Request(Request { tenant, ..request }));
    let server = sent(&actions).first().copied();
    // Some answers are slow: without delays no request over its tenant's share is refused.
    let took = if id.is_multiple_of(3) { 60 * MS } else { 10 * MS };
    server.into_iter().for_each(|server| drop(test_node.outcome(id, server, 0, took, Ending::Ok)));
    server.is_none()
}

/// A tenant's request count is kept by its number, however quotas are updated; a tenant that was removed in
/// between starts without a count.
#[test]
fn request_counts_are_kept_by_tenant_number() {
    let update_settings = |test_node: &mut TestNode, quotas: &[(u32, f64)]| {
        let now = test_node.now;
        test_node.balancer.update_settings(now, with_quotas(quotas), &[Some(0)]).map(drop).unwrap();
    };
    let set_quotas = |test_node: &mut TestNode, quotas: &[(u32, f64)]| {
        test_node.balancer.set_tenant_quotas(Quotas::new(quotas.iter().copied())).unwrap();
    };
    for update in [update_settings as fn(&mut TestNode, &[(u32, f64)]), set_quotas] {
        for (quotas, over) in [
            (&[&[(7, 5.0), (3, 5.0)][..]][..], [(7, true), (3, false)]),
            (&[&[(3, 5.0), (8, 5.0)]], [(8, false), (3, false)]),
            (&[&[(3, 5.0)], &[(3, 5.0), (7, 5.0)]], [(7, false), (3, false)]),
            (&[&[(3, 5.0), (7, 5_000.0)]], [(7, false), (3, false)]),
            (&[&[(3, 5.0), (7, 5_000.0)], &[(7, 5.0)]], [(7, true), (9, false)]),
        ] {
            let mut test_node = TestNode::new(with_quotas(&[(3, 5.0), (7, 5.0)]), servers(8), 1);
            // Tenant 7 is far over its share, tenant 3 uses nothing.
            let count = (0..200).filter(|_| is_refused(&mut test_node, 7)).count();
            assert!(count > 100, "{count}");
            quotas.iter().for_each(|quotas| update(&mut test_node, quotas));
            for (tenant, expected) in over {
                assert_eq!(is_refused(&mut test_node, tenant), expected, "tenant {tenant} of {quotas:?}");
            }
        }
    }
    let mut test_node = TestNode::new(with_quotas(&[(3, 5.0)]), servers(3), 1);
    assert!(test_node.balancer.set_tenant_quotas(Quotas::from(vec![f64::NAN])).is_err());
}

/// Tenants are tracked from their first request until they have been idle for long; forgetting them changes
/// no decision.
#[test]
fn idle_tenants_are_forgotten() {
    let quotas: Vec<_> = (0..15_000).map(|tenant| (tenant, 50.0)).collect();
    let new_node = || TestNode::new(with_quotas(&quotas), servers(8), 1);
    let (mut test_node, mut keeping_node) = (new_node(), new_node());
    for tenant in 20_000..20_010 {
        is_refused(&mut test_node, tenant);
        is_refused(&mut keeping_node, tenant);
    }
    assert_eq!(test_node.balancer.tracked_tenants(), 0, "tenants without a share are not tracked");
    let mut refusals = [Vec::new(), Vec::new()];
    for round in 0..40 {
        for (test_node, refusals) in [&mut test_node, &mut keeping_node].into_iter().zip(&mut refusals) {
            // The last two tenants have no share.
            let tenants = (0..100).map(|k| (round * 131 + k * k) % 15_000).chain([20_000, u32::MAX]);
            refusals.extend(tenants.map(|tenant| is_refused(test_node, tenant)));
            test_node.now += 20_000 * MS;
        }
        let now = test_node.now;
        test_node.balancer.forget_idle_tenants(now);
        assert!(test_node.balancer.tracked_tenants() < 1_000, "{}", test_node.balancer.tracked_tenants());
    }
    assert!(keeping_node.balancer.tracked_tenants() > 1_500, "{}", keeping_node.balancer.tracked_tenants());
    assert_eq!(refusals[0], refusals[1]);
    test_node.now += 200_000 * MS;
    let now = test_node.now;
    test_node.balancer.forget_idle_tenants(now);
    assert_eq!(test_node.balancer.tracked_tenants(), 0);
}

/// A change of the group position has the same effect as new settings with it.
#[test]
fn a_group_position_has_the_effect_of_settings() {
    let with_position = |ordinal, group_size| Settings { ordinal, group_size, ..settings(Effect::Safe) };
    let mut test_nodes = [0, 1].map(|_| TestNode::new(with_position(0, 1), servers(30), 4));
    for (ordinal, group_size) in [(3, 20), (4, 21), (0, 1), (7, 440)] {
        let now = test_nodes[0].now;
        test_nodes[0].balancer.set_group_position(now, ordinal, group_size).unwrap();
        test_nodes[1].balancer.update_settings(now, with_position(ordinal, group_size), &[Some(0)]).unwrap();
        for _ in 0..200 {
            let [first, second] = &mut test_nodes;
            let (a, b) = (first.request(), second.request());
            assert_eq!(a, b);
            let server = sent(&a.1).first().copied();
            for test_node in [first, second] {
                server
                    .into_iter()
                    .for_each(|server| drop(test_node.outcome(a.0, server, 0, 10 * MS, Ending::Ok)));
            }
        }
    }
    let now = test_nodes[0].now;
    assert!(test_nodes[0].balancer.set_group_position(now, 5, 5).is_err());
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Submit { class: usize },
    EndAttempt { open: usize, ending: Ending },
    Disconnect { open: usize },
    UpdateSettings { effects: [Effect; 2], attempts: u32, swapped: bool, renamed: bool },
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let effect = || prop_oneof![Just(Effect::Safe), Just(Effect::Keyed), Just(Effect::Unsafe)];
    let ending = prop_oneof![
        4 => Just(Ending::Ok),
        1 => Just(Ending::Error),
        1 => Just(Ending::Reset),
        1 => Just(Ending::ConnectFailed),
        1 => Just(Ending::TimedOut),
        1 => Just(Ending::Rejected),
    ];
    prop_oneof![
        6 => (0..2usize).prop_map(|class| Step::Submit { class }),
        6 => (0..12usize, ending).prop_map(|(open, ending)| Step::EndAttempt { open, ending }),
        1 => (0..12usize).prop_map(|open| Step::Disconnect { open }),
        2 => ([effect(), effect()], 1..5u32, any::<bool>(), any::<bool>())
            .prop_map(|(effects, attempts, swapped, renamed)| Step::UpdateSettings { effects, attempts, swapped, renamed }),
        2 => (0..300u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// The rules under which a request was admitted, and its attempts and answers since.
struct RequestRecord {
    effect: Effect,
    max_attempts: u32,
    attempts: u32,
    may_have_run: bool,
    /// Number and server of the open attempt.
    open: Option<(u8, ServerId)>,
    answers: u32,
}

proptest! {
    // Reproducible cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whenever and however settings change, every request ends under the rules under which it was admitted,
    /// with no more than one answer.
    #[test]
    fn requests_keep_the_rules_of_their_admission(steps in proptest::collection::vec(step(), 1..150)) {
        let two_classes = |effects: [Effect; 2], attempts, swapped: bool| {
            let class = |effect, aim: Nanos| Class { effect, aim: aim * MS, ..settings(effect).classes[0].clone() };
            let mut classes = vec![class(effects[0], 300), class(effects[1], 400)];
            if swapped {
                classes.reverse();
            }
            Settings { classes, max_attempts: attempts, ..settings(Effect::Safe) }
        };
        let (mut effects, mut max_attempts) = ([Effect::Safe, Effect::Unsafe], 3);
        let mut test_node = TestNode::new(two_classes(effects, max_attempts, false), servers(6), 3);
        // The class index of each of the two names.
        let mut class_indices = [0u16, 1];
        let mut records: BTreeMap<RequestId, RequestRecord> = BTreeMap::new();
        for step in steps {
            let open: Vec<_> =
                records.iter().filter_map(|(id, r)| Some((*id, r.open?))).collect();
            let actions = match step {
                Step::Submit { class } => {
                    let (id, request) = test_node.new_request();
                    let record = RequestRecord { effect: effects[class], max_attempts, attempts: 0, may_have_run: false, open: None, answers: 0 };
                    records.insert(id, record);
                    test_node.handle(Event::Request(Request { class: class_indices[class], ..request }))
                }
                Step::EndAttempt { open: at, ending } => {
                    let Some(&(id, (attempt, server))) = open.get(at) else { continue };
                    let record = records.get_mut(&id).unwrap();
                    record.open = None;
                    record.may_have_run |= !ending.never_ran();
                    record.answers += u32::from(ending == Ending::Ok);
                    end_attempt(&mut test_node, id, server, attempt, ending)
                }
                Step::Disconnect { open: at } => {
                    let Some(&(id, _)) = open.get(at) else { continue };
                    records.get_mut(&id).unwrap().answers += 1;
                    test_node.handle(Event::ClientGone { request: id })
                }
                Step::UpdateSettings { effects: new_effects, attempts, swapped, renamed } => {
                    (effects, max_attempts) = (new_effects, attempts);
                    let mut predecessors = class_indices.map(|index| Some(index).filter(|_| !renamed));
                    if swapped {
                        predecessors.reverse();
                    }
                    let now = test_node.now;
                    let updated = test_node.balancer.update_settings(now, two_classes(new_effects, attempts, swapped), &predecessors).unwrap();
                    prop_assert_ne!(updated[0], updated[1]);
                    class_indices = if swapped { [updated[1], updated[0]] } else { [updated[0], updated[1]] };
                    continue;
                }
                Step::Wait { ms } => {
                    test_node.now += ms * MS;
                    continue;
                }
            };
            for action in actions {
                match action {
                    Action::Send { request, server, .. } => {
                        let record = records.get_mut(&request).unwrap();
                        prop_assert!(record.answers == 0, "sent after its answer");
                        prop_assert!(record.effect != Effect::Unsafe || !record.may_have_run, "run twice");
                        prop_assert!(record.attempts < record.max_attempts, "attempt {} of {}", record.attempts, record.max_attempts);
                        record.open = Some((record.attempts as u8, server));
                        record.attempts += 1;
                    }
                    Action::Refuse { request, .. } | Action::Fail { request } => {
                        let record = records.get_mut(&request).unwrap();
                        record.answers += 1;
                        prop_assert_eq!(record.answers, 1);
                    }
                    Action::Cancel { request, attempt } => {
                        let record = records.get_mut(&request).unwrap();
                        let (number, server) = record.open.take().expect("an open attempt");
                        prop_assert_eq!(number, attempt);
                        end_attempt(&mut test_node, request, server, attempt, Ending::Cancelled);
                    }
                    _ => {}
                }
            }
            // Every request has an open attempt or an answer.
            prop_assert!(records.values().all(|r| r.answers == 1 || r.open.is_some()));
        }
    }
}
