//! Typed access to rows with fixed keys in a leader's partition.

use super::*;

/// Key of the row that lists the changes applied to the partition's one row that is replaced as a unit.
const APPLIED_KEY: &str = "applied";

/// Edges that may hold rows and operations of the fleet, as recorded by the leader of the assignments.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EdgeRegistry {
    /// Edges with a session, or whose departure is not known by a quorum.
    pub members: Vec<Peer>,
    /// Edges that departed recently enough that they may return.
    pub departed: Vec<Peer>,
    /// True if the operation ledger was complete when this was written.
    pub complete: bool,
}

impl PartitionLeader {
    /// Returns the changes applied to the partition's row that is replaced as a unit. They are a separate row: stored
    /// on disk, replicated, and adopted with the other rows.
    pub fn applied_changes(&self) -> AppliedChanges {
        match self.rows.get(APPLIED_KEY) {
            Some(Row {
                value: Value::Applied(applied),
                ..
            }) => applied.clone(),
            _ => AppliedChanges::default(),
        }
    }

    /// Returns the version under which a change was applied to the row of this key, if it is remembered.
    pub fn applied_version(&self, key: &str, change: u64) -> Option<u64> {
        // The row itself contains the id of its change: after a loss it may have been recalled from edges, without the
        // list of applied changes.
        let current = self.rows.get(key).filter(|row| match &row.value {
            Value::Configuration { change: known, .. } | Value::Origins { change: known, .. } => {
                *known == change
            }
            _ => false,
        });
        current
            .map(|row| row.version)
            .or_else(|| self.applied_changes().version_of(change))
    }

    /// Replaces a row as a unit and records the change. Returns the row's version. The list of applied changes is
    /// written first, so that a replica that has the row also has the list.
    pub fn apply_change(&mut self, key: &str, value: Value, change: u64) -> u64 {
        let mut applied = self.applied_changes();
        applied.remember(change, self.version + 2);
        self.put(APPLIED_KEY.into(), Value::Applied(applied));
        self.put(key.into(), value)
    }

    /// Returns the edges that may claim operations.
    pub fn enrolled(&self) -> Vec<Peer> {
        match self.rows.get("enrolled") {
            Some(Row {
                value: Value::Enrolled { members },
                ..
            }) => members.clone(),
            _ => vec![],
        }
    }

    /// Returns the generation whose ledger is open, that is, known to be complete; 0 if none is.
    pub fn opened_generation(&self) -> u64 {
        match self.rows.get("opened") {
            Some(Row {
                value: Value::Opened { generation },
                ..
            }) => *generation,
            _ => 0,
        }
    }

    /// Returns the edge registry, in the partition that holds it.
    pub fn edge_registry(&self) -> Option<EdgeRegistry> {
        match self.rows.get("roll") {
            Some(Row {
                value:
                    Value::EdgeRegistry {
                        members,
                        departed,
                        complete,
                    },
                ..
            }) => Some(EdgeRegistry {
                members: members.clone(),
                departed: departed.clone(),
                complete: *complete,
            }),
            _ => None,
        }
    }
}
