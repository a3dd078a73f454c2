//! How many requests may cross the link a second time: a part of those that crossed it once, by class and tenant.

use std::collections::HashMap;

/// What one request earns towards a repeat.
const SHARE: f64 = 0.1;
/// The most that is saved up.
const SAVED: f64 = 10.0;
/// Purses kept apart; tenants beyond them share one for each class.
const MOST: usize = 1024;

/// Purses by class and tenant.
#[derive(Clone, Debug, Default)]
pub struct Budgets(HashMap<(u8, u32), f64>);

impl Budgets {
    fn purse(&mut self, class: u8, tenant: u32) -> &mut f64 {
        let known = self.0.contains_key(&(class, tenant)) || self.0.len() < MOST;
        self.0.entry((class, if known { tenant } else { u32::MAX })).or_insert(1.0)
    }

    /// A request crosses the link for the first time.
    pub fn earn(&mut self, class: u8, tenant: u32) {
        let purse = self.purse(class, tenant);
        *purse = (*purse + SHARE).min(SAVED);
    }

    /// Whether a repeat may cross it.
    pub fn has(&mut self, class: u8, tenant: u32) -> bool {
        *self.purse(class, tenant) >= 1.0
    }

    /// A repeat crosses it.
    pub fn spend(&mut self, class: u8, tenant: u32) {
        let purse = self.purse(class, tenant);
        *purse = (*purse - 1.0).max(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenth_may_go_again_each_for_itself() {
        let mut budgets = Budgets::default();
        let mut again = |tenant: u32, asked: usize| {
            let mut count = 0;
            for _ in 0..asked {
                budgets.earn(0, tenant);
                if budgets.has(0, tenant) {
                    budgets.spend(0, tenant);
                    count += 1;
                }
            }
            count
        };
        assert!((100..=101).contains(&again(1, 1000)));
        assert!((10..=11).contains(&again(2, 100)), "another's greed costs it nothing");
    }

    #[test]
    fn many_tenants_take_no_memory() {
        let mut budgets = Budgets::default();
        (0..100_000).for_each(|tenant| budgets.earn(1, tenant));
        assert!(budgets.0.len() <= MOST + 1, "{}", budgets.0.len());
    }
}
