//! What is on its way to the disk: serials of stored records, and messages that wait until they are synced.

use super::disk_failure::DiskFailure;
use crate::prelude::*;

/// A snapshot is written when the log since the last one is at least this long.
const MIN_LOG_BYTES_BEFORE_SNAPSHOT: usize = 4 * 1024 * 1024;

/// The log of the node's disk, as far as it is stored and synced.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Serial of the newest record given to the disk.
    stored_serial: u64,
    /// Serial up to which the disk has synced.
    synced_serial: u64,
    /// Messages that speak for records not synced yet, in their order.
    deferred_messages: VecDeque<DeferredMessage>,
    /// Length of the log since the last snapshot.
    log_bytes: usize,
    /// Length of that snapshot.
    snapshot_bytes: usize,
    /// A write failed: the disk counts for nothing until everything is on it again.
    failure: Option<DiskFailure>,
}

#[derive(Debug)]
struct DeferredMessage {
    /// Sent once this serial is synced.
    serial: u64,
    to: SocketAddr,
    message: Message,
}

impl Journal {
    pub(super) fn with_log(self, log_bytes: usize, snapshot_bytes: usize) -> Journal {
        Journal {
            log_bytes: self.log_bytes + log_bytes,
            snapshot_bytes,
            ..self
        }
    }

    /// Whether everything stored is synced.
    pub(super) fn is_synced(&self) -> bool {
        self.synced_serial >= self.stored_serial
    }

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

    /// Writes a record. None while the disk has failed: it takes no more until it takes everything.
    pub(super) fn store(&mut self, record: &Record) -> Option<Output> {
        let record = record.bytes();
        self.stored_serial += 1;
        self.log_bytes += record.len();
        let serial = self.stored_serial;
        (!self.has_failed()).then_some(Output::Store { serial, record })
    }

    /// Whether the log is long enough for a snapshot to take its place.
    pub(super) fn is_snapshot_due(&self) -> bool {
        let limit = MIN_LOG_BYTES_BEFORE_SNAPSHOT.max(2 * self.snapshot_bytes);
        !self.has_failed() && self.log_bytes > limit
    }

    /// Writes the complete replica.
    pub(super) fn store_snapshot(&mut self, replica: &Replica) -> Output {
        let record = Record::Snapshot(Box::new(replica.clone())).bytes();
        self.snapshot_bytes = record.len();
        self.log_bytes = 0;
        self.stored_serial += 1;
        let serial = self.stored_serial;
        Output::StoreSnapshot { serial, record }
    }

    /// The disk has synced up to this serial. The messages that waited for that.
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

    /// A write failed, maybe the one that was to end an earlier failure.
    pub(super) fn fail(&mut self, now: Duration) {
        self.deferred_messages.clear();
        self.failure = Some(DiskFailure::new(now));
    }

    /// Tries to write the complete replica, if the disk has failed and that is due.
    pub(super) fn retry_failed_disk(&mut self, now: Duration, replica: &Replica) -> Option<Output> {
        if !self.failure.as_ref()?.is_retry_due(now) {
            return None;
        }
        let output = self.store_snapshot(replica);
        let serial = self.stored_serial;
        self.failure = self.failure.map(|failure| failure.with_snapshot(serial));
        Some(output)
    }

    /// Ends a failure if this serial is synced and the disk thereby holds everything again. True if it did.
    pub(super) fn end_failure(&mut self, serial: u64) -> bool {
        let ends = self
            .failure
            .as_ref()
            .is_some_and(|failure| failure.is_restored_by(serial));
        if ends {
            self.failure = None;
        }
        ends
    }
}
