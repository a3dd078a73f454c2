//! What a plan becomes at work, and how one plan takes over from another.

use crate::background;
use crate::upstream::{CommonSettings, Pool, PoolContext};
use corkhollow_balance::interface::SettingsError;
use corkhollow_fleet::Group;
use corkhollow_operate::{ClassMetrics, Handover, PoolHandover};
use corkhollow_plan::change::{Change, PoolChange};
use corkhollow_plan::plan::Plan;
use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::sync::Arc;

/// A plan with more routes and tenants than this is dropped elsewhere: that would hold requests up.
const LARGE: usize = 1_000;

/// A plan with its pools. A request goes by the site that was in force when its head came, to its end.
pub struct ActivePlan {
    /// What is to be done.
    pub plan: PlanHandle,
    /// The plan's pools, by their index there.
    pub pools: Vec<Rc<Pool>>,
    /// By pool and by class of the plan, the place that the pool's decision module has for the class.
    pub class_indexes: Vec<Rc<[u16]>>,
    /// Where requests are counted, by their class in the plan.
    pub class_metrics: Vec<ClassMetrics>,
}

/// A site's plan.
pub struct PlanHandle(Option<Arc<Plan>>);

impl PlanHandle {
    /// A handle on the plan that another thread may have.
    pub fn share(&self) -> Option<Arc<Plan>> {
        self.0.clone()
    }
}

impl Deref for PlanHandle {
    type Target = Plan;

    fn deref(&self) -> &Plan {
        self.0.as_ref().expect("it is there until the site is dropped")
    }
}

impl Drop for PlanHandle {
    fn drop(&mut self) {
        let large = |plan: &Arc<Plan>| plan.routes.routes().len() + plan.tenants.len() > LARGE;
        if let Some(plan) = self.0.take().filter(large) {
            // Without a thread it is dropped here.
            let _ = background::spawn(move || drop(plan));
        }
    }
}

/// A pool that a plan names cannot be started.
#[derive(Debug, thiserror::Error)]
#[error("pool {pool}: {error}")]
pub struct PoolError {
    /// Its name.
    pub pool: String,
    /// Why.
    pub error: SettingsError,
}

impl ActivePlan {
    /// Starts a plan's pools. The node counts as one of a group, where it is told so.
    ///
    /// # Errors
    /// Where a pool cannot be started.
    pub fn start(
        plan: Plan,
        shared: &PoolContext,
        seed: u64,
        group: Option<Group>,
    ) -> Result<Rc<Self>, PoolError> {
        let terms = CommonSettings { quotas: plan.tenants.quotas().clone(), group };
        let pools = (0..plan.pools.len()).map(|at| start(&plan, at, shared, seed, &terms));
        let pools = pools.collect::<Result<Vec<_>, _>>()?;
        let places: Rc<[u16]> = (0..plan.classes.len() as u16).collect();
        Ok(Self::of(plan, shared, pools.into_iter().map(|pool| (pool, places.clone())).collect()))
    }

    fn of(plan: Plan, shared: &PoolContext, pools: Vec<(Rc<Pool>, Rc<[u16]>)>) -> Rc<Self> {
        let class_metrics = plan.classes.iter().map(|class| shared.metrics.for_class(&class.name)).collect();
        let (pools, class_indexes) = pools.into_iter().unzip();
        Rc::new(ActivePlan { plan: PlanHandle(Some(Arc::new(plan))), pools, class_indexes, class_metrics })
    }

    /// The site of a plan that follows this one's. Pools that fit go on, with what they have learnt and what is under way; those
    /// that are the same are not touched.
    ///
    /// # Errors
    /// Where a pool cannot be started or told; this site is as it was.
    pub fn reload(
        &self,
        plan: Plan,
        change: &Change,
        shared: &PoolContext,
        seed: u64,
        group: Option<Group>,
    ) -> Result<Rc<Self>, PoolError> {
        let terms = CommonSettings { quotas: plan.tenants.quotas().clone(), group };
        let fault = |at: usize| {
            let pool: &corkhollow_plan::plan::Pool = &plan.pools[at];
            move |error| PoolError { pool: pool.name.clone(), error }
        };
        let mut started = Vec::new();
        for (at, pool) in change.pools.iter().enumerate() {
            match pool {
                PoolChange::Created => started.push(start(&plan, at, shared, seed, &terms)?),
                PoolChange::Reused { differences, .. } if differences.settings || change.quotas_changed => {
                    terms.settings(&plan.pools[at]).validate().map_err(fault(at))?;
                }
                PoolChange::Reused { .. } => {}
            }
        }
        // Nothing can fail from here on: the settings are sound.
        let mut started = started.into_iter();
        let fresh: Rc<[u16]> = (0..plan.classes.len() as u16).collect();
        let mut pools = Vec::with_capacity(plan.pools.len());
        for (at, pool) in change.pools.iter().enumerate() {
            pools.push(match pool {
                PoolChange::Created => (started.next().expect("it has been started"), fresh.clone()),
                PoolChange::Reused { old_index, differences } => {
                    let (pool, places) = (&self.pools[*old_index], &self.class_indexes[*old_index]);
                    // A class's predecessor is the one of its name.
                    let predecessors =
                        || change.old_class_indexes.iter().map(|k| Some(places[(*k)?])).collect::<Vec<_>>();
                    let told =
                        pool.update(&plan, at, *differences, change.quotas_changed, &terms, predecessors);
                    let told = told.map_err(fault(at))?;
                    (pool.clone(), told.map_or_else(|| places.clone(), Rc::from))
                }
            });
        }
        Ok(Self::of(plan, shared, pools))
    }

    /// Servers in the lists of all pools, and how many of them are ejected.
    pub fn server_counts(&self) -> (usize, usize) {
        let counts = self.pools.iter().map(|p| p.engine.server_counts());
        counts.fold((0, 0), |sum, (listed, ejected)| (sum.0 + listed, sum.1 + ejected))
    }

    /// What the pools have learnt, for a process that takes this one's place, and whether the node is being emptied.
    pub fn handover(&self, drains: bool) -> Handover {
        let pool = |(at, pool): (usize, &Rc<Pool>)| PoolHandover {
            name: self.plan.pools[at].name.clone(),
            classes: self.plan.classes.iter().map(|class| class.name.clone()).collect(),
            knowledge: pool.engine.export_knowledge(&self.class_indexes[at]),
        };
        Handover { drains, fleet: None, pools: self.pools.iter().enumerate().map(pool).collect() }
    }

    /// Takes over what another process's pools have learnt, by their names; how many servers are known now.
    pub fn restore_knowledge(&self, handover: &Handover) -> usize {
        let mut known = 0;
        for (at, pool) in self.pools.iter().enumerate() {
            let (told, places) = (&self.plan.pools[at], &self.class_indexes[at]);
            let Some(from) = handover.pools.iter().find(|p| p.name == told.name) else { continue };
            let names = &self.plan.classes;
            let successor = |name: &String| names.iter().position(|c| c.name == *name).map(|at| places[at]);
            let successors: Vec<_> = from.classes.iter().map(successor).collect();
            known += pool.engine.import_knowledge(&from.knowledge, &successors).unwrap_or(0);
        }
        known
    }

    /// The node counts as one of so many in all pools from here on; what they have learnt stays. Pools are told one after another, and
    /// requests go on in between: what one pool counts is nothing to another.
    ///
    /// # Errors
    /// Where a pool turns that down; those before it go by it.
    pub async fn set_group(&self, group: Group) -> Result<(), PoolError> {
        for (at, pool) in self.pools.iter().enumerate() {
            let told = pool.engine.set_group_position(group.ordinal, group.size.max(group.ordinal + 1));
            told.map_err(|error| PoolError { pool: self.plan.pools[at].name.clone(), error })?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Whether all pools have been told who their servers are.
    pub fn is_ready(&self) -> bool {
        self.pools.iter().all(|p| *p.ready.borrow())
    }
}

/// Starts a pool of a plan, with a seed of its own where the plan has none.
fn start(
    plan: &Plan,
    at: usize,
    shared: &PoolContext,
    seed: u64,
    terms: &CommonSettings,
) -> Result<Rc<Pool>, PoolError> {
    let name = &plan.pools[at].name;
    let own = seed ^ corkhollow_plan::stable_hash(name.as_bytes());
    let started = Pool::start(plan, at, shared, if plan.seed.is_some() { seed } else { own }, terms);
    started.map_err(|error| PoolError { pool: name.clone(), error })
}

/// The site in force.
pub struct CurrentPlan(RefCell<Rc<ActivePlan>>);

impl CurrentPlan {
    /// Begins with a site.
    pub fn new(site: Rc<ActivePlan>) -> Rc<Self> {
        Rc::new(CurrentPlan(RefCell::new(site)))
    }

    /// The site in force now.
    pub fn get(&self) -> Rc<ActivePlan> {
        self.0.borrow().clone()
    }

    /// Puts another site in force.
    pub fn set(&self, site: Rc<ActivePlan>) {
        self.0.replace(site);
    }
}
