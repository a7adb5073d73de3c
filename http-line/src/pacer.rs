use crate::prelude::*;

/// Paces what is written to all served connections together, so that a narrow
/// link's own queue stays short and other traffic of the machine (leases, above
/// all) is not held up behind answers. Invariant: within any span, no more is
/// written than `rate` times the span plus `BURST`.
pub struct Pacer {
    /// Bytes a second; none: nothing is held back.
    rate: Option<f64>,
    tokens: f64,
    filled: Instant,
    /// Connections that wait for their turn, in order.
    waiting: VecDeque<usize>,
}

/// Written at once after a pause, in bytes.
const BURST: f64 = 32.0 * 1024.0;
/// Written to one connection before the next has its turn.
const TURN_BYTES: usize = 8 * 1024;

impl Pacer {
    pub fn new(rate: Option<f64>, now: Instant) -> Pacer {
        Pacer {
            rate: rate.filter(|rate| *rate > 0.0),
            tokens: BURST,
            filled: now,
            waiting: VecDeque::new(),
        }
    }

    fn refill(&mut self, now: Instant) {
        let Some(rate) = self.rate else { return };
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + span * rate).min(BURST);
        self.filled = now;
    }

    /// Bytes that one connection may write now.
    pub fn turn(&mut self, now: Instant) -> usize {
        if self.rate.is_none() {
            return usize::MAX;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return 0;
        }
        TURN_BYTES
    }

    pub fn wrote(&mut self, size: usize) {
        if self.rate.is_some() {
            self.tokens -= size as f64;
        }
    }

    /// The connection has more to write when its turn comes again.
    pub fn wait(&mut self, token: usize) {
        self.waiting.push_back(token);
    }

    /// The next connection whose turn it is.
    pub fn next(&mut self, now: Instant) -> Option<usize> {
        self.refill(now);
        if self.rate.is_some() && self.tokens < 1.0 {
            return None;
        }
        self.waiting.pop_front()
    }

    /// When the first that waits may write.
    pub fn due(&self) -> Option<Instant> {
        let rate = self.rate?;
        self.waiting.front()?;
        let missing = (1.0 - self.tokens).max(0.0);
        Some(self.filled + Duration::from_secs_f64(missing / rate))
    }
}

/// A sink that takes so many bytes and then would block.
pub struct Limited<'a, W: Write> {
    pub sink: &'a mut W,
    pub left: usize,
}

impl<W: Write> Write for Limited<'_, W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.left == 0 {
            return Err(ErrorKind::WouldBlock.into());
        }
        let size = self.sink.write(&bytes[..bytes.len().min(self.left)])?;
        self.left -= size;
        Ok(size)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.sink.flush()
    }
}
