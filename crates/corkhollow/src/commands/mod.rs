//! One file per command.

pub mod check;
pub mod demo;
pub mod explain;
pub mod fleet;
mod membership;
mod reload;
pub mod run;

use corkhollow_plan::config::{self, CheckedConfig, Diagnostic};
use corkhollow_plan::stable_read;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Why a command has failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("cannot read {}: {error}", path.display())]
    Unreadable { path: PathBuf, error: std::io::Error },
    #[error("{} has {count} {}", path.display(), if *count == 1 { "error" } else { "errors" })]
    Faulty { path: PathBuf, count: usize },
    #[error("{0}")]
    Request(String),
    #[error("{0}")]
    Run(#[from] run::StartError),
    #[error("cannot write: {0}")]
    Output(#[from] std::io::Error),
}

/// Reads an operator's file. What is wrong with it is printed, one line a fault.
pub fn load(path: &Path) -> Result<CheckedConfig, Failure> {
    let unreadable = |error| Failure::Unreadable { path: path.to_owned(), error };
    let bytes = stable_read::read(path).map_err(unreadable)?;
    let text = String::from_utf8(bytes)
        .map_err(|error| unreadable(std::io::Error::new(std::io::ErrorKind::InvalidData, error)))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    match config::parse_config(&text, folder) {
        Ok(checked) => {
            print(path, &checked.warnings);
            Ok(checked)
        }
        Err(faults) => {
            print(path, &faults);
            let count = faults.iter().filter(|f| f.severity == config::Severity::Error).count();
            Err(Failure::Faulty { path: path.to_owned(), count })
        }
    }
}

fn print(path: &Path, faults: &[Diagnostic]) {
    let mut out = std::io::stderr().lock();
    for fault in faults {
        // Without standard error there is nobody to tell.
        let _ = writeln!(out, "{}:{fault}", path.display());
    }
}

/// `corkhollow reference`.
pub fn reference() -> Result<(), Failure> {
    std::io::stdout().write_all(config::reference::render_markdown().as_bytes())?;
    Ok(())
}
