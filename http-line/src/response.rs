//! Responses to clients.

use crate::prelude::*;

/// A response. The event loop writes `Connection`, `Keep-Alive`,
/// `Transfer-Encoding` and, if there is a body, `Content-Length` itself; such
/// headers given here are omitted.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// Status code from 200 to 999; a response with any other is sent as 500.
    pub status: u16,
    /// Header names and values, in the order they are written.
    pub headers: Vec<(String, String)>,
    /// The body, possibly shared with other holders.
    pub body: Body,
    /// True if the connection is closed after this response.
    pub close: bool,
    /// Replaces the response if the link cannot send it in time.
    pub send_limit: Option<SendLimit>,
}

/// Limit of the time at which a response must have been sent.
#[derive(Debug, Clone)]
pub struct SendLimit {
    /// Time by which the link, at its maximum rate, must have sent the response and all
    /// unsent bytes.
    pub deadline: Instant,
    /// Response that is sent if the link cannot; its own limit is ignored.
    pub otherwise: Box<Response>,
}
