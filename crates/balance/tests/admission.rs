//! Worth decides who yields, and nobody yields to nobody: what one balancer does. Many over one fleet: `crates/laboratory`.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use proptest::prelude::*;

const AIM: Nanos = 1_000 * MS;

/// Safe classes of these worths, with one aim and one give-up time.
fn classes(worths: &[f64], aim: Nanos, give_up: Nanos) -> Settings {
    let mut settings = Settings::single_class(aim, give_up);
    let class = settings.classes[0].clone();
    settings.classes = worths.iter().map(|worth| Class { worth: *worth, ..class.clone() }).collect();
    (settings.ramp, settings.overload_window) = (20_000 * MS, 2_000 * MS);
    settings
}

/// One request of a class, alone in an idle fleet, that takes this long.
fn alone(test_node: &mut TestNode, request: Request, took: Nanos) -> bool {
    let id = request.id;
    let actions = test_node.feed(Event::Request(request));
    let Some(server) = sent(&actions, id) else { return false };
    test_node.now += took;
    test_node.outcome(id, server, 0, took, Ending::Ok);
    true
}

fn test_node(settings: Settings, servers: u8) -> TestNode {
    TestNode::new(settings, common::servers(servers), 7)
}

/// Two classes of one worth, 20 idle servers, one caller at a time: after 200 requests of the quick class the other was
/// served once in 60 times, though its answers fit their aim six times over.
#[test]
fn a_class_of_more_work_is_served_by_an_idle_fleet() {
    for (ratio, worths) in
        [(1, [1.0, 1.0]), (10, [1.0, 1.0]), (100, [5.0, 2.0]), (1_000, [1.0, 1.0]), (1_000, [100.0, 1.0])]
    {
        for learnt in [false, true] {
            let mut test_node = test_node(classes(&worths, AIM, 3 * AIM), 20);
            let mut serve = |class: u16, took: Nanos| {
                test_node.now += 5 * MS;
                let (_, draft) = test_node.draft();
                let request = Request { class, give_up_at: test_node.now + 3 * AIM, ..draft };
                alone(&mut test_node, request, took)
            };
            if learnt {
                (0..30).for_each(|_| assert!(serve(1, 150 * MS)));
            }
            (0..200).for_each(|_| assert!(serve(0, 150 * MS / ratio)));
            let served = (0..60).filter(|_| serve(1, 150 * MS)).count();
            assert_eq!(served, 60, "ratio {ratio}, worths {worths:?}, learnt before: {learnt}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, ..ProptestConfig::default() })]

    /// One at a time, every queue is empty: whatever the classes' work and worth, whoever sends them and in which order,
    /// nothing is refused that fits its aim.
    #[test]
    fn nobody_yields_to_nobody(
        kinds in prop::collection::vec((1e-3..100.0f64, 1..700_000u64), 2..5),
        turns in prop::collection::vec((0usize..5, 0..40_000u64, 0..2u32, any::<bool>()), 60..300),
        nodes in prop::sample::select(vec![1u32, 4, 300]),
    ) {
        let worths: Vec<_> = kinds.iter().map(|k| k.0).collect();
        let mut settings = classes(&worths, AIM, 3 * AIM);
        settings.group_size = nodes;
        (settings.tenant_quota, settings.over_share_worth) = (vec![0.1, 10.0].into(), 0.05);
        let mut test_node = test_node(settings, 12);
        for (k, gap, tenant, is_retry) in turns {
            let class = k % kinds.len();
            test_node.now += gap * 1_000;
            let took = kinds[class].1 * 1_000;
            let (_, draft) = test_node.draft();
            // A retry that has time left for the answer.
            let age = if is_retry { (AIM - took) / 8 } else { 0 };
            let give_up_at = test_node.now + 3 * AIM - age;
            let request = Request { class: class as u16, tenant, is_retry, give_up_at, ..draft };
            prop_assert!(alone(&mut test_node, request, took), "class {class}, tenant {tenant}, retry {is_retry}");
        }
    }
}

/// A class that comes once an hour is not known by its last answers alone, and not refused for that.
#[test]
fn a_class_seen_once_an_hour_is_served() {
    let mut test_node = test_node(classes(&[10.0, 1.0], AIM, 3 * AIM), 8);
    for hour in 0..24 {
        for k in 0..100 {
            test_node.now += 36_000 * MS;
            let (_, draft) = test_node.draft();
            let request = Request { give_up_at: test_node.now + 3 * AIM, ..draft };
            assert!(alone(&mut test_node, request, (1 + k % 3) * MS));
        }
        let (_, draft) = test_node.draft();
        let request = Request { class: 1, give_up_at: test_node.now + 3 * AIM, ..draft };
        assert!(alone(&mut test_node, request, 400 * MS), "hour {hour}");
    }
}

/// A node of many that has just started knows nothing: it refuses nothing for that, and learns an overload from its answers.
#[test]
fn a_node_that_has_just_started_serves() {
    let mut settings = classes(&[5.0, 1.0], AIM / 2, AIM);
    settings.group_size = 300;
    for class in 0..2 {
        let mut test_node = test_node(settings.clone(), 20);
        let (_, draft) = test_node.draft();
        let request = Request { class, give_up_at: test_node.now + AIM, ..draft };
        assert!(alone(&mut test_node, request, 40 * MS), "class {class}");
    }
}

/// Where half of the servers are cold, what the others would serve in time is not refused.
#[test]
fn a_fleet_half_cold_serves_what_the_rest_can() {
    let mut list = common::servers(20);
    let mut settings = classes(&[5.0, 1.0], AIM, 3 * AIM);
    settings.cold_from = 0.15;
    let mut test_node = TestNode::new(settings, list.clone(), 7);
    for server in list.iter_mut().step_by(2) {
        server.started_at = test_node.now;
    }
    test_node.list(ListKind::Full, list);
    for k in 0..400 {
        test_node.now += 10 * MS;
        let (_, draft) = test_node.draft();
        let class = u16::from(k % 4 == 0);
        let request = Request { class, give_up_at: test_node.now + 3 * AIM, ..draft };
        assert!(alone(&mut test_node, request, if class == 0 { 2 * MS } else { 200 * MS }), "request {k}");
    }
}

/// A key whose servers are one, in its zone or at all: that one serves it while it has room, and beyond that worth decides.
#[test]
fn a_key_with_one_server_is_served_by_it() {
    let mut settings = classes(&[5.0, 1.0], AIM, 3 * AIM);
    settings.warm_keys = true;
    let mut test_node = test_node(settings, 1);
    for k in 0..200 {
        test_node.now += 10 * MS;
        let (_, draft) = test_node.draft();
        let class = u16::from(k % 4 == 0);
        let request = Request { class, key: 77, give_up_at: test_node.now + 3 * AIM, ..draft };
        assert!(alone(&mut test_node, request, if class == 0 { 2 * MS } else { 300 * MS }), "request {k}");
    }
    let taken = [1, 0].map(|class| {
        let ask = |test_node: &mut TestNode| {
            let (id, draft) = test_node.draft();
            let request = Request { class, key: 77, give_up_at: test_node.now + 3 * AIM, ..draft };
            sent(&test_node.feed(Event::Request(request)), id).is_some()
        };
        (0..40).filter(|_| ask(&mut test_node)).count()
    });
    assert!(taken[0] > 0 && taken[0] < 10 && taken[1] > 10, "{taken:?}");
}

/// A hint of much work tells that a request takes long, not that it has to yield: what fits its aim is served, and what
/// cannot be in time is not.
#[test]
fn a_hint_of_much_work_is_no_reason_to_yield() {
    let mut test_node = test_node(classes(&[5.0, 1.0], AIM, 3 * AIM), 20);
    let mut serve = |class: u16, hint: Nanos| {
        test_node.now += 5 * MS;
        let (_, draft) = test_node.draft();
        let request = Request { class, work_hint: Some(hint), give_up_at: test_node.now + 3 * AIM, ..draft };
        alone(&mut test_node, request, 5 * MS + hint)
    };
    for k in 0..2_000u64 {
        assert!(serve(0, (1 + k % 3) * MS) && serve(1, (10 + k % 20 * 20) * MS), "request {k}");
    }
    assert!((0..60).all(|_| serve(1, 600 * MS)), "refused beside idle servers");
    assert!(!serve(1, 5_000 * MS), "no server answers this in time");
}
