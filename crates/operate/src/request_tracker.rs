//! Tracks one request and counts its outcome exactly once.

use corkhollow_balance::interface::Nanos;
use prometheus::{Histogram, IntCounter, IntGauge};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// No server had capacity in time (declined).
    Busy,
    /// The client's connection was over the connection limit (declined).
    ConnectionLimit,
    /// A server answered 429 or 503 (declined).
    ServerBusy,
    /// There was no answer before the deadline (aborted).
    TimedOut,
    /// All attempts failed, or none could be made (aborted).
    Failed,
    /// A server answered with a 5xx other than 503 (aborted).
    ServerError,
    /// The answer ended before it was complete (aborted).
    AnswerTruncated,
    /// The client left before there was an answer (aborted).
    ClientLeft,
    /// The gateway rejected the request: malformed, too large or too slow (aborted).
    RejectedByGateway,
}

impl UnservedReason {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [UnservedReason; 9] = [
        UnservedReason::Busy,
        UnservedReason::ConnectionLimit,
        UnservedReason::ServerBusy,
        UnservedReason::TimedOut,
        UnservedReason::Failed,
        UnservedReason::ServerError,
        UnservedReason::AnswerTruncated,
        UnservedReason::ClientLeft,
        UnservedReason::RejectedByGateway,
    ];

    /// The reason's label in metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnservedReason::Busy => "busy",
            UnservedReason::ConnectionLimit => "no-place",
            UnservedReason::ServerBusy => "server-busy",
            UnservedReason::TimedOut => "late",
            UnservedReason::Failed => "failed",
            UnservedReason::ServerError => "server-error",
            UnservedReason::AnswerTruncated => "cut",
            UnservedReason::ClientLeft => "gone",
            UnservedReason::RejectedByGateway => "turned-down",
        }
    }

    fn is_declined(self) -> bool {
        matches!(self, UnservedReason::Busy | UnservedReason::ConnectionLimit | UnservedReason::ServerBusy)
    }
}

/// Metrics of one class of requests.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    pub(crate) succeeded: IntCounter,
    pub(crate) declined: IntCounter,
    pub(crate) aborted: IntCounter,
    /// Indexed by [`UnservedReason`].
    pub(crate) unserved: [IntCounter; UnservedReason::ALL.len()],
    pub(crate) answer_seconds: Histogram,
    pub(crate) outstanding: IntGauge,
}

/// Outcome of a request so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Open,
    Served,
    Unserved(UnservedReason),
}

/// Counts one request when dropped: by the outcome recorded, or as [`UnservedReason::ClientLeft`] if there
/// was none.
#[derive(Debug)]
pub struct RequestTracker {
    class: ClassMetrics,
    received_at: Option<Nanos>,
    outcome: Outcome,
}

impl RequestTracker {
    /// Starts tracking a request of this class.
    pub fn new(class: ClassMetrics) -> Self {
        RequestTracker { class, received_at: None, outcome: Outcome::Open }
    }

    /// Records that the last byte of the request was received; it is outstanding from now on.
    pub fn mark_received(&mut self, now: Nanos) {
        if self.received_at.is_none() {
            self.received_at = Some(now);
            self.class.outstanding.inc();
        }
    }

    /// Records that the request is refused because its connection is over the limit.
    pub fn mark_over_limit(&mut self) {
        self.outcome = Outcome::Unserved(UnservedReason::ConnectionLimit);
    }

    /// Records the status of the final answer, made by a server or by the gateway itself.
    pub fn record_answer(&mut self, now: Nanos, status: u16, by_server: bool) {
        // A server's 4xx (e.g. 404) counts as served; the gateway's own does not.
        let outcome = match (status, by_server) {
            (429 | 503, true) => Outcome::Unserved(UnservedReason::ServerBusy),
            (429 | 503, false) => Outcome::Unserved(UnservedReason::Busy),
            (200..=399, _) | (400..=499, true) => Outcome::Served,
            (400..=499, false) => Outcome::Unserved(UnservedReason::RejectedByGateway),
            (_, true) => Outcome::Unserved(UnservedReason::ServerError),
            (504, false) => Outcome::Unserved(UnservedReason::TimedOut),
            (_, false) => Outcome::Unserved(UnservedReason::Failed),
        };
        if let (Outcome::Served, Some(received_at)) = (outcome, self.received_at) {
            self.class.answer_seconds.observe(now.saturating_sub(received_at) as f64 / 1e9);
        }
        if self.outcome == Outcome::Open {
            self.outcome = outcome;
        }
    }

    /// Records that the answer ended before it was complete.
    pub fn mark_truncated(&mut self) {
        self.outcome = Outcome::Unserved(UnservedReason::AnswerTruncated);
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if self.received_at.is_some() {
            self.class.outstanding.dec();
        }
        let reason = match self.outcome {
            Outcome::Served => return self.class.succeeded.inc(),
            Outcome::Open => UnservedReason::ClientLeft,
            Outcome::Unserved(reason) => reason,
        };
        self.class.unserved[reason as usize].inc();
        match reason.is_declined() {
            true => self.class.declined.inc(),
            false => self.class.aborted.inc(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Metrics;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn render(metrics: &Metrics) -> String {
        String::from_utf8(metrics.render().unwrap().0).unwrap()
    }

    #[test]
    fn each_request_is_counted_once_by_its_outcome() {
        let metrics = Metrics::new().unwrap();
        let class = metrics.for_class("status");
        let mut unanswered = RequestTracker::new(class.clone());
        unanswered.mark_received(0);
        unanswered.mark_received(0);
        assert!(render(&metrics).contains("\ngw_outstanding 1\n"));
        for status in [200, 200, 503, 429, 502, 404] {
            let mut tracker = RequestTracker::new(class.clone());
            tracker.mark_received(1_000_000_000);
            tracker.record_answer(1_040_000_000, status, false);
        }
        let mut truncated = RequestTracker::new(class.clone());
        truncated.record_answer(0, 200, true);
        truncated.mark_truncated();
        drop(truncated);
        let mut over_limit = RequestTracker::new(class);
        over_limit.mark_over_limit();
        over_limit.record_answer(0, 503, false);
        drop(over_limit);
        RequestTracker::new(metrics.for_class("general")).record_answer(0, 404, true);
        drop(unanswered);
        let rendered = render(&metrics);
        for line in [
            "gw_succeeded{service=\"status\"} 2",
            "gw_declined{service=\"status\"} 3",
            "gw_aborted{service=\"status\"} 4",
            "gw_unserved{reason=\"busy\",service=\"status\"} 2",
            "gw_unserved{reason=\"no-place\",service=\"status\"} 1",
            "gw_unserved{reason=\"failed\",service=\"status\"} 1",
            "gw_unserved{reason=\"turned-down\",service=\"status\"} 1",
            "gw_unserved{reason=\"cut\",service=\"status\"} 1",
            "gw_unserved{reason=\"gone\",service=\"status\"} 1",
            "gw_answer_seconds_count{service=\"status\"} 2",
            "gw_answer_seconds_bucket{service=\"status\",le=\"0.03\"} 0",
            "gw_answer_seconds_bucket{service=\"status\",le=\"0.1\"} 2",
            "gw_succeeded{service=\"general\"} 1",
            "gw_outstanding 0",
        ] {
            assert!(rendered.lines().any(|shown| shown == line), "{line} is not in\n{rendered}");
        }
    }

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Start,
        Receive,
        OverLimit,
        Answer(u16, bool),
        Truncate,
        End,
    }

    fn step() -> impl Strategy<Value = (usize, Step)> {
        let step = prop_oneof![
            3 => Just(Step::Start),
            3 => Just(Step::Receive),
            1 => Just(Step::OverLimit),
            3 => (any::<u16>(), any::<bool>()).prop_map(|(s, by)| Step::Answer(200 + s % 400, by)),
            1 => Just(Step::Truncate),
            2 => Just(Step::End),
        ];
        (0..8usize, step)
    }

    proptest! {
        // A fixed seed: every run tests the same cases.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// No request is lost or counted twice, and the reasons add up to those declined and aborted.
        #[test]
        fn every_request_is_open_or_counted_exactly_once(steps in proptest::collection::vec(step(), 0..120)) {
            let metrics = Metrics::new().unwrap();
            let class = metrics.for_class("one");
            let (mut open_requests, mut started_count) = (Vec::<RequestTracker>::new(), 0u64);
            for (index, step) in steps {
                match (step, open_requests.get_mut(index)) {
                    (Step::Start, _) => {
                        open_requests.push(RequestTracker::new(class.clone()));
                        started_count += 1;
                    }
                    (_, None) => {}
                    (Step::Receive, Some(tracker)) => tracker.mark_received(started_count),
                    (Step::OverLimit, Some(tracker)) => tracker.mark_over_limit(),
                    (Step::Answer(status, by_server), Some(tracker)) => tracker.record_answer(started_count, status, by_server),
                    (Step::Truncate, Some(tracker)) => tracker.mark_truncated(),
                    (Step::End, Some(_)) => drop(open_requests.swap_remove(index)),
                }
                let ended_counts = [&class.succeeded, &class.declined, &class.aborted].map(IntCounter::get);
                prop_assert_eq!(started_count, ended_counts.iter().sum::<u64>() + open_requests.len() as u64);
                let received_count = open_requests.iter()    .filter(|tracker| tracker.received_at.is_some()).count();
                prop_assert_eq!(class.outstanding.get(), received_count as i64);
                let reasons: u64 = class.unserved.iter().map(IntCounter::get).sum();
                prop_assert_eq!(reasons, ended_counts[1] + ended_counts[2]);
            }
        }
    }
}
