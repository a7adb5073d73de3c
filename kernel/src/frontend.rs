//! The frontend of a process: its connections with clients, operators and origins.
use crate::prelude::*;

/// Reasons why a frontend could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum FrontendError {
    /// A required setting is missing.
    #[error("{0} is not set")]
    MissingSetting(&'static str),
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system or the HTTP library.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The server thread could not be started.
    #[error(transparent)]
    Start(Box<dyn std::error::Error + Send + Sync>),
}

/// The interface of a process to clients, operators, the platform and origins: it sends
/// their requests to the state machine through the port, and makes the state machine's
/// calls to origins.
pub trait Frontend: Send {
    /// Starts to listen and serve; serving ends when the port is ending.
    fn open(&mut self, port: &Arc<Port>) -> Result<(), FrontendError>;

    /// Makes a call to an origin; `Input::CallCompleted` follows.
    fn call(&self, id: u64, call: Call);

    /// Cancels a call in flight; no `Input::CallCompleted` follows.
    fn cancel_call(&self, _id: u64) {}

    /// Extends the timeout of a call in flight; the limit is counted from now.
    fn extend_call(&self, _id: u64, _limit: Duration) {}

    /// Reports the measured delay of small messages on this machine's link.
    fn record_link_delay(&self, _delay: Duration) {}

    /// Prepares for shutdown: drains the client connections; no new sessions start.
    fn prepare_shutdown(&self) {}

    /// Finishes after the state machine has shut down: no connection is accepted any
    /// longer, and each one closes after its next response, or when no response is
    /// pending.
    fn finish(&self) {}

    /// Returns true if, after `finish`, all client connections are closed.
    fn is_done(&self) -> bool;
}
