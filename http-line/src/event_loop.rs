//! The event loop: waits for socket events, timers and commands, and performs
//! reads and writes on the connections that are ready.

#[cfg(test)]
mod tests;

mod accept;
mod admission;
mod calls;
mod client_io;
mod commands;
mod server_io;
mod timers;

use crate::prelude::*;
use crate::request_id::request_id;
use admission::ConnectionCounts;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// The event loop. Invariants:
/// - A token is never reused, so a late event or timer finds no connection.
/// - Events are edge-triggered: `readable` and `write_blocked` keep their state
///   until an operation on the socket would block.
/// - `awake` is false only while the loop waits in poll and no command is queued.
pub(crate) struct EventLoop {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    next_token: usize,
    timers: Timers,
    pool: Pool,
    /// Tokens of the connections of calls in flight, by call id.
    calls: HashMap<u64, usize>,
    commands: flume::Receiver<Command>,
    shared: Arc<Shared>,
    handler: Arc<dyn Handler>,
    limits: Limits,
    pacer: Pacer,
    byte_budget: Arc<ByteBudget>,
    connection_counts: ConnectionCounts,
    max_call_connections: usize,
    /// Time before which no stalled bodies are looked for again.
    next_eviction: Instant,
    /// Number of response bytes not written yet, over all connections.
    unsent_bytes: usize,
    read_buffer: Vec<u8>,
    /// Tokens of the connections that have more to read or write, to be served again
    /// after the next poll.
    ready: Vec<usize>,
    /// Tokens of the connections that commands have changed.
    changed_connections: Vec<usize>,
    /// Time at which accepting is retried after a failure.
    accept_retry_at: Option<Instant>,
    /// Time at which the listeners of a finishing event loop are closed.
    listeners_close_at: Option<Instant>,
    /// True once each connection is to be closed after its next request.
    draining: bool,
    /// True once no connections are to be accepted any more and idle connections are
    /// to be closed.
    finishing: bool,
    /// Time at which a draining event loop finishes, and by which idle connections are
    /// closed.
    finish_deadline: Option<Instant>,
    now: Instant,
}

/// Token of the waker that interrupts a poll.
const WAKER: Token = Token(usize::MAX);
/// Size of the buffer shared by all reads, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Maximum number of read and write steps on one connection before the others are
/// served.
const MAX_STEPS: usize = 8;

impl EventLoop {
    /// Starts the thread of the event loop.
    pub(crate) fn start(
        listeners: Vec<std::net::TcpListener>,
        limits: Limits,
        resources: Resources,
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
            unsent_bytes: AtomicUsize::new(0),
            backlog_us: AtomicU64::new(0),
            discarded_bytes: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
            byte_budget: resources.byte_budget.clone(),
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
            pacer: Pacer::new(resources.send_rate),
            byte_budget: resources.byte_budget,
            connection_counts: ConnectionCounts::new(resources.max_client_connections),
            max_call_connections: resources.max_call_connections,
            next_eviction: now,
            unsent_bytes: 0,
            limits,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            ready: Vec::new(),
            changed_connections: Vec::new(),
            accept_retry_at: None,
            listeners_close_at: None,
            draining: false,
            finishing: false,
            finish_deadline: None,
            now,
        };
        std::thread::Builder::new()
            .name("http-line".into())
            .spawn(move || event_loop.run())?;
        Ok(shared)
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
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

    /// Returns true if the event loop is finishing and no client connection is left.
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

    /// Resumes the connections that are queued in the pacer, up to its allowance.
    fn drive_paced(&mut self) {
        while let Some(token) = self.pacer.dequeue(self.now) {
            if let Some(connection) = self.connections.get_mut(&token) {
                connection.queued_in_pacer = false;
                self.drive(token);
            }
        }
    }

    /// Reads and writes until the connection would block, then registers the events
    /// and the timer to wait for.
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
            self.release(token, connection);
        }
        self.report_outcome(finished);
    }

    /// Updates the numbers of unsent bytes and busy connections.
    fn update_counts(&mut self, connection: &mut Connection) {
        let (busy, remaining) = match &connection.role {
            Role::Server {
                connection: server, ..
            } => (server.is_busy(), server.output.remaining()),
            Role::Linger { .. } | Role::Client(_) => (false, 0),
        };
        self.count_unsent(connection, remaining);
        if busy != connection.busy {
            connection.busy = busy;
            match busy {
                true => self.shared.busy.fetch_add(1, Ordering::SeqCst),
                false => self.shared.busy.fetch_sub(1, Ordering::SeqCst),
            };
        }
    }

    /// Updates the number of unsent bytes of the connection and the reported backlog.
    fn count_unsent(&mut self, connection: &mut Connection, remaining: usize) {
        let counted = std::mem::replace(&mut connection.unsent_bytes, remaining);
        self.unsent_bytes = self.unsent_bytes + remaining - counted;
        let shared_count = &self.shared.unsent_bytes;
        shared_count.store(self.unsent_bytes, Ordering::Relaxed);
        let backlog = self.pacer.time_to_send(self.unsent_bytes);
        let backlog_us = backlog.unwrap_or_default().as_micros() as u64;
        self.shared.backlog_us.store(backlog_us, Ordering::Relaxed);
    }

    /// Registers a blocked socket for writable events.
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
            self.release(token, connection);
        }
    }

    /// Releases a connection that was removed from `connections`. Its socket is
    /// closed when it is dropped.
    fn release(&mut self, token: usize, mut connection: Connection) {
        self.count_unsent(&mut connection, 0);
        self.pacer.complete(token);
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        if connection.busy {
            self.shared.busy.fetch_sub(1, Ordering::SeqCst);
        }
        self.connection_counts.record_closed(&connection.role);
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
