//! How long small messages wait on this machine's link.
use crate::prelude::*;

/// Measures the queue on the way of this edge's renewals: the round trip less
/// the shortest one known to the same control node. What all control nodes have
/// in common is the own link, so the shortest wait among those measured of late
/// counts: one that is slow by itself says nothing of the link.
#[derive(Debug, Default)]
pub struct LinkDelayEstimator {
    shortest: HashMap<SocketAddr, Duration>,
    recent: HashMap<SocketAddr, (Duration, Duration)>,
}

/// Older measurements do not count; two renewals fit in.
const RECENT: Duration = Duration::from_millis(400);

impl LinkDelayEstimator {
    /// The delay of the link, with a round trip to this control node just
    /// measured.
    pub fn measured(&mut self, now: Duration, node: SocketAddr, round_trip: Duration) -> Duration {
        let shortest = self.shortest.entry(node).or_insert(round_trip);
        *shortest = round_trip.min(*shortest);
        let wait = round_trip - *shortest;
        self.recent.insert(node, (now, wait));
        self.recent.retain(|_, (at, _)| now < *at + RECENT);
        let waits = self.recent.values().map(|(_, wait)| *wait);
        waits.min().unwrap_or_default()
    }
}
