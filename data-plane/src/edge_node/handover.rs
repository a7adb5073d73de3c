//! Handover of cached responses when cache partitions are reassigned.
use super::EdgeNode;
use crate::prelude::*;

/// A partition taken over, whose responses its previous owner may have.
pub(super) struct PendingHandover {
    previous_owner: SocketAddr,
    /// How often they were requested.
    requests: u32,
}

/// The limit of requests to a previous owner, a tick apart.
const MAX_HANDOVER_REQUESTS: u32 = 4;

impl EdgeNode {
    /// Notes to request a partition's responses from its previous owner.
    pub(super) fn plan_handover(&mut self, partition: u16) {
        let previous_owner = self
            .state
            .assignments
            .get(&cache_assignment(&self.locality.ring, partition))
            .and_then(|assignment| assignment.previous_owner)
            .filter(|previous| previous.address != self.local_peer.address);
        if let Some(previous_owner) = previous_owner {
            let pending = PendingHandover {
                previous_owner: previous_owner.address,
                requests: 0,
            };
            self.pending_handovers.insert(partition, pending);
        }
    }

    /// Requests responses from previous owners, a few times.
    pub(super) fn request_handovers(&mut self, now: Duration) {
        self.pending_handovers
            .retain(|_, pending| pending.requests < MAX_HANDOVER_REQUESTS);
        let mut requests = Vec::new();
        for (partition, pending) in &mut self.pending_handovers {
            pending.requests += 1;
            let epoch = self.owned_partitions.get(partition).copied().unwrap_or(0);
            let request = HandoverRequest {
                partition: *partition,
                epoch,
                sent: now,
            };
            requests.push((pending.previous_owner, request));
        }
        for (previous_owner, request) in requests {
            self.send(previous_owner, request);
        }
    }

    /// The next owner of a partition requests its responses.
    pub(super) fn handle_handover_request(
        &mut self,
        now: Duration,
        from: Peer,
        request: HandoverRequest,
    ) {
        let HandoverRequest {
            partition,
            epoch,
            sent,
        } = request;
        let copies = self.cache_owner.hand_over(now, partition);
        if !copies.is_empty() {
            let reply = HandoverReply {
                partition,
                epoch,
                sent,
                copies,
            };
            self.send(from.address, reply);
        }
    }

    /// The previous owner of a partition sends its responses.
    pub(super) fn handle_handover_reply(&mut self, now: Duration, reply: HandoverReply) {
        let HandoverReply {
            partition,
            epoch,
            sent,
            copies,
        } = reply;
        if self.owned_partitions.get(&partition) == Some(&epoch)
            && self.pending_handovers.remove(&partition).is_some()
            && sent <= now
        {
            self.cache_owner
                .take_over(now, now - sent, copies, &self.state.purge_log);
        }
    }
}
