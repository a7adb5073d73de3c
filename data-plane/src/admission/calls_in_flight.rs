//! Calls that were granted a permit and have not ended, as far as is known.
use crate::prelude::*;

/// Identifies a permit of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PermitId {
    /// The epoch of the controller that granted it.
    pub(super) epoch: u64,
    pub(super) serial: u64,
}

/// The calls in flight by their permits. Invariant: `by_origin` summarizes the
/// calls of each origin, so that a look at one origin goes over none of the
/// others' calls.
#[derive(Default)]
pub(super) struct CallsInFlight {
    calls: HashMap<PermitId, CallInFlight>,
    by_origin: HashMap<SocketAddr, OriginCalls>,
}

/// A call that was granted a permit.
pub(super) struct CallInFlight {
    pub(super) origin: SocketAddr,
    pub(super) rank: u32,
    /// When the permit was granted.
    pub(super) since: Duration,
    /// When the call is no longer counted, even if its end is not reported.
    pub(super) until: Duration,
    pub(super) is_retry: bool,
}

#[derive(Default)]
struct OriginCalls {
    count: usize,
    /// The sum of the calls' `since`, in seconds.
    since_s: f64,
}

impl CallInFlight {
    /// Seconds since the permit was granted.
    pub(super) fn age(&self, now: Duration) -> f64 {
        now.saturating_sub(self.since).as_secs_f64()
    }
}

impl CallsInFlight {
    pub(super) fn insert(&mut self, permit: PermitId, call: CallInFlight) {
        self.remove(permit);
        let summary = self.by_origin.entry(call.origin).or_default();
        summary.count += 1;
        summary.since_s += call.since.as_secs_f64();
        self.calls.insert(permit, call);
    }

    pub(super) fn remove(&mut self, permit: PermitId) -> Option<CallInFlight> {
        let call = self.calls.remove(&permit)?;
        CallsInFlight::uncount(&mut self.by_origin, &call);
        Some(call)
    }

    /// Drops calls that are no longer counted.
    pub(super) fn forget_ended(&mut self, now: Duration) {
        let by_origin = &mut self.by_origin;
        self.calls.retain(|_, call| {
            let is_in_flight = now < call.until;
            if !is_in_flight {
                CallsInFlight::uncount(by_origin, call);
            }
            is_in_flight
        });
    }

    fn uncount(by_origin: &mut HashMap<SocketAddr, OriginCalls>, call: &CallInFlight) {
        let summary = by_origin.get_mut(&call.origin).expect("it was counted");
        summary.count -= 1;
        summary.since_s -= call.since.as_secs_f64();
        if summary.count == 0 {
            by_origin.remove(&call.origin);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &CallInFlight> {
        self.calls.values()
    }

    /// The number of calls to this origin.
    pub(super) fn at(&self, origin: SocketAddr) -> usize {
        self.by_origin
            .get(&origin)
            .map_or(0, |summary| summary.count)
    }

    /// Seconds that the calls to this origin have taken so far, on average.
    pub(super) fn mean_age(&self, now: Duration, origin: SocketAddr) -> Option<f64> {
        let summary = self.by_origin.get(&origin)?;
        Some((now.as_secs_f64() - summary.since_s / summary.count as f64).max(0.0))
    }
}
