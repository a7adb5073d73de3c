//! Budget of the bytes that a process holds for its clients.
//!
//! All connections of a process share one [`ByteBudget`]. A [`Reservation`] counts bytes
//! against it until it is dropped, and [`HeldBytes`] is a message body that reserves what
//! it holds, wherever it is passed on to.
#![forbid(unsafe_code)]
#![warn(missing_docs, unreachable_pub)]
mod held_bytes;
mod reservation;

pub use held_bytes::HeldBytes;
pub use reservation::{BudgetExceeded, Reservation};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Size in bytes above which a body is large: it may use only a part of the budget.
pub const LARGE_BODY_BYTES: usize = 64 * 1024;
/// The limit divided by this is left to bodies that are not large.
const SMALL_BODY_DIVISOR: usize = 8;

/// Budget of bytes, shared by all threads of a process.
#[derive(Debug)]
pub struct ByteBudget {
    limit: AtomicUsize,
    ceiling: usize,
    used: AtomicUsize,
    refusals: AtomicU64,
}

impl ByteBudget {
    /// Creates an unused budget of `limit` bytes, which is never raised above `ceiling`.
    pub fn new(limit: usize, ceiling: usize) -> ByteBudget {
        ByteBudget {
            limit: AtomicUsize::new(limit),
            ceiling: ceiling.max(limit),
            used: AtomicUsize::new(0),
            refusals: AtomicU64::new(0),
        }
    }

    /// Raises the limit, if necessary, so that one body of this size fits into an unused
    /// budget. Returns the size of the largest body that does, which is smaller if the
    /// ceiling is too low.
    pub fn fit_body(&self, bytes: usize) -> usize {
        let needed = bytes.saturating_add(bytes.div_ceil(SMALL_BODY_DIVISOR - 1));
        self.limit
            .fetch_max(needed.min(self.ceiling), Ordering::Relaxed);
        bytes.min(self.limit_for(bytes))
    }

    /// Maximum number of reserved bytes.
    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Number of times that something was refused because it did not fit.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(Ordering::Relaxed)
    }

    /// Counts something that was refused because it did not fit.
    pub fn record_refusal(&self) {
        self.refusals.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns true if a body that grows from `held` bytes by `additional` fits.
    pub fn has_room(&self, held: usize, additional: usize) -> bool {
        self.used() + additional <= self.limit_for(held + additional)
    }

    /// Limit of the used bytes for a body of this size.
    fn limit_for(&self, body_bytes: usize) -> usize {
        let limit = self.limit();
        match body_bytes > LARGE_BODY_BYTES {
            true => limit - limit / SMALL_BODY_DIVISOR,
            false => limit,
        }
    }

    fn try_add(&self, held: usize, additional: usize) -> Result<(), BudgetExceeded> {
        let limit = self.limit_for(held + additional);
        let add = |used: usize| Some(used + additional).filter(|used| *used <= limit);
        match self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
        {
            Ok(_) => Ok(()),
            Err(_) => Err(BudgetExceeded),
        }
    }

    fn add(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    fn subtract(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}
