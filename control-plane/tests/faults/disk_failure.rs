//! Disks that refuse writes for a while, one after the other.

use crate::cluster::{Cluster, put_group, revision_of};
use kernel::prelude::*;

const CALL_TIMEOUT: Duration = Duration::from_secs(13);
/// A node counts again within two attempts, and edges' sessions are known then.
const RESTORED: Duration = Duration::from_secs(3);

/// Two full disks, one after the other, must not add up to a lost majority.
#[test]
fn recovered_disk_counts_without_restart() {
    for size in [3, 4, 5] {
        let mut cluster = Cluster::start(size);
        for round in 1..=2 * size {
            let node = round % size;
            cluster.set_disk_full(node, true);
            let other = cluster.others(node)[0];
            let order = put_group("s", round as u64);
            let (_, outcome) = cluster.response(other, order, CALL_TIMEOUT);
            let is_acknowledged = matches!(outcome, ChangeOutcome::Acknowledged { .. });
            assert!(is_acknowledged, "{size} nodes, round {round}: {outcome:?}");
            cluster.set_disk_full(node, false);
            cluster.run(RESTORED);
            assert_eq!(cluster.state(node)["control"][node]["full"], true);
        }
        // What it holds outlives its process.
        for node in 0..size {
            cluster.restart(node);
        }
        cluster.run(RESTORED);
        let (_, outcome) = cluster.response(0, Change::List, CALL_TIMEOUT);
        assert_eq!(revision_of(&outcome, "s"), Some(2 * size as u64));
    }
}
