//! The cluster: nodes, messages in flight, acknowledged rows, the actions that may come next, and the invariants.

use super::fingerprint::{Hashed, fingerprint};
use super::node::{Envelope, Node, address, node_at};
use super::safeguard::Safeguard;
use control_plane::prelude::*;

/// Action that may be applied next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The message with this fingerprint arrives. A message that is never delivered is lost.
    Deliver(u64),
    Elect {
        node: usize,
        partition: u8,
    },
    Write {
        node: usize,
        partition: u8,
    },
    Read {
        node: usize,
        partition: u8,
    },
    Crash {
        node: usize,
    },
    Wipe {
        node: usize,
    },
    /// The leader of the membership table assigns slot 1 to the joiner.
    Replace {
        node: usize,
    },
    /// The joiner receives the new table from this node.
    JoinTable {
        from: usize,
    },
    /// The lowest survivor assigns the slots of two lost members to the joiners.
    Succeed {
        node: usize,
    },
    /// Time passes at this node: it retries messages without a reply.
    Retry {
        node: usize,
    },
}

/// Remaining number of actions of each kind, with their nodes.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    /// Node and partition of each remaining election.
    pub elections: Vec<(usize, u8)>,
    pub writes: Vec<(usize, u8)>,
    pub reads: Vec<(usize, u8)>,
    pub crashes: Vec<usize>,
    pub wipes: Vec<usize>,
    pub replacements: Vec<usize>,
    pub successions: Vec<usize>,
    pub retries: Vec<usize>,
}

/// Row that was acknowledged, or shown to edges.
#[derive(Debug, Clone, PartialEq)]
struct AcknowledgedRow {
    /// Lowest epoch under which it was acknowledged.
    epoch: u64,
    row: Row,
}

/// Rows acknowledged to clients, by partition and key.
#[derive(Debug, Clone, Default)]
struct Acknowledged {
    rows: BTreeMap<(u8, String), AcknowledgedRow>,
}

/// State of the model: nodes, messages in flight, acknowledged rows and the remaining actions.
#[derive(Clone)]
pub struct Cluster {
    nodes: Vec<Hashed<Node>>,
    network: BTreeMap<u64, Arc<Envelope>>,
    acknowledged: Hashed<Acknowledged>,
    budget: Hashed<Budget>,
    /// Pairs of nodes between which no message is delivered.
    blocked_links: Arc<BTreeSet<(usize, usize)>>,
    /// Description of the violated invariant, if one is violated.
    pub violation: Option<String>,
}

/// Slot that is assigned to the joiner.
const REPLACED_SLOT: usize = 1;
/// Slots whose members are lost for good in a succession.
const LOST_SLOTS: [usize; 2] = [2, 3];
/// Offset of the incarnations of wiped disks, above those of the first disks.
const WIPED_INCARNATION: u64 = 100;

impl Cluster {
    /// Creates this number of members with full, empty disks, and one joiner with a blank disk.
    pub fn new(slots: usize, disabled: Option<Safeguard>) -> Cluster {
        let members: Vec<Peer> = (0..slots).map(|node| Peer::new(address(node), 0)).collect();
        let mut nodes: Vec<Hashed<Node>> = (0..slots)
            .map(|node| Hashed::new(Node::member(node, members.clone(), disabled)))
            .collect();
        nodes.push(Hashed::new(Node::joiner(slots, disabled)));
        Cluster {
            nodes,
            network: BTreeMap::new(),
            acknowledged: Hashed::new(Acknowledged::default()),
            budget: Hashed::new(Budget::default()),
            blocked_links: Arc::default(),
            violation: None,
        }
    }

    /// Creates four members, of which two may be lost for good, and two joiners.
    pub fn of_four_with_two_joiners(disabled: Option<Safeguard>) -> Cluster {
        let mut cluster = Cluster::new(4, disabled);
        cluster.nodes.push(Hashed::new(Node::joiner(5, disabled)));
        cluster
    }

    fn joiner(&self) -> usize {
        self.nodes.len() - 1
    }

    /// Lets all members know each other's disks.
    pub fn with_known_members(mut self) -> Cluster {
        let joiner = self.joiner();
        for node in &mut self.nodes[..joiner] {
            node.update(Node::with_known_members);
        }
        self
    }

    /// Runs these elections, with all messages delivered.
    pub fn established(mut self, leaders: &[(usize, u8)]) -> Cluster {
        for (node, partition) in leaders {
            self.run(*node, |node| node.elect(*partition));
            self.deliver_all(&|_, _| true);
        }
        self
    }

    /// Runs an election until this node has its promises; the appends of the adopted state are still in flight.
    pub fn promised(mut self, leader: usize, partition: u8) -> Cluster {
        self.run(leader, |node| node.elect(partition));
        while !self.nodes[leader].is_active(partition) {
            let next = self.network.iter().find(|(_, envelope)| {
                let prepares = matches!(
                    envelope.message,
                    Message::PrepareRequest(_) | Message::PrepareReply(_)
                );
                prepares && node_at(envelope.to) <= 1 && node_at(envelope.from.address) <= 1
            });
            let key = next.map(|(key, _)| *key);
            self.apply(Action::Deliver(key.expect("promises are requested")));
        }
        self
    }

    /// Runs this election, of which one node receives no message.
    pub fn established_without(mut self, leader: (usize, u8), absent: usize) -> Cluster {
        self.run(leader.0, |node| node.elect(leader.1));
        self.deliver_all(&|from, to| from != absent && to != absent);
        self
    }

    /// Writes a row as this node, which leads the partition; the row reaches these disks only.
    pub fn written(mut self, node: usize, partition: u8, reached: &[usize]) -> Cluster {
        self = self.with(Budget {
            writes: vec![(node, partition)],
            ..Budget::default()
        });
        self.apply(Action::Write { node, partition });
        self.deliver_all(&|_, to| to == node || reached.contains(&to));
        self
    }

    /// Assigns the joiner its slot by a table that all but these nodes receive; the joiner is not recovered yet.
    pub fn replaced(mut self, leader: usize, unaware: &[usize]) -> Cluster {
        self = self.with(Budget {
            replacements: vec![leader],
            ..Budget::default()
        });
        self.apply(Action::Replace { node: leader });
        self.deliver_all(&|_, to| !unaware.contains(&to));
        self.apply(Action::JoinTable { from: leader });
        self
    }

    /// Assigns the lost members' slots to the joiners by this survivor, and recovers the joiners; the lost members
    /// receive no message.
    pub fn succeeded(mut self, survivor: usize) -> Cluster {
        self = self.with(Budget {
            successions: vec![survivor],
            ..Budget::default()
        });
        self.apply(Action::Succeed { node: survivor });
        let arrives =
            |from: usize, to: usize| !LOST_SLOTS.contains(&from) && !LOST_SLOTS.contains(&to);
        self.deliver_all(&arrives);
        for joiner in self.nodes.len() - LOST_SLOTS.len()..self.nodes.len() {
            // A survivor may have received the first request before the table.
            self.run(joiner, Node::retry);
            self.deliver_all(&arrives);
            assert!(
                self.nodes[joiner].can_vote(),
                "joiner {joiner} is not recovered"
            );
        }
        self
    }

    /// Blocks messages between these pairs of nodes.
    pub fn with_blocked_links(mut self, blocked_links: &[(usize, usize)]) -> Cluster {
        let both = blocked_links
            .iter()
            .flat_map(|(one, other)| [(*one, *other), (*other, *one)]);
        self.blocked_links = Arc::new(both.collect());
        self
    }

    /// Delivers messages selected by sender and receiver, until none of them is left; the rest is lost.
    fn deliver_all(&mut self, arrives: &dyn Fn(usize, usize) -> bool) {
        loop {
            let next = self.network.iter().find(|(_, envelope)| {
                arrives(node_at(envelope.from.address), node_at(envelope.to))
            });
            let Some(key) = next.map(|(key, _)| *key) else {
                break;
            };
            self.apply(Action::Deliver(key));
        }
        self.network.clear();
    }

    /// Sets the actions that may be applied.
    pub fn with(mut self, budget: Budget) -> Cluster {
        self.budget = Hashed::new(budget);
        self
    }

    /// Returns the fingerprint of the state, by which the search recognizes visited states.
    pub fn fingerprint(&self) -> u64 {
        let nodes: Vec<u64> = self.nodes.iter().map(|node| node.fingerprint).collect();
        let messages: Vec<u64> = self.network.keys().copied().collect();
        fingerprint(&(
            nodes,
            messages,
            self.acknowledged.fingerprint,
            self.budget.fingerprint,
            &self.violation,
        ))
    }

    /// Returns a line that describes an action.
    pub fn describe(&self, action: Action) -> String {
        match action {
            Action::Deliver(key) => {
                let Envelope { from, to, message } = &*self.network[&key];
                format!("{from} -> {}: {message:?}", to.port())
            }
            other => format!("{other:?}"),
        }
    }

    /// Returns all actions that may be applied in this state.
    pub fn actions(&self) -> Vec<Action> {
        let mut actions: Vec<Action> = self.network.keys().copied().map(Action::Deliver).collect();
        let budget = &*self.budget;
        for (node, partition) in distinct(&budget.elections) {
            let leads = self.nodes[node].leaders.contains_key(&partition);
            if self.nodes[node].can_vote() && !leads {
                actions.push(Action::Elect { node, partition });
            }
        }
        for (node, partition) in distinct(&budget.writes) {
            if self.leads(node, partition) {
                actions.push(Action::Write { node, partition });
            }
        }
        for (node, partition) in distinct(&budget.reads) {
            if self.leads(node, partition) {
                actions.push(Action::Read { node, partition });
            }
        }
        let crashes = distinct(&budget.crashes).into_iter();
        actions.extend(crashes.map(|node| Action::Crash { node }));
        for node in distinct(&budget.wipes) {
            if self.others_are_full(node) {
                actions.push(Action::Wipe { node });
            }
        }
        for node in distinct(&budget.replacements) {
            if self.leads(node, MEMBERSHIP_PARTITION) {
                actions.push(Action::Replace { node });
            }
        }
        if self.nodes[self.joiner()].members.is_empty() {
            let knows = |node: &usize| self.nodes[*node].membership_version > 0;
            actions.extend(
                (0..self.joiner())
                    .filter(knows)
                    .map(|from| Action::JoinTable { from }),
            );
        }
        for node in distinct(&budget.successions) {
            if self.nodes[node].can_vote() {
                actions.push(Action::Succeed { node });
            }
        }
        let retries = distinct(&budget.retries).into_iter();
        actions.extend(retries.map(|node| Action::Retry { node }));
        actions
    }

    fn leads(&self, node: usize, partition: u8) -> bool {
        let node = &self.nodes[node];
        let leader = node.leaders.get(&partition);
        node.can_vote() && leader.is_some_and(|leader| node.can_serve(leader))
    }

    /// Returns true if all other members' disks are full: of three disks, one may be wiped at a time.
    fn others_are_full(&self, node: usize) -> bool {
        (0..self.joiner()).all(|other| other == node || self.nodes[other].replica.full)
    }

    /// Applies an action and checks the invariants.
    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Deliver(key) => self.deliver(key),
            Action::Elect { node, partition } => {
                self.consume(|budget| &mut budget.elections, (node, partition));
                self.run(node, |node| node.elect(partition));
            }
            Action::Write { node, partition } => self.write(node, partition),
            Action::Read { node, partition } => {
                self.consume(|budget| &mut budget.reads, (node, partition));
                let required = self.acknowledged_keys(partition);
                self.run(node, |node| node.read(partition, required));
            }
            Action::Crash { node } => {
                self.consume(|budget| &mut budget.crashes, node);
                self.drop_messages_to_itself(node);
                self.run(node, Node::crash);
            }
            Action::Wipe { node } => {
                self.consume(|budget| &mut budget.wipes, node);
                self.drop_messages_to_itself(node);
                let incarnation = WIPED_INCARNATION + self.nodes[node].replica.incarnation;
                self.run(node, |node| node.wipe(incarnation));
            }
            Action::Replace { node } => {
                self.consume(|budget| &mut budget.replacements, node);
                let mut members = self.nodes[node].members.clone();
                members[REPLACED_SLOT] = self.nodes[self.joiner()].local_peer();
                self.run(node, |node| {
                    node.write(
                        MEMBERSHIP_PARTITION,
                        "places".into(),
                        Value::Members(members),
                    )
                });
            }
            Action::JoinTable { from } => {
                let (version, members) = {
                    let source = &self.nodes[from];
                    (source.membership_version, source.members.clone())
                };
                self.run(self.joiner(), |node| node.join_table(version, members));
            }
            Action::Succeed { node } => {
                self.consume(|budget| &mut budget.successions, node);
                let mut members = self.nodes[node].members.clone();
                let joiners = self.nodes.len() - LOST_SLOTS.len();
                for (at, slot) in LOST_SLOTS.into_iter().enumerate() {
                    members[slot] = self.nodes[joiners + at].local_peer();
                }
                self.run(node, |node| node.succeed(members));
            }
            Action::Retry { node } => {
                self.consume(|budget| &mut budget.retries, node);
                self.run(node, Node::retry);
            }
        }
        self.check_invariants();
    }

    fn consume<T: PartialEq>(&mut self, list_of: fn(&mut Budget) -> &mut Vec<T>, entry: T) {
        self.budget.update(|budget| {
            let list = list_of(budget);
            let at = list.iter().position(|known| *known == entry);
            list.remove(at.expect("the action is in the budget"));
        });
    }

    /// Writes a row with a unique key and value.
    fn write(&mut self, node: usize, partition: u8) {
        let number = self.budget.writes.len() as u64;
        self.consume(|budget| &mut budget.writes, (node, partition));
        let value = Value::Opened { generation: number };
        self.run(node, |node| {
            node.write(partition, format!("row-{number}"), value)
        });
    }

    fn deliver(&mut self, key: u64) {
        let envelope = self.network.remove(&key).expect("the message is in flight");
        let Envelope { from, to, message } = (*envelope).clone();
        self.run(node_at(to), |node| node.receive(from, message));
    }

    fn run(&mut self, node: usize, step: impl FnOnce(&mut Node) -> Vec<Envelope>) {
        let sent = self.nodes[node].update(step);
        for envelope in sent {
            let to = node_at(envelope.to);
            if self.blocked_links.contains(&(node, to)) {
                continue;
            }
            self.network
                .insert(fingerprint(&envelope), Arc::new(envelope));
        }
        let nodes = &self.nodes;
        self.network
            .retain(|_, envelope| nodes[node_at(envelope.to)].accepts(&envelope.message));
    }

    /// Drops the messages that a process sent to itself, which are lost with it.
    fn drop_messages_to_itself(&mut self, node: usize) {
        let own_address = self.nodes[node].address;
        self.network.retain(|_, envelope| {
            envelope.to != own_address || envelope.from.address != own_address
        });
    }

    fn acknowledged_keys(&self, partition: u8) -> BTreeSet<String> {
        let rows = self.acknowledged.rows.keys();
        rows.filter(|(of, _)| *of == partition)
            .map(|(_, key)| key.clone())
            .collect()
    }

    /// Records acknowledged rows and checks the invariants.
    fn check_invariants(&mut self) {
        self.record_acknowledged();
        self.check_reads();
        self.check_replica_states();
        self.check_published_rows();
        self.check_leaders();
    }

    fn record_acknowledged(&mut self) {
        let mut newly_acknowledged = Vec::new();
        for node in self.nodes.iter().filter(|node| node.can_vote()) {
            for leader in node
                .leaders
                .values()
                .filter(|leader| node.can_serve(leader))
            {
                let committed = if leader.is_ready() {
                    leader.committed()
                } else {
                    leader.version
                };
                for (key, row) in &leader.rows {
                    let known = self.acknowledged.rows.get(&(leader.partition, key.clone()));
                    let is_committed = row.version <= committed;
                    if is_committed && known.is_none_or(|known| known.epoch > leader.epoch) {
                        newly_acknowledged.push((
                            leader.partition,
                            leader.epoch,
                            key.clone(),
                            row.clone(),
                        ));
                    }
                }
            }
        }
        for (partition, epoch, key, row) in newly_acknowledged {
            self.acknowledge(partition, epoch, key, row);
        }
    }

    /// Records an acknowledged row. Invariant: two rows are never acknowledged under one version of a partition.
    fn acknowledge(&mut self, partition: u8, epoch: u64, key: String, row: Row) {
        let other = self.acknowledged.rows.iter().find(|((of, name), known)| {
            *of == partition && known.row.version == row.version && *name != key
        });
        if let Some(((_, name), known)) = other {
            self.violation = Some(format!(
                "{key} (epoch {epoch}) and {name} (epoch {}) are acknowledged under version {}",
                known.epoch, row.version
            ));
        }
        self.acknowledged.update(|acknowledged| {
            acknowledged
                .rows
                .insert((partition, key), AcknowledgedRow { epoch, row })
        });
    }

    /// Checks that a read includes the rows acknowledged before it began.
    fn check_reads(&mut self) {
        for node in &mut self.nodes {
            if node.reads.is_empty() {
                continue;
            }
            let finished = node.update(Node::finished_reads);
            for read in finished {
                if !read.required.is_subset(&read.keys) {
                    let text = format!(
                        "a read at {} returns {:?} and lacks some of {:?}",
                        node.address.port(),
                        read.keys,
                        read.required
                    );
                    self.violation = Some(text);
                }
            }
        }
    }

    /// Checks that two disks with the same epoch and version of a partition hold the same rows.
    fn check_replica_states(&mut self) {
        let full = || self.nodes.iter().filter(|node| node.replica.full);
        for (one, other) in full().flat_map(|one| full().map(move |other| (one, other))) {
            for (left, right) in one.replica.partitions.iter().zip(&other.replica.partitions) {
                let (left, right) = (&left.state, &right.state);
                let same_version = (left.epoch, left.version) == (right.epoch, right.version);
                if same_version && left.rows != right.rows {
                    let text = format!(
                        "epoch {} version {} holds other rows at {} than at {}",
                        left.epoch,
                        left.version,
                        one.address.port(),
                        other.address.port()
                    );
                    self.violation = Some(text);
                }
            }
        }
    }

    /// Checks that edges are shown acknowledged rows only.
    fn check_published_rows(&mut self) {
        for node in &self.nodes {
            for (partition, replica_partition) in node.replica.partitions.iter().enumerate() {
                for (key, row) in &replica_partition.published_rows {
                    let known = self
                        .acknowledged
                        .rows
                        .get(&(partition as u8, key.clone()))
                        .is_some_and(|known| known.row == *row);
                    if !known {
                        let port = node.address.port();
                        self.violation =
                            Some(format!("{port} shows {key}, which was not acknowledged"));
                    }
                }
            }
        }
    }

    /// Checks that every later leader that serves holds the acknowledged rows.
    fn check_leaders(&mut self) {
        for node in self.nodes.iter().filter(|node| node.can_vote()) {
            for leader in node
                .leaders
                .values()
                .filter(|leader| node.can_serve(leader))
            {
                for ((partition, key), known) in &self.acknowledged.rows {
                    let later = leader.partition == *partition && leader.epoch >= known.epoch;
                    if later && leader.rows.get(key) != Some(&known.row) {
                        let text = format!(
                            "{key}, acknowledged under epoch {}, is lost with the leader of epoch {} at {}",
                            known.epoch,
                            leader.epoch,
                            node.address.port()
                        );
                        self.violation = Some(text);
                    }
                }
            }
        }
    }
}

fn distinct<T: std::marker::Copy + Ord>(list: &[T]) -> Vec<T> {
    let set: BTreeSet<T> = list.iter().copied().collect();
    set.into_iter().collect()
}
