//! Server selection (JSQ-DAS): draws some of the top-ranked servers and some of the others, and takes the one
//! with the shortest queue.

use super::score_order::ScoreOrder;
use super::{Balancer, Pending};
use crate::interface::{Effect, Group, Nanos};

/// Servers drawn for a request, and how many of them from the top-ranked ones.
const DRAWN_SERVERS: usize = 6;
const DRAWN_FROM_TOP: usize = 3;
/// Fraction of a zone's ranked servers that are the top-ranked ones.
const TOP_FRACTION: f64 = 0.5;
/// Queues are rounded to multiples of this part of a typical response before they are compared; ties go to
/// the higher-ranked server.
const QUEUE_STEP: f64 = 0.1;
/// Other zones are considered when the local answer is expected after this fraction of the aim, or too late.
const CROSS_ZONE_AIMS: f64 = 0.6;
/// A server of another zone is taken when its queue is shorter than this fraction of the local one.
const CROSS_ZONE_QUEUE_RATIO: f64 = 0.6;
/// Factor on the queue of the server that a request's key prefers, which has less work with it.
const KEY_AFFINITY_FACTOR: f64 = 0.6;

impl Balancer {
    pub(super) fn is_usable(&self, now: Nanos, index: usize, pending: &Pending) -> bool {
        let state = &self.servers[index];
        state.ejected_until <= now
            && (state.consecutive_failures == 0 || state.outstanding == 0)
            && (self.warm_fraction(now, index) >= 1.0
                || (self.is_ranked(index) && self.next_send_due(now, index) <= now as f64))
            && !pending.attempts.iter().any(|attempt| attempt.server == index)
            && self.drops_repeats(now, index, pending)
    }

    /// Whether the server drops repeats of a keyed request that may have run; true for other requests.
    pub(super) fn drops_repeats(&self, now: Nanos, index: usize, pending: &Pending) -> bool {
        let class = &self.settings.classes[usize::from(pending.request.class)];
        let Some((first, until)) = pending.first_run.filter(|_| class.effect == Effect::Keyed) else {
            return true;
        };
        let entry = &self.servers[index].entry;
        let is_same_group = match class.group {
            Group::All => true,
            Group::Zone => first.zone == entry.zone,
            Group::Cell => first.cell == entry.cell,
        };
        is_same_group && now < until
    }

    /// Chooses a server of one zone; returns its index and estimated queue.
    pub(super) fn choose_in_zone(
        &mut self,
        now: Nanos,
        zone: usize,
        pending: &Pending,
    ) -> Option<(usize, f64)> {
        let count = self.ranked_by_zone.get(zone).map_or(0, ScoreOrder::len);
        if count == 0 {
            return None;
        }
        let mean = self.class_states[usize::from(pending.request.class)].typical_nanos;
        let top = ((TOP_FRACTION * count as f64).ceil() as usize).clamp(1, count.max(2) - 1).min(count);
        let weight = self.request_weight(&pending.request);
        let mut drawn = [(usize::MAX, usize::MAX); DRAWN_SERVERS + 1];
        let mut drawn_count = 0;
        for (from, to, want) in [(0, top, DRAWN_FROM_TOP), (top, count, DRAWN_SERVERS - DRAWN_FROM_TOP)] {
            let (mut tries, goal) = (0, drawn_count + want.min(to - from));
            while drawn_count < goal && tries < 4 * want {
                let rank = from + self.random_below(to - from);
                let index = self.ranked_by_zone[zone].get(rank);
                tries += 1;
                if !drawn[..drawn_count].contains(&(index, rank)) && self.is_usable(now, index, pending) {
                    drawn[drawn_count] = (index, rank);
                    drawn_count += 1;
                }
            }
        }
        let preferred = self.server_for_key(now, zone, pending);
        let rank = |index: usize| self.ranked_by_zone[zone].rank(index).unwrap_or(usize::MAX);
        if let Some(index) = preferred.filter(|index| !drawn[..drawn_count].iter().any(|d| d.0 == *index)) {
            drawn[drawn_count] = (index, rank(index));
            drawn_count += 1;
        }
        if drawn_count == 0 {
            let index =
                *self.ready_by_zone[zone].iter().find(|&&index| self.is_usable(now, index, pending))?;
            (drawn[0], drawn_count) = ((index, rank(index)), 1);
        }
        let queues = drawn[..drawn_count].iter().map(|&(index, rank)| {
            let queue = self.estimated_queue(now, index, mean, weight)
                * if preferred == Some(index) { KEY_AFFINITY_FACTOR } else { 1.0 };
            (index, queue, (queue / QUEUE_STEP).round(), rank)
        });
        let best = queues.min_by(|a, b| a.2.total_cmp(&b.2).then(a.3.cmp(&b.3)));
        best.map(|(index, queue, ..)| (index, queue))
    }

    /// The server that rendezvous hashing gives the request's key, if it is usable.
    pub(super) fn server_for_key(&self, now: Nanos, zone: usize, pending: &Pending) -> Option<usize> {
        let key = pending.request.key;
        if key == 0 || !self.settings.warm_keys {
            return None;
        }
        let hash = |index: usize| {
            let mixed = (self.servers[index].entry.id.0 ^ key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 11
        };
        let best = self.ranked_by_zone[zone].iter().max_by_key(|&index| (hash(index), index))?;
        Some(best).filter(|&index| self.is_usable(now, index, pending))
    }

    /// Chooses a server of any zone, the home zone first; returns its index and estimated queue.
    pub(super) fn choose_server(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let class = usize::from(pending.request.class);
        self.send_rate = self.current_send_rate(now);
        // A request must not be refused while another zone could serve it in time.
        let aim = self.settings.classes[class].aim as f64;
        let max_local = (CROSS_ZONE_AIMS * aim).min(self.max_latency(now, &pending.request));
        let home = usize::from(self.settings.zone);
        let local = self.choose_in_zone(now, home, pending);
        if local.is_some_and(|(_, queue)| self.expected_latency(class, queue) < max_local)
            || self.ranked_by_zone.len() < 2
        {
            return local;
        }
        let skip = self.random_below(self.ranked_by_zone.len());
        let mut best = local.map(|(index, queue)| (index, queue, queue * CROSS_ZONE_QUEUE_RATIO));
        for k in 0..self.ranked_by_zone.len() {
            let zone = (k + skip) % self.ranked_by_zone.len();
            if zone != home && zone < usize::from(self.settings.backup_zone) {
                if let Some((index, queue)) = self.choose_in_zone(now, zone, pending) {
                    if best.is_none_or(|best| queue < best.2) && self.warm_fraction(now, index) >= 1.0 {
                        best = Some((index, queue, queue));
                    }
                }
            }
        }
        let backups = usize::from(self.settings.backup_zone)..self.ranked_by_zone.len();
        let backup = || backups.filter_map(|zone| self.choose_in_zone(now, zone, pending)).next();
        best.map(|(index, queue, _)| (index, queue)).or_else(backup)
    }
}
