//! Tests of the time until which an edge is live.
use crate::prelude::*;

#[test]
fn edge_is_live_until_quorum_of_leases_expires() {
    let millis = Duration::from_millis;
    let control_node = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let mut leases = Leases::default();
    leases.record_renewal(control_node(1), millis(500));
    assert_eq!(
        leases.live_until(3),
        Duration::ZERO,
        "one lease is no majority"
    );
    leases.record_renewal(control_node(2), millis(700));
    assert_eq!(leases.live_until(3), millis(1100));
    leases.record_renewal(control_node(3), millis(900));
    leases.record_renewal(control_node(3), millis(600));
    assert_eq!(leases.live_until(3), millis(1300));
    // More slots require more leases; with no slots the edge is never live.
    assert_eq!(
        [0, 4, 5, 8].map(|slots| leases.live_until(slots)),
        [millis(0), millis(1300), millis(1100), millis(0)]
    );
    // The edge fences itself before a control node regards its session as expired, even
    // if the renewal was received at the moment it was sent.
    assert!(lease::EDGE_LEASE < lease::SESSION_LEASE);
}
