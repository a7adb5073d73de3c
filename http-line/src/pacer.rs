//! Paces responses to the rate of the machine's link.

#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Paces the output to all clients by the rate that the process shares with its other
/// large transfers, and chooses the connection that writes next.
pub(crate) struct Pacer {
    /// Rate of the link; `None` disables pacing.
    send_rate: Option<Arc<SendRate>>,
    /// The queued connections, in the order in which they are served.
    queue: BTreeSet<QueuedConnection>,
    /// The positions of the connections that are queued or being served.
    positions: HashMap<usize, QueuePosition>,
    /// Number of bytes written so far, by all connections.
    written_bytes: u64,
    /// Number of positions assigned so far.
    position_count: u64,
}

/// The position of a connection among those with much to write, which it keeps until it
/// has written all its bytes. The order completes one response after the other, smaller
/// ones first; later ones overtake one only until as many bytes as its own were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Number of bytes that all connections had written when the connection was queued
    /// first, plus the number of its own bytes.
    finish_tag: u64,
    /// Connections with the same tag are served in the order in which they were queued.
    order: u64,
}

/// A connection in the queue. Those that are nearly done come first, so that small
/// responses do not wait behind large ones.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedConnection {
    has_much_to_write: bool,
    position: QueuePosition,
    token: usize,
}

/// A connection with more than this number of quanta left has much to write.
const NEARLY_DONE_QUANTA: usize = 2;

impl Pacer {
    /// Creates a pacer without queued connections.
    pub(crate) fn new(send_rate: Option<Arc<SendRate>>) -> Pacer {
        Pacer {
            send_rate,
            queue: BTreeSet::new(),
            positions: HashMap::new(),
            written_bytes: 0,
            position_count: 0,
        }
    }

    /// Time that the link needs for this number of bytes at the current rate; `None` if
    /// its bandwidth is not known.
    pub(crate) fn time_to_send(&self, bytes: usize) -> Option<Duration> {
        let send_rate = self.send_rate.as_ref()?;
        Some(send_rate.time_to_send(bytes))
    }

    /// Time that the link needs for this number of bytes at the maximum rate; `None` if
    /// its bandwidth is not known.
    pub(crate) fn shortest_time_to_send(&self, bytes: usize) -> Option<Duration> {
        let send_rate = self.send_rate.as_ref()?;
        Some(send_rate.shortest_time_to_send(bytes))
    }

    /// Uses the maximum rate from now on.
    pub(crate) fn use_full_rate(&self) {
        if let Some(send_rate) = &self.send_rate {
            send_rate.use_full_rate();
        }
    }

    /// Number of bytes that one connection may write now.
    pub(crate) fn allowance(&self, now: Instant) -> usize {
        self.send_rate
            .as_ref()
            .map_or(usize::MAX, |send_rate| send_rate.allowance(now))
    }

    /// Counts `size` written bytes.
    pub(crate) fn spend(&mut self, size: usize) {
        self.written_bytes += size as u64;
        if let Some(send_rate) = &self.send_rate {
            send_rate.spend(size);
        }
    }

    /// Queues a connection that has `remaining` bytes to write.
    pub(crate) fn enqueue(&mut self, token: usize, remaining: usize) {
        let position = *self.positions.entry(token).or_insert_with(|| {
            self.position_count += 1;
            QueuePosition {
                finish_tag: self.written_bytes + remaining as u64,
                order: self.position_count,
            }
        });
        let quantum = self
            .send_rate
            .as_ref()
            .map_or(usize::MAX, |send_rate| send_rate.quantum());
        self.queue.insert(QueuedConnection {
            has_much_to_write: remaining > quantum.saturating_mul(NEARLY_DONE_QUANTA),
            position,
            token,
        });
    }

    /// Forgets the position of a connection that has written all its bytes or is closed.
    pub(crate) fn complete(&mut self, token: usize) {
        self.positions.remove(&token);
    }

    /// Removes and returns the next queued connection, if anything may be written now.
    pub(crate) fn dequeue(&mut self, now: Instant) -> Option<usize> {
        if self.queue.is_empty() || self.allowance(now) == 0 {
            return None;
        }
        self.queue.pop_first().map(|queued| queued.token)
    }

    /// Time at which the first queued connection may write.
    pub(crate) fn due(&self) -> Option<Instant> {
        let send_rate = self.send_rate.as_ref()?;
        (!self.queue.is_empty()).then(|| send_rate.due())
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
