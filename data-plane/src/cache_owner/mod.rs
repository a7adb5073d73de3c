//! The cache partitions that this edge owns.
mod handover;
mod slot;
#[cfg(test)]
mod tests;

use crate::memory_budget::{MemoryBudget, eviction_order};
use crate::prelude::*;
use handover::{RETENTION, RetainedPartition};
use slot::{CacheSlot, Requester, SlotLookup, StoredResponse, Waiter};
pub(crate) use slot::{REFRESH_TIMEOUT, minor_lifetime};

/// The responses of the cache partitions that this edge owns: MashCache's two
/// expiries with the owner of a key. Invariants:
/// - `minor_expiry <= major_expiry`; both are reset by a put, and the major one
///   is never later than the time-to-live, as the last request gave it, counted
///   from the start of the fetch (the token's issue).
/// - At most one refresher of a key within the minor lifetime, cold keys
///   included, as long as it neither fails nor times out.
/// - `memory` counts all stored responses and stays within its limit: over it,
///   the least recently used are evicted.
pub struct CacheOwner {
    slots: BTreeMap<CacheKey, CacheSlot>,
    memory: MemoryBudget,
    /// The serial of the last token.
    serial: u64,
    /// Responses sent from the cache.
    pub hits: u64,
    /// Partitions that were reassigned, not served any more.
    retained: BTreeMap<u16, RetainedPartition>,
    /// Requests that were recently sent a response, and when: a repeat is only
    /// confirmed as queued.
    responded: HashMap<Requester, Duration>,
    outgoing: Vec<(SocketAddr, Message)>,
}

/// A request that was sent a response is sent another one only after this time:
/// until then the first is taken to be in flight.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);

impl CacheOwner {
    /// An empty cache of `limit` bytes.
    pub fn new(limit: u64) -> CacheOwner {
        CacheOwner {
            slots: BTreeMap::new(),
            memory: MemoryBudget::new(limit),
            serial: 0,
            hits: 0,
            retained: BTreeMap::new(),
            responded: HashMap::new(),
            outgoing: Vec::new(),
        }
    }

    /// The messages to be sent, in order.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    fn send(&mut self, to: SocketAddr, message: impl Into<Message>) {
        self.outgoing.push((to, message.into()));
    }

    /// Serves an edge's request, under the epoch of the partition's assignment
    /// and the version of the last purge applied here.
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
            since: now,
            until: now + get.max_wait,
        };
        let slot = self
            .slots
            .entry(key)
            .or_insert_with(|| CacheSlot::new(now, get.entry, get.host, get.url, ttl));
        slot.apply_ttl(ttl);
        slot.last_used = now;
        if self.responded.contains_key(&waiter.requester) {
            return self.send(from, CacheGetQueued { id });
        }
        if now < slot.private_until {
            return self.send(from, CacheUnavailable { id, key });
        }
        self.memory.used -= slot.drop_expired(now);
        match slot.look_up(now, get.accepts_any_age) {
            SlotLookup::Hit => self.send_stored(now, key, &waiter, purge_version),
            SlotLookup::Fetch => self.send_token(now, key, waiter.requester, epoch, purge_version),
            SlotLookup::Wait => {
                if slot.queue(waiter) {
                    self.send(from, CacheGetQueued { id });
                }
            }
            SlotLookup::Unavailable => self.send(from, CacheUnavailable { id, key }),
        }
    }

    /// The edge does not wait for the response any more.
    pub fn withdraw(&mut self, from: SocketAddr, key: &CacheKey, id: u64) {
        let withdrawn = Requester { edge: from, id };
        if let Some(slot) = self.slots.get_mut(key) {
            slot.waiters.retain(|waiter| waiter.requester != withdrawn);
        }
    }

    /// None of these edges waits for a response any more.
    pub fn forget_edges(&mut self, departed: &HashSet<SocketAddr>) {
        for slot in self.slots.values_mut() {
            slot.waiters
                .retain(|waiter| !departed.contains(&waiter.requester.edge));
        }
    }

    /// Makes the request the refresher of the key.
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
        slot.start_refresh(now, serial);
        let token = FillToken {
            serial,
            epoch,
            purge_version,
        };
        let id = requester.id;
        self.send(requester.edge, CacheMiss { id, key, token });
    }

    /// Sends the stored response of the key.
    fn send_stored(&mut self, now: Duration, key: CacheKey, waiter: &Waiter, purge_version: u64) {
        let Some(stored) = self.slots.get(&key).and_then(|slot| slot.stored.as_ref()) else {
            return;
        };
        let response = CachedResponse {
            reply: stored.reply.clone(),
            // What is stored here was checked against every purge known here.
            purge_version: purge_version.max(stored.purge_version),
            age: now - stored.fetch_started_at,
            fresh_for: stored.minor_expiry.saturating_sub(now),
            remaining_ttl: stored.major_expiry - now,
            owner_delay: now - waiter.since,
        };
        let copy = CacheCopy {
            id: waiter.requester.id,
            key,
            max_wait: waiter.until.saturating_sub(now),
            response,
        };
        self.hits += 1;
        self.responded.insert(waiter.requester, now);
        self.send(waiter.requester.edge, copy);
    }

    /// Stores a refresher's response. False if the put was too late: under
    /// another epoch of the assignment, after a purge that matches it, or older
    /// than what is stored.
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
            && purge_log.is_clear(token.purge_version, slot.entry_name(&reply));
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
            fetch_started_at,
            minor_expiry: (now + slot.minor_lifetime()).min(major_expiry),
            major_expiry,
        });
        slot.refresher = None;
        slot.issued_tokens
            .retain(|issued| issued.serial > token.serial);
        self.memory.used += slot.bytes();
        for waiter in std::mem::take(&mut slot.waiters) {
            if now < waiter.until {
                self.send_stored(now, key, &waiter, purge_log.applied);
            }
        }
        self.evict();
        true
    }

    /// The refresher with this token has no response to share: the next waiter
    /// becomes the refresher. `private`: no response may be shared for now.
    pub fn fill_failed(
        &mut self,
        now: Duration,
        key: CacheKey,
        token: FillToken,
        epoch: u64,
        purge_version: u64,
        private: bool,
    ) {
        // Serials start anew with each process: another epoch's token may have
        // the serial of the present refresher.
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

    /// The first request that still waits becomes the refresher.
    fn next_refresher(&mut self, now: Duration, key: CacheKey, epoch: u64, purge_version: u64) {
        let Some(slot) = self.slots.get_mut(&key) else {
            return;
        };
        slot.waiters.retain(|waiter| now < waiter.until);
        if slot.waiters.is_empty() {
            return;
        }
        let waiter = slot.waiters.remove(0);
        self.send_token(now, key, waiter.requester, epoch, purge_version);
    }

    /// Replaces refreshers that timed out; drops what has expired.
    pub fn tick(&mut self, now: Duration, epoch_of: &dyn Fn(u16) -> u64, purge_version: u64) {
        self.retained
            .retain(|_, partition| now < partition.since + RETENTION);
        self.responded
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
                .is_some_and(|stored| purge.matches(slot.entry_name(&stored.reply)));
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

    /// Drops the least recently used responses once the limit is exceeded.
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
