//! Exhaustive, bounded search of replication: three slots, few rows, messages in any order or lost, crashes, one wiped
//! disk, one replaced member. Each search is repeated with a safeguard disabled, and must then find a violation.

use crate::model::cluster::{Budget, Cluster};
use crate::model::safeguard::Safeguard;
use crate::model::search::search;
use kernel::prelude::*;

/// A ledger partition; its rows are not shown to edges.
const LEDGER: u8 = PUBLISHED_PARTITIONS;
/// Number of members.
const SLOTS: usize = 3;

/// Maximum number of states of a scenario that is searched completely.
const MAX_STATES: usize = 1_000_000;

/// A leader writes while another takes over the partition and writes.
fn takeover(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, LEDGER)])
        .with(Budget {
            elections: vec![(1, LEDGER)],
            writes: vec![(0, LEDGER), (1, LEDGER)],
            ..Budget::default()
        })
}

/// A leader is read from while another takes over the partition and writes.
fn read_during_takeover(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, LEDGER)])
        .with(Budget {
            elections: vec![(1, LEDGER)],
            writes: vec![(1, LEDGER)],
            reads: vec![(0, LEDGER)],
            ..Budget::default()
        })
}

/// A row reached one disk; two leaders follow.
fn two_takeovers(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, LEDGER)])
        .written(0, LEDGER, &[])
        .with(Budget {
            elections: vec![(1, LEDGER), (2, LEDGER)],
            ..Budget::default()
        })
}

/// A leader restarts while it takes over the partition and writes.
fn leader_crash(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .with(Budget {
            elections: vec![(0, LEDGER), (0, LEDGER)],
            writes: vec![(0, LEDGER), (0, LEDGER)],
            crashes: vec![0],
            ..Budget::default()
        })
}

/// A replica restarts, and then leads.
fn replica_crash(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, LEDGER)])
        .with(Budget {
            elections: vec![(1, LEDGER)],
            writes: vec![(0, LEDGER)],
            crashes: vec![1],
            ..Budget::default()
        })
}

/// A leader that has its promises sends its state twice and writes a row; then another leads.
fn retransmission(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .promised(0, LEDGER)
        .with(Budget {
            elections: vec![(1, LEDGER)],
            writes: vec![(0, LEDGER)],
            retries: vec![0],
            ..Budget::default()
        })
        .with_blocked_links(&[(0, 2)])
}

/// A row is in flight while a disk is wiped and recovered, which then leads.
fn recovery(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .established(&[(0, LEDGER)])
        .with(Budget {
            elections: vec![(1, LEDGER)],
            writes: vec![(0, LEDGER)],
            wipes: vec![1],
            ..Budget::default()
        })
}

/// Two rows are in flight while a disk is wiped and recovered.
fn recovery_between_writes(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .established(&[(0, LEDGER)])
        .with(Budget {
            writes: vec![(0, LEDGER), (0, LEDGER)],
            wipes: vec![1],
            ..Budget::default()
        })
}

/// A member is replaced while it leads; the joiner leads next.
fn replacement(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, MEMBERSHIP_PARTITION), (1, LEDGER)])
        .with(Budget {
            elections: vec![(3, LEDGER)],
            writes: vec![(1, LEDGER)],
            replacements: vec![0],
            ..Budget::default()
        })
}
/// A member that holds an acknowledged row was replaced; the joiner, which is not recovered yet, leads as soon as it
/// may.
fn joiner_leads(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .with_known_members()
        .established(&[(0, MEMBERSHIP_PARTITION), (1, LEDGER)])
        .written(1, LEDGER, &[0])
        .replaced(0, &[1])
        .with(Budget {
            elections: vec![(3, LEDGER)],
            ..Budget::default()
        })
}

/// A disk that holds an acknowledged row is wiped and leads as soon as it may.
fn wiped_disk_leads(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(SLOTS, disabled)
        .established(&[(0, LEDGER)])
        .written(0, LEDGER, &[1])
        .with(Budget {
            elections: vec![(1, LEDGER)],
            wipes: vec![1],
            ..Budget::default()
        })
}

/// Of five members one was replaced. Node 4 did not receive the new table and writes; it reaches node 0 and the removed
/// node 1. The joiner, recovered from nodes 0, 2 and 3, leads and reaches nodes 2 and 3. (Of three members, two
/// majorities always share a member that uses the new table.)
fn leader_with_stale_table(disabled: Option<Safeguard>) -> Cluster {
    Cluster::new(5, disabled)
        .established(&[(4, LEDGER)])
        .established_without((0, MEMBERSHIP_PARTITION), 1)
        .replaced(0, &[1, 4])
        .with_blocked_links(&[(4, 2), (4, 3), (4, 5), (1, 0), (1, 2), (1, 3), (1, 5)])
        .with(Budget {
            elections: vec![(5, LEDGER)],
            writes: vec![(4, LEDGER)],
            ..Budget::default()
        })
}

/// Two of four members are lost for good while one of them writes. The first survivor replaces them by two joiners, and
/// the first joiner, recovered from the survivors, leads. Messages of the lost members may still reach the survivors.
fn succession_of_two_of_four(disabled: Option<Safeguard>) -> Cluster {
    Cluster::of_four_with_two_joiners(disabled)
        .established(&[(3, LEDGER)])
        .with_blocked_links(&[(4, 2), (4, 3), (4, 5), (5, 0), (5, 1), (5, 2), (5, 3)])
        .with(Budget {
            elections: vec![(4, LEDGER)],
            writes: vec![(3, LEDGER)],
            successions: vec![0],
            ..Budget::default()
        })
}

/// A row of a lost leader reached one survivor, which restarts while the lost members are replaced.
fn survivor_restarts_during_succession(disabled: Option<Safeguard>) -> Cluster {
    Cluster::of_four_with_two_joiners(disabled)
        .established(&[(3, LEDGER)])
        .written(3, LEDGER, &[1, 2])
        .with_blocked_links(&[(4, 5), (5, 0), (5, 1), (2, 0), (2, 1), (3, 0), (3, 1)])
        .with(Budget {
            elections: vec![(4, LEDGER)],
            successions: vec![0],
            crashes: vec![1],
            retries: vec![4],
            ..Budget::default()
        })
}

/// Members considered lost return: the earlier leader writes and reaches one survivor, while a successor leads with the
/// other survivor.
fn earlier_leader_after_succession(disabled: Option<Safeguard>) -> Cluster {
    Cluster::of_four_with_two_joiners(disabled)
        .established(&[(3, LEDGER)])
        .succeeded(0)
        .with_blocked_links(&[(4, 1), (5, 1), (3, 0), (2, 0), (4, 2), (4, 3)])
        .with(Budget {
            elections: vec![(4, LEDGER)],
            writes: vec![(3, LEDGER)],
            ..Budget::default()
        })
}

type Scenario = fn(Option<Safeguard>) -> Cluster;

/// Asserts that all states of the scenario satisfy the invariants; prints their number.
fn assert_safe(name: &str, scenario: Scenario) {
    let result = search(scenario(None), MAX_STATES);
    println!(
        "{name}: {} states, {} transitions",
        result.states, result.transitions
    );
    assert_eq!(result.violation, None);
    assert!(result.complete, "more than {MAX_STATES} states");
}

/// Asserts that without the safeguard some state violates an invariant; prints the path to it.
fn assert_violated(name: &str, scenario: Scenario, disabled: Safeguard) {
    let result = search(scenario(Some(disabled)), MAX_STATES);
    let trace = result.violation.unwrap_or_default();
    println!(
        "{name} without {disabled:?}: {} states\n{trace}",
        result.states
    );
    assert!(
        !trace.is_empty(),
        "{name} does not notice that {disabled:?} is missing"
    );
}

#[test]
fn acknowledged_row_survives_leader_change() {
    assert_safe("takeover", takeover);
    assert_violated("takeover", takeover, Safeguard::PromiseCheckedOnAppend);
}

#[test]
fn read_includes_previously_acknowledged_rows() {
    assert_safe("read during takeover", read_during_takeover);
    assert_violated(
        "read during takeover",
        read_during_takeover,
        Safeguard::ReadConfirmedByRound,
    );
}

#[test]
fn adopted_and_read_row_survives_leader_change() {
    assert_safe("two takeovers", two_takeovers);
    let disabled = Safeguard::StateRewrittenBeforeServing;
    assert_violated("two takeovers", two_takeovers, disabled);
}

#[test]
fn restarted_leader_takes_new_epoch() {
    assert_safe("leader crash", leader_crash);
    assert_violated(
        "leader crash",
        leader_crash,
        Safeguard::OwnPromiseStoredFirst,
    );
}

#[test]
fn restarted_replica_retains_acknowledged_rows() {
    assert_safe("replica crash", replica_crash);
    assert_violated("replica crash", replica_crash, Safeguard::ReplyAfterSync);
}

#[test]
fn late_append_does_not_regress_replica() {
    assert_safe("retransmission", retransmission);
    let disabled = Safeguard::OutdatedAppendIgnored;
    assert_violated("retransmission", retransmission, disabled);
}

#[test]
fn recovered_disk_contains_rows_its_predecessor_acknowledged() {
    assert_safe("recovery", recovery);
    assert_violated("recovery", recovery, Safeguard::SecondRecoveryRound);
}

#[test]
fn wiped_disk_acknowledgement_is_not_counted() {
    assert_violated("recovery", recovery, Safeguard::RetiredIncarnationsIgnored);
}

#[test]
fn recovered_disk_rejects_append_for_predecessor() {
    assert_safe("recovery between writes", recovery_between_writes);
    let disabled = Safeguard::GapRefused;
    assert_violated("recovery between writes", recovery_between_writes, disabled);
}

#[test]
fn blank_disk_does_not_vote() {
    assert_safe("wiped disk leads", wiped_disk_leads);
    let disabled = Safeguard::BlankDiskExcluded;
    assert_violated("wiped disk leads", wiped_disk_leads, disabled);
}

#[test]
fn member_is_replaced_while_leading() {
    assert_safe("replacement", replacement);
}

#[test]
fn joiner_does_not_count_before_recovery() {
    assert_safe("joiner leads", joiner_leads);
    assert_violated("joiner leads", joiner_leads, Safeguard::JoinerExcluded);
}

#[test]
fn leader_with_stale_table_gets_no_acknowledgement() {
    assert_safe("leader with stale table", leader_with_stale_table);
    let disabled = Safeguard::MembershipVersionFences;
    assert_violated("leader with stale table", leader_with_stale_table, disabled);
}

/// Regression: after two of four control nodes were lost for good there was no majority, and nothing could be read or
/// changed any more. The nodes that replace them hold all acknowledged rows.
#[test]
fn successors_of_two_lost_members_hold_acknowledged_rows() {
    assert_safe("succession of two of four", succession_of_two_of_four);
}

#[test]
fn earlier_leader_commits_nothing_after_succession() {
    let name = "earlier leader after succession";
    assert_safe(name, earlier_leader_after_succession);
    let disabled = Safeguard::SurvivorAbandonsEarlierTable;
    assert_violated(name, earlier_leader_after_succession, disabled);
}

#[test]
fn succession_survives_restart_of_a_survivor() {
    assert_safe(
        "a survivor restarts during succession",
        survivor_restarts_during_succession,
    );
}
