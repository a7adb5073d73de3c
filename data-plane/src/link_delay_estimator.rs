//! Estimates how long small messages queue at this machine's link.
use crate::prelude::*;

/// Measures the queueing delay of this edge's renewals: the round trip less the
/// shortest one observed with the same control node. What all control nodes
/// have in common is the edge's own link, so the shortest delay among the recent
/// ones counts: a control node that is slow by itself says nothing of the link.
#[derive(Debug, Default)]
pub struct LinkDelayEstimator {
    shortest_round_trip: HashMap<SocketAddr, Duration>,
    recent: HashMap<SocketAddr, Measurement>,
}

#[derive(Debug)]
struct Measurement {
    taken_at: Duration,
    queueing_delay: Duration,
}

/// Older measurements do not count; two renewals fit in.
const MEASUREMENT_VALIDITY: Duration = Duration::from_millis(400);

impl LinkDelayEstimator {
    /// Records a round trip to a control node; the present delay of the link.
    pub fn record(&mut self, now: Duration, node: SocketAddr, round_trip: Duration) -> Duration {
        let shortest = self.shortest_round_trip.entry(node).or_insert(round_trip);
        *shortest = round_trip.min(*shortest);
        let measurement = Measurement {
            taken_at: now,
            queueing_delay: round_trip - *shortest,
        };
        self.recent.insert(node, measurement);
        self.recent
            .retain(|_, measurement| now < measurement.taken_at + MEASUREMENT_VALIDITY);
        self.recent
            .values()
            .map(|measurement| measurement.queueing_delay)
            .min()
            .unwrap_or_default()
    }
}
