//! Accepts connections of clients.

use super::*;

/// After an accept failed, for example for want of file descriptors, none is
/// tried for this time.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Instructions of the packet filter: return the bytes of a packet to keep, load a
/// byte, mask it, compare it.
const BPF_RETURN: u16 = 0x06;
const BPF_LOAD_BYTE: u16 = 0x30;
const BPF_AND: u16 = 0x54;
const BPF_JUMP_IF_EQUAL: u16 = 0x15;
/// Of a TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_ACK: u32 = 0x10;
/// Connections that were half open when the first packets of others began to be
/// dropped are accepted for this long.
const HALF_OPEN_TIME: Duration = Duration::from_millis(20);
/// A client that acknowledges nothing for this time counts as disconnected.
pub(super) const SERVER_TCP_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes the listeners non-blocking; their tokens are their indexes.
pub(super) fn register(
    listeners: Vec<std::net::TcpListener>,
    registry: &mio::Registry,
) -> io::Result<Vec<TcpListener>> {
    let mut registered = Vec::new();
    for (index, listener) in listeners.into_iter().enumerate() {
        set_options(&listener)?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        registry.register(&mut listener, Token(index), Interest::READABLE)?;
        registered.push(listener);
    }
    Ok(registered)
}

/// Accepted connections inherit these options.
pub(super) fn set_options(listener: &std::net::TcpListener) -> io::Result<()> {
    let socket = socket2::SockRef::from(listener);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(SERVER_TCP_TIMEOUT))
}

/// No connection enters the backlog any more: one that did between the last accept
/// and the close of the listener would be reset. A client tries again until the
/// listener is closed, and is refused then.
fn admit_nobody(listener: &TcpListener) {
    let drop_first_packets = [
        socket2::SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        socket2::SockFilter::new(BPF_AND, 0, 0, TCP_SYN | TCP_ACK),
        socket2::SockFilter::new(BPF_JUMP_IF_EQUAL, 0, 1, TCP_SYN),
        socket2::SockFilter::new(BPF_RETURN, 0, 0, 0),
        socket2::SockFilter::new(BPF_RETURN, 0, 0, u32::MAX),
    ];
    // Where there are no filters, the backlog is accepted all the same.
    let _ = socket2::SockRef::from(listener).attach_filter(&drop_first_packets);
}

impl EventLoop {
    /// Accepts all connections that wait at a listener.
    pub(super) fn accept(&mut self, listener: usize) {
        while let Some(open) = self.listeners.get(listener) {
            match open.accept() {
                Ok((stream, peer)) => self.add_server_connection(listener, stream, peer),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(_) => {
                    self.accept_retry_at = Some(self.now + ACCEPT_BACKOFF);
                    return;
                }
            }
        }
    }

    fn add_server_connection(&mut self, listener: usize, mut stream: TcpStream, peer: SocketAddr) {
        let token = self.next_token;
        self.next_token += 1;
        self.shared.accepted.fetch_add(1, Ordering::Relaxed);
        let registry = self.poll.registry();
        let registered = registry.register(&mut stream, Token(token), Interest::READABLE);
        if registered.is_err() {
            return;
        }
        let mut connection = ServerConnection::new(peer, self.handler.clone(), self.now);
        if self.draining {
            connection.serve_one();
        }
        if self.finishing {
            connection.finish();
        }
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        let role = Role::Server {
            listener,
            connection,
        };
        self.connections
            .insert(token, Connection::new(stream, role));
        self.arm_timer(token);
    }

    /// Accepts what waits or is half open, and nobody after that.
    pub(super) fn stop_accepting(&mut self) {
        self.listeners.iter().for_each(admit_nobody);
        self.listeners_close_at = Some(Instant::now() + HALF_OPEN_TIME);
    }

    /// Closes the listeners once their time is over.
    pub(super) fn close_due_listeners(&mut self) {
        if self.listeners_close_at.is_some_and(|at| at <= self.now) {
            self.listeners_close_at = None;
            for listener in 0..self.listeners.len() {
                self.accept(listener);
            }
            self.listeners.clear();
        }
    }

    /// Accepts again once the backoff is over.
    pub(super) fn retry_accept(&mut self) {
        if self
            .accept_retry_at
            .is_some_and(|retry_at| retry_at <= self.now)
        {
            self.accept_retry_at = None;
            for listener in 0..self.listeners.len() {
                self.accept(listener);
            }
        }
    }
}
