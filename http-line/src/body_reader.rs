//! Reads the body of a message.

use crate::prelude::*;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

/// Why a body is not read further.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("{0}")]
    Malformed(&'static str),
    #[error("the body is too large")]
    TooLarge,
}

/// What one input did for a body.
#[derive(Debug, PartialEq)]
pub(crate) struct BodyProgress {
    /// Bytes of the input that belong to the body.
    pub(crate) consumed: usize,
    /// Whether the body's end was read.
    pub(crate) complete: bool,
}

/// A body being read. Invariant: `body` is at most `limit` bytes.
pub(crate) struct BodyReader {
    framing: Framing,
    chunked: ChunkedDecoder,
    pub(crate) body: Vec<u8>,
    limit: usize,
}

/// Allocated at once for a body whose length was only announced.
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

    /// Grows the buffer by doubling, never beyond the announced length.
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

    /// Whether the end of the connection is the body's end.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }
}
