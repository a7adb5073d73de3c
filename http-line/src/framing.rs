use crate::prelude::*;

/// How the end of a body is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Framing {
    Length(usize),
    Chunked,
    UntilClose,
}

#[derive(Debug, PartialEq)]
pub enum Fault {
    Bad(&'static str),
    Large,
}

/// A body being read. Invariant: `body` is at most `limit` bytes.
pub struct Reading {
    framing: Framing,
    chunk: Chunk,
    pub body: Vec<u8>,
    limit: usize,
}

/// What is set aside at once for a body whose length was only promised.
const FIRST: usize = 64 * 1024;

impl Reading {
    pub fn new(framing: Framing, limit: usize) -> std::result::Result<Reading, Fault> {
        let room = match framing {
            Framing::Length(size) if size > limit => return Err(Fault::Large),
            Framing::Length(size) => size.min(FIRST),
            _ => 0,
        };
        Ok(Reading {
            framing,
            chunk: Chunk::new(),
            body: Vec::with_capacity(room),
            limit,
        })
    }

    /// Bytes of the input used, and whether the body is whole.
    pub fn feed(&mut self, input: &[u8]) -> std::result::Result<(usize, bool), Fault> {
        match self.framing {
            Framing::Length(size) => {
                let part = input.len().min(size - self.body.len());
                let need = self.body.len() + part;
                if need > self.body.capacity() {
                    let room = (self.body.capacity() * 2).max(need).min(size);
                    self.body.reserve_exact(room - self.body.len());
                }
                self.body.extend_from_slice(&input[..part]);
                Ok((part, self.body.len() == size))
            }
            Framing::Chunked => self.chunk.feed(input, &mut self.body, self.limit),
            Framing::UntilClose if input.len() > self.limit - self.body.len() => Err(Fault::Large),
            Framing::UntilClose => {
                self.body.extend_from_slice(input);
                Ok((input.len(), false))
            }
        }
    }

    /// The other side has ended its writing: was that the body's end?
    pub fn ends_here(&self) -> bool {
        self.framing == Framing::UntilClose
    }
}
