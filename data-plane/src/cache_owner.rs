use crate::prelude::*;

/// Copies of the cache slices this edge holds: MashCache's two expiries with
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
    /// Copies of slices that were taken from us, not served any more, for the
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
pub const STALL: Duration = Duration::from_secs(2);
/// A put under a token older than this is dropped.
const TOKEN: Duration = Duration::from_secs(60);
/// What was set aside is kept this long, and handed on in at most this size.
const ASIDE: Duration = Duration::from_secs(3);
const HANDED_BYTES: u64 = 16 * 1024 * 1024;
/// A question that was answered with a copy is answered with another one only
/// after this time: until then the first is taken to be on its way.
pub const RESEND: Duration = Duration::from_secs(2);
/// Counted for each copy beside its body and headers.
const COPY_BYTES: u64 = 512;

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

    fn name<'a>(&'a self, reply: &'a Reply) -> CopyName<'a> {
        CopyName {
            entry: &self.entry,
            host: &self.host,
            url: &self.url,
            tags: Some(&reply.tags),
        }
    }

    fn delta(&self) -> Duration {
        self.keep / 2
    }

    /// Lets go of the copy; what it took is free again.
    fn empty(&mut self) -> u64 {
        let bytes = self.bytes();
        self.held = None;
        bytes
    }

    fn bytes(&self) -> u64 {
        let Some(held) = &self.held else { return 0 };
        let heads: usize = held
            .reply
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        (held.reply.body.len() + heads + self.url.len()) as u64 + COPY_BYTES
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

    pub fn get(&mut self, now: Duration, from: SocketAddr, get: Get, epoch: u64, purged: u64) {
        let Get {
            id,
            key,
            entry,
            host,
            url,
            keep,
            wait,
            spare,
        } = get;
        let slot = self
            .keys
            .entry(key)
            .or_insert_with(|| Slot::new(now, entry, host, url, keep));
        slot.keep = keep;
        slot.used = now;
        if self.answered.contains_key(&(from, id)) {
            return self.out.push((from, GetQueued { id }.into()));
        }
        if now < slot.private {
            return self.out.push((from, NoCopy { id, key }.into()));
        }
        if slot.held.as_ref().is_some_and(|held| now >= held.major) {
            self.bytes -= slot.empty();
        }
        let delta = slot.delta();
        let stall = delta.min(STALL);
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
            return self.out.push((from, NoCopy { id, key }.into()));
        } else if busy {
            let until = now + wait;
            match slot
                .waits
                .iter_mut()
                .find(|known| (known.from, known.id) == (from, id))
            {
                Some(known) => {
                    known.until = until;
                    self.out.push((from, GetQueued { id }.into()));
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
        self.out.push((from, Miss { id, key, token }.into()));
    }

    fn issue(
        now: Duration,
        slot: &mut Slot,
        serial: u64,
        epoch: u64,
        purged: u64,
        stall: Duration,
    ) -> Token {
        slot.refresher = Some((serial, now + stall));
        slot.tokens.retain(|(_, began)| now < *began + TOKEN);
        slot.tokens.push((serial, now));
        Token {
            serial,
            epoch,
            purged,
        }
    }

    fn copy(now: Duration, asker: &Wait, key: CacheKey, held: &Held, purged: u64) -> Message {
        // What is held here was checked against every purge known here.
        let purged = purged.max(held.purged);
        let copy = CopyOut {
            reply: held.reply.clone(),
            purged,
            age: now - held.began,
            fresh: held.minor.saturating_sub(now),
            left: held.major - now,
            held: now - asker.since,
        };
        Copy {
            id: asker.id,
            key,
            wait: asker.until.saturating_sub(now),
            copy,
        }
        .into()
    }

    /// False if the put came too late: under another epoch of the duty, after
    /// a purge that reaches it, or older than what is held.
    pub fn put(&mut self, now: Duration, put: Put, epoch: u64, book: &PurgeBook) -> bool {
        let Put { key, token, reply } = put;
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
        let good = token.epoch == epoch && newer && book.clear(token.purged, slot.name(&reply));
        let Some(began) = began.filter(|began| good && now < *began + slot.keep) else {
            self.give_up(now, key, token, epoch, book.applied, false);
            return false;
        };
        self.bytes -= slot.bytes();
        let major = (now + slot.keep).min(began + slot.keep);
        let minor = (now + slot.delta()).min(major);
        slot.held = Some(Held {
            reply,
            serial: token.serial,
            purged: book.applied,
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
            let copy = CacheOwner::copy(now, &wait, key, held, book.applied);
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
        token: Token,
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
                    .push((wait.from, NoCopy { id: wait.id, key }.into()));
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
        let stall = slot.delta().min(STALL);
        self.serial += 1;
        let token = CacheOwner::issue(now, slot, self.serial, epoch, purged, stall);
        self.out.push((
            wait.from,
            Miss {
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
            self.next_refresher(now, key, epoch(cache_slice(&key)), purged);
        }
    }

    /// Drops every copy a purge reaches; the rest is clear of it.
    pub fn purge(&mut self, purge: &Purge) {
        for slot in self.keys.values_mut() {
            if slot
                .held
                .as_ref()
                .is_some_and(|held| purge.reaches(slot.name(&held.reply)))
            {
                self.bytes -= slot.empty();
            }
        }
    }

    /// Keeps only slices that are held under an unchanged epoch; copies of the
    /// others are set aside.
    pub fn keep_slices(&mut self, now: Duration, purged: u64, keep: &dyn Fn(u16) -> bool) {
        let lost: Vec<CacheKey> = self
            .keys
            .keys()
            .filter(|key| !keep(cache_slice(key)))
            .copied()
            .collect();
        for key in lost {
            let mut slot = self.keys.remove(&key).expect("just listed");
            self.bytes -= slot.bytes();
            if let Some(held) = &mut slot.held {
                held.purged = purged;
                self.aside
                    .entry(cache_slice(&key))
                    .or_insert((now, Vec::new()))
                    .1
                    .push((key, slot));
            }
        }
    }

    /// True while a next holder may still ask for what was set aside.
    pub fn has_aside(&self) -> bool {
        !self.aside.is_empty()
    }

    /// What was set aside of a slice, latest asked for first.
    pub fn hand(&mut self, now: Duration, slice: u16) -> Vec<Carried> {
        let Some((_, mut list)) = self.aside.remove(&slice) else {
            return Vec::new();
        };
        list.sort_by_key(|(_, slot)| std::cmp::Reverse(slot.used));
        let mut bytes = 0;
        let fits = |(_, slot): &&(CacheKey, Slot)| {
            bytes += slot.bytes();
            bytes <= HANDED_BYTES && slot.held.as_ref().is_some_and(|held| now < held.major)
        };
        let carried = list.iter().take_while(fits).filter_map(|(key, slot)| {
            let held = slot.held.as_ref()?;
            Some(Carried {
                key: *key,
                entry: slot.entry.clone(),
                host: slot.host.clone(),
                url: slot.url.clone(),
                keep: slot.keep,
                reply: held.reply.clone(),
                purged: held.purged,
                age: now - held.began,
                minor: held.minor.saturating_sub(now),
                major: held.major - now,
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
        copies: Vec<Carried>,
        book: &PurgeBook,
    ) -> usize {
        let mut taken = 0;
        for copy in copies {
            let held = self
                .keys
                .get(&copy.key)
                .is_some_and(|slot| slot.held.is_some());
            let name = CopyName {
                entry: &copy.entry,
                host: &copy.host,
                url: &copy.url,
                tags: Some(&copy.reply.tags),
            };
            if held || copy.major <= way || !book.clear(copy.purged, name) {
                continue;
            }
            taken += 1;
            let Carried {
                key,
                entry,
                host,
                url,
                keep,
                reply,
                age,
                minor,
                major,
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
                purged: book.applied,
                began,
                minor: now + minor.saturating_sub(way),
                major: now + major - way,
            };
            for wait in slot.waits.drain(..) {
                self.given += 1;
                self.answered.insert((wait.from, wait.id), now);
                let copy = CacheOwner::copy(now, &wait, key, &held, book.applied);
                self.out.push((wait.from, copy));
            }
            slot.held = Some(held);
            self.bytes += slot.bytes();
        }
        self.evict();
        taken
    }

    pub fn clear(&mut self) {
        self.keep_slices(Duration::ZERO, 0, &|_| false);
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

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    const KEY: CacheKey = [1; 32];

    fn at(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn from(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn get(id: u64) -> Get {
        Get {
            id,
            key: KEY,
            entry: "e".into(),
            host: "h".into(),
            url: "/u".into(),
            keep: at(10_000),
            wait: at(3000),
            spare: false,
        }
    }

    fn reply(text: &str) -> Reply {
        Reply {
            status: 200,
            body: Arc::new(text.into()),
            ..Reply::default()
        }
    }

    /// What the owner says to one get: "copy TEXT", "miss", "wait".
    fn ask(owner: &mut CacheOwner, now: u64, id: u64) -> (String, Option<Token>) {
        owner.get(at(now), from(1), get(id), 7, 0);
        match owner.take_out().pop() {
            None => ("wait".into(), None),
            Some((_, Message::Copy(copy))) => (
                format!("copy {}", String::from_utf8_lossy(&copy.copy.reply.body)),
                None,
            ),
            Some((_, Message::Miss(miss))) => ("miss".into(), Some(miss.token)),
            Some((_, other)) => (other.name().into(), None),
        }
    }

    fn filled(now: u64) -> CacheOwner {
        let mut owner = CacheOwner::new(1 << 20);
        let token = ask(&mut owner, now, 1).1.unwrap();
        assert!(owner.put(
            at(now),
            Put {
                key: KEY,
                token,
                reply: reply("a")
            },
            7,
            &PurgeBook::default()
        ));
        owner
    }

    #[test]
    fn one_refresher_a_delta_and_a_put_resets_both_expiries() {
        let mut owner = filled(0);
        assert_eq!(ask(&mut owner, 4999, 2).0, "copy a");
        let token = ask(&mut owner, 5000, 3).1.unwrap();
        for id in 4..50 {
            assert_eq!(ask(&mut owner, 5001, id).0, "copy a");
        }
        owner.put(
            at(5100),
            Put {
                key: KEY,
                token,
                reply: reply("b"),
            },
            7,
            &PurgeBook::default(),
        );
        assert_eq!(ask(&mut owner, 10_050, 50).0, "copy b");
        assert_eq!(ask(&mut owner, 10_100, 51).0, "miss");
    }

    #[test]
    fn without_a_put_the_copy_ends_with_its_keep_time_from_the_start_of_the_fetch() {
        let mut owner = CacheOwner::new(1 << 20);
        let token = ask(&mut owner, 0, 1).1.unwrap();
        owner.put(
            at(1500),
            Put {
                key: KEY,
                token,
                reply: reply("a"),
            },
            7,
            &PurgeBook::default(),
        );
        assert_eq!(ask(&mut owner, 6500, 2).0, "miss");
        assert_eq!(ask(&mut owner, 9999, 3).0, "copy a");
        // Major has passed: no copy any more; the refresher of 6500 stalled.
        assert_eq!(ask(&mut owner, 10_000, 4).0, "miss");
    }

    #[test]
    fn a_cold_key_has_one_refresher_and_the_next_when_it_fails_or_stalls() {
        let mut owner = CacheOwner::new(1 << 20);
        let first = ask(&mut owner, 0, 1).1.unwrap();
        for id in 2..6 {
            assert_eq!(ask(&mut owner, 10, id).0, "wait");
        }
        owner.give_up(at(100), KEY, first, 7, 0, false);
        let out = owner.take_out();
        assert!(
            matches!(out.as_slice(), [(_, Message::Miss(Miss { id: 2, .. }))]),
            "{out:?}"
        );
        owner.tick(at(2099), &|_| 7, 0);
        assert!(owner.take_out().is_empty());
        owner.tick(at(2100), &|_| 7, 0);
        let out = owner.take_out();
        let [(_, Message::Miss(Miss { id: 3, token, .. }))] = out.as_slice() else {
            panic!("{out:?}")
        };
        owner.put(
            at(2200),
            Put {
                key: KEY,
                token: *token,
                reply: reply("c"),
            },
            7,
            &PurgeBook::default(),
        );
        assert_eq!(
            owner.take_out().len(),
            2,
            "the two that still wait get the copy"
        );
    }

    #[test]
    fn a_late_put_is_dropped_after_a_purge_a_move_or_a_newer_put() {
        let purge = Purge {
            url: Some("/u".into()),
            ..Purge::default()
        };
        let mut book = PurgeBook::default();
        book.learn(
            Duration::ZERO,
            1,
            &[(
                "p".into(),
                Row {
                    version: 1,
                    value: Value::Purge {
                        purge: purge.clone(),
                        change: 1,
                    },
                },
            )],
        );
        let mut owner = filled(0);
        let token = ask(&mut owner, 5000, 2).1.unwrap();
        owner.purge(&purge);
        assert!(!owner.put(
            at(5100),
            Put {
                key: KEY,
                token,
                reply: reply("old")
            },
            7,
            &book
        ));
        assert_eq!(
            ask(&mut owner, 5200, 3).0,
            "miss",
            "the purged copy is gone and the late one was not taken"
        );

        let mut owner = filled(0);
        let token = ask(&mut owner, 5000, 2).1.unwrap();
        assert!(!owner.put(
            at(5100),
            Put {
                key: KEY,
                token,
                reply: reply("old")
            },
            8,
            &PurgeBook::default()
        ));

        let mut owner = filled(0);
        let slow = ask(&mut owner, 5000, 2).1.unwrap();
        // It stalls (its minor extension is over), another refreshes.
        let quick = ask(&mut owner, 10_000, 3).1.unwrap();
        owner.put(
            at(10_100),
            Put {
                key: KEY,
                token: quick,
                reply: reply("new"),
            },
            7,
            &PurgeBook::default(),
        );
        assert!(!owner.put(
            at(10_200),
            Put {
                key: KEY,
                token: slow,
                reply: reply("old")
            },
            7,
            &PurgeBook::default()
        ));
        assert_eq!(ask(&mut owner, 10_300, 4).0, "copy new");
    }

    #[test]
    fn what_may_not_be_shared_is_not_held_and_nobody_waits_for_it() {
        let mut owner = CacheOwner::new(1 << 20);
        let token = ask(&mut owner, 0, 1).1.unwrap();
        assert_eq!(ask(&mut owner, 1, 2).0, "wait");
        owner.give_up(at(10), KEY, token, 7, 0, true);
        assert!(matches!(
            owner.take_out().as_slice(),
            [(_, Message::NoCopy(NoCopy { id: 2, .. }))]
        ));
        assert_eq!(ask(&mut owner, 11, 3).0, "NoCopy");
        assert_eq!(ask(&mut owner, 5010, 4).0, "miss");
    }

    #[test]
    fn memory_is_bounded_and_the_longest_unasked_go_first() {
        let mut owner = CacheOwner::new(20_000);
        for round in 0..100u8 {
            let key = [round; 32];
            owner.get(at(round.into()), from(1), Get { key, ..get(1) }, 7, 0);
            let Some((_, Message::Miss(miss))) = owner.take_out().pop() else {
                panic!()
            };
            owner.put(
                at(round.into()),
                Put {
                    key,
                    token: miss.token,
                    reply: reply(&"x".repeat(488)),
                },
                7,
                &PurgeBook::default(),
            );
            assert!(owner.bytes <= 20_000);
        }
        assert!(owner.keys[&[99; 32]].held.is_some() && owner.keys[&[0; 32]].held.is_none());
        owner.clear();
        assert_eq!(owner.bytes, 0);
    }

    #[test]
    fn a_moved_slice_takes_its_copies_along_with_expiries_and_purges() {
        let mut owner = filled(0);
        owner.keep_slices(at(2000), 3, &|_| false);
        assert_eq!(owner.bytes, 0);
        let copies = owner.hand(at(2100), cache_slice(&KEY));
        assert_eq!(
            (
                copies.len(),
                copies[0].age,
                copies[0].minor,
                copies[0].major,
                copies[0].purged
            ),
            (1, at(2100), at(2900), at(7900), 3)
        );
        // Its clock is its own; the way there counts against the copy.
        let mut next = CacheOwner::new(1 << 20);
        assert_eq!(
            next.take_over(at(50_000), at(100), copies.clone(), &PurgeBook::default()),
            1
        );
        assert_eq!(ask(&mut next, 52_799, 1).0, "copy a");
        assert_eq!(ask(&mut next, 52_800, 2).0, "miss");
        assert_eq!(ask(&mut next, 57_799, 3).0, "copy a");
        next.tick(at(57_800), &|_| 7, 0);
        assert!(next.keys[&KEY].held.is_none());
        // Too long on the way: over before it came.
        let mut late = CacheOwner::new(1 << 20);
        assert_eq!(
            late.take_over(at(50_000), at(7900), copies.clone(), &PurgeBook::default()),
            0
        );
        // A purge that the last holder did not know yet.
        let purge = Purge {
            url: Some("/u".into()),
            ..Purge::default()
        };
        let mut book = PurgeBook::default();
        book.learn(
            Duration::ZERO,
            4,
            &[(
                "p".into(),
                Row {
                    version: 4,
                    value: Value::Purge { purge, change: 1 },
                },
            )],
        );
        let mut next = CacheOwner::new(1 << 20);
        assert_eq!(next.take_over(at(50_000), at(100), copies, &book), 0);
        // Set aside too long, it is gone.
        let mut owner = filled(0);
        owner.keep_slices(at(2000), 3, &|_| false);
        owner.tick(at(5000), &|_| 7, 0);
        assert!(owner.hand(at(5000), cache_slice(&KEY)).is_empty() && !owner.has_aside());
    }
}
