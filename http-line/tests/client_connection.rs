//! Tests of connections for calls, without sockets.
use http_line::prelude::*;

fn call(method: &str, echo: bool) -> Call {
    let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
    Call {
        id: 7,
        address: ([127, 0, 0, 1], 9).into(),
        method: method.into(),
        target: "/x".into(),
        headers: vec![
            pair("Host", "h"),
            pair("Content-Length", "99"),
            pair("B", "c"),
        ],
        body: Arc::new(if method == "POST" {
            b"hi".to_vec().into()
        } else {
            HeldBytes::default()
        }),
        timeout: Duration::from_secs(3),
        request: None,
        required_response_header: echo.then(|| pair("E", "1")),
        max_connections: 1,
    }
}

/// Returns a connection that has written this call.
fn connection_with(call: &Call) -> ClientConnection {
    let mut connection = ClientConnection::new(call.address);
    send(&mut connection, call);
    connection
}

fn send(connection: &mut ClientConnection, call: &Call) {
    let now = Instant::now();
    connection.begin(call, now, now);
    connection.output.write(&mut io::sink()).result.unwrap();
    connection.mark_sent();
}

/// Returns the outcome of a call with this input, and the number of seconds for which
/// its connection may be reused. Checks that input byte by byte gives the same outcome.
fn exchange(method: &str, echo: bool, input: &str) -> Option<(ExchangeOutcome, Option<u64>)> {
    let mut connection = connection_with(&call(method, echo));
    let mut ended = None;
    for byte in input.as_bytes() {
        ended = ended.or(connection.feed(&[*byte], &Limits::default()));
    }
    let mut other = connection_with(&call(method, echo));
    let ended = ended.map(|finished| finished.outcome);
    let at_once = other
        .feed(input.as_bytes(), &Limits::default())
        .map(|finished| {
            let seconds = finished.reusable_for.map(|time| time.as_secs());
            (finished.outcome, seconds)
        });
    assert_eq!(ended.as_ref(), at_once.as_ref().map(|finished| &finished.0));
    at_once
}

fn response(exchange: Option<(ExchangeOutcome, Option<u64>)>) -> (u16, String, Option<u64>) {
    match exchange {
        Some((Ok(ReceivedResponse { status, body, .. }), reusable_for)) => {
            (status, String::from_utf8(body).unwrap(), reusable_for)
        }
        other => panic!("{other:?}"),
    }
}

fn interruption(exchange: Option<(ExchangeOutcome, Option<u64>)>) -> String {
    match exchange {
        Some((
            Err(ExchangeError::Interrupted {
                reason,
                reused: false,
            }),
            None,
        )) => reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn request_has_computed_length_and_no_injected_lines() {
    let mut connection = ClientConnection::new(([127, 0, 0, 1], 9).into());
    let mut sink = Vec::new();
    connection.begin(&call("POST", false), Instant::now(), Instant::now());
    connection.output.write(&mut sink).result.unwrap();
    assert_eq!(
        sink,
        b"POST /x HTTP/1.1\r\nHost: h\r\nB: c\r\nContent-Length: 2\r\n\r\nhi"
    );
    assert!(
        Call {
            target: "/ HTTP/1.1\r\nA: b".into(),
            ..call("GET", false)
        }
        .check()
        .is_err()
    );
    assert!(
        Call {
            headers: vec![("A".into(), "b\nc".into())],
            ..call("GET", false)
        }
        .check()
        .is_err()
    );
    assert!(call("GET", false).check().is_ok());
}

#[test]
fn response_and_idle_timeout_are_parsed() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    assert_eq!(
        response(exchange("GET", false, &format!("{head}\r\nok"))),
        (200, "ok".into(), Some(8))
    );
    let early = "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    assert_eq!(
        response(exchange("GET", false, &format!("{early}{head}\r\nok"))),
        (200, "ok".into(), Some(8))
    );
    for (extra, reusable_for) in [
        ("Keep-Alive: timeout=5, max=9", Some(4)),
        ("Keep-Alive: timeout=20", Some(16)),
        ("Keep-Alive: timeout=1", None),
        ("Connection: close", None),
    ] {
        assert_eq!(
            response(exchange("GET", false, &format!("{head}{extra}\r\n\r\nok"))).2,
            reusable_for,
            "{extra}"
        );
    }
    assert_eq!(
        response(exchange("HEAD", false, &format!("{head}\r\n"))),
        (200, "".into(), Some(8))
    );
    assert_eq!(
        response(exchange("GET", false, &format!("{head}\r\nokx"))),
        (200, "ok".into(), None)
    );
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    assert_eq!(
        response(exchange("GET", false, chunks)),
        (200, "ok".into(), Some(8))
    );
    assert!(interruption(exchange("GET", false, "SSH-2.0")).contains("not an HTTP/1"));
    assert!(
        interruption(exchange("GET", false, "HTTP/1.1 200 OK\r\n\r\n"))
            .contains("cannot be determined")
    );
}

#[test]
fn responses_to_other_calls_are_skipped() {
    let (own, mismatched) = (
        "HTTP/1.1 200 OK\r\nE: 1\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 201 OK\r\nE: 2\r\nContent-Length: 1\r\n\r\nb",
    );
    assert_eq!(
        response(exchange("GET", true, own)),
        (200, "a".into(), Some(8))
    );
    assert_eq!(
        response(exchange(
            "GET",
            true,
            &format!("{mismatched}{mismatched}{own}")
        )),
        (200, "a".into(), None)
    );
    assert!(interruption(exchange("GET", true, &mismatched.repeat(3))).contains("other calls"));
}

#[test]
fn early_end_is_reported_by_bytes_sent() {
    let mut connection = connection_with(&call("GET", false));
    assert!(
        connection
            .feed(b"HTTP/1.0 200 OK\r\n\r\nab", &Limits::default())
            .is_none()
    );
    assert!(matches!(
        connection.end(true, "eof"),
        Some(FinishedExchange {
            outcome: Ok(ReceivedResponse { status: 200, .. }),
            reusable_for: None,
            ..
        })
    ));
    let mut connection = connection_with(&call("GET", false));
    connection.feed(b"HTTP/1.0 200 OK\r\n\r\nab", &Limits::default());
    assert!(matches!(
        connection.end(false, "reset"),
        Some(FinishedExchange {
            outcome: Err(ExchangeError::Interrupted { reused: false, .. }),
            ..
        })
    ));
    let mut connection = connection_with(&call("GET", false));
    assert!(
        connection
            .feed(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                &Limits::default()
            )
            .is_some()
    );
    send(&mut connection, &call("GET", false));
    assert!(matches!(
        connection.end(true, "eof"),
        Some(FinishedExchange {
            outcome: Err(ExchangeError::Interrupted { reused: true, .. }),
            ..
        })
    ));
}

#[test]
fn unconnected_call_times_out_as_not_sent() {
    let mut unsent = ClientConnection::new(([127, 0, 0, 1], 9).into());
    let now = Instant::now();
    unsent.begin(&call("GET", false), now, now);
    assert_eq!(unsent.due(), Some(now + Duration::from_millis(500)));
    assert!(matches!(
        unsent.time_out(),
        Some(FinishedExchange {
            outcome: Err(ExchangeError::NotSent(_)),
            ..
        })
    ));
}

fn echoed_call(id: u64, echo: &str) -> Call {
    Call {
        id,
        request: Some(id),
        required_response_header: Some(("E".into(), echo.into())),
        ..call("GET", false)
    }
}

fn receive_response(connection: &mut ClientConnection, echo: &str) -> Option<FinishedExchange> {
    let response = format!("HTTP/1.1 200 OK\r\nE: {echo}\r\nContent-Length: 0\r\n\r\n");
    connection.feed(response.as_bytes(), &Limits::default())
}

#[test]
fn recently_carried_id_is_not_carried_again() {
    let mut connection = connection_with(&echoed_call(1, "r1"));
    assert!(connection.recently_carried(&echoed_call(1000, "r1")));
    assert!(!connection.recently_carried(&echoed_call(1000, "r2")));
    assert!(
        !connection.recently_carried(&call("GET", false)),
        "a call without an id cannot be confused with another"
    );
    for id in 2..=32 {
        assert!(receive_response(&mut connection, &format!("r{}", id - 1)).is_some());
        send(&mut connection, &echoed_call(id, &format!("r{id}")));
    }
    assert!(
        connection.recently_carried(&echoed_call(1000, "r1")),
        "the last 32 calls are remembered"
    );
    assert!(receive_response(&mut connection, "r32").is_some());
    send(&mut connection, &echoed_call(33, "r33"));
    assert!(!connection.recently_carried(&echoed_call(1000, "r1")));
    assert!(connection.recently_carried(&echoed_call(1000, "r2")));
}

#[test]
fn attempts_of_one_request_use_different_connections() {
    let attempt = |request| Call {
        request: Some(request),
        ..call("GET", false)
    };
    let connection = connection_with(&attempt(5));
    assert!(connection.recently_carried(&attempt(5)));
    assert!(!connection.recently_carried(&attempt(6)));
}

#[test]
fn body_ended_by_close_is_not_delimited() {
    let delimited = |input: &str| {
        let mut connection = connection_with(&call("GET", false));
        let ended = connection.feed(input.as_bytes(), &Limits::default());
        match ended.or_else(|| connection.end(true, "eof")) {
            Some(FinishedExchange {
                outcome: Ok(ReceivedResponse { delimited, .. }),
                ..
            }) => Some(delimited),
            _ => None,
        }
    };
    let close = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    assert_eq!(delimited(&format!("{close}\r\nhalf or whole")), Some(false));
    assert_eq!(
        delimited(&format!("{close}Content-Length: 2\r\n\r\nok")),
        Some(true)
    );
    assert_eq!(
        delimited(&format!("{close}Content-Length: 3\r\n\r\nok")),
        None
    );
    let chunked = format!("{close}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    assert_eq!(delimited(&chunked), None);
    assert_eq!(delimited(&format!("{chunked}0\r\n\r\n")), Some(true));
}

#[test]
fn bytes_received_before_sending_are_no_response() {
    let mut connection = ClientConnection::new(([127, 0, 0, 1], 9).into());
    let now = Instant::now();
    connection.begin(&echoed_call(1, "r1"), now, now);
    let ended = receive_response(&mut connection, "r1").expect("ended");
    assert!(matches!(ended.outcome, Err(ExchangeError::NotSent(_))));
    assert_eq!(ended.reusable_for, None);
}

#[test]
fn timed_out_call_is_not_sent_only_before_first_byte() {
    for sent in [false, true] {
        let mut connection = ClientConnection::new(([127, 0, 0, 1], 9).into());
        let now = Instant::now();
        connection.begin(&echoed_call(1, "r1"), now, now);
        if sent {
            connection.mark_sent();
        }
        match (sent, connection.time_out().expect("ended").outcome) {
            (true, Err(ExchangeError::Interrupted { .. }))
            | (false, Err(ExchangeError::NotSent(_))) => {}
            other => panic!("{other:?}"),
        }
    }
}
