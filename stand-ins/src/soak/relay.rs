//! Relay in front of an origin that can simulate network faults.
use crate::prelude::*;
use std::net::Shutdown;

/// Behaviour of a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards everything.
    Pass,
    /// Drops all data in both directions; connections stay open.
    DropLink,
    /// Forwards requests and drops responses.
    LoseResponses,
    /// Closes all connections.
    Reset,
}

/// Request that an edge sent to the origin.
#[derive(Debug, Clone)]
pub struct ForwardedRequest {
    /// Request target.
    pub path: String,
    /// Time at which the first bytes arrived, in seconds.
    pub at: f64,
    /// Time at which the response began or the connection ended, in seconds;
    /// none if neither happened.
    pub ended: Option<f64>,
}

/// Forwards connections to an origin and records their requests.
pub struct Relay {
    address: SocketAddr,
    target: Mutex<Option<SocketAddr>>,
    mode: Mutex<RelayMode>,
    forwarded_requests: Mutex<Vec<ForwardedRequest>>,
    stop: Arc<AtomicBool>,
}

/// Interval at which a blocked read checks for a changed mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Size of the read buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

impl Relay {
    /// Starts a relay that listens at the address until `stop` is set.
    pub fn new(address: SocketAddr, stop: Arc<AtomicBool>) -> Result<Arc<Relay>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let relay = Arc::new(Relay {
            address,
            target: Mutex::default(),
            mode: Mutex::new(RelayMode::Pass),
            forwarded_requests: Mutex::default(),
            stop,
        });
        let acceptor = relay.clone();
        thread::spawn(move || acceptor.accept(&listener));
        Ok(relay)
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the origin to forward to.
    pub fn forward_to(&self, origin: SocketAddr) {
        *self.target.lock().expect("no holder panics") = Some(origin);
    }

    /// Sets the behaviour.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// Returns all requests so far.
    pub fn forwarded_requests(&self) -> Vec<ForwardedRequest> {
        self.forwarded_requests
            .lock()
            .expect("no holder panics")
            .clone()
    }

    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("no holder panics")
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    fn accept(self: Arc<Relay>, listener: &TcpListener) {
        while !self.is_stopped() {
            match listener.accept() {
                Ok((edge, _)) => {
                    let relay = self.clone();
                    thread::spawn(move || relay.forward(edge));
                }
                Err(_) => thread::sleep(POLL_INTERVAL / 5),
            }
        }
    }

    fn forward(&self, mut edge: TcpStream) {
        let target = *self.target.lock().expect("no holder panics");
        let Some(Ok(mut origin)) = target.map(TcpStream::connect) else {
            return;
        };
        for stream in [&edge, &origin] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(POLL_INTERVAL));
            let _ = stream.set_nodelay(true);
        }
        let mut in_flight: Option<usize> = None;
        while !self.is_stopped() && self.mode() != RelayMode::Reset {
            let is_dropping = self.mode() == RelayMode::DropLink;
            let mut buffer = [0; BUFFER_BYTES];
            // The read also detects that the edge closes the connection while
            // the relay drops all data.
            match edge.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if is_dropping => {}
                Ok(size) => {
                    if let Some(path) = path_of(&buffer[..size]) {
                        in_flight = Some(self.record_start(path));
                    }
                    if origin.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
            if is_dropping {
                continue;
            }
            match origin.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if self.mode() == RelayMode::LoseResponses => {}
                Ok(size) => {
                    self.record_end(in_flight.take());
                    if edge.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
        }
        self.record_end(in_flight);
        let _ = origin.shutdown(Shutdown::Both);
        let _ = edge.shutdown(Shutdown::Both);
    }

    fn record_start(&self, path: String) -> usize {
        let mut forwarded_requests = self.forwarded_requests.lock().expect("no holder panics");
        let at = wall();
        forwarded_requests.push(ForwardedRequest {
            path,
            at,
            ended: None,
        });
        forwarded_requests.len() - 1
    }

    fn record_end(&self, forwarded: Option<usize>) {
        let mut forwarded_requests = self.forwarded_requests.lock().expect("no holder panics");
        if let Some(forwarded) = forwarded.and_then(|at| forwarded_requests.get_mut(at)) {
            forwarded.ended.get_or_insert(wall());
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Returns the target of the request that begins with these bytes, if one does.
fn path_of(bytes: &[u8]) -> Option<String> {
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let line = std::str::from_utf8(line).ok()?;
    let mut words = line.split(' ');
    let (_, path, version) = (words.next()?, words.next()?, words.next()?);
    version.starts_with("HTTP/1.").then(|| path.to_string())
}
