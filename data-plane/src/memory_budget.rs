//! Memory limit of a cache and the order in which its entries are evicted.
use crate::prelude::*;

/// The memory use and memory limit of a cache, in bytes.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    /// Size of all entries in bytes.
    pub(crate) used: u64,
    limit: u64,
}

impl MemoryBudget {
    /// Creates an unused budget of `limit` bytes.
    pub(crate) fn new(limit: u64) -> MemoryBudget {
        MemoryBudget { used: 0, limit }
    }

    /// Returns true if entries must be evicted.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used > self.limit
    }

    /// Returns true if enough was evicted: a tenth of the limit more than needed, so that
    /// not every put sorts all entries.
    pub(crate) fn has_headroom(&self) -> bool {
        self.used <= self.limit / 10 * 9
    }
}

/// Returns the keys of the entries in ascending order of rank, which is the order of
/// eviction. The last component of a rank is the time of the last use.
pub(crate) fn eviction_order<R: Ord>(
    entries: impl Iterator<Item = (R, CacheKey)>,
) -> Vec<CacheKey> {
    let mut ranked: Vec<(R, CacheKey)> = entries.collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, key)| key).collect()
}
