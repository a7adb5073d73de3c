//! The handle through which other threads command the event loop.

use crate::event_loop::EventLoop;
use crate::prelude::*;
use std::net::TcpListener;

/// Commands a running event loop, from any thread. The loop ends with `close`.
#[derive(Clone)]
pub struct EventLoopHandle {
    shared: Arc<Shared>,
}

/// What the event loop shares with its handles.
pub(crate) struct Shared {
    pub(crate) commands: flume::Sender<Command>,
    pub(crate) waker: mio::Waker,
    /// The loop is awake, or was woken and has not looked yet.
    pub(crate) awake: AtomicBool,
    pub(crate) accepted: AtomicU64,
    pub(crate) connects: AtomicU64,
    pub(crate) reused: AtomicU64,
    pub(crate) calls: AtomicU64,
    pub(crate) open: AtomicU64,
    /// Connections with a request in flight.
    pub(crate) busy: AtomicUsize,
    /// After `Finish`: no connection of a client is left.
    pub(crate) finished: AtomicBool,
    /// How long the link takes for the unsent responses, in microseconds.
    pub(crate) backlog_us: AtomicU64,
}

/// What a handle asks the event loop to do.
pub(crate) enum Command {
    Respond {
        request_id: u64,
        response: Response,
    },
    /// Begins a call whose timeout runs from `started`.
    Call {
        call: Box<Call>,
        started: Instant,
    },
    CancelCall {
        id: u64,
    },
    /// Keeps a call from timing out before `deadline`.
    ExtendCall {
        id: u64,
        deadline: Instant,
    },
    SetLimits(Limits),
    RecordLinkDelay(Duration),
    Drain,
    Finish,
    Close,
}

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Why an event loop or a listener was not opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// The operating system refused.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The address cannot be listened on.
    #[error("bind {address}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the operating system reported.
        source: io::Error,
    },
}

impl EventLoopHandle {
    /// Starts the event loop's thread. A request is handed on with the index of
    /// the listener it was received at.
    pub fn open(
        listeners: Vec<TcpListener>,
        limits: Limits,
        handler: Arc<dyn Handler>,
    ) -> Result<EventLoopHandle, OpenError> {
        let shared = EventLoop::start(listeners, limits, handler)?;
        Ok(EventLoopHandle { shared })
    }

    /// A listener with a long backlog, whose address may be reused at once.
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

    /// Responds to a request; nothing happens if its connection has ended or it
    /// has a response already.
    pub fn respond(&self, request_id: u64, response: Response) {
        self.send(Command::Respond {
            request_id,
            response,
        });
    }

    /// Begins a call; its outcome goes to the handler.
    pub fn call(&self, call: Call) {
        self.send(Command::Call {
            call: Box::new(call),
            started: Instant::now(),
        });
    }

    /// Ends the call's connection. An outcome may be on its way at this moment;
    /// none follows once the event loop has processed this.
    pub fn cancel_call(&self, id: u64) {
        self.send(Command::CancelCall { id });
    }

    /// The call, if it is in flight, does not time out before this time from now.
    pub fn extend_call(&self, id: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.send(Command::ExtendCall { id, deadline });
    }

    /// Replaces the limits, except the link's bandwidth.
    pub fn set_limits(&self, limits: Limits) {
        self.send(Command::SetLimits(limits));
    }

    /// Reports the delay of small messages on the machine's link.
    pub fn link_delay(&self, delay: Duration) {
        self.send(Command::RecordLinkDelay(delay));
    }

    /// How long the link takes for the responses that are not written yet, where
    /// its bandwidth is known.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.shared.backlog_us.load(Ordering::Relaxed))
    }

    /// Connections are closed after the requests read so far, idle and new ones
    /// after one more request.
    pub fn drain(&self) {
        self.send(Command::Drain);
    }

    /// The listeners are closed once their backlog is accepted. Each connection
    /// ends with its next response, or once it has been idle for
    /// [`FINISH_IDLE_TIME`](crate::FINISH_IDLE_TIME): requests are handed on until
    /// then, and the handler must respond to all of them.
    pub fn finish(&self) {
        self.send(Command::Finish);
    }

    /// Whether `finish` was called and all connections of clients have ended.
    pub fn is_finished(&self) -> bool {
        self.shared.finished.load(Ordering::SeqCst)
    }

    /// Ends the event loop and all its connections; the handler is not called.
    pub fn close(&self) {
        self.send(Command::Close);
    }

    /// Whether no request is being read, no response awaited or unsent.
    pub fn is_idle(&self) -> bool {
        self.shared.busy.load(Ordering::SeqCst) == 0
    }

    /// The counters now.
    pub fn usage(&self) -> Usage {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Usage {
            accepted: read(&self.shared.accepted),
            connects: read(&self.shared.connects),
            reused: read(&self.shared.reused),
            calls: read(&self.shared.calls),
            open: read(&self.shared.open),
        }
    }

    fn send(&self, command: Command) {
        let sent = self.shared.commands.send(command);
        if sent.is_ok() && !self.shared.awake.swap(true, Ordering::SeqCst) {
            let _ = self.shared.waker.wake();
        }
    }
}
