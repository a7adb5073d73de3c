//! Ends requests whose deadline has passed, or whose edge is about to exit.
use super::{EdgeNode, RECORDING_GRACE};
use crate::prelude::*;

/// The text of rejections sent when the ledger does not respond.
const NO_LEDGER_TEXT: &str = "the ledger could not be reached";

/// Time before the exit of the process at which the last requests are ended.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(400);

impl EdgeNode {
    /// Ends a request whose deadline has passed or that must end before the edge exits.
    pub(super) fn handle_deadline(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get(&id) else {
            return;
        };
        let is_grace_over = now >= active.deadline + RECORDING_GRACE;
        match &active.stage {
            Stage::AwaitingClaim => self.abandon_claim(now, id),
            Stage::AwaitingCachedResponse {
                accepts_any_age: true,
                ..
            } => self.finish_failed_fallback(now, id),
            Stage::AwaitingCachedResponse { .. } | Stage::Following => {
                let rejection = active.reject(503, "no_copy", "no copy came in time");
                self.finish_rejected(now, id, rejection);
            }
            Stage::AwaitingPermit => self.abandon_permit(now, id),
            Stage::Calling { .. } if is_grace_over => {
                let outcome = CallOutcome::Failure("no response before the deadline".into());
                self.complete_call(now, id, outcome);
            }
            Stage::Recording { .. } if is_grace_over => {
                self.finish_unrecorded(now, id, unrecorded_rejection());
            }
            Stage::Releasing { .. } if is_grace_over => {
                let rejection = Rejection::unknown(503, "no_ledger", NO_LEDGER_TEXT);
                self.finish_unrecorded(now, id, rejection);
            }
            _ => {}
        }
    }

    /// Ends a request without a response to its claim. The claim may be held, so it is
    /// released later.
    fn abandon_claim(&mut self, now: Duration, id: u64) {
        let active = &self.active_requests[&id];
        let change = Change::Release(active.claim.clone().expect("keyed"));
        let rejection = if active.exchange.send_count > 1 {
            Rejection::unknown(
                409,
                "in_progress",
                "this operation is being run, or its ledger cannot be reached; ask again",
            )
        } else {
            Rejection::unknown(503, "no_ledger", NO_LEDGER_TEXT).with_nothing_sent()
        };
        self.send_until_confirmed(now, change);
        self.finish_rejected(now, id, rejection);
    }

    fn abandon_permit(&mut self, now: Duration, id: u64) {
        let active = &self.active_requests[&id];
        let rejection = active.reject(
            429,
            "over_capacity",
            "the service could not be called in time",
        );
        let is_refresher = active.cache.fill_grant.is_some();
        self.fail_request(now, id, rejection);
        if is_refresher {
            // There is no time left to wait for a cached response.
            self.finish_failed_fallback(now, id);
        }
    }

    /// Ends a request whose outcome or release the ledger has not confirmed. The change
    /// is sent until it is confirmed.
    fn finish_unrecorded(&mut self, now: Duration, id: u64, rejection: Rejection) {
        let change = self.active_requests[&id].ledger_change();
        self.send_until_confirmed(now, change.expect("it is being recorded"));
        self.finish_rejected(now, id, rejection);
    }

    /// Returns true if the process exits so soon that unsent requests are rejected. The
    /// second half of the shutdown grace is reserved for calls in flight and for writing
    /// responses.
    pub(super) fn is_rejecting_unsent(&self, now: Duration) -> bool {
        self.shutdown_requested_at
            .is_some_and(|since| now >= since + self.shutdown_grace / 2)
    }

    /// Ends all requests that are left `LAST_RESPONSE_MARGIN` before the process exits, so
    /// that their clients get a response.
    pub(super) fn end_all_before_exit(&mut self, now: Duration) {
        let end_after = self.shutdown_grace.saturating_sub(LAST_RESPONSE_MARGIN);
        let is_due = |since| now >= since + end_after;
        if !self.shutdown_requested_at.is_some_and(is_due) {
            return;
        }
        let left: Vec<u64> = self.active_requests.keys().copied().collect();
        for id in left {
            self.end_before_exit(now, id);
        }
    }

    fn end_before_exit(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get(&id) else {
            return;
        };
        match &active.stage {
            Stage::Calling { .. } => {
                let text = "this node ended before a response came from the origin";
                let rejection = active.reject(502, "ending", text);
                if self.call_purpose(active) == CallPurpose::Client {
                    let call = active.exchange.id;
                    self.outputs.push(Output::CancelCall { id: call });
                }
                self.finish_rejected(now, id, rejection);
            }
            Stage::Recording { .. } => {
                self.finish_unrecorded(now, id, unrecorded_rejection());
            }
            Stage::Releasing { .. } => {
                let rejection = Rejection::unknown(503, "no_ledger", NO_LEDGER_TEXT);
                self.finish_unrecorded(now, id, rejection);
            }
            _ => self.handle_deadline(now, id),
        }
    }

    /// Rejects the requests that still wait shortly before the process exits, so that
    /// every request gets a response. Calls in flight continue.
    pub(super) fn reject_waiting_before_exit(&mut self, now: Duration) {
        if !self.is_rejecting_unsent(now) {
            return;
        }
        let waiting: Vec<u64> = self
            .active_requests
            .iter()
            .filter(|(_, active)| active.stage.is_waiting())
            .map(|(id, _)| *id)
            .collect();
        for id in waiting {
            if self.active_requests.contains_key(&id) {
                self.handle_deadline(now, id);
            }
        }
    }
}

fn unrecorded_rejection() -> Rejection {
    let text = "the outcome could not be recorded in time";
    Rejection::unknown(503, "outcome_unrecorded", text)
}
