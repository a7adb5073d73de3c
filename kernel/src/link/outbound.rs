//! An outbound session: this process opened it to a peer and only sends.
use crate::link::queue::OutgoingQueues;
use crate::prelude::*;
use mio::Token;
use mio::net::TcpStream;
use socket2::SockRef;
use std::io;

/// Number of bytes gathered for one write.
const BATCH_BYTES: usize = 16 * 1024;
/// Number of consecutive writes before other sessions are served.
const MAX_WRITES: usize = 8;
/// Maximum number of unsent bytes in the socket buffer: an urgent message waits
/// behind no more than this.
const UNSENT_BYTES: u32 = 32 * 1024;

/// An outbound session with the bytes that are being written.
pub(super) struct Outbound {
    pub token: Token,
    pub stream: TcpStream,
    pub state: Connection,
    /// True if a deadline for a blocked session is set.
    pub deadline_set: bool,
    /// Bytes taken from the queue, of which the first `written` are in the socket.
    batch: Vec<u8>,
    written: usize,
}

/// State of the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Connection {
    /// The attempt fails if the connection is not established by `until`.
    Connecting {
        until: Instant,
    },
    Open,
    /// The socket buffer is full; the session is closed at `until` unless bytes are
    /// written before.
    Blocked {
        until: Instant,
    },
}

/// Result of writing to a session.
#[derive(Debug)]
pub(super) enum Writing {
    /// The queue is empty.
    Done,
    /// More bytes wait, but other sessions are served first.
    Yielded,
    /// Bulk messages wait until the rate of the link permits more.
    Paced,
    /// The socket buffer is full; `progress` is true if any bytes were written.
    Blocked {
        progress: bool,
    },
    Broken(io::Error),
}

impl Outbound {
    /// Starts to connect. The attempt fails at `until`; `stall` is the TCP user timeout.
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
            deadline_set: false,
            batch: Vec::new(),
            written: 0,
        })
    }

    /// Returns true if the connection is established, or an error if it failed.
    pub(super) fn is_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            // A connection to a port without a listener can connect to itself.
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

    /// Writes the queued messages of this peer, several frames at a time. Bulk messages
    /// are limited by the rate of the link.
    pub(super) fn write(
        &mut self,
        to: SocketAddr,
        queues: &Mutex<OutgoingQueues>,
        send_rate: Option<&SendRate>,
    ) -> Writing {
        let mut progress = false;
        for _ in 0..MAX_WRITES {
            if self.batch.is_empty() && !self.fill_batch(to, queues, send_rate) {
                return Writing::Paced;
            }
            if self.batch.is_empty() {
                return Writing::Done;
            }
            match self.stream.write(&self.batch[self.written..]) {
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
            if self.written == self.batch.len() {
                // Replaced and not cleared, so that an idle session holds no memory.
                self.batch = Vec::new();
                self.written = 0;
            }
        }
        Writing::Yielded
    }

    /// Takes the next frames of this peer. Returns false if only bulk messages wait and
    /// the rate of the link does not permit them now.
    fn fill_batch(
        &mut self,
        to: SocketAddr,
        queues: &Mutex<OutgoingQueues>,
        send_rate: Option<&SendRate>,
    ) -> bool {
        let now = Instant::now();
        let max_bulk = send_rate.map_or(usize::MAX, |send_rate| send_rate.peer_allowance(now));
        let mut queues = queues.lock().expect("no holder panics");
        let bulk_taken = queues.take_frames(to, BATCH_BYTES, max_bulk, &mut self.batch);
        if let Some(send_rate) = send_rate {
            send_rate.spend(bulk_taken);
        }
        !self.batch.is_empty() || queues.is_empty(to)
    }
}
