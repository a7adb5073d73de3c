//! The simulated fleet: events in virtual time, links, nodes and the record of what happened.
use crate::prelude::*;

/// What shall be simulated.
#[derive(Debug, Clone)]
pub struct WorldPlan {
    pub deployment: Deployment,
    pub seed: u64,
    pub span: Duration,
    pub faults: Vec<(Duration, Fault)>,
    /// Messages of this name are all lost: what would be without them?
    pub mute: &'static str,
    /// Clocks run too fast or too slow by up to so many millionths.
    pub drift: u64,
    /// Control nodes that hold a slot.
    pub control: usize,
    /// The seeds are three of them; the table is founded and asked for.
    pub gather: bool,
    /// The last of them starts late, when the table is fixed: it grows.
    pub late: bool,
    /// How the first seed ends as it fixes the table; it is back a second later.
    pub founder: FounderEnd,
    /// What operators order by items.
    pub orders: Vec<ItemOrder>,
    /// Empty control nodes at addresses of their own, not started by themselves.
    pub spares: usize,
    /// Some callers leave before their answer.
    pub clients_disconnect: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FounderEnd {
    Incarnations,
    /// Before the table is on its disk.
    Unwritten,
    /// When it is, and nobody was told.
    Untold,
    /// When all were told.
    Told,
}

impl WorldPlan {
    /// Clocks off by up to a thousandth, a hundred times what is common.
    pub fn new(
        deployment: Deployment,
        seed: u64,
        span: Duration,
        faults: Vec<(Duration, Fault)>,
    ) -> WorldPlan {
        WorldPlan {
            deployment,
            seed,
            span,
            faults,
            mute: "",
            drift: 1000,
            control: 3,
            gather: false,
            late: false,
            founder: FounderEnd::Incarnations,
            orders: Vec::new(),
            spares: 1,
            clients_disconnect: false,
        }
    }
}

impl WorldPlan {
    /// So many control nodes. Other than three are founded by a table that is
    /// gathered, by some seeds with one that comes late or with a first seed
    /// that ends right then.
    pub fn of(self, control: usize) -> WorldPlan {
        if control == 3 {
            return self;
        }
        let late = self.seed.is_multiple_of(3);
        let founder = [
            FounderEnd::Incarnations,
            FounderEnd::Unwritten,
            FounderEnd::Untold,
            FounderEnd::Told,
        ][(self.seed % 7 % 4) as usize];
        WorldPlan {
            control,
            gather: true,
            late,
            founder,
            ..self
        }
    }
}

/// What came of it.
pub struct Report {
    pub checker: Checker,
    pub steps: u64,
    pub notes: BTreeMap<Event, usize>,
    pub log_bytes: usize,
    /// When which control node told of a change of its membership or disk.
    pub membership: Vec<(Duration, NodeId, Event)>,
    /// Copies handed out, by edge.
    pub copies: Vec<u64>,
    pub orders: Vec<OrderRecord>,
}

/// The fleet, its network, its origins, callers and operators, in virtual
/// time. Everything hangs on the plan and its seed.
pub struct World {
    pub(crate) plan: WorldPlan,
    pub(crate) now: Duration,
    pub(crate) serial: u64,
    pub(crate) queue: BTreeMap<(Duration, u64), SimEvent>,
    pub(crate) random: SeededRandom,
    pub(crate) nodes: Vec<SimNode>,
    pub(crate) by_address: HashMap<SocketAddr, usize>,
    pub(crate) origins: Vec<SimOrigin>,
    /// From whom nothing gets to whom, and until when.
    pub(crate) cuts: BTreeMap<(usize, usize), Duration>,
    /// Until then answers to operators are lost.
    pub(crate) operator_responses_lost_until: Duration,
    /// Revision of the item that operators set.
    pub(crate) item_revision: u64,
    /// By how many places the seeds that nodes are told have turned.
    pub(crate) seeds_rotation: usize,
    pub(crate) weather: (u64, u64, u64),
    /// Calls that their edges broke off: by node, run and id.
    pub(crate) cancelled: HashSet<(usize, u64, u64)>,
    /// When the closes of callers that left were read, by their requests.
    pub(crate) departures: HashMap<u64, Duration>,
    pub(crate) version: u64,
    /// In every document from now on; those taken out again are `removed`.
    pub(crate) markers: Vec<u64>,
    pub(crate) removed: Vec<u64>,
    /// Changes that were not answered yet, by marker.
    pub(crate) changing: BTreeSet<u64>,
    /// Entries more than the deployment has.
    pub(crate) grown: usize,
    pub(crate) next_marker: u64,
    pub(crate) acknowledged: Option<(u64, String)>,
    /// The platform puts one list at a time; a change meanwhile waits.
    pub(crate) origins_due: Option<bool>,
    /// The version of the list that the platform knows to stand.
    pub(crate) origins_at: u64,
    pub(crate) armed_loss: Option<(Trigger, Loss)>,
    /// The first seed's end at the founding came.
    pub(crate) founder_ended: bool,
    /// Connections that stand: node, run, origin.
    pub(crate) watches: BTreeSet<(usize, u64, usize)>,
    /// Operators' calls under way.
    pub(crate) operator_calls: BTreeMap<u64, Question>,
    pub(crate) requests: BTreeMap<u64, PendingOperatorCall>,
    pub(crate) callers: Vec<CallerRecord>,
    pub(crate) calls: Vec<OriginRecord>,
    pub(crate) fleet: Vec<FleetRecord>,
    pub(crate) operators: Vec<OperatorRecord>,
    pub(crate) steps: u64,
    pub(crate) copies: Vec<u64>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) notes: BTreeMap<Event, usize>,
    pub(crate) membership: Vec<(Duration, NodeId, Event)>,
    pub trace: bool,
    /// Messages between control nodes are printed, too.
    pub trace_messages: bool,
}

pub(crate) enum SimEvent {
    Tick {
        node: usize,
        run: u64,
    },
    Deliver {
        to: usize,
        from: Peer,
        message: Message,
    },
    Synced {
        node: usize,
        run: u64,
        serial: u64,
    },
    CallStarts {
        node: usize,
        run: u64,
        id: u64,
        call: Box<Call>,
    },
    CallEnds {
        node: usize,
        run: u64,
        id: u64,
        result: CallOutcome,
    },
    ResponseSent {
        node: usize,
        run: u64,
        id: u64,
        answer: ClientResponse,
    },
    Arrives {
        node: usize,
        run: u64,
        id: u64,
    },
    Watched {
        node: usize,
        run: u64,
        address: SocketAddr,
        open: bool,
    },
    PutOrigins,
    ClientArrives,
    ClientRetry(Task),
    ClientTimesOut {
        id: u64,
    },
    /// The node reads that the caller has closed its connection.
    CloseRead {
        node: usize,
        run: u64,
        id: u64,
    },
    /// The caller closes its connection, though its deadline is not over.
    ClientDisconnects {
        id: u64,
    },
    Fault(Fault),
    /// A fault of this kind still lasts, or ends now.
    FaultGoesOn(String),
    LookAtMarkers,
    /// Who was away at `since` must be ready by now.
    LookReady {
        since: Duration,
    },
    /// A node that ended after a warning is started again.
    Restarted {
        node: usize,
        run: u64,
    },
    Ask {
        node: usize,
        order: Order,
        tries: u32,
    },
    SendOrder {
        order: usize,
    },
    OrderUnanswered {
        id: u64,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) mix: Mix,
    pub(crate) path: String,
    pub(crate) operation: Option<String>,
    pub(crate) zone: Option<String>,
    pub(crate) tries: u32,
    /// When the first try began: repeats end with `CLIENT_RETRY_DELAY`.
    pub(crate) first: Duration,
}

pub(crate) struct PendingOperatorCall {
    pub(crate) node: usize,
    pub(crate) run: u64,
    pub(crate) task: Task,
    pub(crate) record: CallerRecord,
}

/// An order of an operator, who may send it more than once.
#[derive(Debug, Clone)]
pub(crate) struct Order {
    pub(crate) operator_calls: OperatorCall,
    /// Names the order; the same each time it is sent.
    pub(crate) change: Option<u64>,
    /// It was settled, but the answer was lost.
    pub(crate) settled: bool,
    /// When it was first sent.
    pub(crate) start: Option<f64>,
}

impl From<OperatorCall> for Order {
    fn from(operator_calls: OperatorCall) -> Order {
        Order {
            operator_calls,
            change: None,
            settled: false,
            start: None,
        }
    }
}

/// An operator's call under way.
pub(crate) struct Question {
    /// The node that was asked.
    pub(crate) node: usize,
    pub(crate) order: Order,
    /// When.
    pub(crate) start: f64,
}

/// What an operator waits for.
#[derive(Debug, Clone)]
pub(crate) enum OperatorCall {
    Configure {
        marker: u64,
        text: String,
        expect: Option<u64>,
        race: bool,
        without: Vec<u64>,
    },
    Purge {
        prefix: String,
        version: u64,
    },
    Origins {
        list: Vec<Origin>,
        at: f64,
    },
    ReadBack {
        expect: (u64, String),
    },
    PutItem {
        item: Item,
    },
    /// The generation is asked for first.
    OpenLedger {
        generation: Option<u64>,
    },
    /// The place of the order among those of the plan.
    Order {
        order: usize,
    },
}

/// Events that are kept with their time.
const MEMBERSHIP_EVENTS: [Event; 4] = [
    Event::DiskBlank,
    Event::DiskRecovered,
    Event::MemberReplaced,
    Event::MemberRemoved,
];

pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

impl World {
    pub fn new(plan: WorldPlan) -> World {
        let mut world = World {
            now: Duration::ZERO,
            serial: 0,
            queue: BTreeMap::new(),
            random: SeededRandom::new(plan.seed),
            nodes: Vec::new(),
            by_address: HashMap::new(),
            origins: Vec::new(),
            cuts: BTreeMap::new(),
            operator_responses_lost_until: Duration::ZERO,
            item_revision: 0,
            seeds_rotation: 0,
            weather: (0, 0, 0),
            cancelled: HashSet::new(),
            departures: HashMap::new(),
            version: 1,
            markers: Vec::new(),
            removed: Vec::new(),
            changing: BTreeSet::new(),
            grown: 0,
            next_marker: 0,
            acknowledged: None,
            origins_due: None,
            origins_at: 0,
            armed_loss: None,
            founder_ended: false,
            watches: BTreeSet::new(),
            operator_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            callers: Vec::new(),
            calls: Vec::new(),
            fleet: Vec::new(),
            operators: Vec::new(),
            steps: 0,
            copies: vec![0; plan.deployment.edges],
            orders: Vec::new(),
            notes: BTreeMap::new(),
            membership: Vec::new(),
            trace: false,
            trace_messages: false,
            plan,
        };
        world.lay_out();
        world
    }

    pub(crate) fn lay_out(&mut self) {
        let address = |kind: u8, at: usize| SocketAddr::from(([10, kind, 0, 1], 1000 + at as u16));
        let deployment = self.plan.deployment.clone();
        let zone = |at: usize| deployment.zones[at % deployment.zones.len()];
        for slot in 0..self.plan.control {
            self.nodes.push(SimNode::new(
                NodeId::Control(slot),
                address(1, slot),
                zone(slot),
            ));
        }
        for at in 0..deployment.edges {
            self.nodes
                .push(SimNode::new(NodeId::Edge(at), address(2, at), zone(at)));
        }
        for spare in self.plan.control..self.plan.control + self.plan.spares {
            self.nodes.push(SimNode::new(
                NodeId::Control(spare),
                address(1, spare),
                zone(spare),
            ));
        }
        self.by_address = self
            .nodes
            .iter()
            .enumerate()
            .map(|(at, node)| (node.peer.address, at))
            .collect();
        for service in &deployment.services {
            for at in 0..service.origins {
                let (name, instance) = (service.name.to_string(), format!("{}-{at}", service.name));
                let origin = Origin {
                    address: address(3, self.origins.len()),
                    service: name.clone(),
                    instance: instance.clone(),
                    draining: false,
                    zone: String::new(),
                    region: String::new(),
                    capacity: 0,
                    cold_ms: 0,
                };
                self.origins.push(SimOrigin {
                    origin,
                    service: name,
                    instance,
                    behavior: OriginBehavior::Good,
                });
            }
        }
        for node in 0..self.nodes.len() {
            let drift = self.plan.drift;
            self.nodes[node].drift = self.random.below(2 * drift + 1) as i64 - drift as i64;
        }
        for node in 0..self.first_spare() {
            self.nodes[node].founding = Founding::FirstStart;
            if self.plan.late && node + 1 == self.plan.control {
                self.push(
                    Duration::from_millis(4_500),
                    SimEvent::Fault(Fault::Start(self.nodes[node].place)),
                );
            } else {
                self.start(node);
            }
        }
        let at = Duration::from_millis;
        self.push(at(1500), SimEvent::PutOrigins);
        self.push(at(1600), SimEvent::Fault(Fault::Configure));
        self.push(
            at(1700),
            SimEvent::Ask {
                node: 0,
                order: OperatorCall::OpenLedger { generation: None }.into(),
                tries: 0,
            },
        );
        self.schedule_orders();
        for (when, fault) in self.plan.faults.clone() {
            self.push(when, SimEvent::Fault(fault));
        }
        // A founding takes a moment more where the table is gathered.
        let begin = if self.plan.gather { 6000 } else { 4000 };
        self.push(at(begin), SimEvent::ClientArrives);
        self.push(at(begin), SimEvent::LookAtMarkers);
    }

    pub(crate) fn push(&mut self, at: Duration, what: SimEvent) {
        self.serial += 1;
        self.queue.insert((at.max(self.now), self.serial), what);
    }

    pub(crate) fn after(&mut self, span: Duration, what: SimEvent) {
        self.push(self.now + span, what);
    }

    pub(crate) fn micros(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_micros(low + self.random.below(high - low))
    }

    /// The first of the nodes that are not started by themselves.
    pub(crate) fn first_spare(&self) -> usize {
        self.nodes.len() - self.plan.spares
    }

    pub(crate) fn edges(&self) -> std::ops::Range<usize> {
        self.plan.control..self.plan.control + self.plan.deployment.edges
    }

    pub(crate) fn seconds(&self) -> f64 {
        self.now.as_secs_f64()
    }

    pub(crate) fn record(&mut self, what: &str, subject: &str, number: u64, good: bool) {
        if self.trace {
            println!("{:9.4} {what} {subject} {number} {good}", self.seconds());
        }
        self.fleet.push(FleetRecord {
            at: self.seconds(),
            what: what.into(),
            subject: subject.into(),
            number,
            good,
        });
    }

    /// Runs the plan to its end.
    pub fn run(mut self) -> Report {
        let end = self.plan.span;
        while let Some(((at, serial), what)) = self.queue.pop_first() {
            if at > end + Duration::from_secs(1) {
                break;
            }
            self.now = at;
            self.handle_event(serial, what);
        }
        for question in std::mem::take(&mut self.operator_calls).into_values() {
            self.record_operator(&question, &ChangeOutcome::Unknown);
        }
        let (rates, keeps) = (self.plan.deployment.rates(), self.plan.deployment.keeps());
        let log_bytes = self
            .nodes
            .iter()
            .map(|node| node.disk.bytes())
            .max()
            .unwrap_or(0);
        let checker = Checker {
            callers: self.callers,
            origins: self.calls,
            fleet: self.fleet,
            operators: self.operators,
            items: self.orders.iter().map(OrderRecord::history).collect(),
            rates,
            keeps,
        };
        Report {
            checker,
            steps: self.steps,
            notes: self.notes,
            log_bytes,
            membership: self.membership,
            copies: self.copies,
            orders: self.orders,
        }
    }

    /// The node and run an event is for; none if that run is over.
    pub(crate) fn owner(&self, what: &SimEvent) -> Option<usize> {
        match what {
            SimEvent::Tick { node, run }
            | SimEvent::Synced { node, run, .. }
            | SimEvent::CallStarts { node, run, .. }
            | SimEvent::CallEnds { node, run, .. }
            | SimEvent::ResponseSent { node, run, .. }
            | SimEvent::Arrives { node, run, .. }
            | SimEvent::CloseRead { node, run, .. }
            | SimEvent::Watched { node, run, .. } => {
                (self.nodes[*node].run == *run).then_some(*node)
            }
            SimEvent::Deliver { to, .. } => Some(*to),
            _ => None,
        }
    }

    pub(crate) fn handle_event(&mut self, serial: u64, what: SimEvent) {
        if let Some(node) = self.owner(&what) {
            let held = self.held_until(node, &what);
            if self.now < held {
                // It will see this when it goes on, in the old order.
                self.queue.insert((held, serial), what);
                return;
            }
        }
        let alive = self
            .owner(&what)
            .is_some_and(|node| self.nodes[node].part.is_some());
        match what {
            SimEvent::Tick { node, run } if alive => {
                let every = if matches!(self.nodes[node].place, NodeId::Control(_)) {
                    lease::CONTROL_TICK
                } else {
                    Duration::from_millis(50)
                };
                self.after(every, SimEvent::Tick { node, run });
                self.step(node, Input::Tick);
            }
            SimEvent::Deliver { to, from, message } if alive => {
                self.trace_message(to, from, &message);
                self.step(to, Input::MessageReceived { from, message })
            }
            SimEvent::Synced { node, serial, .. } if alive => {
                self.nodes[node].disk.sync(serial);
                if self.founder_ends(node, FounderEnd::Untold) {
                    return self.kill(node);
                }
                self.step(node, Input::Stored { serial });
                if self.founder_ends(node, FounderEnd::Told) {
                    self.kill(node);
                }
            }
            SimEvent::CallStarts {
                node,
                run,
                id,
                call,
            } if alive && !self.cancelled.contains(&(node, run, id)) => {
                self.call(node, run, id, &call)
            }
            SimEvent::CallEnds {
                node,
                run,
                id,
                result,
            } if alive && !self.cancelled.remove(&(node, run, id)) => {
                self.step(node, Input::CallCompleted { id, result })
            }
            SimEvent::ResponseSent {
                node, id, answer, ..
            } if alive => self.response_sent(node, id, answer),
            SimEvent::Arrives { node, id, .. } if alive => self.arrives(node, id),
            SimEvent::CloseRead { node, id, .. } if alive => {
                self.departures.insert(id, self.now);
                self.step(node, Input::ClientDisconnected { id })
            }
            SimEvent::Watched {
                node,
                address,
                open,
                ..
            } if alive => self.step(node, Input::ConnectionChanged { address, open }),
            SimEvent::PutOrigins => self.put_origins(),
            SimEvent::ClientArrives => self.caller_comes(),
            SimEvent::ClientRetry(task) => self.caller_calls(task),
            SimEvent::ClientTimesOut { id } => self.client_finished(id, None),
            SimEvent::ClientDisconnects { id } => self.caller_leaves(id),
            SimEvent::Fault(fault) => self.fault(fault),
            SimEvent::FaultGoesOn(kind) => self.record("fault", &kind, 0, false),
            SimEvent::LookAtMarkers => self.look_at_markers(),
            SimEvent::LookReady { since } => self.look_ready(since),
            SimEvent::Restarted { node, run } => self.restarted(node, run),
            SimEvent::Ask { node, order, tries } => self.ask(node, order, tries),
            SimEvent::SendOrder { order } => self.send_order(order),
            SimEvent::OrderUnanswered { id } => self.order_unanswered(id),
            _ => {}
        }
    }

    fn trace_message(&self, to: usize, from: Peer, message: &Message) {
        let to = self.nodes[to].place;
        let sender = self.by_address.get(&from.address);
        let from = sender.map(|node| self.nodes[*node].place);
        if self.trace_messages
            && let (NodeId::Control(_), Some(NodeId::Control(_))) = (to, from)
        {
            println!("{:9.4} {from:?} to {to:?}: {message:?}", self.seconds());
        }
    }

    pub(crate) fn step(&mut self, node: usize, input: Input) {
        self.steps += 1;
        self.take_time(node);
        let clock = self.nodes[node].clock(self.now);
        let Some(part) = self.nodes[node].part.as_mut() else {
            return;
        };
        let outputs = part.handle(clock, input);
        for output in outputs {
            self.output(node, output);
        }
        self.see_in_force(node);
    }

    /// A table is in force at an edge once the edge is live with it.
    fn see_in_force(&mut self, node: usize) {
        let version = self.nodes[node]
            .image
            .as_ref()
            .map_or(0, |image| image.version);
        if version != self.nodes[node].in_force && self.nodes[node].live(self.now) {
            self.nodes[node].in_force = version;
            let subject = self.nodes[node].peer.address.to_string();
            self.record("in-force", &subject, version, true);
        }
    }

    pub(crate) fn output(&mut self, node: usize, output: Output) {
        let run = self.nodes[node].run;
        match output {
            Output::Send { to, message } => self.send(node, to, message),
            Output::Store { serial, record } => self.store(node, serial, false, record),
            Output::StoreSnapshot { serial, record } => self.store(node, serial, true, record),
            Output::ClientResponse {
                id,
                response: answer,
            } => {
                let span = self.micros(50, 500);
                self.after(
                    span,
                    SimEvent::ResponseSent {
                        node,
                        run,
                        id,
                        answer,
                    },
                );
            }
            Output::Call { id, call } => {
                let span = self.micros(50, 1000);
                self.after(
                    span,
                    SimEvent::CallStarts {
                        node,
                        run,
                        id,
                        call: Box::new(call),
                    },
                );
            }
            Output::OperatorResponse {
                id,
                response: answer,
            } => self.on_operator_response(id, answer),
            Output::WatchConnection { address } => {
                let at = self.origins.iter().position(|origin| {
                    origin.origin.address == address && origin.behavior != OriginBehavior::Down
                });
                self.watches.extend(at.map(|at| (node, run, at)));
                self.after(
                    Duration::from_millis(1),
                    SimEvent::Watched {
                        node,
                        run,
                        address,
                        open: at.is_some(),
                    },
                );
            }
            Output::Log { event, text } => {
                if event == Event::AbandonedWork {
                    self.record("abandoned-work", &text, 0, false);
                }
                if self.trace {
                    println!(
                        "{:9.4} {:?} E{:03} {event:?} {text}",
                        self.seconds(),
                        self.nodes[node].place,
                        event as u32
                    );
                }
                *self.notes.entry(event).or_default() += 1;
                if MEMBERSHIP_EVENTS.contains(&event) {
                    self.membership
                        .push((self.now, self.nodes[node].place, event));
                }
            }
            Output::Publish(PublishedState::Fence { until, ready }) => {
                (self.nodes[node].fence, self.nodes[node].ready) = (until, ready)
            }
            Output::Publish(
                PublishedState::CommittedConfiguration { .. } | PublishedState::LinkDelay(_),
            )
            | Output::ExtendCall { .. } => {}
            Output::CancelCall { id } => {
                self.cancelled.insert((node, run, id));
            }
            Output::Publish(PublishedState::Assignments(list)) => {
                self.assignments_shown(node, list)
            }
            Output::Publish(PublishedState::Configuration(table)) => {
                self.nodes[node].image = Some(table)
            }
            Output::ShutdownComplete => {
                if self.nodes[node].retiring {
                    return self.kill(node);
                }
                if !std::mem::replace(&mut self.nodes[node].ending, true) {
                    // Calls already read are answered; then the platform
                    // starts it again.
                    self.after(
                        Duration::from_millis(300),
                        SimEvent::Restarted { node, run },
                    );
                }
            }
        }
    }

    /// No assignment is ever held by two live nodes.
    pub(crate) fn assignments_shown(&mut self, node: usize, list: Vec<String>) {
        let others = |assignment: &String| {
            self.edges().find(|other| {
                *other != node
                    && self.nodes[*other].live(self.now)
                    && self.nodes[*other].assignments.contains(assignment)
            })
        };
        if self.nodes[node].live(self.now)
            && let Some((assignment, other)) = list
                .iter()
                .find_map(|assignment| Some((assignment.clone(), others(assignment)?)))
        {
            self.record(
                "duty-held-twice",
                &format!(
                    "{assignment} by {:?} and {:?}",
                    self.nodes[node].place, self.nodes[other].place
                ),
                0,
                false,
            );
        }
        self.nodes[node].assignments = list;
    }

    pub(crate) fn spring(&mut self, trigger: Trigger) {
        let Some((_, loss)) = self.armed_loss.take_if(|(known, _)| *known == trigger) else {
            return;
        };
        match loss {
            Loss::Power => {
                for node in 0..self.first_spare() {
                    self.kill(node);
                    self.after(
                        Duration::from_secs(3),
                        SimEvent::Fault(Fault::Start(self.nodes[node].place)),
                    );
                }
                self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Returned));
            }
            Loss::Disk(slot) => {
                self.fault(Fault::Wipe(NodeId::Control(slot)));
                self.after(
                    Duration::from_secs(3),
                    SimEvent::Fault(Fault::Start(NodeId::Control(slot))),
                );
            }
            Loss::Disks(slot, count) => {
                for node in 0..self.nodes.len() {
                    let wiped = (0..count).any(|more| node == (slot + more) % self.plan.control);
                    let (place, ran) = (self.nodes[node].place, self.nodes[node].part.is_some());
                    if wiped {
                        self.fault(Fault::Wipe(place));
                    } else {
                        self.kill(node);
                    }
                    if wiped || ran || node < self.first_spare() {
                        self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Start(place)));
                    }
                }
                self.after(Duration::from_secs(3), SimEvent::Fault(Fault::Returned));
            }
            Loss::DiskSpace(slot) => self.fault(Fault::DiskFull(NodeId::Control(slot))),
        }
    }

    pub(crate) fn send(&mut self, node: usize, to: SocketAddr, message: Message) {
        let from = self.nodes[node].peer;
        if let (NodeId::Edge(at), Message::CacheCopy(_)) = (self.nodes[node].place, &message) {
            self.copies[at] += 1;
        }
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        if to == node {
            return self.after(Duration::ZERO, SimEvent::Deliver { to, from, message });
        }
        let (lost, doubled, late) = self.weather;
        if message.name() == self.plan.mute || self.is_cut(node, to) || self.random.chance(lost) {
            return;
        }
        let copies = if self.random.chance(doubled) { 2 } else { 1 };
        for _ in 0..copies {
            let span = if self.random.chance(late) {
                self.micros(5_000, 400_000)
            } else {
                self.micros(200, 3_000)
            };
            self.after(
                span,
                SimEvent::Deliver {
                    to,
                    from,
                    message: message.clone(),
                },
            );
        }
    }

    pub(crate) fn store(&mut self, node: usize, serial: u64, image: bool, record: Vec<u8>) {
        let run = self.nodes[node].run;
        if self.nodes[node].disk.full {
            return self.step(node, Input::StoreFailed);
        }
        let took = self.sync_takes(node);
        let disk = &mut self.nodes[node].disk;
        disk.pending.push_back((serial, image, record));
        let unwritten = self.plan.founder == FounderEnd::Unwritten
            && self.founder_ends(node, FounderEnd::Unwritten);
        let disk = &mut self.nodes[node].disk;
        // One sync serves all that came while the one before was running.
        let done = (disk.busy_until.max(self.now) + took).max(disk.stalled_until);
        disk.busy_until = self.now + took;
        self.push(done, SimEvent::Synced { node, run, serial });
        if unwritten {
            self.after(
                Duration::ZERO,
                SimEvent::Fault(Fault::Kill(NodeId::Control(0))),
            );
        }
    }

    /// Whether the first seed ends now, having just written the table.
    fn founder_ends(&mut self, node: usize, end: FounderEnd) -> bool {
        if node != 0 || self.plan.founder != end || self.founder_ended {
            return false;
        }
        let disk = &self.nodes[0].disk;
        let record = if end == FounderEnd::Unwritten {
            disk.pending.back().map(|(_, _, record)| record)
        } else {
            disk.synced.last()
        };
        let table = record.is_some_and(|record| {
            matches!(bincode::deserialize(record), Ok(Record::Founding { .. }))
        });
        if table {
            self.founder_ended = true;
            self.after(
                Duration::from_secs(1),
                SimEvent::Fault(Fault::Start(NodeId::Control(0))),
            );
        }
        table
    }

    pub(crate) fn call(&mut self, node: usize, run: u64, id: u64, call: &Call) {
        self.see_departed(call);
        let (span, result) = if !self.nodes[node].live(self.now) {
            (Duration::ZERO, CallOutcome::NotSent)
        } else {
            let at = self.seconds();
            let origin = self
                .origins
                .iter()
                .find(|origin| origin.origin.address == call.origin.address)
                .cloned();
            match origin {
                None => (Duration::from_millis(1), CallOutcome::Unreachable),
                Some(origin) => {
                    let (span, result, record) =
                        origin.take(call, at, self.version, &mut self.random);
                    self.calls.extend(record);
                    (span, result)
                }
            }
        };
        self.after(
            span,
            SimEvent::CallEnds {
                node,
                run,
                id,
                result,
            },
        );
    }
}
