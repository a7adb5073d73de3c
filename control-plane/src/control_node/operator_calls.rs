//! Calls from operators, retried until the leader of their partition replies.

use super::changes::OPERATOR_CALL_TIMEOUT;
use super::*;

/// Interval after which a call without a reply is sent again.
const OPERATOR_CALL_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum duration of an isolation before calls fail: a shorter one may end before a caller could turn to another
/// node.
const ISOLATION_GRACE: Duration = Duration::from_millis(600);

/// Call from an operator that waits for the leader of its partition.
pub(super) struct OperatorCall {
    partition: u8,
    change: Change,
    deadline: Duration,
    retry_at: Duration,
    /// Slot of the leader to which the call was last sent.
    sent_to: Option<u8>,
    /// Number of times the call was sent.
    attempts: u32,
}

impl OperatorCall {
    fn new(now: Duration, partition: u8, change: Change) -> OperatorCall {
        OperatorCall {
            partition,
            change,
            deadline: now + OPERATOR_CALL_TIMEOUT,
            retry_at: now,
            sent_to: None,
            attempts: 0,
        }
    }

    /// Returns the version that the change expects to replace, if it names one.
    fn expected_version(&self) -> Option<u64> {
        match &self.change {
            Change::PutConfiguration { expect, .. } | Change::PutOrigins { expect, .. } => *expect,
            _ => None,
        }
    }

    /// Returns the outcome of a call that has timed out: reads have no effect, and a change that was never sent had
    /// none.
    fn timeout_outcome(&self) -> ChangeOutcome {
        let is_read = matches!(self.change, Change::GetConfiguration | Change::List);
        if is_read || self.attempts == 0 {
            ChangeOutcome::NoMajority
        } else {
            ChangeOutcome::Unknown
        }
    }

    /// Returns true if this attempt may conflict with an earlier attempt of the same call: changes up to
    /// `complete_after` are not all remembered.
    fn may_conflict_with_itself(&self, complete_after: u64) -> bool {
        let may_be_forgotten = |expected: u64| expected < complete_after;
        self.attempts > 1 && self.expected_version().is_some_and(may_be_forgotten)
    }
}

impl ControlNode {
    /// Handles a call from an operator.
    pub(super) fn handle_operator_request(
        &mut self,
        now: Duration,
        id: u64,
        request: OperatorRequest,
    ) {
        match request {
            OperatorRequest::Change { .. } if self.removed || self.slot == NO_SLOT => {
                self.reply_to_operator(id, ChangeOutcome::NoMajority);
            }
            OperatorRequest::Change { partition, change } => {
                let call = OperatorCall::new(now, partition, change);
                self.operator_calls.insert(id, call);
                self.send_operator_calls(now);
            }
            OperatorRequest::State => {
                let response = OperatorResponse::State(self.fleet_state(now));
                self.outputs.push(Output::OperatorResponse { id, response });
            }
        }
    }

    fn reply_to_operator(&mut self, id: u64, outcome: ChangeOutcome) {
        let response = OperatorResponse::ChangeOutcome(outcome);
        self.outputs.push(Output::OperatorResponse { id, response });
    }

    /// Replies to all operators' calls with their outcomes as known now.
    pub(super) fn fail_operator_calls(&mut self) {
        for (id, call) in std::mem::take(&mut self.operator_calls) {
            self.reply_to_operator(id, call.timeout_outcome());
        }
    }

    /// Sends operators' calls to the leaders of their partitions, and again if no reply came or another member leads.
    pub(super) fn send_operator_calls(&mut self, now: Duration) {
        if self.is_isolated(now) {
            return self.fail_operator_calls();
        }
        let ids: Vec<u64> = self.operator_calls.keys().copied().collect();
        for id in ids {
            let call = &self.operator_calls[&id];
            if now >= call.deadline {
                let outcome = call.timeout_outcome();
                self.operator_calls.remove(&id);
                self.reply_to_operator(id, outcome);
                continue;
            }
            let leader = self.preferred_leader(now, call.partition);
            let is_due = now >= call.retry_at || call.sent_to != leader;
            if leader.is_some() && is_due {
                self.send_operator_call(now, id, leader);
            }
        }
    }

    fn send_operator_call(&mut self, now: Duration, id: u64, leader: Option<u8>) {
        let Some(next_hop) = leader.and_then(|leader| self.next_hop(now, leader)) else {
            return;
        };
        let requester = self.address(self.slot);
        let Some(call) = self.operator_calls.get_mut(&id) else {
            return;
        };
        call.retry_at = now + OPERATOR_CALL_RETRY_INTERVAL;
        call.sent_to = leader;
        call.attempts += 1;
        let request = ChangeRequest {
            requester,
            id,
            partition: call.partition,
            hops: 0,
            change: call.change.clone(),
        };
        self.send(self.address(next_hop), request);
    }

    /// Handles the reply to a change: of an operator's call at this node, or of a member for which it was forwarded.
    pub(super) fn handle_change_reply(&mut self, reply: ChangeReply) {
        if let Some(relay) = self.relays.take(reply.id) {
            let relayed = ChangeReply {
                id: relay.id,
                outcome: reply.outcome,
            };
            return self.send(relay.requester, relayed);
        }
        let Some(call) = self.operator_calls.get_mut(&reply.id) else {
            return;
        };
        let outcome = match reply.outcome {
            // The node that should have forwarded the call is isolated: the call is retried at once, since another
            // route may exist.
            ChangeOutcome::NoMajority => {
                call.retry_at = Duration::ZERO;
                return;
            }
            ChangeOutcome::VersionConflict { complete_after, .. }
                if call.may_conflict_with_itself(complete_after) =>
            {
                ChangeOutcome::Unknown
            }
            outcome => outcome,
        };
        self.operator_calls.remove(&reply.id);
        self.reply_to_operator(reply.id, outcome);
    }

    /// Updates the time since when no majority is in contact with this node.
    pub(super) fn track_isolation(&mut self, now: Duration) {
        if self.reaches_majority(now) {
            self.isolated_since = None;
        } else {
            self.isolated_since.get_or_insert(now);
        }
    }

    /// Returns true if no majority has been in contact with this node for longer than `ISOLATION_GRACE`.
    pub(super) fn is_isolated(&self, now: Duration) -> bool {
        let is_lasting = |since: Duration| now >= since + ISOLATION_GRACE;
        self.isolated_since.is_some_and(is_lasting) && !self.reaches_majority(now)
    }
}
