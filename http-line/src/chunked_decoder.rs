//! Decoder for the chunked transfer coding.

#[cfg(test)]
mod tests;

use crate::body_reader::BodyProgress;
use crate::prelude::*;

/// Strict decoder for the chunked transfer coding: lines end with CRLF only, and
/// no space is allowed around a chunk size.
/// Invariant: `overhead_bytes` counts all bytes of extensions and trailers.
pub(crate) struct ChunkedDecoder {
    state: State,
    overhead_bytes: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// Chunk size read so far, and its number of digits.
    Size(usize, u8),
    /// Chunk size, while the chunk's extension is skipped.
    Extension(usize),
    /// Chunk size, while the line feed after it is expected.
    SizeLineFeed(usize),
    /// Number of bytes of the chunk that are still to be received.
    Data(usize),
    DataCarriageReturn,
    DataLineFeed,
    TrailerStart,
    Trailer,
    TrailerLineFeed,
    LastLineFeed,
    Done,
}

/// Maximum number of bytes of extensions and trailers in one body.
const MAX_OVERHEAD_BYTES: usize = 8 * 1024;
/// Maximum number of hexadecimal digits of a chunk size.
const MAX_SIZE_DIGITS: u8 = 8;

impl ChunkedDecoder {
    pub(crate) fn new() -> ChunkedDecoder {
        ChunkedDecoder {
            state: State::Size(0, 0),
            overhead_bytes: 0,
        }
    }

    /// Appends decoded bytes to `body`, up to a total of `limit` bytes.
    pub(crate) fn feed(
        &mut self,
        input: &[u8],
        body: &mut HeldBytes,
        limit: usize,
    ) -> Result<BodyProgress, BodyError> {
        let mut consumed = 0;
        while self.state != State::Done && consumed < input.len() {
            if let State::Data(remaining) = self.state {
                let size = remaining.min(input.len() - consumed);
                body.push(&input[consumed..consumed + size], limit)?;
                consumed += size;
                self.state = if size == remaining {
                    State::DataCarriageReturn
                } else {
                    State::Data(remaining - size)
                };
                continue;
            }
            self.state = self.next_state(input[consumed])?;
            consumed += 1;
            if let State::Data(size) = self.state
                && size > limit.saturating_sub(body.len())
            {
                return Err(BodyError::TooLarge);
            }
        }
        Ok(BodyProgress {
            consumed,
            complete: self.state == State::Done,
        })
    }

    fn next_state(&mut self, byte: u8) -> Result<State, BodyError> {
        let is_text = byte == b'\t' || (byte >= b' ' && byte != 0x7f);
        if matches!(self.state, State::Extension(_) | State::Trailer) {
            self.overhead_bytes += 1;
            if self.overhead_bytes > MAX_OVERHEAD_BYTES {
                return Err(BodyError::Malformed("too much beside the chunks"));
            }
        }
        Ok(match (self.state, byte) {
            (State::Size(size, digits), _)
                if byte.is_ascii_hexdigit() && digits < MAX_SIZE_DIGITS =>
            {
                let digit = (byte as char).to_digit(16).unwrap_or(0) as usize;
                State::Size(size << 4 | digit, digits + 1)
            }
            (State::Size(size, 1..), b'\r') | (State::Extension(size), b'\r') => {
                State::SizeLineFeed(size)
            }
            (State::Size(size, 1..), b';') => State::Extension(size),
            (State::Extension(size), _) if is_text => State::Extension(size),
            (State::SizeLineFeed(0), b'\n') => State::TrailerStart,
            (State::SizeLineFeed(size), b'\n') => State::Data(size),
            (State::DataCarriageReturn, b'\r') => State::DataLineFeed,
            (State::DataLineFeed, b'\n') => State::Size(0, 0),
            (State::TrailerStart, b'\r') => State::LastLineFeed,
            (State::TrailerStart, _) if is_text && byte > b' ' => State::Trailer,
            (State::Trailer, b'\r') => State::TrailerLineFeed,
            (State::Trailer, _) if is_text => State::Trailer,
            (State::TrailerLineFeed, b'\n') => State::TrailerStart,
            (State::LastLineFeed, b'\n') => State::Done,
            _ => return Err(BodyError::Malformed("bad chunk")),
        })
    }
}
