use crate::prelude::*;

/// A control node without its I/O. Invariants:
/// - A reply that speaks for the disk leaves only once all that was stored
///   before it is synced.
/// - While the disk is blank or has failed nothing is promised, kept or
///   renewed here.
/// - What an earlier life (disk) of a slot said counts for nothing once a
///   later one was met, or once the slot went to another place.
/// - A node without a slot (`NO_SLOT`) only asks for one; one that was removed
///   does nothing.
pub struct ControlPart {
    slot: u8,
    address: SocketAddr,
    /// Who holds the slots, by the newest table heard of; empty before one is.
    places: Vec<Peer>,
    /// Version of that table.
    membership_version: u64,
    seeds: Vec<SocketAddr>,
    /// The seeds are not the table: it is founded or asked for.
    bootstrap: Option<Bootstrap>,
    removed: bool,
    replica: Replica,
    recovery: Option<ReplicaRecovery>,
    failed: bool,
    serial: u64,
    synced: u64,
    unsynced: VecDeque<(u64, SocketAddr, Message)>,
    log_bytes: usize,
    image_bytes: usize,
    leaders: BTreeMap<u8, PartitionLeader>,
    /// Highest promise met for each slice, and when to raise it at the soonest.
    superseded: BTreeMap<u8, (u64, Duration, u32)>,
    peers: BTreeMap<u8, PeerStatus>,
    /// The replica's, and what was met while the disk was blank.
    retired: VecDeque<u64>,
    sessions: Sessions,
    pending_replies: Vec<PendingReply>,
    operator_calls: BTreeMap<u64, OperatorCall>,
    finished_since: BTreeMap<u8, HashMap<String, (u64, Duration)>>,
    swept: Duration,
    /// Until then unknown operations are not run: acknowledged ones may be lost.
    closed: Duration,
    /// Version of the configuration last shown to the history.
    shown: u64,
    /// The realm as last looked at; 0 after a start, so that one whose ledger
    /// is not open yet closes it anew, in full.
    realm: u64,
    /// When that was first seen.
    entered: Duration,
    /// Our disk was refilled after a loss in this realm: a new one is asked for.
    refound: Option<u64>,
    /// The roll as it was before the loss, while the ledger is closed.
    before: Option<(Vec<Peer>, Vec<Peer>, bool)>,
    /// As owner of the duties: when edges on the roll were seen to be gone.
    departed: BTreeMap<Peer, Duration>,
    /// The configuration's parts as far as shown here, up to this version, and
    /// the services of it.
    items: Items,
    read: u64,
    services: Vec<String>,
    /// Marks told when the last duty was known: each holder had begun by then.
    granted: u64,
    /// What the duties were last planned from.
    planned: Option<Planned>,
    /// The whole fleet started for the first time when we did, on empty disks:
    /// no operation ran before.
    fresh: bool,
    /// Whether we were last seen to own the list of origins.
    lists: bool,
    warned: Option<Duration>,
    out: Vec<Output>,
}

/// Of a node that holds no slot (yet).
const NO_SLOT: u8 = u8::MAX;
/// A slot not heard of for this long may go to an empty node.
const LOST: Duration = Duration::from_secs(5);

/// Epoch, version, settled, configuration's version, sessions, holders that ended.
type Planned = (u64, u64, u64, u64, Vec<Vec<(Peer, bool)>>, BTreeSet<Peer>);

#[derive(Debug, Clone, Copy)]
struct PeerStatus {
    life: u64,
    full: bool,
    blank: bool,
    heard: Duration,
    /// The state of our table of sessions up to which it has it.
    got: u64,
}

impl PeerStatus {
    fn near(&self, now: Duration) -> bool {
        now < self.heard + lease::CONTROL_PEER
    }
}

/// An answer that pending_replies for its leader to get so far.
struct PendingReply {
    slice: u8,
    asker: SocketAddr,
    id: u64,
    commit: u64,
    settle: u64,
    round: u64,
    told: Outcome,
}

impl PendingReply {
    /// Puts a row that is replaced whole, unless this change did so already,
    /// another version stands than the expected one, or something is found
    /// wrong with it. The version, if it is put now.
    fn replace(
        &mut self,
        leader: &mut PartitionLeader,
        key: &str,
        value: Value,
        expect: Option<u64>,
        change: u64,
        found: &dyn Fn() -> Option<Vec<Finding>>,
    ) -> Option<u64> {
        let row = leader.rows.get(key);
        let current = row.map_or(0, |row| row.version);
        let made = row.is_some_and(|row| matches!(&row.value, Value::Configuration { change: known, .. } | Value::Origins { change: known, .. } if *known == change));
        if made {
            self.settle = current;
            self.told = Outcome::Settled { version: current };
            return None;
        }
        if expect.is_some_and(|version| version != current) {
            self.commit = current;
            self.told = Outcome::Raced { version: current };
            return None;
        }
        if let Some(found) = found() {
            self.told = Outcome::Findings(found);
            return None;
        }
        let version = leader.put(key.into(), value);
        leader.make(change, version);
        self.settle = version;
        self.told = Outcome::Settled { version };
        Some(version)
    }
}

/// A call from an operator, on its way to the owner.
struct OperatorCall {
    slice: u8,
    change: Change,
    until: Duration,
    next: Duration,
    tries: u32,
}

const FRONT: Duration = Duration::from_secs(12);
/// A warned owner pending_replies this long for others to take its slices.
const HAND_OVER: Duration = Duration::from_secs(3);
/// Without a loss for this long, an owner's pauses start short again.
const OUTRUN_CALM: Duration = Duration::from_secs(10);
const FRONT_AGAIN: Duration = Duration::from_millis(400);
/// A fresh image is written when the log since the last one is this long.
const LOG_BYTES: usize = 4 * 1024 * 1024;

impl ControlPart {
    /// `replica` as read from disk, or a blank one with a new life. The node's
    /// slot is the one its address holds; a blank node elsewhere asks for one.
    /// The table begins with the seeds, unless there is a `bootstrap`.
    pub fn new(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        replica: Replica,
        blank: bool,
        bootstrap: Option<Bootstrap>,
        run: u64,
    ) -> ControlPart {
        let membership_version = || {
            if bootstrap.is_some() {
                vec![]
            } else {
                seeds.iter().map(|seed| Peer::new(*seed, 0)).collect()
            }
        };
        let (version, places) = replica.table().unwrap_or_else(|| (0, membership_version()));
        let slot = places
            .iter()
            .position(|peer| peer.address == address)
            .map_or(NO_SLOT, |at| at as u8);
        let slots = places.len();
        let fresh = blank
            && bootstrap
                .as_ref()
                .is_some_and(|bootstrap| bootstrap.founding);
        let mut part = ControlPart {
            slot,
            address,
            places,
            membership_version: version,
            seeds,
            bootstrap,
            removed: replica.removed,
            recovery: (!replica.full && slot != NO_SLOT)
                .then(|| ReplicaRecovery::new(slot, slots, version)),
            retired: replica.retired.clone(),
            replica,
            failed: false,
            serial: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            log_bytes: 0,
            image_bytes: 0,
            leaders: BTreeMap::new(),
            superseded: BTreeMap::new(),
            peers: BTreeMap::new(),
            sessions: Sessions::new(run),
            pending_replies: Vec::new(),
            operator_calls: BTreeMap::new(),
            finished_since: BTreeMap::new(),
            swept: Duration::ZERO,
            closed: Duration::ZERO,
            shown: 0,
            realm: 0,
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
            out: Vec::new(),
        };
        if blank {
            part.store(&Record::Life {
                life: part.replica.life,
            });
            part.note(Event::DiskBlank, format!("slot {slot}"));
        }
        part
    }

    pub fn me(&self) -> Peer {
        Peer::new(self.address, self.replica.life)
    }

    fn quorum(&self) -> Quorum {
        Quorum::new(self.places.len())
    }

    /// All slots but ours.
    fn others(&self) -> impl Iterator<Item = u8> + use<> {
        let mine = self.slot;
        (0..self.places.len() as u8).filter(move |slot| *slot != mine)
    }

    fn address(&self, slot: u8) -> SocketAddr {
        self.places[usize::from(slot)].address
    }

    fn note(&mut self, event: Event, text: String) {
        self.out.push(Output::Note { event, text });
    }

    fn tell(&mut self, to: SocketAddr, message: impl Into<Message>) {
        self.out.push(Output::Tell {
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
        self.out.push(Output::Store {
            serial: self.serial,
            record: bytes,
        });
        self.replica.apply(record);
        self.see_places();
        if self.log_bytes > LOG_BYTES.max(2 * self.image_bytes) {
            let image = bincode::serialize(&Record::Image(Box::new(self.replica.clone())))
                .expect("records serialize");
            self.image_bytes = image.len();
            self.log_bytes = 0;
            self.serial += 1;
            self.out.push(Output::StoreImage {
                serial: self.serial,
                record: image,
            });
        }
    }

    /// The table of places is news like any other: heeded once published.
    fn see_places(&mut self) {
        if let Some((version, places)) = self
            .replica
            .places()
            .filter(|(version, _)| *version > self.membership_version)
        {
            self.go_by(version, places);
        }
    }

    /// Of a full disk: from now on nobody who goes by an older table gets a
    /// promise or has anything kept here.
    fn go_by(&mut self, version: u64, places: Vec<Peer>) {
        self.membership_version = version;
        if places == self.places {
            self.leaders
                .values_mut()
                .for_each(|leader| leader.go_by(version));
            return;
        }
        let before = std::mem::replace(&mut self.places, places.clone());
        for slot in 0..before.len().max(places.len()) {
            let (old, new) = (before.get(slot), places.get(slot));
            if old == new {
                continue;
            }
            let was = old.map_or(String::new(), |old| format!(" from {old}"));
            let to = new.map_or(String::new(), Peer::to_string);
            self.note(Event::MemberReplaced, format!("slot {slot}{was} to {to}"));
            let at = slot as u8;
            self.sessions.forget_slot(at);
            let Some(peer) = self.peers.remove(&at) else {
                continue;
            };
            let stays = old
                .zip(new)
                .is_some_and(|(old, new)| new.names(&Peer::new(old.address, peer.life)));
            if !stays {
                self.retire(peer.life);
            }
        }
        // What was promised and counted so far was counted by another table:
        // slices are taken anew by this one.
        self.leaders.clear();
        self.pending_replies.clear();
        if self.slot != NO_SLOT
            && !places
                .get(usize::from(self.slot))
                .is_some_and(|peer| peer.names(&self.me()))
        {
            self.mark_removed();
        }
    }

    /// What this disk said counts for nothing any more. Written down: whoever
    /// hears an acknowledgement of ours hears of this first, over our restarts.
    fn retire(&mut self, life: u64) {
        if life == self.replica.life || self.retired.contains(&life) {
            return;
        }
        self.retired.push_back(life);
        while self.retired.len() > RETIRED {
            self.retired.pop_front();
        }
        if self.replica.full {
            self.store(&Record::Retired { life });
        }
    }

    /// Another retired these.
    fn note_retired(&mut self, lives: &[u64]) {
        for life in lives {
            self.retire(*life);
            let slots: Vec<u8> = self
                .peers
                .iter()
                .filter(|(_, peer)| peer.life == *life)
                .map(|(slot, _)| *slot)
                .collect();
            for slot in slots {
                self.peers.remove(&slot);
                self.sessions.forget_slot(slot);
                self.leaders
                    .values_mut()
                    .for_each(|leader| leader.forget(slot));
            }
        }
    }

    fn retired_lives(&self) -> Vec<u64> {
        self.retired.iter().copied().collect()
    }

    fn mark_removed(&mut self) {
        if !self.removed {
            self.removed = true;
            self.store(&Record::Struck);
            self.leaders.clear();
            self.pending_replies.clear();
            // Nobody answers those who asked here any more: at once, not when
            // they lose patience.
            for id in std::mem::take(&mut self.operator_calls).into_keys() {
                self.out.push(Output::OperatorAnswer {
                    id,
                    answer: OperatorAnswer::Outcome(Outcome::Lost),
                });
            }
            self.note(Event::MemberRemoved, format!("slot {}", self.slot));
        }
    }

    /// Another goes by a newer table.
    fn handle_membership(&mut self, now: Duration, membership_version: MembershipTable) {
        let MembershipTable { version, places } = membership_version;
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.met_others();
        }
        let slot = places
            .iter()
            .position(|peer| peer.names(&self.me()))
            .map(|at| at as u8);
        if version <= self.membership_version {
            // The founding table, which there is one of, by who was there.
            let mine = self
                .bootstrap
                .as_ref()
                .is_some_and(|bootstrap| bootstrap.founding)
                && self.places.is_empty()
                && !self.replica.full;
            if version == 0 && mine && slot.is_some() {
                self.store(&Record::Founding {
                    places: places.clone(),
                });
                self.take_seat(now, 0, places, slot);
            }
            return;
        }
        // Kept beside what the slice's rows say: those may be longer in coming.
        self.store(&Record::MembershipTable {
            version,
            places: places.clone(),
        });
        if self.replica.full && !self.places.is_empty() {
            return self.go_by(version, places);
        }
        self.take_seat(now, version, places, slot);
    }

    fn take_seat(&mut self, now: Duration, version: u64, places: Vec<Peer>, slot: Option<u8>) {
        (self.membership_version, self.places) = (version, places);
        // Who was met by the older table may sit elsewhere by this one: that
        // retires nobody.
        self.peers.clear();
        self.retired = self.replica.retired.clone();
        self.slot = slot.unwrap_or(NO_SLOT);
        let blank = slot.filter(|_| !self.replica.full);
        self.recovery = blank.map(|slot| ReplicaRecovery::new(slot, self.places.len(), version));
        self.sessions.begin(now);
    }

    fn able(&self) -> bool {
        self.replica.full && !self.failed && !self.removed && self.slot != NO_SLOT
    }

    /// The slot that shall own a slice: by weight over the live, full slots.
    fn chosen(&self, now: Duration, slice: u8) -> Option<u8> {
        let name = format!("slice/{slice}");
        let live = |slot: &u8| match self.peers.get(slot) {
            _ if *slot == self.slot => self.able() && self.warned.is_none(),
            Some(peer) => peer.full && peer.near(now),
            None => false,
        };
        (0..self.places.len() as u8)
            .filter(live)
            .max_by_key(|slot| Peer::new(self.address(*slot), 0).weight(&name))
    }

    fn tick(&mut self, now: Duration) {
        for peer in self.sessions.tick(now) {
            self.note(Event::SessionLapsed, peer.to_string());
        }
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
            self.take_slices(now);
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
                .push(Output::Show(Shown::Acknowledged { version, text }));
        }
        self.show_lists();
        self.recollect(now);
        self.write_table();
        self.plan_duties(now);
        self.send_operator_calls(now);
    }

    /// Who owns the list of origins is the one to read the platform's.
    fn show_lists(&mut self) {
        let lists = self
            .leaders
            .get(&ORIGINS)
            .is_some_and(|leader| leader.ready() && leader.wary.is_none());
        if lists != self.lists {
            self.lists = lists;
            let list = if lists {
                vec![LISTS.to_string()]
            } else {
                vec![]
            };
            self.out.push(Output::Show(Shown::Duties(list)));
        }
    }

    /// Without a slot: the first seed of a founding makes the table, all others
    /// ask.
    fn ask_for_slot(&mut self, now: Duration) {
        let first = self.seeds.first() == Some(&self.address)
            && self.places.is_empty()
            && !self.replica.full;
        let table = self
            .bootstrap
            .as_mut()
            .filter(|_| first)
            .and_then(|bootstrap| bootstrap.table(now, &self.seeds));
        if let Some(places) = table {
            self.store(&Record::Founding {
                places: places.clone(),
            });
            for peer in &places {
                if peer.address != self.address {
                    self.tell_synced(
                        peer.address,
                        MembershipTable {
                            version: 0,
                            places: places.clone(),
                        },
                    );
                }
            }
            return self.take_seat(now, 0, places, Some(0));
        }
        let founding = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.founding)
            && !self.replica.full;
        // Seeds may be gone by now: who is in the last known table is asked too.
        let known = self.places.iter().map(|peer| peer.address);
        let asked: BTreeSet<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(known)
            .filter(|one| *one != self.address)
            .collect();
        for one in asked {
            self.tell(one, JoinRequest { founding });
        }
    }

    fn beat(&self, now: Duration, to: u8) -> Heartbeat {
        let got = self.peers.get(&to).map_or(0, |peer| peer.got);
        let seen = self.sessions.known(now).then(|| self.sessions.since(got));
        Heartbeat {
            slot: self.slot,
            full: self.able() && self.warned.is_none(),
            blank: !self.replica.full,
            membership_version: self.membership_version,
            closed: self.closed.saturating_sub(now),
            lost: self.lost(),
            got: self.sessions.got(to),
            seen,
        }
    }

    fn take_slices(&mut self, now: Duration) {
        let met = self.others().filter(|slot| {
            self.peers
                .get(slot)
                .is_some_and(|peer| peer.full && peer.near(now))
        });
        if met.count() + 1 < self.quorum().most() {
            return;
        }
        for slice in 0..SLICES {
            if self.chosen(now, slice) != Some(self.slot) {
                if self
                    .leaders
                    .get(&slice)
                    .is_some_and(|leader| leader.active_since.is_none())
                {
                    self.leaders.remove(&slice);
                }
                continue;
            }
            let (met, soonest, _) = self.superseded.get(&slice).copied().unwrap_or_default();
            if self.leaders.contains_key(&slice) || now < soonest {
                continue;
            }
            let highest = met.max(self.replica.held(slice).promised);
            let epoch =
                (highest / SLOTS_MOST as u64 + 1) * SLOTS_MOST as u64 + u64::from(self.slot);
            self.leaders.insert(
                slice,
                PartitionLeader::new(slice, epoch, self.places.len(), self.membership_version),
            );
        }
    }

    /// Operations: those whose edge is gone become unknown; final ones are
    /// dropped when they have stood their time under this owner.
    fn sweep(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        for (slice, leader) in self
            .leaders
            .iter_mut()
            .filter(|(slice, leader)| **slice >= NEWS && leader.ready())
        {
            let finished_since = self.finished_since.entry(*slice).or_default();
            let mut lost = Vec::new();
            let mut old = Vec::new();
            for (key, row) in &leader.rows {
                let Value::Operation(operation) = &row.value else {
                    continue;
                };
                if operation.state == OperationState::Running {
                    if self.sessions.gone(now, operation.by, quorum) {
                        lost.push((key.clone(), operation.clone()));
                    }
                    continue;
                }
                let since = finished_since
                    .entry(key.clone())
                    .or_insert((row.version, now));
                if since.0 != row.version {
                    *since = (row.version, now);
                }
                if now >= since.1 + lease::OPERATION {
                    old.push(key.clone());
                }
            }
            for (key, operation) in lost {
                notes.push(format!("{key} by {}", operation.by));
                leader.put(
                    key,
                    Value::Operation(Operation {
                        state: OperationState::Unknown,
                        ..operation
                    }),
                );
            }
            for key in old {
                finished_since.remove(&key);
                leader.drop_row(&key);
            }
        }
        for text in notes {
            self.note(Event::OperationAbandoned, text);
        }
    }

    fn majority_lost(&mut self, now: Duration) {
        if now >= self.closed {
            self.note(
                Event::MajorityLost,
                format!("unknown operations are not run for {:?}", lease::CLOSED),
            );
        }
        self.closed = now + lease::CLOSED;
    }

    /// Whether the ledger of this realm is known to be complete.
    fn open(&self) -> bool {
        self.realm != 0 && self.replica.opened() == self.realm && self.refound.is_none()
    }

    /// The realm whose acknowledged rows may be lost, as far as known here.
    fn lost(&self) -> u64 {
        let known = Some(self.replica.lost).filter(|realm| *realm == self.replica.realm());
        self.refound.or(known).unwrap_or(0)
    }

    /// Another knows that a majority of disks was lost: said with every
    /// promise, so that no slice is taken in ignorance of it.
    fn note_loss(&mut self, now: Duration, realm: u64) {
        if realm != 0 && realm == self.realm && self.refound.is_none() {
            self.majority_lost(now);
            self.refound = Some(realm);
        }
    }

    /// Slices that were founded, or lost a majority of their disks, first
    /// take back from the edges what those were shown.
    fn recollect(&mut self, now: Duration) {
        if self.realm != self.replica.realm() {
            self.realm = self.replica.realm();
            self.entered = now;
            self.refound = Some(self.replica.lost).filter(|realm| *realm == self.realm);
            if self.replica.opened() != self.realm || self.refound.is_some() {
                // A first founding looks like the loss of everything.
                self.majority_lost(now);
                // An owner that lost nothing itself knows the roll as it was.
                let owner = self
                    .leaders
                    .get(&DUTIES)
                    .filter(|leader| leader.ready() && leader.wary.is_none());
                self.before = owner.and_then(PartitionLeader::roll).or(self.before.take());
            }
        }
        if self.open() {
            self.closed = Duration::ZERO;
            self.before = None;
        }
        if let Some(after) = self.refound {
            let ask = ChangeRequest {
                asker: self.address,
                id: 0,
                slice: CONFIGURATION,
                ask: Change::Refound { after },
            };
            self.tell(self.address, ask);
        }
        let mut before = None;
        let mut told = Vec::new();
        let mut notes = Vec::new();
        let earlier = self
            .sessions
            .all()
            .iter()
            .map(|seen| seen.realm)
            .max()
            .unwrap_or(0);
        let realm = Realm::after(earlier.max(self.replica.realm()), self.replica.life);
        for (slice, leader) in self
            .leaders
            .iter_mut()
            .filter(|(_, leader)| leader.ready() && leader.wary.is_some())
        {
            if *slice < NEWS {
                told.extend(
                    self.sessions
                        .beyond(*slice, leader.version)
                        .into_iter()
                        .map(|edge| (edge, *slice)),
                );
            }
            // The ledger opens once the realm tells whether anything was lost.
            let may = *slice < NEWS || self.realm != 0;
            if may && leader.wary.is_some_and(|until| now >= until) {
                leader.wary = None;
                before = leader.roll().or(before);
                leader.put("founded".into(), Value::Founded { realm });
                if *slice == CONFIGURATION {
                    notes.push(format!("realm {realm:016x}"));
                }
            }
        }
        self.before = before.or(self.before.take());
        for (edge, slice) in told {
            self.tell(edge, RecallRequest { slice });
        }
        for text in notes {
            self.note(Event::RealmFounded, text);
        }
    }

    fn recalled(&mut self, recalled: RecallReply) {
        let RecallReply {
            slice,
            version,
            rows,
        } = recalled;
        let Some(leader) = self
            .leaders
            .get_mut(&slice)
            .filter(|leader| leader.wary.is_some() && leader.version < version)
        else {
            return;
        };
        let newer = leader.recall(version, rows);
        self.granted = self.sessions.marks();
        self.note(
            Event::RowsRecalled,
            format!("slice {slice}: {newer} rows up to version {version}"),
        );
    }

    fn plan_duties(&mut self, now: Duration) {
        let Some(leader) = self.leaders.get(&DUTIES) else {
            return;
        };
        // A new owner pending_replies until sessions have had time to show.
        let calm = leader
            .active_since
            .is_some_and(|since| now >= since + lease::CONTROL_TICK);
        if !leader.ready() || !calm || leader.wary.is_some() {
            return;
        }
        // After a start, sessions may stand that are not known yet: then only
        // what holders left who are known to have ended is given out.
        let known = self.sessions.known(now);
        if known {
            self.plan_roll(now);
        }
        self.read_services();
        let Some(leader) = self.leaders.get(&DUTIES) else {
            return;
        };
        let holders = leader.rows.values().filter_map(|row| match &row.value {
            Value::Duty(duty) => duty.holder,
            _ => None,
        });
        let over: BTreeSet<Peer> = holders
            .filter(|peer| self.sessions.ended(*peer, self.granted))
            .collect();
        let planned = (
            leader.epoch,
            leader.version,
            leader.settled(),
            self.read,
            self.sessions.standing(now),
            over,
        );
        if self.planned.as_ref() == Some(&planned) {
            return;
        }
        let quorum = self.quorum();
        let live = if known {
            self.sessions.live(now, quorum)
        } else {
            self.sessions.mine()
        };
        let spread = leader.rows.keys().filter_map(|duty| duty_ring(duty));
        let rings: BTreeSet<&str> = live
            .iter()
            .map(|seen| seen.ring.as_str())
            .chain(spread)
            .collect();
        let mut names: Vec<String> = rings
            .iter()
            .flat_map(|ring| (0..CACHE_SLICES).map(|slice| cache_duty(ring, slice)))
            .collect();
        names.extend(self.services.iter().map(|service| gate_duty(service)));
        let gone = |peer: Peer| self.sessions.gone(now, peer, quorum);
        let ended = |peer: Peer| planned.5.contains(&peer);
        let places = &self.places;
        let beside = |seen: &SessionInfo| {
            places
                .iter()
                .any(|place| place.address.ip() == seen.peer.address.ip())
        };
        let plan = DutyPlan {
            rows: &leader.rows,
            settled: leader.settled(),
            live: &live,
            gone: &gone,
            ended: &ended,
            beside: &beside,
            early: !known,
        };
        let out = plan.next(&names);
        self.planned = Some(planned);
        if !out.is_empty() {
            self.granted = self.sessions.marks();
        }
        let leader = self.leaders.get_mut(&DUTIES).expect("just seen");
        for (key, duty) in &out {
            leader.put(key.clone(), Value::Duty(duty.clone()));
        }
        for (key, duty) in out {
            match duty.holder {
                Some(peer) => self.note(
                    Event::DutyGranted,
                    format!("{key} epoch {} to {peer}", duty.epoch),
                ),
                None => self.note(Event::DutyRevoked, format!("{key} epoch {}", duty.epoch)),
            }
        }
    }

    /// The services of the configuration in force, as shown here.
    fn read_services(&mut self) {
        let held = self.replica.held(CONFIGURATION);
        if held.image.published == self.read {
            return;
        }
        self.read = held.image.published;
        for (key, row) in &held.shown {
            // What stands was judged before.
            let _ = self.items.learn(key, row);
        }
        if let Ok((document, _)) = self.items.merged() {
            self.services = document
                .groups
                .into_iter()
                .map(|group| group.service)
                .collect();
        }
    }

    /// Keeps the roll; and opens the ledger once all of the roll before a loss
    /// have told what they knew.
    fn plan_roll(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        let Some(leader) = self.leaders.get_mut(&DUTIES) else {
            return;
        };
        let told = |peer: &Peer| {
            self.sessions
                .all()
                .iter()
                .any(|seen| seen.peer == *peer && seen.realm == self.realm && seen.recalled)
        };
        if let Some((members, gone, true)) = &self.before
            && now < self.closed
            && Realm::again(self.realm)
            && gone.is_empty()
            && !members.is_empty()
            && members.iter().all(told)
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            self.before = None;
            notes.push("all of the roll told what they knew");
        }
        if self.fresh
            && self.realm != 0
            && !Realm::again(self.realm)
            && leader.opened() != self.realm
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("the fleet is new");
        }
        // All that could come again has come.
        let over = now >= self.closed.max(self.entered + lease::CLOSED);
        if self.realm != 0
            && self.replica.opened() != self.realm
            && over
            && leader.opened() != self.realm
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("all that could come again has come");
        }
        let (known, mut gone, complete) = leader.roll().unwrap_or_default();
        let mut members: BTreeSet<Peer> = self
            .sessions
            .live(now, quorum)
            .iter()
            .map(|seen| seen.peer)
            .collect();
        for peer in known {
            if !members.contains(&peer) && self.sessions.gone(now, peer, quorum) {
                gone.push(peer);
            } else {
                members.insert(peer);
            }
        }
        self.departed.retain(|peer, _| gone.contains(peer));
        for peer in &gone {
            self.departed.entry(*peer).or_insert(now);
        }
        // Who is back in the same life has kept what it knows.
        gone.retain(|peer| !members.contains(peer) && now < self.departed[peer] + lease::CLOSED);
        let members: Vec<Peer> = members.into_iter().collect();
        // Until the new realm has its name, the roll is the lost one's.
        let complete = if self.realm == 0 {
            complete
        } else {
            leader.opened() == self.realm
        };
        let value = Value::Roll {
            members: members.clone(),
            gone,
            complete,
        };
        if leader.rows.get("roll").is_none_or(|row| row.value != value) {
            leader.put("roll".into(), value);
        }
        let settled = leader
            .rows
            .get("roll")
            .is_some_and(|row| row.version <= leader.settled());
        let before = leader.enrolled();
        let members: Vec<Peer> = members
            .into_iter()
            .filter(|peer| settled || before.contains(peer))
            .collect();
        if members != before {
            leader.put("enrolled".into(), Value::Enrolled { members });
        }
        for why in notes {
            self.note(
                Event::LedgerOpened,
                format!("realm {}: {why}", Realm::name(self.realm)),
            );
        }
    }

    fn send_operator_calls(&mut self, now: Duration) {
        let over: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, front)| now >= front.until)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.operator_calls.remove(&id);
            self.out.push(Output::OperatorAnswer {
                id,
                answer: OperatorAnswer::Outcome(Outcome::Lost),
            });
        }
        let me = self.address(self.slot);
        let due: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, front)| now >= front.next)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let front = &self.operator_calls[&id];
            let (slice, ask) = (front.slice, front.change.clone());
            let Some(slot) = self.chosen(now, slice) else {
                continue;
            };
            let front = self.operator_calls.get_mut(&id).expect("just seen");
            front.next = now + FRONT_AGAIN;
            front.tries += 1;
            self.tell(
                self.address(slot),
                ChangeRequest {
                    asker: me,
                    id,
                    slice,
                    ask,
                },
            );
        }
    }

    fn heard(&mut self, now: Duration, from: Peer, message: Message) {
        let retired = self.retired.contains(&from.life);
        let slot = self
            .places
            .iter()
            .position(|peer| peer.names(&from))
            .map(|at| at as u8)
            .filter(|_| !retired);
        match message {
            Message::JoinRequest(enlist) => return self.enlist(from, enlist.founding),
            Message::MembershipTable(membership_version) => {
                return self.handle_membership(now, membership_version);
            }
            _ if self.removed => return,
            Message::RecallReply(ref recalled) if self.slot == NO_SLOT => {
                return self.learn_table(now, recalled);
            }
            // Who holds the slots is asked of the edges too: after a loss of all
            // disks nobody else knows.
            Message::RenewRequest(_) if self.slot == NO_SLOT && self.bootstrap.is_some() => {
                return self.tell(from.address, RecallRequest { slice: PLACES });
            }
            // It thinks we hold a slot: seeds may be gone, it is there.
            Message::Heartbeat(_) if self.slot == NO_SLOT => {
                let Some(bootstrap) = &mut self.bootstrap else {
                    return;
                };
                bootstrap.met_others();
                let founding = bootstrap.founding && !self.replica.full;
                return self.tell(from.address, JoinRequest { founding });
            }
            _ if self.slot == NO_SLOT => return,
            Message::Heartbeat(Heartbeat {
                membership_version, ..
            })
            | Message::PrepareRequest(PrepareRequest {
                membership_version, ..
            })
            | Message::AppendRequest(AppendRequest {
                membership_version, ..
            })
            | Message::SnapshotRequest(SnapshotRequest {
                membership_version, ..
            }) if membership_version < self.membership_version => {
                self.tell(from.address, self.known_seats());
                if !matches!(message, Message::Heartbeat(_)) {
                    // It may be another disk by now, but nothing is done for it.
                    return;
                }
            }
            // One who knows better tells it to who does not.
            Message::Heartbeat(ref beat) if beat.membership_version > self.membership_version => {
                self.tell(from.address, self.beat(now, slot.unwrap_or(NO_SLOT)))
            }
            _ => {}
        }
        if retired {
            return;
        }
        if let Some(slot) = slot.filter(|slot| *slot != self.slot) {
            self.meet(slot, from.life);
        }
        match (slot, message) {
            (Some(slot), Message::Heartbeat(beat)) if slot != self.slot => {
                self.peers.insert(
                    slot,
                    PeerStatus {
                        life: from.life,
                        full: beat.full,
                        blank: beat.blank,
                        heard: now,
                        got: beat.got,
                    },
                );
                // The way a beat took must not add to it, to and fro.
                if !self.open() && now + beat.closed > self.closed + Duration::from_secs(1) {
                    self.closed = now + beat.closed;
                }
                self.note_loss(now, beat.lost);
                if let Some(seen) = beat.seen {
                    self.sessions.told(now, slot, seen);
                }
            }
            (Some(_), Message::SnapshotRequest(refill)) => {
                // In the first round nothing that is told counts.
                let held = if refill.round == 0 {
                    vec![]
                } else {
                    self.replica.copy_out()
                };
                // A first disk holds all that it ever acknowledged: nothing.
                let full = self.replica.full || self.replica.founding;
                // After a loss of everything no table is shown by anybody, and
                // no edge is renewed that might go by another.
                let none = self.replica.held(PLACES).image.version == 0;
                let membership_version = if none {
                    self.membership_version
                } else {
                    self.replica.places().map_or(0, |(version, _)| version)
                };
                self.tell_synced(
                    from.address,
                    SnapshotReply {
                        slot: self.slot,
                        round: refill.round,
                        full,
                        lost: self.lost(),
                        membership_version,
                        held,
                    },
                );
            }
            (Some(_), Message::SnapshotReply(refilled)) => {
                if let Some(merged) = self
                    .recovery
                    .as_mut()
                    .and_then(|recovery| recovery.heard(refilled))
                {
                    self.recovery = None;
                    self.sessions.begin(now);
                    self.store(&Record::SnapshotReply {
                        held: merged.held,
                        lost: merged.lost,
                    });
                    for life in self.retired_lives() {
                        if !self.replica.retired.contains(&life) {
                            self.store(&Record::Retired { life });
                        }
                    }
                    self.realm = self.replica.realm();
                    if merged.lost {
                        self.refound = Some(self.realm);
                    }
                    // A realm met for the first time may have a ledger that
                    // is not complete.
                    self.entered = now;
                    if merged.lost || self.realm != 0 && self.replica.opened() != self.realm {
                        self.majority_lost(now);
                    }
                    self.note(Event::DiskRefilled, format!("slot {}", self.slot));
                }
            }
            (Some(_), Message::PrepareRequest(raise)) if self.able() => {
                self.handle_raise(from, raise)
            }
            (Some(_), Message::AppendRequest(keep)) if self.able() => {
                self.handle_keep(now, from, keep)
            }
            (Some(slot), Message::PrepareReply(raised)) => {
                self.note_loss(now, raised.lost);
                self.note_retired(&raised.retired);
                if let Some(leader) = self
                    .leaders
                    .get_mut(&raised.slice)
                    .filter(|leader| leader.epoch == raised.epoch)
                {
                    let before = leader.active_since;
                    leader.raised(now, slot, raised.image);
                    if before != leader.active_since {
                        // Also one whose founding another began and did not end.
                        if !leader.rows.contains_key("founded") || now < self.closed {
                            // The realm is named last, when all have listened.
                            let rounds = if leader.slice == CONFIGURATION { 2 } else { 1 };
                            leader.wary = Some(now + lease::RECOLLECT * rounds);
                        }
                        let text = format!(
                            "slice {} epoch {} version {}",
                            leader.slice, leader.epoch, leader.version
                        );
                        self.granted = self.sessions.marks();
                        self.finished_since.remove(&raised.slice);
                        self.note(Event::SliceTaken, text);
                        if raised.slice == DUTIES {
                            // Which of the holders are still there?
                            self.ask_all();
                        }
                    }
                }
            }
            (Some(slot), Message::AppendReply(kept)) => {
                self.note_retired(&kept.retired);
                if let Some(leader) = self
                    .leaders
                    .get_mut(&kept.slice)
                    .filter(|leader| leader.epoch == kept.epoch)
                {
                    leader.kept(slot, &kept);
                }
            }
            (Some(slot), Message::AppendGap(lacks)) => {
                if let Some(leader) = self
                    .leaders
                    .get_mut(&lacks.slice)
                    .filter(|leader| leader.epoch == lacks.epoch)
                {
                    // It has not what we thought: it gets everything.
                    leader.forget(slot);
                }
            }
            (Some(_), Message::StaleEpoch(superseded)) => self.handle_stale_epoch(now, superseded),
            (_, Message::RenewRequest(renew)) if self.able() => self.renew(now, from, renew),
            (_, Message::SessionClose(_)) if self.sessions.leave(from) => {
                self.note(Event::SessionLeft, from.to_string());
            }
            (_, Message::RecallReply(recalled)) => self.recalled(recalled),
            (_, Message::ChangeRequest(ask)) => self.handle_ask(now, from, ask),
            (_, Message::ChangeReply(told)) => self.handle_told(told),
            _ => {}
        }
    }

    /// A node without a slot asks for one, or asks again after it got it.
    fn enlist(&mut self, from: Peer, founding: bool) {
        if let Some(bootstrap) = self
            .bootstrap
            .as_mut()
            .filter(|_| founding && self.slot == NO_SLOT)
        {
            bootstrap.enlist(from.address);
        }
        if self.slot == NO_SLOT {
            return;
        }
        if self.places.iter().any(|peer| peer.names(&from)) {
            // Also one that was removed may know. The founder's own table is on its disk before it is told.
            return self.tell_synced(from.address, self.known_seats());
        }
        if self.removed {
            return;
        }
        // To the owner, through our own door; nobody pending_replies for it.
        let ask = ChangeRequest {
            asker: self.address,
            id: 0,
            slice: PLACES,
            ask: Change::JoinRequest {
                peer: from,
                founding,
            },
        };
        self.tell(self.address, ask);
    }

    fn known_seats(&self) -> MembershipTable {
        MembershipTable {
            version: self.membership_version,
            places: self.places.clone(),
        }
    }

    /// An edge told who holds the slots, which nobody else knows here.
    fn learn_table(&mut self, now: Duration, recalled: &RecallReply) {
        let table = recalled.rows.iter().find_map(|(_, row)| match &row.value {
            Value::Places(places) if recalled.slice == PLACES => {
                Some((row.version, places.clone()))
            }
            _ => None,
        });
        if let Some((version, places)) = table.filter(|_| self.bootstrap.is_some()) {
            self.handle_membership(now, MembershipTable { version, places });
        }
    }

    /// The table becomes a row, so that edges learn it: a first one that was
    /// founded is in no row yet, and one may have been lost with a majority.
    fn write_table(&mut self) {
        let Some(leader) = self
            .leaders
            .get_mut(&PLACES)
            .filter(|leader| leader.ready() && leader.wary.is_none())
        else {
            return;
        };
        let known = leader.rows.get("places").map(|row| row.version);
        if known.is_none() && self.bootstrap.is_some()
            || known.unwrap_or(0) < self.membership_version
        {
            leader.version = leader.version.max(self.membership_version);
            leader.put("places".into(), Value::Places(self.places.clone()));
        }
    }

    /// The slot not heard of for long enough, if that is exactly one.
    fn lost_slot(&self, now: Duration, leader: &PartitionLeader) -> Option<u8> {
        let since = leader.active_since?;
        let heard = |slot: &u8| {
            *slot == self.slot
                || now
                    < self
                        .peers
                        .get(slot)
                        .map_or(since, |peer| peer.heard.max(since))
                        + LOST
        };
        let lost: Vec<u8> = (0..self.places.len() as u8)
            .filter(|slot| !heard(slot))
            .collect();
        (lost.len() == 1).then(|| lost[0])
    }

    /// A slot was heard with this life; an earlier one is retired.
    fn meet(&mut self, slot: u8, life: u64) {
        let known = self.peers.entry(slot).or_insert(PeerStatus {
            life,
            full: false,
            blank: true,
            heard: Duration::ZERO,
            got: 0,
        });
        if known.life != life {
            let earlier = known.life;
            *known = PeerStatus {
                life,
                full: false,
                blank: true,
                heard: Duration::ZERO,
                got: 0,
            };
            for leader in self.leaders.values_mut() {
                leader.forget(slot);
            }
            self.sessions.forget_slot(slot);
            self.retire(earlier);
        }
    }

    fn handle_raise(&mut self, from: Peer, raise: PrepareRequest) {
        let PrepareRequest { slice, epoch, .. } = raise;
        let promised = self.replica.held(slice).promised;
        if epoch < promised {
            return self.tell_synced(
                from.address,
                StaleEpoch {
                    slice,
                    epoch,
                    promised,
                },
            );
        }
        if epoch > promised {
            self.store(&Record::Promise { slice, epoch });
        }
        let image = self.replica.held(slice).image.clone();
        self.tell_synced(
            from.address,
            PrepareReply {
                slice,
                epoch,
                lost: self.lost(),
                retired: self.retired_lives(),
                image,
            },
        );
    }

    fn handle_keep(&mut self, now: Duration, from: Peer, keep: AppendRequest) {
        let AppendRequest {
            slice,
            epoch,
            round,
            to,
            ..
        } = keep;
        let held = self.replica.held(slice);
        if epoch < held.promised {
            let promised = held.promised;
            return self.tell_synced(
                from.address,
                StaleEpoch {
                    slice,
                    epoch,
                    promised,
                },
            );
        }
        if !held.fits(&keep) {
            return self.tell(
                from.address,
                AppendGap {
                    slice,
                    epoch,
                    round,
                },
            );
        }
        let published = held.image.published;
        let same = held.image.epoch == epoch && held.image.version >= to && held.promised == epoch;
        if keep.whole || !same || keep.published > published {
            self.store(&Record::AppendReply { keep });
        }
        let held = self.replica.held(slice);
        let clear = if slice < NEWS {
            self.sessions.clear(now, slice, held.image.published)
        } else {
            None
        };
        let version = held.image.published;
        self.tell_synced(
            from.address,
            AppendReply {
                slice,
                epoch,
                round,
                to,
                clear,
                retired: self.retired_lives(),
            },
        );
        if version > published && slice < NEWS {
            let mark = self.sessions.mark();
            for edge in self.sessions.lacking(self.replica.realm(), slice, version) {
                self.tell(
                    edge,
                    UpdateNotice {
                        slice,
                        version,
                        mark,
                    },
                );
            }
        }
    }

    /// All sessions renew now, with a mark of this moment.
    fn ask_all(&mut self) {
        let mark = self.sessions.mark();
        for edge in self.sessions.addresses() {
            self.tell(edge, RenewPrompt { mark });
        }
    }

    fn handle_stale_epoch(&mut self, now: Duration, superseded: StaleEpoch) {
        if self
            .leaders
            .get(&superseded.slice)
            .is_none_or(|leader| leader.epoch != superseded.epoch)
        {
            return;
        }
        self.leaders.remove(&superseded.slice);
        self.pending_replies
            .retain(|wait| wait.slice != superseded.slice);
        // Two that both think themselves chosen do not chase each other:
        // each pending_replies longer after each loss, and unlike long.
        let recent = |known: &&(u64, Duration, u32)| now < known.1 + OUTRUN_CALM;
        let spell = self
            .superseded
            .get(&superseded.slice)
            .filter(recent)
            .map_or(0, |known| (known.2 + 1).min(5));
        let pause = Duration::from_millis((40 + 30 * u64::from(self.slot)) << spell);
        self.superseded
            .insert(superseded.slice, (superseded.promised, now + pause, spell));
        self.note(
            Event::SliceLost,
            format!(
                "slice {} epoch {} to {}",
                superseded.slice, superseded.epoch, superseded.promised
            ),
        );
    }

    fn renew(&mut self, now: Duration, from: Peer, renew: RenewRequest) {
        let mine = self.replica.realm();
        // An edge of another realm takes everything anew.
        let news = if renew.realm == mine || mine == 0 {
            self.replica.news(&renew.vector)
        } else {
            self.replica.news(&[])
        };
        let recall = now < self.closed;
        let founded = renew.realm == 0 || mine != 0;
        let RenewRequest {
            sent,
            heard,
            realm,
            recalled,
            vector,
            zone,
            ring,
            strength,
            draining,
            usage,
            found,
        } = renew;
        if self.sessions.renew(
            now,
            SessionInfo {
                peer: from,
                zone,
                ring,
                strength,
                draining,
                realm,
                recalled,
                vector,
                usage,
                found,
            },
            heard,
        ) {
            self.note(Event::SessionOpened, from.to_string());
        }
        // An edge of an earlier realm is heard, but not live by us, until there
        // is a new one for it to enter.
        if !founded {
            return;
        }
        let mark = self.sessions.mark();
        self.tell(
            from.address,
            RenewReply {
                life: from.life,
                mark,
                sent,
                realm: mine,
                recall,
                news,
            },
        );
    }

    fn handle_ask(&mut self, now: Duration, from: Peer, ask: ChangeRequest) {
        let owner = self
            .leaders
            .get(&ask.slice)
            .is_some_and(|leader| leader.ready() && leader.wary.is_none());
        if let Change::Claim(claim) = &ask.ask
            && owner
            && !self.replica.enrolled(&claim.by)
        {
            return; // It asks again; by then it is on the roll.
        }
        if owner && self.able() {
            self.pending_replies
                .retain(|wait| (wait.asker, wait.id) != (ask.asker, ask.id));
            let wait = self.change(now, ask);
            self.pending_replies.push(wait);
        } else if from.address == ask.asker
            && let Some(slot) = self
                .chosen(now, ask.slice)
                .filter(|slot| *slot != self.slot)
        {
            self.tell(self.address(slot), ask);
        }
    }

    /// Names the next realm, unless that was done since it was asked for.
    fn refound(&mut self, after: u64) {
        let realm = Realm::after(self.replica.realm(), self.replica.life);
        let Some(leader) = self.leaders.get_mut(&CONFIGURATION) else {
            return;
        };
        if leader
            .rows
            .get("founded")
            .is_some_and(|row| row.value == Value::Founded { realm: after })
        {
            leader.put("founded".into(), Value::Founded { realm });
            self.note(Event::RealmFounded, format!("realm {realm:016x}"));
        }
    }

    /// Puts a peer in its own or in a lost slot's place, or a founding one in a
    /// new slot, once the last move has settled. A lost or a new slot also
    /// pending_replies until the last newcomer was refilled: what was acknowledged by the
    /// table before lies on a majority of this one only then.
    fn seat(&mut self, now: Duration, peer: Peer, founding: bool) {
        let Some(leader) = self
            .leaders
            .get(&PLACES)
            .filter(|leader| leader.settled() >= leader.version)
        else {
            return;
        };
        if self.places.iter().any(|known| known.names(&peer))
            || leader
                .rows
                .get("places")
                .is_some_and(|row| row.version > self.membership_version)
        {
            return;
        }
        // A new disk at a place that holds a slot asks for that slot.
        let own = self
            .places
            .iter()
            .position(|known| known.address == peer.address)
            .map(|at| at as u8);
        let blank = |slot: &u8| {
            self.peers
                .get(slot)
                .is_some_and(|peer| peer.blank && peer.near(now))
        };
        let whole = !self.others().any(|slot| blank(&slot));
        let all = || {
            self.others().all(|slot| {
                self.peers
                    .get(&slot)
                    .is_some_and(|peer| peer.full && peer.near(now))
            })
        };
        let mut places = self.places.clone();
        if let Some(slot) = own.or_else(|| self.lost_slot(now, leader).filter(|_| whole)) {
            places[usize::from(slot)] = peer;
        } else if founding && places.len() < SLOTS_MOST && all() {
            places.push(Peer::new(peer.address, 0));
        } else {
            return;
        }
        let leader = self.leaders.get_mut(&PLACES).expect("just seen");
        leader.put("places".into(), Value::Places(places));
    }

    /// Makes a change as the slice's owner; the answer pending_replies for the disks.
    fn change(&mut self, now: Duration, ask: ChangeRequest) -> PendingReply {
        let ChangeRequest {
            asker,
            id,
            slice,
            ask,
        } = ask;
        let again = match &ask {
            Change::PutConfiguration { change, .. } | Change::PutOrigins { change, .. } => self
                .leaders
                .get(&slice)
                .and_then(|leader| leader.made(*change)),
            _ => None,
        };
        if let Some(version) = again {
            return PendingReply {
                slice,
                asker,
                id,
                commit: 0,
                settle: version,
                round: 0,
                told: Outcome::Settled { version },
            };
        }
        let left = self.closed.saturating_sub(now);
        let leader = self.leaders.get_mut(&slice).expect("owner");
        let mut wait = PendingReply {
            slice,
            asker,
            id,
            commit: 0,
            settle: 0,
            round: 0,
            told: Outcome::Lost,
        };
        match ask {
            Change::GetConfiguration => {
                wait.round = leader.start_round();
                if let Some(Row {
                    version,
                    value: Value::Configuration { text, .. },
                }) = leader.rows.get("configuration")
                {
                    wait.commit = *version;
                    wait.told = Outcome::Configuration {
                        version: *version,
                        text: text.clone(),
                    };
                } else {
                    wait.told = Outcome::Configuration {
                        version: 0,
                        text: "".into(),
                    };
                }
            }
            Change::List => {
                wait.round = leader.start_round();
                wait.commit = leader.version;
                let rows = leader
                    .rows
                    .iter()
                    .map(|(key, row)| (key.clone(), row.clone()))
                    .collect();
                wait.told = Outcome::Rows {
                    version: leader.version,
                    rows,
                };
            }
            Change::PutConfiguration {
                text,
                expect,
                change,
            } => {
                let found = || Configuration::read(&text).err();
                let value = Value::Configuration {
                    text: text.clone(),
                    change,
                };
                if let Some(version) =
                    wait.replace(leader, "configuration", value, expect, change, &found)
                {
                    self.note(Event::ConfigurationPut, format!("version {version}"));
                }
            }
            Change::PutItems { items, change: _ } => match Items::change(&leader.rows, items) {
                Err(found) => wait.told = Outcome::Findings(found),
                Ok(fresh) => {
                    // What is not newer stands already, settled or on its way.
                    let count = fresh.len();
                    let mut version = leader.version;
                    for (key, item) in fresh {
                        version = leader.put(key, Value::Item(item));
                    }
                    wait.settle = version;
                    wait.told = Outcome::Settled { version };
                    self.note(
                        Event::ConfigurationPut,
                        format!("{count} items, version {version}"),
                    );
                }
            },
            Change::AddPurge { purge, change } => {
                let same = |row: &&Row| matches!(&row.value, Value::Purge { change: known, .. } if *known == change);
                let known = leader.rows.values().find(same).map(|row| row.version);
                let version = known.unwrap_or_else(|| {
                    let key = format!("purge/{:04}", (leader.version + 1) % PURGES_KEPT);
                    leader.put(key, Value::Purge { purge, change })
                });
                wait.settle = version;
                wait.told = Outcome::Settled { version };
            }
            Change::PutOrigins {
                list,
                expect,
                change,
            } => {
                let value = Value::Origins { list, change };
                if let Some(version) =
                    wait.replace(leader, "origins", value, expect, change, &|| None)
                {
                    self.note(Event::OriginsPut, format!("version {version}"));
                }
            }
            Change::OpenLedger { realm } if realm != self.realm => {
                let text = format!("the realm is {} now", Realm::name(self.realm));
                wait.told = Outcome::Findings(vec![Finding::new("/realm", text)]);
            }
            Change::OpenLedger { realm } => {
                let version = if leader.opened() == realm {
                    leader.version
                } else {
                    leader.put("opened".into(), Value::Opened { realm })
                };
                wait.commit = version;
                wait.told = Outcome::Settled { version };
                self.note(
                    Event::LedgerOpened,
                    format!("realm {}: operators said so", Realm::name(realm)),
                );
            }
            Change::Refound { after } => self.refound(after),
            Change::JoinRequest { peer, founding } => self.seat(now, peer, founding),
            Change::Claim(claim) if !left.is_zero() && !Ledger::tells(leader, &claim) => {
                wait.told = Outcome::Closed { left }
            }
            Change::Claim(claim) => (wait.commit, wait.told) = Ledger::claim(leader, claim),
            Change::Release(claim) => {
                (wait.commit, wait.told) = Ledger::finish(leader, claim, OperationState::Released)
            }
            Change::Record(claim, reply) => {
                let state = reply.map_or(OperationState::Unknown, OperationState::Done);
                (wait.commit, wait.told) = Ledger::finish(leader, claim, state);
            }
        }
        wait
    }

    fn handle_told(&mut self, told: ChangeReply) {
        let Some(front) = self.operator_calls.get(&told.id) else {
            return;
        };
        let outcome = match told.told {
            // An earlier try of ours may be what this one lost against.
            Outcome::Raced { .. } if front.tries > 1 => Outcome::Lost,
            outcome => outcome,
        };
        self.operator_calls.remove(&told.id);
        self.out.push(Output::OperatorAnswer {
            id: told.id,
            answer: OperatorAnswer::Outcome(outcome),
        });
    }

    fn finish_step(&mut self, now: Duration, tick: bool) {
        let mut told = Vec::new();
        for (slice, leader) in &mut self.leaders {
            for (slot, message) in leader.flush(now, tick) {
                told.push((self.places[usize::from(slot)].address, message));
            }
            let (committed, settled, round) = (
                leader.committed(),
                leader.settled(),
                leader.confirmed_round(),
            );
            self.pending_replies.retain(|wait| {
                let done = wait.slice == *slice
                    && wait.commit <= committed
                    && wait.settle <= settled
                    && wait.round <= round;
                if done {
                    told.push((
                        wait.asker,
                        ChangeReply {
                            id: wait.id,
                            told: wait.told.clone(),
                        }
                        .into(),
                    ));
                }
                !done
            });
        }
        for (to, message) in told {
            self.tell(to, message);
        }
    }

    fn operator(&mut self, now: Duration, id: u64, ask: OperatorAsk) {
        match ask {
            OperatorAsk::Change { .. } if self.removed || self.slot == NO_SLOT => {
                self.out.push(Output::OperatorAnswer {
                    id,
                    answer: OperatorAnswer::Outcome(Outcome::Lost),
                });
            }
            OperatorAsk::Change { slice, change } => {
                self.operator_calls.insert(
                    id,
                    OperatorCall {
                        slice,
                        change,
                        until: now + FRONT,
                        next: now,
                        tries: 0,
                    },
                );
                self.send_operator_calls(now);
            }
            OperatorAsk::State => {
                let answer = OperatorAnswer::State(self.state(now));
                self.out.push(Output::OperatorAnswer { id, answer });
            }
        }
    }

    /// What this node knows of the fleet.
    fn state(&self, now: Duration) -> serde_json::Value {
        let control: Vec<_> = (0..self.places.len() as u8)
            .map(|slot| {
                let peer = self.peers.get(&slot);
                let live = slot == self.slot || peer.is_some_and(|peer| peer.near(now));
                let full = if slot == self.slot { self.able() } else { live && peer.is_some_and(|peer| peer.full) };
                serde_json::json!({ "slot": slot, "address": self.address(slot), "live": live, "full": full })
            })
            .collect();
        let edges: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .map(|seen| {
                serde_json::json!({
                    "address": seen.peer.address, "life": format!("{:016x}", seen.peer.life), "zone": seen.zone,
                    "draining": seen.draining, "vector": seen.vector, "usage": seen.usage,
                })
            })
            .collect();
        let origins: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .flat_map(|seen| seen.found)
            .collect();
        let slices: Vec<_> = self
            .leaders
            .values()
            .filter(|leader| leader.ready())
            .map(|leader| {
                serde_json::json!({
                    "slice": leader.slice, "epoch": leader.epoch, "version": leader.version,
                    "committed": leader.committed(), "settled": leader.settled(), "rows": leader.rows.len(),
                })
            })
            .collect();
        let ledger = serde_json::json!({ "realm": Realm::name(self.realm), "closed_s": self.closed.saturating_sub(now).as_secs_f64().ceil() });
        serde_json::json!({ "slot": self.slot, "ledger": ledger, "control": control, "edges": edges, "origins": origins, "owned_slices": slices })
    }
}

impl Part for ControlPart {
    fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut tick = false;
        match input {
            Input::Tick => {
                tick = true;
                self.tick(now);
                let ready = self.able() && self.warned.is_none();
                self.out.push(Output::Show(Shown::Fence {
                    until: now + lease::CONTROL,
                    ready,
                }));
                // After a warning the others take the slices; then, with all
                // operators answered, nothing is left to do.
                let over = self
                    .warned
                    .is_some_and(|since| self.leaders.is_empty() || now >= since + HAND_OVER);
                if over && self.operator_calls.is_empty() {
                    self.out.push(Output::Ended);
                }
            }
            Input::Heard { from, message } => self.heard(now, from, message),
            Input::Stored { serial } => {
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
            Input::StoreFailed => {
                self.failed = true;
                self.leaders.clear();
                self.pending_replies.clear();
                self.note(Event::DiskFailed, format!("slot {}", self.slot));
            }
            Input::Operator { id, ask } => self.operator(now, id, ask),
            Input::ShutdownRequested => {
                self.warned.get_or_insert(now);
            }
            Input::ClientRequest { .. } | Input::Called { .. } | Input::Watched { .. } => {}
        }
        if self.able() {
            self.finish_step(now, tick);
        }
        std::mem::take(&mut self.out)
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn address(slot: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 100 + slot))
    }

    /// Slot 0 with a full disk that syncs at once; the peers are scripted.
    struct Script {
        part: ControlPart,
    }

    impl Script {
        fn new() -> Script {
            let replica = Replica {
                full: true,
                ..Replica::blank(1)
            };
            let seeds = (0..3).map(address).collect();
            Script {
                part: ControlPart::new(address(0), seeds, replica, false, None, 1),
            }
        }

        /// What it says to others; what it says to itself it hears.
        fn step(&mut self, ms: u64, input: Input) -> Vec<(SocketAddr, Message)> {
            let now = Duration::from_millis(ms);
            let mut inputs = VecDeque::from([input]);
            let mut told = Vec::new();
            while let Some(input) = inputs.pop_front() {
                for output in self.part.step(now, input) {
                    match output {
                        Output::Tell { to, message } if to == address(0) => {
                            inputs.push_back(Input::Heard {
                                from: self.part.me(),
                                message,
                            })
                        }
                        Output::Tell { to, message } => told.push((to, message)),
                        Output::Store { serial, .. } | Output::StoreImage { serial, .. } => {
                            inputs.push_back(Input::Stored { serial })
                        }
                        _ => {}
                    }
                }
            }
            told
        }

        fn hear(
            &mut self,
            ms: u64,
            slot: u16,
            life: u64,
            message: impl Into<Message>,
        ) -> Vec<(SocketAddr, Message)> {
            let from = Peer::new(address(slot), life);
            self.step(
                ms,
                Input::Heard {
                    from,
                    message: message.into(),
                },
            )
        }

        fn beat(&mut self, ms: u64, life: u64) -> Vec<(SocketAddr, Message)> {
            self.hear(
                ms,
                1,
                life,
                Heartbeat {
                    slot: 1,
                    full: true,
                    blank: false,
                    membership_version: 0,
                    closed: Duration::ZERO,
                    lost: 0,
                    got: 0,
                    seen: Some(SessionsDelta::default()),
                },
            )
        }
    }

    #[test]
    fn acknowledgements_of_a_slots_earlier_disk_count_for_nothing() {
        let mut script = Script::new();
        let mut owned = None;
        for ms in (0..1600).step_by(100) {
            let mut said: VecDeque<_> = script.beat(ms, 11).into();
            said.extend(script.step(ms + 1, Input::Tick));
            while let Some((to, message)) = said.pop_front() {
                match message {
                    Message::PrepareRequest(PrepareRequest { slice, epoch, .. })
                        if to == address(1) =>
                    {
                        if [PURGES, ORIGINS].contains(&slice) {
                            owned = Some((slice, epoch));
                        }
                        said.extend(script.hear(
                            ms + 2,
                            1,
                            11,
                            PrepareReply {
                                slice,
                                epoch,
                                lost: 0,
                                retired: vec![],
                                image: PartitionState::default(),
                            },
                        ));
                    }
                    Message::AppendRequest(AppendRequest {
                        slice,
                        epoch,
                        round,
                        to: version,
                        ..
                    }) if to == address(1) => {
                        said.extend(script.hear(
                            ms + 3,
                            1,
                            11,
                            AppendReply {
                                slice,
                                epoch,
                                round,
                                to: version,
                                clear: Some(0),
                                retired: vec![],
                            },
                        ));
                    }
                    _ => {}
                }
            }
        }
        let (slice, epoch) = owned.expect("one of the two is ours by weight");
        let ask = match slice {
            PURGES => Change::AddPurge {
                purge: Purge {
                    entry: Some("e".into()),
                    ..Purge::default()
                },
                change: 5,
            },
            _ => Change::PutOrigins {
                list: Arc::default(),
                expect: None,
                change: 5,
            },
        };
        let told = script.hear(
            1700,
            1,
            11,
            ChangeRequest {
                asker: address(1),
                id: 7,
                slice,
                ask,
            },
        );
        let version = told.iter().find_map(|(_, message)| match message {
            Message::AppendRequest(keep) if keep.slice == slice => Some(keep.to),
            _ => None,
        });
        let version = version.expect("it is written at once");
        // The disk of slot 1 is another now; what the earlier one says comes late.
        script.beat(1710, 12);
        let kept = AppendReply {
            slice,
            epoch,
            round: 100,
            to: version,
            clear: Some(version),
            retired: vec![],
        };
        let answered = |told: &[(SocketAddr, Message)]| {
            told.iter().any(|(_, message)| {
                matches!(message, Message::ChangeReply(ChangeReply { id: 7, .. }))
            })
        };
        assert!(!answered(&script.hear(1720, 1, 11, kept.clone())));
        assert!(!answered(&script.step(1801, Input::Tick)));
        let mut told = script.hear(1810, 1, 12, kept.clone());
        told.extend(script.step(1901, Input::Tick));
        told.extend(script.hear(1910, 1, 12, kept));
        assert!(answered(&told), "the disk that is there now has it");
    }

    /// Five slots, ours is the first: disks 1 and 2 acknowledge a change, and
    /// with ours that is a majority. But disk 2 knows that disk 1 is another by
    /// now, refilled without it, and says so with its acknowledgement.
    #[test]
    fn an_acknowledgement_of_a_retired_life_that_another_reports_is_not_counted() {
        let owned = |retired: Vec<u64>| {
            let replica = Replica {
                full: true,
                ..Replica::blank(1)
            };
            let mut script = Script {
                part: ControlPart::new(
                    address(0),
                    (0..5).map(address).collect(),
                    replica,
                    false,
                    None,
                    1,
                ),
            };
            let mut owned = None;
            for ms in (0..2_500).step_by(100) {
                let mut said = VecDeque::new();
                for slot in 1..5 {
                    let beat = Heartbeat {
                        slot: slot as u8,
                        full: true,
                        blank: false,
                        membership_version: 0,
                        closed: Duration::ZERO,
                        lost: 0,
                        got: 0,
                        seen: Some(SessionsDelta::default()),
                    };
                    said.extend(script.hear(ms, slot, 10 + u64::from(slot), beat));
                }
                said.extend(script.step(ms + 1, Input::Tick));
                while let Some((to, message)) = said.pop_front() {
                    let slot = to.port() - 100;
                    let life = 10 + u64::from(slot);
                    match message {
                        Message::PrepareRequest(PrepareRequest { slice, epoch, .. }) => {
                            owned = Some((slice, epoch))
                                .filter(|_| [PURGES, ORIGINS].contains(&slice))
                                .or(owned);
                            said.extend(script.hear(
                                ms + 2,
                                slot,
                                life,
                                PrepareReply {
                                    slice,
                                    epoch,
                                    lost: 0,
                                    retired: vec![],
                                    image: PartitionState::default(),
                                },
                            ));
                        }
                        Message::AppendRequest(AppendRequest {
                            slice,
                            epoch,
                            round,
                            to: version,
                            ..
                        }) => {
                            said.extend(script.hear(
                                ms + 3,
                                slot,
                                life,
                                AppendReply {
                                    slice,
                                    epoch,
                                    round,
                                    to: version,
                                    clear: Some(0),
                                    retired: vec![],
                                },
                            ));
                        }
                        _ => {}
                    }
                }
            }
            let (slice, epoch) = owned?;
            let ask = match slice {
                PURGES => Change::AddPurge {
                    purge: Purge {
                        entry: Some("e".into()),
                        ..Purge::default()
                    },
                    change: 5,
                },
                _ => Change::PutOrigins {
                    list: Arc::default(),
                    expect: None,
                    change: 5,
                },
            };
            let told = script.hear(
                2_600,
                1,
                11,
                ChangeRequest {
                    asker: address(1),
                    id: 7,
                    slice,
                    ask,
                },
            );
            let version = told.iter().find_map(|(_, message)| match message {
                Message::AppendRequest(keep) if keep.slice == slice => Some(keep.to),
                _ => None,
            })?;
            let kept = |retired| AppendReply {
                slice,
                epoch,
                round: 1_000,
                to: version,
                clear: Some(version),
                retired,
            };
            let mut told = script.hear(2_610, 1, 11, kept(vec![]));
            told.extend(script.hear(2_611, 2, 12, kept(retired)));
            told.extend(script.step(2_701, Input::Tick));
            told.extend(script.step(2_801, Input::Tick));
            Some(told.iter().any(|(_, message)| {
                matches!(message, Message::ChangeReply(ChangeReply { id: 7, .. }))
            }))
        };
        assert_eq!(owned(vec![]), Some(true), "three of five hold it");
        assert_eq!(owned(vec![11]), Some(false), "only two of them do");
    }

    /// A control node whose disk keeps what is synced, alone with its peers.
    struct Alone {
        part: ControlPart,
        disk: Vec<Vec<u8>>,
        unsynced: Vec<(u64, Vec<u8>)>,
    }

    impl Alone {
        fn start(slot: u16, disk: Vec<Vec<u8>>, founding: bool) -> Alone {
            let known = Replica::replay(&disk).unwrap();
            let blank = known.is_none();
            let bootstrap = Bootstrap::new(founding, Duration::from_millis(500));
            let replica = known.unwrap_or_else(|| Replica::blank(40 + u64::from(slot)));
            let part = ControlPart::new(
                address(slot),
                (0..3).map(address).collect(),
                replica,
                blank,
                Some(bootstrap),
                1,
            );
            Alone {
                part,
                disk,
                unsynced: vec![],
            }
        }

        /// What it says; what it stores pending_replies to be synced.
        fn step(&mut self, ms: u64, input: Input) -> Vec<(SocketAddr, Message)> {
            let mut told = Vec::new();
            for output in self.part.step(Duration::from_millis(ms), input) {
                match output {
                    Output::Tell { to, message } => told.push((to, message)),
                    Output::Store { serial, record } => self.unsynced.push((serial, record)),
                    _ => {}
                }
            }
            told
        }

        fn sync(&mut self, ms: u64) -> Vec<(SocketAddr, Message)> {
            let mut told = Vec::new();
            for (serial, record) in std::mem::take(&mut self.unsynced) {
                self.disk.push(record);
                told.extend(self.step(ms, Input::Stored { serial }));
            }
            told
        }

        fn hear(
            &mut self,
            ms: u64,
            from: u16,
            message: impl Into<Message>,
        ) -> Vec<(SocketAddr, Message)> {
            self.step(
                ms,
                Input::Heard {
                    from: Peer::new(address(from), 40 + u64::from(from)),
                    message: message.into(),
                },
            )
        }
    }

    fn membership_version(told: &[(SocketAddr, Message)]) -> Option<Vec<u16>> {
        told.iter().find_map(|(_, message)| match message {
            Message::MembershipTable(membership_version) => Some(
                membership_version
                    .places
                    .iter()
                    .map(|peer| peer.address.port() - 100)
                    .collect(),
            ),
            _ => None,
        })
    }

    #[test]
    fn the_first_seed_tells_a_table_only_once_it_is_on_its_disk_and_never_another() {
        let mut founder = Alone::start(0, vec![], true);
        founder.step(0, Input::Tick);
        founder.hear(100, 4, JoinRequest { founding: true });
        founder.hear(110, 3, JoinRequest { founding: true });
        founder.hear(120, 7, JoinRequest { founding: false });
        founder.sync(130);
        assert_eq!(
            membership_version(&founder.step(600, Input::Tick)),
            None,
            "not synced yet"
        );
        // It ends before the sync: nobody was told, and it begins anew.
        let mut again = Alone::start(0, founder.disk.clone(), true);
        assert!(again.part.places.is_empty());
        again.step(0, Input::Tick);
        again.hear(100, 5, JoinRequest { founding: true });
        again.step(600, Input::Tick);
        assert_eq!(
            membership_version(&again.hear(601, 5, JoinRequest { founding: true })),
            None,
            "still not synced"
        );
        assert_eq!(membership_version(&again.sync(602)), Some(vec![0, 1, 2, 5]));
        // It ends after it: the table is the one that was told, whoever asks.
        let mut again = Alone::start(0, again.disk, true);
        again.hear(10, 3, JoinRequest { founding: true });
        again.step(900, Input::Tick);
        assert_eq!(
            membership_version(&again.hear(901, 1, JoinRequest { founding: true })),
            Some(vec![0, 1, 2, 5])
        );
    }

    #[test]
    fn a_founding_table_is_taken_once_and_only_by_who_was_there() {
        let table = |list: &[u16]| MembershipTable {
            version: 0,
            places: list
                .iter()
                .map(|slot| Peer::new(address(*slot), 0))
                .collect(),
        };
        let mut seed = Alone::start(1, vec![], true);
        seed.step(0, Input::Tick);
        assert!(
            (0..50).all(|more| membership_version(&seed.step(100 * more, Input::Tick)).is_none()),
            "only the first seed makes one"
        );
        seed.hear(5_001, 0, table(&[0, 1, 2, 3]));
        seed.hear(5_002, 0, table(&[0, 1, 2, 4]));
        seed.sync(5_003);
        assert_eq!(seed.part.places.len(), 4);
        let again = Alone::start(1, seed.disk, false);
        assert_eq!(again.part.places[3].address, address(3));
        // A machine that came in place of another never takes or makes one.
        for slot in [0, 1] {
            let mut other = Alone::start(slot, vec![], false);
            other.step(0, Input::Tick);
            other.hear(10, 2, table(&[0, 1, 2]));
            assert!(
                (1..20)
                    .all(|more| membership_version(&other.step(100 * more, Input::Tick)).is_none())
            );
            assert!(other.part.places.is_empty());
            other.hear(
                3_000,
                2,
                MembershipTable {
                    version: 3,
                    ..table(&[0, 1, 2])
                },
            );
            assert_eq!((other.part.places.len(), other.part.slot), (3, slot as u8));
        }
        // Nor does the first seed, if it hears of somebody who has one.
        let mut late = Alone::start(0, vec![], true);
        late.step(0, Input::Tick);
        late.hear(
            100,
            2,
            Heartbeat {
                slot: 2,
                full: true,
                blank: false,
                membership_version: 4,
                closed: Duration::ZERO,
                lost: 0,
                got: 0,
                seen: None,
            },
        );
        late.step(900, Input::Tick);
        assert!(late.part.places.is_empty());
    }
}
