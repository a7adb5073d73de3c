//! Counts the recent permit requests of each rank.
use crate::prelude::*;

/// Arrivals within a sliding window, by rank. Invariant: `by_rank` holds the number of
/// elements of `recent` with each rank.
pub(super) struct Arrivals {
    window: Duration,
    /// The arrival times and ranks of the requests, oldest first.
    recent: VecDeque<(Duration, u32)>,
    by_rank: BTreeMap<u32, usize>,
}

impl Arrivals {
    pub(super) fn new(window: Duration) -> Arrivals {
        Arrivals {
            window,
            recent: VecDeque::new(),
            by_rank: BTreeMap::new(),
        }
    }

    pub(super) fn add(&mut self, now: Duration, rank: u32) {
        self.recent.push_back((now, rank));
        *self.by_rank.entry(rank).or_insert(0) += 1;
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        while let Some((arrived, rank)) = self.recent.front().copied()
            && now >= arrived + self.window
        {
            self.recent.pop_front();
            *self.by_rank.get_mut(&rank).expect("it was counted") -= 1;
        }
    }

    /// Returns the number of arrivals with a higher rank.
    pub(super) fn count_above(&self, rank: u32) -> usize {
        let higher = (std::ops::Bound::Excluded(rank), std::ops::Bound::Unbounded);
        self.by_rank.range(higher).map(|(_, count)| count).sum()
    }
}
