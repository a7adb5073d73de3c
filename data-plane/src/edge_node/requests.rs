//! The life of a request, from its arrival to its one answer.
use super::cached::{OWNER_TIMEOUT, resend_backoff};
use super::{
    ADMISSION_TIMEOUT, EdgeNode, MAX_PENDING_PER_SERVICE, RECORDING_GRACE, RESEND_INTERVAL,
};
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn begin_request(&mut self, now: Duration, id: u64, request: ClientRequest) {
        self.usage.requests += 1;
        let mut active = ActiveRequest::new(now, request);
        if !self.is_live(now) {
            let rejection = Rejection::fenced(active.outcome_before_attempt());
            return self.respond(now, id, &active, ClientResponse::Rejection(rejection));
        }
        if self.is_rejecting_unsent(now) {
            let rejection = Rejection::ending(active.outcome_before_attempt());
            return self.respond(now, id, &active, ClientResponse::Rejection(rejection));
        }
        let entry = active.request.entry();
        if entry.kind == Kind::Cached
            && !active.request.personal()
            && active.request.method == "GET"
        {
            active.cache.key = Some(ActiveRequest::cache_key(&active.request));
            if let Some(answer) = self.near_cache_response(now, &active) {
                self.usage.near_cache_hits += 1;
                return self.respond(now, id, &active, answer);
            }
        }
        if let Some(rejection) = self.enforce_pending_limit(now, &active) {
            return self.respond(now, id, &active, ClientResponse::Rejection(rejection));
        }
        match (active.request.entry().kind, active.cache.key) {
            (_, Some(key)) => active.stage = self.join_group(now, id, key),
            (Kind::Keyed, None) => {
                active.claim = Some(ActiveRequest::claim_of(
                    &active.request,
                    self.local_peer,
                    id,
                ));
                active.stage = Stage::AwaitingClaim;
            }
            _ => {}
        }
        self.active_requests.insert(id, active);
        self.start_exchange(now, id);
        self.send_stage_message(now, id);
    }

    /// Each pending request holds a thread of the HTTP side: a slow service must
    /// not take them all. Over its bound, the lowest rank goes first: this
    /// request, or one that waits for a permit and is told so at once.
    pub(super) fn enforce_pending_limit(
        &mut self,
        now: Duration,
        active: &ActiveRequest,
    ) -> Option<Rejection> {
        let service = &active.request.service;
        let peers = self
            .active_requests
            .iter()
            .filter(|(_, known)| known.request.service == *service);
        if peers.clone().count() < MAX_PENDING_PER_SERVICE {
            return None;
        }
        let waiting = peers.filter(|(_, known)| {
            matches!(
                known.stage,
                Stage::AwaitingPermit
                    | Stage::Following
                    | Stage::AwaitingCachedResponse {
                        accepts_any_age: false,
                        ..
                    }
            )
        });
        let lowest = waiting
            .min_by_key(|(id, known)| (known.request.entry().rank, std::cmp::Reverse(**id)))
            .map(|(id, known)| (*id, known.request.entry().rank));
        if let Some((id, _)) = lowest.filter(|(_, rank)| *rank < active.request.entry().rank) {
            let rejection = self.active_requests[&id].reject(
                429,
                "over_capacity",
                "too many errands of this service are pending here",
            );
            self.fail_request(now, id, rejection);
            return None;
        }
        let outcome = active.outcome_before_attempt();
        Some(
            Rejection::new(
                429,
                "over_capacity",
                outcome,
                "too many errands of this service are pending here",
            )
            .with_nothing_sent(),
        )
    }

    /// Says the message of a job's stage, for the first time or again.
    pub(super) fn send_stage_message(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        active.exchange.sends += 1;
        active.exchange.sent_at = now;
        active.exchange.resend_at = match active.stage {
            Stage::AwaitingCachedResponse { .. } if active.exchange.sends > 1 => {
                now + OWNER_TIMEOUT
            }
            Stage::AwaitingCachedResponse { .. } => now + resend_backoff(active.exchange.sends),
            _ => now + RESEND_INTERVAL,
        };
        let (round, left) = (active.exchange.sends, active.deadline.saturating_sub(now));
        let question = active.exchange.id;
        active.exchange.peer = None;
        let mut asked_of = None;
        match &active.stage {
            Stage::AwaitingClaim => {
                let claim = active.claim.clone().expect("keyed");
                self.send_change(question, round, Change::Claim(claim));
            }
            Stage::Recording { reply, .. } => {
                let change = Change::Record(active.claim.clone().expect("keyed"), reply.clone());
                self.send_change(question, round, change);
            }
            Stage::Releasing { .. } => {
                let change = Change::Release(active.claim.clone().expect("keyed"));
                self.send_change(question, round, change);
            }
            Stage::AwaitingCachedResponse {
                accepts_any_age, ..
            } => {
                let key = active.cache.key.expect("cached");
                let entry = active.request.entry();
                let get = CacheGet {
                    id: question,
                    key,
                    entry: entry.name.clone(),
                    host: active.request.entry_host().into(),
                    url: active.request.url.clone(),
                    ttl: entry.keep(),
                    max_wait: left,
                    accepts_any_age: *accepts_any_age,
                };
                let accepts_any_age = *accepts_any_age;
                match self.assignment_owner(&cache_assignment(
                    &self.locality.ring,
                    cache_partition(&key),
                )) {
                    Some(holder) => {
                        asked_of = Some(holder);
                        self.send(holder, get);
                    }
                    // Nobody hands out copies of it now: fetch it ourselves.
                    None if !accepts_any_age => self.enter_stage(now, id, Stage::AwaitingPermit),
                    None => {}
                }
            }
            Stage::AwaitingPermit => {
                let entry = active.request.entry();
                let service = active.request.service.clone();
                let admission = admission_assignment(&service);
                let (extra, call) = (
                    active.attempts.count > 0,
                    active.call_timeout(now, Duration::ZERO),
                );
                let (zone, region) = (self.locality.zone.clone(), self.locality.region.clone());
                let permit_request = PermitRequest {
                    service,
                    id: question,
                    rank: entry.rank,
                    max_wait: left,
                    sent: now,
                    is_retry: extra,
                    call_timeout: call,
                    latency_target: active.latency_target.saturating_sub(now),
                    zone,
                    region,
                    excluded_origins: active.attempts.failed_origins.clone(),
                };
                match self.assignment_owner(&admission) {
                    Some(holder) => {
                        asked_of = Some(holder);
                        self.send(holder, permit_request);
                    }
                    None => self.call_without_permit(now, id),
                }
            }
            Stage::Following | Stage::Calling { .. } => {}
        }
        if let Some(active) = self
            .active_requests
            .get_mut(&id)
            .filter(|_| asked_of.is_some())
        {
            active.exchange.peer = asked_of;
        }
    }

    pub(super) fn enter_stage(&mut self, now: Duration, id: u64, stage: Stage) {
        if stage.starts_work() && self.is_abandoned(id) {
            return self.finish_abandoned(now, id);
        }
        self.withdraw_exchange(now, id);
        if let (Stage::Recording { reply, .. }, Some(claim)) = (
            &stage,
            self.active_requests
                .get(&id)
                .and_then(|active| active.claim.clone()),
        ) {
            self.remember_completed(now, &claim, reply);
        }
        if let Some(active) = self.active_requests.get_mut(&id) {
            if active.cache.key.is_some() && matches!(stage, Stage::AwaitingPermit) {
                let purge_version = active
                    .cache
                    .fill_token
                    .map_or(self.purge_log.applied, |(_, token)| token.purge_version);
                active.cache.fetch = Some(Fetch {
                    started_at: now,
                    purge_version,
                });
            }
            active.stage = stage;
            active.exchange.last_contact = now;
            active.exchange.sends = 0;
            self.start_exchange(now, id);
            self.send_stage_message(now, id);
        }
    }

    pub(super) fn respond(
        &mut self,
        now: Duration,
        id: u64,
        active: &ActiveRequest,
        answer: ClientResponse,
    ) {
        let copy =
            matches!(answer, ClientResponse::Reply { age: Some(_), .. }) && active.claim.is_none();
        let answer = if copy && !self.is_live(now) {
            ClientResponse::Rejection(Rejection::fenced(active.outcome()))
        } else {
            answer
        };
        match &answer {
            ClientResponse::Reply { .. } => self.usage.completed += 1,
            ClientResponse::Rejection(_) => self.usage.rejected += 1,
        }
        self.outputs.push(Output::ClientResponse {
            id,
            response: answer,
        });
    }

    pub(super) fn finish(&mut self, now: Duration, id: u64, answer: ClientResponse) {
        self.withdraw_exchange(now, id);
        if let Some(mut active) = self.active_requests.remove(&id) {
            self.exchanges.remove(&active.exchange.id);
            let answer = match (answer, active.attempts.origin_failure.take()) {
                (ClientResponse::Rejection(_), Some(reply)) => {
                    ClientResponse::Reply { reply, age: None }
                }
                (answer, _) => answer,
            };
            self.leave_group(now, id, &active, &answer);
            self.respond(now, id, &active, answer);
        }
    }

    /// The request is given up. What was claimed is released or recorded
    /// first; a refresher looks for a spare copy first.
    pub(super) fn fail_request(&mut self, now: Duration, id: u64, rejection: Rejection) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        if let Some((owner, token)) = active.cache.fill_token.take() {
            let key = active.cache.key.expect("cached");
            active.cache.pending_rejection = Some(rejection);
            self.send(
                owner,
                CacheFillFailed {
                    key,
                    token,
                    private: false,
                },
            );
            if let Some(copy) = self.any_near_response(now, id) {
                return self.finish(now, id, copy);
            }
            return self.enter_stage(
                now,
                id,
                Stage::AwaitingCachedResponse {
                    since: now,
                    accepts_any_age: true,
                },
            );
        }
        if active.claim.is_none() {
            let answer = self.any_near_response(now, id);
            return self.finish(
                now,
                id,
                answer.unwrap_or(ClientResponse::Rejection(rejection)),
            );
        }
        let stage = if active.attempts.sent {
            Stage::Recording {
                reply: None,
                response: ClientResponse::Rejection(rejection),
            }
        } else {
            Stage::Releasing { rejection }
        };
        self.enter_stage(now, id, stage);
    }

    pub(super) fn handle_deadline(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get(&id) else {
            return;
        };
        let late = now >= active.deadline + RECORDING_GRACE;
        match &active.stage {
            Stage::AwaitingClaim => {
                let running = active.exchange.sends > 1;
                let change = Change::Release(active.claim.clone().expect("keyed"));
                let rejection = if running {
                    Rejection::unknown(
                        409,
                        "in_progress",
                        "this operation is being run, or its ledger cannot be reached; ask again",
                    )
                } else {
                    Rejection::unknown(503, "no_ledger", "the ledger could not be reached")
                        .with_nothing_sent()
                };
                self.send_until_confirmed(now, change);
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            Stage::AwaitingCachedResponse {
                accepts_any_age: true,
                ..
            } => self.finish_failed_fallback(now, id),
            Stage::AwaitingCachedResponse { .. } | Stage::Following => {
                let rejection = active.reject(503, "no_copy", "no copy came in time");
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            Stage::AwaitingPermit => {
                let rejection = active.reject(
                    429,
                    "over_capacity",
                    "the service could not be called in time",
                );
                let accepts_any_age = active.cache.fill_token.is_some();
                self.fail_request(now, id, rejection);
                if accepts_any_age {
                    // No time is left to look for a copy.
                    self.finish_failed_fallback(now, id);
                }
            }
            Stage::Calling { .. } if late => {
                self.complete_call(now, id, CallOutcome::Failure("no answer in time".into()))
            }
            Stage::Recording { reply, .. } if late => {
                let change = Change::Record(active.claim.clone().expect("keyed"), reply.clone());
                self.send_until_confirmed(now, change);
                let rejection = Rejection::unknown(
                    503,
                    "outcome_unrecorded",
                    "the outcome could not be recorded in time",
                );
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            Stage::Releasing { .. } if late => {
                let change = Change::Release(active.claim.clone().expect("keyed"));
                self.send_until_confirmed(now, change);
                let rejection =
                    Rejection::unknown(503, "no_ledger", "the ledger could not be reached");
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            _ => {}
        }
    }

    /// Whether the process ends so soon that what was not sent goes elsewhere:
    /// the second half of the grace time is for calls under way and for answers
    /// to be written.
    fn is_rejecting_unsent(&self, now: Duration) -> bool {
        self.shutdown_requested_at
            .is_some_and(|since| now >= since + self.shutdown_grace / 2)
    }

    /// Everything that was read gets an answer before the process ends: what
    /// still waits is given up in time to be told so. Calls under way go on.
    pub(super) fn reject_waiting_before_exit(&mut self, now: Duration) {
        if !self.is_rejecting_unsent(now) {
            return;
        }
        let waits = |active: &ActiveRequest| {
            matches!(
                active.stage,
                Stage::AwaitingClaim
                    | Stage::AwaitingCachedResponse { .. }
                    | Stage::Following
                    | Stage::AwaitingPermit
            )
        };
        let waiting: Vec<u64> = self
            .active_requests
            .iter()
            .filter(|(_, active)| waits(active))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if self.active_requests.contains_key(&id) {
                self.handle_deadline(now, id);
            }
        }
    }

    /// An owner that does not answer even a repeated question, or has no copy
    /// for half the time, is done without, as in the paper: who cannot get the
    /// copy goes to the origin.
    pub(super) fn fall_back_or_resend(&mut self, now: Duration, id: u64) {
        let live = self.is_live(now);
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        let half = active.started_at + (active.deadline - active.started_at) / 2;
        match active.stage {
            Stage::AwaitingPermit if now >= active.exchange.last_contact + ADMISSION_TIMEOUT => {
                self.call_without_permit(now, id);
                self.send_stage_message(now, id);
            }
            Stage::AwaitingCachedResponse {
                accepts_any_age: false,
                ..
            } if now >= half => self.fetch_without_owner(now, id),
            Stage::AwaitingCachedResponse {
                accepts_any_age: false,
                ..
            } if active.exchange.sends > 1
                && active.exchange.last_contact < active.exchange.sent_at
                && now >= active.exchange.sent_at + OWNER_TIMEOUT =>
            {
                self.fetch_without_owner(now, id)
            }
            Stage::AwaitingCachedResponse { .. }
                if now < active.exchange.sent_at + resend_backoff(active.exchange.sends) =>
            {
                active.exchange.resend_at =
                    active.exchange.sent_at + resend_backoff(active.exchange.sends);
            }
            Stage::Recording { .. } | Stage::Releasing { .. } | Stage::AwaitingClaim => {
                self.send_stage_message(now, id)
            }
            _ if live => self.send_stage_message(now, id),
            _ => {}
        }
    }
}
