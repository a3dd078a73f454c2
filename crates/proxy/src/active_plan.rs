//! The plan in force with its running pools, and the change from one plan to the next.

use crate::background;
use crate::class_indexes::ClassIndexes;
use crate::upstream::{CommonSettings, Pool, PoolContext};
use corkhollow_balance::interface::SettingsError;
use corkhollow_engine::RequestKey;
use corkhollow_fleet::GroupPosition;
use corkhollow_operate::{ClassMetrics, Handover, PoolHandover};
use corkhollow_plan::change::{Change, PoolChange};
use corkhollow_plan::plan::Plan;
use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::sync::Arc;

/// A plan with more routes and tenants than this is dropped on a background thread, because dropping it would
/// delay requests.
const MAX_ENTRIES_DROPPED_INLINE: usize = 1_000;

/// A plan with its running pools. A request keeps to the plan that was active when its head arrived.
pub struct ActivePlan {
    /// The compiled configuration.
    pub plan: PlanHandle,
    /// The plan's pools, by their index in the plan.
    pub pools: Vec<Rc<Pool>>,
    /// For each pool, the index that its decision module has for each class of the plan.
    pub class_indexes: Vec<Rc<ClassIndexes>>,
    /// Metrics by the index of the class in the plan.
    pub class_metrics: Vec<ClassMetrics>,
}

/// A shared plan that is dropped on a background thread if it is large.
pub struct PlanHandle(Option<Arc<Plan>>);

impl PlanHandle {
    /// The plan for use by another thread.
    pub fn to_arc(&self) -> Option<Arc<Plan>> {
        self.0.clone()
    }
}

impl Deref for PlanHandle {
    type Target = Plan;

    fn deref(&self) -> &Plan {
        self.0.as_ref().expect("the plan is present until the handle is dropped")
    }
}

impl Drop for PlanHandle {
    fn drop(&mut self) {
        let is_large =
            |plan: &Arc<Plan>| plan.routes.routes().len() + plan.tenants.len() > MAX_ENTRIES_DROPPED_INLINE;
        if let Some(plan) = self.0.take().filter(is_large) {
            // If no thread can be spawned, the closure and with it the plan is dropped here.
            let _ = background::spawn(move || drop(plan));
        }
    }
}

/// A pool cannot be started or updated.
#[derive(Debug, thiserror::Error)]
#[error("pool {pool}: {error}")]
pub struct PoolError {
    /// The pool's name.
    pub pool: String,
    /// Why its settings are rejected.
    pub error: SettingsError,
}

impl ActivePlan {
    /// Starts a plan's pools. `group` is the node's position in its fleet, if it is a member of one.
    ///
    /// # Errors
    /// If a pool cannot be started.
    pub fn start(
        plan: Plan,
        shared: &PoolContext,
        seed: u64,
        group: Option<GroupPosition>,
    ) -> Result<Rc<Self>, PoolError> {
        let common = CommonSettings { quotas: plan.tenants.quotas().clone(), group };
        let pools = (0..plan.pools.len()).map(|index| start_pool(&plan, index, shared, seed, &common));
        let pools = pools.collect::<Result<Vec<_>, _>>()?;
        Ok(Self::from_pools(plan, shared, pools))
    }

    fn from_pools(plan: Plan, shared: &PoolContext, pools: Vec<(Rc<Pool>, Rc<ClassIndexes>)>) -> Rc<Self> {
        let class_metrics = plan.classes.iter().map(|class| shared.metrics.for_class(&class.name)).collect();
        let (pools, class_indexes) = pools.into_iter().unzip();
        Rc::new(ActivePlan { plan: PlanHandle(Some(Arc::new(plan))), pools, class_indexes, class_metrics })
    }

    /// Replaces the plan. Compatible pools are kept and updated, with their open requests and what they know
    /// of their servers; unchanged pools are not touched.
    ///
    /// # Errors
    /// If a pool cannot be started or updated; the old plan stays usable.
    pub fn reload(
        &self,
        plan: Plan,
        change: &Change,
        shared: &PoolContext,
        seed: u64,
        group: Option<GroupPosition>,
    ) -> Result<Rc<Self>, PoolError> {
        let common = CommonSettings { quotas: plan.tenants.quotas().clone(), group };
        let pool_error = |index: usize| {
            let pool: &corkhollow_plan::plan::Pool = &plan.pools[index];
            move |error| PoolError { pool: pool.name.clone(), error }
        };
        let mut started = Vec::new();
        for (index, pool) in change.pools.iter().enumerate() {
            match pool {
                PoolChange::Created => started.push(start_pool(&plan, index, shared, seed, &common)?),
                PoolChange::Reused { differences, .. } if differences.settings || change.quotas_changed => {
                    common.settings(&plan.pools[index]).validate().map_err(pool_error(index))?;
                }
                PoolChange::Reused { .. } => {}
            }
        }
        // All settings are validated: nothing below can fail.
        let mut started = started.into_iter();
        let mut pools = Vec::with_capacity(plan.pools.len());
        for (index, pool) in change.pools.iter().enumerate() {
            pools.push(match pool {
                PoolChange::Created => {
                    let (pool, class_indexes) = started.next().expect("it has been started");
                    pool.engine.reject_request_ids(self.request_ids_of_pool(&plan.pools[index].name));
                    (pool, class_indexes)
                }
                PoolChange::Reused { old_index, differences } => {
                    let (pool, class_indexes) = (&self.pools[*old_index], &self.class_indexes[*old_index]);
                    // The predecessor of a class is the old class with the same name.
                    let predecessors = || {
                        change
                            .old_class_indexes
                            .iter()
                            .map(|predecessor| Some(class_indexes[(*predecessor)?]))
                            .collect::<Vec<_>>()
                    };
                    let updated =
                        pool.update(&plan, index, *differences, change.quotas_changed, &common, predecessors);
                    let updated = updated.map_err(pool_error(index))?;
                    let class_indexes = updated.map_or_else(
                        || class_indexes.clone(),
                        |indexes| ClassIndexes::new(&pool.engine, indexes),
                    );
                    (pool.clone(), class_indexes)
                }
            });
        }
        Ok(Self::from_pools(plan, shared, pools))
    }

    /// The request ids that the pool of this name, if there is one, does not accept again.
    fn request_ids_of_pool(&self, name: &str) -> Vec<RequestKey> {
        let pool = self.plan.pools.iter().position(|pool| pool.name == name).map(|index| &self.pools[index]);
        pool.map(|pool| pool.engine.rejected_request_ids()).unwrap_or_default()
    }

    /// Servers in the lists of all pools, and how many of them are ejected.
    pub fn server_counts(&self) -> (usize, usize) {
        let counts = self.pools.iter().map(|pool| pool.engine.server_counts());
        counts.fold((0, 0), |sum, (listed, ejected)| (sum.0 + listed, sum.1 + ejected))
    }

    /// Exports what the pools know of their servers, for the successor of this process. `drains` says whether
    /// the node is being drained.
    pub fn handover(&self, drains: bool) -> Handover {
        let pool_handover = |(index, pool): (usize, &Rc<Pool>)| PoolHandover {
            name: self.plan.pools[index].name.clone(),
            classes: self.plan.classes.iter().map(|class| class.name.clone()).collect(),
            knowledge: pool.engine.export_knowledge(&self.class_indexes[index]),
        };
        Handover { drains, fleet: None, pools: self.pools.iter().enumerate().map(pool_handover).collect() }
    }

    /// Imports the knowledge of another process's pools into those of the same names, and returns how many
    /// servers it covers.
    pub fn import_knowledge(&self, handover: &Handover) -> usize {
        let mut imported_servers = 0;
        for (index, pool) in self.pools.iter().enumerate() {
            let (config, class_indexes) = (&self.plan.pools[index], &self.class_indexes[index]);
            let Some(exported) = handover.pools.iter().find(|p| p.name == config.name) else { continue };
            let classes = &self.plan.classes;
            let successor = |name: &String| {
                classes.iter().position(|class| class.name == *name).map(|index| class_indexes[index])
            };
            let successors: Vec<_> = exported.classes.iter().map(successor).collect();
            imported_servers += pool.engine.import_knowledge(&exported.knowledge, &successors).unwrap_or(0);
        }
        imported_servers
    }

    /// Sets the node's position in its fleet in all pools, which keep what they know. Yields between the
    /// pools, so that requests are not delayed; pools are independent of each other.
    ///
    /// # Errors
    /// If a pool rejects the position; the pools before it have adopted it.
    pub async fn set_group_position(&self, group: GroupPosition) -> Result<(), PoolError> {
        for (index, pool) in self.pools.iter().enumerate() {
            let updated = pool.engine.set_group_position(group.ordinal, group.size.max(group.ordinal + 1));
            updated.map_err(|error| PoolError { pool: self.plan.pools[index].name.clone(), error })?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Whether all pools have a server list.
    pub fn is_ready(&self) -> bool {
        self.pools.iter().all(|pool| *pool.ready.borrow())
    }
}

/// Starts a pool of a plan, with its own seed unless the plan sets one. Its decision module has the classes in
/// the order of the plan.
fn start_pool(
    plan: &Plan,
    index: usize,
    shared: &PoolContext,
    seed: u64,
    common: &CommonSettings,
) -> Result<(Rc<Pool>, Rc<ClassIndexes>), PoolError> {
    let name = &plan.pools[index].name;
    let pool_seed = seed ^ corkhollow_plan::stable_hash(name.as_bytes());
    let started =
        Pool::start(plan, index, shared, if plan.seed.is_some() { seed } else { pool_seed }, common);
    let pool = started.map_err(|error| PoolError { pool: name.clone(), error })?;
    let class_indexes = ClassIndexes::new(&pool.engine, (0..plan.classes.len() as u16).collect());
    Ok((pool, class_indexes))
}

/// The active plan, replaced at each reload.
pub struct CurrentPlan(RefCell<Rc<ActivePlan>>);

impl CurrentPlan {
    /// Starts with the given plan.
    pub fn new(active_plan: Rc<ActivePlan>) -> Rc<Self> {
        Rc::new(CurrentPlan(RefCell::new(active_plan)))
    }

    /// The plan that is active now.
    pub fn get(&self) -> Rc<ActivePlan> {
        self.0.borrow().clone()
    }

    /// Replaces the active plan.
    pub fn set(&self, active_plan: Rc<ActivePlan>) {
        self.0.replace(active_plan);
    }
}
