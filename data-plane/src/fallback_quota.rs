//! The quota of calls that an edge may make while a group's admission controller does not
//! respond.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// One edge's quota of calls to a service without permits, for when the service's
/// admission controller does not respond. Invariants:
/// - The quota applies only to groups whose origins check the name in each call, so that
///   no proof is needed.
/// - Each registered edge has an equal part of `FALLBACK_FRACTION` of the total rate. The
///   admission controller grants only a fraction of the total rate, and counts the calls
///   within the quotas once they are reported.
/// - Only first attempts use the quota, because the retry budget is held by the admission
///   controller.
#[derive(Default)]
pub struct FallbackQuota {
    bucket: Option<TokenBucket>,
    /// The ends of the ejections of origins that failed a call of this edge.
    ejected_until: HashMap<SocketAddr, Duration>,
}

/// The epoch in the permit of a call within the fallback quota, which no admission
/// controller has granted.
pub const FALLBACK_EPOCH: u64 = 0;
/// The fraction of a total rate that is shared by the fallback quotas of all edges.
const FALLBACK_FRACTION: f64 = 0.1;
/// Ejection time of an origin after a failed call.
const EJECTION: Duration = Duration::from_secs(1);

impl FallbackQuota {
    /// Returns the origin to call now without a permit, if the quota allows a call: of
    /// the nearest origins, the one with the fewest calls in flight from this edge.
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

    /// Returns true if the total rate, if there is one, allows this edge a call now.
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

/// Returns a tie-breaker that makes edges of different zones prefer different origins.
fn tie_break(locality: &Locality, origin: &Origin) -> u32 {
    crc32fast::hash(format!("{}{}", locality.zone, origin.address).as_bytes())
}
