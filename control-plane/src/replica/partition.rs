//! One partition on one disk: acceptance of appends, and publication of rows to edges.

use crate::prelude::*;

/// State of one partition on one disk. Invariants:
/// - `promised_epoch` never decreases, and nothing under a lower epoch is accepted.
/// - `state` is complete up to `state.version` under `state.epoch`.
/// - `published_rows` contains, for partitions that are published to edges, all rows for edges as of `state.published`.
///   Later rows wait in `unpublished`, grouped by append. All rows of an append are published together, at the version
///   up to which the append made the state complete: at a version in between, a row of the append may have replaced an
///   earlier row of its key that this disk never received.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaPartition {
    /// Highest epoch that was promised.
    pub promised_epoch: u64,
    /// All rows, including unpublished ones.
    pub state: PartitionState,
    /// Rows that are shown to edges.
    pub published_rows: BTreeMap<String, Row>,
    /// Rows of later appends, in their order.
    pub unpublished: VecDeque<UnpublishedRows>,
}

/// Rows of one append that are not published yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UnpublishedRows {
    /// Version up to which the append made the state complete.
    pub version: u64,
    /// Rows of the append, with their keys.
    pub rows: Vec<(String, Row)>,
}

impl ReplicaPartition {
    /// Returns true if an append can be applied to the current state as it is. The epoch was checked before.
    pub fn accepts(&self, request: &AppendRequest) -> bool {
        let same_epoch =
            self.state.epoch == request.epoch && self.state.version >= request.after_version;
        let base = request.base.as_ref().map(|base| StateId {
            epoch: base.epoch,
            version: request.after_version,
        });
        request.full_state || same_epoch || base == Some(self.state.id())
    }

    /// Returns the state to report with a promise to a candidate that holds `requester_state`. Ledger states are large
    /// and mostly equal at all replicas, so they are sent only if they are newer.
    pub fn prepared_state(&self, partition: u8, requester_state: StateId) -> PreparedState {
        let id = self.state.id();
        if partition >= PUBLISHED_PARTITIONS && id <= requester_state {
            let published = self.state.published;
            PreparedState::NotNewer { id, published }
        } else {
            PreparedState::Newer(self.state.clone())
        }
    }

    /// Returns a snapshot of the partition, for the recovery of another disk.
    pub(super) fn snapshot(&self, partition: u8) -> PartitionSnapshot {
        PartitionSnapshot {
            partition,
            promised_epoch: self.promised_epoch,
            state: self.state.clone(),
            published_rows: self.published_rows.clone(),
        }
    }

    /// Replaces the state by a snapshot of other disks. A promise made by this disk remains valid.
    pub(super) fn restore(&mut self, snapshot: PartitionSnapshot) {
        self.promised_epoch = self.promised_epoch.max(snapshot.promised_epoch);
        self.state = snapshot.state;
        self.published_rows = snapshot.published_rows;
        self.unpublished.clear();
        if snapshot.partition < PUBLISHED_PARTITIONS {
            let rows = self.state.rows.iter();
            self.unpublished.push_back(UnpublishedRows {
                version: self.state.version,
                rows: rows.map(|(key, row)| (key.clone(), row.clone())).collect(),
            });
        }
    }

    /// Returns the rows that an edge with this version of the partition lacks, if any.
    pub(super) fn update_since(
        &self,
        partition: u8,
        known_version: u64,
    ) -> Option<PartitionUpdate> {
        let version = self.state.published;
        let newer_rows = self
            .published_rows
            .iter()
            .filter(|(_, row)| row.version > known_version);
        (version > known_version).then(|| PartitionUpdate {
            partition,
            version,
            rows: newer_rows
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect(),
        })
    }

    /// Applies an accepted append.
    pub(super) fn append(&mut self, request: &AppendRequest) {
        self.promised_epoch = self.promised_epoch.max(request.epoch);
        if request.full_state {
            self.state.rows.clear();
            self.state.version = 0;
            self.unpublished.clear();
        }
        self.state.epoch = request.epoch;
        self.merge_rows(request);
        let is_published = request.partition < PUBLISHED_PARTITIONS;
        let is_newer = request.full_state || request.to_version > self.state.version;
        if is_published && is_newer {
            self.unpublished.push_back(UnpublishedRows {
                version: request.to_version,
                rows: request.rows.clone(),
            });
        }
        self.state.version = self.state.version.max(request.to_version);
        if is_published {
            self.publish(request.published);
        } else {
            let published = request.published.min(self.state.version);
            self.state.published = self.state.published.max(published);
        }
    }

    fn merge_rows(&mut self, request: &AppendRequest) {
        for (key, row) in &request.rows {
            insert_newer(&mut self.state.rows, key, row);
        }
        for key in &request.removed_keys {
            self.state.rows.remove(key);
        }
        if let Some(keys) = request.base.as_ref().and_then(|base| base.keys.as_ref()) {
            let keys: HashSet<&String> = keys.iter().collect();
            self.state.rows.retain(|key, _| keys.contains(key));
        }
    }

    /// Publishes to edges the rows that are committed up to this version.
    fn publish(&mut self, published: u64) {
        let is_committed = |append: &mut UnpublishedRows| append.version <= published;
        while let Some(append) = self.unpublished.pop_front_if(is_committed) {
            for (key, row) in &append.rows {
                if row.value.visible_to_edges() {
                    insert_newer(&mut self.published_rows, key, row);
                }
            }
            self.state.published = self.state.published.max(append.version);
        }
    }
}

/// Inserts a row unless the present one is at least as new.
fn insert_newer(rows: &mut BTreeMap<String, Row>, key: &str, row: &Row) {
    let known = rows.get(key);
    if known.is_none_or(|known| known.version < row.version) {
        rows.insert(key.to_string(), row.clone());
    }
}
