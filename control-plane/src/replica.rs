#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What one disk holds. All changes go through `apply`, on the path and when
/// the log is read back. Invariants, per partition:
/// - `promised` never goes down, and nothing under a lower epoch is taken.
/// - `image` is complete up to `image.version` under `image.epoch`.
/// - `shown` is, for the updates partitions, all rows for edges as they were at
///   `image.published`. Rows that came after it wait in `tail`, by the version
///   up to which each message made the image complete: what is published in
///   between is not shown, since a later row may hide an earlier one of its key
///   that was never sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The disk's own number, drawn when it was blank.
    pub incarnation: u64,
    /// Whether the disk counts: it was refilled since it was blank.
    pub full: bool,
    /// Its slot went to another: it counts for nothing, for good.
    pub removed: bool,
    /// The generation that may have lost something when this disk was refilled: of
    /// any two disks one knows, until the next generation has its name.
    pub lost_generation: u64,
    /// A table of places heard of from others; the one in the partition of places
    /// goes first if it is as new.
    pub known_table: Option<(u64, Vec<Peer>)>,
    /// The first disk of its slot: it was there when the table was founded, and
    /// nothing was acknowledged before.
    pub founding: bool,
    /// Lives of slots that count for nothing any more, the latest last.
    pub retired: VecDeque<u64>,
    pub partitions: Vec<ReplicaPartition>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPartition {
    pub promised_epoch: u64,
    pub state: PartitionState,
    pub published_rows: BTreeMap<String, Row>,
    pub unpublished: VecDeque<(u64, Vec<(String, Row)>)>,
}

/// Retired lives remembered: disks are lost rarely, and what an earlier one
/// acknowledged is counted within seconds or never.
pub const MAX_RETIRED_INCARNATIONS: usize = 32;

/// One entry of the log on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Incarnation {
        incarnation: u64,
    },
    /// `lost`: from what was left after a majority of disks went.
    Recovered {
        partitions: Vec<PartitionSnapshot>,
        majority_lost: bool,
    },
    Promise {
        partition: u8,
        epoch: u64,
    },
    Appended {
        request: AppendRequest,
    },
    Snapshot(Box<Replica>),
    Removed,
    MembershipTable {
        version: u64,
        members: Vec<Peer>,
    },
    /// The founding table, as the first seed fixed it.
    Founding {
        members: Vec<Peer>,
    },
    Retired {
        incarnation: u64,
    },
}

impl Record {
    /// As it stands in the log.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::serialize(self).expect("records serialize")
    }
}

impl Replica {
    pub fn blank(incarnation: u64) -> Replica {
        Replica {
            incarnation,
            partitions: vec![ReplicaPartition::default(); PARTITIONS.into()],
            ..Replica::default()
        }
    }

    /// What a removed disk starts over with: a new life, which holds nothing, and
    /// the table that told of the removal.
    pub fn for_rejoin(&self, incarnation: u64) -> Replica {
        Replica {
            known_table: self.newest_table(),
            ..Replica::blank(incarnation)
        }
    }

    /// Reads a log back. None if it holds no disk number: the disk is blank.
    pub fn replay(records: &[Vec<u8>]) -> Result<Option<Replica>> {
        let mut replica = Replica::blank(0);
        for record in records {
            replica.apply(&bincode::deserialize(record).context("record does not read")?);
        }
        Ok((replica.incarnation != 0).then_some(replica))
    }

    pub fn partition(&self, partition: u8) -> &ReplicaPartition {
        &self.partitions[usize::from(partition)]
    }

    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Incarnation { incarnation } => self.incarnation = *incarnation,
            Record::Promise { partition, epoch } => {
                self.partitions[usize::from(*partition)].promised_epoch = *epoch
            }
            Record::Appended { request: keep } => {
                self.partitions[usize::from(keep.partition)].append(keep)
            }
            Record::Removed => self.removed = true,
            Record::MembershipTable { version, members } => {
                self.known_table = Some((*version, members.clone()))
            }
            Record::Founding { members } => {
                (self.founding, self.known_table) = (true, Some((0, members.clone())))
            }
            Record::Retired { incarnation } => {
                self.retired.push_back(*incarnation);
                while self.retired.len() > MAX_RETIRED_INCARNATIONS {
                    self.retired.pop_front();
                }
            }
            Record::Snapshot(image) => *self = (**image).clone(),
            Record::Recovered {
                partitions: held,
                majority_lost: lost,
            } => {
                self.full = true;
                for one in held {
                    let partition = &mut self.partitions[usize::from(one.partition)];
                    partition.promised_epoch = partition.promised_epoch.max(one.promised);
                    partition.state = one.state.clone();
                    partition.published_rows = one.published_rows.clone();
                    partition.unpublished.clear();
                    if one.partition < PUBLISHED_PARTITIONS {
                        let rows = one
                            .state
                            .rows
                            .iter()
                            .map(|(key, row)| (key.clone(), row.clone()))
                            .collect();
                        partition.unpublished.push_back((one.state.version, rows));
                    }
                }
                self.lost_generation = if *lost { self.generation() } else { 0 };
            }
        }
    }

    pub fn snapshot(&self) -> Vec<PartitionSnapshot> {
        let one = |(at, held): (usize, &ReplicaPartition)| PartitionSnapshot {
            partition: at as u8,
            promised: held.promised_epoch,
            state: held.state.clone(),
            published_rows: held.published_rows.clone(),
        };
        self.partitions.iter().enumerate().map(one).collect()
    }

    /// What an edge with this vector lacks.
    pub fn updates(&self, vector: &[u64]) -> Vec<PartitionUpdate> {
        (0..PUBLISHED_PARTITIONS)
            .filter_map(|partition| {
                let held = self.partition(partition);
                let known = vector.get(usize::from(partition)).copied().unwrap_or(0);
                let rows = held
                    .published_rows
                    .iter()
                    .filter(|(_, row)| row.version > known);
                (held.state.published > known).then(|| PartitionUpdate {
                    partition,
                    version: held.state.published,
                    rows: rows.map(|(key, row)| (key.clone(), row.clone())).collect(),
                })
            })
            .collect()
    }

    /// The generation, as far as this replica may show it; 0 before the founding.
    pub fn generation(&self) -> u64 {
        match self
            .partition(CONFIGURATION_PARTITION)
            .published_rows
            .get("founded")
        {
            Some(Row {
                value: Value::Founded { generation },
                ..
            }) => *generation,
            _ => 0,
        }
    }

    /// The generation whose ledger was told to be complete.
    pub fn opened_generation(&self) -> u64 {
        match self
            .partition(ASSIGNMENTS_PARTITION)
            .published_rows
            .get("opened")
        {
            Some(Row {
                value: Value::Opened { generation },
                ..
            }) => *generation,
            _ => 0,
        }
    }

    /// Whether an edge may claim operations: its loss would be noticed.
    pub fn is_enrolled(&self, peer: &Peer) -> bool {
        matches!(self.partition(ASSIGNMENTS_PARTITION).published_rows.get("enrolled"), Some(Row { value: Value::Enrolled { members }, .. }) if members.contains(peer))
    }

    /// Who holds the slots by the newest table known here, if any is.
    pub fn newest_table(&self) -> Option<(u64, Vec<Peer>)> {
        let shown = self.published_members();
        match &self.known_table {
            Some(heard) if shown.as_ref().is_none_or(|(version, _)| *version < heard.0) => {
                Some(heard.clone())
            }
            _ => shown,
        }
    }

    /// Who holds the slots as edges are shown it here, if there is such a row.
    pub fn published_members(&self) -> Option<(u64, Vec<Peer>)> {
        self.partition(MEMBERSHIP_PARTITION)
            .published_rows
            .values()
            .find_map(|row| match &row.value {
                Value::Members(members) => Some((row.version, members.clone())),
                _ => None,
            })
    }

    /// The configuration as far as this replica may show it.
    pub fn configuration(&self) -> Option<(u64, Arc<str>)> {
        self.partition(CONFIGURATION_PARTITION)
            .published_rows
            .values()
            .find_map(|row| match &row.value {
                Value::Configuration { text, .. } => Some((row.version, text.clone())),
                _ => None,
            })
    }
}

impl ReplicaPartition {
    /// Whether `keep` can be taken as it is; the epoch was checked before.
    pub fn accepts(&self, keep: &AppendRequest) -> bool {
        let same_epoch = self.state.epoch == keep.epoch && self.state.version >= keep.after_version;
        let base = keep.base.as_ref().map(|base| StateId {
            epoch: base.epoch,
            version: keep.after_version,
        });
        keep.full_state || same_epoch || base == Some(self.state.id())
    }

    /// What is told with a promise to one who holds `held`. States of the ledger
    /// are large and mostly the same at all replicas.
    pub fn prepared_state(&self, partition: u8, held: StateId) -> PreparedState {
        let id = self.state.id();
        if partition >= PUBLISHED_PARTITIONS && id <= held {
            let published = self.state.published;
            PreparedState::NotNewer { id, published }
        } else {
            PreparedState::Newer(self.state.clone())
        }
    }

    fn append(&mut self, keep: &AppendRequest) {
        self.promised_epoch = self.promised_epoch.max(keep.epoch);
        if keep.full_state {
            self.state.rows.clear();
            self.state.version = 0;
            self.unpublished.clear();
        }
        self.state.epoch = keep.epoch;
        for (key, row) in &keep.rows {
            if self
                .state
                .rows
                .get(key)
                .is_none_or(|known| known.version < row.version)
            {
                self.state.rows.insert(key.clone(), row.clone());
            }
        }
        for key in &keep.removed_keys {
            self.state.rows.remove(key);
        }
        if let Some(keys) = keep.base.as_ref().and_then(|base| base.keys.as_ref()) {
            let keys: HashSet<&String> = keys.iter().collect();
            self.state.rows.retain(|key, _| keys.contains(key));
        }
        if keep.partition < PUBLISHED_PARTITIONS
            && (keep.full_state || keep.to_version > self.state.version)
        {
            self.unpublished
                .push_back((keep.to_version, keep.rows.clone()));
        }
        self.state.version = self.state.version.max(keep.to_version);
        if keep.partition < PUBLISHED_PARTITIONS {
            self.publish(keep.published);
        } else {
            self.state.published = self
                .state
                .published
                .max(keep.published.min(self.state.version));
        }
    }

    fn publish(&mut self, published: u64) {
        while let Some((version, rows)) = self
            .unpublished
            .pop_front_if(|(version, _)| *version <= published)
        {
            for (key, row) in rows {
                if !row.value.visible_to_edges() {
                    continue;
                }
                if self
                    .published_rows
                    .get(&key)
                    .is_none_or(|known| known.version < row.version)
                {
                    self.published_rows.insert(key, row);
                }
            }
            self.state.published = self.state.published.max(version);
        }
    }
}
