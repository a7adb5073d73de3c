//! Updates for renewing edges, encoded once for all edges that lack the same.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Replies retained for others that lack the same: edges that renew at one time know one of few versions.
const MAX_CACHED_REPLIES: usize = 8;
/// Replies below this size are sent with every renewal that lacks them.
const LARGE_BYTES: usize = 16 * 1024;
/// The slowest link that is reckoned with: 4 Mbit/s. Renewals come faster than a large reply arrives over it.
const SLOW_LINK_BYTES_PER_SECOND: usize = 500_000;
/// Added to the time that a large reply takes over a slow link before it is sent again.
const RESEND_MARGIN: Duration = Duration::from_millis(250);

/// Replies to renewals. Invariant: what is cached was taken from the replica as it is now.
#[derive(Debug, Default)]
pub struct UpdateReplies {
    /// State of each published partition when the replies were cached.
    published: Vec<PublishedVersion>,
    /// The latest replies, the newest last.
    cached: VecDeque<CachedReply>,
    /// The large reply that was last sent to each edge.
    in_flight: BTreeMap<Peer, InFlightReply>,
}

#[derive(Debug, PartialEq)]
struct PublishedVersion {
    epoch: u64,
    version: u64,
}

#[derive(Debug)]
struct CachedReply {
    /// The versions that the edge knows.
    known_versions: Vec<u64>,
    updates: SharedUpdates,
}

/// A large reply to an edge that has not confirmed it.
#[derive(Debug)]
struct InFlightReply {
    /// What the edge knew when it was sent.
    known_versions: Vec<u64>,
    /// Not sent again before.
    resend_at: Duration,
}

impl UpdateReplies {
    /// What an edge lacks that knows these versions. None if it was sent the same a moment ago, and that may not
    /// have arrived yet.
    pub fn reply(
        &mut self,
        now: Duration,
        edge: Peer,
        version_vector: &[u64],
        replica: &Replica,
    ) -> Option<SharedUpdates> {
        let known_versions: Vec<u64> = (0..usize::from(PUBLISHED_PARTITIONS))
            .map(|partition| version_vector.get(partition).copied().unwrap_or(0))
            .collect();
        let is_same =
            |reply: &InFlightReply| reply.known_versions == known_versions && now < reply.resend_at;
        if self.in_flight.get(&edge).is_some_and(is_same) {
            return None;
        }
        let updates = self.missing_updates(&known_versions, replica);
        let bytes = if updates.is_empty() {
            0
        } else {
            updates.encoded().len()
        };
        if bytes < LARGE_BYTES {
            self.in_flight.remove(&edge);
        } else {
            self.mark_in_flight(now, edge, known_versions, bytes);
        }
        Some(updates)
    }

    fn mark_in_flight(
        &mut self,
        now: Duration,
        edge: Peer,
        known_versions: Vec<u64>,
        bytes: usize,
    ) {
        let seconds = bytes as f64 / SLOW_LINK_BYTES_PER_SECOND as f64;
        let reply = InFlightReply {
            known_versions,
            resend_at: now + Duration::from_secs_f64(seconds) + RESEND_MARGIN,
        };
        self.in_flight.retain(|_, reply| now < reply.resend_at);
        self.in_flight.insert(edge, reply);
    }

    fn missing_updates(&mut self, known_versions: &[u64], replica: &Replica) -> SharedUpdates {
        let published = published_versions(replica);
        let is_known = |(published, known): (&PublishedVersion, &u64)| *known >= published.version;
        if published.iter().zip(known_versions).all(is_known) {
            return SharedUpdates::default();
        }
        if self.published != published {
            self.cached.clear();
            self.published = published;
        }
        let is_same = |reply: &&CachedReply| reply.known_versions == known_versions;
        if let Some(reply) = self.cached.iter().find(is_same) {
            return reply.updates.clone();
        }
        let updates = SharedUpdates::from(replica.updates(known_versions));
        self.cached.push_back(CachedReply {
            known_versions: known_versions.to_vec(),
            updates: updates.clone(),
        });
        if self.cached.len() > MAX_CACHED_REPLIES {
            self.cached.pop_front();
        }
        updates
    }
}

fn published_versions(replica: &Replica) -> Vec<PublishedVersion> {
    (0..PUBLISHED_PARTITIONS)
        .map(|partition| &replica.partition(partition).state)
        .map(|state| PublishedVersion {
            epoch: state.epoch,
            version: state.published,
        })
        .collect()
}
