//! A relay before one origin, which can be told to fail as networks do.
use crate::prelude::*;
use std::net::Shutdown;

/// What a relay does with what it is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Everything passes.
    Pass,
    /// Nothing passes either way; connections stay and say nothing.
    DropLink,
    /// Requests pass, answers do not.
    LoseOperatorResponses,
    /// Connections are reset as soon as anything comes.
    Reset,
}

/// One request that an edge sent towards the origin.
#[derive(Debug, Clone)]
pub struct Passage {
    /// The request target.
    pub path: String,
    /// When its first bytes came, in seconds.
    pub at: f64,
    /// When its answer began, or the edge ended the connection; none: neither.
    pub ended: Option<f64>,
}

/// Forwards connections to one origin and records the requests on them.
pub struct Relay {
    address: SocketAddr,
    target: Mutex<Option<SocketAddr>>,
    mode: Mutex<RelayMode>,
    passages: Mutex<Vec<Passage>>,
    stop: Arc<AtomicBool>,
}

/// How often a blocked read looks whether the mode has changed.
const LOOK: Duration = Duration::from_millis(10);
const CHUNK: usize = 16 * 1024;

impl Relay {
    /// Listens at the address until `stop` is set.
    pub fn new(address: SocketAddr, stop: Arc<AtomicBool>) -> Result<Arc<Relay>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let relay = Arc::new(Relay {
            address,
            target: Mutex::default(),
            mode: Mutex::new(RelayMode::Pass),
            passages: Mutex::default(),
            stop,
        });
        let taker = relay.clone();
        thread::spawn(move || taker.accept(&listener));
        Ok(relay)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the origin.
    pub fn forward_to(&self, origin: SocketAddr) {
        *self.target.lock().expect("no holder panics") = Some(origin);
    }

    /// Sets how it fails from now on.
    pub fn set_mode(&self, mode: RelayMode) {
        *self.mode.lock().expect("no holder panics") = mode;
    }

    /// All requests so far.
    pub fn passages(&self) -> Vec<Passage> {
        self.passages.lock().expect("no holder panics").clone()
    }

    fn mode(&self) -> RelayMode {
        *self.mode.lock().expect("no holder panics")
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    fn accept(self: Arc<Relay>, listener: &TcpListener) {
        while !self.stopped() {
            match listener.accept() {
                Ok((edge, _)) => {
                    let relay = self.clone();
                    thread::spawn(move || relay.carry(edge));
                }
                Err(_) => thread::sleep(LOOK / 5),
            }
        }
    }

    fn carry(&self, mut edge: TcpStream) {
        let target = *self.target.lock().expect("no holder panics");
        let Some(Ok(mut origin)) = target.map(TcpStream::connect) else {
            return;
        };
        for stream in [&edge, &origin] {
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(LOOK));
            let _ = stream.set_nodelay(true);
        }
        let mut under_way: Option<usize> = None;
        while !self.stopped() && self.mode() != RelayMode::Reset {
            let cut = self.mode() == RelayMode::DropLink;
            let mut buffer = [0; CHUNK];
            // An edge that gives up is seen also while nothing passes.
            match edge.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if cut => {}
                Ok(size) => {
                    if let Some(path) = path_of(&buffer[..size]) {
                        under_way = Some(self.begin(path));
                    }
                    if origin.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
            if cut {
                continue;
            }
            match origin.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) if self.mode() == RelayMode::LoseOperatorResponses => {}
                Ok(size) => {
                    self.end(under_way.take());
                    if edge.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => break,
            }
        }
        self.end(under_way);
        let _ = origin.shutdown(Shutdown::Both);
        let _ = edge.shutdown(Shutdown::Both);
    }

    fn begin(&self, path: String) -> usize {
        let mut passages = self.passages.lock().expect("no holder panics");
        let at = wall();
        passages.push(Passage {
            path,
            at,
            ended: None,
        });
        passages.len() - 1
    }

    fn end(&self, passage: Option<usize>) {
        let mut passages = self.passages.lock().expect("no holder panics");
        if let Some(passage) = passage.and_then(|at| passages.get_mut(at)) {
            passage.ended.get_or_insert(wall());
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// The target of the request that begins here, if one does.
fn path_of(bytes: &[u8]) -> Option<String> {
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let line = std::str::from_utf8(line).ok()?;
    let mut words = line.split(' ');
    let (_, path, version) = (words.next()?, words.next()?, words.next()?);
    version.starts_with("HTTP/1.").then(|| path.to_string())
}
