use crate::link::Priority;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A number that others may read at any time.
#[derive(Debug, Default)]
pub struct Counter(AtomicUsize);

impl Counter {
    /// The number now.
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

/// What a process's links have come to.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Sessions that are open, opened by peers.
    pub inbound: Counter,
    /// Sessions that are open, opened by this process.
    pub outbound: Counter,
    /// Sessions ended for their bytes.
    pub refused_frames: Counter,
    /// Messages that could not be decoded.
    pub undecodable: Counter,
    /// Urgent messages for which a queue had no capacity.
    pub dropped_urgent: Counter,
    /// Bulk messages for which a queue had no capacity.
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
