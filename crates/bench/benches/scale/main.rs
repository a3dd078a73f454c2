//! What the program costs at parts of the size that is coming (`crates/laboratory/size.toml`), and at the whole.
//!
//!     cargo bench -p corkhollow-bench --bench scale -- parts --parts 0.0625,0.25,0.5,1
//!     cargo bench -p corkhollow-bench --bench scale -- alone
//!     cargo bench -p corkhollow-bench --bench scale -- checks --parts 0.25,1
//!     cargo bench -p corkhollow-bench --bench scale -- members
//!     cargo bench -p corkhollow-bench --bench scale -- write --part 0.1 > site.toml
//!
//! `--program NAME=PATH` measures a program that was built before, more than one beside each other.

mod hollow;
mod load;
mod members;
mod node;
mod process;
mod report;

use clap::{Args, Parser, Subcommand, ValueEnum};
use corkhollow_laboratory::scale::{Change, ConfigFrame, Counts, Dimension, GeneratedConfig, PlannedSize};
use hollow::Hollow;
use node::Measured;
use report::Row;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Parser)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Passed on by cargo.
    #[arg(long, hide = true, global = true)]
    bench: bool,
}

#[derive(Subcommand)]
enum Command {
    /// One process at parts of the whole size
    Parts(Run),
    /// One process with all counts at a part of the size but one, which is at that part, at four times it, and so on
    Alone(Run),
    /// One process that checks its servers, at parts of the size
    Checks(Run),
    /// Some processes among hollow nodes
    Members {
        /// How many nodes; as many as the size has where it is not told
        #[arg(long)]
        nodes: Option<usize>,
        /// How many of them are processes
        #[arg(long, default_value_t = 5)]
        processes: usize,
        /// How long they rest, in seconds
        #[arg(long, default_value_t = 20)]
        rest: u64,
        /// The part of the size that their configuration has
        #[arg(long, default_value_t = 0.01)]
        part: f64,
    },
    /// Writes a configuration down
    Write {
        /// The part of the size
        #[arg(long, default_value_t = 1.0)]
        part: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Args)]
struct Run {
    /// Parts of the size
    #[arg(long, value_delimiter = ',', default_values_t = [0.0625, 0.25, 0.5, 1.0])]
    parts: Vec<f64>,
    /// Programs to measure; the one that is built here where none is told
    #[arg(long, value_parser = program)]
    program: Vec<(String, PathBuf)>,
    /// How often each is measured
    #[arg(long, default_value_t = 1)]
    repeat: usize,
    /// What is changed
    #[arg(long, value_delimiter = ',', value_enum)]
    changes: Option<Vec<Changed>>,
    /// Requests for each figure of answer times
    #[arg(long, default_value_t = 3000)]
    requests: usize,
    /// How long it rests, in seconds
    #[arg(long, default_value_t = 5)]
    rest: u64,
    /// How long a change is waited for, in seconds
    #[arg(long, default_value_t = 150)]
    longest: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the figures go as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// The folder that plots go to, as SVG
    #[arg(long)]
    plots: Option<PathBuf>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Changed {
    Nothing,
    Route,
    Tenant,
    Server,
    Weight,
    Everything,
}

impl From<Changed> for Change {
    fn from(changed: Changed) -> Self {
        match changed {
            Changed::Nothing => Change::Nothing,
            Changed::Route => Change::Route,
            Changed::Tenant => Change::Tenant,
            Changed::Server => Change::Server,
            Changed::Weight => Change::Weight,
            Changed::Everything => Change::Everything,
        }
    }
}

fn program(text: &str) -> Result<(String, PathBuf), String> {
    let (name, path) = text.split_once('=').ok_or("NAME=PATH")?;
    PathBuf::from(path).canonicalize().map(|path| (name.to_owned(), path)).map_err(|e| e.to_string())
}

/// What is plotted.
const PLOTS: [(&str, &str); 3] = [
    ("change", "everything changed: in force after, s"),
    ("memory", "memory at rest, MB"),
    ("check", "check, s"),
];

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let size = PlannedSize::parse(PlannedSize::FILE_TEXT)?;
    let part = |part: &f64| (format!("{part}"), *part, size.counts(*part));
    match Cli::parse().command {
        Command::Parts(run) => measure(&run, run.parts.iter().map(part).collect(), ""),
        Command::Checks(run) => measure(
            &run,
            run.parts.iter().map(part).collect(),
            "check = { path = \"/up\", every = \"2s\" }\n",
        ),
        Command::Alone(run) => {
            let rest = run.parts.iter().copied().fold(f64::MAX, f64::min);
            let one = |count: &Dimension| {
                let sizes = run.parts.iter().map(|part| {
                    (format!("{count:?} {part}"), *part, size.counts_with_one(rest, *count, *part))
                });
                sizes.collect::<Vec<_>>()
            };
            Dimension::ALL.iter().try_for_each(|count| measure(&run, one(count), ""))
        }
        Command::Members { nodes, processes, rest, part } => {
            build();
            let nodes = nodes.unwrap_or(size.nodes as usize);
            let counts = size.counts(part);
            let servers = Hollow::start(counts.servers)?;
            let frame = ConfigFrame {
                head: "[operator]\nlisten = \"127.0.0.1:0\"\n[[listener]]\nname = \"web\"\naddress = \"127.0.0.1:0\"\n",
                pool: "",
                address: &|k| servers.addresses[k as usize % servers.addresses.len()],
            };
            let site = GeneratedConfig::new(counts, 1);
            let host = format!("{}.example.org", site.pools[0].name);
            let rest = Duration::from_secs(rest);
            let figures = members::play(nodes, processes, rest, &site.to_toml(&frame), &host)?;
            let row = Row {
                program: "members".to_owned(),
                size: nodes.to_string(),
                count: nodes as f64,
                runs: vec![figures],
            };
            print!("{}", report::table(&[row]));
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

/// The program is built here, as it is for service: figures of an old one would say nothing.
fn build() -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let arguments = ["build", "--release", "--locked", "-p", "corkhollow"];
    let built = std::process::Command::new(cargo).args(arguments).status();
    assert!(built.is_ok_and(|status| status.success()), "the program is built");
    corkhollow_test_support::program_path()
}

fn measure(
    run: &Run,
    sizes: Vec<(String, f64, Counts)>,
    pool: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let programs = match run.program.is_empty() {
        true => vec![("here".to_owned(), build())],
        false => run.program.clone(),
    };
    let most = sizes.iter().map(|(_, _, counts)| counts.servers).max().unwrap_or(1);
    let servers = Hollow::start(most + 16)?;
    let changes: Vec<Change> = match &run.changes {
        Some(changes) => changes.iter().copied().map(Change::from).collect(),
        None => Change::ALL.to_vec(),
    };
    let told = Measured {
        changes,
        requests: run.requests,
        rest: Duration::from_secs(run.rest),
        longest: Duration::from_secs(run.longest),
        pool: pool.to_owned(),
        seed: run.seed,
    };
    let mut rows = Vec::new();
    for (name, count, counts) in &sizes {
        eprintln!("{name}: {counts:?}");
        // Programs take turns, so that what the machine does meets them alike.
        let mut own: Vec<_> = programs
            .iter()
            .map(|(program, _)| Row {
                program: program.clone(),
                size: name.clone(),
                count: *count,
                runs: Vec::new(),
            })
            .collect();
        for _ in 0..run.repeat {
            for ((_, path), row) in programs.iter().zip(&mut own) {
                row.runs.push(node::play(path, *counts, &servers, &told));
            }
        }
        rows.extend(own);
    }
    print!("{}", report::table(&rows));
    if let Some(path) = &run.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    if let Some(folder) = &run.plots {
        std::fs::create_dir_all(folder)?;
        for (name, figure) in PLOTS {
            report::plot(&folder.join(format!("scale-{name}.svg")), figure, &rows)?;
        }
    }
    Ok(())
}
