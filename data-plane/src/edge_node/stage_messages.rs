//! The messages that the stages of a request send and resend.
use super::{ADMISSION_TIMEOUT, EdgeNode, RESEND_INTERVAL};
use crate::prelude::*;

/// Time without a confirmation of a repeated request after which the owner is
/// bypassed. Shorter delays are common on a full link, and each fetch that bypasses
/// the owner takes capacity from another request.
const OWNER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the first request to the owner is repeated. It doubles with each
/// repetition, up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff between repeated requests to the owner.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);
/// Maximum number of doublings, which keeps the shift in range. `MAX_BACKOFF` is reached
/// after fewer doublings.
const MAX_DOUBLINGS: usize = 4;

/// Returns the time after which a request that was sent `send_count` times is sent
/// again.
fn resend_backoff(send_count: usize) -> Duration {
    let doubled = INITIAL_BACKOFF * (1 << send_count.saturating_sub(1).min(MAX_DOUBLINGS));
    doubled.min(MAX_BACKOFF)
}

/// Returns the time after which the message of a stage is due again.
fn resend_interval(stage: &Stage, send_count: usize) -> Duration {
    match stage {
        Stage::AwaitingCachedResponse { .. } if send_count > 1 => OWNER_TIMEOUT,
        Stage::AwaitingCachedResponse { .. } => resend_backoff(send_count),
        _ => RESEND_INTERVAL,
    }
}

impl EdgeNode {
    /// Sends or resends the message of a request's stage.
    pub(super) fn send_stage_message(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        active.exchange.send_count += 1;
        active.exchange.sent_at = now;
        active.exchange.resend_at =
            now + resend_interval(&active.stage, active.exchange.send_count);
        active.exchange.peer = None;
        if let Some(change) = active.ledger_change() {
            let (exchange, send_count) = (active.exchange.id, active.exchange.send_count);
            return self.send_change(exchange, send_count, change);
        }
        match active.stage {
            Stage::AwaitingCachedResponse {
                accepts_any_age, ..
            } => self.send_cache_get(now, id, accepts_any_age),
            Stage::AwaitingPermit => self.send_permit_request(now, id),
            _ => {}
        }
    }

    /// Requests the response from the cache owner. Without an owner, the request fetches
    /// for itself.
    fn send_cache_get(&mut self, now: Duration, id: u64, accepts_any_age: bool) {
        let active = &self.active_requests[&id];
        let key = active.cache.key.expect("cached");
        let assignment = cache_assignment(&self.locality.ring, cache_partition(&key));
        match self.assignment_owner(&assignment) {
            Some(owner) => {
                let get = CacheGet {
                    id: active.exchange.id,
                    key,
                    entry: active.request.entry().name.clone(),
                    host: active.request.entry_host().into(),
                    url: active.request.url.clone(),
                    ttl: active.request.entry().cache_ttl(),
                    max_wait: active.remaining(now),
                    accepts_any_age,
                };
                self.send_request(id, owner, get);
            }
            None if !accepts_any_age => self.enter_stage(now, id, Stage::AwaitingPermit),
            None => {}
        }
    }

    /// Requests a permit from the admission controller. Without a controller, the call
    /// is sent within the fallback quota.
    fn send_permit_request(&mut self, now: Duration, id: u64) {
        let active = &self.active_requests[&id];
        let service = active.request.service.clone();
        match self.assignment_owner(&admission_assignment(&service)) {
            Some(controller) => {
                let request = PermitRequest {
                    service,
                    id: active.exchange.id,
                    rank: active.request.entry().rank,
                    max_wait: active.remaining(now),
                    sent: now,
                    is_retry: active.attempts.count > 0,
                    call_timeout: active.call_timeout(now, Duration::ZERO),
                    latency_target: active.latency_target.saturating_sub(now),
                    zone: self.locality.zone.clone(),
                    region: self.locality.region.clone(),
                    excluded_origins: active.attempts.failed_origins.clone(),
                };
                self.send_request(id, controller, request);
            }
            None => self.call_without_permit(now, id),
        }
    }

    /// Sends a message whose response the request waits for.
    fn send_request(&mut self, id: u64, peer: SocketAddr, message: impl Into<Message>) {
        self.send(peer, message);
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.exchange.peer = Some(peer);
        }
    }

    /// Resends the message of the request's stage, or bypasses its receiver. A cache
    /// owner is bypassed if it does not confirm a repeated request, or has sent no
    /// response after half of the time to the deadline. As in the MashCache paper, a
    /// request that cannot get a cached response goes to the origin.
    pub(super) fn fall_back_or_resend(&mut self, now: Duration, id: u64) {
        let is_live = self.is_live(now);
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let half_time = active.started_at + (active.deadline - active.started_at) / 2;
        let exchange = &mut active.exchange;
        let backoff_end = exchange.sent_at + resend_backoff(exchange.send_count);
        let is_owner_unresponsive = exchange.send_count > 1
            && exchange.last_contact < exchange.sent_at
            && now >= exchange.sent_at + OWNER_TIMEOUT;
        match active.stage {
            Stage::AwaitingPermit if now >= exchange.last_contact + ADMISSION_TIMEOUT => {
                self.call_without_permit(now, id);
                self.send_stage_message(now, id);
            }
            Stage::AwaitingCachedResponse {
                accepts_any_age: false,
                ..
            } if now >= half_time || is_owner_unresponsive => self.fetch_without_owner(now, id),
            Stage::AwaitingCachedResponse { .. } if now < backoff_end => {
                exchange.resend_at = backoff_end;
            }
            Stage::Recording { .. } | Stage::Releasing { .. } | Stage::AwaitingClaim => {
                self.send_stage_message(now, id)
            }
            _ if is_live => self.send_stage_message(now, id),
            _ => {}
        }
    }
}
