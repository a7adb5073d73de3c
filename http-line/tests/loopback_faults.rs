//! Tests of origin and client faults over 127.0.0.1.
mod harness;
use harness::*;
use http_line::prelude::*;
use std::net::{TcpListener, TcpStream};
use std::thread;

/// Time to wait for an event that must not occur.
const QUIET_TIME: Duration = Duration::from_millis(200);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = EventLoopHandle::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Accepts the next connection; the test fails if none arrives in time.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let since = Instant::now();
    while since.elapsed() < EVENT_TIMEOUT {
        if let Ok((peer, _)) = listener.accept() {
            peer.set_nonblocking(false).unwrap();
            peer.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
            return peer;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("no connection arrived");
}

fn reset_on_close(peer: &TcpStream) {
    let socket = socket2::SockRef::from(peer);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn origin_response(id: &str, body: &str) -> String {
    let size = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {size}\r\n\r\n{body}")
}

fn echoed_call(id: u64, address: SocketAddr, request_id: &str) -> Call {
    Call {
        method: "POST".into(),
        required_response_header: Some(("Request-Id".into(), request_id.into())),
        headers: vec![
            ("Host".into(), "h".into()),
            ("Request-Id".into(), request_id.into()),
        ],
        ..call(id, address, "/")
    }
}

/// Returns true if an interrupted call was sent over a reused connection.
fn interrupted_on_reuse(outcome: (u64, ExchangeOutcome)) -> bool {
    match outcome.1 {
        Err(ExchangeError::Interrupted { reused, .. }) => reused,
        other => panic!("{other:?}"),
    }
}

/// Checks that no further connection to the listener is opened.
fn assert_no_connection(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    thread::sleep(QUIET_TIME);
    assert!(listener.accept().is_err(), "the call was sent again");
}

/// Sends a call to an origin that reads `reads` bytes, writes `writes` and then closes or
/// resets the connection. Returns the origin's listener.
fn lose_connection(
    harness: &Harness,
    body: &Arc<HeldBytes>,
    reads: usize,
    writes: &str,
    resets: bool,
) -> TcpListener {
    let (origin, address) = listen();
    harness.http.call(Call {
        method: "POST".into(),
        body: body.clone(),
        ..call(2, address, "/")
    });
    let mut peer = accept(&origin);
    peer.read_exact(&mut vec![0; reads]).unwrap();
    peer.write_all(writes.as_bytes()).unwrap();
    if resets {
        reset_on_close(&peer);
    }
    drop(peer);
    origin
}

#[test]
fn refused_connection_alone_is_reported_as_not_sent() {
    let harness = Harness::new(Limits::default());
    let (closed, address) = listen();
    drop(closed);
    harness.call(1, address, "/");
    assert!(matches!(
        harness.outcome(),
        (1, Err(ExchangeError::NotSent(_)))
    ));

    // Number of bytes that the origin reads before it ends the connection, the request
    // body, and the bytes that the origin writes.
    let large: Arc<HeldBytes> = Arc::new(vec![b'x'; 8_000_000].into());
    for (reads, body, writes) in [
        (0, Arc::default(), ""),
        (1, Arc::default(), ""),
        (100, large.clone(), ""),
        (100, large, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha"),
        (30, Arc::default(), "HTTP/1.1 200 OK\r\n"),
        (
            30,
            Arc::default(),
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nha",
        ),
        (
            30,
            Arc::default(),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nha\r\n",
        ),
    ] {
        for resets in [true, false] {
            let origin = lose_connection(&harness, &body, reads, writes, resets);
            assert!(
                !interrupted_on_reuse(harness.outcome()),
                "{reads} {writes:?} {resets}"
            );
            assert_no_connection(&origin);
        }
    }
}

#[test]
fn reused_connection_lost_during_call_is_interrupted() {
    let harness = Harness::new(Limits::default());
    for (reads, resets) in [(1, true), (1, false), (40, true), (40, false)] {
        let (origin, address) = listen();
        harness.http.call(echoed_call(1, address, "r1"));
        let mut peer = accept(&origin);
        read_head(&mut peer);
        peer.write_all(origin_response("r1", "one").as_bytes())
            .unwrap();
        assert_eq!(body(harness.outcome()), (1, "one".into()));
        harness.http.call(echoed_call(2, address, "r2"));
        peer.read_exact(&mut vec![0; reads]).unwrap();
        if resets {
            reset_on_close(&peer);
        }
        drop(peer);
        assert!(
            interrupted_on_reuse(harness.outcome()),
            "the interruption is reported as one of a reused connection"
        );
        assert_no_connection(&origin);
    }
}

#[test]
fn duplicate_response_is_not_taken_for_next_attempt() {
    let harness = Harness::new(Limits::default());
    let (origin, address) = listen();
    harness.http.call(echoed_call(1, address, "r1"));
    let mut first = accept(&origin);
    read_head(&mut first);
    first
        .write_all(origin_response("r1", "first").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (1, "first".into()));
    // Another attempt of the same request: if it used the first connection, the
    // duplicate response would be taken for its own.
    harness.http.call(echoed_call(2, address, "r1"));
    let duplicate = thread::spawn(move || {
        first.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        if matches!(first.read(&mut [0; 1]), Ok(1)) {
            let _ = first.write_all(origin_response("r1", "late").as_bytes());
        }
    });
    let mut second = accept(&origin);
    read_head(&mut second);
    second
        .write_all(origin_response("r1", "second").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (2, "second".into()));
    drop(harness);
    duplicate.join().unwrap();
}

#[test]
fn crossed_and_duplicate_responses_reach_no_other_call() {
    let harness = Harness::new(Limits::default());
    let (origin, address) = listen();
    harness.http.call(echoed_call(1, address, "r1"));
    let mut peer = accept(&origin);
    let mut write = |text: String| {
        peer.set_nodelay(true).unwrap();
        for byte in text.as_bytes() {
            peer.write_all(&[*byte]).unwrap();
        }
    };
    write(origin_response("r0", "another's") + &origin_response("r1", "one"));
    assert_eq!(body(harness.outcome()), (1, "one".into()));
    // The connection received a response to another call, so it is not reused.
    harness.http.call(echoed_call(2, address, "r2"));
    let mut second = accept(&origin);
    read_head(&mut second);
    second
        .write_all(origin_response("r2", "two").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (2, "two".into()));
    harness.http.call(echoed_call(3, address, "r3"));
    read_head(&mut second);
    let crossed = origin_response("r2", "two") + &origin_response("r3", "three") + "more";
    second.write_all(crossed.as_bytes()).unwrap();
    assert_eq!(body(harness.outcome()), (3, "three".into()));
}

#[test]
fn body_in_response_to_head_request_is_discarded() {
    let harness = Harness::new(Limits::default());
    let (origin, address) = listen();
    harness.http.call(Call {
        method: "HEAD".into(),
        ..echoed_call(1, address, "r1")
    });
    let mut peer = accept(&origin);
    read_head(&mut peer);
    peer.write_all(origin_response("r1", "hidden").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (1, "".into()));
    harness.http.call(echoed_call(2, address, "r2"));
    let mut next = accept(&origin);
    read_head(&mut next);
    next.write_all(origin_response("r2", "own").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (2, "own".into()));
}

#[test]
fn reassigned_address_receives_each_call_once() {
    let harness = Harness::new(Limits::default());
    let (origin, address) = listen();
    harness.http.call(echoed_call(1, address, "r1"));
    let mut peer = accept(&origin);
    read_head(&mut peer);
    peer.write_all(origin_response("r1", "one").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (1, "one".into()));
    reset_on_close(&peer);
    drop((peer, origin));
    let other = EventLoopHandle::listen(address).unwrap();
    // Lets the event loop detect the end of the idle connection before the next call.
    thread::sleep(Duration::from_millis(50));
    harness.http.call(echoed_call(2, address, "r2"));
    let mut peer = accept(&other);
    assert!(read_head(&mut peer).contains("Request-Id: r2\r\n"));
    peer.write_all(origin_response("r2", "two").as_bytes())
        .unwrap();
    assert_eq!(body(harness.outcome()), (2, "two".into()));
    assert_no_connection(&other);
}

#[test]
fn responses_to_disconnected_client_reach_no_other() {
    let harness = Harness::new(Limits::default());
    let mut leaving = harness.peer();
    leaving
        .write_all("GET /a HTTP/1.1\r\n\r\n".repeat(3).as_bytes())
        .unwrap();
    let unanswered: Vec<u64> = (0..3).map(|_| harness.request().0).collect();
    harness
        .http
        .respond(unanswered[1], response("second of the disconnected client"));
    reset_on_close(&leaving);
    drop(leaving);
    let disconnected: Vec<u64> = (0..3).map(|_| harness.disconnect()).collect();
    assert_eq!(disconnected, unanswered);
    let mut peer = harness.peer();
    peer.write_all(b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let (own, request) = harness.request();
    assert_eq!(request.target, "/b");
    assert!(!unanswered.contains(&own));
    for id in unanswered {
        harness
            .http
            .respond(id, response("of the disconnected client"));
    }
    harness.http.respond(own, response("own"));
    let all = read_to_end(&mut peer);
    assert!(all.ends_with("\r\n\r\nown"), "{all}");
    assert_eq!(all.matches("HTTP/1.1").count(), 1);
}

/// Checks that a close is reported at once, in any state of the connection.
fn assert_disconnect_reported(limits: Limits, requests: &str, half_close: bool) {
    let harness = Harness::new(limits);
    let mut peer = harness.peer();
    peer.write_all(requests.as_bytes()).unwrap();
    let (id, _) = harness.request();
    if half_close {
        peer.shutdown(std::net::Shutdown::Write).unwrap();
    } else {
        drop(peer);
    }
    assert_eq!(harness.disconnect(), id, "{requests:?}");
}

#[test]
fn close_of_waiting_client_is_reported() {
    for half_close in [false, true] {
        assert_disconnect_reported(Limits::default(), "GET /a HTTP/1.1\r\n\r\n", half_close);
    }
}

/// A close is reported even though nothing is read behind the last request.
#[test]
fn close_behind_last_request_is_reported() {
    for half_close in [false, true] {
        let last = "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n";
        assert_disconnect_reported(Limits::default(), last, half_close);
    }
}

/// A close is reported even though nothing is read while the pipeline is full.
#[test]
fn close_behind_unread_requests_is_reported() {
    let limits = Limits {
        max_pipelined_requests: 1,
        ..Limits::default()
    };
    for half_close in [false, true] {
        let two = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
        assert_disconnect_reported(limits.clone(), two, half_close);
    }
}

#[test]
fn close_is_reported_while_draining_and_finishing() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (id, _) = harness.request();
    harness.http.drain();
    harness.http.finish();
    drop(peer);
    assert_eq!(harness.disconnect(), id);
}

#[test]
fn reset_is_reported_for_unanswered_request_only() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        .unwrap();
    let ((a, _), (b, _)) = (harness.request(), harness.request());
    harness.http.respond(a, response("a"));
    let mut received = [0; 64];
    peer.read_exact(&mut received[..30]).unwrap();
    reset_on_close(&peer);
    drop(peer);
    assert_eq!(harness.disconnect(), b);
    thread::sleep(QUIET_TIME);
    assert!(
        harness.events.is_empty(),
        "a disconnect was reported twice, or for a request that had a response"
    );
}

/// Waits until no connections are open. Returns false if some remain open.
fn all_closed(http: &EventLoopHandle) -> bool {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(2) {
        if http.usage().open == 0 {
            return true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    false
}

/// The large response would take ten seconds on the narrow link if the client did not
/// disconnect.
#[test]
fn paced_response_ends_when_client_disconnects() {
    for reads in [false, true] {
        let harness = Harness::with_link(Limits::default(), Some(100_000.0));
        let mut peer = harness.peer();
        peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
        let (id, _) = harness.request();
        harness.http.respond(id, response(&"x".repeat(1_000_000)));
        if reads {
            peer.read_exact(&mut [0; 20_000]).unwrap();
        }
        drop(peer);
        assert!(all_closed(&harness.http), "reads: {reads}");
    }
}

/// A cancelled call, sent or still connecting, resets its connection and has no outcome.
#[test]
fn cancelled_call_resets_its_connection() {
    let harness = Harness::new(Limits::default());
    let (listener, address) = listen();
    harness.call(1, address, "/a");
    let mut origin = accept(&listener);
    read_head(&mut origin);
    harness.http.cancel_call(1);
    // Much shorter than the timeout of the call.
    origin.set_read_timeout(Some(QUIET_TIME * 2)).unwrap();
    let end = origin.read(&mut [0; 8]).unwrap_err();
    assert_eq!(end.kind(), ErrorKind::ConnectionReset, "not a half-close");

    harness.call(2, address, "/b");
    harness.http.cancel_call(2);
    assert!(all_closed(&harness.http));
    harness.http.cancel_call(3);
    thread::sleep(QUIET_TIME);
    assert!(harness.events.is_empty(), "cancelled calls have no outcome");
}
