//! How long an edge is live.
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
    // With five or eight slots more are needed, with none known none suffice.
    assert_eq!(
        [0, 4, 5, 8].map(|slots| leases.live_until(slots)),
        [at(0), at(1300), at(1100), at(0)]
    );
    // It fences itself before a control node takes its session to be expired,
    // even if the renewal was received the moment it was sent.
    assert!(lease::EDGE_LEASE < lease::SESSION_LEASE);
}
