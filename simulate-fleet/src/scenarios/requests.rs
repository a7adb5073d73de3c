//! Requests during restarts, overload, origin failures and purges.
use super::*;

#[test]
fn rolling_restart_drops_no_request() {
    let mut faults = Vec::new();
    for (at, node_id) in CONTROL_NODES
        .into_iter()
        .chain((0..4).map(NodeId::Edge))
        .enumerate()
    {
        faults.push((8_000 + at as u64 * 5_000, Fault::Restart(node_id)));
    }
    let report = run_small(6, 60, faults);
    check_rules(&report, &[11]);
    assert!(report.checker.clients.iter().all(|call| !call.dropped));
    assert!(served_share(&report) > 0.995, "{}", served_share(&report));
}

#[test]
fn failing_origins_run_key_at_most_once() {
    let faults = vec![
        (8_000, Fault::Origin(2, OriginBehavior::Mute)),
        (8_000, Fault::Origin(3, OriginBehavior::Mute)),
        (8_700, Fault::Origin(3, OriginBehavior::Good)),
        (13_000, Fault::Origin(2, OriginBehavior::Good)),
        (14_000, Fault::Origin(3, OriginBehavior::WrongBytes)),
        (18_000, Fault::Origin(3, OriginBehavior::Good)),
        (19_000, Fault::Origin(2, OriginBehavior::Down)),
        (23_000, Fault::Origin(2, OriginBehavior::Good)),
        (24_000, Fault::Origin(0, OriginBehavior::Slow)),
        (28_000, Fault::Origin(0, OriginBehavior::Good)),
        (30_000, Fault::Replace(2)),
        (34_000, Fault::DrainOrigin(3)),
        (38_000, Fault::Origin(3, OriginBehavior::Down)),
    ];
    let report = run_small(7, 55, faults);
    check_rules(&report, &[1, 3, 8]);
    assert!(served_share(&report) > 0.95, "{}", served_share(&report));
    let unknown = report
        .checker
        .clients
        .iter()
        .filter(|call| call.outcome == "unknown")
        .count();
    assert!(unknown > 0, "no request had an unknown outcome");
}

#[test]
fn reassigned_origin_address_gets_no_request() {
    for seed in 1..8 {
        let faults = vec![
            (9_000, Fault::Origin(3, OriginBehavior::Down)),
            (9_400, Fault::ReuseAddress(3)),
            (9_401, Fault::Origin(3, OriginBehavior::Good)),
        ];
        check_rules(&run_small(seed, 30, faults), &[3]);
    }
}

#[test]
fn overload_serves_high_rank_and_rejects_low_at_once() {
    let mut deployment = Deployment::find("small").unwrap();
    deployment.rate = 120;
    // Applications receive 36 requests per second, 18 of them with rank 9.
    deployment.services[1].rate = 11.0;
    let report = World::new(WorldPlan::new(
        deployment,
        9,
        Duration::from_secs(40),
        vec![],
    ))
    .run();
    check_rules(&report, &[10]);
    let share = |rank: u32| {
        let calls: Vec<_> = report
            .checker
            .clients
            .iter()
            .filter(|call| call.rank == rank && call.entry != "listing")
            .collect();
        calls.iter().filter(|call| call.status == 200).count() as f64 / calls.len() as f64
    };
    assert!(share(9) > 0.95, "rank 9: {}", share(9));
    assert!(share(5) < 0.6, "rank 5: {}", share(5));
    for call in report
        .checker
        .clients
        .iter()
        .filter(|call| call.status == 429)
    {
        assert_eq!(call.outcome, "not_run");
    }
    let waited = |call: &&ClientRecord| call.status == 429 && call.end - call.start > 3.5;
    let late = report.checker.clients.iter().filter(waited).count();
    let rejected = report
        .checker
        .clients
        .iter()
        .filter(|call| call.status == 429)
        .count();
    assert!(
        late * 10 < rejected,
        "{late} of {rejected} were rejected only near their deadline"
    );
}

#[test]
fn purge_burst_settles_and_lagging_edge_serves_nothing_stale() {
    let mut faults = vec![(8_000, Fault::Isolate(NodeId::Edge(1)))];
    for round in 0..1500u64 {
        let at = 9_000 + round * 2;
        if round % 100 == 0 {
            faults.push((at, Fault::Content));
        }
        faults.push((at + 1, Fault::Purge(format!("/listing/{}", round % 20))));
    }
    faults.push((13_000, Fault::Heal));
    let report = run_small(4, 35, faults);
    check_rules(&report, &[4]);
    let purged: Vec<&FleetRecord> = report
        .checker
        .fleet
        .iter()
        .filter(|record| record.kind == "purged")
        .collect();
    assert_eq!(
        purged.iter().filter(|record| record.as_expected).count(),
        1500
    );
    assert!(
        report.log_bytes < 12 << 20,
        "{} bytes of log",
        report.log_bytes
    );
}
