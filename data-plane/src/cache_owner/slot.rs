//! What a cache owner knows of one key.
use crate::prelude::*;

/// A key's stored response, its refresher and the requests that wait for it.
pub(super) struct CacheSlot {
    pub(super) entry: String,
    pub(super) host: String,
    pub(super) url: String,
    /// How long a response is served after the start of its fetch.
    pub(super) ttl: Duration,
    pub(super) stored: Option<StoredResponse>,
    pub(super) refresher: Option<Refresher>,
    /// The tokens that were issued and may still be used for a put.
    pub(super) issued_tokens: Vec<IssuedToken>,
    pub(super) waiters: Vec<Waiter>,
    /// The response may not be shared: until then each request fetches for itself.
    pub(super) private_until: Duration,
    /// When the key was last requested.
    pub(super) last_used: Duration,
}

/// A response with its two expiries.
pub(super) struct StoredResponse {
    pub(super) reply: Reply,
    /// The serial of the token it was put under.
    pub(super) serial: u64,
    /// It is clear of all purges up to this version.
    pub(super) purge_version: u64,
    pub(super) fetch_started_at: Duration,
    /// From then on one request refreshes it while others are served it.
    pub(super) minor_expiry: Duration,
    /// From then on it is not served.
    pub(super) major_expiry: Duration,
}

/// The request that fetches the key's response.
#[derive(Clone, Copy)]
pub(super) struct Refresher {
    /// The serial of its token.
    pub(super) serial: u64,
    /// When another request takes its place.
    pub(super) until: Duration,
}

/// A token under which a response may be put.
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
    pub(super) since: Duration,
    pub(super) until: Duration,
}

/// How a request for a key is served.
pub(super) enum SlotLookup {
    /// With the stored response.
    Hit,
    /// It becomes the refresher.
    Fetch,
    /// It waits for the refresher.
    Wait,
    /// Not at all: it does not wait for a fetch.
    Unavailable,
}

/// A refresher is given this long, or the minor lifetime if that is shorter.
pub(crate) const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);
/// A put under a token older than this is dropped.
pub(super) const TOKEN_VALIDITY: Duration = Duration::from_secs(60);
/// Counted for each response beside its body and headers.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// How long a response is served before it is refreshed: the paper's δ, of the
/// time-to-live Δ.
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

    /// The name under which purges match a response to this key.
    pub(super) fn entry_name<'a>(&'a self, reply: &'a Reply) -> CacheEntryName<'a> {
        CacheEntryName {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&reply.tags),
        }
    }

    /// The minor lifetime of this key's responses.
    pub(super) fn minor_lifetime(&self) -> Duration {
        minor_lifetime(self.ttl)
    }

    /// Takes over the route's time-to-live as it is configured now. If that became
    /// shorter, what is stored expires as if it had been put under it.
    pub(super) fn apply_ttl(&mut self, ttl: Duration) {
        let is_shorter = ttl < self.ttl;
        self.ttl = ttl;
        if is_shorter {
            self.limit_expiries();
        }
    }

    /// No stored response is served longer than the time-to-live allows.
    pub(super) fn limit_expiries(&mut self) {
        let (ttl, minor_lifetime) = (self.ttl, self.minor_lifetime());
        if let Some(stored) = &mut self.stored {
            let started_at = stored.fetch_started_at;
            stored.minor_expiry = stored.minor_expiry.min(started_at + minor_lifetime);
            stored.major_expiry = stored.major_expiry.min(started_at + ttl);
        }
    }

    fn refresh_timeout(&self) -> Duration {
        self.minor_lifetime().min(REFRESH_TIMEOUT)
    }

    /// Bytes of the stored response.
    pub(super) fn bytes(&self) -> u64 {
        let Some(stored) = &self.stored else { return 0 };
        (stored.reply.bytes() + self.url.len()) as u64 + ENTRY_OVERHEAD_BYTES
    }

    /// Drops the stored response; the bytes that it used.
    pub(super) fn drop_stored(&mut self) -> u64 {
        let bytes = self.bytes();
        self.stored = None;
        bytes
    }

    /// Drops the stored response if it has expired; the bytes that it used.
    pub(super) fn drop_expired(&mut self, now: Duration) -> u64 {
        let is_expired = self
            .stored
            .as_ref()
            .is_some_and(|stored| now >= stored.major_expiry);
        if is_expired { self.drop_stored() } else { 0 }
    }

    /// How a request is served now, where an expired response was dropped. A
    /// request that refreshes a stored response extends its minor expiry.
    pub(super) fn look_up(&mut self, now: Duration, accepts_any_age: bool) -> SlotLookup {
        let minor_lifetime = self.minor_lifetime();
        let is_refreshing = self
            .refresher
            .is_some_and(|refresher| now < refresher.until);
        match &mut self.stored {
            Some(stored) if now < stored.minor_expiry || accepts_any_age || is_refreshing => {
                SlotLookup::Hit
            }
            Some(stored) => {
                stored.minor_expiry = now + minor_lifetime;
                SlotLookup::Fetch
            }
            None if accepts_any_age => SlotLookup::Unavailable,
            None if is_refreshing => SlotLookup::Wait,
            None => SlotLookup::Fetch,
        }
    }

    /// Queues a waiter. True if it was queued already; it waits until its new deadline.
    pub(super) fn queue(&mut self, waiter: Waiter) -> bool {
        let known = self
            .waiters
            .iter_mut()
            .find(|known| known.requester == waiter.requester);
        match known {
            Some(known) => {
                known.until = waiter.until;
                true
            }
            None => {
                self.waiters.push(waiter);
                false
            }
        }
    }

    /// When the token of this serial was issued, if it is still known.
    pub(super) fn issued_at(&self, serial: u64) -> Option<Duration> {
        self.issued_tokens
            .iter()
            .find(|token| token.serial == serial)
            .map(|token| token.issued_at)
    }

    /// Makes the request with this token the refresher.
    pub(super) fn start_refresh(&mut self, now: Duration, serial: u64) {
        self.refresher = Some(Refresher {
            serial,
            until: now + self.refresh_timeout(),
        });
        self.issued_tokens
            .retain(|token| now < token.issued_at + TOKEN_VALIDITY);
        self.issued_tokens.push(IssuedToken {
            serial,
            issued_at: now,
        });
    }

    /// Whether the refresher has timed out and requests wait for another one.
    pub(super) fn needs_refresher(&self, now: Duration) -> bool {
        self.refresher
            .is_some_and(|refresher| now >= refresher.until)
            && !self.waiters.is_empty()
    }

    /// Whether the slot may be dropped.
    pub(super) fn is_unused(&self, now: Duration) -> bool {
        self.stored.is_none() && self.waiters.is_empty() && now >= self.last_used + TOKEN_VALIDITY
    }
}
