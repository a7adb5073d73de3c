//! Tests of `assignment_plan`.
use crate::prelude::*;

fn session(port: u16, draining: bool) -> SessionInfo {
    let peer = Peer::new(SocketAddr::from(([127, 0, 0, 1], port)), 1);
    SessionInfo {
        peer,
        zone: "z".into(),
        ring: String::new(),
        weight: 1,
        draining,
        generation: 0,
        recall_complete: true,
        version_vector: vec![],
        usage: Usage::default(),
        origin_health: vec![],
    }
}

fn apply(
    rows: &mut BTreeMap<String, Row>,
    planned: Vec<(String, Assignment)>,
    version: u64,
) -> usize {
    let count = planned.len();
    for (key, assignment) in planned {
        rows.insert(
            key,
            Row {
                version,
                value: Value::Assignment(assignment),
            },
        );
    }
    count
}

/// Returns a plan in which no edge has departed or ended, none is on a control node's host, and all sessions are known.
fn plan<'a>(
    rows: &'a BTreeMap<String, Row>,
    settled: u64,
    live: &'a [SessionInfo],
) -> AssignmentPlan<'a> {
    AssignmentPlan {
        rows,
        settled,
        live,
        has_departed: &|_| false,
        has_ended: &|_| false,
        is_on_control_host: &|_| false,
        sessions_incomplete: false,
    }
}

fn cache_assignments() -> Vec<String> {
    (0..CACHE_PARTITIONS)
        .map(|partition| cache_assignment("", partition))
        .collect()
}

#[test]
fn assignment_is_regranted_after_revocation_settles() {
    let mut rows = BTreeMap::new();
    let (first, second) = ([session(1, false)], [session(2, false)]);
    let planned = plan(&rows, 0, &first).next(&cache_assignments());
    apply(&mut rows, planned, 1);
    let has_departed: &dyn Fn(Peer) -> bool = &|peer| peer.address.port() == 1;
    let planned = AssignmentPlan {
        has_departed,
        ..plan(&rows, 1, &second)
    }
    .next(&cache_assignments());
    assert!(
        planned
            .iter()
            .all(|(_, assignment)| assignment.owner.is_none() && assignment.epoch == 2)
    );
    assert_eq!(apply(&mut rows, planned, 2), usize::from(CACHE_PARTITIONS));
    assert!(
        AssignmentPlan {
            has_departed,
            ..plan(&rows, 1, &second)
        }
        .next(&cache_assignments())
        .is_empty()
    );
    let planned = AssignmentPlan {
        has_departed,
        ..plan(&rows, 2, &second)
    }
    .next(&cache_assignments());
    assert!(
        planned.iter().all(
            |(_, assignment)| assignment.owner == Some(second[0].peer) && assignment.epoch == 3
        )
    );
    assert_eq!(planned.len(), usize::from(CACHE_PARTITIONS));
}

#[test]
fn ended_owner_is_replaced_before_sessions_are_complete() {
    let mut rows = BTreeMap::new();
    let planned =
        plan(&rows, 0, &[session(1, false), session(2, false)]).next(&cache_assignments());
    apply(&mut rows, planned, 1);
    let restarted = SessionInfo {
        peer: Peer {
            incarnation: 9,
            ..session(1, false).peer
        },
        ..session(1, false)
    };
    let has_ended: &dyn Fn(Peer) -> bool = &|peer| peer == session(1, false).peer;
    let planned = AssignmentPlan {
        has_ended,
        sessions_incomplete: true,
        ..plan(&rows, 1, std::slice::from_ref(&restarted))
    }
    .next(&cache_assignments());
    assert!(
        !planned.is_empty() && planned.len() < cache_assignments().len(),
        "the other edge retains its assignments"
    );
    assert!(
        planned.iter().all(
            |(_, assignment)| assignment.owner == Some(restarted.peer) && assignment.epoch == 2
        )
    );
}

#[test]
fn joining_edge_receives_its_partitions_in_bounded_batches() {
    let mut rows = BTreeMap::new();
    let mut live: Vec<SessionInfo> = (1..8).map(|port| session(port, false)).collect();
    let planned = plan(&rows, 0, &live).next(&cache_assignments());
    apply(&mut rows, planned, 1);
    live.push(session(8, false));
    let mut moved = 0;
    for version in (2..100).step_by(2) {
        let planned = plan(&rows, version, &live).next(&cache_assignments());
        assert!(planned.len() <= 64);
        moved += apply(&mut rows, planned, version);
        let planned = plan(&rows, version, &live).next(&cache_assignments());
        assert!(
            planned
                .iter()
                .all(|(_, assignment)| assignment.owner == Some(live[7].peer))
        );
        apply(&mut rows, planned, version + 1);
    }
    assert!(
        (16..=48).contains(&moved),
        "{moved} of 256 moved to the eighth edge"
    );
}

#[test]
fn cache_partitions_follow_edge_weight() {
    let weighted = |port, weight| SessionInfo {
        weight,
        ..session(port, false)
    };
    let live: Vec<SessionInfo> = (1..=4)
        .map(|port| weighted(port, 30))
        .chain((5..=34).map(|port| weighted(port, 1)))
        .collect();
    let planned = plan(&BTreeMap::new(), 0, &live).next(&cache_assignments());
    let strong_edges_share = planned
        .iter()
        .filter(|(_, assignment)| {
            assignment
                .owner
                .is_some_and(|peer| peer.address.port() <= 4)
        })
        .count();
    // The share is proportional to the square of the weight: 4 x 900 of 3,630 parts.
    assert!(
        (250..=256).contains(&strong_edges_share),
        "{strong_edges_share} of 256, expected 99 of 100 parts"
    );
}

#[test]
fn admission_avoids_control_hosts_unless_others_are_weak() {
    let admissions: Vec<String> = (0..200)
        .map(|at| admission_assignment(&format!("s{at}")))
        .collect();
    let is_on_control_host = |session: &SessionInfo| session.peer.address.port() <= 4;
    let owned_by_control_hosts = |other_weight: u32| {
        let live: Vec<SessionInfo> = (1..=14)
            .map(|port| SessionInfo {
                weight: if port <= 4 { 35 } else { other_weight },
                ..session(port, false)
            })
            .collect();
        let planned = AssignmentPlan {
            is_on_control_host: &is_on_control_host,
            ..plan(&BTreeMap::new(), 0, &live)
        }
        .next(&admissions);
        planned
            .iter()
            .filter(|(_, assignment)| {
                assignment
                    .owner
                    .is_some_and(|peer| peer.address.port() <= 4)
            })
            .count()
    };
    assert!(
        owned_by_control_hosts(20) < 20 && owned_by_control_hosts(1) > 180,
        "{} and {}",
        owned_by_control_hosts(20),
        owned_by_control_hosts(1)
    );
}

#[test]
fn ring_partitions_stay_on_ring_edges() {
    let in_ring = |port, ring: &str| SessionInfo {
        ring: ring.into(),
        ..session(port, false)
    };
    let live = [in_ring(1, "a"), in_ring(2, "a"), in_ring(3, "b")];
    let names: Vec<String> = (0..CACHE_PARTITIONS)
        .flat_map(|partition| ["a", "b", "c"].map(|ring| cache_assignment(ring, partition)))
        .collect();
    let planned = plan(&BTreeMap::new(), 0, &live).next(&names);
    let owned = |ring: &str| -> BTreeSet<Option<Peer>> {
        planned
            .iter()
            .filter(|(name, _)| assignment_ring(name) == Some(ring))
            .map(|(_, assignment)| assignment.owner)
            .collect()
    };
    assert_eq!(owned("a"), [Some(live[0].peer), Some(live[1].peer)].into());
    assert_eq!(owned("b"), [Some(live[2].peer)].into());
    assert!(owned("c").is_empty(), "the ring has no edge");
}

#[test]
fn draining_owner_loses_admission_and_live_owner_retains_it() {
    let admission = [admission_assignment("book")];
    let owned = |peer| {
        BTreeMap::from([(
            admission[0].clone(),
            Row {
                version: 1,
                value: Value::Assignment(Assignment {
                    owner: Some(peer),
                    previous_owner: None,
                    epoch: 4,
                }),
            },
        )])
    };
    for port in 1..9 {
        let rows = owned(session(port, false).peer);
        let live: Vec<SessionInfo> = (1..9).map(|port| session(port, false)).collect();
        assert!(plan(&rows, 9, &live).next(&admission).is_empty());
        let live: Vec<SessionInfo> = (1..9).map(|other| session(other, other == port)).collect();
        assert_eq!(plan(&rows, 9, &live).next(&admission).len(), 1);
    }
}
