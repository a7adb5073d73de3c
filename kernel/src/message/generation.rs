//! Generations of the control state: a new one starts after a majority of disks was lost.

/// Arithmetic of generation numbers. A generation starts when the control state is
/// founded on blank disks, or continues after a majority of the disks was lost.
/// The upper 32 bits of its number are a counter, the lower 32 bits distinguish two
/// generations with the same count. An edge that learns of a newer generation
/// reports what it knows and then loads all rows again.
pub struct Generation;

impl Generation {
    /// Returns the generation that follows `current`, created by the disk `incarnation`.
    pub fn after(current: u64, incarnation: u64) -> u64 {
        ((current >> 32) + 1) << 32 | u64::from(incarnation as u32)
    }

    /// Returns true if it is not the first generation: rows may have been lost
    /// before it.
    pub fn is_successor(generation: u64) -> bool {
        generation >> 32 > 1
    }

    /// Formats a generation for operators: 16 hexadecimal digits.
    pub fn format(generation: u64) -> String {
        format!("{generation:016x}")
    }

    /// Returns true if the counter of `generation` is lower than that of `other`.
    pub fn is_older(generation: u64, other: u64) -> bool {
        generation >> 32 < other >> 32
    }
}
