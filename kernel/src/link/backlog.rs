//! What was received and is not processed yet, bounded in bytes.
use crate::prelude::*;
use std::sync::atomic::AtomicUsize;

/// Above this nothing more is read; the senders' queues fill, and drop.
const PAUSE_BYTES: usize = 4 * 1024 * 1024;
/// Below this reading goes on.
const RESUME_BYTES: usize = PAUSE_BYTES / 2;

/// Counts received bytes from the event loop to the thread that processes
/// them, in order.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    sizes: Mutex<VecDeque<usize>>,
    bytes: AtomicUsize,
    paused: AtomicBool,
}

impl Backlog {
    /// Counts a message that was read.
    pub(super) fn received(&self, bytes: usize) {
        self.sizes
            .lock()
            .expect("no holder panics")
            .push_back(bytes);
        self.bytes.fetch_add(bytes, Ordering::SeqCst);
    }

    /// The earliest message received was processed. True if the event loop is
    /// to be woken, since it may read again.
    pub(super) fn processed(&self) -> bool {
        let Some(bytes) = self.sizes.lock().expect("no holder panics").pop_front() else {
            return false;
        };
        let left = self.bytes.fetch_sub(bytes, Ordering::SeqCst) - bytes;
        left < RESUME_BYTES && self.paused.swap(false, Ordering::SeqCst)
    }

    /// Whether reading must wait. Who is told so is woken by `processed`.
    pub(super) fn full(&self) -> bool {
        if self.bytes.load(Ordering::SeqCst) < PAUSE_BYTES {
            return false;
        }
        self.paused.store(true, Ordering::SeqCst);
        // It may have been emptied in between.
        let low = self.bytes.load(Ordering::SeqCst) < RESUME_BYTES;
        !(low && self.paused.swap(false, Ordering::SeqCst))
    }

    /// Bytes that are not processed yet.
    pub(super) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }
}
