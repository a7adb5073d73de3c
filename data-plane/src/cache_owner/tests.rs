//! Expiries, refreshers, eviction and handover of a cache owner.
use crate::prelude::*;

const KEY: CacheKey = [1; 32];

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn from(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn get(id: u64) -> CacheGet {
    CacheGet {
        id,
        key: KEY,
        entry: "e".into(),
        host: "h".into(),
        url: "/u".into(),
        ttl: at(10_000),
        max_wait: at(3000),
        accepts_any_age: false,
    }
}

fn reply(text: &str) -> Reply {
    Reply {
        status: 200,
        body: Arc::new(text.into()),
        ..Reply::default()
    }
}

/// The owner's response to one get: "copy TEXT", "miss", "wait".
fn request(owner: &mut CacheOwner, now: u64, id: u64) -> (String, Option<FillToken>) {
    owner.get(at(now), from(1), get(id), 7, 0);
    match owner.take_outgoing().pop() {
        None => ("wait".into(), None),
        Some((_, Message::CacheCopy(copy))) => (
            format!(
                "copy {}",
                String::from_utf8_lossy(&copy.response.reply.body)
            ),
            None,
        ),
        Some((_, Message::CacheMiss(miss))) => ("miss".into(), Some(miss.token)),
        Some((_, other)) => (other.name().into(), None),
    }
}

/// The refresher's put of a response with this body.
fn put(
    owner: &mut CacheOwner,
    now: u64,
    token: FillToken,
    body: &str,
    epoch: u64,
    purge_log: &PurgeLog,
) -> bool {
    let key = KEY;
    let reply = reply(body);
    let put = CachePut { key, token, reply };
    owner.put(at(now), put, epoch, purge_log)
}

fn url_purge() -> Purge {
    Purge {
        url: Some("/u".into()),
        ..Purge::default()
    }
}

/// A log of one purge of `/u`.
fn log_of_purge(version: u64) -> PurgeLog {
    let mut purge_log = PurgeLog::default();
    let value = Value::Purge {
        purge: url_purge(),
        change: 1,
    };
    let row = Row { version, value };
    purge_log.apply(Duration::ZERO, version, &[("p".into(), row)]);
    purge_log
}

fn owner_with_response(now: u64) -> CacheOwner {
    let mut owner = CacheOwner::new(1 << 20);
    let token = request(&mut owner, now, 1).1.unwrap();
    assert!(put(&mut owner, now, token, "a", 7, &PurgeLog::default()));
    owner
}

#[test]
fn put_resets_both_expiries_with_one_refresher() {
    let mut owner = owner_with_response(0);
    assert_eq!(request(&mut owner, 4999, 2).0, "copy a");
    let token = request(&mut owner, 5000, 3).1.unwrap();
    for id in 4..50 {
        assert_eq!(request(&mut owner, 5001, id).0, "copy a");
    }
    put(&mut owner, 5100, token, "b", 7, &PurgeLog::default());
    assert_eq!(request(&mut owner, 10_050, 50).0, "copy b");
    assert_eq!(request(&mut owner, 10_100, 51).0, "miss");
}

#[test]
fn unrefreshed_response_expires_ttl_after_fetch_start() {
    let mut owner = CacheOwner::new(1 << 20);
    let token = request(&mut owner, 0, 1).1.unwrap();
    put(&mut owner, 1500, token, "a", 7, &PurgeLog::default());
    assert_eq!(request(&mut owner, 6500, 2).0, "miss");
    assert_eq!(request(&mut owner, 9999, 3).0, "copy a");
    // The major expiry has passed; the refresher of 6500 timed out.
    assert_eq!(request(&mut owner, 10_000, 4).0, "miss");
}

#[test]
fn cold_key_gets_next_refresher_on_failure_or_timeout() {
    let mut owner = CacheOwner::new(1 << 20);
    let first = request(&mut owner, 0, 1).1.unwrap();
    for id in 2..6 {
        assert_eq!(request(&mut owner, 10, id).0, "wait");
    }
    owner.fill_failed(at(100), KEY, first, 7, 0, false);
    let outputs = owner.take_outgoing();
    assert!(
        matches!(
            outputs.as_slice(),
            [(_, Message::CacheMiss(CacheMiss { id: 2, .. }))]
        ),
        "{outputs:?}"
    );
    owner.tick(at(2099), &|_| 7, 0);
    assert!(owner.take_outgoing().is_empty());
    owner.tick(at(2100), &|_| 7, 0);
    let outputs = owner.take_outgoing();
    let [(_, Message::CacheMiss(CacheMiss { id: 3, token, .. }))] = outputs.as_slice() else {
        panic!("{outputs:?}")
    };
    put(&mut owner, 2200, *token, "c", 7, &PurgeLog::default());
    assert_eq!(
        owner.take_outgoing().len(),
        2,
        "the two that still wait get the copy"
    );
}

#[test]
fn late_put_is_dropped_after_purge_move_or_newer_put() {
    let purge = url_purge();
    let purge_log = log_of_purge(1);
    let mut owner = owner_with_response(0);
    let token = request(&mut owner, 5000, 2).1.unwrap();
    owner.purge(&purge);
    assert!(!put(&mut owner, 5100, token, "old", 7, &purge_log));
    assert_eq!(
        request(&mut owner, 5200, 3).0,
        "miss",
        "the purged copy is gone and the late one was not taken"
    );

    let mut owner = owner_with_response(0);
    let token = request(&mut owner, 5000, 2).1.unwrap();
    assert!(!put(
        &mut owner,
        5100,
        token,
        "old",
        8,
        &PurgeLog::default()
    ));

    let mut owner = owner_with_response(0);
    let slow = request(&mut owner, 5000, 2).1.unwrap();
    // It times out (its minor extension is over), another request refreshes.
    let quick = request(&mut owner, 10_000, 3).1.unwrap();
    put(&mut owner, 10_100, quick, "new", 7, &PurgeLog::default());
    assert!(!put(
        &mut owner,
        10_200,
        slow,
        "old",
        7,
        &PurgeLog::default()
    ));
    assert_eq!(request(&mut owner, 10_300, 4).0, "copy new");
}

#[test]
fn private_response_is_not_stored_or_awaited() {
    let mut owner = CacheOwner::new(1 << 20);
    let token = request(&mut owner, 0, 1).1.unwrap();
    assert_eq!(request(&mut owner, 1, 2).0, "wait");
    owner.fill_failed(at(10), KEY, token, 7, 0, true);
    assert!(matches!(
        owner.take_outgoing().as_slice(),
        [(_, Message::CacheUnavailable(CacheUnavailable { id: 2, .. }))]
    ));
    assert_eq!(request(&mut owner, 11, 3).0, "CacheUnavailable");
    assert_eq!(request(&mut owner, 5010, 4).0, "miss");
}

#[test]
fn least_recently_used_responses_are_evicted() {
    let mut owner = CacheOwner::new(20_000);
    for round in 0..100u8 {
        let key = [round; 32];
        owner.get(at(round.into()), from(1), CacheGet { key, ..get(1) }, 7, 0);
        let Some((_, Message::CacheMiss(miss))) = owner.take_outgoing().pop() else {
            panic!()
        };
        owner.put(
            at(round.into()),
            CachePut {
                key,
                token: miss.token,
                reply: reply(&"x".repeat(488)),
            },
            7,
            &PurgeLog::default(),
        );
        assert!(owner.memory.used <= 20_000);
    }
    assert!(owner.slots[&[99; 32]].stored.is_some() && owner.slots[&[0; 32]].stored.is_none());
    owner.clear();
    assert_eq!(owner.memory.used, 0);
}

#[test]
fn handover_preserves_expiries_and_purges() {
    let mut owner = owner_with_response(0);
    owner.retain_partitions(at(2000), 3, &|_| false);
    assert_eq!(owner.memory.used, 0);
    let responses = owner.hand_over(at(2100), cache_partition(&KEY));
    assert_eq!(
        (
            responses.len(),
            responses[0].age,
            responses[0].minor_expiry,
            responses[0].major_expiry,
            responses[0].purge_version
        ),
        (1, at(2100), at(2900), at(7900), 3)
    );
    // Its clock is its own; the network delay counts against the response.
    let mut next = CacheOwner::new(1 << 20);
    assert_eq!(
        next.take_over(at(50_000), at(100), responses.clone(), &PurgeLog::default()),
        1
    );
    assert_eq!(request(&mut next, 52_799, 1).0, "copy a");
    assert_eq!(request(&mut next, 52_800, 2).0, "miss");
    assert_eq!(request(&mut next, 57_799, 3).0, "copy a");
    next.tick(at(57_800), &|_| 7, 0);
    assert!(next.slots[&KEY].stored.is_none());
    // In flight for too long: it expired before it arrived.
    let mut late = CacheOwner::new(1 << 20);
    assert_eq!(
        late.take_over(
            at(50_000),
            at(7900),
            responses.clone(),
            &PurgeLog::default()
        ),
        0
    );
    // A purge that the previous owner did not know yet.
    let purge_log = log_of_purge(4);
    let mut next = CacheOwner::new(1 << 20);
    assert_eq!(
        next.take_over(at(50_000), at(100), responses, &purge_log),
        0
    );
    // Retained for too long, it is dropped.
    let mut owner = owner_with_response(0);
    owner.retain_partitions(at(2000), 3, &|_| false);
    owner.tick(at(5000), &|_| 7, 0);
    assert!(
        owner.hand_over(at(5000), cache_partition(&KEY)).is_empty()
            && !owner.has_retained_partitions()
    );
}

/// No response is sent to a withdrawn request, and none becomes the refresher.
#[test]
fn withdrawn_get_is_not_served_or_made_refresher() {
    for fails in [false, true] {
        let mut owner = CacheOwner::new(1 << 20);
        let token = request(&mut owner, 0, 1).1.unwrap();
        for id in 2..=4 {
            assert_eq!(request(&mut owner, 10, id).0, "wait");
        }
        owner.withdraw(from(1), &KEY, 2);
        owner.withdraw(from(2), &KEY, 3);
        owner.withdraw(from(1), &[9; 32], 4);
        let purge_log = PurgeLog::default();
        if fails {
            owner.fill_failed(at(20), KEY, token, 7, 0, false);
        } else {
            let put = CachePut {
                key: KEY,
                token,
                reply: reply("a"),
            };
            assert!(owner.put(at(20), put, 7, &purge_log));
        }
        let recipient = |(_, message)| match message {
            Message::CacheCopy(copy) => copy.id,
            Message::CacheMiss(miss) => miss.id,
            other => panic!("{other:?}"),
        };
        let recipients: Vec<u64> = owner.take_outgoing().into_iter().map(recipient).collect();
        assert_eq!(recipients, if fails { vec![3] } else { vec![3, 4] });
    }
}

/// Regression: a response put under a longer time-to-live was served up to that one
/// after operators had shortened the route's: 112 of 400 answers were stale.
#[test]
fn shortened_ttl_ends_service_of_a_response_stored_under_the_longer_one() {
    const SHORT_TTL_MS: u64 = 2_000;
    let shortened = |id| CacheGet {
        ttl: at(SHORT_TTL_MS),
        ..get(id)
    };
    let mut owner = owner_with_response(0);
    owner.get(at(900), from(1), shortened(2), 7, 0);
    let Some((_, Message::CacheCopy(copy))) = owner.take_outgoing().pop() else {
        panic!("it is younger than the shorter time-to-live");
    };
    assert_eq!(copy.response.remaining_ttl, at(SHORT_TTL_MS - 900));
    // An edge that does not know of the change gets no more.
    owner.get(at(950), from(2), get(3), 7, 0);
    assert!(matches!(
        &owner.take_outgoing()[..],
        [(_, Message::CacheCopy(copy))] if copy.response.remaining_ttl == at(SHORT_TTL_MS - 950)
    ));
    owner.get(at(SHORT_TTL_MS), from(1), shortened(4), 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        matches!(outgoing[..], [(_, Message::CacheMiss(_))]),
        "{outgoing:?}"
    );
}

/// Regression: the same for a response that is handed over to an owner which was
/// already asked under the shorter time-to-live.
#[test]
fn handed_over_response_is_limited_by_a_shortened_ttl() {
    let mut previous = owner_with_response(0);
    previous.retain_partitions(at(100), 0, &|_| false);
    let responses = previous.hand_over(at(3_000), cache_partition(&KEY));
    assert_eq!(responses.len(), 1);
    let mut owner = CacheOwner::new(1 << 20);
    let shortened = CacheGet {
        ttl: at(2_000),
        ..get(1)
    };
    owner.get(at(50_000), from(1), shortened.clone(), 7, 0);
    owner.take_outgoing();
    owner.take_over(at(50_000), at(0), responses, &PurgeLog::default());
    owner.take_outgoing();
    let again = CacheGet { id: 2, ..shortened };
    owner.get(at(50_001), from(2), again, 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        !matches!(outgoing[..], [(_, Message::CacheCopy(_)), ..]),
        "{outgoing:?}"
    );
}
