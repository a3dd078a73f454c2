//! Pseudo-random numbers (SplitMix64).

/// A generator.
pub struct Random(u64);

impl Random {
    /// Equal seeds give equal numbers.
    pub fn new(seed: u64) -> Self {
        Random(seed)
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }
}
