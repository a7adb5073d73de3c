//! The stages that a request passes through.
use crate::prelude::*;

/// The stage of an active request, named after the event that it waits for.
#[derive(Debug, Clone)]
pub enum Stage {
    /// Waits for the ledger's response to the claim.
    AwaitingClaim,
    /// Waits for the cache owner's response.
    AwaitingCachedResponse {
        /// The time at which the stage was entered.
        entered_at: Duration,
        /// Set if a stale response is as acceptable as a fresh one.
        accepts_any_age: bool,
    },
    /// Coalesced: waits for another request at this edge that fetches the same key.
    Following,
    /// Waits for a permit from the admission controller.
    AwaitingPermit,
    /// Waits for the origin's response.
    Calling {
        /// The permit under which the call was sent.
        permit: Permit,
        /// The time at which the call was sent.
        sent_at: Duration,
    },
    /// Records the outcome in the ledger, then sends the client its response.
    Recording {
        /// The origin's response, if one arrived.
        reply: Option<Arc<Reply>>,
        /// The client's response.
        response: ClientResponse,
    },
    /// Releases the claim, then sends the client the rejection.
    Releasing {
        /// The rejection for the client.
        rejection: Rejection,
    },
}

impl Stage {
    /// Returns true if entering this stage sends a request to a peer.
    pub fn starts_work(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingClaim | Stage::AwaitingCachedResponse { .. } | Stage::AwaitingPermit
        )
    }

    /// Returns true if a request in this stage may be rejected in favour of one
    /// with a higher rank.
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

    /// Returns true if the request waits for a peer or for another request: it has
    /// no call in flight and no outcome to record.
    pub fn is_waiting(&self) -> bool {
        matches!(
            self,
            Stage::AwaitingClaim
                | Stage::AwaitingCachedResponse { .. }
                | Stage::Following
                | Stage::AwaitingPermit
        )
    }

    /// Returns a description of the stage for the log.
    pub fn description(&self) -> &'static str {
        match self {
            Stage::AwaitingClaim => "claiming its operation key",
            Stage::AwaitingCachedResponse {
                accepts_any_age: false,
                ..
            } => "awaiting the cache owner",
            Stage::AwaitingCachedResponse {
                accepts_any_age: true,
                ..
            } => "awaiting a cached response of any age",
            Stage::Following => "coalesced with another request",
            Stage::AwaitingPermit => "awaiting a permit",
            Stage::Calling { .. } => "awaiting the origin's response",
            Stage::Recording { .. } => "recording its outcome",
            Stage::Releasing { .. } => "releasing its claim",
        }
    }
}
