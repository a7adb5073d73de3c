//! The one thread that owns the listener and all sessions.
use crate::link::Shared;
use crate::link::inbound::{Inbound, Reading};
use crate::link::outbound::{Connection, Outbound, Writing};
use crate::prelude::*;
use mio::event::Event as Readiness;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use socket2::SockRef;
use std::io::{self, ErrorKind};

const WAKER: usize = 0;
const LISTENER: usize = 1;
const FIRST_SESSION: usize = 2;
const CONNECT: Duration = Duration::from_millis(500);
/// Between tries to connect to one peer.
const RETRY: Duration = Duration::from_millis(100);
/// A peer that acknowledges nothing for this long is dropped and met anew:
/// left to itself, TCP would wait ever longer between tries, and a healed cut
/// would go unnoticed for many seconds.
const STALL: Duration = Duration::from_millis(1500);
/// An idle session to a machine that vanished ends after about this long.
const IDLE: Duration = Duration::from_secs(15);
/// After the system gave no descriptor for a new session.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// What the system holds of a session that is not read: the sender's queue,
/// where what is urgent goes first, is the better place.
const RECEIVE_BYTES: usize = 256 * 1024;
const SCRATCH_BYTES: usize = 64 * 1024;
const EVENTS: usize = 256;

/// Invariants:
/// - A token is never used twice, so a late event or deadline finds nobody.
/// - Events come once an edge: `Inbound::unread` and `Connection::Blocked`
///   remember them until the socket has said that there is no more.
/// - Of the sessions that one address opened only the latest is read, so what
///   a peer says is processed in the order in which it was said.
pub(super) struct EventLoop {
    poll: Poll,
    listener: TcpListener,
    shared: Arc<Shared>,
    take: Sender<Input>,
    inbound: HashMap<Token, Inbound>,
    /// The session that each address opened last, of those that have spoken.
    speaking: HashMap<SocketAddr, Token>,
    outbound: HashMap<SocketAddr, Outbound>,
    /// Whom an outbound session's token stands for.
    outbound_tokens: HashMap<Token, SocketAddr>,
    /// When a peer that is not connected may be tried next.
    retry: HashMap<SocketAddr, Instant>,
    /// When to look at an outbound session or a retry again.
    deadlines: BTreeSet<(Instant, SocketAddr)>,
    /// Sessions with more to read, and peers with more to write.
    unread: Vec<Token>,
    unwritten: Vec<SocketAddr>,
    accept_again: Option<Instant>,
    next_token: usize,
    scratch: Vec<u8>,
    now: Instant,
}

impl EventLoop {
    pub(super) fn new(
        poll: Poll,
        listener: std::net::TcpListener,
        shared: Arc<Shared>,
        take: Sender<Input>,
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
            take,
            inbound: HashMap::new(),
            speaking: HashMap::new(),
            outbound: HashMap::new(),
            outbound_tokens: HashMap::new(),
            retry: HashMap::new(),
            deadlines: BTreeSet::new(),
            unread: Vec::new(),
            unwritten: Vec::new(),
            accept_again: None,
            next_token: FIRST_SESSION,
            scratch: vec![0; SCRATCH_BYTES],
            now: Instant::now(),
        })
    }

    /// Ends once the links are dropped.
    pub(super) fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        while !self.shared.closing.load(Ordering::SeqCst) {
            let polled = self.poll.poll(&mut events, self.timeout());
            self.shared.woken.store(false, Ordering::SeqCst);
            self.now = Instant::now();
            if polled.is_ok() {
                for event in &events {
                    self.handle(event);
                }
            }
            self.write_ready();
            self.read_unread();
            self.expire();
        }
    }

    fn timeout(&self) -> Option<Duration> {
        let readable = !self.unread.is_empty() && !self.shared.backlog.full();
        if readable || !self.unwritten.is_empty() {
            return Some(Duration::ZERO);
        }
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let next = deadline.into_iter().chain(self.accept_again).min();
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
                Ok((stream, _)) => self.accepted(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.accept_again = Some(self.now + ACCEPT_PAUSE);
                    return;
                }
            }
        }
    }

    fn accepted(&mut self, mut stream: mio::net::TcpStream) {
        keep_alive(&stream);
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
            if self.shared.backlog.full() {
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

    /// False if the session is not to go on.
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
            let text = format!("{from} on a session of another");
            log_event(Event::FrameRefused, &text);
            self.shared.counters.refused_frames.add(1);
            return false;
        }
        self.shared.backlog.received(bytes);
        self.take
            .send(Input::MessageReceived { from, message })
            .is_ok()
    }

    /// Of the sessions that an address opened, the latest counts: its process
    /// has given up the others, or has ended.
    fn accept_first_message(&mut self, token: Token, from: Peer) -> bool {
        if from == self.shared.me {
            return false;
        }
        let known = self.speaking.get(&from.address).copied();
        if known.is_some_and(|known| known > token) {
            return false;
        }
        self.speaking.insert(from.address, token);
        if let Some(known) = known {
            self.inbound.remove(&known);
        }
        true
    }

    fn continues_after(&mut self, token: Token, reading: &Reading) -> bool {
        match reading {
            Reading::Drained => true,
            Reading::Interrupted => {
                self.unread.push(token);
                true
            }
            Reading::Ended(error) => {
                log_event(Event::LinkBroken, &error.to_string());
                false
            }
            Reading::Refused(error) => {
                log_event(Event::FrameRefused, &error.to_string());
                self.shared.counters.refused_frames.add(1);
                false
            }
        }
    }

    /// The session's socket closes when it is dropped.
    fn end_inbound(&mut self, token: Token, session: &Inbound) {
        if let Some(peer) = session.peer
            && self.speaking.get(&peer.address) == Some(&token)
        {
            self.speaking.remove(&peer.address);
        }
    }

    // Outbound sessions.

    fn write_ready(&mut self) {
        let ready = self.shared.lock_outbox().take_ready();
        let unwritten = std::mem::take(&mut self.unwritten);
        for address in ready.into_iter().chain(unwritten) {
            self.send(address);
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
        if let Some(at) = self.retry.get(&to).filter(|at| **at > self.now) {
            self.deadlines.insert((*at, to));
            return;
        }
        self.retry.insert(to, self.now + RETRY);
        let token = self.new_token();
        let begun =
            Outbound::connect(token, to, self.now + CONNECT, STALL).and_then(|mut session| {
                let both = Interest::READABLE | Interest::WRITABLE;
                self.poll
                    .registry()
                    .register(&mut session.stream, token, both)?;
                Ok(session)
            });
        match begun {
            Ok(session) => {
                keep_alive(&session.stream);
                self.deadlines.extend(session.deadline().map(|at| (at, to)));
                self.outbound.insert(to, session);
                self.outbound_tokens.insert(token, to);
                self.count_sessions();
            }
            Err(_) => self.connect_failed(to),
        }
    }

    /// What gathered meanwhile is old by now.
    fn connect_failed(&mut self, to: SocketAddr) {
        self.close_outbound(to);
        self.shared.lock_outbox().forget(to);
        self.forget_retry_later(to);
    }

    fn handle_outbound(&mut self, to: SocketAddr, event: &Readiness) {
        let Some(session) = self.outbound.get_mut(&to) else {
            return;
        };
        if let Connection::Connecting { .. } = session.state {
            match session.connected() {
                Ok(true) => session.state = Connection::Open,
                Ok(false) => return,
                Err(_) => return self.connect_failed(to),
            }
        }
        if event.is_error() || event.is_read_closed() {
            return self.broken(to, &ErrorKind::ConnectionReset.into());
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
        match session.write(to, &self.shared.outbox) {
            Writing::Done => session.state = Connection::Open,
            Writing::Interrupted => {
                session.state = Connection::Open;
                self.unwritten.push(to);
            }
            Writing::Blocked { progress } => {
                let until = match session.state {
                    Connection::Blocked { until } if !progress => until,
                    _ => self.now + STALL,
                };
                session.state = Connection::Blocked { until };
                if !std::mem::replace(&mut session.watched, true) {
                    self.deadlines.insert((until, to));
                }
            }
            Writing::Broken(error) => self.broken(to, &error),
        }
    }

    /// The session ended; whoever still has something waiting is met anew.
    fn broken(&mut self, to: SocketAddr, error: &io::Error) {
        log_event(Event::LinkBroken, &format!("{to}: {error}"));
        self.close_outbound(to);
        let mut outbox = self.shared.lock_outbox();
        outbox.drop_begun(to);
        let waits = !outbox.is_empty(to);
        if !waits {
            outbox.forget(to);
        }
        drop(outbox);
        if waits {
            self.connect(to);
        } else {
            self.forget_retry_later(to);
        }
    }

    /// The last try is remembered until its pause is over.
    fn forget_retry_later(&mut self, to: SocketAddr) {
        let at = self.retry.get(&to).copied().unwrap_or(self.now);
        self.deadlines.insert((at.max(self.now), to));
    }

    fn close_outbound(&mut self, to: SocketAddr) {
        if let Some(session) = self.outbound.remove(&to) {
            self.outbound_tokens.remove(&session.token);
            self.count_sessions();
        }
    }

    // Time.

    fn expire(&mut self) {
        while let Some((at, address)) = self.deadlines.first().copied() {
            if at > self.now {
                break;
            }
            self.deadlines.pop_first();
            self.expired(address);
        }
        if self.accept_again.is_some_and(|at| at <= self.now) {
            self.accept_again = None;
            self.accept();
        }
    }

    fn expired(&mut self, address: SocketAddr) {
        match self.outbound.get(&address).map(|session| session.state) {
            Some(Connection::Connecting { until }) if until <= self.now => {
                self.connect_failed(address);
            }
            Some(Connection::Blocked { until }) if until <= self.now => {
                self.broken(address, &ErrorKind::TimedOut.into());
            }
            Some(state) => self.watch_again(address, state),
            None => {
                let waits = !self.shared.lock_outbox().is_empty(address);
                if waits {
                    self.connect(address);
                } else if self.retry.get(&address).is_some_and(|at| *at <= self.now) {
                    self.retry.remove(&address);
                }
            }
        }
    }

    /// A session that was blocked when it was watched has gone on since.
    fn watch_again(&mut self, address: SocketAddr, state: Connection) {
        let Some(session) = self.outbound.get_mut(&address) else {
            return;
        };
        match state {
            Connection::Blocked { until } => {
                self.deadlines.insert((until, address));
            }
            Connection::Open => session.watched = false,
            Connection::Connecting { .. } => {}
        }
    }

    fn count_sessions(&self) {
        let counters = &self.shared.counters;
        counters.inbound.set(self.inbound.len());
        counters.outbound.set(self.outbound.len());
    }
}

/// A session to a machine that vanished ends after some time, also an idle one.
fn keep_alive(stream: &mio::net::TcpStream) {
    let alive = socket2::TcpKeepalive::new()
        .with_time(IDLE)
        .with_interval(IDLE / 3);
    let _ = SockRef::from(stream).set_tcp_keepalive(&alive);
}

/// One line for what was read together; the count has them all.
fn log_undecodable(session: &Inbound, error: &frame::DecodeError) {
    let from = match session.peer {
        Some(peer) => peer.to_string(),
        None => "a stranger".into(),
    };
    log_event(Event::MessageRefused, &format!("from {from}: {error}"));
}
