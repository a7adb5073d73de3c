use crate::prelude::*;

/// Due times in ticks of 20 ms, rounded up. An entry may be out of date: the
/// owner of a token says when it is really due, and a later time needs no
/// entry of its own until the earlier one comes up.
pub struct Timers {
    start: Instant,
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

const TICK: u128 = 20;

impl Timers {
    pub fn new(start: Instant) -> Timers {
        Timers { start, heap: BinaryHeap::new() }
    }

    pub fn tick(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_millis().div_ceil(TICK) as u64
    }

    pub fn at(&self, tick: u64) -> Instant {
        self.start + Duration::from_millis(tick * TICK as u64)
    }

    pub fn push(&mut self, tick: u64, token: usize) {
        self.heap.push(Reverse((tick, token)));
    }

    pub fn first(&self) -> Option<(u64, usize)> {
        self.heap.peek().map(|entry| entry.0)
    }

    pub fn pop(&mut self) {
        self.heap.pop();
        if self.heap.capacity() > 1024 && self.heap.len() * 8 < self.heap.capacity() {
            self.heap.shrink_to(self.heap.len() * 2);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn earliest_first_and_never_early() {
        let start = Instant::now();
        let mut timers = Timers::new(start);
        let late = start + Duration::from_millis(41);
        let tick = timers.tick(late);
        assert!(timers.at(tick) >= late && timers.at(tick) < late + Duration::from_millis(20));
        timers.push(tick, 1);
        timers.push(timers.tick(start + Duration::from_millis(5)), 2);
        assert_eq!(timers.first(), Some((1, 2)));
        timers.pop();
        assert_eq!(timers.first(), Some((3, 1)));
    }
}
