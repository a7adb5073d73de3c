//! Checks that no work goes on for requests whose clients have disconnected.
//!
//! The check is separate from the code that ends such work: it observes what goes
//! into an edge's state machine and what comes out of it. Violations are counted
//! in `Usage::abandoned`, logged, and fail tests, simulated runs and soaks.
use crate::prelude::*;

/// An idempotent call for a disconnected client ends within this time after the
/// close was read.
const MAX_ABANDONED_CALL: Duration = Duration::from_millis(250);

/// Requests whose clients have disconnected, and the calls in flight to origins.
/// Invariants that it checks:
/// - No call is started for a request after its client has disconnected, unless
///   others wait for what the call brings.
/// - `MAX_ABANDONED_CALL` after its client disconnected, no call is in flight that
///   is idempotent and that serves nobody else.
#[derive(Debug, Default)]
pub struct AbandonedWork {
    /// When the clients disconnected of requests that have no response, or a call
    /// in flight.
    disconnected_at: HashMap<u64, Duration>,
    /// By the call's id.
    calls: HashMap<u64, ObservedCall>,
}

#[derive(Debug)]
struct ObservedCall {
    request: u64,
    purpose: CallPurpose,
    /// Whether it was reported that the call goes on for too long.
    is_reported: bool,
}

/// Work for a client that has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct AbandonedWorkViolation {
    /// The id of the request.
    pub request: u64,
    /// For whom the call was made.
    pub purpose: CallPurpose,
    /// What went wrong.
    pub kind: ViolationKind,
    /// How long ago the client had disconnected.
    pub since: Duration,
}

/// A kind of abandoned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// The call was started after the client had disconnected.
    Started,
    /// The call went on.
    Continued,
}

impl AbandonedWork {
    /// The close of the request's client was read; the request has no response yet.
    pub fn client_disconnected(&mut self, now: Duration, request: u64) {
        self.disconnected_at.entry(request).or_insert(now);
    }

    /// A call is sent to its origin.
    pub fn call_started(
        &mut self,
        now: Duration,
        call: u64,
        request: u64,
        purpose: CallPurpose,
    ) -> Option<AbandonedWorkViolation> {
        let observed = ObservedCall {
            request,
            purpose,
            is_reported: false,
        };
        self.calls.insert(call, observed);
        let since = now - *self.disconnected_at.get(&request)?;
        let kind = ViolationKind::Started;
        (purpose != CallPurpose::SharedCacheFill).then_some(AbandonedWorkViolation {
            request,
            purpose,
            kind,
            since,
        })
    }

    /// The call has ended, or was cancelled.
    pub fn call_ended(&mut self, call: u64) {
        self.calls.remove(&call);
    }

    /// Calls that go on for too long, each reported once. `is_pending`: whether
    /// the request has no response yet.
    pub fn overdue(
        &mut self,
        now: Duration,
        is_pending: &dyn Fn(u64) -> bool,
    ) -> Vec<AbandonedWorkViolation> {
        if self.disconnected_at.is_empty() {
            return Vec::new();
        }
        let mut violations = Vec::new();
        for call in self.calls.values_mut() {
            let Some(disconnected_at) = self.disconnected_at.get(&call.request) else {
                continue;
            };
            let must_end = call.purpose == CallPurpose::Client && !call.is_reported;
            if must_end && now > *disconnected_at + MAX_ABANDONED_CALL {
                call.is_reported = true;
                violations.push(AbandonedWorkViolation {
                    request: call.request,
                    purpose: call.purpose,
                    kind: ViolationKind::Continued,
                    since: now - *disconnected_at,
                });
            }
        }
        self.forget_finished(is_pending);
        violations
    }

    fn forget_finished(&mut self, is_pending: &dyn Fn(u64) -> bool) {
        let called: HashSet<u64> = self.calls.values().map(|call| call.request).collect();
        self.disconnected_at
            .retain(|request, _| is_pending(*request) || called.contains(request));
    }
}
