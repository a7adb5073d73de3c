//! How many requests of each rank came of late.
use crate::prelude::*;

/// Arrivals within a span, counted by rank. Invariant: `by_rank` counts what
/// stands in `list`.
pub struct Arrivals {
    span: Duration,
    list: VecDeque<(Duration, u32)>,
    by_rank: BTreeMap<u32, usize>,
}

impl Arrivals {
    pub fn new(span: Duration) -> Arrivals {
        Arrivals {
            span,
            list: VecDeque::new(),
            by_rank: BTreeMap::new(),
        }
    }

    pub fn add(&mut self, now: Duration, rank: u32) {
        self.list.push_back((now, rank));
        *self.by_rank.entry(rank).or_insert(0) += 1;
    }

    pub fn forget_old(&mut self, now: Duration) {
        while let Some((at, rank)) = self.list.front().copied()
            && now >= at + self.span
        {
            self.list.pop_front();
            *self.by_rank.get_mut(&rank).expect("it was counted") -= 1;
        }
    }

    /// Arrivals of higher ranks.
    pub fn above(&self, rank: u32) -> usize {
        let higher = (std::ops::Bound::Excluded(rank), std::ops::Bound::Unbounded);
        self.by_rank.range(higher).map(|(_, count)| count).sum()
    }
}
