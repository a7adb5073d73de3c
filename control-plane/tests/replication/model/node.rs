//! One control node of the model: the production `Replica`, `PartitionLeader` and `ReplicaRecovery`, combined as in
//! `ControlNode`.
//!
//! The model omits the following, since safety must not depend on it: heartbeats, the choice of the leader by weight
//! (any node may be a candidate at any time), notices of a stale epoch (a leader that does not know that it was
//! superseded is the more dangerous one), edges and sessions.

use super::safeguard::Safeguard;
use control_plane::prelude::*;

/// Message in flight.
#[derive(Debug, Clone)]
pub struct Envelope {
    pub from: Peer,
    pub to: SocketAddr,
    pub message: Message,
}

/// Read that waits for its round to be confirmed.
#[derive(Debug, Clone)]
pub struct PendingRead {
    pub partition: u8,
    pub epoch: u64,
    pub round: u64,
    /// Version that must be committed before the read is finished.
    pub commit: u64,
    /// Keys in the result.
    pub keys: BTreeSet<String>,
    /// Keys acknowledged before the read began.
    pub required: BTreeSet<String>,
}

/// One control node of the model.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub replica: Replica,
    /// State that a crash leaves, if it is behind `replica`; set only with the safeguard `ReplyAfterSync` disabled.
    disk: Option<Replica>,
    pub membership_version: u64,
    pub members: Vec<Peer>,
    /// Members of the previous table, if they are still accepted: only with a safeguard disabled.
    earlier_members: Vec<Peer>,
    /// Last known incarnations of disks, by slot.
    incarnations: BTreeMap<u8, u64>,
    retired: VecDeque<u64>,
    pub leaders: BTreeMap<u8, PartitionLeader>,
    pub recovery: Option<ReplicaRecovery>,
    /// Replies of the first recovery round; used only with the safeguard `SecondRecoveryRound` disabled.
    first_replies: Vec<SnapshotReply>,
    pub reads: Vec<PendingRead>,
    now: Duration,
    /// True if the node was assigned its slot by a table after the first.
    joined: bool,
    disabled: Option<Safeguard>,
}

/// Time that passes on a retry; longer than every retry interval in production.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Number of partitions of a model replica: up to the first ledger partition.
const PARTITIONS: usize = PUBLISHED_PARTITIONS as usize + 1;

/// Contains everything that determines the node's behaviour, since states are distinguished by this text; unused
/// partitions are left out.
impl fmt::Debug for Node {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let replicas: Vec<_> = std::iter::once(&self.replica)
            .chain(&self.disk)
            .map(|replica| {
                let used = replica.partitions.iter().enumerate();
                let used: Vec<_> = used
                    .filter(|(_, stored)| **stored != ReplicaPartition::default())
                    .collect();
                (
                    (replica.incarnation, replica.full, replica.removed),
                    (&replica.known_table, &replica.retired),
                    used,
                )
            })
            .collect();
        let membership = (self.membership_version, &self.members, self.joined);
        let volatile = (&self.incarnations, &self.retired, &self.leaders, self.now);
        let waiting = (&self.recovery, &self.first_replies, &self.reads);
        write!(out, "{replicas:?}{membership:?}{volatile:?}{waiting:?}")
    }
}

/// Port of node 0.
const FIRST_PORT: u16 = 100;

/// Returns the address of a node.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

/// Returns the node that listens at an address.
pub fn node_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

fn empty_replica(incarnation: u64) -> Replica {
    let mut replica = Replica::blank(incarnation);
    replica.partitions.truncate(PARTITIONS);
    replica
}

impl Node {
    /// Creates a member of the first table, with a full disk.
    pub fn member(node: usize, members: Vec<Peer>, disabled: Option<Safeguard>) -> Node {
        let mut node = Node::joiner(node, disabled);
        node.members = members;
        node.replica.full = true;
        node
    }

    /// Creates a node with a blank disk and no slot.
    pub fn joiner(node: usize, disabled: Option<Safeguard>) -> Node {
        let replica = empty_replica(node as u64 + 1);
        Node {
            address: address(node),
            replica,
            disk: None,
            membership_version: 0,
            members: vec![],
            earlier_members: vec![],
            incarnations: BTreeMap::new(),
            retired: VecDeque::new(),
            leaders: BTreeMap::new(),
            recovery: None,
            first_replies: vec![],
            reads: vec![],
            now: Duration::ZERO,
            joined: false,
            disabled,
        }
    }

    /// Lets the node know every member's first disk.
    pub fn with_known_members(&mut self) {
        self.incarnations = (0..self.members.len())
            .map(|slot| (slot as u8, slot as u64 + 1))
            .collect();
        if let Some(slot) = self.slot() {
            self.incarnations.remove(&slot);
        }
    }

    /// Returns the node's address and incarnation.
    pub fn local_peer(&self) -> Peer {
        Peer::new(self.address, self.replica.incarnation)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.disabled != Some(safeguard)
    }

    fn slot_of(&self, peer: &Peer) -> Option<u8> {
        let members = self.members.iter();
        let at = members.clone().position(|member| member.matches(peer));
        let in_earlier = || {
            let earlier = self.earlier_members.iter();
            earlier.clone().position(|member| member.matches(peer))
        };
        at.or_else(in_earlier).map(|at| at as u8)
    }

    /// Returns the node's slot in the table, if the node has one.
    pub fn slot(&self) -> Option<u8> {
        self.slot_of(&self.local_peer())
    }

    /// Returns true if this disk is included in quorums (`ControlNode::can_vote`).
    pub fn can_vote(&self) -> bool {
        let is_counted = self.replica.full
            || !self.enforces(Safeguard::BlankDiskExcluded)
            || !self.enforces(Safeguard::JoinerExcluded) && self.joined;
        is_counted && !self.replica.removed && self.slot().is_some()
    }

    /// Returns true if the node leads the partition with a majority's promises.
    pub fn is_active(&self, partition: u8) -> bool {
        let leader = self.leaders.get(&partition);
        leader.is_some_and(|leader| leader.active_since.is_some())
    }

    /// Returns true if a leader may serve its rows.
    pub fn can_serve(&self, leader: &PartitionLeader) -> bool {
        leader.is_ready()
            || !self.enforces(Safeguard::StateRewrittenBeforeServing)
                && leader.active_since.is_some()
    }

    fn envelope(&self, to: SocketAddr, message: impl Into<Message>) -> Envelope {
        Envelope {
            from: self.local_peer(),
            to,
            message: message.into(),
        }
    }

    fn store(&mut self, record: &Record) {
        if !self.enforces(Safeguard::ReplyAfterSync) {
            self.disk = Some(self.replica.clone());
        }
        self.replica.apply(record);
        self.adopt_published_table();
    }

    fn adopt_published_table(&mut self) {
        if let Some(table) = self.replica.published_table()
            && table.version > self.membership_version
        {
            self.adopt_table(table.version, table.members);
        }
    }

    fn adopt_table(&mut self, version: u64, members: Vec<Peer>) {
        self.membership_version = version;
        let before = std::mem::replace(&mut self.members, members);
        if !self.enforces(Safeguard::SurvivorAbandonsEarlierTable) {
            self.earlier_members = before.clone();
        }
        let changed = before.into_iter().zip(self.members.clone());
        for (slot, (old, new)) in changed.enumerate() {
            if old == new || !self.enforces(Safeguard::SurvivorAbandonsEarlierTable) {
                continue;
            }
            if let Some(incarnation) = self.incarnations.remove(&(slot as u8))
                && !new.matches(&Peer::new(old.address, incarnation))
            {
                self.retire_incarnation(incarnation);
            }
        }
        self.leaders.clear();
        self.reads.clear();
        if self.slot().is_none() {
            self.store(&Record::Removed);
        }
    }

    fn retire_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.replica.incarnation || self.retired.contains(&incarnation) {
            return;
        }
        self.retired.push_back(incarnation);
        if self.replica.full {
            self.store(&Record::Retired { incarnation });
        }
    }

    fn on_retired_reported(&mut self, incarnations: &[u64]) {
        if !self.enforces(Safeguard::RetiredIncarnationsIgnored) {
            return;
        }
        for incarnation in incarnations {
            self.retire_incarnation(*incarnation);
            let known = |(slot, known): (&u8, &u64)| (known == incarnation).then_some(*slot);
            for slot in self
                .incarnations
                .iter()
                .filter_map(known)
                .collect::<Vec<u8>>()
            {
                self.incarnations.remove(&slot);
                self.reset_replica(slot);
            }
        }
    }

    fn reset_replica(&mut self, slot: u8) {
        for leader in self.leaders.values_mut() {
            leader.reset_replica(slot);
        }
    }

    /// Records a message of this disk from a slot, and retires an earlier disk.
    fn on_member_contact(&mut self, slot: u8, incarnation: u64) {
        let known = *self.incarnations.entry(slot).or_insert(incarnation);
        if known != incarnation && self.enforces(Safeguard::RetiredIncarnationsIgnored) {
            self.incarnations.insert(slot, incarnation);
            self.reset_replica(slot);
            self.retire_incarnation(known);
        }
    }

    fn retired_incarnations(&self) -> Vec<u64> {
        self.retired.iter().copied().collect()
    }

    /// Starts a candidacy for a partition (`ControlNode::campaign`).
    pub fn elect(&mut self, partition: u8) -> Vec<Envelope> {
        let slot = self.slot().expect("the node is a member");
        let highest = self.replica.partition(partition).promised_epoch;
        let epoch = (highest / MAX_SLOTS as u64 + 1) * MAX_SLOTS as u64 + u64::from(slot);
        if self.enforces(Safeguard::OwnPromiseStoredFirst) {
            self.store(&Record::Promise { partition, epoch });
        }
        let leader = PartitionLeader::new(
            partition,
            epoch,
            self.members.len(),
            self.membership_version,
        )
        .with_local_state(self.replica.partition(partition).state.clone());
        self.leaders.insert(partition, leader);
        self.flush(true)
    }

    /// Writes a row as leader.
    pub fn write(&mut self, partition: u8, key: String, value: Value) -> Vec<Envelope> {
        let leader = self
            .leaders
            .get_mut(&partition)
            .expect("the node leads the partition");
        leader.put(key, value);
        self.flush(false)
    }

    /// Begins a read of all rows (`Change::List`).
    pub fn read(&mut self, partition: u8, required: BTreeSet<String>) -> Vec<Envelope> {
        let skips_round = !self.enforces(Safeguard::ReadConfirmedByRound);
        let leader = self
            .leaders
            .get_mut(&partition)
            .expect("the node leads the partition");
        self.reads.push(PendingRead {
            partition,
            epoch: leader.epoch,
            round: if skips_round {
                0
            } else {
                leader.begin_read_round()
            },
            commit: leader.version,
            keys: leader.rows.keys().cloned().collect(),
            required,
        });
        self.flush(false)
    }

    /// Returns the reads that are finished now.
    pub fn finished_reads(&mut self) -> Vec<PendingRead> {
        let leaders = &self.leaders;
        let done = |read: &PendingRead| {
            leaders.get(&read.partition).is_some_and(|leader| {
                leader.epoch == read.epoch
                    && read.round <= leader.confirmed_round()
                    && read.commit <= leader.committed()
            })
        };
        let (done, waiting) = std::mem::take(&mut self.reads)
            .into_iter()
            .partition(|read| done(read));
        self.reads = waiting;
        done
    }

    /// Lets time pass and retries messages without a reply.
    pub fn retry(&mut self) -> Vec<Envelope> {
        self.now += RETRY_INTERVAL;
        let mut out = self.flush(true);
        out.extend(self.recover());
        out
    }

    /// Restarts the process with its disk.
    pub fn crash(&mut self) -> Vec<Envelope> {
        let replica = self.disk.take().unwrap_or_else(|| self.replica.clone());
        self.start(replica)
    }

    /// Restarts the process with a blank disk.
    pub fn wipe(&mut self, incarnation: u64) -> Vec<Envelope> {
        self.start(empty_replica(incarnation))
    }

    fn start(&mut self, replica: Replica) -> Vec<Envelope> {
        self.disk = None;
        self.retired = replica.retired.clone();
        self.replica = replica;
        self.incarnations.clear();
        self.leaders.clear();
        self.reads.clear();
        self.begin_recovery()
    }

    fn begin_recovery(&mut self) -> Vec<Envelope> {
        self.first_replies.clear();
        let slot = self.slot().filter(|_| !self.replica.full);
        self.recovery = slot
            .map(|slot| ReplicaRecovery::new(slot, self.members.len(), self.membership_version));
        self.recover()
    }

    fn recover(&mut self) -> Vec<Envelope> {
        let due = self
            .recovery
            .as_mut()
            .map_or(vec![], |recovery| recovery.tick(self.now));
        due.into_iter()
            .map(|(slot, message)| self.envelope(self.members[usize::from(slot)].address, message))
            .collect()
    }

    /// Adopts a table that contains this joiner (`ControlNode::join_table`).
    pub fn join_table(&mut self, version: u64, members: Vec<Peer>) -> Vec<Envelope> {
        self.store(&Record::MembershipTable {
            version,
            members: members.clone(),
        });
        (self.membership_version, self.members) = (version, members);
        self.joined = true;
        self.begin_recovery()
    }

    /// Assigns slots of lost members to others without a majority (`ControlNode::succeed_lost_members`).
    pub fn succeed(&mut self, members: Vec<Peer>) -> Vec<Envelope> {
        let table = MembershipTable {
            version: next_succession(self.membership_version),
            members,
        };
        self.store(&Record::MembershipTable {
            version: table.version,
            members: table.members.clone(),
        });
        self.adopt_table(table.version, table.members.clone());
        let others = self
            .members
            .iter()
            .filter(|peer| peer.address != self.address);
        others
            .map(|peer| self.envelope(peer.address, table.clone()))
            .collect()
    }

    /// Returns the messages that leaders send now (`ControlNode::flush_leaders`).
    fn flush(&mut self, tick: bool) -> Vec<Envelope> {
        if !self.can_vote() {
            return vec![];
        }
        let now = self.now;
        let due: Vec<(u8, Message)> = self
            .leaders
            .values_mut()
            .flat_map(|leader| leader.due_messages(now, tick))
            .collect();
        due.into_iter()
            .map(|(slot, message)| self.envelope(self.members[usize::from(slot)].address, message))
            .collect()
    }

    /// Returns true if a message can still change the state of this node. Others are dropped, which may happen to any
    /// message anyway.
    pub fn accepts(&self, message: &Message) -> bool {
        let leads = |partition: u8, epoch: u64| {
            self.leaders
                .get(&partition)
                .filter(|leader| leader.epoch == epoch)
        };
        match message {
            Message::PrepareReply(reply) => leads(reply.partition, reply.epoch).is_some(),
            Message::AppendReply(reply) => leads(reply.partition, reply.epoch).is_some(),
            Message::AppendGap(reply) => leads(reply.partition, reply.epoch).is_some(),
            Message::SnapshotReply(_) => self.recovery.is_some(),
            Message::StaleEpoch(_) => false,
            Message::PrepareRequest(request) => {
                request.epoch >= self.replica.partition(request.partition).promised_epoch
            }
            Message::AppendRequest(request) => {
                request.epoch >= self.replica.partition(request.partition).promised_epoch
                    || !self.enforces(Safeguard::PromiseCheckedOnAppend)
            }
            _ => true,
        }
    }

    /// Handles a message (`ControlNode::handle_message`) and returns the messages sent.
    pub fn receive(&mut self, from: Peer, message: Message) -> Vec<Envelope> {
        let mut out = self.handle(from, message);
        out.extend(self.flush(false));
        out
    }

    fn handle(&mut self, from: Peer, message: Message) -> Vec<Envelope> {
        if let Message::MembershipTable(table) = message {
            return self.handle_table(table);
        }
        if self.replica.removed || self.slot().is_none() {
            return vec![];
        }
        if self.is_fenced(&message) {
            let table = MembershipTable {
                version: self.membership_version,
                members: self.members.clone(),
            };
            return vec![self.envelope(from.address, table)];
        }
        let accepts_retired = !self.enforces(Safeguard::RetiredIncarnationsIgnored);
        let retired = self.retired.contains(&from.incarnation) && !accepts_retired;
        let Some(slot) = self.slot_of(&from).filter(|_| !retired) else {
            return vec![];
        };
        if Some(slot) != self.slot() && self.enforces(Safeguard::SurvivorAbandonsEarlierTable) {
            self.on_member_contact(slot, from.incarnation);
        }
        match message {
            Message::PrepareRequest(request) if self.can_vote() => {
                self.handle_prepare(from, request)
            }
            Message::AppendRequest(request) if self.can_vote() => self.handle_append(from, request),
            Message::PrepareReply(reply) => self.handle_prepare_reply(slot, reply),
            Message::AppendReply(reply) => self.handle_append_reply(slot, reply),
            Message::AppendGap(gap) => {
                if let Some(leader) = self.leaders.get_mut(&gap.partition) {
                    leader.reset_replica(slot);
                }
                vec![]
            }
            Message::SnapshotRequest(request) => vec![self.snapshot(from, request)],
            Message::SnapshotReply(reply) => self.handle_snapshot(reply),
            _ => vec![],
        }
    }

    fn is_fenced(&self, message: &Message) -> bool {
        let version = match message {
            Message::PrepareRequest(request) => request.membership_version,
            Message::AppendRequest(request) => request.membership_version,
            Message::SnapshotRequest(request) => request.membership_version,
            _ => return false,
        };
        version < self.membership_version
            && self.enforces(Safeguard::MembershipVersionFences)
            && self.enforces(Safeguard::SurvivorAbandonsEarlierTable)
    }

    fn handle_table(&mut self, table: MembershipTable) -> Vec<Envelope> {
        if table.version > self.membership_version && self.replica.full {
            self.store(&Record::MembershipTable {
                version: table.version,
                members: table.members.clone(),
            });
            self.adopt_table(table.version, table.members);
        } else if self.members.is_empty()
            && table
                .members
                .iter()
                .any(|peer| peer.matches(&self.local_peer()))
        {
            return self.join_table(table.version, table.members);
        }
        vec![]
    }

    fn handle_prepare(&mut self, from: Peer, request: PrepareRequest) -> Vec<Envelope> {
        let PrepareRequest {
            partition,
            epoch,
            requester_state,
            ..
        } = request;
        let promised = self.replica.partition(partition).promised_epoch;
        if epoch < promised {
            return vec![];
        }
        if epoch > promised {
            self.store(&Record::Promise { partition, epoch });
        }
        let reply = PrepareReply {
            partition,
            epoch,
            lost_generation: 0,
            retired_incarnations: self.retired_incarnations(),
            state: self
                .replica
                .partition(partition)
                .prepared_state(partition, requester_state),
        };
        vec![self.envelope(from.address, reply)]
    }

    fn handle_append(&mut self, from: Peer, request: AppendRequest) -> Vec<Envelope> {
        let (partition, epoch, round, to) = (
            request.partition,
            request.epoch,
            request.round,
            request.to_version,
        );
        let stored = self.replica.partition(partition);
        if epoch < stored.promised_epoch && self.enforces(Safeguard::PromiseCheckedOnAppend) {
            return vec![];
        }
        if !stored.accepts(&request) && self.enforces(Safeguard::GapRefused) {
            let gap = AppendGap {
                partition,
                epoch,
                round,
            };
            return vec![self.envelope(from.address, gap)];
        }
        let current = stored.state.epoch == epoch && stored.promised_epoch == epoch;
        let is_stored = current && stored.state.version >= to;
        if !is_stored || request.full_state && !self.enforces(Safeguard::OutdatedAppendIgnored) {
            self.store(&Record::Appended { request });
        } else if request.published > stored.state.published {
            let request = AppendRequest {
                full_state: false,
                rows: vec![],
                removed_keys: vec![],
                base: None,
                ..request
            };
            self.store(&Record::Appended { request });
        }
        let reply = AppendReply {
            partition,
            epoch,
            round,
            synced_version: to,
            sessions_confirmed: None,
            retired_incarnations: self.retired_incarnations(),
        };
        vec![self.envelope(from.address, reply)]
    }

    fn handle_prepare_reply(&mut self, slot: u8, reply: PrepareReply) -> Vec<Envelope> {
        self.on_retired_reported(&reply.retired_incarnations);
        if let Some(leader) = self.leaders.get_mut(&reply.partition)
            && leader.epoch == reply.epoch
        {
            let was_active = leader.active_since.is_some();
            leader.on_prepare_reply(self.now, slot, reply.state);
            if !was_active && leader.active_since.is_some() {
                // The leader waits for replicas that have not promised.
                self.now += PREPARE_REPLY_GRACE;
            }
        }
        vec![]
    }

    fn handle_append_reply(&mut self, slot: u8, reply: AppendReply) -> Vec<Envelope> {
        self.on_retired_reported(&reply.retired_incarnations);
        if let Some(leader) = self.leaders.get_mut(&reply.partition)
            && leader.epoch == reply.epoch
        {
            leader.on_append_reply(slot, &reply);
        }
        vec![]
    }

    fn snapshot(&self, from: Peer, request: SnapshotRequest) -> Envelope {
        let includes_partitions =
            request.round > 0 || !self.enforces(Safeguard::SecondRecoveryRound);
        let founding = self.replica.partition(MEMBERSHIP_PARTITION).state.version == 0;
        let published = self
            .replica
            .published_table()
            .map_or(0, |table| table.version);
        let reply = SnapshotReply {
            requester_incarnation: from.incarnation,
            slot: self.slot().expect("the node is a member"),
            round: request.round,
            full: self.replica.full,
            lost_generation: 0,
            membership_version: if founding {
                self.membership_version
            } else {
                published.max(last_succession(self.membership_version))
            },
            partitions: if includes_partitions {
                self.replica.snapshot()
            } else {
                vec![]
            },
        };
        self.envelope(from.address, reply)
    }

    fn handle_snapshot(&mut self, reply: SnapshotReply) -> Vec<Envelope> {
        if reply.requester_incarnation != self.replica.incarnation {
            return vec![];
        }
        if !self.enforces(Safeguard::SecondRecoveryRound) {
            return self.accept_first_replies(reply);
        }
        let recovered = self
            .recovery
            .as_mut()
            .and_then(|recovery| recovery.on_snapshot_reply(reply));
        match recovered {
            Some(recovered) => {
                self.recover_from(recovered);
                vec![]
            }
            None => self.recover(),
        }
    }

    /// Uses the first replies for both rounds, without the second round.
    fn accept_first_replies(&mut self, reply: SnapshotReply) -> Vec<Envelope> {
        let Some(recovery) = &mut self.recovery else {
            return vec![];
        };
        self.first_replies.push(reply.clone());
        let _ = recovery.on_snapshot_reply(reply);
        let second_replies = self.first_replies.iter().cloned().map(|mut reply| {
            reply.round = 1;
            reply
        });
        let recovered = second_replies
            .filter_map(|reply| recovery.on_snapshot_reply(reply))
            .last();
        if let Some(recovered) = recovered {
            self.recover_from(recovered);
        }
        vec![]
    }

    fn recover_from(&mut self, recovered: RecoveredState) {
        self.recovery = None;
        self.first_replies.clear();
        self.store(&Record::Recovered {
            partitions: recovered.partitions,
            majority_lost: recovered.majority_lost,
        });
        for incarnation in self.retired_incarnations() {
            if !self.replica.retired.contains(&incarnation) {
                self.store(&Record::Retired { incarnation });
            }
        }
    }
}
