#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What one disk holds. All changes go through `apply`, on the path and when
/// the log is read back. Invariants, per slice:
/// - `promised` never goes down, and nothing under a lower epoch is taken.
/// - `image` is complete up to `image.version` under `image.epoch`.
/// - `shown` is, for the news slices, all rows for edges as they were at
///   `image.published`. Rows that came after it wait in `tail`, by the version
///   up to which each message made the image complete: what is published in
///   between is not shown, since a later row may hide an earlier one of its key
///   that was never sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The disk's own number, drawn when it was blank.
    pub life: u64,
    /// Whether the disk counts: it was refilled since it was blank.
    pub full: bool,
    /// Its slot went to another: it counts for nothing, for good.
    pub removed: bool,
    /// The realm that may have lost something when this disk was refilled: of
    /// any two disks one knows, until the next realm has its name.
    pub lost: u64,
    /// A table of places heard of from others; the one in the slice of places
    /// goes first if it is as new.
    pub membership_version: Option<(u64, Vec<Peer>)>,
    /// The first disk of its slot: it was there when the table was founded, and
    /// nothing was acknowledged before.
    pub founding: bool,
    /// Lives of slots that count for nothing any more, the latest last.
    pub retired: VecDeque<u64>,
    pub slices: Vec<ReplicaPartition>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPartition {
    pub promised: u64,
    pub image: PartitionState,
    pub shown: BTreeMap<String, Row>,
    pub tail: VecDeque<(u64, Vec<(String, Row)>)>,
}

/// Retired lives remembered: disks are lost rarely, and what an earlier one
/// acknowledged is counted within seconds or never.
pub const RETIRED: usize = 32;

/// One entry of the log on disk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    Life {
        life: u64,
    },
    /// `lost`: from what was left after a majority of disks went.
    Recovered {
        held: Vec<PartitionSnapshot>,
        lost: bool,
    },
    Promise {
        slice: u8,
        epoch: u64,
    },
    Appended {
        keep: AppendRequest,
    },
    Image(Box<Replica>),
    Removed,
    MembershipTable {
        version: u64,
        places: Vec<Peer>,
    },
    /// The founding table, as the first seed fixed it.
    Founding {
        places: Vec<Peer>,
    },
    Retired {
        life: u64,
    },
}

impl Record {
    /// As it stands in the log.
    pub fn bytes(&self) -> Vec<u8> {
        bincode::serialize(self).expect("records serialize")
    }
}

impl Replica {
    pub fn blank(life: u64) -> Replica {
        Replica {
            life,
            slices: vec![ReplicaPartition::default(); SLICES.into()],
            ..Replica::default()
        }
    }

    /// What a removed disk starts over with: a new life, which holds nothing, and
    /// the table that told of the removal.
    pub fn renewed(&self, life: u64) -> Replica {
        Replica {
            membership_version: self.table(),
            ..Replica::blank(life)
        }
    }

    /// Reads a log back. None if it holds no disk number: the disk is blank.
    pub fn replay(records: &[Vec<u8>]) -> Result<Option<Replica>> {
        let mut replica = Replica::blank(0);
        for record in records {
            replica.apply(&bincode::deserialize(record).context("record does not read")?);
        }
        Ok((replica.life != 0).then_some(replica))
    }

    pub fn held(&self, slice: u8) -> &ReplicaPartition {
        &self.slices[usize::from(slice)]
    }

    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Life { life } => self.life = *life,
            Record::Promise { slice, epoch } => self.slices[usize::from(*slice)].promised = *epoch,
            Record::Appended { keep } => self.slices[usize::from(keep.slice)].keep(keep),
            Record::Removed => self.removed = true,
            Record::MembershipTable { version, places } => {
                self.membership_version = Some((*version, places.clone()))
            }
            Record::Founding { places } => {
                (self.founding, self.membership_version) = (true, Some((0, places.clone())))
            }
            Record::Retired { life } => {
                self.retired.push_back(*life);
                while self.retired.len() > RETIRED {
                    self.retired.pop_front();
                }
            }
            Record::Image(image) => *self = (**image).clone(),
            Record::Recovered { held, lost } => {
                self.full = true;
                for one in held {
                    let slice = &mut self.slices[usize::from(one.slice)];
                    slice.promised = slice.promised.max(one.promised);
                    slice.image = one.image.clone();
                    slice.shown = one.shown.clone();
                    slice.tail.clear();
                    if one.slice < NEWS {
                        let rows = one
                            .image
                            .rows
                            .iter()
                            .map(|(key, row)| (key.clone(), row.clone()))
                            .collect();
                        slice.tail.push_back((one.image.version, rows));
                    }
                }
                self.lost = if *lost { self.realm() } else { 0 };
            }
        }
    }

    pub fn copy_out(&self) -> Vec<PartitionSnapshot> {
        let one = |(at, held): (usize, &ReplicaPartition)| PartitionSnapshot {
            slice: at as u8,
            promised: held.promised,
            image: held.image.clone(),
            shown: held.shown.clone(),
        };
        self.slices.iter().enumerate().map(one).collect()
    }

    /// What an edge with this vector lacks.
    pub fn news(&self, vector: &[u64]) -> Vec<News> {
        (0..NEWS)
            .filter_map(|slice| {
                let held = self.held(slice);
                let known = vector.get(usize::from(slice)).copied().unwrap_or(0);
                let rows = held.shown.iter().filter(|(_, row)| row.version > known);
                (held.image.published > known).then(|| News {
                    slice,
                    version: held.image.published,
                    rows: rows.map(|(key, row)| (key.clone(), row.clone())).collect(),
                })
            })
            .collect()
    }

    /// The realm, as far as this replica may show it; 0 before the founding.
    pub fn realm(&self) -> u64 {
        match self.held(CONFIGURATION).shown.get("founded") {
            Some(Row {
                value: Value::Founded { realm },
                ..
            }) => *realm,
            _ => 0,
        }
    }

    /// The realm whose ledger was told to be complete.
    pub fn opened(&self) -> u64 {
        match self.held(DUTIES).shown.get("opened") {
            Some(Row {
                value: Value::Opened { realm },
                ..
            }) => *realm,
            _ => 0,
        }
    }

    /// Whether an edge may claim operations: its loss would be noticed.
    pub fn enrolled(&self, peer: &Peer) -> bool {
        matches!(self.held(DUTIES).shown.get("enrolled"), Some(Row { value: Value::Enrolled { members }, .. }) if members.contains(peer))
    }

    /// Who holds the slots by the newest table known here, if any is.
    pub fn table(&self) -> Option<(u64, Vec<Peer>)> {
        let shown = self.places();
        match &self.membership_version {
            Some(heard) if shown.as_ref().is_none_or(|(version, _)| *version < heard.0) => {
                Some(heard.clone())
            }
            _ => shown,
        }
    }

    /// Who holds the slots as edges are shown it here, if there is such a row.
    pub fn places(&self) -> Option<(u64, Vec<Peer>)> {
        self.held(PLACES)
            .shown
            .values()
            .find_map(|row| match &row.value {
                Value::Places(places) => Some((row.version, places.clone())),
                _ => None,
            })
    }

    /// The configuration as far as this replica may show it.
    pub fn configuration(&self) -> Option<(u64, Arc<str>)> {
        self.held(CONFIGURATION)
            .shown
            .values()
            .find_map(|row| match &row.value {
                Value::Configuration { text, .. } => Some((row.version, text.clone())),
                _ => None,
            })
    }
}

impl ReplicaPartition {
    /// Whether `keep` can be taken as it is; the epoch was checked before.
    pub fn fits(&self, keep: &AppendRequest) -> bool {
        let same_epoch = self.image.epoch == keep.epoch && self.image.version >= keep.from;
        let base = keep.base.as_ref().map(|base| StateId {
            epoch: base.epoch,
            version: keep.from,
        });
        keep.whole || same_epoch || base == Some(self.image.id())
    }

    /// What is told with a promise to one who holds `held`. States of the ledger
    /// are large and mostly the same at all replicas.
    pub fn promised_state(&self, slice: u8, held: StateId) -> PromisedState {
        let id = self.image.id();
        if slice >= NEWS && id <= held {
            let published = self.image.published;
            PromisedState::NotNewer { id, published }
        } else {
            PromisedState::Newer(self.image.clone())
        }
    }

    fn keep(&mut self, keep: &AppendRequest) {
        self.promised = self.promised.max(keep.epoch);
        if keep.whole {
            self.image.rows.clear();
            self.image.version = 0;
            self.tail.clear();
        }
        self.image.epoch = keep.epoch;
        for (key, row) in &keep.rows {
            if self
                .image
                .rows
                .get(key)
                .is_none_or(|known| known.version < row.version)
            {
                self.image.rows.insert(key.clone(), row.clone());
            }
        }
        for key in &keep.drops {
            self.image.rows.remove(key);
        }
        if let Some(keys) = keep.base.as_ref().and_then(|base| base.keys.as_ref()) {
            let keys: HashSet<&String> = keys.iter().collect();
            self.image.rows.retain(|key, _| keys.contains(key));
        }
        if keep.slice < NEWS && (keep.whole || keep.to > self.image.version) {
            self.tail.push_back((keep.to, keep.rows.clone()));
        }
        self.image.version = self.image.version.max(keep.to);
        if keep.slice < NEWS {
            self.publish(keep.published);
        } else {
            self.image.published = self
                .image
                .published
                .max(keep.published.min(self.image.version));
        }
    }

    fn publish(&mut self, published: u64) {
        while let Some((version, rows)) =
            self.tail.pop_front_if(|(version, _)| *version <= published)
        {
            for (key, row) in rows {
                if !row.value.for_edges() {
                    continue;
                }
                if self
                    .shown
                    .get(&key)
                    .is_none_or(|known| known.version < row.version)
                {
                    self.shown.insert(key, row);
                }
            }
            self.image.published = self.image.published.max(version);
        }
    }
}
