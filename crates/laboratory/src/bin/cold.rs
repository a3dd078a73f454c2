//! Simulates servers that start cold under many nodes and prints the work sent to them relative to the work
//! that overloads them.
//!
//!     cargo run --release -p corkhollow-laboratory --bin cold -- --nodes 5,60,300 --loads 0.1,0.5,1

use clap::Parser;
use corkhollow_laboratory::cold::{run_scenario, Scenario};

#[derive(Parser)]
struct Arguments {
    /// Numbers of nodes.
    #[arg(long, value_delimiter = ',', default_value = "5,60,300")]
    nodes: Vec<u32>,
    /// Offered work as fractions of the capacity of all servers when warm.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,0.5,0.7,1,1.3")]
    loads: Vec<f64>,
    /// Numbers of requests that a server runs at once.
    #[arg(long, value_delimiter = ',', default_value = "4")]
    cores: Vec<usize>,
    /// Number of servers.
    #[arg(long, default_value_t = 60)]
    servers: u64,
    /// Mean work of a request, in milliseconds.
    #[arg(long, default_value_t = 40)]
    work: u64,
    /// Pairs FRACTION:RATE: the fraction of the servers replaced at the start, and servers replaced per
    /// second from then on.
    #[arg(long, value_delimiter = ',', default_value = "1:0,0.2:0,0:0.5,0:2,0:4")]
    cold: Vec<String>,
    /// Seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = Arguments::parse();
    println!("| nodes | cores | replaced at once, a second | load | nearest to being pushed over | by mean work | sent, of what cold ones can do | served | refused |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for &nodes in &arguments.nodes {
        for &cores in &arguments.cores {
            for pair in &arguments.cold {
                let (cold_fraction, replacements_per_second) =
                    pair.split_once(':').ok_or("`--cold` wants PART:RATE")?;
                for &load in &arguments.loads {
                    let outcome = run_scenario(&Scenario {
                        nodes,
                        servers: arguments.servers,
                        cores,
                        mean_work: arguments.work * 1_000_000,
                        load,
                        cold_fraction: cold_fraction.parse()?,
                        replacements_per_second: replacements_per_second.parse()?,
                        seed: arguments.seed,
                        ..Scenario::default()
                    })?;
                    println!(
                        "| {nodes} | {cores} | {cold_fraction}, {replacements_per_second} | {load} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} |",
                        outcome.cold_load.peak_ratio, outcome.cold_load.peak_ratio_at_mean_work, outcome.cold_load.sent, outcome.served, outcome.refused
                    );
                }
            }
        }
    }
    Ok(())
}
