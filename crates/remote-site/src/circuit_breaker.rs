//! Whether a far site is asked at all.
//!
//! A breaker in the usual three states. What is tried while it is half open is safe requests only: nothing that must
//! not run twice is spent on finding out.

use corkhollow_balance::interface::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Failures are weighed over about so many endings.
const FAILURE_RATE_WINDOW_RESPONSES: f64 = 20.0;
/// The breaker opens where more than this part of them are failures, and not before so many have been seen.
const FAILURE_RATE_TO_OPEN: f64 = 0.5;
const MIN_RESPONSES_TO_OPEN: f64 = 8.0;
/// Trials that have to go well, one after the other.
const PROBES_TO_CLOSE: u32 = 3;
/// The pause doubles with each failed trial, up to this many times the first.
const MAX_OPEN_TIME_MULTIPLE: u32 = 32;

/// What the breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// All.
    Closed,
    /// One safe request at a time.
    HalfOpen,
    /// Nothing.
    Open,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    /// The first pause.
    base_open_time: Nanos,
    state: State,
    failure_rate: f64,
    response_count: f64,
    rng: Pcg64Mcg,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed,
    /// Nothing goes before `until`; `times` the first pause.
    Open {
        until: Nanos,
        open_time_multiple: u32,
    },
    /// So many trials have gone well, and one may be out.
    HalfOpen {
        successes: u32,
        probe_in_flight: bool,
        open_time_multiple: u32,
    },
}

impl CircuitBreaker {
    /// Closed; `pause` is how long it stays open the first time, drawn from half to one and a half of that.
    pub fn new(base_open_time: Nanos, seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        CircuitBreaker { base_open_time, state: State::Closed, failure_rate: 0.0, response_count: 0.0, rng }
    }

    /// What it lets through now.
    pub fn state_at(&self, now: Nanos) -> CircuitState {
        match self.state {
            State::Closed => CircuitState::Closed,
            State::Open { until, .. } if now < until => CircuitState::Open,
            State::HalfOpen { probe_in_flight: true, .. } => CircuitState::Open,
            State::Open { .. } | State::HalfOpen { .. } => CircuitState::HalfOpen,
        }
    }

    /// A request is sent through it.
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

    /// A request has been answered, well or badly; true where the far site is back with it.
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
            // From before it opened.
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

    /// A trial has ended without a word on the far site.
    pub fn release_probe(&mut self) {
        if let State::HalfOpen { probe_in_flight, .. } = &mut self.state {
            *probe_in_flight = false;
        }
    }

    /// The link is known to be lost.
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
        // Nodes that lost it at the same moment must not all come back at the same moment.
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
        assert_eq!(breaker.state_at(0), CircuitState::Closed, "too few to tell");
        let mut breaker = CircuitBreaker::new(SECOND, 1);
        (0..300).for_each(|k| {
            breaker.record_response(0, k % 3 == 0);
        });
        assert_eq!(breaker.state_at(0), CircuitState::Closed, "a third");
    }

    #[test]
    fn three_successful_probes_one_at_a_time_close_the_circuit() {
        let mut breaker = open_breaker();
        assert_eq!(breaker.state_at(SECOND / 2 - 1), CircuitState::Open);
        let now = 2 * SECOND;
        for probe in 0..3 {
            assert_eq!(breaker.state_at(now), CircuitState::HalfOpen);
            breaker.on_request_sent(now);
            assert_eq!(breaker.state_at(now), CircuitState::Open, "one is out");
            assert_eq!(breaker.record_response(now, false), probe == 2);
        }
        assert_eq!(breaker.state_at(now), CircuitState::Closed);
        assert!(
            !breaker.record_response(now, true) && breaker.state_at(now) == CircuitState::Closed,
            "it begins anew"
        );
    }

    /// A link that is up for 300 ms and down for 300 ms is asked more and more rarely.
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
            "{probe_count}, {late_probe_count} of them in the second minute"
        );
    }

    #[test]
    fn responses_to_requests_from_before_the_circuit_opened_are_ignored() {
        let mut breaker = open_breaker();
        assert!(!breaker.record_response(0, false));
        assert_eq!(breaker.state_at(0), CircuitState::Open);
        breaker.on_request_sent(3 * SECOND);
        breaker.release_probe();
        assert_eq!(
            breaker.state_at(3 * SECOND),
            CircuitState::HalfOpen,
            "a trial that told nothing is made again"
        );
    }
}
