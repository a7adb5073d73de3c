//! A disk that refuses writes, and its return.
//!
//! From a write that failed on, nothing is promised, stored for a leader or replied here. The replica in memory holds
//! all that the disk holds, and nothing that it has beyond that was ever acknowledged. So once all of it is on the
//! disk, the node counts again, like one that was away with its disk.

use super::*;

/// Between attempts to write all that the disk should hold.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a disk that refused a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskFailure {
    /// When it is tried next.
    retry_at: Duration,
    /// Serial of the snapshot that is on its way to the disk.
    snapshot_serial: Option<u64>,
}

impl DiskFailure {
    /// A failure at this time.
    pub(super) fn new(now: Duration) -> DiskFailure {
        DiskFailure {
            retry_at: now + RESTORE_RETRY_INTERVAL,
            snapshot_serial: None,
        }
    }

    pub(super) fn is_retry_due(&self, now: Duration) -> bool {
        self.snapshot_serial.is_none() && now >= self.retry_at
    }

    /// The complete replica is on its way to the disk under this serial.
    pub(super) fn with_snapshot(self, serial: u64) -> DiskFailure {
        DiskFailure {
            snapshot_serial: Some(serial),
            ..self
        }
    }

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
            let output = self.journal.store_snapshot(&self.replica);
            self.outputs.push(output);
        }
    }

    /// The disk has synced up to this serial: messages that waited for that leave, in their order.
    pub(super) fn handle_stored(&mut self, now: Duration, serial: u64) {
        if self.journal.end_failure(serial) {
            // Edges renewed elsewhere meanwhile.
            self.sessions.restart(now);
            self.log_event(Event::DiskRestored, format!("slot {}", self.slot));
        }
        for (to, message) in self.journal.on_synced(serial) {
            self.send(to, message);
        }
    }

    /// A write failed: nothing that was promised or led here may be acknowledged any more.
    pub(super) fn handle_store_failure(&mut self, now: Duration) {
        if !self.journal.has_failed() {
            self.log_event(Event::DiskFailed, format!("slot {}", self.slot));
        }
        self.leaders.clear();
        self.pending_replies.clear();
        self.journal.fail(now);
    }

    /// Tries to write the complete replica to a failed disk.
    pub(super) fn restore_disk(&mut self, now: Duration) {
        let output = self.journal.retry_failed_disk(now, &self.replica);
        self.outputs.extend(output);
    }
}
