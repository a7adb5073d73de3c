//! The interface of a node's logic: a state machine without I/O, its inputs and outputs.
use crate::prelude::*;

/// A state machine without I/O. It receives the time (monotonic, since an arbitrary
/// start) with each input and returns the outputs to perform. Tests and the simulator
/// drive the same code as the processes.
pub trait StateMachine: Send {
    /// Handles one input at the time `now`.
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output>;
}

/// An input of a node's state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// The tick interval has passed.
    Tick,
    /// A message arrived from another process.
    MessageReceived {
        /// The sender.
        from: Peer,
        /// The message.
        message: Message,
    },
    /// All records up to this serial are synced.
    Stored {
        /// The serial of the last synced record.
        serial: u64,
    },
    /// A write or sync failed. Records are dropped until the next complete snapshot.
    StoreFailed,
    /// A client's request was read completely.
    ClientRequest {
        /// Identifies the request until its response.
        id: u64,
        /// The request.
        request: ClientRequest,
    },
    /// The client of this request has closed its connection and no longer waits
    /// for the response.
    ClientDisconnected {
        /// The id of the request.
        id: u64,
    },
    /// A call to an origin has ended.
    CallCompleted {
        /// The id of the call.
        id: u64,
        /// The outcome of the call.
        result: CallOutcome,
    },
    /// An operator's request was read.
    Operator {
        /// Identifies the request until its response.
        id: u64,
        /// The request.
        request: OperatorRequest,
    },
    /// A watched connection to an origin was opened or closed. After it was
    /// closed, another process may listen at that address.
    ConnectionChanged {
        /// The origin.
        address: SocketAddr,
        /// True if it is open.
        open: bool,
    },
    /// The process is to shut down: the node hands over, responds to the requests
    /// that were read, and leaves the fleet.
    ShutdownRequested,
}

/// An output of a node's state machine, performed by the host.
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
        /// Identifies the record.
        serial: u64,
        /// The record.
        record: Vec<u8>,
    },
    /// Store a snapshot of the complete state, which replaces all earlier records.
    StoreSnapshot {
        /// Identifies the record.
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
        /// Identifies the call.
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
    /// Open a connection to this origin; `Input::ConnectionChanged` reports when it
    /// opens and when it closes.
    WatchConnection {
        /// The origin.
        address: SocketAddr,
    },
    /// Write a numbered event to the log.
    Log {
        /// The event.
        event: Event,
        /// Description of the event.
        text: String,
    },
    /// Publish state to other threads of the process.
    Publish(PublishedState),
    /// Cancel a call that no client waits for any longer, and close its connection.
    CancelCall {
        /// The id of the call.
        id: u64,
    },
    /// Extend the timeout of a call in flight.
    ExtendCall {
        /// The id of the call.
        id: u64,
        /// The new timeout, counted from now.
        limit: Duration,
    },
    /// Report that the shutdown started by `Input::ShutdownRequested` is complete.
    ShutdownComplete,
}

/// State of a node that other threads of the process may read.
#[derive(Debug, Clone)]
pub enum PublishedState {
    /// The lease: no response may be served after `until`.
    Fence {
        /// End of the lease.
        until: Duration,
        /// True if the process is ready for clients.
        ready: bool,
    },
    /// The configuration by which requests are routed.
    Configuration(Arc<RouteTable>),
    /// A committed configuration, for the history.
    CommittedConfiguration {
        /// Its version.
        version: u64,
        /// The document.
        text: Arc<str>,
    },
    /// The assignments owned now, by name.
    Assignments(Vec<String>),
    /// The measured delay of small messages on this machine's link.
    LinkDelay(Duration),
}

/// A request of an operator to a control node.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Change or read a partition.
    Change {
        /// The partition.
        partition: u8,
        /// The change.
        change: Change,
    },
    /// Show the node's view of the fleet.
    State,
}

/// The response to an operator's request.
#[derive(Debug, Clone)]
pub enum OperatorResponse {
    /// The outcome of a change.
    ChangeOutcome(ChangeOutcome),
    /// The node's view of the fleet.
    State(serde_json::Value),
}
