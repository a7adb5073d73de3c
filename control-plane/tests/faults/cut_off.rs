//! A control node that is cut off neither hands out what may be old nor confirms nor refuses anything, and the
//! majority goes on without it.

use crate::cluster::{Cluster, address, put_entry, put_group, revision_of};
use kernel::prelude::*;

/// A node that noticed the cut answers within the same step.
const AT_ONCE: Duration = Duration::ZERO;
/// It notices after the span for which peers count as near, a grace and a tick.
const NOTICED: Duration = Duration::from_millis(1_200);
/// The majority takes over what the cut-off node led within this.
const TAKEOVER: Duration = Duration::from_millis(1_500);
const PATIENCE: Duration = Duration::from_secs(13);

fn settled(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Acknowledged { .. })
}

/// All that operators may ask.
fn asks(revision: u64) -> Vec<Change> {
    vec![
        Change::List,
        Change::GetConfiguration,
        put_group("s", revision),
        put_entry("missing", revision, "no-such-group"),
    ]
}

#[test]
fn a_node_that_is_cut_off_answers_at_once_that_it_cannot_know() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        for node in [leader, other] {
            cluster.isolate(node);
            cluster.run(NOTICED);
            for change in asks(1) {
                let (took, outcome) = cluster.answer(node, change.clone(), PATIENCE);
                assert_eq!(
                    outcome,
                    ChangeOutcome::NoMajority,
                    "{size} nodes: {change:?}"
                );
                assert_eq!(took, AT_ONCE, "{size} nodes: {change:?}");
            }
            cluster.heal();
            cluster.run(Duration::from_secs(4));
            let (_, outcome) = cluster.answer(node, put_group("s", 1), PATIENCE);
            assert!(settled(&outcome), "{size} nodes, joined again: {outcome:?}");
        }
    }
}

/// The call comes before the cut is noticed, and may already be on its way.
#[test]
fn a_call_that_meets_the_cut_is_neither_confirmed_nor_refused() {
    for size in [3, 5] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        for node in [leader, cluster.others(leader)[0]] {
            for change in asks(1) {
                cluster.isolate(node);
                let (took, outcome) = cluster.answer(node, change.clone(), PATIENCE);
                let known = matches!(outcome, ChangeOutcome::NoMajority | ChangeOutcome::Unknown);
                assert!(known, "{size} nodes, {change:?}: {outcome:?}");
                assert!(took <= NOTICED, "{size} nodes, {change:?}: {took:?}");
                cluster.heal();
                cluster.run(Duration::from_secs(4));
            }
        }
    }
}

#[test]
fn the_majority_goes_on_within_its_bound_and_the_old_leader_learns_of_it() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        for round in 1..=3 {
            let leader = cluster.leader(CONFIGURATION_PARTITION);
            let other = cluster.others(leader)[0];
            cluster.isolate(leader);
            let (took, outcome) = cluster.answer(other, put_group("s", round), PATIENCE);
            assert!(settled(&outcome), "{size} nodes: {outcome:?}");
            assert!(took <= TAKEOVER, "{size} nodes: {took:?}");
            cluster.run(Duration::from_secs(20));
            cluster.heal();
            let mut joined = || cluster.has_majority(leader);
            assert!(!joined(), "it hears of the end of the cut by messages");
            while !cluster.has_majority(leader) {
                cluster.run(Duration::from_millis(1));
            }
            let (_, outcome) = cluster.answer(leader, Change::List, PATIENCE);
            assert_eq!(revision_of(&outcome, "s"), Some(round), "{size} nodes");
            cluster.run(Duration::from_secs(3));
        }
    }
}

/// As soon as it is joined again, the old leader still thinks that it leads,
/// and its rows are old: it must not refuse an order for them.
#[test]
fn an_old_leader_does_not_refuse_for_what_it_missed() {
    for size in [3, 4, 5] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        cluster.isolate(leader);
        let (_, outcome) = cluster.answer(other, put_group("new", 1), PATIENCE);
        assert!(settled(&outcome), "{outcome:?}");
        cluster.heal();
        while !cluster.has_majority(leader) {
            cluster.run(Duration::from_millis(1));
        }
        let (_, outcome) = cluster.answer(leader, put_entry("e", 1, "new"), PATIENCE);
        assert!(settled(&outcome), "{size} nodes: {outcome:?}");
    }
}

#[test]
fn cuts_in_one_direction_count_as_cuts() {
    for size in [3, 4, 5, 8] {
        for deaf in [true, false] {
            let mut cluster = Cluster::start(size);
            let leader = cluster.leader(CONFIGURATION_PARTITION);
            for other in cluster.others(leader) {
                match deaf {
                    true => cluster.cut(other, leader),
                    false => cluster.cut(leader, other),
                }
            }
            let other = cluster.others(leader)[0];
            let (took, outcome) = cluster.answer(other, put_group("s", 1), PATIENCE);
            assert!(settled(&outcome), "{size} nodes, deaf {deaf}: {outcome:?}");
            assert!(took <= TAKEOVER, "{size} nodes, deaf {deaf}: {took:?}");
            cluster.run(NOTICED);
            let (took, outcome) = cluster.answer(leader, put_group("s", 2), PATIENCE);
            assert_eq!(
                outcome,
                ChangeOutcome::NoMajority,
                "{size} nodes, deaf {deaf}"
            );
            assert_eq!(took, AT_ONCE);
        }
    }
}

/// Where it still reaches somebody who reaches the majority, it forwards, and
/// all agree on the leader.
#[test]
fn a_node_cut_from_the_leader_alone_forwards_and_nobody_takes_over() {
    for size in [3, 4, 5, 8] {
        let mut cluster = Cluster::start(size);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let other = cluster.others(leader)[0];
        cluster.cut_both_ways(leader, other);
        let takeovers = cluster.takeovers;
        cluster.run(Duration::from_secs(2));
        for round in 1..=20 {
            let (took, outcome) = cluster.answer(other, put_group("s", round), PATIENCE);
            assert!(settled(&outcome), "{size} nodes: {outcome:?}");
            assert!(took < Duration::from_millis(300), "{size} nodes: {took:?}");
            cluster.run(Duration::from_secs(1));
        }
        assert_eq!(cluster.takeovers, takeovers, "{size} nodes");
    }
}

#[test]
fn restarts_of_either_side_during_the_cut_change_nothing() {
    for restarted_is_cut_off in [true, false] {
        let mut cluster = Cluster::start(3);
        let leader = cluster.leader(CONFIGURATION_PARTITION);
        let others = cluster.others(leader);
        let (_, outcome) = cluster.answer(leader, put_group("s", 1), PATIENCE);
        assert!(settled(&outcome));
        cluster.isolate(leader);
        cluster.run(Duration::from_secs(2));
        match restarted_is_cut_off {
            true => cluster.restart(leader),
            false => others.iter().for_each(|node| cluster.restart(*node)),
        }
        cluster.run(Duration::from_secs(3));
        let (_, outcome) = cluster.answer(leader, Change::List, PATIENCE);
        assert_eq!(outcome, ChangeOutcome::NoMajority);
        let (_, outcome) = cluster.answer(others[0], put_group("s", 2), PATIENCE);
        assert!(settled(&outcome), "{outcome:?}");
        cluster.heal();
        cluster.run(Duration::from_secs(2));
        for node in 0..3 {
            let (_, outcome) = cluster.answer(node, Change::List, PATIENCE);
            assert_eq!(revision_of(&outcome, "s"), Some(2), "{}", address(node));
        }
    }
}
