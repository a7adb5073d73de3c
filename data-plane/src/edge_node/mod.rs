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
    local_peer: Peer,
    locality: Locality,
    /// Who is renewed with: those who hold the slots, as far as that is known.
    control_nodes: Vec<SocketAddr>,
    /// How many slots there are; 0 before that is known.
    control_slots: usize,
    /// The generation the updates is of; 0 before the first.
    generation: u64,
    version_vector: Vec<u64>,
    /// The last mark of each control node, to be given back.
    renewal_tokens: HashMap<SocketAddr, RenewalToken>,
    /// Every row shown to us, to tell it back if the control plane lost it.
    known_rows: Vec<BTreeMap<String, Row>>,
    /// Own operations that ended lately, for the same reason.
    completed_operations: VecDeque<(Duration, Claim, Option<Arc<Reply>>)>,
    recall_requested: bool,
    /// When the generation was entered.
    generation_entered_at: Duration,
    leases: Leases,
    link_delay_estimator: LinkDelayEstimator,
    next_renewal: Duration,
    live: bool,
    routes: Option<Arc<RouteTable>>,
    /// The parts of the configuration the table was made of.
    configuration_items: Items,
    origins: Arc<Vec<Origin>>,
    assignments: HashMap<String, Assignment>,
    purge_log: PurgeLog,
    cache_owner: CacheOwner,
    /// Copies served here lately, whoever owns them.
    near_cache: NearCache,
    coalescer: Coalescer,
    /// Cache partitions held here, with the epoch they were granted under.
    owned_partitions: BTreeMap<u16, u64>,
    /// Partitions just taken whose copies the last holder may have: asked so often.
    pending_handovers: BTreeMap<u16, (SocketAddr, u32)>,
    admission_controllers: BTreeMap<String, AdmissionController>,
    retry_allowance: usize,
    /// From a warning to the end of the process at the latest.
    shutdown_grace: Duration,
    /// What is sent by ourselves while an admission controller says nothing.
    fallback_quotas: BTreeMap<String, FallbackQuota>,
    active_requests: BTreeMap<u64, ActiveRequest>,
    /// Which job waits for the answer to a question or call, by its own id.
    exchanges: HashMap<u64, u64>,
    /// Endings of claims that the ledger has not confirmed yet.
    unconfirmed_changes: BTreeMap<u64, Loose>,
    probes_in_flight: HashMap<u64, Origin>,
    /// The number of the last id drawn here.
    last_id: u64,
    usage: Usage,
    abandoned_work: AbandonedWork,
    shutdown_requested_at: Option<Duration>,
    departed: bool,
    outputs: Vec<Output>,
}

struct Loose {
    change: Change,
    again: Duration,
    round: usize,
}

const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// A request whose deadline passed gets this much more to tell the ledger.
const RECORDING_GRACE: Duration = Duration::from_secs(1);
/// A warned edge waits this long for its assignments to be taken.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Errands of one service pending at one edge at most.
const MAX_PENDING_PER_SERVICE: usize = 256;
/// Own ended operations remembered at most.
const MAX_COMPLETED_OPERATIONS: usize = 10_000;
/// How long after a purge was learned (so, before it was acknowledged) an
/// answer that was under way may still go to the caller who waited for it.
const PURGE_GRACE: Duration = Duration::from_secs(1);
/// A last holder is asked so often for its copies, a tick apart.
const MAX_HANDOVER_REQUESTS: u32 = 4;
/// Near copies take this part of what owned copies may take, beside them.
const NEAR_CACHE_DIVISOR: u64 = 2;
/// Where nothing is said of it.
const DEFAULT_SHUTDOWN_GRACE: Duration = Duration::from_secs(20);
const DEFAULT_RETRY_ALLOWANCE: usize = 3;
/// An admission controller that says nothing for this long is done without.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);
const PROBE_PATH: &str = "/.well-known/otterslip-identity";
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Set in the ids drawn here; those of errands come from the host without it.
const LOCAL_ID_BIT: u64 = 1 << 63;
/// An odd number that spreads lives over all ids.
const INCARNATION_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

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
            control_slots: if asked { 0 } else { seeds.len() },
            local_peer: me,
            locality,
            control_nodes: seeds,
            generation: 0,
            version_vector: vec![0; PUBLISHED_PARTITIONS.into()],
            renewal_tokens: HashMap::new(),
            known_rows: vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()],
            completed_operations: VecDeque::new(),
            recall_requested: false,
            generation_entered_at: Duration::ZERO,
            leases: Leases::default(),
            link_delay_estimator: LinkDelayEstimator::default(),
            next_renewal: Duration::ZERO,
            live: false,
            routes: None,
            configuration_items: Items::default(),
            origins: Arc::default(),
            assignments: HashMap::new(),
            purge_log: PurgeLog::default(),
            cache_owner: CacheOwner::new(cache_bytes),
            near_cache: NearCache::new(cache_bytes / NEAR_CACHE_DIVISOR),
            coalescer: Coalescer::default(),
            owned_partitions: BTreeMap::new(),
            pending_handovers: BTreeMap::new(),
            admission_controllers: BTreeMap::new(),
            retry_allowance: DEFAULT_RETRY_ALLOWANCE,
            shutdown_grace: DEFAULT_SHUTDOWN_GRACE,
            fallback_quotas: BTreeMap::new(),
            active_requests: BTreeMap::new(),
            exchanges: HashMap::new(),
            unconfirmed_changes: BTreeMap::new(),
            probes_in_flight: HashMap::new(),
            // Not where another life at this address began: answers to its
            // questions may still be on their way.
            last_id: me.incarnation.wrapping_mul(INCARNATION_SPREAD),
            usage: Usage::default(),
            abandoned_work: AbandonedWork::default(),
            shutdown_requested_at: None,
            departed: false,
            outputs: Vec::new(),
        }
    }

    /// Extra tries a service may get in ten seconds beside a fifth of the
    /// first ones.
    pub fn with_extra_tries(self, most: Option<u32>) -> EdgeNode {
        EdgeNode {
            retry_allowance: most.map_or(DEFAULT_RETRY_ALLOWANCE, |most| most as usize),
            ..self
        }
    }

    /// How long the process goes on after a warning at most.
    pub fn with_grace(self, grace: Duration) -> EdgeNode {
        EdgeNode {
            shutdown_grace: grace,
            ..self
        }
    }

    /// An id for one question or call, unlike all before in this life.
    fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        LOCAL_ID_BIT | self.last_id
    }

    /// The job's next question or call: answers to earlier ones are no longer
    /// taken for it.
    fn start_exchange(&mut self, now: Duration, id: u64) -> u64 {
        self.withdraw_exchange(now, id);
        let question = self.next_id();
        if let Some(active) = self.active_requests.get_mut(&id) {
            self.exchanges.remove(&active.exchange.id);
            self.exchanges.insert(question, id);
            active.exchange.id = question;
        }
        question
    }

    /// The job that this answer of an admission controller or cache owner is for, which is asked
    /// no more.
    fn complete_exchange(&mut self, question: u64) -> Option<u64> {
        let id = self.request_awaiting(question)?;
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.exchange.peer = None;
        }
        Some(id)
    }

    /// The job that waits for the answer to this question or call.
    fn request_awaiting(&self, question: u64) -> Option<u64> {
        self.exchanges.get(&question).copied()
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

    fn tick(&mut self, now: Duration) {
        if now >= self.next_renewal {
            self.renew(now);
        }
        self.update_liveness(now);
        self.request_handovers(now);
        if self.is_live(now) {
            let epochs = &self.owned_partitions;
            self.cache_owner.tick(
                now,
                &|partition| epochs.get(&partition).copied().unwrap_or(0),
                self.purge_log.applied,
            );
            self.run_admission_controllers(now);
        }
        let mut overdue = Vec::new();
        let mut again = Vec::new();
        for (id, active) in &self.active_requests {
            if now >= active.deadline {
                overdue.push(*id);
            } else if now >= active.exchange.resend_at {
                again.push(*id);
            }
        }
        again
            .into_iter()
            .for_each(|id| self.fall_back_or_resend(now, id));
        overdue
            .into_iter()
            .for_each(|id| self.handle_deadline(now, id));
        self.replace_stalled_leaders(now);
        self.reject_waiting_before_exit(now);
        let due: Vec<u64> = self
            .unconfirmed_changes
            .iter()
            .filter(|(_, loose)| now >= loose.again)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let loose = self.unconfirmed_changes.get_mut(&id).expect("just listed");
            loose.again = now + RESEND_INTERVAL;
            loose.round += 1;
            let (round, change) = (loose.round, loose.change.clone());
            self.send_change(id, round, change);
        }
        self.check_abandoned_work(now);
        self.finish_shutdown(now);
    }

    /// After a warning: assignments are taken by others, what was read is
    /// answered, then the session is left.
    fn finish_shutdown(&mut self, now: Duration) {
        let Some(since) = self.shutdown_requested_at else {
            return;
        };
        let idle = self.owned_partitions.is_empty()
            && self.admission_controllers.is_empty()
            && !self.cache_owner.has_retained_partitions();
        if !self.departed
            && self.active_requests.is_empty()
            && self.unconfirmed_changes.is_empty()
            && (idle || now >= since + HANDOVER_TIMEOUT)
        {
            self.departed = true;
            self.leases.clear();
            for seed in self.control_nodes.clone() {
                self.send(seed, SessionClose {});
            }
            self.update_liveness(now);
            self.outputs.push(Output::ShutdownComplete);
        }
    }

    fn handle_message(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewReply(renewed) => self.handle_renew_reply(now, from, renewed),
            Message::UpdateNotice(nudge) => self.handle_update_notice(now, from, &nudge),
            Message::RenewPrompt(who) => {
                self.renewal_tokens.insert(from.address, who.renewal_token);
                self.renew(now);
            }
            Message::HandoverRequest(want) => self.handle_handover_request(now, from, want),
            Message::HandoverReply(handed) => self.handle_handover_reply(now, handed),
            Message::RecallRequest(recall) => self.handle_recall_request(from, recall.partition),
            Message::ChangeReply(told) => self.handle_change_reply(now, told),
            Message::CacheCopy(copy) => self.handle_cache_copy(now, copy),
            Message::CacheMiss(miss) => self.handle_cache_miss(now, from, miss),
            Message::CacheGetQueued(queued) => self.handle_get_queued(now, queued),
            Message::CacheUnavailable(no_copy) => self.handle_cache_unavailable(now, no_copy),
            Message::Permit(permit) => self.handle_permit(now, from, permit),
            Message::PermitRefused(away) => self.handle_permit_refused(now, away),
            Message::PermitQueued(line) => self.handle_permit_queued(now, line.id),
            other => self.handle_assignment_message(now, from, other),
        }
    }
}

impl StateMachine for EdgeNode {
    fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::MessageReceived { from, message } => self.handle_message(now, from, message),
            Input::ClientRequest { id, request } => self.begin_request(now, id, request),
            Input::ClientDisconnected { id } => self.handle_client_disconnect(now, id),
            Input::CallCompleted { id, result } => {
                self.abandoned_work.call_ended(id);
                self.handle_call_completed(now, id, result);
            }
            Input::ConnectionChanged { address, open } => {
                self.admission_controllers
                    .values_mut()
                    .for_each(|admission| admission.connection_changed(now, address, open));
                // At once: a proof is on the path of the first errands.
                self.run_admission_controllers(now);
            }
            Input::ShutdownRequested => {
                self.shutdown_requested_at.get_or_insert(now);
                self.extend_call_timeouts(now);
                self.update_liveness(now);
                self.renew(now);
            }
            Input::Operator { id, .. } => {
                let answer = OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown);
                self.outputs.push(Output::OperatorResponse {
                    id,
                    response: answer,
                });
            }
            Input::Stored { .. } | Input::StoreFailed => {}
        }
        self.flush_assignment_messages();
        self.observe_calls(now);
        std::mem::take(&mut self.outputs)
    }
}
