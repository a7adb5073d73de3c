//! The leases that this edge has from the control nodes.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// This edge's lease from each control node. Invariants:
/// - A renewal is valid from the time at which it was sent, and only once the updates in
///   its reply are applied.
/// - The edge is live only while the number of valid leases exceeds the number of control
///   nodes outside a quorum. So every quorum includes a control node from which a live
///   edge holds a lease.
#[derive(Debug, Default)]
pub struct Leases {
    expiry: BTreeMap<SocketAddr, Duration>,
}

impl Leases {
    /// Records a renewal that was sent at `sent`.
    pub fn record_renewal(&mut self, control_node: SocketAddr, sent: Duration) {
        let expiry = self.expiry.entry(control_node).or_default();
        *expiry = (*expiry).max(sent + lease::EDGE_LEASE);
    }

    /// Returns the time until which the edge is live with `control_slots` control nodes;
    /// zero if there are none.
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

    /// Returns the control node that renewed its lease last, which is the likeliest to
    /// respond.
    pub fn last_renewed(&self) -> Option<SocketAddr> {
        self.expiry
            .iter()
            .max_by_key(|(_, expiry)| **expiry)
            .map(|(control_node, _)| *control_node)
    }
}
