//! Rate of the bytes that a process sends over the link of its machine.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Transmission time of one quantum on the link.
const QUANTUM_TIME: Duration = Duration::from_millis(5);
/// Minimum quantum in bytes, so that fast links are not written to in small pieces.
pub const MIN_QUANTUM_BYTES: usize = 8 * 1024;
/// Maximum quantum in bytes.
pub const MAX_QUANTUM_BYTES: usize = 256 * 1024;
/// Number of quanta that may be sent in one burst after an idle period.
pub const BURST_QUANTA: usize = 4;
/// Lower bound of the fraction of the bandwidth that may be used.
const MIN_FRACTION: f64 = 0.2;
/// Initial fraction of the bandwidth that may be used.
const INITIAL_FRACTION: f64 = 0.8;
/// Upper bound of the fraction of the bandwidth that may be used.
pub const MAX_FRACTION: f64 = 0.95;
/// A delay above this indicates a queue on the link.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// Minimum time between two decreases of the fraction, since a decrease takes this
/// long to have an effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Factor applied to the fraction on a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Added to the fraction for each measurement of a short delay.
const INCREASE_STEP: f64 = 0.01;

/// Added to waits, so that rounding does not end them before the tokens are there.
const ROUNDING: Duration = Duration::from_micros(1);

/// Limits the large transfers of a process together (responses to clients, bulk messages
/// to peers), so that the queue of a narrow link stays short and its other traffic (lease
/// renewals, calls to origins) is not delayed behind them.
///
/// A token bucket whose rate follows the delay that is measured on the link: the rate is
/// decreased while the delay is long and slowly increased while it is short, because the
/// other traffic on the link, and its direction, are not known here. Invariant: in any
/// time span, the bytes sent do not exceed the bandwidth times the span plus
/// `BURST_QUANTA` quanta, and one quantum for each sender.
#[derive(Debug)]
pub struct SendRate {
    /// Bandwidth of the link in bytes per second.
    bandwidth: f64,
    /// Maximum number of bytes that one connection may send before the next is served.
    quantum: usize,
    bucket: Mutex<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    /// Fraction of the bandwidth that may currently be used.
    fraction: f64,
    next_decrease: Instant,
    /// True if the rate no longer follows the measured delay.
    uses_full_rate: bool,
    /// Number of bytes that may be sent now; negative after a write that exceeded them.
    tokens: f64,
    refilled: Instant,
}

impl SendRate {
    /// Creates the rate of a link with this bandwidth in bytes per second. Returns `None`
    /// if it is not positive.
    pub fn new(bandwidth: f64, now: Instant) -> Option<SendRate> {
        if bandwidth.is_nan() || bandwidth <= 0.0 {
            return None;
        }
        let quantum = (bandwidth * QUANTUM_TIME.as_secs_f64()) as usize;
        let quantum = quantum.clamp(MIN_QUANTUM_BYTES, MAX_QUANTUM_BYTES);
        let bucket = Bucket {
            fraction: INITIAL_FRACTION,
            next_decrease: now,
            uses_full_rate: false,
            tokens: (BURST_QUANTA * quantum) as f64,
            refilled: now,
        };
        Some(SendRate {
            bandwidth,
            quantum,
            bucket: Mutex::new(bucket),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Bucket> {
        self.bucket.lock().expect("no holder panics")
    }

    /// Returns the bucket, refilled up to now.
    fn refill(&self, now: Instant) -> MutexGuard<'_, Bucket> {
        let mut bucket = self.lock();
        let span = now.saturating_duration_since(bucket.refilled);
        let rate = self.bandwidth * bucket.fraction;
        let tokens = bucket.tokens + span.as_secs_f64() * rate;
        bucket.tokens = tokens.min((BURST_QUANTA * self.quantum) as f64);
        bucket.refilled = bucket.refilled.max(now);
        bucket
    }

    /// Maximum number of bytes that one connection may send before the next is served.
    pub fn quantum(&self) -> usize {
        self.quantum
    }

    /// Rate in bytes per second at which may be sent currently.
    pub fn bytes_per_second(&self) -> f64 {
        self.bandwidth * self.lock().fraction
    }

    /// Time that the link needs for this number of bytes at the current rate.
    pub fn time_to_send(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second())
    }

    /// Time that the link needs for this number of bytes at the maximum rate.
    pub fn shortest_time_to_send(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.bandwidth * MAX_FRACTION))
    }

    /// Adapts the rate to the measured delay of small messages on the link.
    pub fn record_delay(&self, now: Instant, delay: Duration) {
        let mut bucket = self.refill(now);
        if bucket.uses_full_rate {
            return;
        }
        if delay <= LONG_DELAY {
            bucket.fraction = (bucket.fraction + INCREASE_STEP).min(MAX_FRACTION);
        } else if now >= bucket.next_decrease {
            bucket.fraction = (bucket.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
            bucket.next_decrease = now + DECREASE_INTERVAL;
        }
    }

    /// Uses the maximum rate from now on. During a shutdown, unsent responses are more
    /// important than a short delay of the machine's other traffic.
    pub fn use_full_rate(&self) {
        let mut bucket = self.lock();
        bucket.uses_full_rate = true;
        bucket.fraction = MAX_FRACTION;
    }

    /// Number of bytes that one connection may send now: a quantum or nothing.
    pub fn allowance(&self, now: Instant) -> usize {
        match self.refill(now).tokens >= 1.0 {
            true => self.quantum,
            false => 0,
        }
    }

    /// Removes the tokens for `size` sent bytes from the bucket.
    pub fn spend(&self, size: usize) {
        self.lock().tokens -= size as f64;
    }

    /// Time at which the next bytes may be sent.
    pub fn due(&self) -> Instant {
        self.time_of_tokens(1.0)
    }

    /// Like `allowance`, for messages to peers. While the full rate is used, these get
    /// only what responses leave.
    pub fn peer_allowance(&self, now: Instant) -> usize {
        let threshold = self.peer_threshold();
        match self.refill(now).tokens >= threshold {
            true => self.quantum,
            false => 0,
        }
    }

    /// Time at which `peer_allowance` is positive, if nothing else is sent before.
    pub fn peer_due(&self) -> Instant {
        self.time_of_tokens(self.peer_threshold())
    }

    fn peer_threshold(&self) -> f64 {
        match self.lock().uses_full_rate {
            true => (BURST_QUANTA * self.quantum / 2) as f64,
            false => 1.0,
        }
    }

    fn time_of_tokens(&self, tokens: f64) -> Instant {
        let bucket = self.lock();
        let missing = (tokens - bucket.tokens).max(0.0);
        let wait = Duration::from_secs_f64(missing / (self.bandwidth * bucket.fraction));
        bucket.refilled + wait + ROUNDING
    }
}
