//! An event loop over 127.0.0.1, with the test acting as its clients and origins.
#![allow(dead_code)]
use http_line::prelude::*;
use std::net::TcpStream;
use std::sync::OnceLock;

/// A callback that the handler received.
pub enum Event {
    Request(u64, usize, Request),
    Outcome(u64, ExchangeOutcome),
    Disconnect(u64),
}

/// A handler that forwards all events to the test. Requests with a target that starts
/// with `/now` get a response immediately.
pub struct ForwardingHandler {
    events: flume::Sender<Event>,
    http: OnceLock<EventLoopHandle>,
}

impl Handler for ForwardingHandler {
    fn on_request(&self, request_id: u64, listener: usize, request: Request) {
        let is_immediate = request.target.starts_with("/now");
        match self.http.get().filter(|_| is_immediate) {
            Some(http) => http.respond(request_id, response(&request.target)),
            None => self.send(Event::Request(request_id, listener, request)),
        }
    }

    fn on_response(&self, call_id: u64, outcome: ExchangeOutcome) {
        self.send(Event::Outcome(call_id, outcome));
    }

    fn on_disconnect(&self, request_id: u64) {
        self.send(Event::Disconnect(request_id));
    }
}

impl ForwardingHandler {
    fn send(&self, event: Event) {
        self.events.send(event).unwrap();
    }
}

/// An event loop with one listener, and the events of its handler.
pub struct Harness {
    pub http: EventLoopHandle,
    pub events: flume::Receiver<Event>,
    pub address: SocketAddr,
}

/// Maximum time to wait for an event that must occur.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

impl Harness {
    pub fn new(limits: Limits) -> Harness {
        Harness::with_link(limits, None)
    }

    /// Starts an event loop whose link has this bandwidth in bytes per second.
    pub fn with_link(limits: Limits, bandwidth: Option<f64>) -> Harness {
        let send_rate = bandwidth.and_then(|bandwidth| SendRate::new(bandwidth, Instant::now()));
        let resources = Resources {
            send_rate: send_rate.map(Arc::new),
            ..Resources::default()
        };
        Harness::with_resources(limits, resources)
    }

    /// Starts an event loop with these resources.
    pub fn with_resources(limits: Limits, resources: Resources) -> Harness {
        let (sender, events) = flume::unbounded();
        let listener = EventLoopHandle::listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.local_addr().unwrap();
        let handler = Arc::new(ForwardingHandler {
            events: sender,
            http: OnceLock::new(),
        });
        let http =
            EventLoopHandle::open(vec![listener], limits, resources, handler.clone()).unwrap();
        assert!(handler.http.set(http.clone()).is_ok());
        Harness {
            http,
            events,
            address,
        }
    }

    /// Waits for the next request and returns it with its id.
    pub fn request(&self) -> (u64, Request) {
        match self.events.recv_timeout(EVENT_TIMEOUT) {
            Ok(Event::Request(request_id, 0, request)) => (request_id, request),
            Ok(Event::Outcome(_, outcome)) => panic!("outcome {outcome:?}"),
            _ => panic!("no request"),
        }
    }

    /// Waits for the next outcome of a call and returns it with the id of the call.
    pub fn outcome(&self) -> (u64, ExchangeOutcome) {
        match self.events.recv_timeout(EVENT_TIMEOUT) {
            Ok(Event::Outcome(call_id, outcome)) => (call_id, outcome),
            Ok(Event::Request(_, _, request)) => panic!("request {request:?}"),
            _ => panic!("no outcome"),
        }
    }

    /// Waits for the next disconnect of a client and returns the id of its request.
    pub fn disconnect(&self) -> u64 {
        match self.events.recv_timeout(EVENT_TIMEOUT) {
            Ok(Event::Disconnect(request_id)) => request_id,
            _ => panic!("no disconnect"),
        }
    }

    /// Starts a GET call.
    pub fn call(&self, id: u64, address: SocketAddr, target: &str) {
        self.http.call(call(id, address, target));
    }

    /// Connects a client to the listener.
    pub fn peer(&self) -> TcpStream {
        let peer = TcpStream::connect(self.address).unwrap();
        peer.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        peer
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.http.close();
    }
}

/// Creates a response with this body.
pub fn response(text: &str) -> Response {
    Response {
        status: 200,
        headers: vec![("X".into(), "y".into())],
        body: text.as_bytes().to_vec().into(),
        close: false,
        send_limit: None,
    }
}

/// Creates a GET call.
pub fn call(id: u64, address: SocketAddr, target: &str) -> Call {
    Call {
        id,
        address,
        method: "GET".into(),
        target: target.into(),
        headers: vec![("Host".into(), "h".into())],
        body: Arc::default(),
        timeout: Duration::from_secs(5),
        request: None,
        required_response_header: None,
        max_connections: 2,
    }
}

/// Returns the id and the response body of a call that succeeded.
pub fn body(outcome: (u64, ExchangeOutcome)) -> (u64, String) {
    match outcome {
        (
            id,
            Ok(ReceivedResponse {
                status: 200, body, ..
            }),
        ) => (id, String::from_utf8(body).unwrap()),
        other => panic!("{other:?}"),
    }
}

/// Reads all bytes up to the end of the connection.
pub fn read_to_end(peer: &mut TcpStream) -> String {
    let mut all = Vec::new();
    peer.read_to_end(&mut all).unwrap();
    String::from_utf8(all).unwrap()
}

/// Checks that the next bytes received are `expected`.
pub fn assert_reads(peer: &mut TcpStream, expected: &str) {
    let mut bytes = vec![0; expected.len()];
    peer.read_exact(&mut bytes).unwrap();
    assert_eq!(String::from_utf8_lossy(&bytes), expected);
}

/// Reads up to the end of a head.
pub fn read_head(peer: &mut TcpStream) -> String {
    peer.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        peer.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Reads a head and writes a response; the connection stays open.
pub fn serve(peer: &mut TcpStream, response: &str) {
    read_head(peer);
    peer.write_all(response.as_bytes()).unwrap();
}
