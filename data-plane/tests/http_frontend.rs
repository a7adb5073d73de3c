//! The face of an edge over 127.0.0.1: the test plays the part behind it.
mod edge;
use data_plane::HttpFrontend;
use data_plane::prelude::*;
use edge::table;
use std::net::TcpListener;

/// How long something that comes is waited for, and something that must not.
const WAIT: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(200);
/// The lease of the edge.
const LEASE: Duration = Duration::from_secs(60);

struct Rig {
    frontend: HttpFrontend,
    inputs: flume::Receiver<Input>,
    http: SocketAddr,
}

impl Rig {
    fn new() -> Rig {
        let free = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let http = free.local_addr().unwrap();
        drop(free);
        let startup = Startup {
            http: Some(http),
            ..Startup::default()
        };
        let (give, inputs) = flume::unbounded();
        let port = Arc::new(Port::new(give, startup).unwrap());
        port.image.store(Arc::new(Some(table())));
        port.set_fence(port.now() + LEASE, true);
        let mut frontend = HttpFrontend::new("test", Arc::new(DefaultProtocol));
        frontend.open(&port).unwrap();
        Rig {
            frontend,
            inputs,
            http,
        }
    }

    /// A caller whose request the part was given.
    fn asks(&self) -> (TcpStream, u64, ClientRequest) {
        let mut caller = TcpStream::connect(self.http).unwrap();
        caller
            .write_all(b"GET /low HTTP/1.1\r\nHost: h\r\n\r\n")
            .unwrap();
        match self.inputs.recv_timeout(WAIT) {
            Ok(Input::ClientRequest { id, request }) => (caller, id, request),
            other => panic!("{other:?}"),
        }
    }

    fn leaves(&self, caller: TcpStream, id: u64) {
        drop(caller);
        match self.inputs.recv_timeout(WAIT) {
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

/// Between the close and the moment at which the part hears of it, the part may
/// still send: the line does not.
#[test]
fn no_call_leaves_for_a_caller_whose_close_was_read() {
    let rig = Rig::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    for purpose in [CallPurpose::Caller, CallPurpose::RunOnce] {
        let (caller, id, request) = rig.asks();
        rig.leaves(caller, id);
        rig.frontend.call(7, call(id, &request, at, purpose));
        match rig.inputs.recv_timeout(WAIT) {
            Ok(Input::CallCompleted { id: 7, result }) => {
                assert!(matches!(result, CallOutcome::NotSent), "{result:?}")
            }
            other => panic!("{other:?}"),
        }
    }
    origin.set_nonblocking(true).unwrap();
    thread::sleep(QUIET);
    assert!(origin.accept().is_err(), "something was sent");
}

/// What others wait for leaves all the same, and so does what is for a caller
/// that stays.
#[test]
fn calls_for_others_and_for_who_stays_leave() {
    let rig = Rig::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    let (caller, id, request) = rig.asks();
    rig.leaves(caller, id);
    rig.frontend
        .call(7, call(id, &request, at, CallPurpose::SharedCopy));
    let _shared = origin.accept().unwrap();
    let (_caller, id, request) = rig.asks();
    rig.frontend
        .call(8, call(id, &request, at, CallPurpose::Caller));
    origin.accept().unwrap();
}

#[test]
fn a_cancelled_call_ends_its_connection_and_nothing_comes_of_it() {
    let rig = Rig::new();
    let origin = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let at = origin.local_addr().unwrap();
    let (_caller, id, request) = rig.asks();
    rig.frontend
        .call(7, call(id, &request, at, CallPurpose::Caller));
    let mut session = origin.accept().unwrap().0;
    session.set_read_timeout(Some(WAIT)).unwrap();
    session.read_exact(&mut [0; 4]).unwrap();
    rig.frontend.cancel_call(7);
    // Far before the call's own limit.
    session.set_read_timeout(Some(QUIET * 2)).unwrap();
    let mut rest = Vec::new();
    let end = session.read_to_end(&mut rest).unwrap_err();
    assert_eq!(end.kind(), std::io::ErrorKind::ConnectionReset);
    assert!(rig.inputs.recv_timeout(QUIET).is_err());
}
