//! A stand-in of an origin: it serves objects, names the request and itself, and keeps count.
use crate::http::Message;
use std::collections::HashSet;
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An origin that runs until the process ends.
pub struct Origin {
    /// Its address.
    pub address: SocketAddr,
    /// The id of its life.
    pub id: String,
    /// The service.
    pub service: String,
    /// The ids of the requests that it has run.
    pub runs: Mutex<HashSet<String>>,
    /// The operation keys of the requests that it has run, one for each run.
    pub keys: Mutex<Vec<String>>,
    /// While set, it turns each request away unrun, as an origin does that is full.
    pub is_full: AtomicBool,
    work: Duration,
    body_bytes: usize,
}

impl Origin {
    /// Starts an origin that works this long on each request and answers this many bytes.
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        work: Duration,
        body_bytes: usize,
    ) -> Result<Arc<Origin>> {
        let listener = TcpListener::bind(address)?;
        let origin = Arc::new(Origin {
            address,
            id: id.into(),
            service: service.into(),
            runs: Mutex::default(),
            keys: Mutex::default(),
            is_full: AtomicBool::new(false),
            work,
            body_bytes,
        });
        let server = origin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(origin)
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(request) = Message::read(&mut input)? {
            output.write_all(&self.respond(&request))?;
        }
        Ok(())
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let id = request.header("request-id").unwrap_or_default();
        if request.target() == "/health" {
            return response(200, &[("Instance-Id", &self.id)], b"");
        }
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return response(421, &[("Request-Id", id)], b"");
        }
        if self.is_full.load(Ordering::Acquire) {
            return response(503, &[("Request-Id", id), ("Not-Executed", "full")], b"");
        }
        if let Some(key) = request.header("operation-key") {
            let mut keys = self.keys.lock().expect("no holder panics");
            keys.push(key.into());
        }
        self.runs
            .lock()
            .expect("no holder panics")
            .insert(id.into());
        thread::sleep(self.work);
        let body: Vec<u8> = request
            .target()
            .bytes()
            .cycle()
            .take(self.body_bytes)
            .collect();
        let signature = format!("{}.{:x}", self.id, body.len());
        let headers = [
            ("Request-Id", id),
            ("Origin-Signature", &signature),
            ("ETag", "\"1\""),
        ];
        response(200, &headers, &body)
    }
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    bytes
}
