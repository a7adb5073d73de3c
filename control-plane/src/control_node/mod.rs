//! A control node as a state machine without I/O: this module routes each input to the part of the node whose
//! assignment it is.

use crate::prelude::*;
use assignments::PlannedFrom;
use changes::{OperatorCall, PendingReply, RELAY_IDS, Relay};
use disk_failure::DiskFailure;
use membership::Watch;
use slot_handover::{Handover, Newcomer};

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
    failed: Option<DiskFailure>,
    serial: u64,
    synced: u64,
    unsynced: VecDeque<(u64, SocketAddr, Message)>,
    log_bytes: usize,
    image_bytes: usize,
    leaders: BTreeMap<u8, PartitionLeader>,
    /// Highest promise met for each partition, and when to raise it at the soonest.
    superseded: BTreeMap<u8, (u64, Duration, u32)>,
    peers: BTreeMap<u8, PeerStatus>,
    /// The replica's, and what was met while the disk was blank.
    retired: VecDeque<u64>,
    sessions: Sessions,
    update_replies: UpdateReplies,
    pending_replies: Vec<PendingReply>,
    operator_calls: BTreeMap<u64, OperatorCall>,
    /// Changes passed on for other members, by the id under which that was done.
    relays: BTreeMap<u64, Relay>,
    next_relay: u64,
    /// Since when no majority is in contact with us.
    cut_off: Option<Duration>,
    finished_since: BTreeMap<u8, HashMap<String, (u64, Duration)>>,
    swept: Duration,
    /// Until then unknown operations are not run: acknowledged ones may be lost.
    closed: Duration,
    /// Version of the configuration last shown to the history.
    shown: u64,
    /// The generation as last looked at; 0 after a start, so that one whose ledger
    /// is not open yet closes it anew, in full.
    generation: u64,
    /// When that was first seen.
    entered: Duration,
    /// Our disk was refilled after a loss in this generation: a new one is asked for.
    refound: Option<u64>,
    /// The roll as it was before the loss, while the ledger is closed.
    before: Option<(Vec<Peer>, Vec<Peer>, bool)>,
    /// As owner of the assignments: when edges on the roll were seen to be gone.
    departed: BTreeMap<Peer, Duration>,
    /// The configuration's parts as far as shown here, up to this version, and
    /// the services of it.
    items: Items,
    read: u64,
    services: Vec<String>,
    /// Marks told when the last assignment was known: each holder had begun by then.
    granted: u64,
    /// What the assignments were last planned from.
    planned: Option<PlannedFrom>,
    /// The whole fleet started for the first time when we did, on empty disks:
    /// no operation ran before.
    fresh: bool,
    /// Whether we were last seen to own the list of origins.
    lists: bool,
    warned: Option<Duration>,
    /// Since when other members are heard without a pause of our own.
    watch: Watch,
    /// When any message last came from whoever holds a slot, also when what its
    /// disk said counts for nothing any more.
    met: BTreeMap<u8, Duration>,
    /// When the table that is gone by was first seen.
    table_since: Duration,
    /// The empty node that last asked for a slot here, as leader of the table.
    newcomer: Option<Newcomer>,
    /// What became of our slot after a warning.
    handover: Handover,
    out: Vec<Output>,
}

/// Of a node that holds no slot (yet).
const NO_SLOT: u8 = u8::MAX;

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    incarnation: u64,
    full: bool,
    blank: bool,
    heard: Duration,
    /// Slots that it hears, those that hear it too, and those of them for
    /// which it vouches.
    hears: SlotSet,
    contacts: SlotSet,
    vouched: SlotSet,
    /// The state of our table of sessions up to which it has it.
    got: u64,
}

impl PeerStatus {
    /// Of a life that was not heard yet.
    fn unheard(incarnation: u64) -> PeerStatus {
        PeerStatus {
            incarnation,
            full: false,
            blank: true,
            heard: Duration::ZERO,
            hears: SlotSet::default(),
            contacts: SlotSet::default(),
            vouched: SlotSet::default(),
            got: 0,
        }
    }

    fn heard_within(&self, now: Duration, span: Duration) -> bool {
        now < self.heard + span
    }

    fn near(&self, now: Duration) -> bool {
        self.heard_within(now, lease::CONTROL_PEER_TIMEOUT)
    }
}

/// A node that is to end waits this long for others to lead its partitions.
const HAND_OVER: Duration = Duration::from_secs(3);
/// A fresh image is written when the log since the last one is this long.
const LOG_BYTES: usize = 4 * 1024 * 1024;

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
        if let Some(bootstrap) = bootstrap.as_mut().filter(|_| replica.table().is_some()) {
            bootstrap.end_founding();
        }
        let table_of_seeds = || {
            if bootstrap.is_some() {
                vec![]
            } else {
                seeds.iter().map(|seed| Peer::new(*seed, 0)).collect()
            }
        };
        let (version, members) = replica.table().unwrap_or_else(|| (0, table_of_seeds()));
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
        let mut part = ControlNode {
            slot,
            address,
            members,
            membership_version: version,
            seeds,
            bootstrap,
            removed: replica.removed,
            recovery: (!replica.full && slot != NO_SLOT)
                .then(|| ReplicaRecovery::new(slot, slots, version)),
            retired: replica.retired.clone(),
            replica,
            failed: None,
            serial: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            log_bytes: 0,
            image_bytes: 0,
            leaders: BTreeMap::new(),
            superseded: BTreeMap::new(),
            peers: BTreeMap::new(),
            sessions: Sessions::new(run),
            update_replies: UpdateReplies::default(),
            pending_replies: Vec::new(),
            operator_calls: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_relay: run | RELAY_IDS,
            cut_off: None,
            finished_since: BTreeMap::new(),
            swept: Duration::ZERO,
            closed: Duration::ZERO,
            shown: 0,
            generation: 0,
            entered: Duration::ZERO,
            refound: None,
            before: None,
            departed: BTreeMap::new(),
            items: Items::default(),
            read: 0,
            services: Vec::new(),
            granted: 0,
            planned: None,
            fresh,
            lists: false,
            warned: None,
            watch: Watch::default(),
            met: BTreeMap::new(),
            table_since: Duration::ZERO,
            newcomer: None,
            handover: Handover::default(),
            out: Vec::new(),
        };
        if blank {
            part.store(&Record::Incarnation {
                incarnation: part.replica.incarnation,
            });
            part.note(Event::DiskBlank, format!("slot {slot}"));
        }
        part
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
    fn others(&self) -> impl Iterator<Item = u8> + use<> {
        let mine = self.slot;
        (0..self.members.len() as u8).filter(move |slot| *slot != mine)
    }

    fn address(&self, slot: u8) -> SocketAddr {
        self.members[usize::from(slot)].address
    }

    fn note(&mut self, event: Event, text: String) {
        self.out.push(Output::Log { event, text });
    }

    fn tell(&mut self, to: SocketAddr, message: impl Into<Message>) {
        self.out.push(Output::Send {
            to,
            message: message.into(),
        });
    }

    /// Tells once everything stored so far is synced.
    fn tell_synced(&mut self, to: SocketAddr, message: impl Into<Message>) {
        if self.synced >= self.serial {
            self.tell(to, message);
        } else {
            self.unsynced.push_back((self.serial, to, message.into()));
        }
    }

    fn store(&mut self, record: &Record) {
        let bytes = bincode::serialize(record).expect("records serialize");
        self.serial += 1;
        self.log_bytes += bytes.len();
        // A disk that refused a write takes no more until it takes everything.
        if self.failed.is_none() {
            self.out.push(Output::Store {
                serial: self.serial,
                record: bytes,
            });
        }
        self.replica.apply(record);
        self.see_places();
        if self.failed.is_none() && self.log_bytes > LOG_BYTES.max(2 * self.image_bytes) {
            self.store_image();
        }
    }

    /// Writes the whole replica anew; the serial under which that is done.
    fn store_image(&mut self) -> u64 {
        let image = bincode::serialize(&Record::Image(Box::new(self.replica.clone())))
            .expect("records serialize");
        self.image_bytes = image.len();
        self.log_bytes = 0;
        self.serial += 1;
        self.out.push(Output::StoreSnapshot {
            serial: self.serial,
            record: image,
        });
        self.serial
    }

    fn able(&self) -> bool {
        self.replica.full && self.failed.is_none() && !self.removed && self.slot != NO_SLOT
    }

    fn tick(&mut self, now: Duration) {
        for peer in self.sessions.tick(now) {
            self.note(Event::SessionLapsed, peer.to_string());
        }
        self.watch.tick(now);
        self.tick_handover(now);
        if self.removed {
            return;
        }
        if self.slot == NO_SLOT {
            return self.ask_for_slot(now);
        }
        for slot in self.others() {
            self.tell(self.address(slot), self.beat(now, slot));
        }
        if let Some(recovery) = &mut self.recovery {
            for (slot, message) in recovery.tick(now) {
                self.tell(self.address(slot), message);
            }
        }
        if self.able() {
            self.take_partitions(now);
        }
        if now >= self.swept + Duration::from_secs(1) {
            self.swept = now;
            self.sweep(now);
        }
        if let Some((version, text)) = self
            .replica
            .configuration()
            .filter(|(version, _)| *version != self.shown)
        {
            self.shown = version;
            self.out
                .push(Output::Publish(PublishedState::CommittedConfiguration {
                    version,
                    text,
                }));
        }
        self.restore_disk(now);
        self.watch_contact(now);
        self.show_lists(now);
        self.recollect(now);
        self.write_table();
        self.plan_assignments(now);
        self.send_operator_calls(now);
        self.relays.retain(|_, relay| now < relay.until);
    }

    /// After a warning the others take the partitions and a newcomer the slot;
    /// then, with all operators answered, nothing is left to do. One that was
    /// removed ends at once: it starts over with an empty disk.
    fn may_end(&self, now: Duration) -> bool {
        let over = match self.warned {
            Some(since) => {
                let led = !self.leaders.is_empty() && now < since + HAND_OVER;
                !led && self.handover_over(now, since)
            }
            None => self.removed && self.synced >= self.serial,
        };
        over && self.operator_calls.is_empty()
    }

    fn beat(&self, now: Duration, to: u8) -> Heartbeat {
        let got = self.peers.get(&to).map_or(0, |peer| peer.got);
        let seen = self.sessions.known(now).then(|| self.sessions.since(got));
        Heartbeat {
            slot: self.slot,
            full: self.able() && self.warned.is_none(),
            blank: !self.replica.full || self.failed.is_some(),
            membership_version: self.membership_version,
            ledger_closed_for: self.closed.saturating_sub(now),
            lost_generation: self.lost(),
            heard_slots: self.hears(now, lease::CONTROL_PEER_TIMEOUT),
            mutual_contacts: self.contacts(now),
            leader_candidates: self.vouched(now),
            acknowledged_sessions: self.sessions.got(to),
            sessions: seen,
        }
    }

    fn heard(&mut self, now: Duration, from: Peer, message: Message) {
        let retired = self.retired.contains(&from.incarnation);
        let slot = self.slot_of(&from).filter(|_| !retired);
        let Some(message) = self.check_membership(now, from, slot, message) else {
            return;
        };
        if retired {
            return;
        }
        if let Some(slot) = slot.filter(|slot| *slot != self.slot) {
            self.meet(slot, from.incarnation);
        }
        match slot {
            Some(slot) => self.heard_from_member(now, from, slot, message),
            None => self.heard_from_anyone(now, from, message),
        }
    }

    /// What only members of the table may say; all else is judged as from
    /// anyone.
    fn heard_from_member(&mut self, now: Duration, from: Peer, slot: u8, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) if slot != self.slot => {
                self.handle_heartbeat(now, from, slot, heartbeat)
            }
            Message::SnapshotRequest(request) => self.handle_snapshot_request(from, &request),
            Message::SnapshotReply(reply) => self.handle_snapshot_reply(now, reply),
            Message::PrepareRequest(request) if self.able() => {
                self.handle_prepare_request(from, request)
            }
            Message::PrepareReply(reply) => self.handle_prepare_reply(now, slot, reply),
            Message::AppendRequest(request) if self.able() => {
                self.handle_append_request(now, from, request)
            }
            Message::AppendReply(reply) => self.handle_append_reply(slot, &reply),
            Message::AppendGap(gap) => self.handle_append_gap(slot, &gap),
            Message::StaleEpoch(stale) => self.handle_stale_epoch(now, stale),
            other => self.heard_from_anyone(now, from, other),
        }
    }

    /// What edges say, and changes and their answers.
    fn heard_from_anyone(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewRequest(request) if self.able() => self.renew(now, from, request),
            Message::SessionClose(_) if self.sessions.leave(from) => {
                self.note(Event::SessionClosed, from.to_string());
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
                let ready = self.able() && self.warned.is_none() && self.reaches_majority(now);
                self.out.push(Output::Publish(PublishedState::Fence {
                    until: now + lease::SESSION_LEASE,
                    ready,
                }));
                if self.may_end(now) {
                    self.out.push(Output::ShutdownComplete);
                }
            }
            Input::MessageReceived { from, message } => self.heard(now, from, message),
            Input::Stored { serial } => {
                self.finish_restoring(now, serial);
                self.synced = self.synced.max(serial);
                while self
                    .unsynced
                    .front()
                    .is_some_and(|(serial, _, _)| *serial <= self.synced)
                {
                    let (_, to, message) = self.unsynced.pop_front().expect("just seen");
                    self.tell(to, message);
                }
            }
            Input::StoreFailed => self.handle_store_failure(now),
            Input::Operator { id, request: ask } => self.operator(now, id, ask),
            Input::ShutdownRequested => {
                self.warned.get_or_insert(now);
                self.offer_slot(now);
            }
            Input::ClientRequest { .. }
            | Input::ClientDisconnected { .. }
            | Input::CallCompleted { .. }
            | Input::ConnectionChanged { .. } => {}
        }
        if self.able() {
            self.finish_step(now, tick);
        }
        std::mem::take(&mut self.out)
    }
}
