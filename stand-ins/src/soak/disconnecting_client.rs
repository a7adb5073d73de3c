//! Clients that disconnect before their response in various ways.
use crate::prelude::*;
use std::net::Shutdown;

/// Way in which a client disconnects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisconnectMode {
    /// Waits for the response.
    WaitsForResponse,
    /// Closes the connection.
    Closes,
    /// Closes its writing side only and still reads the response, so it must
    /// not be treated as disconnected.
    HalfCloses,
    /// Sends `Connection: close` and closes the connection.
    ClosesAfterCloseHeader,
    /// Pipelines several requests and closes the connection.
    ClosesAfterPipelining,
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be sent more than once; no other client requests the same path.
    Repeatable,
    /// Is executed once under its key, which no other client uses.
    Keyed,
    /// Requests a cached object; one origin call serves several clients.
    Cached,
}

/// Request of a client that disconnected or received its response.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Request target.
    pub path: String,
    /// Address of the edge.
    pub edge: SocketAddr,
    /// Way in which the client disconnected.
    pub mode: DisconnectMode,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Time at which the client disconnected, in seconds; none if the response
    /// arrived before.
    pub disconnected_at: Option<f64>,
    /// Status of the response; 0 if none was read.
    pub status: u16,
}

/// Sequence of clients, each with one or a few requests.
pub struct DisconnectingClient {
    random: SeededRandom,
    worker: usize,
    seed: u64,
    serial: u64,
    edges: Vec<SocketAddr>,
}

/// Maximum time before a client disconnects, in milliseconds.
const MAX_DISCONNECT_DELAY_MS: u64 = 400;
/// Timeout of a client that waits for its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const PIPELINED_REQUESTS: usize = 3;
/// Number of cached objects that are requested.
const CACHED_OBJECTS: u64 = 40;

impl DisconnectingClient {
    /// Creates one of several workers with its own random numbers.
    pub fn new(seed: u64, worker: usize, edges: Vec<SocketAddr>) -> DisconnectingClient {
        DisconnectingClient {
            random: SeededRandom::new(seed ^ ((worker as u64 + 1) << 32)),
            worker,
            seed,
            serial: 0,
            edges,
        }
    }

    /// Sends requests for the span or until `stop` is set.
    pub fn run(mut self, span: Duration, stop: &AtomicBool) -> Vec<ClientRequest> {
        let started_at = Instant::now();
        let mut requests = Vec::new();
        while started_at.elapsed() < span && !stop.load(Ordering::Acquire) {
            match self.run_client() {
                Ok(list) => requests.extend(list),
                // The edge is down; the next client chooses an edge again.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
        requests
    }

    fn run_client(&mut self) -> Result<Vec<ClientRequest>> {
        let mode = [
            DisconnectMode::WaitsForResponse,
            DisconnectMode::WaitsForResponse,
            DisconnectMode::Closes,
            DisconnectMode::HalfCloses,
            DisconnectMode::ClosesAfterCloseHeader,
            DisconnectMode::ClosesAfterPipelining,
        ][self.random.below(6) as usize];
        let edge = self.edges[self.random.below(self.edges.len() as u64) as usize];
        let count = if mode == DisconnectMode::ClosesAfterPipelining {
            PIPELINED_REQUESTS
        } else {
            1
        };
        let mut text = String::new();
        let mut list = Vec::new();
        for _ in 0..count {
            let (request_text, request) = self.new_request(edge, mode);
            text += &request_text;
            list.push(request);
        }
        let mut stream = TcpStream::connect_timeout(&edge, CONNECT_TIMEOUT)?;
        stream.write_all(text.as_bytes())?;
        if mode == DisconnectMode::WaitsForResponse {
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
            list[0].status = status_of(&mut stream);
            return Ok(list);
        }
        thread::sleep(Duration::from_millis(
            1 + self.random.below(MAX_DISCONNECT_DELAY_MS),
        ));
        // A request with a response does not count as abandoned.
        stream.set_nonblocking(true)?;
        let has_response = matches!(stream.peek(&mut [0]), Ok(size) if size > 0);
        let disconnected_at = wall();
        if mode == DisconnectMode::HalfCloses {
            stream.shutdown(Shutdown::Write)?;
            stream.set_nonblocking(false)?;
            stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
            list[0].status = status_of(&mut stream);
        }
        drop(stream);
        for request in list.iter_mut().filter(|_| !has_response) {
            request.disconnected_at = Some(disconnected_at);
        }
        Ok(list)
    }

    /// Creates a request; unless it is for a cached object, no other client
    /// sends it.
    fn new_request(&mut self, edge: SocketAddr, mode: DisconnectMode) -> (String, ClientRequest) {
        self.serial += 1;
        let number = format!("{}-{}-{}", self.seed, self.worker, self.serial);
        let kind = match self.random.below(4) {
            0 if mode != DisconnectMode::ClosesAfterPipelining => RequestKind::Keyed,
            1 => RequestKind::Cached,
            _ => RequestKind::Repeatable,
        };
        let (method, path) = match kind {
            RequestKind::Repeatable => ("POST", format!("/availability/soak-{number}")),
            RequestKind::Keyed => ("POST", format!("/reservation/soak-{number}")),
            RequestKind::Cached => (
                "GET",
                format!("/listing/{}", self.random.below(CACHED_OBJECTS)),
            ),
        };
        let mut headers = String::new();
        if kind == RequestKind::Keyed {
            headers += &format!("Operation-Key: soak-{number}\r\n");
        }
        if mode == DisconnectMode::ClosesAfterCloseHeader {
            headers += "Connection: close\r\n";
        }
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n{headers}\r\n");
        let request = ClientRequest {
            path,
            edge,
            mode,
            kind,
            disconnected_at: None,
            status: 0,
        };
        (text, request)
    }
}

/// Reads the status of the response; 0 if none arrives.
fn status_of(stream: &mut TcpStream) -> u16 {
    let mut head = Vec::new();
    let mut buffer = [0; 512];
    while head.len() < 12 {
        match stream.read(&mut buffer) {
            Ok(size) if size > 0 => head.extend_from_slice(&buffer[..size]),
            _ => return 0,
        }
    }
    let status = head
        .get(9..12)
        .and_then(|word| std::str::from_utf8(word).ok());
    status.and_then(|word| word.parse().ok()).unwrap_or(0)
}
