//! The interface of a node's logic: a state machine without I/O.
use crate::prelude::*;

/// A state machine without I/O. It is given the time (a span since some start,
/// monotonic) with each input and returns what shall be done. Tests and the
/// simulator drive the same code as the processes.
pub trait StateMachine: Send {
    /// Handles one input at the time `now`.
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output>;
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived from another process.
    MessageReceived {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// All that was stored up to this serial is synced.
    Stored {
        /// The serial of the last synced record.
        serial: u64,
    },
    /// A write or sync failed. Nothing is stored until a complete snapshot is.
    StoreFailed,
    /// A client's request was read.
    ClientRequest {
        /// Names the request until its response.
        id: u64,
        /// The request.
        request: ClientRequest,
    },
    /// The client of this request has closed its connection: nobody waits for
    /// the response any more.
    ClientDisconnected {
        /// The id of the request.
        id: u64,
    },
    /// A call to an origin has ended.
    CallCompleted {
        /// The id of the call.
        id: u64,
        /// What came of it.
        result: CallOutcome,
    },
    /// An operator's request.
    Operator {
        /// Names the request until its response.
        id: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A watched connection to an origin is open, or has ended: then the
    /// process that listens there may be another.
    ConnectionChanged {
        /// The origin.
        address: SocketAddr,
        /// Whether it is open.
        open: bool,
    },
    /// Shut down soon: hand over, answer what was read, leave.
    ShutdownRequested,
}

/// What a node wants done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append to the log; `Input::Stored` follows once it is synced.
    Store {
        /// Names the record.
        serial: u64,
        /// The record.
        record: Vec<u8>,
    },
    /// Store everything up to now, in place of all earlier records.
    StoreSnapshot {
        /// Names the record.
        serial: u64,
        /// The record.
        record: Vec<u8>,
    },
    /// Respond to a client.
    ClientResponse {
        /// The id of the request.
        id: u64,
        /// The response.
        response: ClientResponse,
    },
    /// Call an origin; `Input::CallCompleted` follows.
    Call {
        /// Names the call.
        id: u64,
        /// The call.
        call: Call,
    },
    /// Respond to an operator.
    OperatorResponse {
        /// The id of the request.
        id: u64,
        /// The response.
        response: OperatorResponse,
    },
    /// Open a connection to this origin; `Input::ConnectionChanged` says when
    /// it is open and when it ends.
    WatchConnection {
        /// The origin.
        address: SocketAddr,
    },
    /// Write a numbered event to the log.
    Log {
        /// The event.
        event: Event,
        /// What happened.
        text: String,
    },
    /// What threads beside the state machine may read.
    Publish(PublishedState),
    /// Nobody waits for this call any more: its connection is closed.
    CancelCall {
        /// The id of the call.
        id: u64,
    },
    /// The call in flight gets this much time from now.
    ExtendCall {
        /// The id of the call.
        id: u64,
        /// The time.
        limit: Duration,
    },
    /// Nothing is left to do after `Input::ShutdownRequested`.
    ShutdownComplete,
}

/// What threads beside the state machine may read.
#[derive(Debug, Clone)]
pub enum PublishedState {
    /// The lease: nothing may be served later than `until`.
    Fence {
        /// When the lease ends.
        until: Duration,
        /// Whether clients may come.
        ready: bool,
    },
    /// The configuration to route requests by.
    Configuration(Arc<RouteTable>),
    /// A configuration in force, for the history.
    CommittedConfiguration {
        /// Its version.
        version: u64,
        /// The document.
        text: Arc<str>,
    },
    /// The assignments owned now, by name.
    Assignments(Vec<String>),
    /// Small messages are so late on this machine's link.
    LinkDelay(Duration),
}

/// What operators ask of a control node.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// To change or read a partition.
    Change {
        /// The partition.
        partition: u8,
        /// The change.
        change: Change,
    },
    /// To show what the node knows of the fleet.
    State,
}

/// What operators get.
#[derive(Debug, Clone)]
pub enum OperatorResponse {
    /// What became of a change.
    ChangeOutcome(ChangeOutcome),
    /// What the node knows of the fleet.
    State(serde_json::Value),
}
