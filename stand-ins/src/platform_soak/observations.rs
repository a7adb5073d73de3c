//! Observations of the clients, origins, operators and the platform in a run.
use crate::prelude::*;

/// Collects observations from all threads of a run. All times are in seconds,
/// as returned by `wall`.
#[derive(Default)]
pub struct Observations {
    attempts: Mutex<Vec<RequestAttempt>>,
    arrivals: Mutex<Vec<Arrival>>,
    orders: Mutex<Vec<Order>>,
    departures: Mutex<Vec<OriginDeparture>>,
    process_events: Mutex<Vec<ProcessEvent>>,
    list_faults: Mutex<Vec<Interval>>,
    operations: Mutex<Vec<ClientOperation>>,
}

/// Operation of a client, with all its attempts.
#[derive(Debug, Clone, Copy)]
pub struct ClientOperation {
    /// Time at which the first attempt was sent.
    pub sent: f64,
    /// True if an attempt succeeded before the deadline.
    pub served: bool,
}

/// Time interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// Start of the interval.
    pub from: f64,
    /// End of the interval.
    pub to: f64,
}

impl Interval {
    /// Returns true if the intervals overlap.
    pub fn overlaps(&self, other: Interval) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// Execution guarantee of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed once for each key.
    Keyed,
    /// May be answered from a cache.
    Cacheable,
}

/// Outcome of a request attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// Complete response.
    Response {
        /// Status of the response.
        status: u16,
        /// Service of the origin that executed the request, if one did.
        service: Option<String>,
    },
    /// End of the connection before a complete response.
    Ended,
    /// Timeout of the client at its deadline.
    TimedOut,
}

/// Attempt of a client's request that was written completely.
#[derive(Debug, Clone)]
pub struct RequestAttempt {
    /// Id, unique among all attempts.
    pub id: String,
    /// Machine of the edge.
    pub machine: usize,
    /// Index of the route.
    pub route: usize,
    /// Kind of the route, as known to the client.
    pub kind: RouteKind,
    /// Operation key of a keyed request.
    pub key: Option<String>,
    /// True if the request was pipelined behind another one without a response.
    pub pipelined_behind: bool,
    /// Time at which the last byte was written.
    pub sent: f64,
    /// Time at which the response was complete or the connection ended.
    pub ended: f64,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Request that an origin executed.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Id of the attempt.
    pub request_id: String,
    /// Operation key, if the request has one.
    pub key: Option<String>,
    /// Id of the instance.
    pub origin: String,
    /// Time at which the last byte was read.
    pub at: f64,
    /// Time at which processing finished.
    pub finished: f64,
}

/// Content of an operator's order.
#[derive(Debug, Clone)]
pub enum OrderContent {
    /// Routes at a revision; a version without a service removes the route.
    Routes(Vec<RouteVersion>),
    /// Invalid change, which must be rejected.
    Invalid,
    /// Purge of one path.
    Purge,
}

/// Version of a route in an order.
#[derive(Debug, Clone)]
pub struct RouteVersion {
    /// Index of the route.
    pub route: usize,
    /// Revision of the route.
    pub revision: u64,
    /// Service of the route; none if the order removes the route.
    pub service: Option<String>,
}

/// Order of an operator, with all its attempts.
#[derive(Debug, Clone)]
pub struct Order {
    /// Content of the order.
    pub content: OrderContent,
    /// Time of the first attempt.
    pub sent: f64,
    /// Time of the first acknowledgement.
    pub acknowledged: Option<f64>,
    /// Number of routes at the time of the first attempt.
    pub routes: usize,
    /// Control machine and status of each response; status 0 if no response
    /// arrived.
    pub responses: Vec<(usize, u16)>,
    /// Status with which the order was rejected.
    pub refused: Option<u16>,
}

/// Origin that the platform listed as draining.
#[derive(Debug, Clone)]
pub struct OriginDeparture {
    /// Id of the instance.
    pub origin: String,
    /// Time at which the list first showed it as draining.
    pub shown: f64,
}

/// Event of a process of a machine.
#[derive(Debug, Clone)]
pub struct ProcessEvent {
    /// Machine of the process.
    pub machine: usize,
    /// True for the control process.
    pub control: bool,
    /// Time of the event.
    pub at: f64,
    /// Kind of the event.
    pub kind: ProcessEventKind,
}

/// Kinds of process events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// The process was started.
    Started,
    /// The process received SIGTERM.
    Terminated,
    /// The process received SIGHUP.
    SettingsChanged,
    /// The process exited after SIGTERM.
    Ended,
    /// The process was killed at the end of its grace period.
    KilledAfterGrace,
    /// The process was killed without SIGTERM.
    Killed,
    /// The process was suspended.
    Suspended,
    /// The process was resumed after a suspension.
    Resumed,
    /// The process exited without a signal from the test.
    Crashed,
}

macro_rules! recorded {
    ($($(#[$doc:meta])* $add:ident, $all:ident: $field:ident of $kind:ty;)*) => {
        impl Observations {
            $(
                $(#[$doc])*
                pub fn $add(&self, observation: $kind) {
                    self.$field.lock().expect("no holder panics").push(observation);
                }

                /// Returns all observations of this kind so far.
                pub fn $all(&self) -> Vec<$kind> {
                    self.$field.lock().expect("no holder panics").clone()
                }
            )*
        }
    };
}

recorded! {
    /// Records an attempt that has ended.
    add_attempt, attempts: attempts of RequestAttempt;
    /// Records a request that an origin executed.
    add_arrival, arrivals: arrivals of Arrival;
    /// Records an order with its outcome.
    add_order, orders: orders of Order;
    /// Records an origin that is listed as draining.
    add_departure, departures: departures of OriginDeparture;
    /// Records an event of a process.
    add_process_event, process_events: process_events of ProcessEvent;
    /// Records an operation that has ended.
    add_operation, operations: operations of ClientOperation;
    /// Records an interval in which the platform's list was slow or failing.
    add_list_fault, list_faults: list_faults of Interval;
}
