//! Recovery of a blank disk, here and as a source for others.

use super::*;

impl ControlNode {
    /// Requests snapshots while the disk is blank.
    pub(super) fn tick_recovery(&mut self, now: Duration) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        for (slot, message) in recovery.tick(now) {
            self.send(self.address(slot), message);
        }
    }

    /// A blank disk requests all that this one holds.
    pub(super) fn handle_snapshot_request(&mut self, from: Peer, request: &SnapshotRequest) {
        // In the first round nothing that is sent counts.
        let partitions = if request.round == 0 {
            vec![]
        } else {
            self.replica.snapshot()
        };
        let reply = SnapshotReply {
            slot: self.slot,
            requester_incarnation: from.incarnation,
            round: request.round,
            // A first disk holds all that it ever acknowledged: nothing.
            full: self.replica.full || self.replica.founding,
            lost_generation: self.lost_generation(),
            membership_version: self.edges_membership_version(),
            partitions,
        };
        self.send_after_sync(from.address, reply);
    }

    /// Version of the newest table by which edges may renew here. After a loss of everything no table is published
    /// by anybody, and no edge is renewed that might go by another.
    fn edges_membership_version(&self) -> u64 {
        let partition = self.replica.partition(MEMBERSHIP_PARTITION);
        if partition.state.version == 0 {
            return self.membership_version;
        }
        let table = self.replica.published_table();
        let published = table.map_or(0, |table| table.version);
        // Whoever an edge might renew with by a table before a succession is lost for longer than a lease lasts.
        published.max(last_succession(self.membership_version))
    }

    /// Another disk sent what it holds.
    pub(super) fn handle_snapshot_reply(&mut self, now: Duration, reply: SnapshotReply) {
        if reply.requester_incarnation != self.replica.incarnation {
            return; // To an earlier disk of this slot, which acknowledged since.
        }
        let recovered = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.on_snapshot_reply(reply));
        if let Some(recovered) = recovered {
            self.finish_recovery(now, recovered);
        }
    }

    /// The blank disk got all that it needs to count.
    pub(super) fn finish_recovery(&mut self, now: Duration, recovered: RecoveredState) {
        let majority_lost = recovered.majority_lost;
        self.recovery = None;
        self.sessions.restart(now);
        self.store(&Record::Recovered {
            partitions: recovered.partitions,
            majority_lost,
        });
        for incarnation in self.retired_incarnations() {
            if !self.replica.retired.contains(&incarnation) {
                self.store(&Record::Retired { incarnation });
            }
        }
        self.enter_recovered_generation(now, majority_lost);
        self.log_event(Event::DiskRecovered, format!("slot {}", self.slot));
    }

    /// A generation met for the first time may have a ledger that is not complete.
    fn enter_recovered_generation(&mut self, now: Duration, majority_lost: bool) {
        let current = self.replica.generation();
        self.generation.current = current;
        if majority_lost {
            self.generation.refound_after = Some(current);
        }
        self.generation.entered_at = now;
        let is_opened = self.replica.opened_generation() == current;
        if majority_lost || current != 0 && !is_opened {
            self.close_ledger(now);
        }
    }
}
