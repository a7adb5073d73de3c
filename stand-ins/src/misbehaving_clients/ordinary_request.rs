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
}

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
        let request = HttpMessage {
            start_line: format!("{} {} HTTP/1.1", self.method, self.target),
            headers: self.headers.clone(),
            body: self.body.clone(),
        };
        let written = request.write(&mut stream);
        // A server that refuses a request may respond before it was sent completely.
        let response = HttpMessage::read(&mut BufReader::new(stream))?;
        let status = response.context("no response")?.status();
        if status == 200 {
            written?;
        }
        Ok(status)
    }
}
