//! Which request gets a permit for which origin, and which is refused.
use super::origin_health::{EJECTION, OriginState};
use super::{
    ARRIVAL_WINDOW, AdmissionController, CallInFlight, PermitId, UNREPORTED_CALL_GRACE,
    WaitingRequest,
};
use crate::prelude::*;

/// A call is short if it fits so often into the time a request may wait.
const SHORT_CALL_RATIO: f64 = 4.0;
/// An origin with so many slots serves shared responses.
const HIGH_CAPACITY_SLOTS: f64 = 8.0;
/// What the network adds to a call within a zone, within a region and beyond, in seconds.
const DISTANCE_PENALTY_S: [f64; 3] = [0.0, 0.002, 0.04];
/// How long a group without any origin is given for one to be listed.
const EMPTY_GROUP_GRACE: Duration = Duration::from_secs(1);
/// The back-off of a request refused for the retry budget.
const RETRY_BUDGET_BACKOFF: Duration = Duration::from_secs(1);
/// The bounds of the back-off of a request refused for overload.
const MIN_OVERLOAD_BACKOFF: Duration = Duration::from_secs(1);
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_secs(30);
/// If higher ranks leave less than this part (one in so many) of the capacity,
/// not even the first request of a rank is granted.
const LEFTOVER_DIVISOR: f64 = 20.0;
/// Lower bounds of values that are divided by, or compared.
const MIN_LEFTOVER_RATE: f64 = 0.01;
const MIN_THROUGHPUT: f64 = 0.001;
const MIN_DURATION_S: f64 = 0.001;
/// The upper bound of the usual duration of a call, in seconds.
const MAX_USUAL_DURATION_S: f64 = 60.0;

/// How well an origin suits a request; the lowest is picked.
struct OriginScore {
    has_failed_request: bool,
    /// The distance where it decides, see `AdmissionController::score`.
    distance_class: u8,
    /// When a response is expected, in seconds.
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
    /// The duration of a call to this origin in seconds: that of the last ones,
    /// or longer if the ones in flight already show it.
    fn call_duration(&self, now: Duration, state: &OriginState) -> f64 {
        let age = self.calls.mean_age(now, state.origin.address);
        state.mean_duration.max(age.unwrap_or(0.0))
    }

    /// The mean duration of a call over the usable origins, in seconds.
    pub(super) fn usual_duration(&self, now: Duration) -> f64 {
        let (count, sum) = self
            .usable_origins(now)
            .fold((0, 0.0), |(count, sum), state| {
                (count + 1, sum + state.mean_duration)
            });
        (sum / f64::from(count.max(1))).min(MAX_USUAL_DURATION_S)
    }

    /// Calls a second that all usable origins can take.
    pub(super) fn capacity(&self, now: Duration) -> f64 {
        let sum = self
            .usable_origins(now)
            .map(|state| self.rate.min(self.throughput(now, state)))
            .sum();
        self.total_rate
            .as_ref()
            .map_or(sum, |bucket| bucket.rate.min(sum))
    }

    /// Calls a second that the slots of an origin allow.
    fn throughput(&self, now: Duration, state: &OriginState) -> f64 {
        f64::from(state.slots(self.concurrency)) / self.call_duration(now, state)
    }

    /// Recent arrivals a second above a rank.
    fn higher_rank_rate(&self, rank: u32) -> f64 {
        self.arrivals.above(rank) as f64 / ARRIVAL_WINDOW.as_secs_f64()
    }

    /// Whether a call of this rank leaves the slots that higher ranks will need
    /// before it ends. Where calls are short beside the time that requests may
    /// wait, a higher one just waits for the next slot.
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
        // A slot that a higher call holds serves the next one for what is left
        // of that time after it ends.
        let reused: f64 = self
            .calls
            .iter()
            .filter(|call| call.rank > waiting.rank)
            .map(|call: &CallInFlight| (call.age(now) / duration).min(1.0))
            .sum();
        let needed = (higher_rate * duration).min(slots) - reused;
        slots - self.calls.len() as f64 - 1.0 >= needed.floor().max(0.0)
    }

    /// Whether the request is in time and within the retry budget.
    pub(super) fn is_within_budget(&self, now: Duration, waiting: &WaitingRequest) -> bool {
        now < waiting.deadline && (!waiting.is_retry || self.retry_budget.permits_retry(now))
    }

    /// The refusal of a request that will not be granted, with `ahead` requests
    /// before it.
    pub(super) fn refusal(
        &self,
        now: Duration,
        waiting: &WaitingRequest,
        ahead: usize,
        capacity: f64,
    ) -> Option<PermitRefused> {
        let refused = |reason, back| PermitRefused {
            id: waiting.id,
            reason,
            retry_after: back,
        };
        if now < waiting.deadline && !self.is_within_budget(now, waiting) {
            let reason = PermitRefusalReason::RetryBudgetExhausted;
            return Some(refused(reason, RETRY_BUDGET_BACKOFF));
        }
        if let Some(back) = self.all_origins_ejected_for(now) {
            return Some(refused(PermitRefusalReason::NoHealthyOrigin, back));
        }
        let wait = self.expected_wait(waiting.rank, ahead, capacity);
        let too_late = !wait.is_zero() && now.saturating_add(wait) >= waiting.deadline;
        (too_late || now >= waiting.deadline).then(|| {
            let back = wait.clamp(MIN_OVERLOAD_BACKOFF, MAX_OVERLOAD_BACKOFF);
            refused(PermitRefusalReason::Overloaded, back)
        })
    }

    /// The time until the first origin may be called, if all have failed.
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

    /// How long a request of this rank waits behind `ahead` others, at the rate
    /// that higher ranks leave.
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

    /// The origin that may be called and will respond first, as far as is known.
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
                && self.calls.at(state.origin.address) < state.slots(self.concurrency) as usize
        });
        callable
            .map(|state| (self.score(state, waiting), state.origin.address))
            .min_by(|(one, _), (other, _)| one.cmp(other))
            .map(|(_, address)| address)
    }

    /// Scores by the fraction of the slots in use, the duration of calls and the
    /// distance. An origin that failed this request is the last choice. Where an
    /// origin has many slots the nearer goes first while half of them are free:
    /// its responses are large.
    fn score(&self, state: &OriginState, waiting: &WaitingRequest) -> OriginScore {
        let in_flight = self.calls.at(state.origin.address) as f64;
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
                since: now,
                until: now + waiting.call_timeout + UNREPORTED_CALL_GRACE,
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
