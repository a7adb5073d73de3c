//! This edge's leases from the control nodes.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// This edge's lease from each control node. Invariant: a renewal counts from
/// its sending and only once the updates it brought are applied; the edge is
/// live only while more leases are valid than a quorum leaves out, so that every
/// quorum that is asked about a live edge includes a control node whose lease
/// it holds.
#[derive(Debug, Default)]
pub struct Leases {
    expiry: BTreeMap<SocketAddr, Duration>,
}

impl Leases {
    /// Records a renewal that was sent at `sent`.
    pub fn renewed(&mut self, control_node: SocketAddr, sent: Duration) {
        let expiry = self.expiry.entry(control_node).or_default();
        *expiry = (*expiry).max(sent + lease::EDGE_LEASE);
    }

    /// The edge is live before this time, with so many control slots; never
    /// with none.
    pub fn live_until(&self, control_slots: usize) -> Duration {
        let mut expiries: Vec<Duration> = self.expiry.values().copied().collect();
        expiries.sort_unstable();
        let required = Quorum::new(control_slots).intersecting();
        expiries
            .len()
            .checked_sub(required)
            .filter(|_| control_slots > 0)
            .map_or(Duration::ZERO, |index| expiries[index])
    }

    /// Drops the leases of all other control nodes.
    pub fn retain(&mut self, control_nodes: &[SocketAddr]) {
        self.expiry
            .retain(|control_node, _| control_nodes.contains(control_node));
    }

    /// Drops all leases.
    pub fn clear(&mut self) {
        self.expiry.clear();
    }

    /// The control node that renewed last: the likeliest to respond.
    pub fn last_renewed(&self) -> Option<SocketAddr> {
        self.expiry
            .iter()
            .max_by_key(|(_, expiry)| **expiry)
            .map(|(control_node, _)| *control_node)
    }
}
