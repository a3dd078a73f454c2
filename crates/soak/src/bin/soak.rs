//! Runs seeds of the soak test and prints the violated rules:
//! `cargo run --release -p corkhollow-soak --bin soak -- --seeds 10`.
//! The program under test must be built beside this one.

use clap::Parser;
use corkhollow_soak::records::Outcome;
use corkhollow_soak::{run, Report, RunOptions};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A soak test over many processes of the program.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Processes of the program.
    #[arg(long, default_value_t = 24)]
    processes: usize,
    /// Clients of each.
    #[arg(long, default_value_t = 4)]
    clients: usize,
    /// Seconds for which clients run.
    #[arg(long, default_value_t = 12)]
    seconds: u64,
    /// A directory for the records of seeds that violate a rule.
    #[arg(long)]
    evidence: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let mut failed_seeds = 0;
    for seed in arguments.first..arguments.first + arguments.seeds {
        let options = RunOptions {
            seed,
            processes: arguments.processes,
            clients: arguments.clients,
            servers: 10,
            late_servers: 3,
            duration: Duration::from_secs(arguments.seconds),
        };
        match run(options) {
            Ok(report) => {
                failed_seeds += u64::from(!report.violations.is_empty());
                print_summary(seed, &report);
                if let Some(folder) = arguments.evidence.as_ref().filter(|_| !report.violations.is_empty()) {
                    if let Err(error) = write_evidence(folder, seed, &report) {
                        eprintln!("cannot write the evidence of seed {seed}: {error}");
                    }
                }
            }
            Err(error) => {
                eprintln!("seed {seed} cannot be run: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{} seeds, {failed_seeds} with violations", arguments.seeds);
    match failed_seeds {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_summary(seed: u64, report: &Report) {
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    for request in &report.records.requests {
        let name = match request.outcome {
            Outcome::Answered { status, .. } => status.to_string(),
            other => format!("{other:?}"),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    println!(
        "seed {seed}: {} faults, {} processes, {} requests {outcomes:?}, {} attempts, {} stalled clients, {} violations",
        report.script.0.len(),
        report.records.processes.len(),
        report.records.requests.len(),
        report.records.attempts.len(),
        report.records.stalled_clients.len(),
        report.violations.len(),
    );
    let mut by_rule: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for violation in &report.violations {
        by_rule.entry(violation.rule).or_default().push(violation);
    }
    for (rule, violations) in by_rule {
        println!("  {rule:?}: {} times, first {}", violations.len(), violations[0].evidence);
    }
}

fn write_evidence(folder: &Path, seed: u64, report: &Report) -> std::io::Result<()> {
    let folder = folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    let lines = |texts: Vec<String>| texts.join("\n") + "\n";
    let violations = report.violations.iter().map(ToString::to_string).collect();
    std::fs::write(folder.join("violations"), lines(violations))?;
    let script = report.script.0.iter().map(|(at, fault)| format!("{at:?} {fault}")).collect();
    std::fs::write(folder.join("script"), lines(script))?;
    let processes = report.records.processes.iter().map(|process| format!("{process:?}")).collect();
    std::fs::write(folder.join("processes"), lines(processes))?;
    for (process, events) in &report.events {
        std::fs::write(folder.join(format!("events-{process}")), events)?;
    }
    Ok(())
}
