//! One request under way, and the one place where its end is counted.

use corkhollow_balance::interface::Nanos;
use prometheus::{Histogram, IntCounter, IntGauge};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// No server could take it in time (declined).
    Busy,
    /// Its client's connection had no place (declined).
    ConnectionLimit,
    /// A server would not have it: 429 or 503 (declined).
    ServerBusy,
    /// No answer in time (aborted).
    TimedOut,
    /// Attempts failed, or none could be made (aborted).
    Failed,
    /// A server told of an error of its own (aborted).
    ServerError,
    /// The answer broke off on its way (aborted).
    AnswerTruncated,
    /// The client left before there was an answer (aborted).
    ClientLeft,
    /// The program turned it down as it was: unreadable, too long, too slow (aborted).
    RejectedByGateway,
}

impl UnservedReason {
    /// All there are, in the order of their numbers.
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

    /// Its name on the page.
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

/// Where the requests of one class are counted.
#[derive(Clone, Debug)]
pub struct ClassMetrics {
    pub(crate) succeeded: IntCounter,
    pub(crate) declined: IntCounter,
    pub(crate) aborted: IntCounter,
    /// By the reason's number.
    pub(crate) unserved: [IntCounter; UnservedReason::ALL.len()],
    pub(crate) answered: Histogram,
    pub(crate) outstanding: IntGauge,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Open,
    Served,
    Unserved(UnservedReason),
}

/// One request under way. It is counted when this is dropped, once: as left by its client unless something else was
/// said.
#[derive(Debug)]
pub struct RequestTracker {
    class: ClassMetrics,
    received_at: Option<Nanos>,
    outcome: Outcome,
}

impl RequestTracker {
    /// A request whose class is known.
    pub fn new(class: ClassMetrics) -> Self {
        RequestTracker { class, received_at: None, outcome: Outcome::Open }
    }

    /// Its last byte has come.
    pub fn mark_received(&mut self, now: Nanos) {
        if self.received_at.is_none() {
            self.received_at = Some(now);
            self.class.outstanding.inc();
        }
    }

    /// Its client is only told to come back.
    pub fn mark_over_limit(&mut self) {
        self.outcome = Outcome::Unserved(UnservedReason::ConnectionLimit);
    }

    /// It is answered with this status: a server's, or the program's own.
    pub fn record_answer(&mut self, now: Nanos, status: u16, by_server: bool) {
        // A server that says that there is no such thing has served the request; the program that says so has not.
        let standing = match (status, by_server) {
            (429 | 503, true) => Outcome::Unserved(UnservedReason::ServerBusy),
            (429 | 503, false) => Outcome::Unserved(UnservedReason::Busy),
            (200..=399, _) | (400..=499, true) => Outcome::Served,
            (400..=499, false) => Outcome::Unserved(UnservedReason::RejectedByGateway),
            (_, true) => Outcome::Unserved(UnservedReason::ServerError),
            (504, false) => Outcome::Unserved(UnservedReason::TimedOut),
            (_, false) => Outcome::Unserved(UnservedReason::Failed),
        };
        if let (Outcome::Served, Some(at)) = (standing, self.received_at) {
            self.class.answered.observe(now.saturating_sub(at) as f64 / 1e9);
        }
        if self.outcome == Outcome::Open {
            self.outcome = standing;
        }
    }

    /// The answer has broken off.
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

    fn page(figures: &Metrics) -> String {
        String::from_utf8(figures.render().unwrap().0).unwrap()
    }

    #[test]
    fn each_request_is_counted_once_by_how_it_ended() {
        let figures = Metrics::new().unwrap();
        let class = figures.for_class("status");
        let mut open = RequestTracker::new(class.clone());
        open.mark_received(0);
        open.mark_received(0);
        assert!(page(&figures).contains("\ngw_outstanding 1\n"));
        for status in [200, 200, 503, 429, 502, 404] {
            let mut tally = RequestTracker::new(class.clone());
            tally.mark_received(1_000_000_000);
            tally.record_answer(1_040_000_000, status, false);
        }
        let mut cut = RequestTracker::new(class.clone());
        cut.record_answer(0, 200, true);
        cut.mark_truncated();
        drop(cut);
        let mut turned_away = RequestTracker::new(class);
        turned_away.mark_over_limit();
        turned_away.record_answer(0, 503, false);
        drop(turned_away);
        RequestTracker::new(figures.for_class("general")).record_answer(0, 404, true);
        drop(open);
        let page = page(&figures);
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
            assert!(page.lines().any(|l| l == line), "{line} is not in\n{page}");
        }
    }

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Begin,
        Take,
        NoPlace,
        Answer(u16, bool),
        Cut,
        End,
    }

    fn step() -> impl Strategy<Value = (usize, Step)> {
        let step = prop_oneof![
            3 => Just(Step::Begin),
            3 => Just(Step::Take),
            1 => Just(Step::NoPlace),
            3 => (any::<u16>(), any::<bool>()).prop_map(|(s, by)| Step::Answer(200 + s % 400, by)),
            1 => Just(Step::Cut),
            2 => Just(Step::End),
        ];
        (0..8usize, step)
    }

    proptest! {
        // The same cases every time.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever becomes of requests, in whatever order: none is lost, none counted twice, and the reasons come to
        /// what was declined and aborted.
        #[test]
        fn all_that_begins_is_open_or_counted(steps in proptest::collection::vec(step(), 0..120)) {
            let figures = Metrics::new().unwrap();
            let class = figures.for_class("one");
            let (mut open, mut begun) = (Vec::<RequestTracker>::new(), 0u64);
            for (at, step) in steps {
                match (step, open.get_mut(at)) {
                    (Step::Begin, _) => {
                        open.push(RequestTracker::new(class.clone()));
                        begun += 1;
                    }
                    (_, None) => {}
                    (Step::Take, Some(tally)) => tally.mark_received(begun),
                    (Step::NoPlace, Some(tally)) => tally.mark_over_limit(),
                    (Step::Answer(status, by_server), Some(tally)) => tally.record_answer(begun, status, by_server),
                    (Step::Cut, Some(tally)) => tally.mark_truncated(),
                    (Step::End, Some(_)) => drop(open.swap_remove(at)),
                }
                let ended = [&class.succeeded, &class.declined, &class.aborted].map(IntCounter::get);
                prop_assert_eq!(begun, ended.iter().sum::<u64>() + open.len() as u64);
                let taken = open.iter().filter(|t| t.received_at.is_some()).count();
                prop_assert_eq!(class.outstanding.get(), taken as i64);
                let reasons: u64 = class.unserved.iter().map(IntCounter::get).sum();
                prop_assert_eq!(reasons, ended[1] + ended[2]);
            }
        }
    }
}
