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
    #[error("no memory is left for the body")]
    BudgetExceeded,
}

impl From<BudgetExceeded> for BodyError {
    fn from(_: BudgetExceeded) -> BodyError {
        BodyError::BudgetExceeded
    }
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
    pub(crate) body: HeldBytes,
    limit: usize,
}

impl BodyReader {
    /// Creates a reader that appends to the empty `body`.
    pub(crate) fn new(
        framing: Framing,
        limit: usize,
        body: HeldBytes,
    ) -> Result<BodyReader, BodyError> {
        if matches!(framing, Framing::Length(length) if length > limit) {
            return Err(BodyError::TooLarge);
        }
        Ok(BodyReader {
            framing,
            chunked: ChunkedDecoder::new(),
            body,
            limit,
        })
    }

    pub(crate) fn feed(&mut self, input: &[u8]) -> Result<BodyProgress, BodyError> {
        match self.framing {
            Framing::Length(length) => self.read_up_to(length, input),
            Framing::Chunked => self.chunked.feed(input, &mut self.body, self.limit),
            Framing::UntilClose if input.len() > self.limit - self.body.len() => {
                Err(BodyError::TooLarge)
            }
            Framing::UntilClose => {
                self.body.push(input, self.limit)?;
                Ok(BodyProgress {
                    consumed: input.len(),
                    complete: false,
                })
            }
        }
    }

    fn read_up_to(&mut self, length: usize, input: &[u8]) -> Result<BodyProgress, BodyError> {
        let consumed = input.len().min(length - self.body.len());
        self.body.push(&input[..consumed], length)?;
        Ok(BodyProgress {
            consumed,
            complete: self.body.len() == length,
        })
    }

    /// Returns true if the body ends where the connection ends.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }
}
