use crate::prelude::*;
use std::net::TcpListener;

/// The handle; the loop ends with `close`.
#[derive(Clone)]
pub struct HttpLine {
    shared: Arc<Shared>,
}

pub struct Shared {
    pub orders: flume::Sender<Order>,
    pub waker: mio::Waker,
    /// The loop is awake, or was woken and has not looked yet.
    pub awake: AtomicBool,
    pub accepted: AtomicU64,
    pub connects: AtomicU64,
    pub reused: AtomicU64,
    pub calls: AtomicU64,
    pub open: AtomicU64,
    pub busy: AtomicUsize,
    /// Nothing is read from callers any more.
    pub stopped: AtomicBool,
    /// What the answers not written yet take on the link, in microseconds.
    pub backlog_us: AtomicU64,
}

pub enum Order {
    Tell(u64, Told),
    Call(Box<Call>, Instant),
    DropCall(u64),
    ExtendCall(u64, Instant),
    Limits(Limits),
    LinkDelay(Duration),
    Drain,
    Stop,
    Close,
}

impl HttpLine {
    /// Starts the loop thread. The index of a listener is the face its
    /// requests come with.
    pub fn open(
        listeners: Vec<TcpListener>,
        limits: Limits,
        taker: Arc<dyn Taker>,
    ) -> Result<HttpLine> {
        let shared = Line::start(listeners, limits, taker)?;
        Ok(HttpLine { shared })
    }

    /// A listener with a long queue, whose address may be taken anew at once.
    pub fn listen(at: SocketAddr) -> Result<TcpListener> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(at),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_reuse_address(true)?;
        socket
            .bind(&at.into())
            .with_context(|| format!("bind {at}"))?;
        socket.listen(1024)?;
        Ok(socket.into())
    }

    /// Answers; nothing happens if the line is gone or answered.
    pub fn tell(&self, line: u64, told: Told) {
        self.order(Order::Tell(line, told));
    }

    pub fn call(&self, call: Call) {
        self.order(Order::Call(Box::new(call), Instant::now()));
    }

    /// Ends the call's connection. A `came` may be under way at this moment;
    /// none follows once the loop has seen this.
    pub fn drop_call(&self, id: u64) {
        self.order(Order::DropCall(id));
    }

    /// The call, if it is under way, is given up after this time from now and no
    /// sooner.
    pub fn extend_call(&self, id: u64, limit: Duration) {
        self.order(Order::ExtendCall(id, Instant::now() + limit));
    }

    pub fn set_limits(&self, limits: Limits) {
        self.order(Order::Limits(limits));
    }

    /// Small messages are so late on the machine's link.
    pub fn link_delay(&self, delay: Duration) {
        self.order(Order::LinkDelay(delay));
    }

    /// How long the link takes for the answers that are not written yet, where
    /// its width is known.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.shared.backlog_us.load(Ordering::Relaxed))
    }

    /// Connections are closed after what they were asked so far, idle and new
    /// ones after one more request.
    pub fn drain(&self) {
        self.order(Order::Drain);
    }

    /// Nothing is read from callers any more, and no connection taken; what was
    /// read whole is still answered. A request that was not read may be sent to
    /// another node, one that was read and not answered may not.
    pub fn stop(&self) {
        self.order(Order::Stop);
    }

    /// Whether nothing is read any more and all that was read is answered.
    pub fn finished(&self) -> bool {
        self.shared.stopped.load(Ordering::SeqCst) && self.idle()
    }

    /// Ends the loop and all its connections; nothing is told to the taker.
    pub fn close(&self) {
        self.order(Order::Close);
    }

    /// No request is being read, unanswered or its answer unwritten.
    pub fn idle(&self) -> bool {
        self.shared.busy.load(Ordering::SeqCst) == 0
    }

    pub fn usage(&self) -> Usage {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        Usage {
            accepted: read(&self.shared.accepted),
            connects: read(&self.shared.connects),
            reused: read(&self.shared.reused),
            calls: read(&self.shared.calls),
            open: read(&self.shared.open),
        }
    }

    fn order(&self, order: Order) {
        let sent = self.shared.orders.send(order);
        if sent.is_ok() && !self.shared.awake.swap(true, Ordering::SeqCst) {
            let _ = self.shared.waker.wake();
        }
    }
}
