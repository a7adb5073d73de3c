//! The life cycle of a request, from its arrival to its single response.
use super::{EdgeNode, MAX_PENDING_PER_SERVICE};
use crate::prelude::*;

impl EdgeNode {
    /// Starts a client's request, or sends an immediate response.
    pub(super) fn begin_request(&mut self, now: Duration, id: u64, request: ClientRequest) {
        self.usage.requests += 1;
        let mut active = ActiveRequest::new(now, request);
        if let Some(response) = self.immediate_response(now, &mut active) {
            return self.respond(now, id, &active, response);
        }
        match (active.request.entry().kind, active.cache.key) {
            (_, Some(key)) => active.stage = self.join_coalescing_group(now, id, key),
            (Kind::Keyed, None) => {
                let claim = ActiveRequest::claim_of(&active.request, self.local_peer, id);
                active.claim = Some(claim);
                active.stage = Stage::AwaitingClaim;
            }
            _ => {}
        }
        self.active_requests.insert(id, active);
        self.start_exchange(now, id);
        self.send_stage_message(now, id);
    }

    /// Returns the response to a request that need not be started: a rejection, or a
    /// response from the near cache.
    fn immediate_response(
        &mut self,
        now: Duration,
        active: &mut ActiveRequest,
    ) -> Option<ClientResponse> {
        if self.departed {
            let rejection = Rejection::ending(active.outcome_before_attempt());
            return Some(ClientResponse::Rejection(rejection));
        }
        if !self.is_live(now) {
            let rejection = Rejection::fenced(active.outcome_before_attempt());
            return Some(ClientResponse::Rejection(rejection));
        }
        if self.is_rejecting_unsent(now) {
            let rejection = Rejection::ending(active.outcome_before_attempt());
            return Some(ClientResponse::Rejection(rejection));
        }
        if active.is_cacheable() {
            active.cache.key = Some(ActiveRequest::cache_key(&active.request));
            if let Some(response) = self.near_cache_response(now, active) {
                self.usage.near_cache_hits += 1;
                return Some(response);
            }
        }
        self.enforce_pending_limit(now, active)
            .map(ClientResponse::Rejection)
    }

    /// Enforces the limit of pending requests per service, so that a slow service does
    /// not use up all memory and connections. Over the limit, the request of the lowest
    /// rank is rejected: the new one or a waiting one.
    fn enforce_pending_limit(
        &mut self,
        now: Duration,
        active: &ActiveRequest,
    ) -> Option<Rejection> {
        const CODE: &str = "over_capacity";
        const TEXT: &str = "too many errands of this service are pending here";
        if self.pending_of(&active.request.service).count() < MAX_PENDING_PER_SERVICE {
            return None;
        }
        let rank = active.request.entry().rank;
        let lowest = self
            .pending_of(&active.request.service)
            .filter(|(_, pending)| pending.stage.may_be_displaced())
            .map(|(id, pending)| (pending.request.entry().rank, std::cmp::Reverse(*id)))
            .min();
        if let Some((_, std::cmp::Reverse(id))) = lowest.filter(|(lowest, _)| *lowest < rank) {
            let rejection = self.active_requests[&id].reject(429, CODE, TEXT);
            self.fail_request(now, id, rejection);
            return None;
        }
        let outcome = active.outcome_before_attempt();
        Some(Rejection::new(429, CODE, outcome, TEXT).with_nothing_sent())
    }

    fn pending_of(&self, service: &str) -> impl Iterator<Item = (&u64, &ActiveRequest)> {
        self.active_requests
            .iter()
            .filter(move |(_, pending)| pending.request.service == service)
    }

    /// Moves a request to its next stage and sends the stage's message.
    pub(super) fn enter_stage(&mut self, now: Duration, id: u64, stage: Stage) {
        if stage.starts_work() && self.is_abandoned(id) {
            return self.finish_abandoned(now, id);
        }
        self.withdraw_exchange(now, id);
        if let Stage::Recording { reply, .. } = &stage {
            self.record_completed(now, id, reply);
        }
        let applied = self.state.purge_log.applied;
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        if active.cache.key.is_some() && matches!(stage, Stage::AwaitingPermit) {
            let grant = active.cache.fill_grant;
            active.cache.fetch = Some(Fetch {
                started_at: now,
                purge_version: grant.map_or(applied, |grant| grant.token.purge_version),
            });
        }
        active.stage = stage;
        active.exchange.last_contact = now;
        active.exchange.send_count = 0;
        self.start_exchange(now, id);
        self.send_stage_message(now, id);
    }

    /// Sends the response. A fenced edge sends a rejection in place of a cached response.
    fn respond(
        &mut self,
        now: Duration,
        id: u64,
        active: &ActiveRequest,
        response: ClientResponse,
    ) {
        let is_cached = matches!(response, ClientResponse::Reply { age: Some(_), .. })
            && active.claim.is_none();
        let response = if is_cached && !self.is_live(now) {
            ClientResponse::Rejection(Rejection::fenced(active.outcome()))
        } else {
            response
        };
        match &response {
            ClientResponse::Reply { .. } => self.usage.completed += 1,
            ClientResponse::Rejection(_) => self.usage.rejected += 1,
        }
        self.outputs.push(Output::ClientResponse { id, response });
    }

    /// Ends the request with this response. If an origin sent an error response, that
    /// is passed on in place of a rejection.
    pub(super) fn finish(&mut self, now: Duration, id: u64, response: ClientResponse) {
        self.withdraw_exchange(now, id);
        let Some(mut active) = self.active_requests.remove(&id) else {
            return;
        };
        self.exchanges.remove(&active.exchange.id);
        let response = match (response, active.attempts.origin_error_response.take()) {
            (ClientResponse::Rejection(_), Some(reply)) => {
                ClientResponse::Reply { reply, age: None }
            }
            (response, _) => response,
        };
        self.remove_from_coalescing_group(now, id, &active, &response);
        self.respond(now, id, &active, response);
    }

    /// Ends the request with a rejection.
    pub(super) fn finish_rejected(&mut self, now: Duration, id: u64, rejection: Rejection) {
        self.finish(now, id, ClientResponse::Rejection(rejection));
    }

    /// Ends a request that has failed. Before the rejection is sent, its claim is
    /// released or its outcome recorded, and a refresher requests a cached response of
    /// any age.
    pub(super) fn fail_request(&mut self, now: Duration, id: u64, rejection: Rejection) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        if let Some(grant) = active.cache.fill_grant.take() {
            return self.fall_back_to_any_response(now, id, grant, rejection);
        }
        if active.claim.is_none() {
            let response = self.any_near_cache_response(now, id);
            let response = response.unwrap_or(ClientResponse::Rejection(rejection));
            return self.finish(now, id, response);
        }
        let stage = if active.attempts.may_have_reached_origin {
            Stage::Recording {
                reply: None,
                response: ClientResponse::Rejection(rejection),
            }
        } else {
            Stage::Releasing { rejection }
        };
        self.enter_stage(now, id, stage);
    }

    fn fall_back_to_any_response(
        &mut self,
        now: Duration,
        id: u64,
        grant: FillGrant,
        rejection: Rejection,
    ) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        let key = active.cache.key.expect("cached");
        active.cache.pending_rejection = Some(rejection);
        let failed = CacheFillFailed {
            key,
            token: grant.token,
            private: false,
        };
        self.send(grant.owner, failed);
        if let Some(response) = self.any_near_cache_response(now, id) {
            return self.finish(now, id, response);
        }
        let stage = Stage::AwaitingCachedResponse {
            entered_at: now,
            accepts_any_age: true,
        };
        self.enter_stage(now, id, stage);
    }
}
