//! Tests of `served`.
use super::*;

struct Nobody;

impl Taker for Nobody {
    fn asked(&self, _: u64, _: usize, _: Asked) {}
    fn came(&self, _: u64, _: Came) {}
    fn gone(&self, _: u64) {}
}

struct Desk {
    served: Served,
    limits: Limits,
    now: Instant,
    gone: Vec<u64>,
}

impl Desk {
    fn new() -> Desk {
        let now = Instant::now();
        let limits = Limits {
            head_bytes: 200,
            body_bytes: 10,
            pipeline: 3,
            ..Limits::default()
        };
        Desk {
            served: Served::new(([127, 0, 0, 1], 9).into(), Arc::new(Nobody), now),
            limits,
            now,
            gone: Vec::new(),
        }
    }

    fn feed(&mut self, input: &str) -> Vec<String> {
        let mut found = Vec::new();
        self.served
            .feed(input.as_bytes(), &self.limits, self.now, &mut found);
        Desk::shown(found)
    }

    fn resume(&mut self) -> Vec<String> {
        let mut found = Vec::new();
        self.served.resume(&self.limits, self.now, &mut found);
        Desk::shown(found)
    }

    fn shown(found: Vec<(u64, Asked)>) -> Vec<String> {
        let show = |(place, a): &(u64, Asked)| {
            format!(
                "{place} {} {} {}",
                a.method,
                a.target,
                String::from_utf8_lossy(&a.body)
            )
        };
        found.iter().map(show).collect()
    }

    fn tell(&mut self, place: u64, status: u16, body: &str, close: bool) {
        let told = Told {
            status,
            headers: Vec::new(),
            body: body.as_bytes().to_vec().into(),
            close,
        };
        self.served.told(place, told, self.now, &mut self.gone);
    }

    fn wrote(&mut self) -> String {
        let mut sink = Vec::new();
        self.served.out.write(&mut sink).1.unwrap();
        String::from_utf8(sink).unwrap()
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";

#[test]
fn answers_go_in_order_of_the_requests() {
    let mut desk = Desk::new();
    let got = desk.feed("\r\nGET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiHEAD /c HTTP/1.1\r\n\r\nGET /d HT");
    assert_eq!(got, ["0 GET /a ", "1 POST /b hi", "2 HEAD /c "]);
    assert!(!desk.served.wants_read(&desk.limits));
    desk.tell(1, 200, "b", false);
    desk.tell(1, 500, "twice", false);
    desk.tell(7, 500, "never", false);
    assert_eq!(desk.wrote(), "");
    desk.tell(0, 200, "a", false);
    assert_eq!(desk.wrote(), format!("{OK}\r\na{OK}\r\nb"));
    assert_eq!(desk.resume(), [""; 0]);
    desk.tell(2, 200, "c", false);
    assert_eq!(desk.wrote(), format!("{OK}\r\n"));
    assert_eq!(
        desk.feed("TP/1.1\r\nConnection: close\r\n\r\nGET /e HTTP/1.1\r\n\r\n"),
        ["3 GET /d "]
    );
    desk.tell(3, 204, "d", false);
    assert_eq!(
        desk.wrote(),
        "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
    );
    assert!(desk.served.finished() && !desk.served.clean());
}

#[test]
fn a_closing_answer_drops_what_follows() {
    let mut desk = Desk::new();
    desk.feed(&"GET / HTTP/1.1\r\n\r\n".repeat(3));
    desk.tell(1, 200, "b", true);
    assert_eq!(desk.gone, [2]);
    assert_eq!(desk.feed("GET / HTTP/1.1\r\n\r\n"), [""; 0]);
    desk.tell(0, 200, "a", false);
    assert_eq!(
        desk.wrote(),
        format!("{OK}\r\na{OK}Connection: close\r\n\r\nb")
    );
    assert!(desk.served.finished());
}

#[test]
fn draining_ends_after_what_was_handed_out() {
    let mut desk = Desk::new();
    desk.feed("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    desk.served.drain();
    assert_eq!(desk.feed("GET / HTTP/1.1\r\n\r\n"), [""; 0]);
    desk.tell(0, 200, "a", false);
    desk.tell(1, 200, "b", false);
    assert_eq!(
        desk.wrote(),
        format!("{OK}\r\na{OK}Connection: close\r\n\r\nb")
    );
    assert!(desk.served.finished());

    let mut half = Desk::new();
    half.feed("GET / HT");
    half.served.drain();
    assert_eq!(half.feed("TP/1.1\r\n\r\n").len(), 1);
    half.tell(0, 200, "a", false);
    assert!(half.wrote().contains("Connection: close") && half.served.finished());
    let mut idle = Desk::new();
    idle.served.drain();
    assert!(!idle.served.finished(), "a request may be on its way");
    assert_eq!(idle.feed("GET / HTTP/1.1\r\n\r\n").len(), 1);
    idle.tell(0, 200, "a", false);
    assert!(idle.wrote().contains("Connection: close") && idle.served.finished());
}

#[test]
fn refusals_wait_for_their_turn() {
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
        let mut desk = Desk::new();
        assert_eq!(
            desk.feed(&format!("GET /a HTTP/1.1\r\n\r\n{input}")).len(),
            1,
            "{input:?}"
        );
        assert_eq!(desk.wrote(), "");
        desk.tell(0, 200, "a", false);
        let wrote = desk.wrote();
        assert!(
            wrote.starts_with(&format!("{OK}\r\naHTTP/1.1 {status} ")),
            "{input:?} {wrote:?}"
        );
        assert!(wrote.contains("\r\nConnection: close\r\n"));
        assert!(desk.served.finished() && !desk.served.clean());
    }
}

#[test]
fn expectation_is_met_in_turn() {
    let mut desk = Desk::new();
    desk.feed("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nExpect: 100-Continue\r\n\r\n");
    assert_eq!(desk.wrote(), "");
    desk.tell(0, 200, "a", false);
    assert_eq!(
        desk.wrote(),
        format!("{OK}\r\naHTTP/1.1 100 Continue\r\n\r\n")
    );
    assert_eq!(desk.feed("b"), ["1 POST / b"]);
}

#[test]
fn half_closed_still_answered_and_late_ones_told() {
    let mut desk = Desk::new();
    desk.feed("GET / HTTP/1.1\r\n\r\nGET /half");
    desk.served.eof();
    assert!(!desk.served.finished());
    desk.tell(0, 200, "a", false);
    assert_eq!(desk.wrote(), format!("{OK}Connection: close\r\n\r\na"));
    assert!(desk.served.finished() && desk.served.clean());

    let mut slow = Desk::new();
    assert_eq!(
        slow.served.due(&slow.limits),
        Some(slow.now + slow.limits.idle_time)
    );
    slow.now += Duration::from_secs(5);
    slow.feed("GET ");
    let due = slow.now + slow.limits.head_time;
    slow.now += Duration::from_secs(5);
    slow.feed("/ HTTP");
    assert_eq!(slow.served.due(&slow.limits), Some(due));
    assert!(!slow.served.late());
    assert!(slow.wrote().starts_with("HTTP/1.1 408 "));
    assert!(Desk::new().served.late());
}

/// However the bytes are cut, and whatever is wrong with them, the same is
/// handed out and the same refused.
#[test]
fn cuts_make_no_difference() {
    let clean = "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\n\r\n\
            PUT /c HTTP/1.1\r\nContent-Length: 4\r\n\r\nGET GET /d HTTP/1.1\r\n\r\n";
    let mut seed = 1u64;
    let mut draw = |below: usize| {
        seed = seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (seed >> 33) as usize % below
    };
    let mut whole = 0;
    for round in 0..3000 {
        let mut input = clean.as_bytes().to_vec();
        for _ in 0..round % 3 {
            let at = draw(input.len());
            match draw(3) {
                0 => input[at] = b"\r\n :;0a\x00\xff"[draw(9)],
                1 => drop(input.remove(at)),
                _ => input.insert(at, b"\r\n :;0a9"[draw(8)]),
            }
        }
        let mut run = |most: usize| {
            let mut desk = Desk::new();
            desk.limits.pipeline = 2;
            let (mut found, mut wrote, mut at, mut next) = (Vec::new(), String::new(), 0, 0);
            loop {
                desk.served.resume(&desk.limits, desk.now, &mut found);
                if at < input.len() && desk.served.wants_read(&desk.limits) {
                    let size = (draw(most) + 1).min(input.len() - at);
                    desk.served
                        .feed(&input[at..at + size], &desk.limits, desk.now, &mut found);
                    at += size;
                } else if next < found.len() as u64 {
                    desk.tell(next, 200, "a", false);
                    next += 1;
                } else {
                    break;
                }
                wrote += &desk.wrote();
            }
            (Desk::shown(found), wrote)
        };
        let once = run(1000);
        assert_eq!(run(1), once, "{:?}", String::from_utf8_lossy(&input));
        assert_eq!(run(9), once);
        whole += (once.0.len() == 4) as usize;
    }
    assert!((1000..2900).contains(&whole), "{whole}");
}

#[test]
fn an_answer_cannot_be_split() {
    let mut desk = Desk::new();
    desk.feed("HEAD / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
    let headers = vec![
        pair("Content-Length", "77"),
        pair("Transfer-Encoding", "chunked"),
        pair("A", "b"),
    ];
    desk.served.told(
        0,
        Told {
            status: 200,
            headers,
            ..Told::default()
        },
        desk.now,
        &mut desk.gone,
    );
    assert_eq!(
        desk.wrote(),
        "HTTP/1.1 200 OK\r\nContent-Length: 77\r\nA: b\r\n\r\n"
    );
    let headers = vec![pair("A", "b\r\nC: d")];
    desk.served.told(
        1,
        Told {
            status: 200,
            headers,
            ..Told::default()
        },
        desk.now,
        &mut desk.gone,
    );
    assert_eq!(
        desk.wrote(),
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
    );
}
