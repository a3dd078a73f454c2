//! Estimates how long an idle connection survives, from the connections that were lost.

use corkhollow_balance::interface::Nanos;

/// All counts are halved at this interval, so that recent ones weigh more.
const DECAY_INTERVAL: Nanos = 10_000_000_000;
/// Connections count as lost because of their idle time only if, from some idle time on, there are at least
/// `MIN_LOST_CONNECTIONS` losses, their share of uses exceeds `MIN_LOSS_SHARE`, and that share exceeds the
/// share below that idle time by the factor `MIN_LOSS_RATIO`.
const MIN_LOST_CONNECTIONS: f64 = 1.5;
const MIN_LOSS_SHARE: f64 = 0.1;
const MIN_LOSS_RATIO: f64 = 2.0;

/// Limits how long a connection may stay idle and be reused.
///
/// A firewall or NAT between gateway and server may drop idle connections silently, before the server's idle
/// timeout. The next request on such a connection is reset at once, and fails if it must not be sent twice.
/// Resets have other causes too, which hit new connections alike, and a new connection costs the server work.
/// The limit is therefore lowered only where connections with a longer idle time are lost more often than
/// others.
pub(super) struct IdleLifetime {
    /// Uses and losses by idle time: bucket 0 holds new connections, bucket k idle times from 2^(k-1) ms.
    buckets: [(f64, f64); 16],
    decayed_at: Nanos,
    upper_limit: Nanos,
    /// How long a connection may stay idle and be reused.
    pub(super) max_idle: Nanos,
}

impl IdleLifetime {
    /// Starts with no evidence: connections may stay idle for `upper_limit`.
    pub(super) fn new(upper_limit: Nanos) -> Self {
        IdleLifetime { buckets: [(0.0, 0.0); 16], decayed_at: 0, upper_limit, max_idle: upper_limit }
    }

    /// Sets the upper limit; a lower limit that has been learned stays.
    pub(super) fn set_upper_limit(&mut self, upper_limit: Nanos) {
        self.max_idle =
            if self.max_idle == self.upper_limit { upper_limit } else { self.max_idle.min(upper_limit) };
        self.upper_limit = upper_limit;
    }

    /// The shortest idle time that bucket `k` holds.
    fn bucket_start(k: usize) -> Nanos {
        1_000_000 << (k - 1)
    }

    /// Records a use: how long the connection had been idle (`None` for a new one), and whether it was lost.
    pub(super) fn record_use(&mut self, now: Nanos, idle_for: Option<Nanos>, lost: bool) {
        let bucket = |ns| (1..self.buckets.len()).take_while(|k| Self::bucket_start(*k) <= ns).count().max(1);
        let (uses, losses) = &mut self.buckets[idle_for.map_or(0, bucket)];
        *uses += 1.0;
        *losses += f64::from(u8::from(lost));
        let decay_due = now.saturating_sub(self.decayed_at) > DECAY_INTERVAL;
        if decay_due {
            self.decayed_at = now;
            self.buckets.iter_mut().for_each(|(u, l)| (*u, *l) = (*u / 2.0, *l / 2.0));
        }
        if decay_due || lost {
            let too_old = (1..self.buckets.len()).find(|k| self.loses_connections_from(*k));
            self.max_idle = too_old.map_or(self.upper_limit, Self::bucket_start).min(self.upper_limit);
        }
    }

    /// Whether connections are lost because of their idle time from bucket `k` on.
    fn loses_connections_from(&self, k: usize) -> bool {
        let sum = |part: &[(f64, f64)]| part.iter().fold((1.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
        let (below, above) = (sum(&self.buckets[..k]), sum(&self.buckets[k..]));
        let share = above.1 / above.0;
        self.buckets[k].1 > 0.0
            && above.1 >= MIN_LOST_CONNECTIONS
            && share > MIN_LOSS_SHARE
            && share > MIN_LOSS_RATIO * below.1 / below.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn losses_after_long_idle_times_lower_the_limit_until_they_are_forgotten() {
        let mut lifetime = IdleLifetime::new(6_000 * MS);
        for k in 0..60 {
            lifetime.record_use(k * 10 * MS, None, false);
            lifetime.record_use(k * 10 * MS, Some(k % 60 * MS), false);
            lifetime.record_use(k * 10 * MS, Some((100 + k) * MS), k % 3 != 0);
        }
        assert_eq!(lifetime.max_idle, 64 * MS);
        (0..100).for_each(|k| lifetime.record_use(k * 1000 * MS, Some(30 * MS), false));
        assert_eq!(lifetime.max_idle, lifetime.upper_limit);
    }

    /// Losses that hit new connections as often must not shorten reuse.
    #[test]
    fn losses_that_are_independent_of_idle_time_leave_the_limit_unchanged() {
        let mut lifetime = IdleLifetime::new(6_000 * MS);
        for k in 0..400 {
            lifetime.record_use(k * 10 * MS, None, k % 8 == 0);
            lifetime.record_use(k * 10 * MS, Some((k * 7) % 200 * MS), k % 8 == 0);
            assert_eq!(lifetime.max_idle, lifetime.upper_limit, "after {k}");
        }
    }
}
