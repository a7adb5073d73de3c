//! Admission control of one origin group: permits for calls, by rank and rate.
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

/// The admission controller of one origin group: grants short-lived permits by rank.
/// Invariants:
/// - Tokens of an origin grow by its rate and never exceed its burst; a new
///   controller starts with none, so that what it grants adds no more than one
///   burst to what its predecessor granted.
/// - A permit names an origin only while that origin's proof (a verified
///   response of the listed service and instance) is younger than
///   `ORIGIN_PROOF_VALIDITY` and a connection opened before the proof is still
///   open: the process that listens there is the one that proved its identity.
/// - Within any five seconds an origin gets no more than 110 % of its rate,
///   however late within `PERMIT_VALIDITY` a permit is used.
/// - Retries stay within the retry budget.
/// - A lower rank takes no slot that higher ranks will need while its call
///   runs: calls in flight are not preempted.
pub struct AdmissionController {
    /// The service that the group's origins provide.
    pub service: String,
    /// The epoch of the assignment under which permits are granted.
    pub epoch: u64,
    /// Calls a second to one origin.
    rate: f64,
    /// Concurrent calls to one origin.
    concurrency: u32,
    proof: Proof,
    /// The rate of all origins together, if it is limited.
    total_rate: Option<TokenBucket>,
    origins: BTreeMap<SocketAddr, OriginState>,
    waiting: WaitingQueue,
    calls: CallsInFlight,
    retry_budget: RetryBudget,
    arrivals: Arrivals,
    /// A large queue is not dispatched again before.
    next_dispatch: Duration,
    started_at: Duration,
    /// The last serial given to a permit or a waiting request.
    serial: u64,
    outgoing: Vec<(SocketAddr, Message)>,
}

/// A queue of this length is dispatched once in `LARGE_QUEUE_DISPATCH_INTERVAL`.
const LARGE_QUEUE: usize = 64;
const LARGE_QUEUE_DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// The fraction of a total rate that the admission controller grants. The edges have a tenth
/// for when the controller cannot be reached, reported afterwards and counted here: with
/// a change of controller, 0.95 x 5 s + 0.25 s + a burst of 0.1 s + 0.1 x 5.5 s stays
/// below 110 % of 5 s while four of five edges cannot report.
const ADMISSION_FRACTION: f64 = 0.95;
/// The tokens of a new total rate, in seconds of it: requests that waited for a
/// controller arrive together.
const INITIAL_TOTAL_BURST_S: f64 = 0.25;
/// Arrivals are counted over this span to predict which requests will not be granted.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(2);
/// A new controller is first told of the calls in flight.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// The same where origins reject excess calls, so that they do no harm.
const NAMED_TAKEOVER_DELAY: Duration = Duration::from_millis(50);
/// A call whose end is not reported is counted for this long after its timeout.
const UNREPORTED_CALL_GRACE: Duration = Duration::from_secs(1);
/// An origin has observed a cancelled call by then.
const CANCELLATION_DELAY: Duration = Duration::from_millis(30);

impl AdmissionController {
    /// A controller without origins. `retry_allowance`: retries in ten seconds
    /// beside a fifth of the first attempts.
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

    /// The messages to be sent, in order.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Applies the group and the origins now in force; draining origins are not called.
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
            .retain(|_, known| listed.contains(&&known.origin));
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
        // The rest is for edges that cannot reach the admission controller.
        if let Some(bucket) = self
            .total_rate
            .as_mut()
            .filter(|_| group.proof == Proof::Named)
        {
            bucket.rate *= ADMISSION_FRACTION;
        }
    }

    /// Queues an edge's request for a permit, or refreshes it if it is queued.
    pub fn request_permit(&mut self, now: Duration, from: SocketAddr, request: PermitRequest) {
        let id = request.id;
        if let Some(known) = self.waiting.find(from, id) {
            known.sent = request.sent;
            known.queued_at = now;
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

    /// The edge does not wait for this permit any more; one that was granted is
    /// reported as unused.
    pub fn withdraw(&mut self, now: Duration, from: SocketAddr, id: u64) {
        self.remove_waiting(now, &|waiting| waiting.is(from, id));
    }

    /// None of these edges waits for a permit any more.
    pub fn forget_edges(&mut self, now: Duration, departed: &HashSet<SocketAddr>) {
        self.remove_waiting(now, &|waiting| departed.contains(&waiting.from));
    }

    /// Removes requests from the queue; the ones behind them may be granted.
    fn remove_waiting(&mut self, now: Duration, removed: &dyn Fn(&WaitingRequest) -> bool) {
        if self.waiting.remove_where(removed) {
            self.dispatch_soon(now);
        }
    }

    /// Dispatches the queue, a large one only so often: each dispatch goes over
    /// all of it.
    fn dispatch_soon(&mut self, now: Duration) {
        if self.waiting.len() < LARGE_QUEUE || now >= self.next_dispatch {
            self.dispatch(now);
        }
    }

    /// Grants what can be granted and refuses at once what will not be.
    pub fn dispatch(&mut self, now: Duration) {
        self.next_dispatch = now + LARGE_QUEUE_DISPATCH_INTERVAL;
        self.forget_old(now);
        if now < self.started_at + self.takeover_delay() {
            return;
        }
        let usual_duration = Duration::from_secs_f64(self.usual_duration(now));
        let mut still_waiting = Vec::new();
        // What one rank could not have, no lower one can: they are in order.
        let mut exhausted = false;
        let capacity = self.capacity(now);
        for waiting in self.waiting.take_in_order(now + usual_duration) {
            let permitted = self.is_within_budget(now, &waiting);
            let picked = if permitted && !exhausted {
                self.pick_origin(now, &waiting)
            } else {
                None
            };
            exhausted |= permitted && picked.is_none();
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

    fn forget_old(&mut self, now: Duration) {
        self.retry_budget.forget_old(now);
        self.arrivals.forget_old(now);
        self.calls.forget_ended(now);
        self.origins
            .values_mut()
            .map(|state| &mut state.bucket)
            .chain(&mut self.total_rate)
            .for_each(|bucket| bucket.refill(now));
    }

    /// Counts an edge's calls in flight under permits of an earlier controller.
    pub fn add_calls_in_flight(&mut self, now: Duration, reported: CallsInProgress) {
        for (epoch, serial, origin, remaining) in reported.calls {
            if epoch < self.epoch {
                self.calls.insert(
                    PermitId { epoch, serial },
                    CallInFlight {
                        origin,
                        rank: 0,
                        since: now,
                        until: now + remaining + UNREPORTED_CALL_GRACE,
                        is_retry: false,
                    },
                );
            }
        }
    }

    /// An edge reports the end of a call.
    pub fn call_completed(&mut self, now: Duration, done: CallDone) {
        if done.epoch == FALLBACK_EPOCH
            && let Some(bucket) = &mut self.total_rate
        {
            // An edge called within its fallback quota.
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
                // Its slot is free once the origin has observed the cancellation.
                let until = call.until.min(now + CANCELLATION_DELAY);
                self.calls.insert(permit, CallInFlight { until, ..call });
            }
            CallResult::Unused => self.refund(&call),
            result => self.judge_origin(now, call.origin, result, done.took),
        }
        self.dispatch_soon(now);
    }

    /// Returns the token of a permit that was not used, within the burst.
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
