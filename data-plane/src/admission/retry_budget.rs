//! The budget of a group's retries.
use crate::prelude::*;

/// Limits retries relative to first attempts. Invariant: within ten seconds,
/// retries stay within a fifth of the first attempts plus the allowance, of
/// which a new controller has a fraction at once if it is large and the rest
/// after ten seconds: two changes of controller fit in. Retries are counted a
/// `PERMIT_VALIDITY` longer and first attempts a `PERMIT_VALIDITY` shorter, so
/// that it holds at the origins, too.
pub(super) struct RetryBudget {
    allowance: usize,
    started_at: Duration,
    /// When first attempts were granted.
    pub(super) first_attempts: VecDeque<Duration>,
    /// When retries were granted.
    pub(super) retries: VecDeque<Duration>,
}

/// The span over which retries and first attempts are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// First attempts that earn one retry.
const FIRST_ATTEMPTS_PER_RETRY: usize = 5;
/// Two sevenths of an allowance of at least seven are available at once.
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

    pub(super) fn forget_old(&mut self, now: Duration) {
        for (granted, span) in [
            (&mut self.first_attempts, WINDOW - lease::PERMIT_VALIDITY),
            (&mut self.retries, WINDOW + lease::PERMIT_VALIDITY),
        ] {
            while granted.front().is_some_and(|at| now >= *at + span) {
                granted.pop_front();
            }
        }
    }

    /// Whether one more retry is within the budget.
    pub(super) fn permits_retry(&self, now: Duration) -> bool {
        self.retries.len()
            < self.first_attempts.len() / FIRST_ATTEMPTS_PER_RETRY + self.available_allowance(now)
    }

    /// The controller may change twice within the window.
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

    /// The last granted attempt of its kind was not made.
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
