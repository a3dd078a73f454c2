//! The command line.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Spreads HTTP requests over servers: the shortest queue among some that have done much and some others (JSQ-DAS).
///
/// Four rules hold for every request: one final answer in time; no effect twice beyond what its class permits;
/// nothing new to a server that drains; no server that has just started is pushed over.
#[derive(Debug, Parser)]
#[command(
    version,
    arg_required_else_help = true,
    after_help = "\
Files:
  The operator's file is TOML; `corkhollow reference` lists its keys, `corkhollow check` names every fault.

Signals of a running program:
  SIGHUP   takes over the file anew, whole or not at all
  SIGTERM  ends what is under way, then ends"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serves, by an operator's file or by the platform's GW_CONFIG
    Run(RunArgs),
    /// Checks an operator's file and prints every fault with its place
    Check(CheckArgs),
    /// Tells where a request would go, and why
    Explain(ExplainArgs),
    /// Runs a small stand-in fleet with the program before it, and shows what happens; needs no file and no network
    Demo(DemoArgs),
    /// Prints what running nodes hold of their fleet
    Fleet(FleetArgs),
    /// Prints all keys of the operator's file, as Markdown
    Reference,
}

#[derive(Debug, Args)]
pub struct RunArgs {
    /// The operator's file; without it the file that GW_CONFIG names is the platform's configuration
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Where operators call, in place of what the file says: for a process that runs beside the one that it replaces
    #[arg(long, value_name = "ADDRESS")]
    pub operator: Option<SocketAddr>,
    /// Ends at once when standard input does: whoever started it holds the other end, and it goes on for nobody else
    #[arg(long, hide = true)]
    pub until_stdin_ends: bool,
}

#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The operator's file
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
}

#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// The operator's file
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// The request: a method and a URL, such as 'GET http://example.org/a?b=c'; GET where no method is named
    #[arg(value_name = "REQUEST")]
    pub request: String,
    /// A header of the request, as 'name: value'; may come more than once
    #[arg(short = 'H', long = "header", value_name = "HEADER")]
    pub headers: Vec<String>,
    /// The listener that it comes to, by name; without it the one with the URL's port, or the first
    #[arg(long, value_name = "NAME")]
    pub listener: Option<String>,
}

#[derive(Debug, Args)]
pub struct FleetArgs {
    /// A node's operator's address; with several, also whether they hold the same
    #[arg(long, value_name = "ADDRESS", required = true)]
    pub operator: Vec<SocketAddr>,
}

#[derive(Debug, Args)]
pub struct DemoArgs {
    /// The port on 127.0.0.1; 0 takes a free one
    #[arg(long, default_value_t = 0)]
    pub port: u16,
    /// Ends after so many seconds; without it, with Ctrl-C or SIGTERM
    #[arg(long)]
    pub seconds: Option<u64>,
    /// Settles what the clients ask, and when
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
