//! Retry budgets: limit retries over the link to a fraction of first attempts, per class and tenant.

use std::collections::HashMap;

/// Each first attempt adds this many tokens; a retry costs one.
const TOKENS_PER_REQUEST: f64 = 0.1;
const MAX_TOKENS: f64 = 10.0;
/// Once there are this many budgets, new tenants share one budget per class.
const MAX_BUDGETS: usize = 1024;

/// Token balances by class and tenant.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets(HashMap<(u8, u32), f64>);

impl RetryBudgets {
    fn tokens_mut(&mut self, class: u8, tenant: u32) -> &mut f64 {
        let has_own_budget = self.0.contains_key(&(class, tenant)) || self.0.len() < MAX_BUDGETS;
        self.0.entry((class, if has_own_budget { tenant } else { u32::MAX })).or_insert(1.0)
    }

    /// Adds tokens for a first attempt.
    pub fn deposit(&mut self, class: u8, tenant: u32) {
        let tokens = self.tokens_mut(class, tenant);
        *tokens = (*tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Returns whether the budget covers a retry.
    pub fn can_retry(&mut self, class: u8, tenant: u32) -> bool {
        *self.tokens_mut(class, tenant) >= 1.0
    }

    /// Takes the token of a retry.
    pub fn withdraw(&mut self, class: u8, tenant: u32) {
        let tokens = self.tokens_mut(class, tenant);
        *tokens = (*tokens - 1.0).max(0.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_tenant_may_retry_a_tenth_of_its_requests() {
        let mut budgets = RetryBudgets::default();
        let mut count_retries = |tenant: u32, requests: usize| {
            let mut retries = 0;
            for _ in 0..requests {
                budgets.deposit(0, tenant);
                if budgets.can_retry(0, tenant) {
                    budgets.withdraw(0, tenant);
                    retries += 1;
                }
            }
            retries
        };
        assert!((100..=101).contains(&count_retries(1, 1000)));
        assert!(
            (10..=11).contains(&count_retries(2, 100)),
            "one tenant's retries do not use up another's budget"
        );
    }

    #[test]
    fn budgets_are_bounded_with_many_tenants() {
        let mut budgets = RetryBudgets::default();
        (0..100_000).for_each(|tenant| budgets.deposit(1, tenant));
        assert!(budgets.0.len() <= MAX_BUDGETS + 1, "{}", budgets.0.len());
    }
}
