//! Three control nodes in virtual time without edges, for tests of changes that are retried while nodes are lost.

use crate::prelude::*;

/// Latency of every message.
const MESSAGE_LATENCY: Duration = Duration::from_millis(2);
/// Time that a disk takes to sync a record.
const SYNC_LATENCY: Duration = Duration::from_millis(1);
/// Interval between ticks.
const TICK: Duration = Duration::from_millis(100);
/// Number of control nodes.
const SLOTS: usize = 3;
/// Time by which the partitions are founded and led.
const FOUNDING_TIME: Duration = Duration::from_secs(6);

enum ScheduledEvent {
    Tick { run: u64 },
    Received { from: Peer, message: Box<Message> },
    Synced { run: u64, serial: u64 },
}

struct Node {
    control_node: Option<ControlNode>,
    /// Number of starts; events scheduled for an earlier run are dropped.
    run: u64,
    disk: Vec<Vec<u8>>,
    unsynced: VecDeque<(u64, Vec<u8>)>,
}

/// Three control nodes, the network between them and their disks, in virtual time.
pub(super) struct Cluster {
    pub(super) now: Duration,
    serial: u64,
    queue: BTreeMap<(Duration, u64), (usize, ScheduledEvent)>,
    nodes: Vec<Node>,
    incarnations: u64,
    /// Nodes that exchange no messages with others.
    pub(super) isolated: BTreeSet<usize>,
    /// True while replies to changes are lost.
    pub(super) replies_lost: bool,
    /// Outcomes of operators' calls, by the ids of the calls.
    pub(super) outcomes: BTreeMap<u64, ChangeOutcome>,
}

fn address(slot: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + slot as u16))
}

impl Cluster {
    /// Starts the nodes, and runs until the partitions are founded and led.
    pub(super) fn new() -> Cluster {
        let node = || Node {
            control_node: None,
            run: 0,
            disk: Vec::new(),
            unsynced: VecDeque::new(),
        };
        let mut cluster = Cluster {
            now: Duration::ZERO,
            serial: 0,
            queue: BTreeMap::new(),
            nodes: (0..SLOTS).map(|_| node()).collect(),
            incarnations: 0,
            isolated: BTreeSet::new(),
            replies_lost: false,
            outcomes: BTreeMap::new(),
        };
        (0..SLOTS).for_each(|slot| cluster.start(slot));
        cluster.run_for(FOUNDING_TIME);
        assert!(
            cluster.leader(CONFIGURATION_PARTITION).is_some(),
            "no node leads"
        );
        cluster
    }

    /// Starts a node with the contents of its disk.
    pub(super) fn start(&mut self, slot: usize) {
        let disk_replica = Replica::replay(&self.nodes[slot].disk).expect("records can be decoded");
        let blank = disk_replica.is_none();
        self.incarnations += 1;
        let replica = disk_replica.unwrap_or_else(|| Replica::blank(1000 + self.incarnations));
        let seeds = (0..SLOTS).map(address).collect();
        let control_node = ControlNode::new(
            address(slot),
            seeds,
            replica,
            blank,
            None,
            self.incarnations,
        );
        let node = &mut self.nodes[slot];
        node.run += 1;
        node.control_node = Some(control_node);
        let run = node.run;
        self.push(self.now, slot, ScheduledEvent::Tick { run });
    }

    /// Ends a process at once; records that were not synced are lost.
    pub(super) fn kill(&mut self, slot: usize) {
        self.nodes[slot].control_node = None;
        self.nodes[slot].unsynced.clear();
    }

    /// Ends a process and wipes its disk.
    pub(super) fn wipe(&mut self, slot: usize) {
        self.kill(slot);
        self.nodes[slot].disk.clear();
    }

    /// Renews an edge's session with all nodes for this time, without applying any update.
    pub(super) fn renew_without_applying(&mut self, span: Duration) {
        let until = self.now + span;
        let edge = Peer::new(address(SLOTS + 1), 77);
        while self.now < until {
            let renew = RenewRequest {
                sent: self.now,
                last_token: None,
                generation: 0,
                recall_complete: true,
                version_vector: vec![0; PUBLISHED_PARTITIONS.into()],
                zone: "z".into(),
                ring: "z".into(),
                weight: 1,
                draining: false,
                usage: Usage::default(),
                origin_health: vec![],
            };
            for slot in 0..SLOTS {
                let message = renew.clone().into();
                let from = edge;
                self.step(slot, Input::MessageReceived { from, message });
            }
            self.run_for(lease::EDGE_TICK);
        }
    }

    /// Returns a node other than this one.
    pub(super) fn other(&self, slot: usize) -> usize {
        (slot + 1) % SLOTS
    }

    /// Returns the node that leads a partition and may serve it.
    pub(super) fn leader(&self, partition: u8) -> Option<usize> {
        let leads = |slot: &usize| {
            let control_node = self.nodes[*slot].control_node.as_ref();
            let leader = control_node.and_then(|control_node| control_node.leaders.get(&partition));
            !self.isolated.contains(slot) && leader.is_some_and(PartitionLeader::is_serving)
        };
        (0..SLOTS).find(leads)
    }

    /// Submits an operator's call to a node; the outcome is stored under this id.
    pub(super) fn submit(&mut self, slot: usize, id: u64, partition: u8, change: Change) {
        let request = OperatorRequest::Change { partition, change };
        self.step(slot, Input::Operator { id, request });
    }

    /// Submits an operator's call to a node, and waits for the outcome.
    pub(super) fn outcome(&mut self, slot: usize, partition: u8, change: Change) -> ChangeOutcome {
        self.serial += 1;
        let id = 1_000_000 + self.serial;
        self.submit(slot, id, partition, change);
        for _ in 0..150 {
            if let Some(outcome) = self.outcomes.remove(&id) {
                return outcome;
            }
            self.run_for(TICK);
        }
        panic!("no outcome")
    }

    /// Runs for this duration of virtual time.
    pub(super) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let (slot, event) = entry.remove();
            self.now = at;
            self.process(slot, event);
        }
        self.now = end;
    }

    fn push(&mut self, at: Duration, slot: usize, event: ScheduledEvent) {
        self.serial += 1;
        self.queue.insert((at, self.serial), (slot, event));
    }

    fn process(&mut self, slot: usize, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick { run } if run == self.nodes[slot].run => {
                self.step(slot, Input::Tick);
                self.push(self.now + TICK, slot, ScheduledEvent::Tick { run });
            }
            ScheduledEvent::Synced { run, serial } if run == self.nodes[slot].run => {
                self.sync(slot, serial);
                self.step(slot, Input::Stored { serial });
            }
            ScheduledEvent::Received { from, message } => {
                let message = *message;
                self.step(slot, Input::MessageReceived { from, message });
            }
            ScheduledEvent::Tick { .. } | ScheduledEvent::Synced { .. } => {}
        }
    }

    fn sync(&mut self, slot: usize, serial: u64) {
        let node = &mut self.nodes[slot];
        let is_synced = |(stored_serial, _): &mut (u64, Vec<u8>)| *stored_serial <= serial;
        while let Some((_, record)) = node.unsynced.pop_front_if(is_synced) {
            node.disk.push(record);
        }
    }

    fn step(&mut self, slot: usize, input: Input) {
        let now = self.now;
        let Some(control_node) = &mut self.nodes[slot].control_node else {
            return;
        };
        let outputs = control_node.handle(now, input);
        let from = control_node.local_peer();
        let run = self.nodes[slot].run;
        for output in outputs {
            match output {
                Output::Send { to, message } => self.deliver(slot, from, to, message),
                Output::Store { serial, record } | Output::StoreSnapshot { serial, record } => {
                    self.nodes[slot].unsynced.push_back((serial, record));
                    self.push(
                        now + SYNC_LATENCY,
                        slot,
                        ScheduledEvent::Synced { run, serial },
                    );
                }
                Output::OperatorResponse {
                    id,
                    response: OperatorResponse::ChangeOutcome(outcome),
                } => {
                    self.outcomes.insert(id, outcome);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, slot: usize, from: Peer, to: SocketAddr, message: Message) {
        let Some(to) = (0..SLOTS).find(|slot| address(*slot) == to) else {
            return;
        };
        let is_blocked =
            to != slot && (self.isolated.contains(&slot) || self.isolated.contains(&to));
        let is_lost = self.replies_lost && matches!(message, Message::ChangeReply(_));
        if is_blocked || is_lost {
            return;
        }
        let message = Box::new(message);
        let event = ScheduledEvent::Received { from, message };
        self.push(self.now + MESSAGE_LATENCY, to, event);
    }
}
