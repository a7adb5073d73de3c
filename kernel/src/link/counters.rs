//! Counters of the sessions, errors and dropped messages of a process's links.
use crate::link::Priority;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number that other threads may read at any time.
#[derive(Debug, Default)]
pub struct Counter(AtomicUsize);

impl Counter {
    /// Returns the current number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, more: usize) {
        self.0.fetch_add(more, Ordering::Relaxed);
    }

    pub(super) fn set(&self, number: usize) {
        self.0.store(number, Ordering::Relaxed);
    }
}

/// Counters of a process's links.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Number of open sessions that peers opened.
    pub inbound: Counter,
    /// Number of open sessions that this process opened.
    pub outbound: Counter,
    /// Number of sessions closed because of an invalid frame or sender.
    pub rejected_frames: Counter,
    /// Number of messages that could not be decoded.
    pub undecodable: Counter,
    /// Number of urgent messages dropped because a queue was full.
    pub dropped_urgent: Counter,
    /// Number of bulk messages dropped because a queue was full.
    pub dropped_bulk: Counter,
}

impl LinkCounters {
    pub(super) fn dropped(&self, priority: Priority) -> &Counter {
        match priority {
            Priority::Urgent => &self.dropped_urgent,
            Priority::Bulk => &self.dropped_bulk,
        }
    }
}
