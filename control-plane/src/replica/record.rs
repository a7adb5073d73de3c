//! The entries of the log on disk.

use super::Replica;
use crate::prelude::*;

/// One entry of the log on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A blank disk drew its incarnation.
    Incarnation {
        /// The disk's own number.
        incarnation: u64,
    },
    /// A blank disk was recovered from the others.
    Recovered {
        /// All partitions, merged.
        partitions: Vec<PartitionSnapshot>,
        /// Whether they are what was left after a majority of disks was lost.
        majority_lost: bool,
    },
    /// The disk promised an epoch: nothing under a lower one is accepted.
    Promise {
        /// The partition.
        partition: u8,
        /// The promised epoch.
        epoch: u64,
    },
    /// A leader's append was accepted.
    Appended {
        /// The append.
        request: AppendRequest,
    },
    /// The complete replica; it takes the place of all records before it.
    Snapshot(Box<Replica>),
    /// The slot went to another node.
    Removed,
    /// A membership table was received from others.
    MembershipTable {
        /// The table's version.
        version: u64,
        /// Who holds the slots.
        members: Vec<Peer>,
    },
    /// The founding table, as the first seed fixed it.
    Founding {
        /// Who holds the slots.
        members: Vec<Peer>,
    },
    /// An incarnation counts for nothing any more.
    Retired {
        /// The incarnation of an earlier disk of a slot.
        incarnation: u64,
    },
}

impl Record {
    /// The record as it stands in the log.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::serialize(self).expect("records serialize")
    }
}
