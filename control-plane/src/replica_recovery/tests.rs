//! Tests of `replica_recovery`.
use crate::prelude::*;

/// Returns true if recovery needs more replies after this one.
fn is_incomplete(recovery: &mut ReplicaRecovery, reply: SnapshotReply) -> bool {
    recovery.on_snapshot_reply(reply).is_none()
}

/// Returns snapshots of a single partition without rows.
fn partitions(promised: u64, epoch: u64, version: u64) -> Vec<PartitionSnapshot> {
    let state = PartitionState {
        epoch,
        version,
        published: version,
        rows: BTreeMap::new(),
    };
    vec![PartitionSnapshot {
        partition: 0,
        promised_epoch: promised,
        state,
        published_rows: BTreeMap::new(),
    }]
}

#[test]
fn second_round_snapshots_merge_to_newest_state() {
    let reply = |slot, round, partitions| SnapshotReply {
        slot,
        requester_incarnation: 1,
        round,
        full: true,
        lost_generation: 0,
        membership_version: 0,
        partitions,
    };
    let mut recovery = ReplicaRecovery::new(1, 3, 0);
    assert!(is_incomplete(
        &mut recovery,
        reply(0, 0, partitions(1, 1, 90))
    ));
    assert!(is_incomplete(
        &mut recovery,
        reply(0, 0, partitions(1, 1, 90))
    ));
    assert!(is_incomplete(
        &mut recovery,
        reply(2, 0, partitions(1, 1, 90))
    ));
    assert!(
        is_incomplete(&mut recovery, reply(2, 0, partitions(1, 1, 90))),
        "late reply to the first round"
    );
    assert!(is_incomplete(
        &mut recovery,
        reply(0, 1, partitions(9, 3, 5))
    ));
    let recovered = recovery
        .on_snapshot_reply(reply(2, 1, partitions(7, 4, 2)))
        .unwrap();
    assert!(!recovered.majority_lost);
    let recovered = recovered.partitions;
    assert_eq!(
        (
            recovered[0].promised_epoch,
            recovered[0].state.epoch,
            recovered[0].state.version
        ),
        (9, 4, 2)
    );
}

fn snapshot_reply(slot: u8, round: u8, full: bool, version: u64) -> SnapshotReply {
    SnapshotReply {
        slot,
        requester_incarnation: 1,
        round,
        full,
        lost_generation: 0,
        membership_version: 5,
        partitions: partitions(1, 1, version),
    }
}

#[test]
fn recovery_in_four_slots_needs_second_usable_snapshot() {
    let mut recovery = ReplicaRecovery::new(3, 4, 5);
    assert!(is_incomplete(&mut recovery, snapshot_reply(0, 0, true, 9)));
    assert!(is_incomplete(&mut recovery, snapshot_reply(1, 0, false, 0)));
    assert_eq!(recovery.round, 0, "a blank disk is not counted");
    assert!(
        recovery
            .tick(Duration::ZERO)
            .iter()
            .any(|(slot, _)| *slot == 1),
        "the request to a blank disk is retried"
    );
    assert!(is_incomplete(
        &mut recovery,
        SnapshotReply {
            membership_version: 4,
            ..snapshot_reply(2, 0, true, 9)
        }
    ));
    assert_eq!(
        recovery.round, 0,
        "a disk with an earlier table is not counted"
    );
    assert!(is_incomplete(&mut recovery, snapshot_reply(2, 0, true, 9)));
    assert_eq!(recovery.round, 1);
    assert!(is_incomplete(&mut recovery, snapshot_reply(1, 1, false, 0)));
    assert!(is_incomplete(&mut recovery, snapshot_reply(2, 1, true, 7)));
    let recovered = recovery
        .on_snapshot_reply(snapshot_reply(0, 1, true, 9))
        .unwrap();
    assert!(!recovered.majority_lost && recovered.partitions[0].state.version == 9);
}

#[test]
fn too_few_full_replicas_report_majority_loss() {
    let mut recovery = ReplicaRecovery::new(4, 5, 0);
    for round in 0..2 {
        for slot in 0..3 {
            assert!(is_incomplete(
                &mut recovery,
                snapshot_reply(slot, round, slot < 2, 9)
            ));
        }
        let recovered = recovery.on_snapshot_reply(snapshot_reply(3, round, false, 0));
        assert_eq!(
            recovered.map(|recovered| recovered.majority_lost),
            (round == 1).then_some(true)
        );
    }
}

#[test]
fn snapshot_request_is_retried_after_interval() {
    let mut recovery = ReplicaRecovery::new(0, 3, 0);
    let request_counts: Vec<usize> = (0..8)
        .map(|tick| recovery.tick(Duration::from_millis(tick * 100)).len())
        .collect();
    assert_eq!(request_counts, [2, 0, 0, 0, 0, 0, 2, 0]);
}
