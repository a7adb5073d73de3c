//! Callers that leave before their answer, in every manner there is.
use crate::prelude::*;
use std::net::Shutdown;

/// How a caller leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// It waits for its answer.
    Stays,
    /// It closes the connection.
    Closes,
    /// It ends its writing and reads on: nothing may be assumed wrongly of it.
    ShutsWriting,
    /// It asks with `Connection: close` and closes.
    ClosesAfterLast,
    /// It sends several requests at once and closes.
    ClosesPipelined,
}

/// What kind of request it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSort {
    /// May be sent more than once; nobody else asks for the same.
    Repeatable,
    /// Runs once under its key; nobody else uses it.
    Keyed,
    /// Many ask for the same copy: a call for one serves others.
    Cached,
}

/// One request whose caller left, or was answered.
#[derive(Debug, Clone)]
pub struct Departure {
    /// The request target.
    pub path: String,
    /// Where it was sent.
    pub edge: SocketAddr,
    /// How the caller left.
    pub manner: Manner,
    /// What was requested.
    pub sort: RequestSort,
    /// When the caller left, in seconds; none: it was answered before.
    pub left: Option<f64>,
    /// Of the response; 0: none was read.
    pub status: u16,
}

/// One caller after the other, each with a few requests.
pub struct DisconnectingClient {
    random: SeededRandom,
    worker: usize,
    seed: u64,
    serial: u64,
    edges: Vec<SocketAddr>,
}

/// Callers that leave do so within this time, in milliseconds.
const LEAVES_WITHIN_MS: u64 = 400;
/// One that stays waits so long.
const PATIENCE: Duration = Duration::from_secs(5);
const CONNECT: Duration = Duration::from_millis(500);
const PIPELINED: usize = 3;
/// Cached objects that are asked for.
const COPIES: u64 = 40;

impl DisconnectingClient {
    /// One of several workers with draws of its own.
    pub fn new(seed: u64, worker: usize, edges: Vec<SocketAddr>) -> DisconnectingClient {
        DisconnectingClient {
            random: SeededRandom::new(seed ^ ((worker as u64 + 1) << 32)),
            worker,
            seed,
            serial: 0,
            edges,
        }
    }

    /// Sends requests for a span, or until `stop` is set.
    pub fn run(mut self, span: Duration, stop: &AtomicBool) -> Vec<Departure> {
        let began = Instant::now();
        let mut seen = Vec::new();
        while began.elapsed() < span && !stop.load(Ordering::Acquire) {
            match self.visit() {
                Ok(list) => seen.extend(list),
                // Its edge is away: another one next time.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
        seen
    }

    fn visit(&mut self) -> Result<Vec<Departure>> {
        let manner = [
            Manner::Stays,
            Manner::Stays,
            Manner::Closes,
            Manner::ShutsWriting,
            Manner::ClosesAfterLast,
            Manner::ClosesPipelined,
        ][self.random.below(6) as usize];
        let edge = self.edges[self.random.below(self.edges.len() as u64) as usize];
        let count = if manner == Manner::ClosesPipelined {
            PIPELINED
        } else {
            1
        };
        let mut text = String::new();
        let mut list = Vec::new();
        for _ in 0..count {
            let (request, departure) = self.request(edge, manner);
            text += &request;
            list.push(departure);
        }
        let mut stream = TcpStream::connect_timeout(&edge, CONNECT)?;
        stream.write_all(text.as_bytes())?;
        if manner == Manner::Stays {
            stream.set_read_timeout(Some(PATIENCE))?;
            list[0].status = status_of(&mut stream);
            return Ok(list);
        }
        thread::sleep(Duration::from_millis(
            1 + self.random.below(LEAVES_WITHIN_MS),
        ));
        // What was answered meanwhile, nobody left.
        stream.set_nonblocking(true)?;
        let answered = matches!(stream.peek(&mut [0]), Ok(size) if size > 0);
        let left = wall();
        if manner == Manner::ShutsWriting {
            stream.shutdown(Shutdown::Write)?;
            stream.set_nonblocking(false)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            list[0].status = status_of(&mut stream);
        }
        drop(stream);
        for departure in list.iter_mut().filter(|_| !answered) {
            departure.left = Some(left);
        }
        Ok(list)
    }

    /// A request that nobody else sends.
    fn request(&mut self, edge: SocketAddr, manner: Manner) -> (String, Departure) {
        self.serial += 1;
        let number = format!("{}-{}-{}", self.seed, self.worker, self.serial);
        let sort = match self.random.below(4) {
            0 if manner != Manner::ClosesPipelined => RequestSort::Keyed,
            1 => RequestSort::Cached,
            _ => RequestSort::Repeatable,
        };
        let (method, path) = match sort {
            RequestSort::Repeatable => ("POST", format!("/availability/soak-{number}")),
            RequestSort::Keyed => ("POST", format!("/reservation/soak-{number}")),
            RequestSort::Cached => ("GET", format!("/listing/{}", self.random.below(COPIES))),
        };
        let mut heads = String::new();
        if sort == RequestSort::Keyed {
            heads += &format!("Operation-Key: soak-{number}\r\n");
        }
        if manner == Manner::ClosesAfterLast {
            heads += "Connection: close\r\n";
        }
        let text =
            format!("{method} {path} HTTP/1.1\r\nHost: soak\r\nContent-Length: 0\r\n{heads}\r\n");
        let departure = Departure {
            path,
            edge,
            manner,
            sort,
            left: None,
            status: 0,
        };
        (text, departure)
    }
}

/// The status of the answer that comes; 0: none comes.
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
