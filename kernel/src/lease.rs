//! Lease arithmetic. All spans are monotonic; none depends on a wall clock.
//!
//! An edge counts a renewal from when it SENT it and holds it for `EDGE_LEASE`; a
//! control node counts it from when it HEARD it and holds it for `SESSION_LEASE`.
//! Hearing is never before sending, so an edge fences itself at least
//! `SESSION_LEASE - EDGE_LEASE` (200 ms, or 25 % of clock rate error) before it is counted
//! lapsed.
//!
//! Settle bound: a change is published within one control tick of its
//! majority write; every session then confirms (nudge or next edge tick) or
//! lapses: at most `SESSION_LEASE` (800 ms) after its last renewal was heard, plus
//! two control ticks (200 ms) to see and collect it, plus syncs. 0.8 + 0.2 +
//! two syncs stays below 2 s, under the brief's 2 to 2.5 s, and the
//! acknowledgement comes after it, so "in force everywhere" is already true
//! when an operator reads the answer.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// How often an edge renews with each control node.
pub const EDGE_TICK: Duration = Duration::from_millis(200);
/// How often control nodes confirm their partitions with each other.
pub const CONTROL_TICK: Duration = Duration::from_millis(100);
/// How long an edge relies on one control node's renewal, from its sending.
pub const EDGE_LEASE: Duration = Duration::from_millis(600);
/// How long a control node counts a session as standing, from its hearing.
pub const SESSION_LEASE: Duration = Duration::from_millis(800);
/// How long a control node counts another as live without a word from it.
pub const CONTROL_PEER_TIMEOUT: Duration = Duration::from_millis(450);
/// A permit is good for this long from its granting: a leaving origin gets no
/// request later than this after the admission controller dropped it. Also the arrival jitter
/// in the rate bound: 5.2 s of rate fit into any 5 s window (104 %), the rest
/// up to 110 % is the bucket's burst.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(200);
/// Outcomes of operation keys stand for this long after they were recorded,
/// in full again after a change of owner, unless the settings say otherwise.
pub const OPERATION_RETENTION: Duration = Duration::from_secs(180);
/// An origin is only called while its last verified answer is this young.
pub const ORIGIN_PROOF_VALIDITY: Duration = Duration::from_secs(2);
/// A proof older than this is renewed by a probe.
pub const ORIGIN_PROOF_REFRESH: Duration = Duration::from_secs(1);
/// A partition that was founded, or lost a majority of its disks, hears the edges
/// for this long before it answers: each renews five times in it.
pub const RECALL_PERIOD: Duration = Duration::from_millis(1200);
/// After a loss of a majority, unknown operations are not run for as long as a
/// repeat of a lost one may come ("within about a minute": 70 s, and some more
/// for what was under way when the disks went).
pub const LEDGER_CLOSED_AFTER_LOSS: Duration = Duration::from_secs(75);
