//! The node's clock: nanoseconds since the Unix epoch, comparable with the start times in server lists.

use corkhollow_balance::interface::Nanos;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that reads the wall clock once, at its start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Nanos,
    monotonic_start: Instant,
}

impl Clock {
    /// Starts at the present time of the wall clock.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: since_epoch.as_nanos() as Nanos, monotonic_start: Instant::now() }
    }

    /// Nanoseconds since the Unix epoch.
    pub fn now(&self) -> Nanos {
        self.unix_start + self.monotonic_start.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of this clock to an instant for timers.
    pub fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.monotonic_start + Duration::from_nanos(at.saturating_sub(self.unix_start))).into()
    }
}
