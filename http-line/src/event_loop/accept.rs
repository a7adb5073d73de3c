//! Accepting of client connections.

use super::admission::ConnectionAdmission;
use super::*;
use crate::server_connection::RECEIVE_BUFFER_BYTES;

/// Delay before the next accept after one has failed, for example because no file
/// descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// BPF opcode: accept the packet, truncated to a number of bytes (0 drops it).
const BPF_RETURN: u16 = 0x06;
/// BPF opcode: load a byte of the packet.
const BPF_LOAD_BYTE: u16 = 0x30;
/// BPF opcode: mask the loaded value.
const BPF_AND: u16 = 0x54;
/// BPF opcode: compare the loaded value and jump.
const BPF_JUMP_IF_EQUAL: u16 = 0x15;
/// Offset of the flags in a TCP header, in bytes.
const TCP_FLAGS_OFFSET: u32 = 13;
/// SYN bit of the TCP flags.
const TCP_SYN: u32 = 0x02;
/// ACK bit of the TCP flags.
const TCP_ACK: u32 = 0x10;
/// Time for which half-open connections are still accepted after the listeners have
/// begun to drop the SYN packets of new connections.
const HALF_OPEN_TIME: Duration = Duration::from_millis(20);
/// TCP user timeout of client connections: a client that acknowledges no data for
/// this time is regarded as disconnected.
pub(super) const SERVER_TCP_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes the listeners non-blocking and registers them with their indexes as tokens.
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

/// Sets the options that accepted connections inherit.
pub(super) fn set_options(listener: &std::net::TcpListener) -> io::Result<()> {
    let socket = socket2::SockRef::from(listener);
    socket.set_tcp_nodelay(true)?;
    // Bounds the memory of bytes that have arrived and are not read.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(SERVER_TCP_TIMEOUT))
}

/// Drops the SYN packets of new connections, so that no connection enters the
/// backlog any more: one that did between the last accept and the close of the
/// listener would be reset. A client retransmits its SYN until the listener is
/// closed, and its connection is refused then.
fn drop_new_connections(listener: &TcpListener) {
    let drop_syn_packets = [
        socket2::SockFilter::new(BPF_LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        socket2::SockFilter::new(BPF_AND, 0, 0, TCP_SYN | TCP_ACK),
        socket2::SockFilter::new(BPF_JUMP_IF_EQUAL, 0, 1, TCP_SYN),
        socket2::SockFilter::new(BPF_RETURN, 0, 0, 0),
        socket2::SockFilter::new(BPF_RETURN, 0, 0, u32::MAX),
    ];
    // Where socket filters are not available, the backlog is still accepted.
    let _ = socket2::SockRef::from(listener).attach_filter(&drop_syn_packets);
}

impl EventLoop {
    /// Accepts all connections in the backlog of a listener.
    pub(super) fn accept(&mut self, listener: usize) {
        while let Some(open) = self.listeners.get(listener) {
            match open.accept() {
                Ok((stream, peer)) => match self.admit_connection(listener) {
                    ConnectionAdmission::Serve => {
                        self.add_server_connection(listener, stream, peer);
                    }
                    ConnectionAdmission::Refuse => self.refuse_connection(listener, stream, peer),
                    ConnectionAdmission::Drop => {}
                },
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

    /// Responds to the first request of a connection that it is refused, without reading
    /// the request.
    fn refuse_connection(&mut self, listener: usize, stream: TcpStream, peer: SocketAddr) {
        let Some(token) = self.add_server_connection(listener, stream, peer) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token) {
            // Reset only if the client keeps sending for longer than the connection lingers.
            connection.readable = true;
            if let Role::Server { connection, .. } = &mut connection.role {
                connection.refuse();
            }
        }
        self.drive(token);
    }

    /// Returns the token of the connection, unless it could not be registered.
    fn add_server_connection(
        &mut self,
        listener: usize,
        mut stream: TcpStream,
        peer: SocketAddr,
    ) -> Option<usize> {
        let token = self.next_token;
        self.next_token += 1;
        self.shared.accepted.fetch_add(1, Ordering::Relaxed);
        let registry = self.poll.registry();
        let registered = registry.register(&mut stream, Token(token), Interest::READABLE);
        if registered.is_err() {
            return None;
        }
        self.connection_counts.record_accepted();
        let mut connection = ServerConnection::new(peer, self.handler.clone(), self.now)
            .with_byte_budget(&self.byte_budget);
        if self.draining {
            connection.serve_one();
        }
        if self.finishing {
            connection.finish(self.finish_deadline);
        }
        self.shared.open.fetch_add(1, Ordering::Relaxed);
        let role = Role::Server {
            listener,
            connection,
        };
        self.connections
            .insert(token, Connection::new(stream, role));
        self.arm_timer(token);
        Some(token)
    }

    /// Stops new connections and schedules the close of the listeners, after the
    /// backlog and the half-open connections have been accepted.
    pub(super) fn stop_accepting(&mut self) {
        self.listeners.iter().for_each(drop_new_connections);
        self.listeners_close_at = Some(Instant::now() + HALF_OPEN_TIME);
    }

    /// Closes the listeners when their time has come, after accepting their backlog.
    pub(super) fn close_due_listeners(&mut self) {
        if self.listeners_close_at.is_some_and(|at| at <= self.now) {
            self.listeners_close_at = None;
            for listener in 0..self.listeners.len() {
                self.accept(listener);
            }
            self.listeners.clear();
        }
    }

    /// Retries accepting once the backoff has passed.
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
