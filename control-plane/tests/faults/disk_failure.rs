//! Disks that refuse writes for a while, one after the other.

use crate::cluster::{Cluster, put_group, revision_of};
use kernel::prelude::*;

const PATIENCE: Duration = Duration::from_secs(13);
/// A node counts again within two tries, and edges' sessions are known then.
const RESTORED: Duration = Duration::from_secs(3);

/// Two full disks, one after the other, must not add up to a lost majority.
#[test]
fn a_disk_that_has_room_again_counts_again_without_a_restart() {
    for size in [3, 4, 5] {
        let mut cluster = Cluster::start(size);
        for round in 1..=2 * size {
            let node = round % size;
            cluster.set_disk_full(node, true);
            let other = cluster.others(node)[0];
            let order = put_group("s", round as u64);
            let (_, outcome) = cluster.answer(other, order, PATIENCE);
            let settled = matches!(outcome, ChangeOutcome::Acknowledged { .. });
            assert!(settled, "{size} nodes, round {round}: {outcome:?}");
            cluster.set_disk_full(node, false);
            cluster.run(RESTORED);
            assert_eq!(cluster.state(node)["control"][node]["full"], true);
        }
        // What it holds outlives its process.
        for node in 0..size {
            cluster.restart(node);
        }
        cluster.run(RESTORED);
        let (_, outcome) = cluster.answer(0, Change::List, PATIENCE);
        assert_eq!(revision_of(&outcome, "s"), Some(2 * size as u64));
    }
}
