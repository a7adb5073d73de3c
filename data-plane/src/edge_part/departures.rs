//! Requests whose callers have left before their answer.
use super::{EdgePart, OWN_IDS};
use crate::prelude::*;

impl EdgePart {
    /// The close of the caller's connection was read.
    pub(super) fn caller_left(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let text = format!("request {id} {} {}", job.errand.service, job.stage.name());
        self.usage.left += 1;
        self.abandoned_work.caller_left(now, id);
        self.note(Event::CallerLeft, text);
    }

    /// For whom the request's call is made now.
    fn call_purpose(&self, job: &Job) -> CallPurpose {
        match job.key {
            Some(key) if job.token.is_some() || self.coalescer.has_followers(&key) => {
                CallPurpose::SharedCopy
            }
            Some(_) => CallPurpose::Copy,
            None if job.repeatable() => CallPurpose::Caller,
            None => CallPurpose::RunOnce,
        }
    }

    /// Shows the calls that leave with this step to the check of abandoned work.
    pub(super) fn watch_calls(&mut self, now: Duration) {
        let mut found = Vec::new();
        for output in &self.out {
            let Output::Call { id, call } = output else {
                continue;
            };
            let Some(job) = self.jobs.get(&call.errand) else {
                continue; // A probe, which no caller asked for.
            };
            debug_assert!(
                call.errand & OWN_IDS == 0,
                "requests are numbered by the host"
            );
            let purpose = self.call_purpose(job);
            let violation = self
                .abandoned_work
                .call_begun(now, *id, call.errand, purpose);
            found.extend(violation);
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
            let job = self.jobs.get(&request);
            let text = format!(
                "request {request} {purpose:?} call {kind:?} {} ms after its caller left; call {}",
                since.as_millis(),
                job.map_or(0, |job| job.calls),
            );
            self.note(Event::AbandonedWork, text);
        }
    }
}
