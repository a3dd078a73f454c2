//! Measures how fast the simulated membership protocol converges by number of nodes: a table on standard
//! output, and a plot.
//!
//!     cargo run --release -p corkhollow-laboratory --bin fleet-figures -- --sizes 5,20,60,200 --plot docs/design/fleet-view.svg

use clap::Parser;
use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_laboratory::membership::{simulate, Outcome, SimulationConfig};
use plotters::prelude::*;
use std::path::PathBuf;

#[derive(Parser)]
struct Arguments {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 60, 200])]
    sizes: Vec<usize>,
    /// Number of seeds for each number of nodes.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// File to write the plot to, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// Time of the first action, when all nodes have joined.
const JOIN_MS: u64 = 15_000;

/// The fault scripts and their names.
fn scripts(nodes: usize) -> [(&'static str, Script); 3] {
    let new_script = || {
        Script::new().at(0, Action::SetAllLinks(LinkFaults { delay: 1, jitter: 5, ..LinkFaults::default() }))
    };
    let halves = vec![(0..nodes / 2).collect(), (nodes / 2..nodes).collect()];
    [
        ("joined", new_script()),
        ("crashed", new_script().at(JOIN_MS, Action::Kill(nodes / 2))),
        ("healed", new_script().at(JOIN_MS, Action::Partition(halves)).at(JOIN_MS + 20_000, Action::Heal)),
    ]
}

/// Median, 99th percentile and maximum of the convergence times in milliseconds; a run that never converges
/// counts as `u64::MAX`.
fn convergence_quantiles(outcomes: &[Outcome]) -> [u64; 3] {
    let mut times: Vec<_> =
        outcomes.iter().map(|outcome| outcome.converged_after.unwrap_or(u64::MAX)).collect();
    times.sort_unstable();
    [0.5, 0.99, 1.0].map(|quantile| times[((times.len() - 1) as f64 * quantile).round() as usize])
}

type Series = (&'static str, Vec<(usize, [u64; 3])>);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = Arguments::parse();
    let mut all_series: Vec<Series> = vec![("joined", vec![]), ("crashed", vec![]), ("healed", vec![])];
    println!("| nodes | joined, ms: median, p99, worst | a crash known to all | halves healed | bytes a node and second, 12 s from healing on |");
    println!("| --- | --- | --- | --- | --- |");
    for &nodes in &arguments.sizes {
        let mut row = format!("| {nodes} |");
        let mut bytes = 0.0;
        for (series, (_, script)) in all_series.iter_mut().zip(scripts(nodes)) {
            // Runs one thread per seed, as many at once as there are cores.
            let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
            let mut outcomes = Vec::new();
            for first in (1..=arguments.seeds).step_by(cores as usize) {
                let last = (first + cores).min(arguments.seeds + 1);
                outcomes.extend(std::thread::scope(|scope| {
                    let runs: Vec<_> = (first..last)
                        .map(|seed| {
                            let config = SimulationConfig {
                                nodes,
                                running: nodes,
                                seed,
                                ..SimulationConfig::default()
                            };
                            let script = &script;
                            scope.spawn(move || simulate(&config, script, 12_000))
                        })
                        .collect();
                    runs.into_iter().filter_map(|run| run.join().ok()).collect::<Vec<_>>()
                }));
            }
            let [median, p99, worst] = convergence_quantiles(&outcomes);
            row += &format!(" {median}, {p99}, {worst} |");
            bytes =
                outcomes.iter().map(|outcome| outcome.bytes_per_second).sum::<f64>() / outcomes.len() as f64;
            series.1.push((nodes, [median, p99, worst]));
        }
        println!("{row} {bytes:.0} |");
    }
    if let Some(path) = &arguments.plot {
        plot(path, &all_series)?;
    }
    Ok(())
}

fn plot(path: &std::path::Path, all_series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let sizes = all_series.iter().flat_map(|(_, points)| points.iter().map(|(nodes, _)| *nodes as f64));
    let (smallest, largest) = sizes.fold((f64::MAX, 1.0_f64), |(a, b), size| (a.min(size), b.max(size)));
    let mut chart = ChartBuilder::on(&root)
        .caption("Seconds until all views are equal and right: median and worst", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((smallest..largest * 1.1).log_scale(), 0.0..8.0)?;
    chart.configure_mesh().x_desc("nodes").y_desc("seconds").draw()?;
    for ((name, points), colour) in all_series.iter().zip([BLUE, RED, GREEN]) {
        let at = |k: usize| points.iter().map(move |(nodes, s)| (*nodes as f64, s[k] as f64 / 1e3));
        chart
            .draw_series(LineSeries::new(at(0), colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        chart.draw_series(at(2).map(|point| Circle::new(point, 3, colour)))?;
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
