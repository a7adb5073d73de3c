//! Rows of the control state: versioned values stored under keys.
use crate::prelude::*;

/// A value with its version, stored under a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Counter within the partition that never decreases.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// A value of the control state. The order of the variants is the format of the
/// stored log: append new variants at the end.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// The configuration document.
    Configuration {
        /// The document, byte for byte as it was put.
        text: Arc<str>,
        /// Id of the change that put it.
        change: u64,
    },
    /// A named item of the configuration, in addition to the document.
    Item(Item),
    /// A purge of cached responses.
    Purge {
        /// The responses that it matches.
        purge: Purge,
        /// Id of the change that put it.
        change: u64,
    },
    /// The platform's complete list of origins.
    Origins {
        /// The list.
        list: Arc<Vec<Origin>>,
        /// Id of the change that put it.
        change: u64,
    },
    /// The edge that owns an assignment.
    Assignment(Assignment),
    /// The members that hold the slots of the control plane, 1 to [`MAX_SLOTS`]
    /// of them; incarnation 0 matches any process at that address.
    Members(Vec<Peer>),
    /// The registry of edges whose operations may be repeated.
    EdgeRegistry {
        /// Edges with a session.
        members: Vec<Peer>,
        /// Edges whose session ended less than `lease::LEDGER_CLOSED_AFTER_LOSS` ago.
        departed: Vec<Peer>,
        /// True if the ledger was complete when this row was written: these edges
        /// together know of all operations.
        complete: bool,
    },
    /// Edges whose entry in the registry has settled. Only these may claim
    /// operations: after a loss, the operations of an unregistered edge would be
    /// missing without being noticed.
    Enrolled {
        /// The edges.
        members: Vec<Peer>,
    },
    /// Marks the generation's ledger as complete: all registered edges reported
    /// what they knew, or operations that it lacks can no longer be repeated, or
    /// operators declared it complete.
    Opened {
        /// The generation.
        generation: u64,
    },
    /// Marks the founding of the partition. In the configuration's partition it
    /// names the generation (see [`Generation`]).
    Founded {
        /// The generation.
        generation: u64,
    },
    /// The state of an operation key.
    Operation(Operation),
    /// Revisions under which an item was accepted before the current one.
    Accepted(AcceptedRevisions),
    /// Changes that were applied to a row that is replaced as a whole.
    Applied(AppliedChanges),
    /// The state of an operation key that other requests have released.
    OperationWithReleases {
        /// The last claim and its state.
        operation: Operation,
        /// The other requests.
        released: ReleasedRequests,
    },
}

impl Value {
    /// Returns true if rows of this kind are sent to edges; the others are only
    /// used to validate changes.
    pub fn visible_to_edges(&self) -> bool {
        !matches!(self, Value::Accepted(_) | Value::Applied(_))
    }

    /// Returns the value that holds an operation and the other requests that released its
    /// key.
    pub fn of_operation(operation: Operation, released: ReleasedRequests) -> Value {
        if released.is_empty() {
            return Value::Operation(operation);
        }
        Value::OperationWithReleases {
            operation,
            released,
        }
    }

    /// Returns the operation, if the value holds one.
    pub fn operation(&self) -> Option<&Operation> {
        match self {
            Value::Operation(operation) | Value::OperationWithReleases { operation, .. } => {
                Some(operation)
            }
            _ => None,
        }
    }

    /// Returns the other requests that released the operation's key.
    pub fn released_requests(&self) -> ReleasedRequests {
        match self {
            Value::OperationWithReleases { released, .. } => released.clone(),
            _ => ReleasedRequests::default(),
        }
    }
}

/// A named item of the configuration, with a revision chosen by its operators.
/// For each kind and name the highest revision is in effect, also if it is a
/// removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The item's name, unique within the kind.
    pub name: String,
    /// The operators' revision number of this content.
    pub revision: u64,
    /// A `Group`, an `Entry` or `Bounds` as JSON; `None`: the item is removed.
    pub text: Option<Arc<str>>,
    /// The text that operators sent, in their own layout, for them to read back.
    pub source: Arc<str>,
}

/// The kind of configuration that an item holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemKind {
    /// A group of origins.
    Group,
    /// A route.
    Entry,
    /// Limits on client requests.
    Bounds,
}

/// The owner of a cache partition or an admission controller. The ownership moves
/// from one edge to the next only through a settled row without an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The current owner.
    pub owner: Option<Peer>,
    /// The previous owner, from which a new owner requests the handover.
    pub previous_owner: Option<Peer>,
    /// Epoch of the ownership; increases with every row.
    pub epoch: u64,
}

/// The claim of an operation key and the state of the operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Hash over client, entry, method, target and body.
    pub fingerprint: CacheKey,
    /// The edge that holds the claim.
    pub claimant: Peer,
    /// The edge's request id.
    pub request: u64,
    /// The current state of the operation.
    pub state: OperationState,
}

/// The states of an operation. `Running` changes to one of the others. `Released`
/// may be claimed again. `Unknown` may still become `Released` or `Done`, but only
/// through the claim that was held. `Done` is final.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum OperationState {
    /// A request with this key may be in flight.
    Running,
    /// Nothing was sent under the claim.
    Released,
    /// The origin may have executed the request.
    Unknown,
    /// The request was executed, with this response.
    Done(Arc<Reply>),
}
