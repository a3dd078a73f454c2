//! How far a node trusts itself (Lifeguard's local health): one that hears too little, or comes too late to its own timers,
//! gives others more time before it accuses them.

/// The most that a node may mistrust itself: its timeouts are then this many times longer, and once more.
const WORST: u32 = 7;

/// 0 where all is well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    doubt: u32,
    off: bool,
}

impl Health {
    /// One that never doubts itself, for measurements.
    pub fn never_in_doubt() -> Self {
        Health { doubt: 0, off: true }
    }

    /// A sign that the fault may be its own: a probe that nobody answered, a helper that did not even say no, an accusation
    /// that it had to refute, a late loop.
    pub fn worse(&mut self) {
        if !self.off {
            self.doubt = (self.doubt + 1).min(WORST);
        }
    }

    /// A probe was answered.
    pub fn better(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// By how much its timeouts are longer.
    pub fn factor(self) -> u64 {
        u64::from(self.doubt) + 1
    }
}
