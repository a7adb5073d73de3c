//! Tests of the HTTP frontend over loopback. The tests simulate the state machine.
mod edge_harness;
use data_plane::HttpFrontend;
use data_plane::prelude::*;
use edge_harness::route_table;
use std::net::TcpListener;

/// Maximum time to wait for an expected event.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time to wait for an event that must not happen.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Validity of the edge's lease.
const LEASE: Duration = Duration::from_secs(60);

/// An HTTP frontend whose inputs to the state machine are received by the test.
struct TestFrontend {
    frontend: HttpFrontend,
    port: Arc<Port>,
    inputs: flume::Receiver<Input>,
    http: SocketAddr,
}

impl TestFrontend {
    fn new() -> TestFrontend {
        TestFrontend::with_link(None)
    }

    /// Opens a frontend whose link has this bandwidth in megabits per second.
    fn with_link(link_mbps: Option<f64>) -> TestFrontend {
        TestFrontend::with_startup(Startup {
            link_mbps,
            ..Startup::default()
        })
    }

    fn with_startup(startup: Startup) -> TestFrontend {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let http = listener.local_addr().unwrap();
        drop(listener);
        let startup = Startup {
            http: Some(http),
            ..startup
        };
        let (inputs_sender, inputs) = flume::unbounded();
        let port = Arc::new(Port::new(inputs_sender, startup).unwrap());
        port.routes.store(Arc::new(Some(route_table())));
        port.set_fence(port.now() + LEASE, true);
        let mut frontend = HttpFrontend::new("test", Arc::new(DefaultProtocol));
        frontend.open(&port).unwrap();
        TestFrontend {
            frontend,
            port,
            inputs,
            http,
        }
    }

    /// Sends a client's request. Returns its connection, and the request as the state
    /// machine receives it.
    fn send_request(&self) -> (TcpStream, u64, ClientRequest) {
        self.send_request_to("/low")
    }

    fn send_request_to(&self, target: &str) -> (TcpStream, u64, ClientRequest) {
        let mut client = TcpStream::connect(self.http).unwrap();
        let request = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
        client.write_all(request.as_bytes()).unwrap();
        match self.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::ClientRequest { id, request }) => (client, id, request),
            other => panic!("{other:?}"),
        }
    }

    fn disconnect(&self, client: TcpStream, id: u64) {
        drop(client);
        match self.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::ClientDisconnected { id: disconnected }) => assert_eq!(disconnected, id),
            other => panic!("{other:?}"),
        }
    }
}

fn call(id: u64, request: &ClientRequest, to: SocketAddr, purpose: CallPurpose) -> Call {
    let origin = Origin {
        address: to,
        ..edge_harness::origin(1)
    };
    let active = ActiveRequest::new(Duration::ZERO, request.clone());
    active.call(Duration::ZERO, id, origin, Duration::ZERO, purpose)
}

/// The state machine may still send calls until it handles the disconnect. The frontend
/// withholds them.
#[test]
fn call_for_disconnected_client_is_not_sent() {
    let test_frontend = TestFrontend::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let origin_address = origin.local_addr().unwrap();
    for purpose in [CallPurpose::Client, CallPurpose::RunOnce] {
        let (client, id, request) = test_frontend.send_request();
        test_frontend.disconnect(client, id);
        test_frontend
            .frontend
            .call(7, call(id, &request, origin_address, purpose));
        match test_frontend.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
            Ok(Input::CallCompleted { id: 7, result }) => {
                assert!(matches!(result, CallOutcome::NotSent), "{result:?}")
            }
            other => panic!("{other:?}"),
        }
    }
    origin.set_nonblocking(true).unwrap();
    thread::sleep(QUIET_PERIOD);
    assert!(origin.accept().is_err(), "a call was sent");
}

/// A call that other requests wait for is sent in spite of the disconnect, and so is a
/// call for a client that is still connected.
#[test]
fn shared_call_and_call_for_connected_client_are_sent() {
    let test_frontend = TestFrontend::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let origin_address = origin.local_addr().unwrap();
    let (client, id, request) = test_frontend.send_request();
    test_frontend.disconnect(client, id);
    test_frontend.frontend.call(
        7,
        call(id, &request, origin_address, CallPurpose::SharedCacheFill),
    );
    let _shared = origin.accept().unwrap();
    let (_client, id, request) = test_frontend.send_request();
    test_frontend
        .frontend
        .call(8, call(id, &request, origin_address, CallPurpose::Client));
    origin.accept().unwrap();
}

#[test]
fn cancelled_call_closes_its_connection() {
    let test_frontend = TestFrontend::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let origin_address = origin.local_addr().unwrap();
    let (_client, id, request) = test_frontend.send_request();
    test_frontend
        .frontend
        .call(7, call(id, &request, origin_address, CallPurpose::Client));
    let mut connection = origin.accept().unwrap().0;
    connection.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    connection.read_exact(&mut [0; 4]).unwrap();
    test_frontend.frontend.cancel_call(7);
    // The connection closes long before the call's timeout.
    connection.set_read_timeout(Some(QUIET_PERIOD * 2)).unwrap();
    let mut rest = Vec::new();
    let end = connection.read_to_end(&mut rest).unwrap_err();
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(test_frontend.inputs.recv_timeout(QUIET_PERIOD).is_err());
}

/// Guards against large responses that are cut off at the exit: if the link cannot send
/// one in time, a request that may be repeated is rejected; any other gets its response,
/// since it has run.
#[test]
fn large_response_is_replaced_only_if_its_request_may_be_repeated() {
    const LINK_MBPS: f64 = 1.0;
    const BODY_BYTES: usize = 200_000;
    let test_frontend = TestFrontend::with_link(Some(LINK_MBPS));
    // The client of this request sends no timeout: the route's deadline limits it.
    for (target, is_replaced) in [("/once", false), ("/copy", true)] {
        let (mut client, id, request) = test_frontend.send_request_to(target);
        let seconds = BODY_BYTES as f64 / (LINK_MBPS * 125_000.0);
        let bodies = (request.entry().deadline().as_secs_f64() / seconds).ceil() as usize;
        let reply = Reply {
            status: 200,
            body: Arc::new(vec![b'x'; BODY_BYTES * (bodies + 1)]),
            ..Reply::default()
        };
        let response = ClientResponse::Reply { reply, age: None };
        let output = Output::ClientResponse { id, response };
        test_frontend.port.complete(id, output);
        client.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
        let mut start = [0; 12];
        client.read_exact(&mut start).unwrap();
        let expected: &[u8; 12] = match is_replaced {
            true => b"HTTP/1.1 503",
            false => b"HTTP/1.1 200",
        };
        assert_eq!(&start, expected, "{target}");
    }
}

/// Guards against limits that are applied only once a request has been read: until then,
/// one that they allow would be rejected.
#[test]
fn limits_of_the_configuration_apply_to_the_first_request() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let test_frontend = TestFrontend::new();
    let bounds = Bounds {
        head_bytes: 1024,
        body_bytes: BODY_BYTES as u64,
        head_ms: 1000,
        idle_ms: 1000,
    };
    let mut routes = RouteTable::new(2, route_table().document.clone());
    routes.bounds = Some(Arc::new(bounds));
    test_frontend.frontend.apply_limits(&routes);
    let mut client = TcpStream::connect(test_frontend.http).unwrap();
    let head = format!("POST /post HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    client.write_all(head.as_bytes()).unwrap();
    client.write_all(&vec![b'x'; BODY_BYTES]).unwrap();
    match test_frontend.inputs.recv_timeout(ARRIVAL_TIMEOUT) {
        Ok(Input::ClientRequest { request, .. }) => assert_eq!(request.body.len(), BODY_BYTES),
        other => panic!("{other:?}"),
    }
}

#[test]
fn request_is_rejected_while_no_descriptor_is_left_for_its_call() {
    let startup = Startup {
        descriptors: Some(264),
        ..Startup::default()
    };
    let max_calls = resource_limits::max_calls(&startup);
    let test_frontend = TestFrontend::with_startup(startup);
    let (first, first_id, _) = test_frontend.send_request();
    let others: Vec<_> = (1..max_calls)
        .map(|_| test_frontend.send_request())
        .collect();
    let mut rejected = TcpStream::connect(test_frontend.http).unwrap();
    rejected
        .write_all(b"GET /low HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut response = String::new();
    rejected.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("Retry-After"), "{response}");
    test_frontend.disconnect(first, first_id);
    test_frontend.send_request();
    assert_eq!(others.len(), max_calls - 1);
}
