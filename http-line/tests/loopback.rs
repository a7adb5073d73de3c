//! Both sides over 127.0.0.1.
mod rig;
use http_line::prelude::*;
use rig::*;
use std::net::{Shutdown, TcpListener};

#[test]
fn calls_go_over_the_connections_there_are() {
    let (here, there) = (Rig::new(Limits::default()), Rig::new(Limits::default()));
    for id in 0..5 {
        here.call(id, there.at, "/now");
        assert_eq!(body(here.came()), (id, "/now".into()));
    }
    let usage = here.http.usage();
    assert_eq!(
        (usage.connects, usage.reused, usage.calls, usage.open),
        (1, 4, 5, 1)
    );
    for id in 10..13 {
        here.call(id, there.at, "/wait");
    }
    assert!(matches!(here.came(), (12, Came::Unsent(why)) if why.contains("busy")));
    let ((first, _), (second, asked)) = (there.asked(), there.asked());
    assert_eq!(asked.target, "/wait");
    assert!(!there.http.idle());
    there.http.tell(second, told("two"));
    assert_eq!(body(here.came()).1, "two");
    here.http.drop_call(10);
    here.http.drop_call(11);
    assert_eq!(there.gone(), first);
    let large = Arc::new(vec![b'x'; 900_000]);
    here.http.call(Call {
        method: "POST".into(),
        body: large.clone(),
        ..call(20, there.at, "/")
    });
    let (line, asked) = there.asked();
    assert!(asked.body == *large);
    let part = Body::part(Arc::new(vec![b'z'; 5_000_000]), 1..4_000_001);
    there.http.tell(
        line,
        Told {
            status: 200,
            body: part,
            ..Told::default()
        },
    );
    assert!(body(here.came()).1 == "z".repeat(4_000_000));
}

#[test]
fn pipelined_answers_keep_their_order() {
    let rig = Rig::new(Limits {
        pipeline: 2,
        ..Limits::default()
    });
    let mut peer = rig.peer();
    peer.write_all("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n".as_bytes()).unwrap();
    peer.shutdown(Shutdown::Write).unwrap();
    let ((a, _), (b, _)) = (rig.asked(), rig.asked());
    // A caller that ends its writing may have left. The answers are still written.
    assert_eq!((rig.gone(), rig.gone()), (a, b));
    rig.http.tell(b, told("b"));
    assert!(rig.events.is_empty());
    rig.http.tell(a, told("a"));
    let (c, asked) = rig.asked();
    assert_eq!(rig.gone(), c);
    assert_eq!(
        (asked.target.as_str(), asked.peer),
        ("/c", peer.local_addr().unwrap())
    );
    rig.http.tell(c, told("c"));
    let one = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 1\r\n";
    assert_eq!(
        rest(&mut peer),
        format!("{one}\r\na{one}\r\nb{one}Connection: close\r\n\r\nc")
    );
}

#[test]
fn nothing_behind_an_uncertain_end_is_handed_out() {
    let rig = Rig::new(Limits::default());
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
        let mut peer = rig.peer();
        peer.write_all(format!("POST / HTTP/1.1\r\nHost: h\r\n{lines}{hidden}").as_bytes())
            .unwrap();
        let answer = rest(&mut peer);
        assert!(
            answer.starts_with("HTTP/1.1 400 ") && answer.contains("Connection: close"),
            "{lines:?} {answer:?}"
        );
        assert_eq!(answer.matches("HTTP/1.1").count(), 1);
    }
    assert!(rig.events.is_empty());
    let mut peer = rig.peer();
    peer.write_all(b"POST / HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
        .unwrap();
    let _ = peer.write_all(&vec![0; 30_000]);
    assert!(rest(&mut peer).starts_with("HTTP/1.1 413 "));
}

#[test]
fn late_and_early_ends() {
    let rig = Rig::new(Limits {
        head_time: Duration::from_millis(30),
        idle_time: Duration::from_millis(80),
        ..Limits::default()
    });
    let mut slow = rig.peer();
    slow.write_all(b"GET / HT").unwrap();
    assert!(rest(&mut slow).starts_with("HTTP/1.1 408 "));
    assert_eq!(rest(&mut rig.peer()), "");
    let mut peer = rig.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (line, _) = rig.asked();
    // Unread input at the closing makes it a reset.
    rig.http.set_limits(Limits::default());
    let mut other = rig.peer();
    other
        .write_all(b"GET /now HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        .unwrap();
    let (second, _) = rig.asked();
    let mut one = [0];
    other.read_exact(&mut one).unwrap();
    drop(other);
    assert_eq!(rig.gone(), second);
    rig.http.drain();
    rig.http.tell(line, told("a"));
    assert!(rest(&mut peer).contains("Connection: close"));
    let mut new = rig.peer();
    new.write_all(b"GET /now HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
        .unwrap();
    assert!(rest(&mut new).contains("Connection: close"));
}

/// Once, an idle connection was closed at once, and a request that was on its way
/// then was read and thrown away.
#[test]
fn a_request_that_meets_the_draining_of_its_idle_connection_is_answered() {
    let rig = Rig::new(Limits::default());
    let mut peer = rig.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (line, _) = rig.asked();
    rig.http.tell(line, told("a"));
    let mut answer = [0; 64];
    assert!(peer.read(&mut answer).unwrap() > 0);
    rig.http.drain();
    std::thread::sleep(Duration::from_millis(50));
    peer.write_all(b"GET /b HTTP/1.1\r\n\r\n").unwrap();
    let (line, asked) = rig.asked();
    assert_eq!(asked.target, "/b");
    rig.http.tell(line, told("b"));
    assert!(rest(&mut peer).contains("Connection: close"));
}

/// Once, requests were read while the process waited for its last messages to
/// leave, and nobody answered them.
#[test]
fn after_a_stop_nothing_is_read_and_what_was_read_is_answered() {
    let rig = Rig::new(Limits::default());
    let mut peer = rig.peer();
    peer.write_all(b"GET /a HTTP/1.1\r\n\r\n").unwrap();
    let (line, _) = rig.asked();
    let mut half = rig.peer();
    half.write_all(b"POST /half HTTP/1.1\r\nContent-Length: 9\r\n\r\n1234")
        .unwrap();
    let mut idle = rig.peer();
    idle.write_all(b"GET /now HTTP/1.1\r\n\r\n").unwrap();
    let mut one = [0];
    idle.read_exact(&mut one).unwrap();
    rig.http.stop();
    std::thread::sleep(Duration::from_millis(50));
    for late in [&mut idle, &mut rig.peer()] {
        late.write_all(b"GET /late HTTP/1.1\r\n\r\n").unwrap();
    }
    half.write_all(b"56789").unwrap();
    std::thread::sleep(Duration::from_millis(50));
    assert!(rig.events.is_empty(), "nothing was read");
    assert!(!rig.http.finished(), "one is not answered");
    rig.http.tell(line, told("a"));
    let end = std::time::Instant::now() + WAIT;
    while !rig.http.finished() {
        assert!(std::time::Instant::now() < end, "it is answered");
        std::thread::sleep(Duration::from_millis(1));
    }
    let mut answer = [0; 64];
    assert!(peer.read(&mut answer).unwrap() > 0);
}

#[test]
fn a_call_that_is_given_more_time_is_not_given_up_before() {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = other.local_addr().unwrap();
    let rig = Rig::new(Limits::default());
    rig.http.call(Call {
        limit: Duration::from_millis(300),
        ..call(1, at, "/")
    });
    let mut peer = other.accept().unwrap().0;
    rig.http.extend_call(1, Duration::from_secs(5));
    rig.http.extend_call(7, Duration::from_secs(5));
    std::thread::sleep(Duration::from_millis(600));
    serve(&mut peer, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    assert_eq!(body(rig.came()), (1, "a".into()));
}

#[test]
fn what_called_ones_do() {
    let rig = Rig::new(Limits::default());
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = other.local_addr().unwrap();
    let echo = Some(("E".to_string(), "1".to_string()));
    let (ours, stranger) = (
        "HTTP/1.1 200 OK\r\nE: 1\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nE: 0\r\nContent-Length: 1\r\n\r\nb",
    );

    rig.http.call(Call {
        request: None,
        echo: echo.clone(),
        ..call(1, at, "/")
    });
    let mut peer = other.accept().unwrap().0;
    serve(&mut peer, &format!("{stranger}{ours}"));
    assert_eq!(body(rig.came()), (1, "a".into()));
    assert_eq!(rest(&mut peer), "");

    rig.http.call(Call {
        echo,
        ..call(2, at, "/")
    });
    let mut peer = other.accept().unwrap().0;
    serve(&mut peer, ours);
    assert_eq!(body(rig.came()), (2, "a".into()));
    rig.call(3, at, "/");
    serve(&mut peer, "");
    drop(peer);
    assert!(
        matches!(rig.came(), (3, Came::Lost { why, reused: true }) if why.starts_with("reused: "))
    );

    rig.call(4, at, "/");
    let mut peer = other.accept().unwrap().0;
    serve(
        &mut peer,
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
    );
    drop(peer);
    assert!(matches!(rig.came(), (4, Came::Lost { reused: false, .. })));

    rig.http.call(Call {
        limit: Duration::from_millis(200),
        ..call(5, at, "/")
    });
    let mut peer = other.accept().unwrap().0;
    serve(&mut peer, "");
    assert!(matches!(rig.came(), (5, Came::Lost { reused: false, .. })));
    assert_eq!(
        peer.read(&mut [0]).unwrap_err().kind(),
        ErrorKind::ConnectionReset
    );

    drop(other);
    rig.call(6, at, "/");
    assert!(matches!(rig.came(), (6, Came::Unsent(_))));
    assert_eq!(rig.http.usage().open, 0);
}

#[test]
fn a_slow_reader_gets_all() {
    let rig = Rig::new(Limits::default());
    let mut peer = rig.peer();
    peer.write_all("GET /a HTTP/1.1\r\n\r\n".repeat(40).as_bytes())
        .unwrap();
    let shared = Arc::new(vec![b'q'; 1_000_000]);
    let mut count = 0;
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n";
    while count < 40 {
        let (line, _) = rig.asked();
        rig.http.tell(
            line,
            Told {
                status: 200,
                body: shared.clone().into(),
                ..Told::default()
            },
        );
        exact(&mut peer, head);
        let mut bytes = vec![0; shared.len()];
        peer.read_exact(&mut bytes).unwrap();
        assert!(bytes == *shared);
        count += 1;
    }
}
