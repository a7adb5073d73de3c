#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Copies of the cache partitions this edge holds: MashCache's two expiries with
/// the owner of a key. Invariants:
/// - `minor <= major`; both are reset by a put, and `major` never goes beyond
///   the keep time counted from the start of the fetch (the token's issue).
/// - At most one refresher of a key within `delta`, cold keys included, as
///   long as it neither fails nor stalls.
/// - `bytes` is the sum over all copies and stays within `limit`: over it, the
///   copies that were asked for longest ago go first.
pub struct CacheOwner {
    keys: BTreeMap<CacheKey, Slot>,
    bytes: u64,
    limit: u64,
    serial: u64,
    pub given: u64,
    /// Copies of partitions that were taken from us, not served any more, for the
    /// next holder to ask for; each as it was then, purges included.
    aside: BTreeMap<u16, (Duration, Vec<(CacheKey, Slot)>)>,
    /// Questions that were answered with a copy lately, and when: asked again,
    /// they are told that it is on the way.
    answered: HashMap<(SocketAddr, u64), Duration>,
    out: Vec<(SocketAddr, Message)>,
}

struct Slot {
    entry: String,
    host: String,
    url: String,
    keep: Duration,
    held: Option<Held>,
    /// Who refreshes, and until when it is trusted to.
    refresher: Option<(u64, Duration)>,
    /// Tokens given out: serial and when the fetch began.
    tokens: Vec<(u64, Duration)>,
    waits: Vec<Wait>,
    /// The answer may not be shared: until then everyone fetches for itself.
    private: Duration,
    used: Duration,
}

struct Held {
    reply: Reply,
    serial: u64,
    purged: u64,
    began: Duration,
    minor: Duration,
    major: Duration,
}

struct Wait {
    from: SocketAddr,
    id: u64,
    since: Duration,
    until: Duration,
}

/// A refresher is given this long, or the minor span if that is shorter.
pub const REFRESH_TIMEOUT: Duration = Duration::from_secs(2);
/// A put under a token older than this is dropped.
const TOKEN: Duration = Duration::from_secs(60);
/// What was set aside is kept this long, and handed on in at most this size.
const ASIDE: Duration = Duration::from_secs(3);
const MAX_HANDOVER_BYTES: u64 = 16 * 1024 * 1024;
/// A question that was answered with a copy is answered with another one only
/// after this time: until then the first is taken to be on its way.
pub const RESEND: Duration = Duration::from_secs(2);
/// Counted for each copy beside its body and headers.
const ENTRY_OVERHEAD_BYTES: u64 = 512;

/// For how long a copy is served before it is refreshed: the paper's δ, of the
/// keep time Δ.
pub fn minor_expiry_after(keep: Duration) -> Duration {
    keep / 2
}

impl Slot {
    fn new(now: Duration, entry: String, host: String, url: String, keep: Duration) -> Slot {
        let (tokens, waits) = (Vec::new(), Vec::new());
        Slot {
            entry,
            host,
            url,
            keep,
            held: None,
            refresher: None,
            tokens,
            waits,
            private: Duration::ZERO,
            used: now,
        }
    }

    fn name<'a>(&'a self, reply: &'a Reply) -> CacheEntryName<'a> {
        CacheEntryName {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&reply.tags),
        }
    }

    fn delta(&self) -> Duration {
        minor_expiry_after(self.keep)
    }

    /// Lets go of the copy; what it took is free again.
    fn empty(&mut self) -> u64 {
        let bytes = self.bytes();
        self.held = None;
        bytes
    }

    fn bytes(&self) -> u64 {
        let Some(held) = &self.held else { return 0 };
        (held.reply.bytes() + self.url.len()) as u64 + ENTRY_OVERHEAD_BYTES
    }
}

impl CacheOwner {
    pub fn new(limit: u64) -> CacheOwner {
        CacheOwner {
            keys: BTreeMap::new(),
            bytes: 0,
            limit,
            serial: 0,
            given: 0,
            aside: BTreeMap::new(),
            answered: HashMap::new(),
            out: Vec::new(),
        }
    }

    pub fn take_out(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.out)
    }

    pub fn get(&mut self, now: Duration, from: SocketAddr, get: CacheGet, epoch: u64, purged: u64) {
        let CacheGet {
            id,
            key,
            entry,
            host,
            url,
            ttl: keep,
            max_wait: wait,
            accepts_any_age: spare,
        } = get;
        let slot = self
            .keys
            .entry(key)
            .or_insert_with(|| Slot::new(now, entry, host, url, keep));
        slot.keep = keep;
        slot.used = now;
        if self.answered.contains_key(&(from, id)) {
            return self.out.push((from, CacheGetQueued { id }.into()));
        }
        if now < slot.private {
            return self.out.push((from, CacheUnavailable { id, key }.into()));
        }
        if slot.held.as_ref().is_some_and(|held| now >= held.major) {
            self.bytes -= slot.empty();
        }
        let delta = slot.delta();
        let stall = delta.min(REFRESH_TIMEOUT);
        let busy = slot.refresher.is_some_and(|(_, until)| now < until);
        if let Some(held) = &mut slot.held {
            if now < held.minor || spare || busy {
                self.given += 1;
                self.answered.insert((from, id), now);
                let asker = Wait {
                    from,
                    id,
                    since: now,
                    until: now + wait,
                };
                return self
                    .out
                    .push((from, CacheOwner::copy(now, &asker, key, held, purged)));
            }
            held.minor = now + delta;
        } else if spare {
            return self.out.push((from, CacheUnavailable { id, key }.into()));
        } else if busy {
            let until = now + wait;
            match slot
                .waits
                .iter_mut()
                .find(|known| (known.from, known.id) == (from, id))
            {
                Some(known) => {
                    known.until = until;
                    self.out.push((from, CacheGetQueued { id }.into()));
                }
                None => slot.waits.push(Wait {
                    from,
                    id,
                    since: now,
                    until,
                }),
            }
            return;
        }
        self.serial += 1;
        let token = CacheOwner::issue(now, slot, self.serial, epoch, purged, stall);
        self.out.push((from, CacheMiss { id, key, token }.into()));
    }

    /// Who asked does not wait for the copy any more.
    pub fn withdraw(&mut self, from: SocketAddr, key: &CacheKey, id: u64) {
        if let Some(slot) = self.keys.get_mut(key) {
            slot.waits.retain(|wait| (wait.from, wait.id) != (from, id));
        }
    }

    /// None of these edges waits for a copy any more.
    pub fn forget_edges(&mut self, gone: &HashSet<SocketAddr>) {
        for slot in self.keys.values_mut() {
            slot.waits.retain(|wait| !gone.contains(&wait.from));
        }
    }

    fn issue(
        now: Duration,
        slot: &mut Slot,
        serial: u64,
        epoch: u64,
        purged: u64,
        stall: Duration,
    ) -> FillToken {
        slot.refresher = Some((serial, now + stall));
        slot.tokens.retain(|(_, began)| now < *began + TOKEN);
        slot.tokens.push((serial, now));
        FillToken {
            serial,
            epoch,
            purge_version: purged,
        }
    }

    fn copy(now: Duration, asker: &Wait, key: CacheKey, held: &Held, purged: u64) -> Message {
        // What is held here was checked against every purge known here.
        let purged = purged.max(held.purged);
        let copy = CachedResponse {
            reply: held.reply.clone(),
            purge_version: purged,
            age: now - held.began,
            fresh_for: held.minor.saturating_sub(now),
            remaining_ttl: held.major - now,
            owner_delay: now - asker.since,
        };
        CacheCopy {
            id: asker.id,
            key,
            max_wait: asker.until.saturating_sub(now),
            response: copy,
        }
        .into()
    }

    /// False if the put came too late: under another epoch of the assignment, after
    /// a purge that reaches it, or older than what is held.
    pub fn put(&mut self, now: Duration, put: CachePut, epoch: u64, purge_log: &PurgeLog) -> bool {
        let CachePut { key, token, reply } = put;
        let Some(slot) = self.keys.get_mut(&key) else {
            return false;
        };
        let began = slot
            .tokens
            .iter()
            .find(|(serial, _)| *serial == token.serial)
            .map(|(_, began)| *began);
        let newer = slot
            .held
            .as_ref()
            .is_none_or(|held| held.serial < token.serial);
        let good = token.epoch == epoch
            && newer
            && purge_log.clear(token.purge_version, slot.name(&reply));
        let Some(began) = began.filter(|began| good && now < *began + slot.keep) else {
            self.give_up(now, key, token, epoch, purge_log.applied, false);
            return false;
        };
        self.bytes -= slot.bytes();
        let major = (now + slot.keep).min(began + slot.keep);
        let minor = (now + slot.delta()).min(major);
        slot.held = Some(Held {
            reply,
            serial: token.serial,
            purged: purge_log.applied,
            began,
            minor,
            major,
        });
        slot.refresher = None;
        slot.tokens.retain(|(serial, _)| *serial > token.serial);
        self.bytes += slot.bytes();
        let held = slot.held.as_ref().expect("just put");
        for wait in slot.waits.drain(..) {
            if now >= wait.until {
                continue;
            }
            self.given += 1;
            self.answered.insert((wait.from, wait.id), now);
            let copy = CacheOwner::copy(now, &wait, key, held, purge_log.applied);
            self.out.push((wait.from, copy));
        }
        self.evict();
        true
    }

    /// The refresher under this token came to nothing: the next waiter is it.
    pub fn give_up(
        &mut self,
        now: Duration,
        key: CacheKey,
        token: FillToken,
        epoch: u64,
        purged: u64,
        private: bool,
    ) {
        // Serials begin anew with each process: another epoch's token may have
        // the number of a refresher at work.
        let Some(slot) = self.keys.get_mut(&key).filter(|_| token.epoch == epoch) else {
            return;
        };
        slot.tokens.retain(|(serial, _)| *serial != token.serial);
        if private {
            slot.private = now + slot.delta();
            for wait in slot.waits.drain(..) {
                self.out
                    .push((wait.from, CacheUnavailable { id: wait.id, key }.into()));
            }
        }
        if slot
            .refresher
            .is_some_and(|(serial, _)| serial == token.serial)
        {
            slot.refresher = None;
            self.next_refresher(now, key, epoch, purged);
        }
    }

    fn next_refresher(&mut self, now: Duration, key: CacheKey, epoch: u64, purged: u64) {
        let Some(slot) = self.keys.get_mut(&key) else {
            return;
        };
        slot.waits.retain(|wait| now < wait.until);
        if slot.waits.is_empty() {
            return;
        }
        let wait = slot.waits.remove(0);
        let stall = slot.delta().min(REFRESH_TIMEOUT);
        self.serial += 1;
        let token = CacheOwner::issue(now, slot, self.serial, epoch, purged, stall);
        self.out.push((
            wait.from,
            CacheMiss {
                id: wait.id,
                key,
                token,
            }
            .into(),
        ));
    }

    /// Refreshers that stalled are replaced; what is over goes.
    pub fn tick(&mut self, now: Duration, epoch: &dyn Fn(u16) -> u64, purged: u64) {
        self.aside.retain(|_, (since, _)| now < *since + ASIDE);
        self.answered.retain(|_, since| now < *since + RESEND);
        let mut stalled = Vec::new();
        let bytes = &mut self.bytes;
        self.keys.retain(|key, slot| {
            if slot.held.as_ref().is_some_and(|held| now >= held.major) {
                *bytes -= slot.empty();
            }
            if slot.refresher.is_some_and(|(_, until)| now >= until) && !slot.waits.is_empty() {
                stalled.push(*key);
            }
            slot.held.is_some() || !slot.waits.is_empty() || now < slot.used + TOKEN
        });
        for key in stalled {
            self.next_refresher(now, key, epoch(cache_partition(&key)), purged);
        }
    }

    /// Drops every copy a purge reaches; the rest is clear of it.
    pub fn purge(&mut self, purge: &Purge) {
        for slot in self.keys.values_mut() {
            if slot
                .held
                .as_ref()
                .is_some_and(|held| purge.matches(slot.name(&held.reply)))
            {
                self.bytes -= slot.empty();
            }
        }
    }

    /// Keeps only partitions that are held under an unchanged epoch; copies of the
    /// others are set aside.
    pub fn retain_partitions(&mut self, now: Duration, purged: u64, keep: &dyn Fn(u16) -> bool) {
        let lost: Vec<CacheKey> = self
            .keys
            .keys()
            .filter(|key| !keep(cache_partition(key)))
            .copied()
            .collect();
        for key in lost {
            let mut slot = self.keys.remove(&key).expect("just listed");
            self.bytes -= slot.bytes();
            if let Some(held) = &mut slot.held {
                held.purged = purged;
                self.aside
                    .entry(cache_partition(&key))
                    .or_insert((now, Vec::new()))
                    .1
                    .push((key, slot));
            }
        }
    }

    /// True while a next holder may still ask for what was set aside.
    pub fn has_retained_partitions(&self) -> bool {
        !self.aside.is_empty()
    }

    /// What was set aside of a partition, latest asked for first.
    pub fn hand(&mut self, now: Duration, partition: u16) -> Vec<HandedOverResponse> {
        let Some((_, mut list)) = self.aside.remove(&partition) else {
            return Vec::new();
        };
        list.sort_by_key(|(_, slot)| std::cmp::Reverse(slot.used));
        let mut bytes = 0;
        let fits = |(_, slot): &&(CacheKey, Slot)| {
            bytes += slot.bytes();
            bytes <= MAX_HANDOVER_BYTES && slot.held.as_ref().is_some_and(|held| now < held.major)
        };
        let carried = list.iter().take_while(fits).filter_map(|(key, slot)| {
            let held = slot.held.as_ref()?;
            Some(HandedOverResponse {
                key: *key,
                entry: slot.entry.clone(),
                host: slot.host.clone(),
                url: slot.url.clone(),
                ttl: slot.keep,
                reply: held.reply.clone(),
                purge_version: held.purged,
                age: now - held.began,
                minor_expiry: held.minor.saturating_sub(now),
                major_expiry: held.major - now,
            })
        });
        carried.collect()
    }

    /// Copies from the last holder, `way` after it was asked for them: they
    /// count as that much older. What came here anew goes first.
    pub fn take_over(
        &mut self,
        now: Duration,
        way: Duration,
        copies: Vec<HandedOverResponse>,
        purge_log: &PurgeLog,
    ) -> usize {
        let mut taken = 0;
        for copy in copies {
            let held = self
                .keys
                .get(&copy.key)
                .is_some_and(|slot| slot.held.is_some());
            let name = CacheEntryName {
                entry: &copy.entry,
                host: &copy.host,
                url: &copy.url,
                tags: Some(&copy.reply.tags),
            };
            if held || copy.major_expiry <= way || !purge_log.clear(copy.purge_version, name) {
                continue;
            }
            taken += 1;
            let HandedOverResponse {
                key,
                entry,
                host,
                url,
                ttl: keep,
                reply,
                age,
                minor_expiry: minor,
                major_expiry: major,
                ..
            } = copy;
            let slot = self
                .keys
                .entry(key)
                .or_insert_with(|| Slot::new(now, entry, host, url, keep));
            let began = now.saturating_sub(age + way);
            // Older than any fetch begun here, whose put may still come.
            let serial = 0;
            let held = Held {
                reply,
                serial,
                purged: purge_log.applied,
                began,
                minor: now + minor.saturating_sub(way),
                major: now + major - way,
            };
            for wait in slot.waits.drain(..) {
                self.given += 1;
                self.answered.insert((wait.from, wait.id), now);
                let copy = CacheOwner::copy(now, &wait, key, &held, purge_log.applied);
                self.out.push((wait.from, copy));
            }
            slot.held = Some(held);
            self.bytes += slot.bytes();
        }
        self.evict();
        taken
    }

    pub fn clear(&mut self) {
        self.retain_partitions(Duration::ZERO, 0, &|_| false);
        self.aside.clear();
    }

    fn evict(&mut self) {
        if self.bytes <= self.limit {
            return;
        }
        let mut list: Vec<(Duration, CacheKey)> = self
            .keys
            .iter()
            .filter(|(_, slot)| slot.held.is_some())
            .map(|(key, slot)| (slot.used, *key))
            .collect();
        list.sort_unstable();
        // A tenth more than needed goes, so that not every put sorts anew.
        for (_, key) in list {
            if self.bytes <= self.limit / 10 * 9 {
                break;
            }
            let slot = self.keys.get_mut(&key).expect("just listed");
            self.bytes -= slot.empty();
        }
    }
}
