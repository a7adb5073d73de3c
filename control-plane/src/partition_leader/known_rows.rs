//! Rows of fixed keys in a leader's partition, by their types.

use super::*;

/// Key of the row that remembers the changes applied to the partition's one row that is replaced as a unit.
const APPLIED_KEY: &str = "applied";

/// Edges that may hold rows and operations of the fleet, as recorded by the leader of the assignments.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EdgeRegistry {
    /// Edges with a session, or whose departure is not known by a quorum.
    pub members: Vec<Peer>,
    /// Edges that departed within the time in which they may come back.
    pub departed: Vec<Peer>,
    /// Whether the operation ledger was complete when this was written.
    pub complete: bool,
}

impl PartitionLeader {
    /// Changes applied to the partition's row that is replaced as a unit. They are a row of their own beside it:
    /// on disk, on all replicas, and adopted with the rest.
    pub fn applied_changes(&self) -> AppliedChanges {
        match self.rows.get(APPLIED_KEY) {
            Some(Row {
                value: Value::Applied(applied),
                ..
            }) => applied.clone(),
            _ => AppliedChanges::default(),
        }
    }

    /// The version under which a change was applied to the row of this key, if it is remembered.
    pub fn applied_version(&self, key: &str, change: u64) -> Option<u64> {
        // The row itself names its change: after a loss it may have come from edges, without the memory.
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

    /// Replaces a row as a unit and remembers the change. Returns the row's version. The memory goes first: a
    /// replica that has the row has the memory too.
    pub fn apply_change(&mut self, key: &str, value: Value, change: u64) -> u64 {
        let mut applied = self.applied_changes();
        applied.remember(change, self.version + 2);
        self.put(APPLIED_KEY.into(), Value::Applied(applied));
        self.put(key.into(), value)
    }

    /// Edges that may claim operations.
    pub fn enrolled(&self) -> Vec<Peer> {
        match self.rows.get("enrolled") {
            Some(Row {
                value: Value::Enrolled { members },
                ..
            }) => members.clone(),
            _ => vec![],
        }
    }

    /// The generation whose ledger is open, that is, known to be complete; 0 if none is.
    pub fn opened_generation(&self) -> u64 {
        match self.rows.get("opened") {
            Some(Row {
                value: Value::Opened { generation },
                ..
            }) => *generation,
            _ => 0,
        }
    }

    /// The edge registry, in the partition that holds it.
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
