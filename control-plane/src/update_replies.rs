//! Updates for renewing edges, encoded once for all edges that lack the same updates.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Maximum number of cached replies: edges that renew at the same time have one of only a few versions.
const MAX_CACHED_REPLIES: usize = 8;
/// Size in bytes from which a reply is not sent again while it may still be in flight; smaller replies are sent with
/// every renewal.
const LARGE_REPLY_BYTES: usize = 16 * 1024;
/// Bandwidth of the slowest supported link: 4 Mbit/s. Over it, a large reply takes longer to arrive than the interval
/// between renewals.
const SLOW_LINK_BYTES_PER_SECOND: usize = 500_000;
/// Margin added to the transfer time of a large reply over a slow link before it is sent again.
const RESEND_MARGIN: Duration = Duration::from_millis(250);

/// Cache of replies to renewals. Invariant: cached replies were created from the current state of the replica.
#[derive(Debug, Default)]
pub struct UpdateReplies {
    /// State of each published partition when the replies were cached.
    published: Vec<PublishedVersion>,
    /// Latest replies, the newest last.
    cached: VecDeque<CachedReply>,
    /// Large reply that was last sent to each edge.
    in_flight: BTreeMap<Peer, InFlightReply>,
}

#[derive(Debug, PartialEq)]
struct PublishedVersion {
    epoch: u64,
    version: u64,
}

#[derive(Debug)]
struct CachedReply {
    /// Versions that the edge has.
    known_versions: Vec<u64>,
    updates: SharedUpdates,
}

/// Large reply to an edge that has not confirmed it.
#[derive(Debug)]
struct InFlightReply {
    /// Versions that the edge had when the reply was sent.
    known_versions: Vec<u64>,
    /// Time before which the reply is not sent again.
    resend_at: Duration,
}

impl UpdateReplies {
    /// Returns the updates that an edge with these versions lacks. None if the same updates were sent a moment ago and
    /// may still be in flight.
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
        if bytes < LARGE_REPLY_BYTES {
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
