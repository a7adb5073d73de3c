//! Tests of `partition_leader`.
use crate::prelude::*;

const ZERO: Duration = Duration::ZERO;

/// Returns a leader with the promises of two of three slots.
fn active_leader() -> PartitionLeader {
    let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, 3, 0);
    leader.on_prepare_reply(ZERO, 0, PreparedState::Newer(PartitionState::default()));
    leader.on_prepare_reply(ZERO, 1, PreparedState::Newer(PartitionState::default()));
    leader
}

fn value(change: u64) -> Value {
    Value::Purge {
        purge: Purge {
            prefix: Some("/".into()),
            ..Purge::default()
        },
        change,
    }
}

fn append_reply(round: u64, synced_version: u64, confirmed: u64) -> AppendReply {
    AppendReply {
        partition: PURGES_PARTITION,
        epoch: 3,
        round,
        synced_version,
        sessions_confirmed: Some(confirmed),
        retired_incarnations: vec![],
    }
}

#[test]
fn highest_epoch_then_version_is_adopted() {
    let state = |epoch, version| {
        let rows = [(
            "k".to_string(),
            Row {
                version,
                value: value(epoch),
            },
        )]
        .into();
        PartitionState {
            epoch,
            version,
            published: 0,
            rows,
        }
    };
    let mut leader = PartitionLeader::new(PURGES_PARTITION, 9, 3, 0);
    leader.on_prepare_reply(ZERO, 2, PreparedState::Newer(state(5, 4)));
    assert!(
        leader.active_since.is_none(),
        "one promise is not a majority"
    );
    leader.on_prepare_reply(ZERO, 0, PreparedState::Newer(state(6, 2)));
    assert_eq!(leader.rows["k"].value, value(6));
    assert!(
        !leader.is_ready(),
        "the adopted state is not stored under the new epoch yet"
    );
}

#[test]
fn prepare_is_retried_after_interval() {
    let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, 3, 0);
    let message_counts: Vec<usize> = (0..10)
        .map(|tick| {
            leader
                .due_messages(Duration::from_millis(tick * 100), true)
                .len()
        })
        .collect();
    assert_eq!(message_counts, [3, 0, 0, 0, 3, 0, 0, 0, 3, 0]);
}

/// Delivers replies of all three replicas of a ledger partition that synced this version, in this round.
fn ledger_replies_from_all(leader: &mut PartitionLeader, round: u64, version: u64) {
    for slot in 0..3 {
        let reply = AppendReply {
            partition: PUBLISHED_PARTITIONS,
            ..append_reply(round, version, 0)
        };
        leader.on_append_reply(slot, &reply);
    }
}

#[test]
fn ledger_sends_missing_rows_and_one_round_a_second() {
    let at = Duration::from_millis;
    let mut leader = PartitionLeader {
        partition: PUBLISHED_PARTITIONS,
        ..active_leader()
    };
    assert_eq!(
        leader.due_messages(at(1000), true).len(),
        3,
        "the adopted state"
    );
    ledger_replies_from_all(&mut leader, 1, 0);
    assert!(
        (1100..2000)
            .step_by(100)
            .all(|ms| leader.due_messages(at(ms), true).is_empty())
    );
    assert_eq!(leader.due_messages(at(2000), true).len(), 3);
    ledger_replies_from_all(&mut leader, 2, 0);
    leader.put("k".into(), value(1));
    assert_eq!(leader.due_messages(at(2010), false).len(), 3);
    ledger_replies_from_all(&mut leader, 2, 1);
    assert_eq!(leader.committed(), 1);
    assert!(
        leader.due_messages(at(2020), true).is_empty(),
        "the commit is reported with the next round"
    );
}

#[test]
fn commit_needs_two_disks_and_settle_two_confirmed_nodes() {
    let mut leader = active_leader();
    let version = leader.put("k".into(), value(1));
    leader.due_messages(ZERO, true);
    leader.on_append_reply(0, &append_reply(1, 1, 0));
    assert_eq!(leader.committed(), 0);
    leader.on_append_reply(2, &append_reply(1, 1, 0));
    assert_eq!((leader.committed(), leader.settled()), (version, 0));
    leader.on_append_reply(0, &append_reply(2, 1, 1));
    assert_eq!(leader.settled(), 0);
    leader.on_append_reply(2, &append_reply(2, 1, 1));
    assert_eq!(leader.settled(), version);
}

#[test]
fn quorum_is_three_of_four_and_five_of_eight() {
    for (slots, quorum) in [(4, 3), (5, 3), (8, 5)] {
        let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, slots, 0);
        for slot in 0..quorum {
            assert!(leader.active_since.is_none(), "{slot} of {slots} promised");
            leader.on_prepare_reply(ZERO, slot, PreparedState::Newer(PartitionState::default()));
        }
        assert!(leader.active_since.is_some());
        let version = leader.put("k".into(), value(1));
        leader.due_messages(ZERO, true);
        for slot in 0..quorum {
            assert_eq!(
                (
                    leader.committed(),
                    leader.settled(),
                    leader.confirmed_round()
                ),
                (0, 0, 0),
                "{slot} of {slots}"
            );
            leader.on_append_reply(slots as u8 - 1 - slot, &append_reply(1, 1, 1));
        }
        assert_eq!(
            (
                leader.committed(),
                leader.settled(),
                leader.confirmed_round()
            ),
            (version, version, 1)
        );
    }
}

#[test]
fn reset_replica_does_not_count_toward_commit() {
    let mut leader = active_leader();
    leader.put("k".into(), value(1));
    leader.due_messages(ZERO, true);
    leader.on_append_reply(0, &append_reply(1, 1, 1));
    leader.reset_replica(0);
    leader.on_append_reply(1, &append_reply(1, 1, 1));
    assert_eq!((leader.committed(), leader.settled()), (0, 0));
}

#[test]
fn writes_during_in_flight_append_are_batched() {
    let mut leader = active_leader();
    assert_eq!(leader.due_messages(ZERO, true).len(), 3);
    for change in 0..20 {
        leader.put(format!("k{change}"), value(change));
        assert!(leader.due_messages(ZERO, false).is_empty());
    }
    leader.on_append_reply(0, &append_reply(1, 0, 0));
    let messages = leader.due_messages(ZERO, false);
    let [(0, Message::AppendRequest(request))] = messages.as_slice() else {
        panic!("{messages:?}")
    };
    assert_eq!(
        (
            request.rows.len(),
            request.after_version,
            request.to_version
        ),
        (20, 0, 20)
    );
}
