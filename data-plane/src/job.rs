use crate::prelude::*;

/// A request being run. Invariants:
/// - `request.image` is the one configuration this request ever sees.
/// - `sent` is set before a call may reach an origin; a keyed request is never
///   called again after it, and "not run" is never said after it.
/// - A keyed request calls only while its claim is held.
pub struct Job {
    pub request: ClientRequest,
    pub began: Duration,
    pub deadline: Duration,
    /// Answered by then, it is worth most.
    pub aim: Duration,
    pub stage: Stage,
    /// The id of the question or call whose answer the stage waits for.
    pub question: u64,
    /// The admission controller or cache owner that holds the question, unless it has answered.
    pub asked_of: Option<SocketAddr>,
    /// Its caller closed the connection: nobody waits for the answer.
    pub caller_left: bool,
    /// When the message of this stage is said again.
    pub again: Duration,
    pub round: usize,
    pub calls: u32,
    pub sent: bool,
    /// A call of it may have been run.
    pub ran: bool,
    /// An origin's own failure, to be passed on if nothing better comes.
    pub failure: Option<Reply>,
    /// When the message of this stage was last said.
    pub asked: Duration,
    /// When the admission controller or the cache owner was last heard of, or first asked.
    pub heard: Duration,
    /// Origins that failed it.
    pub failed: Vec<SocketAddr>,
    pub claim: Option<Claim>,
    pub key: Option<CacheKey>,
    pub token: Option<(SocketAddr, FillToken)>,
    /// The fetch of an answer that others may be served, begun last.
    pub fetch: Option<Fetch>,
    /// What it ends with if a spare copy is not to be had either.
    pub refusal: Option<Rejection>,
}

/// Sessions with one origin from here, if its group does not say.
const SESSIONS: usize = 256;
/// Calls for one request, the first included.
pub const CALLS: u32 = 3;

/// What is known of a shared answer before it is there: when its fetch began
/// at the latest, and up to which purge it is clear of all.
#[derive(Debug, Clone, Copy)]
pub struct Fetch {
    pub began: Duration,
    pub purged: u64,
}

#[derive(Debug, Clone)]
pub enum Stage {
    AwaitingClaim,
    AwaitingCopy {
        since: Duration,
        spare: bool,
    },
    /// Another request here asks for the same copy.
    Following,
    AwaitingPermit,
    Calling {
        permit: Permit,
        since: Duration,
    },
    /// The outcome goes to the ledger, then the answer to the caller.
    Recording {
        reply: Option<Arc<Reply>>,
        answer: ClientResponse,
    },
    Releasing {
        refusal: Rejection,
    },
}

impl Stage {
    /// Something is to be asked or sent for the request in this stage.
    pub fn begins_work(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingClaim | Stage::AwaitingCopy { .. } | Stage::AwaitingPermit
        )
    }

    /// What the request waits for, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            Stage::AwaitingClaim => "waits for its claim",
            Stage::AwaitingCopy { spare: false, .. } => "waits for the cache owner",
            Stage::AwaitingCopy { spare: true, .. } => "waits for a spare copy",
            Stage::Following => "waits for another request",
            Stage::AwaitingPermit => "waits for a permit",
            Stage::Calling { .. } => "waits for its origin",
            Stage::Recording { .. } => "waits for its record",
            Stage::Releasing { .. } => "waits for the release of its claim",
        }
    }
}

impl Job {
    pub fn new(now: Duration, request: ClientRequest) -> Job {
        Job {
            began: now,
            deadline: now
                + request.timeout.map_or(request.entry().deadline(), |span| {
                    span.min(request.entry().deadline())
                }),
            aim: now
                + request
                    .entry()
                    .aim_ms
                    .map_or(request.entry().deadline(), Duration::from_millis),
            stage: Stage::AwaitingPermit,
            question: 0,
            asked_of: None,
            caller_left: false,
            again: now,
            round: 0,
            calls: 0,
            sent: false,
            ran: false,
            failure: None,
            asked: now,
            heard: now,
            failed: Vec::new(),
            claim: None,
            key: None,
            token: None,
            fetch: None,
            refusal: None,
            request,
        }
    }

    pub fn left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// May be called again after it was sent.
    pub fn repeatable(&self) -> bool {
        match self.request.entry().kind {
            Kind::Cached | Kind::Repeatable => true,
            Kind::Plain => ["GET", "HEAD"].contains(&self.request.method.as_str()),
            Kind::Keyed | Kind::Once => false,
        }
    }

    /// Origins it may be sent to.
    pub fn most_calls(&self) -> u32 {
        self.request.entry().attempts.unwrap_or(CALLS)
    }

    /// Whether one more origin may be asked, and time is left for it.
    pub fn has_try(&self, now: Duration) -> bool {
        self.calls < self.most_calls() && now < self.deadline
    }

    /// What can be said before anything was done for it: of an operation that
    /// was not looked up, nothing.
    pub fn untried_outcome(&self) -> RunState {
        match self.request.entry().kind {
            Kind::Keyed => RunState::Unknown,
            _ => RunState::NotRun,
        }
    }

    pub fn outcome(&self) -> RunState {
        if self.sent {
            RunState::Unknown
        } else {
            RunState::NotRun
        }
    }

    pub fn refuse(&self, status: u16, code: &str, text: &str) -> Rejection {
        Rejection {
            nothing_sent: !self.sent,
            ..Rejection::new(status, code, self.outcome(), text)
        }
    }

    /// Entry, service and URL: what tells requests apart.
    pub fn cache_key(request: &ClientRequest) -> CacheKey {
        hash_of(&[
            request.entry().name.as_bytes(),
            request.entry_host().as_bytes(),
            request.service.as_bytes(),
            request.url.as_bytes(),
        ])
    }

    pub fn copy_name<'a>(&'a self, reply: &'a Reply) -> CacheEntryName<'a> {
        CacheEntryName {
            entry: &self.request.entry().name,
            host: self.request.entry_host(),
            url: &self.request.url,
            tags: Some(&reply.tags),
        }
    }

    pub fn claim_of(request: &ClientRequest, by: Peer, id: u64) -> Claim {
        // Neither entry nor service: a changed configuration makes no new
        // operation of a repeat.
        let print = hash_of(&[
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
            fingerprint: print,
            claimant: by,
            request: id,
        }
    }

    /// What may be called again leaves time for it: a mute origin then costs
    /// half of the time, not all; but one that mostly takes `takes` is given
    /// several times that, as long as a quarter is left.
    pub fn call_limit(&self, now: Duration, takes: Duration) -> Duration {
        let left = self.left(now);
        let again = self.repeatable() && self.calls + 1 < self.most_calls();
        if again {
            (left / 2).max((takes * 6).min(left / 4 * 3))
        } else {
            left
        }
    }

    /// What goes to the origin. A shared copy is fetched without anything of
    /// the caller's own, so it is the same whoever asked.
    pub fn call(
        &self,
        now: Duration,
        id: u64,
        origin: Origin,
        takes: Duration,
        purpose: CallPurpose,
    ) -> Call {
        const OURS: [&str; 12] = [
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
        let request = &self.request;
        let goes = |name: &str| {
            !OURS.contains(&name) && !name.starts_with("otterslip-") && name != "x-forwarded-host"
        };
        let headers = request
            .headers
            .iter()
            .filter(|(name, _)| goes(&name.to_ascii_lowercase()) && self.key.is_none());
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
            timeout: self.call_limit(now, takes),
            max_connections: request
                .group()
                .sessions
                .map_or(SESSIONS, |most| most as usize),
            purpose,
        }
    }
}

/// Hash over parts that cannot run into each other.
fn hash_of(parts: &[&[u8]]) -> CacheKey {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

/// Whether an answer may be handed to others.
pub fn shareable(reply: &Reply) -> bool {
    let control = reply
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("cache-control"));
    let own = |(_, value): &(String, String)| {
        let value = value.to_ascii_lowercase();
        ["private", "no-store", "no-cache"]
            .iter()
            .any(|word| value.contains(word))
    };
    !control.clone().any(own) && header(&reply.headers, "set-cookie").is_none()
}

/// Whether a status is worth keeping: errors of the moment are not.
pub fn keepable(status: u16) -> bool {
    [200, 203, 204, 301, 308, 404, 410].contains(&status)
}
