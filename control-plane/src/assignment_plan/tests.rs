//! Tests of `assignment_plan`.
use crate::prelude::*;

fn seen(port: u16, draining: bool) -> SessionInfo {
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

fn apply(rows: &mut BTreeMap<String, Row>, out: Vec<(String, Assignment)>, version: u64) -> usize {
    let count = out.len();
    for (key, assignment) in out {
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

fn names() -> Vec<String> {
    (0..CACHE_PARTITIONS)
        .map(|partition| cache_assignment("", partition))
        .collect()
}

#[test]
fn a_assignment_is_granted_again_only_after_its_revocation_settled() {
    let mut rows = BTreeMap::new();
    let (one, two) = ([seen(1, false)], [seen(2, false)]);
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let out = AssignmentPlan {
        rows: &rows,
        settled: 0,
        live: &one,
        gone: none,
        ended: none,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    apply(&mut rows, out, 1);
    let all: &dyn Fn(Peer) -> bool = &|peer| peer.address.port() == 1;
    let out = AssignmentPlan {
        rows: &rows,
        settled: 1,
        live: &two,
        gone: all,
        ended: &|_| false,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    assert!(
        out.iter()
            .all(|(_, assignment)| assignment.owner.is_none() && assignment.epoch == 2)
    );
    assert_eq!(apply(&mut rows, out, 2), usize::from(CACHE_PARTITIONS));
    assert!(
        AssignmentPlan {
            rows: &rows,
            settled: 1,
            live: &two,
            gone: all,
            ended: &|_| false,
            beside: &|_| false,
            early: false
        }
        .next(&names())
        .is_empty()
    );
    let out = AssignmentPlan {
        rows: &rows,
        settled: 2,
        live: &two,
        gone: all,
        ended: &|_| false,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    assert!(
        out.iter()
            .all(|(_, assignment)| assignment.owner == Some(two[0].peer) && assignment.epoch == 3)
    );
    assert_eq!(out.len(), usize::from(CACHE_PARTITIONS));
}

#[test]
fn what_an_ended_process_held_is_granted_at_once_also_before_all_sessions_are_known() {
    let mut rows = BTreeMap::new();
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let out = AssignmentPlan {
        rows: &rows,
        settled: 0,
        live: &[seen(1, false), seen(2, false)],
        gone: none,
        ended: none,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    apply(&mut rows, out, 1);
    let again = SessionInfo {
        peer: Peer {
            incarnation: 9,
            ..seen(1, false).peer
        },
        ..seen(1, false)
    };
    let over: &dyn Fn(Peer) -> bool = &|peer| peer == seen(1, false).peer;
    let out = AssignmentPlan {
        rows: &rows,
        settled: 1,
        live: std::slice::from_ref(&again),
        gone: none,
        ended: over,
        beside: &|_| false,
        early: true,
    }
    .next(&names());
    assert!(
        !out.is_empty() && out.len() < names().len(),
        "what the other holds is left to it"
    );
    assert!(
        out.iter()
            .all(|(_, assignment)| assignment.owner == Some(again.peer) && assignment.epoch == 2)
    );
}

#[test]
fn a_join_moves_only_what_the_newcomer_gets_and_not_all_at_once() {
    let mut rows = BTreeMap::new();
    let mut live: Vec<SessionInfo> = (1..8).map(|port| seen(port, false)).collect();
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let out = AssignmentPlan {
        rows: &rows,
        settled: 0,
        live: &live,
        gone: none,
        ended: none,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    apply(&mut rows, out, 1);
    live.push(seen(8, false));
    let mut moved = 0;
    for version in (2..100).step_by(2) {
        let out = AssignmentPlan {
            rows: &rows,
            settled: version,
            live: &live,
            gone: none,
            ended: none,
            beside: &|_| false,
            early: false,
        }
        .next(&names());
        assert!(out.len() <= 64);
        moved += apply(&mut rows, out, version);
        let out = AssignmentPlan {
            rows: &rows,
            settled: version,
            live: &live,
            gone: none,
            ended: none,
            beside: &|_| false,
            early: false,
        }
        .next(&names());
        assert!(
            out.iter()
                .all(|(_, assignment)| assignment.owner == Some(live[7].peer))
        );
        apply(&mut rows, out, version + 1);
    }
    assert!(
        (16..=48).contains(&moved),
        "{moved} of 256 moved to the eighth edge"
    );
}

#[test]
fn assignments_go_by_strength() {
    let strong = |port, strength| SessionInfo {
        weight: strength,
        ..seen(port, false)
    };
    let live: Vec<SessionInfo> = (1..=4)
        .map(|port| strong(port, 30))
        .chain((5..=34).map(|port| strong(port, 1)))
        .collect();
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let out = AssignmentPlan {
        rows: &BTreeMap::new(),
        settled: 0,
        live: &live,
        gone: none,
        ended: none,
        beside: &|_| false,
        early: false,
    }
    .next(&names());
    let strong = out
        .iter()
        .filter(|(_, assignment)| {
            assignment
                .owner
                .is_some_and(|peer| peer.address.port() <= 4)
        })
        .count();
    // By the square: 4 x 900 of 3,630 parts.
    assert!(
        (250..=256).contains(&strong),
        "{strong} of 256: 99 of 100 parts"
    );
}

#[test]
fn a_admission_is_apart_from_control_nodes_unless_others_are_much_weaker() {
    let admissions: Vec<String> = (0..200)
        .map(|at| admission_assignment(&format!("s{at}")))
        .collect();
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let beside = |seen: &SessionInfo| seen.peer.address.port() <= 4;
    let held = |other: u32| {
        let live: Vec<SessionInfo> = (1..=14)
            .map(|port| SessionInfo {
                weight: if port <= 4 { 35 } else { other },
                ..seen(port, false)
            })
            .collect();
        let out = AssignmentPlan {
            rows: &BTreeMap::new(),
            settled: 0,
            live: &live,
            gone: none,
            ended: none,
            beside: &beside,
            early: false,
        }
        .next(&admissions);
        out.iter()
            .filter(|(_, assignment)| {
                assignment
                    .owner
                    .is_some_and(|peer| peer.address.port() <= 4)
            })
            .count()
    };
    assert!(
        held(20) < 20 && held(1) > 180,
        "{} and {}",
        held(20),
        held(1)
    );
}

#[test]
fn a_partition_of_a_ring_goes_to_its_own_edges_only() {
    let near = |port, ring: &str| SessionInfo {
        ring: ring.into(),
        ..seen(port, false)
    };
    let live = [near(1, "a"), near(2, "a"), near(3, "b")];
    let names: Vec<String> = (0..CACHE_PARTITIONS)
        .flat_map(|partition| ["a", "b", "c"].map(|ring| cache_assignment(ring, partition)))
        .collect();
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    let out = AssignmentPlan {
        rows: &BTreeMap::new(),
        settled: 0,
        live: &live,
        gone: none,
        ended: none,
        beside: &|_| false,
        early: false,
    }
    .next(&names);
    let held = |ring: &str| -> BTreeSet<Option<Peer>> {
        out.iter()
            .filter(|(name, _)| assignment_ring(name) == Some(ring))
            .map(|(_, assignment)| assignment.owner)
            .collect()
    };
    assert_eq!(held("a"), [Some(live[0].peer), Some(live[1].peer)].into());
    assert_eq!(held("b"), [Some(live[2].peer)].into());
    assert!(held("c").is_empty(), "no edge of that ring is there");
}

#[test]
fn a_draining_holder_loses_its_admission_and_a_live_one_keeps_it() {
    let admission = [admission_assignment("book")];
    let held = |peer| {
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
    let none: &dyn Fn(Peer) -> bool = &|_| false;
    for port in 1..9 {
        let rows = held(seen(port, false).peer);
        let live: Vec<SessionInfo> = (1..9).map(|port| seen(port, false)).collect();
        assert!(
            AssignmentPlan {
                rows: &rows,
                settled: 9,
                live: &live,
                gone: none,
                ended: none,
                beside: &|_| false,
                early: false
            }
            .next(&admission)
            .is_empty()
        );
        let live: Vec<SessionInfo> = (1..9).map(|other| seen(other, other == port)).collect();
        assert_eq!(
            AssignmentPlan {
                rows: &rows,
                settled: 9,
                live: &live,
                gone: none,
                ended: none,
                beside: &|_| false,
                early: false
            }
            .next(&admission)
            .len(),
            1
        );
    }
}
