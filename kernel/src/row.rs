//! Rows of the control state: the values that stand under their keys.
use crate::prelude::*;

/// A value under a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Counts within the partition and never goes down.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// A value of the control state. The order of the variants is the format of the
/// stored log: append new ones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration document.
    Configuration {
        /// As it was put, byte for byte.
        text: Arc<str>,
        /// The change that put it.
        change: u64,
    },
    /// A named item of the configuration, beside the document.
    Item(Item),
    /// A purge of cached responses.
    Purge {
        /// What it matches.
        purge: Purge,
        /// The change that put it.
        change: u64,
    },
    /// The platform's complete list of origins.
    Origins {
        /// The list.
        list: Arc<Vec<Origin>>,
        /// The change that put it.
        change: u64,
    },
    /// Which edge owns an assignment.
    Assignment(Assignment),
    /// Who holds the slots of the control plane, 1 to [`MAX_SLOTS`] of them;
    /// incarnation 0: whoever listens there.
    Members(Vec<Peer>),
    /// Edges whose operations may be repeated.
    EdgeRegistry {
        /// Edges that have a session.
        members: Vec<Peer>,
        /// Edges without one for less than `lease::LEDGER_CLOSED_AFTER_LOSS`.
        departed: Vec<Peer>,
        /// The ledger was complete by then: all these edges together know of
        /// all operations.
        complete: bool,
    },
    /// Edges of the registry whose being in it has settled: they may claim
    /// operations, since after a loss every other edge would miss them.
    Enrolled {
        /// The edges.
        members: Vec<Peer>,
    },
    /// The generation's ledger is complete: all registered edges reported what
    /// they knew, or no repeat of what it lacks can arrive any more, or
    /// operators declared so.
    Opened {
        /// The generation.
        generation: u64,
    },
    /// The founding of the partition; in the configuration's, names the
    /// generation (see [`Generation`]).
    Founded {
        /// The generation.
        generation: u64,
    },
    /// What became of an operation key.
    Operation(Operation),
    /// Revisions an item was accepted under before the one that stands.
    Accepted(AcceptedRevisions),
    /// Changes that were applied to a row that is replaced whole.
    Applied(AppliedChanges),
}

impl Value {
    /// Whether edges get rows of this kind; the others only serve to judge
    /// changes.
    pub fn visible_to_edges(&self) -> bool {
        !matches!(self, Value::Accepted(_) | Value::Applied(_))
    }
}

/// A named item of the configuration, with a revision that its operators gave
/// it: per kind and name the highest holds, also of removals.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// What it configures.
    pub kind: ItemKind,
    /// Its name within the kind.
    pub name: String,
    /// The operators' number of this content.
    pub revision: u64,
    /// A `Group`, an `Entry` or `Bounds` as JSON; none: it is removed.
    pub text: Option<Arc<str>>,
    /// What the operators sent, in their own layout, for them to read back.
    pub source: Arc<str>,
}

/// What an item configures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKind {
    /// A group of origins.
    Group,
    /// A route.
    Entry,
    /// Bounds on what clients may send.
    Bounds,
}

/// Which edge owns a cache partition or an admission controller. It goes from
/// one owner to the next only through a settled row without an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Who owns it now.
    pub owner: Option<Peer>,
    /// Who owned it before: a new owner asks it for what it left.
    pub previous_owner: Option<Peer>,
    /// Rises with every row.
    pub epoch: u64,
}

/// What became of an operation key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Hash over client, entry, method, target and body.
    pub fingerprint: CacheKey,
    /// The edge that holds the claim.
    pub claimant: Peer,
    /// The edge's id of the request.
    pub request: u64,
    /// What became of it so far.
    pub state: OperationState,
}

/// The states of an operation. `Running` goes to one of the others. `Released`
/// may be claimed again. `Unknown` may still become `Released` or `Done`, but
/// only by the claim that was held. `Done` stays.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperationState {
    /// A request with this key may be in flight.
    Running,
    /// Nothing was sent under the claim.
    Released,
    /// The origin may have executed it.
    Unknown,
    /// It was executed, with this response.
    Done(Arc<Reply>),
}
