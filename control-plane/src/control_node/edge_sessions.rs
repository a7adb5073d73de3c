//! Session renewals of edges, and the updates sent in reply.

use super::*;

impl ControlNode {
    /// Prompts all edges with a session at this node to renew now, with a token issued at this moment.
    pub(super) fn request_renewals(&mut self) {
        let renewal_token = self.sessions.issue_token();
        for edge in self.sessions.addresses() {
            self.send(edge, RenewPrompt { renewal_token });
        }
    }

    /// Prompts edges that have not confirmed this version of a partition to renew.
    pub(super) fn send_update_notices(&mut self, partition: u8, version: u64) {
        let renewal_token = self.sessions.issue_token();
        let generation = self.replica.generation();
        let edges = self
            .sessions
            .unconfirmed_edges(generation, partition, version);
        for edge in edges {
            let notice = UpdateNotice {
                partition,
                version,
                renewal_token,
            };
            self.send(edge, notice);
        }
    }

    /// Renews an edge's session and replies with the updates that the edge lacks.
    pub(super) fn handle_renew_request(
        &mut self,
        now: Duration,
        from: Peer,
        request: RenewRequest,
    ) {
        let generation = self.replica.generation();
        // An edge of another generation is sent all rows again.
        let is_same_generation = request.generation == generation || generation == 0;
        let known_versions: &[u64] = if is_same_generation {
            &request.version_vector
        } else {
            &[]
        };
        let updates = self
            .update_replies
            .reply(now, from, known_versions, &self.replica);
        let recall_requested = now < self.generation.ledger_closed_until;
        // An edge of an earlier generation is recorded, but gets no renewal from this node until there is a new
        // generation for it to enter.
        let may_reply = request.generation == 0 || generation != 0;
        let sent = request.sent;
        let last_token = request.last_token;
        if self
            .sessions
            .renew(now, session_info(from, request), last_token)
        {
            self.log_event(Event::SessionOpened, from.to_string());
        }
        if !may_reply {
            return;
        }
        // A renewal is valid only with all updates that the edge lacks: while those are in flight no reply is sent.
        let Some(updates) = updates else {
            return;
        };
        let reply = RenewReply {
            incarnation: from.incarnation,
            renewal_token: self.sessions.issue_token(),
            sent,
            generation,
            recall_requested,
            updates,
        };
        self.send(from.address, reply);
    }
}

fn session_info(peer: Peer, request: RenewRequest) -> SessionInfo {
    SessionInfo {
        peer,
        zone: request.zone,
        ring: request.ring,
        weight: request.weight,
        draining: request.draining,
        generation: request.generation,
        recall_complete: request.recall_complete,
        version_vector: request.version_vector,
        usage: request.usage,
        origin_health: request.origin_health,
    }
}
