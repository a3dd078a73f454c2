//! The operator's file: TOML in, a [`Plan`] or every fault out. Nothing here opens a file.

mod compile;
pub mod guide;
pub mod model;
pub mod reader;
mod routes;
pub mod schema;
pub mod values;

use crate::plan::{Plan, Server};
use crate::version::Version;
pub use reader::{Fault, Severity};
use serde::de::DeserializeOwned;
use std::path::Path;
use toml::de::DeTable;
use toml::Spanned;

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
    let (mut reader, document) = reader::Reader::read(text, &schema::FILE);
    let built = parse::<model::File>(document, &mut reader).and_then(|file| {
        let plan = compile::compile(&file, folder, Version::of(text.as_bytes()), &mut reader)?;
        Some((plan, file))
    });
    let failed = reader.failed();
    let mut faults = reader.faults;
    faults.sort_by_key(|f| (f.line, f.column));
    match built {
        Some((plan, file)) if !failed => Ok(Checked { plan, file, warnings: faults }),
        _ => Err(faults),
    }
}

/// Reads a file that a pool watches. Zones are looked up among the plan's; a server without one stands in the program's own.
///
/// # Errors
/// Every fault that was found.
pub fn read_servers(text: &str, zone: u8, zones: &[String]) -> Result<Vec<Server>, Vec<Fault>> {
    let (mut reader, document) = reader::Reader::read(text, &schema::SERVERS_FILE);
    let servers = parse::<model::ServersFile>(document, &mut reader)
        .map(|file| compile::servers(&file.servers, "servers", zone, zones, &mut reader));
    match servers {
        Some(servers) if !reader.failed() => Ok(servers),
        _ => Err(reader.faults),
    }
}

fn parse<T: DeserializeOwned>(document: Spanned<DeTable<'_>>, reader: &mut reader::Reader<'_>) -> Option<T> {
    if reader.failed() {
        return None;
    }
    match T::deserialize(toml::Deserializer::from(document)) {
        Ok(value) => Some(value),
        // The schema lets through only what serde reads; should they differ, the operator hears of it all the same.
        Err(error) => {
            reader.error("", error.message().to_owned());
            None
        }
    }
}
