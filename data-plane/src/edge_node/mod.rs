//! An edge node as a state machine without I/O.
mod assignments;
mod cached;
mod calls;
mod departures;
mod operations;
mod renewal;
mod requests;

use crate::prelude::*;

/// An edge node without its I/O. Invariants:
/// - `vector` holds, for each updates partition, the version that was applied whole;
///   it never goes down in a life.
/// - Assignments are exercised only while live and only under the epoch the updates
///   granted to this very life.
/// - A call leaves only while live, under a permit younger than
///   `lease::PERMIT_VALIDITY`, to an origin that is listed and not leaving.
pub struct EdgeNode {
    me: Peer,
    locality: Locality,
    /// Who is renewed with: those who hold the slots, as far as that is known.
    seeds: Vec<SocketAddr>,
    /// How many slots there are; 0 before that is known.
    slots: usize,
    /// The generation the updates is of; 0 before the first.
    generation: u64,
    vector: Vec<u64>,
    /// The last mark of each control node, to be given back.
    renewal_tokens: HashMap<SocketAddr, RenewalToken>,
    /// Every row shown to us, to tell it back if the control plane lost it.
    known: Vec<BTreeMap<String, Row>>,
    /// Own operations that ended lately, for the same reason.
    ended: VecDeque<(Duration, Claim, Option<Arc<Reply>>)>,
    recalling: bool,
    /// When the generation was entered.
    entered: Duration,
    leases: Leases,
    link_delay: LinkDelay,
    next_renew: Duration,
    live: bool,
    table: Option<Arc<RouteTable>>,
    /// The parts of the configuration the table was made of.
    items: Items,
    origins: Arc<Vec<Origin>>,
    assignments: HashMap<String, Assignment>,
    book: PurgeBook,
    cache: CacheOwner,
    /// Copies served here lately, whoever owns them.
    near: NearCache,
    coalescer: Coalescer,
    /// Cache partitions held here, with the epoch they were granted under.
    partitions: BTreeMap<u16, u64>,
    /// Partitions just taken whose copies the last holder may have: asked so often.
    wants: BTreeMap<u16, (SocketAddr, u32)>,
    admissions: BTreeMap<String, AdmissionController>,
    extra_tries: usize,
    /// From a warning to the end of the process at the latest.
    grace: Duration,
    /// What is sent by ourselves while an admission controller says nothing.
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
    abandoned_work: AbandonedWork,
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
/// A request whose deadline passed gets this much more to tell the ledger.
const LATE: Duration = Duration::from_secs(1);
/// A warned edge waits this long for its assignments to be taken.
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
/// Near copies take this part of what owned copies may take, beside them.
const NEAR_PART: u64 = 2;
/// Where nothing is said of it.
const GRACE: Duration = Duration::from_secs(20);
const EXTRA_TRIES: usize = 3;
/// An admission controller that says nothing for this long is done without.
const SILENT: Duration = Duration::from_millis(250);
const PROBE: &str = "/.well-known/otterslip-identity";
const PROBE_LIMIT: Duration = Duration::from_millis(1000);
/// Set in the ids drawn here; those of errands come from the host without it.
const OWN_IDS: u64 = 1 << 63;
/// An odd number that spreads lives over all ids.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

impl EdgeNode {
    /// The seeds hold the slots, unless it is `asked` who does.
    pub fn new(
        me: Peer,
        locality: Locality,
        seeds: Vec<SocketAddr>,
        asked: bool,
        cache_bytes: u64,
    ) -> EdgeNode {
        EdgeNode {
            slots: if asked { 0 } else { seeds.len() },
            me,
            locality,
            seeds,
            generation: 0,
            vector: vec![0; PUBLISHED_PARTITIONS.into()],
            renewal_tokens: HashMap::new(),
            known: vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()],
            ended: VecDeque::new(),
            recalling: false,
            entered: Duration::ZERO,
            leases: Leases::default(),
            link_delay: LinkDelay::default(),
            next_renew: Duration::ZERO,
            live: false,
            table: None,
            items: Items::default(),
            origins: Arc::default(),
            assignments: HashMap::new(),
            book: PurgeBook::default(),
            cache: CacheOwner::new(cache_bytes),
            near: NearCache::new(cache_bytes / NEAR_PART),
            coalescer: Coalescer::default(),
            partitions: BTreeMap::new(),
            wants: BTreeMap::new(),
            admissions: BTreeMap::new(),
            extra_tries: EXTRA_TRIES,
            grace: GRACE,
            shares: BTreeMap::new(),
            jobs: BTreeMap::new(),
            questions: HashMap::new(),
            loose: BTreeMap::new(),
            probes: HashMap::new(),
            // Not where another life at this address began: answers to its
            // questions may still be on their way.
            last_id: me.incarnation.wrapping_mul(SPREAD),
            usage: Usage::default(),
            abandoned_work: AbandonedWork::default(),
            warned: None,
            left: false,
            out: Vec::new(),
        }
    }

    /// Extra tries a service may get in ten seconds beside a fifth of the
    /// first ones.
    pub fn with_extra_tries(self, most: Option<u32>) -> EdgeNode {
        EdgeNode {
            extra_tries: most.map_or(EXTRA_TRIES, |most| most as usize),
            ..self
        }
    }

    /// How long the process goes on after a warning at most.
    pub fn with_grace(self, grace: Duration) -> EdgeNode {
        EdgeNode { grace, ..self }
    }

    /// An id for one question or call, unlike all before in this life.
    fn draw_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        OWN_IDS | self.last_id
    }

    /// The job's next question or call: answers to earlier ones are no longer
    /// taken for it.
    fn next_question(&mut self, now: Duration, id: u64) -> u64 {
        self.withdraw_question(now, id);
        let question = self.draw_id();
        if let Some(job) = self.jobs.get_mut(&id) {
            self.questions.remove(&job.question);
            self.questions.insert(question, id);
            job.question = question;
        }
        question
    }

    /// The job that this answer of an admission controller or cache owner is for, which is asked
    /// no more.
    fn answered(&mut self, question: u64) -> Option<u64> {
        let id = self.asker(question)?;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.asked_of = None;
        }
        Some(id)
    }

    /// The job that waits for the answer to this question or call.
    fn asker(&self, question: u64) -> Option<u64> {
        self.questions.get(&question).copied()
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

    fn tick(&mut self, now: Duration) {
        if now >= self.next_renew {
            self.renew(now);
        }
        self.check_live(now);
        self.ask_wants(now);
        if self.is_live(now) {
            let epochs = &self.partitions;
            self.cache.tick(
                now,
                &|partition| epochs.get(&partition).copied().unwrap_or(0),
                self.book.applied,
            );
            self.run_admissions(now);
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
            .for_each(|id| self.fall_back_or_ask_again(now, id));
        overdue.into_iter().for_each(|id| self.overdue(now, id));
        self.replace_stalled_leaders(now);
        self.refuse_waiting_before_end(now);
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
        self.check_abandoned_work(now);
        self.check_ended(now);
    }

    /// After a warning: assignments are taken by others, what was read is
    /// answered, then the session is left.
    fn check_ended(&mut self, now: Duration) {
        let Some(since) = self.warned else { return };
        let idle =
            self.partitions.is_empty() && self.admissions.is_empty() && !self.cache.has_aside();
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
            self.out.push(Output::ShutdownComplete);
        }
    }

    fn heard(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewReply(renewed) => self.renewed(now, from, renewed),
            Message::UpdateNotice(nudge) => self.nudged(now, from, &nudge),
            Message::RenewPrompt(who) => {
                self.renewal_tokens.insert(from.address, who.renewal_token);
                self.renew(now);
            }
            Message::HandoverRequest(want) => self.want(now, from, want),
            Message::HandoverReply(handed) => self.handed(now, handed),
            Message::RecallRequest(recall) => self.recall(from, recall.partition),
            Message::ChangeReply(told) => self.told(now, told),
            Message::CacheCopy(copy) => self.copy(now, copy),
            Message::CacheMiss(miss) => self.miss(now, from, miss),
            Message::CacheGetQueued(queued) => self.get_queued(now, queued),
            Message::CacheUnavailable(no_copy) => self.no_copy(now, no_copy),
            Message::Permit(permit) => self.permit(now, from, permit),
            Message::PermitRefused(away) => self.permit_refused(now, away),
            Message::PermitQueued(line) => self.permit_queued(now, line.id),
            other => self.handle_assignment_message(now, from, other),
        }
    }
}

impl StateMachine for EdgeNode {
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::MessageReceived { from, message } => self.heard(now, from, message),
            Input::ClientRequest { id, request } => self.begin(now, id, request),
            Input::ClientDisconnected { id } => self.caller_left(now, id),
            Input::CallCompleted { id, result } => {
                self.abandoned_work.call_ended(id);
                self.called(now, id, result);
            }
            Input::ConnectionChanged { address, open } => {
                self.admissions
                    .values_mut()
                    .for_each(|admission| admission.watched(now, address, open));
                // At once: a proof is on the path of the first errands.
                self.run_admissions(now);
            }
            Input::ShutdownRequested => {
                self.warned.get_or_insert(now);
                self.extend_calls(now);
                self.check_live(now);
                self.renew(now);
            }
            Input::Operator { id, .. } => {
                let answer = OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown);
                self.out.push(Output::OperatorResponse {
                    id,
                    response: answer,
                });
            }
            Input::Stored { .. } | Input::StoreFailed => {}
        }
        self.flush_assignments();
        self.watch_calls(now);
        std::mem::take(&mut self.out)
    }
}
