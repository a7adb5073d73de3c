//! Tests of the tokens and of the repeated requests that a cache owner accepts.
use data_plane::prelude::*;
use std::net::SocketAddr;

const KEY: CacheKey = [1; 32];
const TTL: Duration = Duration::from_secs(10);

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
        host: String::new(),
        url: "/u".into(),
        ttl: TTL,
        max_wait: millis(5000),
        accepts_any_age: false,
    }
}

/// Returns the first token among the messages.
fn token(outputs: &[(SocketAddr, Message)]) -> Option<FillToken> {
    outputs.iter().find_map(|(_, message)| match message {
        Message::CacheMiss(miss) => Some(miss.token),
        _ => None,
    })
}

/// Serials start again with each process, so a refresher of an earlier epoch, or of an
/// earlier process at this address, may have a token with the same serial.
#[test]
fn fill_failure_of_other_epoch_is_ignored() {
    const EPOCH: u64 = 7;
    let mut owner = CacheOwner::new(1 << 20);
    owner.get(millis(0), edge_address(1), get(1), EPOCH, 0);
    let current = token(&owner.take_outgoing()).expect("the first becomes the refresher");
    owner.get(millis(1), edge_address(2), get(2), EPOCH, 0);
    assert_eq!(token(&owner.take_outgoing()), None, "the second waits");
    let earlier = FillToken {
        epoch: EPOCH - 1,
        ..current
    };
    for private in [false, true] {
        owner.fill_failed(millis(2), KEY, earlier, EPOCH, 0, private);
        assert!(owner.take_outgoing().is_empty());
    }
    owner.fill_failed(millis(3), KEY, current, EPOCH, 0, false);
    let next = token(&owner.take_outgoing()).expect("the second becomes the refresher");
    assert_ne!(next.serial, current.serial);
}

/// Returns the number of cached responses among the messages.
fn response_count(outputs: &[(SocketAddr, Message)]) -> usize {
    outputs
        .iter()
        .filter(|(_, message)| matches!(message, Message::CacheCopy(_)))
        .count()
}

/// A request is resent because its response has not arrived yet, mostly because the link
/// is full. Regression: each resent request queued another response on that link.
#[test]
fn repeated_get_is_confirmed_and_not_sent_twice() {
    let mut owner = CacheOwner::new(1 << 20);
    owner.get(millis(0), edge_address(1), get(1), 7, 0);
    let token = token(&owner.take_outgoing()).expect("the first becomes the refresher");
    for _ in 0..3 {
        owner.get(millis(50), edge_address(2), get(2), 7, 0);
    }
    let queued = owner.take_outgoing();
    assert_eq!(response_count(&queued), 0);
    assert_eq!(
        queued.len(),
        2,
        "each repeated request is confirmed as queued"
    );
    let reply = Reply {
        status: 200,
        ..Reply::default()
    };
    let key = KEY;
    let put = CachePut { key, token, reply };
    assert!(owner.put(millis(100), put, 7, &PurgeLog::default()));
    assert_eq!(response_count(&owner.take_outgoing()), 1);
    let mut sent = 0;
    for now in (200..4000).step_by(200) {
        owner.tick(millis(now), &|_| 7, 0);
        owner.get(millis(now), edge_address(2), get(2), 7, 0);
        sent += response_count(&owner.take_outgoing());
    }
    assert_eq!(
        sent, 1,
        "one more in four seconds, in case the first was lost"
    );
    owner.get(millis(4000), edge_address(3), get(3), 7, 0);
    assert_eq!(
        response_count(&owner.take_outgoing()),
        1,
        "other requests are served at once"
    );
}
