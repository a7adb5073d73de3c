//! Requests whose clients disconnect before they get a response.
//!
//! No further message or call is sent for such a request, and an idempotent call is
//! cancelled, unless others need the result: requests that wait for the same response,
//! or the cache owner that made this request the refresher. An operation that may
//! have been executed continues until its outcome is recorded.
use super::{EdgeNode, LOCAL_ID_BIT};
use crate::prelude::*;

impl EdgeNode {
    /// Handles the end of the client's connection.
    pub(super) fn handle_client_disconnect(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        active.client_disconnected = true;
        let service = &active.request.service;
        let mut text = format!("request {id} {service} {}", active.stage.description());
        if let Stage::Calling { sent_at, .. } = &active.stage {
            let age = now.saturating_sub(*sent_at);
            text += &format!(", called {} ms ago", age.as_millis());
        }
        self.usage.client_disconnects += 1;
        self.abandoned_work.client_disconnected(now, id);
        self.log_event(Event::ClientDisconnected, text);
        self.stop_if_abandoned(now, id);
    }

    /// Returns true if no client or peer needs the result of this request any more.
    pub(super) fn is_abandoned(&self, id: u64) -> bool {
        let Some(active) = self
            .active_requests
            .get(&id)
            .filter(|active| active.client_disconnected)
        else {
            return false;
        };
        let has_followers = |key: CacheKey| {
            self.coalescer.is_leader(&key, id) && self.coalescer.has_followers(&key)
        };
        active.cache.fill_grant.is_none() && !active.cache.key.is_some_and(has_followers)
    }

    /// Stops the request if it is abandoned and may be stopped in its stage.
    pub(super) fn stop_if_abandoned(&mut self, now: Duration, id: u64) {
        if !self.is_abandoned(id) {
            return;
        }
        let active = &self.active_requests[&id];
        match &active.stage {
            Stage::AwaitingCachedResponse { .. } | Stage::Following | Stage::AwaitingPermit => {
                self.finish_abandoned(now, id)
            }
            Stage::Calling { permit, sent_at } => {
                if self.call_purpose(active) == CallPurpose::Client {
                    let (permit, took) = (permit.clone(), now - *sent_at);
                    let call = active.exchange.id;
                    self.outputs.push(Output::CancelCall { id: call });
                    self.report_call_done(&permit, CallResult::Cancelled, took);
                    self.finish_abandoned(now, id);
                }
            }
            // A claim in flight is released once the ledger has confirmed it.
            Stage::AwaitingClaim => {}
            // The ledger must be notified of the outcome.
            Stage::Recording { .. } | Stage::Releasing { .. } => {}
        }
    }

    /// Ends an abandoned request, after its claim is released. The rejection is for a
    /// client that has only shut down its writing side.
    pub(super) fn finish_abandoned(&mut self, now: Duration, id: u64) {
        let active = &self.active_requests[&id];
        let rejection = active.reject(
            503,
            "caller_left",
            "the caller has closed its side of the connection",
        );
        if active.claim.is_some() {
            self.fail_request(now, id, rejection);
        } else {
            self.finish_rejected(now, id, rejection);
        }
    }

    /// Withdraws the request's message from an admission controller or cache owner that
    /// has not responded yet.
    pub(super) fn withdraw_exchange(&mut self, now: Duration, id: u64) {
        let Some(active) = self.active_requests.get_mut(&id) else {
            return;
        };
        // After the deadline the peer has dropped the message itself.
        let peer = active.exchange.peer.take();
        let Some(peer) = peer.filter(|_| now < active.deadline) else {
            return;
        };
        let id = active.exchange.id;
        match (&active.stage, active.cache.key) {
            (Stage::AwaitingPermit, _) => {
                let service = active.request.service.clone();
                self.send(peer, PermitWithdrawn { service, id });
            }
            (Stage::AwaitingCachedResponse { .. }, Some(key)) => {
                self.send(peer, CacheGetWithdrawn { key, id })
            }
            _ => {}
        }
    }

    /// Returns the purpose of a call made for the request now.
    pub(super) fn call_purpose(&self, active: &ActiveRequest) -> CallPurpose {
        match active.cache.key {
            Some(key)
                if active.cache.fill_grant.is_some() || self.coalescer.has_followers(&key) =>
            {
                CallPurpose::SharedCacheFill
            }
            Some(_) => CallPurpose::CacheFill,
            None if active.is_idempotent() => CallPurpose::Client,
            None => CallPurpose::RunOnce,
        }
    }

    /// Passes the calls that this step starts and cancels to the check for abandoned
    /// work.
    pub(super) fn observe_calls(&mut self, now: Duration) {
        let mut violations = Vec::new();
        for output in &self.outputs {
            match output {
                Output::Call { id, call } if call.request_id_at_edge & LOCAL_ID_BIT == 0 => {
                    let (request, purpose) = (call.request_id_at_edge, call.purpose);
                    let violation = self.abandoned_work.call_started(now, *id, request, purpose);
                    violations.extend(violation);
                }
                Output::CancelCall { id } => self.abandoned_work.call_ended(*id),
                _ => {}
            }
        }
        self.report_abandoned_work(violations);
    }

    /// Checks for abandoned calls that have continued for too long.
    pub(super) fn check_abandoned_work(&mut self, now: Duration) {
        let active_requests = &self.active_requests;
        let violations = self
            .abandoned_work
            .overdue(now, &|request| active_requests.contains_key(&request));
        self.report_abandoned_work(violations);
    }

    fn report_abandoned_work(&mut self, violations: Vec<AbandonedWorkViolation>) {
        for violation in violations {
            self.usage.abandoned += 1;
            let AbandonedWorkViolation {
                request,
                purpose,
                kind,
                elapsed,
            } = violation;
            let text = format!(
                "request {request} {purpose:?} call {kind:?} {} ms after its client disconnected",
                elapsed.as_millis(),
            );
            self.log_event(Event::AbandonedWork, text);
        }
    }
}
