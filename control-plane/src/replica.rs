//! What one disk holds, and how its log is read back.

mod partition;
mod record;
#[cfg(test)]
mod tests;

use crate::prelude::*;
pub use partition::{ReplicaPartition, UnpublishedRows};
pub use record::Record;

/// Retired incarnations that are remembered: disks are lost rarely, and what an earlier one acknowledged is counted
/// within seconds or never.
pub const MAX_RETIRED_INCARNATIONS: usize = 32;

/// What one disk holds. All changes go through `apply`, while the node runs and when the log is read back.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The disk's own number, drawn when it was blank.
    pub incarnation: u64,
    /// Whether the disk counts toward quorums: it was recovered since it was blank.
    pub full: bool,
    /// Its slot went to another node: it counts for nothing, for good.
    pub removed: bool,
    /// The generation that may have lost something when this disk was recovered; 0 if none. Of any two disks one
    /// knows, until the next generation is founded.
    pub lost_generation: u64,
    /// A membership table received from others; the published one is preferred if it is as new.
    pub known_table: Option<MembershipTable>,
    /// The first disk of its slot: it was there when the table was founded, and nothing was acknowledged before.
    pub founding: bool,
    /// Incarnations of slots that count for nothing any more, the latest last.
    pub retired: VecDeque<u64>,
    /// All partitions, by their numbers.
    pub partitions: Vec<ReplicaPartition>,
}

/// The log holds a record that is not one of this program's.
#[derive(Debug, thiserror::Error)]
#[error("record does not read")]
pub struct ReplayError(#[from] bincode::Error);

impl Replica {
    /// An empty disk with this incarnation.
    pub fn blank(incarnation: u64) -> Replica {
        Replica {
            incarnation,
            partitions: vec![ReplicaPartition::default(); PARTITIONS.into()],
            ..Replica::default()
        }
    }

    /// What a removed disk starts over with: a new incarnation, which holds nothing but the table that removed it.
    pub fn for_rejoin(&self, incarnation: u64) -> Replica {
        Replica {
            known_table: self.newest_table(),
            ..Replica::blank(incarnation)
        }
    }

    /// Reads a log back. None if it names no incarnation: the disk is blank.
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

    /// The partition of this number.
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
            } => self.recover(partitions, *majority_lost),
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

    fn recover(&mut self, partitions: &[PartitionSnapshot], majority_lost: bool) {
        self.full = true;
        for snapshot in partitions {
            self.partition_mut(snapshot.partition).restore(snapshot);
        }
        self.lost_generation = if majority_lost { self.generation() } else { 0 };
    }

    /// All partitions, as another disk needs them to recover.
    pub fn snapshot(&self) -> Vec<PartitionSnapshot> {
        let numbered = (0u8..).zip(&self.partitions);
        numbered
            .map(|(number, partition)| partition.snapshot(number))
            .collect()
    }

    /// Published rows that an edge lacks that knows the partitions up to these versions.
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

    /// The generation, as far as it is published here; 0 before the founding.
    pub fn generation(&self) -> u64 {
        match self.published_row(CONFIGURATION_PARTITION, "founded") {
            Some(Value::Founded { generation }) => *generation,
            _ => 0,
        }
    }

    /// The generation whose ledger is published to be complete; 0 if none is.
    pub fn opened_generation(&self) -> u64 {
        match self.published_row(ASSIGNMENTS_PARTITION, "opened") {
            Some(Value::Opened { generation }) => *generation,
            _ => 0,
        }
    }

    /// Whether an edge may claim operations: its loss would be noticed.
    pub fn is_enrolled(&self, peer: &Peer) -> bool {
        match self.published_row(ASSIGNMENTS_PARTITION, "enrolled") {
            Some(Value::Enrolled { members }) => members.contains(peer),
            _ => false,
        }
    }

    /// The newest membership table known here, if any is.
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

    /// The membership table as it is published to edges, if it is.
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

    /// The published configuration and its version.
    pub fn configuration(&self) -> Option<(u64, Arc<str>)> {
        let rows = &self.partition(CONFIGURATION_PARTITION).published_rows;
        rows.values().find_map(|row| match &row.value {
            Value::Configuration { text, .. } => Some((row.version, text.clone())),
            _ => None,
        })
    }
}
