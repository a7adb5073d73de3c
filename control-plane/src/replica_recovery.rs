#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Refills a blank disk, in two rounds with `rest` of the others whose disks
/// are full and who go by a table that names this one. After the first, those
/// have forgotten what the earlier disk of this slot acknowledged, and whoever
/// hears an acknowledgement of theirs forgets it too; so whatever is counted
/// with the earlier disk's help lies on one of them when it answers the second
/// round, which brings it.
///
/// If all others answered and fewer are full, a majority was lost, and what is
/// left is taken. Until then it pending_replies: one that is full may be slow.
#[derive(Debug, Clone)]
pub struct ReplicaRecovery {
    slot: u8,
    quorum: Quorum,
    membership_version: u64,
    round: u8,
    replies: BTreeMap<u8, ReceivedSnapshot>,
    /// In which round each was last asked, and when.
    last_requests: BTreeMap<u8, (u8, Duration)>,
}

/// A whole disk's content takes this long over a slow way.
const SNAPSHOT_RETRY_INTERVAL: Duration = Duration::from_millis(600);

#[derive(Debug, Clone)]
struct ReceivedSnapshot {
    /// Its disk is full, by whichever table.
    full: bool,
    /// And it counts: edges are shown the table that names us there.
    usable: bool,
    partitions: Vec<PartitionSnapshot>,
}

/// All partitions merged, and whether a majority of disks was lost: too many others
/// were blank too, or just refilled from what was left, and yet there was
/// something.
pub struct RecoveredState {
    pub partitions: Vec<PartitionSnapshot>,
    pub majority_lost: bool,
}

impl ReplicaRecovery {
    /// For a slot of a table of so many slots and this version.
    pub fn new(slot: u8, slots: usize, membership_version: u64) -> ReplicaRecovery {
        ReplicaRecovery {
            slot,
            quorum: Quorum::new(slots),
            membership_version,
            round: 0,
            replies: BTreeMap::new(),
            last_requests: BTreeMap::new(),
        }
    }

    /// Asks all whose answer may still change something: blank ones may be full
    /// by now. Not more often than an answer, which brings all there is, takes
    /// to come: those asked for in vain would stand before what follows.
    pub fn tick(&mut self, now: Duration) -> Vec<(u8, Message)> {
        let whole = |slot: &u8| self.replies.get(slot).is_some_and(|got| got.usable);
        let due = |slot: &u8| {
            self.last_requests.get(slot).is_none_or(|(round, asked)| {
                *round != self.round || now >= *asked + SNAPSHOT_RETRY_INTERVAL
            })
        };
        let others: Vec<u8> = (0..self.quorum.slots as u8)
            .filter(|slot| *slot != self.slot && !whole(slot) && due(slot))
            .collect();
        self.last_requests
            .extend(others.iter().map(|slot| (*slot, (self.round, now))));
        others
            .into_iter()
            .map(|slot| {
                (
                    slot,
                    SnapshotRequest {
                        slot: self.slot,
                        round: self.round,
                        membership_version: self.membership_version,
                    }
                    .into(),
                )
            })
            .collect()
    }

    /// All partitions merged, once the second round is whole.
    pub fn on_snapshot_reply(&mut self, refilled: SnapshotReply) -> Option<RecoveredState> {
        if refilled.round != self.round || refilled.slot == self.slot {
            return None;
        }
        let full = refilled.full && refilled.lost_generation == 0;
        // Else its edges may still go by the earlier table.
        let whole = full && refilled.membership_version >= self.membership_version;
        self.replies.insert(
            refilled.slot,
            ReceivedSnapshot {
                full,
                usable: whole,
                partitions: refilled.partitions,
            },
        );
        let enough = self.replies.values().filter(|got| got.usable).count() >= self.quorum.rest();
        let may_be = self.replies.values().filter(|got| got.full).count() >= self.quorum.rest();
        if !enough && (may_be || self.replies.len() + 1 < self.quorum.slots) {
            return None;
        }
        if self.round == 0 {
            self.round = 1;
            self.replies.clear();
            return None;
        }
        let mut merged: Vec<PartitionSnapshot> = Vec::new();
        for ReceivedSnapshot {
            partitions: held, ..
        } in std::mem::take(&mut self.replies).into_values()
        {
            if merged.is_empty() {
                merged = held;
                continue;
            }
            for (mine, other) in merged.iter_mut().zip(held) {
                let published = mine.state.published.max(other.state.published);
                mine.promised = mine.promised.max(other.promised);
                if other.state.published > mine.state.published {
                    mine.published_rows = other.published_rows;
                }
                if (other.state.epoch, other.state.version) > (mine.state.epoch, mine.state.version)
                {
                    mine.state = other.state;
                }
                mine.state.published = published;
            }
        }
        let lost = !enough && merged.iter().any(|one| one.state.version > 0);
        Some(RecoveredState {
            partitions: merged,
            majority_lost: lost,
        })
    }
}
