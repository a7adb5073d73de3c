//! A set of slots of the control plane.

use crate::prelude::*;

/// A set of slots with one bit for each: small enough to be sent in every heartbeat.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSet(u16);

// Every slot needs a bit.
const _: () = assert!(MAX_SLOTS <= u16::BITS as usize);

impl SlotSet {
    /// Adds a slot; a number of `MAX_SLOTS` or above is ignored.
    pub fn insert(&mut self, slot: u8) {
        self.0 |= SlotSet::bit(slot);
    }

    /// Returns true if the slot is in the set.
    pub fn contains(self, slot: u8) -> bool {
        self.0 & SlotSet::bit(slot) != 0
    }

    /// Returns the number of slots in the set.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Returns true if the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Iterates over the slots in ascending order.
    pub fn iter(self) -> impl Iterator<Item = u8> {
        (0..MAX_SLOTS as u8).filter(move |slot| self.contains(*slot))
    }

    /// Returns the slots that are in either set.
    pub fn union(self, other: SlotSet) -> SlotSet {
        SlotSet(self.0 | other.0)
    }

    /// Returns the slots of this set that are not in the other.
    pub fn difference(self, other: SlotSet) -> SlotSet {
        SlotSet(self.0 & !other.0)
    }

    fn bit(slot: u8) -> u16 {
        1u16.checked_shl(u32::from(slot)).unwrap_or(0)
    }
}

impl FromIterator<u8> for SlotSet {
    fn from_iter<I: IntoIterator<Item = u8>>(slots: I) -> SlotSet {
        let mut set = SlotSet::default();
        slots.into_iter().for_each(|slot| set.insert(slot));
        set
    }
}

impl fmt::Debug for SlotSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.iter()).finish()
    }
}
