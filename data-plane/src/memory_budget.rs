//! The memory limit of a cache and its eviction by last use.
use crate::prelude::*;

/// The bytes that a cache uses and may use.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// Bytes of all entries.
    pub(crate) used: u64,
    limit: u64,
}

impl MemoryBudget {
    /// An unused budget of `limit` bytes.
    pub(crate) fn new(limit: u64) -> MemoryBudget {
        MemoryBudget { used: 0, limit }
    }

    /// Whether entries must be evicted.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }

    /// Whether enough was evicted: a tenth more than needed, so that not every
    /// put sorts all entries.
    pub(crate) fn has_headroom(&self) -> bool {
        self.used <= self.limit / 10 * 9
    }
}

/// The keys of the entries by rank, the first to be evicted first. The rank
/// ends with the time of the last use.
pub(crate) fn eviction_order<R: Ord>(
    entries: impl Iterator<Item = (R, CacheKey)>,
) -> Vec<CacheKey> {
    let mut ranked: Vec<(R, CacheKey)> = entries.collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, key)| key).collect()
}
