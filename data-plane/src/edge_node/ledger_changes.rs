//! Changes that keyed requests make in the ledger.
use super::{EdgeNode, MAX_COMPLETED_OPERATIONS, RESEND_INTERVAL};
use crate::prelude::*;

/// A change that the ledger has not confirmed yet and that no request waits for.
pub(super) struct UnconfirmedChange {
    change: Change,
    resend_at: Duration,
    send_count: usize,
}

/// A completed operation of this edge, kept in case the control plane loses its record.
pub(super) struct CompletedOperation {
    completed_at: Duration,
    claim: Claim,
    reply: Option<Arc<Reply>>,
}

impl EdgeNode {
    /// Sends a change to the ledger: first through the control node that renewed this
    /// edge's lease last, then through the others in turn.
    pub(super) fn send_change(&mut self, exchange: u64, send_count: usize, change: Change) {
        let partition = match &change {
            Change::Claim(claim) | Change::Release(claim) | Change::RecordOutcome(claim, _) => {
                ledger_partition(&claim.operation)
            }
            _ => return,
        };
        let first = self
            .leases
            .last_renewed()
            .and_then(|last| self.control_nodes.iter().position(|node| *node == last))
            .unwrap_or(0);
        let index = (first + send_count.saturating_sub(1)) % self.control_nodes.len();
        let request = ChangeRequest {
            hops: 0,
            requester: self.local_peer.address,
            id: exchange,
            partition,
            change,
        };
        self.send(self.control_nodes[index], request);
    }

    /// Keeps the outcome of a keyed request's operation.
    pub(super) fn record_completed(&mut self, now: Duration, id: u64, reply: &Option<Arc<Reply>>) {
        let claim = self
            .active_requests
            .get(&id)
            .and_then(|active| active.claim.clone());
        let Some(claim) = claim else { return };
        let retention = self.operation_retention;
        let is_expired = |oldest: &CompletedOperation| now >= oldest.completed_at + retention;
        while self.completed_operations.front().is_some_and(is_expired)
            || self.completed_operations.len() >= MAX_COMPLETED_OPERATIONS
        {
            self.completed_operations.pop_front();
        }
        self.completed_operations.push_back(CompletedOperation {
            completed_at: now,
            claim,
            reply: reply.clone(),
        });
    }

    /// Reports the completed operations to a control plane that may have lost them.
    pub(super) fn resend_completed_operations(&mut self) {
        let changes: Vec<Change> = self
            .completed_operations
            .iter()
            .map(|operation| {
                Change::RecordOutcome(operation.claim.clone(), operation.reply.clone())
            })
            .collect();
        for change in changes {
            self.send_until_confirmed(Duration::ZERO, change);
        }
    }

    /// Handles the ledger's response to a change.
    pub(super) fn handle_change_reply(&mut self, now: Duration, reply: ChangeReply) {
        let ChangeReply {
            id: exchange,
            outcome,
        } = reply;
        if matches!(
            outcome,
            ChangeOutcome::Released | ChangeOutcome::Recorded | ChangeOutcome::Unknown
        ) {
            self.unconfirmed_changes.remove(&exchange);
        }
        let Some(id) = self.request_awaiting(exchange) else {
            return;
        };
        let active = &self.active_requests[&id];
        match &active.stage {
            // The control node has no majority: the change is sent to the next node at
            // once, and only once to each.
            Stage::AwaitingClaim | Stage::Recording { .. } | Stage::Releasing { .. }
                if matches!(outcome, ChangeOutcome::NoMajority)
                    && active.exchange.send_count < self.control_nodes.len() =>
            {
                self.send_stage_message(now, id)
            }
            Stage::AwaitingClaim => self.handle_claim_outcome(now, id, outcome),
            Stage::Recording { .. } | Stage::Releasing { .. } => {
                self.handle_record_outcome(now, id, &outcome)
            }
            _ => {}
        }
    }

    /// Handles the ledger's response to a claim.
    fn handle_claim_outcome(&mut self, now: Duration, id: u64, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Claimed => self.enter_stage(now, id, Stage::AwaitingPermit),
            ChangeOutcome::AlreadyClaimed { same: false, .. } => {
                let rejection = Rejection::not_run(
                    422,
                    "operation_key_reused",
                    "this operation key came with another request or caller",
                );
                self.finish_rejected(now, id, rejection);
            }
            ChangeOutcome::AlreadyClaimed { state, .. } => {
                self.handle_operation_state(now, id, state)
            }
            ChangeOutcome::LedgerClosed { remaining: left } => {
                let rejection = Rejection::unknown(
                    503,
                    "ledger_recovering",
                    "acknowledged operations may be lost; none that is not known is run for a minute",
                );
                let rejection = rejection.with_nothing_sent().with_retry_after(left);
                self.finish_rejected(now, id, rejection);
            }
            _ => {}
        }
    }

    /// Handles the state of an operation that the same request has claimed before.
    fn handle_operation_state(&mut self, now: Duration, id: u64, state: OperationState) {
        match state {
            OperationState::Done(reply) => {
                let reply = (*reply).clone();
                self.finish(now, id, ClientResponse::Reply { reply, age: None });
            }
            OperationState::Unknown => {
                let mut rejection = Rejection::unknown(
                    409,
                    "outcome_unknown",
                    "this operation was sent and its outcome is not known; it is not run again",
                )
                .with_nothing_sent();
                rejection.retry_after_s = None;
                self.finish_rejected(now, id, rejection);
            }
            // The operation runs elsewhere. The claim is sent again until the
            // deadline, unless the client has disconnected.
            _ if self.active_requests[&id].client_disconnected => self.handle_deadline(now, id),
            _ => {}
        }
    }

    /// Handles the ledger's response to a recorded outcome or a release.
    fn handle_record_outcome(&mut self, now: Duration, id: u64, outcome: &ChangeOutcome) {
        match (&self.active_requests[&id].stage, outcome) {
            (Stage::Recording { response, .. }, ChangeOutcome::Recorded) => {
                let response = response.clone();
                self.finish(now, id, response);
            }
            (Stage::Releasing { rejection }, ChangeOutcome::Released) => {
                let rejection = rejection.clone();
                self.finish_rejected(now, id, rejection);
            }
            (_, ChangeOutcome::Unknown) => {
                let rejection =
                    Rejection::unknown(502, "outcome_unknown", "the outcome could not be recorded");
                self.finish_rejected(now, id, rejection);
            }
            _ => {}
        }
    }

    /// Sends a change that no request waits for until the ledger confirms it.
    pub(super) fn send_until_confirmed(&mut self, now: Duration, change: Change) {
        let exchange = self.next_id();
        let unconfirmed = UnconfirmedChange {
            change,
            resend_at: now,
            send_count: 0,
        };
        self.unconfirmed_changes.insert(exchange, unconfirmed);
    }

    /// Resends the unconfirmed changes that are due.
    pub(super) fn resend_unconfirmed_changes(&mut self, now: Duration) {
        let due: Vec<u64> = self
            .unconfirmed_changes
            .iter()
            .filter(|(_, unconfirmed)| now >= unconfirmed.resend_at)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in due {
            let unconfirmed = self
                .unconfirmed_changes
                .get_mut(&exchange)
                .expect("just listed");
            unconfirmed.resend_at = now + RESEND_INTERVAL;
            unconfirmed.send_count += 1;
            let (send_count, change) = (unconfirmed.send_count, unconfirmed.change.clone());
            self.send_change(exchange, send_count, change);
        }
    }
}
