//! The difference between a new plan and the one in force. It is computed before the new plan takes effect, so that
//! only what differs is updated.

use crate::plan::{Plan, Pool, Source};
use crate::routes::Route;
use crate::version::Version;
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::sync::Arc;

/// How a pool of the new plan comes into being.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolChange {
    /// It is new: the old plan has no pool of its name, or one that differs too much to be reused.
    Created,
    /// A pool of the old plan is kept and updated.
    Reused {
        /// The index of the pool in the old plan.
        old_index: usize,
        /// What has to be updated.
        differences: PoolDifferences,
    },
}

/// How a pool differs from the old pool that it reuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDifferences {
    /// The settings of its decision module, or the names or order of the classes.
    pub settings: bool,
    /// The timeouts of its connections.
    pub timeouts: bool,
    /// Its servers, or where their list comes from.
    pub source: bool,
}

impl PoolDifferences {
    /// Whether anything differs.
    pub fn any(&self) -> bool {
        self.settings || self.timeouts || self.source
    }
}

/// How many items of one kind differ between two plans. Items are matched by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChangeCounts {
    /// Only in the new plan.
    pub added: usize,
    /// Only in the old plan.
    pub removed: usize,
    /// In both plans, with different content.
    pub changed: usize,
    /// In both plans, in a different order: the fewest moves that lead to the new order.
    pub moved: usize,
}

/// The difference between two plans.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The version of the old plan.
    pub from: Version,
    /// The version of the new one.
    pub to: Version,
    /// For each pool of the new plan, how it comes into being.
    pub pools: Vec<PoolChange>,
    /// For each class of the new plan, the index of the class of that name in the old plan.
    pub old_class_indexes: Vec<Option<usize>>,
    /// Whether the quotas of tenants differ.
    pub quotas_changed: bool,
    /// The number of differences by kind: listeners, classes, tenants, pools, servers, routes.
    pub counts: [(&'static str, ChangeCounts); 6],
    /// The number of names looked up for the comparison, a measure of its cost.
    pub lookups: usize,
}

impl Change {
    /// The number of pools that are created or have to be updated.
    pub fn changed_pools(&self) -> usize {
        let is_unchanged = |change: &PoolChange| matches!(change, PoolChange::Reused { differences, .. } if !differences.any());
        self.pools.iter().filter(|change| !is_unchanged(change)).count()
    }

    /// The number of differences of one kind.
    pub fn count(&self, kind: &str) -> ChangeCounts {
        self.counts.iter().find(|(name, _)| *name == kind).map(|(_, counts)| *counts).unwrap_or_default()
    }
}

/// Lists the differences for the log.
impl std::fmt::Display for Change {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut first = true;
        for (kind, counts) in self.counts {
            let parts = [
                (counts.added, "added"),
                (counts.removed, "removed"),
                (counts.changed, "changed"),
                (counts.moved, "moved"),
            ];
            let parts: Vec<_> = parts
                .iter()
                .filter(|(count, _)| *count > 0)
                .map(|(count, verb)| format!("{count} {verb}"))
                .collect();
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

/// Matches items by name, and counts the lookups.
struct NameMatcher(usize);

impl NameMatcher {
    /// Maps each name to its index.
    fn indexes<'n, N: Eq + Hash + ?Sized>(
        &mut self,
        names: impl IntoIterator<Item = &'n N>,
    ) -> HashMap<&'n N, usize> {
        let indexes: HashMap<_, _> =
            names.into_iter().enumerate().map(|(index, name)| (name, index)).collect();
        self.0 += indexes.len();
        indexes
    }

    /// Counts the differences between two lists, and returns for each new item the index of the old one of its name.
    fn match_by_name<'t, T>(
        &mut self,
        old: &'t [T],
        new: &'t [T],
        name: impl Fn(&'t T) -> &'t str,
        same: impl Fn(&T, &T) -> bool,
    ) -> (ChangeCounts, Vec<Option<usize>>) {
        let indexes = self.indexes(old.iter().map(&name));
        self.0 += new.len();
        let old_indexes: Vec<_> = new.iter().map(|item| indexes.get(name(item)).copied()).collect();
        let kept: Vec<_> = old_indexes.iter().flatten().copied().collect();
        let changed = new
            .iter()
            .zip(&old_indexes)
            .filter(|(item, index)| index.is_some_and(|index| !same(&old[index], item)))
            .count();
        let counts = ChangeCounts {
            added: new.len() - kept.len(),
            // Names are unique within a plan, so `kept` is not longer than `old`.
            removed: old.len().saturating_sub(kept.len()),
            changed,
            moved: kept.len() - longest_increasing_subsequence(&kept),
        };
        (counts, old_indexes)
    }
}

/// The length of the longest increasing subsequence. Items outside of it have moved.
fn longest_increasing_subsequence(indexes: &[usize]) -> usize {
    // `ends[n]` is the smallest last element of an increasing subsequence of length `n + 1`.
    let mut ends: Vec<usize> = Vec::new();
    for index in indexes {
        let length = ends.partition_point(|end| end < index);
        match ends.get_mut(length) {
            Some(end) => *end = *index,
            None => ends.push(*index),
        }
    }
    ends.len()
}

impl Plan {
    /// Prepares the plan to replace `old`, and returns it with the difference between the two. Tenants that stay keep
    /// their numbers, and equal pools are shared with the old plan.
    pub fn rebase_on(mut self, old: &Plan) -> (Plan, Change) {
        let mut matcher = NameMatcher(0);
        let (listeners, _) =
            matcher.match_by_name(&old.listeners, &self.listeners, |l| &l.name, |a, b| a == b);
        let (classes, old_class_indexes) =
            matcher.match_by_name(&old.classes, &self.classes, |c| &c.name, |a, b| a == b);
        self.tenants.keep_numbers_of(&old.tenants);
        let tenants = self.compare_tenants(old, &mut matcher);
        let same_classes = old.classes.len() == self.classes.len()
            && old_class_indexes.iter().enumerate().all(|(index, old_index)| *old_index == Some(index));
        let (mut pools, old_pool_indexes) =
            matcher.match_by_name(&old.pools, &self.pools, |p| &p.name, |a, b| a == b);
        // Watched files name zones, so their servers have to be rebuilt when the numbers of zones change.
        let same_zones = old.zones == self.zones;
        let (mut servers, mut pool_changes) = (ChangeCounts::default(), Vec::with_capacity(self.pools.len()));
        for (pool, old_index) in self.pools.iter_mut().zip(&old_pool_indexes) {
            let Some(old_index) = *old_index else {
                servers.added += pool.source.servers().len();
                pool_changes.push(PoolChange::Created);
                continue;
            };
            let old_pool = &old.pools[old_index];
            let differences = PoolDifferences {
                settings: !same_classes || old_pool.settings != pool.settings,
                timeouts: (old_pool.connect_timeout, old_pool.idle_timeout)
                    != (pool.connect_timeout, pool.idle_timeout),
                source: old_pool.source != pool.source
                    || (!same_zones && matches!(pool.source, Source::Watch(_))),
            };
            if differences.source {
                let (counts, _) = matcher.match_by_name(
                    old_pool.source.servers(),
                    pool.source.servers(),
                    |s| &s.name,
                    |a, b| a == b,
                );
                servers.added += counts.added;
                servers.removed += counts.removed;
                servers.changed += counts.changed;
            }
            pool_changes.push(match old.limits == self.limits && old_pool.can_be_reused_as(pool) {
                true => PoolChange::Reused { old_index, differences },
                false => PoolChange::Created,
            });
            if old_pool == pool {
                *pool = Arc::clone(old_pool);
            }
        }
        let kept: HashSet<_> = old_pool_indexes.iter().flatten().copied().collect();
        let removed = old.pools.iter().enumerate().filter(|(index, _)| !kept.contains(index));
        servers.removed += removed.map(|(_, pool)| pool.source.servers().len()).sum::<usize>();
        // The order of pools has no meaning.
        pools.moved = 0;
        let (routes, _) = matcher.match_by_name(
            old.routes.routes(),
            self.routes.routes(),
            |r| &r.name,
            |a, b| same_route(a, b, &old.pools, &self.pools, old, &self),
        );
        let change = Change {
            from: old.version,
            to: self.version,
            pools: pool_changes,
            old_class_indexes,
            quotas_changed: old.tenants.quotas() != self.tenants.quotas(),
            counts: [
                ("listeners", ChangeCounts { moved: 0, ..listeners }),
                ("classes", classes),
                ("tenants", tenants),
                ("pools", pools),
                ("servers", servers),
                ("routes", routes),
            ],
            lookups: matcher.0,
        };
        (self, change)
    }

    fn compare_tenants(&self, old: &Plan, matcher: &mut NameMatcher) -> ChangeCounts {
        let (before, after) = (old.tenants.quotas(), self.tenants.quotas());
        matcher.0 += before.len() + after.len();
        let in_both = after.iter().filter_map(|(number, quota)| Some((before.get(number)?, quota)));
        let (mut kept, mut changed) = (0, 0);
        in_both.for_each(|(old_quota, quota)| {
            kept += 1;
            changed += usize::from(old_quota != quota);
        });
        ChangeCounts { added: after.len() - kept, removed: before.len() - kept, changed, moved: 0 }
    }
}

/// Whether two routes of different plans are the same. Pools, classes and listeners, which a route refers to by their
/// index, are compared by name.
fn same_route(
    a: &Route,
    b: &Route,
    old_pools: &[Arc<Pool>],
    new_pools: &[Arc<Pool>],
    old: &Plan,
    new: &Plan,
) -> bool {
    let same_pool = match (a.pool(), b.pool()) {
        (Some(a), Some(b)) => old_pools[a].name == new_pools[b].name,
        (a, b) => a.is_none() && b.is_none(),
    };
    let class = |plan: &'_ Plan, route: &Route| route.class.map(|index| plan.classes[index].name.clone());
    let listeners = |plan: &Plan, route: &Route| {
        route.listeners.iter().map(|index| plan.listeners[*index].name.clone()).collect::<Vec<_>>()
    };
    same_pool
        && class(old, a) == class(new, b)
        && listeners(old, a) == listeners(new, b)
        && a.has_same_effect(b)
}
