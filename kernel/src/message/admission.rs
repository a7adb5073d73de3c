//! What admission control says of permits and calls.
use crate::prelude::*;

/// Why no permit was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitRefusalReason {
    /// More is requested than the origins may be called.
    Overloaded,
    /// The retry budget is spent.
    RetryBudgetExhausted,
    /// No origin can be called now.
    NoHealthyOrigin,
    /// The receiver does not own this admission controller.
    NotOwner,
}

/// What the end of a call shows of its origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// A complete response with a valid signature.
    Success,
    /// No response, or one that is not acceptable.
    Failure,
    /// Nothing was sent: the connection was refused.
    Unreachable,
    /// The origin states that it did not execute the request.
    NotExecuted,
    /// Another instance listens at that address.
    WrongInstance,
    /// The permit was not used.
    Unused,
    /// Sent, and cancelled by the edge since nobody waited any more. It shows
    /// nothing of the origin.
    Cancelled,
}
