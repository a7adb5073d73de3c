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
    /// Hashes of what the answers of the last calls here go by, oldest first.
    carried: VecDeque<u64>,
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
/// Echoed ids and requests of a connection's last calls that are remembered.
const CARRIED: usize = 64;
const UNUSED: Duration = Duration::from_secs(8);
/// A connection that does not stand by then is given up: what is called was
/// chosen from a list that gets old.
const CONNECT: Duration = Duration::from_millis(500);

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
            carried: VecDeque::new(),
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
        self.remember(call);
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

    /// Whether one of the last calls here was a try of the same request, or had
    /// the same echoed id. A second answer to that call could not be told from
    /// the answer to this one.
    pub fn carried(&self, call: &Call) -> bool {
        Called::marks(call).any(|mark| self.carried.contains(&mark))
    }

    fn remember(&mut self, call: &Call) {
        for mark in Called::marks(call) {
            if self.carried.len() == CARRIED {
                self.carried.pop_front();
            }
            self.carried.push_back(mark);
        }
    }

    /// Hashes of what ties an answer to its request.
    fn marks(call: &Call) -> impl Iterator<Item = u64> {
        let hash = |kind: u8, value: &dyn AsRef<[u8]>| {
            let mut hasher = DefaultHasher::new();
            (kind, value.as_ref()).hash(&mut hasher);
            hasher.finish()
        };
        let echo = call.echo.as_ref().map(|(_, value)| hash(0, value));
        let request = call.request.map(|id| hash(1, &id.to_be_bytes()));
        echo.into_iter().chain(request)
    }

    /// The running call is not given up before this time.
    pub fn extend(&mut self, end: Instant) {
        if let Some(run) = &mut self.running {
            run.end = run.end.max(end);
        }
    }

    /// No call is under way.
    pub fn idle(&self) -> bool {
        self.running.is_none()
    }

    /// Whether any byte of the running call was taken by the socket.
    pub fn sent(&self) -> bool {
        self.running.as_ref().is_some_and(|run| run.sent)
    }

    /// The socket took bytes of the running call.
    pub fn wrote(&mut self) {
        if let Some(run) = &mut self.running {
            run.sent = true;
        }
    }

    /// Idle from here on, to be reused before `until` only.
    pub fn keep(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Whether an idle connection may still be reused.
    pub fn fresh(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Takes what came in; how the call ended, if it did by that.
    pub fn feed(&mut self, input: &[u8], limits: &Limits) -> Option<Ended> {
        let run = self.running.as_mut()?;
        if !run.sent {
            return self.fail("bytes came before the request was sent");
        }
        run.heard = true;
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
                sized: !reading.ends_here(),
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

    /// When `late` is to be asked, or an idle connection given up.
    pub fn due(&self) -> Option<Instant> {
        match &self.running {
            Some(run) if run.sent || self.uses > 1 => Some(run.end),
            Some(run) => Some(run.end.min(run.connect)),
            None => self.until,
        }
    }
}
