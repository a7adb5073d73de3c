//! Calls to origins: permits, their endings and further tries.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn permit(&mut self, now: Duration, from: Peer, permit: Permit) {
        let fresh =
            now.saturating_sub(permit.sent).saturating_sub(permit.held) < lease::PERMIT_VALIDITY;
        let live = self.is_live(now);
        let listed = self
            .origins
            .iter()
            .any(|origin| *origin == permit.origin && !origin.draining);
        let asker = self.answered(permit.id).filter(|id| {
            let job = &self.jobs[id];
            matches!(job.stage, Stage::AwaitingPermit)
                && job.request.service == permit.service
                && now < job.deadline
        });
        let Some(id) = asker.filter(|_| fresh && live && listed) else {
            let (service, epoch, serial) = (permit.service, permit.epoch, permit.serial);
            self.tell(
                from.address,
                CallDone {
                    service,
                    epoch,
                    serial,
                    result: CallResult::Unused,
                    took: Duration::ZERO,
                },
            );
            if let Some(job) = asker.and_then(|id| self.jobs.get_mut(&id)) {
                // With the next tick, not at once: an admission controller that has not heard
                // of a leaving origin yet would give it again and again.
                job.again = now;
            }
            return;
        };
        self.send_call(now, id, permit);
    }

    /// The request's call leaves, under an id of its own.
    pub(super) fn send_call(&mut self, now: Duration, id: u64, permit: Permit) {
        let question = self.next_question(now, id);
        let ending = self.warned.is_some();
        let purpose = self.jobs.get(&id).map(|job| self.call_purpose(job));
        let (Some(job), Some(purpose)) = (self.jobs.get_mut(&id), purpose) else {
            return;
        };
        let mut call = job.call(now, id, permit.origin.clone(), permit.takes, purpose);
        if ending {
            // An origin at work is not given up any more: another one may not
            // be reached in time.
            call.timeout = job.left(now);
        }
        job.calls += 1;
        job.sent = true;
        self.usage.calls += 1;
        self.usage.retries += u64::from(job.calls > 1);
        job.stage = Stage::Calling { permit, since: now };
        self.out.push(Output::Call { id: question, call });
    }

    /// Calls under way are given all the time that is left: after a warning no
    /// origin at work is given up.
    pub(super) fn extend_calls(&mut self, now: Duration) {
        let calls = self.jobs.values().filter_map(|job| match job.stage {
            Stage::Calling { .. } => Some(Output::ExtendCall {
                id: job.question,
                limit: job.left(now),
            }),
            _ => None,
        });
        self.out.extend(calls);
    }

    pub(super) fn permit_queued(&mut self, now: Duration, question: u64) {
        let asker = self.asker(question);
        if let Some(job) = asker.and_then(|id| self.jobs.get_mut(&id)) {
            job.heard = now;
        }
    }

    /// Calls without a permit, within our own share, where the admission controller is silent.
    pub(super) fn call_without_permit(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id).filter(|job| {
            job.calls == 0 && now < job.deadline && matches!(job.stage, Stage::AwaitingPermit)
        }) else {
            return;
        };
        if !self.is_live(now) {
            return;
        }
        let service = job.request.service.clone();
        let under = |address: SocketAddr| {
            let there = |job: &&Job| matches!(&job.stage, Stage::Calling { permit, .. } if permit.origin.address == address);
            self.jobs.values().filter(there).count()
        };
        let edges = match self.known[usize::from(ASSIGNMENTS_PARTITION)].get("roll") {
            Some(Row {
                value: Value::EdgeRegistry { members, .. },
                ..
            }) => members.len(),
            _ => return,
        };
        let share = self.shares.entry(service.clone()).or_default();
        let Some(origin) = share.pick(
            now,
            job.request.group(),
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

    pub(super) fn permit_refused(&mut self, now: Duration, away: PermitRefused) {
        let Some(id) = self.answered(away.id) else {
            return;
        };
        let job = &self.jobs[&id];
        if !matches!(job.stage, Stage::AwaitingPermit) {
            return;
        }
        if away.reason == PermitRefusalReason::NotOwner {
            // Between two holders.
            return self.call_without_permit(now, id);
        }
        let refusal = match away.reason {
            PermitRefusalReason::Overloaded => job.refuse(
                429,
                "over_capacity",
                "more is asked of the service than it may be called",
            ),
            PermitRefusalReason::RetryBudgetExhausted => job.refuse(
                503,
                "no_more_tries",
                "the call failed and the budget for further tries is spent",
            ),
            _ => job.refuse(
                503,
                "no_origin",
                "no origin of the service can be called now",
            ),
        };
        self.give_up(now, id, refusal.with_retry_after(away.back));
    }

    pub(super) fn called(&mut self, now: Duration, id: u64, result: CallOutcome) {
        if self.probes.contains_key(&id) {
            return self.probed(now, id, result);
        }
        if let Some(id) = self.asker(id) {
            self.call_ended(now, id, result);
        }
    }

    /// The call that a job waits for has ended.
    pub(super) fn call_ended(&mut self, now: Duration, id: u64, result: CallOutcome) {
        let Some(Job {
            stage: Stage::Calling { permit, since },
            ..
        }) = self.jobs.get(&id)
        else {
            return;
        };
        let (permit, took) = (permit.clone(), now - *since);
        let judged = !matches!(result, CallOutcome::Success(_) | CallOutcome::NotSent);
        if permit.epoch == 0 && judged {
            self.shares
                .entry(permit.service.clone())
                .or_default()
                .failed(now, permit.origin.address);
        }
        let told = match &result {
            CallOutcome::Success(_) => CallResult::Success,
            CallOutcome::NotSent => CallResult::Unused,
            CallOutcome::Unreachable => CallResult::Unreachable,
            CallOutcome::NotExecuted => CallResult::NotExecuted,
            CallOutcome::WrongInstance => CallResult::WrongInstance,
            CallOutcome::Failure(_) => CallResult::Failure,
        };
        self.tell_call_done(&permit, told, took);
        match result {
            CallOutcome::Success(reply) if reply.status >= 500 && self.may_repeat(now, id) => {
                let job = self.jobs.get_mut(&id).expect("just seen");
                job.ran = true;
                job.failed.push(permit.origin.address);
                job.failure = Some(reply);
                self.set_stage(now, id, Stage::AwaitingPermit);
            }
            CallOutcome::Success(reply) => self.good(now, id, reply),
            CallOutcome::NotSent => {
                let job = self.jobs.get_mut(&id).expect("just seen");
                job.sent = job.ran;
                // It was no try.
                job.calls -= 1;
                let why = "the call was withheld";
                self.try_again(now, id, true, 503, "no_origin", why);
            }
            CallOutcome::Unreachable | CallOutcome::NotExecuted | CallOutcome::WrongInstance => {
                let job = self.jobs.get_mut(&id).expect("just seen");
                // It did not run this time; an earlier call may have.
                job.sent = job.ran;
                job.failed.push(permit.origin.address);
                self.try_again(
                    now,
                    id,
                    true,
                    503,
                    "no_origin",
                    "the origin did not take it",
                );
            }
            CallOutcome::Failure(why) => {
                self.note(
                    Event::ResponseRejected,
                    format!("{}: {why}", permit.origin.address),
                );
                let job = self.jobs.get_mut(&id).expect("just seen");
                job.ran = true;
                job.failed.push(permit.origin.address);
                let again = job.repeatable();
                self.try_again(
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
    pub(super) fn tell_call_done(&mut self, permit: &Permit, result: CallResult, took: Duration) {
        if let Some(holder) = self.holder(&admission_assignment(&permit.service)) {
            let done = CallDone {
                service: permit.service.clone(),
                epoch: permit.epoch,
                serial: permit.serial,
                result,
                took,
            };
            self.tell(holder, done);
        }
    }

    /// Whether another origin may be asked after one ran it and failed.
    pub(super) fn may_repeat(&self, now: Duration, id: u64) -> bool {
        let job = &self.jobs[&id];
        job.repeatable() && job.has_try(now)
    }

    pub(super) fn try_again(
        &mut self,
        now: Duration,
        id: u64,
        may: bool,
        status: u16,
        code: &str,
        text: &str,
    ) {
        let job = &self.jobs[&id];
        let refusal = job.refuse(status, code, text);
        if may && job.has_try(now) {
            self.set_stage(now, id, Stage::AwaitingPermit);
        } else {
            self.give_up(now, id, refusal);
        }
    }

    pub(super) fn good(&mut self, now: Duration, id: u64, reply: Reply) {
        let job = self.jobs.get_mut(&id).expect("just seen");
        if job.claim.is_some() {
            let answer = ClientResponse::Reply {
                reply: reply.clone(),
                age: None,
            };
            return self.set_stage(
                now,
                id,
                Stage::Recording {
                    reply: Some(Arc::new(reply)),
                    answer,
                },
            );
        }
        match job.key {
            Some(key) => self.fetched(now, id, key, reply),
            None => self.end(now, id, ClientResponse::Reply { reply, age: None }),
        }
    }
}
