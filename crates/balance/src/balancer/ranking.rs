//! Accomplishment counters, faded by growing the increment, and the ranks that they give.

use super::Balancer;
use crate::interface::Nanos;

/// Accomplishment fades by e within this many cold ramps: a noisy neighbour must not stay on top for good.
const FADE_RAMPS: f64 = 1.0;

impl Balancer {
    pub(super) fn increment(&mut self, now: Nanos) -> f64 {
        let fade = FADE_RAMPS * self.settings.ramp as f64;
        let mut grown = (now.saturating_sub(self.epoch) as f64 / fade).exp();
        if grown > 1e100 {
            self.nodes.iter_mut().for_each(|n| n.score /= grown);
            self.pending.values_mut().flat_map(|p| &mut p.attempts).for_each(|a| a.credit /= grown);
            self.epoch = now;
            grown = 1.0;
        }
        grown
    }

    pub(super) fn credit(&mut self, i: usize, by: f64) {
        self.nodes[i].score += by;
        let Some(mut at) = self.nodes[i].place else { return };
        let rank = &mut self.ranks[usize::from(self.nodes[i].server.zone)];
        let score = self.nodes[i].score;
        while at > 0 && self.nodes[rank[at - 1]].score < score {
            rank[at] = rank[at - 1];
            self.nodes[rank[at]].place = Some(at);
            at -= 1;
        }
        while at + 1 < rank.len() && self.nodes[rank[at + 1]].score > score {
            rank[at] = rank[at + 1];
            self.nodes[rank[at]].place = Some(at);
            at += 1;
        }
        rank[at] = i;
        self.nodes[i].place = Some(at);
    }
}
