//! A token bucket that also bounds the calls in any few seconds.
use crate::prelude::*;

/// The span over which a rate is judged, in seconds, and how much of it may be used.
const RATE_WINDOW_S: f64 = 5.0;
const RATE_TOLERANCE: f64 = 1.1;
/// A bucket holds the tokens of so many seconds, and at least one: large enough
/// that calls are not paced apart, small enough that any five seconds stay
/// within 110 % of the rate with permits used up to `PERMIT_VALIDITY` late.
const BURST_S: f64 = 0.1;

/// The capacity under one rate: the tokens left and the calls granted recently.
pub struct TokenBucket {
    /// Tokens added a second.
    pub rate: f64,
    /// Tokens left.
    pub tokens: f64,
    refilled_at: Duration,
    /// When calls were granted.
    granted: VecDeque<Duration>,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(now: Duration, rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: 0.0,
            refilled_at: now,
            granted: VecDeque::new(),
        }
    }

    /// A bucket with so many tokens at once.
    pub fn with_tokens(now: Duration, rate: f64, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            ..TokenBucket::new(now, rate)
        }
    }

    /// The tokens up to which the bucket is refilled.
    fn burst(&self) -> f64 {
        (self.rate * BURST_S).max(1.0)
    }

    /// Adds the tokens since the last refill.
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

    /// Whether one more call or probe now stays within the rate over any window.
    pub fn has_token(&self) -> bool {
        let limit = (self.rate * RATE_WINDOW_S * RATE_TOLERANCE).max(1.0) as usize;
        self.tokens >= 1.0 && self.granted.len() < limit
    }

    /// Takes a token for a call granted now.
    pub fn take(&mut self, now: Duration) {
        self.tokens -= 1.0;
        self.granted.push_back(now);
    }

    /// Returns the token of the last granted call, which was not made.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
        self.granted.pop_back();
    }
}
