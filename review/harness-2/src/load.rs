//! Clients: each keeps a connection to one edge and sends one request after the other.
use crate::fleet::Fleet;
use crate::http::Connection;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longest time that a client waits for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Multiplier of the generator of pseudo-random numbers.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With this status.
    Answer(u16),
    /// The connection ended without a complete answer, after the whole request was sent.
    Cut,
    /// No answer within `READ_TIMEOUT`.
    Silence,
}

/// A request that got no answer.
#[derive(Debug, Clone)]
pub struct Unanswered {
    /// The machine that the request was sent to.
    pub machine: usize,
    /// The request's id.
    pub id: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: End,
}

/// What clients send.
pub struct Request {
    /// The method.
    pub method: &'static str,
    /// Path below the route's prefix; the number chosen for a request is appended.
    pub prefix: &'static str,
    /// Number of different paths.
    pub paths: u64,
    /// True if each request carries an operation key of its own.
    pub is_keyed: bool,
    /// Pause of each client between two requests.
    pub pause: Duration,
}

/// Counts of all clients.
#[derive(Default)]
pub struct Load {
    /// Set to end the clients.
    pub stop: AtomicBool,
    /// Requests that were sent.
    pub sent: AtomicU64,
    /// Answers with a 2xx.
    pub succeeded: AtomicU64,
    /// Other answers.
    pub failed: AtomicU64,
    /// Requests without an answer.
    pub unanswered: Mutex<Vec<Unanswered>>,
}

impl Load {
    /// One line with the counts.
    pub fn summary(&self) -> String {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        format!(
            "{} requests sent, {} succeeded, {} other answers, {} without an answer",
            read(&self.sent),
            read(&self.succeeded),
            read(&self.failed),
            self.unanswered.lock().expect("no holder panics").len()
        )
    }

    /// Runs one client until `stop` is set.
    pub fn run_client(&self, fleet: &Fleet, machine: usize, client: u64, request: &Request) {
        let mut random = (machine as u64 * 1000 + client + 1).wrapping_mul(MULTIPLIER);
        let mut connection: Option<Connection> = None;
        while !self.stop.load(Ordering::Relaxed) {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            if connection.is_none() {
                connection = Connection::open(fleet.frontend(machine), READ_TIMEOUT).ok();
            }
            let Some(open) = connection.as_mut() else {
                thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            let id = format!("{random:016x}");
            let path = format!("{}{}", request.prefix, (random >> 8) % request.paths);
            let mut headers = vec![
                ("Host", "shop.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "2000"),
            ];
            if request.is_keyed {
                headers.push(("Operation-Key", id.as_str()));
            }
            let sent_at = Instant::now();
            let body: &[u8] = if request.is_keyed { b"{}" } else { b"" };
            if open.send(request.method, &path, &headers, body).is_err() {
                // The request may not have been sent whole: it does not count.
                connection = None;
                continue;
            }
            self.sent.fetch_add(1, Ordering::Relaxed);
            let end = match open.receive() {
                Ok(answer) => {
                    if answer.header("connection") == Some("close") {
                        connection = None;
                    }
                    End::Answer(answer.status())
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    End::Silence
                }
                Err(_) => End::Cut,
            };
            match end {
                End::Answer(200..=299) => {
                    self.succeeded.fetch_add(1, Ordering::Relaxed);
                }
                End::Answer(_) => {
                    self.failed.fetch_add(1, Ordering::Relaxed);
                }
                End::Cut | End::Silence => {
                    connection = None;
                    let ended_at = Instant::now();
                    let unanswered = Unanswered {
                        machine,
                        id,
                        sent_at,
                        ended_at,
                        end,
                    };
                    self.unanswered
                        .lock()
                        .expect("no holder panics")
                        .push(unanswered);
                }
            }
            thread::sleep(request.pause);
        }
    }
}
