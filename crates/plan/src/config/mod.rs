//! The operator's file: TOML in, a [`Plan`] or every fault out. Nothing here opens a file.

mod compile;
pub mod model;
pub mod reference;
mod routes;
pub mod schema;
pub mod validator;
pub mod values;

use crate::plan::{Plan, Server};
use crate::version::Version;
use serde::de::DeserializeOwned;
use std::path::Path;
use toml::de::DeTable;
use toml::Spanned;
pub use validator::{Diagnostic, Severity};

/// A plan with what should be said of its file all the same.
#[derive(Debug)]
pub struct CheckedConfig {
    /// What the program does.
    pub plan: Plan,
    /// The file as it was read.
    pub file: model::ConfigFile,
    /// Warnings only.
    pub warnings: Vec<Diagnostic>,
}

/// Reads an operator's file. Files that it names are looked for in `folder`.
///
/// # Errors
/// Every fault that was found, by its place in the file; at least one of them is an error.
pub fn parse_config(text: &str, folder: &Path) -> Result<CheckedConfig, Vec<Diagnostic>> {
    let (mut validator, document) = validator::Validator::read(text, &schema::CONFIG);
    let built = parse::<model::ConfigFile>(document, &mut validator).and_then(|file| {
        let plan = compile::compile(&file, folder, Version::of(text.as_bytes()), &mut validator)?;
        Some((plan, file))
    });
    let failed = validator.has_errors();
    let mut faults = validator.diagnostics;
    faults.sort_by_key(|f| (f.line, f.column));
    match built {
        Some((plan, file)) if !failed => Ok(CheckedConfig { plan, file, warnings: faults }),
        _ => Err(faults),
    }
}

/// Reads a file that a pool watches. Zones are looked up among the plan's; a server without one stands in the program's own.
///
/// # Errors
/// Every fault that was found.
pub fn parse_server_list(text: &str, zone: u8, zones: &[String]) -> Result<Vec<Server>, Vec<Diagnostic>> {
    let (mut validator, document) = validator::Validator::read(text, &schema::SERVER_LIST);
    let servers = parse::<model::ServerList>(document, &mut validator)
        .map(|file| compile::servers(&file.servers, "servers", zone, zones, &mut validator));
    match servers {
        Some(servers) if !validator.has_errors() => Ok(servers),
        _ => Err(validator.diagnostics),
    }
}

fn parse<T: DeserializeOwned>(
    document: Spanned<DeTable<'_>>,
    validator: &mut validator::Validator<'_>,
) -> Option<T> {
    if validator.has_errors() {
        return None;
    }
    match T::deserialize(toml::Deserializer::from(document)) {
        Ok(value) => Some(value),
        // The schema lets through only what serde reads; should they differ, the operator hears of it all the same.
        Err(error) => {
            validator.error("", error.message().to_owned());
            None
        }
    }
}
