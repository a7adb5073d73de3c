//! Estimates the queueing delay of small messages at this machine's link.
use crate::prelude::*;

/// Measures the queueing delay of this edge's renewals: the round trip minus the shortest
/// one observed with the same control node. The only link that all control nodes share is
/// the edge's own, so the estimate is the shortest of the recent delays. The delay of a
/// control node that is slow itself is thereby ignored.
#[derive(Debug, Default)]
pub struct LinkDelayEstimator {
    shortest_round_trip: HashMap<SocketAddr, Duration>,
    recent: HashMap<SocketAddr, Measurement>,
}

/// The delay measured with one control node.
#[derive(Debug)]
struct Measurement {
    taken_at: Duration,
    queueing_delay: Duration,
}

/// Maximum age of a measurement. Two renewals are sent within this time.
const MEASUREMENT_VALIDITY: Duration = Duration::from_millis(400);

impl LinkDelayEstimator {
    /// Records a round trip to a control node. Returns the current delay of the link.
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
