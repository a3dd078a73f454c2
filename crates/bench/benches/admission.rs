//! Admission by load, in the simulation of `corkhollow-laboratory`: a light class of higher worth and a heavy
//! one of lower worth, at three ratios of their work, with 1 and 60 nodes over 20 servers. Work is
//! exponential; each class has half of the load.
//!
//!     cargo bench -p corkhollow-bench --bench admission

use corkhollow_laboratory::fleet::{safe_classes, Model, RequestCounts, Stream};

const MS: u64 = 1_000_000;
const HEAVY_WORK_NANOS: u64 = 60 * MS;
const SERVER_COUNT: u64 = 20;

/// Fractions of requests: light ones in time, heavy ones in time, heavy ones refused while a server was idle.
fn simulate(work_ratio: u64, nodes: u32, load: f64, seed: u64) -> [f64; 3] {
    let mut settings = safe_classes(&[5.0, 1.0], 600 * MS, 1_500 * MS);
    (settings.classes[0].aim, settings.classes[0].give_up) = (250 * MS, 600 * MS);
    let mut model = Model::new(settings, nodes, SERVER_COUNT, seed).expect("valid settings");
    for (class, work) in [(0, HEAVY_WORK_NANOS / work_ratio), (1, HEAVY_WORK_NANOS)] {
        let rate = SERVER_COUNT as f64 * load / 2.0 / (work as f64 / 1e9);
        model.add_stream(class, Stream { spread: 2.0, ..Stream::new(rate, work) });
    }
    model.run_for(10_000 * MS);
    model.take_counts();
    model.run_for(20_000 * MS);
    let [light, heavy] = model.take_counts()[..] else { unreachable!("two streams") };
    [
        light.in_time_fraction(),
        heavy.in_time_fraction(),
        RequestCounts { in_time: heavy.refused_while_idle, ..heavy }.in_time_fraction(),
    ]
}

fn main() {
    println!("| nodes | ratio of work | load | light in time | heavy in time | heavy refused beside an idle server |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for nodes in [1, 60] {
        for work_ratio in [3, 10, 100] {
            for load in [0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4] {
                let results = [7, 8, 9].map(|seed| simulate(work_ratio, nodes, load, seed));
                let mean = |k: usize| results.iter().map(|p| p[k]).sum::<f64>() / results.len() as f64;
                println!(
                    "| {nodes} | {work_ratio} | {load} | {:.3} | {:.3} | {:.3} |",
                    mean(0),
                    mean(1),
                    mean(2)
                );
            }
        }
    }
}
