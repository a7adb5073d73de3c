//! Requests of clients, and what they end with.
use crate::prelude::*;

/// A caller's request, read in full.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    /// The HTTP method.
    pub method: String,
    /// The `Host` of the request.
    pub host: String,
    /// Path and query.
    pub url: String,
    /// Names and values in order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
    /// The client's key, or its address.
    pub caller: String,
    /// The configuration that this request goes by until its end.
    pub routes: Arc<RouteTable>,
    /// Index of the matched entry in `routes`.
    pub entry: usize,
    /// The key under which it runs once, if it came with one.
    pub operation: Option<String>,
    /// How long the client waits, if it said so.
    pub timeout: Option<Duration>,
    /// The client's own id of the request, for the origin to give back.
    pub request_id: Option<String>,
    /// The service it goes to.
    pub service: String,
}

impl ClientRequest {
    /// The entry that the request matched.
    pub fn entry(&self) -> &Entry {
        &self.routes.document.entries[self.entry]
    }

    /// The host that the entry is for; empty if it is for any: what is cached
    /// or run once is then the same under every name.
    pub fn entry_host(&self) -> &str {
        self.entry().host.as_deref().unwrap_or_default()
    }

    /// The group of origins that it goes to.
    pub fn group(&self) -> &Group {
        self.routes
            .document
            .group(&self.service)
            .expect("checked on reading")
    }

    /// The key under which it runs once.
    pub fn operation_key(&self) -> Option<&str> {
        self.operation.as_deref()
    }

    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Whether it carries credentials: then its response belongs to one client
    /// and is not shared.
    pub fn carries_credentials(&self) -> bool {
        self.header("authorization").is_some() || self.header("cookie").is_some()
    }
}

/// The value of a header, by its name in any case.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

/// What a request ends with.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientResponse {
    /// A response of the origin.
    Reply {
        /// The response.
        reply: Reply,
        /// Since its fetch, if it is shared with others.
        age: Option<Duration>,
    },
    /// The product's own error.
    Rejection(Rejection),
}

impl ClientResponse {
    /// A response that others are served too, at most so old.
    pub fn cached(reply: Reply, age: Duration) -> ClientResponse {
        ClientResponse::Reply {
            reply,
            age: Some(age),
        }
    }
}

/// The one shape of errors towards clients.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rejection {
    /// The HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// A stable word that names the error.
    pub code: String,
    /// Whether the request may have been executed.
    pub outcome: RunState,
    /// Nothing was sent for this very request and nothing will be, whatever
    /// became of others with its key.
    #[serde(skip)]
    pub nothing_sent: bool,
    /// A sentence for people.
    pub text: String,
    /// Written in whole seconds, rounded up: no one comes back too early.
    #[serde(
        skip_serializing_if = "Option::is_none",
        serialize_with = "whole_seconds",
        default
    )]
    /// When to retry. Written in whole seconds, rounded up: no one comes back
    /// too early.
    pub retry_after_s: Option<f64>,
}

fn whole_seconds<S: serde::Serializer>(span: &Option<f64>, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_some(&span.map(|span| span.ceil().max(1.0) as u64))
}

/// A node that lost its lease mostly has it back, or another one serves.
const FENCED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Others are there already when a node ends by plan.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Whether a request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Nothing was sent and nothing can be.
    NotRun,
    /// It may have been sent.
    Unknown,
}

impl Rejection {
    /// An error that may be retried after a second if its status invites to.
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

    /// An error of a request that was not executed.
    pub fn not_run(status: u16, code: &str, text: &str) -> Rejection {
        Rejection::new(status, code, RunState::NotRun, text)
    }

    /// An error of a request that may have been executed.
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
        refusal
            .with_nothing_sent()
            .with_retry_after(FENCED_RETRY_AFTER)
    }

    /// From a process that shuts down: another node serves at once.
    pub fn ending(outcome: RunState) -> Rejection {
        let why = "this node ends; another serves";
        let refusal = Rejection::new(503, "ending", outcome, why);
        refusal
            .with_nothing_sent()
            .with_retry_after(SHUTDOWN_RETRY_AFTER)
    }

    /// When to retry; each protocol adapter rounds up, so no one comes too
    /// early.
    pub fn with_retry_after(mut self, after: Duration) -> Rejection {
        self.retry_after_s = Some(after.as_secs_f64());
        self
    }
}
