//! Events of the simulated fleet, and what clients and operators wait for.
use crate::prelude::*;

pub(crate) enum SimEvent {
    Tick {
        node: usize,
        run: u64,
    },
    Deliver {
        to: usize,
        from: Peer,
        message: Message,
    },
    Synced {
        node: usize,
        run: u64,
        serial: u64,
    },
    CallStarts {
        node: usize,
        run: u64,
        id: u64,
        call: Box<Call>,
    },
    CallEnds {
        node: usize,
        run: u64,
        id: u64,
        result: CallOutcome,
    },
    ResponseSent {
        node: usize,
        run: u64,
        id: u64,
        response: ClientResponse,
    },
    RequestArrives {
        node: usize,
        run: u64,
        id: u64,
    },
    ConnectionChanged {
        node: usize,
        run: u64,
        address: SocketAddr,
        open: bool,
    },
    PutOrigins,
    ClientArrives,
    ClientRetry(Task),
    ClientTimesOut {
        id: u64,
    },
    /// The node reads that the caller has closed its connection.
    DisconnectRead {
        node: usize,
        run: u64,
        id: u64,
    },
    /// The caller closes its connection, though its deadline is not over.
    ClientDisconnects {
        id: u64,
    },
    FaultStarts(Fault),
    /// A fault of this kind still lasts, or ends now.
    FaultOngoing(String),
    CheckMarkers,
    /// Who was away at `since` must be ready by now.
    CheckReadiness {
        since: Duration,
    },
    /// A node that ended after a warning is started again.
    NodeRestarts {
        node: usize,
        run: u64,
    },
    SendOperatorCall {
        node: usize,
        command: OperatorCommand,
        attempts: u32,
    },
    SendItemCommand {
        command: usize,
    },
    ItemCommandTimesOut {
        id: u64,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) mix: Mix,
    pub(crate) path: String,
    pub(crate) operation: Option<String>,
    pub(crate) zone: Option<String>,
    pub(crate) attempts: u32,
    /// When the first try began: repeats end with `CLIENT_RETRY_DELAY`.
    pub(crate) first_attempt_at: Duration,
}

pub(crate) struct PendingRequest {
    pub(crate) node: usize,
    pub(crate) run: u64,
    pub(crate) task: Task,
    pub(crate) record: CallerRecord,
}

/// An order of an operator, who may send it more than once.
#[derive(Debug, Clone)]
pub(crate) struct OperatorCommand {
    pub(crate) call: OperatorCall,
    /// Names the order; the same each time it is sent.
    pub(crate) change: Option<u64>,
    /// It was settled, but the answer was lost.
    pub(crate) settled: bool,
    /// When it was first sent.
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

/// An operator's call under way.
pub(crate) struct PendingOperatorCall {
    /// The node that was asked.
    pub(crate) node: usize,
    pub(crate) command: OperatorCommand,
    /// When.
    pub(crate) start: f64,
}

/// What an operator waits for.
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
    /// The generation is asked for first.
    OpenLedger {
        generation: Option<u64>,
    },
    /// The place of the order among those of the plan.
    ItemCommand {
        command: usize,
    },
}
