//! Drawn sequences of calls, answers and faults over one origin's connections,
//! judged against what was really written and answered.
use http_line::prelude::*;
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    /// A call begins, under one of a few ids, so that ids come again.
    Begin { id: u8 },
    /// The socket takes this many bytes of the call.
    Write(usize),
    /// The origin puts these bytes on the connection.
    Send(Sent),
    /// The client reads this many of them.
    Deliver(usize),
    /// The connection ends: closed in order, or reset.
    End { in_order: bool },
    /// The call's time is over.
    Late,
}

#[derive(Debug, Clone, Copy)]
enum Sent {
    Own,
    OwnChunked,
    /// The first half of the answer; nothing follows it.
    Half,
    /// Once more what the origin answered to the call before.
    LastAgain,
    /// Once more what it answered to the first call of the connection.
    FirstAgain,
    Foreign,
    Continue,
    Junk,
}

fn step() -> impl Strategy<Value = Step> {
    let sent = prop_oneof![
        6 => Just(Sent::Own),
        2 => Just(Sent::OwnChunked),
        1 => Just(Sent::Half),
        2 => Just(Sent::LastAgain),
        1 => Just(Sent::FirstAgain),
        1 => Just(Sent::Foreign),
        1 => Just(Sent::Continue),
        1 => Just(Sent::Junk),
    ];
    prop_oneof![
        4 => (0u8..3).prop_map(|id| Step::Begin { id }),
        4 => prop_oneof![Just(0usize), Just(5), Just(1 << 20)].prop_map(Step::Write),
        4 => sent.prop_map(Step::Send),
        6 => prop_oneof![Just(1usize), 2usize..40, Just(1 << 20)].prop_map(Step::Deliver),
        1 => any::<bool>().prop_map(|in_order| Step::End { in_order }),
        1 => Just(Step::Late),
    ]
}

/// A socket that takes so many bytes.
struct Narrow(usize);

impl Write for Narrow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0 == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = bytes.len().min(self.0);
        self.0 -= size;
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The running call, as the test knows it.
struct Running {
    number: u64,
    id: u8,
    written: usize,
}

struct Model {
    called: Called,
    running: Option<Running>,
    calls: u64,
    /// Ids and numbers of the calls that went over this connection.
    carried: Vec<(u8, u64)>,
    wire: VecDeque<u8>,
    broken: bool,
    kept: bool,
    replies: usize,
}

fn connection() -> Called {
    Called::new(([127, 0, 0, 1], 9).into())
}

/// The body names the very call that it answers.
fn answer(id: u8, number: u64, chunked: bool) -> String {
    let body = format!("call {number}");
    let framed = if chunked {
        format!(
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        )
    } else {
        format!("Content-Length: {}\r\n\r\n{body}", body.len())
    };
    format!("HTTP/1.1 200 OK\r\nRequest-Id: r{id}\r\n{framed}")
}

impl Model {
    fn new() -> Model {
        Model {
            called: connection(),
            running: None,
            calls: 0,
            carried: Vec::new(),
            wire: VecDeque::new(),
            broken: false,
            kept: false,
            replies: 0,
        }
    }

    fn reconnect(&mut self) {
        self.called = connection();
        self.carried.clear();
        self.wire.clear();
        self.broken = false;
        self.kept = false;
    }

    fn begin(&mut self, id: u8) {
        if self.running.is_some() {
            return;
        }
        self.calls += 1;
        let call = Call {
            id: self.calls,
            to: self.called.to,
            method: "POST".into(),
            target: "/".into(),
            headers: Vec::new(),
            body: Arc::new(b"body".to_vec()),
            limit: Duration::from_secs(1),
            request: None,
            echo: Some(("Request-Id".into(), format!("r{id}"))),
            sessions: 1,
        };
        // Bytes that lie there end an idle connection, if the event loop sees
        // them before the next call: here it does so half of the time.
        let seen = !self.wire.is_empty() && self.calls.is_multiple_of(2);
        if !self.kept || seen || self.called.carried(&call) {
            self.reconnect();
        }
        self.kept = false;
        let now = Instant::now();
        self.called.begin(&call, now, now);
        self.running = Some(Running {
            number: self.calls,
            id,
            written: 0,
        });
        self.carried.push((id, self.calls));
    }

    fn write(&mut self, size: usize) {
        let Some(running) = &mut self.running else {
            return;
        };
        let (size, _) = self.called.out.write(&mut Narrow(size));
        if size > 0 {
            running.written += size;
            self.called.wrote();
        }
    }

    fn send(&mut self, sent: Sent) {
        if self.broken {
            return;
        }
        // An origin answers what it has read whole.
        let own = self.running.as_ref().filter(|_| self.called.out.is_empty());
        let own = own.map(|running| (running.id, running.number));
        let earlier = &self.carried[..self.carried.len() - usize::from(self.running.is_some())];
        let text = match (sent, own) {
            (Sent::Own, Some((id, number))) => answer(id, number, false),
            (Sent::OwnChunked, Some((id, number))) => answer(id, number, true),
            (Sent::Half, Some((id, number))) => {
                self.broken = true;
                let whole = answer(id, number, number % 2 == 0);
                whole[..whole.len() - 4].to_string()
            }
            (Sent::LastAgain, _) => match earlier.last() {
                Some((id, number)) => answer(*id, *number, false),
                None => return,
            },
            (Sent::FirstAgain, _) => match earlier.first() {
                Some((id, number)) => answer(*id, *number, false),
                None => return,
            },
            (Sent::Foreign, _) => answer(99, 0, false),
            (Sent::Continue, Some(_)) => "HTTP/1.1 100 Continue\r\n\r\n".into(),
            (Sent::Junk, _) => "junk".into(),
            _ => return,
        };
        self.wire.extend(text.bytes());
    }

    fn deliver(&mut self, size: usize) -> Result<(), TestCaseError> {
        if self.running.is_none() {
            return Ok(());
        }
        let size = size.min(self.wire.len());
        let bytes: Vec<u8> = self.wire.drain(..size).collect();
        if bytes.is_empty() {
            return Ok(());
        }
        let ended = self.called.feed(&bytes, &Limits::default());
        self.judge(ended)
    }

    fn judge(&mut self, ended: Option<Ended>) -> Result<(), TestCaseError> {
        let Some(Ended { id, came, keep }) = ended else {
            return Ok(());
        };
        let Some(running) = self.running.take() else {
            return Err(TestCaseError::fail("a call ended twice"));
        };
        prop_assert_eq!(id, running.number);
        self.kept = keep.is_some();
        match came {
            Came::Reply { body, sized, .. } => {
                self.replies += 1;
                prop_assert_eq!(
                    String::from_utf8(body).unwrap(),
                    format!("call {}", running.number)
                );
                prop_assert!(sized);
                prop_assert!(running.written > 0);
            }
            Came::Unsent(why) => {
                prop_assert_eq!(running.written, 0, "{}", why);
                prop_assert!(!self.kept);
            }
            Came::Lost { .. } => {
                prop_assert!(running.written > 0);
                prop_assert!(!self.kept);
            }
        }
        Ok(())
    }

    fn play(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Begin { id } => self.begin(id),
            Step::Write(size) => self.write(size),
            Step::Send(sent) => self.send(sent),
            Step::Deliver(size) => self.deliver(size)?,
            Step::End { in_order } => {
                let ended = self.called.ended(in_order, "the connection ended");
                self.judge(ended)?;
                self.reconnect();
            }
            Step::Late => {
                let ended = self.called.late();
                self.judge(ended)?;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever comes in whatever pieces: a reply is the answer to this very
    /// call, and "unsent" means that no byte of it left.
    #[test]
    fn a_call_ends_once_with_its_own_answer_or_none(steps in proptest::collection::vec(step(), 1..80)) {
        let mut model = Model::new();
        for step in steps {
            model.play(step)?;
        }
    }
}
