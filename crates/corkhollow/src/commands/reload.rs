//! Reload on SIGHUP. A new file is read, validated, compiled and compared with the current plan on a
//! background thread; the serving thread only activates it, as a whole or not at all.

use super::membership;
use super::run::{Listeners, StartError};
use super::{load, CommandError};
use corkhollow_engine::log;
use corkhollow_fleet::Config as FleetConfig;
use corkhollow_fleet::GroupPosition;
use corkhollow_operate::Metrics;
use corkhollow_plan::change::Change;
use corkhollow_plan::plan::{Plan, Source};
use corkhollow_plan::platform::{Config, RawConfig};
use corkhollow_proxy::active_plan::{ActivePlan, CurrentPlan};
use corkhollow_proxy::background::{self, Task};
use corkhollow_proxy::fleet::FleetCell;
use corkhollow_proxy::http1::ClientConnections;
use corkhollow_proxy::upstream::PoolContext;
use std::future::pending;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Where the plan is read from, at the start and at each reload.
#[derive(Clone)]
pub enum ConfigSource {
    /// An operator's file, and the operator address of the command line, which overrides that of the file.
    File(PathBuf, Option<SocketAddr>),
    /// The platform's file, with its content when it was last activated.
    Platform(Box<RawConfig>),
}

/// A plan that is ready to be activated.
struct CompiledPlan {
    plan: Plan,
    change: Change,
    /// The new configuration of the fleet member.
    fleet: Option<FleetConfig>,
    /// The new content of the platform's file.
    raw: Option<Box<RawConfig>>,
    /// How long it took to read and validate the file.
    read_time: Duration,
    /// How long it took to compare the plan with the current one.
    compare_time: Duration,
}

/// Reads an operator's file on a separate thread, as reloads do. Parsing allocates many times the file's
/// size; from another thread, that memory is kept apart from long-lived allocations and can be returned to
/// the system with the plan.
pub fn load_first_plan(path: &Path, operator: Option<SocketAddr>) -> Result<Plan, CommandError> {
    std::thread::scope(|scope| {
        scope
            .spawn(|| load_plan(path, operator))
            .join()
            .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

fn load_plan(path: &Path, operator: Option<SocketAddr>) -> Result<Plan, CommandError> {
    let plan = load(path)?.plan;
    Ok(Plan { operator: operator.or(plan.operator), ..plan })
}

fn compile(source: &ConfigSource, old: &Plan) -> Result<CompiledPlan, CommandError> {
    let started_at = Instant::now();
    let (plan, raw) = match source {
        ConfigSource::File(path, operator) => (load_plan(path, *operator)?, None),
        ConfigSource::Platform(raw) => {
            let config = Config::reload(raw).map_err(StartError::from)?;
            (config.plan_replacing(old).map_err(StartError::from)?, Some(Box::new(config.raw)))
        }
    };
    let fleet = membership::reloaded_config(old, &plan)?;
    let read_time = started_at.elapsed();
    let started_at = Instant::now();
    let (plan, change) = plan.rebase_on(old);
    Ok(CompiledPlan { plan, change, fleet, raw, read_time, compare_time: started_at.elapsed() })
}

/// Compiles plans in the background, one at a time, and activates them.
pub struct Reloader {
    source: ConfigSource,
    running: Option<Task<Result<CompiledPlan, CommandError>>>,
    /// SIGHUP was received during the compilation: the file may have changed since it was read.
    has_newer: bool,
    /// The last compiled plan was discarded in favour of a newer file. The next one is activated in any case,
    /// so that frequent signals cannot postpone a reload forever.
    discarded_last: bool,
}

/// What a plan is activated on.
pub struct ReloadTarget<'t> {
    pub current_plan: &'t CurrentPlan,
    pub listeners: &'t mut Listeners,
    pub clients: &'t Rc<ClientConnections>,
    pub context: &'t PoolContext,
    pub seed: u64,
    pub fleet: &'t FleetCell,
    /// The node's position in its fleet.
    pub group: Option<GroupPosition>,
}

impl Reloader {
    pub fn new(source: ConfigSource) -> Self {
        Reloader { source, running: None, has_newer: false, discarded_last: false }
    }

    /// Starts a reload, or requests another one if one is running.
    pub fn start(&mut self, current_plan: &CurrentPlan, metrics: &Metrics) {
        if self.running.is_some() {
            self.has_newer = true;
            return;
        }
        let Some(old) = current_plan.get().plan.to_arc() else { return };
        let source = self.source.clone();
        match background::spawn(move || compile(&source, &old)) {
            Ok(running) => self.running = Some(running),
            Err(error) => reject(metrics, &error),
        }
    }

    /// Waits for the running compilation, forever if there is none. Cancel safe.
    pub async fn wait_compiled(&mut self) -> CompileResult {
        let Some(running) = &mut self.running else { return pending().await };
        let compiled = running.join().await;
        self.running = None;
        let has_newer = std::mem::take(&mut self.has_newer);
        self.discarded_last = has_newer && !self.discarded_last;
        let result = match compiled {
            Ok(Ok(compiled)) => Ok(Box::new(compiled)),
            Ok(Err(error)) => Err(error.to_string()),
            Err(panic) => Err(format!("internal error: compiling the file panicked: {panic}")),
        };
        CompileResult { compiled: (!self.discarded_last).then_some(result), has_newer }
    }

    /// Activates a compiled plan, unless it was discarded, and starts another reload if there may be a newer
    /// file.
    pub fn finish(&mut self, result: CompileResult, mut target: ReloadTarget<'_>, metrics: &Metrics) {
        match result
            .compiled
            .map(|compiled| compiled.and_then(|c| self.activate(*c, &mut target).map_err(|e| e.to_string())))
        {
            None => {}
            Some(Ok(())) => metrics.reloads_applied.inc(),
            Some(Err(error)) => reject(metrics, &error),
        }
        if result.has_newer {
            self.start(target.current_plan, metrics);
        }
    }

    fn activate(&mut self, compiled: CompiledPlan, target: &mut ReloadTarget<'_>) -> Result<(), StartError> {
        let CompiledPlan { plan, change, fleet, raw, read_time, compare_time } = compiled;
        let started_at = Instant::now();
        let old = target.current_plan.get();
        let bound = target.listeners.bind(&plan)?;
        let new = old.reload(plan, &change, target.context, target.seed, target.group)?;
        let (new_limits, old_limits) = (&new.plan.limits, &old.plan.limits);
        if (new_limits.descriptors, new_limits.memory_bytes)
            != (old_limits.descriptors, old_limits.memory_bytes)
        {
            log(format_args!(
                "changes of `limits.descriptors` and `limits.memory` take effect only after a restart"
            ));
        }
        if new.plan.operator != old.plan.operator {
            log(format_args!("a change of the operator's address takes effect only after a restart"));
        }
        target.current_plan.set(new.clone());
        if let (Some(member), Some(config)) = (target.fleet.get(), fleet) {
            member.reconfigure(config);
        }
        if let (ConfigSource::Platform(old_raw), Some(raw)) = (&mut self.source, raw) {
            *old_raw = raw;
        }
        target.listeners.start(&new.plan, bound, target.clients)?;
        let activate_time = started_at.elapsed();
        let times = [read_time, compare_time, activate_time];
        log_reload(&new, &change, times);
        let reload = (times.map(|time| time.as_secs_f64()), change.changed_pools());
        target.context.metrics.set_active_config(&change.to.to_string(), Some(reload));
        Ok(())
    }
}

/// The outcome of a compilation.
pub struct CompileResult {
    /// None if the plan was discarded in favour of a newer file.
    compiled: Option<Result<Box<CompiledPlan>, String>>,
    has_newer: bool,
}

fn reject(metrics: &Metrics, reason: &dyn std::fmt::Display) {
    metrics.reloads_rejected.inc();
    log(format_args!("not reloaded: {reason}"));
}

fn log_reload(active_plan: &ActivePlan, change: &Change, times: [Duration; 3]) {
    let plan = &active_plan.plan;
    for pool in &plan.pools {
        if let Source::Discovery(discovery) = &pool.source {
            log(format_args!("reloaded: discovery at {}", discovery.address));
        }
    }
    let (listeners, routes, pools) = (plan.listeners.len(), plan.routes.routes().len(), plan.pools.len());
    let [read_ms, compare_ms, activate_ms] = times.map(|time| time.as_secs_f64() * 1e3);
    log(format_args!(
        "reloaded: listeners: {listeners}, routes: {routes}, pools: {pools}; version {} in place of {}; {change}; \
         pools touched: {}; read and checked in {read_ms:.1} ms, compared in {compare_ms:.1} ms, in force in {activate_ms:.1} ms",
        change.to,
        change.from,
        change.changed_pools(),
    ));
}
