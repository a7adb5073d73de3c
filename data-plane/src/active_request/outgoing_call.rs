//! Builds the calls that a request makes to origins.
use crate::prelude::*;

/// Maximum number of connections from this edge to one origin, unless its group
/// sets a limit.
const DEFAULT_MAX_CONNECTIONS: usize = 256;
/// Number of usual durations that the timeout of an attempt that can be retried covers,
/// if the deadline leaves enough time.
const USUAL_DURATIONS_PER_ATTEMPT: u32 = 6;
/// Request headers that are not forwarded to origins: they belong to the client's
/// connection or are set by this edge.
const UNFORWARDED_HEADERS: [&str; 12] = [
    "connection",
    "host",
    "content-length",
    "transfer-encoding",
    "te",
    "upgrade",
    "keep-alive",
    "expect",
    "operation-key",
    "proxy-connection",
    "trailer",
    "accept-encoding",
];

impl ActiveRequest {
    /// Returns the timeout of the next call. A call that may be retried leaves time
    /// for the retry: it gets half of the remaining time, or a multiple of
    /// `usual_duration` if that is longer, up to three quarters of the remaining time.
    pub fn call_timeout(&self, now: Duration, usual_duration: Duration) -> Duration {
        let remaining = self.remaining(now);
        let may_retry = self.is_idempotent() && self.attempts.count + 1 < self.max_attempts();
        if may_retry {
            (remaining / 2)
                .max((usual_duration * USUAL_DURATIONS_PER_ATTEMPT).min(remaining / 4 * 3))
        } else {
            remaining
        }
    }

    /// Builds the call to an origin. A response to be shared is fetched without the
    /// client's headers, so that it is the same for all clients.
    pub fn call(
        &self,
        now: Duration,
        id: u64,
        origin: Origin,
        usual_duration: Duration,
        purpose: CallPurpose,
    ) -> Call {
        let request = &self.request;
        let headers = request.headers.iter().filter(|(name, _)| {
            self.cache.key.is_none() && is_forwarded(&name.to_ascii_lowercase())
        });
        Call {
            origin,
            method: request.method.clone(),
            url: request.url.clone(),
            host: request.host.clone(),
            headers: headers.cloned().collect(),
            body: request.body.clone(),
            operation_key: self
                .claim
                .as_ref()
                .and(request.operation_key().map(Into::into)),
            request_id: request.request_id.clone(),
            request_id_at_edge: id,
            key: request.group().key.clone(),
            proof: request.group().proof,
            timeout: self.call_timeout(now, usual_duration),
            max_connections: request
                .group()
                .sessions
                .map_or(DEFAULT_MAX_CONNECTIONS, |limit| limit as usize),
            purpose,
        }
    }
}

/// Returns true if a client's header is forwarded to the origin.
fn is_forwarded(lowercase_name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&lowercase_name)
        && !lowercase_name.starts_with("otterslip-")
        && lowercase_name != "x-forwarded-host"
}
