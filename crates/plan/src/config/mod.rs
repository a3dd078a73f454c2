//! The operator's configuration file: TOML text in, a [`Plan`] or all diagnostics out. Nothing here reads files.

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

/// A configuration without errors.
#[derive(Debug)]
pub struct CheckedConfig {
    /// The compiled configuration.
    pub plan: Plan,
    /// The deserialized file.
    pub file: model::ConfigFile,
    /// Diagnostics of severity [`Severity::Warning`] only.
    pub warnings: Vec<Diagnostic>,
}

/// Parses, checks and compiles a configuration file. Relative paths in it are resolved against `folder`.
///
/// # Errors
/// All diagnostics, sorted by position; at least one of them is an error.
pub fn parse_config(text: &str, folder: &Path) -> Result<CheckedConfig, Vec<Diagnostic>> {
    let (mut validator, document) = validator::Validator::validate(text, &schema::CONFIG);
    let compiled = deserialize::<model::ConfigFile>(document, &mut validator).and_then(|file| {
        let plan = compile::compile(&file, folder, Version::of(text.as_bytes()), &mut validator)?;
        Some((plan, file))
    });
    let has_errors = validator.has_errors();
    let mut diagnostics = validator.diagnostics;
    diagnostics.sort_by_key(|d| (d.line, d.column));
    match compiled {
        Some((plan, file)) if !has_errors => Ok(CheckedConfig { plan, file, warnings: diagnostics }),
        _ => Err(diagnostics),
    }
}

/// Parses the server list that a pool watches. Zone names are resolved to indexes into `zones`; a server without
/// a zone gets `zone`, the node's own.
///
/// # Errors
/// All diagnostics.
pub fn parse_server_list(text: &str, zone: u8, zones: &[String]) -> Result<Vec<Server>, Vec<Diagnostic>> {
    let (mut validator, document) = validator::Validator::validate(text, &schema::SERVER_LIST);
    let servers = deserialize::<model::ServerList>(document, &mut validator)
        .map(|list| compile::build_servers(&list.servers, "servers", zone, zones, &mut validator));
    match servers {
        Some(servers) if !validator.has_errors() => Ok(servers),
        _ => Err(validator.diagnostics),
    }
}

fn deserialize<T: DeserializeOwned>(
    document: Spanned<DeTable<'_>>,
    validator: &mut validator::Validator<'_>,
) -> Option<T> {
    if validator.has_errors() {
        return None;
    }
    match T::deserialize(toml::Deserializer::from(document)) {
        Ok(value) => Some(value),
        // Reached only if the schema accepts something that the serde model does not.
        Err(error) => {
            validator.error("", error.message().to_owned());
            None
        }
    }
}
