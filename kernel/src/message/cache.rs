//! Cached responses as they travel between edges.
use crate::prelude::*;

/// Ties a put to what the owner knew when it replied with a miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FillToken {
    /// The number of the fill.
    pub serial: u64,
    /// The owner's epoch: a put to a later owner is dropped.
    pub epoch: u64,
    /// Purges that the owner knew: a later one that matches the key drops the
    /// put.
    pub purge_version: u64,
}

/// A response as the owner hands it out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedResponse {
    /// The response.
    pub reply: Reply,
    /// Purges up to here do not match it.
    pub purge_version: u64,
    /// Since the start of its fetch.
    pub age: Duration,
    /// Until its minor expiry: for so long it is served without asking again.
    pub fresh_for: Duration,
    /// Until its major expiry.
    pub remaining_ttl: Duration,
    /// How long the owner held the request back: the rest of the time until the
    /// response arrives was spent on the way and counts against
    /// `remaining_ttl`.
    pub owner_delay: Duration,
}

/// A cached response on its way to a new owner, with its expiries as spans from
/// now.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandedOverResponse {
    /// Its cache key.
    pub key: CacheKey,
    /// The configuration's entry it belongs to.
    pub entry: String,
    /// The entry's host; empty if it serves any.
    pub host: String,
    /// Path and query.
    pub url: String,
    /// How long such a response is kept.
    pub ttl: Duration,
    /// The response.
    pub reply: Reply,
    /// Purges up to here do not match it.
    pub purge_version: u64,
    /// Since the start of its fetch.
    pub age: Duration,
    /// Until its minor expiry.
    pub minor_expiry: Duration,
    /// Until its major expiry.
    pub major_expiry: Duration,
}
