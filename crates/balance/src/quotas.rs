//! Tenants' shares.

use std::sync::Arc;

/// Each tenant's share in requests a second over all nodes, by the tenant's number. A clone is a handle on the same table: however
/// many pools go by it, it is there once, and looked at for errors once.
#[derive(Clone, Debug, Default)]
pub struct Quotas(Arc<Table>);

#[derive(Debug, PartialEq)]
struct Table {
    /// The least number first.
    shares: Box<[(u32, f64)]>,
    sound: bool,
}

impl Default for Table {
    fn default() -> Self {
        Table { shares: Box::default(), sound: true }
    }
}

impl Quotas {
    /// The shares of tenants by their numbers; of two of one number the first counts.
    pub fn new(shares: impl IntoIterator<Item = (u32, f64)>) -> Self {
        let mut all: Vec<_> = shares.into_iter().collect();
        all.sort_by_key(|(tenant, _)| *tenant);
        all.dedup_by_key(|(tenant, _)| *tenant);
        let sound = all.iter().all(|(_, share)| share.is_finite() && *share >= 0.0);
        Quotas(Arc::new(Table { shares: all.into(), sound }))
    }

    /// Whether all shares are rates.
    pub fn are_valid(&self) -> bool {
        self.0.sound
    }

    /// A tenant's share; none where it has none.
    pub fn get(&self, tenant: u32) -> Option<f64> {
        let shares = &self.0.shares;
        // Where no number is left out each stands in its place.
        if let Some((_, share)) = shares.get(tenant as usize).filter(|(at, _)| *at == tenant) {
            return Some(*share);
        }
        shares.binary_search_by_key(&tenant, |(at, _)| *at).ok().map(|at| shares[at].1)
    }

    /// All shares by their tenants' numbers, the least number first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.0.shares.iter().copied()
    }

    /// How many tenants have a share.
    pub fn len(&self) -> usize {
        self.0.shares.len()
    }

    /// Whether no tenant has one.
    pub fn is_empty(&self) -> bool {
        self.0.shares.is_empty()
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
