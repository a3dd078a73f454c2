//! How long an answer would take at a server, in mean responses.

use super::Balancer;
use crate::interface::{Nanos, Report, Request, ServerId};

/// A reported queue is believed for this part of the lag's memory; usual ones average this many reports.
const REPORT_MEMORY: f64 = 0.15;
const USUAL_OVER: f64 = 100.0;
/// The least answer time given to a request whose hint is light, in mean responses.
const LIGHTEST: f64 = 0.25;
/// Quick answers of other classes make none look quicker than this part of what is usual.
const LEAST_PRESSURE: f64 = 0.5;

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
        let [mean, spread, both] = self.places[class].hints;
        match request.work_hint {
            Some(hint) if spread > 0.0 => {
                let more = (both / spread).max(0.0) * (hint as f64 - mean) / self.places[class].typical_nanos;
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
        let mut lag = (self.pressure(now, mean) + node.lag.read(now, self.memory)).max(0.0) * weight;
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
        queue * self.places[class].typical_nanos / self.settings.slots
    }

    /// What answers take of late as a multiple of what they usually do. All wait alike at a server: what is
    /// many times the one class's work is next to nothing to another.
    pub(super) fn pressure(&self, now: Nanos, mean: f64) -> f64 {
        (1.0 + self.waits.read(now, self.relief) / mean).max(LEAST_PRESSURE)
    }
}
