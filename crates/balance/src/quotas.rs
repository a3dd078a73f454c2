//! Tenants' shares of the request rate.

use std::sync::Arc;

/// Each tenant's share in requests per second over all nodes, by the tenant's number. Clones share one table,
/// which is validated once, however many pools use it.
#[derive(Clone, Debug, Default)]
pub struct Quotas(Arc<Table>);

#[derive(Debug, PartialEq)]
struct Table {
    /// Sorted by tenant number.
    shares: Box<[(u32, f64)]>,
    is_valid: bool,
}

impl Default for Table {
    fn default() -> Self {
        Table { shares: Box::default(), is_valid: true }
    }
}

impl Quotas {
    /// Creates a table of tenant numbers and shares; if a number occurs twice, its first share counts.
    pub fn new(shares: impl IntoIterator<Item = (u32, f64)>) -> Self {
        let mut sorted: Vec<_> = shares.into_iter().collect();
        sorted.sort_by_key(|(tenant, _)| *tenant);
        sorted.dedup_by_key(|(tenant, _)| *tenant);
        let is_valid = sorted.iter().all(|(_, share)| share.is_finite() && *share >= 0.0);
        Quotas(Arc::new(Table { shares: sorted.into(), is_valid }))
    }

    /// Whether all shares are finite and not negative.
    pub fn are_valid(&self) -> bool {
        self.0.is_valid
    }

    /// A tenant's share, if it has one.
    pub fn get(&self, tenant: u32) -> Option<f64> {
        let shares = &self.0.shares;
        // Without gaps in the numbers, a tenant's number is its index.
        if let Some((_, share)) = shares.get(tenant as usize).filter(|(number, _)| *number == tenant) {
            return Some(*share);
        }
        shares.binary_search_by_key(&tenant, |(number, _)| *number).ok().map(|index| shares[index].1)
    }

    /// Tenant numbers and shares, sorted by number.
    pub fn iter(&self) -> impl Iterator<Item = (u32, f64)> + '_ {
        self.0.shares.iter().copied()
    }

    /// Number of tenants that have a share.
    pub fn len(&self) -> usize {
        self.0.shares.len()
    }

    /// Whether no tenant has a share.
    pub fn is_empty(&self) -> bool {
        self.0.shares.is_empty()
    }
}

impl PartialEq for Quotas {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

/// Shares of tenants that are numbered from 0.
impl From<Vec<f64>> for Quotas {
    fn from(shares: Vec<f64>) -> Self {
        Quotas::new((0..).zip(shares))
    }
}
