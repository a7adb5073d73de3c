//! The messages that processes of a fleet send to each other.
//!
//! One macro declares all messages, grouped by sender and receiver. The order of
//! messages and of their fields is the wire format (`bincode`): a message may be
//! renamed but never moved. `kernel/tests/wire_format` holds the expected bytes.
mod admission;
mod cache;
mod change;
mod generation;
mod partition_state;
mod session;

pub use admission::{CallResult, PermitRefusalReason};
pub use cache::{CachedResponse, FillToken, HandedOverResponse};
pub use change::{Acknowledge, Change, ChangeOutcome, Claim, SlotOfferOutcome};
pub use generation::Generation;
pub use partition_state::{
    EarlierState, PartitionSnapshot, PartitionState, PartitionUpdate, PreparedState, StateId,
};
pub use session::{OriginCondition, OriginHealth, RenewalToken, SessionInfo, SessionsDelta, Usage};

use crate::prelude::*;

/// Declares the message structs with their derives, and the `Message` enum with
/// one variant for each.
macro_rules! messages {
    ($(
        $(#[$attribute:meta])*
        $name:ident {
            $($(#[$field_attribute:meta])* $field:ident: $kind:ty),* $(,)?
        }
    )*) => {
        $(
            $(#[$attribute])*
            #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
            pub struct $name { $($(#[$field_attribute])* pub $field: $kind),* }

            impl From<$name> for Message {
                fn from(message: $name) -> Message { Message::$name(message) }
            }
        )*

        /// A message of any kind, as carried by a frame.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub enum Message {
            $($(#[$attribute])* $name($name)),*
        }

        impl Message {
            /// Returns the name of this kind of message.
            pub fn name(&self) -> &'static str {
                match self { $(Message::$name(_) => stringify!($name)),* }
            }
        }
    };
}

// Between control nodes: liveness, replication, recovery and changes.
messages! {
    /// Reports to another control node that the sender is alive, with the state of
    /// its disk and the edges that have a session with it.
    Heartbeat {
        /// The slot that the sender holds.
        slot: u8,
        /// True if the disk is included in quorums: it holds all it ever
        /// acknowledged.
        full: bool,
        /// True if the disk is empty and not yet refilled by the other replicas.
        blank: bool,
        /// Version of the sender's membership table.
        membership_version: u64,
        /// Remaining time in which no unknown operation may be claimed.
        ledger_closed_for: Duration,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Slots from which the sender receives heartbeats.
        heard_slots: SlotSet,
        /// Slots in `heard_slots` that also receive the sender's heartbeats.
        mutual_contacts: SlotSet,
        /// Slots in `mutual_contacts` that may lead partitions.
        leader_candidates: SlotSet,
        /// State of the receiver's session table that the sender has.
        acknowledged_sessions: u64,
        /// Changes to the sender's session table that the receiver lacks; `None`
        /// while the sender does not know its sessions yet.
        sessions: Option<SessionsDelta>,
    }
    /// Requests all that another replica holds, to refill an empty disk. A
    /// replica with a newer membership table replies with the table instead.
    SnapshotRequest {
        /// The slot that the sender holds.
        slot: u8,
        /// Round 0 only makes the other replicas discard the acknowledgements of
        /// the slot's earlier disk; the disk is refilled from the replies of round 1.
        round: u8,
        /// Version of the sender's membership table.
        membership_version: u64,
    }
    /// Sends all partitions of one replica.
    SnapshotReply {
        /// The slot that the sender holds.
        slot: u8,
        /// Incarnation of the disk that sent the request: a later disk of the
        /// slot restarts at round 0 and ignores replies to an earlier disk.
        requester_incarnation: u64,
        /// The round of the request.
        round: u8,
        /// True if the sender's disk holds all that it ever acknowledged.
        full: bool,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Version of the membership table that the sender publishes to edges.
        membership_version: u64,
        /// The state of each partition on the sender's disk.
        partitions: Vec<PartitionSnapshot>,
    }
    /// Phase one of a change of leader: a replica that replies promises to accept
    /// no lower epoch.
    PrepareRequest {
        /// The partition to lead.
        partition: u8,
        /// The new leader's epoch.
        epoch: u64,
        /// Version of the sender's membership table.
        membership_version: u64,
        /// State of the sender's own disk: replies need not carry an older one.
        requester_state: StateId,
    }
    /// Returns the promise of a replica, with its state of the partition.
    PrepareReply {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Disks whose acknowledgements are no longer valid.
        retired_incarnations: Vec<u64>,
        /// The replica's state, if it is newer than the requester's.
        state: PreparedState,
    }
    /// Replicates rows of a partition. A request without rows is a read round: it
    /// collects the confirmed versions of sessions and confirms that the sender is
    /// still the leader.
    AppendRequest {
        /// The partition of the rows.
        partition: u8,
        /// The leader's epoch.
        epoch: u64,
        /// Version of the sender's membership table.
        membership_version: u64,
        /// The leader's request counter, returned by the reply.
        round: u64,
        /// True if `rows` are the complete state and replace the replica's rows.
        full_state: bool,
        /// Version of the state that `rows` are added to.
        after_version: u64,
        /// Version of the replica's state afterwards.
        to_version: u64,
        /// Rows with versions above `after_version`, up to `to_version`, by key.
        rows: Vec<(String, Row)>,
        /// Keys to remove.
        removed_keys: Vec<String>,
        /// Highest committed version: replicas may publish rows up to it to edges.
        published: u64,
        /// The state of an earlier epoch that `rows` are added to, if any.
        base: Option<EarlierState>,
    }
    /// Acknowledges an append: the rows are on the replica's disk.
    AppendReply {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The round of the request.
        round: u64,
        /// Highest version synced to disk.
        synced_version: u64,
        /// Version confirmed by every session at this node; `None` while the
        /// sessions are not known yet.
        sessions_confirmed: Option<u64>,
        /// Disks whose acknowledgements are no longer valid; the leader applies
        /// this list before it counts the reply.
        retired_incarnations: Vec<u64>,
    }
    /// Rejects an append: rows before `after_version` are missing at the replica.
    AppendGap {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The round of the request.
        round: u64,
    }
    /// Rejects a request: the replica promised a higher epoch.
    StaleEpoch {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The promised epoch.
        promised_epoch: u64,
    }
    /// Carries a change to the leader of its partition.
    ChangeRequest {
        /// Address that the reply is sent to.
        requester: SocketAddr,
        /// The requester's id of this change.
        id: u64,
        /// The partition that the change is for.
        partition: u8,
        /// Number of control nodes that forwarded it.
        hops: u8,
        /// The change or read.
        change: Change,
    }
    /// Reports the outcome of a change.
    ChangeReply {
        /// The id of the request.
        id: u64,
        /// The outcome.
        outcome: ChangeOutcome,
    }

    // Between control nodes: membership.
    /// Requests a slot for an empty control node.
    JoinRequest {
        /// True to request a new slot in a fleet that starts for the first time;
        /// false to request the slot of a lost member.
        founding: bool,
    }
    /// The members that hold the slots. Sent to a node that requests a slot or has
    /// an older table: a node that is not in the table was removed.
    MembershipTable {
        /// Version of the table. 0 is the founding table, which the first seed
        /// fixes.
        version: u64,
        /// The member in each slot.
        members: Vec<Peer>,
    }
    /// Replies to a draining member that offered its slot.
    SlotOfferReply {
        /// The outcome of the offer.
        outcome: SlotOfferOutcome,
    }
    /// Sends all that the disk of a removed member ever acknowledged to its direct
    /// successor. The removed member acknowledges nothing after this.
    SlotState {
        /// Version of the table in which the receiver is the successor.
        version: u64,
        /// The slot that is handed over.
        slot: u8,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Disks whose acknowledgements are no longer valid.
        retired_incarnations: Vec<u64>,
        /// The state of each partition on the sender's disk.
        partitions: Vec<PartitionSnapshot>,
    }
    /// Confirms that the successor has stored the slot's state.
    SlotStateReceived {
        /// Table version of the `SlotState`.
        version: u64,
    }

    // Between edges and control nodes: leases and published updates.
    /// Renews an edge's lease with one control node.
    RenewRequest {
        /// Send time by the edge's clock: the lease runs from here.
        sent: Duration,
        /// The last token of this control node; `None` before the first.
        last_token: Option<RenewalToken>,
        /// The edge's generation of the control state.
        generation: u64,
        /// True if the edge has reported all it knew of earlier generations.
        recall_complete: bool,
        /// The edge's version of each published partition.
        version_vector: Vec<u64>,
        /// The edge's zone.
        zone: String,
        /// The ring of cache partitions that the edge is a member of.
        ring: String,
        /// Relative capacity of the edge's machine.
        weight: u32,
        /// True if the edge shuts down and hands over its assignments.
        draining: bool,
        /// Requests served since the edge's start.
        usage: Usage,
        /// Health of the origins of the edge's admission controllers.
        origin_health: Vec<OriginHealth>,
    }
    /// Renews the lease and carries the published rows that the edge lacks.
    RenewReply {
        /// Incarnation of the edge that sent the request.
        incarnation: u64,
        /// Token to return with the next renewal.
        renewal_token: RenewalToken,
        /// `sent` of the request.
        sent: Duration,
        /// The generation of the control state.
        generation: u64,
        /// True if acknowledged operations may be lost: the edge reports those
        /// that it knows.
        recall_requested: bool,
        /// Rows that the edge lacks. Must stay the last field: it is encoded once
        /// for all edges that lack the same rows.
        updates: SharedUpdates,
    }
    /// Requests all rows of a partition that an edge knows: the partition's leader
    /// may have lost some of them.
    RecallRequest {
        /// The partition.
        partition: u8,
    }
    /// Reports all rows of a partition that an edge knows.
    RecallReply {
        /// The partition of the request.
        partition: u8,
        /// The edge's version of the partition.
        version: u64,
        /// All rows, by key.
        rows: Vec<(String, Row)>,
    }
    /// Notifies an edge of a published version newer than the one it confirmed: the
    /// edge renews now unless it has that version from another control node.
    UpdateNotice {
        /// The partition.
        partition: u8,
        /// The published version.
        version: u64,
        /// Token to return with the renewal.
        renewal_token: RenewalToken,
    }
    /// Requests an immediate renewal from an edge: a decision depends on which
    /// edges are alive.
    RenewPrompt {
        /// Token to return with the renewal.
        renewal_token: RenewalToken,
    }
    /// Closes the session of an edge that has fenced itself permanently.
    SessionClose {}

    // Between edges: the shared cache.
    /// Requests a cached response from the owner of a cache partition.
    CacheGet {
        /// The requester's id of the request, returned by every reply.
        id: u64,
        /// The key of the response.
        key: CacheKey,
        /// Name of the configuration entry that the response belongs to.
        entry: String,
        /// The entry's host; empty if it serves any host.
        host: String,
        /// Path and query.
        url: String,
        /// Time to live of the response.
        ttl: Duration,
        /// Maximum time the requester waits.
        max_wait: Duration,
        /// True if a response of any age is accepted: the requester's own fill
        /// failed.
        accepts_any_age: bool,
    }
    /// Returns a cached response.
    CacheCopy {
        /// The id of the request.
        id: u64,
        /// The key of the request.
        key: CacheKey,
        /// Maximum time the requester waits: the message is not sent later.
        max_wait: Duration,
        /// The response and its age.
        response: CachedResponse,
    }
    /// Reports that the request waits for the fill in progress, or that its reply
    /// has been sent.
    CacheGetQueued {
        /// The id of the request.
        id: u64,
    }
    /// Reports a cache miss: the requester fetches the response and puts it.
    CacheMiss {
        /// The id of the request.
        id: u64,
        /// The key of the request.
        key: CacheKey,
        /// Token to send with the put.
        token: FillToken,
    }
    /// Reports that the owner cannot serve the request: the requester fetches the
    /// response for its own client only.
    CacheUnavailable {
        /// The id of the request.
        id: u64,
        /// The key of the request.
        key: CacheKey,
    }
    /// Fills the cache after a `CacheMiss`.
    CachePut {
        /// The key of the response.
        key: CacheKey,
        /// The token of the miss.
        token: FillToken,
        /// The verified response.
        reply: Reply,
    }
    /// Reports that the fill after a `CacheMiss` failed.
    CacheFillFailed {
        /// The key of the response.
        key: CacheKey,
        /// The token of the miss.
        token: FillToken,
        /// True if a response arrived that must not be shared.
        private: bool,
    }

    /// Requests the cached responses of a partition from its previous owner.
    HandoverRequest {
        /// The cache partition.
        partition: u16,
        /// The new owner's epoch.
        epoch: u64,
        /// Send time by the requester's clock.
        sent: Duration,
    }
    /// Sends the cached responses of a partition to its new owner.
    HandoverReply {
        /// The cache partition.
        partition: u16,
        /// The epoch of the request.
        epoch: u64,
        /// `sent` of the request.
        sent: Duration,
        /// The responses, with expiries as remaining durations.
        copies: Vec<HandedOverResponse>,
    }

    // Between edges: admission control.
    /// Requests a permit to call an origin from a service's admission controller.
    PermitRequest {
        /// The service.
        service: String,
        /// The requester's id of the request, returned by every reply.
        id: u64,
        /// Priority: higher ranks are served first.
        rank: u32,
        /// Maximum time the requester waits.
        max_wait: Duration,
        /// Send time by the requester's clock.
        sent: Duration,
        /// True if it is not the first attempt: it uses the retry budget.
        is_retry: bool,
        /// Timeout of the call.
        call_timeout: Duration,
        /// Target latency of the client's response.
        latency_target: Duration,
        /// The requester's zone: origins there are preferred.
        zone: String,
        /// The requester's region.
        region: String,
        /// Origins that failed this request before.
        excluded_origins: Vec<SocketAddr>,
    }
    /// Grants one call to one origin, valid for `lease::PERMIT_VALIDITY`.
    Permit {
        /// The id of the request.
        id: u64,
        /// The service.
        service: String,
        /// The admission controller's epoch.
        epoch: u64,
        /// The permit's number within the epoch.
        serial: u64,
        /// The origin to call.
        origin: Origin,
        /// `sent` of the request.
        sent: Duration,
        /// Time the request waited at the admission controller.
        queued_for: Duration,
        /// Expected latency of a call to the origin, estimated from recent calls.
        expected_latency: Duration,
    }
    /// Reports that the request waits in the admission controller's queue.
    PermitQueued {
        /// The id of the request.
        id: u64,
    }
    /// Refuses a permit.
    PermitRefused {
        /// The id of the request.
        id: u64,
        /// The reason for the refusal.
        reason: PermitRefusalReason,
        /// Delay before a retry.
        retry_after: Duration,
    }
    /// Reports to a new owner the calls in flight under permits of earlier owners.
    CallsInProgress {
        /// The service.
        service: String,
        /// Epoch and serial of the permit, the origin, and the time since the
        /// call was sent.
        calls: Vec<(u64, u64, SocketAddr, Duration)>,
    }
    /// Reports the end of a call made under a permit.
    CallDone {
        /// The service.
        service: String,
        /// The epoch of the permit.
        epoch: u64,
        /// The serial of the permit.
        serial: u64,
        /// The result of the call, for the origin's health.
        result: CallResult,
        /// Duration of the call.
        took: Duration,
    }

    /// Withdraws a permit request: the requester no longer waits.
    PermitWithdrawn {
        /// The service.
        service: String,
        /// The id of the request.
        id: u64,
    }
    /// Withdraws a cache request: the requester no longer waits.
    CacheGetWithdrawn {
        /// The key of the request.
        key: CacheKey,
        /// The id of the request.
        id: u64,
    }
}

impl Message {
    /// Returns how long the receiver waits for this message; `None` if it is
    /// useful at any time.
    pub fn max_wait(&self) -> Option<Duration> {
        match self {
            Message::CacheCopy(copy) => Some(copy.max_wait),
            _ => None,
        }
    }
}
