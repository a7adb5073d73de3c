//! Tests of isolated control nodes: they serve no stale state and neither confirm nor refuse changes, while the
//! majority continues without them.

use crate::cluster::{Cluster, address, put_entry, put_group, revision_of};
use kernel::prelude::*;

/// Response time of a node that has detected its isolation: it replies within the same step.
const IMMEDIATELY: Duration = Duration::ZERO;
/// Time within which a node detects its isolation: the timeout of its peers, a grace period and a tick.
const DETECTION_TIME: Duration = Duration::from_millis(1_200);
/// Time within which the majority takes over the partitions that the isolated node led.
const TAKEOVER_TIME: Duration = Duration::from_millis(1_500);
/// Maximum time to wait for the outcome of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(13);

fn is_acknowledged(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Acknowledged { .. })
}

/// Returns a change of each kind that operators request.
fn operator_changes(revision: u64) -> Vec<Change> {
    vec![
        Change::List,
        Change::GetConfiguration,
        put_group("s", revision),
        put_entry("missing", revision, "no-such-group"),
    ]
}

#[test]
fn isolated_node_reports_no_majority_at_once() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        for node in [leader, other] {
            cluster.isolate(node);
            cluster.run(DETECTION_TIME);
            for change in operator_changes(1) {
                let (elapsed, outcome) = cluster.response(node, change.clone(), CALL_TIMEOUT);
                assert_eq!(
                    outcome,
                    ChangeOutcome::NoMajority,
                    "{size} nodes: {change:?}"
                );
                assert_eq!(elapsed, IMMEDIATELY, "{size} nodes: {change:?}");
            }
            cluster.heal();
            cluster.run(Duration::from_secs(4));
            let (_, outcome) = cluster.response(node, put_group("s", 1), CALL_TIMEOUT);
            assert!(
                is_acknowledged(&outcome),
                "{size} nodes, reconnected: {outcome:?}"
            );
        }
    }
}

/// The call is made before the isolation is detected, so it may already be in flight.
#[test]
fn call_during_isolation_has_unknown_outcome() {
    for size in [3, 5] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        for node in [leader, cluster.others(leader)[0]] {
            for change in operator_changes(1) {
                cluster.isolate(node);
                let (elapsed, outcome) = cluster.response(node, change.clone(), CALL_TIMEOUT);
                let is_undecided =
                    matches!(outcome, ChangeOutcome::NoMajority | ChangeOutcome::Unknown);
                assert!(is_undecided, "{size} nodes, {change:?}: {outcome:?}");
                assert!(
                    elapsed <= DETECTION_TIME,
                    "{size} nodes, {change:?}: {elapsed:?}"
                );
                cluster.heal();
                cluster.run(Duration::from_secs(4));
            }
        }
    }
}

#[test]
fn majority_takes_over_in_time_and_old_leader_catches_up() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        for round in 1..=3 {
            let leader = cluster.leader(CONFIGURATION_PARTITION);
            let other = cluster.others(leader)[0];
            cluster.isolate(leader);
            let (elapsed, outcome) = cluster.response(other, put_group("s", round), CALL_TIMEOUT);
            assert!(is_acknowledged(&outcome), "{size} nodes: {outcome:?}");
            assert!(elapsed <= TAKEOVER_TIME, "{size} nodes: {elapsed:?}");
            cluster.run(Duration::from_secs(20));
            cluster.heal();
            let mut sees_majority = || cluster.has_majority(leader);
            assert!(
                !sees_majority(),
                "messages must arrive before the node detects the end of the partition"
            );
            while !cluster.has_majority(leader) {
                cluster.run(Duration::from_millis(1));
            }
            let (_, outcome) = cluster.response(leader, Change::List, CALL_TIMEOUT);
            assert_eq!(revision_of(&outcome, "s"), Some(round), "{size} nodes");
            cluster.run(Duration::from_secs(3));
        }
    }
}

/// Once connected again, the old leader still considers itself the leader, and its rows are stale: it must not refuse a
/// change because of them.
#[test]
fn rejoined_leader_does_not_refuse_by_stale_rows() {
    for size in [3, 4, 5] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        cluster.isolate(leader);
        let (_, outcome) = cluster.response(other, put_group("new", 1), CALL_TIMEOUT);
        assert!(is_acknowledged(&outcome), "{outcome:?}");
        cluster.heal();
        while !cluster.has_majority(leader) {
            cluster.run(Duration::from_millis(1));
        }
        let (_, outcome) = cluster.response(leader, put_entry("e", 1, "new"), CALL_TIMEOUT);
        assert!(is_acknowledged(&outcome), "{size} nodes: {outcome:?}");
    }
}

#[test]
fn one_way_partition_isolates_leader() {
    for size in [3, 4, 5, 8] {
        for inbound in [true, false] {
            let mut cluster = Cluster::start(size);
            let leader = cluster.leader(CONFIGURATION_PARTITION);
            for other in cluster.others(leader) {
                match inbound {
                    true => cluster.block(other, leader),
                    false => cluster.block(leader, other),
                }
            }
            let other = cluster.others(leader)[0];
            let (elapsed, outcome) = cluster.response(other, put_group("s", 1), CALL_TIMEOUT);
            assert!(
                is_acknowledged(&outcome),
                "{size} nodes, inbound blocked: {inbound}: {outcome:?}"
            );
            assert!(
                elapsed <= TAKEOVER_TIME,
                "{size} nodes, inbound blocked: {inbound}: {elapsed:?}"
            );
            cluster.run(DETECTION_TIME);
            let (elapsed, outcome) = cluster.response(leader, put_group("s", 2), CALL_TIMEOUT);
            assert_eq!(
                outcome,
                ChangeOutcome::NoMajority,
                "{size} nodes, inbound blocked: {inbound}"
            );
            assert_eq!(elapsed, IMMEDIATELY);
        }
    }
}

/// A node that still reaches a member in contact with the majority forwards calls through it, and all nodes agree on
/// the leader.
#[test]
fn node_partitioned_from_leader_forwards_without_takeover() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        cluster.block_both_ways(leader, other);
        let takeovers = cluster.takeovers;
        cluster.run(Duration::from_secs(2));
        for round in 1..=20 {
            let (elapsed, outcome) = cluster.response(other, put_group("s", round), CALL_TIMEOUT);
            assert!(is_acknowledged(&outcome), "{size} nodes: {outcome:?}");
            assert!(
                elapsed < Duration::from_millis(300),
                "{size} nodes: {elapsed:?}"
            );
            cluster.run(Duration::from_secs(1));
        }
        assert_eq!(cluster.takeovers, takeovers, "{size} nodes");
    }
}

#[test]
fn restart_during_partition_changes_nothing() {
    for restarted_is_isolated in [true, false] {
        let mut cluster = Cluster::start(3);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let others = cluster.others(leader);
        let (_, outcome) = cluster.response(leader, put_group("s", 1), CALL_TIMEOUT);
        assert!(is_acknowledged(&outcome));
        cluster.isolate(leader);
        cluster.run(Duration::from_secs(2));
        match restarted_is_isolated {
            true => cluster.restart(leader),
            false => others.iter().for_each(|node| cluster.restart(*node)),
        }
        cluster.run(Duration::from_secs(3));
        let (_, outcome) = cluster.response(leader, Change::List, CALL_TIMEOUT);
        assert_eq!(outcome, ChangeOutcome::NoMajority);
        let (_, outcome) = cluster.response(others[0], put_group("s", 2), CALL_TIMEOUT);
        assert!(is_acknowledged(&outcome), "{outcome:?}");
        cluster.heal();
        cluster.run(Duration::from_secs(2));
        for node in 0..3 {
            let (_, outcome) = cluster.response(node, Change::List, CALL_TIMEOUT);
            assert_eq!(revision_of(&outcome, "s"), Some(2), "{}", address(node));
        }
    }
}
