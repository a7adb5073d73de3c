//! Lease durations. All times are read from monotonic clocks; none depends on a wall clock.
//!
//! An edge's lease runs for `EDGE_LEASE` from the time it SENT the renewal; the
//! session at the control node runs for `SESSION_LEASE` from the time the renewal
//! was RECEIVED. A message is never received before it is sent, so an edge fences
//! itself at least `SESSION_LEASE - EDGE_LEASE` (200 ms, or 25 % of clock rate error)
//! before the control node treats its session as lapsed.
//!
//! Bound on settling: a change is published within one control tick of its
//! majority write; every session then confirms it (after an update notice, or at
//! the next edge tick) or lapses, at most `SESSION_LEASE` (800 ms) after its last
//! renewal was received. Detecting and collecting that takes two more control
//! ticks (200 ms), plus fsyncs. The sum, 0.8 s + 0.2 s + two fsyncs, stays below
//! 2 s; the requirement is 2 to 2.5 s. The change is acknowledged after that, so it
//! is in effect everywhere by the time an operator reads the response.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Interval at which an edge renews its lease with each control node.
pub const EDGE_TICK: Duration = Duration::from_millis(200);
/// Interval at which control nodes confirm their partitions with each other.
pub const CONTROL_TICK: Duration = Duration::from_millis(100);
/// Lifetime of a lease at the edge, counted from the sending of the renewal.
pub const EDGE_LEASE: Duration = Duration::from_millis(600);
/// Lifetime of a session at a control node, counted from the receipt of the renewal.
pub const SESSION_LEASE: Duration = Duration::from_millis(800);
/// Time without a message after which a control node considers another one down.
pub const CONTROL_PEER_TIMEOUT: Duration = Duration::from_millis(450);
/// Lifetime of a permit from its grant: a draining origin gets no request later
/// than this after the admission controller removed it. This time is also the arrival
/// jitter in the rate bound: any 5 s window can contain the calls of 5.2 s (104 %);
/// the remainder up to 110 % is the token bucket's burst.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(200);
/// Default retention of the outcome of an operation key, counted from its recording
/// and restarted by a change of owner.
pub const OPERATION_RETENTION: Duration = Duration::from_secs(180);
/// Maximum age of an origin's last verified response for the origin to be called.
pub const ORIGIN_PROOF_VALIDITY: Duration = Duration::from_secs(2);
/// Age after which an origin's proof of identity is renewed by a health check.
pub const ORIGIN_PROOF_REFRESH: Duration = Duration::from_secs(1);
/// Time for which a partition that was founded, or lost a majority of its disks,
/// collects reports from the edges before it replies: each edge renews at least five
/// times in this period.
pub const RECALL_PERIOD: Duration = Duration::from_millis(1200);
/// Time after the loss of a majority during which unknown operations are not run:
/// a client may still repeat an operation whose record was lost ("within about a
/// minute": 70 s, plus a margin for operations in flight when the disks were lost).
pub const LEDGER_CLOSED_AFTER_LOSS: Duration = Duration::from_secs(75);
