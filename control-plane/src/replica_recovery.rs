//! Recovery of a blank disk from the other replicas.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Interval between snapshot requests to one slot: the transfer time of a full snapshot over a slow link.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(600);
/// Number of the round that makes the others retire the slot's earlier disk; the next round transfers the snapshots.
const FENCING_ROUND: u8 = 0;
/// Number of the round whose snapshots are merged.
const SNAPSHOT_ROUND: u8 = 1;

/// Recovers a blank disk in two rounds of requests. Each round needs replies from `Quorum::intersecting` other nodes
/// whose disks are full and that use a membership table that contains this disk. The nodes that reply in the first
/// round have retired the slot's earlier disk, and every node that receives one of their later acknowledgements retires
/// it too. So everything that was acknowledged with the earlier disk's help is on one of these nodes when it replies in
/// the second round, and is transferred then.
///
/// If all other nodes replied and fewer than that many have full disks, a majority was lost, and the remaining rows are
/// adopted. Until all have replied, recovery waits, since a full disk may be slow to reply.
#[derive(Debug, Clone)]
pub struct ReplicaRecovery {
    slot: u8,
    quorum: Quorum,
    membership_version: u64,
    round: u8,
    /// Replies in the current round, by slot.
    replies: BTreeMap<u8, ReceivedSnapshot>,
    /// The snapshots of the current round, merged as they arrive: each is a complete copy
    /// of the rows, and memory holds only one.
    merged: Vec<PartitionSnapshot>,
    /// Last request to each slot.
    last_requests: BTreeMap<u8, LastRequest>,
}

#[derive(Debug, Clone, Copy)]
struct LastRequest {
    round: u8,
    sent_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedSnapshot {
    /// True if the sender's disk is full, regardless of the sender's membership table.
    full: bool,
    /// True if the disk is full and its edges are shown the table that contains the recovering disk.
    usable: bool,
}

/// Contents of a recovered disk.
pub struct RecoveredState {
    /// All partitions, merged.
    pub partitions: Vec<PartitionSnapshot>,
    /// True if a majority of disks was lost: too many others were blank too, or had just been recovered from the
    /// remaining rows, and some rows existed.
    pub majority_lost: bool,
}

impl ReplicaRecovery {
    /// Starts the recovery of a slot, in a membership table with this number of slots and this version.
    pub fn new(slot: u8, slots: usize, membership_version: u64) -> ReplicaRecovery {
        ReplicaRecovery {
            slot,
            quorum: Quorum::new(slots),
            membership_version,
            round: FENCING_ROUND,
            replies: BTreeMap::new(),
            merged: Vec::new(),
            last_requests: BTreeMap::new(),
        }
    }

    /// Returns the requests due now, by slot. They go to all slots whose reply may still change the result, since blank
    /// disks may have become full. Each request is sent no more often than its reply takes to arrive, since more
    /// frequent replies would delay each other.
    pub fn tick(&mut self, now: Duration) -> Vec<(u8, Message)> {
        let request = SnapshotRequest {
            slot: self.slot,
            round: self.round,
            membership_version: self.membership_version,
        };
        let due: Vec<u8> = (0..self.quorum.slots as u8)
            .filter(|slot| self.is_request_due(now, *slot))
            .collect();
        let round = self.round;
        let sent_at = now;
        let requests = due
            .iter()
            .map(|slot| (*slot, LastRequest { round, sent_at }));
        self.last_requests.extend(requests);
        due.into_iter()
            .map(|slot| (slot, request.clone().into()))
            .collect()
    }

    fn is_request_due(&self, now: Duration, slot: u8) -> bool {
        let is_usable = |reply: &ReceivedSnapshot| reply.usable;
        let is_due = |last: &LastRequest| {
            last.round != self.round || now >= last.sent_at + SNAPSHOT_RETRY_INTERVAL
        };
        slot != self.slot
            && !self.replies.get(&slot).is_some_and(is_usable)
            && self.last_requests.get(&slot).is_none_or(is_due)
    }

    /// Records a reply. Returns all partitions merged, once the second round is complete.
    pub fn on_snapshot_reply(&mut self, reply: SnapshotReply) -> Option<RecoveredState> {
        if reply.round != self.round || reply.slot == self.slot {
            return None;
        }
        let full = reply.full && reply.lost_generation == 0;
        let received = ReceivedSnapshot {
            full,
            // While the sender publishes an older table, its edges may still use that one.
            usable: full && reply.membership_version >= self.membership_version,
        };
        self.replies.insert(reply.slot, received);
        merge_snapshot(&mut self.merged, reply.partitions);
        let is_recoverable = self.count(|reply| reply.usable) >= self.quorum.intersecting();
        let may_become_recoverable = self.count(|reply| reply.full) >= self.quorum.intersecting();
        let all_replied = self.replies.len() + 1 >= self.quorum.slots;
        if !is_recoverable && (may_become_recoverable || !all_replied) {
            return None;
        }
        self.replies.clear();
        let partitions = std::mem::take(&mut self.merged);
        if self.round == FENCING_ROUND {
            self.round = SNAPSHOT_ROUND;
            return None;
        }
        let holds_rows = partitions
            .iter()
            .any(|partition| partition.state.version > 0);
        Some(RecoveredState {
            majority_lost: !is_recoverable && holds_rows,
            partitions,
        })
    }

    fn count(&self, counts: impl Fn(&ReceivedSnapshot) -> bool) -> usize {
        self.replies.values().filter(|reply| counts(reply)).count()
    }
}

/// Merges the newest state of each partition, and the highest promise, into `merged`. An
/// earlier snapshot of the same disk stays merged: what it holds was on a disk, and newer
/// states replace it.
fn merge_snapshot(merged: &mut Vec<PartitionSnapshot>, partitions: Vec<PartitionSnapshot>) {
    if merged.is_empty() {
        *merged = partitions;
        return;
    }
    for (known, other) in merged.iter_mut().zip(partitions) {
        merge_partition(known, other);
    }
}

fn merge_partition(known: &mut PartitionSnapshot, other: PartitionSnapshot) {
    let published = known.state.published.max(other.state.published);
    known.promised_epoch = known.promised_epoch.max(other.promised_epoch);
    if other.state.published > known.state.published {
        known.published_rows = other.published_rows;
    }
    if other.state.id() > known.state.id() {
        known.state = other.state;
    }
    known.state.published = published;
}
