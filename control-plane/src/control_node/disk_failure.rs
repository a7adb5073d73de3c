//! A disk that refuses writes, and its return.
//!
//! From a write that failed on, nothing is promised, kept or answered here. The replica in memory holds all that the
//! disk holds, and nothing that it has beyond that was ever answered for. So once the whole of it is on the disk, the
//! node counts again, like one that was away with its disk.

use super::*;

/// Between tries to write all that the disk should hold.
const RESTORE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a disk that refused a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskFailure {
    /// When it is tried next.
    retry_at: Duration,
    /// Serial of the image that is on its way to the disk.
    snapshot_serial: Option<u64>,
}

impl ControlNode {
    /// A write failed, maybe one that was to end an earlier failure.
    pub(super) fn handle_store_failure(&mut self, now: Duration) {
        if self.disk_failure.is_none() {
            self.log_event(Event::DiskFailed, format!("slot {}", self.slot));
        }
        self.leaders.clear();
        self.pending_replies.clear();
        self.awaiting_sync.clear();
        self.disk_failure = Some(DiskFailure {
            retry_at: now + RESTORE_RETRY_INTERVAL,
            snapshot_serial: None,
        });
    }

    /// Tries to write the whole replica, now and then.
    pub(super) fn restore_disk(&mut self, now: Duration) {
        let due =
            |failure: &DiskFailure| failure.snapshot_serial.is_none() && now >= failure.retry_at;
        if self.disk_failure.as_ref().is_some_and(due) {
            let serial = self.store_snapshot();
            let image = Some(serial);
            self.disk_failure = self.disk_failure.map(|failure| DiskFailure {
                snapshot_serial: image,
                ..failure
            });
        }
    }

    /// The disk holds all up to this serial: again everything, if that is the
    /// image which was to restore it.
    pub(super) fn finish_restoring(&mut self, now: Duration, serial: u64) {
        let restored =
            |failure: &DiskFailure| failure.snapshot_serial.is_some_and(|image| serial >= image);
        if self.disk_failure.as_ref().is_some_and(restored) {
            self.disk_failure = None;
            // Edges renewed elsewhere meanwhile.
            self.sessions.restart(now);
            self.log_event(Event::DiskRestored, format!("slot {}", self.slot));
        }
    }
}
