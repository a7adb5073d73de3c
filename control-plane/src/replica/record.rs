//! Entries of the log on disk.

use super::Replica;
use crate::prelude::*;

/// One entry of the log on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A blank disk was given its incarnation.
    Incarnation {
        /// Random number that identifies the disk.
        incarnation: u64,
    },
    /// A blank disk was recovered from the others.
    Recovered {
        /// All partitions, merged.
        partitions: Vec<PartitionSnapshot>,
        /// True if they are the rows that remained after a majority of disks was lost.
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
    /// The complete replica; it replaces all records before it.
    Snapshot(Box<Replica>),
    /// The slot was assigned to another node.
    Removed,
    /// A membership table was received from others.
    MembershipTable {
        /// The table's version.
        version: u64,
        /// Holders of the slots.
        members: Vec<Peer>,
    },
    /// The founding table, as created by the first seed.
    Founding {
        /// Holders of the slots.
        members: Vec<Peer>,
    },
    /// An incarnation was retired: its messages are ignored from then on.
    Retired {
        /// The incarnation of an earlier disk of a slot.
        incarnation: u64,
    },
}

impl Record {
    /// Returns the record as it is encoded in the log.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::serialize(self).expect("records serialize")
    }
}
