//! The stages of a request.
use crate::prelude::*;

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
