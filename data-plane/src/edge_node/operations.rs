//! What a keyed request tells the ledger.
use super::{EdgeNode, Loose, MAX_COMPLETED_OPERATIONS};
use crate::prelude::*;

impl EdgeNode {
    /// Asks the ledger, through the control node that answered last, then
    /// through the others in turn.
    pub(super) fn send_change(&mut self, question: u64, round: usize, change: Change) {
        let partition = match &change {
            Change::Claim(claim) | Change::Release(claim) | Change::Record(claim, _) => {
                ledger_partition(&claim.operation)
            }
            _ => return,
        };
        let first = self
            .leases
            .last_renewed()
            .and_then(|best| self.control_nodes.iter().position(|seed| *seed == best))
            .unwrap_or(0);
        let seed = self.control_nodes[(first + round.saturating_sub(1)) % self.control_nodes.len()];
        self.send(
            seed,
            ChangeRequest {
                hops: 0,
                requester: self.local_peer.address,
                id: question,
                partition,
                change,
            },
        );
    }

    pub(super) fn remember_completed(
        &mut self,
        now: Duration,
        claim: &Claim,
        reply: &Option<Arc<Reply>>,
    ) {
        while self
            .completed_operations
            .front()
            .is_some_and(|(at, _, _)| now >= *at + lease::OPERATION_RETENTION)
            || self.completed_operations.len() >= MAX_COMPLETED_OPERATIONS
        {
            self.completed_operations.pop_front();
        }
        self.completed_operations
            .push_back((now, claim.clone(), reply.clone()));
    }

    pub(super) fn handle_change_reply(&mut self, now: Duration, told: ChangeReply) {
        let ChangeReply {
            id: question,
            outcome: told,
        } = told;
        if matches!(
            told,
            ChangeOutcome::Released | ChangeOutcome::Recorded | ChangeOutcome::Unknown
        ) {
            self.unconfirmed_changes.remove(&question);
        }
        let Some(id) = self.request_awaiting(question) else {
            return;
        };
        let active = &self.active_requests[&id];
        match (&active.stage, told) {
            (Stage::AwaitingClaim, ChangeOutcome::Claimed) => {
                self.enter_stage(now, id, Stage::AwaitingPermit)
            }
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { same: false, .. }) => {
                let rejection = Rejection::not_run(
                    422,
                    "operation_key_reused",
                    "this operation key came with another request or caller",
                );
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            (
                Stage::AwaitingClaim,
                ChangeOutcome::AlreadyClaimed {
                    state: OperationState::Done(reply),
                    ..
                },
            ) => {
                self.finish(
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
                let mut rejection = Rejection::unknown(
                    409,
                    "outcome_unknown",
                    "this operation was sent and its outcome is not known; it is not run again",
                )
                .with_nothing_sent();
                rejection.retry_after_s = None;
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            (Stage::AwaitingClaim, ChangeOutcome::LedgerClosed { left }) => {
                let rejection = Rejection::unknown(503, "ledger_recovering", "acknowledged operations may be lost; none that is not known is run for a minute").with_nothing_sent();
                self.finish(
                    now,
                    id,
                    ClientResponse::Rejection(rejection.with_retry_after(left)),
                );
            }
            // Who was asked is cut off: the next is asked at once, each once.
            (
                Stage::AwaitingClaim | Stage::Recording { .. } | Stage::Releasing { .. },
                ChangeOutcome::NoMajority,
            ) if active.exchange.sends < self.control_nodes.len() => {
                self.send_stage_message(now, id)
            }
            // Runs elsewhere: nobody is left to be told of it.
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { .. })
                if active.client_disconnected =>
            {
                self.handle_deadline(now, id)
            }
            // Runs elsewhere: asked again in a moment, until the deadline.
            (Stage::AwaitingClaim, ChangeOutcome::AlreadyClaimed { .. }) => {}
            (Stage::Recording { response, .. }, ChangeOutcome::Recorded) => {
                let response = response.clone();
                self.finish(now, id, response);
            }
            (Stage::Recording { .. } | Stage::Releasing { .. }, ChangeOutcome::Unknown) => {
                let rejection =
                    Rejection::unknown(502, "outcome_unknown", "the outcome could not be recorded");
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            (Stage::Releasing { rejection }, ChangeOutcome::Released) => {
                let rejection = rejection.clone();
                self.finish(now, id, ClientResponse::Rejection(rejection));
            }
            _ => {}
        }
    }

    /// The ledger is told until it confirms, though nobody waits any more.
    pub(super) fn send_until_confirmed(&mut self, now: Duration, change: Change) {
        let question = self.next_id();
        self.unconfirmed_changes.insert(
            question,
            Loose {
                change,
                again: now,
                round: 0,
            },
        );
    }
}
