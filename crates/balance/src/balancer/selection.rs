//! JSQ-DAS: some of the accomplished set and some of the rest are drawn, the shortest queue wins.

use super::score_order::Order;
use super::{Balancer, Pending};
use crate::interface::{Effect, Group, Nanos};

/// Servers drawn for a request, and how many of them from the accomplished set.
const DRAWN: usize = 6;
const FROM_TOP: usize = 3;
/// Size of the accomplished set where the listed sizes do not tell fast from slow.
const TOP_SHARE: f64 = 0.5;
/// Queues closer than this part of a mean response count as tied.
const TIE_STEP: f64 = 0.1;
/// Another zone is looked at when the local answer is expected after this part of the aim, or too late ...
const WIDEN_AT: f64 = 0.6;
/// ... and taken when it is expected to be this much quicker.
const CROSS_GAIN: f64 = 0.6;
/// What a key's own server may be behind the best: it saves work there.
const KEY_BONUS: f64 = 0.6;

impl Balancer {
    pub(super) fn usable(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let node = &self.nodes[i];
        node.ejected_until <= now
            && (node.consecutive_failures == 0 || node.out == 0)
            && (self.cold_share(now, i) >= 1.0 || (self.ranked(i) && self.due(now, i) <= now as f64))
            && !pending.attempts.iter().any(|a| a.node == i)
            && self.inside(now, i, pending)
    }

    pub(super) fn inside(&self, now: Nanos, i: usize, pending: &Pending) -> bool {
        let class = &self.settings.classes[usize::from(pending.request.class)];
        let Some((a, until)) = pending.fence.filter(|_| class.effect == Effect::Keyed) else {
            return true;
        };
        let b = &self.nodes[i].server;
        let same = match class.group {
            Group::All => true,
            Group::Zone => a.zone == b.zone,
            Group::Cell => a.cell == b.cell,
        };
        same && now < until
    }

    pub(super) fn choose_in(&mut self, now: Nanos, zone: usize, pending: &Pending) -> Option<(usize, f64)> {
        let count = self.ranks.get(zone).map_or(0, Order::len);
        if count == 0 {
            return None;
        }
        let mean = self.places[usize::from(pending.request.class)].typical_nanos;
        let top = ((TOP_SHARE * count as f64).ceil() as usize).clamp(1, count.max(2) - 1).min(count);
        let weight = self.weight(&pending.request);
        let mut drawn = [(usize::MAX, usize::MAX); DRAWN + 1];
        let mut have = 0;
        for (from, to, want) in [(0, top, FROM_TOP), (top, count, DRAWN - FROM_TOP)] {
            let (mut tries, goal) = (0, have + want.min(to - from));
            while have < goal && tries < 4 * want {
                let place = from + self.draw(to - from);
                let i = self.ranks[zone].get(place);
                tries += 1;
                if !drawn[..have].contains(&(i, place)) && self.usable(now, i, pending) {
                    drawn[have] = (i, place);
                    have += 1;
                }
            }
        }
        let favourite = self.favourite(now, zone, pending);
        let place = |i: usize| self.ranks[zone].place(i).unwrap_or(usize::MAX);
        if let Some(i) = favourite.filter(|i| !drawn[..have].iter().any(|d| d.0 == *i)) {
            drawn[have] = (i, place(i));
            have += 1;
        }
        if have == 0 {
            let i = *self.ready[zone].iter().find(|&&i| self.usable(now, i, pending))?;
            (drawn[0], have) = ((i, place(i)), 1);
        }
        let queues = drawn[..have].iter().map(|&(i, place)| {
            let queue = self.queue(now, i, mean, weight) * if favourite == Some(i) { KEY_BONUS } else { 1.0 };
            (i, queue, (queue / TIE_STEP).round(), place)
        });
        let best = queues.min_by(|a, b| a.2.total_cmp(&b.2).then(a.3.cmp(&b.3)));
        best.map(|(i, queue, ..)| (i, queue))
    }

    pub(super) fn favourite(&self, now: Nanos, zone: usize, pending: &Pending) -> Option<usize> {
        let key = pending.request.key;
        if key == 0 || !self.settings.warm_keys {
            return None;
        }
        let hash = |i: usize| {
            let mixed = (self.nodes[i].server.id.0 ^ key).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            (mixed ^ (mixed >> 29)).wrapping_mul(0xBF58_476D_1CE4_E5B9) >> 11
        };
        let best = self.ranks[zone].iter().max_by_key(|&i| (hash(i), i))?;
        Some(best).filter(|&i| self.usable(now, i, pending))
    }

    pub(super) fn choose(&mut self, now: Nanos, pending: &Pending) -> Option<(usize, f64)> {
        let class = usize::from(pending.request.class);
        self.pace = self.pace_now(now);
        // Nothing is refused while another zone would serve it.
        let aim = self.settings.classes[class].aim as f64;
        let most = (WIDEN_AT * aim).min(self.limit(now, &pending.request));
        let home = usize::from(self.settings.zone);
        let local = self.choose_in(now, home, pending);
        if local.is_some_and(|(_, q)| self.expected(class, q) < most) || self.ranks.len() < 2 {
            return local;
        }
        let skip = self.draw(self.ranks.len());
        let mut best = local.map(|(i, q)| (i, q, q * CROSS_GAIN));
        for k in 0..self.ranks.len() {
            let zone = (k + skip) % self.ranks.len();
            if zone != home && zone < usize::from(self.settings.backup_zone) {
                if let Some((i, q)) = self.choose_in(now, zone, pending) {
                    if best.is_none_or(|b| q < b.2) && self.cold_share(now, i) >= 1.0 {
                        best = Some((i, q, q));
                    }
                }
            }
        }
        let backups = usize::from(self.settings.backup_zone)..self.ranks.len();
        let backup = || backups.filter_map(|zone| self.choose_in(now, zone, pending)).next();
        best.map(|(i, q, _)| (i, q)).or_else(backup)
    }
}
