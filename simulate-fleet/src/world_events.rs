//! Events of the simulated fleet, and pending requests of clients and operators.
use crate::prelude::*;

/// Event in the queue of the simulated fleet.
pub(crate) enum SimEvent {
    /// Periodic tick of a node.
    Tick { node: usize, run: u64 },
    /// Delivery of a message.
    Deliver {
        to: usize,
        from: Peer,
        message: Message,
    },
    /// End of the disk sync of a record.
    Synced { node: usize, run: u64, serial: u64 },
    /// Start of a call to an origin.
    CallStarts {
        node: usize,
        run: u64,
        id: u64,
        call: Box<Call>,
    },
    /// End of a call to an origin.
    CallEnds {
        node: usize,
        run: u64,
        id: u64,
        result: CallOutcome,
    },
    /// Response of an edge to a client.
    ResponseSent {
        node: usize,
        run: u64,
        id: u64,
        response: ClientResponse,
    },
    /// Arrival of a client request at an edge.
    RequestArrives { node: usize, run: u64, id: u64 },
    /// Change of a watched connection to an origin.
    ConnectionChanged {
        node: usize,
        run: u64,
        address: SocketAddr,
        open: bool,
    },
    /// Put of the origin list by the platform.
    PutOrigins,
    /// Arrival of a new client.
    ClientArrives,
    /// Retry of a client's operation.
    ClientRetry(Task),
    /// Timeout of a client request.
    ClientTimesOut { id: u64 },
    /// The node reads that the client closed its connection.
    DisconnectRead { node: usize, run: u64, id: u64 },
    /// The client closes its connection before its deadline.
    ClientDisconnects { id: u64 },
    /// Start of a fault or change.
    FaultStarts(Fault),
    /// A fault of this kind is still in effect or ends now.
    FaultOngoing(String),
    /// Periodic check of the markers at all edges.
    CheckMarkers,
    /// Nodes that were down at `since` must be ready by now.
    CheckReadiness { since: Duration },
    /// A node starts again after a graceful shutdown.
    NodeRestarts { node: usize, run: u64 },
    /// Attempt to send an operator's command.
    SendOperatorCall {
        node: usize,
        command: OperatorCommand,
        attempts: u32,
    },
    /// Attempt to send an item command, by its index.
    SendItemCommand { command: usize },
    /// Timeout of an attempt to send an item command.
    ItemCommandTimesOut { id: u64 },
}

/// Request of a client, with the state of its retries.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) mix: Mix,
    pub(crate) path: String,
    pub(crate) operation: Option<String>,
    pub(crate) zone: Option<String>,
    pub(crate) attempts: u32,
    /// Time of the first attempt: repeats end after `CLIENT_RETRY_WINDOW_MS`.
    pub(crate) first_attempt_at: Duration,
}

/// Client request without a response yet.
pub(crate) struct PendingRequest {
    pub(crate) node: usize,
    pub(crate) run: u64,
    pub(crate) task: Task,
    pub(crate) record: ClientRecord,
}

/// Command of an operator, who may send it more than once.
#[derive(Debug, Clone)]
pub(crate) struct OperatorCommand {
    pub(crate) call: OperatorCall,
    /// Identifies the change; the same in every attempt.
    pub(crate) change: Option<u64>,
    /// True if the command was settled but its response was lost.
    pub(crate) settled: bool,
    /// Time of the first attempt, in seconds.
    pub(crate) start: Option<f64>,
}

impl From<OperatorCall> for OperatorCommand {
    fn from(call: OperatorCall) -> OperatorCommand {
        OperatorCommand {
            call,
            change: None,
            settled: false,
            start: None,
        }
    }
}

/// Operator call in progress.
pub(crate) struct PendingOperatorCall {
    /// The node that received the call.
    pub(crate) node: usize,
    pub(crate) command: OperatorCommand,
    /// Time of the first attempt, in seconds.
    pub(crate) start: f64,
}

/// Kind and content of an operator's call.
#[derive(Debug, Clone)]
pub(crate) enum OperatorCall {
    Configure {
        marker: u64,
        text: String,
        expect: Option<u64>,
        race: bool,
        removed_markers: Vec<u64>,
    },
    Purge {
        prefix: String,
        version: u64,
    },
    Origins {
        list: Vec<Origin>,
        at: f64,
    },
    ReadBack {
        expect: (u64, String),
    },
    PutItem {
        item: Item,
    },
    /// Opens the ledger; without a generation, a node is asked for it first.
    OpenLedger {
        generation: Option<u64>,
    },
    /// Item command of the plan, by its index.
    ItemCommand {
        command: usize,
    },
}
