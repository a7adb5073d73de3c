//! Which answers of refreshers a cache owner takes.
use data_plane::prelude::*;
use std::net::SocketAddr;

const KEY: CacheKey = [1; 32];
const KEEP: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn asker(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn get(id: u64) -> Get {
    Get {
        id,
        key: KEY,
        entry: "e".into(),
        host: String::new(),
        url: "/u".into(),
        keep: KEEP,
        wait: at(5000),
        spare: false,
    }
}

fn token(out: &[(SocketAddr, Message)]) -> Option<Token> {
    out.iter().find_map(|(_, message)| match message {
        Message::Miss(miss) => Some(miss.token),
        _ => None,
    })
}

/// Serials begin anew with each process, so that a refresher of an earlier
/// epoch, or of an earlier process at this address, may hold the same one.
#[test]
fn a_failure_told_under_another_epoch_does_not_end_the_refresher_at_work() {
    const EPOCH: u64 = 7;
    let mut owner = CacheOwner::new(1 << 20);
    owner.get(at(0), asker(1), get(1), EPOCH, 0);
    let current = token(&owner.take_out()).expect("the first is told to fetch");
    owner.get(at(1), asker(2), get(2), EPOCH, 0);
    assert_eq!(token(&owner.take_out()), None, "the second waits");
    let earlier = Token {
        epoch: EPOCH - 1,
        ..current
    };
    for private in [false, true] {
        owner.give_up(at(2), KEY, earlier, EPOCH, 0, private);
        assert!(owner.take_out().is_empty());
    }
    owner.give_up(at(3), KEY, current, EPOCH, 0, false);
    let next = token(&owner.take_out()).expect("the second fetches now");
    assert_ne!(next.serial, current.serial);
}
