#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The owner of one partition, for one epoch. Invariants:
/// - All that is counted here is counted by one table: with another table
///   comes another leader, under an epoch that was promised by that.
/// - Until a majority promised the epoch and took the whole adopted image,
///   nothing is answered from `rows`.
/// - `version` rises by one with each row put or dropped.
/// - A copy's `to` counts only what it synced under this epoch.
/// - `published` never exceeds what a majority of copies has.
#[derive(Debug, Clone)]
pub struct PartitionLeader {
    pub partition: u8,
    pub epoch: u64,
    pub rows: BTreeMap<String, Row>,
    pub version: u64,
    published: u64,
    /// Keys dropped at a version; forgotten once all copies dropped them.
    removed_keys: BTreeMap<u64, String>,
    /// Copies behind this version need the whole image.
    full_state_floor: u64,
    round: u64,
    /// When promises were last asked for.
    last_prepare: Option<Duration>,
    /// When the last round of a tick began.
    last_tick_round: Duration,
    prepared: BTreeMap<u8, PreparedState>,
    /// What our own disk held when the epoch was begun.
    local_state: PartitionState,
    /// The state that was adopted.
    adopted_state: StateId,
    /// What each disk held when it promised.
    prepared_states: BTreeMap<u8, StateId>,
    /// One for each slot of the table it was begun under: another table
    /// takes another leader.
    replicas: Vec<ReplicaProgress>,
    quorum: Quorum,
    /// Version of that table.
    membership_version: u64,
    pub active_since: Option<Duration>,
    /// Until then nothing is answered: edges may know more.
    pub recall_until: Option<Duration>,
}

/// What is known of the copy on one disk.
#[derive(Debug, Clone, Default)]
struct ReplicaProgress {
    synced_version: Option<u64>,
    sent_published: u64,
    confirmed_round: u64,
    sessions_confirmed: u64,
    /// The round of the message under way, and when it is sent again.
    in_flight: Option<(u64, Duration)>,
}

/// An unanswered message is sent again after this, and after so much more for
/// each row in it: one that is still on the way is not put behind itself.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
const RESEND_INTERVAL_PER_ROW: Duration = Duration::from_millis(2);
const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// Who has not promised yet is given so long before it is sent the whole state.
pub const PREPARE_REPLY_GRACE: Duration = Duration::from_millis(200);
/// Row key of the changes applied to the partition's one row that is replaced
/// whole.
const APPLIED_KEY: &str = "applied";
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Between rounds of a partition that is not updates.
const LEDGER_ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Dropped keys remembered for copies that lag.
const MAX_REMOVED_KEYS: usize = 4096;

impl PartitionLeader {
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

    /// Our own disk holds this: who holds nothing newer need not send it.
    pub fn with_local_state(self, own: PartitionState) -> PartitionLeader {
        PartitionLeader {
            local_state: own,
            ..self
        }
    }

    /// A slot promised the epoch and told what it holds.
    pub fn on_prepare_reply(&mut self, now: Duration, slot: u8, state: PreparedState) {
        self.prepared_states.insert(slot, state.id());
        if self.active_since.is_some() {
            return;
        }
        self.prepared.insert(slot, state);
        if self.prepared.len() >= self.quorum.most() {
            self.adopt_newest_state(now);
        }
    }

    /// The state with the highest id of a majority holds all that was ever
    /// acknowledged. Our own counts beside it: who told us no rows holds nothing
    /// newer than that.
    fn adopt_newest_state(&mut self, now: Duration) {
        let promises = std::mem::take(&mut self.prepared);
        let published = promises.values().map(PreparedState::published).max();
        self.published = published.unwrap_or(0);
        let own = std::mem::take(&mut self.local_state);
        let newer = promises
            .into_values()
            .filter_map(|promised| match promised {
                PreparedState::Newer(state) => Some(state),
                PreparedState::NotNewer { .. } => None,
            });
        let best = newer
            .chain([own])
            .max_by_key(PartitionState::id)
            .expect("our own is there");
        self.adopted_state = best.id();
        self.version = best.version;
        self.full_state_floor = best.version;
        self.rows = best.rows;
        self.active_since = Some(now);
    }

    /// Whether answers may be given: a majority has the adopted image.
    pub fn ready(&self) -> bool {
        self.replicas
            .iter()
            .filter(|copy| copy.synced_version.is_some())
            .count()
            >= self.quorum.most()
    }

    /// Rows an edge was shown and we do not have; ours are older.
    pub fn merge_recalled_rows(&mut self, version: u64, rows: Vec<(String, Row)>) -> usize {
        let mut newer = 0;
        for (key, row) in rows {
            // The generation of the lost state is not this one's.
            let generation = matches!(row.value, Value::Founded { .. });
            if !generation
                && self
                    .rows
                    .get(&key)
                    .is_none_or(|known| known.version < row.version)
            {
                self.rows.insert(key, row);
                newer += 1;
            }
        }
        self.version = self.version.max(version);
        // Their versions may lie below what copies have: they get it whole.
        self.full_state_floor = self.version;
        self.replicas
            .iter_mut()
            .for_each(|copy| copy.synced_version = None);
        newer
    }

    pub fn put(&mut self, key: String, value: Value) -> u64 {
        self.version += 1;
        self.rows.insert(
            key,
            Row {
                version: self.version,
                value,
            },
        );
        self.version
    }

    pub fn remove_row(&mut self, key: &str) {
        if self.rows.remove(key).is_some() {
            self.version += 1;
            self.removed_keys.insert(self.version, key.to_string());
        }
        while self.removed_keys.len() > MAX_REMOVED_KEYS {
            self.full_state_floor = self.removed_keys.pop_first().expect("not empty").0;
        }
    }

    fn quorum_version(&self, of: fn(&ReplicaProgress) -> u64) -> u64 {
        let mut list: Vec<u64> = self.replicas.iter().map(of).collect();
        list.sort_unstable();
        list[list.len() - self.quorum.most()]
    }

    /// On a majority of the disks up to here.
    pub fn committed(&self) -> u64 {
        if self.ready() {
            self.quorum_version(|copy| copy.synced_version.unwrap_or(0))
        } else {
            0
        }
    }

    /// Known to every live edge up to here: at a majority, every session had
    /// confirmed it when that node answered, and later ones get it first.
    pub fn settled(&self) -> u64 {
        self.quorum_version(|copy| copy.sessions_confirmed)
    }

    pub fn confirmed_round(&self) -> u64 {
        self.quorum_version(|copy| copy.confirmed_round)
    }

    pub fn on_append_reply(&mut self, slot: u8, kept: &AppendReply) {
        let Some(copy) = self.replicas.get_mut(usize::from(slot)) else {
            return;
        };
        if copy.in_flight.is_some_and(|(round, _)| round == kept.round) {
            copy.in_flight = None;
        }
        copy.synced_version = Some(copy.synced_version.unwrap_or(0).max(kept.synced_version));
        copy.confirmed_round = copy.confirmed_round.max(kept.round);
        copy.sessions_confirmed = copy
            .sessions_confirmed
            .max(kept.sessions_confirmed.unwrap_or(0));
        let committed = self.committed();
        self.published = self.published.max(committed);
    }

    /// Nothing this slot said counts any more: its disk is another.
    pub fn reset_replica(&mut self, slot: u8) {
        self.prepared.remove(&slot);
        self.prepared_states.remove(&slot);
        if let Some(copy) = self.replicas.get_mut(usize::from(slot)) {
            *copy = ReplicaProgress::default();
        }
    }

    /// Changes applied to the partition's row that is replaced whole. A row of
    /// their own beside it: on disk, on all replicas, and adopted with the rest.
    pub fn applied_changes(&self) -> AppliedChanges {
        match self.rows.get(APPLIED_KEY) {
            Some(Row {
                value: Value::Applied(applied),
                ..
            }) => applied.clone(),
            _ => AppliedChanges::default(),
        }
    }

    /// The version under which a change was applied to the row of this key, if
    /// it is remembered.
    pub fn applied_version(&self, key: &str, change: u64) -> Option<u64> {
        // The row itself names its change: it may have come without the memory,
        // from edges after a loss.
        let standing = self.rows.get(key).filter(|row| match &row.value {
            Value::Configuration { change: known, .. } | Value::Origins { change: known, .. } => {
                *known == change
            }
            _ => false,
        });
        standing
            .map(|row| row.version)
            .or_else(|| self.applied_changes().version_of(change))
    }

    /// Replaces a row whole and remembers the change. The memory goes first:
    /// who has the row has the memory too.
    pub fn apply_change(&mut self, key: &str, value: Value, change: u64) -> u64 {
        let mut applied = self.applied_changes();
        applied.remember(change, self.version + 2);
        self.put(APPLIED_KEY.into(), Value::Applied(applied));
        self.put(key.into(), value)
    }

    /// The table changed in its number only.
    pub fn set_membership_version(&mut self, membership_version: u64) {
        self.membership_version = membership_version;
    }

    /// Messages due now. On a tick every copy gets a round; otherwise only
    /// those that lack something, one message at a time: what gathers while
    /// one is under way goes together in the next.
    pub fn due_messages(&mut self, now: Duration, tick: bool) -> Vec<(u8, Message)> {
        if self.active_since.is_none() {
            let (partition, epoch, membership_version) =
                (self.partition, self.epoch, self.membership_version);
            // The answers bring whole images: asked too often, they stand in
            // each other's way.
            let due = tick
                && self
                    .last_prepare
                    .is_none_or(|asked| now >= asked + PREPARE_RETRY_INTERVAL);
            if due {
                self.last_prepare = Some(now);
            }
            let unanswered = (0..self.quorum.slots as u8)
                .filter(|slot| due && !self.prepared.contains_key(slot));
            return unanswered
                .map(|slot| {
                    (
                        slot,
                        PrepareRequest {
                            partition,
                            epoch,
                            membership_version,
                            requester_state: self.local_state.id(),
                        }
                        .into(),
                    )
                })
                .collect();
        }
        // What edges are not shown needs no settling: its rounds are seldom, and
        // that a row is on a majority goes along with the next.
        let updates = self.partition < PUBLISHED_PARTITIONS;
        let tick = tick && (updates || now >= self.last_tick_round + LEDGER_ROUND_INTERVAL);
        if tick {
            self.round += 1;
            self.last_tick_round = now;
        }
        let published = self.published;
        let mut out = Vec::new();
        for slot in 0..self.quorum.slots as u8 {
            let copy = &self.replicas[usize::from(slot)];
            let lacking = copy.synced_version.is_none_or(|to| to < self.version)
                || updates && copy.sent_published < published
                || copy.confirmed_round < self.round;
            let busy = copy.in_flight.is_some_and(|(_, again)| now < again);
            if busy || !(tick || lacking) || self.awaits_prepare_reply(now, slot) {
                continue;
            }
            let base = self.delta_base(slot);
            let whole = base.is_none()
                && copy
                    .synced_version
                    .is_none_or(|to| to < self.full_state_floor);
            let known = copy.synced_version.or(base.map(|base| base.version));
            let from = known.filter(|_| !whole).unwrap_or(0);
            let newer = self
                .rows
                .iter()
                .filter(|(_, row)| whole || row.version > from);
            let keep = AppendRequest {
                partition: self.partition,
                epoch: self.epoch,
                membership_version: self.membership_version,
                round: self.round,
                full_state: whole,
                after_version: from,
                to_version: self.version,
                rows: newer.map(|(key, row)| (key.clone(), row.clone())).collect(),
                removed_keys: if whole {
                    vec![]
                } else {
                    self.removed_keys
                        .range(from + 1..)
                        .map(|(_, key)| key.clone())
                        .filter(|key| !self.rows.contains_key(key))
                        .collect()
                },
                published,
                base: base.map(|base| self.earlier_state(base)),
            };
            let span = RESEND_INTERVAL + RESEND_INTERVAL_PER_ROW * keep.rows.len() as u32;
            let copy = &mut self.replicas[usize::from(slot)];
            copy.in_flight = Some((self.round, now + span.min(MAX_RESEND_INTERVAL)));
            copy.sent_published = published;
            out.push((slot, keep.into()));
        }
        out
    }

    /// The state of the ledger that this disk held when it promised, if rows can
    /// be added to that: its own acknowledgement takes its place.
    fn delta_base(&self, slot: u8) -> Option<StateId> {
        let unknown = self.replicas[usize::from(slot)].synced_version.is_none();
        self.prepared_states.get(&slot).copied().filter(|base| {
            unknown
                && self.partition >= PUBLISHED_PARTITIONS
                && base.epoch != 0
                && base.epoch == self.adopted_state.epoch
                && base.version <= self.adopted_state.version
        })
    }

    /// Whether what this disk holds may still be told, so that it need not be
    /// sent the whole ledger.
    fn awaits_prepare_reply(&self, now: Duration, slot: u8) -> bool {
        let early = self
            .active_since
            .is_some_and(|since| now < since + PREPARE_REPLY_GRACE);
        let unknown = self.replicas[usize::from(slot)].synced_version.is_none();
        early
            && unknown
            && self.partition >= PUBLISHED_PARTITIONS
            && !self.prepared_states.contains_key(&slot)
    }

    fn earlier_state(&self, base: StateId) -> EarlierState {
        let changed = base.version != self.version;
        EarlierState {
            epoch: base.epoch,
            keys: changed.then(|| self.rows.keys().cloned().collect()),
        }
    }

    /// A read begun now is confirmed once this round is.
    pub fn begin_read_round(&mut self) -> u64 {
        self.round += 1;
        self.round
    }

    /// Edges that may claim operations.
    pub fn enrolled(&self) -> Vec<Peer> {
        match self.rows.get("enrolled") {
            Some(Row {
                value: Value::Enrolled { members },
                ..
            }) => members.clone(),
            _ => vec![],
        }
    }

    /// The generation whose ledger is said to be complete.
    pub fn opened_generation(&self) -> u64 {
        match self.rows.get("opened") {
            Some(Row {
                value: Value::Opened { generation },
                ..
            }) => *generation,
            _ => 0,
        }
    }

    /// Members, gone and whether the ledger was complete, in the partition that
    /// keeps the roll.
    pub fn edge_registry(&self) -> Option<(Vec<Peer>, Vec<Peer>, bool)> {
        match self.rows.get("roll") {
            Some(Row {
                value:
                    Value::EdgeRegistry {
                        members,
                        departed: gone,
                        complete,
                    },
                ..
            }) => Some((members.clone(), gone.clone(), *complete)),
            _ => None,
        }
    }
}
