//! What renewing edges are told of the updates, shared among those that lack the
//! same.
use crate::prelude::*;

/// Replies kept for others that lack the same: edges that renew at one time know
/// one of few versions.
const KEPT: usize = 8;
/// Less than this is told with every renewal that lacks it.
const LARGE_BYTES: usize = 16 * 1024;
/// What is large is told again only after the time that it takes over a link of
/// 4 Mbit/s, and a little more: renewals come faster than it arrives there.
const SLOW_LINK_BYTES_A_SECOND: usize = 500_000;
const AGAIN: Duration = Duration::from_millis(250);

/// Invariant: what is kept was taken from the replica as it is now.
#[derive(Debug, Default)]
pub struct UpdateReplies {
    /// Epoch and published version of each updates partition when `kept` was taken.
    shown: Vec<(u64, u64)>,
    /// By the versions that the edge knows, the latest last.
    kept: VecDeque<(Vec<u64>, SharedUpdates)>,
    on_the_way: BTreeMap<Peer, OnTheWay>,
}

/// Large updates told to an edge that has not confirmed it.
#[derive(Debug)]
struct OnTheWay {
    /// What the edge knew when it was told.
    known: Vec<u64>,
    /// Not told again before.
    until: Duration,
}

impl UpdateReplies {
    /// What an edge lacks that knows these versions. None if it was told the
    /// same a moment ago, and that may not have arrived yet.
    pub fn reply(
        &mut self,
        now: Duration,
        edge: Peer,
        vector: &[u64],
        replica: &Replica,
    ) -> Option<SharedUpdates> {
        let known: Vec<u64> = (0..usize::from(PUBLISHED_PARTITIONS))
            .map(|partition| vector.get(partition).copied().unwrap_or(0))
            .collect();
        let told = self.on_the_way.get(&edge);
        if told.is_some_and(|told| told.known == known && now < told.until) {
            return None;
        }
        let updates = self.lacking(&known, replica);
        let bytes = if updates.is_empty() {
            0
        } else {
            updates.encoded().len()
        };
        if bytes < LARGE_BYTES {
            self.on_the_way.remove(&edge);
        } else {
            let takes = Duration::from_secs_f64(bytes as f64 / SLOW_LINK_BYTES_A_SECOND as f64);
            let until = now + takes + AGAIN;
            self.on_the_way.retain(|_, told| now < told.until);
            self.on_the_way.insert(edge, OnTheWay { known, until });
        }
        Some(updates)
    }

    fn lacking(&mut self, known: &[u64], replica: &Replica) -> SharedUpdates {
        let held = (0..PUBLISHED_PARTITIONS).map(|partition| &replica.held(partition).image);
        let shown: Vec<(u64, u64)> = held.map(|image| (image.epoch, image.published)).collect();
        let knows_all = |((_, published), known): (&(u64, u64), &u64)| known >= published;
        if shown.iter().zip(known).all(knows_all) {
            return SharedUpdates::default();
        }
        if self.shown != shown {
            self.kept.clear();
            self.shown = shown;
        }
        if let Some((_, updates)) = self.kept.iter().find(|(kept, _)| kept == known) {
            return updates.clone();
        }
        let updates = SharedUpdates::from(replica.updates(known));
        self.kept.push_back((known.to_vec(), updates.clone()));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        updates
    }
}

#[cfg(test)]
mod tests;
