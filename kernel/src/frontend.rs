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

/// Work for clients that a frontend has not completed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OpenWork {
    /// Number of client connections on which a request is being read, or a response is
    /// awaited or unsent.
    pub busy_connections: usize,
    /// Number of response bytes that are not written to a socket yet.
    pub unsent_bytes: usize,
    /// Time that the link needs for them; zero if its bandwidth is not known.
    pub send_backlog: Duration,
    /// Number of bytes that clients sent after their connections were shut down for
    /// sending; they were discarded.
    pub discarded_bytes: u64,
}

impl fmt::Display for OpenWork {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(
            out,
            "{} busy connections, {} unsent bytes ({} ms on the link), {} bytes discarded",
            self.busy_connections,
            self.unsent_bytes,
            self.send_backlog.as_millis(),
            self.discarded_bytes,
        )
    }
}

/// Reports the open work of a frontend, from any thread.
pub type OpenWorkProbe = Arc<dyn Fn() -> OpenWork + Send + Sync>;

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

    /// Applies the limits of a configuration that is now in force.
    fn apply_limits(&self, _routes: &RouteTable) {}

    /// Prepares for shutdown: drains the client connections; no new sessions start.
    fn prepare_shutdown(&self) {}

    /// Finishes after the state machine has shut down: no connection is accepted any
    /// longer, and each one closes after its next response, or when no response is
    /// pending.
    fn finish(&self) {}

    /// Returns what the frontend has refused to its clients.
    fn refusal_counts(&self) -> RefusalCounts {
        RefusalCounts::default()
    }

    /// Returns the probe of the open work of a frontend that was opened, if it has one.
    fn open_work_probe(&self) -> Option<OpenWorkProbe> {
        None
    }

    /// Returns true if, after `finish`, all client connections are closed.
    fn is_done(&self) -> bool;
}
