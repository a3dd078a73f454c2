//! What a plan changes of the one that is in force: worked out once, away from whoever serves, so that only what differs has to be
//! touched.

use crate::plan::{Plan, Pool, Source};
use crate::routes::Route;
use crate::version::Version;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;

/// What becomes of a pool of the new plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolChange {
    /// It starts: there was none of its name, or what differs needs a new one.
    Created,
    /// One of the old plan goes on.
    Reused {
        /// Its place in the old plan.
        old_index: usize,
        /// What it has to be told.
        differences: PoolDifferences,
    },
}

/// In what a pool differs from the one that it goes on from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDifferences {
    /// What its decision module is told, or the order of the classes' names.
    pub settings: bool,
    /// Times of its connections.
    pub timeouts: bool,
    /// Who its servers are, or who tells that.
    pub source: bool,
}

impl PoolDifferences {
    /// Whether it differs in anything.
    pub fn any(&self) -> bool {
        self.settings || self.timeouts || self.source
    }
}

/// How many of one kind of thing have come, gone, become others, or stand in another order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// In the new plan alone.
    pub added: usize,
    /// In the old plan alone.
    pub removed: usize,
    /// In both, and not the same.
    pub changed: usize,
    /// In both; the least number that explains the new order.
    pub moved: usize,
}

/// The difference between two plans.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The version of the old plan.
    pub from: Version,
    /// The version of the new one.
    pub to: Version,
    /// By pool of the new plan.
    pub pools: Vec<PoolChange>,
    /// By class of the new plan, the place that one of that name has in the old one.
    pub old_class_indexes: Vec<Option<usize>>,
    /// Tenants' shares are others.
    pub quotas_changed: bool,
    /// What has changed, by kind: listeners, classes, tenants, pools, servers, routes.
    pub counts: [(&'static str, ChangeCounts); 6],
    /// How many names were looked up for all that, a measure of the work.
    pub lookups: usize,
}

impl Change {
    /// Pools that have to be touched at all.
    pub fn changed_pools(&self) -> usize {
        let rests = |change: &PoolChange| matches!(change, PoolChange::Reused { differences, .. } if !differences.any());
        self.pools.iter().filter(|change| !rests(change)).count()
    }

    /// What has changed of one kind.
    pub fn count(&self, kind: &str) -> ChangeCounts {
        self.counts.iter().find(|(name, _)| *name == kind).map(|(_, counted)| *counted).unwrap_or_default()
    }
}

/// In words, for the log.
impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut first = true;
        for (kind, counted) in self.counts {
            let parts = [
                (counted.added, "added"),
                (counted.removed, "removed"),
                (counted.changed, "changed"),
                (counted.moved, "moved"),
            ];
            let parts: Vec<_> =
                parts.iter().filter(|(n, _)| *n > 0).map(|(n, word)| format!("{n} {word}")).collect();
            if !parts.is_empty() {
                write!(f, "{}{kind}: {}", if first { "" } else { "; " }, parts.join(", "))?;
                first = false;
            }
        }
        if first {
            f.write_str("nothing differs")?;
        }
        Ok(())
    }
}

/// Looks names up, and counts how many.
struct Compare(usize);

impl Compare {
    /// The place of each name.
    fn places<'n, N: Eq + Hash + ?Sized>(
        &mut self,
        names: impl IntoIterator<Item = &'n N>,
    ) -> HashMap<&'n N, usize> {
        let places: HashMap<_, _> = names.into_iter().enumerate().map(|(at, name)| (name, at)).collect();
        self.0 += places.len();
        places
    }

    /// What has become of named things, and for each of the new ones, the place of the old one of its name.
    fn named<'t, T>(
        &mut self,
        old: &'t [T],
        new: &'t [T],
        name: impl Fn(&'t T) -> &'t str,
        same: impl Fn(&T, &T) -> bool,
    ) -> (ChangeCounts, Vec<Option<usize>>) {
        let places = self.places(old.iter().map(&name));
        self.0 += new.len();
        let former: Vec<_> = new.iter().map(|thing| places.get(name(thing)).copied()).collect();
        let kept: Vec<_> = former.iter().flatten().copied().collect();
        let changed =
            new.iter().zip(&former).filter(|(thing, at)| at.is_some_and(|at| !same(&old[at], thing))).count();
        let counted = ChangeCounts {
            added: new.len() - kept.len(),
            // Two of one name are no plan.
            removed: old.len().saturating_sub(kept.len()),
            changed,
            moved: kept.len() - longest_rise(&kept),
        };
        (counted, former)
    }
}

/// The length of the longest rising part of a sequence, whose other members have moved.
fn longest_rise(places: &[usize]) -> usize {
    // The least end of a rise of each length.
    let mut ends: Vec<usize> = Vec::new();
    for place in places {
        let at = ends.partition_point(|end| end < place);
        match ends.get_mut(at) {
            Some(end) => *end = *place,
            None => ends.push(*place),
        }
    }
    ends.len()
}

impl Plan {
    /// Lets the plan follow one that is in force: tenants that stay keep their numbers, pools that are the same are held in common.
    /// Tells what differs.
    pub fn rebase_on(mut self, old: &Plan) -> (Plan, Change) {
        let mut compare = Compare(0);
        let (listeners, _) = compare.named(&old.listeners, &self.listeners, |l| &l.name, |a, b| a == b);
        let (classes, class_places) = compare.named(&old.classes, &self.classes, |c| &c.name, |a, b| a == b);
        self.tenants.keep_numbers_of(&old.tenants);
        let tenants = self.tenants_changed(old, &mut compare);
        let same_classes = old.classes.len() == self.classes.len()
            && class_places.iter().enumerate().all(|(k, place)| *place == Some(k));
        let (mut pools, pool_places) = compare.named(&old.pools, &self.pools, |p| &p.name, |a, b| a == b);
        // A pool whose zones are numbered otherwise is told so with its servers.
        let same_zones = old.zones == self.zones;
        let (mut servers, mut pool_changes) = (ChangeCounts::default(), Vec::with_capacity(self.pools.len()));
        for (pool, place) in self.pools.iter_mut().zip(&pool_places) {
            let Some(old_index) = *place else {
                servers.added += pool.source.servers().len();
                pool_changes.push(PoolChange::Created);
                continue;
            };
            let was = &old.pools[old_index];
            let differences = PoolDifferences {
                settings: !same_classes || was.settings != pool.settings,
                timeouts: (was.connect_timeout, was.idle_timeout)
                    != (pool.connect_timeout, pool.idle_timeout),
                source: was.source != pool.source || (!same_zones && matches!(pool.source, Source::Watch(_))),
            };
            if differences.source {
                let (of_it, _) =
                    compare.named(was.source.servers(), pool.source.servers(), |s| &s.name, |a, b| a == b);
                servers.added += of_it.added;
                servers.removed += of_it.removed;
                servers.changed += of_it.changed;
            }
            pool_changes.push(match old.limits == self.limits && was.can_be_reused_as(pool) {
                true => PoolChange::Reused { old_index, differences },
                false => PoolChange::Created,
            });
            if was == pool {
                *pool = Arc::clone(was);
            }
        }
        let kept: HashSet<_> = pool_places.iter().flatten().copied().collect();
        let gone = old.pools.iter().enumerate().filter(|(at, _)| !kept.contains(at));
        servers.removed += gone.map(|(_, pool)| pool.source.servers().len()).sum::<usize>();
        // Where a pool stands in the file says nothing.
        pools.moved = 0;
        let (routes, _) = compare.named(
            old.routes.routes(),
            self.routes.routes(),
            |r| &r.name,
            |a, b| same_route(a, b, &old.pools, &self.pools, old, &self),
        );
        let change = Change {
            from: old.version,
            to: self.version,
            pools: pool_changes,
            old_class_indexes: class_places,
            quotas_changed: old.tenants.quotas() != self.tenants.quotas(),
            counts: [
                ("listeners", ChangeCounts { moved: 0, ..listeners }),
                ("classes", classes),
                ("tenants", tenants),
                ("pools", pools),
                ("servers", servers),
                ("routes", routes),
            ],
            lookups: compare.0,
        };
        (self, change)
    }

    fn tenants_changed(&self, old: &Plan, compare: &mut Compare) -> ChangeCounts {
        let (was, is) = (old.tenants.quotas(), self.tenants.quotas());
        compare.0 += was.len() + is.len();
        let kept = is.iter().filter_map(|(number, share)| Some((was.get(number)?, share)));
        let (mut stay, mut changed) = (0, 0);
        kept.for_each(|(before, now)| {
            stay += 1;
            changed += usize::from(before != now);
        });
        ChangeCounts { added: is.len() - stay, removed: was.len() - stay, changed, moved: 0 }
    }
}

/// Whether two routes of different plans do the same: what they name by its place has to have one name.
fn same_route(a: &Route, b: &Route, old: &[Arc<Pool>], new: &[Arc<Pool>], was: &Plan, is: &Plan) -> bool {
    let pools = match (a.pool(), b.pool()) {
        (Some(a), Some(b)) => old[a].name == new[b].name,
        (a, b) => a.is_none() && b.is_none(),
    };
    let class = |plan: &'_ Plan, route: &Route| route.class.map(|at| plan.classes[at].name.clone());
    let listeners = |plan: &Plan, route: &Route| {
        route.listeners.iter().map(|at| plan.listeners[*at].name.clone()).collect::<Vec<_>>()
    };
    pools && class(was, a) == class(is, b) && listeners(was, a) == listeners(is, b) && a.has_same_effect(b)
}
