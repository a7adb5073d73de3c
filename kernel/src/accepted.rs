//! The content with which each revision of a configuration item was accepted. It
//! distinguishes a repeated call from another call with the same revision.

use crate::prelude::*;

/// Maximum number of accepted revisions remembered per item, in addition to the
/// current one. The reasons for the bound are in docs/guarantees/point-2.md.
pub const ACCEPTED_REVISIONS: usize = 64;

/// Number of bytes of the SHA-256 that are kept: enough that an accidental collision
/// of two contents is practically impossible.
const DIGEST_BYTES: usize = 16;

/// Digest of the content that operators sent for one revision of an item: the source
/// text byte for byte, or a marker for a removal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Computes the digest of an item's source text, or of its removal.
    pub fn of(item: &Item) -> ContentDigest {
        const SET: [u8; 1] = [0];
        match item.text {
            Some(_) => ContentDigest::finish(
                Sha256::new()
                    .chain_update(SET)
                    .chain_update(item.source.as_bytes()),
            ),
            None => ContentDigest::of_removal(),
        }
    }

    /// Computes the digest of a removal, which is the same for all items.
    pub fn of_removal() -> ContentDigest {
        const REMOVED: [u8; 1] = [1];
        ContentDigest::finish(Sha256::new().chain_update(REMOVED))
    }

    fn finish(hasher: Sha256) -> ContentDigest {
        let hash = hasher.finalize();
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
    /// Digest of the accepted content.
    pub digest: ContentDigest,
}

impl AcceptedRevision {
    /// Returns the revision and digest of an item as it was sent.
    pub fn of(item: &Item) -> AcceptedRevision {
        AcceptedRevision {
            revision: item.revision,
            digest: ContentDigest::of(item),
        }
    }
}

/// Result of comparing a revision with the accepted ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The revision was accepted with the same content.
    Same,
    /// The revision was accepted with different content.
    Conflict,
    /// The revision was never accepted.
    Never,
    /// The revision is older than the remembered ones: it may have been accepted.
    Forgotten,
}

/// Accepted revisions of one item below the current one. Invariants:
/// - `revisions` are in ascending order, at most `ACCEPTED_REVISIONS` of them.
/// - Each accepted revision above `forgotten` is among them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedRevisions {
    revisions: VecDeque<AcceptedRevision>,
    /// The highest revision that was dropped to keep within the bound.
    forgotten: Option<u64>,
}

impl AcceptedRevisions {
    /// Compares `requested`, a revision below the current one, with the remembered
    /// ones.
    pub fn compare(&self, requested: AcceptedRevision) -> Acceptance {
        if let Ok(index) = self.position(requested.revision) {
            return if self.revisions[index].digest == requested.digest {
                Acceptance::Same
            } else {
                Acceptance::Conflict
            };
        }
        let dropped = self
            .forgotten
            .is_some_and(|last| requested.revision <= last);
        // The bound is reached, so a revision older than all remembered ones would be
        // dropped at once.
        let no_space = self.revisions.len() >= ACCEPTED_REVISIONS
            && self
                .revisions
                .front()
                .is_some_and(|oldest| requested.revision < oldest.revision);
        if dropped || no_space {
            Acceptance::Forgotten
        } else {
            Acceptance::Never
        }
    }

    /// Adds a revision unless it is remembered already; drops the oldest if there
    /// are too many.
    pub fn remember(&mut self, accepted: AcceptedRevision) {
        if let Err(index) = self.position(accepted.revision) {
            self.revisions.insert(index, accepted);
        }
        while self.revisions.len() > ACCEPTED_REVISIONS {
            let oldest = self.revisions.pop_front();
            self.forgotten = oldest.map(|oldest| oldest.revision).max(self.forgotten);
        }
    }

    /// Records that the item was set without a revision, by a document. Such content counts
    /// as a forgotten one of revision 0.
    pub fn remember_unnumbered(&mut self) {
        self.forgotten = self.forgotten.max(Some(0));
    }

    /// Returns true if the item was set under one of these revisions, or may have been
    /// under one that is not remembered any more.
    pub fn may_include_set(&self) -> bool {
        let removal = ContentDigest::of_removal();
        self.forgotten.is_some()
            || self
                .revisions
                .iter()
                .any(|accepted| accepted.digest != removal)
    }

    /// Returns the index of the revision, or the index at which to insert it.
    fn position(&self, revision: u64) -> Result<usize, usize> {
        self.revisions
            .binary_search_by_key(&revision, |accepted| accepted.revision)
    }
}
