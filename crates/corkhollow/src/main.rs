//! A load-balancing gateway for HTTP.

mod cli;
mod commands;
mod request_id_log;
mod succession;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = cli::Cli::parse();
    let result = match cli.command {
        cli::Command::Run(args) => commands::run::run(args),
        cli::Command::Check(args) => commands::check::check(&args),
        cli::Command::Explain(args) => commands::explain::explain(&args),
        cli::Command::Demo(args) => commands::demo::demo(&args),
        cli::Command::Fleet(args) => commands::fleet::fleet(&args),
        cli::Command::Reference => commands::reference(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("corkhollow: {error}");
            ExitCode::FAILURE
        }
    }
}
