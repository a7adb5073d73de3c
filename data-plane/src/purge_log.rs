#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The purges an edge knows. Invariant: `applied` is the version of the last
/// one; those above `floor` are listed, older ones are not kept, so a copy
/// known clear only up to below `floor` counts as purged.
#[derive(Debug, Default)]
pub struct PurgeLog {
    pub applied: u64,
    floor: u64,
    /// With the time each was learned here: before its acknowledgement, since
    /// that waits for this edge.
    list: BTreeMap<u64, (Duration, Purge)>,
}

impl PurgeLog {
    /// Takes updates; returns what is new, and whether some were missed so that
    /// every copy must go.
    pub fn learn(
        &mut self,
        now: Duration,
        version: u64,
        rows: &[(String, Row)],
    ) -> (Vec<Purge>, bool) {
        let before = self.applied;
        let mut fresh = Vec::new();
        for (_, row) in rows.iter().filter(|(_, row)| row.version > before) {
            if let Value::Purge { purge, .. } = &row.value {
                self.list.insert(row.version, (now, purge.clone()));
                fresh.push(purge.clone());
            }
        }
        self.applied = version.max(before);
        let missed = version.saturating_sub(before) > MAX_RETAINED_PURGES;
        if missed {
            self.floor = version - MAX_RETAINED_PURGES;
        }
        while self.list.len() as u64 > MAX_RETAINED_PURGES {
            self.floor = self.floor.max(self.list.pop_first().expect("not empty").0);
        }
        (fresh, missed)
    }

    /// Whether a copy known clear up to `purged` is still clear.
    pub fn clear(&self, purged: u64, copy: CacheEntryName) -> bool {
        self.reached(purged, copy).is_none()
    }

    /// When the first purge was learned that reaches such a copy.
    pub fn reached(&self, purged: u64, copy: CacheEntryName) -> Option<Duration> {
        if purged < self.floor {
            return Some(Duration::ZERO);
        }
        let mut later = self.list.range(purged + 1..).map(|(_, known)| known);
        later
            .find(|(_, purge)| purge.matches(copy))
            .map(|(learned, _)| *learned)
    }
}
