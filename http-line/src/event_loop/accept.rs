//! Accepts connections of clients.

use super::*;

/// After an accept failed, for example for want of file descriptors, none is
/// tried for this time.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// The packet filter's instruction to keep so many bytes of a packet.
const BPF_RETURN: u16 = 0x06;
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
    // Where there are no filters, the backlog is accepted all the same.
    let drop_all = socket2::SockFilter::new(BPF_RETURN, 0, 0, 0);
    let _ = socket2::SockRef::from(listener).attach_filter(&[drop_all]);
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

    /// Accepts what waits, and nobody after that.
    pub(super) fn close_listeners(&mut self) {
        for listener in 0..self.listeners.len() {
            admit_nobody(&self.listeners[listener]);
            self.accept(listener);
        }
        self.listeners.clear();
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
