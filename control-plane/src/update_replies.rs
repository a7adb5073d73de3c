//! What renewing edges are told of the updates, shared among those that lack the
//! same.
use crate::prelude::*;

/// Replies kept for others that lack the same: edges that renew at one time know
/// one of few versions.
const MAX_CACHED_REPLIES: usize = 8;
/// Less than this is told with every renewal that lacks it.
const LARGE_BYTES: usize = 16 * 1024;
/// What is large is told again only after the time that it takes over a link of
/// 4 Mbit/s, and a little more: renewals come faster than it arrives there.
const SLOW_LINK_BYTES_A_SECOND: usize = 500_000;
const RESEND_MARGIN: Duration = Duration::from_millis(250);

/// Invariant: what is kept was taken from the replica as it is now.
#[derive(Debug, Default)]
pub struct UpdateReplies {
    /// Epoch and published version of each updates partition when `kept` was taken.
    published: Vec<(u64, u64)>,
    /// By the versions that the edge knows, the latest last.
    cached: VecDeque<(Vec<u64>, SharedUpdates)>,
    in_flight: BTreeMap<Peer, InFlightReply>,
}

/// Large updates told to an edge that has not confirmed it.
#[derive(Debug)]
struct InFlightReply {
    /// What the edge knew when it was told.
    known_versions: Vec<u64>,
    /// Not told again before.
    resend_at: Duration,
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
        let told = self.in_flight.get(&edge);
        if told.is_some_and(|told| told.known_versions == known && now < told.resend_at) {
            return None;
        }
        let updates = self.missing_updates(&known, replica);
        let bytes = if updates.is_empty() {
            0
        } else {
            updates.encoded().len()
        };
        if bytes < LARGE_BYTES {
            self.in_flight.remove(&edge);
        } else {
            let takes = Duration::from_secs_f64(bytes as f64 / SLOW_LINK_BYTES_A_SECOND as f64);
            let until = now + takes + RESEND_MARGIN;
            self.in_flight.retain(|_, told| now < told.resend_at);
            self.in_flight.insert(
                edge,
                InFlightReply {
                    known_versions: known,
                    resend_at: until,
                },
            );
        }
        Some(updates)
    }

    fn missing_updates(&mut self, known: &[u64], replica: &Replica) -> SharedUpdates {
        let held = (0..PUBLISHED_PARTITIONS).map(|partition| &replica.partition(partition).state);
        let shown: Vec<(u64, u64)> = held.map(|image| (image.epoch, image.published)).collect();
        let knows_all = |((_, published), known): (&(u64, u64), &u64)| known >= published;
        if shown.iter().zip(known).all(knows_all) {
            return SharedUpdates::default();
        }
        if self.published != shown {
            self.cached.clear();
            self.published = shown;
        }
        if let Some((_, updates)) = self.cached.iter().find(|(kept, _)| kept == known) {
            return updates.clone();
        }
        let updates = SharedUpdates::from(replica.updates(known));
        self.cached.push_back((known.to_vec(), updates.clone()));
        if self.cached.len() > MAX_CACHED_REPLIES {
            self.cached.pop_front();
        }
        updates
    }
}

#[cfg(test)]
mod tests;
