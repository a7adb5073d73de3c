//! The event loop: one thread that owns the listener and all sessions.
use crate::link::Shared;
use crate::link::inbound::{Inbound, Reading};
use crate::link::outbound::{Connection, Outbound, Writing};
use crate::prelude::*;
use mio::event::Event as Readiness;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use socket2::SockRef;
use std::io::{self, ErrorKind};

/// Token of the waker that `Links` triggers.
const WAKER: usize = 0;
/// Token of the listener.
const LISTENER: usize = 1;
/// Token of the first session.
const FIRST_SESSION: usize = 2;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two attempts to connect to a peer.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without an acknowledgement after which a session is closed and the peer is
/// reconnected: TCP alone would wait ever longer between retransmissions, and the
/// end of a network partition would go unnoticed for many seconds.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Approximate time after which an idle session to a machine that disappeared ends
/// (TCP keepalive).
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
/// Delay before accepting again after the system had no descriptor for a new session.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Size of the socket receive buffer. Kept small: a message is better held in the
/// sender's queue, where urgent messages go first.
const RECEIVE_BYTES: usize = 256 * 1024;
/// Size of the buffer shared by all reads.
const SCRATCH_BYTES: usize = 64 * 1024;
/// Maximum number of events that one poll returns.
const EVENT_CAPACITY: usize = 256;

/// Owns the listener and all sessions. Invariants:
/// - A token is never reused, so a late event or deadline finds no session.
/// - Events are edge-triggered: `Inbound::unread` and `Connection::Blocked` keep the
///   readiness until the socket returns `WouldBlock`.
/// - Of the sessions that one address opened only the latest is read, so the
///   messages of a peer are processed in the order in which they were sent.
pub(super) struct EventLoop {
    poll: Poll,
    listener: TcpListener,
    shared: Arc<Shared>,
    inputs: Sender<Input>,
    inbound: HashMap<Token, Inbound>,
    /// The latest session of each address from which a message was received.
    latest_inbound: HashMap<SocketAddr, Token>,
    outbound: HashMap<SocketAddr, Outbound>,
    /// The peer address of each outbound session.
    outbound_tokens: HashMap<Token, SocketAddr>,
    /// Earliest time of the next attempt to connect to a peer.
    next_attempt: HashMap<SocketAddr, Instant>,
    /// Times at which an outbound session, or a peer without one, is checked again.
    deadlines: BTreeSet<(Instant, SocketAddr)>,
    /// Sessions with more to read.
    unread: Vec<Token>,
    /// Peers with more to write.
    unwritten: Vec<SocketAddr>,
    /// Peers whose bulk messages wait until the rate of the link permits more, in the
    /// order in which they are served.
    paced: VecDeque<SocketAddr>,
    resume_accept_at: Option<Instant>,
    next_token: usize,
    scratch: Vec<u8>,
    now: Instant,
}

impl EventLoop {
    pub(super) fn new(
        poll: Poll,
        listener: std::net::TcpListener,
        shared: Arc<Shared>,
        inputs: Sender<Input>,
    ) -> io::Result<EventLoop> {
        let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES);
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry()
            .register(&mut listener, Token(LISTENER), Interest::READABLE)?;
        Ok(EventLoop {
            poll,
            listener,
            shared,
            inputs,
            inbound: HashMap::new(),
            latest_inbound: HashMap::new(),
            outbound: HashMap::new(),
            outbound_tokens: HashMap::new(),
            next_attempt: HashMap::new(),
            deadlines: BTreeSet::new(),
            unread: Vec::new(),
            unwritten: Vec::new(),
            paced: VecDeque::new(),
            resume_accept_at: None,
            next_token: FIRST_SESSION,
            scratch: vec![0; SCRATCH_BYTES],
            now: Instant::now(),
        })
    }

    /// Runs until the links are dropped.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while !self.shared.closing.load(Ordering::SeqCst) {
            let polled = self.poll.poll(&mut events, self.timeout());
            self.shared.woken.store(false, Ordering::SeqCst);
            self.now = Instant::now();
            if polled.is_ok() {
                for event in &events {
                    self.handle(event);
                }
            }
            self.write_paced();
            self.write_ready();
            self.read_unread();
            self.handle_deadlines();
        }
    }

    fn timeout(&self) -> Option<Duration> {
        let readable = !self.unread.is_empty() && !self.shared.backlog.is_full();
        if readable || !self.unwritten.is_empty() {
            return Some(Duration::ZERO);
        }
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let next = deadline
            .into_iter()
            .chain(self.resume_accept_at)
            .chain(self.paced_due())
            .min();
        next.map(|at| at.saturating_duration_since(Instant::now()))
    }

    fn handle(&mut self, event: &Readiness) {
        match event.token() {
            Token(WAKER) => {}
            Token(LISTENER) => self.accept(),
            token => match self.outbound_tokens.get(&token) {
                Some(address) => self.handle_outbound(*address, event),
                None => self.handle_inbound(token, event),
            },
        }
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token - 1)
    }

    // Inbound sessions.

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.register_inbound(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.resume_accept_at = Some(self.now + ACCEPT_RETRY_DELAY);
                    return;
                }
            }
        }
    }

    fn register_inbound(&mut self, mut stream: mio::net::TcpStream) {
        enable_keepalive(&stream);
        let token = self.new_token();
        let registry = self.poll.registry();
        if registry
            .register(&mut stream, token, Interest::READABLE)
            .is_ok()
        {
            self.inbound.insert(token, Inbound::new(stream));
            self.unread.push(token);
            self.count_sessions();
        }
    }

    fn handle_inbound(&mut self, token: Token, event: &Readiness) {
        if let Some(session) = self.inbound.get_mut(&token) {
            session.closed |= event.is_read_closed() || event.is_error();
            session.unread = true;
            self.unread.push(token);
        }
    }

    fn read_unread(&mut self) {
        for token in std::mem::take(&mut self.unread) {
            if self.shared.backlog.is_full() {
                self.unread.push(token);
            } else {
                self.read(token);
            }
        }
    }

    fn read(&mut self, token: Token) {
        let Some(mut session) = self.inbound.remove(&token) else {
            return;
        };
        if !session.unread {
            self.inbound.insert(token, session);
            return;
        }
        let mut scratch = std::mem::take(&mut self.scratch);
        let mut peer = session.peer;
        let mut undecodable = None;
        let mut keep = true;
        let reading = session.read(&mut scratch, &mut |body| {
            if keep {
                match frame::decode(body) {
                    Ok((from, message)) => {
                        keep = self.on_message(token, &mut peer, from, message, body.len());
                    }
                    Err(error) => {
                        self.shared.counters.undecodable.add(1);
                        undecodable = Some(error);
                    }
                }
            }
        });
        self.scratch = scratch;
        session.peer = peer;
        if let Some(error) = undecodable {
            log_undecodable(&session, &error);
        }
        if keep && self.continues_after(token, &reading) {
            self.inbound.insert(token, session);
        } else {
            self.end_inbound(token, &session);
        }
        self.count_sessions();
    }

    /// Handles a decoded message. Returns false if the session must be closed.
    fn on_message(
        &mut self,
        token: Token,
        peer: &mut Option<Peer>,
        from: Peer,
        message: Message,
        bytes: usize,
    ) -> bool {
        if peer.is_none() && !self.accept_first_message(token, from) {
            return false;
        }
        if *peer.get_or_insert(from) != from {
            let text = format!("{from} sent a message on the session of another peer");
            log_event(Event::FrameRefused, &text);
            self.shared.counters.rejected_frames.add(1);
            return false;
        }
        self.shared.backlog.add(bytes);
        self.inputs
            .send(Input::MessageReceived { from, message })
            .is_ok()
    }

    /// Makes the latest session of an address the valid one: the process there has
    /// closed its earlier sessions, or has ended. Returns false if the session must
    /// be closed.
    fn accept_first_message(&mut self, token: Token, from: Peer) -> bool {
        if from == self.shared.local_peer {
            return false;
        }
        let latest = self.latest_inbound.get(&from.address).copied();
        if latest.is_some_and(|latest| latest > token) {
            return false;
        }
        self.latest_inbound.insert(from.address, token);
        if let Some(earlier) = latest {
            self.inbound.remove(&earlier);
        }
        true
    }

    fn continues_after(&mut self, token: Token, reading: &Reading) -> bool {
        match reading {
            Reading::Drained => true,
            Reading::Yielded => {
                self.unread.push(token);
                true
            }
            Reading::Ended(error) => {
                log_event(Event::LinkBroken, &error.to_string());
                false
            }
            Reading::InvalidFrame(error) => {
                log_event(Event::FrameRefused, &error.to_string());
                self.shared.counters.rejected_frames.add(1);
                false
            }
        }
    }

    /// Unregisters a closed session. Its socket closes when it is dropped.
    fn end_inbound(&mut self, token: Token, session: &Inbound) {
        if let Some(peer) = session.peer
            && self.latest_inbound.get(&peer.address) == Some(&token)
        {
            self.latest_inbound.remove(&peer.address);
        }
    }

    // Outbound sessions.

    fn write_ready(&mut self) {
        let ready = self.shared.lock_queues().take_ready();
        let unwritten = std::mem::take(&mut self.unwritten);
        for address in ready.into_iter().chain(unwritten) {
            self.send(address);
        }
    }

    /// Time at which the rate of the link permits more bulk, if any waits for it.
    fn paced_due(&self) -> Option<Instant> {
        let send_rate = self.shared.send_rate.as_ref()?;
        (!self.paced.is_empty()).then(|| send_rate.peer_due())
    }

    /// Writes bulk messages that waited for the rate of the link, one peer after the
    /// other.
    fn write_paced(&mut self) {
        let Some(send_rate) = self.shared.send_rate.clone() else {
            return;
        };
        for _ in 0..self.paced.len() {
            if send_rate.peer_allowance(self.now) == 0 {
                return;
            }
            if let Some(address) = self.paced.pop_front() {
                self.send(address);
            }
        }
    }

    fn send(&mut self, to: SocketAddr) {
        match self.outbound.get(&to).map(|session| session.state) {
            Some(Connection::Open) => self.write(to),
            Some(_) => {}
            None => self.connect(to),
        }
    }

    fn connect(&mut self, to: SocketAddr) {
        if let Some(at) = self.next_attempt.get(&to).filter(|at| **at > self.now) {
            self.deadlines.insert((*at, to));
            return;
        }
        self.next_attempt.insert(to, self.now + RETRY_DELAY);
        let token = self.new_token();
        let connecting = Outbound::connect(token, to, self.now + CONNECT_TIMEOUT, STALL_TIMEOUT)
            .and_then(|mut session| {
                let interests = Interest::READABLE | Interest::WRITABLE;
                self.poll
                    .registry()
                    .register(&mut session.stream, token, interests)?;
                Ok(session)
            });
        match connecting {
            Ok(session) => {
                enable_keepalive(&session.stream);
                self.deadlines.extend(session.deadline().map(|at| (at, to)));
                self.outbound.insert(to, session);
                self.outbound_tokens.insert(token, to);
                self.count_sessions();
            }
            Err(_) => self.connect_failed(to),
        }
    }

    /// Drops the peer's queue after a failed attempt: its messages are outdated.
    fn connect_failed(&mut self, to: SocketAddr) {
        self.close_outbound(to);
        self.shared.lock_queues().drop_all(to);
        self.schedule_attempt_removal(to);
    }

    fn handle_outbound(&mut self, to: SocketAddr, event: &Readiness) {
        let Some(session) = self.outbound.get_mut(&to) else {
            return;
        };
        if let Connection::Connecting { .. } = session.state {
            match session.is_connected() {
                Ok(true) => session.state = Connection::Open,
                Ok(false) => return,
                Err(_) => return self.connect_failed(to),
            }
        }
        if event.is_error() || event.is_read_closed() {
            return self.close_broken(to, &ErrorKind::ConnectionReset.into());
        }
        if event.is_writable() {
            session.state = Connection::Open;
            self.write(to);
        }
    }

    fn write(&mut self, to: SocketAddr) {
        let Some(session) = self.outbound.get_mut(&to) else {
            return;
        };
        let send_rate = self.shared.send_rate.as_deref();
        match session.write(to, &self.shared.queues, send_rate) {
            Writing::Done => session.state = Connection::Open,
            Writing::Paced => {
                session.state = Connection::Open;
                if !self.paced.contains(&to) {
                    self.paced.push_back(to);
                }
            }
            Writing::Yielded => {
                session.state = Connection::Open;
                self.unwritten.push(to);
            }
            Writing::Blocked { progress } => {
                let until = match session.state {
                    Connection::Blocked { until } if !progress => until,
                    _ => self.now + STALL_TIMEOUT,
                };
                session.state = Connection::Blocked { until };
                if !std::mem::replace(&mut session.deadline_set, true) {
                    self.deadlines.insert((until, to));
                }
            }
            Writing::Broken(error) => self.close_broken(to, &error),
        }
    }

    /// Closes an outbound session, and reconnects if messages wait for the peer.
    fn close_broken(&mut self, to: SocketAddr, error: &io::Error) {
        log_event(Event::LinkBroken, &format!("{to}: {error}"));
        self.close_outbound(to);
        let mut queues = self.shared.lock_queues();
        queues.drop_partially_sent(to);
        let has_messages = !queues.is_empty(to);
        if !has_messages {
            queues.drop_all(to);
        }
        drop(queues);
        if has_messages {
            self.connect(to);
        } else {
            self.schedule_attempt_removal(to);
        }
    }

    /// Schedules the removal of the peer's retry time once it has passed.
    fn schedule_attempt_removal(&mut self, to: SocketAddr) {
        let at = self.next_attempt.get(&to).copied().unwrap_or(self.now);
        self.deadlines.insert((at.max(self.now), to));
    }

    fn close_outbound(&mut self, to: SocketAddr) {
        if let Some(session) = self.outbound.remove(&to) {
            self.outbound_tokens.remove(&session.token);
            self.count_sessions();
        }
    }

    // Deadlines.

    fn handle_deadlines(&mut self) {
        while let Some((at, address)) = self.deadlines.first().copied() {
            if at > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.handle_deadline(address);
        }
        if self.resume_accept_at.is_some_and(|at| at <= self.now) {
            self.resume_accept_at = None;
            self.accept();
        }
    }

    fn handle_deadline(&mut self, address: SocketAddr) {
        match self.outbound.get(&address).map(|session| session.state) {
            Some(Connection::Connecting { until }) if until <= self.now => {
                self.connect_failed(address);
            }
            Some(Connection::Blocked { until }) if until <= self.now => {
                self.close_broken(address, &ErrorKind::TimedOut.into());
            }
            Some(state) => self.renew_deadline(address, state),
            None => {
                let has_messages = !self.shared.lock_queues().is_empty(address);
                if has_messages {
                    self.connect(address);
                } else if self
                    .next_attempt
                    .get(&address)
                    .is_some_and(|at| *at <= self.now)
                {
                    self.next_attempt.remove(&address);
                }
            }
        }
    }

    /// Renews or removes the deadline of a session that made progress since it was
    /// set.
    fn renew_deadline(&mut self, address: SocketAddr, state: Connection) {
        let Some(session) = self.outbound.get_mut(&address) else {
            return;
        };
        match state {
            Connection::Blocked { until } => {
                self.deadlines.insert((until, address));
            }
            Connection::Open => session.deadline_set = false,
            Connection::Connecting { .. } => {}
        }
    }

    fn count_sessions(&self) {
        let counters = &self.shared.counters;
        counters.inbound.set(self.inbound.len());
        counters.outbound.set(self.outbound.len());
    }
}

/// Enables TCP keepalive, so that an idle session to a machine that disappeared ends.
fn enable_keepalive(stream: &mio::net::TcpStream) {
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE / 3);
    let _ = SockRef::from(stream).set_tcp_keepalive(&keepalive);
}

/// Logs one line for all undecodable messages of a read; the counter includes each.
fn log_undecodable(session: &Inbound, error: &frame::DecodeError) {
    let from = match session.peer {
        Some(peer) => peer.to_string(),
        None => "an unknown peer".into(),
    };
    log_event(Event::MessageRefused, &format!("from {from}: {error}"));
}
