//! The subcommands, one module each, and the errors and file reading that they share.

pub mod check;
pub mod demo;
pub mod explain;
pub mod fleet;
mod membership;
mod reload;
pub mod run;
mod takeover;

use corkhollow_plan::config::{self, CheckedConfig, Diagnostic};
use corkhollow_plan::stable_read;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    #[error("cannot read {}: {error}", path.display())]
    ReadFile { path: PathBuf, error: std::io::Error },
    /// The diagnostics have been printed already.
    #[error("{} has {count} {}", path.display(), if *count == 1 { "error" } else { "errors" })]
    InvalidFile { path: PathBuf, count: usize },
    #[error("{0}")]
    Message(String),
    #[error("{0}")]
    Start(#[from] run::StartError),
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads and validates an operator's file. Errors and warnings are printed to standard error, one per line.
pub fn load(path: &Path) -> Result<CheckedConfig, CommandError> {
    let read_error = |error| CommandError::ReadFile { path: path.to_owned(), error };
    let bytes = stable_read::read(path).map_err(read_error)?;
    let text = String::from_utf8(bytes)
        .map_err(|error| read_error(std::io::Error::new(std::io::ErrorKind::InvalidData, error)))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    match config::parse_config(&text, folder) {
        Ok(checked) => {
            print_diagnostics(path, &checked.warnings);
            Ok(checked)
        }
        Err(diagnostics) => {
            print_diagnostics(path, &diagnostics);
            let count = diagnostics.iter().filter(|d| d.severity == config::Severity::Error).count();
            Err(CommandError::InvalidFile { path: path.to_owned(), count })
        }
    }
}

fn print_diagnostics(path: &Path, diagnostics: &[Diagnostic]) {
    let mut stderr = std::io::stderr().lock();
    for diagnostic in diagnostics {
        // Nothing can report a failed write to standard error.
        let _ = writeln!(stderr, "{}:{diagnostic}", path.display());
    }
}

/// Runs `corkhollow reference`.
pub fn reference() -> Result<(), CommandError> {
    std::io::stdout().write_all(config::reference::render_markdown().as_bytes())?;
    Ok(())
}
