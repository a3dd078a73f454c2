//! Estimates of how long a server takes to answer, in units of a class's typical response time.

use super::Balancer;
use crate::interface::{Nanos, Report, Request, ServerId};

/// Time constant of the trust in a reported queue, as a fraction of `decay_nanos`.
const REPORT_DECAY_FRACTION: f64 = 0.15;
/// Number of reports over which the typical queue is averaged.
const TYPICAL_QUEUE_SAMPLES: f64 = 100.0;
/// Least weight of a request with a work hint, in typical response times.
const MIN_REQUEST_WEIGHT: f64 = 0.25;
/// Lower bound of the fleet's pressure: quick answers of other classes say little about a class.
const MIN_PRESSURE: f64 = 0.5;

impl Balancer {
    pub(super) fn record_report(&mut self, now: Nanos, id: ServerId, report: Option<Report>) {
        let (Some(&index), Some(report)) = (self.by_id.get(&id), report) else { return };
        let state = &mut self.servers[index];
        state.reported_queue = f64::from(report.queued.unwrap_or(0.0)).max(0.0);
        state.reported_at = now;
        self.typical_queue +=
            (state.reported_queue / state.size - self.typical_queue) / TYPICAL_QUEUE_SAMPLES;
        state.weight_since_report = 0.0;
    }

    /// The expected response time of a request in its class's typical ones, by linear regression over work
    /// hints; 1 without a hint.
    pub(super) fn request_weight(&self, request: &Request) -> f64 {
        let class = usize::from(request.class);
        let [mean, variance, covariance] = self.class_states[class].hint_moments;
        match request.work_hint {
            Some(hint) if variance > 0.0 => {
                let extra = (covariance / variance).max(0.0) * (hint as f64 - mean)
                    / self.class_states[class].typical_nanos;
                (1.0 + extra).max(MIN_REQUEST_WEIGHT)
            }
            _ => 1.0,
        }
    }

    /// The expected response time of a server, in the class's typical ones: its recent lag, or its silence
    /// while it has work if that is longer (a hung server must not look idle), and the queued work per unit
    /// of size; all of it times the expected number of attempts.
    pub(super) fn estimated_queue(&self, now: Nanos, index: usize, mean: f64, weight: f64) -> f64 {
        let state = &self.servers[index];
        let mut lag =
            (self.fleet_pressure(now, mean) + state.lag.value_at(now, self.decay_nanos)).max(0.0) * weight;
        if state.outstanding > 0 {
            lag = lag.max(now.saturating_sub(state.silent_since) as f64 / mean);
        }
        let age = now.saturating_sub(state.reported_at) as f64;
        let trust = (-age / (REPORT_DECAY_FRACTION * self.decay_nanos)).exp();
        let own = state.outstanding_weight / state.size;
        let since = state.weight_since_report / state.size;
        let waiting =
            (state.reported_queue / state.size * trust + since.min(own) + self.typical_queue * (1.0 - trust))
                .max(own);
        // The lag already includes the typical queue: only the difference from it is added.
        (lag + waiting - self.typical_queue).max(own) * self.expected_attempts(now, index)
    }

    /// The expected response time of a class behind such a queue, in nanoseconds.
    pub(super) fn expected_latency(&self, class: usize, queue: f64) -> f64 {
        queue * self.class_states[class].typical_nanos / self.settings.slots
    }

    /// Recent response times of the fleet as a multiple of the typical ones, for a class with this mean.
    /// Delays are averaged as absolute times, because requests of all classes wait in the same queues.
    pub(super) fn fleet_pressure(&self, now: Nanos, mean: f64) -> f64 {
        (1.0 + self.fleet_delay.value_at(now, self.delay_decay_nanos) / mean).max(MIN_PRESSURE)
    }
}
