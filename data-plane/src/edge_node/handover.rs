//! Handover of cached responses between the owners of a reassigned cache partition.
use super::EdgeNode;
use crate::prelude::*;

/// A newly owned partition whose responses the previous owner may still have.
pub(super) struct PendingHandover {
    previous_owner: SocketAddr,
    /// Number of times the responses were requested.
    request_count: u32,
}

/// Maximum number of requests to a previous owner, sent one tick apart.
const MAX_HANDOVER_REQUESTS: u32 = 4;

impl EdgeNode {
    /// Schedules the request for a partition's responses to its previous owner.
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
                request_count: 0,
            };
            self.pending_handovers.insert(partition, pending);
        }
    }

    /// Sends the pending handover requests to previous owners.
    pub(super) fn request_handovers(&mut self, now: Duration) {
        self.pending_handovers
            .retain(|_, pending| pending.request_count < MAX_HANDOVER_REQUESTS);
        let mut requests = Vec::new();
        for (partition, pending) in &mut self.pending_handovers {
            pending.request_count += 1;
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

    /// Handles the request of a partition's next owner for its responses.
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

    /// Handles the responses that the previous owner of a partition sends.
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
