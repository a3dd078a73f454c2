//! What a balancer is told under way that leaves its settings as they are otherwise: each touches what it names and nothing else.

use crate::interface::{Nanos, Phase, Quotas, Server, Settings, SettingsError};
use crate::Balancer;

/// What is known of a tenant is forgotten after so many of the times for which rates are believed: no more than e to the power of
/// minus this is left of it.
const IDLE: f64 = 20.0;

impl Balancer {
    /// Counts as this one of so many from here on.
    ///
    /// # Errors
    /// Where there is no such number in such a group; nothing is changed then.
    pub fn set_group_position(
        &mut self,
        now: Nanos,
        ordinal: u32,
        group_size: u32,
    ) -> Result<(), SettingsError> {
        if ordinal >= group_size {
            return Err(SettingsError::OutOfRange("ordinal"));
        }
        if (self.settings.ordinal, self.settings.group_size) != (ordinal, group_size) {
            (self.settings.ordinal, self.settings.group_size) = (ordinal, group_size);
            (0..self.ready.len()).for_each(|zone| self.regroup(now, zone));
        }
        Ok(())
    }

    /// Goes by other shares of tenants from here on. What is known of a tenant is known by its number.
    ///
    /// # Errors
    /// Where a share is no rate; the old ones stay in force.
    pub fn set_tenant_quotas(&mut self, quotas: Quotas) -> Result<(), SettingsError> {
        crate::interface::validate_quotas(&quotas)?;
        self.settings.tenant_quota = quotas;
        self.forget_tenants_without_quota();
        Ok(())
    }

    /// Nothing is known of tenants without a share.
    pub(crate) fn forget_tenants_without_quota(&mut self) {
        let quotas = &self.settings.tenant_quota;
        self.tenants.retain(|tenant, _| quotas.get(*tenant).is_some());
    }

    /// Forgets tenants that have been idle for long. Nothing that is decided changes by it.
    pub fn forget_idle_tenants(&mut self, now: Nanos) {
        let long = IDLE * self.memory;
        self.tenants.retain(|_, rate| (now.saturating_sub(rate.at) as f64) < long);
    }

    /// What it goes by now. Classes that have gone may still stand in their places.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The servers in the list.
    pub fn listed_servers(&self) -> Vec<Server> {
        self.nodes.iter().map(|node| node.server).filter(|server| server.phase != Phase::Removed).collect()
    }

    /// Tenants of which something is known.
    pub fn tracked_tenants(&self) -> usize {
        self.tenants.len()
    }
}
