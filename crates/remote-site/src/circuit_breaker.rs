//! A circuit breaker with the states closed, open and half-open.
//!
//! The caller should send only safe requests as probes while the circuit is half-open: a failed probe may
//! have run.

use corkhollow_balance::interface::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Number of recent responses that the moving average of the failure rate covers.
const FAILURE_RATE_WINDOW_RESPONSES: f64 = 20.0;
/// The circuit opens when the failure rate exceeds this.
const FAILURE_RATE_TO_OPEN: f64 = 0.5;
/// Fewer responses than this never open the circuit.
const MIN_RESPONSES_TO_OPEN: f64 = 8.0;
/// Consecutive successful probes that close a half-open circuit.
const PROBES_TO_CLOSE: u32 = 3;
/// The open time doubles with each failed probe, up to this multiple of the base open time.
const MAX_OPEN_TIME_MULTIPLE: u32 = 32;

/// Which requests the circuit breaker admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// All requests.
    Closed,
    /// One safe request as a probe.
    HalfOpen,
    /// No requests: the circuit is open, or it is half-open and a probe is in flight.
    Open,
}

/// A circuit breaker; see the [module documentation](self).
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    /// Open time, before jitter, when the circuit opens from closed.
    base_open_time: Nanos,
    state: State,
    failure_rate: f64,
    response_count: f64,
    rng: Pcg64Mcg,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed,
    /// No requests are admitted before `until`.
    Open {
        until: Nanos,
        open_time_multiple: u32,
    },
    /// `successes` counts consecutive successful probes.
    HalfOpen {
        successes: u32,
        probe_in_flight: bool,
        open_time_multiple: u32,
    },
}

impl CircuitBreaker {
    /// Creates a closed circuit breaker. The first open time is random, between 0.5 and 1.5 times
    /// `base_open_time`.
    pub fn new(base_open_time: Nanos, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        CircuitBreaker { base_open_time, state: State::Closed, failure_rate: 0.0, response_count: 0.0, rng }
    }

    /// Returns which requests are admitted at `now`.
    pub fn state_at(&self, now: Nanos) -> CircuitState {
        match self.state {
            State::Closed => CircuitState::Closed,
            State::Open { until, .. } if now < until => CircuitState::Open,
            State::HalfOpen { probe_in_flight: true, .. } => CircuitState::Open,
            State::Open { .. } | State::HalfOpen { .. } => CircuitState::HalfOpen,
        }
    }

    /// Records that an admitted request was sent; after the open time, the request is a probe.
    pub fn on_request_sent(&mut self, now: Nanos) {
        match &mut self.state {
            State::Open { until, open_time_multiple } if now >= *until => {
                self.state = State::HalfOpen {
                    successes: 0,
                    probe_in_flight: true,
                    open_time_multiple: *open_time_multiple,
                };
            }
            State::HalfOpen { probe_in_flight, .. } => *probe_in_flight = true,
            State::Closed | State::Open { .. } => {}
        }
    }

    /// Records the outcome of a request. Returns true if it closes a half-open circuit.
    pub fn record_response(&mut self, now: Nanos, failed: bool) -> bool {
        match self.state {
            State::Closed => {
                self.response_count = (self.response_count + 1.0).min(FAILURE_RATE_WINDOW_RESPONSES);
                self.failure_rate += (f64::from(u8::from(failed)) - self.failure_rate) / self.response_count;
                if failed
                    && self.response_count >= MIN_RESPONSES_TO_OPEN
                    && self.failure_rate > FAILURE_RATE_TO_OPEN
                {
                    self.open(now, 1);
                }
                false
            }
            // The request was sent before the circuit opened.
            State::Open { .. } => false,
            State::HalfOpen { open_time_multiple, .. } if failed => {
                self.open(now, (open_time_multiple * 2).min(MAX_OPEN_TIME_MULTIPLE));
                false
            }
            State::HalfOpen { successes, open_time_multiple, .. } if successes + 1 < PROBES_TO_CLOSE => {
                self.state =
                    State::HalfOpen { successes: successes + 1, probe_in_flight: false, open_time_multiple };
                false
            }
            State::HalfOpen { .. } => {
                (self.state, self.failure_rate, self.response_count) = (State::Closed, 0.0, 0.0);
                true
            }
        }
    }

    /// Admits another probe after one ended without telling whether the remote site is available.
    pub fn release_probe(&mut self) {
        if let State::HalfOpen { probe_in_flight, .. } = &mut self.state {
            *probe_in_flight = false;
        }
    }

    /// Opens the circuit because the link to the remote site is down.
    pub fn on_link_lost(&mut self, now: Nanos) {
        let open_time_multiple = match self.state {
            State::Closed => 1,
            State::Open { .. } => return,
            State::HalfOpen { open_time_multiple, .. } => {
                (open_time_multiple * 2).min(MAX_OPEN_TIME_MULTIPLE)
            }
        };
        self.open(now, open_time_multiple);
    }

    fn open(&mut self, now: Nanos, open_time_multiple: u32) {
        // Jitter: nodes that lost the link at the same moment must not all probe at the same moment.
        let jitter = 0.5 + f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let open_time = self.base_open_time as f64 * f64::from(open_time_multiple) * jitter;
        self.state = State::Open { until: now.saturating_add(open_time as Nanos), open_time_multiple };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Nanos = 1_000_000_000;

    fn open_breaker() -> CircuitBreaker {
        let mut breaker = CircuitBreaker::new(SECOND, 1);
        (0..8).for_each(|_| {
            breaker.record_response(0, true);
        });
        assert_eq!(breaker.state_at(0), CircuitState::Open);
        breaker
    }

    #[test]
    fn few_failures_or_a_low_failure_rate_do_not_open_the_circuit() {
        let mut breaker = CircuitBreaker::new(SECOND, 1);
        (0..7).for_each(|_| {
            breaker.record_response(0, true);
        });
        assert_eq!(breaker.state_at(0), CircuitState::Closed, "too few responses");
        let mut breaker = CircuitBreaker::new(SECOND, 1);
        (0..300).for_each(|k| {
            breaker.record_response(0, k % 3 == 0);
        });
        assert_eq!(breaker.state_at(0), CircuitState::Closed, "a third of the responses failed");
    }

    #[test]
    fn three_successful_probes_one_at_a_time_close_the_circuit() {
        let mut breaker = open_breaker();
        assert_eq!(breaker.state_at(SECOND / 2 - 1), CircuitState::Open);
        let now = 2 * SECOND;
        for probe in 0..3 {
            assert_eq!(breaker.state_at(now), CircuitState::HalfOpen);
            breaker.on_request_sent(now);
            assert_eq!(breaker.state_at(now), CircuitState::Open, "one probe is in flight");
            assert_eq!(breaker.record_response(now, false), probe == 2);
        }
        assert_eq!(breaker.state_at(now), CircuitState::Closed);
        assert!(
            !breaker.record_response(now, true) && breaker.state_at(now) == CircuitState::Closed,
            "closing resets the failure rate"
        );
    }

    /// The link is up for 300 ms and down for 300 ms; every probe is sent while it is down.
    #[test]
    fn a_flapping_link_is_probed_less_and_less_often() {
        let mut breaker = CircuitBreaker::new(SECOND, 7);
        let (mut probe_count, mut late_probe_count) = (0, 0);
        for ms in 0..120_000u64 {
            let now = ms * 1_000_000;
            let is_up = (ms / 300) % 2 == 0;
            if ms % 300 == 0 && !is_up {
                breaker.on_link_lost(now);
            }
            if breaker.state_at(now) == CircuitState::HalfOpen && !is_up {
                breaker.on_request_sent(now);
                breaker.record_response(now, true);
                probe_count += 1;
                late_probe_count += u32::from(ms > 60_000);
            }
        }
        assert!(
            probe_count < 20 && late_probe_count < 5,
            "{probe_count} probes, {late_probe_count} of them in the second minute"
        );
    }

    #[test]
    fn responses_to_requests_from_before_the_circuit_opened_are_ignored() {
        let mut breaker = open_breaker();
        assert!(!breaker.record_response(0, false));
        assert_eq!(breaker.state_at(0), CircuitState::Open);
        breaker.on_request_sent(3 * SECOND);
        breaker.release_probe();
        assert_eq!(breaker.state_at(3 * SECOND), CircuitState::HalfOpen, "an inconclusive probe is repeated");
    }
}
