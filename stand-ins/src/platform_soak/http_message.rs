//! Blocking reading and writing of HTTP/1.1 messages, for test tools only.
use std::io::{self, BufRead, Write};

/// Request or response.
#[derive(Debug, Clone, Default)]
pub(crate) struct HttpMessage {
    /// Request line or status line.
    pub(crate) start_line: String,
    /// Header names and values.
    pub(crate) headers: Vec<(String, String)>,
    /// Body, with the length given by `Content-Length`.
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// Creates a response with this status and no headers.
    pub(crate) fn response(status: u16) -> HttpMessage {
        HttpMessage {
            start_line: format!("HTTP/1.1 {status} X"),
            ..HttpMessage::default()
        }
    }

    /// Adds a header.
    pub(crate) fn with_header(mut self, name: &str, value: impl Into<String>) -> HttpMessage {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets the body.
    pub(crate) fn with_body(mut self, body: impl Into<Vec<u8>>) -> HttpMessage {
        self.body = body.into();
        self
    }

    /// Returns the first value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line, which is the target of a
    /// request.
    pub(crate) fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Returns true if the sender closes the connection after this message.
    pub(crate) fn closes_connection(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// Reads a message; none if the connection ended before its first byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed, timed out, or ended within
    /// the message.
    pub(crate) fn read(input: &mut impl BufRead) -> io::Result<Option<HttpMessage>> {
        let Some(start_line) = read_line(input)? else {
            return Ok(None);
        };
        let mut message = HttpMessage {
            start_line,
            ..HttpMessage::default()
        };
        loop {
            let line = read_line(input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_string(), value.trim().to_string()));
            }
        }
        let length = message.header("content-length").unwrap_or("0");
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body.resize(length, 0);
        input.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Writes the message with a `Content-Length` header.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be written completely.
    pub(crate) fn write(&self, output: &mut impl Write) -> io::Result<()> {
        let mut bytes = format!("{}\r\n", self.start_line).into_bytes();
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        let length = format!("Content-Length: {}\r\n\r\n", self.body.len());
        bytes.extend_from_slice(length.as_bytes());
        bytes.extend_from_slice(&self.body);
        output.write_all(&bytes)
    }
}

/// Reads a line without its line ending; none at the end of the connection.
fn read_line(input: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_string()))
}
