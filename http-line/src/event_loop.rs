//! The event loop: waits for sockets, timers and commands, and drives the
//! connections that are ready.

#[cfg(test)]
mod tests;

mod accept;
mod calls;
mod client_io;
mod commands;
mod server_io;
mod timers;

use crate::prelude::*;
use crate::request_id::request_id;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// The event loop. Invariants:
/// - A token is never used twice, so a late event or timer finds no connection.
/// - Events are edge-triggered: `readable` and `write_blocked` remember them until
///   the socket has said that there is no more.
/// - `awake` is false only while the loop waits in poll with no commands left.
pub(crate) struct EventLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    timers: Timers,
    pool: Pool,
    /// Tokens of the connections of calls in flight, by the calls' ids.
    calls: HashMap<u64, usize>,
    commands: flume::Receiver<Command>,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
    limits: Limits,
    pacer: Pacer,
    /// Bytes of responses that are not written yet.
    unsent_bytes: usize,
    read_buffer: Vec<u8>,
    /// Connections that may go on at once after the next poll.
    ready: Vec<usize>,
    /// Connections that commands have changed.
    touched: Vec<usize>,
    /// Accepting failed; it is tried again at this time.
    accept_retry_at: Option<Instant>,
    /// The event loop finishes; its listeners are closed at this time.
    listeners_close_at: Option<Instant>,
    draining: bool,
    /// Nobody is accepted any more, and connections end as they become idle.
    finishing: bool,
    now: Instant,
}

const WAKER: Token = Token(usize::MAX);
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Events that one poll returns at most.
const EVENTS: usize = 256;
/// Reads and writes of one connection before others have their turn.
const MAX_STEPS: usize = 8;

impl EventLoop {
    /// Starts the loop's thread.
    pub(crate) fn start(
        listeners: Vec<std::net::TcpListener>,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> io::Result<Arc<Shared>> {
        let poll = Poll::new()?;
        let waker = mio::Waker::new(poll.registry(), WAKER)?;
        let listeners = accept::register(listeners, poll.registry())?;
        let (sender, commands) = flume::unbounded();
        let shared = Arc::new(Shared {
            commands: sender,
            waker,
            awake: AtomicBool::new(true),
            accepted: AtomicU64::new(0),
            connects: AtomicU64::new(0),
            reused: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            open: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            backlog_us: AtomicU64::new(0),
            finished: AtomicBool::new(false),
        });
        let now = Instant::now();
        let event_loop = EventLoop {
            poll,
            next_token: listeners.len(),
            listeners,
            connections: HashMap::new(),
            timers: Timers::new(now),
            pool: Pool::default(),
            calls: HashMap::new(),
            commands,
            shared: shared.clone(),
            handler,
            pacer: Pacer::new(limits.link_bytes_per_second, now),
            unsent_bytes: 0,
            limits,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            ready: Vec::new(),
            touched: Vec::new(),
            accept_retry_at: None,
            listeners_close_at: None,
            draining: false,
            finishing: false,
            now,
        };
        std::thread::Builder::new()
            .name("http-line".into())
            .spawn(move || event_loop.run())?;
        Ok(shared)
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            if !self.run_commands() {
                return;
            }
            let finished = self.has_finished();
            self.shared.finished.store(finished, Ordering::SeqCst);
            self.shared.awake.store(false, Ordering::SeqCst);
            if !self.commands.is_empty() {
                self.shared.awake.store(true, Ordering::SeqCst);
                continue;
            }
            let timeout = self.poll_timeout();
            let polled = self.poll.poll(&mut events, timeout);
            self.shared.awake.store(true, Ordering::SeqCst);
            self.now = Instant::now();
            if polled.is_err() {
                continue;
            }
            for token in std::mem::take(&mut self.ready) {
                self.drive(token);
            }
            self.drive_paced();
            for event in &events {
                self.handle_event(event);
            }
            self.fire_timers();
        }
    }

    /// Whether it finishes and no connection of a client is left.
    fn has_finished(&self) -> bool {
        let is_call = |connection: &Connection| matches!(connection.role, Role::Client(_));
        self.finishing && self.listeners.is_empty() && self.connections.values().all(is_call)
    }

    fn handle_event(&mut self, event: &Event) {
        let token = event.token().0;
        if token < self.listeners.len() {
            return self.accept(token);
        }
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        connection.readable |= event.is_readable() || event.is_error();
        connection.read_closed |= event.is_read_closed() || event.is_error();
        if event.is_writable() || event.is_error() {
            connection.write_blocked = false;
        }
        let is_client = matches!(connection.role, Role::Client(_));
        if event.is_error() && !is_client {
            self.close(token);
        } else {
            self.drive(token);
        }
    }

    /// Connections that wait for their turn in the pacer write on.
    fn drive_paced(&mut self) {
        while let Some(token) = self.pacer.dequeue(self.now) {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.awaiting_turn = false;
                self.drive(token);
            }
        }
    }

    /// Writes and reads what can be, then settles what is to be waited for.
    fn drive(&mut self, token: usize) {
        let Some(mut connection) = self.connections.remove(&token) else {
            return;
        };
        let mut finished = None;
        let stays_open = match &mut connection.role {
            Role::Server { .. } => self.drive_server(token, &mut connection),
            Role::Linger { .. } => self.discard_input(&mut connection),
            Role::Client(_) => self.drive_client(token, &mut connection, &mut finished),
        };
        if stays_open {
            self.update_counts(&mut connection);
            self.connections.insert(token, connection);
            self.watch_writable(token);
            self.arm_timer(token);
        } else {
            self.end(token, connection);
        }
        self.report_outcome(finished);
    }

    /// Updates the counts of unsent bytes and busy connections.
    fn update_counts(&mut self, connection: &mut Connection) {
        let mut busy = false;
        if let Role::Server {
            connection: server, ..
        } = &connection.role
        {
            busy = server.is_busy();
            let remaining = server.output.remaining();
            self.count_unsent(connection, remaining);
        }
        if busy != connection.busy {
            connection.busy = busy;
            match busy {
                true => self.shared.busy.fetch_add(1, Ordering::SeqCst),
                false => self.shared.busy.fetch_sub(1, Ordering::SeqCst),
            };
        }
    }

    /// Counts what the connection has still to write.
    fn count_unsent(&mut self, connection: &mut Connection, remaining: usize) {
        let counted = std::mem::replace(&mut connection.unsent_bytes, remaining);
        self.unsent_bytes = self.unsent_bytes + remaining - counted;
        let rate = self.pacer.rate().unwrap_or(f64::INFINITY);
        let backlog = Duration::from_secs_f64(self.unsent_bytes as f64 / rate);
        let backlog_us = backlog.as_micros() as u64;
        self.shared.backlog_us.store(backlog_us, Ordering::Relaxed);
    }

    /// Lets the poll report when a blocked socket becomes writable.
    fn watch_writable(&mut self, token: usize) {
        let Some(connection) = self
            .connections
            .get_mut(&token)
            .filter(|connection| connection.write_blocked && !connection.watches_writable)
        else {
            return;
        };
        connection.watches_writable = true;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registry = self.poll.registry();
        let registered = registry.reregister(&mut connection.stream, Token(token), interest);
        if registered.is_err() {
            self.close(token);
        }
    }

    fn close(&mut self, token: usize) {
        if let Some(connection) = self.connections.remove(&token) {
            self.end(token, connection);
        }
    }

    /// The connection ends here; its socket closes with it.
    fn end(&mut self, token: usize, mut connection: Connection) {
        self.count_unsent(&mut connection, 0);
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        if connection.busy {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
        match connection.role {
            Role::Server {
                connection: mut server,
                ..
            } => {
                for sequence in server.take_unanswered() {
                    self.handler.on_disconnect(request_id(token, sequence));
                }
            }
            Role::Linger { .. } => {}
            Role::Client(client) => self.pool.record_closed(client.address, token),
        }
    }
}
