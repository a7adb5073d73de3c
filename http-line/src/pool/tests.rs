//! Tests of the connection pool.
use super::*;

#[test]
fn newest_idle_connection_is_reused_first_and_open_counted() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut pool = Pool::default();
    for token in 1..=3 {
        pool.record_opened(address);
        pool.put(address, token);
    }
    pool.record_closed(address, 2);
    assert_eq!(
        (
            pool.take(address, |token| token != 3),
            pool.take(address, |_| true),
            pool.take(address, |_| true),
            pool.open_count(address)
        ),
        (Some(1), Some(3), None, 2)
    );
    pool.record_closed(address, 1);
    pool.record_closed(address, 3);
    assert!(pool.addresses.is_empty());
}
