//! The HTTP side of an edge: requests of clients and calls to origins.
mod handler;

use crate::prelude::*;
use handler::ConnectionHandler;

/// The HTTP side of an edge: receives clients' requests and sends calls to
/// origins over one event loop, in the format of one protocol adapter.
/// Invariant: every request read is responded to once, unless its connection
/// ended before.
pub struct HttpFrontend {
    program: &'static str,
    protocol: Arc<dyn ProtocolAdapter>,
    handler: Option<Arc<ConnectionHandler>>,
}

/// The limits before a configuration sets others.
const LIMITS: Limits = Limits {
    head_bytes: 32 * 1024,
    body_bytes: 1024 * 1024,
    head_time: Duration::from_secs(5),
    idle_time: Duration::from_secs(60),
    pipeline: 16,
    answer_bytes: 16 * 1024 * 1024,
    send_bytes_s: None,
};
const BYTES_PER_MEGABIT: f64 = 125_000.0;

impl HttpFrontend {
    /// A closed frontend of `program`, which serves that program's plug-ins.
    pub fn new(program: &'static str, protocol: Arc<dyn ProtocolAdapter>) -> HttpFrontend {
        HttpFrontend {
            program,
            protocol,
            handler: None,
        }
    }

    fn http_line(&self) -> Option<&HttpLine> {
        self.handler.as_ref()?.http_line.get()
    }
}

/// Listens on the addresses of the startup settings, clients' requests first.
fn listen(port: &Port) -> Result<Vec<TcpListener>> {
    if !port.startup.shield {
        port.startup.http.context("http address")?;
    }
    [port.startup.http, port.startup.ready]
        .into_iter()
        .flatten()
        .map(|address| {
            TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))
        })
        .collect()
}

impl Frontend for HttpFrontend {
    fn open(&mut self, port: &Arc<Port>) -> Result<()> {
        let listeners = listen(port)?;
        let handler = ConnectionHandler::new(port, &self.protocol, PlugIn::of(self.program));
        let limits = Limits {
            send_bytes_s: port.startup.link_mbps.map(|link| link * BYTES_PER_MEGABIT),
            ..LIMITS
        };
        let http_line = HttpLine::open(listeners, limits, handler.clone())?;
        let _ = handler.http_line.set(http_line);
        self.handler = Some(handler);
        Ok(())
    }

    fn call(&self, id: u64, call: Call) {
        let (Some(handler), Some(http_line)) = (&self.handler, self.http_line()) else {
            return;
        };
        if !handler.may_send(&call) {
            return handler.complete_call(id, CallOutcome::NotSent);
        }
        let CallHeaders { headers, echo } = self.protocol.call(&call);
        let outgoing = http_line::Call {
            id,
            to: call.origin.address,
            method: call.method.clone(),
            target: call.url.clone(),
            headers,
            body: call.body.clone(),
            limit: call.timeout,
            request: Some(call.request),
            echo,
            sessions: call.max_connections,
        };
        handler.register_call(id, call);
        http_line.call(outgoing);
    }

    fn cancel_call(&self, id: u64) {
        let (Some(handler), Some(http_line)) = (&self.handler, self.http_line()) else {
            return;
        };
        handler.forget_call(id);
        http_line.drop_call(id);
    }

    fn extend_call(&self, id: u64, limit: Duration) {
        if let Some(http_line) = self.http_line() {
            http_line.extend_call(id, limit);
        }
    }

    fn link_delay(&self, delay: Duration) {
        if let Some(http_line) = self.http_line() {
            http_line.link_delay(delay);
        }
    }

    fn warn(&self) {
        if let Some(http_line) = self.http_line() {
            http_line.drain();
        }
    }

    fn stop(&self) {
        if let Some(http_line) = self.http_line() {
            http_line.stop();
        }
    }

    fn done(&self) -> bool {
        self.http_line().is_none_or(HttpLine::finished)
    }
}
