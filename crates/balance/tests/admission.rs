//! Admission by worth with one balancer: worth counts only while requests of higher worth are delayed. Many
//! balancers over one fleet are tested in `crates/laboratory`.

mod common;
use common::*;
use corkhollow_balance::interface::*;
use proptest::prelude::*;

const AIM: Nanos = 1_000 * MS;

/// Settings with one safe class for each worth.
fn classes(worths: &[f64], aim: Nanos, give_up: Nanos) -> Settings {
    let mut settings = Settings::single_class(aim, give_up);
    let class = settings.classes[0].clone();
    settings.classes = worths.iter().map(|worth| Class { worth: *worth, ..class.clone() }).collect();
    (settings.ramp, settings.overload_window) = (20_000 * MS, 2_000 * MS);
    settings
}

/// Submits a request while no other is open, and answers it after `took`; false if it was refused.
fn serve_alone(test_node: &mut TestNode, request: Request, took: Nanos) -> bool {
    let id = request.id;
    let actions = test_node.handle(Event::Request(request));
    let Some(server) = sent(&actions, id) else { return false };
    test_node.now += took;
    test_node.outcome(id, server, 0, took, Ending::Ok);
    true
}

fn test_node(settings: Settings, servers: u8) -> TestNode {
    TestNode::new(settings, common::servers(servers), 7)
}

/// Guards against refusals of a slow class by an idle fleet after many requests of a quick class.
#[test]
fn an_idle_fleet_serves_a_class_of_more_work() {
    for (ratio, worths) in
        [(1, [1.0, 1.0]), (10, [1.0, 1.0]), (100, [5.0, 2.0]), (1_000, [1.0, 1.0]), (1_000, [100.0, 1.0])]
    {
        for is_known in [false, true] {
            let mut test_node = test_node(classes(&worths, AIM, 3 * AIM), 20);
            let mut serve = |class: u16, took: Nanos| {
                test_node.now += 5 * MS;
                let (_, template) = test_node.new_request();
                let request = Request { class, give_up_at: test_node.now + 3 * AIM, ..template };
                serve_alone(&mut test_node, request, took)
            };
            if is_known {
                (0..30).for_each(|_| assert!(serve(1, 150 * MS)));
            }
            (0..200).for_each(|_| assert!(serve(0, 150 * MS / ratio)));
            let served = (0..60).filter(|_| serve(1, 150 * MS)).count();
            assert_eq!(served, 60, "ratio {ratio}, worths {worths:?}, known before: {is_known}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 120, failure_persistence: None, ..ProptestConfig::default() })]

    /// Without concurrent requests, no request that fits its aim is refused, whatever the work and worth of
    /// the classes, the tenants and the order.
    #[test]
    fn without_contention_nothing_is_refused(
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
            let (_, template) = test_node.new_request();
            // A retry still has time for its answer.
            let age = if is_retry { (AIM - took) / 8 } else { 0 };
            let give_up_at = test_node.now + 3 * AIM - age;
            let request = Request { class: class as u16, tenant, is_retry, give_up_at, ..template };
            prop_assert!(serve_alone(&mut test_node, request, took), "class {class}, tenant {tenant}, retry {is_retry}");
        }
    }
}

/// Guards against refusals of a rare class by the estimates of a frequent one.
#[test]
fn a_class_requested_once_an_hour_is_served() {
    let mut test_node = test_node(classes(&[10.0, 1.0], AIM, 3 * AIM), 8);
    for hour in 0..24 {
        for k in 0..100 {
            test_node.now += 36_000 * MS;
            let (_, template) = test_node.new_request();
            let request = Request { give_up_at: test_node.now + 3 * AIM, ..template };
            assert!(serve_alone(&mut test_node, request, (1 + k % 3) * MS));
        }
        let (_, template) = test_node.new_request();
        let request = Request { class: 1, give_up_at: test_node.now + 3 * AIM, ..template };
        assert!(serve_alone(&mut test_node, request, 400 * MS), "hour {hour}");
    }
}

/// A node of a large group that has no measurements yet refuses nothing.
#[test]
fn a_node_that_has_just_started_serves() {
    let mut settings = classes(&[5.0, 1.0], AIM / 2, AIM);
    settings.group_size = 300;
    for class in 0..2 {
        let mut test_node = test_node(settings.clone(), 20);
        let (_, template) = test_node.new_request();
        let request = Request { class, give_up_at: test_node.now + AIM, ..template };
        assert!(serve_alone(&mut test_node, request, 40 * MS), "class {class}");
    }
}

/// With half of the servers cold, no request is refused that the others can serve in time.
#[test]
fn a_half_cold_fleet_serves_what_its_warm_servers_can() {
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
        let (_, template) = test_node.new_request();
        let class = u16::from(k % 4 == 0);
        let request = Request { class, give_up_at: test_node.now + 3 * AIM, ..template };
        assert!(
            serve_alone(&mut test_node, request, if class == 0 { 2 * MS } else { 200 * MS }),
            "request {k}"
        );
    }
}

/// A fleet of one server serves requests with a key while it has capacity, and by worth beyond that.
#[test]
fn a_key_with_one_server_is_served_by_it() {
    let mut settings = classes(&[5.0, 1.0], AIM, 3 * AIM);
    settings.warm_keys = true;
    let mut test_node = test_node(settings, 1);
    for k in 0..200 {
        test_node.now += 10 * MS;
        let (_, template) = test_node.new_request();
        let class = u16::from(k % 4 == 0);
        let request = Request { class, key: 77, give_up_at: test_node.now + 3 * AIM, ..template };
        assert!(
            serve_alone(&mut test_node, request, if class == 0 { 2 * MS } else { 300 * MS }),
            "request {k}"
        );
    }
    let admitted = [1, 0].map(|class| {
        let submit = |test_node: &mut TestNode| {
            let (id, template) = test_node.new_request();
            let request = Request { class, key: 77, give_up_at: test_node.now + 3 * AIM, ..template };
            sent(&test_node.handle(Event::Request(request)), id).is_some()
        };
        (0..40).filter(|_| submit(&mut test_node)).count()
    });
    assert!(admitted[0] > 0 && admitted[0] < 10 && admitted[1] > 10, "{admitted:?}");
}

/// A hint of much work does not lower a request's priority: it is refused only if it cannot be answered in
/// time.
#[test]
fn a_hint_of_much_work_does_not_lower_priority() {
    let mut test_node = test_node(classes(&[5.0, 1.0], AIM, 3 * AIM), 20);
    let mut serve = |class: u16, hint: Nanos| {
        test_node.now += 5 * MS;
        let (_, template) = test_node.new_request();
        let request =
            Request { class, work_hint: Some(hint), give_up_at: test_node.now + 3 * AIM, ..template };
        serve_alone(&mut test_node, request, 5 * MS + hint)
    };
    for k in 0..2_000u64 {
        assert!(serve(0, (1 + k % 3) * MS) && serve(1, (10 + k % 20 * 20) * MS), "request {k}");
    }
    assert!((0..60).all(|_| serve(1, 600 * MS)), "refused while servers are idle");
    assert!(!serve(1, 5_000 * MS), "no server answers this in time");
}
