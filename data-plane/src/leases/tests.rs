//! Tests of `leases`.
use crate::prelude::*;

#[test]
fn edge_is_live_until_quorum_of_leases_expires() {
    let at = Duration::from_millis;
    let control_node = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut leases = Leases::default();
    leases.renewed(control_node(1), at(500));
    assert_eq!(leases.live_until(3), Duration::ZERO, "one is no majority");
    leases.renewed(control_node(2), at(700));
    assert_eq!(leases.live_until(3), at(1100));
    leases.renewed(control_node(3), at(900));
    leases.renewed(control_node(3), at(600));
    assert_eq!(leases.live_until(3), at(1300));
    // Of five or eight slots more are needed, of a table not known all.
    assert_eq!(
        [0, 4, 5, 8].map(|slots| leases.live_until(slots)),
        [at(0), at(1300), at(1100), at(0)]
    );
    // It fences itself before a control node counts it lapsed, even if
    // the renewal was heard the moment it was sent.
    assert!(lease::EDGE_LEASE < lease::SESSION_LEASE);
}
