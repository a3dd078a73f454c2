//! What a plan becomes at work, and how one plan takes over from another.

use crate::upstream::{Pool, Shared};
use corkhollow_balance::interface::{Heirs, Settings, SettingsError};
use corkhollow_operate::{ClassFigures, Handover, PoolHandover};
use corkhollow_plan::plan::Plan;
use std::cell::RefCell;
use std::rc::Rc;

/// A plan with its pools. A request goes by the site that was in force when its head came, to its end.
pub struct Site {
    /// What is to be done.
    pub plan: Plan,
    /// The plan's pools, by their index there.
    pub pools: Vec<Rc<Pool>>,
    /// By pool and by class of the plan, the place that the pool's decision module has for the class.
    pub places: Vec<Vec<u16>>,
    /// Where requests are counted, by their class in the plan.
    pub figures: Vec<ClassFigures>,
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

impl Site {
    /// Starts a plan's pools. Those of the old site that fit go on, with what they have learnt and what is under way.
    ///
    /// # Errors
    /// Where a pool cannot be started; the old site is as it was.
    pub fn start(plan: Plan, old: Option<&Site>, shared: &Shared, seed: u64) -> Result<Rc<Self>, PoolError> {
        let mut pools = Vec::with_capacity(plan.pools.len());
        let mut kept = Vec::new();
        for (at, told) in plan.pools.iter().enumerate() {
            let former = old.and_then(|site| {
                let place = site.plan.pools.iter().position(|p| p.name == told.name)?;
                Some(&site.pools[place]).filter(|pool| pool.fits(&plan, at))
            });
            if let Some(pool) = former {
                kept.push((at, pool.clone()));
                pools.push(pool.clone());
            } else {
                let own = seed ^ corkhollow_plan::mix(told.name.as_bytes());
                let started = Pool::start(&plan, at, shared, if plan.seed.is_some() { seed } else { own });
                pools.push(started.map_err(|error| PoolError { pool: told.name.clone(), error })?);
            }
        }
        // A new pool has its classes in the plan's order.
        let mut places: Vec<Vec<u16>> = vec![(0..plan.classes.len() as u16).collect(); pools.len()];
        for pool in &plan.pools {
            pool.settings.validate().map_err(|error| PoolError { pool: pool.name.clone(), error })?;
        }
        // Nothing can fail from here on: the settings are sound.
        for (at, pool) in kept {
            let name = &plan.pools[at].name;
            let (classes, tenants) = old.map(|old| old.heirs(&plan, name)).unwrap_or_default();
            let heirs = Heirs { classes: &classes, tenants: &tenants };
            places[at] =
                pool.go_on(&plan, at, &heirs).map_err(|error| PoolError { pool: name.clone(), error })?;
        }
        let figures = plan.classes.iter().map(|class| shared.figures.class(&class.name)).collect();
        Ok(Rc::new(Site { plan, pools, places, figures }))
    }

    /// By class of another plan, the place that a pool of this site has for the class of that name; by tenant, the
    /// index of that name.
    fn heirs(&self, plan: &Plan, pool: &str) -> (Vec<Option<u16>>, Vec<Option<usize>>) {
        let places = self.plan.pools.iter().position(|p| p.name == pool).map(|at| &self.places[at]);
        let place = |name: &str| {
            let at = self.plan.classes.iter().position(|c| c.name == name)?;
            places?.get(at).copied()
        };
        let tenant = |name: &String| self.plan.tenants.shares.iter().position(|(n, _)| n == name);
        let tenants = plan.tenants.shares.iter().map(|(name, _)| tenant(name)).collect();
        (plan.classes.iter().map(|class| place(&class.name)).collect(), tenants)
    }

    /// Servers in the lists of all pools, and how many of them are ejected.
    pub fn census(&self) -> (usize, usize) {
        let counts = self.pools.iter().map(|p| p.engine.census());
        counts.fold((0, 0), |sum, (listed, ejected)| (sum.0 + listed, sum.1 + ejected))
    }

    /// What the pools have learnt, for a process that takes this one's place, and whether the node is being emptied.
    pub fn handover(&self, drains: bool) -> Handover {
        let pool = |(at, pool): (usize, &Rc<Pool>)| PoolHandover {
            name: self.plan.pools[at].name.clone(),
            classes: self.plan.classes.iter().map(|class| class.name.clone()).collect(),
            knowledge: pool.engine.knowledge(&self.places[at]),
        };
        Handover { drains, fleet: None, pools: self.pools.iter().enumerate().map(pool).collect() }
    }

    /// Takes over what another process's pools have learnt, by their names; how many servers are known now.
    pub fn recall(&self, handover: &Handover) -> usize {
        let mut known = 0;
        for (at, pool) in self.pools.iter().enumerate() {
            let (told, places) = (&self.plan.pools[at], &self.places[at]);
            let Some(from) = handover.pools.iter().find(|p| p.name == told.name) else { continue };
            let names = &self.plan.classes;
            let heir = |name: &String| names.iter().position(|c| c.name == *name).map(|at| places[at]);
            let heirs: Vec<_> = from.classes.iter().map(heir).collect();
            known += pool.engine.recall(&from.knowledge, &heirs).unwrap_or(0);
        }
        known
    }

    /// The node counts as one of so many in all pools from here on; what they have learnt stays.
    ///
    /// # Errors
    /// Where a pool turns the settings down; those before it go by them.
    pub fn regroup(&self, ordinal: u32, size: u32) -> Result<(), PoolError> {
        let tenants: Vec<_> = (0..self.plan.tenants.shares.len()).map(Some).collect();
        for (at, pool) in self.pools.iter().enumerate() {
            let classes: Vec<_> = self.places[at].iter().copied().map(Some).collect();
            let (ordinal, group_size) = (ordinal, size.max(ordinal + 1));
            let settings = Settings { ordinal, group_size, ..self.plan.pools[at].settings.clone() };
            let heirs = Heirs { classes: &classes, tenants: &tenants };
            let name = || self.plan.pools[at].name.clone();
            let places =
                pool.engine.retune(settings, &heirs).map_err(|error| PoolError { pool: name(), error })?;
            debug_assert_eq!(places, self.places[at], "the same classes have the same places");
        }
        Ok(())
    }

    /// Whether all pools have been told who their servers are.
    pub fn ready(&self) -> bool {
        self.pools.iter().all(|p| *p.ready.borrow())
    }
}

/// The site in force.
pub struct Current(RefCell<Rc<Site>>);

impl Current {
    /// Begins with a site.
    pub fn new(site: Rc<Site>) -> Rc<Self> {
        Rc::new(Current(RefCell::new(site)))
    }

    /// The site in force now.
    pub fn get(&self) -> Rc<Site> {
        self.0.borrow().clone()
    }

    /// Puts another site in force.
    pub fn put(&self, site: Rc<Site>) {
        self.0.replace(site);
    }
}
