#[cfg(test)]
mod tests;

use crate::prelude::*;

/// This edge's sessions with the control nodes. Invariant: a renewal
/// counts from its sending and only once the updates it brought is applied; the
/// edge is live only while `rest` of the slots in the table stand: whoever asks
/// `most` of them about an edge that is live asks one that it relies on.
#[derive(Debug, Default)]
pub struct Leases {
    until: BTreeMap<SocketAddr, Duration>,
}

impl Leases {
    pub fn renewed(&mut self, seed: SocketAddr, sent: Duration) {
        let until = self.until.entry(seed).or_default();
        *until = (*until).max(sent + lease::EDGE_LEASE);
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
