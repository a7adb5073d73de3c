//! Simulated fleet: event queue in virtual time, nodes, links and records of the run.
use crate::prelude::*;

/// Result of a simulated run.
pub struct Report {
    /// Checker with the records of clients, origins, operators and the fleet.
    pub checker: Checker,
    /// Number of inputs that state machines handled.
    pub steps: u64,
    /// Number of times each event was logged.
    pub event_counts: BTreeMap<Event, usize>,
    /// Bytes on the fullest disk at the end.
    pub log_bytes: usize,
    /// Membership and disk events of control nodes, with their times.
    pub membership_events: Vec<(Duration, NodeId, Event)>,
    /// Number of cached copies sent to peers, by edge.
    pub copies_sent: Vec<u64>,
    /// Results of the plan's item commands.
    pub commands: Vec<ItemCommandRecord>,
}

/// The simulated fleet with its network, origins, clients and operators, in virtual time.
/// The plan and its seed determine the whole run.
pub struct World {
    pub(crate) plan: WorldPlan,
    /// Current virtual time.
    pub(crate) now: Duration,
    /// Last serial number of an event, request, operation or operator call.
    pub(crate) serial: u64,
    /// Event queue, by time and then by serial number.
    pub(crate) queue: BTreeMap<(Duration, u64), SimEvent>,
    pub(crate) random: SeededRandom,
    pub(crate) nodes: Vec<SimNode>,
    /// Index of each node, by address.
    pub(crate) node_by_address: HashMap<SocketAddr, usize>,
    pub(crate) origins: Vec<SimOrigin>,
    /// End of each dropped link, by sender and receiver.
    pub(crate) dropped_links: BTreeMap<(usize, usize), Duration>,
    /// End of the loss of responses to operators.
    pub(crate) operator_responses_lost_until: Duration,
    /// Last revision of the item that operators put.
    pub(crate) item_revision: u64,
    /// Number of places by which the seed list of starting nodes is rotated.
    pub(crate) seeds_rotation: usize,
    /// Percentages of lost, duplicated and delayed messages.
    pub(crate) message_faults: (u64, u64, u64),
    /// Origin calls that their edges cancelled: node, run and call id.
    pub(crate) cancelled_calls: HashSet<(usize, u64, u64)>,
    /// Times at which edges read the disconnects of clients, by request id.
    pub(crate) disconnects_read: HashMap<u64, Duration>,
    /// Current version of all content.
    pub(crate) content_version: u64,
    /// Markers (numbered entries that show a version at edges) in every document from now on.
    pub(crate) markers: Vec<u64>,
    /// Markers that were removed from the document.
    pub(crate) removed_markers: Vec<u64>,
    /// Markers of configuration changes without a response yet.
    pub(crate) pending_markers: BTreeSet<u64>,
    /// Number of entries in addition to those of the deployment.
    pub(crate) extra_entries: usize,
    /// Number of the last marker.
    pub(crate) next_marker: u64,
    /// Version and text of the last acknowledged document.
    pub(crate) last_acknowledged: Option<(u64, String)>,
    /// Put of the origin list in progress, if any: true if a newer list waits for it, since the
    /// platform puts one list at a time.
    pub(crate) origins_put_pending: Option<bool>,
    /// Last version of the origin list that the platform knows.
    pub(crate) origins_version: u64,
    /// Loss that waits for its trigger.
    pub(crate) armed_loss: Option<(Trigger, Loss)>,
    /// True once the first seed crashed during the founding.
    pub(crate) founder_crashed: bool,
    /// Open watched connections: node, run, origin.
    pub(crate) open_connections: BTreeSet<(usize, u64, usize)>,
    /// Operator calls in progress, by id.
    pub(crate) operator_calls: BTreeMap<u64, PendingOperatorCall>,
    /// Client requests in progress, by id.
    pub(crate) requests: BTreeMap<u64, PendingRequest>,
    pub(crate) client_records: Vec<ClientRecord>,
    pub(crate) origin_calls: Vec<OriginRecord>,
    pub(crate) fleet_records: Vec<FleetRecord>,
    pub(crate) operator_records: Vec<OperatorRecord>,
    pub(crate) steps: u64,
    pub(crate) copies_sent: Vec<u64>,
    pub(crate) commands: Vec<ItemCommandRecord>,
    pub(crate) event_counts: BTreeMap<Event, usize>,
    pub(crate) membership_events: Vec<(Duration, NodeId, Event)>,
    /// Enables printing of the events of the run.
    pub trace: bool,
    /// Enables printing of messages between control nodes.
    pub trace_messages: bool,
}

/// Timeout after which a client gives up on its request.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_secs(12);

/// Interval between two ticks of an edge.
const EDGE_TICK: Duration = Duration::from_millis(50);

impl World {
    /// Creates the fleet of a plan at the start of virtual time.
    pub fn new(plan: WorldPlan) -> World {
        let mut world = World {
            now: Duration::ZERO,
            serial: 0,
            queue: BTreeMap::new(),
            random: SeededRandom::new(plan.seed),
            nodes: Vec::new(),
            node_by_address: HashMap::new(),
            origins: Vec::new(),
            dropped_links: BTreeMap::new(),
            operator_responses_lost_until: Duration::ZERO,
            item_revision: 0,
            seeds_rotation: 0,
            message_faults: (0, 0, 0),
            cancelled_calls: HashSet::new(),
            disconnects_read: HashMap::new(),
            content_version: 1,
            markers: Vec::new(),
            removed_markers: Vec::new(),
            pending_markers: BTreeSet::new(),
            extra_entries: 0,
            next_marker: 0,
            last_acknowledged: None,
            origins_put_pending: None,
            origins_version: 0,
            armed_loss: None,
            founder_crashed: false,
            open_connections: BTreeSet::new(),
            operator_calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            client_records: Vec::new(),
            origin_calls: Vec::new(),
            fleet_records: Vec::new(),
            operator_records: Vec::new(),
            steps: 0,
            copies_sent: vec![0; plan.deployment.edges],
            commands: Vec::new(),
            event_counts: BTreeMap::new(),
            membership_events: Vec::new(),
            trace: false,
            trace_messages: false,
            plan,
        };
        world.create_fleet();
        world
    }

    /// Queues an event at a time, but not before the current time.
    pub(crate) fn push(&mut self, at: Duration, event: SimEvent) {
        self.serial += 1;
        self.queue.insert((at.max(self.now), self.serial), event);
    }

    /// Queues an event after a delay.
    pub(crate) fn after(&mut self, span: Duration, event: SimEvent) {
        self.push(self.now + span, event);
    }

    /// Random duration from `low` up to but excluding `high`, in microseconds.
    pub(crate) fn random_micros(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_micros(low + self.random.below(high - low))
    }

    /// Index of the first spare control node; spares are only started by a fault.
    pub(crate) fn first_spare(&self) -> usize {
        self.nodes.len() - self.plan.spares
    }

    /// Indices of the edges.
    pub(crate) fn edges(&self) -> std::ops::Range<usize> {
        self.plan.control_nodes..self.plan.control_nodes + self.plan.deployment.edges
    }

    /// Current virtual time in seconds.
    pub(crate) fn seconds(&self) -> f64 {
        self.now.as_secs_f64()
    }

    /// Adds a fleet record for the checker.
    pub(crate) fn record(&mut self, kind: &str, subject: &str, number: u64, as_expected: bool) {
        if self.trace {
            println!(
                "{:9.4} {kind} {subject} {number} {as_expected}",
                self.seconds()
            );
        }
        self.fleet_records.push(FleetRecord {
            at: self.seconds(),
            kind: kind.into(),
            subject: subject.into(),
            number,
            as_expected,
        });
    }

    /// Runs the plan to its end.
    pub fn run(mut self) -> Report {
        let end = self.plan.span;
        while let Some(((at, serial), event)) = self.queue.pop_first() {
            if at > end + Duration::from_secs(1) {
                break;
            }
            self.now = at;
            self.handle_event(serial, event);
        }
        for pending_call in std::mem::take(&mut self.operator_calls).into_values() {
            self.record_operator(&pending_call, &ChangeOutcome::Unknown);
        }
        let (max_rates, ttls) = (
            self.plan.deployment.max_rates(),
            self.plan.deployment.ttls(),
        );
        let log_bytes = self
            .nodes
            .iter()
            .map(|node| node.disk.bytes())
            .max()
            .unwrap_or(0);
        let checker = Checker {
            clients: self.client_records,
            origins: self.origin_calls,
            fleet: self.fleet_records,
            operators: self.operator_records,
            items: self
                .commands
                .iter()
                .map(ItemCommandRecord::history)
                .collect(),
            max_rates,
            ttls,
        };
        Report {
            checker,
            steps: self.steps,
            event_counts: self.event_counts,
            log_bytes,
            membership_events: self.membership_events,
            copies_sent: self.copies_sent,
            commands: self.commands,
        }
    }

    /// The node that an event addresses; none if the run that it belongs to is over.
    pub(crate) fn target_node(&self, event: &SimEvent) -> Option<usize> {
        match event {
            SimEvent::Tick { node, run }
            | SimEvent::Synced { node, run, .. }
            | SimEvent::CallStarts { node, run, .. }
            | SimEvent::CallEnds { node, run, .. }
            | SimEvent::ResponseSent { node, run, .. }
            | SimEvent::RequestArrives { node, run, .. }
            | SimEvent::DisconnectRead { node, run, .. }
            | SimEvent::ConnectionChanged { node, run, .. } => {
                (self.nodes[*node].run == *run).then_some(*node)
            }
            SimEvent::Deliver { to, .. } => Some(*to),
            _ => None,
        }
    }

    pub(crate) fn handle_event(&mut self, serial: u64, event: SimEvent) {
        let Some(node) = self.target_node(&event) else {
            return self.handle_fleet_event(event);
        };
        let idle_at = self.blocked_until(node, &event);
        if self.now < idle_at {
            // The node handles the event once it is unblocked, in the original order.
            self.queue.insert((idle_at, serial), event);
        } else if self.nodes[node].state_machine.is_some() {
            self.handle_node_event(event);
        }
    }

    /// Handles an event of a running node.
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
            } if !self.cancelled_calls.contains(&(node, run, id)) => {
                self.call(node, run, id, &call)
            }
            SimEvent::CallEnds {
                node,
                run,
                id,
                result,
            } if !self.cancelled_calls.remove(&(node, run, id)) => {
                self.step(node, Input::CallCompleted { id, result })
            }
            SimEvent::ResponseSent {
                node, id, response, ..
            } => self.response_sent(node, id, response),
            SimEvent::RequestArrives { node, id, .. } => self.request_arrives(node, id),
            SimEvent::DisconnectRead { node, id, .. } => {
                self.disconnects_read.insert(id, self.now);
                self.step(node, Input::ClientDisconnected { id })
            }
            SimEvent::ConnectionChanged {
                node,
                address,
                open,
                ..
            } => self.step(node, Input::ConnectionChanged { address, open }),
            _ => {}
        }
    }

    /// Handles an event of clients, operators, the platform or the fault schedule.
    fn handle_fleet_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::PutOrigins => self.put_origins(),
            SimEvent::ClientArrives => self.client_arrives(),
            SimEvent::ClientRetry(task) => self.send_client_request(task),
            SimEvent::ClientTimesOut { id } => self.client_finished(id, None),
            SimEvent::ClientDisconnects { id } => self.client_disconnects(id),
            SimEvent::FaultStarts(fault) => self.inject_fault(fault),
            SimEvent::FaultOngoing(kind) => self.record("fault", &kind, 0, false),
            SimEvent::CheckMarkers => self.check_markers(),
            SimEvent::CheckReadiness { since } => self.check_readiness(since),
            SimEvent::NodeRestarts { node, run } => self.restart_node(node, run),
            SimEvent::SendOperatorCall {
                node,
                command,
                attempts,
            } => self.send_operator_call(node, command, attempts),
            SimEvent::SendItemCommand { command } => self.send_item_command(command),
            SimEvent::ItemCommandTimesOut { id } => self.item_command_times_out(id),
            _ => {}
        }
    }

    fn tick(&mut self, node: usize, run: u64) {
        let every = if matches!(self.nodes[node].node_id, NodeId::Control(_)) {
            lease::CONTROL_TICK
        } else {
            EDGE_TICK
        };
        self.after(every, SimEvent::Tick { node, run });
        self.step(node, Input::Tick);
    }

    /// Completes the disk sync of a record.
    fn synced(&mut self, node: usize, serial: u64) {
        self.nodes[node].disk.sync(serial);
        if self.founder_crash_due(node, FounderCrash::BeforeReplies) {
            return self.kill(node);
        }
        self.step(node, Input::Stored { serial });
        if self.founder_crash_due(node, FounderCrash::AfterReplies) {
            self.kill(node);
        }
    }

    fn trace_message(&self, to: usize, from: Peer, message: &Message) {
        let to = self.nodes[to].node_id;
        let sender = self.node_by_address.get(&from.address);
        let from = sender.map(|node| self.nodes[*node].node_id);
        if self.trace_messages
            && let (NodeId::Control(_), Some(NodeId::Control(_))) = (to, from)
        {
            println!("{:9.4} {from:?} to {to:?}: {message:?}", self.seconds());
        }
    }

    /// Passes an input to a node's state machine and applies its outputs.
    pub(crate) fn step(&mut self, node: usize, input: Input) {
        self.steps += 1;
        self.charge_step_time(node);
        let clock = self.nodes[node].clock(self.now);
        let Some(state_machine) = self.nodes[node].state_machine.as_mut() else {
            return;
        };
        let outputs = state_machine.handle(clock, input);
        for output in outputs {
            self.output(node, output);
        }
        self.record_active_table(node);
    }

    /// Records a newly published route table once its edge is live with it.
    fn record_active_table(&mut self, node: usize) {
        let version = self.nodes[node]
            .route_table
            .as_ref()
            .map_or(0, |table| table.version);
        if version != self.nodes[node].active_table_version && self.nodes[node].live(self.now) {
            self.nodes[node].active_table_version = version;
            let subject = self.nodes[node].peer.address.to_string();
            self.record("in-force", &subject, version, true);
        }
    }
}
