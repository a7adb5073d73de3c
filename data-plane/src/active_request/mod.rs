//! A client request in progress: its stage, its deadline and its attempts.
mod cacheability;
mod outgoing_call;
mod stage;

use crate::prelude::*;
pub(crate) use cacheability::{is_cacheable_status, is_shareable};
pub use stage::Stage;

/// A request that has no response yet. Invariants:
/// - `request.routes` is the only configuration that this request uses.
/// - `attempts.may_have_reached_origin` is set before a call may reach an origin, and
///   cleared only if no call can have been executed. While it is set, a keyed request
///   makes no further call and "not run" is not reported.
/// - A keyed request calls an origin only while its claim is held.
pub struct ActiveRequest {
    /// The client's request, with the route it matched.
    pub request: ClientRequest,
    /// The time at which the request was received.
    pub started_at: Duration,
    /// The time by which the client must have a response.
    pub deadline: Duration,
    /// The time by which the client should have a response (its latency target).
    pub latency_target: Duration,
    /// The stage that the request is in.
    pub stage: Stage,
    /// Set if the client has closed its connection and does not wait for the response.
    pub client_disconnected: bool,
    /// The claim on the request's operation key, if it has one.
    pub claim: Option<Claim>,
    /// The message of the current stage and its retries.
    pub exchange: Exchange,
    /// The calls to origins so far.
    pub attempts: Attempts,
    /// The state of a cacheable request.
    pub cache: RequestCacheState,
}

/// The message exchange that the current stage of a request waits for.
pub struct Exchange {
    /// The id of the message or call whose response is awaited.
    pub id: u64,
    /// The admission controller or cache owner that has not responded yet.
    pub peer: Option<SocketAddr>,
    /// Number of times the message was sent in this stage.
    pub send_count: usize,
    /// The time at which the message was last sent.
    pub sent_at: Duration,
    /// The time at which the message is sent again.
    pub resend_at: Duration,
    /// The time of the last message from the peer, or at which the stage was entered.
    pub last_contact: Duration,
}

/// The calls to origins made for one request.
#[derive(Default)]
pub struct Attempts {
    /// Number of calls that count against the limit.
    pub count: u32,
    /// Set if a call may have reached an origin.
    pub may_have_reached_origin: bool,
    /// Set if an earlier call may have been executed.
    pub may_have_run: bool,
    /// The error response of an origin, passed on if no attempt succeeds.
    pub origin_error_response: Option<Reply>,
    /// Origins that failed this request.
    pub failed_origins: Vec<SocketAddr>,
}

/// The state of a request's cache lookup and fetch.
#[derive(Default)]
pub struct RequestCacheState {
    /// Set if the response may be served from a cache.
    pub key: Option<CacheKey>,
    /// Set if the cache owner made this request the refresher of the key.
    pub fill_grant: Option<FillGrant>,
    /// The last fetch of a response that may be served to others.
    pub fetch: Option<Fetch>,
    /// The rejection to send if no cached response of any age is available either.
    pub pending_rejection: Option<Rejection>,
}

/// A cache owner's token for the refresher of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillGrant {
    /// The cache owner that issued the token.
    pub owner: SocketAddr,
    /// The token that the put must carry.
    pub token: FillToken,
}

/// Maximum number of calls for one request, including the first, unless its route
/// sets a limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// The fetch of a shared response, before the response arrives.
#[derive(Debug, Clone, Copy)]
pub struct Fetch {
    /// The latest time at which the fetch can have started.
    pub started_at: Duration,
    /// The purge version up to which no purge matches the response.
    pub purge_version: u64,
}

impl Exchange {
    fn new(now: Duration) -> Exchange {
        Exchange {
            id: 0,
            peer: None,
            send_count: 0,
            sent_at: now,
            resend_at: now,
            last_contact: now,
        }
    }
}

impl ActiveRequest {
    /// Creates the state of a request that was received now.
    pub fn new(now: Duration, request: ClientRequest) -> ActiveRequest {
        let route_deadline = request.entry().deadline();
        let timeout = request
            .timeout
            .map_or(route_deadline, |timeout| timeout.min(route_deadline));
        let latency_target = request
            .entry()
            .aim_ms
            .map_or(route_deadline, Duration::from_millis);
        ActiveRequest {
            started_at: now,
            deadline: now + timeout,
            latency_target: now + latency_target,
            stage: Stage::AwaitingPermit,
            client_disconnected: false,
            claim: None,
            exchange: Exchange::new(now),
            attempts: Attempts::default(),
            cache: RequestCacheState::default(),
            request,
        }
    }

    /// Returns the time left before the deadline.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Returns true if the response may be shared with other clients.
    pub fn is_cacheable(&self) -> bool {
        self.request.entry().kind == Kind::Cached
            && !self.request.carries_credentials()
            && self.request.method == "GET"
    }

    /// Returns true if a call to this origin is in flight for the request.
    pub fn is_calling(&self, origin: SocketAddr) -> bool {
        matches!(&self.stage, Stage::Calling { permit, .. } if permit.origin.address == origin)
    }

    /// Returns the ledger change that the request's stage sends, if any.
    pub fn ledger_change(&self) -> Option<Change> {
        let claim = || self.claim.clone().expect("it has an operation key");
        match &self.stage {
            Stage::AwaitingClaim => Some(Change::Claim(claim())),
            Stage::Recording { reply, .. } => Some(Change::RecordOutcome(claim(), reply.clone())),
            Stage::Releasing { .. } => Some(Change::Release(claim())),
            _ => None,
        }
    }

    /// Returns true if the request may be retried after it may have been executed.
    pub fn is_idempotent(&self) -> bool {
        match self.request.entry().kind {
            Kind::Cached | Kind::Repeatable => true,
            Kind::Plain => ["GET", "HEAD"].contains(&self.request.method.as_str()),
            Kind::Keyed | Kind::Once => false,
        }
    }

    /// Returns the maximum number of calls for the request, including the first.
    pub fn max_attempts(&self) -> u32 {
        self.request
            .entry()
            .attempts
            .unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }

    /// Returns true if the attempt limit and the deadline permit another call.
    pub fn may_attempt(&self, now: Duration) -> bool {
        self.attempts.count < self.max_attempts() && now < self.deadline
    }

    /// Returns the outcome to report before the first attempt. A keyed operation
    /// that has not been looked up in the ledger may have run elsewhere.
    pub fn outcome_before_attempt(&self) -> RunState {
        match self.request.entry().kind {
            Kind::Keyed => RunState::Unknown,
            _ => RunState::NotRun,
        }
    }

    /// Returns the outcome to report after the attempts made so far.
    pub fn outcome(&self) -> RunState {
        if self.attempts.may_have_reached_origin {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    /// Creates a rejection that reports the current outcome.
    pub fn reject(&self, status: u16, code: &str, text: &str) -> Rejection {
        Rejection {
            nothing_sent: !self.attempts.may_have_reached_origin,
            ..Rejection::new(status, code, self.outcome(), text)
        }
    }

    /// Creates the claim of `claimant` on the request's operation key.
    pub fn claim_of(request: &ClientRequest, claimant: Peer, id: u64) -> Claim {
        // Excludes entry and service: a repeated request stays the same operation
        // when the configuration changes in between.
        let fingerprint = hash_fields(&[
            request.caller.as_bytes(),
            request.entry_host().as_bytes(),
            request.method.as_bytes(),
            request.url.as_bytes(),
            &request.body,
        ]);
        let operation = format!(
            "{}/{}",
            request.entry_host(),
            request.operation_key().unwrap_or_default()
        );
        Claim {
            operation,
            fingerprint,
            claimant,
            request: id,
        }
    }
}

/// Hashes the fields, each prefixed with its length so that their boundaries matter.
fn hash_fields(fields: &[&[u8]]) -> CacheKey {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}
