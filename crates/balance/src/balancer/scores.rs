//! Scores: decaying counts of the requests sent to each server. Instead of decaying all scores, the unit that
//! a new request adds grows exponentially.

use super::Balancer;
use crate::interface::Nanos;

/// Time constant of the decay of scores, in ramps: a server that has become slow must lose its rank.
const SCORE_DECAY_RAMPS: f64 = 1.0;

impl Balancer {
    /// What a request that is sent now adds to a score. Scales all scores down before the unit gets too
    /// large.
    pub(crate) fn score_unit(&mut self, now: Nanos) -> f64 {
        let decay_nanos = SCORE_DECAY_RAMPS * self.settings.ramp as f64;
        let mut unit = (now.saturating_sub(self.score_epoch) as f64 / decay_nanos).exp();
        if unit > 1e100 {
            self.servers.iter_mut().for_each(|state| state.score /= unit);
            self.ranked_by_zone.iter_mut().for_each(|order| order.divide_scores(unit));
            self.pending
                .values_mut()
                .flat_map(|pending| &mut pending.attempts)
                .for_each(|attempt| attempt.credit /= unit);
            self.score_epoch = now;
            unit = 1.0;
        }
        unit
    }

    pub(crate) fn add_score(&mut self, index: usize, amount: f64) {
        let state = &mut self.servers[index];
        let old_score = state.score;
        state.score += amount;
        if let Some(order) = self.ranked_by_zone.get_mut(usize::from(state.entry.zone)) {
            order.update_score(index, old_score, state.score);
        }
    }

    /// Whether this node ranks the server.
    pub(super) fn is_ranked(&self, index: usize) -> bool {
        self.ranked_by_zone
            .get(usize::from(self.servers[index].entry.zone))
            .is_some_and(|order| order.contains(index))
    }
}
