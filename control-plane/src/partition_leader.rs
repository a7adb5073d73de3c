//! Leadership of one partition under one epoch: adoption of a state from a quorum, writes of rows, and evaluation of
//! the replicas' acknowledgements.

mod known_rows;
mod messages;
mod replica_progress;
#[cfg(test)]
mod tests;

use crate::prelude::*;
pub use known_rows::EdgeRegistry;
use replica_progress::{InFlight, ReplicaProgress};

/// Time since the epoch became active after which replicas that have not promised yet are sent the full state.
pub const PREPARE_REPLY_GRACE: Duration = Duration::from_millis(200);
/// Maximum number of removed keys retained for replicas that lag; replicas behind the oldest of them are sent the full
/// state.
const MAX_REMOVED_KEYS: usize = 4096;

/// Leader of one partition, for one epoch. Invariants:
/// - All acknowledgements are counted under one membership table. Another table requires another leader, with an epoch
///   that was promised under that table.
/// - Until a quorum promised the epoch and holds the adopted state under it, no request is served from `rows`.
/// - `version` rises by one with each row put or removed.
/// - A replica's `synced_version` includes only what it synced under this epoch.
/// - `published` never exceeds the version that a quorum of replicas holds.
#[derive(Debug, Clone)]
pub struct PartitionLeader {
    /// Partition that is led.
    pub partition: u8,
    /// Epoch under which the partition is led; unique to this leader.
    pub epoch: u64,
    /// Rows of the partition by key, including uncommitted ones.
    pub rows: BTreeMap<String, Row>,
    /// Version of the newest change to `rows`.
    pub version: u64,
    /// Highest version known to be on a quorum of replicas, up to which rows may be shown to edges.
    published: u64,
    /// Removed keys, by the version that removed them.
    removed_keys: BTreeMap<u64, String>,
    /// Version below which replicas need the full state.
    full_state_floor: u64,
    /// Number of the newest round; each append contains the round in which it was sent.
    round: u64,
    /// Time of the last requests for promises.
    last_prepare: Option<Duration>,
    /// Time when a tick last began a round.
    last_tick_round: Duration,
    /// Promises received while the epoch is not active, by slot.
    prepared: BTreeMap<u8, PreparedState>,
    /// State of the node's own disk when the epoch was begun.
    local_state: PartitionState,
    /// Id of the state that was adopted.
    adopted_state: StateId,
    /// Id of the state that each disk held when it promised.
    prepared_states: BTreeMap<u8, StateId>,
    /// Progress of each slot of the membership table that the epoch was begun under.
    replicas: Vec<ReplicaProgress>,
    quorum: Quorum,
    /// Version of the membership table.
    membership_version: u64,
    /// Time when a quorum had promised the epoch; none before.
    pub active_since: Option<Duration>,
    /// End of the recall period, before which no request is served: edges may hold rows that were lost by the disks.
    pub recall_until: Option<Duration>,
}

impl PartitionLeader {
    /// Creates a candidate for the partition, under a membership table with this number of slots and this version.
    pub fn new(
        partition: u8,
        epoch: u64,
        slots: usize,
        membership_version: u64,
    ) -> PartitionLeader {
        PartitionLeader {
            partition,
            epoch,
            rows: BTreeMap::new(),
            version: 0,
            published: 0,
            removed_keys: BTreeMap::new(),
            full_state_floor: 0,
            round: 0,
            last_prepare: None,
            last_tick_round: Duration::ZERO,
            prepared: BTreeMap::new(),
            local_state: PartitionState::default(),
            adopted_state: StateId::default(),
            prepared_states: BTreeMap::new(),
            replicas: vec![ReplicaProgress::default(); slots],
            quorum: Quorum::new(slots),
            membership_version,
            active_since: None,
            recall_until: None,
        }
    }

    /// Sets the state of the node's own disk: replicas that hold nothing newer need not send their state.
    pub fn with_local_state(self, local_state: PartitionState) -> PartitionLeader {
        PartitionLeader {
            local_state,
            ..self
        }
    }

    /// Handles a slot's promise of the epoch and the state that it reported.
    pub fn on_prepare_reply(&mut self, now: Duration, slot: u8, state: PreparedState) {
        self.prepared_states.insert(slot, state.id());
        if self.active_since.is_some() {
            return;
        }
        self.prepared.insert(slot, state);
        if self.prepared.len() >= self.quorum.majority() {
            self.adopt_newest_state(now);
        }
    }

    /// Adopts the state with the highest id of a quorum, which holds everything that was ever acknowledged. The node's
    /// own state is included in addition: a replica that sent no rows holds nothing newer.
    fn adopt_newest_state(&mut self, now: Duration) {
        let prepared = std::mem::take(&mut self.prepared);
        let published = prepared.values().map(PreparedState::published).max();
        self.published = published.unwrap_or(0);
        let local_state = std::mem::take(&mut self.local_state);
        let newer_states = prepared.into_values().filter_map(|state| match state {
            PreparedState::Newer(state) => Some(state),
            PreparedState::NotNewer { .. } => None,
        });
        let newest = newer_states
            .chain([local_state])
            .max_by_key(PartitionState::id)
            .expect("the local state is always included");
        self.adopted_state = newest.id();
        self.version = newest.version;
        self.full_state_floor = newest.version;
        self.rows = newest.rows;
        self.active_since = Some(now);
    }

    /// Returns true if requests may be served: a quorum holds the adopted state under this epoch.
    pub fn is_ready(&self) -> bool {
        let holds_state = |replica: &&ReplicaProgress| replica.synced_version.is_some();
        self.replicas.iter().filter(holds_state).count() >= self.quorum.majority()
    }

    /// Returns true if rows may be read and changed: the leader is ready, and rows that edges may hold were recalled.
    pub fn is_serving(&self) -> bool {
        self.is_ready() && self.recall_until.is_none()
    }

    /// Merges rows that an edge was shown up to `version`, where they are newer than the leader's. Returns the number
    /// of rows merged.
    pub fn merge_recalled_rows(&mut self, version: u64, rows: Vec<(String, Row)>) -> usize {
        let mut newer = 0;
        for (key, row) in rows {
            // The row that names the generation is not merged: the generation of the lost state differs from the
            // current one.
            let is_generation = matches!(row.value, Value::Founded { .. });
            let known = self.rows.get(&key);
            if !is_generation && known.is_none_or(|known| known.version < row.version) {
                self.rows.insert(key, row);
                newer += 1;
            }
        }
        self.version = self.version.max(version);
        // The merged rows may have lower versions than those that replicas hold, so all replicas are sent the full
        // state.
        self.full_state_floor = self.version;
        for replica in &mut self.replicas {
            replica.synced_version = None;
        }
        newer
    }

    /// Writes a row. Returns its version.
    pub fn put(&mut self, key: String, value: Value) -> u64 {
        self.version += 1;
        let version = self.version;
        self.rows.insert(key, Row { version, value });
        version
    }

    /// Removes a row, if it exists.
    pub fn remove_row(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.version += 1;
            self.removed_keys.insert(self.version, key.to_string());
        }
        while self.removed_keys.len() > MAX_REMOVED_KEYS {
            self.full_state_floor = self.removed_keys.pop_first().expect("not empty").0;
        }
    }

    /// Returns the highest value that a quorum of replicas has reached.
    fn reached_by_quorum(&self, value_of: fn(&ReplicaProgress) -> u64) -> u64 {
        let mut values: Vec<u64> = self.replicas.iter().map(value_of).collect();
        values.sort_unstable();
        values[values.len() - self.quorum.majority()]
    }

    /// Returns the version up to which rows are on a quorum of disks; 0 while the leader is not ready.
    pub fn committed(&self) -> u64 {
        if self.is_ready() {
            self.reached_by_quorum(|replica| replica.synced_version.unwrap_or(0))
        } else {
            0
        }
    }

    /// Returns the version that every live edge has confirmed: at each node of a quorum, every session had confirmed it
    /// when the node replied, and sessions opened later receive it with their first renewal.
    pub fn settled(&self) -> u64 {
        self.reached_by_quorum(|replica| replica.sessions_confirmed)
    }

    /// Returns the newest round that a quorum replied to: no other leader had taken over when it was sent.
    pub fn confirmed_round(&self) -> u64 {
        self.reached_by_quorum(|replica| replica.confirmed_round)
    }

    /// Handles a slot's acknowledgement of an append.
    pub fn on_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        let Some(replica) = self.replicas.get_mut(usize::from(slot)) else {
            return;
        };
        replica.on_append_reply(reply);
        let committed = self.committed();
        self.published = self.published.max(committed);
    }

    /// Drops all acknowledgements of this slot: its disk was replaced, or lacks rows it was assumed to hold.
    pub fn reset_replica(&mut self, slot: u8) {
        self.prepared.remove(&slot);
        self.prepared_states.remove(&slot);
        if let Some(replica) = self.replicas.get_mut(usize::from(slot)) {
            *replica = ReplicaProgress::default();
        }
    }

    /// Sets the version of the membership table after a change that kept its members.
    pub fn set_membership_version(&mut self, membership_version: u64) {
        self.membership_version = membership_version;
    }

    /// Begins a round and returns its number. A read begun now may be served once `confirmed_round` has reached that
    /// number.
    pub fn begin_read_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }
}
