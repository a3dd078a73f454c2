//! How long kept connections live, learnt from those that were lost.

use corkhollow_balance::interface::Nanos;

/// Evidence on how long connections live is halved this often.
const FORGET: Nanos = 10_000_000_000;
/// It counts from so many losses on, above this share of uses and with so many times the share below.
const LOSSES: f64 = 1.5;
const LOSS_SHARE: f64 = 0.1;
const LOSS_RATIO: f64 = 2.0;

/// How long connections live. What lies between the servers and us may forget them sooner than they say, and
/// without a word: the next request is answered by a reset at once, and has failed if it must not run twice.
/// But connections are reset for other reasons too, new ones as well as old, and a new connection costs the
/// server work: only if those that have stood idle for long are lost more often is it their age.
pub(super) struct IdleLifetime {
    /// Uses and losses by idle time: at 0 new connections, then from 2^(k-1) ms.
    seen: [(f64, f64); 16],
    halved_at: Nanos,
    most: Nanos,
    /// How long a connection may stand idle and be used again.
    pub(super) keep: Nanos,
}

impl IdleLifetime {
    /// Until something is learnt, they are kept for `most`.
    pub(super) fn new(most: Nanos) -> Self {
        IdleLifetime { seen: [(0.0, 0.0); 16], halved_at: 0, most, keep: most }
    }

    /// From here on they are kept for `most`, or for less where that has been learnt.
    pub(super) fn keep_to(&mut self, most: Nanos) {
        self.keep = if self.keep == self.most { most } else { self.keep.min(most) };
        self.most = most;
    }

    fn edge(k: usize) -> Nanos {
        1_000_000 << (k - 1)
    }

    /// Takes a use into account: how long the connection had stood idle, none for a new one, and whether it was lost.
    pub(super) fn note(&mut self, now: Nanos, idle: Option<Nanos>, lost: bool) {
        let over = |ns| (1..self.seen.len()).take_while(|k| Self::edge(*k) <= ns).count().max(1);
        let (uses, losses) = &mut self.seen[idle.map_or(0, over)];
        *uses += 1.0;
        *losses += f64::from(u8::from(lost));
        let stale = now.saturating_sub(self.halved_at) > FORGET;
        if stale {
            self.halved_at = now;
            self.seen.iter_mut().for_each(|(u, l)| (*u, *l) = (*u / 2.0, *l / 2.0));
        }
        if stale || lost {
            let too_old = (1..self.seen.len()).find(|k| self.dies(*k));
            self.keep = too_old.map_or(self.most, Self::edge).min(self.most);
        }
    }

    fn dies(&self, k: usize) -> bool {
        let sum = |part: &[(f64, f64)]| part.iter().fold((1.0, 0.0), |s, p| (s.0 + p.0, s.1 + p.1));
        let (below, above) = (sum(&self.seen[..k]), sum(&self.seen[k..]));
        let share = above.1 / above.0;
        self.seen[k].1 > 0.0
            && above.1 >= LOSSES
            && share > LOSS_SHARE
            && share > LOSS_RATIO * below.1 / below.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn connections_are_kept_for_as_long_as_they_live() {
        let mut lives = IdleLifetime::new(6_000 * MS);
        for k in 0..60 {
            lives.note(k * 10 * MS, None, false);
            lives.note(k * 10 * MS, Some(k % 60 * MS), false);
            lives.note(k * 10 * MS, Some((100 + k) * MS), k % 3 != 0);
        }
        assert_eq!(lives.keep, 64 * MS);
        (0..100).for_each(|k| lives.note(k * 1000 * MS, Some(30 * MS), false));
        assert_eq!(lives.keep, lives.most);
    }

    /// Where all are lost alike, new ones would be no better.
    #[test]
    fn resets_that_hit_all_alike_say_nothing_of_age() {
        let mut lives = IdleLifetime::new(6_000 * MS);
        for k in 0..400 {
            lives.note(k * 10 * MS, None, k % 8 == 0);
            lives.note(k * 10 * MS, Some((k * 7) % 200 * MS), k % 8 == 0);
            assert_eq!(lives.keep, lives.most, "after {k}");
        }
    }
}
