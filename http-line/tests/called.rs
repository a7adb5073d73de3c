//! One called connection without its socket.
use http_line::prelude::*;

fn call(method: &str, echo: bool) -> Call {
    let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
    Call {
        id: 7,
        to: ([127, 0, 0, 1], 9).into(),
        method: method.into(),
        target: "/x".into(),
        headers: vec![
            pair("Host", "h"),
            pair("Content-Length", "99"),
            pair("B", "c"),
        ],
        body: Arc::new(if method == "POST" {
            b"hi".to_vec()
        } else {
            Vec::new()
        }),
        limit: Duration::from_secs(3),
        request: None,
        echo: echo.then(|| pair("E", "1")),
        sessions: 1,
    }
}

fn begun(call: &Call) -> Called {
    let mut called = Called::new(call.to);
    again(&mut called, call);
    called
}

fn again(called: &mut Called, call: &Call) {
    let now = Instant::now();
    called.begin(call, now, now);
    called.out.write(&mut io::sink()).1.unwrap();
    called.wrote();
}

fn fed(method: &str, echo: bool, input: &str) -> Option<(Came, Option<u64>)> {
    let mut called = begun(&call(method, echo));
    let mut ended = None;
    for byte in input.as_bytes() {
        ended = ended.or(called.feed(&[*byte], &Limits::default()));
    }
    let mut other = begun(&call(method, echo));
    let ended = ended.map(|e| (e.came, e.keep.map(|k| k.as_secs())));
    let at_once = other
        .feed(input.as_bytes(), &Limits::default())
        .map(|e| (e.came, e.keep.map(|k| k.as_secs())));
    assert_eq!(ended.as_ref().map(|e| &e.0), at_once.as_ref().map(|e| &e.0));
    at_once
}

fn reply(got: Option<(Came, Option<u64>)>) -> (u16, String, Option<u64>) {
    match got {
        Some((Came::Reply { status, body, .. }, keep)) => {
            (status, String::from_utf8(body).unwrap(), keep)
        }
        other => panic!("{other:?}"),
    }
}

fn why(got: Option<(Came, Option<u64>)>) -> String {
    match got {
        Some((Came::Lost { why, reused: false }, None)) => why,
        other => panic!("{other:?}"),
    }
}

#[test]
fn writes_its_own_length() {
    let mut called = Called::new(([127, 0, 0, 1], 9).into());
    let mut sink = Vec::new();
    called.begin(&call("POST", false), Instant::now(), Instant::now());
    called.out.write(&mut sink).1.unwrap();
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
fn reads_answers_and_how_long_to_keep() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    assert_eq!(
        reply(fed("GET", false, &format!("{head}\r\nok"))),
        (200, "ok".into(), Some(8))
    );
    let early = "HTTP/1.1 103 Early\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    assert_eq!(
        reply(fed("GET", false, &format!("{early}{head}\r\nok"))),
        (200, "ok".into(), Some(8))
    );
    for (extra, keep) in [
        ("Keep-Alive: timeout=5, max=9", Some(4)),
        ("Keep-Alive: timeout=20", Some(16)),
        ("Keep-Alive: timeout=1", None),
        ("Connection: close", None),
    ] {
        assert_eq!(
            reply(fed("GET", false, &format!("{head}{extra}\r\n\r\nok"))).2,
            keep,
            "{extra}"
        );
    }
    assert_eq!(
        reply(fed("HEAD", false, &format!("{head}\r\n"))),
        (200, "".into(), Some(8))
    );
    assert_eq!(
        reply(fed("GET", false, &format!("{head}\r\nokx"))),
        (200, "ok".into(), None)
    );
    let chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    assert_eq!(
        reply(fed("GET", false, chunks)),
        (200, "ok".into(), Some(8))
    );
    assert!(why(fed("GET", false, "SSH-2.0")).contains("no HTTP/1"));
    assert!(why(fed("GET", false, "HTTP/1.1 200 OK\r\n\r\n")).contains("cannot be known"));
}

#[test]
fn answers_of_others_are_passed_over() {
    let (ours, other) = (
        "HTTP/1.1 200 OK\r\nE: 1\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 201 OK\r\nE: 2\r\nContent-Length: 1\r\n\r\nb",
    );
    assert_eq!(reply(fed("GET", true, ours)), (200, "a".into(), Some(8)));
    assert_eq!(
        reply(fed("GET", true, &format!("{other}{other}{ours}"))),
        (200, "a".into(), None)
    );
    assert!(why(fed("GET", true, &other.repeat(3))).contains("other calls"));
}

#[test]
fn how_it_ends_early() {
    let mut called = begun(&call("GET", false));
    assert!(
        called
            .feed(b"HTTP/1.0 200 OK\r\n\r\nab", &Limits::default())
            .is_none()
    );
    assert!(matches!(
        called.ended(true, "eof"),
        Some(Ended {
            came: Came::Reply { status: 200, .. },
            keep: None,
            ..
        })
    ));
    let mut called = begun(&call("GET", false));
    called.feed(b"HTTP/1.0 200 OK\r\n\r\nab", &Limits::default());
    assert!(matches!(
        called.ended(false, "reset"),
        Some(Ended {
            came: Came::Lost { reused: false, .. },
            ..
        })
    ));
    let mut called = begun(&call("GET", false));
    assert!(
        called
            .feed(
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                &Limits::default()
            )
            .is_some()
    );
    again(&mut called, &call("GET", false));
    assert!(matches!(
        called.ended(true, "eof"),
        Some(Ended {
            came: Came::Lost { reused: true, .. },
            ..
        })
    ));
    let mut unsent = Called::new(([127, 0, 0, 1], 9).into());
    let now = Instant::now();
    unsent.begin(&call("GET", false), now, now);
    assert_eq!(unsent.due(), Some(now + Duration::from_millis(500)));
    assert!(matches!(
        unsent.late(),
        Some(Ended {
            came: Came::Unsent(_),
            ..
        })
    ));
}

fn named(id: u64, echo: &str) -> Call {
    Call {
        id,
        request: Some(id),
        echo: Some(("E".into(), echo.into())),
        ..call("GET", false)
    }
}

fn answered(called: &mut Called, echo: &str) -> Option<Ended> {
    let answer = format!("HTTP/1.1 200 OK\r\nE: {echo}\r\nContent-Length: 0\r\n\r\n");
    called.feed(answer.as_bytes(), &Limits::default())
}

#[test]
fn an_id_that_a_connection_carried_lately_does_not_go_over_it_again() {
    let mut called = begun(&named(1, "r1"));
    assert!(called.carried(&named(1000, "r1")));
    assert!(!called.carried(&named(1000, "r2")));
    assert!(
        !called.carried(&call("GET", false)),
        "no id, nothing to mix up"
    );
    for id in 2..=32 {
        assert!(answered(&mut called, &format!("r{}", id - 1)).is_some());
        again(&mut called, &named(id, &format!("r{id}")));
    }
    assert!(
        called.carried(&named(1000, "r1")),
        "the 32 last are remembered"
    );
    assert!(answered(&mut called, "r32").is_some());
    again(&mut called, &named(33, "r33"));
    assert!(!called.carried(&named(1000, "r1")));
    assert!(called.carried(&named(1000, "r2")));
}

#[test]
fn two_tries_of_a_request_do_not_go_over_one_connection() {
    let tried = |request| Call {
        request: Some(request),
        ..call("GET", false)
    };
    let called = begun(&tried(5));
    assert!(called.carried(&tried(5)));
    assert!(!called.carried(&tried(6)));
}

#[test]
fn a_body_that_only_the_connections_end_closes_is_told_apart() {
    let sized = |input: &str| {
        let mut called = begun(&call("GET", false));
        let ended = called.feed(input.as_bytes(), &Limits::default());
        match ended.or_else(|| called.ended(true, "eof")) {
            Some(Ended {
                came: Came::Reply { sized, .. },
                ..
            }) => Some(sized),
            _ => None,
        }
    };
    let close = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    assert_eq!(sized(&format!("{close}\r\nhalf or whole")), Some(false));
    assert_eq!(
        sized(&format!("{close}Content-Length: 2\r\n\r\nok")),
        Some(true)
    );
    assert_eq!(sized(&format!("{close}Content-Length: 3\r\n\r\nok")), None);
    let chunked = format!("{close}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
    assert_eq!(sized(&chunked), None);
    assert_eq!(sized(&format!("{chunked}0\r\n\r\n")), Some(true));
}

#[test]
fn what_comes_before_a_byte_was_sent_answers_nothing() {
    let mut called = Called::new(([127, 0, 0, 1], 9).into());
    let now = Instant::now();
    called.begin(&named(1, "r1"), now, now);
    let ended = answered(&mut called, "r1").expect("ended");
    assert!(matches!(ended.came, Came::Unsent(_)));
    assert_eq!(ended.keep, None);
}

#[test]
fn silence_after_the_first_byte_is_no_proof_that_nothing_ran() {
    for sent in [false, true] {
        let mut called = Called::new(([127, 0, 0, 1], 9).into());
        let now = Instant::now();
        called.begin(&named(1, "r1"), now, now);
        if sent {
            called.wrote();
        }
        match (sent, called.late().expect("ended").came) {
            (true, Came::Lost { .. }) | (false, Came::Unsent(_)) => {}
            other => panic!("{other:?}"),
        }
    }
}
