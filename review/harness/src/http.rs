//! Just enough HTTP/1.1 for the stand-ins, over blocking sockets.
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// First line and headers; none if the connection ended before the first byte.
fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

fn read_body(
    input: &mut impl BufRead,
    headers: &Headers,
    until_close: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = header(headers, "content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        input.read_exact(&mut body)?;
    } else if header(headers, "transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    } else if until_close {
        input.read_to_end(&mut body)?;
    }
    Ok(body)
}

pub fn read_request(input: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default().to_string();
    let body = read_body(input, &headers, false)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

pub fn write_response(output: &mut impl Write, response: &Response) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {} X\r\n", response.status).into_bytes();
    for (name, value) in &response.headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", response.body.len()).bytes());
    bytes.extend(&response.body);
    output.write_all(&bytes)
}

/// One request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        bytes.extend(format!("Host: {address}\r\n").bytes());
    }
    if !body.is_empty() {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).bytes());
    }
    bytes.extend(b"\r\n");
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut input = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut input)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let body = read_body(&mut input, &headers, true)?;
    Ok(Response {
        status,
        headers,
        body,
    })
}
