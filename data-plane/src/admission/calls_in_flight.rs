//! Calls that were granted a permit and whose end has not been reported.
use crate::prelude::*;

/// Identifies a permit of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PermitId {
    /// The epoch of the controller that granted it.
    pub(super) epoch: u64,
    pub(super) serial: u64,
}

/// The calls in flight by permit. Invariant: `by_origin` holds the totals of each
/// origin's calls, so that a lookup for one origin does not iterate over all calls.
#[derive(Default)]
pub(super) struct CallsInFlight {
    calls: HashMap<PermitId, CallInFlight>,
    by_origin: HashMap<SocketAddr, OriginCalls>,
}

/// A call that was granted a permit.
pub(super) struct CallInFlight {
    pub(super) origin: SocketAddr,
    pub(super) rank: u32,
    /// The time at which the permit was granted.
    pub(super) granted_at: Duration,
    /// The time from which the call is not counted, even if its end is not reported.
    pub(super) counted_until: Duration,
    pub(super) is_retry: bool,
}

/// The totals of one origin's calls in flight.
#[derive(Default)]
struct OriginCalls {
    count: usize,
    /// The sum of the calls' `granted_at`, in seconds.
    granted_at_sum_s: f64,
}

impl CallInFlight {
    /// Returns the seconds since the permit was granted.
    pub(super) fn age(&self, now: Duration) -> f64 {
        now.saturating_sub(self.granted_at).as_secs_f64()
    }
}

impl CallsInFlight {
    pub(super) fn insert(&mut self, permit: PermitId, call: CallInFlight) {
        self.remove(permit);
        let calls = self.by_origin.entry(call.origin).or_default();
        calls.count += 1;
        calls.granted_at_sum_s += call.granted_at.as_secs_f64();
        self.calls.insert(permit, call);
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<CallInFlight> {
        let call = self.calls.remove(&permit)?;
        CallsInFlight::uncount(&mut self.by_origin, &call);
        Some(call)
    }

    /// Removes the calls that are no longer counted.
    pub(super) fn remove_ended(&mut self, now: Duration) {
        let by_origin = &mut self.by_origin;
        self.calls.retain(|_, call| {
            let is_in_flight = now < call.counted_until;
            if !is_in_flight {
                CallsInFlight::uncount(by_origin, call);
            }
            is_in_flight
        });
    }

    fn uncount(by_origin: &mut HashMap<SocketAddr, OriginCalls>, call: &CallInFlight) {
        let calls = by_origin.get_mut(&call.origin).expect("it was counted");
        calls.count -= 1;
        calls.granted_at_sum_s -= call.granted_at.as_secs_f64();
        if calls.count == 0 {
            by_origin.remove(&call.origin);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &CallInFlight> {
        self.calls.values()
    }

    /// Returns the number of calls to this origin.
    pub(super) fn count_for(&self, origin: SocketAddr) -> usize {
        self.by_origin.get(&origin).map_or(0, |calls| calls.count)
    }

    /// Returns the mean age of the calls to this origin, in seconds.
    pub(super) fn mean_age(&self, now: Duration, origin: SocketAddr) -> Option<f64> {
        let calls = self.by_origin.get(&origin)?;
        Some((now.as_secs_f64() - calls.granted_at_sum_s / calls.count as f64).max(0.0))
    }
}
