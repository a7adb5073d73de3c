//! A socket and what the event loop knows of it.

use crate::prelude::*;
use mio::net::TcpStream;

/// A socket, its role and its readiness.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) role: Role,
    /// There may be input that was not read.
    pub(crate) readable: bool,
    /// The other side has shut down its writing.
    pub(crate) read_closed: bool,
    /// The socket did not take all of the last write.
    pub(crate) write_blocked: bool,
    /// Bytes of responses that are counted as not written yet.
    pub(crate) unsent_bytes: usize,
    /// It waits for its turn in the pacer.
    pub(crate) awaiting_turn: bool,
    /// The poll reports when it becomes writable.
    pub(crate) watches_writable: bool,
    /// The earliest tick at which it comes up in the timers.
    pub(crate) armed_tick: Option<u64>,
    /// It is counted as busy.
    pub(crate) busy: bool,
}

/// What a connection is for.
pub(crate) enum Role {
    /// A client's connection, accepted by this listener.
    Server {
        listener: usize,
        connection: ServerConnection,
    },
    /// Responded to and shut down by us: what is still received is discarded, so
    /// that no reset overtakes the response.
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
            awaiting_turn: false,
            watches_writable: false,
            armed_tick: None,
            busy: false,
        }
    }

    /// Makes the close of the socket a reset: the other side learns at once that
    /// nobody waits any more, where a plain close could be a half-close.
    pub(crate) fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// When its timer is due.
    pub(crate) fn due(&self, limits: &Limits) -> Option<Instant> {
        match &self.role {
            Role::Server { connection, .. } => connection.due(limits),
            Role::Linger { until, .. } => Some(*until),
            Role::Client(connection) => connection.due(),
        }
    }
}
