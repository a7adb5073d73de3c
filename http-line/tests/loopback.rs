//! Tests of requests and calls over 127.0.0.1.
mod harness;
use harness::*;
use http_line::prelude::*;
use stand_ins::narrow_link::{LinkProperties, NarrowLink};
use std::net::{Shutdown, TcpListener};

#[test]
fn calls_reuse_idle_connections_up_to_limit() {
    let (caller, origin) = (
        Harness::new(Limits::default()),
        Harness::new(Limits::default()),
    );
    for id in 0..5 {
        caller.call(id, origin.address, "/now");
        assert_eq!(body(caller.outcome()), (id, "/now".into()));
    }
    let usage = caller.http.usage();
    assert_eq!(
        (usage.connects, usage.reused, usage.calls, usage.open),
        (1, 4, 5, 1)
    );
    for id in 10..13 {
        caller.call(id, origin.address, "/wait");
    }
    assert!(
        matches!(caller.outcome(), (12, Err(ExchangeError::NotSent(reason))) if reason.contains("busy"))
    );
    let ((first, _), (second, request)) = (origin.request(), origin.request());
    assert_eq!(request.target, "/wait");
    assert!(!origin.http.is_idle());
    origin.http.respond(second, response("two"));
    assert_eq!(body(caller.outcome()).1, "two");
    caller.http.cancel_call(10);
    caller.http.cancel_call(11);
    assert_eq!(origin.disconnect(), first);
    let large: Arc<HeldBytes> = Arc::new(vec![b'x'; 900_000].into());
    caller.http.call(Call {
        method: "POST".into(),
        body: large.clone(),
        ..call(20, origin.address, "/")
    });
    let (id, request) = origin.request();
    assert!(request.body == *large);
    let body_slice = Body::slice(Arc::new(vec![b'z'; 5_000_000]), 1..4_000_001);
    origin.http.respond(
        id,
        Response {
            status: 200,
            body: body_slice,
            ..Response::default()
        },
    );
    assert!(body(caller.outcome()).1 == "z".repeat(4_000_000));
}

#[test]
fn pipelined_responses_keep_request_order() {
    let harness = Harness::new(Limits {
        max_pipelined_requests: 2,
        ..Limits::default()
    });
    let mut peer = harness.peer();
    peer.write_all("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n".as_bytes()).unwrap();
    peer.shutdown(Shutdown::Write).unwrap();
    let ((a, _), (b, _)) = (harness.request(), harness.request());
    // A half-close is reported as a disconnect, since the two look the same. The
    // responses are still written.
    assert_eq!((harness.disconnect(), harness.disconnect()), (a, b));
    harness.http.respond(b, response("b"));
    assert!(harness.events.is_empty());
    harness.http.respond(a, response("a"));
    let (c, request) = harness.request();
    assert_eq!(harness.disconnect(), c);
    assert_eq!(
        (request.target.as_str(), request.peer),
        ("/c", peer.local_addr().unwrap())
    );
    harness.http.respond(c, response("c"));
    let one = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 1\r\n";
    assert_eq!(
        read_to_end(&mut peer),
        format!("{one}\r\na{one}\r\nb{one}Connection: close\r\n\r\nc")
    );
}

#[test]
fn ambiguous_request_closes_connection() {
    let harness = Harness::new(Limits::default());
    let hidden = "GET /hidden HTTP/1.1\r\n\r\n";
    for lines in [
        "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\nab\r\n0\r\n\r\n",
        "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "A: b\n\nGET /x HTTP/1.1\r\n\r\n",
        "A: b\rContent-Length: 3\r\n\r\n",
    ] {
        let mut peer = harness.peer();
        peer.write_all(format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}{hidden}").as_bytes())
            .unwrap();
        let response = read_to_end(&mut peer);
        assert!(
            response.starts_with("HTTP/1.1 400 ") && response.contains("Connection: close"),
            "{lines:?} {response:?}"
        );
        assert_eq!(response.matches("HTTP/1.1").count(), 1);
    }
    assert!(harness.events.is_empty());
    let mut peer = harness.peer();
    peer.write_all(b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
        .unwrap();
    let _ = peer.write_all(&vec![0; 30_000]);
    assert!(read_to_end(&mut peer).starts_with("HTTP/1.1 413 "));
}

#[test]
fn slow_idle_and_drained_connections_are_closed() {
    let harness = Harness::new(Limits {
        head_timeout: Duration::from_millis(30),
        idle_timeout: Duration::from_millis(80),
        ..Limits::default()
    });
    let mut slow = harness.peer();
    slow.write_all(b"GET / HT").unwrap();
    assert!(read_to_end(&mut slow).starts_with("HTTP/1.1 408 "));
    assert_eq!(read_to_end(&mut harness.peer()), "");
    let mut peer = harness.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (id, _) = harness.request();
    // Closing a socket with unread input sends a reset.
    harness.http.set_limits(Limits::default());
    let mut other = harness.peer();
    other
        .write_all(b"GET /now HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        .unwrap();
    let (second, _) = harness.request();
    let mut one = [0];
    other.read_exact(&mut one).unwrap();
    drop(other);
    assert_eq!(harness.disconnect(), second);
    harness.http.drain();
    harness.http.respond(id, response("a"));
    assert!(read_to_end(&mut peer).contains("Connection: close"));
    let mut new = harness.peer();
    new.write_all(b"GET /now HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        .unwrap();
    assert!(read_to_end(&mut new).contains("Connection: close"));
}

/// Regression: draining closed idle connections at once, and a request in transit at
/// that moment was read and discarded.
#[test]
fn request_on_draining_idle_connection_is_answered() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (id, _) = harness.request();
    harness.http.respond(id, response("a"));
    let mut received = [0; 64];
    assert!(peer.read(&mut received).unwrap() > 0);
    harness.http.drain();
    std::thread::sleep(Duration::from_millis(50));
    peer.write_all(b"GET /b HTTP/1.1\r\n\r\n").unwrap();
    let (id, request) = harness.request();
    assert_eq!(request.target, "/b");
    harness.http.respond(id, response("b"));
    assert!(read_to_end(&mut peer).contains("Connection: close"));
}

/// Regression: requests read while the process waited for its last messages to be sent
/// never got a response, and requests not read by then were reset.
#[test]
fn finishing_loop_ends_after_responses_to_all_requests() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (first, _) = harness.request();
    let mut half = harness.peer();
    half.write_all(b"POST /half HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234")
        .unwrap();
    let mut idle = harness.peer();
    idle.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    let mut received = [0; 64];
    assert!(idle.read(&mut received).unwrap() > 0);
    let mut waiting = harness.peer();
    harness.http.finish();
    half.write_all(b"56789").unwrap();
    for late in [&mut idle, &mut waiting] {
        late.write_all(b"GET /late HTTP/1.1\r\n\r\n").unwrap();
    }
    let late: Vec<u64> = (0..3).map(|_| harness.request().0).collect();
    for id in late.into_iter().chain([first]) {
        assert!(!harness.http.is_finished(), "a request has no response yet");
        harness.http.respond(id, response("x"));
    }
    for mut answered in [peer, half, idle, waiting] {
        let text = read_to_end(&mut answered);
        assert!(
            text.starts_with("HTTP/1.1 200 ") && text.contains("Connection: close"),
            "{text}"
        );
    }
    wait_until_finished(&harness);
    assert!(std::net::TcpStream::connect(harness.address).is_err());
}

/// Regression: at the end of a process, requests sent on keep-alive connections were
/// reset: with 200 clients and short pauses between requests, all 200 were affected.
#[test]
fn finishing_loop_responds_on_keep_alive_connections() {
    const CLIENTS: usize = 60;
    let harness = Harness::new(Limits::default());
    let address = harness.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| std::thread::spawn(move || use_until_refused(address, number)))
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    harness.http.drain();
    std::thread::sleep(Duration::from_millis(200));
    harness.http.finish();
    wait_until_finished(&harness);
    drop(harness);
    for client in clients {
        assert_eq!(client.join().unwrap(), 0, "requests without a response");
    }
}

/// Sends requests on keep-alive connections until connections are refused. Returns the
/// number of requests that were written but got no response.
fn use_until_refused(address: SocketAddr, number: usize) -> usize {
    let mut lost = 0;
    while let Ok(mut peer) = std::net::TcpStream::connect(address) {
        peer.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        loop {
            std::thread::sleep(Duration::from_millis(number as u64 % 40));
            if peer.write_all(b"GET /now HTTP/1.1\r\n\r\n").is_err() {
                break;
            }
            let mut received = [0; 256];
            match peer.read(&mut received) {
                Ok(size) if size > 0 => {
                    let text = String::from_utf8_lossy(&received[..size]).into_owned();
                    if text.contains("Connection: close") {
                        break;
                    }
                }
                _ => {
                    lost += 1;
                    break;
                }
            }
        }
    }
    lost
}

/// An idle connection is closed without waiting for a request, with one response for a
/// request in transit, and without a reset.
#[test]
fn finishing_loop_closes_idle_connection_after_idle_time() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    let mut received = [0; 256];
    assert!(peer.read(&mut received).unwrap() > 0);
    let since = std::time::Instant::now();
    harness.http.finish();
    let text = "the connection was closed before the request came";
    let head = "HTTP/1.1 408 Request Timeout\r\nContent-Type: text/plain\r\n";
    let end = format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{text}",
        text.len()
    );
    assert_eq!(read_to_end(&mut peer), format!("{head}{end}"));
    assert!(since.elapsed() + Duration::from_millis(200) > FINISH_IDLE_TIME);
    drop(peer);
    wait_until_finished(&harness);
}

/// Guards against responses that are cut off at the exit of the process: a response that
/// the link cannot send in time is replaced, and those before it are complete.
#[test]
fn response_that_cannot_be_sent_in_time_is_replaced() {
    const RESPONSES: usize = 8;
    const RESPONSE_BYTES: usize = 300_000;
    let harness = Harness::with_link(Limits::default(), Some(1_000_000.0));
    let mut peers: Vec<_> = (0..RESPONSES).map(|_| harness.peer()).collect();
    let mut ids = Vec::new();
    for peer in &mut peers {
        peer.write_all(b"GET /large HTTP/1.1\r\n\r\n").unwrap();
        ids.push(harness.request().0);
    }
    let since = std::time::Instant::now();
    let deadline = since + Duration::from_secs(1);
    harness.http.drain();
    for id in ids {
        harness.http.respond(
            id,
            Response {
                body: vec![b'l'; RESPONSE_BYTES].into(),
                send_limit: Some(SendLimit {
                    deadline,
                    otherwise: Box::new(response("replaced")),
                }),
                ..response("")
            },
        );
    }
    let texts: Vec<String> = peers.iter_mut().map(read_to_end).collect();
    let is_replaced = |text: &&String| text.ends_with("\r\n\r\nreplaced");
    let is_complete = |text: &&String| text.ends_with(&"l".repeat(RESPONSE_BYTES));
    let complete = texts.iter().filter(is_complete).count();
    assert_eq!(
        complete + texts.iter().filter(is_replaced).count(),
        RESPONSES
    );
    assert!((2..=3).contains(&complete), "{complete} in a second");
    assert!(since.elapsed() < Duration::from_millis(1500));
}

/// Guards against connections that are cut off at the exit of the process although
/// nothing has told the event loop to finish.
#[test]
fn draining_loop_finishes_at_its_deadline() {
    const TIME_TO_DEADLINE: Duration = Duration::from_millis(300);
    let harness = Harness::new(Limits::default());
    let mut idle = harness.peer();
    idle.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    read_head(&mut idle);
    idle.read_exact(&mut [0; 4]).unwrap();
    let mut waiting = harness.peer();
    waiting.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (id, _) = harness.request();
    let since = std::time::Instant::now();
    harness.http.drain_until(since + TIME_TO_DEADLINE);
    assert!(read_to_end(&mut idle).starts_with("HTTP/1.1 408 "));
    assert!(since.elapsed() + Duration::from_millis(50) > TIME_TO_DEADLINE);
    assert!(
        since.elapsed() < FINISH_IDLE_TIME,
        "it was not used for this long"
    );
    harness.http.respond(id, response("a"));
    assert!(read_to_end(&mut waiting).contains("Connection: close"));
    drop((idle, waiting));
    wait_until_finished(&harness);
}

fn wait_until_finished(harness: &Harness) {
    let deadline = std::time::Instant::now() + EVENT_TIMEOUT;
    while !harness.http.is_finished() {
        assert!(
            std::time::Instant::now() < deadline,
            "the event loop does not finish"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn extended_call_outlives_its_first_timeout() {
    let origin = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = origin.local_addr().unwrap();
    let harness = Harness::new(Limits::default());
    harness.http.call(Call {
        timeout: Duration::from_millis(300),
        ..call(1, address, "/")
    });
    let mut peer = origin.accept().unwrap().0;
    harness.http.extend_call(1, Duration::from_secs(5));
    harness.http.extend_call(7, Duration::from_secs(5));
    std::thread::sleep(Duration::from_millis(600));
    serve(&mut peer, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    assert_eq!(body(harness.outcome()), (1, "a".into()));
}

/// Response with the echoed id of `echoed_call`.
const OWN_RESPONSE: &str = "HTTP/1.1 200 OK\r\nE: 1\r\nContent-Length: 1\r\n\r\na";
/// Response with the echoed id of another call.
const OTHER_CALL_RESPONSE: &str = "HTTP/1.1 200 OK\r\nE: 0\r\nContent-Length: 1\r\n\r\nb";

/// A call whose response must be `OWN_RESPONSE`.
fn echoed_call(id: u64, address: SocketAddr) -> Call {
    Call {
        required_response_header: Some(("E".into(), "1".into())),
        ..call(id, address, "/")
    }
}

fn assert_response_to_other_call_is_skipped(harness: &Harness, origin: &TcpListener) {
    let address = origin.local_addr().unwrap();
    harness.http.call(echoed_call(1, address));
    let mut peer = origin.accept().unwrap().0;
    serve(&mut peer, &format!("{OTHER_CALL_RESPONSE}{OWN_RESPONSE}"));
    assert_eq!(body(harness.outcome()), (1, "a".into()));
    assert_eq!(read_to_end(&mut peer), "");
}

fn assert_loss_of_reused_connection_is_reported(harness: &Harness, origin: &TcpListener) {
    let address = origin.local_addr().unwrap();
    harness.http.call(echoed_call(2, address));
    let mut peer = origin.accept().unwrap().0;
    serve(&mut peer, OWN_RESPONSE);
    assert_eq!(body(harness.outcome()), (2, "a".into()));
    harness.call(3, address, "/");
    serve(&mut peer, "");
    drop(peer);
    assert!(
        matches!(harness.outcome(), (3, Err(ExchangeError::Interrupted { reason, reused: true })) if reason.starts_with("reused: "))
    );
}

fn assert_truncated_body_is_interrupted(harness: &Harness, origin: &TcpListener) {
    harness.call(4, origin.local_addr().unwrap(), "/");
    let mut peer = origin.accept().unwrap().0;
    serve(
        &mut peer,
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    );
    drop(peer);
    assert!(matches!(
        harness.outcome(),
        (4, Err(ExchangeError::Interrupted { reused: false, .. }))
    ));
}

fn assert_timed_out_call_is_reset(harness: &Harness, origin: &TcpListener) {
    harness.http.call(Call {
        timeout: Duration::from_millis(200),
        ..call(5, origin.local_addr().unwrap(), "/")
    });
    let mut peer = origin.accept().unwrap().0;
    serve(&mut peer, "");
    assert!(matches!(
        harness.outcome(),
        (5, Err(ExchangeError::Interrupted { reused: false, .. }))
    ));
    assert_eq!(
        peer.read(&mut [0]).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );
}

#[test]
fn call_outcome_follows_origin_behaviour() {
    let harness = Harness::new(Limits::default());
    let origin = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = origin.local_addr().unwrap();
    assert_response_to_other_call_is_skipped(&harness, &origin);
    assert_loss_of_reused_connection_is_reported(&harness, &origin);
    assert_truncated_body_is_interrupted(&harness, &origin);
    assert_timed_out_call_is_reset(&harness, &origin);
    drop(origin);
    harness.call(6, address, "/");
    assert!(matches!(
        harness.outcome(),
        (6, Err(ExchangeError::NotSent(_)))
    ));
    assert_eq!(harness.http.usage().open, 0);
}

#[test]
fn large_pipelined_responses_are_delivered_complete() {
    let harness = Harness::new(Limits::default());
    let mut peer = harness.peer();
    peer.write_all("GET /a HTTP/1.1\r\n\r\n".repeat(40).as_bytes())
        .unwrap();
    let shared = Arc::new(vec![b'q'; 1_000_000]);
    let mut count = 0;
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    while count < 40 {
        let (id, _) = harness.request();
        harness.http.respond(
            id,
            Response {
                status: 200,
                body: shared.clone().into(),
                ..Response::default()
            },
        );
        assert_reads(&mut peer, head);
        let mut bytes = vec![0; shared.len()];
        peer.read_exact(&mut bytes).unwrap();
        assert!(bytes == *shared);
        count += 1;
    }
}

/// Guards against requests without an answer: one that crosses the close of an idle
/// connection, on a link with a long delay, is read after the connection was shut down.
#[test]
fn request_that_crosses_the_close_of_an_idle_connection_is_answered() {
    const LINK_DELAY: Duration = Duration::from_millis(400);
    let harness = Harness::new(Limits::default());
    let link = NarrowLink::new(
        harness.address,
        LinkProperties {
            bytes_per_second: 1_000_000.0,
            delay: LINK_DELAY,
        },
    );
    let mut peer = link.connect().unwrap();
    peer.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    peer.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    assert_reads(
        &mut peer,
        "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\n/now",
    );
    std::thread::sleep(FINISH_IDLE_TIME);
    harness.http.drain();
    harness.http.finish();
    // The connection is closed by the time that the request arrives.
    std::thread::sleep(FINISH_IDLE_TIME - LINK_DELAY / 2);
    peer.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    let answer = read_to_end(&mut peer);
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
    assert!(answer.contains("Connection: close"), "{answer:?}");
    drop(peer);
    wait_until_finished(&harness);
}
