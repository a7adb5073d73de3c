//! Calls to origins and their outcomes.
use crate::prelude::*;

/// A call to an origin.
#[derive(Debug, Clone)]
pub struct Call {
    /// The origin.
    pub origin: Origin,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub url: String,
    /// The value of the `Host` header; empty for a health check.
    pub host: String,
    /// The client's headers.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<HeldBytes>,
    /// The operation key under which the request is executed at most once.
    pub operation_key: Option<String>,
    /// The client's own id of the request.
    pub request_id: Option<String>,
    /// Request id at the edge, which binds the response to this call.
    pub request_id_at_edge: u64,
    /// The group's public key, which verifies the signature of the response.
    pub key: String,
    /// Method by which the origin proves its identity.
    pub proof: Proof,
    /// Timeout of the call.
    pub timeout: Duration,
    /// Maximum number of connections of this process to the origin.
    pub max_connections: usize,
    /// Purpose of the call.
    pub purpose: CallPurpose,
}

/// The purpose of a call, which decides whether it may be cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// Serves one client. The request is idempotent, so it may be cancelled.
    Client,
    /// Executes a request at most once: after it was sent, it is not cancelled.
    RunOnce,
    /// Cache fill for which only this client is known to wait.
    CacheFill,
    /// Cache fill for which other requests wait too, at this edge or at the cache
    /// owner.
    SharedCacheFill,
    /// Health check.
    HealthCheck,
}

/// The outcome of a call, after the signature was verified.
#[derive(Debug, Clone)]
pub enum CallOutcome {
    /// The origin's own response.
    Success(Reply),
    /// This process did not send the request: its lease has ended, or the client
    /// has disconnected. The origin's health is not affected.
    NotSent,
    /// Nothing was sent: the connection to the origin failed.
    Unreachable,
    /// The origin states that it did not execute the request (it is overloaded or
    /// draining).
    NotExecuted,
    /// Another instance listens at the address; it did not execute the request.
    WrongInstance,
    /// The request was sent, but no valid response arrived; holds the reason.
    Failure(String),
}
