//! Slow start: limits the rate of attempts to servers whose processes have just started.

use super::Balancer;
use crate::interface::Nanos;

/// Fraction of its overload rate that a cold server gets while warm ones of its size are fully used.
const OVERLOAD_RATE_FRACTION: f64 = 2.0 / 3.0;

/// Sends that a server was due and did not get may be caught up within this fraction of the overload window.
pub(super) const MAX_CATCH_UP_WINDOWS: f64 = 0.25;

impl Balancer {
    /// The fraction of its full capacity that a server has reached; 1 once it is warm.
    pub(super) fn warm_fraction(&self, now: Nanos, index: usize) -> f64 {
        let started = self.servers[index].start.map_or(0, |start| start.at);
        let age = if started == 0 { self.settings.ramp } else { now.saturating_sub(started) };
        let age = age as f64 / self.settings.ramp as f64;
        (self.settings.cold_from + (1.0 - self.settings.cold_from) * age).min(1.0)
    }

    /// Attempts per second that this node has sent over the last ramp, or since its first one.
    pub(super) fn current_send_rate(&self, now: Nanos) -> f64 {
        let decay_nanos = self.settings.ramp as f64;
        let since = now.saturating_sub(self.first_send_at).max(self.settings.overload_window) as f64;
        self.recent_sends.value_at(now, decay_nanos)
            / (decay_nanos / 1e9)
            / (1.0 - (-since / decay_nanos).exp())
    }

    /// When a server that is warming up may get its next attempt from this node. The pace follows the rate of
    /// attempts, not of requests: refused clients that retry must not raise it. The more nodes rank the
    /// server, the less each may send.
    pub(super) fn next_send_due(&self, now: Nanos, index: usize) -> f64 {
        let state = &self.servers[index];
        let rate =
            OVERLOAD_RATE_FRACTION * self.settings.tip_multiple * self.send_rate / state.window_coverage;
        // With little traffic, one attempt per overload window from the whole group overloads no server.
        let max_interval = self.settings.overload_window as f64 * f64::from(self.settings.group_size);
        let interval = 1e9 / (self.warm_fraction(now, index) * rate * state.size).max(1e-6);
        state.pacing_start + state.pacing_jitter * interval.min(max_interval)
    }
}
