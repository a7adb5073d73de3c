use crate::prelude::*;

/// A state machine without I/O. It is told the time (a span since some start,
/// monotonic) with each input and says what shall be done.
pub trait StateMachine: Send {
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output>;
}

#[derive(Debug, Clone)]
pub enum Input {
    Tick,
    MessageReceived {
        from: Peer,
        message: Message,
    },
    /// All that was stored up to this serial is synced.
    Stored {
        serial: u64,
    },
    /// A write or sync failed. Nothing is stored until a whole image is.
    StoreFailed,
    ClientRequest {
        id: u64,
        request: ClientRequest,
    },
    /// The caller of this request has closed its connection: nobody waits for
    /// the answer any more.
    ClientDisconnected {
        id: u64,
    },
    CallCompleted {
        id: u64,
        result: CallOutcome,
    },
    Operator {
        id: u64,
        request: OperatorRequest,
    },
    /// An open connection to an origin stands, or has ended: then the process
    /// that listens there may be another.
    ConnectionChanged {
        address: SocketAddr,
        open: bool,
    },
    /// Stop soon: hand over, answer what was read, leave.
    ShutdownRequested,
}

#[derive(Debug, Clone)]
pub enum Output {
    Send {
        to: SocketAddr,
        message: Message,
    },
    /// Append to the log; `Stored` follows once synced.
    Store {
        serial: u64,
        record: Vec<u8>,
    },
    /// Everything up to now, in place of all earlier records.
    StoreSnapshot {
        serial: u64,
        record: Vec<u8>,
    },
    ClientResponse {
        id: u64,
        response: ClientResponse,
    },
    Call {
        id: u64,
        call: Call,
    },
    OperatorResponse {
        id: u64,
        response: OperatorResponse,
    },
    /// Open a connection to this origin and tell when it ends.
    WatchConnection {
        address: SocketAddr,
    },
    Log {
        event: Event,
        text: String,
    },
    /// What threads beside the part may read.
    Publish(PublishedState),
    /// Nobody waits for this call any more: its connection is ended.
    CancelCall {
        id: u64,
    },
    /// The call under way gets this much time from now.
    ExtendCall {
        id: u64,
        limit: Duration,
    },
    /// Nothing is left to do after a warning.
    ShutdownComplete,
}

#[derive(Debug, Clone)]
pub enum PublishedState {
    Fence {
        until: Duration,
        ready: bool,
    },
    Configuration(Arc<RouteTable>),
    /// A configuration in force, for those who keep a history.
    CommittedConfiguration {
        version: u64,
        text: Arc<str>,
    },
    /// The assignments held now, by name.
    Assignments(Vec<String>),
    /// Small messages are so late on this machine's link.
    LinkDelay(Duration),
}

/// A caller's request, read in full.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    pub method: String,
    pub host: String,
    /// Path and query.
    pub url: String,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
    pub caller: String,
    /// The image this request keeps for its life.
    pub routes: Arc<RouteTable>,
    /// Index of the matched entry in the image.
    pub entry: usize,
    /// The key under which it runs once, if it came with one.
    pub operation: Option<String>,
    /// How long the caller waits, if it said so.
    pub timeout: Option<Duration>,
    /// What the caller calls it, for the origin to give back.
    pub request_id: Option<String>,
    /// The group it goes to.
    pub service: String,
}

impl ClientRequest {
    pub fn entry(&self) -> &Entry {
        &self.routes.document.entries[self.entry]
    }

    /// The host that the entry is for; empty if it is for any: what is held or
    /// run once is then the same under every name.
    pub fn entry_host(&self) -> &str {
        self.entry().host.as_deref().unwrap_or_default()
    }

    pub fn group(&self) -> &Group {
        self.routes
            .document
            .group(&self.service)
            .expect("checked on reading")
    }

    pub fn operation_key(&self) -> Option<&str> {
        self.operation.as_deref()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Credentials make an answer somebody's own: it is not shared.
    pub fn personal(&self) -> bool {
        self.header("authorization").is_some() || self.header("cookie").is_some()
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

#[derive(Debug, Clone)]
pub struct Call {
    pub origin: Origin,
    pub method: String,
    pub url: String,
    pub host: String,
    pub headers: Vec<(String, String)>,
    pub body: Arc<Vec<u8>>,
    pub operation: Option<String>,
    pub request_id: Option<String>,
    /// Binds the answer to this one call.
    pub request: u64,
    pub key: String,
    pub proof: Proof,
    pub timeout: Duration,
    /// Sessions this process may have with that origin.
    pub max_connections: usize,
    pub purpose: CallPurpose,
}

/// For whom a call is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPurpose {
    /// For the one caller; it may be repeated, so it may be broken off.
    Caller,
    /// It may run once only: once sent, it goes on to its end.
    RunOnce,
    /// For a copy that only this caller is known to wait for.
    Copy,
    /// For a copy that others wait for, here or at its cache owner.
    SharedCopy,
    /// To see whether the origin is well.
    Probe,
}

/// What came of a call, after the signature was checked.
#[derive(Debug, Clone)]
pub enum CallOutcome {
    Success(Reply),
    /// Nothing was sent, by our own decision: the lease is over, or the caller has
    /// left. It says nothing of the origin.
    NotSent,
    /// Nothing was sent: the origin could not be reached.
    Unreachable,
    /// The origin says that it did not run it (it is full, or leaves).
    NotExecuted,
    /// Another instance listens there; it did not run it.
    WrongInstance,
    /// Sent, but no acceptable answer came; why.
    Failure(String),
}

/// What a request ends with.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientResponse {
    Reply { reply: Reply, age: Option<Duration> },
    Rejection(Rejection),
}

impl ClientResponse {
    /// A reply that others are served, too: at most so old.
    pub fn copy(reply: Reply, age: Duration) -> ClientResponse {
        ClientResponse::Reply {
            reply,
            age: Some(age),
        }
    }
}

/// The one shape of errors towards callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rejection {
    #[serde(skip)]
    pub status: u16,
    pub code: String,
    pub outcome: RunState,
    /// Nothing was sent for this very request and nothing will be, whatever
    /// became of others with its key.
    #[serde(skip)]
    pub nothing_sent: bool,
    pub text: String,
    /// Written in whole seconds, rounded up: no one comes back too early.
    #[serde(
        skip_serializing_if = "Option::is_none",
        serialize_with = "whole_seconds",
        default
    )]
    pub retry_after_s: Option<f64>,
}

fn whole_seconds<S: serde::Serializer>(span: &Option<f64>, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_some(&span.map(|span| span.ceil().max(1.0) as u64))
}

/// A node that lost its lease mostly has it back, or another one serves.
const FENCED: Duration = Duration::from_millis(300);
/// Others are there already when a node ends by plan.
const ENDING: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Nothing was sent and nothing can be.
    NotRun,
    Unknown,
}

impl Rejection {
    pub fn new(status: u16, code: &str, outcome: RunState, text: &str) -> Rejection {
        let retry_after_s = matches!(status, 409 | 429 | 503).then_some(1.0);
        Rejection {
            status,
            code: code.into(),
            outcome,
            nothing_sent: outcome == RunState::NotRun,
            text: text.into(),
            retry_after_s,
        }
    }

    pub fn not_run(status: u16, code: &str, text: &str) -> Rejection {
        Rejection::new(status, code, RunState::NotRun, text)
    }

    pub fn unknown(status: u16, code: &str, text: &str) -> Rejection {
        Rejection::new(status, code, RunState::Unknown, text)
    }

    /// The same, of a request for which nothing was sent.
    pub fn with_nothing_sent(self) -> Rejection {
        Rejection {
            nothing_sent: true,
            ..self
        }
    }

    /// From a node without its lease.
    pub fn fenced(outcome: RunState) -> Rejection {
        let refusal = Rejection::new(
            503,
            "fenced",
            outcome,
            "this node is cut off from a majority; another may serve",
        );
        refusal.with_nothing_sent().with_retry_after(FENCED)
    }

    /// The process ends: another node serves it at once.
    pub fn ending(outcome: RunState) -> Rejection {
        let why = "this node ends; another serves";
        let refusal = Rejection::new(503, "ending", outcome, why);
        refusal.with_nothing_sent().with_retry_after(ENDING)
    }

    /// When to come back; each dialect rounds up, so no one comes too early.
    pub fn with_retry_after(mut self, after: Duration) -> Rejection {
        self.retry_after_s = Some(after.as_secs_f64());
        self
    }
}

#[derive(Debug, Clone)]
pub enum OperatorRequest {
    Change { partition: u8, change: Change },
    State,
}

#[derive(Debug, Clone)]
pub enum OperatorResponse {
    ChangeOutcome(ChangeOutcome),
    State(serde_json::Value),
}
