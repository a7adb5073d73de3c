//! Handover of stored responses to the next owner of a cache partition.
use super::CacheOwner;
use super::slot::{CacheSlot, StoredResponse};
use crate::prelude::*;

/// The stored responses of a partition that was reassigned to another edge, in their
/// state at that time, which includes the purges applied until then.
pub(super) struct RetainedPartition {
    pub(super) retained_at: Duration,
    slots: Vec<(CacheKey, CacheSlot)>,
}

/// Time for which a reassigned partition is retained.
pub(super) const RETENTION: Duration = Duration::from_secs(3);
/// Maximum size of the responses handed over for one partition, in bytes.
const MAX_HANDOVER_BYTES: u64 = 16 * 1024 * 1024;

impl CacheOwner {
    /// Keeps the partitions for which `is_owned` returns true: those that this edge still
    /// owns under an unchanged epoch. The responses of the others are no longer served,
    /// and are retained for their next owner.
    pub fn retain_partitions(
        &mut self,
        now: Duration,
        purge_version: u64,
        is_owned: &dyn Fn(u16) -> bool,
    ) {
        let reassigned: Vec<CacheKey> = self
            .slots
            .keys()
            .filter(|key| !is_owned(cache_partition(key)))
            .copied()
            .collect();
        for key in reassigned {
            let mut slot = self.slots.remove(&key).expect("just listed");
            self.memory.used -= slot.bytes();
            if let Some(stored) = &mut slot.stored {
                stored.purge_version = purge_version;
                self.retained
                    .entry(cache_partition(&key))
                    .or_insert(RetainedPartition {
                        retained_at: now,
                        slots: Vec::new(),
                    })
                    .slots
                    .push((key, slot));
            }
        }
    }

    /// Returns true while a next owner may still request retained responses.
    pub fn has_retained_partitions(&self) -> bool {
        !self.retained.is_empty()
    }

    /// Returns the retained responses of a partition, most recently used first.
    pub fn hand_over(&mut self, now: Duration, partition: u16) -> Vec<HandedOverResponse> {
        let Some(RetainedPartition { mut slots, .. }) = self.retained.remove(&partition) else {
            return Vec::new();
        };
        slots.sort_by_key(|(_, slot)| std::cmp::Reverse(slot.last_used));
        let mut bytes = 0;
        let fits = |(_, slot): &&(CacheKey, CacheSlot)| {
            bytes += slot.bytes();
            let is_valid = |stored: &StoredResponse| now < stored.major_expiry;
            bytes <= MAX_HANDOVER_BYTES && slot.stored.as_ref().is_some_and(is_valid)
        };
        slots
            .iter()
            .take_while(fits)
            .filter_map(|(key, slot)| CacheOwner::handed_over(now, *key, slot))
            .collect()
    }

    fn handed_over(now: Duration, key: CacheKey, slot: &CacheSlot) -> Option<HandedOverResponse> {
        let stored = slot.stored.as_ref()?;
        Some(HandedOverResponse {
            key,
            entry: slot.entry.clone(),
            host: slot.host.clone(),
            url: slot.url.clone(),
            ttl: slot.ttl,
            reply: stored.reply.clone(),
            purge_version: stored.purge_version,
            age: stored.fetch_start.age(now),
            minor_expiry: stored.minor_expiry.saturating_sub(now),
            major_expiry: stored.major_expiry.saturating_sub(now),
        })
    }

    /// Stores responses of the previous owner that arrived `delay` after they were
    /// requested, so that they may be that much older than stated. Responses already
    /// stored here are kept. Returns the number of responses stored.
    pub fn take_over(
        &mut self,
        now: Duration,
        delay: Duration,
        responses: Vec<HandedOverResponse>,
        purge_log: &PurgeLog,
    ) -> usize {
        let mut stored = 0;
        for response in responses {
            if self.accepts(delay, &response, purge_log) {
                stored += 1;
                self.take_over_response(now, delay, response, purge_log.applied);
            }
        }
        self.evict();
        stored
    }

    /// Returns true if a handed over response may be served here: also within the time to
    /// live in the last request to this owner, which may be shorter than the previous one's.
    fn accepts(
        &self,
        delay: Duration,
        response: &HandedOverResponse,
        purge_log: &PurgeLog,
    ) -> bool {
        let slot = self.slots.get(&response.key);
        let has_stored = slot.is_some_and(|slot| slot.stored.is_some());
        let ttl = slot.map_or(response.ttl, |slot| slot.ttl.min(response.ttl));
        let attributes = CacheEntryAttributes {
            entry: &response.entry,
            host: &response.host,
            url: &response.url,
            tags: Some(&response.reply.tags),
        };
        !has_stored
            && response.major_expiry > delay
            && ttl > response.age + delay
            && purge_log.is_clear(response.purge_version, attributes)
    }

    fn take_over_response(
        &mut self,
        now: Duration,
        delay: Duration,
        response: HandedOverResponse,
        purge_version: u64,
    ) {
        let HandedOverResponse {
            key,
            entry,
            host,
            url,
            ttl,
            reply,
            age,
            minor_expiry,
            major_expiry,
            ..
        } = response;
        let slot = self
            .slots
            .entry(key)
            .or_insert_with(|| CacheSlot::new(now, entry, host, url, ttl));
        let is_shortened = slot.ttl < ttl;
        slot.stored = Some(StoredResponse {
            reply,
            // Lower than the serial of any token issued here, so that any put replaces
            // this response.
            serial: 0,
            purge_version,
            fetch_start: FetchStart::of_age(now, age + delay),
            minor_expiry: now + minor_expiry.saturating_sub(delay),
            major_expiry: now + major_expiry.saturating_sub(delay),
        });
        if is_shortened {
            slot.limit_expiries();
        }
        self.memory.used += slot.bytes();
        for waiter in std::mem::take(&mut slot.waiters) {
            self.send_stored(now, key, &waiter, purge_version);
        }
    }
}
