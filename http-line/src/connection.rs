//! Sockets and the state that the event loop keeps for them.

use crate::prelude::*;
use mio::net::TcpStream;

/// A socket, its role and its readiness.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) role: Role,
    /// True if the socket may have unread input.
    pub(crate) readable: bool,
    /// True once the peer has shut down its sending side.
    pub(crate) read_closed: bool,
    /// True if the socket did not accept all bytes of the last write.
    pub(crate) write_blocked: bool,
    /// Number of unsent response bytes of this connection that are included in the
    /// total of the event loop.
    pub(crate) unsent_bytes: usize,
    /// True while the connection is queued in the pacer.
    pub(crate) queued_in_pacer: bool,
    /// True if the socket is registered for writable events.
    pub(crate) watches_writable: bool,
    /// The earliest tick for which the timer queue has an entry of this connection.
    pub(crate) armed_tick: Option<u64>,
    /// True if the connection is included in the count of busy connections.
    pub(crate) busy: bool,
}

/// Role of a connection.
pub(crate) enum Role {
    /// A client connection, accepted by the listener with this index.
    Server {
        listener: usize,
        connection: ServerConnection,
    },
    /// A client connection whose sending side was shut down after the last
    /// response. Up to `remaining` bytes of input are still read and discarded:
    /// closing a socket with unread input sends a reset, which could destroy the
    /// response in transit.
    Linger { until: Instant, remaining: usize },
    /// A connection for calls to another address.
    Client(ClientConnection),
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, role: Role) -> Connection {
        Connection {
            stream,
            role,
            readable: false,
            read_closed: false,
            write_blocked: false,
            unsent_bytes: 0,
            queued_in_pacer: false,
            watches_writable: false,
            armed_tick: None,
            busy: false,
        }
    }

    /// Makes closing the socket send a reset: the peer can tell at once that the
    /// call was abandoned, whereas an ordinary close could be a half-close.
    pub(crate) fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Time at which the connection's timer fires.
    pub(crate) fn due(&self, limits: &Limits) -> Option<Instant> {
        match &self.role {
            Role::Server { connection, .. } => connection.due(limits),
            Role::Linger { until, .. } => Some(*until),
            Role::Client(connection) => connection.due(),
        }
    }
}
