//! An adaptive limit on the requests in flight to a remote site, based on their latency.
//!
//! Like the gradient algorithm of Netflix's concurrency-limits: the limit shrinks while latency exceeds a
//! baseline, and otherwise grows by a margin for queueing. The baseline follows faster responses quickly and
//! slower ones slowly. A long-term average would rise during an overload; the minimum ever seen, as in Vegas,
//! would never adapt to a longer network path.

use crate::as_seconds;
use corkhollow_balance::interface::Nanos;

const INITIAL_LIMIT: f64 = 4.0;
/// At least one request stays allowed, so that a recovery is noticed.
const MIN_LIMIT: f64 = 1.0;
/// The limit shrinks when the latency exceeds this multiple of the baseline.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Fraction of its distance from the target that the limit moves with one response.
const LIMIT_SMOOTHING: f64 = 0.2;
/// Fraction of the difference by which a faster response lowers the baseline.
const FASTER_SAMPLE_WEIGHT: f64 = 0.5;
/// Slower responses raise the baseline by at most a factor of e in this time: slow enough that an overload
/// does not become the baseline, while a longer network path does.
const BASELINE_GROWTH_NANOS: Nanos = 600_000_000_000;

/// An adaptive concurrency limit; see the [module documentation](self).
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    /// Expected latency without overload; none before the first response.
    baseline_seconds: Option<f64>,
    updated_at: Nanos,
}

impl ConcurrencyLimit {
    /// Creates a limit that never exceeds `max_limit`.
    pub fn new(max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit).max(MIN_LIMIT);
        ConcurrencyLimit {
            limit: INITIAL_LIMIT.min(max_limit),
            max_limit,
            baseline_seconds: None,
            updated_at: 0,
        }
    }

    /// Returns how many requests may be in flight.
    pub fn current(&self) -> u32 {
        self.limit as u32
    }

    /// Records a response; `in_flight` counts the requests that were in flight, including this one.
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
        // A limit that is not used is not evidence that a higher one is safe.
        if f64::from(in_flight) < self.limit / 2.0 {
            return;
        }
        let gradient = (LATENCY_TOLERANCE * *baseline_seconds / latency_seconds).clamp(0.5, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        self.limit = (self.limit + (target - self.limit) * LIMIT_SMOOTHING).clamp(MIN_LIMIT, self.max_limit);
    }

    /// Records a request that timed out or was refused for lack of capacity.
    pub fn record_drop(&mut self) {
        self.limit = (self.limit * 0.9).max(MIN_LIMIT);
    }

    /// Returns to the initial state, after the remote site was unavailable.
    pub fn reset(&mut self) {
        *self = ConcurrencyLimit::new(self.max_limit as u32);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MILLISECOND: Nanos = 1_000_000;

    /// Simulates a remote site with `workers` that take 50 ms each, always at the limit; returns the
    /// resulting limit.
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

    /// The latency rises to 400 ms, 4 s and 40 s, without an error.
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
        // The minimum gradient of 0.5 and the margin for queueing balance at 4.
        assert!(last <= 4, "{last}");
        assert!(converge(&mut limit, 50, 3000) >= 50, "the limit recovers: {}", limit.current());
    }

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
