//! The state of one disk, and replay of its log.

mod partition;
mod record;
#[cfg(test)]
mod tests;

use crate::prelude::*;
pub use partition::{ReplicaPartition, UnpublishedRows};
pub use record::Record;

/// Maximum number of retired incarnations that are remembered: disks are lost rarely, and acknowledgements of an
/// earlier disk are counted within seconds or never.
pub const MAX_RETIRED_INCARNATIONS: usize = 32;

/// State of one disk. All changes are made by `apply`, both while the node runs and when the log is replayed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// Random number that identifies the disk, drawn when it was blank.
    pub incarnation: u64,
    /// True if the disk is included in quorums: it was recovered since it was blank.
    pub full: bool,
    /// True if its slot was assigned to another node: it is excluded from quorums for good.
    pub removed: bool,
    /// Generation that may have lost rows when this disk was recovered; 0 if none. Every majority of disks includes one
    /// that records the loss, until the next generation is founded.
    pub lost_generation: u64,
    /// Membership table received from others; the published one is preferred if it is at least as new.
    pub known_table: Option<MembershipTable>,
    /// True if this is the first disk of its slot: it existed when the table was founded, and nothing was acknowledged
    /// before.
    pub founding: bool,
    /// Retired incarnations of slots, the latest last.
    pub retired: VecDeque<u64>,
    /// All partitions, indexed by their numbers.
    pub partitions: Vec<ReplicaPartition>,
}

/// Error for a record in the log that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("record cannot be decoded")]
pub struct ReplayError(#[from] bincode::Error);

impl Replica {
    /// Returns the state of an empty disk with this incarnation.
    pub fn blank(incarnation: u64) -> Replica {
        Replica {
            incarnation,
            partitions: vec![ReplicaPartition::default(); PARTITIONS.into()],
            ..Replica::default()
        }
    }

    /// Returns the state with which a removed disk starts again: a new incarnation that holds only the table that
    /// removed it.
    pub fn for_rejoin(&self, incarnation: u64) -> Replica {
        Replica {
            known_table: self.newest_table(),
            ..Replica::blank(incarnation)
        }
    }

    /// Replays a log. None if it contains no incarnation: the disk is blank.
    ///
    /// # Errors
    /// A record that cannot be decoded.
    pub fn replay(records: &[Vec<u8>]) -> Result<Option<Replica>, ReplayError> {
        let mut replica = Replica::blank(0);
        for record in records {
            replica.apply(&bincode::deserialize(record)?);
        }
        Ok((replica.incarnation != 0).then_some(replica))
    }

    /// Returns the partition with this number.
    pub fn partition(&self, partition: u8) -> &ReplicaPartition {
        &self.partitions[usize::from(partition)]
    }

    fn partition_mut(&mut self, partition: u8) -> &mut ReplicaPartition {
        &mut self.partitions[usize::from(partition)]
    }

    /// Applies one record of the log.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Incarnation { incarnation } => self.incarnation = *incarnation,
            Record::Promise { partition, epoch } => {
                self.partition_mut(*partition).promised_epoch = *epoch;
            }
            Record::Appended { request } => self.partition_mut(request.partition).append(request),
            Record::Removed => self.removed = true,
            Record::MembershipTable { version, members } => {
                self.set_known_table(*version, members);
            }
            Record::Founding { members } => {
                self.founding = true;
                self.set_known_table(0, members);
            }
            Record::Retired { incarnation } => self.remember_retired(*incarnation),
            Record::Snapshot(snapshot) => *self = (**snapshot).clone(),
            Record::Recovered {
                partitions,
                majority_lost,
            } => self.recover(partitions.clone(), *majority_lost),
        }
    }

    fn set_known_table(&mut self, version: u64, members: &[Peer]) {
        self.known_table = Some(MembershipTable {
            version,
            members: members.to_vec(),
        });
    }

    fn remember_retired(&mut self, incarnation: u64) {
        self.retired.push_back(incarnation);
        while self.retired.len() > MAX_RETIRED_INCARNATIONS {
            self.retired.pop_front();
        }
    }

    /// Takes over the rows of other disks, after which this disk is full.
    pub fn recover(&mut self, partitions: Vec<PartitionSnapshot>, majority_lost: bool) {
        self.full = true;
        for snapshot in partitions {
            self.partition_mut(snapshot.partition).restore(snapshot);
        }
        self.lost_generation = if majority_lost { self.generation() } else { 0 };
    }

    /// Encodes the record that replaces the log, without a copy of the rows.
    pub fn encode_as_snapshot(&mut self) -> Vec<u8> {
        let record = Record::Snapshot(Box::new(std::mem::take(self)));
        let bytes = record.bytes();
        if let Record::Snapshot(replica) = record {
            *self = *replica;
        }
        bytes
    }

    /// Returns snapshots of all partitions, for the recovery of another disk.
    pub fn snapshot(&self) -> Vec<PartitionSnapshot> {
        let numbered = (0u8..).zip(&self.partitions);
        numbered
            .map(|(number, partition)| partition.snapshot(number))
            .collect()
    }

    /// Returns the published rows that an edge with these versions of the partitions lacks.
    pub fn updates(&self, version_vector: &[u64]) -> Vec<PartitionUpdate> {
        let known_version = |number: u8| version_vector.get(usize::from(number)).copied();
        (0..PUBLISHED_PARTITIONS)
            .filter_map(|number| {
                self.partition(number)
                    .update_since(number, known_version(number).unwrap_or(0))
            })
            .collect()
    }

    fn published_row(&self, partition: u8, key: &str) -> Option<&Value> {
        let row = self.partition(partition).published_rows.get(key)?;
        Some(&row.value)
    }

    /// Returns the generation published on this node; 0 before the founding.
    pub fn generation(&self) -> u64 {
        match self.published_row(CONFIGURATION_PARTITION, "founded") {
            Some(Value::Founded { generation }) => *generation,
            _ => 0,
        }
    }

    /// Returns the generation whose ledger is published as complete; 0 if none is.
    pub fn opened_generation(&self) -> u64 {
        match self.published_row(ASSIGNMENTS_PARTITION, "opened") {
            Some(Value::Opened { generation }) => *generation,
            _ => 0,
        }
    }

    /// Returns true if an edge is enrolled. Only enrolled edges may claim operations, since the loss of an edge is
    /// detected only once it is enrolled.
    pub fn is_enrolled(&self, peer: &Peer) -> bool {
        match self.published_row(ASSIGNMENTS_PARTITION, "enrolled") {
            Some(Value::Enrolled { members }) => members.contains(peer),
            _ => false,
        }
    }

    /// Returns the newest membership table known on this node, if any is.
    pub fn newest_table(&self) -> Option<MembershipTable> {
        let published = self.published_table();
        let is_newer = |known: &&MembershipTable| {
            published
                .as_ref()
                .is_none_or(|published| published.version < known.version)
        };
        match self.known_table.as_ref().filter(is_newer) {
            Some(known) => Some(known.clone()),
            None => published,
        }
    }

    /// Returns the membership table published to edges, if one is.
    pub fn published_table(&self) -> Option<MembershipTable> {
        let rows = &self.partition(MEMBERSHIP_PARTITION).published_rows;
        rows.values().find_map(|row| match &row.value {
            Value::Members(members) => Some(MembershipTable {
                version: row.version,
                members: members.clone(),
            }),
            _ => None,
        })
    }

    /// Returns the published configuration and its version.
    pub fn configuration(&self) -> Option<(u64, Arc<str>)> {
        let rows = &self.partition(CONFIGURATION_PARTITION).published_rows;
        rows.values().find_map(|row| match &row.value {
            Value::Configuration { text, .. } => Some((row.version, text.clone())),
            _ => None,
        })
    }
}
