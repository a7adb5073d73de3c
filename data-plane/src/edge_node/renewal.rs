//! Renewal of this edge's leases, which determine whether it is live.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    /// Sends a renewal to all control nodes.
    pub(super) fn renew(&mut self, now: Duration) {
        if self.departed {
            return;
        }
        self.next_renewal = now + lease::EDGE_TICK;
        self.renew_with(now, self.control_nodes.clone());
    }

    fn renew_with(&mut self, now: Duration, control_nodes: Vec<SocketAddr>) {
        let renewal = self.renewal(now);
        for control_node in control_nodes {
            let last_token = self.renewal_tokens.get(&control_node).copied();
            let request = RenewRequest {
                last_token,
                ..renewal.clone()
            };
            self.send(control_node, request);
        }
    }

    /// Builds a renewal from the current state of this edge, without a token.
    fn renewal(&self, now: Duration) -> RenewRequest {
        let usage = Usage {
            cache_hits: self.cache_owner.hits,
            pending: self.active_requests.len() as u64,
            ..self.usage.clone()
        };
        let origin_health = self
            .admission_controllers
            .values()
            .flat_map(|admission| admission.origin_health(now))
            .collect();
        RenewRequest {
            sent: now,
            last_token: None,
            generation: self.state.generation,
            recall_complete: self.is_recall_complete(),
            version_vector: self.state.version_vector.clone(),
            zone: self.locality.zone.clone(),
            ring: self.locality.ring.clone(),
            weight: self.locality.weight,
            draining: self.shutdown_requested_at.is_some(),
            usage,
            origin_health,
        }
    }

    /// Returns true if the ledger knows all keyed requests of earlier generations.
    fn is_recall_complete(&self) -> bool {
        let is_unrecorded = |active: &ActiveRequest| {
            active.claim.is_some() && active.started_at < self.state.generation_entered_at
        };
        self.unconfirmed_changes.is_empty() && !self.active_requests.values().any(is_unrecorded)
    }

    /// Handles the notice of an update that this edge may not have. Only the sender
    /// gets a renewal; the other control nodes are notified once the update is applied.
    pub(super) fn handle_update_notice(
        &mut self,
        now: Duration,
        from: Peer,
        notice: &UpdateNotice,
    ) {
        self.renewal_tokens
            .insert(from.address, notice.renewal_token);
        let is_applied = self
            .state
            .version_vector
            .get(usize::from(notice.partition))
            .is_some_and(|applied| *applied >= notice.version);
        if is_applied || self.departed {
            return;
        }
        if self.control_nodes.contains(&from.address) {
            self.renew_with(now, vec![from.address])
        } else {
            self.renew(now)
        }
    }

    /// Handles a control node's reply to a renewal.
    pub(super) fn handle_renew_reply(&mut self, now: Duration, from: Peer, reply: RenewReply) {
        if reply.incarnation != self.local_peer.incarnation
            || !self.control_nodes.contains(&from.address)
            || self.departed
        {
            return;
        }
        if Generation::is_older(reply.generation, self.state.generation) && reply.generation != 0 {
            return; // The control node does not know the new generation yet.
        }
        if reply.updates.is_empty() {
            self.publish_link_delay(now, from.address, reply.sent);
        }
        self.renewal_tokens
            .insert(from.address, reply.renewal_token);
        let was_requested = std::mem::replace(&mut self.recall_requested, reply.recall_requested);
        if reply.generation != 0 && reply.generation != self.state.generation {
            self.enter_generation(now, reply.generation);
        } else if reply.recall_requested && !was_requested {
            self.resend_completed_operations();
        }
        let has_applied = self.apply_updates(now, reply.updates);
        if self.control_nodes.contains(&from.address) {
            self.leases.record_renewal(from.address, reply.sent);
        }
        self.update_liveness(now);
        if has_applied {
            // Confirms the updates at once, since their acknowledgement waits for this
            // confirmation.
            self.renew(now);
        }
    }

    /// Publishes the link's delay, estimated from the round trip of a renewal. Only replies
    /// without updates are used, because they are small.
    fn publish_link_delay(&mut self, now: Duration, control_node: SocketAddr, sent: Duration) {
        let round_trip = now.saturating_sub(sent);
        let delay = self
            .link_delay_estimator
            .record(now, control_node, round_trip);
        self.outputs
            .push(Output::Publish(PublishedState::LinkDelay(delay)));
    }

    /// Publishes the time until which the edge is live.
    pub(super) fn update_liveness(&mut self, now: Duration) {
        let until = self.leases.live_until(self.control_slots);
        let live = now < until && !self.departed;
        if live != self.live {
            self.live = live;
            let event = if live { Event::Live } else { Event::Fenced };
            self.log_event(
                event,
                format!("version vector {:?}", self.state.version_vector),
            );
        }
        let ready = self.shutdown_requested_at.is_none() && self.state.routes.is_some();
        self.outputs.push(Output::Publish(PublishedState::Fence {
            until: if self.departed { Duration::ZERO } else { until },
            ready,
        }));
    }

    /// Returns true if enough leases are valid.
    pub(super) fn is_live(&self, now: Duration) -> bool {
        !self.departed && now < self.leases.live_until(self.control_slots)
    }
}
