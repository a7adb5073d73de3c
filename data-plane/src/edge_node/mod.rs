//! The state machine of an edge node. It does no I/O.
mod assignments;
mod cached;
mod calls;
mod client_disconnects;
mod deadlines;
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

/// The state machine of an edge node. Invariants:
/// - `state.version_vector` holds, for each partition of the published state, the
///   version that was applied completely. It never decreases within a generation.
/// - The edge acts on an assignment only while it is live and only under the epoch
///   that the updates granted to this incarnation.
/// - A call is sent only while the edge is live, under a permit younger than
///   `lease::PERMIT_VALIDITY`, to an origin that is listed and not draining.
pub struct EdgeNode {
    local_peer: Peer,
    locality: Locality,
    /// The known control nodes that hold control slots.
    control_nodes: Vec<SocketAddr>,
    /// Number of control slots; 0 until it is known.
    control_slots: usize,

    /// The replicated state that this edge has received.
    state: ReplicatedState,
    /// The last renewal token of each control node, sent with the next renewal.
    renewal_tokens: HashMap<SocketAddr, RenewalToken>,
    leases: Leases,
    link_delay_estimator: LinkDelayEstimator,
    /// The time at which the next renewal is due.
    next_renewal: Duration,
    /// Set if the edge was live when its liveness was last published.
    live: bool,
    completed_operations: VecDeque<CompletedOperation>,
    /// Time for which completed operations are kept.
    operation_retention: Duration,
    /// Set if the last renewal reply requested a recall: acknowledged operations may be
    /// lost, and the edge reports those that it knows.
    recall_requested: bool,

    cache_owner: CacheOwner,
    near_cache: NearCache,
    coalescer: Coalescer,
    /// The cache partitions that this edge owns, each with the epoch of its grant.
    owned_partitions: BTreeMap<u16, u64>,
    pending_handovers: BTreeMap<u16, PendingHandover>,
    /// The admission controllers that run at this edge, by service.
    admission_controllers: BTreeMap<String, AdmissionController>,
    /// Retries of a service in ten seconds in addition to a fifth of the first attempts.
    retry_allowance: usize,
    /// The fallback quotas of this edge, by service.
    fallback_quotas: BTreeMap<String, FallbackQuota>,
    /// The origins of the probes in flight, by call id.
    probes_in_flight: HashMap<u64, Origin>,

    /// The requests without a response, by request id.
    active_requests: BTreeMap<u64, ActiveRequest>,
    /// The request that waits for the response to a message or call, by exchange id.
    exchanges: HashMap<u64, u64>,
    /// Unconfirmed changes that no request waits for any more, by exchange id.
    unconfirmed_changes: BTreeMap<u64, UnconfirmedChange>,
    /// The last exchange id that was assigned.
    last_id: u64,

    usage: Usage,
    abandoned_work: AbandonedWorkMonitor,
    /// Maximum time from the shutdown request to the end of the process.
    shutdown_grace: Duration,
    shutdown_requested_at: Option<Duration>,
    /// Set once the sessions were closed for shutdown.
    departed: bool,
    outputs: Vec<Output>,
}

/// Time after which a message without a response is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// Additional time that a request has after its deadline to notify the ledger.
const RECORDING_GRACE: Duration = Duration::from_secs(1);
/// Maximum time that a shutting-down edge waits for other edges to take over its
/// assignments.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of pending requests of one service at one edge.
const MAX_PENDING_PER_SERVICE: usize = 256;
/// Maximum number of completed operations that are kept.
const MAX_COMPLETED_OPERATIONS: usize = 10_000;
/// Time after a purge was applied (and so before it was acknowledged) within which
/// a response in flight may still be sent to the client that waits for it.
const PURGE_GRACE: Duration = Duration::from_secs(1);
/// The near cache may use the cache owner's memory limit divided by this, in
/// addition to that limit.
const NEAR_CACHE_DIVISOR: u64 = 2;
/// The default of `with_shutdown_grace`.
const DEFAULT_SHUTDOWN_GRACE: Duration = Duration::from_secs(20);
/// Clients on keep-alive connections are served for at least the shutdown grace divided by
/// this.
const CLIENT_DRAIN_DIVISOR: u32 = 4;
/// The default of `with_retry_allowance`.
const DEFAULT_RETRY_ALLOWANCE: usize = 3;
/// Time without a response after which an admission controller is bypassed.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(250);
/// The bit that is set in ids assigned here. Ids of client requests are assigned by
/// the host, without this bit.
const LOCAL_ID_BIT: u64 = 1 << 63;
/// An odd multiplier that distributes incarnations over the id space.
const INCARNATION_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

impl EdgeNode {
    /// Creates an edge without leases. `control_nodes` hold the control slots, unless
    /// `discovers_control_nodes` is set: then the edge learns from them which nodes
    /// do. `cache_bytes` is the memory limit of the cache owner.
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
            // Differs between incarnations at the same address: responses to
            // messages of an earlier one may still be in flight.
            last_id: local_peer.incarnation.wrapping_mul(INCARNATION_MULTIPLIER),
            usage: Usage::default(),
            abandoned_work: AbandonedWorkMonitor::default(),
            shutdown_grace: DEFAULT_SHUTDOWN_GRACE,
            shutdown_requested_at: None,
            departed: false,
            outputs: Vec::new(),
        }
    }

    /// Sets the number of retries that a service may get in ten seconds in addition to
    /// a fifth of the first attempts.
    pub fn with_retry_allowance(self, retries: Option<u32>) -> EdgeNode {
        EdgeNode {
            retry_allowance: retries.map_or(DEFAULT_RETRY_ALLOWANCE, |retries| retries as usize),
            ..self
        }
    }

    /// Sets the maximum time from a shutdown request to the end of the process.
    pub fn with_shutdown_grace(self, grace: Duration) -> EdgeNode {
        EdgeNode {
            shutdown_grace: grace,
            ..self
        }
    }

    /// Sets the time for which outcomes of operations are kept.
    pub fn with_operation_retention(self, retention: Duration) -> EdgeNode {
        EdgeNode {
            operation_retention: retention,
            ..self
        }
    }

    /// Returns an id for a message or call that is unique in this incarnation.
    fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        LOCAL_ID_BIT | self.last_id
    }

    /// Starts the request's next exchange or call and returns its id. Responses to
    /// earlier ones are no longer accepted.
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

    /// Returns the request that this response of an admission controller or cache
    /// owner is for, and records that there is nothing left to withdraw.
    fn complete_exchange(&mut self, exchange: u64) -> Option<u64> {
        let id = self.request_awaiting(exchange)?;
        if let Some(active) = self.active_requests.get_mut(&id) {
            active.exchange.peer = None;
        }
        Some(id)
    }

    /// Returns the request that waits for the response to this message or call.
    fn request_awaiting(&self, exchange: u64) -> Option<u64> {
        self.exchanges.get(&exchange).copied()
    }

    /// Records that the peer of this exchange has confirmed that it queued the request.
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
        self.end_all_before_exit(now);
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

    /// Resends the messages that are due, then ends requests past their deadline.
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

    /// Completes a requested shutdown: closes the sessions once other edges have taken
    /// over the assignments, clients on keep-alive connections were served for a while, and
    /// all active requests are finished.
    fn finish_shutdown(&mut self, now: Duration) {
        let Some(since) = self.shutdown_requested_at else {
            return;
        };
        let is_handed_over = self.owned_partitions.is_empty()
            && self.admission_controllers.is_empty()
            && !self.cache_owner.has_retained_partitions();
        let is_idle = self.active_requests.is_empty() && self.unconfirmed_changes.is_empty();
        let is_draining_clients = now < since + self.shutdown_grace / CLIENT_DRAIN_DIVISOR;
        if self.departed
            || is_draining_clients
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
        // Runs at once: the first requests wait for a proof of the origin.
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
