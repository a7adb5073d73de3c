//! A minimal HTTP/1.1 client and message reader.
use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers with lower-case names, and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` if the connection ended before it.
    pub fn read(input: &mut impl BufRead) -> Result<Option<Message>> {
        let mut message = Message::default();
        if input.read_line(&mut message.start)? == 0 {
            return Ok(None);
        }
        loop {
            let mut line = String::new();
            if input.read_line(&mut line)? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_string());
            message.headers.push(header);
        }
        let length = message.header("content-length").unwrap_or("0").parse();
        message.body = vec![0; length.map_err(|_| Error::from(ErrorKind::InvalidData))?];
        std::io::Read::read_exact(input, &mut message.body)?;
        Ok(Some(message))
    }

    /// The value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection of a client, kept for several requests.
pub struct Connection {
    input: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second; `timeout` limits each read.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection {
            input: BufReader::new(stream),
        })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<()> {
        let mut request = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            request += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || method != "GET" {
            request += &format!("Content-Length: {}\r\n", body.len());
        }
        request += "\r\n";
        let mut bytes = request.into_bytes();
        bytes.extend(body);
        self.input.get_mut().write_all(&bytes)
    }

    /// Reads the response to the request that was sent.
    pub fn receive(&mut self) -> Result<Message> {
        Message::read(&mut self.input)?.ok_or(ErrorKind::UnexpectedEof.into())
    }

    /// Sends a request and reads its response.
    pub fn exchange(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Message> {
        self.send(method, target, headers, body)?;
        self.receive()
    }
}
