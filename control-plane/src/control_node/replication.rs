//! Replication: candidacies for partitions under new epochs, storage of rows as a replica, and evaluation of replies as
//! a leader.

use super::*;

/// Number of recall periods before a leader serves.
const RECALL_PERIOD_COUNT: u32 = 1;
/// Number of recall periods in the configuration's partition: one more than in the others, since its recall ends with
/// the founding of the generation, which must follow the recall of all other partitions.
const CONFIGURATION_RECALL_PERIOD_COUNT: u32 = 2;

/// Returns the append without its rows, for a replica that already holds them and possibly later ones: a delayed full
/// state must not remove the later rows.
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
    /// Starts candidacies for the partitions that this node is preferred to lead, and withdraws those for others.
    pub(super) fn campaign(&mut self, now: Duration) {
        if !self.may_lead(now) {
            return;
        }
        let eligible = self.eligible_leaders(now);
        for partition in 0..PARTITIONS {
            if self.preferred_leader_among(eligible, partition) != Some(self.slot) {
                self.withdraw_candidacy(partition);
            } else if !self.leaders.contains_key(&partition)
                && !self.stale_epochs.is_backing_off(now, partition)
            {
                self.start_candidacy(partition);
            }
        }
    }

    fn withdraw_candidacy(&mut self, partition: u8) {
        let leader = self.leaders.get(&partition);
        if leader.is_some_and(|leader| leader.active_since.is_none()) {
            self.leaders.remove(&partition);
        }
    }

    fn start_candidacy(&mut self, partition: u8) {
        let promised = self.replica.partition(partition).promised_epoch;
        let highest = promised.max(self.stale_epochs.promised_epoch(partition));
        // Epochs of different slots never collide.
        let slots = MAX_SLOTS as u64;
        let epoch = (highest / slots + 1) * slots + u64::from(self.slot);
        // Stored on this node's disk before promises are requested: an epoch that others promised and this node forgot
        // over a restart would be used twice.
        self.store(&Record::Promise { partition, epoch });
        let local_state = self.replica.partition(partition).state.clone();
        let slots = self.members.len();
        let leader = PartitionLeader::new(partition, epoch, slots, self.membership_version)
            .with_local_state(local_state);
        self.leaders.insert(partition, leader);
    }

    /// Handles a candidate's request for a promise.
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

    /// Handles rows sent by a leader.
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

    /// Stores the new part of an accepted append. Applying the rows of an overtaken or duplicated request again would
    /// undo later acknowledged changes.
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

    /// Handles the refusal of a replica that promised a higher epoch: another node leads the partition or is a
    /// candidate for it.
    pub(super) fn handle_stale_epoch(&mut self, now: Duration, stale: &StaleEpoch) {
        let partition = stale.partition;
        if self.leader_of_epoch(partition, stale.epoch).is_none() {
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

    /// Sends the messages of this node's leaders that are due after a step, and the replies that are due by their
    /// progress.
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

    /// Handles a replica's promise of one of this node's epochs.
    pub(super) fn handle_prepare_reply(&mut self, now: Duration, slot: u8, reply: PrepareReply) {
        self.on_loss_reported(now, reply.lost_generation);
        self.on_retired_reported(&reply.retired_incarnations);
        let Some(leader) = self.leader_of_epoch(reply.partition, reply.epoch) else {
            return;
        };
        let was_active = leader.active_since.is_some();
        leader.on_prepare_reply(now, slot, reply.state);
        if !was_active && leader.active_since.is_some() {
            self.on_leadership_won(now, reply.partition);
        }
    }

    /// Starts leadership of a partition after a majority promised the epoch.
    fn on_leadership_won(&mut self, now: Duration, partition: u8) {
        let is_ledger_closed = now < self.generation.ledger_closed_until;
        let Some(leader) = self.leaders.get_mut(&partition) else {
            return;
        };
        // Includes a partition whose founding was begun but not completed by another leader.
        if is_ledger_closed || !leader.rows.contains_key("founded") {
            let period_count = if partition == CONFIGURATION_PARTITION {
                CONFIGURATION_RECALL_PERIOD_COUNT
            } else {
                RECALL_PERIOD_COUNT
            };
            leader.recall_until = Some(now + lease::RECALL_PERIOD * period_count);
        }
        let (epoch, version) = (leader.epoch, leader.version);
        self.assignments.tokens_at_grant = self.sessions.issued_tokens();
        self.finished_operations.forget(partition);
        let text = format!("slice {partition} epoch {epoch} version {version}");
        self.log_event(Event::PartitionAcquired, text);
        if partition == ASSIGNMENTS_PARTITION {
            // Renewals show which of the owners are still running.
            self.request_renewals();
        }
    }

    /// Handles a replica's acknowledgement of rows.
    pub(super) fn handle_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        self.on_retired_reported(&reply.retired_incarnations);
        if let Some(leader) = self.leader_of_epoch(reply.partition, reply.epoch) {
            leader.on_append_reply(slot, reply);
        }
    }

    /// Handles a replica that lacks rows it was assumed to hold: it is sent the full state.
    pub(super) fn handle_append_gap(&mut self, slot: u8, gap: &AppendGap) {
        if let Some(leader) = self.leader_of_epoch(gap.partition, gap.epoch) {
            leader.reset_replica(slot);
        }
    }

    /// Returns this node's leader of a partition, if it leads it under this epoch.
    fn leader_of_epoch(&mut self, partition: u8, epoch: u64) -> Option<&mut PartitionLeader> {
        let leader = self.leaders.get_mut(&partition)?;
        Some(leader).filter(|leader| leader.epoch == epoch)
    }
}
