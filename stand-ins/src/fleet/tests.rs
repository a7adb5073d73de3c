//! Tests of the fleet.
use crate::prelude::*;

/// Guards against allocating one port to an origin and an edge: the origin then
/// responded for both, and operations seemed to be executed twice.
#[test]
fn allocated_addresses_are_unique() {
    let list: BTreeSet<SocketAddr> = (0..500)
        .map(|_| crate::fleet::free_address().unwrap())
        .collect();
    assert_eq!(list.len(), 500);
}
