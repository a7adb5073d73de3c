//! A token bucket that also limits the calls within a sliding window.
use crate::prelude::*;

/// The window in which calls are limited, in seconds.
const RATE_WINDOW_S: f64 = 5.0;
/// Maximum number of calls within the window, as a multiple of the rate.
const RATE_TOLERANCE: f64 = 1.1;
/// The burst of a bucket in seconds of its rate; it is at least one token. A smaller
/// burst would space calls evenly. A larger one would exceed 110 % of the rate within
/// five seconds if permits are used up to `PERMIT_VALIDITY` late.
const BURST_S: f64 = 0.1;

/// A token bucket: the tokens left and the recently granted calls.
pub struct TokenBucket {
    /// Number of tokens added per second.
    pub rate: f64,
    /// Number of tokens left.
    pub tokens: f64,
    refilled_at: Duration,
    /// The times at which recent calls were granted.
    granted: VecDeque<Duration>,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Duration, rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: 0.0,
            refilled_at: now,
            granted: VecDeque::new(),
        }
    }

    /// Creates a bucket that holds `tokens` initially.
    pub fn with_tokens(now: Duration, rate: f64, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            ..TokenBucket::new(now, rate)
        }
    }

    /// Returns the number of tokens up to which the bucket is refilled.
    fn burst(&self) -> f64 {
        (self.rate * BURST_S).max(1.0)
    }

    /// Adds the tokens that are due since the last refill.
    pub fn refill(&mut self, now: Duration) {
        let limit = self.burst().max(self.tokens);
        let added = (now - self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + added).min(limit);
        self.refilled_at = now;
        let window = Duration::from_secs_f64(RATE_WINDOW_S) + lease::PERMIT_VALIDITY;
        while self.granted.front().is_some_and(|at| now >= *at + window) {
            self.granted.pop_front();
        }
    }

    /// Returns true if one more call or probe now stays within the rate and the window's
    /// limit.
    pub fn has_token(&self) -> bool {
        let limit = (self.rate * RATE_WINDOW_S * RATE_TOLERANCE).max(1.0) as usize;
        self.tokens >= 1.0 && self.granted.len() < limit
    }

    /// Takes a token for a call granted now.
    pub fn take(&mut self, now: Duration) {
        self.tokens -= 1.0;
        self.granted.push_back(now);
    }

    /// Returns the token of the last granted call, if that call was not made.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.granted.pop_back();
    }
}
