//! A control node as a state machine without I/O: this module routes each input to the part of the node whose
//! assignment it is.

use crate::prelude::*;
use assignments::PlanInputs;
use changes::{OperatorCall, PendingReply, RELAY_ID_BIT, Relay};
use disk_failure::DiskFailure;
use membership::ContactWatch;
use slot_handover::{Handover, WaitingJoiner};

mod assignments;
mod changes;
mod contact;
mod disk_failure;
mod edge_sessions;
mod generation;
mod membership;
mod replication;
mod slot_handover;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod tests_membership;

/// A control node without its I/O. Invariants:
/// - A reply that speaks for the disk leaves only once all that was stored
///   before it is synced.
/// - While the disk is blank or has failed nothing is promised, kept or
///   renewed here.
/// - What an earlier life (disk) of a slot said counts for nothing once a
///   later one was met, or once the slot went to another place.
/// - A node without a slot (`NO_SLOT`) only asks for one; one that was removed
///   does nothing.
pub struct ControlNode {
    slot: u8,
    address: SocketAddr,
    /// Who holds the slots, by the newest table heard of; empty before one is.
    members: Vec<Peer>,
    /// Version of that table.
    membership_version: u64,
    seeds: Vec<SocketAddr>,
    /// The seeds are not the table: it is founded or asked for.
    bootstrap: Option<Bootstrap>,
    removed: bool,
    replica: Replica,
    recovery: Option<ReplicaRecovery>,
    /// A write failed: the disk counts for nothing until all is on it again.
    disk_failure: Option<DiskFailure>,
    stored_serial: u64,
    synced_serial: u64,
    awaiting_sync: VecDeque<(u64, SocketAddr, Message)>,
    log_bytes: usize,
    image_bytes: usize,
    leaders: BTreeMap<u8, PartitionLeader>,
    /// Highest promise met for each partition, and when to raise it at the soonest.
    stale_epochs: BTreeMap<u8, (u64, Duration, u32)>,
    peers: BTreeMap<u8, PeerStatus>,
    /// The replica's, and what was met while the disk was blank.
    retired_incarnations: VecDeque<u64>,
    sessions: Sessions,
    update_replies: UpdateReplies,
    pending_replies: Vec<PendingReply>,
    operator_calls: BTreeMap<u64, OperatorCall>,
    /// Changes passed on for other members, by the id under which that was done.
    relays: BTreeMap<u64, Relay>,
    next_relay_id: u64,
    /// Since when no majority is in contact with us.
    isolated_since: Option<Duration>,
    finished_since: BTreeMap<u8, HashMap<String, (u64, Duration)>>,
    last_sweep: Duration,
    /// Until then unknown operations are not run: acknowledged ones may be lost.
    ledger_closed_until: Duration,
    /// Version of the configuration last shown to the history.
    published_configuration: u64,
    /// The generation as last looked at; 0 after a start, so that one whose ledger
    /// is not open yet closes it anew, in full.
    generation: u64,
    /// When that was first seen.
    generation_entered_at: Duration,
    /// Our disk was refilled after a loss in this generation: a new one is asked for.
    refound_after: Option<u64>,
    /// The roll as it was before the loss, while the ledger is closed.
    registry_before_loss: Option<(Vec<Peer>, Vec<Peer>, bool)>,
    /// As owner of the assignments: when edges on the roll were seen to be gone.
    departed_since: BTreeMap<Peer, Duration>,
    /// The configuration's parts as far as shown here, up to this version, and
    /// the services of it.
    items: Items,
    items_version: u64,
    services: Vec<String>,
    /// Marks told when the last assignment was known: each holder had begun by then.
    tokens_at_grant: u64,
    /// What the assignments were last planned from.
    last_plan_inputs: Option<PlanInputs>,
    /// The whole fleet started for the first time when we did, on empty disks:
    /// no operation ran before.
    first_fleet_start: bool,
    /// Whether we were last seen to own the list of origins.
    publishes_origins: bool,
    shutdown_requested_at: Option<Duration>,
    /// Since when other members are heard without a pause of our own.
    contact_watch: ContactWatch,
    /// When any message last came from whoever holds a slot, also when what its
    /// disk said counts for nothing any more.
    last_messages: BTreeMap<u8, Duration>,
    /// When the table that is gone by was first seen.
    table_adopted_at: Duration,
    /// The empty node that last asked for a slot here, as leader of the table.
    waiting_joiner: Option<WaitingJoiner>,
    /// What became of our slot after a warning.
    handover: Handover,
    outputs: Vec<Output>,
}

/// Of a node that holds no slot (yet).
const NO_SLOT: u8 = u8::MAX;

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    incarnation: u64,
    full: bool,
    blank: bool,
    last_heartbeat: Duration,
    /// Slots that it hears, those that hear it too, and those of them for
    /// which it vouches.
    heard_slots: SlotSet,
    mutual_contacts: SlotSet,
    leader_candidates: SlotSet,
    /// The state of our table of sessions up to which it has it.
    acknowledged_sessions: u64,
}

impl PeerStatus {
    /// Of a life that was not heard yet.
    fn unknown(incarnation: u64) -> PeerStatus {
        PeerStatus {
            incarnation,
            full: false,
            blank: true,
            last_heartbeat: Duration::ZERO,
            heard_slots: SlotSet::default(),
            mutual_contacts: SlotSet::default(),
            leader_candidates: SlotSet::default(),
            acknowledged_sessions: 0,
        }
    }

    fn heartbeat_within(&self, now: Duration, span: Duration) -> bool {
        now < self.last_heartbeat + span
    }

    fn is_connected(&self, now: Duration) -> bool {
        self.heartbeat_within(now, lease::CONTROL_PEER_TIMEOUT)
    }
}

/// A node that is to end waits this long for others to lead its partitions.
const LEADER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// A fresh image is written when the log since the last one is this long.
const MIN_LOG_BYTES_BEFORE_SNAPSHOT: usize = 4 * 1024 * 1024;

impl ControlNode {
    /// `replica` as read from disk, or a blank one with a new life. The node's
    /// slot is the one its address holds; a blank node elsewhere asks for one.
    /// The table begins with the seeds, unless there is a `bootstrap`.
    pub fn new(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        replica: Replica,
        blank: bool,
        mut bootstrap: Option<Bootstrap>,
        run: u64,
    ) -> ControlNode {
        // One that was removed gets no slot of its own and opens no ledger.
        if let Some(bootstrap) = bootstrap
            .as_mut()
            .filter(|_| replica.newest_table().is_some())
        {
            bootstrap.end_founding();
        }
        let table_of_seeds = || {
            if bootstrap.is_some() {
                vec![]
            } else {
                seeds.iter().map(|seed| Peer::new(*seed, 0)).collect()
            }
        };
        let (version, members) = replica
            .newest_table()
            .unwrap_or_else(|| (0, table_of_seeds()));
        let slot = members
            .iter()
            .position(|peer| peer.address == address)
            .map_or(NO_SLOT, |at| at as u8);
        let slots = members.len();
        // Who knows a table was there before, or follows one who was.
        let fresh = blank
            && members.is_empty()
            && bootstrap
                .as_ref()
                .is_some_and(|bootstrap| bootstrap.first_start);
        let mut control_node = ControlNode {
            slot,
            address,
            members,
            membership_version: version,
            seeds,
            bootstrap,
            removed: replica.removed,
            recovery: (!replica.full && slot != NO_SLOT)
                .then(|| ReplicaRecovery::new(slot, slots, version)),
            retired_incarnations: replica.retired.clone(),
            replica,
            disk_failure: None,
            stored_serial: 0,
            synced_serial: 0,
            awaiting_sync: VecDeque::new(),
            log_bytes: 0,
            image_bytes: 0,
            leaders: BTreeMap::new(),
            stale_epochs: BTreeMap::new(),
            peers: BTreeMap::new(),
            sessions: Sessions::new(run),
            update_replies: UpdateReplies::default(),
            pending_replies: Vec::new(),
            operator_calls: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_relay_id: run | RELAY_ID_BIT,
            isolated_since: None,
            finished_since: BTreeMap::new(),
            last_sweep: Duration::ZERO,
            ledger_closed_until: Duration::ZERO,
            published_configuration: 0,
            generation: 0,
            generation_entered_at: Duration::ZERO,
            refound_after: None,
            registry_before_loss: None,
            departed_since: BTreeMap::new(),
            items: Items::default(),
            items_version: 0,
            services: Vec::new(),
            tokens_at_grant: 0,
            last_plan_inputs: None,
            first_fleet_start: fresh,
            publishes_origins: false,
            shutdown_requested_at: None,
            contact_watch: ContactWatch::default(),
            last_messages: BTreeMap::new(),
            table_adopted_at: Duration::ZERO,
            waiting_joiner: None,
            handover: Handover::default(),
            outputs: Vec::new(),
        };
        if blank {
            control_node.store(&Record::Incarnation {
                incarnation: control_node.replica.incarnation,
            });
            control_node.log_event(Event::DiskBlank, format!("slot {slot}"));
        }
        control_node
    }

    /// How long the log on disk is already, and the image that it begins with:
    /// a node that is often restarted must write an image as soon as one that
    /// is not.
    pub fn with_log(self, log_bytes: usize, image_bytes: usize) -> ControlNode {
        ControlNode {
            log_bytes: self.log_bytes + log_bytes,
            image_bytes,
            ..self
        }
    }

    pub fn me(&self) -> Peer {
        Peer::new(self.address, self.replica.incarnation)
    }

    fn quorum(&self) -> Quorum {
        Quorum::new(self.members.len())
    }

    /// All slots but ours.
    fn other_slots(&self) -> impl Iterator<Item = u8> + use<> {
        let mine = self.slot;
        (0..self.members.len() as u8).filter(move |slot| *slot != mine)
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

    /// Tells once everything stored so far is synced.
    fn send_after_sync(&mut self, to: SocketAddr, message: impl Into<Message>) {
        if self.synced_serial >= self.stored_serial {
            self.send(to, message);
        } else {
            self.awaiting_sync
                .push_back((self.stored_serial, to, message.into()));
        }
    }

    fn store(&mut self, record: &Record) {
        let bytes = bincode::serialize(record).expect("records serialize");
        self.stored_serial += 1;
        self.log_bytes += bytes.len();
        // A disk that refused a write takes no more until it takes everything.
        if self.disk_failure.is_none() {
            self.outputs.push(Output::Store {
                serial: self.stored_serial,
                record: bytes,
            });
        }
        self.replica.apply(record);
        self.adopt_published_table();
        if self.disk_failure.is_none()
            && self.log_bytes > MIN_LOG_BYTES_BEFORE_SNAPSHOT.max(2 * self.image_bytes)
        {
            self.store_snapshot();
        }
    }

    /// Writes the whole replica anew; the serial under which that is done.
    fn store_snapshot(&mut self) -> u64 {
        let image = bincode::serialize(&Record::Snapshot(Box::new(self.replica.clone())))
            .expect("records serialize");
        self.image_bytes = image.len();
        self.log_bytes = 0;
        self.stored_serial += 1;
        self.outputs.push(Output::StoreSnapshot {
            serial: self.stored_serial,
            record: image,
        });
        self.stored_serial
    }

    fn can_vote(&self) -> bool {
        self.replica.full && self.disk_failure.is_none() && !self.removed && self.slot != NO_SLOT
    }

    fn tick(&mut self, now: Duration) {
        for peer in self.sessions.tick(now) {
            self.log_event(Event::SessionLapsed, peer.to_string());
        }
        self.contact_watch.tick(now);
        self.tick_handover(now);
        if self.removed {
            return;
        }
        if self.slot == NO_SLOT {
            return self.request_slot(now);
        }
        for slot in self.other_slots() {
            self.send(self.address(slot), self.heartbeat(now, slot));
        }
        if let Some(recovery) = &mut self.recovery {
            for (slot, message) in recovery.tick(now) {
                self.send(self.address(slot), message);
            }
        }
        if self.can_vote() {
            self.campaign(now);
        }
        if now >= self.last_sweep + Duration::from_secs(1) {
            self.last_sweep = now;
            self.expire_operations(now);
        }
        if let Some((version, text)) = self
            .replica
            .configuration()
            .filter(|(version, _)| *version != self.published_configuration)
        {
            self.published_configuration = version;
            self.outputs
                .push(Output::Publish(PublishedState::CommittedConfiguration {
                    version,
                    text,
                }));
        }
        self.restore_disk(now);
        self.track_isolation(now);
        self.publish_origin_list(now);
        self.recall_rows(now);
        self.publish_table();
        self.plan_assignments(now);
        self.send_operator_calls(now);
        self.relays.retain(|_, relay| now < relay.deadline);
    }

    /// After a warning the others take the partitions and a newcomer the slot;
    /// then, with all operators answered, nothing is left to do. One that was
    /// removed ends at once: it starts over with an empty disk.
    fn can_shut_down(&self, now: Duration) -> bool {
        let over = match self.shutdown_requested_at {
            Some(since) => {
                let led = !self.leaders.is_empty() && now < since + LEADER_HANDOVER_TIMEOUT;
                !led && self.handover_complete(now, since)
            }
            None => self.removed && self.synced_serial >= self.stored_serial,
        };
        over && self.operator_calls.is_empty()
    }

    fn heartbeat(&self, now: Duration, to: u8) -> Heartbeat {
        let got = self
            .peers
            .get(&to)
            .map_or(0, |peer| peer.acknowledged_sessions);
        let seen = self
            .sessions
            .is_complete(now)
            .then(|| self.sessions.delta_since(got));
        Heartbeat {
            slot: self.slot,
            full: self.can_vote() && self.shutdown_requested_at.is_none(),
            blank: !self.replica.full || self.disk_failure.is_some(),
            membership_version: self.membership_version,
            ledger_closed_for: self.ledger_closed_until.saturating_sub(now),
            lost_generation: self.lost_generation(),
            heard_slots: self.recently_heard(now, lease::CONTROL_PEER_TIMEOUT),
            mutual_contacts: self.mutual_contacts(now),
            leader_candidates: self.leader_candidates(now),
            acknowledged_sessions: self.sessions.received_revision(to),
            sessions: seen,
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

    /// What only members of the table may say; all else is judged as from
    /// anyone.
    fn handle_member_message(&mut self, now: Duration, from: Peer, slot: u8, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) if slot != self.slot => {
                self.handle_heartbeat(now, from, slot, heartbeat)
            }
            Message::SnapshotRequest(request) => self.handle_snapshot_request(from, &request),
            Message::SnapshotReply(reply) => self.handle_snapshot_reply(now, reply),
            Message::PrepareRequest(request) if self.can_vote() => {
                self.handle_prepare_request(from, request)
            }
            Message::PrepareReply(reply) => self.handle_prepare_reply(now, slot, reply),
            Message::AppendRequest(request) if self.can_vote() => {
                self.handle_append_request(now, from, request)
            }
            Message::AppendReply(reply) => self.handle_append_reply(slot, &reply),
            Message::AppendGap(gap) => self.handle_append_gap(slot, &gap),
            Message::StaleEpoch(stale) => self.handle_stale_epoch(now, stale),
            other => self.handle_public_message(now, from, other),
        }
    }

    /// What edges say, and changes and their answers.
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

impl StateMachine for ControlNode {
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut tick = false;
        match input {
            Input::Tick => {
                tick = true;
                self.tick(now);
                let ready = self.can_vote()
                    && self.shutdown_requested_at.is_none()
                    && self.reaches_majority(now);
                self.outputs.push(Output::Publish(PublishedState::Fence {
                    until: now + lease::SESSION_LEASE,
                    ready,
                }));
                if self.can_shut_down(now) {
                    self.outputs.push(Output::ShutdownComplete);
                }
            }
            Input::MessageReceived { from, message } => self.handle_message(now, from, message),
            Input::Stored { serial } => {
                self.finish_restoring(now, serial);
                self.synced_serial = self.synced_serial.max(serial);
                while self
                    .awaiting_sync
                    .front()
                    .is_some_and(|(serial, _, _)| *serial <= self.synced_serial)
                {
                    let (_, to, message) = self.awaiting_sync.pop_front().expect("just seen");
                    self.send(to, message);
                }
            }
            Input::StoreFailed => self.handle_store_failure(now),
            Input::Operator { id, request: ask } => self.handle_operator_request(now, id, ask),
            Input::ShutdownRequested => {
                self.shutdown_requested_at.get_or_insert(now);
                self.offer_slot(now);
            }
            Input::ClientRequest { .. }
            | Input::ClientDisconnected { .. }
            | Input::CallCompleted { .. }
            | Input::ConnectionChanged { .. } => {}
        }
        if self.can_vote() {
            self.flush_leaders(now, tick);
        }
        std::mem::take(&mut self.outputs)
    }
}
