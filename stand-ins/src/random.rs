//! Seeded pseudo-random numbers for reproducible tests.
/// Seeded pseudo-random number generator for traffic and schedules.
pub struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    /// Returns a number below `limit`; 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit.max(1)
    }

    /// Returns true with a probability of `percent` percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
