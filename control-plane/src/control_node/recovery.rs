//! Recovery of this node's blank disk, and snapshots for the recovery of other nodes' disks.

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

    /// Handles a blank disk's request for a snapshot of this disk.
    pub(super) fn handle_snapshot_request(&mut self, from: Peer, request: &SnapshotRequest) {
        // The first round only fences the earlier disk, so its replies need no partitions.
        let partitions = if request.round == 0 {
            vec![]
        } else {
            self.replica.snapshot()
        };
        let reply = SnapshotReply {
            slot: self.slot,
            requester_incarnation: from.incarnation,
            round: request.round,
            // The first disk of a slot is complete: it has never acknowledged anything.
            full: self.replica.full || self.replica.founding,
            lost_generation: self.lost_generation(),
            membership_version: self.edges_membership_version(),
            partitions,
        };
        self.send_after_sync(from.address, reply);
    }

    /// Returns the version of the newest table under which edges may renew at this node. After a loss of everything no
    /// node has published a table, and no edge that could use another table is renewed.
    fn edges_membership_version(&self) -> u64 {
        let partition = self.replica.partition(MEMBERSHIP_PARTITION);
        if partition.state.version == 0 {
            return self.membership_version;
        }
        let table = self.replica.published_table();
        let published = table.map_or(0, |table| table.version);
        // When a succession writes a table, the members at which an edge could still renew under an earlier table have
        // been silent for longer than a lease lasts.
        published.max(last_succession(self.membership_version))
    }

    /// Handles a snapshot of another disk.
    pub(super) fn handle_snapshot_reply(&mut self, now: Duration, reply: SnapshotReply) {
        if reply.requester_incarnation != self.replica.incarnation {
            return; // Addressed to an earlier disk of this slot, which may have acknowledged more since.
        }
        let recovered = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.on_snapshot_reply(reply));
        if let Some(recovered) = recovered {
            self.finish_recovery(now, recovered);
        }
    }

    /// Completes the recovery of the blank disk, which is included in quorums from now on.
    pub(super) fn finish_recovery(&mut self, now: Duration, recovered: RecoveredState) {
        let majority_lost = recovered.majority_lost;
        self.recovery = None;
        self.sessions.restart(now);
        self.store_recovered(recovered);
        for incarnation in self.retired_incarnations() {
            if !self.replica.retired.contains(&incarnation) {
                self.store(&Record::Retired { incarnation });
            }
        }
        self.enter_recovered_generation(now, majority_lost);
        self.log_event(Event::DiskRecovered, format!("slot {}", self.slot));
    }

    /// Enters the generation of the recovered rows. The ledger of a generation seen for the first time may not be
    /// complete.
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
