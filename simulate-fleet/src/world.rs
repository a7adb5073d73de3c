//! The simulated fleet: events in virtual time, links, nodes and the record of what happened.
use crate::prelude::*;

/// What came of it.
pub struct Report {
    /// Judges what clients, origins and operators saw.
    pub checker: Checker,
    /// Inputs that state machines handled.
    pub steps: u64,
    /// How often each event was logged.
    pub notes: BTreeMap<Event, usize>,
    /// Bytes of the fullest disk at the end.
    pub log_bytes: usize,
    /// When which control node told of a change of its membership or disk.
    pub membership: Vec<(Duration, NodeId, Event)>,
    /// Copies handed out, by edge.
    pub copies: Vec<u64>,
    /// What came of the orders of the plan.
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
    pub(crate) requests: BTreeMap<u64, PendingRequest>,
    pub(crate) callers: Vec<CallerRecord>,
    pub(crate) calls: Vec<OriginRecord>,
    pub(crate) fleet: Vec<FleetRecord>,
    pub(crate) operators: Vec<OperatorRecord>,
    pub(crate) steps: u64,
    pub(crate) copies: Vec<u64>,
    pub(crate) orders: Vec<OrderRecord>,
    pub(crate) notes: BTreeMap<Event, usize>,
    pub(crate) membership: Vec<(Duration, NodeId, Event)>,
    /// Prints what happens.
    pub trace: bool,
    /// Messages between control nodes are printed, too.
    pub trace_messages: bool,
}

/// After it a client gives up on its request.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

/// Between two ticks of an edge.
const EDGE_TICK: Duration = Duration::from_millis(50);

impl World {
    /// A fleet in which nothing has happened yet.
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

    pub(crate) fn handle_event(&mut self, serial: u64, event: SimEvent) {
        let Some(node) = self.owner(&event) else {
            return self.handle_fleet_event(event);
        };
        let held = self.held_until(node, &event);
        if self.now < held {
            // It will see this when it goes on, in the old order.
            self.queue.insert((held, serial), event);
        } else if self.nodes[node].part.is_some() {
            self.handle_node_event(event);
        }
    }

    /// An event of a node that runs.
    fn handle_node_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick { node, run } => self.tick(node, run),
            SimEvent::Deliver { to, from, message } => {
                self.trace_message(to, from, &message);
                self.step(to, Input::MessageReceived { from, message })
            }
            SimEvent::Synced { node, serial, .. } => self.synced(node, serial),
            SimEvent::CallStarts {
                node,
                run,
                id,
                call,
            } if !self.cancelled.contains(&(node, run, id)) => self.call(node, run, id, &call),
            SimEvent::CallEnds {
                node,
                run,
                id,
                result,
            } if !self.cancelled.remove(&(node, run, id)) => {
                self.step(node, Input::CallCompleted { id, result })
            }
            SimEvent::ResponseSent {
                node, id, answer, ..
            } => self.response_sent(node, id, answer),
            SimEvent::Arrives { node, id, .. } => self.arrives(node, id),
            SimEvent::CloseRead { node, id, .. } => {
                self.departures.insert(id, self.now);
                self.step(node, Input::ClientDisconnected { id })
            }
            SimEvent::Watched {
                node,
                address,
                open,
                ..
            } => self.step(node, Input::ConnectionChanged { address, open }),
            _ => {}
        }
    }

    /// An event that is of no node's run: clients, operators, the platform, faults.
    fn handle_fleet_event(&mut self, event: SimEvent) {
        match event {
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

    fn tick(&mut self, node: usize, run: u64) {
        let every = if matches!(self.nodes[node].place, NodeId::Control(_)) {
            lease::CONTROL_TICK
        } else {
            EDGE_TICK
        };
        self.after(every, SimEvent::Tick { node, run });
        self.step(node, Input::Tick);
    }

    /// A disk holds a record for good.
    fn synced(&mut self, node: usize, serial: u64) {
        self.nodes[node].disk.sync(serial);
        if self.founder_ends(node, FounderEnd::Untold) {
            return self.kill(node);
        }
        self.step(node, Input::Stored { serial });
        if self.founder_ends(node, FounderEnd::Told) {
            self.kill(node);
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
}
