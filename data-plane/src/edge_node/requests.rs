//! The life of a request, from its arrival to its one answer.
use super::cached::{OWNER_SILENT, repeat_span};
use super::{AGAIN, EdgeNode, LATE, PENDING, SILENT};
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn begin(&mut self, now: Duration, id: u64, request: ClientRequest) {
        self.usage.requests += 1;
        let mut job = Job::new(now, request);
        if !self.is_live(now) {
            let refusal = Rejection::fenced(job.untried_outcome());
            return self.answer(now, id, &job, ClientResponse::Rejection(refusal));
        }
        if self.hands_back(now) {
            let refusal = Rejection::ending(job.untried_outcome());
            return self.answer(now, id, &job, ClientResponse::Rejection(refusal));
        }
        let entry = job.request.entry();
        if entry.kind == Kind::Cached && !job.request.personal() && job.request.method == "GET" {
            job.key = Some(Job::cache_key(&job.request));
            if let Some(answer) = self.near_answer(now, &job) {
                self.usage.near_cache_hits += 1;
                return self.answer(now, id, &job, answer);
            }
        }
        if let Some(refusal) = self.crowded(now, &job) {
            return self.answer(now, id, &job, ClientResponse::Rejection(refusal));
        }
        match (job.request.entry().kind, job.key) {
            (_, Some(key)) => job.stage = self.join_group(now, id, key),
            (Kind::Keyed, None) => {
                job.claim = Some(Job::claim_of(&job.request, self.me, id));
                job.stage = Stage::AwaitingClaim;
            }
            _ => {}
        }
        self.jobs.insert(id, job);
        self.next_question(now, id);
        self.send_question(now, id);
    }

    /// Each pending request holds a thread of the HTTP side: a slow service must
    /// not take them all. Over its bound, the lowest rank goes first: this
    /// request, or one that waits for a permit and is told so at once.
    pub(super) fn crowded(&mut self, now: Duration, job: &Job) -> Option<Rejection> {
        let service = &job.request.service;
        let peers = self
            .jobs
            .iter()
            .filter(|(_, known)| known.request.service == *service);
        if peers.clone().count() < PENDING {
            return None;
        }
        let waiting = peers.filter(|(_, known)| {
            matches!(
                known.stage,
                Stage::AwaitingPermit | Stage::Following | Stage::AwaitingCopy { spare: false, .. }
            )
        });
        let lowest = waiting
            .min_by_key(|(id, known)| (known.request.entry().rank, std::cmp::Reverse(**id)))
            .map(|(id, known)| (*id, known.request.entry().rank));
        if let Some((id, _)) = lowest.filter(|(_, rank)| *rank < job.request.entry().rank) {
            let refusal = self.jobs[&id].refuse(
                429,
                "over_capacity",
                "too many errands of this service are pending here",
            );
            self.give_up(now, id, refusal);
            return None;
        }
        let outcome = job.untried_outcome();
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
    pub(super) fn send_question(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.round += 1;
        job.asked = now;
        job.again = match job.stage {
            Stage::AwaitingCopy { .. } if job.round > 1 => now + OWNER_SILENT,
            Stage::AwaitingCopy { .. } => now + repeat_span(job.round),
            _ => now + AGAIN,
        };
        let (round, left) = (job.round, job.deadline.saturating_sub(now));
        let question = job.question;
        job.asked_of = None;
        let mut asked_of = None;
        match &job.stage {
            Stage::AwaitingClaim => {
                let claim = job.claim.clone().expect("keyed");
                self.ask(question, round, Change::Claim(claim));
            }
            Stage::Recording { reply, .. } => {
                let change = Change::Record(job.claim.clone().expect("keyed"), reply.clone());
                self.ask(question, round, change);
            }
            Stage::Releasing { .. } => {
                let change = Change::Release(job.claim.clone().expect("keyed"));
                self.ask(question, round, change);
            }
            Stage::AwaitingCopy { spare, .. } => {
                let key = job.key.expect("cached");
                let entry = job.request.entry();
                let get = CacheGet {
                    id: question,
                    key,
                    entry: entry.name.clone(),
                    host: job.request.entry_host().into(),
                    url: job.request.url.clone(),
                    ttl: entry.keep(),
                    max_wait: left,
                    accepts_any_age: *spare,
                };
                let spare = *spare;
                match self.holder(&cache_assignment(
                    &self.locality.ring,
                    cache_partition(&key),
                )) {
                    Some(holder) => {
                        asked_of = Some(holder);
                        self.tell(holder, get);
                    }
                    // Nobody hands out copies of it now: fetch it ourselves.
                    None if !spare => self.set_stage(now, id, Stage::AwaitingPermit),
                    None => {}
                }
            }
            Stage::AwaitingPermit => {
                let entry = job.request.entry();
                let service = job.request.service.clone();
                let admission = admission_assignment(&service);
                let (extra, call) = (job.calls > 0, job.call_limit(now, Duration::ZERO));
                let (zone, region) = (self.locality.zone.clone(), self.locality.region.clone());
                let permit_request = PermitRequest {
                    service,
                    id: question,
                    rank: entry.rank,
                    max_wait: left,
                    sent: now,
                    is_retry: extra,
                    call_timeout: call,
                    latency_target: job.aim.saturating_sub(now),
                    zone,
                    region,
                    excluded_origins: job.failed.clone(),
                };
                match self.holder(&admission) {
                    Some(holder) => {
                        asked_of = Some(holder);
                        self.tell(holder, permit_request);
                    }
                    None => self.call_without_permit(now, id),
                }
            }
            Stage::Following | Stage::Calling { .. } => {}
        }
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| asked_of.is_some()) {
            job.asked_of = asked_of;
        }
    }

    pub(super) fn set_stage(&mut self, now: Duration, id: u64, stage: Stage) {
        if stage.begins_work() && self.is_abandoned(id) {
            return self.end_abandoned(now, id);
        }
        self.withdraw_question(now, id);
        if let (Stage::Recording { reply, .. }, Some(claim)) =
            (&stage, self.jobs.get(&id).and_then(|job| job.claim.clone()))
        {
            self.remember(now, &claim, reply);
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.key.is_some() && matches!(stage, Stage::AwaitingPermit) {
                let purged = job
                    .token
                    .map_or(self.book.applied, |(_, token)| token.purge_version);
                job.fetch = Some(Fetch { began: now, purged });
            }
            job.stage = stage;
            job.heard = now;
            job.round = 0;
            self.next_question(now, id);
            self.send_question(now, id);
        }
    }

    pub(super) fn answer(&mut self, now: Duration, id: u64, job: &Job, answer: ClientResponse) {
        let copy =
            matches!(answer, ClientResponse::Reply { age: Some(_), .. }) && job.claim.is_none();
        let answer = if copy && !self.is_live(now) {
            ClientResponse::Rejection(Rejection::fenced(job.outcome()))
        } else {
            answer
        };
        match &answer {
            ClientResponse::Reply { .. } => self.usage.completed += 1,
            ClientResponse::Rejection(_) => self.usage.rejected += 1,
        }
        self.out.push(Output::ClientResponse {
            id,
            response: answer,
        });
    }

    pub(super) fn end(&mut self, now: Duration, id: u64, answer: ClientResponse) {
        self.withdraw_question(now, id);
        if let Some(mut job) = self.jobs.remove(&id) {
            self.questions.remove(&job.question);
            let answer = match (answer, job.failure.take()) {
                (ClientResponse::Rejection(_), Some(reply)) => {
                    ClientResponse::Reply { reply, age: None }
                }
                (answer, _) => answer,
            };
            self.leave_group(now, id, &job, &answer);
            self.answer(now, id, &job, answer);
        }
    }

    /// The request is given up. What was claimed is released or recorded
    /// first; a refresher looks for a spare copy first.
    pub(super) fn give_up(&mut self, now: Duration, id: u64, refusal: Rejection) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some((owner, token)) = job.token.take() {
            let key = job.key.expect("cached");
            job.refusal = Some(refusal);
            self.tell(
                owner,
                CacheFillFailed {
                    key,
                    token,
                    private: false,
                },
            );
            if let Some(copy) = self.last_resort(now, id) {
                return self.end(now, id, copy);
            }
            return self.set_stage(
                now,
                id,
                Stage::AwaitingCopy {
                    since: now,
                    spare: true,
                },
            );
        }
        if job.claim.is_none() {
            let answer = self.last_resort(now, id);
            return self.end(
                now,
                id,
                answer.unwrap_or(ClientResponse::Rejection(refusal)),
            );
        }
        let stage = if job.sent {
            Stage::Recording {
                reply: None,
                answer: ClientResponse::Rejection(refusal),
            }
        } else {
            Stage::Releasing { refusal }
        };
        self.set_stage(now, id, stage);
    }

    pub(super) fn overdue(&mut self, now: Duration, id: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let late = now >= job.deadline + LATE;
        match &job.stage {
            Stage::AwaitingClaim => {
                let running = job.round > 1;
                let change = Change::Release(job.claim.clone().expect("keyed"));
                let refusal = if running {
                    Rejection::unknown(
                        409,
                        "in_progress",
                        "this operation is being run, or its ledger cannot be reached; ask again",
                    )
                } else {
                    Rejection::unknown(503, "no_ledger", "the ledger could not be reached")
                        .with_nothing_sent()
                };
                self.tell_later(now, change);
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            Stage::AwaitingCopy { spare: true, .. } => self.end_spare(now, id),
            Stage::AwaitingCopy { .. } | Stage::Following => {
                let refusal = job.refuse(503, "no_copy", "no copy came in time");
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            Stage::AwaitingPermit => {
                let refusal = job.refuse(
                    429,
                    "over_capacity",
                    "the service could not be called in time",
                );
                let spare = job.token.is_some();
                self.give_up(now, id, refusal);
                if spare {
                    // No time is left to look for a copy.
                    self.end_spare(now, id);
                }
            }
            Stage::Calling { .. } if late => {
                self.call_ended(now, id, CallOutcome::Failure("no answer in time".into()))
            }
            Stage::Recording { reply, .. } if late => {
                let change = Change::Record(job.claim.clone().expect("keyed"), reply.clone());
                self.tell_later(now, change);
                let refusal = Rejection::unknown(
                    503,
                    "outcome_unrecorded",
                    "the outcome could not be recorded in time",
                );
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            Stage::Releasing { .. } if late => {
                let change = Change::Release(job.claim.clone().expect("keyed"));
                self.tell_later(now, change);
                let refusal =
                    Rejection::unknown(503, "no_ledger", "the ledger could not be reached");
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            _ => {}
        }
    }

    /// Whether the process ends so soon that what was not sent goes elsewhere:
    /// the second half of the grace time is for calls under way and for answers
    /// to be written.
    fn hands_back(&self, now: Duration) -> bool {
        self.warned
            .is_some_and(|since| now >= since + self.grace / 2)
    }

    /// Everything that was read gets an answer before the process ends: what
    /// still waits is given up in time to be told so. Calls under way go on.
    pub(super) fn refuse_waiting_before_end(&mut self, now: Duration) {
        if !self.hands_back(now) {
            return;
        }
        let waits = |job: &Job| {
            matches!(
                job.stage,
                Stage::AwaitingClaim
                    | Stage::AwaitingCopy { .. }
                    | Stage::Following
                    | Stage::AwaitingPermit
            )
        };
        let waiting: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(_, job)| waits(job))
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if self.jobs.contains_key(&id) {
                self.overdue(now, id);
            }
        }
    }

    /// An owner that does not answer even a repeated question, or has no copy
    /// for half the time, is done without, as in the paper: who cannot get the
    /// copy goes to the origin.
    pub(super) fn fall_back_or_ask_again(&mut self, now: Duration, id: u64) {
        let live = self.is_live(now);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let half = job.began + (job.deadline - job.began) / 2;
        match job.stage {
            Stage::AwaitingPermit if now >= job.heard + SILENT => {
                self.call_without_permit(now, id);
                self.send_question(now, id);
            }
            Stage::AwaitingCopy { spare: false, .. } if now >= half => {
                self.fetch_without_owner(now, id)
            }
            Stage::AwaitingCopy { spare: false, .. }
                if job.round > 1 && job.heard < job.asked && now >= job.asked + OWNER_SILENT =>
            {
                self.fetch_without_owner(now, id)
            }
            Stage::AwaitingCopy { .. } if now < job.asked + repeat_span(job.round) => {
                job.again = job.asked + repeat_span(job.round);
            }
            Stage::Recording { .. } | Stage::Releasing { .. } | Stage::AwaitingClaim => {
                self.send_question(now, id)
            }
            _ if live => self.send_question(now, id),
            _ => {}
        }
    }
}
