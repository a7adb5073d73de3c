//! Records being written to the disk, and messages that wait until they are synced.

use super::disk_failure::DiskFailure;
use crate::prelude::*;

/// Minimum length of the log since the last snapshot before a new one is written.
const MIN_LOG_BYTES_BEFORE_SNAPSHOT: usize = 4 * 1024 * 1024;

/// Progress of the log on the node's disk.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Serial of the newest record given to the disk.
    stored_serial: u64,
    /// Serial up to which the disk has synced.
    synced_serial: u64,
    /// Messages that report records not synced yet, in their order.
    deferred_messages: VecDeque<DeferredMessage>,
    /// Length of the log since the last snapshot, in bytes.
    log_bytes: usize,
    /// Length of the last snapshot, in bytes.
    snapshot_bytes: usize,
    /// Set after a failed write: the disk is excluded from quorums until the complete replica is on it again.
    failure: Option<DiskFailure>,
}

#[derive(Debug)]
struct DeferredMessage {
    /// The message is sent once this serial is synced.
    serial: u64,
    to: SocketAddr,
    message: Message,
}

impl Journal {
    /// Sets the length of the existing log and of the snapshot at its start.
    pub(super) fn with_log(self, log_bytes: usize, snapshot_bytes: usize) -> Journal {
        Journal {
            log_bytes: self.log_bytes + log_bytes,
            snapshot_bytes,
            ..self
        }
    }

    /// Returns true if everything stored is synced.
    pub(super) fn is_synced(&self) -> bool {
        self.synced_serial >= self.stored_serial
    }

    /// Returns true if a write failed and the complete replica is not on the disk again.
    pub(super) fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Sends a message once everything stored so far is synced.
    pub(super) fn defer_message(&mut self, to: SocketAddr, message: Message) {
        self.deferred_messages.push_back(DeferredMessage {
            serial: self.stored_serial,
            to,
            message,
        });
    }

    /// Returns the output that writes a record. None while the disk has failed: it is given no more records until the
    /// complete replica is written.
    pub(super) fn store(&mut self, record: &Record) -> Option<Output> {
        let record = record.bytes();
        self.stored_serial += 1;
        self.log_bytes += record.len();
        let serial = self.stored_serial;
        (!self.has_failed()).then_some(Output::Store { serial, record })
    }

    /// Returns true if the log is long enough to be replaced by a snapshot.
    pub(super) fn is_snapshot_due(&self) -> bool {
        let limit = MIN_LOG_BYTES_BEFORE_SNAPSHOT.max(2 * self.snapshot_bytes);
        !self.has_failed() && self.log_bytes > limit
    }

    /// Returns the output that writes the complete replica.
    pub(super) fn store_snapshot(&mut self, replica: &mut Replica) -> Output {
        let record = replica.encode_as_snapshot();
        self.snapshot_bytes = record.len();
        self.log_bytes = 0;
        self.stored_serial += 1;
        let serial = self.stored_serial;
        Output::StoreSnapshot { serial, record }
    }

    /// Records that the disk synced up to this serial. Returns the messages that waited for it.
    pub(super) fn on_synced(&mut self, serial: u64) -> Vec<(SocketAddr, Message)> {
        self.synced_serial = self.synced_serial.max(serial);
        let synced_serial = self.synced_serial;
        let is_synced = |deferred: &mut DeferredMessage| deferred.serial <= synced_serial;
        let mut messages = Vec::new();
        while let Some(deferred) = self.deferred_messages.pop_front_if(is_synced) {
            messages.push((deferred.to, deferred.message));
        }
        messages
    }

    /// Records a failed write, which may be the one that was to end an earlier failure.
    pub(super) fn fail(&mut self, now: Duration) {
        self.deferred_messages.clear();
        self.failure = Some(DiskFailure::new(now));
    }

    /// Returns the output that writes the complete replica, if the disk has failed and an attempt is due.
    pub(super) fn retry_failed_disk(
        &mut self,
        now: Duration,
        replica: &mut Replica,
    ) -> Option<Output> {
        if !self.failure.as_ref()?.is_retry_due(now) {
            return None;
        }
        let output = self.store_snapshot(replica);
        let serial = self.stored_serial;
        self.failure = self.failure.map(|failure| failure.with_snapshot(serial));
        Some(output)
    }

    /// Ends a failure if this serial is synced and the disk thereby holds everything again. Returns true if a failure
    /// ended.
    pub(super) fn end_failure(&mut self, serial: u64) -> bool {
        let is_restored = self
            .failure
            .as_ref()
            .is_some_and(|failure| failure.is_restored_by(serial));
        if is_restored {
            self.failure = None;
        }
        is_restored
    }
}
