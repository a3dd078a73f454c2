//! Tenants' shares.

use std::sync::Arc;

/// Each tenant's share in requests a second over all nodes, by the tenant's number. A clone is a handle on the same table: however
/// many pools go by it, it is there once.
#[derive(Clone, Debug, Default)]
pub struct Quotas(Arc<[(u32, f64)]>);

impl Quotas {
    /// The shares of tenants by their numbers; of two of one number the first counts.
    pub fn new(shares: impl IntoIterator<Item = (u32, f64)>) -> Self {
        let mut all: Vec<_> = shares.into_iter().collect();
        all.sort_by_key(|(tenant, _)| *tenant);
        all.dedup_by_key(|(tenant, _)| *tenant);
        Quotas(all.into())
    }

    /// A tenant's share; none where it has none.
    pub fn get(&self, tenant: u32) -> Option<f64> {
        // Where no number is left out each stands in its place.
        if let Some((_, share)) = self.0.get(tenant as usize).filter(|(at, _)| *at == tenant) {
            return Some(*share);
        }
        self.0.binary_search_by_key(&tenant, |(at, _)| *at).ok().map(|at| self.0[at].1)
    }

    /// All shares by their tenants' numbers, the least number first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.0.iter().copied()
    }

    /// How many tenants have a share.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no tenant has one.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl PartialEq for Quotas {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

/// Tenants that are numbered from 0.
impl From<Vec<f64>> for Quotas {
    fn from(shares: Vec<f64>) -> Self {
        Quotas::new((0..).zip(shares))
    }
}
