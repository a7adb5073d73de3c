//! Control nodes without edges in virtual time: the real state machines, a network with links that can be blocked in
//! each direction, and disks that retain synced records.

use control_plane::{ControlNode, Replica};
use kernel::prelude::*;

/// Latency of every message between nodes.
const MESSAGE_LATENCY: Duration = Duration::from_millis(1);
/// Time that a disk takes to sync a record.
const SYNC_LATENCY: Duration = Duration::from_millis(5);
/// Port of node 0; the others follow.
const FIRST_PORT: u16 = 100;

enum ScheduledEvent {
    Tick,
    Deliver { from: Peer, message: Box<Message> },
    Synced { serial: u64, record: Vec<u8> },
    StoreFailed,
}

struct Scheduled {
    node: usize,
    /// Run of the node for which the event is scheduled; events of earlier runs are dropped.
    run: u64,
    event: ScheduledEvent,
}

struct Node {
    control_node: ControlNode,
    run: u64,
    disk: Vec<Vec<u8>>,
    /// True while the disk fails writes.
    full: bool,
}

/// Call of an operator: its node, its time, and its outcome.
pub struct Call {
    /// Node that was called.
    pub node: usize,
    /// Time of the call.
    pub sent_at: Duration,
    /// Time and outcome of the response, once there is one.
    pub response: Option<(Duration, ChangeOutcome)>,
}

/// A fleet of control nodes whose seeds are the membership table.
pub struct Cluster {
    /// Current virtual time.
    pub now: Duration,
    nodes: Vec<Node>,
    scheduled: BTreeMap<(Duration, u64), Scheduled>,
    sequence: u64,
    /// Directions, as (from, to), in which no message is delivered.
    blocked_links: BTreeSet<(usize, usize)>,
    /// All calls submitted so far.
    pub calls: Vec<Call>,
    /// Number of times a partition was acquired by any node.
    pub takeovers: usize,
}

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

impl Cluster {
    /// Starts nodes with recovered disks without rows, and runs until they serve calls.
    pub fn start(size: usize) -> Cluster {
        let mut cluster = Cluster {
            now: Duration::ZERO,
            nodes: Vec::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            blocked_links: BTreeSet::new(),
            calls: Vec::new(),
            takeovers: 0,
        };
        for node in 0..size {
            let replica = Replica {
                full: true,
                ..Replica::blank(1 + node as u64)
            };
            let snapshot = control_plane::Record::Snapshot(Box::new(replica.clone()));
            let disk = vec![bincode::serialize(&snapshot).expect("records serialize")];
            let control_node = Cluster::control_node(node, size, replica, 1);
            cluster.nodes.push(Node {
                control_node,
                run: 1,
                disk,
                full: false,
            });
            cluster.schedule(
                Duration::from_millis(7 * node as u64),
                node,
                ScheduledEvent::Tick,
            );
        }
        cluster.run(Duration::from_secs(5));
        cluster.open_ledger();
        cluster
    }

    /// Confirms that no operation ran before, as operators do for a new fleet. Until then each takeover waits for rows
    /// that edges might still hold.
    fn open_ledger(&mut self) {
        let state = self.state(0);
        let generation = state["ledger"]["realm"]
            .as_str()
            .expect("the generation is a string");
        let generation =
            u64::from_str_radix(generation, 16).expect("the generation is hexadecimal");
        let at = self.submit(0, ASSIGNMENTS_PARTITION, Change::OpenLedger { generation });
        self.run(Duration::from_secs(2));
        let response = &self.calls[at].response;
        let opened = matches!(response, Some((_, ChangeOutcome::Acknowledged { .. })));
        assert!(opened, "{response:?}");
    }

    fn control_node(node: usize, size: usize, replica: Replica, run: u64) -> ControlNode {
        let seeds = (0..size).map(address).collect();
        ControlNode::new(address(node), seeds, replica, false, None, run)
    }

    /// Returns the number of nodes.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    fn schedule(&mut self, after: Duration, node: usize, event: ScheduledEvent) {
        self.sequence += 1;
        // The event belongs to the node's current run, or to its first one while the node is being created.
        let run = self.nodes.get(node).map_or(1, |running| running.run);
        let scheduled = Scheduled { node, run, event };
        let key = (self.now + after, self.sequence);
        self.scheduled.insert(key, scheduled);
    }

    /// Blocks messages from the first node to the second.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Blocks messages between two nodes.
    pub fn block_both_ways(&mut self, first: usize, other: usize) {
        self.block(first, other);
        self.block(other, first);
    }

    /// Blocks messages between a node and all others.
    pub fn isolate(&mut self, node: usize) {
        for other in self.others(node) {
            self.block_both_ways(node, other);
        }
    }

    /// Returns all nodes except this one.
    pub fn others(&self, node: usize) -> Vec<usize> {
        (0..self.size()).filter(|other| *other != node).collect()
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Sets whether the node's disk fails writes.
    pub fn set_disk_full(&mut self, node: usize, full: bool) {
        self.nodes[node].full = full;
    }

    /// Restarts a process with the contents of its disk.
    pub fn restart(&mut self, node: usize) {
        let size = self.size();
        let running = &mut self.nodes[node];
        let replica = Replica::replay(&running.disk)
            .expect("records can be decoded")
            .expect("the disk is not blank");
        running.run += 1;
        running.control_node = Cluster::control_node(node, size, replica, running.run);
        // Callers connected to this node lose their connection.
        let now = self.now;
        for call in &mut self.calls {
            if call.node == node && call.response.is_none() {
                call.response = Some((now, ChangeOutcome::Unknown));
            }
        }
        self.schedule(Duration::ZERO, node, ScheduledEvent::Tick);
    }

    /// Runs for this duration of virtual time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until the condition holds, at most for this duration. Returns true if it held.
    pub fn run_while_not(&mut self, duration: Duration, done: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + duration;
        self.run_until(end, done)
    }

    fn run_until(&mut self, end: Duration, done: impl Fn(&Cluster) -> bool) -> bool {
        while !done(self) {
            let Some(entry) = self
                .scheduled
                .first_entry()
                .filter(|entry| entry.key().0 <= end)
            else {
                return false;
            };
            self.now = entry.key().0;
            let scheduled = entry.remove();
            if self.nodes[scheduled.node].run == scheduled.run {
                self.process(scheduled);
            }
        }
        true
    }

    fn process(&mut self, scheduled: Scheduled) {
        let node = scheduled.node;
        let input = match scheduled.event {
            ScheduledEvent::Tick => {
                self.schedule(lease::CONTROL_TICK, node, ScheduledEvent::Tick);
                Input::Tick
            }
            ScheduledEvent::Deliver { from, message } => Input::MessageReceived {
                from,
                message: *message,
            },
            ScheduledEvent::StoreFailed => Input::StoreFailed,
            ScheduledEvent::Synced { serial, record } => {
                self.nodes[node].disk.push(record);
                Input::Stored { serial }
            }
        };
        self.step(node, input);
    }

    fn step(&mut self, node: usize, input: Input) {
        let from = self.nodes[node].control_node.local_peer();
        for output in self.nodes[node].control_node.handle(self.now, input) {
            match output {
                Output::Send { to, message } => self.deliver(node, from, to, message),
                Output::Store { .. } | Output::StoreSnapshot { .. } if self.nodes[node].full => {
                    self.schedule(SYNC_LATENCY, node, ScheduledEvent::StoreFailed);
                }
                Output::Store { serial, record } | Output::StoreSnapshot { serial, record } => {
                    self.schedule(
                        SYNC_LATENCY,
                        node,
                        ScheduledEvent::Synced { serial, record },
                    );
                }
                Output::OperatorResponse {
                    id,
                    response: OperatorResponse::ChangeOutcome(outcome),
                } => self.calls[id as usize - 1].response = Some((self.now, outcome)),
                Output::Log {
                    event: Event::PartitionAcquired,
                    ..
                } => self.takeovers += 1,
                _ => {}
            }
        }
    }

    fn deliver(&mut self, node: usize, from: Peer, to: SocketAddr, message: Message) {
        let receiver = node_at(to);
        if self.blocked_links.contains(&(node, receiver)) {
            return;
        }
        let latency = if receiver == node {
            Duration::ZERO
        } else {
            MESSAGE_LATENCY
        };
        let message = Box::new(message);
        self.schedule(latency, receiver, ScheduledEvent::Deliver { from, message });
    }

    /// Submits an operator's call to a node. Returns the call's index.
    pub fn submit(&mut self, node: usize, partition: u8, change: Change) -> usize {
        self.calls.push(Call {
            node,
            sent_at: self.now,
            response: None,
        });
        let id = self.calls.len() as u64;
        let request = OperatorRequest::Change { partition, change };
        self.step(node, Input::Operator { id, request });
        self.calls.len() - 1
    }

    /// Submits an operator's call and waits for its outcome, at most for this duration. Returns the elapsed time and
    /// the outcome.
    pub fn response(
        &mut self,
        node: usize,
        change: Change,
        duration: Duration,
    ) -> (Duration, ChangeOutcome) {
        let at = self.submit(node, CONFIGURATION_PARTITION, change);
        let responded =
            self.run_while_not(duration, |cluster| cluster.calls[at].response.is_some());
        assert!(responded, "no response at node {node} within {duration:?}");
        let (when, outcome) = self.calls[at]
            .response
            .clone()
            .expect("the response was received");
        (when - self.calls[at].sent_at, outcome)
    }

    /// Returns the state that a node reports to operators.
    pub fn state(&mut self, node: usize) -> serde_json::Value {
        let request = OperatorRequest::State;
        let outputs = self.nodes[node]
            .control_node
            .handle(self.now, Input::Operator { id: 0, request });
        let state = outputs.into_iter().find_map(|output| match output {
            Output::OperatorResponse {
                response: OperatorResponse::State(state),
                ..
            } => Some(state),
            _ => None,
        });
        state.expect("state is always reported")
    }

    /// Returns true if a node reports that a majority is in contact with it.
    pub fn has_majority(&mut self, node: usize) -> bool {
        self.state(node)["majority"] == true
    }

    /// Returns the node that leads a partition under the highest epoch, by the nodes' reports.
    pub fn leader(&mut self, partition: u8) -> usize {
        let led = |state: serde_json::Value| {
            let partitions = state["owned_slices"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let led = partitions
                .iter()
                .find(|candidate| candidate["slice"] == partition);
            led.and_then(|partition| partition["epoch"].as_u64())
        };
        let epochs = (0..self.size()).map(|node| (led(self.state(node)), node));
        let (epoch, node) = epochs.collect::<Vec<_>>().into_iter().max().expect("nodes");
        assert!(epoch.is_some(), "no node leads partition {partition}");
        node
    }
}

/// Returns a change that sets a group of origins under a revision.
pub fn put_group(name: &str, revision: u64) -> Change {
    let text: Arc<str> =
        format!(r#"{{"service":"{name}","rate":9,"concurrency":2,"proof":"named"}}"#).into();
    put_item(ItemKind::Group, name, revision, text)
}

/// Returns a change that sets an entry which refers to a group.
pub fn put_entry(name: &str, revision: u64, group: &str) -> Change {
    let text: Arc<str> = format!(
        r#"{{"name":"{name}","path":"/{name}/","methods":[],"group":"{group}","rank":1,"kind":"repeatable"}}"#
    )
    .into();
    put_item(ItemKind::Entry, name, revision, text)
}

fn put_item(kind: ItemKind, name: &str, revision: u64, text: Arc<str>) -> Change {
    let item = Item {
        kind,
        name: name.into(),
        revision,
        text: Some(text.clone()),
        source: text,
    };
    Change::PutItems { items: vec![item] }
}

/// Returns the revision of an item in a reply to `Change::List`, if the item exists.
pub fn revision_of(outcome: &ChangeOutcome, name: &str) -> Option<u64> {
    let ChangeOutcome::Rows { rows, .. } = outcome else {
        return None;
    };
    rows.iter().find_map(|(_, row)| match &row.value {
        Value::Item(item) if item.name == name => Some(item.revision),
        _ => None,
    })
}
