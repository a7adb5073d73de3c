use crate::prelude::*;

/// The span over which a rate is judged, and how much of it may come.
const RATE_WINDOW_S: f64 = 5.0;
const RATE_TOLERANCE: f64 = 1.1;

/// Room under one rate: a bucket, empty at first, and what was given of late.
pub struct TokenBucket {
    pub rate: f64,
    pub tokens: f64,
    filled: Duration,
    window: VecDeque<Duration>,
}

impl TokenBucket {
    pub fn new(now: Duration, rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: 0.0,
            filled: now,
            window: VecDeque::new(),
        }
    }

    /// With so many calls at once.
    pub fn with(now: Duration, rate: f64, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            ..TokenBucket::new(now, rate)
        }
    }

    /// Large enough that calls are not paced apart, small enough that any five
    /// seconds stay within 110 % of the rate with permits up to `PERMIT` late.
    pub fn burst(&self) -> f64 {
        (self.rate * 0.1).max(1.0)
    }

    pub fn refill(&mut self, now: Duration) {
        let most = self.burst().max(self.tokens);
        self.tokens = (self.tokens + (now - self.filled).as_secs_f64() * self.rate).min(most);
        self.filled = now;
        while self.window.front().is_some_and(|given| {
            now >= *given + Duration::from_secs_f64(RATE_WINDOW_S) + lease::PERMIT_VALIDITY
        }) {
            self.window.pop_front();
        }
    }

    /// Whether one more call or probe now keeps it within its rate over any
    /// span.
    pub fn has(&self) -> bool {
        self.tokens >= 1.0
            && self.window.len() < (self.rate * RATE_WINDOW_S * RATE_TOLERANCE).max(1.0) as usize
    }

    pub fn take(&mut self, now: Duration) {
        self.tokens -= 1.0;
        self.window.push_back(now);
    }

    pub fn give_back(&mut self) {
        self.tokens += 1.0;
        self.window.pop_back();
    }
}
