//! Tests of `partition_leader`.
use crate::prelude::*;

const ZERO: Duration = Duration::ZERO;

fn active() -> PartitionLeader {
    let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, 3, 0);
    leader.raised(ZERO, 0, PreparedState::Newer(PartitionState::default()));
    leader.raised(ZERO, 1, PreparedState::Newer(PartitionState::default()));
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

fn kept(round: u64, to: u64, clear: u64) -> AppendReply {
    AppendReply {
        partition: PURGES_PARTITION,
        epoch: 3,
        round,
        synced_version: to,
        sessions_confirmed: Some(clear),
        retired_incarnations: vec![],
    }
}

#[test]
fn the_image_with_the_highest_epoch_then_version_is_adopted() {
    let image = |epoch, version| {
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
    leader.raised(ZERO, 2, PreparedState::Newer(image(5, 4)));
    assert!(leader.active_since.is_none(), "one promise is no majority");
    leader.raised(ZERO, 0, PreparedState::Newer(image(6, 2)));
    assert_eq!(leader.rows["k"].value, value(6));
    assert!(!leader.ready(), "the image is not rewritten yet");
}

#[test]
fn promises_are_asked_for_again_only_when_an_image_has_had_time_to_come() {
    let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, 3, 0);
    let said: Vec<usize> = (0..10)
        .map(|tick| leader.flush(Duration::from_millis(tick * 100), true).len())
        .collect();
    assert_eq!(said, [3, 0, 0, 0, 3, 0, 0, 0, 3, 0]);
}

#[test]
fn a_ledger_has_no_rounds_but_for_what_it_lacks_and_once_a_second() {
    let at = Duration::from_millis;
    let mut leader = PartitionLeader {
        partition: PUBLISHED_PARTITIONS,
        ..active()
    };
    assert_eq!(leader.flush(at(1000), true).len(), 3, "the adopted image");
    for slot in 0..3 {
        leader.kept(
            slot,
            &AppendReply {
                partition: PUBLISHED_PARTITIONS,
                ..kept(1, 0, 0)
            },
        );
    }
    assert!(
        (1100..2000)
            .step_by(100)
            .all(|ms| leader.flush(at(ms), true).is_empty())
    );
    assert_eq!(leader.flush(at(2000), true).len(), 3);
    for slot in 0..3 {
        leader.kept(
            slot,
            &AppendReply {
                partition: PUBLISHED_PARTITIONS,
                ..kept(2, 0, 0)
            },
        );
    }
    leader.put("k".into(), value(1));
    assert_eq!(leader.flush(at(2010), false).len(), 3);
    for slot in 0..3 {
        leader.kept(
            slot,
            &AppendReply {
                partition: PUBLISHED_PARTITIONS,
                ..kept(2, 1, 0)
            },
        );
    }
    assert_eq!(leader.committed(), 1);
    assert!(
        leader.flush(at(2020), true).is_empty(),
        "that it is on a majority can wait"
    );
}

#[test]
fn committed_needs_two_disks_and_settled_two_clear_nodes() {
    let mut leader = active();
    let version = leader.put("k".into(), value(1));
    leader.flush(ZERO, true);
    leader.kept(0, &kept(1, 1, 0));
    assert_eq!(leader.committed(), 0);
    leader.kept(2, &kept(1, 1, 0));
    assert_eq!((leader.committed(), leader.settled()), (version, 0));
    leader.kept(0, &kept(2, 1, 1));
    assert_eq!(leader.settled(), 0);
    leader.kept(2, &kept(2, 1, 1));
    assert_eq!(leader.settled(), version);
}

#[test]
fn of_four_three_must_hold_it_and_of_eight_five() {
    for (slots, most) in [(4, 3), (5, 3), (8, 5)] {
        let mut leader = PartitionLeader::new(PURGES_PARTITION, 3, slots, 0);
        for slot in 0..most {
            assert!(leader.active_since.is_none(), "{slot} of {slots} promised");
            leader.raised(ZERO, slot, PreparedState::Newer(PartitionState::default()));
        }
        assert!(leader.active_since.is_some());
        let version = leader.put("k".into(), value(1));
        leader.flush(ZERO, true);
        for slot in 0..most {
            assert_eq!(
                (
                    leader.committed(),
                    leader.settled(),
                    leader.confirmed_round()
                ),
                (0, 0, 0),
                "{slot} of {slots}"
            );
            leader.kept(slots as u8 - 1 - slot, &kept(1, 1, 1));
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
fn a_replaced_disk_no_longer_counts() {
    let mut leader = active();
    leader.put("k".into(), value(1));
    leader.flush(ZERO, true);
    leader.kept(0, &kept(1, 1, 1));
    leader.forget(0);
    leader.kept(1, &kept(1, 1, 1));
    assert_eq!((leader.committed(), leader.settled()), (0, 0));
}

#[test]
fn what_gathers_while_a_message_is_under_way_goes_in_one() {
    let mut leader = active();
    assert_eq!(leader.flush(ZERO, true).len(), 3);
    for change in 0..20 {
        leader.put(format!("k{change}"), value(change));
        assert!(leader.flush(ZERO, false).is_empty());
    }
    leader.kept(0, &kept(1, 0, 0));
    let out = leader.flush(ZERO, false);
    let [(0, Message::AppendRequest(keep))] = out.as_slice() else {
        panic!("{out:?}")
    };
    assert_eq!(
        (keep.rows.len(), keep.after_version, keep.to_version),
        (20, 0, 20)
    );
}
