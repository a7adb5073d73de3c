//! Handling of a disk that fails a write, and of its return to service.
//!
//! After a failed write, the node promises no epoch, stores nothing for a leader and sends no reply that depends on the
//! disk. The replica in memory holds everything that is on the disk; what it holds in addition was never acknowledged.
//! So once the complete replica is on the disk again, the node is included in quorums again, like a node that was
//! stopped and kept its disk.

use super::*;

/// Interval between attempts to write the complete replica to a failed disk.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// State of a disk that failed a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskFailure {
    /// Time of the next attempt.
    retry_at: Duration,
    /// Serial of the snapshot being written to the disk.
    snapshot_serial: Option<u64>,
}

impl DiskFailure {
    /// Returns the state after a failure at this time.
    pub(super) fn new(now: Duration) -> DiskFailure {
        DiskFailure {
            retry_at: now + RESTORE_RETRY_INTERVAL,
            snapshot_serial: None,
        }
    }

    /// Returns true if a snapshot is to be written now.
    pub(super) fn is_retry_due(&self, now: Duration) -> bool {
        self.snapshot_serial.is_none() && now >= self.retry_at
    }

    /// Records that the complete replica is being written to the disk under this serial.
    pub(super) fn with_snapshot(self, serial: u64) -> DiskFailure {
        DiskFailure {
            snapshot_serial: Some(serial),
            ..self
        }
    }

    /// Returns true if the disk holds the complete replica once it has synced up to this serial.
    pub(super) fn is_restored_by(&self, synced_serial: u64) -> bool {
        self.snapshot_serial
            .is_some_and(|serial| synced_serial >= serial)
    }
}

impl ControlNode {
    /// Stores a record and applies it to the replica.
    pub(super) fn store(&mut self, record: &Record) {
        let output = self.journal.store(record);
        self.outputs.extend(output);
        self.replica.apply(record);
        self.adopt_published_table();
        if self.journal.is_snapshot_due() {
            self.store_snapshot();
        }
    }

    /// Stores the record that completes the recovery of this disk. It holds a complete copy
    /// of the rows, which becomes the replica's own.
    pub(super) fn store_recovered(&mut self, recovered: RecoveredState) {
        let record = Record::Recovered {
            partitions: recovered.partitions,
            majority_lost: recovered.majority_lost,
        };
        let output = self.journal.store(&record);
        self.outputs.extend(output);
        if let Record::Recovered {
            partitions,
            majority_lost,
        } = record
        {
            self.replica.recover(partitions, majority_lost);
        }
        self.adopt_published_table();
        if self.journal.is_snapshot_due() {
            self.store_snapshot();
        }
    }

    fn store_snapshot(&mut self) {
        let output = self.journal.store_snapshot(&mut self.replica);
        self.outputs.push(output);
    }

    /// Sends the messages that waited until the disk synced up to this serial, in their order.
    pub(super) fn handle_stored(&mut self, now: Duration, serial: u64) {
        if self.journal.end_failure(serial) {
            // Edges renewed their sessions at other nodes in the meantime.
            self.sessions.restart(now);
            self.log_event(Event::DiskRestored, format!("slot {}", self.slot));
        }
        for (to, message) in self.journal.on_synced(serial) {
            self.send(to, message);
        }
    }

    /// Handles a failed write: nothing that was promised or led on this node may be acknowledged any more.
    pub(super) fn handle_store_failure(&mut self, now: Duration) {
        if !self.journal.has_failed() {
            self.log_event(Event::DiskFailed, format!("slot {}", self.slot));
        }
        self.leaders.clear();
        self.pending_replies.clear();
        self.journal.fail(now);
    }

    /// Writes the complete replica to a failed disk, if an attempt is due.
    pub(super) fn restore_disk(&mut self, now: Duration) {
        let output = self.journal.retry_failed_disk(now, &mut self.replica);
        self.outputs.extend(output);
    }
}
