//! The HTTP frontend of an edge over loopback: the test simulates the state machine.
mod edge;
use data_plane::HttpFrontend;
use data_plane::prelude::*;
use edge::table;
use std::net::TcpListener;

/// How long an expected event is awaited, and one that must not happen.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// The lease of the edge.
const LEASE: Duration = Duration::from_secs(60);

struct TestEdge {
    frontend: HttpFrontend,
    inputs: flume::Receiver<Input>,
    http: SocketAddr,
}

impl TestEdge {
    fn new() -> TestEdge {
        let free = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let http = free.local_addr().unwrap();
        drop(free);
        let startup = Startup {
            http: Some(http),
            ..Startup::default()
        };
        let (inputs_sender, inputs) = flume::unbounded();
        let port = Arc::new(Port::new(inputs_sender, startup).unwrap());
        port.routes.store(Arc::new(Some(table())));
        port.set_fence(port.now() + LEASE, true);
        let mut frontend = HttpFrontend::new("test", Arc::new(DefaultProtocol));
        frontend.open(&port).unwrap();
        TestEdge {
            frontend,
            inputs,
            http,
        }
    }

    /// A client whose request the state machine was given.
    fn send_request(&self) -> (TcpStream, u64, ClientRequest) {
        let mut client = TcpStream::connect(self.http).unwrap();
        client
            .write_all(b"GET /low HTTP/1.1\r\nHost: h\r\n\r\n")
            .unwrap();
        match self.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::ClientRequest { id, request }) => (client, id, request),
            other => panic!("{other:?}"),
        }
    }

    fn disconnect(&self, client: TcpStream, id: u64) {
        drop(client);
        match self.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::ClientDisconnected { id: left }) => assert_eq!(left, id),
            other => panic!("{other:?}"),
        }
    }
}

fn call(id: u64, request: &ClientRequest, to: SocketAddr, purpose: CallPurpose) -> Call {
    let origin = Origin {
        address: to,
        ..edge::origin(1)
    };
    let active = ActiveRequest::new(Duration::ZERO, request.clone());
    active.call(Duration::ZERO, id, origin, Duration::ZERO, purpose)
}

/// Until the state machine learns of the close it may still send calls: the
/// frontend withholds them.
#[test]
fn call_for_disconnected_client_is_not_sent() {
    let edge_under_test = TestEdge::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    for purpose in [CallPurpose::Client, CallPurpose::RunOnce] {
        let (client, id, request) = edge_under_test.send_request();
        edge_under_test.disconnect(client, id);
        edge_under_test
            .frontend
            .call(7, call(id, &request, at, purpose));
        match edge_under_test.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::CallCompleted { id: 7, result }) => {
                assert!(matches!(result, CallOutcome::NotSent), "{result:?}")
            }
            other => panic!("{other:?}"),
        }
    }
    origin.set_nonblocking(true).unwrap();
    thread::sleep(QUIET_PERIOD);
    assert!(origin.accept().is_err(), "something was sent");
}

/// A call that others wait for is sent all the same, and so is one for a client
/// that is still connected.
#[test]
fn shared_call_and_call_for_connected_client_are_sent() {
    let edge_under_test = TestEdge::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    let (client, id, request) = edge_under_test.send_request();
    edge_under_test.disconnect(client, id);
    edge_under_test
        .frontend
        .call(7, call(id, &request, at, CallPurpose::SharedCacheFill));
    let _shared = origin.accept().unwrap();
    let (_client, id, request) = edge_under_test.send_request();
    edge_under_test
        .frontend
        .call(8, call(id, &request, at, CallPurpose::Client));
    origin.accept().unwrap();
}

#[test]
fn cancelled_call_closes_its_connection() {
    let edge_under_test = TestEdge::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    let (_client, id, request) = edge_under_test.send_request();
    edge_under_test
        .frontend
        .call(7, call(id, &request, at, CallPurpose::Client));
    let mut session = origin.accept().unwrap().0;
    session.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    session.read_exact(&mut [0; 4]).unwrap();
    edge_under_test.frontend.cancel_call(7);
    // Far before the call's own timeout.
    session.set_read_timeout(Some(QUIET_PERIOD * 2)).unwrap();
    let mut rest = Vec::new();
    let end = session.read_to_end(&mut rest).unwrap_err();
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(edge_under_test.inputs.recv_timeout(QUIET_PERIOD).is_err());
}
