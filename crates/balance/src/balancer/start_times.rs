//! When servers started, on this process's clock. Lists announce it by another machine's wall clock, and
//! either clock may be wrong by any amount. Independently of wall clocks, a server that a list adds, or lists
//! with another start time, has started since discovery was last observed without it.

use super::{Balancer, ServerState};
use crate::interface::Nanos;

/// A start announced this long before it is possible shows a wrong clock, not a late list.
const MIN_CLOCK_SKEW: Nanos = 5_000_000_000;
/// This many such starts in a row are attributed to the clock of this node, not to those of servers.
const STARTS_TO_DETECT_SKEW: u32 = 2;

/// What is known of the clock by which lists announce starts.
#[derive(Default)]
pub(super) struct StartClock {
    /// When discovery last sent a list or a heartbeat; none before its first list.
    observed_at: Option<Nanos>,
    /// Consecutive starts that were announced before they were possible, and the least time by which
    /// this node's clock is ahead according to them.
    skewed_starts: u32,
    skew: Nanos,
}

/// When a server started.
#[derive(Clone, Copy)]
pub(super) struct DatedStart {
    /// As the list announced it.
    announced: Nanos,
    /// On this process's clock; 0 for long ago.
    pub(super) at: Nanos,
    /// From the first list: only the wall clocks tell when it was.
    is_unbounded: bool,
}

impl Balancer {
    /// Records that discovery has sent a list, which has been applied, or a heartbeat.
    pub fn observe_discovery(&mut self, now: Nanos) {
        self.start_clock.observed_at = Some(now);
    }

    /// Dates a server's start if the list has announced a new one.
    pub(super) fn date_start(&mut self, now: Nanos, index: usize) {
        let announced = self.servers[index].entry.started_at;
        if self.servers[index].start.is_some_and(|start| start.announced == announced) {
            return;
        }
        let at = match self.start_clock.observed_at {
            _ if announced == 0 => 0,
            None => announced.min(now),
            Some(observed_at) => announced.clamp(observed_at.min(now), now),
        };
        let is_unbounded = self.start_clock.observed_at.is_none();
        self.servers[index].start = Some(DatedStart { announced, at, is_unbounded });
        if let Some(observed_at) = self.start_clock.observed_at.filter(|_| announced > 0) {
            self.detect_clock_skew(now, announced, observed_at);
        }
    }

    /// Starts announced long before they were possible show that this node's clock is ahead. Then the servers
    /// of the first list, whose starts nothing else bounds, have started later too.
    fn detect_clock_skew(&mut self, now: Nanos, announced: Nanos, observed_at: Nanos) {
        let clock = &mut self.start_clock;
        if observed_at.saturating_sub(announced) < MIN_CLOCK_SKEW {
            clock.skewed_starts = 0;
            return;
        }
        let skew = now - announced;
        clock.skew = if clock.skewed_starts == 0 { skew } else { clock.skew.min(skew) };
        clock.skewed_starts += 1;
        if clock.skewed_starts >= STARTS_TO_DETECT_SKEW {
            let skew = clock.skew;
            self.servers.iter_mut().for_each(|state| state.correct_start(skew, now));
        }
    }
}

impl ServerState {
    /// Moves a start that only wall clocks have dated by the clocks' skew.
    fn correct_start(&mut self, skew: Nanos, now: Nanos) {
        if let Some(start) = self.start.as_mut().filter(|start| start.is_unbounded && start.at > 0) {
            start.at = (start.at + skew).min(now);
            start.is_unbounded = false;
        }
    }
}
