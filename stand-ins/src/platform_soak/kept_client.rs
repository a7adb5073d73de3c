//! Clients that keep their connections and use them until the process is gone.
use super::balancer::Balancer;
use super::http_message::HttpMessage;
use super::machines::Machines;
use super::observations::{ClientOperation, Observations, RequestTry, RouteKind, TryOutcome};
use super::routes::{DEADLINE_MS, HOST, RouteBook, name_of};
use crate::prelude::*;
use std::io::{BufReader, ErrorKind};

const DEADLINE: Duration = Duration::from_millis(DEADLINE_MS);
/// Beyond the deadline, for the answer's way.
const READ_MARGIN: Duration = Duration::from_millis(500);
const CONNECT: Duration = Duration::from_secs(1);
/// Clients follow `Retry-After` up to a third of their time.
const MAX_RETRY_WAIT: Duration = Duration::from_millis(DEADLINE_MS / 3);
/// Further tries of one operation.
const RETRIES: usize = 1;
const PIPELINED: usize = 3;
/// Of a hundred requests on idempotent routes, so many are sent behind others.
const PIPELINE_PERCENT: u64 = 20;
/// Of a hundred keyed operations, so many are sent again over another edge.
const REPEAT_PERCENT: u64 = 5;
/// Of a hundred clients, so many reconnect to their edge as long as it listens.
const LOYAL_PERCENT: u64 = 50;
/// Of a hundred pauses, so many last as long as a connection may rest.
const REST_PERCENT: u64 = 1;
/// Four fifths of the idle timeout of the first order.
const REST: Duration = Duration::from_secs(12);
const OBJECTS: u64 = 20;
/// After a connection was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

/// What all clients of a run share.
pub(super) struct ClientContext {
    /// Where edges are.
    pub(super) machines: Arc<Machines>,
    /// Which of them get new connections.
    pub(super) balancer: Arc<Balancer>,
    /// The routes.
    pub(super) routes: Arc<RouteBook>,
    /// Takes the tries.
    pub(super) observations: Arc<Observations>,
    /// Ends the clients.
    pub(super) stop: Arc<AtomicBool>,
}

/// One client.
pub(super) struct KeptClient {
    context: Arc<ClientContext>,
    random: SeededRandom,
    name: String,
    serial: u64,
    loyal: bool,
    connection: Option<KeptConnection>,
    last_machine: Option<usize>,
}

struct KeptConnection {
    machine: usize,
    output: TcpStream,
    input: BufReader<TcpStream>,
}

/// A request, as it is sent in each of its tries.
#[derive(Clone)]
struct PlannedRequest {
    route: usize,
    kind: RouteKind,
    key: Option<String>,
    object: u64,
}

impl KeptClient {
    /// A client with draws of its own.
    pub(super) fn new(context: Arc<ClientContext>, seed: u64, number: usize) -> KeptClient {
        let mut random = SeededRandom::new(seed ^ ((number as u64 + 1) << 32));
        KeptClient {
            loyal: random.chance(LOYAL_PERCENT),
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
                self.carry_out(route, kind);
            }
            self.pause();
        }
    }

    /// Mostly short, at times as long as a connection may rest.
    fn pause(&mut self) {
        let pause = match self.random.below(100) {
            number if number < REST_PERCENT => REST,
            number if number < 20 => Duration::from_millis(self.random.below(300)),
            _ => Duration::from_millis(5 + self.random.below(60)),
        };
        let until = Instant::now() + pause;
        while Instant::now() < until && !self.context.stop.load(Ordering::Acquire) {
            thread::sleep((until - Instant::now()).min(Duration::from_millis(100)));
        }
    }

    fn carry_out(&mut self, route: usize, kind: RouteKind) {
        self.serial += 1;
        let request = PlannedRequest {
            route,
            kind,
            key: (kind == RouteKind::Keyed).then(|| format!("k-{}-{}", self.name, self.serial)),
            object: self.random.below(OBJECTS),
        };
        let sent = wall();
        let mut served = false;
        for retry in 0..=RETRIES {
            let remaining = DEADLINE.saturating_sub(Duration::from_secs_f64(wall() - sent));
            if remaining.is_zero() {
                break;
            }
            match self.try_once(&request, remaining) {
                Some((200, _)) => served = true,
                Some((404, _)) => return, // A dropped route: nothing is owed.
                Some((_, wait)) => {
                    self.connection = None;
                    thread::sleep(wait.min(MAX_RETRY_WAIT));
                }
                None => {}
            }
            if served || retry == RETRIES {
                break;
            }
        }
        let operations = &self.context.observations;
        operations.add_operation(ClientOperation { sent, served });
        if request.key.is_some() && self.random.chance(REPEAT_PERCENT) {
            self.connection = None;
            self.try_once(&request, DEADLINE);
        }
    }

    /// Sends a request once: the status, and when to come back.
    fn try_once(
        &mut self,
        request: &PlannedRequest,
        deadline: Duration,
    ) -> Option<(u16, Duration)> {
        let mut connection = self.connect()?;
        let id = self.next_id();
        let text = self.text_of(request, &id, deadline);
        connection.output.write_all(text.as_bytes()).ok()?;
        let sent = wall();
        let (response, reusable) = self.read(&mut connection, request, id, sent, false);
        if reusable {
            self.connection = Some(connection);
        }
        let response = response?;
        let wait: f64 = response
            .header("Retry-After")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        Some((response.status(), Duration::from_secs_f64(wait.max(0.0))))
    }

    fn send_pipelined(&mut self, route: usize) {
        let Some(mut connection) = self.connect() else {
            return;
        };
        let request = PlannedRequest {
            route,
            kind: RouteKind::Idempotent,
            key: None,
            object: self.random.below(OBJECTS),
        };
        let ids: Vec<String> = (0..PIPELINED).map(|_| self.next_id()).collect();
        let text: String = ids
            .iter()
            .map(|id| self.text_of(&request, id, DEADLINE))
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
                return; // What was sent behind it counts as not read.
            }
        }
        self.connection = Some(connection);
    }

    /// Reads one response and records the try; whether the connection goes on.
    fn read(
        &mut self,
        connection: &mut KeptConnection,
        request: &PlannedRequest,
        id: String,
        sent: f64,
        pipelined_behind: bool,
    ) -> (Option<HttpMessage>, bool) {
        let read = HttpMessage::read(&mut connection.input);
        let timed_out = matches!(&read, Err(error) if is_timeout(error));
        let response = read.ok().flatten();
        let outcome = match &response {
            Some(response) => TryOutcome::Response {
                status: response.status(),
                service: response
                    .header("Origin-Signature")
                    .map(|_| String::from_utf8_lossy(&response.body).into_owned()),
            },
            None if timed_out => TryOutcome::TimedOut,
            None => TryOutcome::Ended,
        };
        let reusable = response
            .as_ref()
            .is_some_and(|one| !one.closes_connection());
        self.context.observations.add_try(RequestTry {
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

    /// The kept connection if its edge has not closed it, else a new one.
    fn connect(&mut self) -> Option<KeptConnection> {
        let kept = self.connection.take();
        if let Some(connection) = kept.filter(KeptConnection::is_open) {
            return Some(connection);
        }
        let loyal_to = self.last_machine.filter(|_| self.loyal);
        let opened = loyal_to.and_then(|machine| self.open(machine));
        let opened = opened.or_else(|| {
            let machine = self.context.balancer.choose(&mut self.random);
            self.open(machine)
        });
        match &opened {
            Some(connection) => self.last_machine = Some(connection.machine),
            None => thread::sleep(REFUSED_PAUSE),
        }
        opened
    }

    fn open(&self, machine: usize) -> Option<KeptConnection> {
        let address = self.context.machines.frontend(machine);
        let output = TcpStream::connect_timeout(&address, CONNECT).ok()?;
        output.set_nodelay(true).ok()?;
        output.set_read_timeout(Some(DEADLINE + READ_MARGIN)).ok()?;
        let input = BufReader::new(output.try_clone().ok()?);
        Some(KeptConnection {
            machine,
            output,
            input,
        })
    }

    fn next_id(&mut self) -> String {
        self.serial += 1;
        format!("{}-{}", self.name, self.serial)
    }

    fn text_of(&self, request: &PlannedRequest, id: &str, deadline: Duration) -> String {
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
            name_of(request.route),
            request.object,
            deadline.as_millis(),
        )
    }
}

impl KeptConnection {
    /// Whether the edge has neither closed the connection nor sent anything.
    fn is_open(&self) -> bool {
        if self.output.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.output.peek(&mut [0]);
        let waits = matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock);
        waits && self.output.set_nonblocking(false).is_ok()
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}
