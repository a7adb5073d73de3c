//! Messages that were received and are not processed yet, bounded in bytes.
use crate::prelude::*;
use std::sync::atomic::AtomicUsize;

/// Backlog size, in bytes, at which reading pauses: the senders' queues then fill up
/// and drop messages.
const HIGH_WATERMARK_BYTES: usize = 4 * 1024 * 1024;
/// Backlog size, in bytes, below which reading resumes.
const LOW_WATERMARK_BYTES: usize = HIGH_WATERMARK_BYTES / 2;

/// Counts the bytes of received messages on their way, in order, from the event
/// loop to the thread that processes them.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    sizes: Mutex<VecDeque<usize>>,
    bytes: AtomicUsize,
    paused: AtomicBool,
}

impl Backlog {
    /// Adds a received message.
    pub(super) fn add(&self, bytes: usize) {
        self.sizes
            .lock()
            .expect("no holder panics")
            .push_back(bytes);
        self.bytes.fetch_add(bytes, Ordering::SeqCst);
    }

    /// Removes the earliest received message after it was processed. Returns true
    /// if the event loop must be woken, since it may read again.
    pub(super) fn remove_earliest(&self) -> bool {
        let Some(bytes) = self.sizes.lock().expect("no holder panics").pop_front() else {
            return false;
        };
        let left = self.bytes.fetch_sub(bytes, Ordering::SeqCst) - bytes;
        left < LOW_WATERMARK_BYTES && self.paused.swap(false, Ordering::SeqCst)
    }

    /// Returns true if reading must wait; `remove_earliest` then reports when it may resume.
    pub(super) fn is_full(&self) -> bool {
        if self.bytes.load(Ordering::SeqCst) < HIGH_WATERMARK_BYTES {
            return false;
        }
        self.paused.store(true, Ordering::SeqCst);
        // The backlog may have been drained in between.
        let low = self.bytes.load(Ordering::SeqCst) < LOW_WATERMARK_BYTES;
        !(low && self.paused.swap(false, Ordering::SeqCst))
    }

    /// Returns the number of bytes that are not processed yet.
    pub(super) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }
}
