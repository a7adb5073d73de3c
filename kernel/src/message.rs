use crate::prelude::*;

/// Declares every message between our processes with its derives, and the
/// enum that carries them. The order is part of the wire format.
macro_rules! messages {
    ($($(#[$note:meta])* $name:ident { $($field:ident: $kind:ty),* $(,)? })*) => {
        $($(#[$note])*
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub struct $name { $(pub $field: $kind),* }
        impl From<$name> for Message {
            fn from(message: $name) -> Message { Message::$name(message) }
        })*
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub enum Message { $($name($name)),* }
        impl Message {
            pub fn name(&self) -> &'static str {
                match self { $(Message::$name(_) => stringify!($name)),* }
            }
        }
    };
}

messages! {
    // Between control nodes.
    /// I am here, with this disk (`full` once it counts, and until I end) and
    /// these sessions, once they are known, as far as the hearer has not got them
    /// by its last beat (`got`: the state of its table here); `membership_version` is the version of the table
    /// of places I go by; for `closed` no unknown operation may be claimed;
    /// what was acknowledged in the generation `lost` may be lost (0: none was).
    /// `blank`: the disk was not refilled yet. `hears`: slots whose heartbeats
    /// come here; `contacts`: those of them that hear us too; `vouched`: those
    /// of them that may lead partitions.
    Heartbeat { slot: u8, full: bool, blank: bool, membership_version: u64, ledger_closed_for: Duration, lost_generation: u64, heard_slots: SlotSet, mutual_contacts: SlotSet, leader_candidates: SlotSet, acknowledged_sessions: u64, sessions: Option<SessionsDelta> }
    /// A blank disk asks for all another holds. The first round only makes
    /// the others forget the earlier disk's acknowledgements; what the
    /// second brings counts. `membership_version`: the table the sender goes by; who goes
    /// by a newer one answers with that instead (as to Raise and Keep).
    SnapshotRequest { slot: u8, round: u8, membership_version: u64 }
    /// `full`: the disk holds all that it ever acknowledged. `membership_version`: the
    /// table that edges are shown here.
    /// `asker`: the life of the disk that asked; a later disk of its slot starts
    /// again with round 0, and what was told to the earlier one counts for nothing.
    SnapshotReply { slot: u8, requester_incarnation: u64, round: u8, full: bool, lost_generation: u64, membership_version: u64, partitions: Vec<PartitionSnapshot> }
    /// Take a partition: promise to heed no lower epoch.
    /// `held`: what the asker's own disk holds of it: whoever holds nothing newer
    /// need not send it.
    PrepareRequest { partition: u8, epoch: u64, membership_version: u64, requester_state: StateId }
    /// `retired`: lives of slots that count for nothing any more.
    PrepareReply { partition: u8, epoch: u64, lost_generation: u64, retired_incarnations: Vec<u64>, state: PreparedState }
    /// Rows after `from` up to `to`; with `whole`, all there is; with `base`, from
    /// a state that the replica holds under an earlier epoch. An empty one
    /// is a round: it collects the sessions and confirms the owner.
    AppendRequest { partition: u8, epoch: u64, membership_version: u64, round: u64, full_state: bool, after_version: u64, to_version: u64, rows: Vec<(String, Row)>, removed_keys: Vec<String>, published: u64, base: Option<EarlierState> }
    /// Kept and synced up to `to`. `clear`: every session standing here has
    /// confirmed this version; none while the sessions are not known yet.
    /// `retired` as in Raised: heeded before anything is counted.
    AppendReply { partition: u8, epoch: u64, round: u64, synced_version: u64, sessions_confirmed: Option<u64>, retired_incarnations: Vec<u64> }
    /// Rows before `from` are missing here.
    AppendGap { partition: u8, epoch: u64, round: u64 }
    /// A higher epoch was promised.
    StaleEpoch { partition: u8, epoch: u64, promised: u64 }
    /// A change on its way to the leader of its partition; answered to
    /// `asker`. `hops`: how many control nodes passed it on.
    ChangeRequest { requester: SocketAddr, id: u64, partition: u8, hops: u8, change: Change }
    ChangeReply { id: u64, outcome: ChangeOutcome }

    /// An empty control node without a slot asks for one that is lost, or
    /// (`founding`) for one of its own.
    JoinRequest { founding: bool }
    /// Who holds the slots, to one who asks for a slot or goes by an older
    /// table. Who thought to hold one and is not in it, is struck. Version 0 is
    /// the founding table; there is one, made by the first seed.
    MembershipTable { version: u64, members: Vec<Peer> }
    /// To a leaving member that offered its slot.
    SlotOfferReply { outcome: SlotOfferOutcome }
    /// All that the disk of a removed member ever acknowledged, to its direct
    /// successor in this slot by the table `version`: it acknowledges nothing any
    /// more.
    SlotState { version: u64, slot: u8, lost_generation: u64, retired_incarnations: Vec<u64>, partitions: Vec<PartitionSnapshot> }
    /// The successor's disk is full.
    SlotStateReceived { version: u64 }

    // Between edges and control nodes.
    /// `recalled`: in this generation, nothing of an earlier one is left to tell.
    /// `heard`: the last mark of this control node, none before the first.
    RenewRequest { sent: Duration, last_token: Option<RenewalToken>, generation: u64, recall_complete: bool, version_vector: Vec<u64>, zone: String, ring: String, weight: u32, draining: bool, usage: Usage, origin_health: Vec<OriginHealth> }
    /// To the life that sent the renewal, with its own time of sending.
    /// `recall`: acknowledged operations may be lost; tell those you know. `updates` stands
    /// last: it is encoded once for all who are told the same.
    RenewReply { incarnation: u64, renewal_token: RenewalToken, sent: Duration, generation: u64, recall_requested: bool, updates: SharedUpdates }
    /// Tell all rows you know of this partition: more than its owner does.
    RecallRequest { partition: u8 }
    RecallReply { partition: u8, version: u64, rows: Vec<(String, Row)> }
    /// This version of updates partition is shown here, and you have not confirmed
    /// it: renew now, unless you have it from another by now.
    UpdateNotice { partition: u8, version: u64, renewal_token: RenewalToken }
    /// It matters who is there: renew now, with this mark.
    RenewPrompt { renewal_token: RenewalToken }
    /// The edge has fenced itself for good.
    SessionClose { }

    // Between edges: the cache.
    /// `spare`: the asker's own refill failed; it wants any copy in time.
    CacheGet { id: u64, key: CacheKey, entry: String, host: String, url: String, ttl: Duration, max_wait: Duration, accepts_any_age: bool }
    /// `wait`: for so long the asker waits for it; later it need not be sent.
    CacheCopy { id: u64, key: CacheKey, max_wait: Duration, response: CachedResponse }
    /// Asked again: it waits for the refresher, or its copy is on the way.
    CacheGetQueued { id: u64 }
    /// Refill it: you are the refresher, under this token.
    CacheMiss { id: u64, key: CacheKey, token: FillToken }
    /// Not to be had here: fetch it yourself, for yourself.
    CacheUnavailable { id: u64, key: CacheKey }
    CachePut { key: CacheKey, token: FillToken, reply: Reply }
    /// The refresher gave up, or (`private`) the answer may not be shared.
    CacheFillFailed { key: CacheKey, token: FillToken, private: bool }

    /// The new holder of a cache partition asks the last one for its copies.
    HandoverRequest { partition: u16, epoch: u64, sent: Duration }
    HandoverReply { partition: u16, epoch: u64, sent: Duration, copies: Vec<HandedOverResponse> }

    // Between edges: the admission controller.
    PermitRequest { service: String, id: u64, rank: u32, max_wait: Duration, sent: Duration, is_retry: bool, call_timeout: Duration, latency_target: Duration, zone: String, region: String, excluded_origins: Vec<SocketAddr> }
    Permit { id: u64, service: String, epoch: u64, serial: u64, origin: Origin, sent: Duration, held: Duration, takes: Duration }
    /// Heard, and stands in line.
    PermitQueued { id: u64 }
    /// Turned away; come back after this.
    PermitRefused { id: u64, reason: PermitRefusalReason, back: Duration }
    /// Told to a new holder: calls still under way by earlier permits.
    CallsInProgress { service: String, calls: Vec<(u64, u64, SocketAddr, Duration)> }
    CallDone { service: String, epoch: u64, serial: u64, result: CallResult, took: Duration }

    /// To the admission controller: nobody waits for this permit any more.
    PermitWithdrawn { service: String, id: u64 }
    /// To the cache owner: nobody waits for this copy any more.
    CacheGetWithdrawn { key: CacheKey, id: u64 }
}

impl Message {
    /// For how long somebody waits for this message; none if it matters
    /// whenever it comes.
    pub fn awaited(&self) -> Option<Duration> {
        match self {
            Message::CacheCopy(copy) => Some(copy.max_wait),
            _ => None,
        }
    }
}

/// What becomes of the slot that a leaving member offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOfferOutcome {
    /// No empty node waits for a slot.
    NoNewcomer,
    /// One waits; another change of the table must be over first.
    Later,
    /// The table `version`, which comes directly after the one by which the
    /// asker holds the slot, names `successor` in its place.
    Assigned { version: u64, successor: Peer },
}

/// A generation is the state since the control plane was last founded on blank
/// disks, or went on after a majority of them was lost. The upper half counts,
/// the lower tells two of one count apart. An edge that meets a newer generation
/// tells what it knows and then takes everything anew.
pub struct Generation;

impl Generation {
    pub fn after(known: u64, incarnation: u64) -> u64 {
        ((known >> 32) + 1) << 32 | u64::from(incarnation as u32)
    }

    /// Not the first: something was lost before it, and is known to be.
    pub fn again(generation: u64) -> bool {
        generation >> 32 > 1
    }

    /// As operators read and say it.
    pub fn name(generation: u64) -> String {
        format!("{generation:016x}")
    }

    pub fn older(one: u64, other: u64) -> bool {
        one >> 32 < other >> 32
    }
}

/// What one disk holds of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionSnapshot {
    pub partition: u8,
    pub promised: u64,
    pub state: PartitionState,
    /// An updates partition's rows as they were at `image.published`.
    pub published_rows: BTreeMap<String, Row>,
}

/// A partition at one replica. Within an epoch an image is complete up to
/// `version`, so of two images the one with the higher (epoch, version) holds
/// all that the other's majority ever acknowledged.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PartitionState {
    pub epoch: u64,
    pub version: u64,
    /// Acknowledged up to here: may be shown to edges.
    pub published: u64,
    pub rows: BTreeMap<String, Row>,
}

/// Tells one state of a partition from another: within an epoch, the states of
/// all replicas at one version are the same. The later in this order holds all
/// that was acknowledged in the earlier, if both are on a majority's disks.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StateId {
    pub epoch: u64,
    pub version: u64,
}

impl PartitionState {
    pub fn id(&self) -> StateId {
        StateId {
            epoch: self.epoch,
            version: self.version,
        }
    }
}

/// What a replica tells of its state with its promise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PreparedState {
    /// Nothing newer than the asker holds.
    NotNewer {
        id: StateId,
        published: u64,
    },
    Newer(PartitionState),
}

impl PreparedState {
    pub fn id(&self) -> StateId {
        match self {
            PreparedState::NotNewer { id, .. } => *id,
            PreparedState::Newer(state) => state.id(),
        }
    }

    pub fn published(&self) -> u64 {
        match self {
            PreparedState::NotNewer { published, .. } => *published,
            PreparedState::Newer(state) => state.published,
        }
    }
}

/// The state that rows of a new epoch are added to: the one of this epoch at the
/// version `from` of the request. `keys`: all keys that stand after them; none:
/// those of that state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EarlierState {
    pub epoch: u64,
    pub keys: Option<Vec<String>>,
}

/// A session standing at a control node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SessionInfo {
    pub peer: Peer,
    pub zone: String,
    /// The ring of cache partitions it takes part in.
    pub ring: String,
    /// What it can carry beside others (1: the least).
    pub weight: u32,
    pub draining: bool,
    pub generation: u64,
    pub recall_complete: bool,
    pub version_vector: Vec<u64>,
    pub usage: Usage,
    pub origin_health: Vec<OriginHealth>,
}

/// What a control node tells with each renewal: its run and a number that
/// rises within it. Who gives one back was alive after it was told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RenewalToken {
    pub run: u64,
    pub count: u64,
}

/// How a table of sessions differs from its state `from` (0: from an empty
/// one), so that it is the one `at`. `sum` is that of the whole table: who comes
/// to another one has not got it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SessionsDelta {
    pub from: u64,
    pub to: u64,
    pub checksum: u64,
    pub upserted: Vec<SessionInfo>,
    pub removed: Vec<Peer>,
    /// For each updates partition the highest version confirmed here right now, and by
    /// whom: vectors rise with each change and are not told as differences.
    pub newest: Vec<(u64, Peer)>,
}

impl SessionInfo {
    /// All that others' decisions hang on: what was served, how origins are
    /// found and what was confirmed is there for operators to read.
    pub fn core(&self) -> (Peer, &str, &str, u32, bool, u64, bool) {
        (
            self.peer,
            &self.zone,
            &self.ring,
            self.weight,
            self.draining,
            self.generation,
            self.recall_complete,
        )
    }

    /// The sum of its core.
    pub fn sum(&self) -> u64 {
        let bytes = bincode::serialize(&self.core()).expect("sessions serialize");
        u64::from_be_bytes(Sha256::digest(bytes)[..8].try_into().expect("eight bytes"))
    }
}

/// How an origin stands with the admission controller of its group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginHealth {
    pub address: SocketAddr,
    pub service: String,
    pub instance: String,
    pub condition: OriginCondition,
    /// Calls under way.
    pub calls: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OriginCondition {
    /// Has lately shown that it is who it should be.
    Proven,
    /// Has not shown it yet, or not lately.
    Unproven,
    /// Failed, and is left alone for a moment.
    #[serde(rename = "aside")]
    Ejected,
}

/// What an edge has served, by outcome, since its start.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Usage {
    #[serde(rename = "errands")]
    pub requests: u64,
    /// Answered with a near copy, without asking its owner.
    #[serde(rename = "near")]
    pub near_cache_hits: u64,
    #[serde(rename = "answered")]
    pub completed: u64,
    #[serde(rename = "refused")]
    pub rejected: u64,
    #[serde(rename = "copies")]
    pub cache_hits: u64,
    pub calls: u64,
    #[serde(rename = "extra")]
    pub retries: u64,
    pub pending: u64,
    /// Callers that left before their answer.
    #[serde(rename = "left")]
    pub client_disconnects: u64,
    /// Calls begun, or kept under way, for callers that had left; must stay 0.
    pub abandoned: u64,
}

/// Rows of one partition after what the edge's vector says, up to `version`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionUpdate {
    pub partition: u8,
    pub version: u64,
    pub rows: Vec<(String, Row)>,
}

/// What may be asked of a partition's owner. `change` makes a repeat harmless.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    PutConfiguration {
        text: Arc<str>,
        expect: Option<u64>,
        change: u64,
    },
    GetConfiguration,
    /// Sets or removes named parts, whole or not at all; one that is not newer
    /// than what is known under its name has no effect. Name, revision and
    /// content make a repeat harmless.
    PutItems {
        items: Vec<Item>,
    },
    AddPurge {
        purge: Purge,
        change: u64,
    },
    /// `expect`: the version of the list that it was made to replace. One that
    /// comes late, over a newer list, then changes nothing.
    PutOrigins {
        list: Arc<Vec<Origin>>,
        expect: Option<u64>,
        change: u64,
        acknowledge: Acknowledge,
    },
    /// All rows of updates partition, confirmed at a majority.
    List,
    /// Says that no operation was run before this generation that may come again.
    OpenLedger {
        generation: u64,
    },
    /// Puts the peer in the place of a lost slot, if there is one; a
    /// `founding` one in a slot of its own.
    JoinRequest {
        peer: Peer,
        founding: bool,
    },
    /// The asker is about to end: its slot goes to an empty node that waits for
    /// one, if there is one.
    OfferSlot {
        member: Peer,
    },
    /// Acknowledged rows may be lost: name a new generation after this one.
    Refound {
        after: u64,
    },
    Claim(Claim),
    /// Nothing was sent under the claim and nothing will be.
    Release(Claim),
    /// What came of it; none if that is not known.
    Record(Claim, Option<Arc<Reply>>),
}

/// When a change is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acknowledge {
    /// On a majority of disks: it will be in force.
    Committed,
    /// In force at every live edge.
    Settled,
}

/// A request's hold on an operation key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    pub operation: String,
    pub fingerprint: CacheKey,
    pub claimant: Peer,
    pub request: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// In force everywhere, under this version.
    Acknowledged {
        version: u64,
    },
    /// Another change came first; this version is in force. Whether a change
    /// made to replace a version below `complete_after` was applied earlier is
    /// not known any more.
    VersionConflict {
        version: u64,
        complete_after: u64,
    },
    Configuration {
        version: u64,
        text: Arc<str>,
    },
    Rows {
        version: u64,
        rows: Vec<(String, Row)>,
    },
    Findings(Vec<Finding>),
    Claimed,
    /// The key is taken; `same` if by a request like this one.
    AlreadyClaimed {
        same: bool,
        state: OperationState,
    },
    Released,
    Recorded,
    /// No owner could be asked in time: it may or may not have happened.
    Unknown,
    /// The node that was asked is not in contact with a majority: nothing was
    /// done, and nothing can be said.
    NoMajority,
    /// What was acknowledged may be lost: unknown keys are not run for so long.
    LedgerClosed {
        left: Duration,
    },
    /// A revision was accepted before with another content. Nothing of the
    /// call took effect; the findings name the items.
    RevisionConflict(Vec<Finding>),
    /// A revision is so old that it is not known any more whether it was
    /// accepted. The call has no effect now; the findings name the items.
    RevisionForgotten(Vec<Finding>),
}

/// Ties a put to what the owner knew when it said MISS.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FillToken {
    pub serial: u64,
    /// Epoch of the cache assignment: a put to a later owner is dropped.
    pub epoch: u64,
    /// Purges the owner knew: a later one that reaches the key drops the put.
    pub purge_version: u64,
}

/// A copy as the owner hands it out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedResponse {
    pub reply: Reply,
    /// Purges this copy is known to be clear of.
    pub purge_version: u64,
    /// Since the start of its fetch.
    pub age: Duration,
    /// Until its minor expiry: for so long it is served without asking again.
    pub fresh_for: Duration,
    /// Until its major expiry.
    pub remaining_ttl: Duration,
    /// How long the owner held the asking back: the rest of the time until
    /// the copy arrives was spent on the way and counts against `left`.
    pub owner_delay: Duration,
}

/// A copy on its way to a new owner, with its expiries as spans from now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandedOverResponse {
    pub key: CacheKey,
    pub entry: String,
    pub host: String,
    pub url: String,
    pub ttl: Duration,
    pub reply: Reply,
    pub purge_version: u64,
    pub age: Duration,
    pub minor_expiry: Duration,
    pub major_expiry: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitRefusalReason {
    /// More is asked than the origins may be called.
    Overloaded,
    /// The budget for extra tries is spent.
    RetryBudgetExhausted,
    /// No origin can be called now.
    NoHealthyOrigin,
    /// Not the holder of this admission controller.
    NotOwner,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallResult {
    /// Whole answer, signature verified.
    Success,
    /// Answered, but not acceptable, or no answer.
    Failure,
    /// Nothing was sent: the session was refused.
    Unreachable,
    /// It says that it did not run it.
    NotExecuted,
    /// Another instance listens there.
    WrongInstance,
    /// The permit was not used.
    Unused,
    /// Sent, and broken off by the edge: nobody waited for it any more. It says
    /// nothing of the origin.
    Cancelled,
}
