//! Requests whose callers have left before their answer.
//!
//! What was not sent for such a request is not sent any more, and a call that
//! may be repeated is broken off, unless others gain by it: requests that wait
//! for the same copy, or the cache owner that made this one its refresher. An
//! operation that may have run goes on until its outcome is recorded.
use super::{EdgeNode, OWN_IDS};
use crate::prelude::*;

impl EdgeNode {
    /// The close of the caller's connection was read.
    pub(super) fn caller_left(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.caller_left = true;
        let text = format!("request {id} {} {}", job.request.service, job.stage.name());
        self.usage.client_disconnects += 1;
        self.abandoned_work.caller_left(now, id);
        self.note(Event::ClientDisconnected, text);
        self.stop_if_abandoned(now, id);
    }

    /// Whether nobody gains any more by what this request waits for.
    pub(super) fn is_abandoned(&self, id: u64) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|job| job.caller_left) else {
            return false;
        };
        let followed =
            |key: CacheKey| self.coalescer.leads(&key, id) && self.coalescer.has_followers(&key);
        job.token.is_none() && !job.key.is_some_and(followed)
    }

    /// Ends what the request waits for, if that is for nobody.
    pub(super) fn stop_if_abandoned(&mut self, now: Duration, id: u64) {
        if !self.is_abandoned(id) {
            return;
        }
        let job = &self.jobs[&id];
        match &job.stage {
            Stage::AwaitingCopy { .. } | Stage::Following | Stage::AwaitingPermit => {
                self.end_abandoned(now, id)
            }
            Stage::Calling { permit, since } => {
                if self.call_purpose(job) == CallPurpose::Caller {
                    let (permit, took) = (permit.clone(), now - *since);
                    let call = job.question;
                    self.out.push(Output::CancelCall { id: call });
                    self.tell_call_done(&permit, CallResult::Cancelled, took);
                    self.end_abandoned(now, id);
                }
            }
            // A claim that is under way is released once it is known to be held.
            Stage::AwaitingClaim => {}
            // The ledger must hear how it ended.
            Stage::Recording { .. } | Stage::Releasing { .. } => {}
        }
    }

    /// Ends a request that nobody waits for; a claim is given back first. The
    /// answer is for a caller that only shut its writing side.
    pub(super) fn end_abandoned(&mut self, now: Duration, id: u64) {
        let job = &self.jobs[&id];
        let refusal = job.refuse(
            503,
            "caller_left",
            "the caller has closed its side of the connection",
        );
        if job.claim.is_some() {
            self.give_up(now, id, refusal);
        } else {
            self.end(now, id, ClientResponse::Rejection(refusal));
        }
    }

    /// Takes back the question to the admission controller or cache owner that has not answered
    /// yet.
    pub(super) fn withdraw_question(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let asked_of = job.asked_of.take();
        // After the deadline it does not count there any more.
        let Some(holder) = asked_of.filter(|_| now < job.deadline) else {
            return;
        };
        let id = job.question;
        match (&job.stage, job.key) {
            (Stage::AwaitingPermit, _) => {
                let service = job.request.service.clone();
                self.tell(holder, PermitWithdrawn { service, id });
            }
            (Stage::AwaitingCopy { .. }, Some(key)) => {
                self.tell(holder, CacheGetWithdrawn { key, id })
            }
            _ => {}
        }
    }

    /// For whom the request's call is made now.
    pub(super) fn call_purpose(&self, job: &Job) -> CallPurpose {
        match job.key {
            Some(key) if job.token.is_some() || self.coalescer.has_followers(&key) => {
                CallPurpose::SharedCopy
            }
            Some(_) => CallPurpose::Copy,
            None if job.repeatable() => CallPurpose::Caller,
            None => CallPurpose::RunOnce,
        }
    }

    /// Shows the calls that leave and end with this step to the check of abandoned
    /// work.
    pub(super) fn watch_calls(&mut self, now: Duration) {
        let mut found = Vec::new();
        for output in &self.out {
            match output {
                Output::Call { id, call } if call.request & OWN_IDS == 0 => {
                    let (request, purpose) = (call.request, call.purpose);
                    let violation = self.abandoned_work.call_begun(now, *id, request, purpose);
                    found.extend(violation);
                }
                Output::CancelCall { id } => self.abandoned_work.call_ended(*id),
                _ => {}
            }
        }
        self.report_abandoned_work(found);
    }

    /// Looks for calls that go on for too long for nobody.
    pub(super) fn check_abandoned_work(&mut self, now: Duration) {
        let jobs = &self.jobs;
        let found = self
            .abandoned_work
            .overdue(now, &|request| jobs.contains_key(&request));
        self.report_abandoned_work(found);
    }

    fn report_abandoned_work(&mut self, violations: Vec<Violation>) {
        for violation in violations {
            self.usage.abandoned += 1;
            let Violation {
                request,
                purpose,
                kind,
                since,
            } = violation;
            let text = format!(
                "request {request} {purpose:?} call {kind:?} {} ms after its caller left",
                since.as_millis(),
            );
            self.note(Event::AbandonedWork, text);
        }
    }
}
