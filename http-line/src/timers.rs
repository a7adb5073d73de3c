//! The timer queue of the event loop.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Queue of deadlines in ticks. Deadlines are rounded up, so that a timer never
/// fires early: otherwise the loop would repeatedly find an entry due whose
/// connection is not. Entries may be outdated: the connection determines its actual
/// deadline, and a later deadline is entered only when the earlier entry fires.
pub(crate) struct Timers {
    start: Instant,
    heap: BinaryHeap<Reverse<Timer>>,
}

/// Entry of the timer queue, ordered by its tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timer {
    pub(crate) tick: u64,
    pub(crate) token: usize,
}

/// Resolution of the timers.
const TICK: Duration = Duration::from_millis(20);
/// Minimum capacity in entries above which the heap may be shrunk.
const MIN_SHRINK_CAPACITY: usize = 1024;

impl Timers {
    pub(crate) fn new(start: Instant) -> Timers {
        Timers {
            start,
            heap: BinaryHeap::new(),
        }
    }

    /// Returns the first tick that is not before this time.
    pub(crate) fn tick_of(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.start)
            .as_nanos()
            .div_ceil(TICK.as_nanos()) as u64
    }

    pub(crate) fn time_of(&self, tick: u64) -> Instant {
        self.start + Duration::from_nanos(tick * TICK.as_nanos() as u64)
    }

    pub(crate) fn push(&mut self, tick: u64, token: usize) {
        self.heap.push(Reverse(Timer { tick, token }));
    }

    /// Returns the earliest entry.
    pub(crate) fn first(&self) -> Option<Timer> {
        self.heap.peek().map(|entry| entry.0)
    }

    /// Removes the earliest entry.
    pub(crate) fn pop(&mut self) {
        self.heap.pop();
        let capacity = self.heap.capacity();
        if capacity > MIN_SHRINK_CAPACITY && self.heap.len() * 8 < capacity {
            self.heap.shrink_to(self.heap.len() * 2);
        }
    }
}
