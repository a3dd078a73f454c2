//! How long a node waits for the next bytes of a request's body.

use std::time::Duration;
use tokio::time::Instant;

/// The least pause that a client may make in the first body on its connection, however long it has taken so far.
const MIN_PAUSE: Duration = Duration::from_millis(400);

/// What is expected of a client that sends a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceLimits {
    /// Longest time between two parts of the body.
    pub(super) stall_timeout: Duration,
    /// Least rate in bytes a second, if limited. Shorter pauses are made up for by more bytes.
    pub(super) min_bytes_per_second: Option<u64>,
}

/// The pace of one body: a token bucket that the client's bytes fill with time and its pauses empty. While the client
/// is not waited for, because a server reads slowly, no time counts.
#[derive(Debug)]
pub(super) struct BodyPace {
    limits: PaceLimits,
    /// Until then the bucket holds no more than the time that is left, so that a first request which stops is let go
    /// soon after it.
    first_request_due: Option<Instant>,
    /// How long the client may pause now.
    credit: Duration,
    received_bytes: u64,
    waiting_since: Option<Instant>,
}

impl BodyPace {
    /// A body that begins at `now`, when `received_bytes` of its message had been received.
    pub(super) fn new(
        limits: PaceLimits,
        first_request_due: Option<Instant>,
        now: Instant,
        received_bytes: u64,
    ) -> Self {
        let credit = limits.stall_timeout;
        let mut pace = BodyPace { limits, first_request_due, credit, received_bytes, waiting_since: None };
        pace.credit = pace.max_credit(now);
        pace
    }

    /// Begins to wait for the client; returns when its next bytes are due.
    pub(super) fn start_waiting(&mut self, now: Instant) -> Instant {
        self.waiting_since = Some(now);
        now + self.credit
    }

    /// Notes that `received_bytes` of the message have been received.
    pub(super) fn record_received(&mut self, now: Instant, received_bytes: u64) {
        let waited = self.waiting_since.take().map_or(Duration::ZERO, |since| now - since);
        let new_bytes = received_bytes.saturating_sub(self.received_bytes);
        self.received_bytes = received_bytes;
        let earned = match self.limits.min_bytes_per_second {
            Some(rate) => Duration::from_secs_f64(new_bytes as f64 / rate as f64),
            None => Duration::MAX,
        };
        self.credit = self.credit.saturating_sub(waited).saturating_add(earned).min(self.max_credit(now));
    }

    fn max_credit(&self, now: Instant) -> Duration {
        let max_credit = self.limits.stall_timeout;
        match self.first_request_due.filter(|due| now < *due) {
            Some(due) => max_credit.min((due - now).max(MIN_PAUSE)),
            None => max_credit,
        }
    }
}
