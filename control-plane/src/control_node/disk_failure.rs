//! A disk that refuses writes, and its return.
//!
//! From a write that failed on, nothing is promised, kept or answered here. The replica in memory holds all that the
//! disk holds, and nothing that it has beyond that was ever answered for. So once the whole of it is on the disk, the
//! node counts again, like one that was away with its disk.

use super::*;

/// Between tries to write all that the disk should hold.
const RESTORE_AGAIN: Duration = Duration::from_millis(500);

/// The state of a disk that refused a write.
#[derive(Debug, Clone, Copy)]
pub(super) struct DiskFailure {
    /// When it is tried next.
    next_try: Duration,
    /// Serial of the image that is on its way to the disk.
    image: Option<u64>,
}

impl ControlNode {
    /// A write failed, maybe one that was to end an earlier failure.
    pub(super) fn handle_store_failure(&mut self, now: Duration) {
        if self.failed.is_none() {
            self.note(Event::DiskFailed, format!("slot {}", self.slot));
        }
        self.leaders.clear();
        self.pending_replies.clear();
        self.unsynced.clear();
        self.failed = Some(DiskFailure {
            next_try: now + RESTORE_AGAIN,
            image: None,
        });
    }

    /// Tries to write the whole replica, now and then.
    pub(super) fn restore_disk(&mut self, now: Duration) {
        let due = |failure: &DiskFailure| failure.image.is_none() && now >= failure.next_try;
        if self.failed.as_ref().is_some_and(due) {
            let serial = self.store_image();
            let image = Some(serial);
            self.failed = self.failed.map(|failure| DiskFailure { image, ..failure });
        }
    }

    /// The disk holds all up to this serial: again everything, if that is the
    /// image which was to restore it.
    pub(super) fn finish_restoring(&mut self, now: Duration, serial: u64) {
        let restored = |failure: &DiskFailure| failure.image.is_some_and(|image| serial >= image);
        if self.failed.as_ref().is_some_and(restored) {
            self.failed = None;
            // Edges renewed elsewhere meanwhile.
            self.sessions.begin(now);
            self.note(Event::DiskRestored, format!("slot {}", self.slot));
        }
    }
}
