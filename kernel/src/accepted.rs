//! Which content each revision of a configuration item was accepted with, so
//! that a call sent again is told from another call under the same revision.

use crate::prelude::*;

/// Accepted revisions remembered per item besides the one that stands. The
/// bound is argued in docs/guarantees/point-2.md.
pub const ACCEPTED_REVISIONS: usize = 64;

/// Bytes of a SHA-256 that are kept: enough that two contents never share a
/// digest by chance.
const DIGEST_BYTES: usize = 16;

/// Digest of what operators sent for one revision of an item: the source text
/// byte for byte, or that the item is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// The digest of an item's source text, or of its removal.
    pub fn of(item: &Item) -> ContentDigest {
        const SET: [u8; 1] = [0];
        const REMOVED: [u8; 1] = [1];
        let content = Sha256::new();
        let hash = match item.text {
            Some(_) => content
                .chain_update(SET)
                .chain_update(item.source.as_bytes()),
            None => content.chain_update(REMOVED),
        }
        .finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        ContentDigest(bytes)
    }
}

/// A revision of an item and the content it was accepted with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevision {
    /// The revision.
    pub revision: u64,
    /// What it was accepted with.
    pub digest: ContentDigest,
}

impl AcceptedRevision {
    /// The revision of an item as it was sent.
    pub fn of(item: &Item) -> AcceptedRevision {
        AcceptedRevision {
            revision: item.revision,
            digest: ContentDigest::of(item),
        }
    }
}

/// How a revision compares with those that were accepted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It was accepted with this content.
    Same,
    /// It was accepted with another content.
    Conflict,
    /// It was not accepted.
    Never,
    /// It is older than what is remembered: it may have been accepted.
    Forgotten,
}

/// Accepted revisions of one item below the one that stands. Invariants:
/// - `revisions` rise and are at most `ACCEPTED_REVISIONS`.
/// - Each revision above `forgotten` that was accepted is among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevisions {
    revisions: VecDeque<AcceptedRevision>,
    /// The highest revision that was dropped to keep within the bound.
    forgotten: Option<u64>,
}

impl AcceptedRevisions {
    /// How `asked`, below the standing revision, compares with what is
    /// remembered.
    pub fn compare(&self, asked: AcceptedRevision) -> Acceptance {
        if let Ok(at) = self.position(asked.revision) {
            return if self.revisions[at].digest == asked.digest {
                Acceptance::Same
            } else {
                Acceptance::Conflict
            };
        }
        let dropped = self.forgotten.is_some_and(|last| asked.revision <= last);
        // It could not be remembered: it would be the first to be dropped.
        let no_room = self.revisions.len() >= ACCEPTED_REVISIONS
            && self
                .revisions
                .front()
                .is_some_and(|oldest| asked.revision < oldest.revision);
        if dropped || no_room {
            Acceptance::Forgotten
        } else {
            Acceptance::Never
        }
    }

    /// Remembers a revision that is not remembered yet; the oldest is dropped
    /// if there are too many.
    pub fn remember(&mut self, accepted: AcceptedRevision) {
        if let Err(at) = self.position(accepted.revision) {
            self.revisions.insert(at, accepted);
        }
        while self.revisions.len() > ACCEPTED_REVISIONS {
            let oldest = self.revisions.pop_front();
            self.forgotten = oldest.map(|one| one.revision).max(self.forgotten);
        }
    }

    /// Where the revision is, or where it belongs.
    fn position(&self, revision: u64) -> Result<usize, usize> {
        self.revisions
            .binary_search_by_key(&revision, |known| known.revision)
    }
}
