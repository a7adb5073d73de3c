//! An inbound session: the peer that opened it only sends, this process only reads.
use crate::frame::{FrameDecoder, FrameError};
use crate::prelude::*;
use mio::net::TcpStream;

/// Number of consecutive reads before other sessions are served.
const MAX_READS: usize = 4;

/// An inbound session with its decoder.
pub(super) struct Inbound {
    pub stream: TcpStream,
    /// The sender, known from its first message.
    pub peer: Option<Peer>,
    /// True if the socket may hold unread bytes.
    pub unread: bool,
    /// True if the peer has closed the session, which is then read until its end.
    pub closed: bool,
    decoder: FrameDecoder,
}

/// Result of reading from a session.
#[derive(Debug)]
pub(super) enum Reading {
    /// All available bytes were read.
    Drained,
    /// More bytes may be available, but other sessions are served first.
    Yielded,
    Ended(std::io::Error),
    InvalidFrame(FrameError),
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

    /// Calls `on_body` with the body of each complete message.
    pub(super) fn read(&mut self, scratch: &mut [u8], on_body: &mut dyn FnMut(&[u8])) -> Reading {
        for _ in 0..MAX_READS {
            match self.stream.read(scratch) {
                Ok(0) => {
                    return Reading::Ended(std::io::ErrorKind::UnexpectedEof.into());
                }
                Ok(size) => {
                    if let Err(error) = self.decoder.feed(&scratch[..size], on_body) {
                        return Reading::InvalidFrame(error);
                    }
                    // A short read has drained the socket, unless the end of the stream follows.
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
        Reading::Yielded
    }
}
