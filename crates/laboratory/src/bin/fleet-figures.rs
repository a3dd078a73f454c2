//! Figures of the fleet's own view by its size: a table on standard output, and a plot.
//!
//!     cargo run --release -p corkhollow-laboratory --bin fleet-figures -- --sizes 5,20,60,200 --plot docs/design/fleet-view.svg

use clap::Parser;
use corkhollow_faults::{Action, LinkFaults, Script};
use corkhollow_laboratory::membership::{play, Outcome, Setting};
use plotters::prelude::*;
use std::path::PathBuf;

#[derive(Parser)]
struct Arguments {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 60, 200])]
    sizes: Vec<usize>,
    /// How many seeds each is played with.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Where the plot goes, as SVG.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// When the first act is due: all have met by then.
const MET: u64 = 15_000;

/// What happens, by its name.
fn scripts(nodes: usize) -> [(&'static str, Script); 3] {
    let begun = || {
        Script::new().at(0, Action::SetAllLinks(LinkFaults { delay: 1, jitter: 5, ..LinkFaults::default() }))
    };
    let halves = vec![(0..nodes / 2).collect(), (nodes / 2..nodes).collect()];
    [
        ("joined", begun()),
        ("crashed", begun().at(MET, Action::Kill(nodes / 2))),
        ("healed", begun().at(MET, Action::Partition(halves)).at(MET + 20_000, Action::Heal)),
    ]
}

/// Median, 99th percentile and worst, in milliseconds; the worst is beyond all where one never settled.
fn spread(outcomes: &[Outcome]) -> [u64; 3] {
    let mut all: Vec<_> = outcomes.iter().map(|o| o.settled.unwrap_or(u64::MAX)).collect();
    all.sort_unstable();
    [0.5, 0.99, 1.0].map(|part| all[((all.len() - 1) as f64 * part).round() as usize])
}

type Line = (&'static str, Vec<(usize, [u64; 3])>);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let a = Arguments::parse();
    let mut lines: Vec<Line> = vec![("joined", vec![]), ("crashed", vec![]), ("healed", vec![])];
    println!("| nodes | joined, ms: median, p99, worst | a crash known to all | halves healed | bytes a node and second, 12 s from healing on |");
    println!("| --- | --- | --- | --- | --- |");
    for &nodes in &a.sizes {
        let mut row = format!("| {nodes} |");
        let mut bytes = 0.0;
        for (line, (_, script)) in lines.iter_mut().zip(scripts(nodes)) {
            // Each seed on a thread of its own, as many at once as there are cores.
            let cores = std::thread::available_parallelism().map_or(1, usize::from) as u64;
            let mut outcomes = Vec::new();
            for first in (1..=a.seeds).step_by(cores as usize) {
                let last = (first + cores).min(a.seeds + 1);
                outcomes.extend(std::thread::scope(|scope| {
                    let plays: Vec<_> = (first..last)
                        .map(|seed| {
                            let setting = Setting { nodes, running: nodes, seed, ..Setting::default() };
                            let script = &script;
                            scope.spawn(move || play(&setting, script, 12_000))
                        })
                        .collect();
                    plays.into_iter().filter_map(|play| play.join().ok()).collect::<Vec<_>>()
                }));
            }
            let [median, most, worst] = spread(&outcomes);
            row += &format!(" {median}, {most}, {worst} |");
            bytes = outcomes.iter().map(|o| o.bytes).sum::<f64>() / outcomes.len() as f64;
            line.1.push((nodes, [median, most, worst]));
        }
        println!("{row} {bytes:.0} |");
    }
    if let Some(path) = &a.plot {
        plot(path, &lines)?;
    }
    Ok(())
}

fn plot(path: &std::path::Path, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let sizes = lines.iter().flat_map(|(_, points)| points.iter().map(|(nodes, _)| *nodes as f64));
    let (least, most) = sizes.fold((f64::MAX, 1.0_f64), |(a, b), size| (a.min(size), b.max(size)));
    let mut chart = ChartBuilder::on(&root)
        .caption("Seconds until all views are equal and right: median and worst", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d((least..most * 1.1).log_scale(), 0.0..8.0)?;
    chart.configure_mesh().x_desc("nodes").y_desc("seconds").draw()?;
    for ((name, points), colour) in lines.iter().zip([BLUE, RED, GREEN]) {
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
