//! Changes and reads of the control state, and what becomes of them.
use crate::prelude::*;

/// What became of a draining member's offer of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOfferOutcome {
    /// No empty node waits for a slot.
    NoJoiner,
    /// One waits, but another change of the table must be over first.
    Deferred,
    /// The slot has a successor.
    Assigned {
        /// The table that says so: it comes directly after the one by which
        /// the member holds the slot.
        version: u64,
        /// Who holds the slot from then on.
        successor: Peer,
    },
}

/// What may be asked of a partition's leader. Each names itself (`change`, a
/// revision or a claim), so that applying a repeated request is harmless.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the configuration document.
    PutConfiguration {
        /// The document.
        text: Arc<str>,
        /// Only if this version stands.
        expect: Option<u64>,
        /// Names the change.
        change: u64,
    },
    /// Reads the configuration document.
    GetConfiguration,
    /// Sets or removes named items, all or none; one that is not newer than
    /// what is known under its name has no effect. Name, revision and content
    /// make a repeat harmless.
    PutItems {
        /// The items.
        items: Vec<Item>,
    },
    /// Adds a purge.
    AddPurge {
        /// What it reaches.
        purge: Purge,
        /// Names the change.
        change: u64,
    },
    /// Replaces the list of origins.
    PutOrigins {
        /// The list.
        list: Arc<Vec<Origin>>,
        /// The version that it was made to replace: one that arrives late, over
        /// a newer list, changes nothing.
        expect: Option<u64>,
        /// Names the change.
        change: u64,
        /// When it is acknowledged.
        acknowledge: Acknowledge,
    },
    /// Reads all rows of a published partition, confirmed at a majority.
    List,
    /// Declares that no operation from before this generation can be repeated.
    OpenLedger {
        /// The generation.
        generation: u64,
    },
    /// Puts the peer in the place of a lost slot, if there is one.
    JoinRequest {
        /// The empty node.
        peer: Peer,
        /// It gets a slot of its own.
        founding: bool,
    },
    /// The member is about to shut down: its slot goes to an empty node that
    /// waits for one, if there is one.
    OfferSlot {
        /// The draining member.
        member: Peer,
    },
    /// Acknowledged rows may be lost: begin a new generation.
    FoundGeneration {
        /// The generation before it.
        after: u64,
    },
    /// Claims an operation key.
    Claim(Claim),
    /// Nothing was sent under the claim and nothing will be.
    Release(Claim),
    /// What came of the operation; none if that is not known.
    RecordOutcome(Claim, Option<Arc<Reply>>),
}

/// When a change is acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Acknowledge {
    /// On a majority of disks: it will be in force.
    Committed,
    /// In force at every live edge.
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
    /// The edge's id of the request.
    pub request: u64,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// In force under this version.
    Acknowledged {
        /// The version.
        version: u64,
    },
    /// Another change came first.
    VersionConflict {
        /// The version in force.
        version: u64,
        /// Whether a change made to replace a version below this was applied
        /// earlier is not known any more.
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
    /// Rejected: all that is wrong with it.
    Findings(Vec<Finding>),
    /// The key is claimed for this request.
    Claimed,
    /// The key is claimed by another request.
    AlreadyClaimed {
        /// That request has the same fingerprint.
        same: bool,
        /// What became of it so far.
        state: OperationState,
    },
    /// The claim is released.
    Released,
    /// The result is recorded.
    Recorded,
    /// No leader replied in time: it may or may not have been applied.
    Unknown,
    /// The node is not in contact with a majority: nothing was done, and
    /// nothing can be said.
    NoMajority,
    /// Acknowledged operations may be lost: unknown keys are not run.
    LedgerClosed {
        /// For how much longer.
        remaining: Duration,
    },
    /// A revision was accepted before with another content. Nothing of the call
    /// took effect; the findings name the items.
    RevisionConflict(Vec<Finding>),
    /// A revision is so old that whether it was accepted is not known any more.
    /// The call has no effect now; the findings name the items.
    RevisionForgotten(Vec<Finding>),
}
