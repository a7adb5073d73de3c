//! The frontend of a process: where it meets clients, operators and origins.
use crate::prelude::*;

/// Where a process meets callers, operators, the platform and origins: it puts
/// inputs to its part through the port and carries the state machine's calls out.
pub trait Frontend: Send {
    /// Listens and serves until the port says that the process ends.
    fn open(&mut self, port: &Arc<Port>) -> Result<()>;

    /// Makes a call; `Input::CallCompleted` follows.
    fn call(&self, id: u64, call: Call);

    /// Ends the call, if it is under way; no `Input::CallCompleted` follows.
    fn cancel_call(&self, _id: u64) {}

    /// The call under way gets this much time from now.
    fn extend_call(&self, _id: u64, _limit: Duration) {}

    /// Small messages are so late on this machine's link.
    fn link_delay(&self, _delay: Duration) {}

    /// The process ends soon: no new sessions are begun.
    fn warn(&self) {}

    /// The part has ended: nothing more is read.
    fn stop(&self) {}

    /// After the end: all that was read is answered.
    fn done(&self) -> bool;
}
