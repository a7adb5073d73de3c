//! Sessions between the processes of a fleet, over TCP, in one event loop.
//!
//! Each process opens one session to every peer that it speaks to, and listens
//! on those that peers open to it. A link may lose what it was given: the state
//! machines say again what was not answered. What arrives from one peer arrives
//! in the order in which it was said, within each of two priorities.
//!
//! Queues are bounded in bytes, for each peer and for the process
//! ([`QueueLimits`]). What is urgent (heartbeats, renewals, agreements, permits)
//! goes ahead of bulk (snapshots, updates, rows, copies), and bulk goes in chunks,
//! so a heartbeat waits for no snapshot. When there is no room, bulk is dropped
//! first.
//!
//! # Why no receiver depends on the order between the two priorities
//!
//! A bulk message may arrive after urgent ones that were sent later. Each kind
//! is safe, since it is judged by what it says and not by when it comes:
//!
//! - `AppendRequest` is bulk for a ledger's partition, and for the others if it is
//!   large. One that is overtaken by a later one finds its rows held already; the
//!   later one, if rows before it are missing, is answered with `AppendGap` and
//!   the whole state follows. One that comes after a later `PrepareRequest` is
//!   refused by its epoch, one that comes after a later `MembershipTable` by the
//!   version of the table it names.
//! - `PrepareReply` names its epoch; a leader that is active by now ignores it.
//! - `SnapshotReply` names its round and table. What the sender acknowledges
//!   later tells its leader of the incarnations that count no more, by itself.
//! - `RenewReply` with updates: an edge takes rows above the version it has, its
//!   lease runs from the sending of its renewal and never goes back, and a reply
//!   of an older generation is dropped. A reply without updates is sent only to a
//!   renewal that confirmed all that is shown here, so no lease counts before
//!   the updates that belong to it are applied. An older renewal token given back proves
//!   less, never more.
//! - `RecallReply` names version and rows; rows count by their versions.
//! - `CacheCopy`, `CachePut`, `HandoverReply`: their age is counted from the asking, purges
//!   are compared by number, and a put goes by its token, after which a
//!   `CacheFillFailed` with another token changes nothing.
//! - Large changes and answers (configuration, lists) are of other partitions than
//!   the claims and purges beside them, and are told apart by id.
//!
//! A message that was dropped is like one lost with its session.
mod backlog;
mod counters;
mod event_loop;
mod inbound;
mod outbound;
mod priority;
mod queue;

pub use counters::{Counter, LinkCounters};
pub use priority::Priority;
pub use queue::{Outbox, QueueLimits};

use crate::frame::EncodedMessage;
use crate::prelude::*;
use backlog::Backlog;
use event_loop::EventLoop;
use std::sync::MutexGuard;

const WAKER: mio::Token = mio::Token(0);
/// Between looks at what is left to be sent before the process ends.
const DRAIN_STEP: Duration = Duration::from_millis(5);
/// Dropped messages are noted at most this often.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The sessions of this process.
pub struct Links {
    shared: Arc<Shared>,
    last_drop_logged: Mutex<Option<Instant>>,
}

/// What the event loop shares with those who send and process.
struct Shared {
    me: Peer,
    waker: mio::Waker,
    /// The event loop was woken and has not looked yet.
    woken: AtomicBool,
    closing: AtomicBool,
    outbox: Mutex<Outbox>,
    backlog: Backlog,
    counters: LinkCounters,
}

impl Shared {
    fn lock_outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().expect("no holder panics")
    }

    fn wake(&self) {
        if !self.woken.swap(true, Ordering::SeqCst) {
            let _ = self.waker.wake();
        }
    }
}

impl Links {
    /// Listens for peers and hands their messages to `take`.
    pub fn open(me: Peer, listener: TcpListener, take: Sender<Input>) -> std::io::Result<Links> {
        Links::open_with(me, listener, take, QueueLimits::default())
    }

    /// The same with other bounds of the queues.
    pub fn open_with(
        me: Peer,
        listener: TcpListener,
        take: Sender<Input>,
        limits: QueueLimits,
    ) -> std::io::Result<Links> {
        let poll = mio::Poll::new()?;
        let waker = mio::Waker::new(poll.registry(), WAKER)?;
        let shared = Arc::new(Shared {
            me,
            waker,
            woken: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            outbox: Mutex::new(Outbox::new(limits)),
            backlog: Backlog::default(),
            counters: LinkCounters::default(),
        });
        let event_loop = EventLoop::new(poll, listener, shared.clone(), take)?;
        thread::Builder::new()
            .name("links".into())
            .spawn(move || event_loop.run())?;
        Ok(Links {
            shared,
            last_drop_logged: Mutex::default(),
        })
    }

    /// Queues a message. It leaves with the next `flush`.
    pub fn send(&self, to: SocketAddr, message: &Message) {
        let Ok(encoded) = EncodedMessage::new(self.shared.me, message) else {
            return;
        };
        let priority = Priority::of(message, encoded.len());
        let taken = self.shared.lock_outbox().push(to, priority, encoded);
        if !taken {
            self.shared.counters.dropped(priority).add(1);
            self.log_dropped(to);
        }
    }

    /// Has all that was queued sent.
    pub fn flush(&self) {
        let ready = self.shared.lock_outbox().has_ready();
        if ready {
            self.shared.wake();
        }
    }

    /// Has all that was queued sent and waits for it, for so long at most.
    pub fn drain(&self, limit: Duration) {
        let end = Instant::now() + limit;
        self.flush();
        while self.queued_bytes() > 0 && Instant::now() < end {
            thread::sleep(DRAIN_STEP);
        }
    }

    /// The earliest message received that was not processed yet, is now.
    pub fn processed(&self) {
        if self.shared.backlog.processed() {
            self.shared.wake();
        }
    }

    /// Counts for operators and tests.
    pub fn counters(&self) -> &LinkCounters {
        &self.shared.counters
    }

    /// Bytes that wait to be sent, to all peers together.
    pub fn queued_bytes(&self) -> usize {
        self.shared.lock_outbox().bytes()
    }

    /// Bytes that were received and are not processed yet.
    pub fn backlog_bytes(&self) -> usize {
        self.shared.backlog.bytes()
    }

    fn log_dropped(&self, to: SocketAddr) {
        let mut noted = self.last_drop_logged.lock().expect("no holder panics");
        if noted.is_none_or(|at| at.elapsed() >= DROP_LOG_INTERVAL) {
            *noted = Some(Instant::now());
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
