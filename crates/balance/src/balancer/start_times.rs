//! When servers started, on the clock of the balancer's own process. Lists announce it by the wall clock
//! of another machine, and either clock may be set forward or back by any amount. What a wall clock cannot
//! change is that a server that a list newly names, or names with another start, has started since discovery
//! was last observed without it.

use super::{Balancer, Node};
use crate::interface::Nanos;

/// A start that is announced so long before it can have been is no late list: one of the clocks is wrong.
const MIN_SKEW: Nanos = 5_000_000_000;
/// So many such starts in a row are taken for the clocks and not for the servers.
const SKEWED_STARTS: u32 = 2;

/// What is known of the clock of lists.
#[derive(Default)]
pub(super) struct StartClock {
    /// When discovery last sent a list or a heartbeat; none before its first list.
    observed_at: Option<Nanos>,
    /// Starts in a row that were announced before they can have been, and the least time by which our clock
    /// may be ahead of theirs.
    skewed: u32,
    skew: Nanos,
}

/// A start, dated on our clock.
#[derive(Clone, Copy)]
pub(super) struct DatedStart {
    /// As the list announced it.
    announced: Nanos,
    /// On our clock; 0 for long ago.
    pub(super) at: Nanos,
    /// It was in the first list: nothing bounds it but the wall clocks.
    unbounded: bool,
}

impl Balancer {
    /// Discovery has sent a list, which has been taken in, or a heartbeat.
    pub fn observe_discovery(&mut self, now: Nanos) {
        self.start_clock.observed_at = Some(now);
    }

    /// Dates a server's start where that is new.
    pub(super) fn date_start(&mut self, now: Nanos, i: usize) {
        let announced = self.nodes[i].server.started_at;
        if self.nodes[i].start.is_some_and(|start| start.announced == announced) {
            return;
        }
        let at = match self.start_clock.observed_at {
            _ if announced == 0 => 0,
            None => announced.min(now),
            Some(observed_at) => announced.clamp(observed_at.min(now), now),
        };
        let unbounded = self.start_clock.observed_at.is_none();
        self.nodes[i].start = Some(DatedStart { announced, at, unbounded });
        if let Some(observed_at) = self.start_clock.observed_at.filter(|_| announced > 0) {
            self.compare_clocks(now, announced, observed_at);
        }
    }

    /// Starts that are announced long before they can have been show that our clock is ahead: then those in
    /// the first list, which nothing bounds, are later too.
    fn compare_clocks(&mut self, now: Nanos, announced: Nanos, observed_at: Nanos) {
        let clock = &mut self.start_clock;
        if observed_at.saturating_sub(announced) < MIN_SKEW {
            clock.skewed = 0;
            return;
        }
        let skew = now - announced;
        clock.skew = if clock.skewed == 0 { skew } else { clock.skew.min(skew) };
        clock.skewed += 1;
        if clock.skewed >= SKEWED_STARTS {
            let skew = clock.skew;
            self.nodes.iter_mut().for_each(|node| node.start_later(skew, now));
        }
    }
}

impl Node {
    /// The server started so much later than the wall clocks said, if nothing else has dated it.
    fn start_later(&mut self, skew: Nanos, now: Nanos) {
        if let Some(start) = self.start.as_mut().filter(|start| start.unbounded && start.at > 0) {
            start.at = (start.at + skew).min(now);
            start.unbounded = false;
        }
    }
}
