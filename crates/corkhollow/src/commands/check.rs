//! `corkhollow check FILE`.

use super::{load, CommandError};
use crate::cli::CheckArgs;
use corkhollow_plan::config::parse_server_list;
use corkhollow_plan::plan::{Fleet, Source};
use std::io::Write;

/// Checks the file and those that it names.
pub fn check(args: &CheckArgs) -> Result<(), CommandError> {
    let plan = load(&args.file)?.plan;
    for pool in &plan.pools {
        let Source::Watch(path) = &pool.source else { continue };
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::ReadFile { path: path.clone(), error })?;
        if let Err(faults) = parse_server_list(&text, plan.zone, &plan.zones) {
            super::print_diagnostics(path, &faults);
            return Err(CommandError::InvalidFile { path: path.clone(), count: faults.len() });
        }
    }
    if let Some(path) = plan.fleet.as_ref().and_then(|fleet| fleet.key_file.as_ref()) {
        let text = std::fs::read_to_string(path)
            .map_err(|error| CommandError::ReadFile { path: path.clone(), error })?;
        Fleet::key(&text).map_err(|why| CommandError::Message(format!("{}: {why}", path.display())))?;
    }
    let (routes, pools) = (plan.routes.routes().len(), plan.pools.len());
    writeln!(
        std::io::stdout(),
        "{}: sound; listeners: {}, routes: {routes}, pools: {pools}, classes: {}",
        args.file.display(),
        plan.listeners.len(),
        plan.classes.len(),
    )?;
    Ok(())
}
