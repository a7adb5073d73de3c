//! Clients with keep-alive connections, which they use until the edge closes
//! them.
use super::balancer::Balancer;
use super::http_message::HttpMessage;
use super::machines::Machines;
use super::observations::{
    AttemptOutcome, ClientOperation, Observations, RequestAttempt, RouteKind,
};
use super::routes::{DEADLINE_MS, HOST, RouteBook, route_name};
use crate::prelude::*;
use std::io::{BufReader, ErrorKind};

const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// Time allowed beyond the deadline for the transmission of the response.
const READ_MARGIN: Duration = Duration::from_millis(500);
/// Maximum delay for `Retry-After`: a third of the deadline.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(DEADLINE_MS / 3);
/// Number of retries of an operation.
const RETRIES: usize = 1;
const PIPELINED_REQUESTS: usize = 3;
/// Percentage of requests on idempotent routes that are pipelined.
const PIPELINE_PERCENT: u64 = 20;
/// Percentage of keyed operations that are sent again on a new connection.
const RESEND_PERCENT: u64 = 5;
/// Percentage of clients that reconnect to their edge as long as it listens.
const STICKY_PERCENT: u64 = 50;
/// Percentage of think times that last `LONG_THINK_TIME`.
const LONG_THINK_TIME_PERCENT: u64 = 1;
/// Long think time: four fifths of the idle timeout in the initial order.
const LONG_THINK_TIME: Duration = Duration::from_secs(12);
const OBJECTS_PER_ROUTE: u64 = 20;
/// Delay after a refused connection.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Context that all clients of a run share.
pub(super) struct ClientContext {
    /// Machines with the edges.
    pub(super) machines: Arc<Machines>,
    /// Balancer that chooses edges for new connections.
    pub(super) balancer: Arc<Balancer>,
    /// Routes of the run.
    pub(super) routes: Arc<RouteBook>,
    /// Collects the attempts.
    pub(super) observations: Arc<Observations>,
    /// Stops the clients when set.
    pub(super) stop: Arc<AtomicBool>,
}

/// Client with a keep-alive connection.
pub(super) struct KeepAliveClient {
    context: Arc<ClientContext>,
    random: SeededRandom,
    name: String,
    serial: u64,
    is_sticky: bool,
    connection: Option<KeepAliveConnection>,
    last_machine: Option<usize>,
}

struct KeepAliveConnection {
    machine: usize,
    output: TcpStream,
    input: BufReader<TcpStream>,
}

/// Request, which is the same in each attempt.
#[derive(Clone)]
struct PlannedRequest {
    route: usize,
    kind: RouteKind,
    key: Option<String>,
    object: u64,
}

impl KeepAliveClient {
    /// Creates a client with its own random numbers.
    pub(super) fn new(context: Arc<ClientContext>, seed: u64, number: usize) -> KeepAliveClient {
        let mut random = SeededRandom::new(seed ^ ((number as u64 + 1) << 32));
        KeepAliveClient {
            is_sticky: random.chance(STICKY_PERCENT),
            context,
            random,
            name: format!("{seed}-{number}"),
            serial: 0,
            connection: None,
            last_machine: None,
        }
    }

    /// Sends requests until the run ends.
    pub(super) fn run(mut self) {
        while !self.context.stop.load(Ordering::Acquire) {
            let Some((route, kind)) = self.context.routes.draw(&mut self.random) else {
                return;
            };
            if kind == RouteKind::Idempotent && self.random.chance(PIPELINE_PERCENT) {
                self.send_pipelined(route);
            } else {
                self.execute(route, kind);
            }
            self.think();
        }
    }

    /// Waits for the think time: usually short, sometimes close to the idle
    /// timeout.
    fn think(&mut self) {
        let think_time = match self.random.below(100) {
            number if number < LONG_THINK_TIME_PERCENT => LONG_THINK_TIME,
            number if number < 20 => Duration::from_millis(self.random.below(300)),
            _ => Duration::from_millis(5 + self.random.below(60)),
        };
        let until = Instant::now() + think_time;
        while Instant::now() < until && !self.context.stop.load(Ordering::Acquire) {
            thread::sleep((until - Instant::now()).min(Duration::from_millis(100)));
        }
    }

    fn execute(&mut self, route: usize, kind: RouteKind) {
        self.serial += 1;
        let request = PlannedRequest {
            route,
            kind,
            key: (kind == RouteKind::Keyed).then(|| format!("k-{}-{}", self.name, self.serial)),
            object: self.random.below(OBJECTS_PER_ROUTE),
        };
        let sent = wall();
        let mut served = false;
        for retry in 0..=RETRIES {
            let remaining = DEADLINE.saturating_sub(Duration::from_secs_f64(wall() - sent));
            if remaining.is_zero() {
                break;
            }
            match self.attempt(&request, remaining) {
                Some((200, _)) => served = true,
                Some((404, _)) => return, // The route was removed; no response is required.
                Some((_, delay)) => {
                    self.connection = None;
                    thread::sleep(delay.min(MAX_RETRY_DELAY));
                }
                None => {}
            }
            if served || retry == RETRIES {
                break;
            }
        }
        let operations = &self.context.observations;
        operations.add_operation(ClientOperation { sent, served });
        if request.key.is_some() && self.random.chance(RESEND_PERCENT) {
            self.connection = None;
            self.attempt(&request, DEADLINE);
        }
    }

    /// Sends a request once; returns the status and the delay before a retry.
    fn attempt(&mut self, request: &PlannedRequest, deadline: Duration) -> Option<(u16, Duration)> {
        let mut connection = self.connect()?;
        let id = self.next_id();
        let text = self.request_text(request, &id, deadline);
        connection.output.write_all(text.as_bytes()).ok()?;
        let sent = wall();
        let (response, reusable) = self.read(&mut connection, request, id, sent, false);
        if reusable {
            self.connection = Some(connection);
        }
        let response = response?;
        let retry_after_s: f64 = response
            .header("Retry-After")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        Some((
            response.status(),
            Duration::from_secs_f64(retry_after_s.max(0.0)),
        ))
    }

    fn send_pipelined(&mut self, route: usize) {
        let Some(mut connection) = self.connect() else {
            return;
        };
        let request = PlannedRequest {
            route,
            kind: RouteKind::Idempotent,
            key: None,
            object: self.random.below(OBJECTS_PER_ROUTE),
        };
        let ids: Vec<String> = (0..PIPELINED_REQUESTS).map(|_| self.next_id()).collect();
        let text: String = ids
            .iter()
            .map(|id| self.request_text(&request, id, DEADLINE))
            .collect();
        if connection.output.write_all(text.as_bytes()).is_err() {
            return;
        }
        let sent = wall();
        for (at, id) in ids.into_iter().enumerate() {
            let (response, reusable) = self.read(&mut connection, &request, id, sent, at > 0);
            if let Some(response) = response {
                let served = response.status() == 200;
                if response.status() != 404 {
                    let operations = &self.context.observations;
                    operations.add_operation(ClientOperation { sent, served });
                }
            }
            if !reusable {
                return; // Requests pipelined behind this one count as unread.
            }
        }
        self.connection = Some(connection);
    }

    /// Reads a response and records the attempt; also returns true if the
    /// connection can be reused.
    fn read(
        &mut self,
        connection: &mut KeepAliveConnection,
        request: &PlannedRequest,
        id: String,
        sent: f64,
        pipelined_behind: bool,
    ) -> (Option<HttpMessage>, bool) {
        let read = HttpMessage::read(&mut connection.input);
        let timed_out = matches!(&read, Err(error) if is_timeout(error));
        let response = read.ok().flatten();
        let outcome = match &response {
            Some(response) => AttemptOutcome::Response {
                status: response.status(),
                service: response
                    .header("Origin-Signature")
                    .map(|_| service_of(&response.body)),
            },
            None if timed_out => AttemptOutcome::TimedOut,
            None => AttemptOutcome::Ended,
        };
        let reusable = response
            .as_ref()
            .is_some_and(|response| !response.closes_connection());
        self.context.observations.add_attempt(RequestAttempt {
            id,
            machine: connection.machine,
            route: request.route,
            kind: request.kind,
            key: request.key.clone(),
            pipelined_behind,
            sent,
            ended: wall(),
            outcome,
        });
        (response, reusable)
    }

    /// Returns the current connection if its edge has not closed it, otherwise
    /// a new one.
    fn connect(&mut self) -> Option<KeepAliveConnection> {
        let current = self.connection.take();
        if let Some(connection) = current.filter(KeepAliveConnection::is_open) {
            return Some(connection);
        }
        let sticky_machine = self.last_machine.filter(|_| self.is_sticky);
        let opened = sticky_machine.and_then(|machine| self.open(machine));
        let opened = opened.or_else(|| {
            let machine = self.context.balancer.choose(&mut self.random);
            self.open(machine)
        });
        match &opened {
            Some(connection) => self.last_machine = Some(connection.machine),
            None => thread::sleep(CONNECT_RETRY_DELAY),
        }
        opened
    }

    fn open(&self, machine: usize) -> Option<KeepAliveConnection> {
        let output = self.context.machines.connect(machine).ok()?;
        output.set_nodelay(true).ok()?;
        output.set_read_timeout(Some(DEADLINE + READ_MARGIN)).ok()?;
        let input = BufReader::new(output.try_clone().ok()?);
        Some(KeepAliveConnection {
            machine,
            output,
            input,
        })
    }

    fn next_id(&mut self) -> String {
        self.serial += 1;
        format!("{}-{}", self.name, self.serial)
    }

    fn request_text(&self, request: &PlannedRequest, id: &str, deadline: Duration) -> String {
        let method = match request.kind {
            RouteKind::Keyed => "POST",
            RouteKind::Idempotent | RouteKind::Cacheable => "GET",
        };
        let key = request
            .key
            .as_ref()
            .map_or_else(String::new, |key| format!("Operation-Key: {key}\r\n"));
        format!(
            "{method} /{}/object-{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{key}Content-Length: 0\r\n\r\n",
            route_name(request.route),
            request.object,
            deadline.as_millis(),
        )
    }
}

impl KeepAliveConnection {
    /// Returns true if the edge has neither closed the connection nor sent
    /// anything.
    fn is_open(&self) -> bool {
        if self.output.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.output.peek(&mut [0]);
        let is_idle = matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock);
        is_idle && self.output.set_nonblocking(false).is_ok()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Returns the service that is named in the first line of a response's body.
fn service_of(body: &[u8]) -> String {
    let line = body.split(|byte| *byte == b'\n').next();
    String::from_utf8_lossy(line.unwrap_or_default()).into_owned()
}
