//! The retry budget of a group.
use crate::prelude::*;

/// Limits retries relative to first attempts. Invariant: within ten seconds, retries
/// stay within a fifth of the first attempts plus the allowance, even with two changes
/// of controller. Therefore a new controller starts with a part of a large allowance, or
/// with none of a small one. After ten seconds it has the allowance minus the parts with
/// which two successors would start. Retries are counted for a `PERMIT_VALIDITY` longer
/// and first attempts for a `PERMIT_VALIDITY` shorter, so that the invariant also holds
/// at the origins.
pub(super) struct RetryBudget {
    allowance: usize,
    started_at: Duration,
    /// The times at which first attempts were granted.
    pub(super) first_attempts: VecDeque<Duration>,
    /// The times at which retries were granted.
    pub(super) retries: VecDeque<Duration>,
}

/// The window over which retries and first attempts are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of first attempts that permit one retry.
const FIRST_ATTEMPTS_PER_RETRY: usize = 5;
/// A new controller starts with the allowance times two, divided by this. An allowance
/// below this is not available at the start.
const ALLOWANCE_DIVISOR: usize = 7;

impl RetryBudget {
    pub(super) fn new(now: Duration, allowance: usize) -> RetryBudget {
        RetryBudget {
            allowance,
            started_at: now,
            first_attempts: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    pub(super) fn remove_expired(&mut self, now: Duration) {
        for (granted, span) in [
            (&mut self.first_attempts, WINDOW - lease::PERMIT_VALIDITY),
            (&mut self.retries, WINDOW + lease::PERMIT_VALIDITY),
        ] {
            while granted.front().is_some_and(|at| now >= *at + span) {
                granted.pop_front();
            }
        }
    }

    /// Returns true if one more retry is within the budget.
    pub(super) fn permits_retry(&self, now: Duration) -> bool {
        self.retries.len()
            < self.first_attempts.len() / FIRST_ATTEMPTS_PER_RETRY + self.available_allowance(now)
    }

    /// Returns the part of the allowance that is available now. It allows for two changes
    /// of controller within the window.
    fn available_allowance(&self, now: Duration) -> usize {
        let at_once = if self.allowance < ALLOWANCE_DIVISOR {
            0
        } else {
            self.allowance * 2 / ALLOWANCE_DIVISOR
        };
        if now >= self.started_at + WINDOW {
            self.allowance - 2 * at_once
        } else {
            at_once
        }
    }

    pub(super) fn record(&mut self, now: Duration, is_retry: bool) {
        self.granted(is_retry).push_back(now);
    }

    /// Removes the last granted attempt of this kind, which was not made.
    pub(super) fn refund(&mut self, is_retry: bool) {
        self.granted(is_retry).pop_back();
    }

    fn granted(&mut self, is_retry: bool) -> &mut VecDeque<Duration> {
        if is_retry {
            &mut self.retries
        } else {
            &mut self.first_attempts
        }
    }
}
