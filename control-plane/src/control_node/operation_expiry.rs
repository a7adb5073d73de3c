//! Expiry of operations in the ledger: the outcome of abandoned ones becomes unknown, finished ones are dropped after
//! their retention.

#[cfg(test)]
mod tests;

use super::*;

/// Times when finished operations were first found by this leader, by partition and key.
#[derive(Debug)]
pub(super) struct FinishedOperations {
    /// Retention of finished operations.
    pub(super) retention: Duration,
    by_partition: BTreeMap<u8, HashMap<String, FinishedOperation>>,
}

#[derive(Debug, Clone, Copy)]
struct FinishedOperation {
    /// Version of the operation's row.
    version: u64,
    /// Time when this leader first found the operation finished.
    since: Duration,
}

impl Default for FinishedOperations {
    fn default() -> FinishedOperations {
        FinishedOperations {
            retention: lease::OPERATION_RETENTION,
            by_partition: BTreeMap::new(),
        }
    }
}

impl FinishedOperations {
    /// Forgets a partition: under a new leader its operations are retained for the full time again.
    pub(super) fn forget(&mut self, partition: u8) {
        self.by_partition.remove(&partition);
    }

    /// Removes and returns the keys of operations whose retention is over.
    fn take_expired(&mut self, now: Duration, leader: &PartitionLeader) -> Vec<String> {
        let finished = self.by_partition.entry(leader.partition).or_default();
        let mut expired = Vec::new();
        for (key, row) in &leader.rows {
            let operation = row.value.operation();
            if operation.is_none_or(|operation| operation.state == OperationState::Running) {
                continue;
            }
            let first_found = FinishedOperation {
                version: row.version,
                since: now,
            };
            let known = finished.entry(key.clone()).or_insert(first_found);
            if known.version != row.version {
                *known = first_found;
            }
            if now >= known.since + self.retention {
                expired.push(key.clone());
            }
        }
        for key in &expired {
            finished.remove(key);
        }
        expired
    }
}

impl ControlNode {
    /// Expires operations in the ledger partitions that this node leads.
    pub(super) fn expire_operations(&mut self, now: Duration) {
        let quorum = self.quorum();
        let mut abandoned = Vec::new();
        let leaders = self.leaders.values_mut();
        let ledgers =
            leaders.filter(|leader| leader.partition >= PUBLISHED_PARTITIONS && leader.is_ready());
        for leader in ledgers {
            let has_departed = |peer: Peer| self.sessions.has_departed(now, peer, quorum);
            let orphaned = orphaned_operations(leader, &has_departed);
            let expired = self.finished_operations.take_expired(now, leader);
            for (key, operation, released) in orphaned {
                abandoned.push(format!("{key} by {}", operation.claimant));
                let state = OperationState::Unknown;
                let operation = Operation { state, ..operation };
                leader.put(key, Value::of_operation(operation, released));
            }
            for key in expired {
                leader.remove_row(&key);
            }
        }
        for text in abandoned {
            self.log_event(Event::OperationAbandoned, text);
        }
    }
}

/// Returns running operations whose edge has departed, with the other requests that released their keys.
fn orphaned_operations(
    leader: &PartitionLeader,
    has_departed: &dyn Fn(Peer) -> bool,
) -> Vec<(String, Operation, ReleasedRequests)> {
    let is_orphaned = |operation: &&Operation| {
        operation.state == OperationState::Running && has_departed(operation.claimant)
    };
    let orphaned = |(key, row): (&String, &Row)| {
        let operation = row.value.operation().filter(is_orphaned)?;
        Some((
            key.clone(),
            operation.clone(),
            row.value.released_requests(),
        ))
    };
    leader.rows.iter().filter_map(orphaned).collect()
}
