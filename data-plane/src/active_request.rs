//! One client request in progress: its stage, its deadline and what was tried for it.
use crate::prelude::*;

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
    /// When it must have been answered.
    pub deadline: Duration,
    /// The time before which a response is worth most to the client.
    pub latency_target: Duration,
    /// What the request waits for.
    pub stage: Stage,
    /// The client closed its connection: nobody waits for the response.
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

/// Connections to one origin from this edge, if its group sets no limit.
const DEFAULT_MAX_CONNECTIONS: usize = 256;
/// Calls for one request, the first included, if its route sets no limit.
const DEFAULT_MAX_ATTEMPTS: u32 = 3;
/// An attempt that can be retried may take this many times the usual duration.
const USUAL_DURATIONS_PER_ATTEMPT: u32 = 6;
/// Headers that belong to the client's connection or are set by this edge.
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

/// What is known of a shared response before it arrives.
#[derive(Debug, Clone, Copy)]
pub struct Fetch {
    /// When its fetch started at the latest.
    pub started_at: Duration,
    /// The purge version up to which it is clear of all purges.
    pub purge_version: u64,
}

/// What an active request waits for.
#[derive(Debug, Clone)]
pub enum Stage {
    /// The ledger's response to the claim.
    AwaitingClaim,
    /// The cache owner's response.
    AwaitingCachedResponse {
        /// When the stage was entered.
        since: Duration,
        /// A stale response is as good as a fresh one.
        accepts_any_age: bool,
    },
    /// Another request at this edge fetches the same key.
    Following,
    /// A permit of the admission controller.
    AwaitingPermit,
    /// The origin's response.
    Calling {
        /// The permit of the call.
        permit: Permit,
        /// When the call was sent.
        since: Duration,
    },
    /// The outcome goes to the ledger, then the response to the client.
    Recording {
        /// The origin's response, if one arrived.
        reply: Option<Arc<Reply>>,
        /// The client's response.
        response: ClientResponse,
    },
    /// The claim is released, then the client is sent the rejection.
    Releasing {
        /// The client's response.
        rejection: Rejection,
    },
}

impl Stage {
    /// Whether entering this stage sends a request to a peer.
    pub fn starts_work(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingClaim | Stage::AwaitingCachedResponse { .. } | Stage::AwaitingPermit
        )
    }

    /// Whether a request in this stage may be rejected in favour of a higher rank.
    pub fn may_be_displaced(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingPermit
                | Stage::Following
                | Stage::AwaitingCachedResponse {
                    accepts_any_age: false,
                    ..
                }
        )
    }

    /// Whether the request waits for a peer or for another request, so that no
    /// call of it is in flight and nothing remains to be recorded.
    pub fn is_waiting(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingClaim
                | Stage::AwaitingCachedResponse { .. }
                | Stage::Following
                | Stage::AwaitingPermit
        )
    }

    /// What the request waits for, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Stage::AwaitingClaim => "awaiting its claim",
            Stage::AwaitingCachedResponse {
                accepts_any_age: false,
                ..
            } => "awaiting the cache owner",
            Stage::AwaitingCachedResponse {
                accepts_any_age: true,
                ..
            } => "awaiting a cached response of any age",
            Stage::Following => "following another request",
            Stage::AwaitingPermit => "awaiting a permit",
            Stage::Calling { .. } => "awaiting its origin",
            Stage::Recording { .. } => "awaiting its record",
            Stage::Releasing { .. } => "awaiting the release of its claim",
        }
    }
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
            && !self.request.personal()
            && self.request.method == "GET"
    }

    /// Whether a call of it to this origin is in flight.
    pub fn is_calling(&self, origin: SocketAddr) -> bool {
        matches!(&self.stage, Stage::Calling { permit, .. } if permit.origin.address == origin)
    }

    /// The change that the request's stage asks of the ledger, if it does.
    pub fn ledger_change(&self) -> Option<Change> {
        let claim = || self.claim.clone().expect("it has an operation key");
        match &self.stage {
            Stage::AwaitingClaim => Some(Change::Claim(claim())),
            Stage::Recording { reply, .. } => Some(Change::Record(claim(), reply.clone())),
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

    /// The hash of route, service and URL: requests with one key share a response.
    pub fn cache_key(request: &ClientRequest) -> CacheKey {
        hash_of(&[
            request.entry().name.as_bytes(),
            request.entry_host().as_bytes(),
            request.service.as_bytes(),
            request.url.as_bytes(),
        ])
    }

    /// The name under which purges match this request's response.
    pub fn cache_entry_name<'a>(&'a self, reply: &'a Reply) -> CacheEntryName<'a> {
        CacheEntryName {
            entry: &self.request.entry().name,
            host: self.request.entry_host(),
            url: &self.request.url,
            tags: Some(&reply.tags),
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

    /// The timeout of the next call. A call that may be retried leaves time for
    /// a retry: an unresponsive origin costs half of the remaining time, unless
    /// calls usually take so long that several of `usual_duration` need more, of
    /// which three quarters are the limit.
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

    /// The call to an origin. A response to be shared is fetched without any
    /// header of the client, so that it is the same for all clients.
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
            operation: self
                .claim
                .as_ref()
                .and(request.operation_key().map(Into::into)),
            request_id: request.request_id.clone(),
            request: id,
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

/// Whether a client's header goes on to the origin.
fn is_forwarded(lowercase_name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&lowercase_name)
        && !lowercase_name.starts_with("otterslip-")
        && lowercase_name != "x-forwarded-host"
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

/// Whether a response may be served to other clients.
pub(crate) fn is_shareable(reply: &Reply) -> bool {
    let mut cache_control = reply
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("cache-control"));
    let forbids_sharing = |(_, value): &(String, String)| {
        let value = value.to_ascii_lowercase();
        ["private", "no-store", "no-cache"]
            .iter()
            .any(|directive| value.contains(directive))
    };
    !cache_control.any(forbids_sharing) && header(&reply.headers, "set-cookie").is_none()
}

/// Whether responses of this status are cached: transient errors are not.
pub(crate) fn is_cacheable_status(status: u16) -> bool {
    [200, 203, 204, 301, 308, 404, 410].contains(&status)
}
