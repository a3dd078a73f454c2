//! `corkhollow check FILE`.

use super::{load, Failure};
use crate::cli::CheckArgs;
use corkhollow_plan::config::parse_server_list;
use corkhollow_plan::plan::{Fleet, Source};
use std::io::Write;

/// Checks the file and those that it names.
pub fn check(args: &CheckArgs) -> Result<(), Failure> {
    let plan = load(&args.file)?.plan;
    for pool in &plan.pools {
        let Source::Watch(path) = &pool.source else { continue };
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failure::Unreadable { path: path.clone(), error })?;
        if let Err(faults) = parse_server_list(&text, plan.zone, &plan.zones) {
            super::print(path, &faults);
            return Err(Failure::Faulty { path: path.clone(), count: faults.len() });
        }
    }
    if let Some(path) = plan.fleet.as_ref().and_then(|fleet| fleet.key_file.as_ref()) {
        let text = std::fs::read_to_string(path)
            .map_err(|error| Failure::Unreadable { path: path.clone(), error })?;
        Fleet::parse_key(&text).map_err(|why| Failure::Request(format!("{}: {why}", path.display())))?;
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
