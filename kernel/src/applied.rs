//! Which changes of a row that is replaced whole were applied, so that a
//! change sent again is acknowledged again and neither refused nor repeated.

use crate::prelude::*;

/// Applied changes remembered per row. The bound is argued in
/// docs/guarantees/point-2.md.
pub const APPLIED_CHANGES: usize = 128;

/// A change and the version under which it was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Names the change.
    pub change: u64,
    /// The version under which it was applied.
    pub version: u64,
}

/// The latest applied changes of one row. Invariants:
/// - `changes` are in the order of their versions, at most `APPLIED_CHANGES`.
/// - Each change applied after version `complete_after` is among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChanges {
    changes: VecDeque<AppliedChange>,
    complete_after: u64,
}

impl AppliedChanges {
    /// The version under which a change was applied, if it is remembered.
    pub fn version_of(&self, change: u64) -> Option<u64> {
        self.changes
            .iter()
            .find(|known| known.change == change)
            .map(|known| known.version)
    }

    /// Every change applied after this version is remembered.
    pub fn complete_after(&self) -> u64 {
        self.complete_after
    }

    /// Remembers a change; the oldest is dropped if there are too many.
    pub fn remember(&mut self, change: u64, version: u64) {
        self.changes.push_back(AppliedChange { change, version });
        while self.changes.len() > APPLIED_CHANGES {
            let oldest = self.changes.pop_front().expect("longer than the bound");
            self.complete_after = oldest.version;
        }
    }
}
