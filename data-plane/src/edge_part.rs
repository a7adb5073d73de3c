use crate::job::{keepable, shareable};
use crate::prelude::*;

/// An edge node without its I/O. Invariants:
/// - `vector` holds, for each news slice, the version that was applied whole;
///   it never goes down in a life.
/// - Duties are exercised only while live and only under the epoch the news
///   granted to this very life.
/// - A call leaves only while live, under a permit younger than
///   `lease::PERMIT`, to an origin that is listed and not leaving.
pub struct EdgePart {
    me: Peer,
    spot: Spot,
    /// Who is renewed with: those who hold the slots, as far as that is known.
    seeds: Vec<SocketAddr>,
    /// How many slots there are; 0 before that is known.
    slots: usize,
    /// The realm the news is of; 0 before the first.
    realm: u64,
    vector: Vec<u64>,
    /// The last mark of each control node, to be given back.
    marks: HashMap<SocketAddr, Mark>,
    /// Every row shown to us, to tell it back if the control plane lost it.
    known: Vec<BTreeMap<String, Row>>,
    /// Own operations that ended lately, for the same reason.
    ended: VecDeque<(Duration, Claim, Option<Arc<Reply>>)>,
    recalling: bool,
    /// When the realm was entered.
    entered: Duration,
    leases: Leases,
    next_renew: Duration,
    live: bool,
    table: Option<Arc<EntryTable>>,
    /// The parts of the configuration the table was made of.
    items: Items,
    origins: Arc<Vec<Origin>>,
    duties: HashMap<String, Duty>,
    book: PurgeBook,
    cache: CacheOwner,
    /// Cache slices held here, with the epoch they were granted under.
    slices: BTreeMap<u16, u64>,
    /// Slices just taken whose copies the last holder may have: asked so often.
    wants: BTreeMap<u16, (SocketAddr, u32)>,
    gates: BTreeMap<String, Gate>,
    extra_tries: usize,
    /// What is sent by ourselves while a gate says nothing.
    shares: BTreeMap<String, OwnShare>,
    jobs: BTreeMap<u64, Job>,
    /// Which job waits for the answer to a question or call, by its own id.
    questions: HashMap<u64, u64>,
    /// Endings of claims that the ledger has not confirmed yet.
    loose: BTreeMap<u64, Loose>,
    probes: HashMap<u64, Origin>,
    /// The number of the last id drawn here.
    last_id: u64,
    usage: Usage,
    warned: Option<Duration>,
    left: bool,
    out: Vec<Output>,
}

struct Loose {
    change: Change,
    again: Duration,
    round: usize,
}

const AGAIN: Duration = Duration::from_millis(200);
/// An errand whose deadline passed gets this much more to tell the ledger.
const LATE: Duration = Duration::from_secs(1);
/// A warned edge waits this long for its duties to be taken.
const HAND_OVER: Duration = Duration::from_secs(5);
/// Errands of one service pending at one edge at most.
const PENDING: usize = 256;
/// Own ended operations remembered at most.
const ENDED: usize = 10_000;
/// How long after a purge was learned (so, before it was acknowledged) an
/// answer that was under way may still go to the caller who waited for it.
const PURGE_GRACE: Duration = Duration::from_secs(1);
/// A last holder is asked so often for its copies, a tick apart.
const WANTS: u32 = 4;
const EXTRA_TRIES: usize = 3;
/// A gate that says nothing for this long is done without.
const SILENT: Duration = Duration::from_millis(250);
const PROBE: &str = "/.well-known/otterslip-identity";
const PROBE_LIMIT: Duration = Duration::from_millis(1000);
/// Set in the ids drawn here; those of errands come from the host without it.
const OWN_IDS: u64 = 1 << 63;
/// An odd number that spreads lives over all ids.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

impl EdgePart {
    /// The seeds hold the slots, unless it is `asked` who does.
    pub fn new(
        me: Peer,
        spot: Spot,
        seeds: Vec<SocketAddr>,
        asked: bool,
        cache_bytes: u64,
    ) -> EdgePart {
        EdgePart {
            slots: if asked { 0 } else { seeds.len() },
            me,
            spot,
            seeds,
            realm: 0,
            vector: vec![0; NEWS.into()],
            marks: HashMap::new(),
            known: vec![BTreeMap::new(); NEWS.into()],
            ended: VecDeque::new(),
            recalling: false,
            entered: Duration::ZERO,
            leases: Leases::default(),
            next_renew: Duration::ZERO,
            live: false,
            table: None,
            items: Items::default(),
            origins: Arc::default(),
            duties: HashMap::new(),
            book: PurgeBook::default(),
            cache: CacheOwner::new(cache_bytes),
            slices: BTreeMap::new(),
            wants: BTreeMap::new(),
            gates: BTreeMap::new(),
            extra_tries: EXTRA_TRIES,
            shares: BTreeMap::new(),
            jobs: BTreeMap::new(),
            questions: HashMap::new(),
            loose: BTreeMap::new(),
            probes: HashMap::new(),
            // Not where another life at this address began: answers to its
            // questions may still be on their way.
            last_id: me.life.wrapping_mul(SPREAD),
            usage: Usage::default(),
            warned: None,
            left: false,
            out: Vec::new(),
        }
    }

    /// Extra tries a service may get in ten seconds beside a fifth of the
    /// first ones.
    pub fn with_extra_tries(self, most: Option<u32>) -> EdgePart {
        EdgePart {
            extra_tries: most.map_or(EXTRA_TRIES, |most| most as usize),
            ..self
        }
    }

    /// An id for one question or call, unlike all before in this life.
    fn draw_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        OWN_IDS | self.last_id
    }

    /// The job's next question or call: answers to earlier ones are no longer
    /// taken for it.
    fn next_question(&mut self, id: u64) -> u64 {
        let question = self.draw_id();
        if let Some(job) = self.jobs.get_mut(&id) {
            self.questions.remove(&job.question);
            self.questions.insert(question, id);
            job.question = question;
        }
        question
    }

    /// The job that waits for the answer to this question or call.
    fn asker(&self, question: u64) -> Option<u64> {
        self.questions.get(&question).copied()
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

    // Sessions and news.

    fn renew(&mut self, now: Duration) {
        if self.left {
            return;
        }
        self.next_renew = now + lease::EDGE_TICK;
        self.renew_with(now, self.seeds.clone());
    }

    fn renew_with(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        let usage = Usage {
            copies: self.cache.given,
            pending: self.jobs.len() as u64,
            ..self.usage.clone()
        };
        // Keyed errands begun in an earlier realm still have their end to tell.
        let old = |job: &Job| job.claim.is_some() && job.began < self.entered;
        let recalled = self.loose.is_empty() && !self.jobs.values().any(old);
        let found = self
            .gates
            .values()
            .flat_map(|gate| gate.found(now))
            .collect();
        let renew = RenewRequest {
            sent: now,
            heard: None,
            realm: self.realm,
            recalled,
            vector: self.vector.clone(),
            zone: self.spot.zone.clone(),
            ring: self.spot.ring.clone(),
            strength: self.spot.strength,
            draining: self.warned.is_some(),
            usage,
            found,
        };
        for seed in seeds {
            let heard = self.marks.get(&seed).copied();
            self.tell(
                seed,
                RenewRequest {
                    heard,
                    ..renew.clone()
                },
            );
        }
    }

    /// Who nudged shows what we lack: it is asked alone, the others are told
    /// once it is applied.
    fn nudged(&mut self, now: Duration, from: Peer, nudge: &UpdateNotice) {
        self.marks.insert(from.address, nudge.mark);
        let known = self
            .vector
            .get(usize::from(nudge.slice))
            .is_some_and(|known| *known >= nudge.version);
        if known || self.left {
            return;
        }
        if self.seeds.contains(&from.address) {
            self.renew_with(now, vec![from.address])
        } else {
            self.renew(now)
        }
    }

    fn renewed(&mut self, now: Duration, from: Peer, renewed: RenewReply) {
        if renewed.life != self.me.life || !self.seeds.contains(&from.address) || self.left {
            return;
        }
        if Realm::older(renewed.realm, self.realm) && renewed.realm != 0 {
            return; // It has not heard of the new realm yet.
        }
        self.marks.insert(from.address, renewed.mark);
        let before = std::mem::replace(&mut self.recalling, renewed.recall);
        let recall = renewed.recall && !before;
        if renewed.realm != 0 && renewed.realm != self.realm {
            self.enter(now, renewed.realm);
        } else if recall {
            self.tell_ended();
        }
        let mut newer = false;
        for news in renewed.news.into_news() {
            if news.version > self.vector[usize::from(news.slice)] {
                newer = true;
                self.learn(now, news);
            }
        }
        if self.seeds.contains(&from.address) {
            self.leases.renewed(from.address, renewed.sent);
        }
        self.check_live(now);
        if newer {
            // Confirm at once: others wait for it.
            self.renew(now);
        }
    }

    /// A new realm: what is known of the old one goes, but for what is told
    /// back; all news is taken anew. Duties of the old one are void.
    fn enter(&mut self, now: Duration, realm: u64) {
        let before = std::mem::replace(&mut self.realm, realm);
        self.entered = now;
        if before == 0 {
            return;
        }
        // What is taken anew may be older at one control node than what was
        // known here: as at a start, two must have told theirs.
        self.leases.drop_all();
        // Fenced before anything of the new realm is shown.
        self.check_live(now);
        self.vector = vec![0; NEWS.into()];
        self.known = vec![BTreeMap::new(); NEWS.into()];
        self.items = Items::default();
        self.duties.clear();
        self.cache.clear();
        self.book = PurgeBook::default();
        self.sync_duties(now);
        self.tell_ended();
    }

    fn tell_ended(&mut self) {
        let changes: Vec<Change> = self
            .ended
            .iter()
            .map(|(_, claim, reply)| Change::Record(claim.clone(), reply.clone()))
            .collect();
        for change in changes {
            self.tell_later(Duration::ZERO, change);
        }
    }

    fn recall(&mut self, from: Peer, slice: u8) {
        if let Some(rows) = self.known.get(usize::from(slice)) {
            let rows = rows
                .iter()
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect();
            self.tell(
                from.address,
                RecallReply {
                    slice,
                    version: self.vector[usize::from(slice)],
                    rows,
                },
            );
        }
    }

    fn learn(&mut self, now: Duration, news: News) {
        let known = self.vector[usize::from(news.slice)];
        let rows: Vec<(String, Row)> = news
            .rows
            .into_iter()
            .filter(|(_, row)| row.version > known)
            .collect();
        self.known[usize::from(news.slice)].extend(rows.iter().cloned());
        match news.slice {
            PURGES => {
                let (fresh, missed) = self.book.learn(now, news.version, &rows);
                if missed {
                    self.cache.clear();
                }
                fresh.iter().for_each(|purge| self.cache.purge(purge));
            }
            CONFIGURATION => {
                let parts = rows.iter().any(|(_, row)| {
                    matches!(row.value, Value::Configuration { .. } | Value::Item(_))
                });
                rows.into_iter()
                    .for_each(|(key, row)| self.learn_row(key, row));
                if parts {
                    self.take_configuration(news.version);
                }
            }
            _ => rows
                .into_iter()
                .for_each(|(key, row)| self.learn_row(key, row)),
        }
        self.vector[usize::from(news.slice)] = news.version;
        // What duties are held and how hangs on these three.
        if [CONFIGURATION, ORIGINS, DUTIES].contains(&news.slice) {
            self.sync_duties(now);
        }
    }

    /// The parts as they stand now, made one table. What was acknowledged fits
    /// together; news shows whole versions only.
    fn take_configuration(&mut self, version: u64) {
        if let Ok((document, bounds)) = self.items.merged() {
            let table = Arc::new(EntryTable::new(version, document).within(bounds));
            self.table = Some(table.clone());
            self.note(Event::ConfigurationTaken, format!("version {version}"));
            self.out.push(Output::Show(Shown::Configuration(table)));
        }
    }

    fn learn_row(&mut self, key: String, row: Row) {
        match row.value {
            // It was checked before it was acknowledged.
            Value::Configuration { .. } | Value::Item(_) => {
                let _ = self.items.learn(&key, &row);
            }
            Value::Origins { list, .. } => self.origins = list,
            Value::Duty(duty) => {
                self.duties.insert(key, duty);
            }
            Value::Places(places) => {
                // Renewals of who no longer holds a slot count for nothing.
                self.seeds = places.iter().map(|peer| peer.address).collect();
                self.slots = places.len();
                self.leases.keep(&self.seeds);
            }
            Value::Purge { .. }
            | Value::Operation(_)
            | Value::Founded { .. }
            | Value::Roll { .. }
            | Value::Enrolled { .. }
            | Value::Opened { .. }
            | Value::Accepted(_)
            | Value::Applied(_) => {}
        }
    }

    /// The epoch under which a duty is granted to this life.
    fn granted(&self, duty: &str) -> Option<u64> {
        self.duties
            .get(duty)
            .filter(|duty| duty.holder == Some(self.me))
            .map(|duty| duty.epoch)
    }

    /// Where a duty is done now.
    fn holder(&self, duty: &str) -> Option<SocketAddr> {
        self.duties
            .get(duty)
            .and_then(|duty| duty.holder)
            .map(|peer| peer.address)
    }

    fn sync_duties(&mut self, now: Duration) {
        let mut slices = BTreeMap::new();
        for slice in 0..CACHE_SLICES {
            if let Some(epoch) = self.granted(&cache_duty(&self.spot.ring, slice)) {
                slices.insert(slice, epoch);
            }
        }
        if slices != self.slices {
            self.cache.keep_slices(now, self.book.applied, &|slice| {
                self.slices.contains_key(&slice) && slices.get(&slice) == self.slices.get(&slice)
            });
            let (before, after) = (self.slices.len(), slices.len());
            self.wants.retain(|slice, _| slices.contains_key(slice));
            for slice in slices
                .iter()
                .filter(|(slice, epoch)| self.slices.get(slice) != Some(epoch))
                .map(|(slice, _)| *slice)
            {
                let last = self
                    .duties
                    .get(&cache_duty(&self.spot.ring, slice))
                    .and_then(|duty| duty.last);
                if let Some(last) = last.filter(|last| last.address != self.me.address) {
                    self.wants.insert(slice, (last.address, 0));
                }
            }
            self.slices = slices;
            self.ask_wants(now);
            self.note(
                Event::DutyTaken,
                format!("{after} cache slices, before {before}"),
            );
        }
        if let Some(table) = self.table.clone() {
            self.sync_gates(now, &table);
        }
        let gates = self.gates.keys().map(|service| gate_duty(service));
        let list = self
            .slices
            .keys()
            .map(|slice| cache_duty(&self.spot.ring, *slice))
            .chain(gates)
            .collect();
        self.out.push(Output::Show(Shown::Duties(list)));
    }

    fn sync_gates(&mut self, now: Duration, table: &EntryTable) {
        let wanted: Vec<(&Group, u64)> = table
            .document
            .groups
            .iter()
            .filter_map(|group| Some((group, self.granted(&gate_duty(&group.service))?)))
            .collect();
        let held: Vec<(String, u64)> = self
            .gates
            .values()
            .map(|gate| (gate.service.clone(), gate.epoch))
            .collect();
        for (service, epoch) in held {
            if !wanted
                .iter()
                .any(|(group, granted)| group.service == service && *granted == epoch)
            {
                self.gates.remove(&service);
                self.note(Event::DutyDropped, gate_duty(&service));
            }
        }
        for (group, epoch) in wanted {
            if !self.gates.contains_key(&group.service) {
                self.gates.insert(
                    group.service.clone(),
                    Gate::new(now, &group.service, epoch, self.extra_tries),
                );
                self.note(
                    Event::DutyTaken,
                    format!("{} epoch {epoch}", gate_duty(&group.service)),
                );
            }
            let gate = self.gates.get_mut(&group.service).expect("just put");
            gate.update(now, group, &self.origins);
        }
        self.tell_underway(now, table);
    }

    /// Asks last holders for copies, a few times.
    fn ask_wants(&mut self, now: Duration) {
        self.wants.retain(|_, (_, asked)| *asked < WANTS);
        let due: Vec<(u16, SocketAddr)> = self
            .wants
            .iter()
            .map(|(slice, (last, _))| (*slice, *last))
            .collect();
        for (slice, last) in due {
            self.wants.get_mut(&slice).expect("just listed").1 += 1;
            let epoch = self.slices.get(&slice).copied().unwrap_or(0);
            self.tell(
                last,
                HandoverRequest {
                    slice,
                    epoch,
                    sent: now,
                },
            );
        }
    }

    fn want(&mut self, now: Duration, from: Peer, want: HandoverRequest) {
        let HandoverRequest { slice, epoch, sent } = want;
        let copies = self.cache.hand(now, slice);
        if !copies.is_empty() {
            self.tell(
                from.address,
                HandoverReply {
                    slice,
                    epoch,
                    sent,
                    copies,
                },
            );
        }
    }

    fn handed(&mut self, now: Duration, handed: HandoverReply) {
        let HandoverReply {
            slice,
            epoch,
            sent,
            copies,
        } = handed;
        if self.slices.get(&slice) == Some(&epoch)
            && self.wants.remove(&slice).is_some()
            && sent <= now
        {
            self.cache.take_over(now, now - sent, copies, &self.book);
        }
    }

    /// New gate holders hear of our calls under way by earlier permits.
    fn tell_underway(&mut self, now: Duration, table: &EntryTable) {
        for group in &table.document.groups {
            let Some(Duty {
                holder: Some(holder),
                epoch,
                ..
            }) = self.duties.get(&gate_duty(&group.service))
            else {
                continue;
            };
            let calls: Vec<_> = self
                .jobs
                .values()
                .filter_map(|job| match &job.stage {
                    Stage::Calling { permit, .. }
                        if permit.service == group.service && permit.epoch < *epoch =>
                    {
                        Some((
                            permit.epoch,
                            permit.serial,
                            permit.origin.address,
                            job.left(now),
                        ))
                    }
                    _ => None,
                })
                .collect();
            if !calls.is_empty() {
                let to = holder.address;
                self.tell(
                    to,
                    CallsInProgress {
                        service: group.service.clone(),
                        calls,
                    },
                );
            }
        }
    }

    fn check_live(&mut self, now: Duration) {
        let until = self.leases.until(self.slots);
        let live = now < until && !self.left;
        if live != self.live {
            self.live = live;
            self.note(
                if live { Event::Live } else { Event::Fenced },
                format!("vector {:?}", self.vector),
            );
        }
        let ready = self.warned.is_none() && self.table.is_some();
        self.out.push(Output::Show(Shown::Fence {
            until: if self.left { Duration::ZERO } else { until },
            ready,
        }));
    }

    fn is_live(&self, now: Duration) -> bool {
        !self.left && now < self.leases.until(self.slots)
    }

    // Errands.

    fn begin(&mut self, now: Duration, id: u64, errand: ClientRequest) {
        self.usage.errands += 1;
        let mut job = Job::new(now, errand);
        if !self.is_live(now) {
            let keyed = job.errand.entry().kind == Kind::Keyed;
            let outcome = if keyed {
                RunState::Unknown
            } else {
                RunState::NotRun
            };
            return self.answer(now, id, &job, Answer::Refusal(Refusal::fenced(outcome)));
        }
        if let Some(refusal) = self.crowded(now, &job) {
            return self.answer(now, id, &job, Answer::Refusal(refusal));
        }
        match job.errand.entry().kind {
            Kind::Cached if !job.errand.personal() && job.errand.method == "GET" => {
                job.key = Some(Job::cache_key(&job.errand));
                job.stage = Stage::Getting {
                    since: now,
                    spare: false,
                };
            }
            Kind::Keyed => {
                job.claim = Some(Job::claim_of(&job.errand, self.me, id));
                job.stage = Stage::Claiming;
            }
            _ => {}
        }
        self.jobs.insert(id, job);
        self.next_question(id);
        self.say(now, id);
    }

    /// Each pending errand holds a thread of the HTTP side: a slow service must
    /// not take them all. Over its bound, the lowest rank goes first: this
    /// errand, or one that waits for a permit and is told so at once.
    fn crowded(&mut self, now: Duration, job: &Job) -> Option<Refusal> {
        let service = &job.errand.service;
        let peers = self
            .jobs
            .iter()
            .filter(|(_, known)| known.errand.service == *service);
        if peers.clone().count() < PENDING {
            return None;
        }
        let waiting = peers.filter(|(_, known)| {
            matches!(
                known.stage,
                Stage::Knocking | Stage::Getting { spare: false, .. }
            )
        });
        let lowest = waiting
            .min_by_key(|(id, known)| (known.errand.entry().rank, std::cmp::Reverse(**id)))
            .map(|(id, known)| (*id, known.errand.entry().rank));
        if let Some((id, _)) = lowest.filter(|(_, rank)| *rank < job.errand.entry().rank) {
            let refusal = self.jobs[&id].refuse(
                429,
                "over_capacity",
                "too many errands of this service are pending here",
            );
            self.give_up(now, id, refusal);
            return None;
        }
        // Of an operation that was not looked up nothing can be said.
        let outcome = if job.errand.entry().kind == Kind::Keyed {
            RunState::Unknown
        } else {
            RunState::NotRun
        };
        Some(
            Refusal::new(
                429,
                "over_capacity",
                outcome,
                "too many errands of this service are pending here",
            )
            .idle(),
        )
    }

    /// Says the message of a job's stage, for the first time or again.
    fn say(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.again = now + AGAIN;
        job.round += 1;
        let (round, left) = (job.round, job.deadline.saturating_sub(now));
        let question = job.question;
        match &job.stage {
            Stage::Claiming => {
                let claim = job.claim.clone().expect("keyed");
                self.ask(question, round, Change::Claim(claim));
            }
            Stage::Recording { reply, .. } => {
                let change = Change::Record(job.claim.clone().expect("keyed"), reply.clone());
                self.ask(question, round, change);
            }
            Stage::Releasing { .. } => {
                let change = Change::Release(job.claim.clone().expect("keyed"));
                self.ask(question, round, change);
            }
            Stage::Getting { spare, .. } => {
                let key = job.key.expect("cached");
                let entry = job.errand.entry();
                let get = Get {
                    id: question,
                    key,
                    entry: entry.name.clone(),
                    host: job.errand.home().into(),
                    url: job.errand.url.clone(),
                    keep: entry.keep(),
                    wait: left,
                    spare: *spare,
                };
                let spare = *spare;
                match self.holder(&cache_duty(&self.spot.ring, cache_slice(&key))) {
                    Some(holder) => self.tell(holder, get),
                    // Nobody hands out copies of it now: fetch it ourselves.
                    None if !spare => self.set_stage(now, id, Stage::Knocking),
                    None => {}
                }
            }
            Stage::Knocking => {
                let entry = job.errand.entry();
                let service = job.errand.service.clone();
                let gate = gate_duty(&service);
                let (extra, call) = (job.calls > 0, job.call_limit(now, Duration::ZERO));
                let (zone, region) = (self.spot.zone.clone(), self.spot.region.clone());
                let knock = PermitRequest {
                    service,
                    id: question,
                    rank: entry.rank,
                    wait: left,
                    sent: now,
                    extra,
                    call,
                    aim: job.aim.saturating_sub(now),
                    zone,
                    region,
                    avoid: job.failed.clone(),
                };
                match self.holder(&gate) {
                    Some(holder) => self.tell(holder, knock),
                    None => self.go_alone(now, id),
                }
            }
            Stage::Calling { .. } => {}
        }
    }

    /// Asks the ledger, through the control node that answered last, then
    /// through the others in turn.
    fn ask(&mut self, question: u64, round: usize, change: Change) {
        let slice = match &change {
            Change::Claim(claim) | Change::Release(claim) | Change::Record(claim, _) => {
                ledger_slice(&claim.operation)
            }
            _ => return,
        };
        let first = self
            .leases
            .best()
            .and_then(|best| self.seeds.iter().position(|seed| *seed == best))
            .unwrap_or(0);
        let seed = self.seeds[(first + round.saturating_sub(1)) % self.seeds.len()];
        self.tell(
            seed,
            ChangeRequest {
                hops: 0,
                asker: self.me.address,
                id: question,
                slice,
                ask: change,
            },
        );
    }

    fn remember(&mut self, now: Duration, claim: &Claim, reply: &Option<Arc<Reply>>) {
        while self
            .ended
            .front()
            .is_some_and(|(at, _, _)| now >= *at + lease::OPERATION)
            || self.ended.len() >= ENDED
        {
            self.ended.pop_front();
        }
        self.ended.push_back((now, claim.clone(), reply.clone()));
    }

    fn set_stage(&mut self, now: Duration, id: u64, stage: Stage) {
        if let (Stage::Recording { reply, .. }, Some(claim)) =
            (&stage, self.jobs.get(&id).and_then(|job| job.claim.clone()))
        {
            self.remember(now, &claim, reply);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stage = stage;
            job.heard = now;
            job.round = 0;
            self.next_question(id);
            self.say(now, id);
        }
    }

    fn answer(&mut self, now: Duration, id: u64, job: &Job, answer: Answer) {
        let copy = matches!(answer, Answer::Reply { age: Some(_), .. }) && job.claim.is_none();
        let answer = if copy && !self.is_live(now) {
            Answer::Refusal(Refusal::fenced(job.outcome()))
        } else {
            answer
        };
        match &answer {
            Answer::Reply { .. } => self.usage.answered += 1,
            Answer::Refusal(_) => self.usage.refused += 1,
        }
        self.out.push(Output::Answer { id, answer });
    }

    fn end(&mut self, now: Duration, id: u64, answer: Answer) {
        if let Some(mut job) = self.jobs.remove(&id) {
            self.questions.remove(&job.question);
            let answer = match (answer, job.failure.take()) {
                (Answer::Refusal(_), Some(reply)) => Answer::Reply { reply, age: None },
                (answer, _) => answer,
            };
            self.answer(now, id, &job, answer);
        }
    }

    /// The errand is given up. What was claimed is released or recorded
    /// first; a refresher looks for a spare copy first.
    fn give_up(&mut self, now: Duration, id: u64, refusal: Refusal) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some((owner, token)) = job.token.take() {
            let key = job.key.expect("cached");
            job.refusal = Some(refusal);
            self.tell(
                owner,
                Fail {
                    key,
                    token,
                    private: false,
                },
            );
            return self.set_stage(
                now,
                id,
                Stage::Getting {
                    since: now,
                    spare: true,
                },
            );
        }
        if job.claim.is_none() {
            return self.end(now, id, Answer::Refusal(refusal));
        }
        let stage = if job.sent {
            Stage::Recording {
                reply: None,
                answer: Answer::Refusal(refusal),
            }
        } else {
            Stage::Releasing { refusal }
        };
        self.set_stage(now, id, stage);
    }

    fn told(&mut self, now: Duration, told: ChangeReply) {
        let ChangeReply { id: question, told } = told;
        if matches!(told, Outcome::Released | Outcome::Recorded | Outcome::Lost) {
            self.loose.remove(&question);
        }
        let Some(id) = self.asker(question) else {
            return;
        };
        let job = &self.jobs[&id];
        match (&job.stage, told) {
            (Stage::Claiming, Outcome::Claimed) => self.set_stage(now, id, Stage::Knocking),
            (Stage::Claiming, Outcome::Taken { same: false, .. }) => {
                let refusal = Refusal::not_run(
                    422,
                    "operation_key_reused",
                    "this operation key came with another request or caller",
                );
                self.end(now, id, Answer::Refusal(refusal));
            }
            (
                Stage::Claiming,
                Outcome::Taken {
                    state: OperationState::Done(reply),
                    ..
                },
            ) => {
                self.end(
                    now,
                    id,
                    Answer::Reply {
                        reply: (*reply).clone(),
                        age: None,
                    },
                );
            }
            (
                Stage::Claiming,
                Outcome::Taken {
                    state: OperationState::Unknown,
                    ..
                },
            ) => {
                let mut refusal = Refusal::unknown(
                    409,
                    "outcome_unknown",
                    "this operation was sent and its outcome is not known; it is not run again",
                )
                .idle();
                refusal.retry_after_s = None;
                self.end(now, id, Answer::Refusal(refusal));
            }
            (Stage::Claiming, Outcome::Closed { left }) => {
                let refusal = Refusal::unknown(503, "ledger_recovering", "acknowledged operations may be lost; none that is not known is run for a minute").idle();
                self.end(now, id, Answer::Refusal(refusal.back(left)));
            }
            // Who was asked is cut off: the next is asked at once, each once.
            (
                Stage::Claiming | Stage::Recording { .. } | Stage::Releasing { .. },
                Outcome::NoMajority,
            ) if job.round < self.seeds.len() => self.say(now, id),
            // Runs elsewhere: asked again in a moment, until the deadline.
            (Stage::Claiming, Outcome::Taken { .. }) => {}
            (Stage::Recording { answer, .. }, Outcome::Recorded) => {
                let answer = answer.clone();
                self.end(now, id, answer);
            }
            (Stage::Recording { .. } | Stage::Releasing { .. }, Outcome::Lost) => {
                let refusal =
                    Refusal::unknown(502, "outcome_unknown", "the outcome could not be recorded");
                self.end(now, id, Answer::Refusal(refusal));
            }
            (Stage::Releasing { refusal }, Outcome::Released) => {
                let refusal = refusal.clone();
                self.end(now, id, Answer::Refusal(refusal));
            }
            _ => {}
        }
    }

    /// The job this cache message is for, if it still waits for it.
    fn getting(&self, id: u64, key: CacheKey) -> Option<(Duration, bool)> {
        match self.jobs.get(&id) {
            Some(Job {
                stage: Stage::Getting { since, spare },
                key: Some(mine),
                ..
            }) if *mine == key => Some((*since, *spare)),
            _ => None,
        }
    }

    fn copy(&mut self, now: Duration, copy: Copy) {
        let Copy {
            id: question,
            key,
            copy,
        } = copy;
        let Some(id) = self.asker(question) else {
            return;
        };
        let Some((since, spare)) = self.getting(id, key) else {
            return;
        };
        let job = &self.jobs[&id];
        let way = (now - since).saturating_sub(copy.held);
        if way >= copy.left || !self.book.clear(copy.purged, job.copy_name(&copy.reply)) {
            return self.set_stage(now, id, Stage::Getting { since: now, spare });
        }
        self.end(
            now,
            id,
            Answer::Reply {
                reply: copy.reply,
                age: Some(copy.age + way),
            },
        );
    }

    fn miss(&mut self, now: Duration, from: Peer, miss: Miss) {
        let Miss {
            id: question,
            key,
            token,
        } = miss;
        let held = Some((from.address, token));
        if self.jobs.values().any(|job| job.token == held) {
            return; // Said twice.
        }
        let waiting = self
            .asker(question)
            .filter(|id| self.getting(*id, key).is_some());
        let Some(id) = waiting else {
            return self.tell(
                from.address,
                Fail {
                    key,
                    token,
                    private: false,
                },
            );
        };
        self.jobs.get_mut(&id).expect("just seen").token = held;
        self.set_stage(now, id, Stage::Knocking);
    }

    fn no_copy(&mut self, now: Duration, no_copy: NoCopy) {
        let Some(id) = self.asker(no_copy.id) else {
            return;
        };
        let Some((_, spare)) = self.getting(id, no_copy.key) else {
            return;
        };
        if spare {
            self.end_spare(now, id);
        } else {
            self.set_stage(now, id, Stage::Knocking);
        }
    }

    fn end_spare(&mut self, now: Duration, id: u64) {
        let refusal = self.jobs.get_mut(&id).and_then(|job| job.refusal.take());
        let refusal =
            refusal.unwrap_or_else(|| Refusal::not_run(503, "no_copy", "no copy came in time"));
        self.end(now, id, Answer::Refusal(refusal));
    }

    fn permit(&mut self, now: Duration, from: Peer, permit: Permit) {
        let fresh = now.saturating_sub(permit.sent).saturating_sub(permit.held) < lease::PERMIT;
        let live = self.is_live(now);
        let listed = self
            .origins
            .iter()
            .any(|origin| *origin == permit.origin && !origin.leaving);
        let asker = self.asker(permit.id).filter(|id| {
            let job = &self.jobs[id];
            matches!(job.stage, Stage::Knocking)
                && job.errand.service == permit.service
                && now < job.deadline
        });
        let Some(id) = asker.filter(|_| fresh && live && listed) else {
            let (service, epoch, serial) = (permit.service, permit.epoch, permit.serial);
            self.tell(
                from.address,
                CallDone {
                    service,
                    epoch,
                    serial,
                    result: CallResult::Unused,
                    took: Duration::ZERO,
                },
            );
            if let Some(job) = asker.and_then(|id| self.jobs.get_mut(&id)) {
                // With the next tick, not at once: a gate that has not heard
                // of a leaving origin yet would give it again and again.
                job.again = now;
            }
            return;
        };
        self.go(now, id, permit);
    }

    /// The errand's call leaves, under an id of its own.
    fn go(&mut self, now: Duration, id: u64, permit: Permit) {
        let question = self.next_question(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let call = job.call(now, id, permit.origin.clone(), permit.takes);
        job.calls += 1;
        job.sent = true;
        self.usage.calls += 1;
        self.usage.extra += u64::from(job.calls > 1);
        job.stage = Stage::Calling { permit, since: now };
        self.out.push(Output::Call { id: question, call });
    }

    fn in_line(&mut self, now: Duration, question: u64) {
        let asker = self.asker(question);
        if let Some(job) = asker.and_then(|id| self.jobs.get_mut(&id)) {
            job.heard = now;
        }
    }

    /// Calls without a permit, within our own share, where the gate is silent.
    fn go_alone(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id).filter(|job| {
            job.calls == 0 && now < job.deadline && matches!(job.stage, Stage::Knocking)
        }) else {
            return;
        };
        if !self.is_live(now) {
            return;
        }
        let service = job.errand.service.clone();
        let under = |address: SocketAddr| {
            let there = |job: &&Job| matches!(&job.stage, Stage::Calling { permit, .. } if permit.origin.address == address);
            self.jobs.values().filter(there).count()
        };
        let edges = match self.known[usize::from(DUTIES)].get("roll") {
            Some(Row {
                value: Value::Roll { members, .. },
                ..
            }) => members.len(),
            _ => return,
        };
        let share = self.shares.entry(service.clone()).or_default();
        let Some(origin) = share.pick(
            now,
            job.errand.group(),
            &self.origins,
            &self.spot,
            edges,
            &under,
        ) else {
            return;
        };
        let permit = Permit {
            id,
            service,
            epoch: 0,
            serial: 0,
            origin,
            sent: now,
            held: Duration::ZERO,
            takes: Duration::ZERO,
        };
        self.go(now, id, permit);
    }

    fn away(&mut self, now: Duration, away: PermitRefused) {
        let Some(id) = self.asker(away.id) else {
            return;
        };
        let job = &self.jobs[&id];
        if !matches!(job.stage, Stage::Knocking) {
            return;
        }
        if away.reason == AwayReason::NotHere {
            // Between two holders.
            return self.go_alone(now, id);
        }
        let refusal = match away.reason {
            AwayReason::Busy => job.refuse(
                429,
                "over_capacity",
                "more is asked of the service than it may be called",
            ),
            AwayReason::Budget => job.refuse(
                503,
                "no_more_tries",
                "the call failed and the budget for further tries is spent",
            ),
            _ => job.refuse(
                503,
                "no_origin",
                "no origin of the service can be called now",
            ),
        };
        self.give_up(now, id, refusal.back(away.back));
    }

    fn called(&mut self, now: Duration, id: u64, result: CallBack) {
        if self.probes.contains_key(&id) {
            return self.probed(now, id, result);
        }
        if let Some(id) = self.asker(id) {
            self.call_ended(now, id, result);
        }
    }

    /// The call that a job waits for has ended.
    fn call_ended(&mut self, now: Duration, id: u64, result: CallBack) {
        let Some(Job {
            stage: Stage::Calling { permit, since },
            ..
        }) = self.jobs.get(&id)
        else {
            return;
        };
        let (permit, took) = (permit.clone(), now - *since);
        if permit.epoch == 0 && !matches!(result, CallBack::Good(_)) {
            self.shares
                .entry(permit.service.clone())
                .or_default()
                .failed(now, permit.origin.address);
        }
        if let Some(holder) = self.holder(&gate_duty(&permit.service)) {
            let result = match &result {
                CallBack::Good(_) => CallResult::Good,
                CallBack::Refused => CallResult::Refused,
                CallBack::NotRun => CallResult::NotRun,
                CallBack::Stranger => CallResult::Stranger,
                CallBack::Bad(_) => CallResult::Bad,
            };
            self.tell(
                holder,
                CallDone {
                    service: permit.service,
                    epoch: permit.epoch,
                    serial: permit.serial,
                    result,
                    took,
                },
            );
        }
        match result {
            CallBack::Good(reply) if reply.status >= 500 && self.may_repeat(now, id) => {
                let job = self.jobs.get_mut(&id).expect("just seen");
                job.ran = true;
                job.failed.push(permit.origin.address);
                job.failure = Some(reply);
                self.set_stage(now, id, Stage::Knocking);
            }
            CallBack::Good(reply) => self.good(now, id, reply),
            CallBack::Refused | CallBack::NotRun | CallBack::Stranger => {
                let job = self.jobs.get_mut(&id).expect("just seen");
                // It did not run this time; an earlier call may have.
                job.sent = job.ran;
                job.failed.push(permit.origin.address);
                self.try_again(
                    now,
                    id,
                    true,
                    503,
                    "no_origin",
                    "the origin did not take it",
                );
            }
            CallBack::Bad(why) => {
                self.note(
                    Event::AnswerRefused,
                    format!("{}: {why}", permit.origin.address),
                );
                let job = self.jobs.get_mut(&id).expect("just seen");
                job.ran = true;
                job.failed.push(permit.origin.address);
                let again = job.repeatable();
                self.try_again(
                    now,
                    id,
                    again,
                    502,
                    "bad_origin_answer",
                    "no acceptable answer came from the origin",
                );
            }
        }
    }

    /// Whether another origin may be asked after one ran it and failed.
    fn may_repeat(&self, now: Duration, id: u64) -> bool {
        let job = &self.jobs[&id];
        job.repeatable() && job.has_try(now)
    }

    fn try_again(
        &mut self,
        now: Duration,
        id: u64,
        may: bool,
        status: u16,
        code: &str,
        text: &str,
    ) {
        let job = &self.jobs[&id];
        let refusal = job.refuse(status, code, text);
        if may && job.has_try(now) {
            self.set_stage(now, id, Stage::Knocking);
        } else {
            self.give_up(now, id, refusal);
        }
    }

    fn good(&mut self, now: Duration, id: u64, reply: Reply) {
        let job = self.jobs.get_mut(&id).expect("just seen");
        if job.claim.is_some() {
            let answer = Answer::Reply {
                reply: reply.clone(),
                age: None,
            };
            return self.set_stage(
                now,
                id,
                Stage::Recording {
                    reply: Some(Arc::new(reply)),
                    answer,
                },
            );
        }
        let mut age = None;
        if let Some((owner, token)) = job.token.take() {
            age = Some(now - job.began);
            let key = job.key.expect("cached");
            let shared = shareable(&reply);
            // Begun before a purge that reaches it: good for its own caller
            // while that is fresh, then fetched anew.
            let reached = self.book.reached(token.purged, job.copy_name(&reply));
            let purged = reached.is_some_and(|learned| now >= learned + PURGE_GRACE);
            if shared && keepable(reply.status) {
                self.tell(
                    owner,
                    Put {
                        key,
                        token,
                        reply: reply.clone(),
                    },
                );
            } else {
                self.tell(
                    owner,
                    Fail {
                        key,
                        token,
                        private: !shared,
                    },
                );
            }
            if purged {
                return self.set_stage(
                    now,
                    id,
                    Stage::Getting {
                        since: now,
                        spare: false,
                    },
                );
            }
        }
        self.end(now, id, Answer::Reply { reply, age });
    }

    fn overdue(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let late = now >= job.deadline + LATE;
        match &job.stage {
            Stage::Claiming => {
                let running = job.round > 1;
                let change = Change::Release(job.claim.clone().expect("keyed"));
                let refusal = if running {
                    Refusal::unknown(
                        409,
                        "in_progress",
                        "this operation is being run, or its ledger cannot be reached; ask again",
                    )
                } else {
                    Refusal::unknown(503, "no_ledger", "the ledger could not be reached").idle()
                };
                self.tell_later(now, change);
                self.end(now, id, Answer::Refusal(refusal));
            }
            Stage::Getting { spare: true, .. } => self.end_spare(now, id),
            Stage::Getting { .. } => {
                let refusal = job.refuse(503, "no_copy", "no copy came in time");
                self.end(now, id, Answer::Refusal(refusal));
            }
            Stage::Knocking => {
                let refusal = job.refuse(
                    429,
                    "over_capacity",
                    "the service could not be called in time",
                );
                let spare = job.token.is_some();
                self.give_up(now, id, refusal);
                if spare {
                    // No time is left to look for a copy.
                    self.end_spare(now, id);
                }
            }
            Stage::Calling { .. } if late => {
                self.call_ended(now, id, CallBack::Bad("no answer in time".into()))
            }
            Stage::Recording { reply, .. } if late => {
                let change = Change::Record(job.claim.clone().expect("keyed"), reply.clone());
                self.tell_later(now, change);
                let refusal = Refusal::unknown(
                    503,
                    "outcome_unrecorded",
                    "the outcome could not be recorded in time",
                );
                self.end(now, id, Answer::Refusal(refusal));
            }
            Stage::Releasing { .. } if late => {
                let change = Change::Release(job.claim.clone().expect("keyed"));
                self.tell_later(now, change);
                let refusal = Refusal::unknown(503, "no_ledger", "the ledger could not be reached");
                self.end(now, id, Answer::Refusal(refusal));
            }
            _ => {}
        }
    }

    /// The ledger is told until it confirms, though nobody waits any more.
    fn tell_later(&mut self, now: Duration, change: Change) {
        let question = self.draw_id();
        self.loose.insert(
            question,
            Loose {
                change,
                again: now,
                round: 0,
            },
        );
    }

    // Duties held here.

    fn heed_duty(&mut self, now: Duration, from: Peer, message: Message) {
        if !self.is_live(now) {
            return;
        }
        let purged = self.book.applied;
        match message {
            Message::Get(get) => {
                match self.slices.get(&cache_slice(&get.key)) {
                    Some(epoch) => self.cache.get(now, from.address, get, *epoch, purged),
                    // Between two owners: whoever asks fetches for itself.
                    None => self.tell(
                        from.address,
                        NoCopy {
                            id: get.id,
                            key: get.key,
                        },
                    ),
                }
            }
            Message::Put(put) => {
                if let Some(epoch) = self.slices.get(&cache_slice(&put.key)) {
                    let text = format!("token {} epoch {}", put.token.serial, put.token.epoch);
                    if !self.cache.put(now, put, *epoch, &self.book) {
                        self.note(Event::PutDropped, text);
                    }
                }
            }
            Message::Fail(Fail {
                key,
                token,
                private,
            }) => {
                if let Some(epoch) = self.slices.get(&cache_slice(&key)) {
                    self.cache.give_up(now, key, token, *epoch, purged, private);
                }
            }
            Message::PermitRequest(knock) => match self.gates.get_mut(&knock.service) {
                Some(gate) => gate.knock(now, from.address, knock),
                None => self.tell(
                    from.address,
                    PermitRefused {
                        id: knock.id,
                        reason: AwayReason::NotHere,
                        back: AGAIN,
                    },
                ),
            },
            Message::CallDone(done) => {
                if let Some(gate) = self.gates.get_mut(&done.service) {
                    gate.done(now, done);
                }
            }
            Message::CallsInProgress(told) => {
                if let Some(gate) = self.gates.get_mut(&told.service) {
                    gate.underway(now, told);
                }
            }
            _ => {}
        }
    }

    fn run_gates(&mut self, now: Duration) {
        let Some(table) = self.table.clone() else {
            return;
        };
        let mut calls = Vec::new();
        let mut watches = Vec::new();
        for gate in self.gates.values_mut() {
            gate.pump(now);
            let Some(group) = table.document.group(&gate.service) else {
                continue;
            };
            watches.extend(gate.watches(now));
            for origin in gate.probes(now) {
                calls.push((origin, group.key.clone()));
            }
        }
        self.out
            .extend(watches.into_iter().map(|address| Output::Watch { address }));
        for (origin, key) in calls {
            let id = self.draw_id();
            self.probes.insert(id, origin.clone());
            let call = Call {
                origin,
                method: "GET".into(),
                url: PROBE.into(),
                host: String::new(),
                headers: vec![],
                body: Arc::default(),
                operation: None,
                name: None,
                errand: id,
                key,
                proof: Proof::Seal,
                limit: PROBE_LIMIT,
                sessions: 1,
            };
            self.out.push(Output::Call { id, call });
        }
    }

    fn probed(&mut self, now: Duration, id: u64, result: CallBack) {
        let Some(origin) = self.probes.remove(&id) else {
            return;
        };
        let (good, why) = match result {
            CallBack::Good(reply) => (reply.status == 200, format!("status {}", reply.status)),
            CallBack::Refused => (false, "refused".into()),
            CallBack::NotRun | CallBack::Stranger => (false, "another, or not willing".into()),
            CallBack::Bad(why) => (false, why),
        };
        let changed = self
            .gates
            .get_mut(&origin.service)
            .is_some_and(|gate| gate.probed(now, &origin, good));
        if changed {
            let text = format!(
                "{} {} {}: {why}",
                origin.address, origin.service, origin.instance
            );
            self.note(
                if good {
                    Event::OriginProven
                } else {
                    Event::OriginAside
                },
                text,
            );
        }
    }

    fn tick(&mut self, now: Duration) {
        if now >= self.next_renew {
            self.renew(now);
        }
        self.check_live(now);
        self.ask_wants(now);
        if self.is_live(now) {
            let epochs = &self.slices;
            self.cache.tick(
                now,
                &|slice| epochs.get(&slice).copied().unwrap_or(0),
                self.book.applied,
            );
            self.run_gates(now);
        }
        let mut overdue = Vec::new();
        let mut again = Vec::new();
        for (id, job) in &self.jobs {
            if now >= job.deadline {
                overdue.push(*id);
            } else if now >= job.again {
                again.push(*id);
            }
        }
        again
            .into_iter()
            .for_each(|id| self.fall_back_or_say(now, id));
        overdue.into_iter().for_each(|id| self.overdue(now, id));
        let due: Vec<u64> = self
            .loose
            .iter()
            .filter(|(_, loose)| now >= loose.again)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let loose = self.loose.get_mut(&id).expect("just listed");
            loose.again = now + AGAIN;
            loose.round += 1;
            let (round, change) = (loose.round, loose.change.clone());
            self.ask(id, round, change);
        }
        self.check_ended(now);
    }

    /// An owner that says nothing for half the time is done without, as in
    /// the paper: who cannot get the copy goes to the origin.
    fn fall_back_or_say(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let half = job.began + (job.deadline - job.began) / 2;
        match job.stage {
            Stage::Knocking if now >= job.heard + SILENT => {
                self.go_alone(now, id);
                self.say(now, id);
            }
            Stage::Getting { spare: false, .. } if now >= half => {
                self.set_stage(now, id, Stage::Knocking)
            }
            Stage::Recording { .. } | Stage::Releasing { .. } | Stage::Claiming => {
                self.say(now, id)
            }
            _ if self.is_live(now) => self.say(now, id),
            _ => {}
        }
    }

    /// After a warning: duties are taken by others, what was read is
    /// answered, then the session is left.
    fn check_ended(&mut self, now: Duration) {
        let Some(since) = self.warned else { return };
        let idle = self.slices.is_empty() && self.gates.is_empty() && !self.cache.has_aside();
        if !self.left
            && self.jobs.is_empty()
            && self.loose.is_empty()
            && (idle || now >= since + HAND_OVER)
        {
            self.left = true;
            self.leases.drop_all();
            for seed in self.seeds.clone() {
                self.tell(seed, SessionClose {});
            }
            self.check_live(now);
            self.out.push(Output::Ended);
        }
    }

    fn heard(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewReply(renewed) => self.renewed(now, from, renewed),
            Message::UpdateNotice(nudge) => self.nudged(now, from, &nudge),
            Message::RenewPrompt(who) => {
                self.marks.insert(from.address, who.mark);
                self.renew(now);
            }
            Message::HandoverRequest(want) => self.want(now, from, want),
            Message::HandoverReply(handed) => self.handed(now, handed),
            Message::RecallRequest(recall) => self.recall(from, recall.slice),
            Message::ChangeReply(told) => self.told(now, told),
            Message::Copy(copy) => self.copy(now, copy),
            Message::Miss(miss) => self.miss(now, from, miss),
            Message::NoCopy(no_copy) => self.no_copy(now, no_copy),
            Message::Permit(permit) => self.permit(now, from, permit),
            Message::PermitRefused(away) => self.away(now, away),
            Message::PermitQueued(line) => self.in_line(now, line.id),
            other => self.heed_duty(now, from, other),
        }
    }

    /// What the duties held here have to say goes out.
    fn flush_duties(&mut self) {
        let mut told = self.cache.take_out();
        for gate in self.gates.values_mut() {
            told.extend(gate.take_out());
        }
        for (to, message) in told {
            self.tell(to, message);
        }
    }
}

impl Part for EdgePart {
    fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Heard { from, message } => self.heard(now, from, message),
            Input::ClientRequest { id, errand } => self.begin(now, id, errand),
            Input::Called { id, result } => self.called(now, id, result),
            Input::Watched { address, open } => {
                self.gates
                    .values_mut()
                    .for_each(|gate| gate.watched(now, address, open));
                // At once: a proof is on the path of the first errands.
                self.run_gates(now);
            }
            Input::ShutdownRequested => {
                self.warned.get_or_insert(now);
                self.check_live(now);
                self.renew(now);
            }
            Input::Operator { id, .. } => {
                let answer = OperatorAnswer::Outcome(Outcome::Lost);
                self.out.push(Output::OperatorAnswer { id, answer });
            }
            Input::Stored { .. } | Input::StoreFailed => {}
        }
        self.flush_duties();
        std::mem::take(&mut self.out)
    }
}
