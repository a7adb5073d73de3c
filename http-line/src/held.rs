use crate::prelude::*;
use mio::net::TcpStream;

/// A socket and what is known of it.
pub struct Held {
    pub stream: TcpStream,
    pub side: Side,
    /// There may be input that was not read.
    pub unread: bool,
    /// The other side has ended its writing.
    pub hup: bool,
    /// The last write was not taken whole.
    pub blocked: bool,
    /// Bytes of answers that it has still to write.
    pub queued: usize,
    /// It waits for its turn to write.
    pub paced: bool,
    /// Asked to be told when it can be written.
    pub writes: bool,
    /// The earliest tick at which it comes up in the timers.
    pub armed: Option<u64>,
    pub busy: bool,
}

pub enum Side {
    Served {
        face: usize,
        served: Served,
    },
    /// Answered and ended by us: what still comes in is thrown away, so that
    /// no reset overtakes the answer.
    Linger {
        until: Instant,
        left: usize,
    },
    Called(Called),
}

impl Held {
    pub fn new(stream: TcpStream, side: Side) -> Held {
        Held {
            stream,
            side,
            unread: false,
            hup: false,
            blocked: false,
            queued: 0,
            paced: false,
            writes: false,
            armed: None,
            busy: false,
        }
    }

    /// The socket's end shall be a reset: the other side learns at once that
    /// nobody waits any more, where a mere end could be half a one.
    pub fn reset(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    pub fn due(&self, limits: &Limits) -> Option<Instant> {
        match &self.side {
            Side::Served { served, .. } => served.due(limits),
            Side::Linger { until, .. } => Some(*until),
            Side::Called(called) => called.due(),
        }
    }
}
