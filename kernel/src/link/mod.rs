//! Sessions between the processes of a fleet, over TCP, in one event loop.
//!
//! Each process opens one outbound session to every peer that it sends messages
//! to, and accepts inbound sessions from peers. A link may lose messages: the state
//! machines send unanswered messages again. Messages from one peer arrive in the
//! order in which they were sent, within each of two priorities.
//!
//! Outgoing queues are bounded in bytes, for each peer and for the process
//! ([`QueueLimits`]). Urgent messages (heartbeats, renewals, consensus, permits) go
//! ahead of bulk messages (snapshots, updates, rows, cached responses), and bulk
//! messages are sent in chunks, so a heartbeat never waits for a snapshot. Urgent
//! and bulk messages have separate limits: when bulk is dropped because its queue
//! is full, urgent messages are still accepted.
//!
//! Bulk messages to all peers together can be paced by the [`SendRate`] of the machine's
//! link. Without it, the bulk of many sessions may fill the queue of the link, and the
//! urgent messages and calls of all others wait in it.
//!
//! # Why no receiver depends on the order between the two priorities
//!
//! A bulk message may arrive after urgent ones that were sent later. This is safe for
//! every kind, since receivers evaluate a message by its content and not by its time
//! of arrival:
//!
//! - `AppendRequest` is bulk for partitions of the ledger, and for the others if it
//!   is large. If a later request overtakes it, its rows are already present when it
//!   arrives; the later one, if rows before it are missing, is answered with
//!   `AppendGap`, and the complete state follows. A request that arrives after a
//!   later `PrepareRequest` is rejected by its epoch, and one that arrives after a
//!   later `MembershipTable` by its table version.
//! - `PrepareReply` carries its epoch; a leader that is already active ignores it.
//! - `SnapshotReply` carries its round and table version. The sender's later
//!   acknowledgements report the retired incarnations to the leader independently.
//! - `RenewReply` with updates: an edge applies only rows above the version it has,
//!   its lease runs from the sending of its renewal and never moves back, and a reply
//!   of an older generation is dropped. A reply without updates is sent only to a
//!   renewal that confirmed everything published at the sender, so no lease takes
//!   effect before the updates that belong to it are applied. An older renewal token
//!   proves less, never more.
//! - `RecallReply` carries version and rows; rows are compared by their versions.
//! - `CacheCopy`, `CachePut`, `HandoverReply`: the age of a response is counted from
//!   the request, purges are compared by version, and a put is matched by its token;
//!   a `CacheFillFailed` with another token changes nothing.
//! - Large changes and replies (configuration, lists) belong to other partitions than
//!   the claims and purges sent in parallel, and are matched by id.
//!
//! A dropped message has the same effect as one lost with its session.
mod backlog;
mod counters;
mod event_loop;
mod inbound;
mod outbound;
mod priority;
mod queue;

pub use counters::{Counter, LinkCounters};
pub use priority::Priority;
pub use queue::{OutgoingQueues, QueueLimits};

use crate::frame::EncodedMessage;
use crate::prelude::*;
use backlog::Backlog;
use event_loop::EventLoop;
use std::sync::MutexGuard;

/// Token of the waker that interrupts a poll.
const WAKER: mio::Token = mio::Token(0);
/// Interval at which `drain` checks the queues.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum time between two log lines about dropped messages.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The sessions of this process, served by an event loop on its own thread.
pub struct Links {
    shared: Arc<Shared>,
    last_drop_logged: Mutex<Option<Instant>>,
}

/// State shared by the event loop and the threads that send and process messages.
struct Shared {
    local_peer: Peer,
    waker: mio::Waker,
    /// True if the event loop was woken and has not polled since.
    woken: AtomicBool,
    closing: AtomicBool,
    queues: Mutex<OutgoingQueues>,
    backlog: Backlog,
    counters: LinkCounters,
    /// Rate at which bulk messages are sent; `None` if they are not paced.
    send_rate: Option<Arc<SendRate>>,
}

impl Shared {
    fn lock_queues(&self) -> MutexGuard<'_, OutgoingQueues> {
        self.queues.lock().expect("no holder panics")
    }

    fn wake(&self) {
        if !self.woken.swap(true, Ordering::SeqCst) {
            let _ = self.waker.wake();
        }
    }
}

impl Links {
    /// Accepts sessions from peers and sends their messages to `inputs`. Bulk messages are
    /// sent at the rate of the machine's link, if it is given.
    pub fn open(
        local_peer: Peer,
        listener: TcpListener,
        inputs: Sender<Input>,
        send_rate: Option<Arc<SendRate>>,
    ) -> std::io::Result<Links> {
        let limits = QueueLimits::default();
        Links::open_with(local_peer, listener, inputs, limits, send_rate)
    }

    /// Like [`Links::open`], with other limits of the outgoing queues.
    pub fn open_with(
        local_peer: Peer,
        listener: TcpListener,
        inputs: Sender<Input>,
        limits: QueueLimits,
        send_rate: Option<Arc<SendRate>>,
    ) -> std::io::Result<Links> {
        let poll = mio::Poll::new()?;
        let waker = mio::Waker::new(poll.registry(), WAKER)?;
        let shared = Arc::new(Shared {
            local_peer,
            waker,
            woken: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            queues: Mutex::new(OutgoingQueues::new(limits)),
            backlog: Backlog::default(),
            counters: LinkCounters::default(),
            send_rate,
        });
        let event_loop = EventLoop::new(poll, listener, shared.clone(), inputs)?;
        thread::Builder::new()
            .name("links".into())
            .spawn(move || event_loop.run())?;
        Ok(Links {
            shared,
            last_drop_logged: Mutex::default(),
        })
    }

    /// Queues a message, which is sent after the next `flush`. Drops it if the queue
    /// is full.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let Ok(encoded) = EncodedMessage::new(self.shared.local_peer, message) else {
            return;
        };
        let priority = Priority::of(message, encoded.len());
        let queued = self.shared.lock_queues().push(to, priority, encoded);
        if !queued {
            self.shared.counters.dropped(priority).add(1);
            self.log_dropped(to);
        }
    }

    /// Wakes the event loop to send all queued messages.
    pub fn flush(&self) {
        let ready = self.shared.lock_queues().has_ready();
        if ready {
            self.shared.wake();
        }
    }

    /// Flushes, and waits until all queued messages are sent or `limit` has passed.
    pub fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.flush();
        while self.queued_bytes() > 0 && Instant::now() < end {
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Reports that the earliest unprocessed message was processed, which releases
    /// its share of the backlog.
    pub fn mark_processed(&self) {
        if self.shared.backlog.remove_earliest() {
            self.shared.wake();
        }
    }

    /// Returns the counters, for operators and tests.
    pub fn counters(&self) -> &LinkCounters {
        &self.shared.counters
    }

    /// Returns the number of bytes that wait to be sent to all peers together.
    pub fn queued_bytes(&self) -> usize {
        self.shared.lock_queues().bytes()
    }

    /// Returns the number of bytes that were received and are not processed yet.
    pub fn backlog_bytes(&self) -> usize {
        self.shared.backlog.bytes()
    }

    fn log_dropped(&self, to: SocketAddr) {
        let mut last_logged = self.last_drop_logged.lock().expect("no holder panics");
        if last_logged.is_none_or(|at| at.elapsed() >= DROP_LOG_INTERVAL) {
            *last_logged = Some(Instant::now());
            let counters = &self.shared.counters;
            let text = format!(
                "to {to}; in all {} urgent and {} bulk",
                counters.dropped_urgent.get(),
                counters.dropped_bulk.get()
            );
            log_event(Event::QueueFull, &text);
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shared.closing.store(true, Ordering::SeqCst);
        let _ = self.shared.waker.wake();
    }
}
