//! When servers started, on the clock of the balancer's own process. Lists tell it by the wall clock of
//! another machine, and either clock may be set forward or back by any amount. What a wall clock cannot
//! change is that a server that a list newly names, or names with another start, has started since the list
//! was last heard without it.

use super::{Balancer, Node};
use crate::interface::Nanos;

/// A start that is told so long before it can have been is no late list: one of the clocks is wrong.
const MIN_SKEW: Nanos = 5_000_000_000;
/// So many such starts in a row are taken for the clocks and not for the servers.
const SKEWED_STARTS: u32 = 2;

/// What is known of the clock of lists.
#[derive(Default)]
pub(super) struct StartClock {
    /// When discovery was last heard, with a list or with word that it stands; none before its first list.
    heard_at: Option<Nanos>,
    /// Starts in a row that were told before they can have been, and the least time by which our clock may be
    /// ahead of theirs.
    skewed: u32,
    skew: Nanos,
}

/// A start, dated on our clock.
#[derive(Clone, Copy)]
pub(super) struct DatedStart {
    /// As the list told it.
    told: Nanos,
    /// On our clock; 0 for long ago.
    pub(super) at: Nanos,
    /// It was in the first list: nothing bounds it but the wall clocks.
    unbounded: bool,
}

impl Balancer {
    /// Discovery has been heard: a list, once it has been taken in, or word that nothing has changed.
    pub fn heard(&mut self, now: Nanos) {
        self.start_clock.heard_at = Some(now);
    }

    /// Dates a server's start where that is new.
    pub(super) fn date_start(&mut self, now: Nanos, i: usize) {
        let told = self.nodes[i].server.started_at;
        if self.nodes[i].start.is_some_and(|start| start.told == told) {
            return;
        }
        let at = match self.start_clock.heard_at {
            _ if told == 0 => 0,
            None => told.min(now),
            Some(heard_at) => told.clamp(heard_at.min(now), now),
        };
        let unbounded = self.start_clock.heard_at.is_none();
        self.nodes[i].start = Some(DatedStart { told, at, unbounded });
        if let Some(heard_at) = self.start_clock.heard_at.filter(|_| told > 0) {
            self.compare_clocks(now, told, heard_at);
        }
    }

    /// Starts that are told long before they can have been show that our clock is ahead: then those in the
    /// first list, which nothing bounds, are later too.
    fn compare_clocks(&mut self, now: Nanos, told: Nanos, heard_at: Nanos) {
        let clock = &mut self.start_clock;
        if heard_at.saturating_sub(told) < MIN_SKEW {
            clock.skewed = 0;
            return;
        }
        let skew = now - told;
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
