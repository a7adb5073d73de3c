//! The state of one key at its cache owner.
use crate::prelude::*;

/// A key's stored response, its refresher and the requests that wait for it.
pub(super) struct CacheSlot {
    pub(super) entry: String,
    pub(super) host: String,
    pub(super) url: String,
    /// Time to live of a response, from the start of its fetch.
    pub(super) ttl: Duration,
    pub(super) stored: Option<StoredResponse>,
    pub(super) refresher: Option<Refresher>,
    /// The issued tokens that may still be used for a put.
    pub(super) issued_tokens: Vec<IssuedToken>,
    pub(super) waiters: Vec<Waiter>,
    /// The time until which responses may not be shared and each request fetches for
    /// itself.
    pub(super) private_until: Duration,
    /// The time at which the key was last requested.
    pub(super) last_used: Duration,
}

/// A stored response with its minor and major expiry.
pub(super) struct StoredResponse {
    pub(super) reply: Reply,
    /// The serial of the token that its put carried.
    pub(super) serial: u64,
    /// The version up to which no purge matches the response.
    pub(super) purge_version: u64,
    pub(super) fetch_start: FetchStart,
    /// The time from which one request refreshes the response while others are still
    /// served it.
    pub(super) minor_expiry: Duration,
    /// The time from which the response is not served.
    pub(super) major_expiry: Duration,
}

/// The request that fetches the key's response.
#[derive(Clone, Copy)]
pub(super) struct Refresher {
    /// The serial of the refresher's token.
    pub(super) serial: u64,
    /// The time at which another request becomes the refresher.
    pub(super) expires_at: Duration,
}

/// A token that a put may carry.
pub(super) struct IssuedToken {
    pub(super) serial: u64,
    pub(super) issued_at: Duration,
}

/// Identifies an edge's request for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Requester {
    pub(super) edge: SocketAddr,
    pub(super) id: u64,
}

/// A request that waits for the response of a refresher.
pub(super) struct Waiter {
    pub(super) requester: Requester,
    pub(super) queued_at: Duration,
    pub(super) deadline: Duration,
}

/// The result of looking up a request's key.
pub(super) enum SlotLookup {
    /// The request is served the stored response.
    Hit,
    /// The request becomes the refresher.
    Refresh,
    /// The request waits for the refresher.
    Wait,
    /// Nothing is stored, and the request does not wait for a fetch.
    Unavailable,
}

/// Maximum time for a refresh; the minor lifetime applies if it is shorter.
pub(crate) const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after its issue for which a token is accepted.
pub(super) const TOKEN_VALIDITY: Duration = Duration::from_secs(60);
/// Bytes counted for each response in addition to its body, headers and URL.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// Returns the time for which a response is served before it is refreshed: δ in the
/// MashCache paper, where the time to live is Δ.
pub(crate) fn minor_lifetime(ttl: Duration) -> Duration {
    ttl / 2
}

impl CacheSlot {
    pub(super) fn new(
        now: Duration,
        entry: String,
        host: String,
        url: String,
        ttl: Duration,
    ) -> CacheSlot {
        CacheSlot {
            entry,
            host,
            url,
            ttl,
            stored: None,
            refresher: None,
            issued_tokens: Vec::new(),
            waiters: Vec::new(),
            private_until: Duration::ZERO,
            last_used: now,
        }
    }

    /// Returns the attributes by which purges match a response for this key.
    pub(super) fn entry_attributes<'a>(&'a self, reply: &'a Reply) -> CacheEntryAttributes<'a> {
        CacheEntryAttributes {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&reply.tags),
        }
    }

    /// Returns the minor lifetime of this key's responses.
    pub(super) fn minor_lifetime(&self) -> Duration {
        minor_lifetime(self.ttl)
    }

    /// Applies the route's current time to live. If it was shortened, the stored response
    /// expires as if it had been put with the shorter one.
    pub(super) fn apply_ttl(&mut self, ttl: Duration) {
        let is_shorter = ttl < self.ttl;
        self.ttl = ttl;
        if is_shorter {
            self.limit_expiries();
        }
    }

    /// Limits the expiries of the stored response to the time to live.
    pub(super) fn limit_expiries(&mut self) {
        let (ttl, minor_lifetime) = (self.ttl, self.minor_lifetime());
        if let Some(stored) = &mut self.stored {
            let fetch_start = stored.fetch_start;
            stored.minor_expiry = stored.minor_expiry.min(fetch_start.end_of(minor_lifetime));
            stored.major_expiry = stored.major_expiry.min(fetch_start.end_of(ttl));
        }
    }

    fn refresh_timeout(&self) -> Duration {
        self.minor_lifetime().min(REFRESH_TIMEOUT)
    }

    /// Returns the size of the stored response in bytes.
    pub(super) fn bytes(&self) -> u64 {
        let Some(stored) = &self.stored else { return 0 };
        (stored.reply.bytes() + self.url.len()) as u64 + ENTRY_OVERHEAD_BYTES
    }

    /// Drops the stored response. Returns the number of bytes that it used.
    pub(super) fn drop_stored(&mut self) -> u64 {
        let bytes = self.bytes();
        self.stored = None;
        bytes
    }

    /// Drops the stored response if it has expired. Returns the number of bytes freed.
    pub(super) fn drop_expired(&mut self, now: Duration) -> u64 {
        let is_expired = self
            .stored
            .as_ref()
            .is_some_and(|stored| now >= stored.major_expiry);
        if is_expired { self.drop_stored() } else { 0 }
    }

    /// Returns how a request is served now. Expired responses must have been dropped
    /// before. A request that refreshes a stored response extends its minor expiry.
    pub(super) fn look_up(&mut self, now: Duration, accepts_any_age: bool) -> SlotLookup {
        let minor_lifetime = self.minor_lifetime();
        let is_refreshing = self
            .refresher
            .is_some_and(|refresher| now < refresher.expires_at);
        match &mut self.stored {
            Some(stored) if now < stored.minor_expiry || accepts_any_age || is_refreshing => {
                SlotLookup::Hit
            }
            Some(stored) => {
                stored.minor_expiry = now + minor_lifetime;
                SlotLookup::Refresh
            }
            None if accepts_any_age => SlotLookup::Unavailable,
            None if is_refreshing => SlotLookup::Wait,
            None => SlotLookup::Refresh,
        }
    }

    /// Queues a waiter. Returns true if it was already queued; then only its deadline is
    /// updated.
    pub(super) fn queue(&mut self, waiter: Waiter) -> bool {
        let existing = self
            .waiters
            .iter_mut()
            .find(|existing| existing.requester == waiter.requester);
        match existing {
            Some(existing) => {
                existing.deadline = waiter.deadline;
                true
            }
            None => {
                self.waiters.push(waiter);
                false
            }
        }
    }

    /// Returns the time at which the token of this serial was issued, if it is still
    /// accepted.
    pub(super) fn issued_at(&self, serial: u64) -> Option<Duration> {
        self.issued_tokens
            .iter()
            .find(|token| token.serial == serial)
            .map(|token| token.issued_at)
    }

    /// Makes the request with this token the refresher.
    pub(super) fn set_refresher(&mut self, now: Duration, serial: u64) {
        self.refresher = Some(Refresher {
            serial,
            expires_at: now + self.refresh_timeout(),
        });
        self.issued_tokens
            .retain(|token| now < token.issued_at + TOKEN_VALIDITY);
        self.issued_tokens.push(IssuedToken {
            serial,
            issued_at: now,
        });
    }

    /// Returns true if the refresher has timed out and requests wait for another one.
    pub(super) fn needs_refresher(&self, now: Duration) -> bool {
        self.refresher
            .is_some_and(|refresher| now >= refresher.expires_at)
            && !self.waiters.is_empty()
    }

    /// Returns true if the slot may be dropped.
    pub(super) fn is_unused(&self, now: Duration) -> bool {
        self.stored.is_none() && self.waiters.is_empty() && now >= self.last_used + TOKEN_VALIDITY
    }
}
