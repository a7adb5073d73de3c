use crate::prelude::*;

/// One connection to another address, without its socket. Invariant: while
/// idle (`running` is none) nothing may come in, and it may be reused before
/// `until` only.
pub struct Called {
    pub to: SocketAddr,
    running: Option<Running>,
    inbox: Vec<u8>,
    seen: usize,
    answer: Option<(AnswerHead, Reading)>,
    pub out: Outgoing,
    uses: u64,
    strangers: u32,
    until: Option<Instant>,
}

struct Running {
    id: u64,
    bare: bool,
    last: bool,
    echo: Option<(String, String)>,
    sent: bool,
    heard: bool,
    end: Instant,
    connect: Instant,
}

/// How a call ended, and how long the connection may be kept for the next.
pub struct Ended {
    pub id: u64,
    pub came: Came,
    pub keep: Option<Duration>,
}

const HEAD_BYTES: usize = 64 * 1024;
const STRANGERS: u32 = 2;
const UNUSED: Duration = Duration::from_secs(8);
const CONNECT: Duration = Duration::from_secs(1);

impl Called {
    pub fn new(to: SocketAddr) -> Called {
        Called {
            to,
            running: None,
            inbox: Vec::new(),
            seen: 0,
            answer: None,
            out: Outgoing::default(),
            uses: 0,
            strangers: 0,
            until: None,
        }
    }

    /// `from`: when the call's limit began.
    pub fn begin(&mut self, call: &Call, from: Instant, now: Instant) {
        let mut head = Vec::with_capacity(256);
        for part in [
            call.method.as_bytes(),
            b" ",
            call.target.as_bytes(),
            b" HTTP/1.1\r\n",
        ] {
            head.extend_from_slice(part);
        }
        let ours = |name: &str| {
            ["content-length", "transfer-encoding", "expect"]
                .iter()
                .any(|our| name.eq_ignore_ascii_case(our))
        };
        for (name, value) in call.headers.iter().filter(|pair| !ours(&pair.0)) {
            for part in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
                head.extend_from_slice(part);
            }
        }
        if !call.body.is_empty() || matches!(call.method.as_str(), "POST" | "PUT" | "PATCH") {
            head.extend_from_slice(format!("Content-Length: {}\r\n", call.body.len()).as_bytes());
        }
        head.extend_from_slice(b"\r\n");
        self.out.push(head.into());
        self.out.push(call.body.clone().into());
        self.uses += 1;
        self.strangers = 0;
        self.until = None;
        let mut words = Head::named(&call.headers, "connection").flat_map(|value| value.split(','));
        self.running = Some(Running {
            id: call.id,
            bare: call.method == "HEAD",
            last: words.any(|word| word.trim().eq_ignore_ascii_case("close")),
            echo: call.echo.clone(),
            sent: false,
            heard: false,
            end: from + call.limit,
            connect: now + CONNECT,
        });
    }

    pub fn idle(&self) -> bool {
        self.running.is_none()
    }

    pub fn sent(&self) -> bool {
        self.running.as_ref().is_some_and(|run| run.sent)
    }

    pub fn wrote(&mut self) {
        if let Some(run) = &mut self.running {
            run.sent = true;
        }
    }

    pub fn keep(&mut self, until: Instant) {
        self.until = Some(until);
    }

    pub fn fresh(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    pub fn feed(&mut self, input: &[u8], limits: &Limits) -> Option<Ended> {
        self.running.as_mut()?.heard = true;
        let mut held = std::mem::take(&mut self.inbox);
        let input = if held.is_empty() {
            input
        } else {
            held.extend_from_slice(input);
            &held
        };
        let mut at = 0;
        loop {
            if let Some((_, reading)) = &mut self.answer {
                match reading.feed(&input[at..]) {
                    Ok((used, whole)) => {
                        at += used;
                        if !whole {
                            return None;
                        }
                        if let Some(ended) = self.whole(at == input.len()) {
                            return Some(ended);
                        }
                    }
                    Err(Fault::Bad(why)) => return self.fail(why),
                    Err(Fault::Large) => return self.fail("the answer is too large"),
                }
                continue;
            }
            let rest = &input[at..];
            let start = b"HTTP/1.";
            if rest.iter().zip(start).any(|(found, want)| found != want) {
                return self.fail("what came is no HTTP/1 answer");
            }
            let Some(size) = Head::end(rest, self.seen) else {
                if rest.len() > HEAD_BYTES {
                    return self.fail("the head of the answer is too large");
                }
                self.seen = rest.len();
                self.inbox = rest.to_vec();
                return None;
            };
            self.seen = 0;
            let bare = self.running.as_ref().is_some_and(|run| run.bare);
            match Head::answer(&rest[..size], bare) {
                Ok(head) if head.status < 100 || head.status == 101 => {
                    return self.fail("a status that cannot be");
                }
                Ok(head) if head.status < 200 => {}
                Ok(head) => match Reading::new(head.framing, limits.answer_bytes) {
                    Ok(reading) => self.answer = Some((head, reading)),
                    Err(_) => return self.fail("the answer is too large"),
                },
                Err(why) => return self.fail(why),
            }
            at += size;
        }
    }

    /// The answer is whole: ours, or somebody else's that came late.
    fn whole(&mut self, alone: bool) -> Option<Ended> {
        let (head, reading) = self.answer.take()?;
        let run = self.running.as_ref()?;
        if let Some((name, value)) = &run.echo
            && !Head::named(&head.headers, name).any(|found| found == value)
        {
            self.strangers += 1;
            if self.strangers > STRANGERS || head.close {
                return self.fail("only answers to other calls came");
            }
            return None;
        }
        let run = self.running.take()?;
        let reuse = alone && !head.close && !run.last && self.strangers == 0 && self.out.is_empty();
        let keep = if reuse {
            Called::spare(&head.headers)
        } else {
            None
        };
        let AnswerHead {
            status, headers, ..
        } = head;
        Some(Ended {
            id: run.id,
            came: Came::Reply {
                status,
                headers,
                body: reading.body,
            },
            keep,
        })
    }

    /// How long an idle connection is kept: less than the other side does.
    fn spare(headers: &[(String, String)]) -> Option<Duration> {
        let mut words = Head::named(headers, "keep-alive").flat_map(|value| value.split(','));
        let named = words.find_map(|word| {
            let (name, value) = word.split_once('=')?;
            name.trim()
                .eq_ignore_ascii_case("timeout")
                .then(|| value.trim().parse::<u32>().ok())?
        });
        let Some(seconds) = named else {
            return Some(UNUSED);
        };
        let time = Duration::from_secs(seconds.min(600).into());
        time.checked_sub((time / 5).max(Duration::from_secs(1)))
            .filter(|left| !left.is_zero())
    }

    fn fail(&mut self, why: &str) -> Option<Ended> {
        let run = self.running.take()?;
        let came = if !run.sent {
            Came::Unsent(why.into())
        } else if self.uses > 1 && !run.heard {
            Came::Lost {
                why: format!("reused: {why}"),
                reused: true,
            }
        } else {
            Came::Lost {
                why: why.into(),
                reused: false,
            }
        };
        Some(Ended {
            id: run.id,
            came,
            keep: None,
        })
    }

    /// The connection has ended, `well` if by the other side's closing.
    pub fn ended(&mut self, well: bool, why: &str) -> Option<Ended> {
        if well
            && self
                .answer
                .as_ref()
                .is_some_and(|(_, reading)| reading.ends_here())
            && let Some(ended) = self.whole(true)
        {
            return Some(Ended {
                keep: None,
                ..ended
            });
        }
        self.fail(why)
    }

    /// The call's time is over.
    pub fn late(&mut self) -> Option<Ended> {
        let run = self.running.take()?;
        let came = match run.sent {
            true => Came::Lost {
                why: "no whole answer in time".into(),
                reused: false,
            },
            false => Came::Unsent("no connection in time".into()),
        };
        Some(Ended {
            id: run.id,
            came,
            keep: None,
        })
    }

    pub fn due(&self) -> Option<Instant> {
        match &self.running {
            Some(run) if run.sent || self.uses > 1 => Some(run.end),
            Some(run) => Some(run.end.min(run.connect)),
            None => self.until,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
        assert_eq!(unsent.due(), Some(now + CONNECT));
        assert!(matches!(
            unsent.late(),
            Some(Ended {
                came: Came::Unsent(_),
                ..
            })
        ));
    }
}
