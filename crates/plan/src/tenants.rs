//! Who requests are made for: one table for the whole site.

use corkhollow_balance::interface::Quotas;
use http::header::{HeaderName, HeaderValue};
use std::collections::HashMap;

/// Names, their numbers and their shares. A number stays its name's for as long as plans that follow each other have that name,
/// and is nobody else's in any of them: what is known by it outlives changes.
#[derive(Clone, Debug)]
pub struct Tenants {
    /// The header that names the tenant.
    pub header: HeaderName,
    /// Part of its worth that a request over its tenant's share keeps.
    pub over_share_worth: f64,
    numbers: HashMap<Box<[u8]>, u32>,
    quotas: Quotas,
    /// All numbers that were ever given are below it.
    next: u32,
}

impl Tenants {
    /// Numbers these from 0; of two of one name the first counts.
    pub fn new(
        header: HeaderName,
        shares: impl IntoIterator<Item = (String, f64)>,
        over_share_worth: f64,
    ) -> Self {
        let (mut numbers, mut quotas) = (HashMap::new(), Vec::new());
        for (name, share) in shares {
            numbers.entry(name.into_bytes().into_boxed_slice()).or_insert_with(|| {
                quotas.push(share);
                quotas.len() as u32 - 1
            });
        }
        Tenants { header, over_share_worth, next: quotas.len() as u32, numbers, quotas: quotas.into() }
    }

    /// The number of the tenant that a header's value names, in one look.
    pub fn number(&self, value: Option<&HeaderValue>) -> Option<u32> {
        self.numbers.get(value?.as_bytes()).copied()
    }

    /// A tenant's share, by its name.
    pub fn share(&self, name: &str) -> Option<f64> {
        self.quotas.get(*self.numbers.get(name.as_bytes())?)
    }

    /// All shares, by the tenants' numbers.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// The names.
    pub fn names(&self) -> impl Iterator<Item = &[u8]> {
        self.numbers.keys().map(|name| &**name)
    }

    /// Gives names that an older table has the numbers that they have there, and all others numbers that were nobody's. Where the
    /// shares are the same after that, both hold one table of them.
    pub(crate) fn keep_numbers_of(&mut self, old: &Tenants) {
        // Numbers last for more than four thousand million new names; after that all begin anew.
        let mut next = old.next;
        if u32::MAX - next <= self.numbers.len() as u32 {
            return;
        }
        let mut shares = Vec::with_capacity(self.numbers.len());
        for (name, number) in &mut self.numbers {
            let share = self.quotas.get(*number).unwrap_or(0.0);
            *number = old.numbers.get(name).copied().unwrap_or_else(|| {
                next += 1;
                next - 1
            });
            shares.push((*number, share));
        }
        let quotas = Quotas::new(shares);
        self.quotas = if quotas == old.quotas { old.quotas.clone() } else { quotas };
        self.next = next;
    }
}
