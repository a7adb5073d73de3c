//! Tests of disks that temporarily fail writes, one after the other.

use crate::cluster::{Cluster, put_group, revision_of};
use kernel::prelude::*;

/// Maximum time to wait for the outcome of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(13);
/// Time within which a node is included in quorums again after at most two attempts, and edges' sessions are known.
const RESTORE_TIME: Duration = Duration::from_secs(3);

/// Two disks that are full one after the other must not be treated as the loss of a majority.
#[test]
fn restored_disk_rejoins_quorum_without_restart() {
    for size in [3, 4, 5] {
        let mut cluster = Cluster::start(size);
        for round in 1..=2 * size {
            let node = round % size;
            cluster.set_disk_full(node, true);
            let other = cluster.others(node)[0];
            let change = put_group("s", round as u64);
            let (_, outcome) = cluster.response(other, change, CALL_TIMEOUT);
            let is_acknowledged = matches!(outcome, ChangeOutcome::Acknowledged { .. });
            assert!(is_acknowledged, "{size} nodes, round {round}: {outcome:?}");
            cluster.set_disk_full(node, false);
            cluster.run(RESTORE_TIME);
            assert_eq!(cluster.state(node)["control"][node]["full"], true);
        }
        // The disk's contents survive a restart of the process.
        for node in 0..size {
            cluster.restart(node);
        }
        cluster.run(RESTORE_TIME);
        let (_, outcome) = cluster.response(0, Change::List, CALL_TIMEOUT);
        assert_eq!(revision_of(&outcome, "s"), Some(2 * size as u64));
    }
}
