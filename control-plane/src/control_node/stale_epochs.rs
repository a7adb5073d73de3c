//! Epochs under which this node lost a partition, and the backoff before it becomes a candidate again.

use super::*;

/// Time without a loss after which the backoff is reset.
const BACKOFF_RESET: Duration = Duration::from_secs(10);
/// Maximum number of doublings of the backoff, which doubles with each recent loss.
const MAX_DOUBLINGS: u32 = 5;
/// Shortest backoff, in milliseconds.
const MIN_BACKOFF_MILLIS: u64 = 40;
/// Addition to the backoff per slot number, in milliseconds, so that two candidates wait for different times.
const BACKOFF_MILLIS_PER_SLOT: u64 = 30;

/// Last loss of each partition.
#[derive(Debug, Default)]
pub(super) struct StaleEpochs {
    losses: BTreeMap<u8, Loss>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Loss {
    /// Higher epoch that a replica had promised.
    promised_epoch: u64,
    /// Time from which this node may be a candidate for the partition again.
    retry_at: Duration,
    /// Number of times the backoff was doubled.
    doublings: u32,
}

impl StaleEpochs {
    /// Records a loss. Two nodes that both consider themselves preferred would otherwise displace each other
    /// repeatedly, so each waits longer after each loss, and for a different time than the other.
    pub(super) fn on_loss(&mut self, now: Duration, slot: u8, stale: &StaleEpoch) {
        let recent = self
            .losses
            .get(&stale.partition)
            .filter(|loss| now < loss.retry_at + BACKOFF_RESET);
        let doublings = recent.map_or(0, |loss| (loss.doublings + 1).min(MAX_DOUBLINGS));
        let base_millis = MIN_BACKOFF_MILLIS + BACKOFF_MILLIS_PER_SLOT * u64::from(slot);
        let backoff = Duration::from_millis(base_millis << doublings);
        let loss = Loss {
            promised_epoch: stale.promised_epoch,
            retry_at: now + backoff,
            doublings,
        };
        self.losses.insert(stale.partition, loss);
    }

    /// Returns the highest epoch of a partition known to be promised to another node; 0 if none is.
    pub(super) fn promised_epoch(&self, partition: u8) -> u64 {
        self.losses
            .get(&partition)
            .map_or(0, |loss| loss.promised_epoch)
    }

    /// Returns true if this node has to wait before it becomes a candidate for the partition.
    pub(super) fn is_backing_off(&self, now: Duration, partition: u8) -> bool {
        self.losses
            .get(&partition)
            .is_some_and(|loss| now < loss.retry_at)
    }
}
