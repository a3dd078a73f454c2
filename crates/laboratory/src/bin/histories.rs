//! Searches histories of the engine for one that breaks a rule, and prints each in its shortest form.
//!
//!     cargo run --release -p corkhollow-laboratory --bin histories -- --seeds 100000

use clap::Parser;
use corkhollow_laboratory::histories::{play, shortest, Fault};
use std::process::ExitCode;

#[derive(Parser)]
struct Arguments {
    /// How many histories are played.
    #[arg(long, default_value_t = 10_000)]
    seeds: u64,
    /// The first one's seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Requests in each.
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u32).range(1..))]
    requests: u32,
    /// What is broken on purpose.
    #[arg(long, value_enum, default_value_t = Fault::None)]
    fault: Fault,
    /// Many connections are slow to come up, and many clients leave.
    #[arg(long)]
    crossings: bool,
}

fn main() -> ExitCode {
    let a = Arguments::parse();
    let (mut broken, mut served) = (0, 0u64);
    for seed in a.from..a.from.saturating_add(a.seeds) {
        let history = play(seed, a.fault, a.crossings, a.requests);
        served += u64::from(history.served);
        if history.broken.is_some() {
            broken += 1;
            if let Some((requests, short)) = shortest(seed, a.fault, a.crossings, a.requests) {
                let rule = short.broken.map_or_else(String::new, |b| b.to_string());
                println!("seed {seed}, {requests} requests: {rule}");
                short.last.iter().for_each(|line| println!("    {line}"));
            }
        }
    }
    println!("{} histories, {broken} break a rule, {served} requests served", a.seeds);
    if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
