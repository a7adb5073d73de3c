//! Quorum arithmetic over the slots of the control plane.
#[cfg(test)]
mod tests;

/// How many of the slots of the control plane it takes. Invariants, of any
/// sets of slots of one table:
/// - two of `most` share a slot: what one set of disks holds, the next owner
///   finds.
/// - one of `most` and one of `rest` share a slot: an edge that is live by
///   `rest` is seen by whoever asks `most`, and a blank disk that asks `rest`
///   of the others finds all that `most` ever held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    /// Slots of the control plane.
    pub slots: usize,
}

impl Quorum {
    /// The quorums of a table with so many slots.
    pub fn new(slots: usize) -> Quorum {
        Quorum { slots }
    }

    /// The least number of which any two sets share a slot.
    pub fn majority(self) -> usize {
        self.slots / 2 + 1
    }

    /// The least number that meets every set of `most`.
    pub fn intersecting(self) -> usize {
        self.slots - self.slots.min(self.majority()) + 1
    }
}
