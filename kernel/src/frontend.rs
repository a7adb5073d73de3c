//! The frontend of a process: where it meets clients, operators and origins.
use crate::prelude::*;

/// Why a frontend cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum FrontendError {
    /// A setting is missing that it needs.
    #[error("{0} is not set")]
    MissingSetting(&'static str),
    /// An address is taken or is not this machine's.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system or the HTTP library said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The thread that serves could not be started.
    #[error(transparent)]
    Start(Box<dyn std::error::Error + Send + Sync>),
}

/// Where a process meets callers, operators, the platform and origins: it puts
/// inputs to its part through the port and carries the state machine's calls out.
pub trait Frontend: Send {
    /// Listens and serves until the port says that the process ends.
    fn open(&mut self, port: &Arc<Port>) -> Result<(), FrontendError>;

    /// Makes a call; `Input::CallCompleted` follows.
    fn call(&self, id: u64, call: Call);

    /// Ends the call, if it is under way; no `Input::CallCompleted` follows.
    fn cancel_call(&self, _id: u64) {}

    /// The call under way gets this much time from now.
    fn extend_call(&self, _id: u64, _limit: Duration) {}

    /// Small messages are so late on this machine's link.
    fn link_delay(&self, _delay: Duration) {}

    /// The process ends soon: no new sessions are begun.
    fn prepare_shutdown(&self) {}

    /// The state machine has ended: nobody is accepted any more, and each
    /// connection ends with its next response, or once none is under way.
    fn finish(&self) {}

    /// After `finish`: all connections of clients have ended.
    fn is_done(&self) -> bool;
}
