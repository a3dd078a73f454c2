//! `corkhollow check FILE`.

use super::{load, CommandError};
use crate::cli::CheckArgs;
use corkhollow_plan::config::parse_server_list;
use corkhollow_plan::plan::{Fleet, Source};
use std::io::Write;

/// Validates an operator's file, and the server lists and the fleet key that it refers to.
pub fn check(args: &CheckArgs) -> Result<(), CommandError> {
    let plan = load(&args.file)?.plan;
    for pool in &plan.pools {
        let Source::Watch(path) = &pool.source else { continue };
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::ReadFile { path: path.clone(), error })?;
        if let Err(diagnostics) = parse_server_list(&text, plan.zone, &plan.zones) {
            super::print_diagnostics(path, &diagnostics);
            return Err(CommandError::InvalidFile { path: path.clone(), count: diagnostics.len() });
        }
    }
    if let Some(path) = plan.fleet.as_ref().and_then(|fleet| fleet.key_file.as_ref()) {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::ReadFile { path: path.clone(), error })?;
        Fleet::parse_key(&text)
            .map_err(|reason| CommandError::Message(format!("{}: {reason}", path.display())))?;
    }
    let (routes, pools) = (plan.routes.routes().len(), plan.pools.len());
    writeln!(
        std::io::stdout(),
        "{}: valid; listeners: {}, routes: {routes}, pools: {pools}, classes: {}",
        args.file.display(),
        plan.listeners.len(),
        plan.classes.len(),
    )?;
    Ok(())
}
