//! Paces responses to the bandwidth of the machine's link.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Paces the total output to all clients, so that the queue of a narrow link stays
/// short and other traffic of the machine (above all, lease renewals) is not
/// delayed behind responses. The pacer is a token bucket whose rate follows the
/// delay that other components measure on the link: the rate is decreased while
/// the delay is long and slowly increased while it is short, because the other
/// traffic on the link, and its direction, are not known here. Invariant: in any
/// time span, the bytes written do not exceed the link bandwidth times the span
/// plus `BURST_QUANTA` quanta.
pub(crate) struct Pacer {
    /// Bandwidth of the link in bytes per second; `None` disables pacing.
    bandwidth: Option<f64>,
    /// Maximum number of bytes written to one connection before the next is served.
    quantum: usize,
    /// Fraction of the bandwidth that responses may currently use.
    fraction: f64,
    next_decrease: Instant,
    /// Number of bytes that may be written now; negative after a write that exceeded
    /// them.
    tokens: f64,
    refilled: Instant,
    /// True if the rate no longer follows the measured delay.
    uses_full_rate: bool,
    /// The queued connections. The one with the fewest bytes left to write is served
    /// first, so that as many responses as possible are complete at any time, and small
    /// ones do not wait behind large ones.
    queue: BTreeSet<QueuedConnection>,
    /// Number of connections queued so far.
    queued_count: u64,
}

/// A connection in the queue, ordered by its remaining bytes.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedConnection {
    remaining: usize,
    /// Connections with equally many bytes are served in the order in which they were
    /// queued.
    order: u64,
    token: usize,
}

/// Transmission time of one quantum on the link.
const QUANTUM_TIME: Duration = Duration::from_millis(5);
/// Minimum quantum in bytes, so that fast links are not written to in small pieces.
const MIN_QUANTUM_BYTES: usize = 8 * 1024;
/// Maximum quantum in bytes.
const MAX_QUANTUM_BYTES: usize = 256 * 1024;
/// Number of quanta that may be written in one burst after an idle period.
const BURST_QUANTA: usize = 4;
/// Lower bound of the fraction of the bandwidth that responses may use.
const MIN_FRACTION: f64 = 0.2;
/// Initial fraction of the bandwidth that responses may use.
const INITIAL_FRACTION: f64 = 0.8;
/// Upper bound of the fraction of the bandwidth that responses may use.
const MAX_FRACTION: f64 = 0.95;
/// A delay above this indicates a queue on the link to which responses have
/// contributed.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// Minimum time between two decreases of the fraction, since a decrease takes this
/// long to have an effect.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Factor applied to the fraction on a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Added to the fraction for each measurement of a short delay.
const INCREASE_STEP: f64 = 0.01;

impl Pacer {
    /// Creates a pacer for a link with this bandwidth in bytes per second.
    pub(crate) fn new(bandwidth: Option<f64>, now: Instant) -> Pacer {
        let bandwidth = bandwidth.filter(|bandwidth| *bandwidth > 0.0);
        let quantum = bandwidth.map_or(MAX_QUANTUM_BYTES, |bandwidth| {
            (bandwidth * QUANTUM_TIME.as_secs_f64()) as usize
        });
        let quantum = quantum.clamp(MIN_QUANTUM_BYTES, MAX_QUANTUM_BYTES);
        Pacer {
            bandwidth,
            quantum,
            fraction: INITIAL_FRACTION,
            next_decrease: now,
            tokens: (BURST_QUANTA * quantum) as f64,
            refilled: now,
            uses_full_rate: false,
            queue: BTreeSet::new(),
            queued_count: 0,
        }
    }

    /// Rate in bytes per second at which responses may currently be written.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.bandwidth.map(|bandwidth| bandwidth * self.fraction)
    }

    /// Time that the link needs for this number of bytes at the current rate; `None` if
    /// its bandwidth is not known.
    pub(crate) fn time_to_send(&self, bytes: usize) -> Option<Duration> {
        let rate = self.rate()?;
        Some(Duration::from_secs_f64(bytes as f64 / rate))
    }

    /// Uses the maximum rate from now on. During a shutdown, unsent responses are more
    /// important than a short delay of the machine's other traffic.
    pub(crate) fn use_full_rate(&mut self) {
        self.uses_full_rate = true;
        self.fraction = MAX_FRACTION;
    }

    /// Adapts the rate to the measured delay of small messages on the link.
    pub(crate) fn record_delay(&mut self, now: Instant, delay: Duration) {
        if self.uses_full_rate {
            return;
        }
        self.refill(now);
        if delay <= LONG_DELAY {
            self.fraction = (self.fraction + INCREASE_STEP).min(MAX_FRACTION);
        } else if now >= self.next_decrease {
            self.fraction = (self.fraction * DECREASE_FACTOR).max(MIN_FRACTION);
            self.next_decrease = now + DECREASE_INTERVAL;
        }
    }

    /// Capacity of the token bucket in bytes.
    fn burst(&self) -> f64 {
        (BURST_QUANTA * self.quantum) as f64
    }

    fn refill(&mut self, now: Instant) {
        let Some(rate) = self.rate() else { return };
        let span = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + span * rate).min(self.burst());
        self.refilled = now;
    }

    /// Number of bytes that one connection may write now.
    pub(crate) fn allowance(&mut self, now: Instant) -> usize {
        if self.bandwidth.is_none() {
            return usize::MAX;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return 0;
        }
        self.quantum
    }

    /// Removes the tokens for `size` written bytes from the bucket.
    pub(crate) fn spend(&mut self, size: usize) {
        if self.bandwidth.is_some() {
            self.tokens -= size as f64;
        }
    }

    /// Queues a connection that has `remaining` bytes to write.
    pub(crate) fn enqueue(&mut self, token: usize, remaining: usize) {
        self.queued_count += 1;
        self.queue.insert(QueuedConnection {
            remaining,
            order: self.queued_count,
            token,
        });
    }

    /// Removes and returns the next queued connection, if anything may be written now.
    pub(crate) fn dequeue(&mut self, now: Instant) -> Option<usize> {
        self.refill(now);
        if self.bandwidth.is_some() && self.tokens < 1.0 {
            return None;
        }
        self.queue.pop_first().map(|queued| queued.token)
    }

    /// Time at which the first queued connection may write.
    pub(crate) fn due(&self) -> Option<Instant> {
        let rate = self.rate()?;
        if self.queue.is_empty() {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Some(self.refilled + Duration::from_secs_f64(missing / rate))
    }
}

/// A sink that accepts `remaining` bytes and then reports `WouldBlock`.
pub(crate) struct LimitedSink<'a, W: Write> {
    pub(crate) sink: &'a mut W,
    pub(crate) remaining: usize,
}

impl<W: Write> Write for LimitedSink<'_, W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.remaining == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = self.sink.write(&bytes[..bytes.len().min(self.remaining)])?;
        self.remaining -= size;
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.sink.flush()
    }
}
