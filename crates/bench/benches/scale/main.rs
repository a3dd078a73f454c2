//! Measures the program with configurations of the planned size (`crates/laboratory/size.toml`) and of
//! fractions of it.
//!
//!     cargo bench -p corkhollow-bench --bench scale -- parts --parts 0.0625,0.25,0.5,1
//!     cargo bench -p corkhollow-bench --bench scale -- alone
//!     cargo bench -p corkhollow-bench --bench scale -- checks --parts 0.25,1
//!     cargo bench -p corkhollow-bench --bench scale -- members
//!     cargo bench -p corkhollow-bench --bench scale -- write --part 0.1 > gateway.toml
//!
//! `--program NAME=PATH` measures a program that is already built; repeat it to compare several.

mod load;
mod members;
mod node;
mod process;
mod report;
mod stub_servers;

use clap::{Args, Parser, Subcommand, ValueEnum};
use corkhollow_laboratory::scale::{Change, ConfigFrame, Counts, Dimension, GeneratedConfig, PlannedSize};
use node::MeasurementOptions;
use report::Row;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use stub_servers::StubServers;

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Passed by cargo.
    #[arg(long, hide = true, global = true)]
    bench: bool,
}

#[derive(Subcommand)]
enum Command {
    /// One process at fractions of the planned size
    Parts(RunOptions),
    /// One process at the smallest fraction, with one count at a time at each of the fractions
    Alone(RunOptions),
    /// One process with health checks, at fractions of the planned size
    Checks(RunOptions),
    /// Some gateway processes among nodes that only run the membership protocol
    Members {
        /// Number of nodes [default: that of the planned size]
        #[arg(long)]
        nodes: Option<usize>,
        /// Number of gateway processes among them
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// Seconds to measure without events
        #[arg(long, default_value_t = 20)]
        rest: u64,
        /// Fraction of the planned size of their configuration
        #[arg(long, default_value_t = 0.01)]
        part: f64,
    },
    /// Prints a configuration
    Write {
        /// Fraction of the planned size
        #[arg(long, default_value_t = 1.0)]
        part: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Args)]
struct RunOptions {
    /// Fractions of the planned size
    #[arg(long, value_delimiter = ',', default_values_t = [0.0625, 0.25, 0.5, 1.0])]
    parts: Vec<f64>,
    /// Programs to measure, as NAME=PATH [default: built from this workspace]
    #[arg(long, value_parser = parse_program)]
    program: Vec<(String, PathBuf)>,
    /// Runs of each measurement
    #[arg(long, default_value_t = 1)]
    repeat: usize,
    /// Changes to apply [default: all]
    #[arg(long, value_delimiter = ',', value_enum)]
    changes: Option<Vec<ChangeArgument>>,
    /// Requests for each measurement of answer times
    #[arg(long, default_value_t = 3000)]
    requests: usize,
    /// Seconds to measure without requests
    #[arg(long, default_value_t = 5)]
    rest: u64,
    /// Longest wait for a change to apply, in seconds
    #[arg(long, default_value_t = 150)]
    longest: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// File to write the measurements to, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Folder to write plots to, as SVG
    #[arg(long)]
    plots: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum ChangeArgument {
    Nothing,
    Route,
    Tenant,
    Server,
    Weight,
    Everything,
}

impl From<ChangeArgument> for Change {
    fn from(argument: ChangeArgument) -> Self {
        match argument {
            ChangeArgument::Nothing => Change::Nothing,
            ChangeArgument::Route => Change::Route,
            ChangeArgument::Tenant => Change::Tenant,
            ChangeArgument::Server => Change::Server,
            ChangeArgument::Weight => Change::Weight,
            ChangeArgument::Everything => Change::Everything,
        }
    }
}

fn parse_program(text: &str) -> Result<(String, PathBuf), String> {
    let (name, path) = text.split_once('=').ok_or("NAME=PATH")?;
    PathBuf::from(path).canonicalize().map(|path| (name.to_owned(), path)).map_err(|e| e.to_string())
}

/// Name in the file name and measurement of each plot.
const PLOTS: [(&str, &str); 3] = [
    ("change", "everything changed: in force after, s"),
    ("memory", "memory at rest, MB"),
    ("check", "check, s"),
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let size = PlannedSize::parse(PlannedSize::FILE_TEXT)?;
    let size_of = |part: &f64| (format!("{part}"), *part, size.counts(*part));
    match Cli::parse().command {
        Command::Parts(run) => run_measurements(&run, run.parts.iter().map(size_of).collect(), ""),
        Command::Checks(run) => run_measurements(
            &run,
            run.parts.iter().map(size_of).collect(),
            "check = { path = \"/up\", every = \"2s\" }\n",
        ),
        Command::Alone(run) => {
            let base = run.parts.iter().copied().fold(f64::MAX, f64::min);
            let sizes_of = |dimension: &Dimension| {
                let sizes = run.parts.iter().map(|part| {
                    (format!("{dimension:?} {part}"), *part, size.counts_with_one(base, *dimension, *part))
                });
                sizes.collect::<Vec<_>>()
            };
            Dimension::ALL.iter().try_for_each(|dimension| run_measurements(&run, sizes_of(dimension), ""))
        }
        Command::Members { nodes, processes, rest, part } => {
            build_program();
            let nodes = nodes.unwrap_or(size.nodes as usize);
            let counts = size.counts(part);
            let servers = StubServers::start(counts.servers)?;
            let frame = ConfigFrame {
                head: "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n",
                pool: "",
                address: &|k| servers.addresses[k as usize % servers.addresses.len()],
            };
            let config = GeneratedConfig::new(counts, 1);
            let host = format!("{}.example.org", config.pools[0].name);
            let rest = Duration::from_secs(rest);
            let measurements = members::measure(nodes, processes, rest, &config.to_toml(&frame), &host)?;
            let row = Row {
                program: "members".to_owned(),
                size: nodes.to_string(),
                count: nodes as f64,
                runs: vec![measurements],
            };
            print!("{}", report::format_table(&[row]));
            Ok(())
        }
        Command::Write { part, seed } => {
            let address = |k: u32| SocketAddr::from(([127, 64, (k >> 8) as u8, k as u8], 9000));
            let frame = ConfigFrame {
                head: "[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:8080\"\n\n",
                pool: "",
                address: &address,
            };
            print!("{}", GeneratedConfig::new(size.counts(part), seed).to_toml(&frame));
            Ok(())
        }
    }
}

/// Builds the program in release mode, so that no outdated build is measured, and returns its path.
fn build_program() -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let arguments = ["build", "--release", "--locked", "-p", "corkhollow"];
    let built = std::process::Command::new(cargo).args(arguments).status();
    assert!(built.is_ok_and(|status| status.success()), "the program failed to build");
    corkhollow_test_support::program_path()
}

fn run_measurements(
    run: &RunOptions,
    sizes: Vec<(String, f64, Counts)>,
    pool: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let programs = match run.program.is_empty() {
        true => vec![("here".to_owned(), build_program())],
        false => run.program.clone(),
    };
    let max_servers = sizes.iter().map(|(_, _, counts)| counts.servers).max().unwrap_or(1);
    let servers = StubServers::start(max_servers + 16)?;
    let changes: Vec<Change> = match &run.changes {
        Some(changes) => changes.iter().copied().map(Change::from).collect(),
        None => Change::ALL.to_vec(),
    };
    let options = MeasurementOptions {
        changes,
        requests: run.requests,
        rest: Duration::from_secs(run.rest),
        change_timeout: Duration::from_secs(run.longest),
        pool: pool.to_owned(),
        seed: run.seed,
    };
    let mut rows = Vec::new();
    for (name, count, counts) in &sizes {
        eprintln!("{name}: {counts:?}");
        // Programs take turns, so that other load on the machine affects all alike.
        let mut program_rows: Vec<_> = programs
            .iter()
            .map(|(program, _)| Row {
                program: program.clone(),
                size: name.clone(),
                count: *count,
                runs: Vec::new(),
            })
            .collect();
        for _ in 0..run.repeat {
            for ((_, path), row) in programs.iter().zip(&mut program_rows) {
                row.runs.push(node::measure(path, *counts, &servers, &options));
            }
        }
        rows.extend(program_rows);
    }
    print!("{}", report::format_table(&rows));
    if let Some(path) = &run.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    if let Some(folder) = &run.plots {
        std::fs::create_dir_all(folder)?;
        for (name, measurement) in PLOTS {
            report::plot(&folder.join(format!("scale-{name}.svg")), measurement, &rows)?;
        }
    }
    Ok(())
}
