//! Checks that no work goes on for requests whose callers have left.
//!
//! The check is separate from the code that ends such work: it watches what goes
//! into an edge's state machine and what comes out of it. Violations are counted
//! in `Usage::abandoned`, logged, and fail tests, simulated runs and soaks.
use crate::prelude::*;

/// A repeatable call for a caller that has left ends within this time after the
/// close was read.
pub const MAX_ABANDONED_CALL: Duration = Duration::from_millis(250);

/// Requests whose callers have left, and the calls under way to origins.
/// Invariants that it checks:
/// - No call is begun for a request after its caller has left, unless others wait
///   for what the call brings.
/// - `MAX_ABANDONED_CALL` after its caller left, no call is under way that may be repeated
///   and that serves nobody else.
#[derive(Debug, Default)]
pub struct AbandonedWork {
    /// When the callers left of requests that are not answered, or have a call
    /// under way.
    left: HashMap<u64, Duration>,
    /// By the call's id.
    calls: HashMap<u64, WatchedCall>,
}

#[derive(Debug)]
struct WatchedCall {
    request: u64,
    purpose: CallPurpose,
    /// That it goes on for too long was reported.
    reported: bool,
}

/// Work for a caller that has left.
#[derive(Debug, PartialEq, Eq)]
pub struct AbandonedWorkViolation {
    pub request: u64,
    pub purpose: CallPurpose,
    pub kind: ViolationKind,
    /// How long ago the caller had left.
    pub since: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// The call was begun after the caller had left.
    Begun,
    /// The call went on.
    Continued,
}

impl AbandonedWork {
    /// The close of the request's caller was read; the request is not answered.
    pub fn caller_left(&mut self, now: Duration, request: u64) {
        self.left.entry(request).or_insert(now);
    }

    /// A call leaves for its origin.
    pub fn call_begun(
        &mut self,
        now: Duration,
        call: u64,
        request: u64,
        purpose: CallPurpose,
    ) -> Option<AbandonedWorkViolation> {
        let watched = WatchedCall {
            request,
            purpose,
            reported: false,
        };
        self.calls.insert(call, watched);
        let since = now - *self.left.get(&request)?;
        let kind = ViolationKind::Begun;
        (purpose != CallPurpose::SharedCopy).then_some(AbandonedWorkViolation {
            request,
            purpose,
            kind,
            since,
        })
    }

    /// The call has ended, or was broken off.
    pub fn call_ended(&mut self, call: u64) {
        self.calls.remove(&call);
    }

    /// Calls that go on for too long, each reported once. `pending`: whether the
    /// request is not answered yet.
    pub fn overdue(
        &mut self,
        now: Duration,
        pending: &dyn Fn(u64) -> bool,
    ) -> Vec<AbandonedWorkViolation> {
        if self.left.is_empty() {
            return Vec::new();
        }
        let mut found = Vec::new();
        for call in self.calls.values_mut() {
            let Some(left) = self.left.get(&call.request) else {
                continue;
            };
            let may_end = call.purpose == CallPurpose::Caller && !call.reported;
            if may_end && now > *left + MAX_ABANDONED_CALL {
                call.reported = true;
                found.push(AbandonedWorkViolation {
                    request: call.request,
                    purpose: call.purpose,
                    kind: ViolationKind::Continued,
                    since: now - *left,
                });
            }
        }
        let called: HashSet<u64> = self.calls.values().map(|call| call.request).collect();
        self.left
            .retain(|request, _| pending(*request) || called.contains(request));
        found
    }
}
