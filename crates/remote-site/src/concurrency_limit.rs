//! How many requests a far site is given at once, by what their time says.
//!
//! The gradient of Netflix's concurrency-limits: the limit shrinks as answers take longer than they usually do and
//! grows by a margin for queues while they do not. What is usual is not their long average, which an overload drags
//! along, nor the shortest time ever seen, as in Vegas, which a longer way would never reach again.

use crate::as_seconds;
use corkhollow_balance::interface::Nanos;

/// The limit with which a site begins that is not known yet.
const INITIAL_LIMIT: f64 = 4.0;
/// What a far site is left with at least, so that its recovery can be seen.
const MIN_LIMIT: f64 = 1.0;
/// Answers may take this many times their usual time before the limit shrinks.
const LATENCY_TOLERANCE: f64 = 1.5;
/// How far one answer moves the limit.
const LIMIT_SMOOTHING: f64 = 0.2;
/// The usual time follows quicker answers by this part ...
const FASTER_SAMPLE_WEIGHT: f64 = 0.5;
/// ... and slower ones by e in this time: a longer way has to become usual by and by, an overload must not.
const BASELINE_GROWTH_NANOS: Nanos = 600_000_000_000;

/// A limit on what is out at once.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    /// What answers usually take, in seconds; none before the first.
    baseline_seconds: Option<f64>,
    updated_at: Nanos,
}

impl ConcurrencyLimit {
    /// No answer seen yet; never more than `most`.
    pub fn new(max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit).max(MIN_LIMIT);
        ConcurrencyLimit {
            limit: INITIAL_LIMIT.min(max_limit),
            max_limit,
            baseline_seconds: None,
            updated_at: 0,
        }
    }

    /// How many may be out at once.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// An answer has come that took so long, while so many were out with it.
    pub fn record_response(&mut self, now: Nanos, latency: Nanos, in_flight: u32) {
        let latency_seconds = as_seconds(latency).max(1e-6);
        let baseline_seconds = self.baseline_seconds.get_or_insert(latency_seconds);
        if latency_seconds < *baseline_seconds {
            *baseline_seconds += (latency_seconds - *baseline_seconds) * FASTER_SAMPLE_WEIGHT;
        } else {
            let elapsed_ratio = now.saturating_sub(self.updated_at) as f64 / BASELINE_GROWTH_NANOS as f64;
            *baseline_seconds = (*baseline_seconds * elapsed_ratio.min(1.0).exp()).min(latency_seconds);
        }
        self.updated_at = self.updated_at.max(now);
        // What is not used says nothing of what more would do.
        if f64::from(in_flight) < self.limit / 2.0 {
            return;
        }
        let gradient = (LATENCY_TOLERANCE * *baseline_seconds / latency_seconds).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        self.limit = (self.limit + (target - self.limit) * LIMIT_SMOOTHING).clamp(MIN_LIMIT, self.max_limit);
    }

    /// One had no answer in time, or was turned away as too much.
    pub fn record_drop(&mut self) {
        self.limit = (self.limit * 0.9).max(MIN_LIMIT);
    }

    /// It is not known any more: the far site was away.
    pub fn reset(&mut self) {
        *self = ConcurrencyLimit::new(self.max_limit as u32);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MILLISECOND: Nanos = 1_000_000;

    /// A far site with so many workers of 50 ms, and as much out as the limit allows: the limit that is found.
    fn converge(limit: &mut ConcurrencyLimit, workers: u32, rounds: u64) -> u32 {
        for round in 0..rounds {
            let in_flight = limit.current();
            let latency = 50 * MILLISECOND * Nanos::from(in_flight.div_ceil(workers).max(1));
            limit.record_response(
                (limit.updated_at + latency / Nanos::from(in_flight)).max(round),
                latency,
                in_flight,
            );
        }
        limit.current()
    }

    #[test]
    fn the_limit_converges_to_the_capacity_of_the_remote_site() {
        for workers in [4, 20, 100] {
            let converged = converge(&mut ConcurrencyLimit::new(1000), workers, 3000);
            assert!((workers..workers * 5).contains(&converged), "{workers} workers: {converged}");
        }
        assert_eq!(converge(&mut ConcurrencyLimit::new(10), 100, 1000), 10);
    }

    /// 400 ms, then 4 s, then 40 s, without an error.
    #[test]
    fn the_limit_shrinks_when_the_remote_site_turns_slow() {
        let mut limit = ConcurrencyLimit::new(1000);
        converge(&mut limit, 50, 1000);
        let mut last = limit.current();
        for latency_ms in [400, 4_000, 40_000] {
            (0..30).for_each(|_| {
                limit.record_response(limit.updated_at, latency_ms * MILLISECOND, limit.current())
            });
            assert!(
                limit.current() <= (last / 4).max(4),
                "{latency_ms} ms: {} after {last}",
                limit.current()
            );
            last = limit.current();
        }
        // Where halving and the margin for queues balance.
        assert!(last <= 4, "{last}");
        assert!(converge(&mut limit, 50, 3000) >= 50, "it comes back: {}", limit.current());
    }

    /// A way that has become longer for good is usual after some time.
    #[test]
    fn a_permanently_longer_round_trip_becomes_the_baseline() {
        let mut limit = ConcurrencyLimit::new(50);
        converge(&mut limit, 100, 1000);
        for k in 0..1_000 {
            limit.record_response(
                limit.updated_at.max(BASELINE_GROWTH_NANOS) + k * 1_000 * MILLISECOND,
                200 * MILLISECOND,
                limit.current(),
            );
        }
        for k in 0..2_000 {
            limit.record_response(
                2 * BASELINE_GROWTH_NANOS + k * 1_000 * MILLISECOND,
                200 * MILLISECOND,
                limit.current(),
            );
        }
        assert_eq!(limit.current(), 50);
    }

    #[test]
    fn an_unused_limit_does_not_grow() {
        let mut limit = ConcurrencyLimit::new(1000);
        (0..1000).for_each(|_| limit.record_response(0, 50 * MILLISECOND, 1));
        assert_eq!(limit.current(), INITIAL_LIMIT as u32);
        (0..1000).for_each(|_| limit.record_drop());
        assert_eq!(limit.current(), 1);
    }
}
