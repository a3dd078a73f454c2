//! Plays servers that start cold under many nodes, and prints what they get against what they bear.
//!
//!     cargo run --release -p corkhollow-laboratory --bin cold -- --nodes 5,60,300 --loads 0.1,0.5,1

use clap::Parser;
use corkhollow_laboratory::cold::{play, Setting};

#[derive(Parser)]
struct Arguments {
    /// How many nodes.
    #[arg(long, value_delimiter = ',', default_value = "5,60,300")]
    nodes: Vec<u32>,
    /// How much work comes, as a part of what all can do when warm.
    #[arg(long, value_delimiter = ',', default_value = "0.1,0.3,0.5,0.7,1,1.3")]
    loads: Vec<f64>,
    /// Requests that a server works on at once.
    #[arg(long, value_delimiter = ',', default_value = "4")]
    cores: Vec<usize>,
    /// How many servers.
    #[arg(long, default_value_t = 60)]
    servers: u64,
    /// Mean work of a request, in milliseconds.
    #[arg(long, default_value_t = 40)]
    work: u64,
    /// The part that is replaced at once, and those replaced a second from then on; several pairs.
    #[arg(long, value_delimiter = ',', default_value = "1:0,0.2:0,0:0.5,0:2,0:4")]
    cold: Vec<String>,
    /// The seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let a = Arguments::parse();
    println!("| nodes | cores | replaced at once, a second | load | nearest to being pushed over | by mean work | sent, of what cold ones can do | served | refused |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for &nodes in &a.nodes {
        for &cores in &a.cores {
            for pair in &a.cold {
                let (cold, replaced) = pair.split_once(':').ok_or("`--cold` wants PART:RATE")?;
                for &load in &a.loads {
                    let o = play(&Setting {
                        nodes,
                        servers: a.servers,
                        cores,
                        work: a.work * 1_000_000,
                        load,
                        cold: cold.parse()?,
                        replaced: replaced.parse()?,
                        seed: a.seed,
                        ..Setting::default()
                    })?;
                    println!(
                        "| {nodes} | {cores} | {cold}, {replaced} | {load} | {:.2} | {:.2} | {:.2} | {:.3} | {:.3} |",
                        o.cold.nearest, o.cold.nearest_mean, o.cold.sent, o.served, o.refused
                    );
                }
            }
        }
    }
    Ok(())
}
