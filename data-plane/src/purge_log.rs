//! The log of purges that an edge has applied.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The purges that an edge has applied. Invariant: `applied` is the version of the last
/// one. Purges above `floor` are retained, older ones are not, so a response that was
/// checked only up to a version below `floor` is treated as purged.
#[derive(Debug, Default)]
pub struct PurgeLog {
    /// The version of the last purge that was applied.
    pub applied: u64,
    floor: u64,
    by_version: BTreeMap<u64, RetainedPurge>,
}

/// A retained purge.
#[derive(Debug)]
struct RetainedPurge {
    /// The time at which the purge was applied here. Its acknowledgement comes later,
    /// because it waits for this edge.
    applied_at: Duration,
    purge: Purge,
}

/// The purges of one update.
#[derive(Debug, Default)]
pub struct AppliedPurges {
    /// The purges that were not known before, oldest first.
    pub new: Vec<Purge>,
    /// Set if some purges were missed, so that every stored response must be dropped.
    pub has_gap: bool,
}

impl PurgeLog {
    /// Applies the rows of an update up to `version`.
    pub fn apply(&mut self, now: Duration, version: u64, rows: &[(String, Row)]) -> AppliedPurges {
        let before = self.applied;
        let mut new = Vec::new();
        for (_, row) in rows.iter().filter(|(_, row)| row.version > before) {
            if let Value::Purge { purge, .. } = &row.value {
                let retained = RetainedPurge {
                    applied_at: now,
                    purge: purge.clone(),
                };
                self.by_version.insert(row.version, retained);
                new.push(purge.clone());
            }
        }
        self.applied = version.max(before);
        let has_gap = version.saturating_sub(before) > MAX_RETAINED_PURGES;
        if has_gap {
            self.floor = version - MAX_RETAINED_PURGES;
        }
        self.drop_oldest();
        AppliedPurges { new, has_gap }
    }

    fn drop_oldest(&mut self) {
        while self.by_version.len() as u64 > MAX_RETAINED_PURGES {
            let (dropped, _) = self.by_version.pop_first().expect("not empty");
            self.floor = self.floor.max(dropped);
        }
    }

    /// Returns true if no purge after `purge_version` matches the response.
    pub fn is_clear(&self, purge_version: u64, response: CacheEntryAttributes) -> bool {
        self.first_match(purge_version, response).is_none()
    }

    /// Returns the time at which the first purge after `purge_version` that matches the
    /// response was applied; zero if that is no longer known.
    pub fn first_match(
        &self,
        purge_version: u64,
        response: CacheEntryAttributes,
    ) -> Option<Duration> {
        if purge_version < self.floor {
            return Some(Duration::ZERO);
        }
        self.by_version
            .range(purge_version + 1..)
            .map(|(_, retained)| retained)
            .find(|retained| retained.purge.matches(response))
            .map(|retained| retained.applied_at)
    }
}
