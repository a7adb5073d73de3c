//! One client request in progress: its stage, its deadline and what was tried for it.
mod cacheability;
mod outgoing_call;
mod stage;

use crate::prelude::*;
pub(crate) use cacheability::{is_cacheable_status, is_shareable};
pub use stage::Stage;

/// A request being executed. Invariants:
/// - `request.routes` is the one configuration this request ever uses.
/// - `attempts.sent` is set before a call may reach an origin; a keyed request
///   is never called again after it, and "not run" is never reported after it.
/// - A keyed request calls an origin only while its claim is held.
pub struct ActiveRequest {
    /// The client's request, with the route it matched.
    pub request: ClientRequest,
    /// When it was received.
    pub started_at: Duration,
    /// When it must have a response.
    pub deadline: Duration,
    /// The time before which a response is worth most to the client.
    pub latency_target: Duration,
    /// What the request waits for.
    pub stage: Stage,
    /// The client closed its connection and does not wait for the response.
    pub client_disconnected: bool,
    /// The claim on its operation key, if it has one.
    pub claim: Option<Claim>,
    /// The message of the current stage and its retries.
    pub exchange: Exchange,
    /// The calls to origins so far.
    pub attempts: Attempts,
    /// What ties the request to a cache key.
    pub cache: CacheUse,
}

/// The message exchange that the current stage of a request waits for.
pub struct Exchange {
    /// The id of the message or call whose response is awaited.
    pub id: u64,
    /// The admission controller or cache owner that has not responded yet.
    pub peer: Option<SocketAddr>,
    /// How often the message was sent in this stage.
    pub sends: usize,
    /// When the message was last sent.
    pub sent_at: Duration,
    /// When the message is sent again.
    pub resend_at: Duration,
    /// When the peer was last heard from, or the stage was entered.
    pub last_contact: Duration,
}

/// The calls to origins made for one request.
#[derive(Default)]
pub struct Attempts {
    /// Calls that count against the limit.
    pub count: u32,
    /// A call may have reached an origin.
    pub sent: bool,
    /// An earlier call may have been executed.
    pub may_have_run: bool,
    /// An origin's own error response, passed on if no attempt does better.
    pub origin_failure: Option<Reply>,
    /// Origins that failed this request.
    pub failed_origins: Vec<SocketAddr>,
}

/// What ties a cacheable request to its key.
#[derive(Default)]
pub struct CacheUse {
    /// Set if the response may be served from a cache.
    pub key: Option<CacheKey>,
    /// Set if the cache owner made this request its refresher.
    pub fill_grant: Option<FillGrant>,
    /// The last fetch of a response that others may be served.
    pub fetch: Option<Fetch>,
    /// The response if no cached response of any age is available either.
    pub pending_rejection: Option<Rejection>,
}

/// A cache owner's token for the refresher of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FillGrant {
    /// The cache owner that issued the token.
    pub owner: SocketAddr,
    /// The token for the put.
    pub token: FillToken,
}

/// Calls for one request, the first included, if its route sets no limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// What is known of a shared response before it arrives.
#[derive(Debug, Clone, Copy)]
pub struct Fetch {
    /// When its fetch started at the latest.
    pub started_at: Duration,
    /// The purge version up to which it is clear of all purges.
    pub purge_version: u64,
}

impl Exchange {
    fn new(now: Duration) -> Exchange {
        Exchange {
            id: 0,
            peer: None,
            sends: 0,
            sent_at: now,
            resend_at: now,
            last_contact: now,
        }
    }
}

impl ActiveRequest {
    /// A request received now that has not been acted on yet.
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
            cache: CacheUse::default(),
            request,
        }
    }

    /// The time left before the deadline.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Whether its response may be shared with other clients.
    pub fn is_cacheable(&self) -> bool {
        self.request.entry().kind == Kind::Cached
            && !self.request.carries_credentials()
            && self.request.method == "GET"
    }

    /// Whether a call of it to this origin is in flight.
    pub fn is_calling(&self, origin: SocketAddr) -> bool {
        matches!(&self.stage, Stage::Calling { permit, .. } if permit.origin.address == origin)
    }

    /// The ledger change of the request's stage, if it has one.
    pub fn ledger_change(&self) -> Option<Change> {
        let claim = || self.claim.clone().expect("it has an operation key");
        match &self.stage {
            Stage::AwaitingClaim => Some(Change::Claim(claim())),
            Stage::Recording { reply, .. } => Some(Change::RecordOutcome(claim(), reply.clone())),
            Stage::Releasing { .. } => Some(Change::Release(claim())),
            _ => None,
        }
    }

    /// Whether it may be called again after it was sent.
    pub fn is_idempotent(&self) -> bool {
        match self.request.entry().kind {
            Kind::Cached | Kind::Repeatable => true,
            Kind::Plain => ["GET", "HEAD"].contains(&self.request.method.as_str()),
            Kind::Keyed | Kind::Once => false,
        }
    }

    /// Calls that may be made for it, the first included.
    pub fn max_attempts(&self) -> u32 {
        self.request
            .entry()
            .attempts
            .unwrap_or(DEFAULT_MAX_ATTEMPTS)
    }

    /// Whether one more origin may be called before the deadline.
    pub fn may_attempt(&self, now: Duration) -> bool {
        self.attempts.count < self.max_attempts() && now < self.deadline
    }

    /// The outcome before anything was done for it: that of an operation that
    /// was not looked up is unknown.
    pub fn outcome_before_attempt(&self) -> RunState {
        match self.request.entry().kind {
            Kind::Keyed => RunState::Unknown,
            _ => RunState::NotRun,
        }
    }

    /// What is known of its execution now.
    pub fn outcome(&self) -> RunState {
        if self.attempts.sent {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    /// A rejection that reports the present outcome.
    pub fn reject(&self, status: u16, code: &str, text: &str) -> Rejection {
        Rejection {
            nothing_sent: !self.attempts.sent,
            ..Rejection::new(status, code, self.outcome(), text)
        }
    }

    /// The claim on the request's operation key, made by this edge.
    pub fn claim_of(request: &ClientRequest, claimant: Peer, id: u64) -> Claim {
        // Neither entry nor service: a changed configuration makes no new
        // operation of a repeat.
        let fingerprint = hash_of(&[
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

/// A hash of length-prefixed fields, so that none can run into the next.
fn hash_of(fields: &[&[u8]]) -> CacheKey {
    let mut hash = Sha256::new();
    for field in fields {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hash.finalize().into()
}
