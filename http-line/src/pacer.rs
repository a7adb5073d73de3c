//! Paces responses to the bandwidth of the machine's link.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Paces what is written to all clients together, so that a narrow link's own
/// queue stays short and other traffic of the machine (leases, above all) is not
/// delayed behind responses. A token bucket whose rate follows the delay that
/// others measure on the link: it falls while that is long and rises slowly while
/// it is not, since what else the link carries, and in which direction, is not
/// known here. Invariant: within any span, no more is written than the link's
/// bandwidth times the span plus `BURST_QUANTA` quanta.
pub(crate) struct Pacer {
    /// The link's bandwidth in bytes a second; none: nothing is paced.
    bandwidth: Option<f64>,
    /// Bytes written to one connection before the next has its turn.
    quantum: usize,
    /// The fraction of the bandwidth that responses may take now.
    fraction: f64,
    next_decrease: Instant,
    /// Bytes that may be written now; below zero after a write beyond them.
    tokens: f64,
    refilled: Instant,
    /// Connections that wait for their turn, in order: those that are done with
    /// few more quanta go first, so that a small response waits for no large one.
    nearly_done: VecDeque<usize>,
    waiting: VecDeque<usize>,
}

/// A quantum is what the link takes in this time, within these bounds in bytes: a
/// fast link is not written to in small chunks.
const QUANTUM_TIME: Duration = Duration::from_millis(5);
const MIN_QUANTUM: usize = 8 * 1024;
const MAX_QUANTUM: usize = 256 * 1024;
/// Quanta that may be written at once after an idle time.
const BURST_QUANTA: usize = 4;
/// A response with so many quanta left is served before larger ones.
const NEARLY_DONE_QUANTA: usize = 2;
/// Bounds of the fraction, and the initial one.
const MIN_FRACTION: f64 = 0.2;
const INITIAL_FRACTION: f64 = 0.8;
const MAX_FRACTION: f64 = 0.95;
/// A longer delay than this is a queue that responses have contributed to.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// The fraction is decreased at most once in this time: the effect of a decrease
/// shows only then.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
const DECREASE_FACTOR: f64 = 0.8;
/// Added with each measurement of a short delay.
const INCREASE_STEP: f64 = 0.01;

impl Pacer {
    /// `bandwidth` in bytes a second.
    pub(crate) fn new(bandwidth: Option<f64>, now: Instant) -> Pacer {
        let bandwidth = bandwidth.filter(|bandwidth| *bandwidth > 0.0);
        let quantum = bandwidth.map_or(MAX_QUANTUM, |bandwidth| {
            (bandwidth * QUANTUM_TIME.as_secs_f64()) as usize
        });
        let quantum = quantum.clamp(MIN_QUANTUM, MAX_QUANTUM);
        Pacer {
            bandwidth,
            quantum,
            fraction: INITIAL_FRACTION,
            next_decrease: now,
            tokens: (BURST_QUANTA * quantum) as f64,
            refilled: now,
            nearly_done: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Bytes a second that responses may take now.
    pub(crate) fn rate(&self) -> Option<f64> {
        self.bandwidth.map(|bandwidth| bandwidth * self.fraction)
    }

    /// Adapts the rate to the delay of small messages on the link.
    pub(crate) fn record_delay(&mut self, now: Instant, delay: Duration) {
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

    /// Bytes that one connection may write now.
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

    /// Takes written bytes from the bucket.
    pub(crate) fn spend(&mut self, size: usize) {
        if self.bandwidth.is_some() {
            self.tokens -= size as f64;
        }
    }

    /// Queues a connection that has `remaining` bytes to write.
    pub(crate) fn enqueue(&mut self, token: usize, remaining: usize) {
        if remaining <= NEARLY_DONE_QUANTA * self.quantum {
            self.nearly_done.push_back(token);
        } else {
            self.waiting.push_back(token);
        }
    }

    fn has_queued(&self) -> bool {
        !self.nearly_done.is_empty() || !self.waiting.is_empty()
    }

    /// The next connection whose turn it is, if anything may be written now.
    pub(crate) fn dequeue(&mut self, now: Instant) -> Option<usize> {
        self.refill(now);
        if self.bandwidth.is_some() && self.tokens < 1.0 {
            return None;
        }
        self.nearly_done
            .pop_front()
            .or_else(|| self.waiting.pop_front())
    }

    /// When the first queued connection may write.
    pub(crate) fn due(&self) -> Option<Instant> {
        let rate = self.rate()?;
        if !self.has_queued() {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Some(self.refilled + Duration::from_secs_f64(missing / rate))
    }
}

/// A sink that takes so many bytes and then would block.
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
