//! Reads the body of an HTTP message.

use crate::prelude::*;

/// Framing of a body: the rule by which its end is found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The reason why a body cannot be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("{0}")]
    Malformed(&'static str),
    #[error("the body is too large")]
    TooLarge,
}

/// Result of feeding one piece of input to a [`BodyReader`].
#[derive(Debug, PartialEq)]
pub(crate) struct BodyProgress {
    /// Number of input bytes that belong to the body.
    pub(crate) consumed: usize,
    /// True once the end of the body has been read.
    pub(crate) complete: bool,
}

/// Reader of one body. Invariant: `body` is at most `limit` bytes.
pub(crate) struct BodyReader {
    framing: Framing,
    chunked: ChunkedDecoder,
    pub(crate) body: Vec<u8>,
    limit: usize,
}

/// Maximum buffer size in bytes that is allocated for a `Content-Length` before
/// any of the body has been received.
const INITIAL_CAPACITY_BYTES: usize = 64 * 1024;

impl BodyReader {
    pub(crate) fn new(framing: Framing, limit: usize) -> Result<BodyReader, BodyError> {
        let capacity = match framing {
            Framing::Length(length) if length > limit => return Err(BodyError::TooLarge),
            Framing::Length(length) => length.min(INITIAL_CAPACITY_BYTES),
            _ => 0,
        };
        Ok(BodyReader {
            framing,
            chunked: ChunkedDecoder::new(),
            body: Vec::with_capacity(capacity),
            limit,
        })
    }

    pub(crate) fn feed(&mut self, input: &[u8]) -> Result<BodyProgress, BodyError> {
        match self.framing {
            Framing::Length(length) => Ok(self.read_up_to(length, input)),
            Framing::Chunked => self.chunked.feed(input, &mut self.body, self.limit),
            Framing::UntilClose if input.len() > self.limit - self.body.len() => {
                Err(BodyError::TooLarge)
            }
            Framing::UntilClose => {
                self.body.extend_from_slice(input);
                Ok(BodyProgress {
                    consumed: input.len(),
                    complete: false,
                })
            }
        }
    }

    /// Grows the buffer by doubling, never beyond the announced length of the body.
    fn read_up_to(&mut self, length: usize, input: &[u8]) -> BodyProgress {
        let consumed = input.len().min(length - self.body.len());
        let needed = self.body.len() + consumed;
        if needed > self.body.capacity() {
            let capacity = (self.body.capacity() * 2).max(needed).min(length);
            self.body.reserve_exact(capacity - self.body.len());
        }
        self.body.extend_from_slice(&input[..consumed]);
        BodyProgress {
            consumed,
            complete: self.body.len() == length,
        }
    }

    /// Returns true if the body ends where the connection ends.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }
}
