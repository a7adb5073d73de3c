//! Tests of `replica_recovery`.
use crate::prelude::*;

#[test]
fn only_the_second_round_of_both_others_counts_and_the_newer_image_wins() {
    let held = |promised, epoch, version| {
        vec![PartitionSnapshot {
            partition: 0,
            promised,
            state: PartitionState {
                epoch,
                version,
                published: version,
                rows: BTreeMap::new(),
            },
            published_rows: BTreeMap::new(),
        }]
    };
    let mut recovery = ReplicaRecovery::new(1, 3, 0);
    assert!(
        recovery
            .heard(SnapshotReply {
                slot: 0,
                requester_incarnation: 1,
                round: 0,
                full: true,
                lost_generation: 0,
                membership_version: 0,
                partitions: held(1, 1, 90)
            })
            .is_none()
    );
    assert!(
        recovery
            .heard(SnapshotReply {
                slot: 0,
                requester_incarnation: 1,
                round: 0,
                full: true,
                lost_generation: 0,
                membership_version: 0,
                partitions: held(1, 1, 90)
            })
            .is_none()
    );
    assert!(
        recovery
            .heard(SnapshotReply {
                slot: 2,
                requester_incarnation: 1,
                round: 0,
                full: true,
                lost_generation: 0,
                membership_version: 0,
                partitions: held(1, 1, 90)
            })
            .is_none()
    );
    assert!(
        recovery
            .heard(SnapshotReply {
                slot: 2,
                requester_incarnation: 1,
                round: 0,
                full: true,
                lost_generation: 0,
                membership_version: 0,
                partitions: held(1, 1, 90)
            })
            .is_none(),
        "late first round"
    );
    assert!(
        recovery
            .heard(SnapshotReply {
                slot: 0,
                requester_incarnation: 1,
                round: 1,
                full: true,
                lost_generation: 0,
                membership_version: 0,
                partitions: held(9, 3, 5)
            })
            .is_none()
    );
    let merged = recovery
        .heard(SnapshotReply {
            slot: 2,
            requester_incarnation: 1,
            round: 1,
            full: true,
            lost_generation: 0,
            membership_version: 0,
            partitions: held(7, 4, 2),
        })
        .unwrap();
    assert!(!merged.lost);
    let merged = merged.held;
    assert_eq!(
        (
            merged[0].promised,
            merged[0].state.epoch,
            merged[0].state.version
        ),
        (9, 4, 2)
    );
}

fn told(slot: u8, round: u8, full: bool, version: u64) -> SnapshotReply {
    let image = PartitionState {
        epoch: 1,
        version,
        published: version,
        rows: BTreeMap::new(),
    };
    let held = vec![PartitionSnapshot {
        partition: 0,
        promised: 1,
        state: image,
        published_rows: BTreeMap::new(),
    }];
    SnapshotReply {
        slot,
        requester_incarnation: 1,
        round,
        full,
        lost_generation: 0,
        membership_version: 5,
        partitions: held,
    }
}

#[test]
fn of_four_two_full_ones_suffice_and_one_beside_a_blank_does_not() {
    let mut recovery = ReplicaRecovery::new(3, 4, 5);
    assert!(recovery.heard(told(0, 0, true, 9)).is_none());
    assert!(recovery.heard(told(1, 0, false, 0)).is_none());
    assert_eq!(recovery.round, 0, "one is blank: it does not count");
    assert!(
        recovery
            .tick(Duration::ZERO)
            .iter()
            .any(|(slot, _)| *slot == 1),
        "and is asked again"
    );
    assert!(
        recovery
            .heard(SnapshotReply {
                membership_version: 4,
                ..told(2, 0, true, 9)
            })
            .is_none()
    );
    assert_eq!(
        recovery.round, 0,
        "one goes by an earlier table: it does not count"
    );
    assert!(recovery.heard(told(2, 0, true, 9)).is_none());
    assert_eq!(recovery.round, 1);
    assert!(recovery.heard(told(1, 1, false, 0)).is_none());
    assert!(recovery.heard(told(2, 1, true, 7)).is_none());
    let merged = recovery.heard(told(0, 1, true, 9)).unwrap();
    assert!(!merged.lost && merged.held[0].state.version == 9);
}

#[test]
fn when_all_answered_and_too_few_are_full_a_majority_is_known_to_be_lost() {
    let mut recovery = ReplicaRecovery::new(4, 5, 0);
    for round in 0..2 {
        for slot in 0..3 {
            assert!(recovery.heard(told(slot, round, slot < 2, 9)).is_none());
        }
        let merged = recovery.heard(told(3, round, false, 0));
        assert_eq!(
            merged.map(|merged| merged.lost),
            (round == 1).then_some(true)
        );
    }
}

#[test]
fn who_has_not_answered_is_asked_again_but_not_with_every_pulse() {
    let mut recovery = ReplicaRecovery::new(0, 3, 0);
    let said: Vec<usize> = (0..8)
        .map(|tick| recovery.tick(Duration::from_millis(tick * 100)).len())
        .collect();
    assert_eq!(said, [2, 0, 0, 0, 0, 0, 2, 0]);
}
