//! The control node as a state machine without I/O. This module routes each input to the submodule that owns the state
//! it concerns.

use crate::prelude::*;
use assignments::AssignmentState;
use contact::PeerStatus;
use failure_detector::FailureDetector;
use generation::GenerationState;
use journal::Journal;
use operation_expiry::FinishedOperations;
use operator_calls::OperatorCall;
use pending_reply::PendingReply;
use relays::Relays;
use slot_handover::ShutdownState;
use stale_epochs::StaleEpochs;
use succession::Succession;

mod assignments;
mod changes;
mod contact;
mod disk_failure;
mod edge_registry;
mod edge_sessions;
mod failure_detector;
mod fleet_state;
mod generation;
mod joining;
mod journal;
mod membership;
mod operation_expiry;
mod operator_calls;
mod pending_reply;
mod recall;
mod recovery;
mod relays;
mod replication;
mod slot_assignment;
mod slot_handover;
mod stale_epochs;
mod succession;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_membership;

/// Slot number of a node that holds no slot (yet).
const NO_SLOT: u8 = u8::MAX;
/// Interval between sweeps of the operation ledger.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State machine of a control node; it does no I/O itself. Invariants:
/// - A reply that reports the state of the disk is sent only once all records stored before it are synced.
/// - While the disk is blank or has failed, the node promises no epoch, stores nothing for a leader and renews no
///   session.
/// - Messages of an earlier incarnation (disk) of a slot are ignored once a later one has been seen, or once the slot
///   was assigned to another node.
/// - A node without a slot (`NO_SLOT`) only requests one; a removed node does nothing.
pub struct ControlNode {
    slot: u8,
    address: SocketAddr,
    /// Holders of the slots, by the newest table received; empty until one is received.
    members: Vec<Peer>,
    /// Version of the membership table in use.
    membership_version: u64,
    /// Time when the membership table in use was adopted.
    table_adopted_at: Duration,
    seeds: Vec<SocketAddr>,
    /// Set if the membership table is not given by the seeds but is founded or requested.
    bootstrap: Option<Bootstrap>,
    /// True if this node's slot was assigned to another node.
    removed: bool,
    /// State of the local disk.
    replica: Replica,
    /// Recovery of the local disk, while it is blank.
    recovery: Option<ReplicaRecovery>,
    journal: Journal,
    /// Partitions that this node leads or is a candidate for.
    leaders: BTreeMap<u8, PartitionLeader>,
    stale_epochs: StaleEpochs,
    /// Last reported status of the other members, by slot.
    peers: BTreeMap<u8, PeerStatus>,
    /// Time of the last message from the holder of each slot, including holders whose disk is excluded from quorums.
    last_messages: BTreeMap<u8, Duration>,
    /// Distinguishes silent members from a pause of this node.
    failure_detector: FailureDetector,
    /// Start of the current isolation: no majority has been in contact with this node since then.
    isolated_since: Option<Duration>,
    /// Retired incarnations: those stored in the replica, and those seen while the disk was blank.
    retired_incarnations: VecDeque<u64>,
    sessions: Sessions,
    update_replies: UpdateReplies,
    /// Replies that are sent once a version is committed or settled, or a round is confirmed.
    pending_replies: Vec<PendingReply>,
    /// Calls from operators, by their ids.
    operator_calls: BTreeMap<u64, OperatorCall>,
    relays: Relays,
    finished_operations: FinishedOperations,
    last_sweep: Duration,
    /// Version of the configuration last published to the history.
    published_configuration: u64,
    generation: GenerationState,
    /// On the leader of the assignments: time when each departed edge of the registry was first found to have departed.
    departed_since: BTreeMap<Peer, Duration>,
    assignments: AssignmentState,
    shutdown: ShutdownState,
    succession: Succession,
    /// Outputs of the input being handled.
    outputs: Vec<Output>,
}

impl ControlNode {
    /// Creates a node from the `replica` read from disk, or from a `blank` one with a new incarnation. The node takes
    /// the slot that the membership table assigns to its address; a blank node without one requests a slot. Without a
    /// `bootstrap`, the seeds are the initial table. `run` must differ from that of every other run of this node.
    pub fn new(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        replica: Replica,
        blank: bool,
        mut bootstrap: Option<Bootstrap>,
        run: u64,
    ) -> ControlNode {
        let table = initial_table(&replica, &seeds, bootstrap.as_mut());
        // A node that knows a table belongs to a fleet that already ran, or replaces a member of one.
        let is_first_start = |bootstrap: &Bootstrap| bootstrap.first_start;
        let first_fleet_start =
            blank && table.members.is_empty() && bootstrap.as_ref().is_some_and(is_first_start);
        let mut control_node = ControlNode {
            seeds,
            bootstrap,
            sessions: Sessions::new(run),
            relays: Relays::new(run),
            generation: GenerationState::new(first_fleet_start),
            ..ControlNode::with_table(address, table, replica)
        };
        if blank {
            control_node.store_first_incarnation();
        }
        control_node
    }

    /// Creates a node that uses this table, in its initial state.
    fn with_table(address: SocketAddr, table: MembershipTable, replica: Replica) -> ControlNode {
        let MembershipTable { version, members } = table;
        let slot = slot_at(&members, address).unwrap_or(NO_SLOT);
        let recovers = !replica.full && slot != NO_SLOT;
        ControlNode {
            slot,
            address,
            recovery: recovers.then(|| ReplicaRecovery::new(slot, members.len(), version)),
            members,
            membership_version: version,
            table_adopted_at: Duration::ZERO,
            seeds: Vec::new(),
            bootstrap: None,
            removed: replica.removed,
            retired_incarnations: replica.retired.clone(),
            replica,
            journal: Journal::default(),
            leaders: BTreeMap::new(),
            stale_epochs: StaleEpochs::default(),
            peers: BTreeMap::new(),
            last_messages: BTreeMap::new(),
            failure_detector: FailureDetector::default(),
            isolated_since: None,
            sessions: Sessions::default(),
            update_replies: UpdateReplies::default(),
            pending_replies: Vec::new(),
            operator_calls: BTreeMap::new(),
            relays: Relays::default(),
            finished_operations: FinishedOperations::default(),
            last_sweep: Duration::ZERO,
            published_configuration: 0,
            generation: GenerationState::default(),
            departed_since: BTreeMap::new(),
            assignments: AssignmentState::default(),
            shutdown: ShutdownState::default(),
            succession: Succession::default(),
            outputs: Vec::new(),
        }
    }

    fn store_first_incarnation(&mut self) {
        self.store(&Record::Incarnation {
            incarnation: self.replica.incarnation,
        });
        self.log_event(Event::DiskBlank, format!("slot {}", self.slot));
    }

    /// Sets the length of the existing log on disk and of the snapshot at its start, in bytes, so that a node that
    /// restarts often writes a snapshot as soon as a node that does not.
    pub fn with_log(self, log_bytes: usize, snapshot_bytes: usize) -> ControlNode {
        ControlNode {
            journal: self.journal.with_log(log_bytes, snapshot_bytes),
            ..self
        }
    }

    /// Sets the retention of finished operations.
    pub fn with_operation_retention(mut self, retention: Duration) -> ControlNode {
        self.finished_operations.retention = retention;
        self
    }

    /// Returns the node's address and incarnation.
    pub fn local_peer(&self) -> Peer {
        Peer::new(self.address, self.replica.incarnation)
    }

    fn quorum(&self) -> Quorum {
        Quorum::new(self.members.len())
    }

    /// Returns all slots except this node's.
    fn other_slots(&self) -> impl Iterator<Item = u8> + use<> {
        let own_slot = self.slot;
        (0..self.members.len() as u8).filter(move |slot| *slot != own_slot)
    }

    fn address(&self, slot: u8) -> SocketAddr {
        self.members[usize::from(slot)].address
    }

    fn log_event(&mut self, event: Event, text: String) {
        self.outputs.push(Output::Log { event, text });
    }

    fn send(&mut self, to: SocketAddr, message: impl Into<Message>) {
        self.outputs.push(Output::Send {
            to,
            message: message.into(),
        });
    }

    /// Sends a message once all records stored so far are synced.
    fn send_after_sync(&mut self, to: SocketAddr, message: impl Into<Message>) {
        if self.journal.is_synced() {
            self.send(to, message);
        } else {
            self.journal.defer_message(to, message.into());
        }
    }

    /// Returns true if this node's disk is included in quorums: it may promise epochs, store for a leader, and renew
    /// sessions.
    fn can_vote(&self) -> bool {
        self.replica.full && !self.journal.has_failed() && !self.removed && self.slot != NO_SLOT
    }

    fn handle_tick(&mut self, now: Duration) {
        self.tick(now);
        let ready = self.can_vote() && !self.shutdown.is_requested() && self.reaches_majority(now);
        self.outputs.push(Output::Publish(PublishedState::Fence {
            until: now + lease::SESSION_LEASE,
            ready,
        }));
        if self.can_shut_down(now) {
            self.outputs.push(Output::ShutdownComplete);
        }
    }

    fn tick(&mut self, now: Duration) {
        for peer in self.sessions.tick(now) {
            self.log_event(Event::SessionLapsed, peer.to_string());
        }
        self.failure_detector.tick(now);
        self.tick_handover(now);
        if self.removed {
            return;
        }
        if self.slot == NO_SLOT {
            return self.request_slot(now);
        }
        self.send_heartbeats(now);
        self.succeed_lost_members(now);
        self.tick_recovery(now);
        if self.can_vote() {
            self.campaign(now);
        }
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            self.expire_operations(now);
        }
        self.publish_configuration();
        self.restore_disk(now);
        self.track_isolation(now);
        self.publish_origin_list(now);
        self.recall_rows(now);
        self.publish_table();
        self.plan_assignments(now);
        self.send_operator_calls(now);
        self.relays.expire(now);
    }

    fn send_heartbeats(&mut self, now: Duration) {
        for slot in self.other_slots() {
            self.send(self.address(slot), self.heartbeat(now, slot));
        }
    }

    fn publish_configuration(&mut self) {
        let Some((version, text)) = self.replica.configuration() else {
            return;
        };
        if version != self.published_configuration {
            self.published_configuration = version;
            let configuration = PublishedState::CommittedConfiguration { version, text };
            self.outputs.push(Output::Publish(configuration));
        }
    }

    fn handle_message(&mut self, now: Duration, from: Peer, message: Message) {
        let retired = self.retired_incarnations.contains(&from.incarnation);
        let slot = self.slot_of(&from).filter(|_| !retired);
        let Some(message) = self.check_membership(now, from, slot, message) else {
            return;
        };
        if retired {
            return;
        }
        if let Some(slot) = slot.filter(|slot| *slot != self.slot) {
            self.on_member_contact(slot, from.incarnation);
        }
        match slot {
            Some(slot) => self.handle_member_message(now, from, slot, message),
            None => self.handle_public_message(now, from, message),
        }
    }

    /// Handles messages that only members of the table may send; passes on all others as messages of any sender.
    fn handle_member_message(&mut self, now: Duration, from: Peer, slot: u8, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) if slot != self.slot => {
                self.handle_heartbeat(now, from, slot, heartbeat)
            }
            Message::SnapshotRequest(request) => self.handle_snapshot_request(from, &request),
            Message::SnapshotReply(reply) => self.handle_snapshot_reply(now, reply),
            Message::PrepareRequest(request) if self.can_vote() => {
                self.handle_prepare_request(from, &request)
            }
            Message::PrepareReply(reply) => self.handle_prepare_reply(now, slot, reply),
            Message::AppendRequest(request) if self.can_vote() => {
                self.handle_append_request(now, from, request)
            }
            Message::AppendReply(reply) => self.handle_append_reply(slot, &reply),
            Message::AppendGap(gap) => self.handle_append_gap(slot, &gap),
            Message::StaleEpoch(stale) => self.handle_stale_epoch(now, &stale),
            other => self.handle_public_message(now, from, other),
        }
    }

    /// Handles messages of edges, and changes and their replies.
    fn handle_public_message(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewRequest(request) if self.can_vote() => {
                self.handle_renew_request(now, from, request)
            }
            Message::SessionClose(_) if self.sessions.remove(from) => {
                self.log_event(Event::SessionClosed, from.to_string());
            }
            Message::RecallReply(reply) => self.handle_recall_reply(reply),
            Message::ChangeRequest(request) => self.handle_change_request(now, from, request),
            Message::ChangeReply(reply) => self.handle_change_reply(reply),
            _ => {}
        }
    }
}

/// Returns the newest table on disk, or the table given by the seeds. A node that knows a table founds none: if it was
/// removed, it does not assign itself a slot and does not open the ledger.
fn initial_table(
    replica: &Replica,
    seeds: &[SocketAddr],
    bootstrap: Option<&mut Bootstrap>,
) -> MembershipTable {
    let has_bootstrap = bootstrap.is_some();
    if let Some(table) = replica.newest_table() {
        bootstrap.into_iter().for_each(Bootstrap::end_founding);
        return table;
    }
    let members = if has_bootstrap {
        vec![]
    } else {
        seeds.iter().map(|seed| Peer::new(*seed, 0)).collect()
    };
    MembershipTable {
        version: 0,
        members,
    }
}

/// Returns the slot that an address holds.
fn slot_at(members: &[Peer], address: SocketAddr) -> Option<u8> {
    let at = members.iter().position(|peer| peer.address == address)?;
    Some(at as u8)
}

impl StateMachine for ControlNode {
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let is_tick = matches!(input, Input::Tick);
        match input {
            Input::Tick => self.handle_tick(now),
            Input::MessageReceived { from, message } => self.handle_message(now, from, message),
            Input::Stored { serial } => self.handle_stored(now, serial),
            Input::StoreFailed => self.handle_store_failure(now),
            Input::Operator { id, request } => self.handle_operator_request(now, id, request),
            Input::ShutdownRequested => self.handle_shutdown_request(now),
            Input::ClientRequest { .. }
            | Input::ClientDisconnected { .. }
            | Input::CallCompleted { .. }
            | Input::ConnectionChanged { .. } => {}
        }
        if self.can_vote() {
            self.flush_leaders(now, is_tick);
        }
        std::mem::take(&mut self.outputs)
    }
}
