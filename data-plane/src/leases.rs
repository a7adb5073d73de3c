use crate::prelude::*;

/// This edge's sessions with the control nodes. Invariant: a renewal
/// counts from its sending and only once the news it brought is applied; the
/// edge is live only while `rest` of the slots in the table stand: whoever asks
/// `most` of them about an edge that is live asks one that it relies on.
#[derive(Debug, Default)]
pub struct Leases {
    until: BTreeMap<SocketAddr, Duration>,
}

impl Leases {
    pub fn renewed(&mut self, seed: SocketAddr, sent: Duration) {
        let until = self.until.entry(seed).or_default();
        *until = (*until).max(sent + lease::EDGE);
    }

    /// The edge is live before this time, by a table of so many slots; never by
    /// none.
    pub fn until(&self, slots: usize) -> Duration {
        let mut list: Vec<Duration> = self.until.values().copied().collect();
        list.sort_unstable();
        let rest = Quorum::new(slots).rest();
        list.len()
            .checked_sub(rest)
            .filter(|_| slots > 0)
            .map_or(Duration::ZERO, |at| list[at])
    }

    pub fn keep(&mut self, seeds: &[SocketAddr]) {
        self.until.retain(|seed, _| seeds.contains(seed));
    }

    pub fn drop_all(&mut self) {
        self.until.clear();
    }

    /// The seed renewed last: the likeliest to carry what we ask.
    pub fn best(&self) -> Option<SocketAddr> {
        self.until
            .iter()
            .max_by_key(|(_, until)| **until)
            .map(|(seed, _)| *seed)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn an_edge_is_live_until_the_second_longest_lease_ends() {
        let at = Duration::from_millis;
        let seed = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let mut leases = Leases::default();
        leases.renewed(seed(1), at(500));
        assert_eq!(leases.until(3), Duration::ZERO, "one is no majority");
        leases.renewed(seed(2), at(700));
        assert_eq!(leases.until(3), at(1100));
        leases.renewed(seed(3), at(900));
        leases.renewed(seed(3), at(600));
        assert_eq!(leases.until(3), at(1300));
        // Of five or eight slots more are needed, of a table not known all.
        assert_eq!(
            [0, 4, 5, 8].map(|slots| leases.until(slots)),
            [at(0), at(1300), at(1100), at(0)]
        );
        // It fences itself before a control node counts it lapsed, even if
        // the renewal was heard the moment it was sent.
        assert!(lease::EDGE < lease::CONTROL);
    }
}
