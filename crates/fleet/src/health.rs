//! Lifeguard's local health multiplier: a node that misses messages or runs late on its own timers extends
//! its timeouts before it suspects others.

/// Highest local health score; the timeouts are then multiplied by this number plus one.
const MAX_SCORE: u32 = 7;

/// The local health score; 0 is healthy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalHealth {
    score: u32,
    is_disabled: bool,
}

impl LocalHealth {
    /// One whose multiplier is always 1.
    pub fn disabled() -> Self {
        LocalHealth { score: 0, is_disabled: true }
    }

    /// Records a sign that this node may be at fault: a failed probe with missing nacks, a refuted suspicion
    /// of itself, or a late timer.
    pub fn degrade(&mut self) {
        if !self.is_disabled {
            self.score = (self.score + 1).min(MAX_SCORE);
        }
    }

    /// Records an answered probe.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Factor by which probe intervals and timeouts are extended.
    pub fn timeout_multiplier(self) -> u64 {
        u64::from(self.score) + 1
    }
}
