//! Loss, pause and isolation of nodes and zones.
use super::*;

#[test]
fn service_survives_loss_of_each_control_node() {
    for node_id in CONTROL_NODES {
        let faults = vec![
            (8_000, Fault::Kill(node_id)),
            (13_000, Fault::Start(node_id)),
            (18_000, Fault::Pause(node_id, Duration::from_secs(4))),
            (26_000, Fault::Isolate(node_id)),
            (31_000, Fault::Heal),
            (9_000, Fault::Configure),
            (19_500, Fault::Configure),
            (27_500, Fault::Configure),
            (33_000, Fault::ReadBack),
        ];
        let report = run_small(4, 45, faults);
        check_rules(&report, &[1, 6, 7]);
        assert!(
            served_share(&report) > 0.97,
            "{node_id:?}: {}",
            served_share(&report)
        );
        let configured = report
            .checker
            .fleet
            .iter()
            .filter(|record| record.kind == "configured")
            .count();
        assert_eq!(configured, 4, "{node_id:?}");
    }
}

#[test]
fn isolated_edge_fences_and_changes_settle() {
    let edge = NodeId::Edge(2);
    let faults = vec![
        (8_000, Fault::Isolate(edge)),
        (8_100, Fault::Configure),
        (8_200, Fault::Content),
        (8_201, Fault::Purge("/".into())),
        (20_000, Fault::Heal),
    ];
    let report = run_small(5, 40, faults);
    check_rules(&report, &[4, 6]);
    let at = |kind: &str| {
        report
            .checker
            .fleet
            .iter()
            .rev()
            .find(|record| record.kind == kind)
            .unwrap()
            .at
    };
    assert!(
        at("configured") < 8.1 + 2.0 && at("purged") < 8.2 + 2.0,
        "{} {}",
        at("configured"),
        at("purged")
    );
    assert!(
        at("configured") > 8.1 + 0.3,
        "the change waited for the edge's lease to expire"
    );
}

#[test]
fn paused_edge_sends_no_stale_response() {
    for seed in 1..6 {
        let mut faults = Vec::new();
        for round in 0..5u64 {
            let at = 8_000 + round * 5_000;
            faults.push((
                at,
                Fault::Pause(
                    NodeId::Edge(round as usize % 4),
                    Duration::from_millis(3_800),
                ),
            ));
            faults.push((at + 20, Fault::Content));
            faults.push((at + 21, Fault::Purge("/".into())));
        }
        check_rules(&run_small(seed, 45, faults), &[4]);
    }
}

/// Time from `after` to the end of the first successful request started later, in seconds.
fn first_served(report: &Report, entry: &str, after: f64) -> f64 {
    let ends = report
        .checker
        .clients
        .iter()
        .filter(|call| call.entry == entry && call.status == 200 && call.start > after)
        .map(|call| call.end);
    ends.min_by(f64::total_cmp).unwrap_or(f64::INFINITY) - after
}

#[test]
fn isolated_control_plane_fences_and_recovers() {
    let mut faults: Vec<(u64, Fault)> = CONTROL_NODES
        .into_iter()
        .map(|node_id| (10_000, Fault::Isolate(node_id)))
        .collect();
    faults.extend([
        (20_000, Fault::Heal),
        (20_000, Fault::Returned),
        (20_500, Fault::Configure),
        (23_000, Fault::ReadBack),
    ]);
    let report = run_small(2, 40, faults);
    check_rules(&report, &[1, 7, 12]);
    assert_eq!(served_share_within(&report, 11.1, 19.9), 0.0, "fenced");
    let back =
        ["listing", "availability", "reservation"].map(|entry| first_served(&report, entry, 20.0));
    println!("control plane isolated for 10 s; served again after {back:?} s");
    assert!(back.iter().all(|span| *span < 3.0), "{back:?}");
}

#[test]
fn service_survives_loss_of_half_the_edges() {
    let mut faults: Vec<(u64, Fault)> = [0, 2]
        .into_iter()
        .map(|at| (10_000, Fault::Kill(NodeId::Edge(at))))
        .collect();
    faults.extend([
        (10_100, Fault::Configure),
        (10_200, Fault::Content),
        (10_201, Fault::Purge("/".into())),
        (14_000, Fault::ReadBack),
    ]);
    let report = run_small(2, 30, faults);
    check_rules(&report, &[1, 4, 6, 7]);
    let settled = report
        .checker
        .fleet
        .iter()
        .rev()
        .find(|record| record.kind == "configured")
        .unwrap()
        .at
        - 10.1;
    let share = served_share_within(&report, 13.0, 20.0);
    println!(
        "half of the edges were killed; a change settled after {settled:.2} s, {share:.3} served from 3 s after"
    );
    assert!(settled < 2.0 && share > 0.99, "{settled} {share}");
}

#[test]
fn service_survives_loss_of_a_zone() {
    // Nodes of zone a: control node 0, edges 0 and 3.
    let zone = [NodeId::Control(0), NodeId::Edge(0), NodeId::Edge(3)];
    let mut faults: Vec<(u64, Fault)> = zone
        .into_iter()
        .map(|node_id| (10_000, Fault::Isolate(node_id)))
        .collect();
    faults.extend([
        (11_000, Fault::Configure),
        (12_000, Fault::Content),
        (12_001, Fault::Purge("/".into())),
        (25_000, Fault::Heal),
    ]);
    let report = run_small(3, 45, faults);
    check_rules(&report, &[1, 4, 6]);
    assert_served_more_than(0.99, &report, 14.0, 25.0, "from 14 s");
    assert_served_more_than(0.99, &report, 27.0, 38.0, "from 27 s");
}

#[test]
fn missing_mutual_contact_does_not_starve_partition() {
    // Control nodes 0 and 1 both reach node 2 and each considers itself the leader of many
    // partitions.
    let (one, two) = (NodeId::Control(0), NodeId::Control(1));
    let mut faults = vec![
        (8_000, Fault::DropLink(one, two)),
        (8_000, Fault::DropLink(two, one)),
        (28_000, Fault::Heal),
    ];
    faults.extend((0..6).map(|round| (10_000 + round * 3_000, Fault::Configure)));
    faults.push((30_000, Fault::ReadBack));
    let report = run_small(3, 45, faults);
    check_rules(&report, &[1, 6, 7]);
    let done = report
        .checker
        .fleet
        .iter()
        .filter(|record| record.kind == "configured")
        .count();
    assert!(done >= 6, "{done} of 7 changes were acknowledged");
    assert!(served_share(&report) > 0.97, "{}", served_share(&report));
}

/// A newly enrolled edge runs operations and is lost together with every control disk. The
/// remaining edges must detect that its state is missing.
#[test]
fn edge_lost_right_after_enrollment_is_accounted_for() {
    let mut ran = 0;
    for step in 0..40 {
        let at = 20_150 + step * 20;
        let mut faults = vec![
            (15_000, Fault::Kill(NodeId::Edge(0))),
            (20_000, Fault::Start(NodeId::Edge(0))),
            (at, Fault::Kill(NodeId::Edge(0))),
        ];
        for node_id in CONTROL_NODES {
            faults.extend([
                (at, Fault::Wipe(node_id)),
                (at + 1_000, Fault::Start(node_id)),
            ]);
        }
        let report = run_small(step + 1, 60, faults);
        check_rules(&report, &[1]);
        let edge = |call: &&ClientRecord| {
            call.operation.is_some()
                && call.edge.ends_with(":1000")
                && call.start > 20.0
                && call.start < at as f64 / 1000.0
        };
        ran += report.checker.clients.iter().filter(edge).count();
    }
    assert!(ran > 20, "{ran} operations were started at the new edge");
}
