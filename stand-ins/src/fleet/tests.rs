//! Tests of `fleet`.
use crate::prelude::*;

/// A fleet once gave an origin and an edge one port: the origin answered
/// for both, and operations seemed to run twice.
#[test]
fn allocated_addresses_are_unique() {
    let list: BTreeSet<SocketAddr> = (0..500)
        .map(|_| crate::fleet::free_address().unwrap())
        .collect();
    assert_eq!(list.len(), 500);
}
