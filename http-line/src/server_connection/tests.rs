//! Tests of client connections, without sockets.
use super::*;

struct IgnoringHandler;

impl Handler for IgnoringHandler {
    fn on_request(&self, _: u64, _: usize, _: Request) {}
    fn on_response(&self, _: u64, _: ExchangeOutcome) {}
    fn on_disconnect(&self, _: u64) {}
}

/// A connection with the test acting as its client and handler.
struct TestServer {
    connection: ServerConnection,
    limits: Limits,
    now: Instant,
    /// Sequence numbers of the requests that get no response.
    dropped: Vec<u64>,
}

impl TestServer {
    fn new() -> TestServer {
        let now = Instant::now();
        let limits = Limits {
            max_head_bytes: 200,
            max_body_bytes: 10,
            max_pipelined_requests: 3,
            ..Limits::default()
        };
        TestServer {
            connection: ServerConnection::new(
                ([127, 0, 0, 1], 9).into(),
                Arc::new(IgnoringHandler),
                now,
            ),
            limits,
            now,
            dropped: Vec::new(),
        }
    }

    fn feed(&mut self, input: &str) -> Vec<String> {
        let mut requests = Vec::new();
        self.connection
            .feed(input.as_bytes(), &self.limits, self.now, &mut requests);
        TestServer::describe(requests)
    }

    fn resume(&mut self) -> Vec<String> {
        let mut requests = Vec::new();
        self.connection
            .resume(&self.limits, self.now, &mut requests);
        TestServer::describe(requests)
    }

    fn describe(requests: Vec<PipelinedRequest>) -> Vec<String> {
        let describe = |PipelinedRequest { sequence, request }: &PipelinedRequest| {
            format!(
                "{sequence} {} {} {}",
                request.method,
                request.target,
                String::from_utf8_lossy(&request.body)
            )
        };
        requests.iter().map(describe).collect()
    }

    fn respond(&mut self, sequence: u64, status: u16, body: &str, close: bool) {
        let response = Response {
            status,
            headers: Vec::new(),
            body: body.as_bytes().to_vec().into(),
            close,
            send_limit: None,
        };
        let dropped = self.connection.respond(sequence, response, self.now);
        self.dropped.extend(dropped);
    }

    fn take_written(&mut self) -> String {
        let mut sink = Vec::new();
        self.connection.output.write(&mut sink).result.unwrap();
        String::from_utf8(sink).unwrap()
    }
}

/// Start of the head of a response with a body of one byte.
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";

#[test]
fn responses_follow_request_order() {
    let mut server = TestServer::new();
    let requests = server.feed("\r\nGET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiHEAD /c HTTP/1.1\r\n\r\nGET /d HT");
    assert_eq!(requests, ["0 GET /a ", "1 POST /b hi", "2 HEAD /c "]);
    assert!(!server.connection.wants_read(&server.limits));
    server.respond(1, 200, "b", false);
    server.respond(1, 500, "twice", false);
    server.respond(7, 500, "never", false);
    assert_eq!(server.take_written(), "");
    server.respond(0, 200, "a", false);
    assert_eq!(server.take_written(), format!("{OK}\r\na{OK}\r\nb"));
    assert_eq!(server.resume(), [""; 0]);
    server.respond(2, 200, "c", false);
    assert_eq!(server.take_written(), format!("{OK}\r\n"));
    assert_eq!(
        server.feed("TP/1.1\r\nConnection: close\r\n\r\nGET /e HTTP/1.1\r\n\r\n"),
        ["3 GET /d "]
    );
    server.respond(3, 204, "d", false);
    assert_eq!(
        server.take_written(),
        "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
    );
    assert!(server.connection.is_finished() && !server.connection.is_input_exhausted());
}

#[test]
fn closing_response_drops_later_requests() {
    let mut server = TestServer::new();
    server.feed(&"GET / HTTP/1.1\r\n\r\n".repeat(3));
    server.respond(1, 200, "b", true);
    assert_eq!(server.dropped, [2]);
    assert_eq!(server.feed("GET / HTTP/1.1\r\n\r\n"), [""; 0]);
    server.respond(0, 200, "a", false);
    assert_eq!(
        server.take_written(),
        format!("{OK}\r\na{OK}Connection: close\r\n\r\nb")
    );
    assert!(server.connection.is_finished());
}

#[test]
fn draining_connection_closes_after_last_request() {
    let mut server = TestServer::new();
    server.feed("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    server.connection.drain();
    assert_eq!(server.feed("GET / HTTP/1.1\r\n\r\n"), [""; 0]);
    server.respond(0, 200, "a", false);
    server.respond(1, 200, "b", false);
    assert_eq!(
        server.take_written(),
        format!("{OK}\r\na{OK}Connection: close\r\n\r\nb")
    );
    assert!(server.connection.is_finished());

    let mut half = TestServer::new();
    half.feed("GET / HT");
    half.connection.drain();
    assert_eq!(half.feed("TP/1.1\r\n\r\n").len(), 1);
    half.respond(0, 200, "a", false);
    assert!(half.take_written().contains("Connection: close") && half.connection.is_finished());
    let mut idle = TestServer::new();
    idle.connection.drain();
    assert!(
        !idle.connection.is_finished(),
        "a request may be in transit"
    );
    assert_eq!(idle.feed("GET / HTTP/1.1\r\n\r\n").len(), 1);
    idle.respond(0, 200, "a", false);
    assert!(idle.take_written().contains("Connection: close") && idle.connection.is_finished());
}

#[test]
fn rejections_follow_request_order() {
    for (input, status) in [
        ("GET / HTTP/1.1\r\nA : b\r\n\r\n", "400"),
        (
            "POST / HTTP/1.1\r\nContent-Length: 11\r\nExpect: 100-continue\r\n\r\n",
            "413",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n",
            "413",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx",
            "400",
        ),
        ("\u{16}\u{3}\u{1}", "400"),
        (&format!("GET /{} ", "a".repeat(200)), "431"),
        (
            &format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(200)),
            "431",
        ),
    ] {
        let mut server = TestServer::new();
        assert_eq!(
            server
                .feed(&format!("GET /a HTTP/1.1\r\n\r\n{input}"))
                .len(),
            1,
            "{input:?}"
        );
        assert_eq!(server.take_written(), "");
        server.respond(0, 200, "a", false);
        let written = server.take_written();
        assert!(
            written.starts_with(&format!("{OK}\r\naHTTP/1.1 {status} ")),
            "{input:?} {written:?}"
        );
        assert!(written.contains("\r\nConnection: close\r\n"));
        assert!(server.connection.is_finished() && !server.connection.is_input_exhausted());
    }
}

#[test]
fn continue_follows_earlier_responses() {
    let mut server = TestServer::new();
    server.feed("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-Continue\r\n\r\n");
    assert_eq!(server.take_written(), "");
    server.respond(0, 200, "a", false);
    assert_eq!(
        server.take_written(),
        format!("{OK}\r\naHTTP/1.1 100 Continue\r\n\r\n")
    );
    assert_eq!(server.feed("b"), ["1 POST / b"]);
}

#[test]
fn half_closed_request_is_answered_and_slow_one_times_out() {
    let mut server = TestServer::new();
    server.feed("GET / HTTP/1.1\r\n\r\nGET /half");
    server.connection.close_read();
    assert!(!server.connection.is_finished());
    server.respond(0, 200, "a", false);
    assert_eq!(
        server.take_written(),
        format!("{OK}Connection: close\r\n\r\na")
    );
    assert!(server.connection.is_finished() && server.connection.is_input_exhausted());

    let mut slow = TestServer::new();
    assert_eq!(
        slow.connection.due(&slow.limits),
        Some(slow.now + slow.limits.idle_timeout)
    );
    slow.now += Duration::from_secs(5);
    slow.feed("GET ");
    let due = slow.now + slow.limits.head_timeout;
    slow.now += Duration::from_secs(5);
    slow.feed("/ HTTP");
    assert_eq!(slow.connection.due(&slow.limits), Some(due));
    assert!(!slow.connection.time_out());
    assert!(slow.take_written().starts_with("HTTP/1.1 408 "));
    assert!(TestServer::new().connection.time_out());
}

/// Guards against bodies that stop and stay for a time that grows with what has arrived.
#[test]
fn body_that_stops_is_timed_out_after_idle_time() {
    let mut server = TestServer::new();
    server.limits.max_body_bytes = 100_000;
    server.feed("POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    server.feed(&"x".repeat(99_999));
    assert_eq!(
        server.connection.due(&server.limits),
        Some(server.now + server.limits.idle_timeout)
    );
    assert!(!server.connection.time_out());
    assert!(server.take_written().starts_with("HTTP/1.1 408 "));
}

/// Four pipelined requests.
const PIPELINED: &str = "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n\
            PUT /c HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET GET /d HTTP/1.1\r\n\r\n";

/// Generator of reproducible random numbers.
struct Generator {
    seed: u64,
}

impl Generator {
    fn below(&mut self, bound: usize) -> usize {
        self.seed = self
            .seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.seed >> 33) as usize % bound
    }

    /// Returns the pipelined requests with `changes` bytes replaced, removed or inserted.
    fn damaged_input(&mut self, changes: usize) -> Vec<u8> {
        let mut input = PIPELINED.as_bytes().to_vec();
        for _ in 0..changes {
            let offset = self.below(input.len());
            match self.below(3) {
                0 => input[offset] = b"\r\n :;0a\x00\xff"[self.below(9)],
                1 => drop(input.remove(offset)),
                _ => input.insert(offset, b"\r\n :;0a9"[self.below(8)]),
            }
        }
        input
    }

    /// Feeds the input in steps of at most `max_step` bytes. Returns the parsed requests
    /// and everything that was written.
    fn serve_in_steps(&mut self, input: &[u8], max_step: usize) -> (Vec<String>, String) {
        let mut server = TestServer::new();
        server.limits.max_pipelined_requests = 2;
        let (mut requests, mut written) = (Vec::new(), String::new());
        let (mut offset, mut next) = (0, 0);
        loop {
            let (limits, now) = (&server.limits, server.now);
            server.connection.resume(limits, now, &mut requests);
            if offset < input.len() && server.connection.wants_read(limits) {
                let size = (self.below(max_step) + 1).min(input.len() - offset);
                let step = &input[offset..offset + size];
                server.connection.feed(step, limits, now, &mut requests);
                offset += size;
            } else if next < requests.len() as u64 {
                server.respond(next, 200, "a", false);
                next += 1;
            } else {
                break;
            }
            written += &server.take_written();
        }
        (TestServer::describe(requests), written)
    }
}

/// The parsed and rejected requests do not depend on the segmentation of the input,
/// even if the input is malformed.
#[test]
fn segmentation_does_not_change_parsing() {
    let mut generator = Generator { seed: 1 };
    let mut undamaged = 0;
    for case in 0..3000 {
        let input = generator.damaged_input(case % 3);
        let at_once = generator.serve_in_steps(&input, 1000);
        let by_bytes = generator.serve_in_steps(&input, 1);
        assert_eq!(by_bytes, at_once, "{:?}", String::from_utf8_lossy(&input));
        assert_eq!(generator.serve_in_steps(&input, 9), at_once);
        undamaged += (at_once.0.len() == 4) as usize;
    }
    assert!((1000..2900).contains(&undamaged), "{undamaged}");
}

#[test]
fn response_headers_cannot_split_response() {
    let mut server = TestServer::new();
    server.feed("HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
    let headers = vec![
        pair("Content-Length", "77"),
        pair("Transfer-Encoding", "chunked"),
        pair("A", "b"),
    ];
    server.connection.respond(
        0,
        Response {
            status: 200,
            headers,
            ..Response::default()
        },
        server.now,
    );
    assert_eq!(
        server.take_written(),
        "HTTP/1.1 200 OK\r\nContent-Length: 77\r\nA: b\r\n\r\n"
    );
    let headers = vec![pair("A", "b\r\nC: d")];
    server.connection.respond(
        1,
        Response {
            status: 200,
            headers,
            ..Response::default()
        },
        server.now,
    );
    assert_eq!(
        server.take_written(),
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
    );
}
