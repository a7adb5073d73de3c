//! Permit refusals and call results of admission control.
use crate::prelude::*;

/// The reason why no permit was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitRefusalReason {
    /// The requested calls exceed the rate or concurrency of the origins.
    Overloaded,
    /// The retry budget is spent.
    RetryBudgetExhausted,
    /// No origin can be called at present.
    NoHealthyOrigin,
    /// The receiver does not own this admission controller.
    NotOwner,
}

/// The result of a call, from which the origin's health is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// A complete response with a valid signature.
    Success,
    /// No response, or an invalid one.
    Failure,
    /// Nothing was sent: the connection was refused.
    Unreachable,
    /// The origin states that it did not execute the request.
    NotExecuted,
    /// Another instance listens at that address.
    WrongInstance,
    /// The permit was not used.
    Unused,
    /// The call was sent, and cancelled by the edge since no client waited any
    /// longer. It does not affect the origin's health.
    Cancelled,
}
