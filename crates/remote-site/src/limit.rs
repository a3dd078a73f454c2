//! How many requests a far site is given at once, by what their time says.
//!
//! The gradient of Netflix's concurrency-limits: the limit shrinks as answers take longer than they usually do and
//! grows by a margin for queues while they do not. What is usual is not their long average, which an overload drags
//! along, nor the shortest time ever seen, as in Vegas, which a longer way would never reach again.

use crate::seconds;
use corkhollow_balance::interface::Nanos;

/// The limit with which a site begins that is not known yet.
const FIRST: f64 = 4.0;
/// What a far site is left with at least, so that its recovery can be seen.
const LEAST: f64 = 1.0;
/// Answers may take this many times their usual time before the limit shrinks.
const TOLERANCE: f64 = 1.5;
/// How far one answer moves the limit.
const SMOOTH: f64 = 0.2;
/// The usual time follows quicker answers by this part ...
const QUICKER: f64 = 0.5;
/// ... and slower ones by e in this time: a longer way has to become usual by and by, an overload must not.
const SLOWER: Nanos = 600_000_000_000;

/// A limit on what is out at once.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    now: f64,
    most: f64,
    /// What answers usually take, in seconds; none before the first.
    usual: Option<f64>,
    at: Nanos,
}

impl Limit {
    /// No answer seen yet; never more than `most`.
    pub fn new(most: u32) -> Self {
        let most = f64::from(most).max(LEAST);
        Limit { now: FIRST.min(most), most, usual: None, at: 0 }
    }

    /// How many may be out at once.
    pub fn get(&self) -> u32 {
        self.now as u32
    }

    /// An answer has come that took so long, while so many were out with it.
    pub fn answered(&mut self, now: Nanos, took: Nanos, out: u32) {
        let took = seconds(took).max(1e-6);
        let usual = self.usual.get_or_insert(took);
        if took < *usual {
            *usual += (took - *usual) * QUICKER;
        } else {
            let gone = now.saturating_sub(self.at) as f64 / SLOWER as f64;
            *usual = (*usual * gone.min(1.0).exp()).min(took);
        }
        self.at = self.at.max(now);
        // What is not used says nothing of what more would do.
        if f64::from(out) < self.now / 2.0 {
            return;
        }
        let gradient = (TOLERANCE * *usual / took).clamp(0.5, 1.0);
        let wanted = self.now * gradient + self.now.sqrt();
        self.now = (self.now + (wanted - self.now) * SMOOTH).clamp(LEAST, self.most);
    }

    /// One had no answer in time, or was turned away as too much.
    pub fn dropped(&mut self) {
        self.now = (self.now * 0.9).max(LEAST);
    }

    /// It is not known any more: the far site was away.
    pub fn forget(&mut self) {
        *self = Limit::new(self.most as u32);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    /// A far site with so many workers of 50 ms, and as much out as the limit allows: the limit that is found.
    fn found(limit: &mut Limit, workers: u32, rounds: u64) -> u32 {
        for round in 0..rounds {
            let out = limit.get();
            let took = 50 * MS * Nanos::from(out.div_ceil(workers).max(1));
            limit.answered((limit.at + took / Nanos::from(out)).max(round), took, out);
        }
        limit.get()
    }

    #[test]
    fn it_finds_what_the_far_site_can_do() {
        for workers in [4, 20, 100] {
            let found = found(&mut Limit::new(1000), workers, 3000);
            assert!((workers..workers * 5).contains(&found), "{workers} workers: {found}");
        }
        assert_eq!(found(&mut Limit::new(10), 100, 1000), 10);
    }

    /// 400 ms, then 4 s, then 40 s, without an error.
    #[test]
    fn a_far_site_that_turns_slow_gets_less() {
        let mut limit = Limit::new(1000);
        found(&mut limit, 50, 1000);
        let mut last = limit.get();
        for slow in [400, 4_000, 40_000] {
            (0..30).for_each(|_| limit.answered(limit.at, slow * MS, limit.get()));
            assert!(limit.get() <= (last / 4).max(4), "{slow} ms: {} after {last}", limit.get());
            last = limit.get();
        }
        // Where halving and the margin for queues balance.
        assert!(last <= 4, "{last}");
        assert!(found(&mut limit, 50, 3000) >= 50, "it comes back: {}", limit.get());
    }

    /// A way that has become longer for good is usual after some time.
    #[test]
    fn a_longer_way_becomes_usual() {
        let mut limit = Limit::new(50);
        found(&mut limit, 100, 1000);
        for k in 0..1_000 {
            limit.answered(limit.at.max(SLOWER) + k * 1_000 * MS, 200 * MS, limit.get());
        }
        for k in 0..2_000 {
            limit.answered(2 * SLOWER + k * 1_000 * MS, 200 * MS, limit.get());
        }
        assert_eq!(limit.get(), 50);
    }

    #[test]
    fn what_is_not_used_does_not_grow() {
        let mut limit = Limit::new(1000);
        (0..1000).for_each(|_| limit.answered(0, 50 * MS, 1));
        assert_eq!(limit.get(), FIRST as u32);
        (0..1000).for_each(|_| limit.dropped());
        assert_eq!(limit.get(), 1);
    }
}
