//! An edge node as a state machine without I/O.
mod assignments;
mod cached;
mod calls;
mod deadlines;
mod departures;
mod handover;
mod ledger_changes;
mod probes;
mod renewal;
mod replicated_state;
mod requests;
mod stage_messages;
mod updates;

use crate::prelude::*;
use handover::PendingHandover;
use ledger_changes::{CompletedOperation, UnconfirmedChange};
use replicated_state::ReplicatedState;

/// An edge node without its I/O. Invariants:
/// - `state.version_vector` holds, for each partition of the published state, the
///   version that was applied completely; it never decreases within a generation.
/// - Assignments are exercised only while live and only under the epoch that the
///   updates granted to this very incarnation.
/// - A call is sent only while live, under a permit younger than
///   `lease::PERMIT_VALIDITY`, to an origin that is listed and not draining.
pub struct EdgeNode {
    local_peer: Peer,
    locality: Locality,
    /// The control nodes that hold the slots, as far as it is known.
    control_nodes: Vec<SocketAddr>,
    /// How many control slots there are; 0 before that is known.
    control_slots: usize,

    /// The replicated state, as far as it is known here.
    state: ReplicatedState,
    /// The last token of each control node, sent with the next renewal.
    renewal_tokens: HashMap<SocketAddr, RenewalToken>,
    leases: Leases,
    link_delay_estimator: LinkDelayEstimator,
    next_renewal: Duration,
    live: bool,
    completed_operations: VecDeque<CompletedOperation>,
    /// How long they are remembered.
    operation_retention: Duration,
    recall_requested: bool,

    cache_owner: CacheOwner,
    near_cache: NearCache,
    coalescer: Coalescer,
    /// Cache partitions owned here, with the epoch they were granted under.
    owned_partitions: BTreeMap<u16, u64>,
    pending_handovers: BTreeMap<u16, PendingHandover>,
    admission_controllers: BTreeMap<String, AdmissionController>,
    /// Retries of a service in ten seconds beside a fifth of the first attempts.
    retry_allowance: usize,
    fallback_quotas: BTreeMap<String, FallbackQuota>,
    probes_in_flight: HashMap<u64, Origin>,

    active_requests: BTreeMap<u64, ActiveRequest>,
    /// Which request waits for the response to a message or call, by its own id.
    exchanges: HashMap<u64, u64>,
    /// Changes that no request waits for any more.
    unconfirmed_changes: BTreeMap<u64, UnconfirmedChange>,
    /// The last id that was drawn here.
    last_id: u64,

    usage: Usage,
    abandoned_work: AbandonedWork,
    /// From a shutdown request to the end of the process at the latest.
    shutdown_grace: Duration,
    shutdown_requested_at: Option<Duration>,
    /// The sessions were closed for shutdown.
    departed: bool,
    outputs: Vec<Output>,
}

/// When a message without a response is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// A request whose deadline has passed gets this much more to notify the ledger.
const RECORDING_GRACE: Duration = Duration::from_secs(1);
/// An edge that shuts down waits this long for its assignments to be taken over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// The limit of requests of one service pending at one edge.
const MAX_PENDING_PER_SERVICE: usize = 256;
/// The limit of completed operations that are remembered.
const MAX_COMPLETED_OPERATIONS: usize = 10_000;
/// How long after a purge was applied (so, before it was acknowledged) a
/// response in flight may still go to the client that waited for it.
const PURGE_GRACE: Duration = Duration::from_secs(1);
/// The near cache may use this part (one in so many) of the cache owner's memory, beside it.
const NEAR_CACHE_DIVISOR: u64 = 2;
/// The default of `with_shutdown_grace`.
const DEFAULT_SHUTDOWN_GRACE: Duration = Duration::from_secs(20);
/// Clients on kept connections are served for this part (one in so many) of the
/// shutdown grace at least.
const CLIENT_DRAIN_DIVISOR: u32 = 4;
/// The default of `with_retry_allowance`.
const DEFAULT_RETRY_ALLOWANCE: usize = 3;
/// An admission controller that does not respond for this long is bypassed.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);
/// Set in the ids drawn here; those of client requests come from the host without it.
const LOCAL_ID_BIT: u64 = 1 << 63;
/// An odd number that spreads incarnations over all ids.
const INCARNATION_SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

impl EdgeNode {
    /// An edge without leases. `control_nodes` hold the control slots, unless
    /// the edge `discovers_control_nodes` through them. `cache_bytes`: the
    /// memory of the cache owner.
    pub fn new(
        local_peer: Peer,
        locality: Locality,
        control_nodes: Vec<SocketAddr>,
        discovers_control_nodes: bool,
        cache_bytes: u64,
    ) -> EdgeNode {
        EdgeNode {
            control_slots: if discovers_control_nodes {
                0
            } else {
                control_nodes.len()
            },
            local_peer,
            locality,
            control_nodes,
            state: ReplicatedState::default(),
            renewal_tokens: HashMap::new(),
            leases: Leases::default(),
            link_delay_estimator: LinkDelayEstimator::default(),
            next_renewal: Duration::ZERO,
            live: false,
            completed_operations: VecDeque::new(),
            operation_retention: lease::OPERATION_RETENTION,
            recall_requested: false,
            cache_owner: CacheOwner::new(cache_bytes),
            near_cache: NearCache::new(cache_bytes / NEAR_CACHE_DIVISOR),
            coalescer: Coalescer::default(),
            owned_partitions: BTreeMap::new(),
            pending_handovers: BTreeMap::new(),
            admission_controllers: BTreeMap::new(),
            retry_allowance: DEFAULT_RETRY_ALLOWANCE,
            fallback_quotas: BTreeMap::new(),
            probes_in_flight: HashMap::new(),
            active_requests: BTreeMap::new(),
            exchanges: HashMap::new(),
            unconfirmed_changes: BTreeMap::new(),
            // Not where another incarnation at this address started: responses
            // to its messages may still be in flight.
            last_id: local_peer.incarnation.wrapping_mul(INCARNATION_SPREAD),
            usage: Usage::default(),
            abandoned_work: AbandonedWork::default(),
            shutdown_grace: DEFAULT_SHUTDOWN_GRACE,
            shutdown_requested_at: None,
            departed: false,
            outputs: Vec::new(),
        }
    }

    /// Sets the retries that a service may get in ten seconds beside a fifth of
    /// the first attempts.
    pub fn with_retry_allowance(self, retries: Option<u32>) -> EdgeNode {
        EdgeNode {
            retry_allowance: retries.map_or(DEFAULT_RETRY_ALLOWANCE, |retries| retries as usize),
            ..self
        }
    }

    /// Sets how long the process goes on after a shutdown request at most.
    pub fn with_shutdown_grace(self, grace: Duration) -> EdgeNode {
        EdgeNode {
            shutdown_grace: grace,
            ..self
        }
    }

    /// Sets how long outcomes of operations are remembered.
    pub fn with_operation_retention(self, retention: Duration) -> EdgeNode {
        EdgeNode {
            operation_retention: retention,
            ..self
        }
    }

    /// An id for one message or call, different from all before in this incarnation.
    fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        LOCAL_ID_BIT | self.last_id
    }

    /// Starts the request's next message exchange or call: responses to earlier
    /// ones are no longer accepted for it.
    fn start_exchange(&mut self, now: Duration, id: u64) -> u64 {
        self.withdraw_exchange(now, id);
        let exchange = self.next_id();
        if let Some(active) = self.active_requests.get_mut(&id) {
            self.exchanges.remove(&active.exchange.id);
            self.exchanges.insert(exchange, id);
            active.exchange.id = exchange;
        }
        exchange
    }

    /// The request that this response of an admission controller or cache owner
    /// is for; nothing is to be withdrawn there any more.
    fn complete_exchange(&mut self, exchange: u64) -> Option<u64> {
        let id = self.request_awaiting(exchange)?;
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.exchange.peer = None;
        }
        Some(id)
    }

    /// The request that waits for the response to this message or call.
    fn request_awaiting(&self, exchange: u64) -> Option<u64> {
        self.exchanges.get(&exchange).copied()
    }

    /// The peer of this exchange has confirmed that the request waits there.
    fn record_contact(&mut self, now: Duration, exchange: u64) {
        let waiting = self.request_awaiting(exchange);
        if let Some(active) = waiting.and_then(|id| self.active_requests.get_mut(&id)) {
            active.exchange.last_contact = now;
        }
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
            self.tick_cache_owner(now);
            self.run_admission_controllers(now);
        }
        self.tick_requests(now);
        self.replace_stalled_leaders(now);
        self.reject_waiting_before_exit(now);
        self.resend_unconfirmed_changes(now);
        self.check_abandoned_work(now);
        self.finish_shutdown(now);
    }

    fn tick_cache_owner(&mut self, now: Duration) {
        let epochs = &self.owned_partitions;
        self.cache_owner.tick(
            now,
            &|partition| epochs.get(&partition).copied().unwrap_or(0),
            self.state.purge_log.applied,
        );
    }

    /// Sends the messages that are due again, then ends overdue requests.
    fn tick_requests(&mut self, now: Duration) {
        let mut overdue = Vec::new();
        let mut to_resend = Vec::new();
        for (id, active) in &self.active_requests {
            if now >= active.deadline {
                overdue.push(*id);
            } else if now >= active.exchange.resend_at {
                to_resend.push(*id);
            }
        }
        for id in to_resend {
            self.fall_back_or_resend(now, id);
        }
        for id in overdue {
            self.handle_deadline(now, id);
        }
    }

    /// After a shutdown request: assignments are taken over by others, clients on
    /// kept connections are served once more, active requests are finished, then
    /// the sessions are closed.
    fn finish_shutdown(&mut self, now: Duration) {
        let Some(since) = self.shutdown_requested_at else {
            return;
        };
        let is_handed_over = self.owned_partitions.is_empty()
            && self.admission_controllers.is_empty()
            && !self.cache_owner.has_retained_partitions();
        let is_idle = self.active_requests.is_empty() && self.unconfirmed_changes.is_empty();
        let serves_on = now < since + self.shutdown_grace / CLIENT_DRAIN_DIVISOR;
        if self.departed
            || serves_on
            || !is_idle
            || !(is_handed_over || now >= since + HANDOVER_TIMEOUT)
        {
            return;
        }
        self.departed = true;
        self.leases.clear();
        for control_node in self.control_nodes.clone() {
            self.send(control_node, SessionClose {});
        }
        self.update_liveness(now);
        self.outputs.push(Output::ShutdownComplete);
    }

    fn handle_message(&mut self, now: Duration, from: Peer, message: Message) {
        match message {
            Message::RenewReply(reply) => self.handle_renew_reply(now, from, reply),
            Message::UpdateNotice(notice) => self.handle_update_notice(now, from, &notice),
            Message::RenewPrompt(prompt) => {
                self.renewal_tokens
                    .insert(from.address, prompt.renewal_token);
                self.renew(now);
            }
            Message::HandoverRequest(request) => self.handle_handover_request(now, from, request),
            Message::HandoverReply(reply) => self.handle_handover_reply(now, reply),
            Message::RecallRequest(recall) => self.handle_recall_request(from, recall.partition),
            Message::ChangeReply(reply) => self.handle_change_reply(now, reply),
            Message::CacheCopy(copy) => self.handle_cache_copy(now, copy),
            Message::CacheMiss(miss) => self.handle_cache_miss(now, from, miss),
            Message::CacheGetQueued(queued) => self.handle_get_queued(now, queued),
            Message::CacheUnavailable(unavailable) => {
                self.handle_cache_unavailable(now, unavailable)
            }
            Message::Permit(permit) => self.handle_permit(now, from, permit),
            Message::PermitRefused(refused) => self.handle_permit_refused(now, refused),
            Message::PermitQueued(queued) => self.handle_permit_queued(now, queued.id),
            other => self.handle_assignment_message(now, from, other),
        }
    }

    fn handle_connection_changed(&mut self, now: Duration, address: SocketAddr, open: bool) {
        for admission in self.admission_controllers.values_mut() {
            admission.connection_changed(now, address, open);
        }
        // At once: the first requests wait for a proof.
        self.run_admission_controllers(now);
    }

    fn handle_shutdown_request(&mut self, now: Duration) {
        self.shutdown_requested_at.get_or_insert(now);
        self.extend_call_timeouts(now);
        self.update_liveness(now);
        self.renew(now);
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
                self.handle_connection_changed(now, address, open)
            }
            Input::ShutdownRequested => self.handle_shutdown_request(now),
            Input::Operator { id, .. } => self.outputs.push(Output::OperatorResponse {
                id,
                response: OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown),
            }),
            Input::Stored { .. } | Input::StoreFailed => {}
        }
        self.flush_assignment_messages();
        self.observe_calls(now);
        std::mem::take(&mut self.outputs)
    }
}
