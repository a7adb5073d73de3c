//! A request of a client that keeps to the limits.
use crate::platform_soak::http_message::HttpMessage;
use crate::prelude::*;
use std::io::BufReader;

/// One request on a connection of its own.
#[derive(Debug, Clone, Default)]
pub struct OrdinaryRequest {
    /// Request method.
    pub method: String,
    /// Request target.
    pub target: String,
    /// Names and values of the headers, without the length of the body.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Vec<u8>,
    /// True if the body is sent in chunks, without its length.
    pub is_chunked: bool,
}

/// Number of body bytes in a chunk.
const CHUNK_BYTES: usize = 64 * 1024;

impl OrdinaryRequest {
    /// Sends the request and returns the status of its response. `timeout` bounds the
    /// connection attempt, and each read and write.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or ends before a complete response.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let written = match self.is_chunked {
            true => self.write_chunked(&mut stream),
            false => self.message().write(&mut stream),
        };
        // A server that refuses a request may respond before it was sent completely.
        let response = HttpMessage::read(&mut BufReader::new(stream))?;
        let status = response.context("no response")?.status();
        if status == 200 {
            written?;
        }
        Ok(status)
    }

    fn message(&self) -> HttpMessage {
        HttpMessage {
            start_line: format!("{} {} HTTP/1.1", self.method, self.target),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }

    fn write_chunked(&self, output: &mut impl Write) -> std::io::Result<()> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "Transfer-Encoding: chunked\r\n\r\n";
        output.write_all(head.as_bytes())?;
        for chunk in self.body.chunks(CHUNK_BYTES) {
            output.write_all(format!("{:x}\r\n", chunk.len()).as_bytes())?;
            output.write_all(chunk)?;
            output.write_all(b"\r\n")?;
        }
        output.write_all(b"0\r\n\r\n")
    }
}
