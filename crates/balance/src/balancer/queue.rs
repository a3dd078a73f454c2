//! How long an answer would take at a server, in mean responses.

use super::Balancer;
use crate::interface::{Nanos, Report, Request, ServerId};

/// A reported queue is believed for this part of the lag's memory; usual ones average this many reports.
const REPORT_MEMORY: f64 = 0.15;
const USUAL_OVER: f64 = 100.0;
/// The least answer time given to a request whose hint is light, in mean responses.
const LIGHTEST: f64 = 0.25;

impl Balancer {
    pub(super) fn learn(&mut self, now: Nanos, id: ServerId, report: Option<Report>) {
        let (Some(&i), Some(report)) = (self.by_id.get(&id), report) else { return };
        let node = &mut self.nodes[i];
        node.queued = f64::from(report.queued.unwrap_or(0.0)).max(0.0);
        node.report_at = now;
        self.usual_queue += (node.queued / node.size - self.usual_queue) / USUAL_OVER;
        node.sent_since = 0.0;
    }

    pub(super) fn weight(&self, request: &Request) -> f64 {
        let class = usize::from(request.class);
        let [mean, spread, both] = self.hints[class];
        match request.work_hint {
            Some(hint) if spread > 0.0 => {
                let more = (both / spread).max(0.0) * (hint as f64 - mean) / self.typical[class];
                (1.0 + more).max(LIGHTEST)
            }
            _ => 1.0,
        }
    }

    /// How long an answer takes here, in the class's mean responses: recent lag, or the silence while work is
    /// out if that is longer (a hung server must not look idle), and the work that waits per unit of size;
    /// all of it as often as it takes until one is answered.
    pub(super) fn queue(&self, now: Nanos, i: usize, mean: f64, weight: f64) -> f64 {
        let node = &self.nodes[i];
        let faded = (-(now.saturating_sub(node.lag_at) as f64) / self.memory).exp();
        let fleet = self.pressure_now(now);
        let mut lag = fleet * (1.0 + (node.lag - 1.0) * faded) * weight;
        if node.out > 0 {
            lag = lag.max(now.saturating_sub(node.silent_since) as f64 / mean);
        }
        let age = now.saturating_sub(node.report_at) as f64;
        let known = (-age / (REPORT_MEMORY * self.memory)).exp();
        let own = node.load / node.size;
        let since = node.sent_since / node.size;
        let waiting =
            (node.queued / node.size * known + since.min(own) + self.usual_queue * (1.0 - known)).max(own);
        // The lag already holds the usual queue: only what differs from it counts.
        (lag + waiting - self.usual_queue).max(own) * self.tries(now, i)
    }

    /// When an answer is expected that has such a queue before it.
    pub(super) fn expected(&self, class: usize, queue: f64) -> f64 {
        queue * self.typical[class] / self.settings.slots
    }

    pub(super) fn pressure_now(&self, now: Nanos) -> f64 {
        let faded = (-(now.saturating_sub(self.pressure_at) as f64) / self.relief).exp();
        1.0 + (self.pressure - 1.0) * faded
    }
}
