//! Partitions on disks: taking a partition under a new epoch, keeping rows as a replica, recovering a blank disk.

use super::*;

/// Without a loss for this long, a leader's pauses start short again.
const STALE_EPOCH_CALM: Duration = Duration::from_secs(10);

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
    pub(super) fn take_partitions(&mut self, now: Duration) {
        if !self.may_lead(now) {
            return;
        }
        let eligible = self.eligible(now);
        for partition in 0..PARTITIONS {
            if self.chosen_among(eligible, partition) != Some(self.slot) {
                if self
                    .leaders
                    .get(&partition)
                    .is_some_and(|leader| leader.active_since.is_none())
                {
                    self.leaders.remove(&partition);
                }
                continue;
            }
            let (met, soonest, _) = self.superseded.get(&partition).copied().unwrap_or_default();
            if self.leaders.contains_key(&partition) || now < soonest {
                continue;
            }
            let highest = met.max(self.replica.held(partition).promised);
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
                .holding(self.replica.held(partition).image.clone()),
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
        let promised = self.replica.held(partition).promised;
        if epoch < promised {
            return self.tell_synced(
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
        let state = self.replica.held(partition).promised_state(partition, held);
        self.tell_synced(
            from.address,
            PrepareReply {
                partition,
                epoch,
                lost_generation: self.lost(),
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
        let held = self.replica.held(partition);
        if epoch < held.promised {
            let promised = held.promised;
            return self.tell_synced(
                from.address,
                StaleEpoch {
                    partition,
                    epoch,
                    promised,
                },
            );
        }
        if !held.fits(&keep) {
            return self.tell(
                from.address,
                AppendGap {
                    partition,
                    epoch,
                    round,
                },
            );
        }
        let published = held.image.published;
        let current = held.image.epoch == epoch && held.promised == epoch;
        // Taken again, rows of a request that was overtaken or came twice would
        // undo what was acknowledged since.
        let is_held = current && held.image.version >= to;
        if !is_held {
            self.store(&Record::Appended { keep });
        } else if keep.published > published {
            let keep = without_rows(keep);
            self.store(&Record::Appended { keep });
        }
        let held = self.replica.held(partition);
        let clear = if partition < PUBLISHED_PARTITIONS {
            self.sessions.clear(now, partition, held.image.published)
        } else {
            None
        };
        let version = held.image.published;
        self.tell_synced(
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
            let renewal_token = self.sessions.renewal_token();
            for edge in self
                .sessions
                .lacking(self.replica.generation(), partition, version)
            {
                self.tell(
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
        let recent = |known: &&(u64, Duration, u32)| now < known.1 + STALE_EPOCH_CALM;
        let spell = self
            .superseded
            .get(&superseded.partition)
            .filter(recent)
            .map_or(0, |known| (known.2 + 1).min(5));
        let pause = Duration::from_millis((40 + 30 * u64::from(self.slot)) << spell);
        self.superseded.insert(
            superseded.partition,
            (superseded.promised, now + pause, spell),
        );
        self.note(
            Event::PartitionLost,
            format!(
                "slice {} epoch {} to {}",
                superseded.partition, superseded.epoch, superseded.promised
            ),
        );
    }

    pub(super) fn finish_step(&mut self, now: Duration, tick: bool) {
        let mut told = Vec::new();
        for (partition, leader) in &mut self.leaders {
            for (slot, message) in leader.flush(now, tick) {
                told.push((self.members[usize::from(slot)].address, message));
            }
            let (committed, settled, round) = (
                leader.committed(),
                leader.settled(),
                leader.confirmed_round(),
            );
            self.pending_replies.retain(|wait| {
                let done = wait.partition == *partition
                    && wait.commit <= committed
                    && wait.settle <= settled
                    && wait.round <= round;
                if done {
                    told.push((
                        wait.asker,
                        ChangeReply {
                            id: wait.id,
                            outcome: wait.told.clone(),
                        }
                        .into(),
                    ));
                }
                !done
            });
        }
        for (to, message) in told {
            match message {
                Message::PrepareRequest(_) => self.tell_synced(to, message),
                _ => self.tell(to, message),
            }
        }
    }

    /// A blank disk asks for all that ours holds.
    pub(super) fn handle_snapshot_request(&mut self, from: Peer, request: &SnapshotRequest) {
        // In the first round nothing that is told counts.
        let held = if request.round == 0 {
            vec![]
        } else {
            self.replica.copy_out()
        };
        // A first disk holds all that it ever acknowledged: nothing.
        let full = self.replica.full || self.replica.founding;
        // After a loss of everything no table is shown by anybody, and no edge
        // is renewed that might go by another.
        let none_shown = self.replica.held(MEMBERSHIP_PARTITION).image.version == 0;
        let membership_version = if none_shown {
            self.membership_version
        } else {
            self.replica.members().map_or(0, |(version, _)| version)
        };
        let reply = SnapshotReply {
            slot: self.slot,
            requester_incarnation: from.incarnation,
            round: request.round,
            full,
            lost_generation: self.lost(),
            membership_version,
            partitions: held,
        };
        self.tell_synced(from.address, reply);
    }

    pub(super) fn handle_snapshot_reply(&mut self, now: Duration, reply: SnapshotReply) {
        if reply.requester_incarnation != self.replica.incarnation {
            return; // To an earlier disk of this slot, which acknowledged since.
        }
        let merged = self.recovery.as_mut().and_then(|one| one.heard(reply));
        if let Some(merged) = merged {
            self.finish_recovery(now, merged);
        }
    }

    /// Our blank disk got all that it needs to count.
    pub(super) fn finish_recovery(&mut self, now: Duration, merged: Merged) {
        self.recovery = None;
        self.sessions.begin(now);
        self.store(&Record::Recovered {
            held: merged.held,
            lost: merged.lost,
        });
        for incarnation in self.retired_incarnations() {
            if !self.replica.retired.contains(&incarnation) {
                self.store(&Record::Retired { incarnation });
            }
        }
        self.generation = self.replica.generation();
        if merged.lost {
            self.refound = Some(self.generation);
        }
        // A generation met for the first time may have a ledger that is not complete.
        self.entered = now;
        if merged.lost || self.generation != 0 && self.replica.opened() != self.generation {
            self.majority_lost(now);
        }
        self.note(Event::DiskRefilled, format!("slot {}", self.slot));
    }

    pub(super) fn handle_prepare_reply(&mut self, now: Duration, slot: u8, reply: PrepareReply) {
        self.note_loss(now, reply.lost_generation);
        self.note_retired(&reply.retired_incarnations);
        let Some(leader) = self.leader_of(reply.partition, reply.epoch) else {
            return;
        };
        let was_active = leader.active_since.is_some();
        leader.raised(now, slot, reply.state);
        if !was_active && leader.active_since.is_some() {
            self.begin_leading(now, reply.partition);
        }
    }

    /// A majority promised our epoch.
    fn begin_leading(&mut self, now: Duration, partition: u8) {
        let closed = now < self.closed;
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
            leader.wary = Some(now + lease::RECALL_PERIOD * rounds);
        }
        let text = format!(
            "slice {partition} epoch {} version {}",
            leader.epoch, leader.version
        );
        self.granted = self.sessions.renewal_tokens();
        self.finished_since.remove(&partition);
        self.note(Event::PartitionAcquired, text);
        if partition == ASSIGNMENTS_PARTITION {
            // Which of the holders are still there?
            self.ask_all();
        }
    }

    pub(super) fn handle_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        self.note_retired(&reply.retired_incarnations);
        if let Some(leader) = self.leader_of(reply.partition, reply.epoch) {
            leader.kept(slot, reply);
        }
    }

    /// The replica has not what we thought: it gets everything.
    pub(super) fn handle_append_gap(&mut self, slot: u8, gap: &AppendGap) {
        if let Some(leader) = self.leader_of(gap.partition, gap.epoch) {
            leader.forget(slot);
        }
    }

    /// Our own leadership of a partition, if it is under this epoch.
    fn leader_of(&mut self, partition: u8, epoch: u64) -> Option<&mut PartitionLeader> {
        let leader = self.leaders.get_mut(&partition)?;
        Some(leader).filter(|leader| leader.epoch == epoch)
    }
}
