//! The near cache: responses from cache owners and origins that an edge stores itself.
#[cfg(test)]
mod tests;

use crate::memory_budget::{MemoryBudget, eviction_order};
use crate::prelude::*;

/// Recently received responses, which are served again without a request to their
/// owner. Invariants:
/// - A response is served only before its major expiry, and for at most the route's
///   current time to live after the start of its fetch.
/// - No purge known to this edge matches a stored response: callers of `put` check the
///   response against the purge log, and `purge` removes those that a later purge
///   matches. A purge is settled once every live edge has applied it, and a fenced edge
///   serves no cached response.
/// - A response is replaced only by one whose fetch started no earlier.
/// - `memory` counts all responses and is within its limit after each put: when it is
///   exceeded, the least recently used responses are evicted.
pub struct NearCache {
    responses: HashMap<CacheKey, StoredResponse>,
    memory: MemoryBudget,
}

struct StoredResponse {
    entry: String,
    host: String,
    url: String,
    reply: Reply,
    /// The latest time at which the fetch can have started.
    fetch_start: FetchStart,
    /// The time from which a newer response is requested from the owner.
    minor_expiry: Duration,
    /// The time from which the response is not served.
    major_expiry: Duration,
    last_used: Duration,
}

/// A response to be stored, with its expiries on this edge's clock.
pub struct NearCacheEntry<'a> {
    /// The attributes by which purges match the response.
    pub attributes: CacheEntryAttributes<'a>,
    /// The response.
    pub reply: &'a Reply,
    /// The latest time at which the fetch can have started.
    pub fetch_start: FetchStart,
    /// The time from which the response is stale.
    pub minor_expiry: Duration,
    /// The time from which the response is not served.
    pub major_expiry: Duration,
}

/// The result of looking up a key.
#[derive(Debug, Clone, PartialEq)]
pub enum NearCacheLookup {
    /// A response to be served.
    Fresh {
        /// The response.
        reply: Reply,
        /// The time since its fetch started.
        age: Duration,
    },
    /// A response to be served only while another request refreshes it, or if the owner
    /// does not respond.
    Stale {
        /// The response.
        reply: Reply,
        /// The time since its fetch started.
        age: Duration,
    },
    /// No response may be served.
    Missing,
}

/// Bytes counted for each response in addition to its body, headers, route name, host and
/// URL.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

impl StoredResponse {
    fn bytes(&self) -> u64 {
        let names = self.entry.len() + self.host.len() + self.url.len();
        (self.reply.bytes() + names) as u64 + ENTRY_OVERHEAD_BYTES
    }

    fn attributes(&self) -> CacheEntryAttributes<'_> {
        CacheEntryAttributes {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&self.reply.tags),
        }
    }
}

impl NearCache {
    /// Creates an empty cache with a limit of `limit` bytes.
    pub fn new(limit: u64) -> NearCache {
        NearCache {
            responses: HashMap::new(),
            memory: MemoryBudget::new(limit),
        }
    }

    /// Returns the size of all responses in bytes.
    pub fn bytes(&self) -> u64 {
        self.memory.used
    }

    /// Looks up a key. `ttl` is the route's current time to live.
    pub fn look_up(&mut self, now: Duration, key: &CacheKey, ttl: Duration) -> NearCacheLookup {
        let Some(stored) = self.responses.get_mut(key) else {
            return NearCacheLookup::Missing;
        };
        if now >= stored.major_expiry.min(stored.fetch_start.end_of(ttl)) {
            self.remove(key);
            return NearCacheLookup::Missing;
        }
        stored.last_used = now;
        let reply = stored.reply.clone();
        let age = stored.fetch_start.age(now);
        if now < stored.minor_expiry {
            NearCacheLookup::Fresh { reply, age }
        } else {
            NearCacheLookup::Stale { reply, age }
        }
    }

    /// Stores the response. If the stored response is a later one, it is kept, and its
    /// minor expiry is extended to that of the new one.
    pub fn put(&mut self, now: Duration, key: CacheKey, entry: NearCacheEntry) {
        if now >= entry.major_expiry {
            return;
        }
        if let Some(existing) = self.responses.get_mut(&key)
            && existing.fetch_start.is_after(entry.fetch_start)
            && now < existing.major_expiry
        {
            existing.minor_expiry = existing
                .minor_expiry
                .max(entry.minor_expiry)
                .min(existing.major_expiry);
            return;
        }
        self.remove(&key);
        let stored = StoredResponse {
            entry: entry.attributes.entry.into(),
            host: entry.attributes.host.into(),
            url: entry.attributes.url.into(),
            reply: entry.reply.clone(),
            fetch_start: entry.fetch_start,
            minor_expiry: entry.minor_expiry,
            major_expiry: entry.major_expiry,
            last_used: now,
        };
        self.memory.used += stored.bytes();
        self.responses.insert(key, stored);
        self.evict(now);
    }

    /// Removes every response that the purge matches.
    pub fn purge(&mut self, purge: &Purge) {
        let memory = &mut self.memory;
        self.responses.retain(|_, stored| {
            let is_matched = purge.matches(stored.attributes());
            if is_matched {
                memory.used -= stored.bytes();
            }
            !is_matched
        });
    }

    /// Removes all responses.
    pub fn clear(&mut self) {
        self.responses.clear();
        self.memory.used = 0;
    }

    fn remove(&mut self, key: &CacheKey) {
        if let Some(stored) = self.responses.remove(key) {
            self.memory.used -= stored.bytes();
        }
    }

    /// Evicts expired responses, then the least recently used ones, if the limit is
    /// exceeded.
    fn evict(&mut self, now: Duration) {
        if !self.memory.is_exceeded() {
            return;
        }
        let rank = |stored: &StoredResponse| (now < stored.major_expiry, stored.last_used);
        let ranked = self
            .responses
            .iter()
            .map(|(key, stored)| (rank(stored), *key));
        for key in eviction_order(ranked) {
            if self.memory.has_headroom() {
                break;
            }
            self.remove(&key);
        }
    }
}
