//! The HTTP frontend of an edge: requests of clients and calls to origins.
mod handler;

use crate::prelude::*;
use handler::ConnectionHandler;

/// The HTTP frontend of an edge. It receives clients' requests and sends calls to origins
/// on one event loop, in the format of a protocol adapter. Invariant: every received
/// request gets exactly one response, unless its connection ends before.
pub struct HttpFrontend {
    program: &'static str,
    protocol: Arc<dyn ProtocolAdapter>,
    handler: Option<Arc<ConnectionHandler>>,
}

/// The limits that apply until a configuration sets others.
const DEFAULT_LIMITS: Limits = Limits {
    max_head_bytes: 32 * 1024,
    max_body_bytes: 1024 * 1024,
    head_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    max_pipelined_requests: 16,
    max_response_body_bytes: 16 * 1024 * 1024,
};

impl HttpFrontend {
    /// Creates a closed frontend that serves the plug-ins of `program`.
    pub fn new(program: &'static str, protocol: Arc<dyn ProtocolAdapter>) -> HttpFrontend {
        HttpFrontend {
            program,
            protocol,
            handler: None,
        }
    }

    fn event_loop(&self) -> Option<&EventLoopHandle> {
        self.handler.as_ref()?.event_loop.get()
    }
}

/// Opens the listeners on the addresses in the startup settings: the one for clients'
/// requests first, then the one for readiness checks.
fn listen(port: &Port) -> Result<Vec<TcpListener>, FrontendError> {
    if !port.startup.shield {
        let missing = FrontendError::MissingSetting("http address");
        port.startup.http.ok_or(missing)?;
    }
    [port.startup.http, port.startup.ready]
        .into_iter()
        .flatten()
        .map(|address| {
            TcpListener::bind(address).map_err(|error| FrontendError::Listen {
                address,
                source: error.into(),
            })
        })
        .collect()
}

impl Frontend for HttpFrontend {
    fn open(&mut self, port: &Arc<Port>) -> Result<(), FrontendError> {
        let listeners = listen(port)?;
        let handler = ConnectionHandler::new(port, &self.protocol, PlugIn::of(self.program));
        let resources = Resources {
            send_rate: port.send_rate.clone(),
            byte_budget: Arc::new(resource_limits::edge_byte_budget(&port.startup)),
            max_client_connections: resource_limits::max_edge_connections(&port.startup),
            max_call_connections: resource_limits::max_calls(&port.startup),
        };
        let event_loop =
            EventLoopHandle::open(listeners, DEFAULT_LIMITS, resources, handler.clone())
                .map_err(|error| FrontendError::Start(error.into()))?;
        let _ = handler.event_loop.set(event_loop);
        self.handler = Some(handler);
        Ok(())
    }

    fn call(&self, id: u64, call: Call) {
        let (Some(handler), Some(event_loop)) = (&self.handler, self.event_loop()) else {
            return;
        };
        if !handler.may_send(&call) {
            return handler.complete_call(id, CallOutcome::NotSent);
        }
        let CallHeaders {
            headers,
            required_response_header,
        } = self.protocol.origin_headers(&call);
        let outgoing = http_line::Call {
            id,
            address: call.origin.address,
            method: call.method.clone(),
            target: call.url.clone(),
            headers,
            body: call.body.clone(),
            timeout: call.timeout,
            request: Some(call.request_id_at_edge),
            required_response_header,
            max_connections: call.max_connections,
        };
        handler.register_call(id, call);
        event_loop.call(outgoing);
    }

    fn cancel_call(&self, id: u64) {
        let (Some(handler), Some(event_loop)) = (&self.handler, self.event_loop()) else {
            return;
        };
        handler.remove_call(id);
        event_loop.cancel_call(id);
    }

    fn extend_call(&self, id: u64, limit: Duration) {
        if let Some(event_loop) = self.event_loop() {
            event_loop.extend_call(id, limit);
        }
    }

    fn apply_limits(&self, routes: &RouteTable) {
        if let Some(handler) = &self.handler {
            handler.apply_bounds(routes);
        }
    }

    fn prepare_shutdown(&self) {
        if let (Some(handler), Some(event_loop)) = (&self.handler, self.event_loop()) {
            event_loop.drain_until(handler.prepare_shutdown());
        }
    }

    fn finish(&self) {
        if let Some(event_loop) = self.event_loop() {
            event_loop.finish();
        }
    }

    fn refusal_counts(&self) -> RefusalCounts {
        self.event_loop()
            .map_or(RefusalCounts::default(), refusal_counts)
    }

    fn open_work_probe(&self) -> Option<OpenWorkProbe> {
        let event_loop = self.event_loop()?.clone();
        Some(Arc::new(move || {
            let open = event_loop.open_work();
            OpenWork {
                busy_connections: open.busy_connections,
                unsent_bytes: open.unsent_bytes,
                send_backlog: open.send_backlog,
                discarded_bytes: open.discarded_bytes,
            }
        }))
    }

    fn is_done(&self) -> bool {
        self.event_loop().is_none_or(EventLoopHandle::is_finished)
    }
}
