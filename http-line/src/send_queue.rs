//! Output queue of a connection.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Byte chunks to be written, in order. Invariant: no chunk is empty.
#[derive(Default)]
pub struct SendQueue {
    chunks: VecDeque<Body>,
    /// Number of bytes of the first chunk that are already written.
    first_offset: usize,
    remaining: usize,
}

/// Result of one write.
#[derive(Debug)]
pub struct WriteProgress {
    /// Number of bytes that the sink accepted.
    pub written: usize,
    /// An error unless everything was written; `WouldBlock` if the sink accepts no
    /// more bytes for now.
    pub result: io::Result<()>,
}

impl WriteProgress {
    /// Returns true if the sink accepts no more bytes for now.
    pub fn would_block(&self) -> bool {
        self.result
            .as_ref()
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

/// Maximum number of chunks in one vectored write.
const MAX_SLICES: usize = 16;

impl SendQueue {
    /// Appends a chunk to the queue.
    pub fn push(&mut self, body: Body) {
        if !body.is_empty() {
            self.remaining += body.len();
            self.chunks.push_back(body);
        }
    }

    /// Number of bytes still to be written.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Number of bytes still to be written that nothing else holds.
    pub fn unshared_bytes(&self) -> usize {
        let unshared = self.chunks.iter().filter(|chunk| chunk.is_unshared());
        unshared.map(Body::len).sum()
    }

    /// Returns true if everything is written.
    pub fn is_empty(&self) -> bool {
        self.remaining == 0
    }

    /// Writes until the queue is empty, the sink would block or an error occurs.
    pub fn write(&mut self, sink: &mut dyn Write) -> WriteProgress {
        let mut written = 0;
        while self.remaining > 0 {
            match self.write_once(sink) {
                Ok(0) => {
                    let result = Err(ErrorKind::WriteZero.into());
                    return WriteProgress { written, result };
                }
                Ok(size) => {
                    written += size;
                    self.advance(size);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    let result = Err(error);
                    return WriteProgress { written, result };
                }
            }
        }
        if self.chunks.capacity() > MAX_SLICES {
            self.chunks = VecDeque::new();
        }
        WriteProgress {
            written,
            result: Ok(()),
        }
    }

    fn write_once(&self, sink: &mut dyn Write) -> io::Result<usize> {
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let mut count = 0;
        for (slice, chunk) in slices.iter_mut().zip(&self.chunks) {
            let start = if count == 0 { self.first_offset } else { 0 };
            *slice = IoSlice::new(&chunk.bytes()[start..]);
            count += 1;
        }
        match count {
            1 => sink.write(&slices[0]),
            _ => sink.write_vectored(&slices[..count]),
        }
    }

    fn advance(&mut self, size: usize) {
        self.remaining -= size;
        self.first_offset += size;
        while let Some(first) = self.chunks.front() {
            if self.first_offset < first.len() {
                break;
            }
            self.first_offset -= first.len();
            self.chunks.pop_front();
        }
    }
}
