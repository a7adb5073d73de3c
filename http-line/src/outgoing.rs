#[cfg(test)]
mod tests;

use crate::prelude::*;

/// What is still to be written, in order. Invariant: no piece is empty.
#[derive(Default)]
pub struct Outgoing {
    pieces: VecDeque<Body>,
    at: usize,
    left: usize,
}

const PARTITIONS: usize = 16;

impl Outgoing {
    pub fn push(&mut self, body: Body) {
        if !body.is_empty() {
            self.left += body.len();
            self.pieces.push_back(body);
        }
    }

    pub fn left(&self) -> usize {
        self.left
    }

    pub fn is_empty(&self) -> bool {
        self.left == 0
    }

    /// Writes until all is written or the sink would block; the bytes taken,
    /// and how it ended.
    pub fn write(&mut self, sink: &mut dyn Write) -> (usize, io::Result<()>) {
        let mut sum = 0;
        while self.left > 0 {
            let mut partitions = [IoSlice::new(&[]); PARTITIONS];
            let mut count = 0;
            for (partition, piece) in partitions.iter_mut().zip(&self.pieces) {
                let from = if count == 0 { self.at } else { 0 };
                *partition = IoSlice::new(&piece.bytes()[from..]);
                count += 1;
            }
            let wrote = match count {
                1 => sink.write(&partitions[0]),
                _ => sink.write_vectored(&partitions[..count]),
            };
            match wrote {
                Ok(0) => return (sum, Err(ErrorKind::WriteZero.into())),
                Ok(size) => {
                    sum += size;
                    self.wrote(size);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return (sum, Err(e)),
            }
        }
        if self.pieces.capacity() > PARTITIONS {
            self.pieces = VecDeque::new();
        }
        (sum, Ok(()))
    }

    fn wrote(&mut self, size: usize) {
        self.left -= size;
        self.at += size;
        while let Some(first) = self.pieces.front() {
            if self.at < first.len() {
                break;
            }
            self.at -= first.len();
            self.pieces.pop_front();
        }
    }
}
