//! Searches random histories of the engine for violations of its guarantees and prints the shortest form of
//! each.
//!
//!     cargo run --release -p corkhollow-laboratory --bin histories -- --seeds 100000

use clap::Parser;
use corkhollow_laboratory::histories::{find_shortest_violation, run_history, Fault};
use std::process::ExitCode;

#[derive(Parser)]
struct Arguments {
    /// Number of histories.
    #[arg(long, default_value_t = 10_000)]
    seeds: u64,
    /// First seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Requests in each history.
    #[arg(long, default_value_t = 150, value_parser = clap::value_parser!(u32).range(1..))]
    requests: u32,
    /// Error to inject.
    #[arg(long, value_enum, default_value_t = Fault::None)]
    fault: Fault,
    /// Makes many connections slow to open and many clients disconnect early.
    #[arg(long = "crossings")]
    races: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let (mut violations, mut served) = (0, 0u64);
    for seed in arguments.from..arguments.from.saturating_add(arguments.seeds) {
        let history = run_history(seed, arguments.fault, arguments.races, arguments.requests);
        served += u64::from(history.served);
        if history.violation.is_some() {
            violations += 1;
            if let Some((requests, shortest)) =
                find_shortest_violation(seed, arguments.fault, arguments.races, arguments.requests)
            {
                let description =
                    shortest.violation.map_or_else(String::new, |violation| violation.to_string());
                println!("seed {seed}, {requests} requests: {description}");
                shortest.last_commands.iter().for_each(|line| println!("    {line}"));
            }
        }
    }
    println!("{} histories, {violations} break a rule, {served} requests served", arguments.seeds);
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
