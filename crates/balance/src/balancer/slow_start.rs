//! Servers that have just started get no more than their share.

use super::Balancer;
use crate::interface::Nanos;

/// A cold server may get this part of what pushes it over, while a like warm one gets what it can do.
const TIP_PART: f64 = 2.0 / 3.0;

/// Sends that were not used may be made up for within this part of the time in which a server falls.
pub(super) const EARLY: f64 = 0.25;

impl Balancer {
    pub(super) fn cold_share(&self, now: Nanos, i: usize) -> f64 {
        let started = self.nodes[i].start.map_or(0, |start| start.at);
        let age = if started == 0 { self.settings.ramp } else { now.saturating_sub(started) };
        let age = age as f64 / self.settings.ramp as f64;
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// This node's sends a second, over a ramp, or what is known of one.
    pub(super) fn pace_now(&self, now: Nanos) -> f64 {
        let memory = self.settings.ramp as f64;
        let since = now.saturating_sub(self.begun).max(self.settings.overload_window) as f64;
        self.sent.read(now, memory) / (memory / 1e9) / (1.0 - (-since / memory).exp())
    }

    /// When a cold server may be sent to next, by the rate of sends: refused clients that ask again may not
    /// raise the pace. The more nodes have it in their parts, the less each may send.
    pub(super) fn due(&self, now: Nanos, i: usize) -> f64 {
        let node = &self.nodes[i];
        let rate = TIP_PART * self.settings.tip_multiple * self.pace / node.reach;
        // Where little comes, one request in the time of a fall from each node pushes nobody over.
        let most = self.settings.overload_window as f64 * f64::from(self.settings.group_size);
        let interval = 1e9 / (self.cold_share(now, i) * rate * node.size).max(1e-6);
        node.paced_from + node.jitter * interval.min(most)
    }
}
