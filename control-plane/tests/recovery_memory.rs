//! Memory of a node that recovers a blank disk: each snapshot is a complete copy of the rows.
use control_plane::prelude::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Number of slots of the control plane.
const SLOTS: usize = 5;
/// Number of rows of the ledger partition.
const ROWS: u64 = 2_000;
/// Size of the response in each row, in bytes.
const RESPONSE_BYTES: usize = 2_000;
/// Number of the round whose snapshots are merged.
const SNAPSHOT_ROUND: u8 = 1;

fn operation(version: u64) -> Row {
    let reply = Reply {
        status: 200,
        body: Arc::new(vec![version as u8; RESPONSE_BYTES]),
        ..Reply::default()
    };
    let value = Value::Operation(Operation {
        fingerprint: [0; 32],
        claimant: Peer::new(SocketAddr::from(([127, 0, 0, 1], 9)), 1),
        request: version,
        state: OperationState::Done(Arc::new(reply)),
    });
    Row { version, value }
}

fn partitions() -> Vec<PartitionSnapshot> {
    let rows = (1..=ROWS).map(|version| (format!("key-{version}"), operation(version)));
    let state = PartitionState {
        epoch: 1,
        version: ROWS,
        published: ROWS,
        rows: rows.collect(),
    };
    vec![PartitionSnapshot {
        partition: PUBLISHED_PARTITIONS,
        promised_epoch: 1,
        state,
        published_rows: BTreeMap::new(),
    }]
}

fn reply(slot: u8, round: u8, partitions: Vec<PartitionSnapshot>) -> SnapshotReply {
    SnapshotReply {
        slot,
        requester_incarnation: 1,
        round,
        full: true,
        lost_generation: 0,
        membership_version: 0,
        partitions,
    }
}

/// Number of bytes that were allocated in the region and not freed.
fn held_bytes(region: &Region<System>) -> usize {
    let change = region.change();
    change.bytes_allocated - change.bytes_deallocated
}

/// One test, since the allocator counts those of all threads.
#[test]
fn recovery_holds_one_copy_of_the_rows() {
    let mut recovery = ReplicaRecovery::new(0, SLOTS, 0);
    for slot in 1..SLOTS as u8 {
        assert!(recovery.on_snapshot_reply(reply(slot, 0, vec![])).is_none());
    }
    let region = Region::new(ALLOCATOR);
    let first = recovery.on_snapshot_reply(reply(1, SNAPSHOT_ROUND, partitions()));
    assert!(first.is_none());
    let one_copy = held_bytes(&region);
    assert!(one_copy > ROWS as usize * RESPONSE_BYTES);
    let second = recovery.on_snapshot_reply(reply(2, SNAPSHOT_ROUND, partitions()));
    assert!(second.is_none());
    assert!(held_bytes(&region) < one_copy * 5 / 4);
    let third = recovery.on_snapshot_reply(reply(3, SNAPSHOT_ROUND, partitions()));
    let recovered = third.expect("a quorum has replied");
    let mut replica = Replica::blank(1);
    replica.recover(recovered.partitions, recovered.majority_lost);
    assert!(held_bytes(&region) < one_copy * 5 / 4);
    let bytes = replica.encode_as_snapshot();
    assert!(replica.full && replica.partition(PUBLISHED_PARTITIONS).state.version == ROWS);
    assert!(held_bytes(&region) < one_copy * 5 / 4 + bytes.len());
}
