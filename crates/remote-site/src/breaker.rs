//! Whether a far site is asked at all.
//!
//! A breaker in the usual three states. What is tried while it is half open is safe requests only: nothing that must
//! not run twice is spent on finding out.

use corkhollow_balance::interface::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Failures are weighed over about so many endings.
const OVER: f64 = 20.0;
/// The breaker opens where more than this part of them are failures, and not before so many have been seen.
const FAILED: f64 = 0.5;
const SEEN: f64 = 8.0;
/// Trials that have to go well, one after the other.
const TRIALS: u32 = 3;
/// The pause doubles with each failed trial, up to this many times the first.
const LONGEST: u32 = 32;

/// What the breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    /// All.
    Closed,
    /// One safe request at a time.
    HalfOpen,
    /// Nothing.
    Open,
}

/// See the module's documentation.
#[derive(Clone, Debug)]
pub struct Breaker {
    /// The first pause.
    pause: Nanos,
    state: State,
    failing: f64,
    seen: f64,
    draw: Pcg64Mcg,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Closed,
    /// Nothing goes before `until`; `times` the first pause.
    Open {
        until: Nanos,
        times: u32,
    },
    /// So many trials have gone well, and one may be out.
    HalfOpen {
        good: u32,
        out: bool,
        times: u32,
    },
}

impl Breaker {
    /// Closed; `pause` is how long it stays open the first time, drawn from half to one and a half of that.
    pub fn new(pause: Nanos, seed: u64) -> Self {
        let draw = Pcg64Mcg::seed_from_u64(seed);
        Breaker { pause, state: State::Closed, failing: 0.0, seen: 0.0, draw }
    }

    /// What it lets through now.
    pub fn gate(&self, now: Nanos) -> Gate {
        match self.state {
            State::Closed => Gate::Closed,
            State::Open { until, .. } if now < until => Gate::Open,
            State::HalfOpen { out: true, .. } => Gate::Open,
            State::Open { .. } | State::HalfOpen { .. } => Gate::HalfOpen,
        }
    }

    /// A request is sent through it.
    pub fn sent(&mut self, now: Nanos) {
        match &mut self.state {
            State::Open { until, times } if now >= *until => {
                self.state = State::HalfOpen { good: 0, out: true, times: *times };
            }
            State::HalfOpen { out, .. } => *out = true,
            State::Closed | State::Open { .. } => {}
        }
    }

    /// A request has been answered, well or badly; true where the far site is back with it.
    pub fn ended(&mut self, now: Nanos, failed: bool) -> bool {
        match self.state {
            State::Closed => {
                self.seen = (self.seen + 1.0).min(OVER);
                self.failing += (f64::from(u8::from(failed)) - self.failing) / self.seen;
                if failed && self.seen >= SEEN && self.failing > FAILED {
                    self.open(now, 1);
                }
                false
            }
            // From before it opened.
            State::Open { .. } => false,
            State::HalfOpen { times, .. } if failed => {
                self.open(now, (times * 2).min(LONGEST));
                false
            }
            State::HalfOpen { good, times, .. } if good + 1 < TRIALS => {
                self.state = State::HalfOpen { good: good + 1, out: false, times };
                false
            }
            State::HalfOpen { .. } => {
                (self.state, self.failing, self.seen) = (State::Closed, 0.0, 0.0);
                true
            }
        }
    }

    /// A trial has ended without a word on the far site.
    pub fn spared(&mut self) {
        if let State::HalfOpen { out, .. } = &mut self.state {
            *out = false;
        }
    }

    /// The link is known to be lost.
    pub fn lost(&mut self, now: Nanos) {
        let times = match self.state {
            State::Closed => 1,
            State::Open { .. } => return,
            State::HalfOpen { times, .. } => (times * 2).min(LONGEST),
        };
        self.open(now, times);
    }

    fn open(&mut self, now: Nanos, times: u32) {
        // Nodes that lost it at the same moment must not all come back at the same moment.
        let part = 0.5 + f64::from(self.draw.next_u32()) / f64::from(u32::MAX);
        let pause = self.pause as f64 * f64::from(times) * part;
        self.state = State::Open { until: now.saturating_add(pause as Nanos), times };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Nanos = 1_000_000_000;

    fn opened() -> Breaker {
        let mut breaker = Breaker::new(S, 1);
        (0..8).for_each(|_| {
            breaker.ended(0, true);
        });
        assert_eq!(breaker.gate(0), Gate::Open);
        breaker
    }

    #[test]
    fn some_failures_do_not_open_it() {
        let mut breaker = Breaker::new(S, 1);
        (0..7).for_each(|_| {
            breaker.ended(0, true);
        });
        assert_eq!(breaker.gate(0), Gate::Closed, "too few to tell");
        let mut breaker = Breaker::new(S, 1);
        (0..300).for_each(|k| {
            breaker.ended(0, k % 3 == 0);
        });
        assert_eq!(breaker.gate(0), Gate::Closed, "a third");
    }

    #[test]
    fn three_good_trials_close_it_one_at_a_time() {
        let mut breaker = opened();
        assert_eq!(breaker.gate(S / 2 - 1), Gate::Open);
        let now = 2 * S;
        for trial in 0..3 {
            assert_eq!(breaker.gate(now), Gate::HalfOpen);
            breaker.sent(now);
            assert_eq!(breaker.gate(now), Gate::Open, "one is out");
            assert_eq!(breaker.ended(now, false), trial == 2);
        }
        assert_eq!(breaker.gate(now), Gate::Closed);
        assert!(!breaker.ended(now, true) && breaker.gate(now) == Gate::Closed, "it begins anew");
    }

    /// A link that is up for 300 ms and down for 300 ms is asked more and more rarely.
    #[test]
    fn a_flapping_link_is_left_alone() {
        let mut breaker = Breaker::new(S, 7);
        let (mut asked, mut late) = (0, 0);
        for ms in 0..120_000u64 {
            let now = ms * 1_000_000;
            let up = (ms / 300) % 2 == 0;
            if ms % 300 == 0 && !up {
                breaker.lost(now);
            }
            if breaker.gate(now) == Gate::HalfOpen && !up {
                breaker.sent(now);
                breaker.ended(now, true);
                asked += 1;
                late += u32::from(ms > 60_000);
            }
        }
        assert!(asked < 20 && late < 5, "{asked}, {late} of them in the second minute");
    }

    #[test]
    fn what_comes_late_from_before_counts_for_nothing() {
        let mut breaker = opened();
        assert!(!breaker.ended(0, false));
        assert_eq!(breaker.gate(0), Gate::Open);
        breaker.sent(3 * S);
        breaker.spared();
        assert_eq!(breaker.gate(3 * S), Gate::HalfOpen, "a trial that told nothing is made again");
    }
}
