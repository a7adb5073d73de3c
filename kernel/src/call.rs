//! Calls to origins.
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
    /// The `Host`; empty for a health check.
    pub host: String,
    /// The client's headers.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
    /// The key under which it runs once.
    pub operation: Option<String>,
    /// The client's own id of the request.
    pub request_id: Option<String>,
    /// Binds the response to this one call.
    pub request: u64,
    /// The group's key for signatures.
    pub key: String,
    /// How the origin proves its identity.
    pub proof: Proof,
    /// How long it may take.
    pub timeout: Duration,
    /// Connections that this process may have with that origin.
    pub max_connections: usize,
    /// For whom it is made.
    pub purpose: CallPurpose,
}

/// For whom a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// For one client; it is idempotent, so it may be cancelled.
    Client,
    /// It may run once only: once sent, it goes on to its end.
    RunOnce,
    /// To fill the cache, for a response that only this client is known to wait
    /// for.
    CacheFill,
    /// To fill the cache, for a response that others wait for, here or at its
    /// owner.
    SharedCacheFill,
    /// A health check.
    HealthCheck,
}

/// What came of a call, after the signature was checked.
#[derive(Debug, Clone)]
pub enum CallOutcome {
    /// The origin's own response.
    Success(Reply),
    /// Nothing was sent, by our own decision: the lease is over, or the client
    /// has disconnected. It shows nothing of the origin.
    NotSent,
    /// Nothing was sent: the origin could not be reached.
    Unreachable,
    /// The origin states that it did not execute it (it is overloaded, or
    /// drains).
    NotExecuted,
    /// Another instance listens there; it did not execute it.
    WrongInstance,
    /// Sent, but no acceptable response came; why.
    Failure(String),
}
