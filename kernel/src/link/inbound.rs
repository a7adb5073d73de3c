//! A session that a peer opened: it only speaks, we only listen.
use crate::frame::{FrameDecoder, FrameError};
use crate::prelude::*;
use mio::net::TcpStream;

/// Reads in a row before others have their turn.
const ROUNDS: usize = 4;

pub(super) struct Inbound {
    pub stream: TcpStream,
    /// Who speaks here, once known.
    pub peer: Option<Peer>,
    /// The socket may hold more than was read.
    pub unread: bool,
    /// The other side has closed: read until the end is seen.
    pub closed: bool,
    decoder: FrameDecoder,
}

/// What reading has come to.
#[derive(Debug)]
pub(super) enum Reading {
    /// All there was.
    Drained,
    /// Others have their turn first.
    Interrupted,
    Ended(std::io::Error),
    Refused(FrameError),
}

impl Inbound {
    pub(super) fn new(stream: TcpStream) -> Inbound {
        Inbound {
            stream,
            peer: None,
            unread: true,
            closed: false,
            decoder: FrameDecoder::default(),
        }
    }

    /// Hands the body of each message that is complete to `take`.
    pub(super) fn read(&mut self, scratch: &mut [u8], take: &mut dyn FnMut(&[u8])) -> Reading {
        for _ in 0..ROUNDS {
            match self.stream.read(scratch) {
                Ok(0) => {
                    return Reading::Ended(std::io::ErrorKind::UnexpectedEof.into());
                }
                Ok(size) => {
                    if let Err(error) = self.decoder.feed(&scratch[..size], take) {
                        return Reading::Refused(error);
                    }
                    // A short read has emptied the socket, unless its end is behind.
                    if size < scratch.len() && !self.closed {
                        self.unread = false;
                        return Reading::Drained;
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.unread = false;
                    return Reading::Drained;
                }
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                Err(error) => return Reading::Ended(error),
            }
        }
        Reading::Interrupted
    }
}
