//! The timers of a pool's requests and balancer.

use corkhollow_balance::interface::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a timer is for. The order of the variants decides between timers that are due at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A timer of the balancer, by its token.
    Balancer(u32),
    Deadline(RequestId),
    AttemptTimeout(RequestId, u8),
}

/// Timers that are not due yet. Bounded by the request rate times the longest timeout, as entries stay until they
/// are due.
#[derive(Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Nanos, Timer)>>);

impl Timers {
    /// Adds a timer that is due at this time.
    pub(crate) fn push(&mut self, at: Nanos, timer: Timer) {
        self.0.push(Reverse((at, timer)));
    }

    /// When the next timer is due.
    pub(crate) fn next_at(&self) -> Option<Nanos> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next timer if it is due.
    pub(crate) fn pop_due(&mut self, now: Nanos) -> Option<Timer> {
        self.next_at().filter(|at| *at <= now)?;
        self.0.pop().map(|Reverse((_, timer))| timer)
    }
}
