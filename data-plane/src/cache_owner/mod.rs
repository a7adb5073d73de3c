//! The cache of the partitions that this edge owns.
mod handover;
mod slot;
#[cfg(test)]
mod tests;

use crate::memory_budget::{MemoryBudget, eviction_order};
use crate::prelude::*;
use handover::{RETENTION, RetainedPartition};
use slot::{CacheSlot, Requester, SlotLookup, StoredResponse, Waiter};
pub(crate) use slot::{REFRESH_TIMEOUT, minor_lifetime};

/// The responses of the cache partitions that this edge owns. Each response has a minor
/// and a major expiry, as in MashCache. Invariants:
/// - `minor_expiry <= major_expiry`. Both are reset by a put. The major expiry is at most
///   the start of the fetch plus the time to live in the last request. A fetch starts
///   when its token is issued.
/// - A key, even a cold one, has at most one refresher within the minor lifetime, unless
///   the refresher fails or times out.
/// - `memory` counts all stored responses and stays within its limit: when it is
///   exceeded, the least recently used responses are evicted.
pub struct CacheOwner {
    slots: BTreeMap<CacheKey, CacheSlot>,
    memory: MemoryBudget,
    /// The serial of the last token.
    serial: u64,
    /// Number of responses sent from the cache.
    pub hits: u64,
    /// Reassigned partitions, which are no longer served.
    retained: BTreeMap<u16, RetainedPartition>,
    /// The times at which requests were recently sent a response. A repeated request is
    /// only confirmed as queued.
    recently_responded: HashMap<Requester, Duration>,
    outgoing: Vec<(SocketAddr, Message)>,
}

/// Minimum time between two responses to the same request. Until then the first is
/// assumed to be in flight.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

impl CacheOwner {
    /// Creates an empty cache with a limit of `limit` bytes.
    pub fn new(limit: u64) -> CacheOwner {
        CacheOwner {
            slots: BTreeMap::new(),
            memory: MemoryBudget::new(limit),
            serial: 0,
            hits: 0,
            retained: BTreeMap::new(),
            recently_responded: HashMap::new(),
            outgoing: Vec::new(),
        }
    }

    /// Returns the messages to be sent, in order, and removes them.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: SocketAddr, message: impl Into<Message>) {
        self.outgoing.push((to, message.into()));
    }

    /// Handles an edge's request. `epoch` is that of the partition's assignment and
    /// `purge_version` the version of the last purge applied here.
    pub fn get(
        &mut self,
        now: Duration,
        from: SocketAddr,
        get: CacheGet,
        epoch: u64,
        purge_version: u64,
    ) {
        let CacheGet { id, key, ttl, .. } = get;
        let waiter = Waiter {
            requester: Requester { edge: from, id },
            queued_at: now,
            deadline: now + get.max_wait,
        };
        let slot = self
            .slots
            .entry(key)
            .or_insert_with(|| CacheSlot::new(now, get.entry, get.host, get.url, ttl));
        slot.apply_ttl(ttl);
        slot.last_used = now;
        if self.recently_responded.contains_key(&waiter.requester) {
            return self.send(from, CacheGetQueued { id });
        }
        if now < slot.private_until {
            return self.send(from, CacheUnavailable { id, key });
        }
        self.memory.used -= slot.drop_expired(now);
        match slot.look_up(now, get.accepts_any_age) {
            SlotLookup::Hit => self.send_stored(now, key, &waiter, purge_version),
            SlotLookup::Refresh => {
                self.send_token(now, key, waiter.requester, epoch, purge_version)
            }
            SlotLookup::Wait => {
                if slot.queue(waiter) {
                    self.send(from, CacheGetQueued { id });
                }
            }
            SlotLookup::Unavailable => self.send(from, CacheUnavailable { id, key }),
        }
    }

    /// Removes the waiting request of an edge that no longer waits for the response.
    pub fn withdraw(&mut self, from: SocketAddr, key: &CacheKey, id: u64) {
        let withdrawn = Requester { edge: from, id };
        if let Some(slot) = self.slots.get_mut(key) {
            slot.waiters.retain(|waiter| waiter.requester != withdrawn);
        }
    }

    /// Removes the waiting requests of edges whose sessions have ended.
    pub fn remove_edges(&mut self, departed: &HashSet<SocketAddr>) {
        for slot in self.slots.values_mut() {
            slot.waiters
                .retain(|waiter| !departed.contains(&waiter.requester.edge));
        }
    }

    /// Makes the request the refresher of the key and sends it a token.
    fn send_token(
        &mut self,
        now: Duration,
        key: CacheKey,
        requester: Requester,
        epoch: u64,
        purge_version: u64,
    ) {
        self.serial += 1;
        let serial = self.serial;
        let slot = self.slots.get_mut(&key).expect("it has a request");
        slot.set_refresher(now, serial);
        let token = FillToken {
            serial,
            epoch,
            purge_version,
        };
        let id = requester.id;
        self.send(requester.edge, CacheMiss { id, key, token });
    }

    /// Sends the stored response of the key to a waiting request.
    fn send_stored(&mut self, now: Duration, key: CacheKey, waiter: &Waiter, purge_version: u64) {
        let Some(stored) = self.slots.get(&key).and_then(|slot| slot.stored.as_ref()) else {
            return;
        };
        let response = CachedResponse {
            reply: stored.reply.clone(),
            // Stored responses have been checked against every known purge.
            purge_version: purge_version.max(stored.purge_version),
            age: stored.fetch_start.age(now),
            fresh_for: stored.minor_expiry.saturating_sub(now),
            remaining_ttl: stored.major_expiry.saturating_sub(now),
            owner_delay: now - waiter.queued_at,
        };
        let copy = CacheCopy {
            id: waiter.requester.id,
            key,
            max_wait: waiter.deadline.saturating_sub(now),
            response,
        };
        self.hits += 1;
        self.recently_responded.insert(waiter.requester, now);
        self.send(waiter.requester.edge, copy);
    }

    /// Stores a refresher's response. Returns false if the put came too late: its token
    /// is of another epoch or no longer accepted, a later purge matches the response, a
    /// newer response is stored, or the time to live is over.
    pub fn put(&mut self, now: Duration, put: CachePut, epoch: u64, purge_log: &PurgeLog) -> bool {
        let CachePut { key, token, reply } = put;
        let Some(slot) = self.slots.get_mut(&key) else {
            return false;
        };
        let is_newer = slot
            .stored
            .as_ref()
            .is_none_or(|stored| stored.serial < token.serial);
        let is_valid = token.epoch == epoch
            && is_newer
            && purge_log.is_clear(token.purge_version, slot.entry_attributes(&reply));
        let issued_at = slot
            .issued_at(token.serial)
            .filter(|issued_at| is_valid && now < *issued_at + slot.ttl);
        let Some(fetch_started_at) = issued_at else {
            self.fill_failed(now, key, token, epoch, purge_log.applied, false);
            return false;
        };
        let major_expiry = (now + slot.ttl).min(fetch_started_at + slot.ttl);
        self.memory.used -= slot.bytes();
        slot.stored = Some(StoredResponse {
            reply,
            serial: token.serial,
            purge_version: purge_log.applied,
            fetch_start: FetchStart::at(fetch_started_at),
            minor_expiry: (now + slot.minor_lifetime()).min(major_expiry),
            major_expiry,
        });
        slot.refresher = None;
        slot.issued_tokens
            .retain(|issued| issued.serial > token.serial);
        self.memory.used += slot.bytes();
        for waiter in std::mem::take(&mut slot.waiters) {
            if now < waiter.deadline {
                self.send_stored(now, key, &waiter, purge_log.applied);
            }
        }
        self.evict();
        true
    }

    /// Handles the report that the refresher with this token has no response to share.
    /// The next waiter becomes the refresher. If `private` is set, responses for this
    /// key are not shared for now.
    pub fn fill_failed(
        &mut self,
        now: Duration,
        key: CacheKey,
        token: FillToken,
        epoch: u64,
        purge_version: u64,
        private: bool,
    ) {
        // Serials start again with each process: a token of another epoch may have the
        // serial of the current refresher.
        let Some(slot) = self.slots.get_mut(&key).filter(|_| token.epoch == epoch) else {
            return;
        };
        slot.issued_tokens
            .retain(|issued| issued.serial != token.serial);
        let is_refresher = slot
            .refresher
            .is_some_and(|refresher| refresher.serial == token.serial);
        if is_refresher {
            slot.refresher = None;
        }
        if private {
            slot.private_until = now + slot.minor_lifetime();
            for waiter in std::mem::take(&mut slot.waiters) {
                let Requester { edge, id } = waiter.requester;
                self.send(edge, CacheUnavailable { id, key });
            }
        }
        if is_refresher {
            self.next_refresher(now, key, epoch, purge_version);
        }
    }

    /// Makes the first request that still waits the refresher.
    fn next_refresher(&mut self, now: Duration, key: CacheKey, epoch: u64, purge_version: u64) {
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        slot.waiters.retain(|waiter| now < waiter.deadline);
        if slot.waiters.is_empty() {
            return;
        }
        let waiter = slot.waiters.remove(0);
        self.send_token(now, key, waiter.requester, epoch, purge_version);
    }

    /// Replaces refreshers that have timed out and drops expired state.
    pub fn tick(&mut self, now: Duration, epoch_of: &dyn Fn(u16) -> u64, purge_version: u64) {
        self.retained
            .retain(|_, partition| now < partition.retained_at + RETENTION);
        self.recently_responded
            .retain(|_, sent_at| now < *sent_at + RESEND_INTERVAL);
        let mut timed_out = Vec::new();
        let memory = &mut self.memory;
        self.slots.retain(|key, slot| {
            memory.used -= slot.drop_expired(now);
            if slot.needs_refresher(now) {
                timed_out.push(*key);
            }
            !slot.is_unused(now)
        });
        for key in timed_out {
            let epoch = epoch_of(cache_partition(&key));
            self.next_refresher(now, key, epoch, purge_version);
        }
    }

    /// Drops every response that the purge matches.
    pub fn purge(&mut self, purge: &Purge) {
        for slot in self.slots.values_mut() {
            let is_matched = slot
                .stored
                .as_ref()
                .is_some_and(|stored| purge.matches(slot.entry_attributes(&stored.reply)));
            if is_matched {
                self.memory.used -= slot.drop_stored();
            }
        }
    }

    /// Drops all responses, retained ones included.
    pub fn clear(&mut self) {
        self.retain_partitions(Duration::ZERO, 0, &|_| false);
        self.retained.clear();
    }

    /// Evicts the least recently used responses if the limit is exceeded.
    fn evict(&mut self) {
        if !self.memory.is_exceeded() {
            return;
        }
        let stored = self.slots.iter().filter(|(_, slot)| slot.stored.is_some());
        for key in eviction_order(stored.map(|(key, slot)| (slot.last_used, *key))) {
            if self.memory.has_headroom() {
                break;
            }
            let slot = self.slots.get_mut(&key).expect("just listed");
            self.memory.used -= slot.drop_stored();
        }
    }
}
