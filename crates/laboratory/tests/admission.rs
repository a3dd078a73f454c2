//! Under overload the classes of least worth are refused first; without overload almost nothing is refused.

use corkhollow_balance::interface::Nanos;
use corkhollow_laboratory::fleet::{safe_classes, Model, RequestCounts, Stream};

const MS: Nanos = 1_000_000;
const AIM: Nanos = 1_000 * MS;

/// Runs three classes of equal load over 20 servers; `load` is their sum as a fraction of the capacity.
fn run_three_classes(
    load: f64,
    nodes: u32,
    worths: &[f64; 3],
    mean_works: &[Nanos; 3],
    seed: u64,
) -> Vec<RequestCounts> {
    let mut model = Model::new(safe_classes(worths, AIM / 2, AIM), nodes, 20, seed).expect("valid settings");
    for (class, work) in mean_works.iter().enumerate() {
        let rate = 20.0 * load / 3.0 / (*work as f64 / 1e9);
        model.add_stream(class as u16, Stream { spread: 0.5, ..Stream::new(rate, *work) });
    }
    model.run_for(8_000 * MS);
    model.take_counts();
    model.run_for(12_000 * MS);
    model.take_counts()
}

/// Under overload classes are served by their worth per work, and the best class is hardly affected.
#[test]
fn overload_refuses_the_class_of_least_worth_first() {
    for (worths, mean_works) in [
        ([8.0, 2.0, 1.0], [10 * MS, 10 * MS, 40 * MS]),
        ([1.0, 1.0, 1.0], [4 * MS, 12 * MS, 60 * MS]),
        ([100.0, 10.0, 1.0], [20 * MS, 20 * MS, 20 * MS]),
    ] {
        for nodes in [1, 12] {
            for load in [1.3, 1.8] {
                let counts = run_three_classes(load, nodes, &worths, &mean_works, 11);
                let served: Vec<_> = counts.iter().map(RequestCounts::in_time_fraction).collect();
                let description = format!(
                    "{nodes} nodes, load {load}, worths {worths:?}, works {mean_works:?}: {served:?}"
                );
                assert!(served[0] > 0.9, "{description}");
                assert!(served[0] > served[1] - 0.01 && served[1] > served[2] - 0.01, "{description}");
                assert!(served[0] > served[2] + 0.1, "{description}");
                assert_eq!(counts[0].failed, 0, "{description}");
            }
        }
    }
}

/// A burst of the class of least worth, five times the capacity, hardly affects the best class.
#[test]
fn a_burst_of_the_least_class_does_not_affect_the_best() {
    let mut model = Model::new(safe_classes(&[5.0, 1.0], AIM / 2, AIM), 12, 20, 5).expect("valid settings");
    model.add_stream(0, Stream { spread: 0.5, ..Stream::new(400.0, 20 * MS) });
    let burst = model.add_stream(1, Stream { spread: 0.5, ..Stream::new(20.0, 20 * MS) });
    model.run_for(5_000 * MS);
    let calm = model.take_counts();
    model.streams[burst].1.rate = 5_000.0;
    model.run_for(10_000 * MS);
    let during_burst = model.take_counts();
    assert!(
        during_burst[0].in_time_fraction() > calm[0].in_time_fraction() - 0.05,
        "{:?}, calm {:?}",
        during_burst[0],
        calm[0]
    );
    model.streams[burst].1.rate = 20.0;
    model.run_for(3_000 * MS);
    model.take_counts();
    model.run_for(10_000 * MS);
    let after = model.take_counts();
    assert!(after[1].in_time_fraction() > 0.97, "refused after the burst: {:?}", after[1]);
}

/// Many requests are refused only while the load exceeds the capacity, and refusals end with the overload.
#[test]
fn requests_are_refused_only_under_overload() {
    let mut model = Model::new(safe_classes(&[1.0, 1.0], AIM / 2, AIM), 1, 20, 3).expect("valid settings");
    let mean_works = [5 * MS, 50 * MS];
    for (class, work) in mean_works.into_iter().enumerate() {
        model.add_stream(class as u16, Stream { spread: 0.5, ..Stream::new(0.0, work) });
    }
    let mut refused = Vec::new();
    for load in [0.2, 0.5, 0.8, 1.3, 0.8, 0.5, 0.2] {
        for (stream, work) in model.streams.iter_mut().zip(mean_works) {
            stream.1.rate = 20.0 * load / 2.0 / (work as f64 / 1e9);
        }
        model.run_for(2_000 * MS);
        model.take_counts();
        model.run_for(6_000 * MS);
        let counts = model.take_counts();
        assert!(counts[0].in_time_fraction() > 0.97, "load {load}: {:?}", counts[0]);
        refused.push(f64::from(counts[1].refused) / f64::from(counts[1].offered));
    }
    let calm = [0, 1, 5, 6].map(|k| refused[k]);
    assert!(calm.iter().all(|r| *r < 0.01), "{refused:?}");
    assert!(refused[2] < 0.12 && refused[4] < 0.12, "{refused:?}");
    assert!(refused[3] > 0.2, "{refused:?}");
}

/// A class whose requests suddenly take 50 times as long, still within their aim, is served; a few are
/// refused until the estimate of its typical work has adapted.
#[test]
fn a_class_whose_work_grows_is_served() {
    let mut model = Model::new(safe_classes(&[1.0, 1.0], AIM, 3 * AIM), 1, 20, 3).expect("valid settings");
    model.add_stream(0, Stream { spread: 0.2, ..Stream::new(50.0, 2 * MS) });
    model.add_stream(1, Stream { spread: 0.2, ..Stream::new(20.0, 6 * MS) });
    model.run_for(10_000 * MS);
    model.take_counts();
    model.streams[1].1.work = 300 * MS;
    model.run_for(30_000 * MS);
    let counts = model.take_counts();
    assert!(counts[0].in_time_fraction() > 0.99 && counts[1].in_time_fraction() > 0.85, "{counts:?}");
}

/// Settings that swap the worths of two classes swap which one is refused; what was learnt of both is kept.
#[test]
fn swapped_worths_swap_the_refused_class() {
    let mut model = Model::new(safe_classes(&[9.0, 1.0], AIM / 2, AIM), 1, 20, 3).expect("valid settings");
    for class in 0..2 {
        model.add_stream(class, Stream { spread: 0.5, ..Stream::new(700.0, 20 * MS) });
    }
    let served = |model: &mut Model| {
        model.run_for(5_000 * MS);
        model.take_counts();
        model.run_for(10_000 * MS);
        model.take_counts().iter().map(RequestCounts::in_time_fraction).collect::<Vec<_>>()
    };
    let before = served(&mut model);
    let swapped = safe_classes(&[1.0, 9.0], AIM / 2, AIM);
    let predecessors = [Some(0), Some(1)];
    let now = model.now;
    let new_indexes = model.nodes[0].update_settings(now, swapped, &predecessors).unwrap();
    for (stream, new_index) in model.streams.iter_mut().zip(&new_indexes) {
        stream.0 = *new_index;
    }
    let class = model.settings.classes[0].clone();
    model.settings.classes.resize(4, class);
    let after = served(&mut model);
    assert!(before[0] > 0.93 && before[1] < before[0] - 0.2, "{before:?}");
    assert!(after[1] > 0.93 && after[0] < after[1] - 0.2, "{after:?}");
}
