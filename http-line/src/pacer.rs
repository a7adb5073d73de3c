#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Paces what is written to all served connections together, so that a narrow
/// link's own queue stays short and other traffic of the machine (leases, above
/// all) is not held up behind answers. The rate follows the delay that others
/// measure on the link: it falls while that is long and rises slowly while it is
/// not, since what else the link carries, and in which direction, is not known
/// here. Invariant: within any span, no more is written than the link's width
/// times the span plus four turns.
pub struct Pacer {
    /// The link's width in bytes a second; none: nothing is held back.
    link: Option<f64>,
    /// Bytes written to one connection before the next has its turn.
    turn: usize,
    /// The part of the link that answers may take now.
    part: f64,
    next_cut: Instant,
    tokens: f64,
    filled: Instant,
    /// Connections that wait for their turn, in order: those that are done with
    /// few more turns go first, so that a small answer waits for no large one.
    nearly_done: VecDeque<usize>,
    waiting: VecDeque<usize>,
}

/// A turn is what the link takes in this time, within these bounds in bytes: a
/// wide link is not written to in small pieces.
const TURN_TIME: Duration = Duration::from_millis(5);
const LEAST_TURN: usize = 8 * 1024;
const MOST_TURN: usize = 256 * 1024;
/// Turns that may be written at once after a pause.
const BURST_TURNS: usize = 4;
/// An answer with so many turns left is served before larger ones.
const SMALL_TURNS: usize = 2;
/// Bounds of the part, and the one begun with.
const LEAST_PART: f64 = 0.2;
const FIRST_PART: f64 = 0.8;
const MOST_PART: f64 = 0.95;
/// A longer delay than this is a queue that answers have a part in.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// The part is cut at most once in this time: a cut shows only then.
const CUT_PAUSE: Duration = Duration::from_millis(200);
const CUT: f64 = 0.8;
/// Added with each measurement of a short delay.
const RISE: f64 = 0.01;

impl Pacer {
    /// `link` in bytes a second.
    pub fn new(link: Option<f64>, now: Instant) -> Pacer {
        let link = link.filter(|link| *link > 0.0);
        let turn = link.map_or(MOST_TURN, |link| (link * TURN_TIME.as_secs_f64()) as usize);
        let turn = turn.clamp(LEAST_TURN, MOST_TURN);
        Pacer {
            link,
            turn,
            part: FIRST_PART,
            next_cut: now,
            tokens: (BURST_TURNS * turn) as f64,
            filled: now,
            nearly_done: VecDeque::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Bytes a second that answers may take now.
    pub fn rate(&self) -> Option<f64> {
        self.link.map(|link| link * self.part)
    }

    /// Small messages were so late on the link, as measured now.
    pub fn measured(&mut self, now: Instant, delay: Duration) {
        self.refill(now);
        if delay <= LONG_DELAY {
            self.part = (self.part + RISE).min(MOST_PART);
        } else if now >= self.next_cut {
            self.part = (self.part * CUT).max(LEAST_PART);
            self.next_cut = now + CUT_PAUSE;
        }
    }

    /// Bytes that may be written at once after a pause.
    fn burst(&self) -> f64 {
        (BURST_TURNS * self.turn) as f64
    }

    fn refill(&mut self, now: Instant) {
        let Some(rate) = self.rate() else { return };
        let span = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + span * rate).min(self.burst());
        self.filled = now;
    }

    /// Bytes that one connection may write now.
    pub fn turn(&mut self, now: Instant) -> usize {
        if self.link.is_none() {
            return usize::MAX;
        }
        self.refill(now);
        if self.tokens < 1.0 {
            return 0;
        }
        self.turn
    }

    pub fn wrote(&mut self, size: usize) {
        if self.link.is_some() {
            self.tokens -= size as f64;
        }
    }

    /// The connection has so many bytes more to write when its turn comes again.
    pub fn wait(&mut self, token: usize, left: usize) {
        if left <= SMALL_TURNS * self.turn {
            self.nearly_done.push_back(token);
        } else {
            self.waiting.push_back(token);
        }
    }

    fn first(&self) -> Option<&usize> {
        self.nearly_done.front().or(self.waiting.front())
    }

    /// The next connection whose turn it is.
    pub fn next(&mut self, now: Instant) -> Option<usize> {
        self.refill(now);
        if self.link.is_some() && self.tokens < 1.0 {
            return None;
        }
        self.nearly_done
            .pop_front()
            .or_else(|| self.waiting.pop_front())
    }

    /// When the first that waits may write.
    pub fn due(&self) -> Option<Instant> {
        let rate = self.rate()?;
        self.first()?;
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
