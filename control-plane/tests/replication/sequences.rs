//! Random sequences of operations and faults over `ControlNode`, `PartitionLeader` and `Replica`; proptest shrinks a
//! failing sequence.

use crate::model::node::{Node, address};
use control_plane::prelude::*;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::TestCaseError;
use segment_log::SegmentLog;

/// A ledger partition, and one that is shown to edges.
const PARTITIONS: [u8; 2] = [PUBLISHED_PARTITIONS, PURGES_PARTITION];

fn row(version: u64) -> (String, Row) {
    let value = Value::Opened {
        generation: version,
    };
    (format!("row-{}", version % 4), Row { version, value })
}

fn partition() -> impl Strategy<Value = u8> {
    prop::sample::select(PARTITIONS.to_vec())
}

fn prepare() -> impl Strategy<Value = Message> {
    (partition(), 0u64..40).prop_map(|(partition, epoch)| {
        let request = PrepareRequest {
            partition,
            epoch,
            membership_version: 0,
            requester_state: StateId::default(),
        };
        request.into()
    })
}

fn append() -> impl Strategy<Value = Message> {
    let versions = (0u64..6, 0u64..6, 0u64..6);
    (partition(), 0u64..40, versions, any::<bool>()).prop_map(
        |(partition, epoch, (one, other, published), full_state)| {
            let (from, to) = (if full_state { 0 } else { one.min(other) }, one.max(other));
            let request = AppendRequest {
                partition,
                epoch,
                membership_version: 0,
                round: to,
                full_state,
                after_version: from,
                to_version: to,
                rows: (from + 1..=to).map(row).collect(),
                removed_keys: vec![],
                published: published.min(to),
                base: None,
            };
            request.into()
        },
    )
}

fn snapshot() -> impl Strategy<Value = Message> {
    (0u8..2).prop_map(|round| {
        let request = SnapshotRequest {
            slot: 1,
            round,
            membership_version: 0,
        };
        request.into()
    })
}

/// Generates requests of two other members to slot 0.
fn request() -> impl Strategy<Value = (u16, Message)> {
    (
        1u16..3,
        prop_oneof![2 => prepare(), 5 => append(), 1 => snapshot()],
    )
}

fn members() -> Vec<Peer> {
    (0..3).map(|node| Peer::new(address(node), 0)).collect()
}

fn full_replica() -> Replica {
    Replica {
        full: true,
        ..Replica::blank(1)
    }
}

fn member(replica: Replica) -> ControlNode {
    let seeds = (0..3).map(address).collect();
    ControlNode::new(address(0), seeds, replica, false, None, 1)
}

fn received(from: u16, message: Message) -> Input {
    let from = Peer::new(address(from.into()), u64::from(from) + 1);
    Input::MessageReceived { from, message }
}

/// Handles an input with all records synced at once. Returns the messages sent.
fn step_synced(control_node: &mut ControlNode, input: Input) -> Vec<Message> {
    let mut inputs = VecDeque::from([input]);
    let mut messages = Vec::new();
    while let Some(input) = inputs.pop_front() {
        for output in control_node.handle(Duration::from_secs(1), input) {
            match output {
                Output::Send { message, .. } => messages.push(message),
                Output::Store { serial, .. } => inputs.push_back(Input::Stored { serial }),
                _ => {}
            }
        }
    }
    messages
}

/// Returns the message without the parts that the model omits, or none if it omits the message.
fn comparable(message: Message) -> Option<Message> {
    match message {
        Message::StaleEpoch(_) => None,
        Message::AppendReply(mut reply) => {
            reply.sessions_confirmed = None;
            Some(reply.into())
        }
        Message::SnapshotReply(mut reply) => {
            reply
                .partitions
                .truncate(usize::from(PUBLISHED_PARTITIONS) + 1);
            Some(reply.into())
        }
        other => Some(other),
    }
}

/// Returns true if a replica holds what a reply acknowledged.
fn holds(replica: &Replica, reply: &Message) -> bool {
    match reply {
        Message::PrepareReply(reply) => {
            replica.partition(reply.partition).promised_epoch >= reply.epoch
        }
        Message::AppendReply(reply) => {
            let state = &replica.partition(reply.partition).state;
            (state.epoch, state.version) >= (reply.epoch, reply.synced_version)
                || state.epoch > reply.epoch
        }
        _ => true,
    }
}

/// Appends and syncs each record to a log in a new folder, and truncates the last record. Returns the records read
/// back, which must include all synced before it.
fn torn_log(records: &[Vec<u8>], cut_bytes: usize) -> Vec<Vec<u8>> {
    static FOLDERS: AtomicU64 = AtomicU64::new(0);
    let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
    let name = format!("replication-sequences-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let mut log = SegmentLog::open(&folder).unwrap().log;
    for record in records {
        log.append(record).unwrap();
        log.sync().unwrap();
    }
    drop(log);
    let files = std::fs::read_dir(&folder).unwrap();
    let segment = files
        .map(|file| file.unwrap().path())
        .filter(|path| {
            path.file_name()
                .unwrap()
                .to_str()
                .unwrap()
                .starts_with("segment-")
        })
        .max()
        .unwrap();
    let length = std::fs::metadata(&segment).unwrap().len();
    let last = records.last().map_or(0, Vec::len) as u64;
    let file = std::fs::File::options().write(true).open(&segment).unwrap();
    file.set_len(length - 1 - cut_bytes as u64 % last.max(1))
        .unwrap();
    let read = SegmentLog::open(&folder).unwrap().records;
    std::fs::remove_dir_all(&folder).unwrap();
    read
}

/// A leader, the replicas of the three slots, and the network between them.
struct LeaderAndReplicas {
    leader: PartitionLeader,
    replicas: Vec<Node>,
    network: Vec<(u8, Message)>,
    now: Duration,
    /// Rows of the leader, by version.
    states: BTreeMap<u64, BTreeMap<String, Row>>,
}

/// Action between a leader and its replicas.
#[derive(Debug, Clone)]
enum Step {
    Put(u64),
    Drop(u64),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0u64..4).prop_map(Step::Put),
        1 => (0u64..4).prop_map(Step::Drop),
        8 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Duplicate),
        2 => any::<usize>().prop_map(Step::Lose),
        2 => prop::strategy::Just(Step::Tick),
    ]
}

/// Epoch of the leader.
const EPOCH: u64 = 16;

impl LeaderAndReplicas {
    fn new(partition: u8) -> LeaderAndReplicas {
        let mut cluster = LeaderAndReplicas {
            leader: PartitionLeader::new(partition, EPOCH, 3, 0),
            replicas: (0..3)
                .map(|node| Node::member(node, members(), None))
                .collect(),
            network: vec![],
            now: Duration::ZERO,
            states: BTreeMap::new(),
        };
        for slot in 0..2 {
            let empty = PreparedState::Newer(PartitionState::default());
            cluster.leader.on_prepare_reply(cluster.now, slot, empty);
        }
        cluster.flush(true);
        cluster
    }

    fn flush(&mut self, tick: bool) {
        let state = self.leader.rows.clone();
        self.states.insert(self.leader.version, state);
        self.network
            .extend(self.leader.due_messages(self.now, tick));
    }

    fn apply(&mut self, step: &Step) {
        let at = |index: &usize| index % self.network.len().max(1);
        match step {
            Step::Put(key) => {
                let value = Value::Opened {
                    generation: self.leader.version,
                };
                self.leader.put(format!("row-{key}"), value);
            }
            Step::Drop(key) => self.leader.remove_row(&format!("row-{key}")),
            Step::Tick => self.now += Duration::from_secs(2),
            _ if self.network.is_empty() => {}
            Step::Lose(index) => drop(self.network.remove(at(index))),
            Step::Deliver(index) => {
                let (slot, message) = self.network.remove(at(index));
                self.deliver(slot, message);
            }
            Step::Duplicate(index) => {
                let (slot, message) = self.network[at(index)].clone();
                self.deliver(slot, message);
            }
        }
        self.flush(matches!(step, Step::Tick));
    }

    fn deliver(&mut self, slot: u8, message: Message) {
        match message {
            Message::AppendRequest(_) => {
                let leader = Peer::new(address(0), 1);
                let replies = self.replicas[usize::from(slot)].receive(leader, message);
                let replies = replies.into_iter().map(|reply| (slot, reply.message));
                self.network.extend(replies);
            }
            Message::AppendReply(reply) => self.leader.on_append_reply(slot, &reply),
            Message::AppendGap(_) => self.leader.reset_replica(slot),
            other => panic!("{}", other.name()),
        }
    }

    /// Delivers all messages until nothing is left to send.
    fn heal(&mut self) {
        for _ in 0..6 {
            self.apply(&Step::Tick);
            while !self.network.is_empty() {
                self.apply(&Step::Deliver(0));
            }
        }
    }

    /// Checks that every replica equals the leader's state of some version, and that a majority holds the version that
    /// the leader counts as committed.
    fn check(&self) -> Result<(), TestCaseError> {
        let partition = self.leader.partition;
        let holding = self.replicas.iter().filter(|node| {
            let state = &node.replica.partition(partition).state;
            state.epoch == EPOCH && state.version >= self.leader.committed()
        });
        let committed = self.leader.committed();
        prop_assert!(
            committed == 0 || holding.count() >= 2,
            "{committed} is lost"
        );
        for node in &self.replicas {
            let replica_partition = node.replica.partition(partition);
            if replica_partition.state.epoch == EPOCH {
                let known = self.states.get(&replica_partition.state.version);
                prop_assert_eq!(Some(&replica_partition.state.rows), known);
            }
            if partition < PUBLISHED_PARTITIONS && replica_partition.state.published > 0 {
                prop_assert!(replica_partition.state.published <= self.leader.committed());
            }
        }
        Ok(())
    }
}

proptest! {
    /// The log replayed at any synced prefix yields the state on which replies were based, including after a snapshot
    /// replaced the records before it.
    #[test]
    fn synced_log_prefix_contains_replied_state(
        requests in prop::collection::vec(request(), 1..40),
        snapshot_at in any::<prop::sample::Index>(),
    ) {
        let mut control_node = member(full_replica());
        let mut replica = full_replica();
        let start = Record::Snapshot(Box::new(replica.clone()));
        let mut log = vec![bincode::serialize(&start).unwrap()];
        let snapshot_at = snapshot_at.index(requests.len());
        for (at, (from, message)) in requests.into_iter().enumerate() {
            let outputs = control_node.handle(Duration::from_secs(1), received(from, message));
            let mut last = None;
            for output in outputs {
                if let Output::Store { serial, record } = output {
                    replica.apply(&bincode::deserialize(&record).unwrap());
                    log.push(record);
                    let read = Replica::replay(&log).unwrap();
                    prop_assert_eq!(read.as_ref(), Some(&replica));
                    last = Some(serial);
                }
            }
            if at == snapshot_at {
                let snapshot = Record::Snapshot(Box::new(replica.clone()));
                log = vec![bincode::serialize(&snapshot).unwrap()];
            }
            let Some(serial) = last else { continue };
            for output in control_node.handle(Duration::from_secs(1), Input::Stored { serial }) {
                if let Output::Send { message, .. } = output {
                    prop_assert!(holds(&replica, &message), "{message:?}");
                }
            }
        }
    }

    /// A last record that is truncated at any byte loses that record only.
    #[test]
    fn torn_last_record_restores_previous_state(
        requests in prop::collection::vec(request(), 1..12),
        cut_bytes in any::<usize>(),
    ) {
        let mut control_node = member(full_replica());
        let first = bincode::serialize(&Record::Snapshot(Box::new(full_replica()))).unwrap();
        let mut log = vec![first.clone()];
        for (from, message) in requests {
            for output in control_node.handle(Duration::from_secs(1), received(from, message)) {
                if let Output::Store { record, .. } = output {
                    log.push(record);
                }
            }
        }
        let read = torn_log(&log, cut_bytes);
        prop_assert_eq!(&read, &log[..log.len() - 1]);
        let before = Replica::replay(&log[..log.len() - 1]).unwrap();
        prop_assert_eq!(Replica::replay(&read).unwrap(), before);
    }

    /// Appends arrive in any order, lost and duplicated: each replica equals the leader's state of some version, and
    /// catching up by deltas ends in the full state.
    #[test]
    fn reordered_appends_yield_complete_states(
        partition in partition(),
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut cluster = LeaderAndReplicas::new(partition);
        for step in &steps {
            cluster.apply(step);
            cluster.check()?;
        }
        cluster.heal();
        cluster.check()?;
        prop_assert_eq!(cluster.leader.committed(), cluster.leader.version);
        for node in &cluster.replicas {
            prop_assert_eq!(&node.replica.partition(partition).state.rows, &cluster.leader.rows);
        }
    }

    /// Membership tables arrive in any order and duplicated: the newest one remains in use, even after a restart with
    /// the stored records.
    #[test]
    fn newest_membership_table_wins(
        versions in prop::collection::vec(0u64..8, 1..12),
    ) {
        let mut control_node = member(full_replica());
        let mut replica = full_replica();
        let mut newest = 0;
        for version in versions {
            newest = newest.max(version);
            // Each version assigns slot 1 to another address.
            let mut members = members();
            members[1] = Peer::new(address(10 + version as usize), 50 + version);
            let table = MembershipTable { version, members };
            for output in control_node.handle(Duration::from_secs(1), received(2, table.into())) {
                if let Output::Store { serial, record } = output {
                    replica.apply(&bincode::deserialize(&record).unwrap());
                    control_node.handle(Duration::from_secs(1), Input::Stored { serial });
                }
            }
            let mut restarted = member(replica.clone());
            for control_node in [&mut control_node, &mut restarted] {
                let join_request = received(2, JoinRequest { founding: false }.into());
                let messages = step_synced(control_node, join_request);
                let known = messages.iter().find_map(|message| match message {
                    Message::MembershipTable(table) => Some(table.version),
                    _ => None,
                });
                prop_assert_eq!(known, Some(newest));
            }
        }
    }

    /// The model of the exhaustive search replies like `ControlNode`.
    #[test]
    fn model_replies_match_control_node(
        requests in prop::collection::vec(request(), 1..40),
    ) {
        let mut control_node = member(full_replica());
        let mut node = Node::member(0, members(), None);
        for (from, message) in requests {
            let messages = step_synced(&mut control_node, received(from, message.clone()));
            let messages: Vec<Message> = messages.into_iter().filter_map(comparable).collect();
            let peer = Peer::new(address(from.into()), u64::from(from) + 1);
            let model_messages = node.receive(peer, message).into_iter();
            let model_messages: Vec<Message> = model_messages
                .filter_map(|envelope| comparable(envelope.message))
                .collect();
            prop_assert_eq!(messages, model_messages);
        }
    }
}
