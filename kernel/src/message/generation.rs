//! The generation of the control state: which loss of a majority it came after.

/// Arithmetic of generations. A generation is the control state since it was
/// last founded on blank disks, or went on after a majority of them was lost.
/// The upper half of its number counts, the lower tells two of one count apart.
/// An edge that meets a newer generation reports what it knows and then takes
/// everything anew.
pub struct Generation;

impl Generation {
    /// The generation that follows `known`, made by the disk `incarnation`.
    pub fn after(known: u64, incarnation: u64) -> u64 {
        ((known >> 32) + 1) << 32 | u64::from(incarnation as u32)
    }

    /// Whether it is not the first: rows may have been lost before it.
    pub fn is_successor(generation: u64) -> bool {
        generation >> 32 > 1
    }

    /// The form in which operators read and give it: 16 hexadecimal digits.
    pub fn name(generation: u64) -> String {
        format!("{generation:016x}")
    }

    /// Whether `one` counts less than `other`.
    pub fn older(one: u64, other: u64) -> bool {
        one >> 32 < other >> 32
    }
}
