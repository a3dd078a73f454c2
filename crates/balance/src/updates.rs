//! Changes of single settings, and queries of the balancer's state.

use crate::interface::{Nanos, Phase, Quotas, Server, Settings, SettingsError};
use crate::Balancer;

/// Multiples of the decay time after which an idle tenant is forgotten: less than exp(-20) of its count is
/// left.
const MAX_IDLE_DECAYS: f64 = 20.0;

impl Balancer {
    /// Sets this node's number in its group and the group's size.
    ///
    /// # Errors
    /// Where the number is not below the size; nothing is changed then.
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
            (0..self.ready_by_zone.len()).for_each(|zone| self.update_ranked_window(now, zone));
        }
        Ok(())
    }

    /// Replaces the tenants' shares. Request counts of tenants are kept by the tenants' numbers.
    ///
    /// # Errors
    /// Where a share is not a valid rate; the old shares stay in force.
    pub fn set_tenant_quotas(&mut self, quotas: Quotas) -> Result<(), SettingsError> {
        crate::interface::validate_quotas(&quotas)?;
        self.settings.tenant_quota = quotas;
        self.forget_tenants_without_quota();
        Ok(())
    }

    pub(crate) fn forget_tenants_without_quota(&mut self) {
        let quotas = &self.settings.tenant_quota;
        self.tenant_requests.retain(|tenant, _| quotas.get(*tenant).is_some());
    }

    /// Forgets tenants that have been idle for long, which changes no decision.
    pub fn forget_idle_tenants(&mut self, now: Nanos) {
        let max_idle = MAX_IDLE_DECAYS * self.decay_nanos;
        self.tenant_requests.retain(|_, count| (now.saturating_sub(count.updated_at) as f64) < max_idle);
    }

    /// The settings in force. Their classes may include retired ones.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The servers in the list.
    pub fn listed_servers(&self) -> Vec<Server> {
        self.servers.iter().map(|state| state.entry).filter(|server| server.phase != Phase::Removed).collect()
    }

    /// Number of tenants whose requests are counted.
    pub fn tracked_tenants(&self) -> usize {
        self.tenant_requests.len()
    }
}
