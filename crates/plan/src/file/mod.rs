//! The operator's file: TOML in, a [`Plan`] or every fault out. Nothing here opens a file.

mod compile;
pub mod guide;
pub mod model;
pub mod reader;
pub mod schema;
pub mod values;

use crate::plan::{Plan, Server};
pub use reader::{Fault, Severity};
use std::path::Path;

/// A plan with what should be said of its file all the same.
#[derive(Debug)]
pub struct Checked {
    /// What the program does.
    pub plan: Plan,
    /// The file as it was read.
    pub file: model::File,
    /// Warnings only.
    pub warnings: Vec<Fault>,
}

/// Reads an operator's file. Files that it names are looked for in `folder`.
///
/// # Errors
/// Every fault that was found, by its place in the file; at least one of them is an error.
pub fn read(text: &str, folder: &Path) -> Result<Checked, Vec<Fault>> {
    let mut reader = reader::Reader::read(text, &schema::FILE);
    let built = parse::<model::File>(text, &mut reader)
        .and_then(|file| compile::compile(&file, folder, &mut reader).map(|plan| (plan, file)));
    let failed = reader.failed();
    let mut faults = reader.faults;
    faults.sort_by_key(|f| (f.line, f.column));
    match built {
        Some((plan, file)) if !failed => Ok(Checked { plan, file, warnings: faults }),
        _ => Err(faults),
    }
}

/// Reads a file that a pool watches; zones are looked up among the plan's.
///
/// # Errors
/// Every fault that was found.
pub fn read_servers(text: &str, plan: &Plan) -> Result<Vec<Server>, Vec<Fault>> {
    let mut reader = reader::Reader::read(text, &schema::SERVERS_FILE);
    let servers = parse::<model::ServersFile>(text, &mut reader)
        .map(|file| compile::servers(&file.servers, "servers", plan.zone, &plan.zones, &mut reader));
    match servers {
        Some(servers) if !reader.failed() => Ok(servers),
        _ => Err(reader.faults),
    }
}

fn parse<T: serde::de::DeserializeOwned>(text: &str, reader: &mut reader::Reader<'_>) -> Option<T> {
    if reader.failed() {
        return None;
    }
    match toml::from_str(text) {
        Ok(value) => Some(value),
        // The schema lets through only what serde reads; should they differ, the operator hears of it all the same.
        Err(error) => {
            reader.error("", error.message().to_owned());
            None
        }
    }
}
