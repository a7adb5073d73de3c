//! Handler of the requests and responses that the HTTP event loop receives.
use super::DEFAULT_LIMITS;
use crate::prelude::*;

/// Passes clients' requests and the ends of calls to the edge's state machine, and its
/// responses to the clients. An HTTP exchange is one request and its response on a
/// client's connection. Exchange ids are never reused.
pub(super) struct ConnectionHandler {
    port: Arc<Port>,
    protocol: Arc<dyn ProtocolAdapter>,
    plug_ins: Vec<&'static PlugIn>,
    /// The event loop, set once it runs.
    pub(super) event_loop: OnceLock<EventLoopHandle>,
    /// The calls in flight, by call id.
    calls: Mutex<HashMap<u64, Call>>,
    /// The ids of requests without a response, by exchange id.
    requests: Mutex<HashMap<u64, u64>>,
    /// Requests without a response whose clients have disconnected. The state machine
    /// handles the disconnect only after the inputs queued before it.
    disconnected: Mutex<HashSet<u64>>,
    /// A reference to this handler, for responses that are written later.
    weak_self: Weak<ConnectionHandler>,
    response_sizes: ResponseSizes,
    /// The time by which all responses must be sent, once a shutdown was requested.
    exit_at: OnceLock<Instant>,
    /// The limits for clients' requests that were last applied.
    bounds: Mutex<Option<Arc<Bounds>>>,
}

/// Size in bytes above which the expected response of a route is large. Requests for
/// large responses are rejected while the link is full.
const LARGE_RESPONSE_BYTES: f64 = 16.0 * 1024.0;
/// The retry delay reported to a client that is rejected because the link is full. The
/// client may retry at any edge.
const LINK_FULL_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The retry delay reported to a client for whose request no memory or connection is left.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time before the exit of the process by which all responses must be sent.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// The index of the listener for the platform's readiness checks.
const READINESS_LISTENER: usize = 1;
/// The prefix of the paths that plug-ins serve.
const PLUG_IN_PREFIX: &str = "/.otterslip/";

impl ConnectionHandler {
    pub(super) fn new(
        port: &Arc<Port>,
        protocol: &Arc<dyn ProtocolAdapter>,
        plug_ins: Vec<&'static PlugIn>,
    ) -> Arc<ConnectionHandler> {
        Arc::new_cyclic(|weak_self| ConnectionHandler {
            weak_self: weak_self.clone(),
            port: port.clone(),
            protocol: protocol.clone(),
            plug_ins,
            event_loop: OnceLock::new(),
            calls: Mutex::default(),
            requests: Mutex::default(),
            disconnected: Mutex::default(),
            response_sizes: ResponseSizes::default(),
            exit_at: OnceLock::new(),
            bounds: Mutex::default(),
        })
    }

    /// Returns true if a call may be sent now. The process may have been suspended since
    /// the state machine sent the call, and its state is valid only while the lease is.
    pub(super) fn may_send(&self, call: &Call) -> bool {
        self.port.live() && !self.is_abandoned(call)
    }

    /// Returns true if the call serves only a client that has disconnected.
    fn is_abandoned(&self, call: &Call) -> bool {
        let serves_one_client = matches!(call.purpose, CallPurpose::Client | CallPurpose::RunOnce);
        let disconnected = self.disconnected.lock().expect("no holder panics");
        serves_one_client && disconnected.contains(&call.request_id_at_edge)
    }

    pub(super) fn register_call(&self, id: u64, call: Call) {
        let mut calls = self.calls.lock().expect("no holder panics");
        calls.insert(id, call);
    }

    pub(super) fn remove_call(&self, id: u64) -> Option<Call> {
        let mut calls = self.calls.lock().expect("no holder panics");
        calls.remove(&id)
    }

    /// Passes the end of a call to the state machine.
    pub(super) fn complete_call(&self, id: u64, result: CallOutcome) {
        let _ = self.port.inputs.send(Input::CallCompleted { id, result });
    }

    fn respond(&self, exchange: u64, response: HttpResponse) {
        let response = into_response(response);
        self.event_loop.wait().respond(exchange, response);
    }

    fn reject(&self, exchange: u64, headers: &[(String, String)], rejection: Rejection) {
        let response = ClientResponse::Rejection(rejection);
        self.respond(exchange, self.protocol.client_response(headers, &response));
    }

    /// Serves a request from an operator or the platform with a plug-in.
    fn serve_plug_in(&self, exchange: u64, received: Request) {
        let response = serve_http(&self.plug_ins, &self.port, received);
        self.event_loop.wait().respond(exchange, response);
    }

    /// Applies the limits of a configuration, if they have changed.
    pub(super) fn apply_bounds(&self, routes: &RouteTable) {
        let Some(bounds) = routes.bounds.clone() else {
            return;
        };
        let mut applied = self.bounds.lock().expect("no holder panics");
        if applied.as_ref() != Some(&bounds) {
            self.event_loop.wait().set_limits(Limits {
                max_head_bytes: bounds.head_bytes as usize,
                max_body_bytes: bounds.body_bytes as usize,
                head_timeout: Duration::from_millis(bounds.head_ms),
                idle_timeout: Duration::from_millis(bounds.idle_ms),
                ..DEFAULT_LIMITS
            });
            *applied = Some(bounds);
        }
    }

    /// Rejects a request for a large response at once if the responses queued before it
    /// occupy the link for longer than its latency target, because other edges may be
    /// idle. Small responses are written before large ones, so they are not delayed by a
    /// full link.
    fn reject_if_link_is_full(&self, request: &ClientRequest) -> Option<Rejection> {
        let entry = request.entry();
        let latency_target = entry.aim_ms.map_or(entry.deadline(), Duration::from_millis);
        let is_large = self.response_sizes.expected(&entry.name) > LARGE_RESPONSE_BYTES;
        let is_full = is_large && self.event_loop.wait().send_backlog() > latency_target;
        is_full.then(|| {
            let text = "the link of this edge is full";
            Rejection::not_run(429, "link_full", text).with_retry_after(LINK_FULL_RETRY_AFTER)
        })
    }

    /// Rejects a request if no descriptor is left for its call.
    fn reject_if_overloaded(&self) -> Option<Rejection> {
        let requests = self.requests.lock().expect("no holder panics").len();
        let calls = self.calls.lock().expect("no holder panics").len();
        if requests.max(calls) < resource_limits::max_calls(&self.port.startup) {
            return None;
        }
        self.event_loop.wait().record_refusal();
        let text = "too many requests are in flight at this edge";
        let rejection = Rejection::not_run(503, "overloaded", text);
        Some(rejection.with_retry_after(OVERLOADED_RETRY_AFTER))
    }

    /// Removes and returns the request of this exchange, if it has no response yet.
    fn take_request(&self, exchange: u64) -> Option<u64> {
        let mut requests = self.requests.lock().expect("no holder panics");
        requests.remove(&exchange)
    }

    /// Filters a client's request and passes it to the state machine.
    fn handle_client_request(self: &Arc<Self>, exchange: u64, received: Request) {
        let routes = (**self.port.routes.load()).clone();
        let mut incoming = self.incoming_request(received, routes);
        if let Some(rejection) = run_filters(&mut incoming) {
            return self.reject(exchange, &incoming.headers, rejection);
        }
        let Some(request) = into_client_request(incoming) else {
            return;
        };
        let rejection = self
            .reject_if_overloaded()
            .or_else(|| self.reject_if_link_is_full(&request));
        if let Some(rejection) = rejection {
            return self.reject(exchange, &request.headers, rejection);
        }
        self.submit(exchange, request);
    }

    fn incoming_request(
        &self,
        received: Request,
        routes: Option<Arc<RouteTable>>,
    ) -> IncomingRequest {
        let headers = &received.headers;
        IncomingRequest {
            host: header(headers, "host").unwrap_or_default().to_string(),
            operation_key: self.protocol.operation_key(headers).map(Into::into),
            timeout: self.protocol.timeout(headers),
            request_id: self.protocol.request_id(headers).map(Into::into),
            method: received.method,
            url: received.target,
            headers: received.headers,
            body: Arc::new(received.body),
            is_live: self.port.live(),
            routes,
            route_index: None,
        }
    }

    /// Passes the request to the state machine. The response is written later.
    fn submit(self: &Arc<Self>, exchange: u64, request: ClientRequest) {
        let timeout = request.entry().deadline();
        let timeout = request
            .timeout
            .map_or(timeout, |client| client.min(timeout));
        let pending = PendingResponse {
            exchange,
            kind: request.entry().kind,
            deadline: Instant::now() + timeout,
            route: request.entry().name.clone(),
            headers: request.headers.clone(),
        };
        let handler = self.clone();
        let respond = move |output: Output| handler.finish_request(&pending, output);
        let request = Mutex::new(Some(request));
        let input = |id| {
            let mut requests = self.requests.lock().expect("no holder panics");
            requests.insert(exchange, id);
            let request = request.lock().expect("no holder panics").take();
            Input::ClientRequest {
                id,
                request: request.expect("made once"),
            }
        };
        self.port.start_request(&input, Box::new(respond));
    }

    /// Writes the state machine's response.
    fn finish_request(&self, pending: &PendingResponse, output: Output) {
        self.take_request(pending.exchange);
        let Output::ClientResponse { id, response } = output else {
            return;
        };
        let mut disconnected = self.disconnected.lock().expect("no holder panics");
        disconnected.remove(&id);
        drop(disconnected);
        // The process may have been suspended since the state machine responded, and a
        // cached response may be served only while the lease is valid.
        let is_cached = matches!(response, ClientResponse::Reply { age: Some(_), .. });
        let is_keyed = pending.kind == Kind::Keyed;
        let response = if is_cached && !is_keyed && !self.port.live() {
            ClientResponse::Rejection(Rejection::fenced(RunState::NotRun))
        } else {
            response
        };
        let written = self.protocol.client_response(&pending.headers, &response);
        let is_reply = matches!(response, ClientResponse::Reply { .. });
        let body_bytes = written.body.len();
        if is_reply {
            self.response_sizes.record(&pending.route, body_bytes);
        }
        let mut response = into_response(written);
        if is_reply && body_bytes as f64 > LARGE_RESPONSE_BYTES {
            response.send_limit = self.send_limit(pending);
        }
        self.event_loop.wait().respond(pending.exchange, response);
    }

    /// Returns the limit for sending a large response, if the request may be repeated: a
    /// response that the link cannot send in time would arrive too late or be truncated
    /// when the process exits, and another edge may have a free link.
    fn send_limit(&self, pending: &PendingResponse) -> Option<http_line::SendLimit> {
        let run_state = match pending.kind {
            Kind::Cached => RunState::NotRun,
            Kind::Repeatable => RunState::Unknown,
            Kind::Keyed | Kind::Plain | Kind::Once => return None,
        };
        let exit_at = self.exit_at.get().copied();
        let latest_exit_at = Instant::now() + self.port.startup.grace_period() / 2;
        let text = "the link of this edge cannot send the response in time";
        let rejection = Rejection::new(503, "link_full", run_state, text)
            .with_retry_after(LINK_FULL_RETRY_AFTER);
        let rejection = ClientResponse::Rejection(rejection);
        let otherwise = self.protocol.client_response(&pending.headers, &rejection);
        Some(http_line::SendLimit {
            deadline: exit_at.unwrap_or(latest_exit_at).min(pending.deadline),
            otherwise: Box::new(into_response(otherwise)),
        })
    }

    /// Records that the process exits within the grace period. Returns the time by which
    /// all responses must be sent.
    pub(super) fn prepare_shutdown(&self) -> Instant {
        let time_left = self.port.startup.grace_period().saturating_sub(EXIT_MARGIN);
        *self.exit_at.get_or_init(|| Instant::now() + time_left)
    }
}

fn into_response(response: HttpResponse) -> http_line::Response {
    http_line::Response {
        status: response.status,
        headers: response.headers,
        body: response.body.into(),
        ..http_line::Response::default()
    }
}

/// The data needed to write the response to a request.
struct PendingResponse {
    exchange: u64,
    kind: Kind,
    /// The time at which the client stops waiting.
    deadline: Instant,
    /// The name of the route.
    route: String,
    /// The headers of the request.
    headers: Vec<(String, String)>,
}

/// The callbacks of the event loop, called on its thread.
impl Handler for ConnectionHandler {
    fn on_request(&self, exchange: u64, listener: usize, received: Request) {
        if listener == READINESS_LISTENER {
            let status = if self.port.ready() { 200 } else { 503 };
            let response = HttpResponse {
                status,
                ..HttpResponse::default()
            };
            return self.respond(exchange, response);
        }
        if received.target.starts_with(PLUG_IN_PREFIX) {
            return self.serve_plug_in(exchange, received);
        }
        // Each pending response holds a reference to the handler.
        if let Some(handler) = self.weak_self.upgrade() {
            handler.handle_client_request(exchange, received);
        }
    }

    fn on_response(&self, id: u64, outcome: ExchangeOutcome) {
        if let Some(call) = self.remove_call(id) {
            self.complete_call(
                id,
                classify_call_outcome(self.protocol.as_ref(), &call, outcome),
            );
        }
    }

    fn on_disconnect(&self, exchange: u64) {
        if let Some(id) = self.take_request(exchange) {
            let mut disconnected = self.disconnected.lock().expect("no holder panics");
            disconnected.insert(id);
            drop(disconnected);
            let _ = self.port.inputs.send(Input::ClientDisconnected { id });
        }
    }

    fn rejection_response(&self, status: u16, reason: &str) -> http_line::Response {
        let code = match status {
            408 => "request_late",
            413 => "body_unreadable",
            431 => "head_too_large",
            503 => "overloaded",
            _ => "request_malformed",
        };
        let mut rejection = Rejection::not_run(status, code, reason);
        if status == 503 {
            rejection = rejection.with_retry_after(OVERLOADED_RETRY_AFTER);
        }
        let rejection = ClientResponse::Rejection(rejection);
        let response = self.protocol.client_response(&[], &rejection);
        http_line::Response {
            close: true,
            ..into_response(response)
        }
    }
}
