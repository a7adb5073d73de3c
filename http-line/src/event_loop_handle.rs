//! Handle through which other threads send commands to the event loop.

use crate::event_loop::EventLoop;
use crate::prelude::*;
use std::net::TcpListener;

/// Sends commands to a running event loop from any thread. The loop runs until
/// `close` is called.
#[derive(Clone)]
pub struct EventLoopHandle {
    shared: Arc<Shared>,
}

/// State shared by the event loop and its handles.
pub(crate) struct Shared {
    pub(crate) commands: flume::Sender<Command>,
    pub(crate) waker: mio::Waker,
    /// True while the loop is running, or after it was woken and before it resumes.
    pub(crate) awake: AtomicBool,
    pub(crate) accepted: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) reused: AtomicU64,
    pub(crate) calls: AtomicU64,
    pub(crate) open: AtomicU64,
    /// Number of client connections on which a request is being read, or a response is
    /// awaited or unsent.
    pub(crate) busy: AtomicUsize,
    /// True after `Finish`, once no client connection is left.
    pub(crate) finished: AtomicBool,
    /// Number of response bytes not written yet, over all connections.
    pub(crate) unsent_bytes: AtomicUsize,
    /// Time that the link needs for the unsent responses, in microseconds.
    pub(crate) backlog_us: AtomicU64,
    /// Number of client connections that were refused.
    pub(crate) refused_connections: AtomicU64,
    pub(crate) byte_budget: Arc<ByteBudget>,
    /// Number of input bytes discarded after the sending side was shut down.
    pub(crate) discarded_bytes: AtomicU64,
}

/// A command from a handle to the event loop.
pub(crate) enum Command {
    Respond {
        request_id: u64,
        response: Response,
    },
    /// Starts a call whose timeout is counted from `started`.
    Call {
        call: Box<Call>,
        started: Instant,
    },
    CancelCall {
        id: u64,
    },
    /// Prevents a call from timing out before `deadline`.
    ExtendCall {
        id: u64,
        deadline: Instant,
    },
    SetLimits(Limits),
    /// Drains, and finishes at the deadline if there is one.
    Drain {
        deadline: Option<Instant>,
    },
    Finish,
    Close,
}

/// Maximum number of connections waiting to be accepted by a listener.
const LISTEN_BACKLOG: i32 = 1024;

/// The reason why an event loop or a listener was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// An operation of the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The address could not be bound.
    #[error("bind {address}")]
    Bind {
        /// The address to listen on.
        address: SocketAddr,
        /// Error reported by the operating system.
        source: io::Error,
    },
}

impl EventLoopHandle {
    /// Starts the thread of the event loop. Each request is passed to the handler
    /// with the index of the listener that accepted its connection. The budget of the
    /// resources is raised if the largest body does not fit; a body that cannot fit is
    /// rejected as too large.
    pub fn open(
        listeners: Vec<TcpListener>,
        mut limits: Limits,
        resources: Resources,
        handler: Arc<dyn Handler>,
    ) -> Result<EventLoopHandle, OpenError> {
        limits.max_body_bytes = resources.byte_budget.fit_body(limits.max_body_bytes);
        let shared = EventLoop::start(listeners, limits, resources, handler)?;
        Ok(EventLoopHandle { shared })
    }

    /// Creates a listener with a long backlog, whose address may be reused
    /// immediately.
    pub fn listen(address: SocketAddr) -> Result<TcpListener, OpenError> {
        let domain = socket2::Domain::for_address(address);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket
            .bind(&address.into())
            .map_err(|source| OpenError::Bind { address, source })?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(socket.into())
    }

    /// Responds to a request. Has no effect if its connection has ended or it
    /// already has a response.
    pub fn respond(&self, request_id: u64, response: Response) {
        self.send(Command::Respond {
            request_id,
            response,
        });
    }

    /// Starts a call; its outcome is passed to the handler.
    pub fn call(&self, call: Call) {
        self.send(Command::Call {
            call: Box::new(call),
            started: Instant::now(),
        });
    }

    /// Cancels a call by closing its connection. The handler may still receive an
    /// outcome until the event loop has processed this command, but not after.
    pub fn cancel_call(&self, id: u64) {
        self.send(Command::CancelCall { id });
    }

    /// Extends the timeout of a call in flight to at least `timeout` from now.
    pub fn extend_call(&self, id: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.send(Command::ExtendCall { id, deadline });
    }

    /// Replaces the limits. The largest body is limited as by [`EventLoopHandle::open`].
    pub fn set_limits(&self, mut limits: Limits) {
        limits.max_body_bytes = self.shared.byte_budget.fit_body(limits.max_body_bytes);
        self.send(Command::SetLimits(limits));
    }

    /// Time that the link needs for the unsent responses; zero if its bandwidth is
    /// not known.
    pub fn send_backlog(&self) -> Duration {
        Duration::from_micros(self.shared.backlog_us.load(Ordering::Relaxed))
    }

    /// Closes connections after the requests read so far, and idle and new
    /// connections after one more request.
    pub fn drain(&self) {
        self.send(Command::Drain { deadline: None });
    }

    /// Drains until the deadline, and then finishes, if `finish` was not called before.
    /// Connections that are idle at the deadline are closed even if they were used
    /// shortly before.
    pub fn drain_until(&self, deadline: Instant) {
        let deadline = Some(deadline);
        self.send(Command::Drain { deadline });
    }

    /// Shuts down gracefully. The listeners are closed once their backlog is
    /// accepted. Each connection is closed after its next response, or once it has
    /// been idle for [`FINISH_IDLE_TIME`](crate::FINISH_IDLE_TIME). Requests are
    /// passed to the handler until then, and it must respond to all of them.
    pub fn finish(&self) {
        self.send(Command::Finish);
    }

    /// Returns true if `finish` was called and all client connections have ended.
    pub fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::SeqCst)
    }

    /// Stops the event loop and closes all its connections without calling the
    /// handler.
    pub fn close(&self) {
        self.send(Command::Close);
    }

    /// Returns true if no request is being read and no response is awaited or unsent.
    pub fn is_idle(&self) -> bool {
        self.shared.busy.load(Ordering::SeqCst) == 0
    }

    /// Responses and connections that are not completed now.
    pub fn open_work(&self) -> OpenWork {
        OpenWork {
            busy_connections: self.shared.busy.load(Ordering::SeqCst),
            unsent_bytes: self.shared.unsent_bytes.load(Ordering::Relaxed),
            send_backlog: self.send_backlog(),
            discarded_bytes: self.shared.discarded_bytes.load(Ordering::Relaxed),
        }
    }

    /// Counts a request that the handler refused because too many are in flight.
    pub fn record_refusal(&self) {
        self.shared.byte_budget.record_refusal();
    }

    /// Current values of the counters.
    pub fn usage(&self) -> Usage {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Usage {
            accepted: read(&self.shared.accepted),
            connects: read(&self.shared.connects),
            reused: read(&self.shared.reused),
            calls: read(&self.shared.calls),
            open: read(&self.shared.open),
            refused_connections: read(&self.shared.refused_connections),
            refused_requests: self.shared.byte_budget.refusals(),
            held_bytes: self.shared.byte_budget.used() as u64,
        }
    }

    fn send(&self, command: Command) {
        let sent = self.shared.commands.send(command);
        if sent.is_ok() && !self.shared.awake.swap(true, Ordering::SeqCst) {
            let _ = self.shared.waker.wake();
        }
    }
}
