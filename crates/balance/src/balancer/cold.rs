//! Servers that have just started get no more than their share.

use super::Balancer;
use crate::interface::Nanos;

/// A cold server gets this part of its ramp share of what a like warm one gets.
const COLD_SHARE: f64 = 0.9;

impl Balancer {
    pub(super) fn cold_share(&self, now: Nanos, i: usize) -> f64 {
        let started = self.nodes[i].server.started_at;
        let age = now.saturating_sub(started) as f64 / self.settings.ramp as f64;
        if started == 0 {
            return 1.0;
        }
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Time between two sends to a cold server: its ramp share of what this node sends a like warm server.
    pub(super) fn cold_interval(&self, now: Nanos, i: usize) -> f64 {
        let zone = usize::from(self.settings.zone);
        let size: f64 = self.ranks.get(zone).map_or(0.0, |r| r.iter().map(|j| self.nodes[j].size).sum());
        let rate = self.arrivals.read(now, self.settings.ramp as f64) / size.max(self.nodes[i].size);
        // Where little comes, one request in the time of a fall from each node pushes nobody over.
        let most = self.settings.fall as f64 * f64::from(self.settings.group_size);
        let interval = 1e9 / (COLD_SHARE * self.cold_share(now, i) * rate * self.nodes[i].size).max(1e-6);
        interval.min(most)
    }
}
