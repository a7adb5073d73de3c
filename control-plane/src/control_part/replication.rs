//! Partitions on disks: taking a partition under a new epoch, keeping rows as a replica, recovering a blank disk.

use super::*;

/// Without a loss for this long, a leader's pauses start short again.
const STALE_EPOCH_CALM: Duration = Duration::from_secs(10);

/// Of a request whose rows are held already, maybe with later ones over them:
/// a whole state that comes late must not take those away.
fn without_rows(request: AppendRequest) -> AppendRequest {
    AppendRequest {
        whole: false,
        rows: vec![],
        drops: vec![],
        base: None,
        ..request
    }
}

impl ControlPart {
    pub(super) fn take_slices(&mut self, now: Duration) {
        if !self.may_lead(now) {
            return;
        }
        let eligible = self.eligible(now);
        for slice in 0..SLICES {
            if self.chosen_among(eligible, slice) != Some(self.slot) {
                if self
                    .leaders
                    .get(&slice)
                    .is_some_and(|leader| leader.active_since.is_none())
                {
                    self.leaders.remove(&slice);
                }
                continue;
            }
            let (met, soonest, _) = self.superseded.get(&slice).copied().unwrap_or_default();
            if self.leaders.contains_key(&slice) || now < soonest {
                continue;
            }
            let highest = met.max(self.replica.held(slice).promised);
            let epoch =
                (highest / SLOTS_MOST as u64 + 1) * SLOTS_MOST as u64 + u64::from(self.slot);
            // On our own disk before others are asked: an epoch that others
            // promised and we forgot over a restart would be taken twice.
            self.store(&Record::Promise { slice, epoch });
            self.leaders.insert(
                slice,
                PartitionLeader::new(slice, epoch, self.places.len(), self.membership_version)
                    .holding(self.replica.held(slice).image.clone()),
            );
        }
    }

    pub(super) fn handle_prepare_request(&mut self, from: Peer, request: PrepareRequest) {
        let PrepareRequest {
            slice, epoch, held, ..
        } = request;
        let promised = self.replica.held(slice).promised;
        if epoch < promised {
            return self.tell_synced(
                from.address,
                StaleEpoch {
                    slice,
                    epoch,
                    promised,
                },
            );
        }
        if epoch > promised {
            self.store(&Record::Promise { slice, epoch });
        }
        let state = self.replica.held(slice).promised_state(slice, held);
        self.tell_synced(
            from.address,
            PrepareReply {
                slice,
                epoch,
                lost: self.lost(),
                retired: self.retired_lives(),
                state,
            },
        );
    }

    pub(super) fn handle_append_request(&mut self, now: Duration, from: Peer, keep: AppendRequest) {
        let AppendRequest {
            slice,
            epoch,
            round,
            to,
            ..
        } = keep;
        let held = self.replica.held(slice);
        if epoch < held.promised {
            let promised = held.promised;
            return self.tell_synced(
                from.address,
                StaleEpoch {
                    slice,
                    epoch,
                    promised,
                },
            );
        }
        if !held.fits(&keep) {
            return self.tell(
                from.address,
                AppendGap {
                    slice,
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
        let held = self.replica.held(slice);
        let clear = if slice < NEWS {
            self.sessions.clear(now, slice, held.image.published)
        } else {
            None
        };
        let version = held.image.published;
        self.tell_synced(
            from.address,
            AppendReply {
                slice,
                epoch,
                round,
                to,
                clear,
                retired: self.retired_lives(),
            },
        );
        if version > published && slice < NEWS {
            let mark = self.sessions.mark();
            for edge in self.sessions.lacking(self.replica.realm(), slice, version) {
                self.tell(
                    edge,
                    UpdateNotice {
                        slice,
                        version,
                        mark,
                    },
                );
            }
        }
    }

    pub(super) fn handle_stale_epoch(&mut self, now: Duration, superseded: StaleEpoch) {
        if self
            .leaders
            .get(&superseded.slice)
            .is_none_or(|leader| leader.epoch != superseded.epoch)
        {
            return;
        }
        self.leaders.remove(&superseded.slice);
        self.pending_replies
            .retain(|wait| wait.slice != superseded.slice);
        // Two that both think themselves chosen do not chase each other:
        // each pending_replies longer after each loss, and unlike long.
        let recent = |known: &&(u64, Duration, u32)| now < known.1 + STALE_EPOCH_CALM;
        let spell = self
            .superseded
            .get(&superseded.slice)
            .filter(recent)
            .map_or(0, |known| (known.2 + 1).min(5));
        let pause = Duration::from_millis((40 + 30 * u64::from(self.slot)) << spell);
        self.superseded
            .insert(superseded.slice, (superseded.promised, now + pause, spell));
        self.note(
            Event::SliceLost,
            format!(
                "slice {} epoch {} to {}",
                superseded.slice, superseded.epoch, superseded.promised
            ),
        );
    }

    pub(super) fn finish_step(&mut self, now: Duration, tick: bool) {
        let mut told = Vec::new();
        for (slice, leader) in &mut self.leaders {
            for (slot, message) in leader.flush(now, tick) {
                told.push((self.places[usize::from(slot)].address, message));
            }
            let (committed, settled, round) = (
                leader.committed(),
                leader.settled(),
                leader.confirmed_round(),
            );
            self.pending_replies.retain(|wait| {
                let done = wait.slice == *slice
                    && wait.commit <= committed
                    && wait.settle <= settled
                    && wait.round <= round;
                if done {
                    told.push((
                        wait.asker,
                        ChangeReply {
                            id: wait.id,
                            told: wait.told.clone(),
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
        let none_shown = self.replica.held(PLACES).image.version == 0;
        let membership_version = if none_shown {
            self.membership_version
        } else {
            self.replica.places().map_or(0, |(version, _)| version)
        };
        let reply = SnapshotReply {
            slot: self.slot,
            asker: from.life,
            round: request.round,
            full,
            lost: self.lost(),
            membership_version,
            held,
        };
        self.tell_synced(from.address, reply);
    }

    pub(super) fn handle_snapshot_reply(&mut self, now: Duration, reply: SnapshotReply) {
        if reply.asker != self.replica.life {
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
        for life in self.retired_lives() {
            if !self.replica.retired.contains(&life) {
                self.store(&Record::Retired { life });
            }
        }
        self.realm = self.replica.realm();
        if merged.lost {
            self.refound = Some(self.realm);
        }
        // A realm met for the first time may have a ledger that is not complete.
        self.entered = now;
        if merged.lost || self.realm != 0 && self.replica.opened() != self.realm {
            self.majority_lost(now);
        }
        self.note(Event::DiskRefilled, format!("slot {}", self.slot));
    }

    pub(super) fn handle_prepare_reply(&mut self, now: Duration, slot: u8, reply: PrepareReply) {
        self.note_loss(now, reply.lost);
        self.note_retired(&reply.retired);
        let Some(leader) = self.leader_of(reply.slice, reply.epoch) else {
            return;
        };
        let was_active = leader.active_since.is_some();
        leader.raised(now, slot, reply.state);
        if !was_active && leader.active_since.is_some() {
            self.begin_leading(now, reply.slice);
        }
    }

    /// A majority promised our epoch.
    fn begin_leading(&mut self, now: Duration, slice: u8) {
        let closed = now < self.closed;
        let Some(leader) = self.leaders.get_mut(&slice) else {
            return;
        };
        // Also one whose founding another began and did not end.
        if closed || !leader.rows.contains_key("founded") {
            // The realm is named last, when all have listened.
            let rounds = if slice == CONFIGURATION { 2 } else { 1 };
            leader.wary = Some(now + lease::RECOLLECT * rounds);
        }
        let text = format!(
            "slice {slice} epoch {} version {}",
            leader.epoch, leader.version
        );
        self.granted = self.sessions.marks();
        self.finished_since.remove(&slice);
        self.note(Event::SliceTaken, text);
        if slice == DUTIES {
            // Which of the holders are still there?
            self.ask_all();
        }
    }

    pub(super) fn handle_append_reply(&mut self, slot: u8, reply: &AppendReply) {
        self.note_retired(&reply.retired);
        if let Some(leader) = self.leader_of(reply.slice, reply.epoch) {
            leader.kept(slot, reply);
        }
    }

    /// The replica has not what we thought: it gets everything.
    pub(super) fn handle_append_gap(&mut self, slot: u8, gap: &AppendGap) {
        if let Some(leader) = self.leader_of(gap.slice, gap.epoch) {
            leader.forget(slot);
        }
    }

    /// Our own leadership of a partition, if it is under this epoch.
    fn leader_of(&mut self, slice: u8, epoch: u64) -> Option<&mut PartitionLeader> {
        let leader = self.leaders.get_mut(&slice)?;
        Some(leader).filter(|leader| leader.epoch == epoch)
    }
}
