//! Seeded pseudo-random numbers.
/// Repeatable chance, for traffic and schedules.
pub struct SeededRandom(u64);

impl SeededRandom {
    /// The numbers of this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// A number below `sides`; 0 if `sides` is 0.
    pub fn below(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % sides.max(1)
    }

    /// True in `share` of a hundred.
    pub fn chance(&mut self, share: u64) -> bool {
        self.below(100) < share
    }
}
