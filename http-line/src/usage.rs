//! Counters of an event loop.

/// Counters since the start of the event loop, and the gauge `open`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Number of connections accepted from clients.
    pub accepted: u64,
    /// Number of connections opened for calls.
    pub connects: u64,
    /// Number of calls sent over a reused idle connection.
    pub reused: u64,
    /// Number of calls started.
    pub calls: u64,
    /// Number of connections currently open, both accepted and opened.
    pub open: u64,
}
