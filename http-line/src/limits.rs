//! Size, time and count limits of an event loop.

use crate::prelude::*;

/// Limits for all connections of an event loop.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a decoded request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Maximum time a connection may be without a request. Also the time allowed
    /// for a request body in addition to one second per KB received, the maximum time
    /// in which nothing of a body arrives, and the maximum time without progress while
    /// a response is being written.
    pub idle_timeout: Duration,
    /// Maximum number of requests in flight on one connection.
    pub max_pipelined_requests: usize,
    /// Maximum size of the decoded body of a response to a call, in bytes.
    pub max_response_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            max_pipelined_requests: 16,
            max_response_body_bytes: 64 * 1024 * 1024,
        }
    }
}
