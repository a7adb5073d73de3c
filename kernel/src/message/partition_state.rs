//! The state of one partition at a replica, and the order of two states.
use crate::prelude::*;

/// The complete state of a partition on one disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionSnapshot {
    /// The partition.
    pub partition: u8,
    /// The highest promised epoch.
    pub promised_epoch: u64,
    /// The rows and their version.
    pub state: PartitionState,
    /// The rows of a published partition at version `state.published`.
    pub published_rows: BTreeMap<String, Row>,
}

/// The rows of a partition at one replica. Within an epoch the rows are
/// complete up to `version`, so of two states the one with the higher (epoch,
/// version) holds all that the other's majority ever acknowledged.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartitionState {
    /// The epoch of the leader that wrote it.
    pub epoch: u64,
    /// The version up to which the rows are complete.
    pub version: u64,
    /// Highest committed version: rows up to it may be published to edges.
    pub published: u64,
    /// The rows by key.
    pub rows: BTreeMap<String, Row>,
}

/// Identifies a state of a partition: within an epoch, the states of all replicas
/// at one version are equal. A later state in this order holds all that was
/// acknowledged in an earlier one, if both are on the disks of a majority.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StateId {
    /// The epoch of the leader that wrote it.
    pub epoch: u64,
    /// The version up to which it is complete.
    pub version: u64,
}

impl PartitionState {
    /// Returns the id of this state.
    pub fn id(&self) -> StateId {
        StateId {
            epoch: self.epoch,
            version: self.version,
        }
    }
}

/// A replica's state in a prepare reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PreparedState {
    /// The replica's state is not newer than the requester's.
    NotNewer {
        /// Id of the replica's state.
        id: StateId,
        /// Highest committed version.
        published: u64,
    },
    /// The complete state, which is newer than the requester's.
    Newer(PartitionState),
}

impl PreparedState {
    /// Returns the id of the replica's state.
    pub fn id(&self) -> StateId {
        match self {
            PreparedState::NotNewer { id, .. } => *id,
            PreparedState::Newer(state) => state.id(),
        }
    }

    /// Returns the highest committed version.
    pub fn published(&self) -> u64 {
        match self {
            PreparedState::NotNewer { published, .. } => *published,
            PreparedState::Newer(state) => state.published,
        }
    }
}

/// The state of an earlier epoch that rows of a new epoch are added to: the one
/// at `after_version` of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EarlierState {
    /// The earlier epoch.
    pub epoch: u64,
    /// All keys that remain afterwards; `None`: the keys of that state.
    pub keys: Option<Vec<String>>,
}

/// Rows of one published partition that an edge lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionUpdate {
    /// The partition.
    pub partition: u8,
    /// The edge's version after it has applied these rows.
    pub version: u64,
    /// Rows with a version above the edge's earlier one, by key.
    pub rows: Vec<(String, Row)>,
}
