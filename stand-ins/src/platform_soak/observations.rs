//! What the clients, origins, operators and the platform of one run observed.
use crate::prelude::*;

/// Collects observations from all threads of a run. All times are seconds, as
/// `wall` tells them.
#[derive(Default)]
pub struct Observations {
    tries: Mutex<Vec<RequestTry>>,
    arrivals: Mutex<Vec<Arrival>>,
    orders: Mutex<Vec<Order>>,
    departures: Mutex<Vec<OriginDeparture>>,
    process_events: Mutex<Vec<ProcessEvent>>,
    list_troubles: Mutex<Vec<Interval>>,
    operations: Mutex<Vec<ClientOperation>>,
}

/// What a client wanted, with all its tries.
#[derive(Debug, Clone, Copy)]
pub struct ClientOperation {
    /// When its first try was sent.
    pub sent: f64,
    /// Whether a try was answered with success before the deadline.
    pub served: bool,
}

/// A span of time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interval {
    /// Its start.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl Interval {
    /// Whether both have a moment in common.
    pub fn overlaps(&self, other: Interval) -> bool {
        self.from <= other.to && other.from <= self.to
    }
}

/// What a route promises of its requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once for each key.
    Keyed,
    /// May be answered from a copy.
    Cacheable,
}

/// How one try of a request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum TryOutcome {
    /// A complete response.
    Response {
        /// Its status.
        status: u16,
        /// The service of the origin that ran it, if one did.
        service: Option<String>,
    },
    /// The connection ended before a complete response.
    Ended,
    /// The client gave up at its deadline.
    TimedOut,
}

/// One try of a client's request that was written whole.
#[derive(Debug, Clone)]
pub struct RequestTry {
    /// Unique among all tries.
    pub id: String,
    /// The machine of the edge.
    pub machine: usize,
    /// The index of the route.
    pub route: usize,
    /// What the client took the route for.
    pub kind: RouteKind,
    /// The operation key of a keyed one.
    pub key: Option<String>,
    /// Whether it was sent behind another one without a response yet.
    pub pipelined_behind: bool,
    /// When its last byte was written.
    pub sent: f64,
    /// When its response was complete, or the connection ended.
    pub ended: f64,
    /// How it ended.
    pub outcome: TryOutcome,
}

/// A request that reached an origin which did not turn it away.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id of the try.
    pub request_id: String,
    /// The operation key, if it has one.
    pub key: Option<String>,
    /// The instance.
    pub origin: String,
    /// When its last byte was read.
    pub at: f64,
    /// When the origin had written its response.
    pub finished: f64,
}

/// What an operator ordered.
#[derive(Debug, Clone)]
pub enum OrderContent {
    /// Routes at a revision; no service: the route is dropped.
    Routes(Vec<RouteVersion>),
    /// A change that must be rejected.
    Invalid,
    /// A purge of one path.
    Purge,
}

/// A route as one order sets it.
#[derive(Debug, Clone)]
pub struct RouteVersion {
    /// The index of the route.
    pub route: usize,
    /// Its revision.
    pub revision: u64,
    /// The service it goes to; none: the route is dropped.
    pub service: Option<String>,
}

/// One order of an operator, with all its repeats.
#[derive(Debug, Clone)]
pub struct Order {
    /// What it orders.
    pub content: OrderContent,
    /// When it was first sent.
    pub sent: f64,
    /// When it was first acknowledged.
    pub acknowledged: Option<f64>,
    /// Routes that stood when it was sent.
    pub routes: usize,
    /// Each answer: the control machine and the status; 0: none came.
    pub answers: Vec<(usize, u16)>,
    /// A status in the range of 400 that a proper order got, and when.
    pub refused: Option<u16>,
}

/// An origin that the platform showed as draining.
#[derive(Debug, Clone)]
pub struct OriginDeparture {
    /// The instance.
    pub origin: String,
    /// When the list first showed it.
    pub shown: f64,
}

/// What happened to a process of a machine.
#[derive(Debug, Clone)]
pub struct ProcessEvent {
    /// The machine.
    pub machine: usize,
    /// Whether it is the control process.
    pub control: bool,
    /// When.
    pub at: f64,
    /// What it was.
    pub kind: ProcessEventKind,
}

/// Kinds of process events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessEventKind {
    /// It was started.
    Started,
    /// It got SIGTERM.
    Terminated,
    /// It got SIGHUP.
    SettingsChanged,
    /// It ended by itself after SIGTERM.
    Ended,
    /// It was killed at the end of its grace period.
    KilledAfterGrace,
    /// It was killed without a warning.
    Killed,
    /// It was suspended, or goes on after that.
    Suspended,
    /// It ended without having been told to.
    Crashed,
}

macro_rules! recorded {
    ($($(#[$doc:meta])* $add:ident, $all:ident: $field:ident of $kind:ty;)*) => {
        impl Observations {
            $(
                $(#[$doc])*
                pub fn $add(&self, one: $kind) {
                    self.$field.lock().expect("no holder panics").push(one);
                }

                /// All of them so far.
                pub fn $all(&self) -> Vec<$kind> {
                    self.$field.lock().expect("no holder panics").clone()
                }
            )*
        }
    };
}

recorded! {
    /// A try has ended.
    add_try, tries: tries of RequestTry;
    /// A request reached an origin.
    add_arrival, arrivals: arrivals of Arrival;
    /// An order has its outcome.
    add_order, orders: orders of Order;
    /// The list shows an origin as draining.
    add_departure, departures: departures of OriginDeparture;
    /// Something happened to a process.
    add_process_event, process_events: process_events of ProcessEvent;
    /// A client has what it wanted, or gives up.
    add_operation, operations: operations of ClientOperation;
    /// The platform's list was slow or failing.
    add_list_trouble, list_troubles: list_troubles of Interval;
}
