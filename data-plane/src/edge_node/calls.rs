//! Calls to origins: permits, their endings and further tries.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn handle_permit(&mut self, now: Duration, from: Peer, permit: Permit) {
        let fresh =
            now.saturating_sub(permit.sent).saturating_sub(permit.held) < lease::PERMIT_VALIDITY;
        let live = self.is_live(now);
        let listed = self
            .origins
            .iter()
            .any(|origin| *origin == permit.origin && !origin.draining);
        let asker = self.complete_exchange(permit.id).filter(|id| {
            let active = &self.active_requests[id];
            matches!(active.stage, Stage::AwaitingPermit)
                && active.request.service == permit.service
                && now < active.deadline
        });
        let Some(id) = asker.filter(|_| fresh && live && listed) else {
            let (service, epoch, serial) = (permit.service, permit.epoch, permit.serial);
            self.send(
                from.address,
                CallDone {
                    service,
                    epoch,
                    serial,
                    result: CallResult::Unused,
                    took: Duration::ZERO,
                },
            );
            if let Some(active) = asker.and_then(|id| self.active_requests.get_mut(&id)) {
                // With the next tick, not at once: an admission controller that has not heard
                // of a leaving origin yet would give it again and again.
                active.exchange.resend_at = now;
            }
            return;
        };
        self.send_call(now, id, permit);
    }

    /// The request's call leaves, under an id of its own.
    pub(super) fn send_call(&mut self, now: Duration, id: u64, permit: Permit) {
        let question = self.start_exchange(now, id);
        let ending = self.shutdown_requested_at.is_some();
        let purpose = self
            .active_requests
            .get(&id)
            .map(|active| self.call_purpose(active));
        let (Some(active), Some(purpose)) = (self.active_requests.get_mut(&id), purpose) else {
            return;
        };
        let mut call = active.call(now, id, permit.origin.clone(), permit.takes, purpose);
        if ending {
            // An origin at work is not given up any more: another one may not
            // be reached in time.
            call.timeout = active.remaining(now);
        }
        active.attempts.count += 1;
        active.attempts.sent = true;
        self.usage.calls += 1;
        self.usage.retries += u64::from(active.attempts.count > 1);
        active.stage = Stage::Calling { permit, since: now };
        self.outputs.push(Output::Call { id: question, call });
    }

    /// Calls under way are given all the time that is left: after a warning no
    /// origin at work is given up.
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

    pub(super) fn handle_permit_queued(&mut self, now: Duration, question: u64) {
        let asker = self.request_awaiting(question);
        if let Some(active) = asker.and_then(|id| self.active_requests.get_mut(&id)) {
            active.exchange.last_contact = now;
        }
    }

    /// Calls without a permit, within our own share, where the admission controller is silent.
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
        let service = active.request.service.clone();
        let under = |address: SocketAddr| {
            let there = |active: &&ActiveRequest| matches!(&active.stage, Stage::Calling { permit, .. } if permit.origin.address == address);
            self.active_requests.values().filter(there).count()
        };
        let edges = match self.known_rows[usize::from(ASSIGNMENTS_PARTITION)].get("roll") {
            Some(Row {
                value: Value::EdgeRegistry { members, .. },
                ..
            }) => members.len(),
            _ => return,
        };
        let share = self.fallback_quotas.entry(service.clone()).or_default();
        let Some(origin) = share.pick(
            now,
            active.request.group(),
            &self.origins,
            &self.locality,
            edges,
            &under,
        ) else {
            return;
        };
        let permit = Permit {
            id,
            service,
            epoch: 0,
            serial: 0,
            origin,
            sent: now,
            held: Duration::ZERO,
            takes: Duration::ZERO,
        };
        self.send_call(now, id, permit);
    }

    pub(super) fn handle_permit_refused(&mut self, now: Duration, away: PermitRefused) {
        let Some(id) = self.complete_exchange(away.id) else {
            return;
        };
        let active = &self.active_requests[&id];
        if !matches!(active.stage, Stage::AwaitingPermit) {
            return;
        }
        if away.reason == PermitRefusalReason::NotOwner {
            // Between two holders.
            return self.call_without_permit(now, id);
        }
        let rejection = match away.reason {
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
            _ => active.reject(
                503,
                "no_origin",
                "no origin of the service can be called now",
            ),
        };
        self.fail_request(now, id, rejection.with_retry_after(away.back));
    }

    pub(super) fn handle_call_completed(&mut self, now: Duration, id: u64, result: CallOutcome) {
        if self.probes_in_flight.contains_key(&id) {
            return self.handle_probe_result(now, id, result);
        }
        if let Some(id) = self.request_awaiting(id) {
            self.complete_call(now, id, result);
        }
    }

    /// The call that a job waits for has ended.
    pub(super) fn complete_call(&mut self, now: Duration, id: u64, result: CallOutcome) {
        let Some(ActiveRequest {
            stage: Stage::Calling { permit, since },
            ..
        }) = self.active_requests.get(&id)
        else {
            return;
        };
        let (permit, took) = (permit.clone(), now - *since);
        let judged = !matches!(result, CallOutcome::Success(_) | CallOutcome::NotSent);
        if permit.epoch == 0 && judged {
            self.fallback_quotas
                .entry(permit.service.clone())
                .or_default()
                .call_failed(now, permit.origin.address);
        }
        let told = match &result {
            CallOutcome::Success(_) => CallResult::Success,
            CallOutcome::NotSent => CallResult::Unused,
            CallOutcome::Unreachable => CallResult::Unreachable,
            CallOutcome::NotExecuted => CallResult::NotExecuted,
            CallOutcome::WrongInstance => CallResult::WrongInstance,
            CallOutcome::Failure(_) => CallResult::Failure,
        };
        self.report_call_done(&permit, told, took);
        match result {
            CallOutcome::Success(reply) if reply.status >= 500 && self.may_retry(now, id) => {
                let active = self.active_requests.get_mut(&id).expect("just seen");
                active.attempts.may_have_run = true;
                active.attempts.failed_origins.push(permit.origin.address);
                active.attempts.origin_failure = Some(reply);
                self.enter_stage(now, id, Stage::AwaitingPermit);
            }
            CallOutcome::Success(reply) => self.handle_success(now, id, reply),
            CallOutcome::NotSent => {
                let active = self.active_requests.get_mut(&id).expect("just seen");
                active.attempts.sent = active.attempts.may_have_run;
                // It was no try.
                active.attempts.count -= 1;
                let why = "the call was withheld";
                self.retry_or_fail(now, id, true, 503, "no_origin", why);
            }
            CallOutcome::Unreachable | CallOutcome::NotExecuted | CallOutcome::WrongInstance => {
                let active = self.active_requests.get_mut(&id).expect("just seen");
                // It did not run this time; an earlier call may have.
                active.attempts.sent = active.attempts.may_have_run;
                active.attempts.failed_origins.push(permit.origin.address);
                self.retry_or_fail(
                    now,
                    id,
                    true,
                    503,
                    "no_origin",
                    "the origin did not take it",
                );
            }
            CallOutcome::Failure(why) => {
                self.log_event(
                    Event::ResponseRejected,
                    format!("{}: {why}", permit.origin.address),
                );
                let active = self.active_requests.get_mut(&id).expect("just seen");
                active.attempts.may_have_run = true;
                active.attempts.failed_origins.push(permit.origin.address);
                let again = active.is_idempotent();
                self.retry_or_fail(
                    now,
                    id,
                    again,
                    502,
                    "bad_origin_answer",
                    "no acceptable answer came from the origin",
                );
            }
        }
    }

    /// The admission controller hears how a call by its permit has ended.
    pub(super) fn report_call_done(&mut self, permit: &Permit, result: CallResult, took: Duration) {
        if let Some(holder) = self.assignment_owner(&admission_assignment(&permit.service)) {
            let done = CallDone {
                service: permit.service.clone(),
                epoch: permit.epoch,
                serial: permit.serial,
                result,
                took,
            };
            self.send(holder, done);
        }
    }

    /// Whether another origin may be asked after one ran it and failed.
    pub(super) fn may_retry(&self, now: Duration, id: u64) -> bool {
        let active = &self.active_requests[&id];
        active.is_idempotent() && active.may_attempt(now)
    }

    pub(super) fn retry_or_fail(
        &mut self,
        now: Duration,
        id: u64,
        may: bool,
        status: u16,
        code: &str,
        text: &str,
    ) {
        let active = &self.active_requests[&id];
        let rejection = active.reject(status, code, text);
        if may && active.may_attempt(now) {
            self.enter_stage(now, id, Stage::AwaitingPermit);
        } else {
            self.fail_request(now, id, rejection);
        }
    }

    pub(super) fn handle_success(&mut self, now: Duration, id: u64, reply: Reply) {
        let active = self.active_requests.get_mut(&id).expect("just seen");
        if active.claim.is_some() {
            let answer = ClientResponse::Reply {
                reply: reply.clone(),
                age: None,
            };
            return self.enter_stage(
                now,
                id,
                Stage::Recording {
                    reply: Some(Arc::new(reply)),
                    response: answer,
                },
            );
        }
        match active.cache.key {
            Some(key) => self.handle_fetched(now, id, key, reply),
            None => self.finish(now, id, ClientResponse::Reply { reply, age: None }),
        }
    }
}
