//! Checks that no work continues for requests whose clients have disconnected.
//!
//! The check is separate from the code that ends such work: it observes the inputs and
//! outputs of an edge's state machine. Violations are counted in `Usage::abandoned`,
//! logged, and fail tests, simulated runs and soaks.
use crate::prelude::*;

/// Maximum time after a client's disconnect was detected for which an idempotent call
/// for that client may continue.
const MAX_ABANDONED_CALL: Duration = Duration::from_millis(250);

/// Checks the calls in flight against the requests whose clients have disconnected:
/// - No call is started for a request after its client has disconnected, unless others
///   wait for the response.
/// - No idempotent call that serves only this client is in flight `MAX_ABANDONED_CALL`
///   after the disconnect.
#[derive(Debug, Default)]
pub struct AbandonedWorkMonitor {
    /// The times at which clients disconnected, by request, for requests that have no
    /// response yet or still have a call in flight.
    disconnected_at: HashMap<u64, Duration>,
    /// The calls in flight, by call id.
    calls: HashMap<u64, ObservedCall>,
}

/// A call in flight.
#[derive(Debug)]
struct ObservedCall {
    request: u64,
    purpose: CallPurpose,
    /// Set once it was reported that the call continued for too long.
    is_reported: bool,
}

/// A call for a client that has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct AbandonedWorkViolation {
    /// The id of the request.
    pub request: u64,
    /// The purpose of the call.
    pub purpose: CallPurpose,
    /// The kind of the violation.
    pub kind: ViolationKind,
    /// Time since the client disconnected.
    pub elapsed: Duration,
}

/// A kind of abandoned work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViolationKind {
    /// The call was started after the client had disconnected.
    Started,
    /// The call continued for too long.
    Continued,
}

impl AbandonedWorkMonitor {
    /// Records that the client of a request without a response has disconnected.
    pub fn client_disconnected(&mut self, now: Duration, request: u64) {
        self.disconnected_at.entry(request).or_insert(now);
    }

    /// Records a call that is sent to its origin. Returns the violation, if the call is
    /// one.
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
        let elapsed = now - *self.disconnected_at.get(&request)?;
        let kind = ViolationKind::Started;
        (purpose != CallPurpose::SharedCacheFill).then_some(AbandonedWorkViolation {
            request,
            purpose,
            kind,
            elapsed,
        })
    }

    /// Records that a call has ended or was cancelled.
    pub fn call_ended(&mut self, call: u64) {
        self.calls.remove(&call);
    }

    /// Returns the calls that have continued for too long, each of them once.
    /// `is_pending` returns true for requests that have no response yet.
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
                    elapsed: now - *disconnected_at,
                });
            }
        }
        self.remove_finished(is_pending);
        violations
    }

    fn remove_finished(&mut self, is_pending: &dyn Fn(u64) -> bool) {
        let called: HashSet<u64> = self.calls.values().map(|call| call.request).collect();
        self.disconnected_at
            .retain(|request, _| is_pending(*request) || called.contains(request));
    }
}
