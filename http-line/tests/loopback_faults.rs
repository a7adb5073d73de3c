//! Faults of origins and clients over 127.0.0.1.
mod rig;
use http_line::prelude::*;
use rig::*;
use std::net::{TcpListener, TcpStream};
use std::thread;

/// How long something that must not come is waited for.
const QUIET: Duration = Duration::from_millis(200);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = HttpLine::listen(([127, 0, 0, 1], 0).into()).unwrap();
    let at = listener.local_addr().unwrap();
    (listener, at)
}

/// The next connection; a test that waits for none in vain fails.
fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let since = Instant::now();
    while since.elapsed() < WAIT {
        if let Ok((peer, _)) = listener.accept() {
            peer.set_nonblocking(false).unwrap();
            peer.set_read_timeout(Some(WAIT)).unwrap();
            return peer;
        }
        thread::sleep(Duration::from_millis(1));
    }
    panic!("nobody connects");
}

fn reset(peer: &TcpStream) {
    let socket = socket2::SockRef::from(peer);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

fn read_head(peer: &mut TcpStream) -> String {
    peer.set_read_timeout(Some(WAIT)).unwrap();
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        peer.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

fn answer(id: &str, body: &str) -> String {
    let size = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {size}\r\n\r\n{body}")
}

fn named(id: u64, to: SocketAddr, name: &str) -> Call {
    Call {
        method: "POST".into(),
        echo: Some(("Request-Id".into(), name.into())),
        headers: vec![
            ("Host".into(), "h".into()),
            ("Request-Id".into(), name.into()),
        ],
        ..call(id, to, "/")
    }
}

fn lost(came: (u64, Came)) -> bool {
    match came.1 {
        Came::Lost { reused, .. } => reused,
        other => panic!("{other:?}"),
    }
}

/// Nobody connects to the listener any more.
fn quiet(listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    thread::sleep(QUIET);
    assert!(listener.accept().is_err(), "the call was sent again");
}

#[test]
fn only_a_refused_connection_is_told_as_unsent() {
    let rig = Rig::new(Limits::default());
    let (closed, at) = listener();
    drop(closed);
    rig.call(1, at, "/");
    assert!(matches!(rig.came(), (1, Came::Unsent(_))));

    // What the origin reads before it resets the connection, and writes.
    let large = Arc::new(vec![b'x'; 8_000_000]);
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
            let (origin, at) = listener();
            rig.http.call(Call {
                method: "POST".into(),
                body: body.clone(),
                ..call(2, at, "/")
            });
            let mut peer = accept(&origin);
            peer.read_exact(&mut vec![0; reads]).unwrap();
            peer.write_all(writes.as_bytes()).unwrap();
            if resets {
                reset(&peer);
            }
            drop(peer);
            assert!(!lost(rig.came()), "{reads} {writes:?} {resets}");
            quiet(&origin);
        }
    }
}

#[test]
fn a_kept_connection_that_dies_as_a_call_leaves_proves_nothing() {
    let rig = Rig::new(Limits::default());
    for (reads, resets) in [(1, true), (1, false), (40, true), (40, false)] {
        let (origin, at) = listener();
        rig.http.call(named(1, at, "r1"));
        let mut peer = accept(&origin);
        read_head(&mut peer);
        peer.write_all(answer("r1", "one").as_bytes()).unwrap();
        assert_eq!(body(rig.came()), (1, "one".into()));
        rig.http.call(named(2, at, "r2"));
        peer.read_exact(&mut vec![0; reads]).unwrap();
        if resets {
            reset(&peer);
        }
        drop(peer);
        assert!(lost(rig.came()), "over a kept connection, and said so");
        quiet(&origin);
    }
}

#[test]
fn a_second_answer_is_not_taken_for_that_to_the_next_try() {
    let rig = Rig::new(Limits::default());
    let (origin, at) = listener();
    rig.http.call(named(1, at, "r1"));
    let mut first = accept(&origin);
    read_head(&mut first);
    first.write_all(answer("r1", "first").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (1, "first".into()));
    // The same request, tried again: had it come over the first connection,
    // this answer would be in the place of its own.
    rig.http.call(named(2, at, "r1"));
    let again = thread::spawn(move || {
        first.set_read_timeout(Some(WAIT)).unwrap();
        if matches!(first.read(&mut [0; 1]), Ok(1)) {
            let _ = first.write_all(answer("r1", "late").as_bytes());
        }
    });
    let mut second = accept(&origin);
    read_head(&mut second);
    second.write_all(answer("r1", "second").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (2, "second".into()));
    drop(rig);
    again.join().unwrap();
}

#[test]
fn crossed_and_doubled_answers_by_single_bytes_reach_nobody_else() {
    let rig = Rig::new(Limits::default());
    let (origin, at) = listener();
    rig.http.call(named(1, at, "r1"));
    let mut peer = accept(&origin);
    let mut write = |text: String| {
        peer.set_nodelay(true).unwrap();
        for byte in text.as_bytes() {
            peer.write_all(&[*byte]).unwrap();
        }
    };
    write(answer("r0", "another's") + &answer("r1", "one"));
    assert_eq!(body(rig.came()), (1, "one".into()));
    // Another's answer came on it: it is not used again.
    rig.http.call(named(2, at, "r2"));
    let mut second = accept(&origin);
    read_head(&mut second);
    second.write_all(answer("r2", "two").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (2, "two".into()));
    rig.http.call(named(3, at, "r3"));
    read_head(&mut second);
    let crossed = answer("r2", "two") + &answer("r3", "three") + "more";
    second.write_all(crossed.as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (3, "three".into()));
}

#[test]
fn a_body_that_answers_a_head_request_is_nobodys() {
    let rig = Rig::new(Limits::default());
    let (origin, at) = listener();
    rig.http.call(Call {
        method: "HEAD".into(),
        ..named(1, at, "r1")
    });
    let mut peer = accept(&origin);
    read_head(&mut peer);
    peer.write_all(answer("r1", "hidden").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (1, "".into()));
    rig.http.call(named(2, at, "r2"));
    let mut next = accept(&origin);
    read_head(&mut next);
    next.write_all(answer("r2", "own").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (2, "own".into()));
}

#[test]
fn an_address_that_goes_to_another_process_gets_each_call_once() {
    let rig = Rig::new(Limits::default());
    let (origin, at) = listener();
    rig.http.call(named(1, at, "r1"));
    let mut peer = accept(&origin);
    read_head(&mut peer);
    peer.write_all(answer("r1", "one").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (1, "one".into()));
    reset(&peer);
    drop((peer, origin));
    let other = HttpLine::listen(at).unwrap();
    // The end of the kept connection is seen before the next call is begun.
    thread::sleep(Duration::from_millis(50));
    rig.http.call(named(2, at, "r2"));
    let mut peer = accept(&other);
    assert!(read_head(&mut peer).contains("Request-Id: r2\r\n"));
    peer.write_all(answer("r2", "two").as_bytes()).unwrap();
    assert_eq!(body(rig.came()), (2, "two".into()));
    quiet(&other);
}

#[test]
fn answers_to_a_client_that_pipelined_and_went_away_reach_nobody_else() {
    let rig = Rig::new(Limits::default());
    let mut leaving = rig.peer();
    leaving
        .write_all("GET /a HTTP/1.1\r\n\r\n".repeat(3).as_bytes())
        .unwrap();
    let old: Vec<u64> = (0..3).map(|_| rig.asked().0).collect();
    rig.http.tell(old[1], told("second of the one that left"));
    reset(&leaving);
    drop(leaving);
    let gone: Vec<u64> = (0..3).map(|_| rig.gone()).collect();
    assert_eq!(gone, old);
    let mut peer = rig.peer();
    peer.write_all(b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let (own, asked) = rig.asked();
    assert_eq!(asked.target, "/b");
    assert!(!old.contains(&own));
    for line in old {
        rig.http.tell(line, told("of the one that left"));
    }
    rig.http.tell(own, told("own"));
    let all = rest(&mut peer);
    assert!(all.ends_with("\r\n\r\nown"), "{all}");
    assert_eq!(all.matches("HTTP/1.1").count(), 1);
}

/// A close is reported at once, whatever the connection is doing.
fn reported_as_gone(limits: Limits, requests: &str, half: bool) {
    let rig = Rig::new(limits);
    let mut peer = rig.peer();
    peer.write_all(requests.as_bytes()).unwrap();
    let (line, _) = rig.asked();
    if half {
        peer.shutdown(std::net::Shutdown::Write).unwrap();
    } else {
        drop(peer);
    }
    assert_eq!(rig.gone(), line, "{requests:?}");
}

#[test]
fn the_close_of_a_waiting_caller_is_reported() {
    for half in [false, true] {
        reported_as_gone(Limits::default(), "GET /a HTTP/1.1\r\n\r\n", half);
    }
}

/// Nothing is read behind a request that ends its connection.
#[test]
fn the_close_behind_a_last_request_is_reported() {
    for half in [false, true] {
        let last = "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n";
        reported_as_gone(Limits::default(), last, half);
    }
}

/// Nothing is read from a caller that has asked for so much already.
#[test]
fn the_close_behind_requests_that_are_not_read_yet_is_reported() {
    let limits = Limits {
        pipeline: 1,
        ..Limits::default()
    };
    for half in [false, true] {
        let two = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n";
        reported_as_gone(limits.clone(), two, half);
    }
}

#[test]
fn the_close_of_a_caller_is_reported_while_the_line_is_drained_and_stopped() {
    let rig = Rig::new(Limits::default());
    let mut peer = rig.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (line, _) = rig.asked();
    rig.http.drain();
    rig.http.stop();
    drop(peer);
    assert_eq!(rig.gone(), line);
}

#[test]
fn a_reset_is_reported_and_an_answered_request_is_not() {
    let rig = Rig::new(Limits::default());
    let mut peer = rig.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        .unwrap();
    let ((a, _), (b, _)) = (rig.asked(), rig.asked());
    rig.http.tell(a, told("a"));
    let mut answer = [0; 64];
    peer.read_exact(&mut answer[..30]).unwrap();
    reset(&peer);
    drop(peer);
    assert_eq!(rig.gone(), b);
    thread::sleep(QUIET);
    assert!(rig.events.is_empty(), "reported twice, or though answered");
}

/// No connections are open any more.
fn all_closed(http: &HttpLine) -> bool {
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(2) {
        if http.usage().open == 0 {
            return true;
        }
        thread::sleep(Duration::from_millis(1));
    }
    false
}

/// A large answer on a narrow link would be written for ten seconds more.
#[test]
fn a_paced_answer_is_not_written_on_for_a_caller_that_has_left() {
    for reads in [false, true] {
        let rig = Rig::new(Limits {
            send_bytes_s: Some(100_000.0),
            ..Limits::default()
        });
        let mut peer = rig.peer();
        peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
        let (line, _) = rig.asked();
        rig.http.tell(line, told(&"x".repeat(1_000_000)));
        if reads {
            peer.read_exact(&mut [0; 20_000]).unwrap();
        }
        drop(peer);
        assert!(all_closed(&rig.http), "reads: {reads}");
    }
}

/// The origin sees the end of a dropped call, sent or still being connected, and
/// nothing comes of it.
#[test]
fn an_origin_sees_the_end_of_a_dropped_call() {
    let rig = Rig::new(Limits::default());
    let (listener, at) = listener();
    rig.call(1, at, "/a");
    let mut origin = accept(&listener);
    read_head(&mut origin);
    rig.http.drop_call(1);
    // Far before the call's own limit.
    origin.set_read_timeout(Some(QUIET * 2)).unwrap();
    let end = origin.read(&mut [0; 8]).unwrap_err();
    assert_eq!(end.kind(), ErrorKind::ConnectionReset, "not half an end");

    rig.call(2, at, "/b");
    rig.http.drop_call(2);
    assert!(all_closed(&rig.http));
    rig.http.drop_call(3);
    thread::sleep(QUIET);
    assert!(rig.events.is_empty(), "nothing comes of dropped calls");
}
