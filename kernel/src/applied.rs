//! The changes applied to a row that is replaced as a whole. With these, a repeated
//! change is acknowledged again instead of being rejected or applied twice.

use crate::prelude::*;

/// Maximum number of applied changes remembered per row. The reasons for the bound
/// are in docs/guarantees/point-2.md.
pub const APPLIED_CHANGES: usize = 128;

/// An applied change and the resulting version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Id of the change.
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
    /// Returns the version under which a change was applied, if it is remembered.
    pub fn version_of(&self, change: u64) -> Option<u64> {
        self.changes
            .iter()
            .find(|applied| applied.change == change)
            .map(|applied| applied.version)
    }

    /// Returns the version after which every applied change is remembered.
    pub fn complete_after(&self) -> u64 {
        self.complete_after
    }

    /// Adds a change; drops the oldest if there are too many.
    pub fn remember(&mut self, change: u64, version: u64) {
        self.changes.push_back(AppliedChange { change, version });
        while self.changes.len() > APPLIED_CHANGES {
            let oldest = self.changes.pop_front().expect("longer than the bound");
            self.complete_after = oldest.version;
        }
    }
}
