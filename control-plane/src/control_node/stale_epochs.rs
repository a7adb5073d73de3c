//! Epochs under which this node lost a partition, and the backoff before it stands again.

use super::*;

/// Without a loss for this long, the backoff starts short again.
const BACKOFF_RESET: Duration = Duration::from_secs(10);
/// The backoff doubles with each recent loss, at most so many times.
const MAX_DOUBLINGS: u32 = 5;
/// The shortest backoff, and what each slot adds to it so that two candidates differ.
const MIN_BACKOFF_MILLIS: u64 = 40;
const BACKOFF_MILLIS_PER_SLOT: u64 = 30;

/// The last loss of each partition.
#[derive(Debug, Default)]
pub(super) struct StaleEpochs {
    losses: BTreeMap<u8, Loss>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Loss {
    /// The epoch that a replica had promised instead.
    promised_epoch: u64,
    /// When this node may stand for the partition again.
    retry_at: Duration,
    /// How often the backoff was doubled.
    doublings: u32,
}

impl StaleEpochs {
    /// Counts a loss. Two nodes that both think themselves preferred do not chase each other: each waits longer
    /// after each loss, and not as long as the other.
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

    /// The highest epoch of a partition that is known to be promised elsewhere; 0 if none is.
    pub(super) fn promised_epoch(&self, partition: u8) -> u64 {
        self.losses
            .get(&partition)
            .map_or(0, |loss| loss.promised_epoch)
    }

    /// Whether this node has to wait before it stands for the partition.
    pub(super) fn backs_off(&self, now: Duration, partition: u8) -> bool {
        self.losses
            .get(&partition)
            .is_some_and(|loss| now < loss.retry_at)
    }
}
