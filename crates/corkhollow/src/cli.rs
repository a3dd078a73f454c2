//! The command-line interface. Doc comments are the help texts; commands and options are named by their
//! variants and fields.

use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A load-balancing gateway for HTTP, which sends each request to the shortest queue of a sample of servers
/// (JSQ-DAS).
///
/// Every request gets one final answer before its deadline. Its effect is repeated only as its class permits.
/// Draining servers get no new requests, and servers that have just started are not overloaded.
#[derive(Debug, Parser)]
#[command(
    version,
    arg_required_else_help = true,
    after_help = "\
Files:
  The operator's file is TOML. `corkhollow reference` lists its keys, `corkhollow check` reports its errors.

Signals of a running process:
  SIGHUP   reloads the file; a file with an error is rejected as a whole
  SIGTERM  finishes the current requests, then exits"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs the gateway with an operator's file, or with the platform's file that GW_CONFIG names
    Run(RunArgs),
    /// Validates an operator's file and prints every error with its position
    Check(CheckArgs),
    /// Prints how a request would be routed, and why
    Explain(ExplainArgs),
    /// Runs the gateway in front of a few simulated servers and shows a live table; needs no file and no network
    Demo(DemoArgs),
    /// Prints the fleet as running nodes see it
    Fleet(FleetArgs),
    /// Prints all keys of the operator's file as Markdown
    Reference,
}

#[derive(Debug, Args)]
pub struct RunArgs {
    /// The operator's file; without it, the platform's file is read from the path in GW_CONFIG
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Overrides the operator's address of the file, for a process that runs beside its predecessor
    #[arg(long, value_name = "ADDRESS")]
    pub operator: Option<SocketAddr>,
    /// Exits as soon as standard input ends, which happens when the parent process exits
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
    /// The request: a method (default: GET) and a URL, such as 'GET http://example.org/a?b=c'
    #[arg(value_name = "REQUEST")]
    pub request: String,
    /// A header of the request, as 'name: value'; may be repeated
    #[arg(short = 'H', long = "header", value_name = "HEADER")]
    pub headers: Vec<String>,
    /// The name of the listener; without it, the listener with the URL's port, or else the first
    #[arg(long, value_name = "NAME")]
    pub listener: Option<String>,
}

#[derive(Debug, Args)]
pub struct FleetArgs {
    /// The operator's address of a node; may be repeated to compare the views of several nodes
    #[arg(long, value_name = "ADDRESS", required = true)]
    pub operator: Vec<SocketAddr>,
}

#[derive(Debug, Args)]
pub struct DemoArgs {
    /// The port on 127.0.0.1; 0 selects a free one
    #[arg(long, default_value_t = 0)]
    pub port: u16,
    /// Ends after this many seconds; without it, on Ctrl-C or SIGTERM
    #[arg(long)]
    pub seconds: Option<u64>,
    /// The seed of the clients' random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
