//! The node's one clock: nanoseconds since the Unix epoch, so that a server's start time compares with it.

use corkhollow_balance::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The system's clock is read once; from then on time only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Nanos,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock.
    pub fn start() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { epoch: since.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Nanos {
        self.epoch + self.start.elapsed().as_nanos() as Nanos
    }

    /// The instant of a point in time, for timers.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.start + Duration::from_nanos(at.saturating_sub(self.epoch))).into()
    }
}
