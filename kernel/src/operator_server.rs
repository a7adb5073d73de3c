//! The frontend of a process that serves only operators and the platform.
use crate::prelude::*;
use http_line::{EventLoopHandle, ExchangeOutcome, Handler, Limits, Request, Resources, Response};
use std::sync::OnceLock;

/// Maximum size of the body of an operator's request, in bytes.
pub const MAX_OPERATOR_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Number of threads that serve requests, and so of requests served at the same time.
const WORKERS: usize = 16;
/// Maximum number of requests that wait for a thread; others are refused.
const MAX_WAITING_REQUESTS: usize = 64;
/// The retry delay reported to an operator whose request is refused.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Limits of operators' connections.
const LIMITS: Limits = Limits {
    max_head_bytes: 32 * 1024,
    max_body_bytes: MAX_OPERATOR_BODY_BYTES,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    max_pipelined_requests: 4,
    max_response_body_bytes: 0,
};

/// A frontend that serves operators and the platform with the program's plug-ins. It makes
/// no calls to origins.
pub struct OperatorServer {
    /// Program whose plug-ins are served.
    program: &'static str,
    /// The event loop, once the frontend is open.
    event_loop: Option<EventLoopHandle>,
}

impl OperatorServer {
    /// Creates a server that is not open yet.
    pub fn new(program: &'static str) -> OperatorServer {
        OperatorServer {
            program,
            event_loop: None,
        }
    }
}

impl Frontend for OperatorServer {
    fn open(&mut self, port: &Arc<Port>) -> Result<(), FrontendError> {
        let address = port
            .startup
            .http
            .ok_or(FrontendError::MissingSetting("http address"))?;
        let listener =
            EventLoopHandle::listen(address).map_err(|source| FrontendError::Listen {
                address,
                source: source.into(),
            })?;
        let (requests, waiting) = flume::bounded(MAX_WAITING_REQUESTS);
        let handler = Arc::new(OperatorHandler {
            requests,
            event_loop: OnceLock::new(),
        });
        let resources = Resources {
            send_rate: None,
            byte_budget: Arc::new(resource_limits::operator_byte_budget(&port.startup)),
            max_client_connections: resource_limits::max_operator_connections(&port.startup),
            max_call_connections: 0,
        };
        let event_loop = EventLoopHandle::open(vec![listener], LIMITS, resources, handler.clone())
            .map_err(|error| FrontendError::Start(error.into()))?;
        let _ = handler.event_loop.set(event_loop.clone());
        start_workers(self.program, port, &waiting, &event_loop);
        self.event_loop = Some(event_loop);
        Ok(())
    }

    fn call(&self, _: u64, _: Call) {}

    fn finish(&self) {
        if let Some(event_loop) = &self.event_loop {
            event_loop.finish();
        }
    }

    fn refusal_counts(&self) -> RefusalCounts {
        self.event_loop
            .as_ref()
            .map_or(RefusalCounts::default(), refusal_counts)
    }

    fn is_done(&self) -> bool {
        self.event_loop
            .as_ref()
            .is_none_or(EventLoopHandle::is_finished)
    }
}

/// Returns what an event loop has refused to its clients.
pub fn refusal_counts(event_loop: &EventLoopHandle) -> RefusalCounts {
    let usage = event_loop.usage();
    RefusalCounts {
        connections: usage.refused_connections,
        requests: usage.refused_requests,
        held_bytes: usage.held_bytes,
    }
}

/// A request that waits for a thread.
struct WaitingRequest {
    id: u64,
    request: Request,
}

/// Starts the threads that serve requests until the process ends.
fn start_workers(
    program: &str,
    port: &Arc<Port>,
    waiting: &Receiver<WaitingRequest>,
    event_loop: &EventLoopHandle,
) {
    for _ in 0..WORKERS {
        let plug_ins = PlugIn::of(program);
        let (port, waiting, event_loop) = (port.clone(), waiting.clone(), event_loop.clone());
        thread::spawn(move || {
            for WaitingRequest { id, request } in waiting {
                let response = serve_http(&plug_ins, &port, request);
                event_loop.respond(id, response);
            }
        });
    }
}

/// Passes requests to the threads that serve them.
struct OperatorHandler {
    requests: Sender<WaitingRequest>,
    event_loop: OnceLock<EventLoopHandle>,
}

impl Handler for OperatorHandler {
    fn on_request(&self, id: u64, _: usize, request: Request) {
        if self
            .requests
            .try_send(WaitingRequest { id, request })
            .is_err()
        {
            let event_loop = self.event_loop.wait();
            event_loop.record_refusal();
            event_loop.respond(
                id,
                self.rejection_response(503, "too many requests are waiting"),
            );
        }
    }

    fn on_response(&self, _: u64, _: ExchangeOutcome) {}

    fn on_disconnect(&self, _: u64) {}

    fn rejection_response(&self, status: u16, reason: &str) -> Response {
        let code = match status {
            408 => "request_late",
            413 => "body_unreadable",
            431 => "head_too_large",
            503 => "busy",
            _ => "request_malformed",
        };
        let mut rejection = Rejection::not_run(status, code, reason);
        if status == 503 {
            rejection = rejection.with_retry_after(BUSY_RETRY_AFTER);
        }
        Response {
            close: true,
            ..into_http_response(rejection_response(&rejection))
        }
    }
}
