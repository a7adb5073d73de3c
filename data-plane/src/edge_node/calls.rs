//! Calls to origins: permits, call outcomes and retries.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    /// Handles a permit that an admission controller has granted.
    pub(super) fn handle_permit(&mut self, now: Duration, from: Peer, permit: Permit) {
        let waiting = self
            .complete_exchange(permit.id)
            .filter(|id| self.awaits_permit(now, *id, &permit.service));
        match waiting {
            Some(id) if self.is_usable(now, &permit) => self.send_call(now, id, permit),
            _ => {
                self.return_permit(from.address, permit);
                if let Some(active) = waiting.and_then(|id| self.active_requests.get_mut(&id)) {
                    // Requests another permit on the next tick, not at once: an admission
                    // controller that does not know yet that an origin is draining would
                    // grant that origin over and over.
                    active.exchange.resend_at = now;
                }
            }
        }
    }

    fn awaits_permit(&self, now: Duration, id: u64, service: &str) -> bool {
        let active = &self.active_requests[&id];
        matches!(active.stage, Stage::AwaitingPermit)
            && active.request.service == service
            && now < active.deadline
    }

    /// Returns true if a call may be sent under this permit now.
    fn is_usable(&self, now: Duration, permit: &Permit) -> bool {
        let age = now
            .saturating_sub(permit.sent)
            .saturating_sub(permit.queued_for);
        let is_listed = self
            .state
            .origins
            .iter()
            .any(|origin| *origin == permit.origin && !origin.draining);
        age < lease::PERMIT_VALIDITY && self.is_live(now) && is_listed
    }

    fn return_permit(&mut self, controller: SocketAddr, permit: Permit) {
        let unused = CallDone {
            service: permit.service,
            epoch: permit.epoch,
            serial: permit.serial,
            result: CallResult::Unused,
            took: Duration::ZERO,
        };
        self.send(controller, unused);
    }

    /// Sends the request's call under a new exchange id.
    fn send_call(&mut self, now: Duration, id: u64, permit: Permit) {
        let exchange = self.start_exchange(now, id);
        let is_shutting_down = self.shutdown_requested_at.is_some();
        let purpose = self
            .active_requests
            .get(&id)
            .map(|active| self.call_purpose(active));
        let (Some(active), Some(purpose)) = (self.active_requests.get_mut(&id), purpose) else {
            return;
        };
        let mut call = active.call(
            now,
            id,
            permit.origin.clone(),
            permit.expected_latency,
            purpose,
        );
        if is_shutting_down {
            // No retry follows: another origin might not respond in time.
            call.timeout = active.remaining(now);
        }
        active.attempts.count += 1;
        active.attempts.may_have_reached_origin = true;
        self.usage.calls += 1;
        self.usage.retries += u64::from(active.attempts.count > 1);
        active.stage = Stage::Calling {
            permit,
            sent_at: now,
        };
        self.outputs.push(Output::Call { id: exchange, call });
    }

    /// Extends the timeouts of calls in flight to their deadlines, since no call is
    /// retried after a shutdown request.
    pub(super) fn extend_call_timeouts(&mut self, now: Duration) {
        let calls = self
            .active_requests
            .values()
            .filter_map(|active| match active.stage {
                Stage::Calling { .. } => Some(Output::ExtendCall {
                    id: active.exchange.id,
                    limit: active.remaining(now),
                }),
                _ => None,
            });
        self.outputs.extend(calls);
    }

    /// Handles the admission controller's confirmation that the request is queued.
    pub(super) fn handle_permit_queued(&mut self, now: Duration, exchange: u64) {
        self.record_contact(now, exchange);
    }

    /// Sends a first attempt without a permit, within the fallback quota, because the
    /// admission controller does not respond.
    pub(super) fn call_without_permit(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get(&id).filter(|active| {
            active.attempts.count == 0
                && now < active.deadline
                && matches!(active.stage, Stage::AwaitingPermit)
        }) else {
            return;
        };
        if !self.is_live(now) {
            return;
        }
        let Some(edges) = self.edge_registry().map(|registry| registry.members.len()) else {
            return;
        };
        let service = active.request.service.clone();
        let in_flight = |origin: SocketAddr| {
            self.active_requests
                .values()
                .filter(|active| active.is_calling(origin))
                .count()
        };
        let quota = self.fallback_quotas.entry(service.clone()).or_default();
        let Some(origin) = quota.pick(
            now,
            active.request.group(),
            &self.state.origins,
            &self.locality,
            edges,
            &in_flight,
        ) else {
            return;
        };
        let permit = Permit {
            id,
            service,
            epoch: FALLBACK_EPOCH,
            serial: 0,
            origin,
            sent: now,
            queued_for: Duration::ZERO,
            expected_latency: Duration::ZERO,
        };
        self.send_call(now, id, permit);
    }

    /// Handles an admission controller's refusal of a permit.
    pub(super) fn handle_permit_refused(&mut self, now: Duration, refused: PermitRefused) {
        let Some(id) = self.complete_exchange(refused.id) else {
            return;
        };
        let active = &self.active_requests[&id];
        if !matches!(active.stage, Stage::AwaitingPermit) {
            return;
        }
        let rejection = match refused.reason {
            // The assignment is being moved to another edge.
            PermitRefusalReason::NotOwner => return self.call_without_permit(now, id),
            PermitRefusalReason::Overloaded => active.reject(
                429,
                "over_capacity",
                "more is asked of the service than it may be called",
            ),
            PermitRefusalReason::RetryBudgetExhausted => active.reject(
                503,
                "no_more_tries",
                "the call failed and the budget for further tries is spent",
            ),
            PermitRefusalReason::NoHealthyOrigin => active.reject(
                503,
                "no_origin",
                "no origin of the service can be called now",
            ),
        };
        self.fail_request(now, id, rejection.with_retry_after(refused.retry_after));
    }

    /// Handles the end of a call or a probe.
    pub(super) fn handle_call_completed(&mut self, now: Duration, id: u64, outcome: CallOutcome) {
        if self.probes_in_flight.contains_key(&id) {
            return self.handle_probe_result(now, id, outcome);
        }
        if let Some(id) = self.request_awaiting(id) {
            self.complete_call(now, id, outcome);
        }
    }

    /// Handles the end of the call that a request waits for.
    pub(super) fn complete_call(&mut self, now: Duration, id: u64, outcome: CallOutcome) {
        let Some(ActiveRequest {
            stage: Stage::Calling { permit, sent_at },
            ..
        }) = self.active_requests.get(&id)
        else {
            return;
        };
        let (permit, took) = (permit.clone(), now - *sent_at);
        let origin = permit.origin.address;
        let has_failed = !matches!(outcome, CallOutcome::Success(_) | CallOutcome::NotSent);
        if permit.epoch == FALLBACK_EPOCH && has_failed {
            self.fallback_quotas
                .entry(permit.service.clone())
                .or_default()
                .call_failed(now, origin);
        }
        self.report_call_done(&permit, call_result(&outcome), took);
        match outcome {
            CallOutcome::Success(reply) if reply.status >= 500 && self.may_retry(now, id) => {
                self.retry_after_error_response(now, id, origin, reply)
            }
            CallOutcome::Success(reply) => self.handle_success(now, id, reply),
            CallOutcome::NotSent => self.retry_unsent(now, id),
            CallOutcome::Unreachable | CallOutcome::NotExecuted | CallOutcome::WrongInstance => {
                self.retry_unexecuted(now, id, origin)
            }
            CallOutcome::Failure(reason) => {
                self.log_event(Event::ResponseRejected, format!("{origin}: {reason}"));
                self.retry_failed(now, id, origin)
            }
        }
    }

    /// Reports the result of a call to the current admission controller of its service.
    pub(super) fn report_call_done(&mut self, permit: &Permit, result: CallResult, took: Duration) {
        if let Some(controller) = self.assignment_owner(&admission_assignment(&permit.service)) {
            let done = CallDone {
                service: permit.service.clone(),
                epoch: permit.epoch,
                serial: permit.serial,
                result,
                took,
            };
            self.send(controller, done);
        }
    }

    /// Returns true if the request may be retried after an origin executed it and
    /// failed.
    fn may_retry(&self, now: Duration, id: u64) -> bool {
        let active = &self.active_requests[&id];
        active.is_idempotent() && active.may_attempt(now)
    }

    fn retry_after_error_response(
        &mut self,
        now: Duration,
        id: u64,
        origin: SocketAddr,
        reply: Reply,
    ) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        active.attempts.may_have_run = true;
        active.attempts.failed_origins.push(origin);
        active.attempts.origin_error_response = Some(reply);
        self.enter_stage(now, id, Stage::AwaitingPermit);
    }

    /// Retries a call that was not sent. It does not count as an attempt.
    fn retry_unsent(&mut self, now: Duration, id: u64) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        active.attempts.may_have_reached_origin = active.attempts.may_have_run;
        active.attempts.count -= 1;
        let rejection = active.reject(503, "no_origin", "the call was withheld");
        self.retry_or_fail(now, id, rejection);
    }

    /// Retries a call that was not executed. An earlier one may have been.
    fn retry_unexecuted(&mut self, now: Duration, id: u64, origin: SocketAddr) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        active.attempts.may_have_reached_origin = active.attempts.may_have_run;
        active.attempts.failed_origins.push(origin);
        let rejection = active.reject(503, "no_origin", "the origin did not take it");
        self.retry_or_fail(now, id, rejection);
    }

    /// Retries a call that may have been executed, if the request is idempotent.
    fn retry_failed(&mut self, now: Duration, id: u64, origin: SocketAddr) {
        let active = self.active_requests.get_mut(&id).expect("just found");
        active.attempts.may_have_run = true;
        active.attempts.failed_origins.push(origin);
        let rejection = active.reject(
            502,
            "bad_origin_answer",
            "no acceptable answer came from the origin",
        );
        if active.is_idempotent() {
            self.retry_or_fail(now, id, rejection);
        } else {
            self.fail_request(now, id, rejection);
        }
    }

    fn retry_or_fail(&mut self, now: Duration, id: u64, rejection: Rejection) {
        if self.active_requests[&id].may_attempt(now) {
            self.enter_stage(now, id, Stage::AwaitingPermit);
        } else {
            self.fail_request(now, id, rejection);
        }
    }

    /// Handles an origin's response: records or stores it, then sends it to the client.
    fn handle_success(&mut self, now: Duration, id: u64, reply: Reply) {
        let active = &self.active_requests[&id];
        if active.claim.is_some() {
            let stage = Stage::Recording {
                reply: Some(Arc::new(reply.clone())),
                response: ClientResponse::Reply { reply, age: None },
            };
            return self.enter_stage(now, id, stage);
        }
        match active.cache.key {
            Some(key) => self.handle_fetched(now, id, key, reply),
            None => self.finish(now, id, ClientResponse::Reply { reply, age: None }),
        }
    }
}

/// Converts a call's outcome to the result reported to the admission controller.
fn call_result(outcome: &CallOutcome) -> CallResult {
    match outcome {
        CallOutcome::Success(_) => CallResult::Success,
        CallOutcome::NotSent => CallResult::Unused,
        CallOutcome::Unreachable => CallResult::Unreachable,
        CallOutcome::NotExecuted => CallResult::NotExecuted,
        CallOutcome::WrongInstance => CallResult::WrongInstance,
        CallOutcome::Failure(_) => CallResult::Failure,
    }
}
