//! Partitions on disks: taking a partition under a new epoch, keeping rows as a replica, recovering a blank disk.

use super::*;

/// Without a loss for this long, a leader's pauses start short again.
const STALE_EPOCH_BACKOFF_RESET: Duration = Duration::from_secs(10);

/// Of a request whose rows are held already, maybe with later ones over them:
/// a whole state that comes late must not take those away.
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
    pub(super) fn campaign(&mut self, now: Duration) {
        if !self.may_lead(now) {
            return;
        }
        let eligible = self.eligible_leaders(now);
        for partition in 0..PARTITIONS {
            if self.preferred_leader_among(eligible, partition) != Some(self.slot) {
                if self
                    .leaders
                    .get(&partition)
                    .is_some_and(|leader| leader.active_since.is_none())
                {
                    self.leaders.remove(&partition);
                }
                continue;
            }
            let (met, soonest, _) = self
                .stale_epochs
                .get(&partition)
                .copied()
                .unwrap_or_default();
            if self.leaders.contains_key(&partition) || now < soonest {
                continue;
            }
            let highest = met.max(self.replica.partition(partition).promised_epoch);
            let epoch = (highest / MAX_SLOTS as u64 + 1) * MAX_SLOTS as u64 + u64::from(self.slot);
            // On our own disk before others are asked: an epoch that others
            // promised and we forgot over a restart would be taken twice.
            self.store(&Record::Promise { partition, epoch });
            self.leaders.insert(
                partition,
                PartitionLeader::new(
                    partition,
                    epoch,
                    self.members.len(),
                    self.membership_version,
                )
                .with_local_state(self.replica.partition(partition).state.clone()),
            );
        }
    }

    pub(super) fn handle_prepare_request(&mut self, from: Peer, request: PrepareRequest) {
        let PrepareRequest {
            partition,
            epoch,
            requester_state: held,
            ..
        } = request;
        let promised = self.replica.partition(partition).promised_epoch;
        if epoch < promised {
            return self.send_after_sync(
                from.address,
                StaleEpoch {
                    partition,
                    epoch,
                    promised,
                },
            );
        }
        if epoch > promised {
            self.store(&Record::Promise { partition, epoch });
        }
        let state = self
            .replica
            .partition(partition)
            .prepared_state(partition, held);
        self.send_after_sync(
            from.address,
            PrepareReply {
                partition,
                epoch,
                lost_generation: self.lost_generation(),
                retired_incarnations: self.retired_incarnations(),
                state,
            },
        );
    }

    pub(super) fn handle_append_request(&mut self, now: Duration, from: Peer, keep: AppendRequest) {
        let AppendRequest {
            partition,
            epoch,
            round,
            to_version: to,
            ..
        } = keep;
        let held = self.replica.partition(partition);
        if epoch < held.promised_epoch {
            let promised = held.promised_epoch;
            return self.send_after_sync(
                from.address,
                StaleEpoch {
                    partition,
                    epoch,
                    promised,
                },
            );
        }
        if !held.accepts(&keep) {
            return self.send(
                from.address,
                AppendGap {
                    partition,
                    epoch,
                    round,
                },
            );
        }
        let published = held.state.published;
        let current = held.state.epoch == epoch && held.promised_epoch == epoch;
        // Taken again, rows of a request that was overtaken or came twice would
        // undo what was acknowledged since.
        let is_held = current && held.state.version >= to;
        if !is_held {
            self.store(&Record::Appended { request: keep });
        } else if keep.published > published {
            let keep = without_rows(keep);
            self.store(&Record::Appended { request: keep });
        }
        let held = self.replica.partition(partition);
        let clear = if partition < PUBLISHED_PARTITIONS {
            self.sessions
                .confirmed_version(now, partition, held.state.published)
        } else {
            None
        };
        let version = held.state.published;
        self.send_after_sync(
            from.address,
            AppendReply {
                partition,
                epoch,
                round,
                synced_version: to,
                sessions_confirmed: clear,
                retired_incarnations: self.retired_incarnations(),
            },
        );
        if version > published && partition < PUBLISHED_PARTITIONS {
            let renewal_token = self.sessions.issue_token();
            for edge in self
                .sessions
                .unconfirmed(self.replica.generation(), partition, version)
            {
                self.send(
                    edge,
                    UpdateNotice {
                        partition,
                        version,
                        renewal_token,
                    },
                );
            }
        }
    }

    pub(super) fn handle_stale_epoch(&mut self, now: Duration, superseded: StaleEpoch) {
        if self
            .leaders
            .get(&superseded.partition)
            .is_none_or(|leader| leader.epoch != superseded.epoch)
        {
            return;
        }
        self.leaders.remove(&superseded.partition);
        self.pending_replies
            .retain(|wait| wait.partition != superseded.partition);
        // Two that both think themselves chosen do not chase each other:
        // each pending_replies longer after each loss, and unlike long.
        let recent = |known: &&(u64, Duration, u32)| now < known.1 + STALE_EPOCH_BACKOFF_RESET;
        let spell = self
            .stale_epochs
            .get(&superseded.partition)
            .filter(recent)
            .map_or(0, |known| (known.2 + 1).min(5));
        let pause = Duration::from_millis((40 + 30 * u64::from(self.slot)) << spell);
        self.stale_epochs.insert(
            superseded.partition,
            (superseded.promised, now + pause, spell),
        );
        self.log_event(
            Event::PartitionLost,
            format!(
                "slice {} epoch {} to {}",
                superseded.partition, superseded.epoch, superseded.promised
            ),
        );
    }

    pub(super) fn flush_leaders(&mut self, now: Duration, tick: bool) {
        let mut told = Vec::new();
        for (partition, leader) in &mut self.leaders {
            for (slot, message) in leader.due_messages(now, tick) {
                told.push((self.members[usize::from(slot)].address, message));
            }
            let (committed, settled, round) = (
                leader.committed(),
                leader.settled(),
                leader.confirmed_round(),
            );
            self.pending_replies.retain(|wait| {
                let done = wait.partition == *partition
                    && wait.required_commit <= committed
                    && wait.required_settled <= settled
                    && wait.required_round <= round;
                if done {
                    told.push((
                        wait.requester,
                        ChangeReply {
                            id: wait.id,
                            outcome: wait.outcome.clone(),
                        }
                        .into(),
                    ));
                }
                !done
            });
        }
        for (to, message) in told {
            match message {
                Message::PrepareRequest(_) => self.send_after_sync(to, message),
                _ => self.send(to, message),
            }
        }
    }

    /// A blank disk asks for all that ours holds.
    pub(super) fn handle_snapshot_request(&mut self, from: Peer, request: &SnapshotRequest) {
        // In the first round nothing that is told counts.
        let held = if request.round == 0 {
            vec![]
        } else {
            self.replica.snapshot()
        };
        // A first disk holds all that it ever acknowledged: nothing.
        let full = self.replica.full || self.replica.founding;
        // After a loss of everything no table is shown by anybody, and no edge
        // is renewed that might go by another.
        let none_shown = self.replica.partition(MEMBERSHIP_PARTITION).state.version == 0;
        let membership_version = if none_shown {
            self.membership_version
        } else {
            self.replica
                .published_members()
                .map_or(0, |(version, _)| version)
        };
        let reply = SnapshotReply {
            slot: self.slot,
            requester_incarnation: from.incarnation,
            round: request.round,
            full,
            lost_generation: self.lost_generation(),
            membership_version,
            partitions: held,
        };
        self.send_after_sync(from.address, reply);
    }

    pub(super) fn handle_snapshot_reply(&mut self, now: Duration, reply: SnapshotReply) {
        if reply.requester_incarnation != self.replica.incarnation {
            return; // To an earlier disk of this slot, which acknowledged since.
        }
        let merged = self
            .recovery
            .as_mut()
            .and_then(|one| one.on_snapshot_reply(reply));
        if let Some(merged) = merged {
            self.finish_recovery(now, merged);
        }
    }

    /// Our blank disk got all that it needs to count.
    pub(super) fn finish_recovery(&mut self, now: Duration, merged: RecoveredState) {
        self.recovery = None;
        self.sessions.restart(now);
        self.store(&Record::Recovered {
            partitions: merged.partitions,
            majority_lost: merged.majority_lost,
        });
        for incarnation in self.retired_incarnations() {
            if !self.replica.retired.contains(&incarnation) {
                self.store(&Record::Retired { incarnation });
            }
        }
        self.generation = self.replica.generation();
        if merged.majority_lost {
            self.refound_after = Some(self.generation);
        }
        // A generation met for the first time may have a ledger that is not complete.
        self.generation_entered_at = now;
        if merged.majority_lost
            || self.generation != 0 && self.replica.opened_generation() != self.generation
        {
            self.close_ledger(now);
        }
        self.log_event(Event::DiskRefilled, format!("slot {}", self.slot));
    }

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

    /// A majority promised our epoch.
    fn on_leadership_won(&mut self, now: Duration, partition: u8) {
        let closed = now < self.ledger_closed_until;
        let Some(leader) = self.leaders.get_mut(&partition) else {
            return;
        };
        // Also one whose founding another began and did not end.
        if closed || !leader.rows.contains_key("founded") {
            // The generation is named last, when all have listened.
            let rounds = if partition == CONFIGURATION_PARTITION {
                2
            } else {
                1
            };
            leader.recall_until = Some(now + lease::RECALL_PERIOD * rounds);
        }
        let text = format!(
            "slice {partition} epoch {} version {}",
            leader.epoch, leader.version
        );
        self.tokens_at_grant = self.sessions.issued_tokens();
        self.finished_since.remove(&partition);
        self.log_event(Event::PartitionAcquired, text);
        if partition == ASSIGNMENTS_PARTITION {
            // Which of the holders are still there?
            self.request_renewals();
        }
    }

    pub(super) fn handle_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        self.on_retired_reported(&reply.retired_incarnations);
        if let Some(leader) = self.leader_under(reply.partition, reply.epoch) {
            leader.on_append_reply(slot, reply);
        }
    }

    /// The replica has not what we thought: it gets everything.
    pub(super) fn handle_append_gap(&mut self, slot: u8, gap: &AppendGap) {
        if let Some(leader) = self.leader_under(gap.partition, gap.epoch) {
            leader.reset_replica(slot);
        }
    }

    /// Our own leadership of a partition, if it is under this epoch.
    fn leader_under(&mut self, partition: u8, epoch: u64) -> Option<&mut PartitionLeader> {
        let leader = self.leaders.get_mut(&partition)?;
        Some(leader).filter(|leader| leader.epoch == epoch)
    }
}
