//! Counters of an event loop.

use crate::prelude::*;

/// Counters since the start of the event loop, and the gauges `open` and `held_bytes`.
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
    /// Number of client connections that were refused or dropped because too many were
    /// open.
    pub refused_connections: u64,
    /// Number of requests that were refused, or whose body had to yield, because the
    /// memory or the calls that clients may use were used up.
    pub refused_requests: u64,
    /// Number of bytes held for clients, as counted against the budget of the process.
    pub held_bytes: u64,
}

/// Responses and connections of clients that are not completed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OpenWork {
    /// Number of client connections on which a request is being read, or a response is
    /// awaited or unsent.
    pub busy_connections: usize,
    /// Number of response bytes that are not written to a socket yet.
    pub unsent_bytes: usize,
    /// Time that the link needs for them; zero if its bandwidth is not known.
    pub send_backlog: Duration,
    /// Number of input bytes discarded on connections whose sending side was shut down.
    pub discarded_bytes: u64,
}
