#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Reads chunked bytes, strictly: CRLF only, no space around a size.
/// Invariant: `extra` counts all bytes of extensions and trailers.
pub struct Chunk {
    at: At,
    extra: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    Size(usize, u8),
    Note(usize),
    SizeEnd(usize),
    Data(usize),
    DataCr,
    DataEnd,
    Line,
    Trailer,
    TrailerEnd,
    End,
    Done,
}

const EXTRA: usize = 8 * 1024;

impl Chunk {
    pub fn new() -> Chunk {
        Chunk {
            at: At::Size(0, 0),
            extra: 0,
        }
    }

    /// Bytes of the input used, and whether the body is whole.
    pub fn feed(
        &mut self,
        input: &[u8],
        body: &mut Vec<u8>,
        limit: usize,
    ) -> std::result::Result<(usize, bool), Fault> {
        let mut used = 0;
        while self.at != At::Done && used < input.len() {
            if let At::Data(left) = self.at {
                let size = left.min(input.len() - used);
                body.extend_from_slice(&input[used..used + size]);
                used += size;
                self.at = if size == left {
                    At::DataCr
                } else {
                    At::Data(left - size)
                };
                continue;
            }
            self.at = self.step(input[used])?;
            used += 1;
            if let At::Data(size) = self.at
                && size > limit.saturating_sub(body.len())
            {
                return Err(Fault::Large);
            }
        }
        Ok((used, self.at == At::Done))
    }

    fn step(&mut self, byte: u8) -> std::result::Result<At, Fault> {
        let plain = byte == b'\t' || (byte >= b' ' && byte != 0x7f);
        if matches!(self.at, At::Note(_) | At::Trailer) {
            self.extra += 1;
            if self.extra > EXTRA {
                return Err(Fault::Bad("too much beside the chunks"));
            }
        }
        Ok(match (self.at, byte) {
            (At::Size(size, count), _) if byte.is_ascii_hexdigit() && count < 8 => At::Size(
                size << 4 | (byte as char).to_digit(16).unwrap_or(0) as usize,
                count + 1,
            ),
            (At::Size(size, 1..), b'\r') | (At::Note(size), b'\r') => At::SizeEnd(size),
            (At::Size(size, 1..), b';') => At::Note(size),
            (At::Note(size), _) if plain => At::Note(size),
            (At::SizeEnd(0), b'\n') => At::Line,
            (At::SizeEnd(size), b'\n') => At::Data(size),
            (At::DataCr, b'\r') => At::DataEnd,
            (At::DataEnd, b'\n') => At::Size(0, 0),
            (At::Line, b'\r') => At::End,
            (At::Line, _) if plain && byte > b' ' => At::Trailer,
            (At::Trailer, b'\r') => At::TrailerEnd,
            (At::Trailer, _) if plain => At::Trailer,
            (At::TrailerEnd, b'\n') => At::Line,
            (At::End, b'\n') => At::Done,
            _ => return Err(Fault::Bad("bad chunk")),
        })
    }
}
