use crate::prelude::*;

/// Due times in ticks of 20 ms, rounded up: never early, or the loop would
/// find an entry due and its owner not, over and over. An entry may be out of date: the
/// owner of a token says when it is really due, and a later time needs no
/// entry of its own until the earlier one comes up.
pub struct Timers {
    start: Instant,
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

const TICK: Duration = Duration::from_millis(20);

impl Timers {
    pub fn new(start: Instant) -> Timers {
        Timers {
            start,
            heap: BinaryHeap::new(),
        }
    }

    pub fn tick(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start)
            .as_nanos()
            .div_ceil(TICK.as_nanos()) as u64
    }

    pub fn at(&self, tick: u64) -> Instant {
        self.start + Duration::from_nanos(tick * TICK.as_nanos() as u64)
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
        for nanos in [0, 1, 19_999_999, 20_000_000, 20_000_001, 40_300_000] {
            let due = start + Duration::from_nanos(nanos);
            let at = timers.at(timers.tick(due));
            assert!(at >= due && at < due + TICK, "{nanos}");
        }
        let tick = timers.tick(start + Duration::from_millis(41));
        timers.push(tick, 1);
        timers.push(timers.tick(start + Duration::from_millis(5)), 2);
        assert_eq!(timers.first(), Some((1, 2)));
        timers.pop();
        assert_eq!(timers.first(), Some((3, 1)));
    }
}
