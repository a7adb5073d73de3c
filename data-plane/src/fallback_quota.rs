#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What one edge sends a service by itself while the service's admission controller says
/// nothing. Invariants:
/// - Only groups whose origins are named with each call: no proof is missed.
/// - All edges' shares and the admission controller's part stay within the whole rate: each
///   edge of the roll has an equal share of `FALLBACK_FRACTION`.
/// - First tries only: the budget of the others is the admission controller's.
#[derive(Default)]
pub struct FallbackQuota {
    room: Option<TokenBucket>,
    /// Origins that failed a call of ours, left alone until then.
    ejected: HashMap<SocketAddr, Duration>,
}

/// Of a whole rate, for all edges that cannot reach the admission controller.
const FALLBACK_FRACTION: f64 = 0.1;
const EJECTION: Duration = Duration::from_secs(1);

impl FallbackQuota {
    /// An origin to call now without a permit, if the share has room: the
    /// nearest, then the one with the fewest of our own calls under way.
    pub fn pick(
        &mut self,
        now: Duration,
        group: &Group,
        origins: &[Origin],
        locality: &Locality,
        edges: usize,
        under: &dyn Fn(SocketAddr) -> usize,
    ) -> Option<Origin> {
        if group.proof != Proof::Named {
            return None;
        }
        if let Some(rate) = group
            .total_rate
            .map(|rate| rate * FALLBACK_FRACTION / edges.max(1) as f64)
        {
            let room = self
                .room
                .get_or_insert_with(|| TokenBucket::with(now, rate, 1.0));
            room.rate = rate;
            room.refill(now);
            if !room.has() {
                return None;
            }
        }
        self.ejected.retain(|_, until| now < *until);
        let places = |origin: &Origin| (origin.capacity.max(1) as usize / edges.max(1)).max(1);
        let usable = origins.iter().filter(|origin| {
            origin.service == group.service
                && !origin.draining
                && !self.ejected.contains_key(&origin.address)
                && under(origin.address) < places(origin)
        });
        let far = |origin: &Origin| {
            (
                origin.region != locality.region,
                origin.zone != locality.zone,
            )
        };
        let best = usable
            .min_by_key(|origin| (far(origin), under(origin.address), spread(locality, origin)))?
            .clone();
        if let Some(room) = &mut self.room {
            room.take(now);
        }
        Some(best)
    }

    pub fn failed(&mut self, now: Duration, address: SocketAddr) {
        self.ejected.insert(address, now + EJECTION);
    }
}

/// Unlike edges begin with unlike origins.
fn spread(locality: &Locality, origin: &Origin) -> u32 {
    crc32fast::hash(format!("{}{}", locality.zone, origin.address).as_bytes())
}
