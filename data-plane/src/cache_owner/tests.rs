//! Tests of a cache owner's expiries, refreshers, eviction and handover.
use crate::prelude::*;

const KEY: CacheKey = [1; 32];

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn edge_address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn get(id: u64) -> CacheGet {
    CacheGet {
        id,
        key: KEY,
        entry: "e".into(),
        host: "h".into(),
        url: "/u".into(),
        ttl: millis(10_000),
        max_wait: millis(3000),
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

/// Sends a get and returns the owner's response ("copy BODY", "miss", "wait" or the name
/// of the message) and the token of a miss.
fn request(owner: &mut CacheOwner, now: u64, id: u64) -> (String, Option<FillToken>) {
    owner.get(millis(now), edge_address(1), get(id), 7, 0);
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

/// Puts a response with this body under the token. Returns true if it was stored.
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
    owner.put(millis(now), put, epoch, purge_log)
}

fn url_purge() -> Purge {
    Purge {
        url: Some("/u".into()),
        ..Purge::default()
    }
}

/// Creates a log with one purge of `/u`.
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
    // The major expiry has passed and the refresher of 6500 has timed out.
    assert_eq!(request(&mut owner, 10_000, 4).0, "miss");
}

#[test]
fn cold_key_gets_next_refresher_on_failure_or_timeout() {
    let mut owner = CacheOwner::new(1 << 20);
    let first = request(&mut owner, 0, 1).1.unwrap();
    for id in 2..6 {
        assert_eq!(request(&mut owner, 10, id).0, "wait");
    }
    owner.fill_failed(millis(100), KEY, first, 7, 0, false);
    let outputs = owner.take_outgoing();
    assert!(
        matches!(
            outputs.as_slice(),
            [(_, Message::CacheMiss(CacheMiss { id: 2, .. }))]
        ),
        "{outputs:?}"
    );
    owner.tick(millis(2099), &|_| 7, 0);
    assert!(owner.take_outgoing().is_empty());
    owner.tick(millis(2100), &|_| 7, 0);
    let outputs = owner.take_outgoing();
    let [(_, Message::CacheMiss(CacheMiss { id: 3, token, .. }))] = outputs.as_slice() else {
        panic!("{outputs:?}")
    };
    put(&mut owner, 2200, *token, "c", 7, &PurgeLog::default());
    assert_eq!(
        owner.take_outgoing().len(),
        2,
        "the two waiting requests get the response"
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
        "the purged response is gone and the late put was dropped"
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
    // The slow refresher times out at the extended minor expiry; another one refreshes.
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
    owner.fill_failed(millis(10), KEY, token, 7, 0, true);
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
        owner.get(
            millis(round.into()),
            edge_address(1),
            CacheGet { key, ..get(1) },
            7,
            0,
        );
        let Some((_, Message::CacheMiss(miss))) = owner.take_outgoing().pop() else {
            panic!()
        };
        owner.put(
            millis(round.into()),
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
    owner.retain_partitions(millis(2000), 3, &|_| false);
    assert_eq!(owner.memory.used, 0);
    let responses = owner.hand_over(millis(2100), cache_partition(&KEY));
    assert_eq!(
        (
            responses.len(),
            responses[0].age,
            responses[0].minor_expiry,
            responses[0].major_expiry,
            responses[0].purge_version
        ),
        (1, millis(2100), millis(2900), millis(7900), 3)
    );
    // The next owner has another clock, and the network delay adds to the response's age.
    let mut next = CacheOwner::new(1 << 20);
    assert_eq!(
        next.take_over(
            millis(50_000),
            millis(100),
            responses.clone(),
            &PurgeLog::default()
        ),
        1
    );
    assert_eq!(request(&mut next, 52_799, 1).0, "copy a");
    assert_eq!(request(&mut next, 52_800, 2).0, "miss");
    assert_eq!(request(&mut next, 57_799, 3).0, "copy a");
    next.tick(millis(57_800), &|_| 7, 0);
    assert!(next.slots[&KEY].stored.is_none());
    // The response expired while it was in flight.
    let mut late = CacheOwner::new(1 << 20);
    assert_eq!(
        late.take_over(
            millis(50_000),
            millis(7900),
            responses.clone(),
            &PurgeLog::default()
        ),
        0
    );
    // The previous owner had not applied a purge that the next owner knows.
    let purge_log = log_of_purge(4);
    let mut next = CacheOwner::new(1 << 20);
    assert_eq!(
        next.take_over(millis(50_000), millis(100), responses, &purge_log),
        0
    );
    // The retention time is over: the response is dropped.
    let mut owner = owner_with_response(0);
    owner.retain_partitions(millis(2000), 3, &|_| false);
    owner.tick(millis(5000), &|_| 7, 0);
    assert!(
        owner
            .hand_over(millis(5000), cache_partition(&KEY))
            .is_empty()
            && !owner.has_retained_partitions()
    );
}

/// A withdrawn request gets no response and does not become the refresher.
#[test]
fn withdrawn_get_is_not_served_or_made_refresher() {
    for fails in [false, true] {
        let mut owner = CacheOwner::new(1 << 20);
        let token = request(&mut owner, 0, 1).1.unwrap();
        for id in 2..=4 {
            assert_eq!(request(&mut owner, 10, id).0, "wait");
        }
        owner.withdraw(edge_address(1), &KEY, 2);
        owner.withdraw(edge_address(2), &KEY, 3);
        owner.withdraw(edge_address(1), &[9; 32], 4);
        let purge_log = PurgeLog::default();
        if fails {
            owner.fill_failed(millis(20), KEY, token, 7, 0, false);
        } else {
            let put = CachePut {
                key: KEY,
                token,
                reply: reply("a"),
            };
            assert!(owner.put(millis(20), put, 7, &purge_log));
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

/// Regression: after operators shortened a route's time to live, a stored response was
/// still served for the longer one; 112 of 400 responses were stale.
#[test]
fn shortened_ttl_limits_stored_response() {
    const SHORT_TTL_MS: u64 = 2_000;
    let shortened = |id| CacheGet {
        ttl: millis(SHORT_TTL_MS),
        ..get(id)
    };
    let mut owner = owner_with_response(0);
    owner.get(millis(900), edge_address(1), shortened(2), 7, 0);
    let Some((_, Message::CacheCopy(copy))) = owner.take_outgoing().pop() else {
        panic!("a response within the shorter time to live is served");
    };
    assert_eq!(copy.response.remaining_ttl, millis(SHORT_TTL_MS - 900));
    // An edge that still has the longer time to live gets the same limit.
    owner.get(millis(950), edge_address(2), get(3), 7, 0);
    assert!(matches!(
        &owner.take_outgoing()[..],
        [(_, Message::CacheCopy(copy))] if copy.response.remaining_ttl == millis(SHORT_TTL_MS - 950)
    ));
    owner.get(millis(SHORT_TTL_MS), edge_address(1), shortened(4), 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        matches!(outgoing[..], [(_, Message::CacheMiss(_))]),
        "{outgoing:?}"
    );
}

/// Regression: a response that was handed over was served for the longer time to live,
/// although the new owner had received a request with the shorter one.
#[test]
fn shortened_ttl_limits_handed_over_response() {
    let mut previous = owner_with_response(0);
    previous.retain_partitions(millis(100), 0, &|_| false);
    let responses = previous.hand_over(millis(3_000), cache_partition(&KEY));
    assert_eq!(responses.len(), 1);
    let mut owner = CacheOwner::new(1 << 20);
    let shortened = CacheGet {
        ttl: millis(2_000),
        ..get(1)
    };
    owner.get(millis(50_000), edge_address(1), shortened.clone(), 7, 0);
    owner.take_outgoing();
    owner.take_over(millis(50_000), millis(0), responses, &PurgeLog::default());
    owner.take_outgoing();
    let again = CacheGet { id: 2, ..shortened };
    owner.get(millis(50_001), edge_address(2), again, 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        !matches!(outgoing[..], [(_, Message::CacheCopy(_)), ..]),
        "{outgoing:?}"
    );
}

/// Regression (review/7): the edge panicked when a response was handed over whose age is
/// above the shortened time to live of a request that waits for it.
#[test]
fn handed_over_response_beyond_shortened_ttl_is_not_sent_to_waiting_request() {
    let mut previous = owner_with_response(0);
    previous.retain_partitions(millis(100), 0, &|_| false);
    let responses = previous.hand_over(millis(3_000), cache_partition(&KEY));
    let mut owner = CacheOwner::new(1 << 20);
    let shortened = |id| CacheGet {
        ttl: millis(2_000),
        ..get(id)
    };
    owner.get(millis(50_000), edge_address(1), shortened(1), 7, 0);
    owner.get(millis(50_000), edge_address(2), shortened(2), 7, 0);
    owner.take_outgoing();
    let stored = owner.take_over(millis(50_000), millis(0), responses, &PurgeLog::default());
    assert_eq!(stored, 0);
    assert!(owner.take_outgoing().is_empty(), "the request waits on");
    assert_eq!(owner.memory.used, 0);
    let epoch_of = |_| 7;
    owner.tick(millis(51_000), &epoch_of, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        matches!(outgoing[..], [(_, Message::CacheMiss(_))]),
        "it becomes the refresher: {outgoing:?}"
    );
}

/// Regression: the age of a response that was handed over to an edge younger than the
/// response was cut to the age of the edge's process.
#[test]
fn handed_over_response_keeps_its_age_at_a_younger_edge() {
    const UPTIME_MS: u64 = 500;
    let mut previous = owner_with_response(0);
    previous.retain_partitions(millis(100), 0, &|_| false);
    let responses = previous.hand_over(millis(3_000), cache_partition(&KEY));
    let mut owner = CacheOwner::new(1 << 20);
    let stored = owner.take_over(
        millis(UPTIME_MS),
        millis(100),
        responses,
        &PurgeLog::default(),
    );
    assert_eq!(stored, 1);
    owner.get(millis(UPTIME_MS), edge_address(1), get(1), 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        matches!(&outgoing[..], [(_, Message::CacheCopy(copy))] if copy.response.age == millis(3_100)),
        "{outgoing:?}"
    );
    let shortened = CacheGet {
        ttl: millis(2_000),
        ..get(2)
    };
    owner.get(millis(UPTIME_MS + 1), edge_address(2), shortened, 7, 0);
    let outgoing = owner.take_outgoing();
    assert!(
        matches!(outgoing[..], [(_, Message::CacheMiss(_))]),
        "older than the shortened time to live: {outgoing:?}"
    );
}
