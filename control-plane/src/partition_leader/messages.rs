//! Messages of a leader to its replicas, and their schedule.

use super::*;

/// Time after which an append without a reply is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Addition to the resend interval per row of the append, so that an append that is still in transit is not sent a
/// second time.
const RESEND_INTERVAL_PER_ROW: Duration = Duration::from_millis(2);
/// Maximum time that an append waits for its reply, regardless of the number of its rows.
const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between requests for promises. The replies contain full states: requested too often, they delay each other.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between the rounds that ticks begin in a partition that is not published to edges.
const LEDGER_ROUND_INTERVAL: Duration = Duration::from_secs(1);

impl PartitionLeader {
    /// Returns the messages due now, by slot. On a tick every replica is sent a round; otherwise only those that lack
    /// something, one message at a time: changes made while one is in flight are sent together in the next.
    pub fn due_messages(&mut self, now: Duration, tick: bool) -> Vec<(u8, Message)> {
        if self.active_since.is_none() {
            return self.due_prepares(now, tick);
        }
        let begins_round = tick && self.is_tick_round_due(now);
        if begins_round {
            self.round += 1;
            self.last_tick_round = now;
        }
        let mut messages = Vec::new();
        for slot in 0..self.quorum.slots as u8 {
            if self.is_append_due(now, slot, begins_round) {
                let append = self.append_for(slot);
                self.mark_in_flight(now, slot, append.rows.len());
                messages.push((slot, append.into()));
            }
        }
        messages
    }

    /// Returns requests for promises to the slots that have not replied.
    fn due_prepares(&mut self, now: Duration, tick: bool) -> Vec<(u8, Message)> {
        let is_due = |last: Duration| now >= last + PREPARE_RETRY_INTERVAL;
        if !tick || !self.last_prepare.is_none_or(is_due) {
            return vec![];
        }
        self.last_prepare = Some(now);
        let request = PrepareRequest {
            partition: self.partition,
            epoch: self.epoch,
            membership_version: self.membership_version,
            requester_state: self.local_state.id(),
        };
        (0..self.quorum.slots as u8)
            .filter(|slot| !self.prepared.contains_key(slot))
            .map(|slot| (slot, request.clone().into()))
            .collect()
    }

    fn is_published(&self) -> bool {
        self.partition < PUBLISHED_PARTITIONS
    }

    /// Returns true if a tick begins a round now. Partitions that edges are not shown need no settling, so their rounds
    /// are rare, and replicas learn that a row is on a quorum with the next append.
    fn is_tick_round_due(&self, now: Duration) -> bool {
        self.is_published() || now >= self.last_tick_round + LEDGER_ROUND_INTERVAL
    }

    fn is_append_due(&self, now: Duration, slot: u8, begins_round: bool) -> bool {
        let replica = &self.replicas[usize::from(slot)];
        let lacks_rows = replica
            .synced_version
            .is_none_or(|version| version < self.version);
        let lacks_published = self.is_published() && replica.sent_published < self.published;
        let lacks_round = replica.confirmed_round < self.round;
        let is_needed = begins_round || lacks_rows || lacks_published || lacks_round;
        is_needed && !replica.awaits_reply(now) && !self.awaits_prepare_reply(now, slot)
    }

    /// Returns an append with everything that the replica in this slot lacks, to this leader's knowledge.
    fn append_for(&self, slot: u8) -> AppendRequest {
        let replica = &self.replicas[usize::from(slot)];
        let base = self.delta_base(slot);
        let is_behind = |version: u64| version < self.full_state_floor;
        let full_state = base.is_none() && replica.synced_version.is_none_or(is_behind);
        let known_version = replica.synced_version.or(base.map(|base| base.version));
        let after_version = known_version.filter(|_| !full_state).unwrap_or(0);
        let missing_rows = self
            .rows
            .iter()
            .filter(|(_, row)| full_state || row.version > after_version);
        AppendRequest {
            partition: self.partition,
            epoch: self.epoch,
            membership_version: self.membership_version,
            round: self.round,
            full_state,
            after_version,
            to_version: self.version,
            rows: missing_rows
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect(),
            removed_keys: if full_state {
                vec![]
            } else {
                self.keys_removed_after(after_version)
            },
            published: self.published,
            base: base.map(|base| self.earlier_state(base)),
        }
    }

    fn keys_removed_after(&self, version: u64) -> Vec<String> {
        self.removed_keys
            .range(version + 1..)
            .map(|(_, key)| key.clone())
            .filter(|key| !self.rows.contains_key(key))
            .collect()
    }

    fn mark_in_flight(&mut self, now: Duration, slot: u8, rows: usize) {
        let interval = RESEND_INTERVAL + RESEND_INTERVAL_PER_ROW * rows as u32;
        let replica = &mut self.replicas[usize::from(slot)];
        replica.in_flight = Some(InFlight {
            round: self.round,
            resend_at: now + interval.min(MAX_RESEND_INTERVAL),
        });
        replica.sent_published = self.published;
    }

    /// Returns the id of the ledger state that the disk in this slot held when it promised, if an append can add rows
    /// to that state instead of replacing it. None once the disk has acknowledged an append under this epoch.
    fn delta_base(&self, slot: u8) -> Option<StateId> {
        let is_unknown = self.replicas[usize::from(slot)].synced_version.is_none();
        self.prepared_states.get(&slot).copied().filter(|base| {
            is_unknown
                && !self.is_published()
                && base.epoch != 0
                && base.epoch == self.adopted_state.epoch
                && base.version <= self.adopted_state.version
        })
    }

    /// Returns true if an append should wait because the disk in this slot may still report its state, and then need
    /// not be sent the full ledger.
    fn awaits_prepare_reply(&self, now: Duration, slot: u8) -> bool {
        let in_grace = |since: Duration| now < since + PREPARE_REPLY_GRACE;
        let is_unknown = self.replicas[usize::from(slot)].synced_version.is_none();
        self.active_since.is_some_and(in_grace)
            && is_unknown
            && !self.is_published()
            && !self.prepared_states.contains_key(&slot)
    }

    fn earlier_state(&self, base: StateId) -> EarlierState {
        let changed = base.version != self.version;
        EarlierState {
            epoch: base.epoch,
            keys: changed.then(|| self.rows.keys().cloned().collect()),
        }
    }
}
