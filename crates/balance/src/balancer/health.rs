//! Response times, failure rates and outlier ejection, updated when attempts end.

use super::{Attempt, Balancer, Sink};
use crate::interface::{Action, Ending, Nanos, Phase, Request};

/// No failure but a failed connection ejects a server while this fraction of its zone is ejected.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Longest give-up time that ejection times scale with, since the platform counts longer deadlines as 3 s:
/// servers do not recover later because clients wait longer.
const MAX_GIVE_UP_FOR_EJECTION: Nanos = 3_000_000_000;
/// Least weight of a new sample in a server's lag.
const MIN_LAG_WEIGHT: f64 = 0.15;
/// Weight of a new sample in the delays of the fleet and of a class.
const DELAY_WEIGHT: f64 = 0.1;
/// Number of answers over which a class's typical response time follows slower and faster ones.
const TYPICAL_RISE_SAMPLES: f64 = 200.0;
const TYPICAL_FALL_SAMPLES: f64 = 50.0;
/// Weight of a new sample in a class's minimal response time: of a faster answer, and of a slower one that
/// did not wait behind other attempts of this node.
const MINIMUM_FALL_WEIGHT: f64 = 0.2;
const MINIMUM_RISE_WEIGHT: f64 = 0.002;
/// Weight of a new ending in a server's failure rate, and the least success rate that is assumed.
const FAILURE_WEIGHT: f64 = 0.15;
const MIN_SUCCESS_RATE: f64 = 0.02;
/// Weight of a new answer in the moments of work hints.
const HINT_WEIGHT: f64 = 0.01;

impl Balancer {
    /// An attempt no longer occupies its server, or is no longer waited for.
    pub(super) fn end_work(&mut self, index: usize, weight: f64) {
        let state = &mut self.servers[index];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.outstanding_weight =
            if state.outstanding == 0 { 0.0 } else { (state.outstanding_weight - weight).max(0.0) };
    }

    /// Updates response times, failure rates and ejection by the ending of an attempt.
    pub(super) fn record_ending(
        &mut self,
        now: Nanos,
        attempt: Attempt,
        request: &Request,
        ending: Ending,
        sink: Sink,
    ) {
        let class = usize::from(request.class);
        let pressure = self.fleet_pressure(now, self.class_states[class].typical_nanos);
        let class_state = &mut self.class_states[class];
        let (index, weight, took, state) =
            (attempt.server, attempt.weight, attempt.took as f64, &mut self.servers[attempt.server]);
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Rejected | Ending::Full | Ending::Reset) {
            state.silent_since = now;
        }
        if matches!(ending, Ending::Ok | Ending::TimedOut) {
            let expected = class_state.typical_nanos * weight;
            if let Some(hint) = request.work_hint {
                let [mean, variance, covariance] = &mut class_state.hint_moments;
                let (hint_deviation, time_deviation) =
                    (hint as f64 - *mean, took - class_state.typical_nanos);
                *mean += hint_deviation * HINT_WEIGHT;
                *variance += (hint_deviation * hint_deviation - *variance) * HINT_WEIGHT;
                *covariance += (hint_deviation * time_deviation - *covariance) * HINT_WEIGHT;
            }
            // The typical time follows slowly, upwards slowest, so that an overload does not become typical.
            // Its initial guess weighs as much as one answer.
            let max_samples = if took > expected { TYPICAL_RISE_SAMPLES } else { TYPICAL_FALL_SAMPLES };
            class_state.answer_count += f64::from(u8::from(ending == Ending::Ok));
            let samples = if ending == Ending::Ok {
                max_samples.min(class_state.answer_count + 1.0)
            } else {
                max_samples
            };
            class_state.typical_nanos += (took - class_state.typical_nanos) / samples;
            let (unit_time, rise) =
                (took / weight, if attempt.server_was_idle { MINIMUM_RISE_WEIGHT } else { 0.0 });
            class_state.min_nanos =
                if class_state.min_nanos == 0.0 { unit_time } else { class_state.min_nanos };
            class_state.min_nanos += (unit_time - class_state.min_nanos)
                * if unit_time < class_state.min_nanos { MINIMUM_FALL_WEIGHT } else { rise };
            class_state.delay.add_sample(
                now,
                self.delay_decay_nanos,
                unit_time - class_state.min_nanos,
                DELAY_WEIGHT,
            );
            self.fleet_delay.add_sample(now, self.delay_decay_nanos, took - expected, DELAY_WEIGHT);
            let gap = 1.0 - (-(now.saturating_sub(state.lag.updated_at) as f64) / self.decay_nanos).exp();
            state.lag.add_sample(now, self.decay_nanos, took / expected - pressure, MIN_LAG_WEIGHT.max(gap));
        }
        match ending {
            Ending::Ok => {
                self.servers[index].failure_rate.add_sample(now, self.decay_nanos, 0.0, FAILURE_WEIGHT);
                if self.servers[index].ejected_until <= now {
                    self.servers[index].consecutive_failures = 0;
                }
            }
            Ending::Cancelled | Ending::NotSent => {}
            // A server that fails fast must not gain rank by its failures.
            _ => {
                self.add_score(index, -attempt.credit);
                if !matches!(ending, Ending::TimedOut | Ending::Rejected) {
                    self.servers[index].failure_rate.add_sample(now, self.decay_nanos, 1.0, FAILURE_WEIGHT);
                }
                if ending != Ending::TimedOut {
                    self.record_failure(now, index, ending, sink);
                }
            }
        }
    }

    /// The expected number of attempts until the server answers one. A server that fails fast and cannot be
    /// ejected would otherwise win by its short queue.
    pub(super) fn expected_attempts(&self, now: Nanos, index: usize) -> f64 {
        1.0 / (1.0 - self.servers[index].failure_rate.value_at(now, self.decay_nanos)).max(MIN_SUCCESS_RATE)
    }

    /// Counts a consecutive failure, and ejects the server unless too many of its zone are ejected.
    pub(super) fn record_failure(&mut self, now: Nanos, index: usize, ending: Ending, sink: Sink) {
        let zone = usize::from(self.servers[index].entry.zone);
        if self.servers[index].ejected_until > now || self.servers[index].entry.phase != Phase::Ready {
            return;
        }
        let ejected =
            self.ranked_by_zone[zone].iter().filter(|&other| self.servers[other].ejected_until > now).count();
        if ending != Ending::ConnectFailed
            && ejected as f64 >= MAX_EJECTED_FRACTION * self.ranked_by_zone[zone].len() as f64
        {
            return;
        }
        let jitter = 0.75 + 0.5 * self.random_fraction();
        let state = &mut self.servers[index];
        state.consecutive_failures = (state.consecutive_failures + 1).min(4);
        if matches!(ending, Ending::Reset | Ending::Rejected) && state.consecutive_failures == 1 {
            return;
        }
        let ejection = self.max_give_up.min(MAX_GIVE_UP_FOR_EJECTION) as f64 / 2.0
            * f64::from(1 << state.consecutive_failures)
            * jitter;
        state.ejected_until = now + ejection as Nanos;
        if state.consecutive_failures == 2 {
            let text = format!("ejected after {ending:?}");
            sink.push(Action::Log { server: Some(state.entry.id), text });
        }
    }
}
