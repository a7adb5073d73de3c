//! Bounds of sizes, times and counts.

use crate::prelude::*;

/// Bounds for all connections of an event loop.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's decoded body.
    pub body_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// How long a connection may be without a request. Also how late a body may
    /// be beyond 1 KB a second, and how long an unread response may make no
    /// progress.
    pub idle_timeout: Duration,
    /// Most requests of one connection in flight.
    pub pipeline: usize,
    /// Most bytes of a response to a call.
    pub response_bytes: usize,
    /// The bandwidth of the machine's link in bytes a second, fixed when the
    /// event loop is opened: responses are paced to a fraction of it. None: they
    /// are not paced.
    pub link_bytes_per_second: Option<f64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            pipeline: 16,
            response_bytes: 64 * 1024 * 1024,
            link_bytes_per_second: None,
        }
    }
}
