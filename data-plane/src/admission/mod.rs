//! Admission control of one origin group: permits for calls, granted by rank and rate.
mod arrivals;
mod calls_in_flight;
mod origin_health;
mod permits;
mod retry_budget;
#[cfg(test)]
mod tests;
mod token_bucket;
mod waiting_queue;

use crate::prelude::*;
use arrivals::Arrivals;
use calls_in_flight::{CallInFlight, CallsInFlight, PermitId};
use origin_health::OriginState;
use retry_budget::RetryBudget;
pub use token_bucket::TokenBucket;
use waiting_queue::{WaitingQueue, WaitingRequest};

/// The admission controller of one origin group. It grants short-lived permits by rank.
/// Invariants:
/// - The tokens of an origin are refilled at its rate and never exceed its burst. A new
///   controller starts with none, so that a change of controller adds at most one burst
///   to the calls that its predecessor granted.
/// - A permit names an origin only while that origin's proof (a verified
///   response of the listed service and instance) is younger than
///   `ORIGIN_PROOF_VALIDITY` and a connection opened before the proof is still
///   open. So the process that listens there is the one that proved its identity.
///   Groups with `Proof::Named` need no proof.
/// - Within any five seconds an origin gets at most 110 % of its rate, even if permits
///   are used as late as `PERMIT_VALIDITY` allows.
/// - Retries stay within the retry budget.
/// - A lower rank takes no slot that higher ranks will need while its call runs, because
///   calls in flight are not preempted. If calls are short, no slots are reserved.
pub struct AdmissionController {
    /// The service that the group's origins provide.
    pub service: String,
    /// The epoch of the assignment under which permits are granted.
    pub epoch: u64,
    /// Maximum rate of calls to one origin, per second.
    rate: f64,
    /// Maximum number of concurrent calls to one origin.
    concurrency: u32,
    proof: Proof,
    /// The token bucket of all origins together, if their total rate is limited.
    total_rate: Option<TokenBucket>,
    origins: BTreeMap<SocketAddr, OriginState>,
    waiting: WaitingQueue,
    calls: CallsInFlight,
    retry_budget: RetryBudget,
    arrivals: Arrivals,
    /// The time before which a large queue is not dispatched again.
    next_dispatch: Duration,
    started_at: Duration,
    /// The last serial that was assigned to a permit or a waiting request.
    serial: u64,
    outgoing: Vec<(SocketAddr, Message)>,
}

/// Number of waiting requests from which the queue is dispatched only once in
/// `LARGE_QUEUE_DISPATCH_INTERVAL`.
const LARGE_QUEUE_LENGTH: usize = 64;
/// Minimum time between two dispatches of a large queue.
const LARGE_QUEUE_DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// The fraction of a total rate that the admission controller of a group with
/// `Proof::Named` grants. The edges have a tenth of the total rate as their fallback
/// quota for when the controller cannot be reached. They report those calls afterwards,
/// and the controller counts them. With a change of controller, 0.95 x 5 s + 0.25 s + a
/// burst of 0.1 s + 0.1 x 5.5 s stays below 110 % of 5 s, even while four of five edges
/// cannot report.
const ADMISSION_FRACTION: f64 = 0.95;
/// The initial tokens of a total rate, in seconds of that rate, because requests that
/// waited for a controller arrive together.
const INITIAL_TOTAL_BURST_S: f64 = 0.25;
/// The window over which arrivals are counted, to predict which requests will not get
/// a permit.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);
/// Time for which a new controller grants nothing while edges report the calls in flight
/// to it.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Takeover delay of groups with `Proof::Named`. Their origins reject excess calls, so
/// these do no harm.
const NAMED_TAKEOVER_DELAY: Duration = Duration::from_millis(50);
/// Time after its timeout for which a call is counted if its end is not reported.
const UNREPORTED_CALL_GRACE: Duration = Duration::from_secs(1);
/// Time within which an origin observes that a call was cancelled.
const CANCELLATION_DELAY: Duration = Duration::from_millis(30);

impl AdmissionController {
    /// Creates a controller without origins. `retry_allowance` is the number of retries
    /// in ten seconds in addition to a fifth of the first attempts.
    pub fn new(
        now: Duration,
        service: &str,
        epoch: u64,
        retry_allowance: usize,
    ) -> AdmissionController {
        AdmissionController {
            service: service.into(),
            epoch,
            rate: 1.0,
            concurrency: 1,
            proof: Proof::Seal,
            total_rate: None,
            origins: BTreeMap::new(),
            waiting: WaitingQueue::default(),
            calls: CallsInFlight::default(),
            retry_budget: RetryBudget::new(now, retry_allowance),
            arrivals: Arrivals::new(ARRIVAL_WINDOW),
            next_dispatch: now,
            started_at: now,
            serial: 0,
            outgoing: Vec::new(),
        }
    }

    /// Returns the messages to be sent, in order, and removes them.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Applies the current group and origins. Draining origins are not called.
    pub fn apply_configuration(&mut self, now: Duration, group: &Group, origins: &[Origin]) {
        (self.rate, self.concurrency, self.proof) = (group.rate, group.concurrency, group.proof);
        self.apply_total_rate(now, group);
        self.origins
            .values_mut()
            .for_each(|state| state.bucket.rate = group.rate);
        let listed: Vec<&Origin> = origins
            .iter()
            .filter(|origin| origin.service == self.service && !origin.draining)
            .collect();
        self.origins
            .retain(|_, state| listed.contains(&&state.origin));
        for origin in listed {
            self.origins
                .entry(origin.address)
                .or_insert_with(|| OriginState::new(now, origin.clone(), group.rate));
        }
    }

    fn apply_total_rate(&mut self, now: Duration, group: &Group) {
        match (&mut self.total_rate, group.total_rate) {
            (Some(bucket), Some(rate)) => bucket.rate = rate,
            (bucket, rate) => {
                *bucket = rate
                    .map(|rate| TokenBucket::with_tokens(now, rate, rate * INITIAL_TOTAL_BURST_S));
            }
        }
        // The remaining fraction is for edges that cannot reach the controller.
        if let Some(bucket) = self
            .total_rate
            .as_mut()
            .filter(|_| group.proof == Proof::Named)
        {
            bucket.rate *= ADMISSION_FRACTION;
        }
    }

    /// Queues an edge's request for a permit, or refreshes it if it is already queued.
    pub fn request_permit(&mut self, now: Duration, from: SocketAddr, request: PermitRequest) {
        let id = request.id;
        if let Some(waiting) = self.waiting.find(from, id) {
            waiting.sent = request.sent;
            waiting.queued_at = now;
            return self.outgoing.push((from, PermitQueued { id }.into()));
        }
        self.arrivals.add(now, request.rank);
        self.serial += 1;
        self.waiting
            .push(WaitingRequest::new(now, from, self.serial, request));
        self.dispatch_soon(now);
        if self.waiting.find(from, id).is_some() {
            self.outgoing.push((from, PermitQueued { id }.into()));
        }
    }

    /// Removes the request of an edge that no longer waits for its permit. The edge
    /// reports a permit that was already granted as unused.
    pub fn withdraw(&mut self, now: Duration, from: SocketAddr, id: u64) {
        self.remove_waiting(now, &|waiting| waiting.is(from, id));
    }

    /// Removes the requests of edges whose sessions have ended.
    pub fn remove_edges(&mut self, now: Duration, departed: &HashSet<SocketAddr>) {
        self.remove_waiting(now, &|waiting| departed.contains(&waiting.from));
    }

    /// Removes requests from the queue, so that those behind them may be granted.
    fn remove_waiting(&mut self, now: Duration, removed: &dyn Fn(&WaitingRequest) -> bool) {
        if self.waiting.remove_where(removed) {
            self.dispatch_soon(now);
        }
    }

    /// Dispatches the queue. A large queue is dispatched less often, because each
    /// dispatch iterates over all of it.
    fn dispatch_soon(&mut self, now: Duration) {
        if self.waiting.len() < LARGE_QUEUE_LENGTH || now >= self.next_dispatch {
            self.dispatch(now);
        }
    }

    /// Grants the requests that can be granted now, and refuses those that cannot be
    /// granted in time.
    pub fn dispatch(&mut self, now: Duration) {
        self.next_dispatch = now + LARGE_QUEUE_DISPATCH_INTERVAL;
        self.remove_expired(now);
        if now < self.started_at + self.takeover_delay() {
            return;
        }
        let usual_duration = Duration::from_secs_f64(self.usual_duration(now));
        let mut still_waiting = Vec::new();
        // Requests are in order of rank: if one gets no origin, no later one does.
        let mut is_exhausted = false;
        let capacity = self.capacity(now);
        for waiting in self.waiting.take_in_order(now + usual_duration) {
            let permitted = self.is_within_budget(now, &waiting);
            let picked = if permitted && !is_exhausted {
                self.pick_origin(now, &waiting)
            } else {
                None
            };
            is_exhausted |= permitted && picked.is_none();
            if let Some(address) = picked {
                self.grant(now, address, &waiting);
            } else if let Some(refused) = self.refusal(now, &waiting, still_waiting.len(), capacity)
            {
                self.outgoing.push((waiting.from, refused.into()));
            } else {
                still_waiting.push(waiting);
            }
        }
        self.waiting.restore(still_waiting);
    }

    fn takeover_delay(&self) -> Duration {
        match self.proof {
            Proof::Named => NAMED_TAKEOVER_DELAY,
            Proof::Seal => TAKEOVER_DELAY,
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.retry_budget.remove_expired(now);
        self.arrivals.remove_expired(now);
        self.calls.remove_ended(now);
        self.origins
            .values_mut()
            .map(|state| &mut state.bucket)
            .chain(&mut self.total_rate)
            .for_each(|bucket| bucket.refill(now));
    }

    /// Adds the calls that an edge has in flight under permits of earlier controllers.
    pub fn add_calls_in_flight(&mut self, now: Duration, reported: CallsInProgress) {
        for (epoch, serial, origin, remaining) in reported.calls {
            if epoch < self.epoch {
                self.calls.insert(
                    PermitId { epoch, serial },
                    CallInFlight {
                        origin,
                        rank: 0,
                        granted_at: now,
                        counted_until: now + remaining + UNREPORTED_CALL_GRACE,
                        is_retry: false,
                    },
                );
            }
        }
    }

    /// Handles an edge's report that a call has ended.
    pub fn call_completed(&mut self, now: Duration, done: CallDone) {
        if done.epoch == FALLBACK_EPOCH
            && let Some(bucket) = &mut self.total_rate
        {
            // The edge made this call within its fallback quota.
            bucket.take(now);
        }
        let permit = PermitId {
            epoch: done.epoch,
            serial: done.serial,
        };
        let Some(call) = self.calls.remove(permit) else {
            return;
        };
        match done.result {
            CallResult::Cancelled => {
                // The slot is free once the origin has observed the cancellation.
                let counted_until = call.counted_until.min(now + CANCELLATION_DELAY);
                self.calls.insert(
                    permit,
                    CallInFlight {
                        counted_until,
                        ..call
                    },
                );
            }
            CallResult::Unused => self.refund(&call),
            result => self.update_origin_health(now, call.origin, result, done.took),
        }
        self.dispatch_soon(now);
    }

    /// Returns the tokens and the retry budget of a permit that was not used.
    fn refund(&mut self, call: &CallInFlight) {
        let bucket = self
            .origins
            .get_mut(&call.origin)
            .map(|state| &mut state.bucket);
        bucket
            .into_iter()
            .chain(&mut self.total_rate)
            .for_each(TokenBucket::refund);
        self.retry_budget.refund(call.is_retry);
    }
}
