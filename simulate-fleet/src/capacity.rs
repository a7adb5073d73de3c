//! Measures messages, bytes and steps by fleet size and fits a line to each.
mod tables;
#[cfg(test)]
mod tests;

pub use tables::fit;

use crate::prelude::*;

/// Simulation of the control traffic of a fleet without clients, with real state machines and
/// real frames. A message takes 1 ms, and update notices also queue at their sender; a disk
/// sync takes 2 ms. Counts depend only on the fleet size; times depend on the machine.
pub struct Capacity {
    now: Duration,
    serial: u64,
    queue: BTreeMap<(Duration, u64), CapacityEvent>,
    nodes: Vec<CapacityNode>,
    node_by_address: HashMap<SocketAddr, usize>,
    responses: BTreeMap<u64, (Duration, OperatorResponse)>,
    tally: Tally,
}

/// Simulated node, without clients or real origins.
struct CapacityNode {
    role: Role,
    peer: Peer,
    state_machine: Option<Box<dyn StateMachine>>,
    lease_end: Duration,
}

/// Event in the queue of the simulation.
enum CapacityEvent {
    Tick(usize),
    Deliver {
        to: usize,
        from: Peer,
        message: Box<Message>,
    },
    Synced {
        node: usize,
        serial: u64,
    },
    CallCompleted {
        node: usize,
        id: u64,
        result: CallOutcome,
    },
    ConnectionOpened {
        node: usize,
        address: SocketAddr,
    },
}

/// Role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A control node.
    Control,
    /// An edge.
    Edge,
}

/// Traffic and work counted over a period.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Virtual duration of the period.
    pub span: Duration,
    /// Number of frames and bytes, by role of the sender and message name.
    pub sent: BTreeMap<(Role, &'static str), (u64, u64)>,
    /// Number of steps, total time and longest step, by role and input name.
    pub steps: BTreeMap<(Role, &'static str), (u64, Duration, Duration)>,
    /// Number of records and bytes written to disk.
    pub records: (u64, u64),
    /// Number of calls to origins, all of them health checks.
    pub health_checks: u64,
}

/// Measurement of one fleet size.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// Number of edges.
    pub edges: usize,
    /// Number of control nodes.
    pub control: usize,
    /// Number of regions of the edges.
    pub regions: usize,
    /// Traffic of 2 s without changes.
    pub quiet: Tally,
    /// Traffic of the second after one purge, and the time to its acknowledgement.
    pub purge: (Tally, Duration),
    /// Traffic of the second after one configuration, and the time to its acknowledgement.
    pub configuration: (Tally, Duration),
    /// Traffic of 5 s after the loss of an edge.
    pub loss: Tally,
    /// Number of rows and bytes of each published partition, as listed by its owner.
    pub state: Vec<(usize, u64)>,
    /// Allocated bytes of one control node and of one edge; none without the counting
    /// allocator.
    pub memory: Option<(u64, u64)>,
    /// Number of live edges at the end of the quiet period.
    pub live_edges: usize,
}

/// Maximum number of regions.
const REGION_COUNT: usize = 25;
/// Maximum number of zones.
const ZONE_COUNT: usize = 80;
/// Number of origins in the platform's list.
const ORIGIN_COUNT: usize = 150;
/// Latency of every message, health check and connection.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Duration of every disk sync.
const SYNC_LATENCY: Duration = Duration::from_millis(2);
/// Time in which the first seed collects founding control nodes.
const GATHER_TIME: Duration = Duration::from_millis(1000);
/// Time by which the fleet is founded and has its assignments.
const FLEET_SETTLED_AT: Duration = Duration::from_secs(8);
/// Edge counts of the tables in `docs/CAPACITY.md`.
pub const EDGE_COUNTS: [usize; 4] = [16, 64, 256, 1100];
/// Number of control nodes of the tables in `docs/CAPACITY.md`.
pub const CAPACITY_CONTROL_NODES: usize = 12;

/// First id of operator calls that list a partition.
const FIRST_LIST_ID: u64 = 10;
/// Second byte of control node addresses.
const CONTROL_SUBNET: u8 = 1;
/// Second byte of edge addresses.
const EDGE_SUBNET: u8 = 2;
/// Cache size of an edge, in bytes.
const CACHE_BYTES: u64 = 64 << 20;
/// First incarnation of edges, above those of control nodes.
const FIRST_EDGE_INCARNATION: u64 = 1000;

fn address(subnet: u8, index: usize) -> SocketAddr {
    SocketAddr::from(([10, subnet, (index >> 8) as u8, index as u8], 7000))
}

impl CapacityNode {
    fn control(slot: usize, seeds: &[SocketAddr]) -> CapacityNode {
        let incarnation = 1 + slot as u64;
        let state_machine = ControlNode::new(
            address(CONTROL_SUBNET, slot),
            seeds.to_vec(),
            Replica::blank(incarnation),
            true,
            Some(Bootstrap::new(true, GATHER_TIME)),
            incarnation,
        );
        CapacityNode {
            role: Role::Control,
            peer: state_machine.local_peer(),
            state_machine: Some(Box::new(state_machine)),
            lease_end: Duration::ZERO,
        }
    }

    /// Creates an edge. Edges are spread over regions before zones, so that a small fleet has at
    /// most one edge per region.
    fn edge(index: usize, seeds: &[SocketAddr]) -> CapacityNode {
        let zone = index % ZONE_COUNT;
        let region = format!("region-{:02}", zone % REGION_COUNT);
        let locality = Locality {
            zone: format!("{region}-{}", zone / REGION_COUNT),
            ring: region.clone(),
            region,
            weight: 1,
        };
        let incarnation = FIRST_EDGE_INCARNATION + index as u64;
        let peer = Peer::new(address(EDGE_SUBNET, index), incarnation);
        let state_machine = EdgeNode::new(peer, locality, seeds.to_vec(), true, CACHE_BYTES);
        CapacityNode {
            role: Role::Edge,
            peer,
            state_machine: Some(Box::new(state_machine)),
            lease_end: Duration::ZERO,
        }
    }
}

impl Capacity {
    fn new(edges: usize, control: usize) -> Capacity {
        let seeds: Vec<SocketAddr> = (0..control.min(3))
            .map(|slot| address(CONTROL_SUBNET, slot))
            .collect();
        let control_nodes = (0..control).map(|slot| CapacityNode::control(slot, &seeds));
        let edge_nodes = (0..edges).map(|edge| CapacityNode::edge(edge, &seeds));
        let nodes: Vec<CapacityNode> = control_nodes.chain(edge_nodes).collect();
        let node_by_address = nodes
            .iter()
            .enumerate()
            .map(|(index, node)| (node.peer.address, index))
            .collect();
        let mut fleet = Capacity {
            now: Duration::ZERO,
            serial: 0,
            queue: BTreeMap::new(),
            nodes,
            node_by_address,
            responses: BTreeMap::new(),
            tally: Tally::default(),
        };
        for node in 0..fleet.nodes.len() {
            // Spreads the first ticks over 50 ms, as real starts are spread.
            let at = Duration::from_micros(node as u64 * 7919 % 50_000);
            fleet.after(at, CapacityEvent::Tick(node));
        }
        fleet
    }

    fn after(&mut self, span: Duration, event: CapacityEvent) {
        self.serial += 1;
        self.queue.insert((self.now + span, self.serial), event);
    }

    fn step(&mut self, node: usize, name: &'static str, input: Input) {
        let (role, now) = (self.nodes[node].role, self.now);
        let Some(state_machine) = self.nodes[node].state_machine.as_mut() else {
            return;
        };
        let started_at = Instant::now();
        let out = state_machine.handle(now, input);
        let took = started_at.elapsed();
        let totals = self.tally.steps.entry((role, name)).or_default();
        *totals = (totals.0 + 1, totals.1 + took, totals.2.max(took));
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send { to, message } => self.send(node, to, message),
            Output::Store { serial, record } | Output::StoreSnapshot { serial, record } => {
                self.tally.records = (
                    self.tally.records.0 + 1,
                    self.tally.records.1 + record.len() as u64,
                );
                self.after(SYNC_LATENCY, CapacityEvent::Synced { node, serial });
            }
            Output::Call { id, .. } => {
                self.tally.health_checks += 1;
                self.after(
                    MESSAGE_LATENCY,
                    CapacityEvent::CallCompleted {
                        node,
                        id,
                        result: CallOutcome::Success(Reply::default()),
                    },
                );
            }
            Output::WatchConnection { address } => self.after(
                MESSAGE_LATENCY,
                CapacityEvent::ConnectionOpened { node, address },
            ),
            Output::OperatorResponse { id, response } => {
                self.responses.insert(id, (self.now, response));
            }
            Output::Publish(PublishedState::Fence { until, .. }) => {
                self.nodes[node].lease_end = until
            }
            Output::ClientResponse { .. }
            | Output::Log { .. }
            | Output::Publish(_)
            | Output::ExtendCall { .. }
            | Output::CancelCall { .. }
            | Output::ShutdownComplete => {}
        }
    }

    fn send(&mut self, node: usize, to: SocketAddr, message: Message) {
        let (role, from) = (self.nodes[node].role, self.nodes[node].peer);
        let Some(to) = self.node_by_address.get(&to).copied() else {
            return;
        };
        if to == node {
            let message = Box::new(message);
            return self.after(Duration::ZERO, CapacityEvent::Deliver { to, from, message });
        }
        let bytes = frame::write(from, &message)
            .expect("messages serialize")
            .len() as u64;
        let totals = self.tally.sent.entry((role, message.name())).or_default();
        *totals = (totals.0 + 1, totals.1 + bytes);
        // A sender's update notices leave one after the other, 40 µs apart.
        let queue = if matches!(message, Message::UpdateNotice(_)) {
            Duration::from_micros(to as u64 * 40)
        } else {
            Duration::ZERO
        };
        let message = Box::new(message);
        self.after(
            MESSAGE_LATENCY + queue,
            CapacityEvent::Deliver { to, from, message },
        );
    }

    fn run_to(&mut self, end: Duration) {
        while self
            .queue
            .first_key_value()
            .is_some_and(|((at, _), _)| *at < end)
        {
            let ((at, _), event) = self.queue.pop_first().expect("queue is not empty");
            self.now = at;
            match event {
                CapacityEvent::Tick(node) => {
                    let every = if self.nodes[node].role == Role::Control {
                        lease::CONTROL_TICK
                    } else {
                        Duration::from_millis(50)
                    };
                    self.after(every, CapacityEvent::Tick(node));
                    self.step(node, "tick", Input::Tick);
                }
                CapacityEvent::Deliver { to, from, message } => {
                    let message = *message;
                    self.step(to, message.name(), Input::MessageReceived { from, message })
                }
                CapacityEvent::Synced { node, serial } => {
                    self.step(node, "synced", Input::Stored { serial })
                }
                CapacityEvent::CallCompleted { node, id, result } => {
                    self.step(node, "probe", Input::CallCompleted { id, result })
                }
                CapacityEvent::ConnectionOpened { node, address } => self.step(
                    node,
                    "probe",
                    Input::ConnectionChanged {
                        address,
                        open: true,
                    },
                ),
            }
        }
        self.now = end;
    }

    fn tally_for(&mut self, span: Duration) -> Tally {
        self.tally = Tally::default();
        self.run_to(self.now + span);
        Tally {
            span,
            ..std::mem::take(&mut self.tally)
        }
    }

    fn send_change(&mut self, id: u64, partition: u8, change: Change) {
        self.step(
            0,
            "operator",
            Input::Operator {
                id,
                request: OperatorRequest::Change { partition, change },
            },
        );
    }

    /// Sends a change and counts traffic for 1 s; also returns the time to its acknowledgement,
    /// when it is in effect at every node.
    fn apply_change(
        &mut self,
        id: u64,
        partition: u8,
        change: Change,
    ) -> Result<(Tally, Duration)> {
        let started_at = self.now;
        self.tally = Tally::default();
        self.send_change(id, partition, change);
        self.run_to(started_at + Duration::from_secs(1));
        let tally = Tally {
            span: Duration::from_secs(1),
            ..std::mem::take(&mut self.tally)
        };
        for _ in 0..12 {
            if let Some((at, response)) = self.responses.get(&id) {
                if !matches!(
                    response,
                    OperatorResponse::ChangeOutcome(ChangeOutcome::Acknowledged { .. })
                ) {
                    bail!("change {id} was not acknowledged: {response:?}");
                }
                return Ok((tally, *at - started_at));
            }
            self.run_to(self.now + Duration::from_secs(1));
        }
        bail!("change {id} received no response")
    }

    fn document(marker: u64) -> Arc<str> {
        let deployment = Deployment::find("trasa").expect("deployment exists");
        deployment.document(&[marker]).into()
    }

    fn origins() -> Vec<Origin> {
        let services = Deployment::find("trasa")
            .expect("deployment exists")
            .services;
        let origin = |at: usize| {
            let service = services[at % services.len()].name;
            let address = SocketAddr::from(([10, 3, 0, at as u8], 8000));
            Origin {
                address,
                service: service.into(),
                instance: format!("{service}-{at}"),
                draining: false,
                zone: String::new(),
                region: String::new(),
                capacity: 0,
                cold_ms: 0,
            }
        };
        (0..ORIGIN_COUNT).map(origin).collect()
    }

    fn live_edge_count(&self) -> usize {
        self.nodes
            .iter()
            .filter(|node| {
                node.role == Role::Edge && node.state_machine.is_some() && self.now < node.lease_end
            })
            .count()
    }

    /// Measures one fleet size. `allocated_bytes` returns the allocated bytes, if counted.
    ///
    /// # Errors
    ///
    /// Fails if a change is not acknowledged or a partition is not listed.
    pub fn measure(
        edges: usize,
        control: usize,
        allocated_bytes: &dyn Fn() -> Option<u64>,
    ) -> Result<Measurement> {
        let mut fleet = Capacity::new(edges, control);
        fleet.set_up()?;
        let quiet = fleet.tally_for(Duration::from_secs(2));
        let live_edges = fleet.live_edge_count();
        let purge = Purge {
            prefix: Some("/listing/".into()),
            ..Purge::default()
        };
        let purge =
            fleet.apply_change(3, PURGES_PARTITION, Change::AddPurge { purge, change: 2 })?;
        fleet.run_to(fleet.now + Duration::from_secs(1));
        let configuration = fleet.put_configuration(4, 2, 3)?;
        fleet.run_to(fleet.now + Duration::from_secs(1));
        let state = fleet.list_partitions()?;
        let edge_bytes = fleet.drop_nodes(control + edges - 1..control + edges, allocated_bytes);
        let loss = fleet.tally_for(Duration::from_secs(5));
        let control_bytes = fleet.drop_nodes(0..control, allocated_bytes);
        Ok(Measurement {
            edges,
            control,
            regions: edges.min(REGION_COUNT),
            quiet,
            purge,
            configuration,
            loss,
            state,
            memory: control_bytes.zip(edge_bytes),
            live_edges,
        })
    }

    /// Puts a configuration and the origin list, and runs until the fleet has settled.
    fn set_up(&mut self) -> Result<()> {
        self.run_to(Duration::from_secs(5));
        self.put_configuration(1, 1, 1)?;
        let origins = Change::PutOrigins {
            list: Arc::new(Capacity::origins()),
            expect: None,
            change: 1,
            acknowledge: Acknowledge::Settled,
        };
        self.apply_change(2, ORIGINS_PARTITION, origins)?;
        self.run_to(self.now.max(FLEET_SETTLED_AT) + Duration::from_secs(3));
        Ok(())
    }

    fn put_configuration(
        &mut self,
        id: u64,
        marker: u64,
        change: u64,
    ) -> Result<(Tally, Duration)> {
        let put = Change::PutConfiguration {
            text: Capacity::document(marker),
            expect: None,
            change,
        };
        self.apply_change(id, CONFIGURATION_PARTITION, put)
    }

    /// Lists each published partition: number of rows and bytes.
    fn list_partitions(&mut self) -> Result<Vec<(usize, u64)>> {
        let mut sizes = Vec::new();
        for partition in 0..PUBLISHED_PARTITIONS {
            let id = FIRST_LIST_ID + u64::from(partition);
            self.send_change(id, partition, Change::List);
            self.run_to(self.now + Duration::from_secs(1));
            let Some((_, OperatorResponse::ChangeOutcome(ChangeOutcome::Rows { rows, .. }))) =
                self.responses.remove(&id)
            else {
                bail!("partition {partition} was not listed")
            };
            sizes.push((rows.len(), bincode::serialized_size(&rows)?));
        }
        Ok(sizes)
    }

    /// Drops nodes; returns the mean number of bytes that each had allocated, if counted.
    fn drop_nodes(
        &mut self,
        nodes: std::ops::Range<usize>,
        allocated_bytes: &dyn Fn() -> Option<u64>,
    ) -> Option<u64> {
        let count = nodes.len() as u64;
        let before = allocated_bytes();
        self.nodes[nodes]
            .iter_mut()
            .for_each(|node| node.state_machine = None);
        before
            .zip(allocated_bytes())
            .map(|(before, after)| (before - after) / count)
    }
}

impl Tally {
    /// Frames and bytes per second of one message name, sent by one role.
    pub fn rate(&self, role: Role, name: &str) -> (f64, f64) {
        let (frames, bytes) = self
            .sent
            .iter()
            .filter(|((sender, message), _)| (*sender, *message) == (role, name))
            .map(|(_, sum)| *sum)
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        (
            frames as f64 / self.span.as_secs_f64(),
            bytes as f64 / self.span.as_secs_f64(),
        )
    }

    /// Total frames and bytes of all roles.
    fn total_sent(&self) -> (u64, u64) {
        self.sent
            .values()
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Share of a CPU core that one node of a role uses.
    fn core_share(&self, role: Role, nodes: usize) -> f64 {
        let spent: f64 = self
            .steps
            .iter()
            .filter(|((step_role, _), _)| *step_role == role)
            .map(|(_, (_, took, _))| took.as_secs_f64())
            .sum();
        spent / self.span.as_secs_f64() / nodes as f64
    }
}
