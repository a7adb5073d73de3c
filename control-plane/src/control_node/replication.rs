//! Replication: standing for partitions under new epochs, storing rows as a replica, and counting replies as a leader.

use super::*;

/// Rounds of recall before a leader serves: in the configuration's partition one more, since the generation is named
/// last, when all have listened.
const RECALL_ROUNDS: u32 = 1;
const CONFIGURATION_RECALL_ROUNDS: u32 = 2;

/// An append whose rows are held already, maybe with later ones over them: a full state that comes late must not take
/// those away.
fn without_rows(request: AppendRequest) -> AppendRequest {
    AppendRequest {
        full_state: false,
        rows: vec![],
        removed_keys: vec![],
        base: None,
        ..request
    }
}

impl ControlNode {
    /// Stands for the partitions that this node shall lead, and gives up candidacies for others.
    pub(super) fn campaign(&mut self, now: Duration) {
        if !self.may_lead(now) {
            return;
        }
        let eligible = self.eligible_leaders(now);
        for partition in 0..PARTITIONS {
            if self.preferred_leader_among(eligible, partition) != Some(self.slot) {
                self.withdraw_candidacy(partition);
            } else if !self.leaders.contains_key(&partition)
                && !self.stale_epochs.backs_off(now, partition)
            {
                self.stand_for(partition);
            }
        }
    }

    fn withdraw_candidacy(&mut self, partition: u8) {
        let leader = self.leaders.get(&partition);
        if leader.is_some_and(|leader| leader.active_since.is_none()) {
            self.leaders.remove(&partition);
        }
    }

    fn stand_for(&mut self, partition: u8) {
        let promised = self.replica.partition(partition).promised_epoch;
        let highest = promised.max(self.stale_epochs.promised_epoch(partition));
        // Epochs of one slot differ from those of all others.
        let slots = MAX_SLOTS as u64;
        let epoch = (highest / slots + 1) * slots + u64::from(self.slot);
        // On the own disk before promises are requested: an epoch that others promised and this node forgot over a restart
        // would be taken twice.
        self.store(&Record::Promise { partition, epoch });
        let local_state = self.replica.partition(partition).state.clone();
        let slots = self.members.len();
        let leader = PartitionLeader::new(partition, epoch, slots, self.membership_version)
            .with_local_state(local_state);
        self.leaders.insert(partition, leader);
    }

    /// A candidate requests a promise.
    pub(super) fn handle_prepare_request(&mut self, from: Peer, request: &PrepareRequest) {
        let (partition, epoch) = (request.partition, request.epoch);
        let promised = self.replica.partition(partition).promised_epoch;
        if epoch < promised {
            return self.refuse_stale_epoch(from, partition, epoch);
        }
        if epoch > promised {
            self.store(&Record::Promise { partition, epoch });
        }
        let stored = self.replica.partition(partition);
        let reply = PrepareReply {
            partition,
            epoch,
            lost_generation: self.lost_generation(),
            retired_incarnations: self.retired_incarnations(),
            state: stored.prepared_state(partition, request.requester_state),
        };
        self.send_after_sync(from.address, reply);
    }

    fn refuse_stale_epoch(&mut self, from: Peer, partition: u8, epoch: u64) {
        let promised = self.replica.partition(partition).promised_epoch;
        let refusal = StaleEpoch {
            partition,
            epoch,
            promised_epoch: promised,
        };
        self.send_after_sync(from.address, refusal);
    }

    /// A leader sends rows.
    pub(super) fn handle_append_request(
        &mut self,
        now: Duration,
        from: Peer,
        request: AppendRequest,
    ) {
        let (partition, epoch, round) = (request.partition, request.epoch, request.round);
        let stored = self.replica.partition(partition);
        if epoch < stored.promised_epoch {
            return self.refuse_stale_epoch(from, partition, epoch);
        }
        if !stored.accepts(&request) {
            let gap = AppendGap {
                partition,
                epoch,
                round,
            };
            return self.send(from.address, gap);
        }
        let published_before = stored.state.published;
        let synced_version = request.to_version;
        self.store_append(request);
        let published = self.replica.partition(partition).state.published;
        let is_published_partition = partition < PUBLISHED_PARTITIONS;
        let sessions_confirmed = is_published_partition
            .then(|| self.sessions.confirmed_version(now, partition, published))
            .flatten();
        let reply = AppendReply {
            partition,
            epoch,
            round,
            synced_version,
            sessions_confirmed,
            retired_incarnations: self.retired_incarnations(),
        };
        self.send_after_sync(from.address, reply);
        if published > published_before && is_published_partition {
            self.send_update_notices(partition, published);
        }
    }

    /// Stores what of an accepted append is new. Applied again, rows of a request that was overtaken or came twice
    /// would undo what was acknowledged since.
    fn store_append(&mut self, request: AppendRequest) {
        let stored = self.replica.partition(request.partition);
        let is_current =
            stored.state.epoch == request.epoch && stored.promised_epoch == request.epoch;
        let is_stored = is_current && stored.state.version >= request.to_version;
        if !is_stored {
            self.store(&Record::Appended { request });
        } else if request.published > stored.state.published {
            let request = without_rows(request);
            self.store(&Record::Appended { request });
        }
    }

    /// A replica promised a higher epoch: another node leads the partition, or stands for it.
    pub(super) fn handle_stale_epoch(&mut self, now: Duration, stale: &StaleEpoch) {
        let partition = stale.partition;
        if self.leader_under(partition, stale.epoch).is_none() {
            return;
        }
        self.leaders.remove(&partition);
        self.pending_replies
            .retain(|reply| reply.partition != partition);
        self.stale_epochs.on_loss(now, self.slot, stale);
        let (epoch, promised) = (stale.epoch, stale.promised_epoch);
        let text = format!("slice {partition} epoch {epoch} to {promised}");
        self.log_event(Event::PartitionLost, text);
    }

    /// Sends what the leaders here have to send after a step, and the replies that are due thereby.
    pub(super) fn flush_leaders(&mut self, now: Duration, tick: bool) {
        let mut messages = Vec::new();
        for leader in self.leaders.values_mut() {
            for (slot, message) in leader.due_messages(now, tick) {
                messages.push((self.members[usize::from(slot)].address, message));
            }
            let due = self
                .pending_replies
                .extract_if(.., |reply| reply.is_due(leader));
            messages.extend(due.map(PendingReply::into_message));
        }
        for (to, message) in messages {
            match message {
                Message::PrepareRequest(_) => self.send_after_sync(to, message),
                _ => self.send(to, message),
            }
        }
    }

    /// A replica promised an epoch of this node's.
    pub(super) fn handle_prepare_reply(&mut self, now: Duration, slot: u8, reply: PrepareReply) {
        self.on_loss_reported(now, reply.lost_generation);
        self.on_retired_reported(&reply.retired_incarnations);
        let Some(leader) = self.leader_under(reply.partition, reply.epoch) else {
            return;
        };
        let was_active = leader.active_since.is_some();
        leader.on_prepare_reply(now, slot, reply.state);
        if !was_active && leader.active_since.is_some() {
            self.on_leadership_won(now, reply.partition);
        }
    }

    /// A majority promised the epoch.
    fn on_leadership_won(&mut self, now: Duration, partition: u8) {
        let is_ledger_closed = now < self.generation.ledger_closed_until;
        let Some(leader) = self.leaders.get_mut(&partition) else {
            return;
        };
        // Also a partition whose founding another leader began and did not end.
        if is_ledger_closed || !leader.rows.contains_key("founded") {
            let rounds = if partition == CONFIGURATION_PARTITION {
                CONFIGURATION_RECALL_ROUNDS
            } else {
                RECALL_ROUNDS
            };
            leader.recall_until = Some(now + lease::RECALL_PERIOD * rounds);
        }
        let (epoch, version) = (leader.epoch, leader.version);
        self.assignments.tokens_at_grant = self.sessions.issued_tokens();
        self.finished_operations.forget(partition);
        let text = format!("slice {partition} epoch {epoch} version {version}");
        self.log_event(Event::PartitionAcquired, text);
        if partition == ASSIGNMENTS_PARTITION {
            // Which of the owners are still there?
            self.request_renewals();
        }
    }

    /// A replica synced rows.
    pub(super) fn handle_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        self.on_retired_reported(&reply.retired_incarnations);
        if let Some(leader) = self.leader_under(reply.partition, reply.epoch) {
            leader.on_append_reply(slot, reply);
        }
    }

    /// The replica does not hold what was assumed: it gets everything.
    pub(super) fn handle_append_gap(&mut self, slot: u8, gap: &AppendGap) {
        if let Some(leader) = self.leader_under(gap.partition, gap.epoch) {
            leader.reset_replica(slot);
        }
    }

    /// This node's own leadership of a partition, if it is under this epoch.
    fn leader_under(&mut self, partition: u8, epoch: u64) -> Option<&mut PartitionLeader> {
        let leader = self.leaders.get_mut(&partition)?;
        Some(leader).filter(|leader| leader.epoch == epoch)
    }
}
