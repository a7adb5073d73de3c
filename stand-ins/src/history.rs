//! Linearizability of histories, judged item by item.
//!
//! A history holds calls with the times they began and ended. It is
//! linearizable if each call can be given one moment between the two at which
//! it took effect, so that all of them in that order are what a single copy of
//! the item would have answered. A call whose outcome is unknown may have taken
//! effect at any time after it began, or never.
//!
//! The search is the one of Wing and Gong with the memory of Lowe: positions
//! (which calls took effect, and the item's state) are tried once each.

use crate::prelude::*;

/// An item as a single copy would behave.
pub trait Model {
    /// What a copy holds.
    type State: Clone + Default + Eq + std::hash::Hash;
    /// A call with its outcome.
    type Operation;

    /// The state after the operation, if it can have its outcome in this one.
    fn apply(state: &Self::State, operation: &Self::Operation) -> Option<Self::State>;
}

/// One call of a history.
#[derive(Debug, Clone, PartialEq)]
pub struct Timed<O> {
    /// When the call began, in seconds.
    pub start: f64,
    /// None: the outcome is unknown.
    pub end: Option<f64>,
    /// What it did, as far as known.
    pub operation: O,
}

/// What came of judging one item's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Some order explains the history.
    Linearizable,
    /// No order explains it; the index of the earliest call that none of the
    /// longest orders got past.
    Violated(usize),
    /// Too many orders to try them all.
    Undecided,
}

/// Positions tried for one item at most.
const MOST_POSITIONS: usize = 50_000;

/// Which calls of a history took effect, as bits.
type Effects = Vec<u64>;

fn took_effect(effects: &Effects, call: usize) -> bool {
    effects[call / 64] >> (call % 64) & 1 == 1
}

fn with_effect(effects: &Effects, call: usize) -> Effects {
    let mut effects = effects.clone();
    effects[call / 64] |= 1 << (call % 64);
    effects
}

/// Judges the calls on one item, in any order given.
pub fn judge<M: Model>(calls: &[Timed<M::Operation>]) -> Judgement {
    let none: Effects = vec![0; calls.len().div_ceil(64)];
    let mut stack = vec![(none, M::State::default())];
    let mut tried = HashSet::new();
    let mut furthest = (0, 0);
    while let Some(position) = stack.pop() {
        if !tried.insert(position.clone()) {
            continue;
        }
        if tried.len() > MOST_POSITIONS {
            return Judgement::Undecided;
        }
        let (effects, state) = position;
        let open = |call: &usize| !took_effect(&effects, *call);
        // Whatever took effect next did so before the earliest open end.
        let first_end = (0..calls.len())
            .filter(open)
            .filter_map(|call| calls[call].end.map(|end| (end, call)))
            .min_by(|one, other| one.0.total_cmp(&other.0));
        let Some((first_end, waiting)) = first_end else {
            return Judgement::Linearizable;
        };
        let count: u32 = effects.iter().map(|word| word.count_ones()).sum();
        furthest = furthest.max((count, waiting));
        for call in (0..calls.len()).filter(open) {
            if calls[call].start <= first_end
                && let Some(next) = M::apply(&state, &calls[call].operation)
            {
                stack.push((with_effect(&effects, call), next));
            }
        }
    }
    Judgement::Violated(furthest.1)
}

/// A named item to which operators give revisions: the highest holds, and each
/// revision is accepted with one content.
pub struct RevisedItem;

/// What an operator did with a named item.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RevisedOperation {
    /// Confirmed, or of unknown outcome. `content` none: a removal.
    Put {
        /// The number that the operator gave.
        revision: u64,
        /// None: a removal.
        content: Option<String>,
    },
    /// Refused since this revision was accepted with another content.
    Conflict {
        /// The number that the operator gave.
        revision: u64,
        /// None: a removal.
        content: Option<String>,
    },
    /// What was read; none: nobody put it yet.
    Read(Option<(u64, Option<String>)>),
}

impl Model for RevisedItem {
    /// Contents by accepted revision; the highest stands.
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
                let standing = state.last_key_value();
                let standing = standing.map(|(revision, content)| (*revision, content.clone()));
                standing == *found
            }
        };
        possible.then_some(next)
    }
}

/// The document, to which the product gives versions.
pub struct VersionedDocument;

/// The document as a single copy holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct DocumentState {
    version: DocumentVersion,
    content: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum DocumentVersion {
    Known(u64),
    /// Of a put whose answer was lost: above this.
    Above(u64),
}

impl Default for DocumentVersion {
    fn default() -> DocumentVersion {
        DocumentVersion::Known(0)
    }
}

impl DocumentVersion {
    fn least(self) -> u64 {
        match self {
            DocumentVersion::Known(version) => version,
            DocumentVersion::Above(version) => version + 1,
        }
    }

    fn may_be(self, version: u64) -> bool {
        match self {
            DocumentVersion::Known(known) => known == version,
            DocumentVersion::Above(low) => low < version,
        }
    }
}

/// What an operator did with the document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum DocumentOperation {
    /// `version` none: the outcome is unknown.
    Put {
        /// None: the outcome is unknown.
        version: Option<u64>,
        /// A digest of the document.
        content: String,
    },
    /// Refused since this version stands and not the expected one.
    Raced {
        /// The version that stands.
        version: u64,
    },
    /// The document as it was read.
    Read {
        /// The version that stands.
        version: u64,
        /// A digest of the document.
        content: String,
    },
}

impl Model for VersionedDocument {
    type State = DocumentState;
    type Operation = DocumentOperation;

    fn apply(state: &DocumentState, operation: &DocumentOperation) -> Option<DocumentState> {
        let pinned = |version: u64| DocumentState {
            version: DocumentVersion::Known(version),
            content: state.content.clone(),
        };
        match operation {
            DocumentOperation::Put { version, content } => {
                let version = match version {
                    Some(version) if *version <= state.version.least() => return None,
                    Some(version) => DocumentVersion::Known(*version),
                    None => DocumentVersion::Above(state.version.least()),
                };
                let content = content.clone();
                Some(DocumentState { version, content })
            }
            DocumentOperation::Raced { version } => {
                state.version.may_be(*version).then(|| pinned(*version))
            }
            DocumentOperation::Read { version, content } => {
                let same = state.version.may_be(*version) && state.content == *content;
                same.then(|| pinned(*version))
            }
        }
    }
}

/// An operation key: it runs once, and all who are answered hear of that run.
pub struct KeyedOperation;

/// What happened under an operation key.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyedCall {
    /// An origin ran it.
    Run,
    /// A caller was given its answer, which tells the content's version.
    Responded(Option<u64>),
}

/// What is known of an operation key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum KeyedState {
    /// It did not run yet.
    #[default]
    NotRun,
    /// Nobody heard of it yet.
    Run,
    /// It ran, and callers were given this version.
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

/// What tells one document from another, however it is spaced; empty for none.
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

/// A call on the document as an operator's tool saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OperatorRecord {
    /// When the call began, in seconds.
    pub start: f64,
    /// None: no answer came, or one that does not tell the outcome.
    pub end: Option<f64>,
    /// What it did, as far as known.
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

/// A call on a named item as an operator's tool saw it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ItemRecord {
    /// Of the item.
    pub name: String,
    /// When the call began, in seconds.
    pub start: f64,
    /// None: the outcome is unknown.
    pub end: Option<f64>,
    /// What it did, as far as known.
    pub operation: RevisedOperation,
}

/// The history of each named item.
pub fn judge_items(records: &[ItemRecord]) -> BTreeMap<&str, Judgement> {
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
        .map(|(name, calls)| (name, judge::<RevisedItem>(&calls)))
        .collect()
}

/// The document's history since everything was last lost, if it was: calls
/// begun before that are of unknown outcome.
pub fn judge_document(records: &[OperatorRecord], all_lost: Option<f64>) -> Judgement {
    let from = all_lost.unwrap_or(f64::MIN);
    let crossing = |record: &OperatorRecord| record.start < from;
    let calls: Vec<_> = records
        .iter()
        .filter(|record| record.end.is_none_or(|end| end >= from))
        .map(|record| Timed {
            end: record.end.filter(|_| !crossing(record)),
            ..record.timed()
        })
        .collect();
    judge::<VersionedDocument>(&calls)
}

/// The history of one operation key: origins' calls and callers' answers.
/// Attempts without an answer bind nothing: they may have run it or not.
pub fn judge_key(runs: &[f64], attempts: &[&CallerRecord]) -> Judgement {
    let ran = runs.iter().map(|at| Timed {
        start: *at,
        end: Some(*at),
        operation: KeyedCall::Run,
    });
    let answered = attempts
        .iter()
        .filter(|one| one.status == 200)
        .map(|one| Timed {
            start: one.start,
            end: Some(one.end),
            operation: KeyedCall::Responded(one.version),
        });
    let calls: Vec<_> = ran.chain(answered).collect();
    judge::<KeyedOperation>(&calls)
}
