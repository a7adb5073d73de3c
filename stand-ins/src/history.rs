//! Checks the linearizability of histories, separately for each item.
//!
//! A history contains calls with their start and end times. It is linearizable
//! if each call can be assigned a moment between the two at which it took
//! effect, such that a single copy of the item would have given the same
//! responses in this order. A call whose outcome is unknown may have taken
//! effect at any time after it began, or never.
//!
//! The search is the algorithm of Wing and Gong with Lowe's memoization: each
//! search node (the calls that took effect and the item's state) is visited
//! once.

use crate::prelude::*;

/// Sequential specification of an item.
pub trait Model {
    /// State of the item.
    type State: Clone + Default + Eq + std::hash::Hash;
    /// Call on the item with its outcome.
    type Operation;

    /// Returns the state after the operation, if its outcome is possible in
    /// this state.
    fn apply(state: &Self::State, operation: &Self::Operation) -> Option<Self::State>;
}

/// Call of a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Timed<O> {
    /// Start of the call, in seconds.
    pub start: f64,
    /// End of the call, in seconds; none if the outcome is unknown.
    pub end: Option<f64>,
    /// Operation with its outcome, to the extent known.
    pub operation: O,
}

/// Result of checking the history of one item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryResult {
    /// An order explains the history.
    Linearizable,
    /// No order explains the history. The index is that of the earliest call
    /// which none of the longest partial orders includes.
    Violated(usize),
    /// The search exceeded the limit of visited search nodes.
    Undecided,
}

/// Maximum number of visited search nodes for one item.
const MAX_SEARCH_NODES: usize = 50_000;

/// Bit set of the calls of a history that took effect.
type Effects = Vec<u64>;

fn took_effect(effects: &Effects, call: usize) -> bool {
    effects[call / 64] >> (call % 64) & 1 == 1
}

fn with_effect(effects: &Effects, call: usize) -> Effects {
    let mut effects = effects.clone();
    effects[call / 64] |= 1 << (call % 64);
    effects
}

/// Checks the calls on one item, which may be in any order.
pub fn check_history<M: Model>(calls: &[Timed<M::Operation>]) -> HistoryResult {
    let none: Effects = vec![0; calls.len().div_ceil(64)];
    let mut stack = vec![(none, M::State::default())];
    let mut visited = HashSet::new();
    let mut furthest = (0, 0);
    while let Some(node) = stack.pop() {
        if !visited.insert(node.clone()) {
            continue;
        }
        if visited.len() > MAX_SEARCH_NODES {
            return HistoryResult::Undecided;
        }
        let (effects, state) = node;
        let is_remaining = |call: &usize| !took_effect(&effects, *call);
        // The next call to take effect started before the earliest end of the
        // remaining calls.
        let first_end = (0..calls.len())
            .filter(is_remaining)
            .filter_map(|call| calls[call].end.map(|end| (end, call)))
            .min_by(|left, right| left.0.total_cmp(&right.0));
        let Some((first_end, first_remaining)) = first_end else {
            return HistoryResult::Linearizable;
        };
        let count: u32 = effects.iter().map(|word| word.count_ones()).sum();
        furthest = furthest.max((count, first_remaining));
        for call in (0..calls.len()).filter(is_remaining) {
            if calls[call].start <= first_end
                && let Some(next) = M::apply(&state, &calls[call].operation)
            {
                stack.push((with_effect(&effects, call), next));
            }
        }
    }
    HistoryResult::Violated(furthest.1)
}

/// Named item with revisions assigned by operators: the highest revision is in
/// effect, and each revision is accepted with one content only.
pub struct RevisedItem;

/// Operation of an operator on a named item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RevisedOperation {
    /// Write that was confirmed or has an unknown outcome.
    Put {
        /// Revision assigned by the operator.
        revision: u64,
        /// Content; none for a removal.
        content: Option<String>,
    },
    /// Write that was rejected because this revision was accepted with another
    /// content.
    Conflict {
        /// Revision assigned by the operator.
        revision: u64,
        /// Content; none for a removal.
        content: Option<String>,
    },
    /// Read with the revision and content returned; none if the item was never
    /// written.
    Read(Option<(u64, Option<String>)>),
}

impl Model for RevisedItem {
    /// Contents by accepted revision; the highest revision is in effect.
    type State = BTreeMap<u64, Option<String>>;
    type Operation = RevisedOperation;

    fn apply(state: &Self::State, operation: &RevisedOperation) -> Option<Self::State> {
        let mut next = state.clone();
        let possible = match operation {
            RevisedOperation::Put { revision, content } => {
                let accepted = next.entry(*revision).or_insert_with(|| content.clone());
                accepted == content
            }
            RevisedOperation::Conflict { revision, content } => state
                .get(revision)
                .is_some_and(|accepted| accepted != content),
            RevisedOperation::Read(found) => {
                let current = state.last_key_value();
                let current = current.map(|(revision, content)| (*revision, content.clone()));
                current == *found
            }
        };
        possible.then_some(next)
    }
}

/// Configuration document with versions assigned by the control plane.
pub struct VersionedDocument;

/// State of the document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DocumentState {
    version: DocumentVersion,
    content: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum DocumentVersion {
    Known(u64),
    /// Version of a write whose response was lost: greater than this.
    Above(u64),
}

impl Default for DocumentVersion {
    fn default() -> DocumentVersion {
        DocumentVersion::Known(0)
    }
}

impl DocumentVersion {
    fn minimum(self) -> u64 {
        match self {
            DocumentVersion::Known(version) => version,
            DocumentVersion::Above(version) => version + 1,
        }
    }

    fn can_be(self, version: u64) -> bool {
        match self {
            DocumentVersion::Known(known) => known == version,
            DocumentVersion::Above(low) => low < version,
        }
    }
}

/// Operation of an operator on the document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DocumentOperation {
    /// Write of the document.
    Put {
        /// Version assigned by the control plane; none if the outcome is
        /// unknown.
        version: Option<u64>,
        /// Digest of the document.
        content: String,
    },
    /// Write that was rejected because this version is in effect instead of the
    /// expected one.
    Raced {
        /// Version in effect.
        version: u64,
    },
    /// Read of the document.
    Read {
        /// Version in effect.
        version: u64,
        /// Digest of the document.
        content: String,
    },
}

impl Model for VersionedDocument {
    type State = DocumentState;
    type Operation = DocumentOperation;

    fn apply(state: &DocumentState, operation: &DocumentOperation) -> Option<DocumentState> {
        let with_version = |version: u64| DocumentState {
            version: DocumentVersion::Known(version),
            content: state.content.clone(),
        };
        match operation {
            DocumentOperation::Put { version, content } => {
                let version = match version {
                    Some(version) if *version <= state.version.minimum() => return None,
                    Some(version) => DocumentVersion::Known(*version),
                    None => DocumentVersion::Above(state.version.minimum()),
                };
                let content = content.clone();
                Some(DocumentState { version, content })
            }
            DocumentOperation::Raced { version } => state
                .version
                .can_be(*version)
                .then(|| with_version(*version)),
            DocumentOperation::Read { version, content } => {
                let is_possible = state.version.can_be(*version) && state.content == *content;
                is_possible.then(|| with_version(*version))
            }
        }
    }
}

/// Operation key: it is executed once, and every successful response is that of
/// the execution.
pub struct KeyedOperation;

/// Event of an operation key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyedCall {
    /// Execution by an origin.
    Run,
    /// Successful response to a client, with the version of the content.
    Responded(Option<u64>),
}

/// State of an operation key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum KeyedState {
    /// Not executed yet.
    #[default]
    NotRun,
    /// Executed, without a response so far.
    Run,
    /// Executed, with responses that contain this version.
    Responded(Option<u64>),
}

impl Model for KeyedOperation {
    type State = KeyedState;
    type Operation = KeyedCall;

    fn apply(state: &KeyedState, operation: &KeyedCall) -> Option<KeyedState> {
        match (state, operation) {
            (KeyedState::NotRun, KeyedCall::Run) => Some(KeyedState::Run),
            (KeyedState::Run, KeyedCall::Responded(version)) => {
                Some(KeyedState::Responded(*version))
            }
            (KeyedState::Responded(known), KeyedCall::Responded(version)) if known == version => {
                Some(state.clone())
            }
            _ => None,
        }
    }
}

/// Returns a digest of the document that does not depend on its whitespace;
/// empty for an empty document.
pub fn document_digest(text: &str) -> String {
    if text.is_empty() {
        return String::new();
    }
    let canonical = serde_json::from_str::<serde_json::Value>(text)
        .map_or_else(|_| text.to_string(), |document| document.to_string());
    let digest: [u8; 32] = Sha256::digest(canonical).into();
    digest[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Call on the document as recorded by an operator's tool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorRecord {
    /// Start of the call, in seconds.
    pub start: f64,
    /// End of the call, in seconds; none if no response arrived or the response
    /// does not give the outcome.
    pub end: Option<f64>,
    /// Operation with its outcome, to the extent known.
    pub operation: DocumentOperation,
}

impl OperatorRecord {
    fn timed(&self) -> Timed<DocumentOperation> {
        Timed {
            start: self.start,
            end: self.end,
            operation: self.operation.clone(),
        }
    }
}

/// Call on a named item as recorded by an operator's tool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Name of the item.
    pub name: String,
    /// Start of the call, in seconds.
    pub start: f64,
    /// End of the call, in seconds; none if the outcome is unknown.
    pub end: Option<f64>,
    /// Operation with its outcome, to the extent known.
    pub operation: RevisedOperation,
}

/// Checks the history of each named item.
pub fn check_items(records: &[ItemRecord]) -> BTreeMap<&str, HistoryResult> {
    let mut histories: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for record in records {
        let calls = histories.entry(&record.name).or_default();
        calls.push(Timed {
            start: record.start,
            end: record.end,
            operation: record.operation.clone(),
        });
    }
    histories
        .into_iter()
        .map(|(name, calls)| (name, check_history::<RevisedItem>(&calls)))
        .collect()
}

/// Checks the history of the document since the last total loss, if there was
/// one. Calls that began before the loss have an unknown outcome.
pub fn check_document(records: &[OperatorRecord], all_lost: Option<f64>) -> HistoryResult {
    let loss_time = all_lost.unwrap_or(f64::MIN);
    let began_before = |record: &OperatorRecord| record.start < loss_time;
    let calls: Vec<_> = records
        .iter()
        .filter(|record| record.end.is_none_or(|end| end >= loss_time))
        .map(|record| Timed {
            end: record.end.filter(|_| !began_before(record)),
            ..record.timed()
        })
        .collect();
    check_history::<VersionedDocument>(&calls)
}

/// Checks the history of one operation key: executions by origins and responses
/// to clients. Attempts without a response impose no constraint, because they
/// may or may not have executed the operation.
pub fn check_key(runs: &[f64], attempts: &[&ClientRecord]) -> HistoryResult {
    let executions = runs.iter().map(|at| Timed {
        start: *at,
        end: Some(*at),
        operation: KeyedCall::Run,
    });
    let responses = attempts
        .iter()
        .filter(|attempt| attempt.status == 200)
        .map(|attempt| Timed {
            start: attempt.start,
            end: Some(attempt.end),
            operation: KeyedCall::Responded(attempt.version),
        });
    let calls: Vec<_> = executions.chain(responses).collect();
    check_history::<KeyedOperation>(&calls)
}
