//! Changes and reads of the control state, and their outcomes.
use crate::prelude::*;

/// Outcome of a draining member's offer of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOfferOutcome {
    /// No empty node waits for a slot.
    NoJoiner,
    /// An empty node waits, but another change of the table must finish first.
    Deferred,
    /// The slot is assigned to a successor.
    Assigned {
        /// Version of the table that contains the successor: it directly follows
        /// the table in which the member holds the slot.
        version: u64,
        /// The new holder of the slot.
        successor: Peer,
    },
}

/// A change or read requested from a partition's leader. Each change carries an
/// identifier (`change`, a revision or a claim), so that a repeated request is
/// idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the configuration document.
    PutConfiguration {
        /// The document.
        text: Arc<str>,
        /// Applied only if this is the current version.
        expect: Option<u64>,
        /// Id of the change.
        change: u64,
    },
    /// Reads the configuration document.
    GetConfiguration,
    /// Sets or removes named items, all or none. An item takes effect only if its
    /// revision is higher than the current one of its name. Name, revision and
    /// content make a repeated request idempotent.
    PutItems {
        /// The items.
        items: Vec<Item>,
    },
    /// Adds a purge.
    AddPurge {
        /// The responses to purge.
        purge: Purge,
        /// Id of the change.
        change: u64,
    },
    /// Replaces the list of origins.
    PutOrigins {
        /// The list.
        list: Arc<Vec<Origin>>,
        /// Version that the list replaces: a list that arrives late, when a newer
        /// one is in effect, changes nothing.
        expect: Option<u64>,
        /// Id of the change.
        change: u64,
        /// Condition for the acknowledgement.
        acknowledge: Acknowledge,
    },
    /// Reads all rows of a published partition, confirmed by a majority.
    List,
    /// Declares that no operation of an earlier generation can be repeated.
    OpenLedger {
        /// The generation.
        generation: u64,
    },
    /// Assigns the slot of a lost member, if there is one, to the peer.
    JoinRequest {
        /// The empty node.
        peer: Peer,
        /// True to add a new slot for the peer.
        founding: bool,
    },
    /// Offers the slot of a member that is about to shut down to an empty node
    /// that waits for one, if any.
    OfferSlot {
        /// The draining member.
        member: Peer,
    },
    /// Starts a new generation, since acknowledged rows may be lost.
    FoundGeneration {
        /// The preceding generation.
        after: u64,
    },
    /// Claims an operation key.
    Claim(Claim),
    /// Releases a claim under which nothing was sent and nothing will be.
    Release(Claim),
    /// Records the outcome of the operation; `None` if it is unknown.
    RecordOutcome(Claim, Option<Arc<Reply>>),
}

/// Condition under which a change is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acknowledge {
    /// Committed: on the disks of a majority, so it will take effect.
    Committed,
    /// Settled: in effect at every live edge.
    Settled,
}

/// A request's claim of an operation key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub operation: String,
    /// A hash of the request.
    pub fingerprint: CacheKey,
    /// The edge that serves the request.
    pub claimant: Peer,
    /// The edge's request id.
    pub request: u64,
}

/// Outcome of a change or read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Applied, and in effect under this version.
    Acknowledged {
        /// The version.
        version: u64,
    },
    /// Another change was applied first.
    VersionConflict {
        /// The current version.
        version: u64,
        /// For a change that replaces a version below this, it is no longer known
        /// whether it was applied earlier.
        complete_after: u64,
    },
    /// The configuration document.
    Configuration {
        /// Its version.
        version: u64,
        /// The document.
        text: Arc<str>,
    },
    /// The rows of a partition.
    Rows {
        /// Their version.
        version: u64,
        /// The rows by key.
        rows: Vec<(String, Row)>,
    },
    /// Rejected, with all findings.
    Findings(Vec<Finding>),
    /// The key is claimed for this request.
    Claimed,
    /// The key is claimed by another request.
    AlreadyClaimed {
        /// True if that request has the same fingerprint.
        same: bool,
        /// The current state of the operation.
        state: OperationState,
    },
    /// The claim is released.
    Released,
    /// The result is recorded.
    Recorded,
    /// No leader replied in time: the change may or may not have been applied.
    Unknown,
    /// The node is not in contact with a majority: nothing was changed, and the
    /// current state is unknown.
    NoMajority,
    /// Rejected because acknowledged operations may be lost: operations with an
    /// unknown key are not run.
    LedgerClosed {
        /// Remaining time in which the ledger is closed.
        remaining: Duration,
    },
    /// A revision was accepted earlier with different content. No part of the
    /// call took effect; the findings name the items.
    RevisionConflict(Vec<Finding>),
    /// A revision is so old that it is no longer known whether it was accepted.
    /// This call has no effect; the findings name the items.
    RevisionForgotten(Vec<Finding>),
}
