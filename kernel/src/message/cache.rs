//! Cached responses in messages between edges.
use crate::prelude::*;

/// Ties a put to the owner's state at the time of the cache miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FillToken {
    /// Serial number of the fill.
    pub serial: u64,
    /// Epoch of the owner: a put to a later owner is dropped.
    pub epoch: u64,
    /// Version of the purges that the owner knew: the put is dropped if a later
    /// purge matches the key.
    pub purge_version: u64,
}

/// A cached response as the owner returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CachedResponse {
    /// The response.
    pub reply: Reply,
    /// Version up to which no purge matches the response.
    pub purge_version: u64,
    /// Age since the start of the fetch.
    pub age: Duration,
    /// Remaining time until the minor expiry: until then the response is served
    /// without a new request to the owner.
    pub fresh_for: Duration,
    /// Remaining time until the major expiry.
    pub remaining_ttl: Duration,
    /// Time the owner delayed the request: the rest of the time until the response
    /// arrives was spent in transit and is subtracted from `remaining_ttl`.
    pub owner_delay: Duration,
}

/// A cached response that is handed over to a new owner, with its expiries as
/// remaining durations.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HandedOverResponse {
    /// The cache key.
    pub key: CacheKey,
    /// Name of the configuration entry that the response belongs to.
    pub entry: String,
    /// The entry's host; empty if it serves any host.
    pub host: String,
    /// Path and query.
    pub url: String,
    /// Time to live of responses of the entry.
    pub ttl: Duration,
    /// The response.
    pub reply: Reply,
    /// Version up to which no purge matches the response.
    pub purge_version: u64,
    /// Age since the start of the fetch.
    pub age: Duration,
    /// Remaining time until the minor expiry.
    pub minor_expiry: Duration,
    /// Remaining time until the major expiry.
    pub major_expiry: Duration,
}
