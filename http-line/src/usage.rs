//! Counters of an event loop.

/// Counts since the start, except `open`, which is a gauge.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Connections accepted from clients.
    pub accepted: u64,
    /// Connections opened for calls.
    pub connects: u64,
    /// Calls sent over an idle connection.
    pub reused: u64,
    /// Calls begun.
    pub calls: u64,
    /// Connections open now, accepted and opened ones.
    pub open: u64,
}
