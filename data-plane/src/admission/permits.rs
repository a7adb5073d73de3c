//! Selection of origins, and grants and refusals of permits.
use super::origin_health::{EJECTION, OriginState};
use super::{
    ARRIVAL_WINDOW, AdmissionController, CallInFlight, PermitId, UNREPORTED_CALL_GRACE,
    WaitingRequest,
};
use crate::prelude::*;

/// A call is short if this many calls fit into the time that a request may wait.
const SHORT_CALL_RATIO: f64 = 4.0;
/// Minimum number of slots of an origin that is assumed to serve shared responses.
const HIGH_CAPACITY_SLOTS: f64 = 8.0;
/// The network latency added to a call within a zone, within a region and beyond, in
/// seconds.
const DISTANCE_PENALTY_S: [f64; 3] = [0.0, 0.002, 0.04];
/// Time for which requests wait for the first origin of a group to be listed.
const EMPTY_GROUP_GRACE: Duration = Duration::from_secs(1);
/// The retry delay reported when the retry budget is exhausted.
const RETRY_BUDGET_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum retry delay reported for overload.
const MIN_OVERLOAD_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum retry delay reported for overload.
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_secs(30);
/// If higher ranks leave less than the capacity divided by this, even the first waiting
/// request of a rank is expected to wait.
const LEFTOVER_DIVISOR: f64 = 20.0;
/// Lower bound of the rate left by higher ranks, in calls per second, which keeps
/// the divisor positive.
const MIN_LEFTOVER_RATE: f64 = 0.01;
/// Lower bound of the throughput in calls per second, which keeps the divisor positive.
const MIN_THROUGHPUT: f64 = 0.001;
/// Lower bound of a call's duration in the score, in seconds.
const MIN_DURATION_S: f64 = 0.001;
/// Upper bound of the usual duration of a call, in seconds.
const MAX_USUAL_DURATION_S: f64 = 60.0;

/// The score of an origin for a request. The origin with the lowest score is picked.
struct OriginScore {
    has_failed_request: bool,
    /// The distance if it is decisive, see `AdmissionController::score`.
    distance_class: u8,
    /// Expected time until the response, in seconds.
    expected_delay: f64,
    tokens: f64,
}

impl OriginScore {
    fn cmp(&self, other: &OriginScore) -> std::cmp::Ordering {
        (self.has_failed_request, self.distance_class)
            .cmp(&(other.has_failed_request, other.distance_class))
            .then(self.expected_delay.total_cmp(&other.expected_delay))
            .then(other.tokens.total_cmp(&self.tokens))
    }
}

impl AdmissionController {
    /// Returns the expected duration of a call to this origin in seconds: the moving
    /// average, or the mean age of the calls in flight if that is longer.
    fn call_duration(&self, now: Duration, state: &OriginState) -> f64 {
        let age = self.calls.mean_age(now, state.origin.address);
        state.mean_duration.max(age.unwrap_or(0.0))
    }

    /// Returns the mean duration of a call over the usable origins, in seconds.
    pub(super) fn usual_duration(&self, now: Duration) -> f64 {
        let (count, sum) = self
            .usable_origins(now)
            .fold((0, 0.0), |(count, sum), state| {
                (count + 1, sum + state.mean_duration)
            });
        (sum / f64::from(count.max(1))).min(MAX_USUAL_DURATION_S)
    }

    /// Returns the calls per second that all usable origins can execute.
    pub(super) fn capacity(&self, now: Duration) -> f64 {
        let sum = self
            .usable_origins(now)
            .map(|state| self.rate.min(self.throughput(now, state)))
            .sum();
        self.total_rate
            .as_ref()
            .map_or(sum, |bucket| bucket.rate.min(sum))
    }

    /// Returns the calls per second that the slots of an origin allow.
    fn throughput(&self, now: Duration, state: &OriginState) -> f64 {
        f64::from(state.slots(self.concurrency)) / self.call_duration(now, state)
    }

    /// Returns the recent arrivals per second with a higher rank.
    fn higher_rank_rate(&self, rank: u32) -> f64 {
        self.arrivals.count_above(rank) as f64 / ARRIVAL_WINDOW.as_secs_f64()
    }

    /// Returns true if a call of this rank leaves the slots that higher ranks will need
    /// before it ends. If calls are short relative to the time that requests may wait,
    /// no slots are reserved: a request of a higher rank waits for the next slot.
    fn leaves_slots_for_higher_ranks(&self, now: Duration, waiting: &WaitingRequest) -> bool {
        let higher_rate = self.higher_rank_rate(waiting.rank);
        if higher_rate == 0.0 {
            return true;
        }
        let slots: f64 = self
            .usable_origins(now)
            .map(|state| f64::from(state.slots(self.concurrency)))
            .sum();
        let throughput: f64 = self
            .usable_origins(now)
            .map(|state| self.throughput(now, state))
            .sum();
        let duration = slots / throughput.max(MIN_THROUGHPUT);
        let max_wait = waiting.deadline.saturating_sub(waiting.queued_at);
        if duration * SHORT_CALL_RATIO <= max_wait.as_secs_f64() {
            return true;
        }
        // A higher-ranked call that is `age` old ends in `duration - age`. Within
        // `duration`, its slot can then serve another call for the remaining `age`.
        let reused: f64 = self
            .calls
            .iter()
            .filter(|call| call.rank > waiting.rank)
            .map(|call: &CallInFlight| (call.age(now) / duration).min(1.0))
            .sum();
        let needed = (higher_rate * duration).min(slots) - reused;
        slots - self.calls.len() as f64 - 1.0 >= needed.floor().max(0.0)
    }

    /// Returns true if the request is before its deadline and within the retry budget.
    pub(super) fn is_within_budget(&self, now: Duration, waiting: &WaitingRequest) -> bool {
        now < waiting.deadline && (!waiting.is_retry || self.retry_budget.permits_retry(now))
    }

    /// Returns the refusal of a request that cannot be granted in time behind `ahead`
    /// other requests.
    pub(super) fn refusal(
        &self,
        now: Duration,
        waiting: &WaitingRequest,
        ahead: usize,
        capacity: f64,
    ) -> Option<PermitRefused> {
        let refused = |reason, retry_after| PermitRefused {
            id: waiting.id,
            reason,
            retry_after,
        };
        if now < waiting.deadline && !self.is_within_budget(now, waiting) {
            let reason = PermitRefusalReason::RetryBudgetExhausted;
            return Some(refused(reason, RETRY_BUDGET_BACKOFF));
        }
        if let Some(retry_after) = self.all_origins_ejected_for(now) {
            return Some(refused(PermitRefusalReason::NoHealthyOrigin, retry_after));
        }
        let wait = self.expected_wait(waiting.rank, ahead, capacity);
        let too_late = !wait.is_zero() && now.saturating_add(wait) >= waiting.deadline;
        (too_late || now >= waiting.deadline).then(|| {
            let retry_after = wait.clamp(MIN_OVERLOAD_BACKOFF, MAX_OVERLOAD_BACKOFF);
            refused(PermitRefusalReason::Overloaded, retry_after)
        })
    }

    /// Returns the time until the first ejection ends, if all origins are ejected because
    /// of failures. A group that still has no origins after `EMPTY_GROUP_GRACE` counts as
    /// ejected for `EJECTION`.
    fn all_origins_ejected_for(&self, now: Duration) -> Option<Duration> {
        let all_failed = self.origins.values().all(|state| state.has_failed(now));
        let may_be_listed_yet =
            self.origins.is_empty() && now < self.started_at + EMPTY_GROUP_GRACE;
        if !all_failed || may_be_listed_yet {
            return None;
        }
        let soonest = self
            .origins
            .values()
            .map(|state| state.remaining_ejection(now))
            .min();
        Some(soonest.unwrap_or(EJECTION))
    }

    /// Returns the expected wait of a request of this rank behind `ahead` others, at the
    /// rate that higher ranks leave.
    fn expected_wait(&self, rank: u32, ahead: usize, capacity: f64) -> Duration {
        let higher_rate = self.higher_rank_rate(rank);
        let leftover = (capacity - higher_rate).max(MIN_LEFTOVER_RATE);
        let first = if higher_rate > 0.0 && leftover < capacity / LEFTOVER_DIVISOR {
            1.0
        } else {
            0.0
        };
        Duration::try_from_secs_f64((ahead as f64 + first) / leftover).unwrap_or(Duration::MAX)
    }

    /// Returns the callable origin that is expected to respond first.
    pub(super) fn pick_origin(
        &self,
        now: Duration,
        waiting: &WaitingRequest,
    ) -> Option<SocketAddr> {
        if !self.leaves_slots_for_higher_ranks(now, waiting)
            || self
                .total_rate
                .as_ref()
                .is_some_and(|bucket| !bucket.has_token())
        {
            return None;
        }
        let callable = self.usable_origins(now).filter(|state| {
            state.bucket.has_token()
                && self.is_proven(now, state)
                && self.calls.count_for(state.origin.address)
                    < state.slots(self.concurrency) as usize
        });
        callable
            .map(|state| (self.score(state, waiting), state.origin.address))
            .min_by(|(one, _), (other, _)| one.cmp(other))
            .map(|(_, address)| address)
    }

    /// Scores an origin by the fraction of its slots in use, the duration of calls and
    /// the distance. An origin that failed this request is the last choice. Among
    /// origins with many slots the nearest is preferred while more than half of its
    /// slots are free, because their responses are large.
    fn score(&self, state: &OriginState, waiting: &WaitingRequest) -> OriginScore {
        let in_flight = self.calls.count_for(state.origin.address) as f64;
        let slots = f64::from(state.slots(self.concurrency));
        let distance = if state.origin.region != waiting.region {
            2
        } else {
            u8::from(state.origin.zone != waiting.zone)
        };
        let distance_class = if slots < HIGH_CAPACITY_SLOTS {
            0
        } else if 2.0 * in_flight >= slots {
            3
        } else {
            distance
        };
        OriginScore {
            has_failed_request: waiting.excluded_origins.contains(&state.origin.address),
            distance_class,
            expected_delay: (in_flight + 1.0) / slots * state.mean_duration.max(MIN_DURATION_S)
                + DISTANCE_PENALTY_S[usize::from(distance)],
            tokens: state.bucket.tokens,
        }
    }

    /// Grants the request a permit for a call to this origin.
    pub(super) fn grant(&mut self, now: Duration, address: SocketAddr, waiting: &WaitingRequest) {
        let state = self.origins.get_mut(&address).expect("picked");
        state.bucket.take(now);
        if let Some(bucket) = &mut self.total_rate {
            bucket.take(now);
        }
        self.serial += 1;
        self.calls.insert(
            PermitId {
                epoch: self.epoch,
                serial: self.serial,
            },
            CallInFlight {
                origin: address,
                rank: waiting.rank,
                granted_at: now,
                counted_until: now + waiting.call_timeout + UNREPORTED_CALL_GRACE,
                is_retry: waiting.is_retry,
            },
        );
        self.retry_budget.record(now, waiting.is_retry);
        let permit = Permit {
            id: waiting.id,
            service: self.service.clone(),
            epoch: self.epoch,
            serial: self.serial,
            origin: state.origin.clone(),
            sent: waiting.sent,
            queued_for: now - waiting.queued_at,
            expected_latency: Duration::from_secs_f64(
                state.mean_duration.clamp(0.0, MAX_USUAL_DURATION_S),
            ),
        };
        self.outgoing.push((waiting.from, permit.into()));
    }
}
