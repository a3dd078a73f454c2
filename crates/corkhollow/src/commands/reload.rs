//! SIGHUP: a whole new file takes over between two requests, or none of it. It is read, checked, compiled and compared on a thread
//! of its own; the thread that serves only puts it in force.

use super::membership;
use super::run::{Listeners, StartError};
use super::{load, CommandError};
use corkhollow_engine::log;
use corkhollow_fleet::Config as FleetConfig;
use corkhollow_fleet::Group;
use corkhollow_operate::Metrics;
use corkhollow_plan::change::Change;
use corkhollow_plan::plan::{Plan, Source};
use corkhollow_plan::platform::{Config, Shape};
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

/// Where the plan comes from, now and at each reload.
#[derive(Clone)]
pub enum Told {
    /// An operator's file, and the operator's address where the command line gives another one.
    File(PathBuf, Option<SocketAddr>),
    /// The platform's file; what it held when it was last taken.
    Platform(Box<Shape>),
}

/// A file that can be put in force.
struct Compiled {
    plan: Plan,
    change: Change,
    /// What the fleet's node is told.
    fleet: Option<FleetConfig>,
    /// What the platform's file held.
    shape: Option<Box<Shape>>,
    /// How long it took to read and check the file, and to compare its plan with the one in force.
    read: Duration,
    compared: Duration,
}

/// Reads an operator's file, on a thread of its own as later ones are: what is read into memory for that, many times the file, lies
/// apart from what the program holds for longer, and is given back with the plan.
pub fn first(path: &Path, operator: Option<SocketAddr>) -> Result<Plan, CommandError> {
    std::thread::scope(|scope| {
        scope.spawn(|| read(path, operator)).join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    })
}

fn read(path: &Path, operator: Option<SocketAddr>) -> Result<Plan, CommandError> {
    let plan = load(path)?.plan;
    Ok(Plan { operator: operator.or(plan.operator), ..plan })
}

fn compile(told: &Told, old: &Plan) -> Result<Compiled, CommandError> {
    let begun = Instant::now();
    let (plan, shape) = match told {
        Told::File(path, operator) => (read(path, *operator)?, None),
        Told::Platform(shape) => {
            let config = Config::reload(shape).map_err(StartError::from)?;
            (config.plan_beside(old).map_err(StartError::from)?, Some(Box::new(config.shape)))
        }
    };
    let fleet = membership::reloaded(old, &plan)?;
    let read = begun.elapsed();
    let begun = Instant::now();
    let (plan, change) = plan.follow(old);
    Ok(Compiled { plan, change, fleet, shape, read, compared: begun.elapsed() })
}

/// Files that are on their way.
pub struct Reloads {
    told: Told,
    running: Option<Task<Result<Compiled, CommandError>>>,
    /// Another SIGHUP has come: the file may be newer than what is being compiled.
    again: bool,
    /// What was compiled last was passed over for that. The next one is put in force, or one file after another would keep all out.
    passed_over: bool,
}

/// All that a file is put in force on.
pub struct Target<'t> {
    pub current: &'t CurrentPlan,
    pub listeners: &'t mut Listeners,
    pub clients: &'t Rc<ClientConnections>,
    pub shared: &'t PoolContext,
    pub seed: u64,
    pub place: &'t FleetCell,
    /// What the node counts as in its fleet.
    pub group: Option<Group>,
}

impl Reloads {
    /// None is on its way.
    pub fn new(told: Told) -> Self {
        Reloads { told, running: None, again: false, passed_over: false }
    }

    /// SIGHUP has come.
    pub fn begin(&mut self, current: &CurrentPlan, metrics: &Metrics) {
        if self.running.is_some() {
            self.again = true;
            return;
        }
        let Some(old) = current.get().plan.share() else { return };
        let told = self.told.clone();
        match background::spawn(move || compile(&told, &old)) {
            Ok(running) => self.running = Some(running),
            Err(why) => turn_down(metrics, &why),
        }
    }

    /// Waits for a file that is to be put in force, or is turned down. May be broken off and called again.
    pub async fn compiled(&mut self) -> Ready {
        let Some(running) = &mut self.running else { return pending().await };
        let compiled = running.join().await;
        self.running = None;
        let newer = std::mem::take(&mut self.again);
        self.passed_over = newer && !self.passed_over;
        let ready = match compiled {
            Ok(Ok(compiled)) => Ok(Box::new(compiled)),
            Ok(Err(why)) => Err(why.to_string()),
            Err(panic) => {
                Err(format!("the file cannot be compiled, which is a fault of this program: {panic}"))
            }
        };
        Ready { compiled: (!self.passed_over).then_some(ready), newer }
    }

    /// Puts in force what has been compiled, unless it is passed over; begins with what is newer.
    pub fn finish(&mut self, ready: Ready, mut target: Target<'_>, metrics: &Metrics) {
        match ready
            .compiled
            .map(|compiled| compiled.and_then(|c| self.put(*c, &mut target).map_err(|e| e.to_string())))
        {
            None => {}
            Some(Ok(())) => metrics.reloads_applied.inc(),
            Some(Err(why)) => turn_down(metrics, &why),
        }
        if ready.newer {
            self.begin(target.current, metrics);
        }
    }

    fn put(&mut self, compiled: Compiled, target: &mut Target<'_>) -> Result<(), StartError> {
        let Compiled { plan, change, fleet, shape, read, compared } = compiled;
        let begun = Instant::now();
        let old = target.current.get();
        let bound = target.listeners.bind(&plan)?;
        let site = old.reload(plan, &change, target.shared, target.seed, target.group)?;
        let (now, then) = (&site.plan.limits, &old.plan.limits);
        if (now.descriptors, now.memory) != (then.descriptors, then.memory) {
            log(format_args!("`limits.descriptors` and `limits.memory` change with a restart only"));
        }
        if site.plan.operator != old.plan.operator {
            log(format_args!("the operator's address changes with a restart only"));
        }
        target.current.set(site.clone());
        if let (Some(node), Some(told)) = (target.place.get(), fleet) {
            node.reconfigure(told);
        }
        if let (Told::Platform(old), Some(new)) = (&mut self.told, shape) {
            *old = new;
        }
        target.listeners.start(&site.plan, bound, target.clients)?;
        let swapped = begun.elapsed();
        let times = [read, compared, swapped];
        tell(&site, &change, times);
        let told = (times.map(|time| time.as_secs_f64()), change.touched());
        target.shared.metrics.set_active_config(&change.to.to_string(), Some(told));
        Ok(())
    }
}

/// A file that has been compiled, or has failed to be.
pub struct Ready {
    /// None where it is passed over for a newer one.
    compiled: Option<Result<Box<Compiled>, String>>,
    /// There is a newer one.
    newer: bool,
}

fn turn_down(metrics: &Metrics, why: &dyn std::fmt::Display) {
    metrics.reloads_rejected.inc();
    log(format_args!("not reloaded: {why}"));
}

fn tell(site: &ActivePlan, change: &Change, times: [Duration; 3]) {
    let plan = &site.plan;
    for pool in &plan.pools {
        if let Source::Discovery(from) = &pool.source {
            log(format_args!("reloaded: discovery at {}", from.address));
        }
    }
    let (listeners, routes, pools) = (plan.listeners.len(), plan.routes.routes().len(), plan.pools.len());
    let [read, compared, swapped] = times.map(|time| time.as_secs_f64() * 1e3);
    log(format_args!(
        "reloaded: listeners: {listeners}, routes: {routes}, pools: {pools}; version {} in place of {}; {change}; \
         pools touched: {}; read and checked in {read:.1} ms, compared in {compared:.1} ms, in force in {swapped:.1} ms",
        change.to,
        change.from,
        change.touched(),
    ));
}
