//! Accomplishment counters, faded by growing the increment, and the ranks that they give.

use super::Balancer;
use crate::interface::Nanos;

/// Accomplishment fades by e within this many cold ramps: a noisy neighbour must not stay on top for good.
const FADE_RAMPS: f64 = 1.0;

impl Balancer {
    pub(crate) fn increment(&mut self, now: Nanos) -> f64 {
        let fade = FADE_RAMPS * self.settings.ramp as f64;
        let mut grown = (now.saturating_sub(self.epoch) as f64 / fade).exp();
        if grown > 1e100 {
            self.nodes.iter_mut().for_each(|n| n.score /= grown);
            self.ranks.iter_mut().for_each(|rank| rank.shrink(grown));
            self.pending.values_mut().flat_map(|p| &mut p.attempts).for_each(|a| a.credit /= grown);
            self.epoch = now;
            grown = 1.0;
        }
        grown
    }

    pub(crate) fn credit(&mut self, i: usize, by: f64) {
        let node = &mut self.nodes[i];
        let from = node.score;
        node.score += by;
        if let Some(rank) = self.ranks.get_mut(usize::from(node.server.zone)) {
            rank.change(i, from, node.score);
        }
    }

    /// Whether this node ranks the server.
    pub(super) fn ranked(&self, i: usize) -> bool {
        self.ranks.get(usize::from(self.nodes[i].server.zone)).is_some_and(|rank| rank.holds(i))
    }
}
