//! The state of one partition at a replica, and how two states compare.
use crate::prelude::*;

/// All that one disk holds of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionSnapshot {
    /// The partition.
    pub partition: u8,
    /// The highest epoch that was promised.
    pub promised_epoch: u64,
    /// The rows and their version.
    pub state: PartitionState,
    /// The rows of a published partition as they were at `state.published`.
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
    /// Committed up to here: may be shown to edges.
    pub published: u64,
    /// The rows by key.
    pub rows: BTreeMap<String, Row>,
}

/// Tells one state of a partition from another: within an epoch, the states of
/// all replicas at one version are the same. The later in this order holds all
/// that was acknowledged in the earlier, if both are on a majority's disks.
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
    /// Which state it is.
    pub fn id(&self) -> StateId {
        StateId {
            epoch: self.epoch,
            version: self.version,
        }
    }
}

/// A replica's state as it goes with a prepare reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PreparedState {
    /// The requester holds nothing older.
    NotNewer {
        /// Which state the replica has.
        id: StateId,
        /// Committed up to here.
        published: u64,
    },
    /// The complete state, which the requester may lack.
    Newer(PartitionState),
}

impl PreparedState {
    /// Which state the replica has.
    pub fn id(&self) -> StateId {
        match self {
            PreparedState::NotNewer { id, .. } => *id,
            PreparedState::Newer(state) => state.id(),
        }
    }

    /// Committed up to here.
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
    /// All keys that remain afterwards; none: those of that state.
    pub keys: Option<Vec<String>>,
}

/// Rows of one published partition that an edge lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionUpdate {
    /// The partition.
    pub partition: u8,
    /// The version that the edge has with these rows.
    pub version: u64,
    /// Rows after the version that the edge had, by key.
    pub rows: Vec<(String, Row)>,
}
