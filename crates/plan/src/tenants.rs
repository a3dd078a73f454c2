//! The table of tenants, shared by all pools.

use corkhollow_balance::interface::Quotas;
use http::header::{HeaderName, HeaderValue};
use std::collections::HashMap;

/// The tenants' names, numbers and quotas. A tenant keeps its number across successive plans as long as each of them has
/// it, and numbers are never reused, so that state kept by number survives a change of plan.
#[derive(Clone, Debug)]
pub struct Tenants {
    /// The header that names the tenant.
    pub header: HeaderName,
    /// The fraction of its worth that a request beyond its tenant's quota keeps.
    pub over_share_worth: f64,
    numbers: HashMap<Box<[u8]>, u32>,
    quotas: Quotas,
    /// The next unused number.
    next_number: u32,
}

impl Tenants {
    /// Numbers tenants from 0. If a name occurs twice, the first quota counts.
    pub fn new(
        header: HeaderName,
        tenants: impl IntoIterator<Item = (String, f64)>,
        over_share_worth: f64,
    ) -> Self {
        let (mut numbers, mut quotas) = (HashMap::new(), Vec::new());
        for (name, quota) in tenants {
            numbers.entry(name.into_bytes().into_boxed_slice()).or_insert_with(|| {
                quotas.push(quota);
                quotas.len() as u32 - 1
            });
        }
        Tenants { header, over_share_worth, next_number: quotas.len() as u32, numbers, quotas: quotas.into() }
    }

    /// The number of the tenant that a header value names.
    pub fn number(&self, value: Option<&HeaderValue>) -> Option<u32> {
        self.numbers.get(value?.as_bytes()).copied()
    }

    /// The quota of a tenant, by its name.
    pub fn quota(&self, name: &str) -> Option<f64> {
        self.quotas.get(*self.numbers.get(name.as_bytes())?)
    }

    /// All quotas, by the number of the tenant.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// The names of all tenants.
    pub fn names(&self) -> impl Iterator<Item = &[u8]> {
        self.numbers.keys().map(|name| &**name)
    }

    /// Gives tenants that an older table has their numbers of that table, and all others unused ones. If the quotas are
    /// equal after that, both share one table of quotas.
    pub(crate) fn keep_numbers_of(&mut self, old: &Tenants) {
        // When the numbers run out, numbering starts over and no tenant keeps its number.
        let mut next_number = old.next_number;
        if u32::MAX - next_number <= self.numbers.len() as u32 {
            return;
        }
        let mut quotas_by_number = Vec::with_capacity(self.numbers.len());
        for (name, number) in &mut self.numbers {
            let quota = self.quotas.get(*number).unwrap_or(0.0);
            *number = old.numbers.get(name).copied().unwrap_or_else(|| {
                next_number += 1;
                next_number - 1
            });
            quotas_by_number.push((*number, quota));
        }
        let quotas = Quotas::new(quotas_by_number);
        self.quotas = if quotas == old.quotas { old.quotas.clone() } else { quotas };
        self.next_number = next_number;
    }
}
