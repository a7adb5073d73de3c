use crate::prelude::*;

/// A control node without its I/O. Invariants:
/// - A reply that speaks for the disk leaves only once all that was stored
///   before it is synced.
/// - While the disk is blank or has failed nothing is promised, kept or
///   renewed here.
/// - What an earlier life (disk) of a slot said counts for nothing once a
///   later one was met, or once the slot went to another place.
/// - A node without a slot (`NO_SLOT`) only asks for one; one that was struck
///   does nothing.
pub struct ControlPart {
    slot: u8,
    address: SocketAddr,
    /// Who holds the slots, by the newest table heard of; empty before one is.
    places: Vec<Mate>,
    /// Version of that table.
    seats: u64,
    seeds: Vec<SocketAddr>,
    /// The seeds are not the table: it is founded or asked for.
    gather: Option<Gather>,
    struck: bool,
    replica: Replica,
    refiller: Option<Refiller>,
    failed: bool,
    serial: u64,
    synced: u64,
    unsynced: VecDeque<(u64, SocketAddr, Message)>,
    log_bytes: usize,
    image_bytes: usize,
    keepers: BTreeMap<u8, Keeper>,
    /// Highest promise met for each slice, and when to raise it at the soonest.
    outrun: BTreeMap<u8, (u64, Duration, u32)>,
    mates: BTreeMap<u8, MateAt>,
    /// The replica's, and what was met while the disk was blank.
    retired: VecDeque<u64>,
    sessions: Sessions,
    waits: Vec<Wait>,
    fronts: BTreeMap<u64, Front>,
    finals: BTreeMap<u8, HashMap<String, (u64, Duration)>>,
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
    before: Option<(Vec<Mate>, Vec<Mate>, bool)>,
    /// As owner of the duties: when edges on the roll were seen to be gone.
    departed: BTreeMap<Mate, Duration>,
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
type Planned = (u64, u64, u64, u64, Vec<Vec<(Mate, bool)>>, BTreeSet<Mate>);

#[derive(Debug, Clone, Copy)]
struct MateAt {
    life: u64,
    full: bool,
    blank: bool,
    heard: Duration,
    /// The state of our table of sessions up to which it has it.
    got: u64,
}

impl MateAt {
    fn near(&self, now: Duration) -> bool {
        now < self.heard + lease::CONTROL_MATE
    }
}

/// An answer that waits for its keeper to get so far.
struct Wait {
    slice: u8,
    asker: SocketAddr,
    id: u64,
    commit: u64,
    settle: u64,
    round: u64,
    told: Outcome,
}

impl Wait {
    /// Puts a row that is replaced whole, unless this change did so already,
    /// another version stands than the expected one, or something is found
    /// wrong with it. The version, if it is put now.
    fn replace(
        &mut self,
        keeper: &mut Keeper,
        key: &str,
        value: Value,
        expect: Option<u64>,
        change: u64,
        found: &dyn Fn() -> Option<Vec<Finding>>,
    ) -> Option<u64> {
        let row = keeper.rows.get(key);
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
        let version = keeper.put(key.into(), value);
        keeper.make(change, version);
        self.settle = version;
        self.told = Outcome::Settled { version };
        Some(version)
    }
}

/// A call from an operator, on its way to the owner.
struct Front {
    slice: u8,
    change: Change,
    until: Duration,
    next: Duration,
    tries: u32,
}

const FRONT: Duration = Duration::from_secs(12);
/// A warned owner waits this long for others to take its slices.
const HAND_OVER: Duration = Duration::from_secs(3);
/// Without a loss for this long, an owner's pauses start short again.
const OUTRUN_CALM: Duration = Duration::from_secs(10);
const FRONT_AGAIN: Duration = Duration::from_millis(400);
/// A fresh image is written when the log since the last one is this long.
const LOG_BYTES: usize = 4 * 1024 * 1024;

impl ControlPart {
    /// `replica` as read from disk, or a blank one with a new life. The node's
    /// slot is the one its address holds; a blank node elsewhere asks for one.
    /// The table begins with the seeds, unless there is a `gather`.
    pub fn new(
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        replica: Replica,
        blank: bool,
        gather: Option<Gather>,
        run: u64,
    ) -> ControlPart {
        let seats = || {
            if gather.is_some() {
                vec![]
            } else {
                seeds.iter().map(|seed| Mate::new(*seed, 0)).collect()
            }
        };
        let (version, places) = replica.table().unwrap_or_else(|| (0, seats()));
        let slot = places
            .iter()
            .position(|mate| mate.address == address)
            .map_or(NO_SLOT, |at| at as u8);
        let slots = places.len();
        let fresh = blank && gather.as_ref().is_some_and(|gather| gather.founding);
        let mut part = ControlPart {
            slot,
            address,
            places,
            seats: version,
            seeds,
            gather,
            struck: replica.struck,
            refiller: (!replica.full && slot != NO_SLOT)
                .then(|| Refiller::new(slot, slots, version)),
            retired: replica.retired.clone(),
            replica,
            failed: false,
            serial: 0,
            synced: 0,
            unsynced: VecDeque::new(),
            log_bytes: 0,
            image_bytes: 0,
            keepers: BTreeMap::new(),
            outrun: BTreeMap::new(),
            mates: BTreeMap::new(),
            sessions: Sessions::new(run),
            waits: Vec::new(),
            fronts: BTreeMap::new(),
            finals: BTreeMap::new(),
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

    pub fn me(&self) -> Mate {
        Mate::new(self.address, self.replica.life)
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
            .filter(|(version, _)| *version > self.seats)
        {
            self.go_by(version, places);
        }
    }

    /// Of a full disk: from now on nobody who goes by an older table gets a
    /// promise or has anything kept here.
    fn go_by(&mut self, version: u64, places: Vec<Mate>) {
        self.seats = version;
        if places == self.places {
            self.keepers
                .values_mut()
                .for_each(|keeper| keeper.go_by(version));
            return;
        }
        let before = std::mem::replace(&mut self.places, places.clone());
        for slot in 0..before.len().max(places.len()) {
            let (old, new) = (before.get(slot), places.get(slot));
            if old == new {
                continue;
            }
            let was = old.map_or(String::new(), |old| format!(" from {old}"));
            let to = new.map_or(String::new(), Mate::to_string);
            self.note(Event::SlotTaken, format!("slot {slot}{was} to {to}"));
            let at = slot as u8;
            self.sessions.forget_slot(at);
            let Some(mate) = self.mates.remove(&at) else {
                continue;
            };
            let stays = old
                .zip(new)
                .is_some_and(|(old, new)| new.names(&Mate::new(old.address, mate.life)));
            if !stays {
                self.retire(mate.life);
            }
        }
        // What was promised and counted so far was counted by another table:
        // slices are taken anew by this one.
        self.keepers.clear();
        self.waits.clear();
        if self.slot != NO_SLOT
            && !places
                .get(usize::from(self.slot))
                .is_some_and(|mate| mate.names(&self.me()))
        {
            self.strike();
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
    fn heed_retired(&mut self, lives: &[u64]) {
        for life in lives {
            self.retire(*life);
            let slots: Vec<u8> = self
                .mates
                .iter()
                .filter(|(_, mate)| mate.life == *life)
                .map(|(slot, _)| *slot)
                .collect();
            for slot in slots {
                self.mates.remove(&slot);
                self.sessions.forget_slot(slot);
                self.keepers
                    .values_mut()
                    .for_each(|keeper| keeper.forget(slot));
            }
        }
    }

    fn retired_lives(&self) -> Vec<u64> {
        self.retired.iter().copied().collect()
    }

    fn strike(&mut self) {
        if !self.struck {
            self.struck = true;
            self.store(&Record::Struck);
            self.keepers.clear();
            self.waits.clear();
            // Nobody answers those who asked here any more: at once, not when
            // they lose patience.
            for id in std::mem::take(&mut self.fronts).into_keys() {
                self.out.push(Output::OperatorAnswer {
                    id,
                    answer: OperatorAnswer::Outcome(Outcome::Lost),
                });
            }
            self.note(Event::SlotStruck, format!("slot {}", self.slot));
        }
    }

    /// Another goes by a newer table.
    fn heed_seats(&mut self, now: Duration, seats: Seats) {
        let Seats { version, places } = seats;
        if let Some(gather) = &mut self.gather {
            gather.met_others();
        }
        let slot = places
            .iter()
            .position(|mate| mate.names(&self.me()))
            .map(|at| at as u8);
        if version <= self.seats {
            // The founding table, which there is one of, by who was there.
            let mine = self.gather.as_ref().is_some_and(|gather| gather.founding)
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
        self.store(&Record::Seats {
            version,
            places: places.clone(),
        });
        if self.replica.full && !self.places.is_empty() {
            return self.go_by(version, places);
        }
        self.take_seat(now, version, places, slot);
    }

    fn take_seat(&mut self, now: Duration, version: u64, places: Vec<Mate>, slot: Option<u8>) {
        (self.seats, self.places) = (version, places);
        // Who was met by the older table may sit elsewhere by this one: that
        // retires nobody.
        self.mates.clear();
        self.retired = self.replica.retired.clone();
        self.slot = slot.unwrap_or(NO_SLOT);
        let blank = slot.filter(|_| !self.replica.full);
        self.refiller = blank.map(|slot| Refiller::new(slot, self.places.len(), version));
        self.sessions.begin(now);
    }

    fn able(&self) -> bool {
        self.replica.full && !self.failed && !self.struck && self.slot != NO_SLOT
    }

    /// The slot that shall own a slice: by weight over the live, full slots.
    fn chosen(&self, now: Duration, slice: u8) -> Option<u8> {
        let name = format!("slice/{slice}");
        let live = |slot: &u8| match self.mates.get(slot) {
            _ if *slot == self.slot => self.able() && self.warned.is_none(),
            Some(mate) => mate.full && mate.near(now),
            None => false,
        };
        (0..self.places.len() as u8)
            .filter(live)
            .max_by_key(|slot| Mate::new(self.address(*slot), 0).weight(&name))
    }

    fn pulse(&mut self, now: Duration) {
        for mate in self.sessions.pulse(now) {
            self.note(Event::SessionLapsed, mate.to_string());
        }
        if self.struck {
            return;
        }
        if self.slot == NO_SLOT {
            return self.ask_for_slot(now);
        }
        for slot in self.others() {
            self.tell(self.address(slot), self.beat(now, slot));
        }
        if let Some(refiller) = &mut self.refiller {
            for (slot, message) in refiller.pulse(now) {
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
        self.push_fronts(now);
    }

    /// Who owns the list of origins is the one to read the platform's.
    fn show_lists(&mut self) {
        let lists = self
            .keepers
            .get(&ORIGINS)
            .is_some_and(|keeper| keeper.ready() && keeper.wary.is_none());
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
            .gather
            .as_mut()
            .filter(|_| first)
            .and_then(|gather| gather.table(now, &self.seeds));
        if let Some(places) = table {
            self.store(&Record::Founding {
                places: places.clone(),
            });
            for mate in &places {
                if mate.address != self.address {
                    self.tell_synced(
                        mate.address,
                        Seats {
                            version: 0,
                            places: places.clone(),
                        },
                    );
                }
            }
            return self.take_seat(now, 0, places, Some(0));
        }
        let founding =
            self.gather.as_ref().is_some_and(|gather| gather.founding) && !self.replica.full;
        // Seeds may be gone by now: who is in the last known table is asked too.
        let known = self.places.iter().map(|mate| mate.address);
        let asked: BTreeSet<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(known)
            .filter(|one| *one != self.address)
            .collect();
        for one in asked {
            self.tell(one, Enlist { founding });
        }
    }

    fn beat(&self, now: Duration, to: u8) -> Beat {
        let got = self.mates.get(&to).map_or(0, |mate| mate.got);
        let seen = self.sessions.known(now).then(|| self.sessions.since(got));
        Beat {
            slot: self.slot,
            full: self.able() && self.warned.is_none(),
            blank: !self.replica.full,
            seats: self.seats,
            closed: self.closed.saturating_sub(now),
            lost: self.lost(),
            got: self.sessions.got(to),
            seen,
        }
    }

    fn take_slices(&mut self, now: Duration) {
        let met = self.others().filter(|slot| {
            self.mates
                .get(slot)
                .is_some_and(|mate| mate.full && mate.near(now))
        });
        if met.count() + 1 < self.quorum().most() {
            return;
        }
        for slice in 0..SLICES {
            if self.chosen(now, slice) != Some(self.slot) {
                if self
                    .keepers
                    .get(&slice)
                    .is_some_and(|keeper| keeper.active_since.is_none())
                {
                    self.keepers.remove(&slice);
                }
                continue;
            }
            let (met, soonest, _) = self.outrun.get(&slice).copied().unwrap_or_default();
            if self.keepers.contains_key(&slice) || now < soonest {
                continue;
            }
            let highest = met.max(self.replica.held(slice).promised);
            let epoch =
                (highest / SLOTS_MOST as u64 + 1) * SLOTS_MOST as u64 + u64::from(self.slot);
            self.keepers.insert(
                slice,
                Keeper::new(slice, epoch, self.places.len(), self.seats),
            );
        }
    }

    /// Operations: those whose edge is gone become unknown; final ones are
    /// dropped when they have stood their time under this owner.
    fn sweep(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        for (slice, keeper) in self
            .keepers
            .iter_mut()
            .filter(|(slice, keeper)| **slice >= NEWS && keeper.ready())
        {
            let finals = self.finals.entry(*slice).or_default();
            let mut lost = Vec::new();
            let mut old = Vec::new();
            for (key, row) in &keeper.rows {
                let Value::Operation(operation) = &row.value else {
                    continue;
                };
                if operation.state == OperationState::Running {
                    if self.sessions.gone(now, operation.by, quorum) {
                        lost.push((key.clone(), operation.clone()));
                    }
                    continue;
                }
                let since = finals.entry(key.clone()).or_insert((row.version, now));
                if since.0 != row.version {
                    *since = (row.version, now);
                }
                if now >= since.1 + lease::OPERATION {
                    old.push(key.clone());
                }
            }
            for (key, operation) in lost {
                notes.push(format!("{key} by {}", operation.by));
                keeper.put(
                    key,
                    Value::Operation(Operation {
                        state: OperationState::Unknown,
                        ..operation
                    }),
                );
            }
            for key in old {
                finals.remove(&key);
                keeper.drop_row(&key);
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
    fn heed_loss(&mut self, now: Duration, realm: u64) {
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
                    .keepers
                    .get(&DUTIES)
                    .filter(|keeper| keeper.ready() && keeper.wary.is_none());
                self.before = owner.and_then(Keeper::roll).or(self.before.take());
            }
        }
        if self.open() {
            self.closed = Duration::ZERO;
            self.before = None;
        }
        if let Some(after) = self.refound {
            let ask = Ask {
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
        for (slice, keeper) in self
            .keepers
            .iter_mut()
            .filter(|(_, keeper)| keeper.ready() && keeper.wary.is_some())
        {
            if *slice < NEWS {
                told.extend(
                    self.sessions
                        .beyond(*slice, keeper.version)
                        .into_iter()
                        .map(|edge| (edge, *slice)),
                );
            }
            // The ledger opens once the realm tells whether anything was lost.
            let may = *slice < NEWS || self.realm != 0;
            if may && keeper.wary.is_some_and(|until| now >= until) {
                keeper.wary = None;
                before = keeper.roll().or(before);
                keeper.put("founded".into(), Value::Founded { realm });
                if *slice == CONFIGURATION {
                    notes.push(format!("realm {realm:016x}"));
                }
            }
        }
        self.before = before.or(self.before.take());
        for (edge, slice) in told {
            self.tell(edge, Recall { slice });
        }
        for text in notes {
            self.note(Event::RealmFounded, text);
        }
    }

    fn recalled(&mut self, recalled: Recalled) {
        let Recalled {
            slice,
            version,
            rows,
        } = recalled;
        let Some(keeper) = self
            .keepers
            .get_mut(&slice)
            .filter(|keeper| keeper.wary.is_some() && keeper.version < version)
        else {
            return;
        };
        let newer = keeper.recall(version, rows);
        self.granted = self.sessions.marks();
        self.note(
            Event::RowsRecalled,
            format!("slice {slice}: {newer} rows up to version {version}"),
        );
    }

    fn plan_duties(&mut self, now: Duration) {
        let Some(keeper) = self.keepers.get(&DUTIES) else {
            return;
        };
        // A new owner waits until sessions have had time to show.
        let calm = keeper
            .active_since
            .is_some_and(|since| now >= since + lease::CONTROL_PULSE);
        if !keeper.ready() || !calm || keeper.wary.is_some() {
            return;
        }
        // After a start, sessions may stand that are not known yet: then only
        // what holders left who are known to have ended is given out.
        let known = self.sessions.known(now);
        if known {
            self.plan_roll(now);
        }
        self.read_services();
        let Some(keeper) = self.keepers.get(&DUTIES) else {
            return;
        };
        let holders = keeper.rows.values().filter_map(|row| match &row.value {
            Value::Duty(duty) => duty.holder,
            _ => None,
        });
        let over: BTreeSet<Mate> = holders
            .filter(|mate| self.sessions.ended(*mate, self.granted))
            .collect();
        let planned = (
            keeper.epoch,
            keeper.version,
            keeper.settled(),
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
        let spread = keeper.rows.keys().filter_map(|duty| duty_ring(duty));
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
        let gone = |mate: Mate| self.sessions.gone(now, mate, quorum);
        let ended = |mate: Mate| planned.5.contains(&mate);
        let places = &self.places;
        let beside = |seen: &Seen| {
            places
                .iter()
                .any(|place| place.address.ip() == seen.mate.address.ip())
        };
        let plan = DutyPlan {
            rows: &keeper.rows,
            settled: keeper.settled(),
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
        let keeper = self.keepers.get_mut(&DUTIES).expect("just seen");
        for (key, duty) in &out {
            keeper.put(key.clone(), Value::Duty(duty.clone()));
        }
        for (key, duty) in out {
            match duty.holder {
                Some(mate) => self.note(
                    Event::DutyGranted,
                    format!("{key} epoch {} to {mate}", duty.epoch),
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
        let Some(keeper) = self.keepers.get_mut(&DUTIES) else {
            return;
        };
        let told = |mate: &Mate| {
            self.sessions
                .all()
                .iter()
                .any(|seen| seen.mate == *mate && seen.realm == self.realm && seen.recalled)
        };
        if let Some((members, gone, true)) = &self.before
            && now < self.closed
            && Realm::again(self.realm)
            && gone.is_empty()
            && !members.is_empty()
            && members.iter().all(told)
        {
            keeper.put("opened".into(), Value::Opened { realm: self.realm });
            self.before = None;
            notes.push("all of the roll told what they knew");
        }
        if self.fresh
            && self.realm != 0
            && !Realm::again(self.realm)
            && keeper.opened() != self.realm
        {
            keeper.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("the fleet is new");
        }
        // All that could come again has come.
        let over = now >= self.closed.max(self.entered + lease::CLOSED);
        if self.realm != 0
            && self.replica.opened() != self.realm
            && over
            && keeper.opened() != self.realm
        {
            keeper.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("all that could come again has come");
        }
        let (known, mut gone, complete) = keeper.roll().unwrap_or_default();
        let mut members: BTreeSet<Mate> = self
            .sessions
            .live(now, quorum)
            .iter()
            .map(|seen| seen.mate)
            .collect();
        for mate in known {
            if !members.contains(&mate) && self.sessions.gone(now, mate, quorum) {
                gone.push(mate);
            } else {
                members.insert(mate);
            }
        }
        self.departed.retain(|mate, _| gone.contains(mate));
        for mate in &gone {
            self.departed.entry(*mate).or_insert(now);
        }
        // Who is back in the same life has kept what it knows.
        gone.retain(|mate| !members.contains(mate) && now < self.departed[mate] + lease::CLOSED);
        let members: Vec<Mate> = members.into_iter().collect();
        // Until the new realm has its name, the roll is the lost one's.
        let complete = if self.realm == 0 {
            complete
        } else {
            keeper.opened() == self.realm
        };
        let value = Value::Roll {
            members: members.clone(),
            gone,
            complete,
        };
        if keeper.rows.get("roll").is_none_or(|row| row.value != value) {
            keeper.put("roll".into(), value);
        }
        let settled = keeper
            .rows
            .get("roll")
            .is_some_and(|row| row.version <= keeper.settled());
        let before = keeper.enrolled();
        let members: Vec<Mate> = members
            .into_iter()
            .filter(|mate| settled || before.contains(mate))
            .collect();
        if members != before {
            keeper.put("enrolled".into(), Value::Enrolled { members });
        }
        for why in notes {
            self.note(
                Event::LedgerOpened,
                format!("realm {}: {why}", Realm::name(self.realm)),
            );
        }
    }

    fn push_fronts(&mut self, now: Duration) {
        let over: Vec<u64> = self
            .fronts
            .iter()
            .filter(|(_, front)| now >= front.until)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.fronts.remove(&id);
            self.out.push(Output::OperatorAnswer {
                id,
                answer: OperatorAnswer::Outcome(Outcome::Lost),
            });
        }
        let me = self.address(self.slot);
        let due: Vec<u64> = self
            .fronts
            .iter()
            .filter(|(_, front)| now >= front.next)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let front = &self.fronts[&id];
            let (slice, ask) = (front.slice, front.change.clone());
            let Some(slot) = self.chosen(now, slice) else {
                continue;
            };
            let front = self.fronts.get_mut(&id).expect("just seen");
            front.next = now + FRONT_AGAIN;
            front.tries += 1;
            self.tell(
                self.address(slot),
                Ask {
                    asker: me,
                    id,
                    slice,
                    ask,
                },
            );
        }
    }

    fn heard(&mut self, now: Duration, from: Mate, message: Message) {
        let retired = self.retired.contains(&from.life);
        let slot = self
            .places
            .iter()
            .position(|mate| mate.names(&from))
            .map(|at| at as u8)
            .filter(|_| !retired);
        match message {
            Message::Enlist(enlist) => return self.enlist(from, enlist.founding),
            Message::Seats(seats) => return self.heed_seats(now, seats),
            _ if self.struck => return,
            Message::Recalled(ref recalled) if self.slot == NO_SLOT => {
                return self.learn_table(now, recalled);
            }
            // Who holds the slots is asked of the edges too: after a loss of all
            // disks nobody else knows.
            Message::Renew(_) if self.slot == NO_SLOT && self.gather.is_some() => {
                return self.tell(from.address, Recall { slice: PLACES });
            }
            // It thinks we hold a slot: seeds may be gone, it is there.
            Message::Beat(_) if self.slot == NO_SLOT => {
                let Some(gather) = &mut self.gather else {
                    return;
                };
                gather.met_others();
                let founding = gather.founding && !self.replica.full;
                return self.tell(from.address, Enlist { founding });
            }
            _ if self.slot == NO_SLOT => return,
            Message::Beat(Beat { seats, .. })
            | Message::Raise(Raise { seats, .. })
            | Message::Keep(Keep { seats, .. })
            | Message::Refill(Refill { seats, .. })
                if seats < self.seats =>
            {
                self.tell(from.address, self.known_seats());
                if !matches!(message, Message::Beat(_)) {
                    // It may be another disk by now, but nothing is done for it.
                    return;
                }
            }
            // One who knows better tells it to who does not.
            Message::Beat(ref beat) if beat.seats > self.seats => {
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
            (Some(slot), Message::Beat(beat)) if slot != self.slot => {
                self.mates.insert(
                    slot,
                    MateAt {
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
                self.heed_loss(now, beat.lost);
                if let Some(seen) = beat.seen {
                    self.sessions.told(now, slot, seen);
                }
            }
            (Some(_), Message::Refill(refill)) => {
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
                let seats = if none {
                    self.seats
                } else {
                    self.replica.places().map_or(0, |(version, _)| version)
                };
                self.tell_synced(
                    from.address,
                    Refilled {
                        slot: self.slot,
                        round: refill.round,
                        full,
                        lost: self.lost(),
                        seats,
                        held,
                    },
                );
            }
            (Some(_), Message::Refilled(refilled)) => {
                if let Some(merged) = self
                    .refiller
                    .as_mut()
                    .and_then(|refiller| refiller.heard(refilled))
                {
                    self.refiller = None;
                    self.sessions.begin(now);
                    self.store(&Record::Refilled {
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
            (Some(_), Message::Raise(raise)) if self.able() => self.heed_raise(from, raise),
            (Some(_), Message::Keep(keep)) if self.able() => self.heed_keep(now, from, keep),
            (Some(slot), Message::Raised(raised)) => {
                self.heed_loss(now, raised.lost);
                self.heed_retired(&raised.retired);
                if let Some(keeper) = self
                    .keepers
                    .get_mut(&raised.slice)
                    .filter(|keeper| keeper.epoch == raised.epoch)
                {
                    let before = keeper.active_since;
                    keeper.raised(now, slot, raised.image);
                    if before != keeper.active_since {
                        // Also one whose founding another began and did not end.
                        if !keeper.rows.contains_key("founded") || now < self.closed {
                            // The realm is named last, when all have listened.
                            let rounds = if keeper.slice == CONFIGURATION { 2 } else { 1 };
                            keeper.wary = Some(now + lease::RECOLLECT * rounds);
                        }
                        let text = format!(
                            "slice {} epoch {} version {}",
                            keeper.slice, keeper.epoch, keeper.version
                        );
                        self.granted = self.sessions.marks();
                        self.finals.remove(&raised.slice);
                        self.note(Event::SliceTaken, text);
                        if raised.slice == DUTIES {
                            // Which of the holders are still there?
                            self.ask_all();
                        }
                    }
                }
            }
            (Some(slot), Message::Kept(kept)) => {
                self.heed_retired(&kept.retired);
                if let Some(keeper) = self
                    .keepers
                    .get_mut(&kept.slice)
                    .filter(|keeper| keeper.epoch == kept.epoch)
                {
                    keeper.kept(slot, &kept);
                }
            }
            (Some(slot), Message::Lacks(lacks)) => {
                if let Some(keeper) = self
                    .keepers
                    .get_mut(&lacks.slice)
                    .filter(|keeper| keeper.epoch == lacks.epoch)
                {
                    // It has not what we thought: it gets everything.
                    keeper.forget(slot);
                }
            }
            (Some(_), Message::Outrun(outrun)) => self.heed_outrun(now, outrun),
            (_, Message::Renew(renew)) if self.able() => self.renew(now, from, renew),
            (_, Message::Leave(_)) => {
                if self.sessions.leave(from) {
                    self.note(Event::SessionLeft, from.to_string());
                }
            }
            (_, Message::Recalled(recalled)) => self.recalled(recalled),
            (_, Message::Ask(ask)) => self.heed_ask(now, from, ask),
            (_, Message::Told(told)) => self.heed_told(told),
            _ => {}
        }
    }

    /// A node without a slot asks for one, or asks again after it got it.
    fn enlist(&mut self, from: Mate, founding: bool) {
        if let Some(gather) = self
            .gather
            .as_mut()
            .filter(|_| founding && self.slot == NO_SLOT)
        {
            gather.enlist(from.address);
        }
        if self.slot == NO_SLOT {
            return;
        }
        if self.places.iter().any(|mate| mate.names(&from)) {
            // Also one that was struck may know. The founder's own table is on its disk before it is told.
            return self.tell_synced(from.address, self.known_seats());
        }
        if self.struck {
            return;
        }
        // To the owner, through our own door; nobody waits for it.
        let ask = Ask {
            asker: self.address,
            id: 0,
            slice: PLACES,
            ask: Change::Enlist {
                mate: from,
                founding,
            },
        };
        self.tell(self.address, ask);
    }

    fn known_seats(&self) -> Seats {
        Seats {
            version: self.seats,
            places: self.places.clone(),
        }
    }

    /// An edge told who holds the slots, which nobody else knows here.
    fn learn_table(&mut self, now: Duration, recalled: &Recalled) {
        let table = recalled.rows.iter().find_map(|(_, row)| match &row.value {
            Value::Places(places) if recalled.slice == PLACES => {
                Some((row.version, places.clone()))
            }
            _ => None,
        });
        if let Some((version, places)) = table.filter(|_| self.gather.is_some()) {
            self.heed_seats(now, Seats { version, places });
        }
    }

    /// The table becomes a row, so that edges learn it: a first one that was
    /// founded is in no row yet, and one may have been lost with a majority.
    fn write_table(&mut self) {
        let Some(keeper) = self
            .keepers
            .get_mut(&PLACES)
            .filter(|keeper| keeper.ready() && keeper.wary.is_none())
        else {
            return;
        };
        let known = keeper.rows.get("places").map(|row| row.version);
        if known.is_none() && self.gather.is_some() || known.unwrap_or(0) < self.seats {
            keeper.version = keeper.version.max(self.seats);
            keeper.put("places".into(), Value::Places(self.places.clone()));
        }
    }

    /// The slot not heard of for long enough, if that is exactly one.
    fn lost_slot(&self, now: Duration, keeper: &Keeper) -> Option<u8> {
        let since = keeper.active_since?;
        let heard = |slot: &u8| {
            *slot == self.slot
                || now
                    < self
                        .mates
                        .get(slot)
                        .map_or(since, |mate| mate.heard.max(since))
                        + LOST
        };
        let lost: Vec<u8> = (0..self.places.len() as u8)
            .filter(|slot| !heard(slot))
            .collect();
        (lost.len() == 1).then(|| lost[0])
    }

    /// A slot was heard with this life; an earlier one is retired.
    fn meet(&mut self, slot: u8, life: u64) {
        let known = self.mates.entry(slot).or_insert(MateAt {
            life,
            full: false,
            blank: true,
            heard: Duration::ZERO,
            got: 0,
        });
        if known.life != life {
            let earlier = known.life;
            *known = MateAt {
                life,
                full: false,
                blank: true,
                heard: Duration::ZERO,
                got: 0,
            };
            for keeper in self.keepers.values_mut() {
                keeper.forget(slot);
            }
            self.sessions.forget_slot(slot);
            self.retire(earlier);
        }
    }

    fn heed_raise(&mut self, from: Mate, raise: Raise) {
        let Raise { slice, epoch, .. } = raise;
        let promised = self.replica.held(slice).promised;
        if epoch < promised {
            return self.tell_synced(
                from.address,
                Outrun {
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
            Raised {
                slice,
                epoch,
                lost: self.lost(),
                retired: self.retired_lives(),
                image,
            },
        );
    }

    fn heed_keep(&mut self, now: Duration, from: Mate, keep: Keep) {
        let Keep {
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
                Outrun {
                    slice,
                    epoch,
                    promised,
                },
            );
        }
        if !held.fits(&keep) {
            return self.tell(
                from.address,
                Lacks {
                    slice,
                    epoch,
                    round,
                },
            );
        }
        let published = held.image.published;
        let same = held.image.epoch == epoch && held.image.version >= to && held.promised == epoch;
        if keep.whole || !same || keep.published > published {
            self.store(&Record::Kept { keep });
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
            Kept {
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
                    Nudge {
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
            self.tell(edge, Who { mark });
        }
    }

    fn heed_outrun(&mut self, now: Duration, outrun: Outrun) {
        if self
            .keepers
            .get(&outrun.slice)
            .is_none_or(|keeper| keeper.epoch != outrun.epoch)
        {
            return;
        }
        self.keepers.remove(&outrun.slice);
        self.waits.retain(|wait| wait.slice != outrun.slice);
        // Two that both think themselves chosen do not chase each other:
        // each waits longer after each loss, and unlike long.
        let recent = |known: &&(u64, Duration, u32)| now < known.1 + OUTRUN_CALM;
        let spell = self
            .outrun
            .get(&outrun.slice)
            .filter(recent)
            .map_or(0, |known| (known.2 + 1).min(5));
        let pause = Duration::from_millis((40 + 30 * u64::from(self.slot)) << spell);
        self.outrun
            .insert(outrun.slice, (outrun.promised, now + pause, spell));
        self.note(
            Event::SliceLost,
            format!(
                "slice {} epoch {} to {}",
                outrun.slice, outrun.epoch, outrun.promised
            ),
        );
    }

    fn renew(&mut self, now: Duration, from: Mate, renew: Renew) {
        let mine = self.replica.realm();
        // An edge of another realm takes everything anew.
        let news = if renew.realm == mine || mine == 0 {
            self.replica.news(&renew.vector)
        } else {
            self.replica.news(&[])
        };
        let recall = now < self.closed;
        let founded = renew.realm == 0 || mine != 0;
        let Renew {
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
            Seen {
                mate: from,
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
            Renewed {
                life: from.life,
                mark,
                sent,
                realm: mine,
                recall,
                news,
            },
        );
    }

    fn heed_ask(&mut self, now: Duration, from: Mate, ask: Ask) {
        let owner = self
            .keepers
            .get(&ask.slice)
            .is_some_and(|keeper| keeper.ready() && keeper.wary.is_none());
        if let Change::Claim(claim) = &ask.ask
            && owner
            && !self.replica.enrolled(&claim.by)
        {
            return; // It asks again; by then it is on the roll.
        }
        if owner && self.able() {
            self.waits
                .retain(|wait| (wait.asker, wait.id) != (ask.asker, ask.id));
            let wait = self.change(now, ask);
            self.waits.push(wait);
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
        let Some(keeper) = self.keepers.get_mut(&CONFIGURATION) else {
            return;
        };
        if keeper
            .rows
            .get("founded")
            .is_some_and(|row| row.value == Value::Founded { realm: after })
        {
            keeper.put("founded".into(), Value::Founded { realm });
            self.note(Event::RealmFounded, format!("realm {realm:016x}"));
        }
    }

    /// Puts a mate in its own or in a lost slot's place, or a founding one in a
    /// new slot, once the last move has settled. A lost or a new slot also
    /// waits until the last newcomer was refilled: what was acknowledged by the
    /// table before lies on a majority of this one only then.
    fn seat(&mut self, now: Duration, mate: Mate, founding: bool) {
        let Some(keeper) = self
            .keepers
            .get(&PLACES)
            .filter(|keeper| keeper.settled() >= keeper.version)
        else {
            return;
        };
        if self.places.iter().any(|known| known.names(&mate))
            || keeper
                .rows
                .get("places")
                .is_some_and(|row| row.version > self.seats)
        {
            return;
        }
        // A new disk at a place that holds a slot asks for that slot.
        let own = self
            .places
            .iter()
            .position(|known| known.address == mate.address)
            .map(|at| at as u8);
        let blank = |slot: &u8| {
            self.mates
                .get(slot)
                .is_some_and(|mate| mate.blank && mate.near(now))
        };
        let whole = !self.others().any(|slot| blank(&slot));
        let all = || {
            self.others().all(|slot| {
                self.mates
                    .get(&slot)
                    .is_some_and(|mate| mate.full && mate.near(now))
            })
        };
        let mut places = self.places.clone();
        if let Some(slot) = own.or_else(|| self.lost_slot(now, keeper).filter(|_| whole)) {
            places[usize::from(slot)] = mate;
        } else if founding && places.len() < SLOTS_MOST && all() {
            places.push(Mate::new(mate.address, 0));
        } else {
            return;
        }
        let keeper = self.keepers.get_mut(&PLACES).expect("just seen");
        keeper.put("places".into(), Value::Places(places));
    }

    /// Makes a change as the slice's owner; the answer waits for the disks.
    fn change(&mut self, now: Duration, ask: Ask) -> Wait {
        let Ask {
            asker,
            id,
            slice,
            ask,
        } = ask;
        let again = match &ask {
            Change::PutConfiguration { change, .. } | Change::PutOrigins { change, .. } => self
                .keepers
                .get(&slice)
                .and_then(|keeper| keeper.made(*change)),
            _ => None,
        };
        if let Some(version) = again {
            return Wait {
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
        let keeper = self.keepers.get_mut(&slice).expect("owner");
        let mut wait = Wait {
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
                wait.round = keeper.start_round();
                if let Some(Row {
                    version,
                    value: Value::Configuration { text, .. },
                }) = keeper.rows.get("configuration")
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
                wait.round = keeper.start_round();
                wait.commit = keeper.version;
                let rows = keeper
                    .rows
                    .iter()
                    .map(|(key, row)| (key.clone(), row.clone()))
                    .collect();
                wait.told = Outcome::Rows {
                    version: keeper.version,
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
                    wait.replace(keeper, "configuration", value, expect, change, &found)
                {
                    self.note(Event::ConfigurationPut, format!("version {version}"));
                }
            }
            Change::PutItems { items, change: _ } => match Items::change(&keeper.rows, items) {
                Err(found) => wait.told = Outcome::Findings(found),
                Ok(fresh) => {
                    // What is not newer stands already, settled or on its way.
                    let count = fresh.len();
                    let mut version = keeper.version;
                    for (key, item) in fresh {
                        version = keeper.put(key, Value::Item(item));
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
                let known = keeper.rows.values().find(same).map(|row| row.version);
                let version = known.unwrap_or_else(|| {
                    let key = format!("purge/{:04}", (keeper.version + 1) % PURGES_KEPT);
                    keeper.put(key, Value::Purge { purge, change })
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
                    wait.replace(keeper, "origins", value, expect, change, &|| None)
                {
                    self.note(Event::OriginsPut, format!("version {version}"));
                }
            }
            Change::OpenLedger { realm } if realm != self.realm => {
                let text = format!("the realm is {} now", Realm::name(self.realm));
                wait.told = Outcome::Findings(vec![Finding::new("/realm", text)]);
            }
            Change::OpenLedger { realm } => {
                let version = if keeper.opened() == realm {
                    keeper.version
                } else {
                    keeper.put("opened".into(), Value::Opened { realm })
                };
                wait.commit = version;
                wait.told = Outcome::Settled { version };
                self.note(
                    Event::LedgerOpened,
                    format!("realm {}: operators said so", Realm::name(realm)),
                );
            }
            Change::Refound { after } => self.refound(after),
            Change::Enlist { mate, founding } => self.seat(now, mate, founding),
            Change::Claim(claim) if !left.is_zero() && !Ledger::tells(keeper, &claim) => {
                wait.told = Outcome::Closed { left }
            }
            Change::Claim(claim) => (wait.commit, wait.told) = Ledger::claim(keeper, claim),
            Change::Release(claim) => {
                (wait.commit, wait.told) = Ledger::finish(keeper, claim, OperationState::Released)
            }
            Change::Record(claim, reply) => {
                let state = reply.map_or(OperationState::Unknown, OperationState::Done);
                (wait.commit, wait.told) = Ledger::finish(keeper, claim, state);
            }
        }
        wait
    }

    fn heed_told(&mut self, told: Told) {
        let Some(front) = self.fronts.get(&told.id) else {
            return;
        };
        let outcome = match told.told {
            // An earlier try of ours may be what this one lost against.
            Outcome::Raced { .. } if front.tries > 1 => Outcome::Lost,
            outcome => outcome,
        };
        self.fronts.remove(&told.id);
        self.out.push(Output::OperatorAnswer {
            id: told.id,
            answer: OperatorAnswer::Outcome(outcome),
        });
    }

    fn finish_step(&mut self, now: Duration, pulse: bool) {
        let mut told = Vec::new();
        for (slice, keeper) in &mut self.keepers {
            for (slot, message) in keeper.flush(now, pulse) {
                told.push((self.places[usize::from(slot)].address, message));
            }
            let (committed, settled, round) = (
                keeper.committed(),
                keeper.settled(),
                keeper.confirmed_round(),
            );
            self.waits.retain(|wait| {
                let done = wait.slice == *slice
                    && wait.commit <= committed
                    && wait.settle <= settled
                    && wait.round <= round;
                if done {
                    told.push((
                        wait.asker,
                        Told {
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
            OperatorAsk::Change { .. } if self.struck || self.slot == NO_SLOT => {
                self.out.push(Output::OperatorAnswer {
                    id,
                    answer: OperatorAnswer::Outcome(Outcome::Lost),
                });
            }
            OperatorAsk::Change { slice, change } => {
                self.fronts.insert(
                    id,
                    Front {
                        slice,
                        change,
                        until: now + FRONT,
                        next: now,
                        tries: 0,
                    },
                );
                self.push_fronts(now);
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
                let mate = self.mates.get(&slot);
                let live = slot == self.slot || mate.is_some_and(|mate| mate.near(now));
                let full = if slot == self.slot { self.able() } else { live && mate.is_some_and(|mate| mate.full) };
                serde_json::json!({ "slot": slot, "address": self.address(slot), "live": live, "full": full })
            })
            .collect();
        let edges: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .map(|seen| {
                serde_json::json!({
                    "address": seen.mate.address, "life": format!("{:016x}", seen.mate.life), "zone": seen.zone,
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
            .keepers
            .values()
            .filter(|keeper| keeper.ready())
            .map(|keeper| {
                serde_json::json!({
                    "slice": keeper.slice, "epoch": keeper.epoch, "version": keeper.version,
                    "committed": keeper.committed(), "settled": keeper.settled(), "rows": keeper.rows.len(),
                })
            })
            .collect();
        let ledger = serde_json::json!({ "realm": Realm::name(self.realm), "closed_s": self.closed.saturating_sub(now).as_secs_f64().ceil() });
        serde_json::json!({ "slot": self.slot, "ledger": ledger, "control": control, "edges": edges, "origins": origins, "owned_slices": slices })
    }
}

impl Part for ControlPart {
    fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut pulse = false;
        match input {
            Input::Pulse => {
                pulse = true;
                self.pulse(now);
                let ready = self.able() && self.warned.is_none();
                self.out.push(Output::Show(Shown::Fence {
                    until: now + lease::CONTROL,
                    ready,
                }));
                // After a warning the others take the slices; then, with all
                // operators answered, nothing is left to do.
                let over = self
                    .warned
                    .is_some_and(|since| self.keepers.is_empty() || now >= since + HAND_OVER);
                if over && self.fronts.is_empty() {
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
                self.keepers.clear();
                self.waits.clear();
                self.note(Event::DiskFailed, format!("slot {}", self.slot));
            }
            Input::Operator { id, ask } => self.operator(now, id, ask),
            Input::Warned => {
                self.warned.get_or_insert(now);
            }
            Input::Errand { .. } | Input::Called { .. } | Input::Watched { .. } => {}
        }
        if self.able() {
            self.finish_step(now, pulse);
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

    /// Slot 0 with a full disk that syncs at once; the mates are scripted.
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
            let from = Mate::new(address(slot), life);
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
                Beat {
                    slot: 1,
                    full: true,
                    blank: false,
                    seats: 0,
                    closed: Duration::ZERO,
                    lost: 0,
                    got: 0,
                    seen: Some(SeenSince::default()),
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
            said.extend(script.step(ms + 1, Input::Pulse));
            while let Some((to, message)) = said.pop_front() {
                match message {
                    Message::Raise(Raise { slice, epoch, .. }) if to == address(1) => {
                        if [PURGES, ORIGINS].contains(&slice) {
                            owned = Some((slice, epoch));
                        }
                        said.extend(script.hear(
                            ms + 2,
                            1,
                            11,
                            Raised {
                                slice,
                                epoch,
                                lost: 0,
                                retired: vec![],
                                image: SliceImage::default(),
                            },
                        ));
                    }
                    Message::Keep(Keep {
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
                            Kept {
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
            Ask {
                asker: address(1),
                id: 7,
                slice,
                ask,
            },
        );
        let version = told.iter().find_map(|(_, message)| match message {
            Message::Keep(keep) if keep.slice == slice => Some(keep.to),
            _ => None,
        });
        let version = version.expect("it is written at once");
        // The disk of slot 1 is another now; what the earlier one says comes late.
        script.beat(1710, 12);
        let kept = Kept {
            slice,
            epoch,
            round: 100,
            to: version,
            clear: Some(version),
            retired: vec![],
        };
        let answered = |told: &[(SocketAddr, Message)]| {
            told.iter()
                .any(|(_, message)| matches!(message, Message::Told(Told { id: 7, .. })))
        };
        assert!(!answered(&script.hear(1720, 1, 11, kept.clone())));
        assert!(!answered(&script.step(1801, Input::Pulse)));
        let mut told = script.hear(1810, 1, 12, kept.clone());
        told.extend(script.step(1901, Input::Pulse));
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
                    let beat = Beat {
                        slot: slot as u8,
                        full: true,
                        blank: false,
                        seats: 0,
                        closed: Duration::ZERO,
                        lost: 0,
                        got: 0,
                        seen: Some(SeenSince::default()),
                    };
                    said.extend(script.hear(ms, slot, 10 + u64::from(slot), beat));
                }
                said.extend(script.step(ms + 1, Input::Pulse));
                while let Some((to, message)) = said.pop_front() {
                    let slot = to.port() - 100;
                    let life = 10 + u64::from(slot);
                    match message {
                        Message::Raise(Raise { slice, epoch, .. }) => {
                            owned = Some((slice, epoch))
                                .filter(|_| [PURGES, ORIGINS].contains(&slice))
                                .or(owned);
                            said.extend(script.hear(
                                ms + 2,
                                slot,
                                life,
                                Raised {
                                    slice,
                                    epoch,
                                    lost: 0,
                                    retired: vec![],
                                    image: SliceImage::default(),
                                },
                            ));
                        }
                        Message::Keep(Keep {
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
                                Kept {
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
            let Some((slice, epoch)) = owned else {
                return None;
            };
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
                Ask {
                    asker: address(1),
                    id: 7,
                    slice,
                    ask,
                },
            );
            let version = told.iter().find_map(|(_, message)| match message {
                Message::Keep(keep) if keep.slice == slice => Some(keep.to),
                _ => None,
            })?;
            let kept = |retired| Kept {
                slice,
                epoch,
                round: 1_000,
                to: version,
                clear: Some(version),
                retired,
            };
            let mut told = script.hear(2_610, 1, 11, kept(vec![]));
            told.extend(script.hear(2_611, 2, 12, kept(retired)));
            told.extend(script.step(2_701, Input::Pulse));
            told.extend(script.step(2_801, Input::Pulse));
            Some(
                told.iter()
                    .any(|(_, message)| matches!(message, Message::Told(Told { id: 7, .. }))),
            )
        };
        assert_eq!(owned(vec![]), Some(true), "three of five hold it");
        assert_eq!(owned(vec![11]), Some(false), "only two of them do");
    }

    /// A control node whose disk keeps what is synced, alone with its mates.
    struct Alone {
        part: ControlPart,
        disk: Vec<Vec<u8>>,
        unsynced: Vec<(u64, Vec<u8>)>,
    }

    impl Alone {
        fn start(slot: u16, disk: Vec<Vec<u8>>, founding: bool) -> Alone {
            let known = Replica::replay(&disk).unwrap();
            let blank = known.is_none();
            let gather = Gather::new(founding, Duration::from_millis(500));
            let replica = known.unwrap_or_else(|| Replica::blank(40 + u64::from(slot)));
            let part = ControlPart::new(
                address(slot),
                (0..3).map(address).collect(),
                replica,
                blank,
                Some(gather),
                1,
            );
            Alone {
                part,
                disk,
                unsynced: vec![],
            }
        }

        /// What it says; what it stores waits to be synced.
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
                    from: Mate::new(address(from), 40 + u64::from(from)),
                    message: message.into(),
                },
            )
        }
    }

    fn seats(told: &[(SocketAddr, Message)]) -> Option<Vec<u16>> {
        told.iter().find_map(|(_, message)| match message {
            Message::Seats(seats) => Some(
                seats
                    .places
                    .iter()
                    .map(|mate| mate.address.port() - 100)
                    .collect(),
            ),
            _ => None,
        })
    }

    #[test]
    fn the_first_seed_tells_a_table_only_once_it_is_on_its_disk_and_never_another() {
        let mut founder = Alone::start(0, vec![], true);
        founder.step(0, Input::Pulse);
        founder.hear(100, 4, Enlist { founding: true });
        founder.hear(110, 3, Enlist { founding: true });
        founder.hear(120, 7, Enlist { founding: false });
        founder.sync(130);
        assert_eq!(
            seats(&founder.step(600, Input::Pulse)),
            None,
            "not synced yet"
        );
        // It ends before the sync: nobody was told, and it begins anew.
        let mut again = Alone::start(0, founder.disk.clone(), true);
        assert!(again.part.places.is_empty());
        again.step(0, Input::Pulse);
        again.hear(100, 5, Enlist { founding: true });
        again.step(600, Input::Pulse);
        assert_eq!(
            seats(&again.hear(601, 5, Enlist { founding: true })),
            None,
            "still not synced"
        );
        assert_eq!(seats(&again.sync(602)), Some(vec![0, 1, 2, 5]));
        // It ends after it: the table is the one that was told, whoever asks.
        let mut again = Alone::start(0, again.disk, true);
        again.hear(10, 3, Enlist { founding: true });
        again.step(900, Input::Pulse);
        assert_eq!(
            seats(&again.hear(901, 1, Enlist { founding: true })),
            Some(vec![0, 1, 2, 5])
        );
    }

    #[test]
    fn a_founding_table_is_taken_once_and_only_by_who_was_there() {
        let table = |list: &[u16]| Seats {
            version: 0,
            places: list
                .iter()
                .map(|slot| Mate::new(address(*slot), 0))
                .collect(),
        };
        let mut seed = Alone::start(1, vec![], true);
        seed.step(0, Input::Pulse);
        assert!(
            (0..50).all(|more| seats(&seed.step(100 * more, Input::Pulse)).is_none()),
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
            other.step(0, Input::Pulse);
            other.hear(10, 2, table(&[0, 1, 2]));
            assert!((1..20).all(|more| seats(&other.step(100 * more, Input::Pulse)).is_none()));
            assert!(other.part.places.is_empty());
            other.hear(
                3_000,
                2,
                Seats {
                    version: 3,
                    ..table(&[0, 1, 2])
                },
            );
            assert_eq!((other.part.places.len(), other.part.slot), (3, slot as u8));
        }
        // Nor does the first seed, if it hears of somebody who has one.
        let mut late = Alone::start(0, vec![], true);
        late.step(0, Input::Pulse);
        late.hear(
            100,
            2,
            Beat {
                slot: 2,
                full: true,
                blank: false,
                seats: 4,
                closed: Duration::ZERO,
                lost: 0,
                got: 0,
                seen: None,
            },
        );
        late.step(900, Input::Pulse);
        assert!(late.part.places.is_empty());
    }
}
