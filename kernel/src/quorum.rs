//! Quorum arithmetic over the slots of the control plane.
#[cfg(test)]
mod tests;

/// Quorum sizes of a control plane with a given number of slots. Invariants for
/// sets of slots of one membership table:
/// - any two sets of `majority()` slots share a slot: the next leader finds all
///   that a majority of disks holds.
/// - any set of `majority()` slots and any set of `intersecting()` slots share a
///   slot: an edge with leases from `intersecting()` slots is found by a reader of
///   a majority, and a blank disk that reads `intersecting()` of the other slots
///   finds all that a majority ever held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    /// Number of slots of the control plane.
    pub slots: usize,
}

impl Quorum {
    /// Returns the quorum sizes of a membership table with this many slots.
    pub fn new(slots: usize) -> Quorum {
        Quorum { slots }
    }

    /// Smallest size for which any two sets of slots share a slot.
    pub fn majority(self) -> usize {
        self.slots / 2 + 1
    }

    /// Smallest size for which any set of slots intersects every majority.
    pub fn intersecting(self) -> usize {
        self.slots - self.slots.min(self.majority()) + 1
    }
}
