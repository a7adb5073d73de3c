//! Every message that processes of a fleet send each other.
//!
//! One macro declares them all, in groups by who talks to whom. Their order,
//! and that of their fields, is the wire format (`bincode`): a message may be
//! renamed, never moved. `kernel/tests/wire_format` holds the bytes.
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

/// Declares every message between our processes with its derives, and the
/// enum that carries them.
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

        /// A message of any kind, as it goes in a frame.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub enum Message {
            $($(#[$attribute])* $name($name)),*
        }

        impl Message {
            /// The name of this kind of message.
            pub fn name(&self) -> &'static str {
                match self { $(Message::$name(_) => stringify!($name)),* }
            }
        }
    };
}

// Between control nodes: liveness, replication, recovery and changes.
messages! {
    /// Tells another control node that the sender is alive, with what its disk
    /// holds and which edges have a session with it.
    Heartbeat {
        /// The slot that the sender holds.
        slot: u8,
        /// The disk counts for quorums: it holds all it ever acknowledged.
        full: bool,
        /// The disk is empty and was not refilled by the others yet.
        blank: bool,
        /// The membership table that the sender goes by.
        membership_version: u64,
        /// For so long no unknown operation may be claimed.
        ledger_closed_for: Duration,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Slots whose heartbeats arrive at the sender.
        heard_slots: SlotSet,
        /// Those of `heard_slots` that receive the sender's heartbeats too.
        mutual_contacts: SlotSet,
        /// Those of `mutual_contacts` that may lead partitions.
        leader_candidates: SlotSet,
        /// Which state of the receiver's session table the sender has.
        acknowledged_sessions: u64,
        /// The sender's session table, as far as the receiver lacks it; none
        /// while it is not known yet.
        sessions: Option<SessionsDelta>,
    }
    /// Asks another replica for all that it holds, to refill an empty disk.
    /// Whoever goes by a newer membership table replies with that instead.
    SnapshotRequest {
        /// The slot that the sender holds.
        slot: u8,
        /// 0 only makes the others forget what the slot's earlier disk
        /// acknowledged; what is sent for round 1 counts.
        round: u8,
        /// The membership table that the sender goes by.
        membership_version: u64,
    }
    /// All partitions of one replica.
    SnapshotReply {
        /// The slot that the sender holds.
        slot: u8,
        /// The disk that sent the request: a later disk of the slot starts
        /// again with round 0 and ignores replies to an earlier one.
        requester_incarnation: u64,
        /// The round of the request.
        round: u8,
        /// The sender's disk holds all that it ever acknowledged.
        full: bool,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// The membership table that edges are shown at the sender.
        membership_version: u64,
        /// What the sender holds of each partition.
        partitions: Vec<PartitionSnapshot>,
    }
    /// Phase one of a change of leader: whoever replies promises to accept no
    /// lower epoch.
    PrepareRequest {
        /// The partition to lead.
        partition: u8,
        /// The new leader's epoch.
        epoch: u64,
        /// The membership table that the sender goes by.
        membership_version: u64,
        /// What the sender's own disk holds: nothing older need be sent.
        requester_state: StateId,
    }
    /// The promise of one replica, with its state of the partition.
    PrepareReply {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Disks whose acknowledgements count no more.
        retired_incarnations: Vec<u64>,
        /// The replica's state, if it is newer than the requester's.
        state: PreparedState,
    }
    /// Replicates rows of a partition. An empty one is a read round: it
    /// collects the sessions and confirms that the sender still leads.
    AppendRequest {
        /// The partition of the rows.
        partition: u8,
        /// The leader's epoch.
        epoch: u64,
        /// The membership table that the sender goes by.
        membership_version: u64,
        /// The leader's count of requests, given back by the reply.
        round: u64,
        /// `rows` are the complete state and replace what the replica holds.
        full_state: bool,
        /// The version that `rows` are added to.
        after_version: u64,
        /// The version that the replica has afterwards.
        to_version: u64,
        /// Rows with a version in between, by key.
        rows: Vec<(String, Row)>,
        /// Keys that are removed.
        removed_keys: Vec<String>,
        /// Committed up to here: replicas may show it to edges.
        published: u64,
        /// `rows` are added to a state of an earlier epoch, this one.
        base: Option<EarlierState>,
    }
    /// The rows are on the replica's disk.
    AppendReply {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The round of the request.
        round: u64,
        /// Synced up to this version.
        synced_version: u64,
        /// Every session at this node has confirmed this version; none while
        /// the sessions are not known yet.
        sessions_confirmed: Option<u64>,
        /// Disks whose acknowledgements count no more; applied by the leader
        /// before it counts this reply.
        retired_incarnations: Vec<u64>,
    }
    /// Rows before `after_version` are missing at the replica.
    AppendGap {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The round of the request.
        round: u64,
    }
    /// The request was rejected: the replica promised a higher epoch.
    StaleEpoch {
        /// The partition of the request.
        partition: u8,
        /// The epoch of the request.
        epoch: u64,
        /// The epoch that was promised.
        promised_epoch: u64,
    }
    /// A change on its way to the leader of its partition.
    ChangeRequest {
        /// Who gets the reply.
        requester: SocketAddr,
        /// The requester's id of this change.
        id: u64,
        /// The partition that the change is for.
        partition: u8,
        /// How many control nodes forwarded it.
        hops: u8,
        /// What is to be changed or read.
        change: Change,
    }
    /// What became of a change.
    ChangeReply {
        /// The id of the request.
        id: u64,
        /// What became of it.
        outcome: ChangeOutcome,
    }

    // Between control nodes: membership.
    /// An empty control node without a slot asks for one.
    JoinRequest {
        /// For a slot of its own in a fleet that starts for the first time;
        /// otherwise for one whose member is lost.
        founding: bool,
    }
    /// Who holds the slots. Sent to whoever asks for a slot or goes by an older
    /// table: a node that is not in it was removed.
    MembershipTable {
        /// 0 is the founding table, which the first seed fixes.
        version: u64,
        /// The member in each slot.
        members: Vec<Peer>,
    }
    /// To a draining member that offered its slot.
    SlotOfferReply {
        /// What became of the offer.
        outcome: SlotOfferOutcome,
    }
    /// All that the disk of a removed member ever acknowledged, to its direct
    /// successor. The removed member acknowledges nothing any more.
    SlotState {
        /// The table by which the receiver is the successor.
        version: u64,
        /// The slot that is handed over.
        slot: u8,
        /// The generation whose acknowledged rows may be lost; 0: none.
        lost_generation: u64,
        /// Disks whose acknowledgements count no more.
        retired_incarnations: Vec<u64>,
        /// What the sender held of each partition.
        partitions: Vec<PartitionSnapshot>,
    }
    /// The successor has stored the slot's state.
    SlotStateReceived {
        /// The table of the `SlotState`.
        version: u64,
    }

    // Between edges and control nodes: leases and published updates.
    /// Renews an edge's lease with one control node.
    RenewRequest {
        /// When it was sent, by the edge's clock: the lease counts from here.
        sent: Duration,
        /// The last token of this control node, none before the first.
        last_token: Option<RenewalToken>,
        /// The generation that the edge goes by.
        generation: u64,
        /// In this generation, nothing of an earlier one is left to report.
        recall_complete: bool,
        /// The version that the edge has of each published partition.
        version_vector: Vec<u64>,
        /// The edge's zone.
        zone: String,
        /// The ring of cache partitions that it takes part in.
        ring: String,
        /// What it can carry beside other edges.
        weight: u32,
        /// It shuts down and gives its assignments away.
        draining: bool,
        /// What it has served since its start.
        usage: Usage,
        /// How the origins of its admission controllers are doing.
        origin_health: Vec<OriginHealth>,
    }
    /// The lease is renewed, and what the edge lacks of the published rows.
    RenewReply {
        /// The edge's incarnation that sent the request.
        incarnation: u64,
        /// To be given back with the next renewal.
        renewal_token: RenewalToken,
        /// `sent` of the request.
        sent: Duration,
        /// The generation of the control state.
        generation: u64,
        /// Acknowledged operations may be lost: report those that are known.
        recall_requested: bool,
        /// What the edge lacks. The last field: it is encoded once for all
        /// edges that lack the same.
        updates: SharedUpdates,
    }
    /// Asks an edge for all rows it knows of a partition: more than the
    /// partition's leader has.
    RecallRequest {
        /// The partition.
        partition: u8,
    }
    /// The rows that an edge knows.
    RecallReply {
        /// The partition of the request.
        partition: u8,
        /// The version that the edge has.
        version: u64,
        /// All rows, by key.
        rows: Vec<(String, Row)>,
    }
    /// A newer version is published than the edge has confirmed: it renews now
    /// unless it has that version from another control node.
    UpdateNotice {
        /// The partition.
        partition: u8,
        /// The version that is published.
        version: u64,
        /// To be given back with the renewal.
        renewal_token: RenewalToken,
    }
    /// Asks an edge to renew now: a decision depends on which edges are alive.
    RenewPrompt {
        /// To be given back with the renewal.
        renewal_token: RenewalToken,
    }
    /// The edge has fenced itself for good: its session ends now.
    SessionClose {}

    // Between edges: the shared cache.
    /// Asks the owner of a cache partition for a cached response.
    CacheGet {
        /// The requester's id, given back by every reply.
        id: u64,
        /// The key of the response.
        key: CacheKey,
        /// The configuration's entry that the response belongs to.
        entry: String,
        /// The entry's host; empty if it serves any.
        host: String,
        /// Path and query.
        url: String,
        /// How long the response is kept.
        ttl: Duration,
        /// For so long the requester waits.
        max_wait: Duration,
        /// The requester's own fill failed: a response of any age will do.
        accepts_any_age: bool,
    }
    /// A cached response.
    CacheCopy {
        /// The id of the request.
        id: u64,
        /// The key of the request.
        key: CacheKey,
        /// For so long the requester waits: later it need not be sent.
        max_wait: Duration,
        /// The response and its age.
        response: CachedResponse,
    }
    /// The request waits for the fill in progress, or its reply is on the way.
    CacheGetQueued {
        /// The id of the request.
        id: u64,
    }
    /// Nothing is cached: the requester shall fetch it and put it.
    CacheMiss {
        /// The id of the request.
        id: u64,
        /// The key of the request.
        key: CacheKey,
        /// To be given with the put.
        token: FillToken,
    }
    /// The owner cannot help: the requester fetches for itself alone.
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
    /// The fill after a `CacheMiss` failed.
    CacheFillFailed {
        /// The key of the response.
        key: CacheKey,
        /// The token of the miss.
        token: FillToken,
        /// A response came, which must not be shared.
        private: bool,
    }

    /// The new owner of a cache partition asks the last one for its responses.
    HandoverRequest {
        /// The cache partition.
        partition: u16,
        /// The new owner's epoch.
        epoch: u64,
        /// When it was sent, by the requester's clock.
        sent: Duration,
    }
    /// Cached responses of a partition that changed its owner.
    HandoverReply {
        /// The cache partition.
        partition: u16,
        /// The epoch of the request.
        epoch: u64,
        /// `sent` of the request.
        sent: Duration,
        /// The responses, with expiries as spans from now.
        copies: Vec<HandedOverResponse>,
    }

    // Between edges: admission control.
    /// Asks a service's admission controller for a permit to call an origin.
    PermitRequest {
        /// The service.
        service: String,
        /// The requester's id, given back by every reply.
        id: u64,
        /// Priority: higher ranks are served first.
        rank: u32,
        /// For so long the requester waits.
        max_wait: Duration,
        /// When it was sent, by the requester's clock.
        sent: Duration,
        /// Not the first attempt: it counts against the retry budget.
        is_retry: bool,
        /// How long the call may take.
        call_timeout: Duration,
        /// How soon the client should have its response.
        latency_target: Duration,
        /// The requester's zone: origins there are preferred.
        zone: String,
        /// The requester's region.
        region: String,
        /// Origins that failed this request before.
        excluded_origins: Vec<SocketAddr>,
    }
    /// A permit for one call to one origin, valid for `lease::PERMIT_VALIDITY`.
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
        /// How long the request waited at the admission controller.
        queued_for: Duration,
        /// How long a call there takes by recent experience.
        expected_latency: Duration,
    }
    /// The request waits in the admission controller's queue.
    PermitQueued {
        /// The id of the request.
        id: u64,
    }
    /// No permit is granted.
    PermitRefused {
        /// The id of the request.
        id: u64,
        /// Why.
        reason: PermitRefusalReason,
        /// When to try again.
        retry_after: Duration,
    }
    /// Calls in flight by permits of an earlier owner, told to a new one.
    CallsInProgress {
        /// The service.
        service: String,
        /// Epoch and serial of the permit, the origin, and for how long the
        /// call has been in flight.
        calls: Vec<(u64, u64, SocketAddr, Duration)>,
    }
    /// A call by a permit has ended.
    CallDone {
        /// The service.
        service: String,
        /// The epoch of the permit.
        epoch: u64,
        /// The serial of the permit.
        serial: u64,
        /// What it showed of the origin.
        result: CallResult,
        /// How long it took.
        took: Duration,
    }

    /// Nobody waits for this permit any more.
    PermitWithdrawn {
        /// The service.
        service: String,
        /// The id of the request.
        id: u64,
    }
    /// Nobody waits for this cached response any more.
    CacheGetWithdrawn {
        /// The key of the request.
        key: CacheKey,
        /// The id of the request.
        id: u64,
    }
}

impl Message {
    /// For how long somebody waits for this message; none if it matters
    /// whenever it arrives.
    pub fn awaited(&self) -> Option<Duration> {
        match self {
            Message::CacheCopy(copy) => Some(copy.max_wait),
            _ => None,
        }
    }
}
