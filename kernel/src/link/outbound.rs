//! A session that we opened to a peer: we only speak.
use crate::link::queue::Outbox;
use crate::prelude::*;
use mio::Token;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io;

/// Bytes put together for one write.
const BATCH_BYTES: usize = 16 * 1024;
/// Writes in a row before others have their turn.
const ROUNDS: usize = 8;
/// Bytes the system holds unsent, before it takes no more: what is urgent waits
/// behind no more than this.
const UNSENT_BYTES: u32 = 32 * 1024;

pub(super) struct Outbound {
    pub token: Token,
    pub stream: TcpStream,
    pub state: Connection,
    /// A deadline for being blocked is set.
    pub watched: bool,
    /// What was taken from the queue and not by the system.
    rest: Vec<u8>,
    written: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// Given up at this time.
    Connecting {
        until: Instant,
    },
    Open,
    /// Takes no more; dropped at this time unless it does again.
    Blocked {
        until: Instant,
    },
}

/// What writing has come to.
#[derive(Debug)]
pub(super) enum Writing {
    /// Nothing waits.
    Done,
    /// Others have their turn first.
    Interrupted,
    /// The system takes no more for now; whether it took anything.
    Blocked {
        progress: bool,
    },
    Broken(io::Error),
}

impl Outbound {
    /// Begins to connect.
    pub(super) fn connect(
        token: Token,
        to: SocketAddr,
        until: Instant,
        stall: Duration,
    ) -> io::Result<Outbound> {
        let stream = TcpStream::connect(to)?;
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(stall));
        let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
        Ok(Outbound {
            token,
            stream,
            state: Connection::Connecting { until },
            watched: false,
            rest: Vec::new(),
            written: 0,
        })
    }

    /// Whether the connection stands now; an error: it came to nothing.
    pub(super) fn connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            // To a port where nobody listens, a connection can meet itself.
            Ok(peer) if self.stream.local_addr()? == peer => {
                Err(io::ErrorKind::ConnectionRefused.into())
            }
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    pub(super) fn deadline(&self) -> Option<Instant> {
        match self.state {
            Connection::Connecting { until } | Connection::Blocked { until } => Some(until),
            Connection::Open => None,
        }
    }

    /// Writes what waits for this peer, several frames at a time.
    pub(super) fn write(&mut self, to: SocketAddr, outbox: &Mutex<Outbox>) -> Writing {
        let mut progress = false;
        for _ in 0..ROUNDS {
            if self.rest.is_empty() {
                let mut outbox = outbox.lock().expect("no holder panics");
                outbox.take_frames(to, BATCH_BYTES, &mut self.rest);
            }
            if self.rest.is_empty() {
                return Writing::Done;
            }
            match self.stream.write(&self.rest[self.written..]) {
                Ok(0) => return Writing::Broken(io::ErrorKind::WriteZero.into()),
                Ok(size) => {
                    progress = true;
                    self.written += size;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Writing::Blocked { progress };
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Writing::Broken(error),
            }
            if self.written == self.rest.len() {
                // An idle session holds no memory.
                self.rest = Vec::new();
                self.written = 0;
            }
        }
        Writing::Interrupted
    }
}
