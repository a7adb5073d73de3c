//! Copies that an edge keeps of what cache owners handed it.
use crate::prelude::*;

/// Replies that this edge served lately, to be served again without asking
/// their owner. Invariants:
/// - A copy is served only before its major expiry, and never longer than the
///   route's keep time, as it is now, counted from the start of its fetch.
/// - Each copy is clear of every purge known to this edge: callers of `put`
///   check it against the purge book, and `purge` removes what a later one
///   reaches. A fenced edge serves nothing, so the lease that settles a purge
///   covers these copies as it covers the owner's.
/// - A copy gives way only to one whose fetch began later.
/// - `bytes` is the sum over all copies and is at most `limit` after each put:
///   over it, the copies that were asked for longest ago go first.
pub struct NearCache {
    copies: HashMap<CacheKey, NearCopy>,
    bytes: u64,
    limit: u64,
}

struct NearCopy {
    entry: String,
    host: String,
    url: String,
    reply: Reply,
    /// When its fetch began at the latest, on this edge's clock.
    began: Duration,
    /// Minor expiry: from then on its owner is asked again.
    minor: Duration,
    /// Major expiry.
    major: Duration,
    used: Duration,
}

/// A copy to be kept, with its expiries on this edge's clock.
pub struct NearCacheEntry<'a> {
    pub name: CacheEntryName<'a>,
    pub reply: &'a Reply,
    pub began: Duration,
    pub minor: Duration,
    pub major: Duration,
}

/// What is kept of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum NearLookup {
    /// Serve it.
    Fresh {
        reply: Reply,
        age: Duration,
    },
    /// Serve it only while the owner is being asked, or is silent.
    Stale {
        reply: Reply,
        age: Duration,
    },
    Missing,
}

/// Counted for each copy beside its body, headers and name.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

impl NearCopy {
    fn bytes(&self) -> u64 {
        let names = self.entry.len() + self.host.len() + self.url.len();
        (self.reply.bytes() + names) as u64 + ENTRY_OVERHEAD_BYTES
    }

    fn name(&self) -> CacheEntryName<'_> {
        CacheEntryName {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&self.reply.tags),
        }
    }
}

impl NearCache {
    /// `limit` in bytes.
    pub fn new(limit: u64) -> NearCache {
        NearCache {
            copies: HashMap::new(),
            bytes: 0,
            limit,
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// `keep`: the keep time of the route as it is configured now.
    pub fn look_up(&mut self, now: Duration, key: &CacheKey, keep: Duration) -> NearLookup {
        let Some(copy) = self.copies.get_mut(key) else {
            return NearLookup::Missing;
        };
        if now >= copy.major.min(copy.began + keep) {
            self.remove(key);
            return NearLookup::Missing;
        }
        copy.used = now;
        let reply = copy.reply.clone();
        let age = now - copy.began;
        if now < copy.minor {
            NearLookup::Fresh { reply, age }
        } else {
            NearLookup::Stale { reply, age }
        }
    }

    /// Keeps the copy, unless a later one is there: then that one is only
    /// trusted for as long as the owner trusts its own.
    pub fn put(&mut self, now: Duration, key: CacheKey, copy: NearCacheEntry) {
        if now >= copy.major {
            return;
        }
        if let Some(known) = self.copies.get_mut(&key)
            && known.began > copy.began
            && now < known.major
        {
            known.minor = known.minor.max(copy.minor).min(known.major);
            return;
        }
        self.remove(&key);
        let kept = NearCopy {
            entry: copy.name.entry.into(),
            host: copy.name.host.into(),
            url: copy.name.url.into(),
            reply: copy.reply.clone(),
            began: copy.began,
            minor: copy.minor,
            major: copy.major,
            used: now,
        };
        self.bytes += kept.bytes();
        self.copies.insert(key, kept);
        self.evict(now);
    }

    /// Removes every copy that the purge reaches.
    pub fn purge(&mut self, purge: &Purge) {
        let bytes = &mut self.bytes;
        self.copies.retain(|_, copy| {
            let reached = purge.matches(copy.name());
            if reached {
                *bytes -= copy.bytes();
            }
            !reached
        });
    }

    pub fn clear(&mut self) {
        self.copies.clear();
        self.bytes = 0;
    }

    fn remove(&mut self, key: &CacheKey) {
        if let Some(copy) = self.copies.remove(key) {
            self.bytes -= copy.bytes();
        }
    }

    /// A tenth more than needed goes, so that not every put sorts anew.
    fn evict(&mut self, now: Duration) {
        if self.bytes <= self.limit {
            return;
        }
        let mut keys: Vec<(bool, Duration, CacheKey)> = self
            .copies
            .iter()
            .map(|(key, copy)| (now < copy.major, copy.used, *key))
            .collect();
        keys.sort_unstable();
        for (_, _, key) in keys {
            if self.bytes <= self.limit / 10 * 9 {
                break;
            }
            self.remove(&key);
        }
    }
}
