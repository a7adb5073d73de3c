//! What a keyed request tells the ledger.
use super::{ENDED, EdgeNode, Loose};
use crate::prelude::*;

impl EdgeNode {
    /// Asks the ledger, through the control node that answered last, then
    /// through the others in turn.
    pub(super) fn ask(&mut self, question: u64, round: usize, change: Change) {
        let partition = match &change {
            Change::Claim(claim) | Change::Release(claim) | Change::Record(claim, _) => {
                ledger_partition(&claim.operation)
            }
            _ => return,
        };
        let first = self
            .leases
            .best()
            .and_then(|best| self.seeds.iter().position(|seed| *seed == best))
            .unwrap_or(0);
        let seed = self.seeds[(first + round.saturating_sub(1)) % self.seeds.len()];
        self.tell(
            seed,
            ChangeRequest {
                hops: 0,
                requester: self.me.address,
                id: question,
                partition,
                change,
            },
        );
    }

    pub(super) fn remember(&mut self, now: Duration, claim: &Claim, reply: &Option<Arc<Reply>>) {
        while self
            .ended
            .front()
            .is_some_and(|(at, _, _)| now >= *at + lease::OPERATION_RETENTION)
            || self.ended.len() >= ENDED
        {
            self.ended.pop_front();
        }
        self.ended.push_back((now, claim.clone(), reply.clone()));
    }

    pub(super) fn told(&mut self, now: Duration, told: ChangeReply) {
        let ChangeReply {
            id: question,
            outcome: told,
        } = told;
        if matches!(
            told,
            ChangeOutcome::Released | ChangeOutcome::Recorded | ChangeOutcome::Unknown
        ) {
            self.loose.remove(&question);
        }
        let Some(id) = self.asker(question) else {
            return;
        };
        let job = &self.jobs[&id];
        match (&job.stage, told) {
            (Stage::AwaitingClaim, ChangeOutcome::Claimed) => {
                self.set_stage(now, id, Stage::AwaitingPermit)
            }
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { same: false, .. }) => {
                let refusal = Rejection::not_run(
                    422,
                    "operation_key_reused",
                    "this operation key came with another request or caller",
                );
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            (
                Stage::AwaitingClaim,
                ChangeOutcome::AlreadyClaimed {
                    state: OperationState::Done(reply),
                    ..
                },
            ) => {
                self.end(
                    now,
                    id,
                    ClientResponse::Reply {
                        reply: (*reply).clone(),
                        age: None,
                    },
                );
            }
            (
                Stage::AwaitingClaim,
                ChangeOutcome::AlreadyClaimed {
                    state: OperationState::Unknown,
                    ..
                },
            ) => {
                let mut refusal = Rejection::unknown(
                    409,
                    "outcome_unknown",
                    "this operation was sent and its outcome is not known; it is not run again",
                )
                .with_nothing_sent();
                refusal.retry_after_s = None;
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            (Stage::AwaitingClaim, ChangeOutcome::LedgerClosed { left }) => {
                let refusal = Rejection::unknown(503, "ledger_recovering", "acknowledged operations may be lost; none that is not known is run for a minute").with_nothing_sent();
                self.end(
                    now,
                    id,
                    ClientResponse::Rejection(refusal.with_retry_after(left)),
                );
            }
            // Who was asked is cut off: the next is asked at once, each once.
            (
                Stage::AwaitingClaim | Stage::Recording { .. } | Stage::Releasing { .. },
                ChangeOutcome::NoMajority,
            ) if job.round < self.seeds.len() => self.send_question(now, id),
            // Runs elsewhere: nobody is left to be told of it.
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { .. }) if job.caller_left => {
                self.overdue(now, id)
            }
            // Runs elsewhere: asked again in a moment, until the deadline.
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { .. }) => {}
            (Stage::Recording { answer, .. }, ChangeOutcome::Recorded) => {
                let answer = answer.clone();
                self.end(now, id, answer);
            }
            (Stage::Recording { .. } | Stage::Releasing { .. }, ChangeOutcome::Unknown) => {
                let refusal =
                    Rejection::unknown(502, "outcome_unknown", "the outcome could not be recorded");
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            (Stage::Releasing { refusal }, ChangeOutcome::Released) => {
                let refusal = refusal.clone();
                self.end(now, id, ClientResponse::Rejection(refusal));
            }
            _ => {}
        }
    }

    /// The ledger is told until it confirms, though nobody waits any more.
    pub(super) fn tell_later(&mut self, now: Duration, change: Change) {
        let question = self.draw_id();
        self.loose.insert(
            question,
            Loose {
                change,
                again: now,
                round: 0,
            },
        );
    }
}
