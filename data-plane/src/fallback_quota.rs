//! Calls that an edge makes while a group's admission controller does not respond.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What one edge calls of a service by itself while the service's admission controller
/// does not respond. Invariants:
/// - Only groups whose origins are named with each call: no proof is needed.
/// - The quotas of all edges and the admission controller's fraction stay within the total
///   rate: each registered edge has an equal quota of `FALLBACK_FRACTION`.
/// - First attempts only: the retry budget is the admission controller's.
#[derive(Default)]
pub struct FallbackQuota {
    bucket: Option<TokenBucket>,
    /// Origins that failed a call of this edge, with the end of their ejection.
    ejected_until: HashMap<SocketAddr, Duration>,
}

/// The epoch in the permit of a call within the fallback quota: no admission
/// controller granted it.
pub const FALLBACK_EPOCH: u64 = 0;
/// The fraction of a total rate for all edges that cannot reach the admission controller.
const FALLBACK_FRACTION: f64 = 0.1;
/// How long an origin is ejected after it failed a call.
const EJECTION: Duration = Duration::from_secs(1);

impl FallbackQuota {
    /// An origin to call now without a permit, if the quota permits: the
    /// nearest, then the one with the fewest calls in flight from this edge.
    pub fn pick(
        &mut self,
        now: Duration,
        group: &Group,
        origins: &[Origin],
        locality: &Locality,
        edges: usize,
        in_flight: &dyn Fn(SocketAddr) -> usize,
    ) -> Option<Origin> {
        let edges = edges.max(1);
        if group.proof != Proof::Named || !self.has_quota(now, group, edges) {
            return None;
        }
        self.ejected_until.retain(|_, until| now < *until);
        let slots = |origin: &Origin| (origin.capacity.max(1) as usize / edges).max(1);
        let usable = origins.iter().filter(|origin| {
            origin.service == group.service
                && !origin.draining
                && !self.ejected_until.contains_key(&origin.address)
                && in_flight(origin.address) < slots(origin)
        });
        let is_remote = |origin: &Origin| {
            (
                origin.region != locality.region,
                origin.zone != locality.zone,
            )
        };
        let picked = usable
            .min_by_key(|origin| {
                (
                    is_remote(origin),
                    in_flight(origin.address),
                    tie_break(locality, origin),
                )
            })?
            .clone();
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now);
        }
        Some(picked)
    }

    /// Whether a total rate, if there is one, leaves this edge a call now.
    fn has_quota(&mut self, now: Duration, group: &Group, edges: usize) -> bool {
        let Some(total_rate) = group.total_rate else {
            return true;
        };
        let rate = total_rate * FALLBACK_FRACTION / edges as f64;
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::with_tokens(now, rate, 1.0));
        bucket.rate = rate;
        bucket.refill(now);
        bucket.has_token()
    }

    /// Ejects an origin that failed a call of this edge.
    pub fn call_failed(&mut self, now: Duration, address: SocketAddr) {
        self.ejected_until.insert(address, now + EJECTION);
    }
}

/// Different edges start with different origins.
fn tie_break(locality: &Locality, origin: &Origin) -> u32 {
    crc32fast::hash(format!("{}{}", locality.zone, origin.address).as_bytes())
}
