//! What one client sends on its connection.
use std::io::{self, Write};

/// Framing of a request body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// `Content-Length` with this number of bytes.
    Length(u64),
    /// Chunks with this number of data bytes each; the last chunk is never sent.
    Chunks(usize),
}

/// Bytes that a client sends before it stops and keeps its connection open.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Request method.
    pub method: &'static str,
    /// Request target.
    pub target: String,
    /// Framing of the body, as announced.
    pub framing: Framing,
    /// Number of body bytes that are sent.
    pub body_bytes: usize,
    /// Maximum number of bytes of one write.
    pub piece_bytes: usize,
    /// Number of requests without a body that are sent before this one.
    pub requests_before: usize,
}

impl Sending {
    /// Writes everything, and stops at the first error: the server may refuse the request
    /// or close the connection at any time.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn write(&self, output: &mut impl Write) -> io::Result<()> {
        for _ in 0..self.requests_before {
            output.write_all(self.head("GET", "").as_bytes())?;
        }
        let head = match self.framing {
            Framing::Length(length) => format!("Content-Length: {length}\r\n"),
            Framing::Chunks(_) => "Transfer-Encoding: chunked\r\n".into(),
        };
        output.write_all(self.head(self.method, &head).as_bytes())?;
        let piece = self.piece();
        let data_bytes = self.data_bytes_of_piece();
        let mut sent = 0;
        while sent + data_bytes <= self.body_bytes {
            output.write_all(&piece)?;
            sent += data_bytes;
        }
        match self.framing {
            Framing::Length(_) => output.write_all(&piece[..self.body_bytes - sent]),
            Framing::Chunks(_) => Ok(()),
        }
    }

    fn head(&self, method: &str, framing: &str) -> String {
        format!(
            "{method} {} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: misbehaving\r\n\
             Deadline-Ms: 2500\r\n{framing}\r\n",
            self.target
        )
    }

    /// Number of data bytes in one write.
    fn data_bytes_of_piece(&self) -> usize {
        match self.framing {
            Framing::Length(_) => self.piece_bytes,
            Framing::Chunks(chunk) => chunk * (self.piece_bytes / chunk).max(1),
        }
    }

    /// Bytes of one write, with the sizes of the chunks.
    fn piece(&self) -> Vec<u8> {
        match self.framing {
            Framing::Length(_) => vec![b'x'; self.piece_bytes],
            Framing::Chunks(chunk) => {
                let encoded = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
                encoded
                    .repeat(self.data_bytes_of_piece() / chunk)
                    .into_bytes()
            }
        }
    }
}
