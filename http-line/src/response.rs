//! A response to a client.

use crate::prelude::*;

/// A response. `Connection`, `Keep-Alive`, `Transfer-Encoding` and, when there
/// is a body, `Content-Length` are written by the event loop; those given are
/// left out.
#[derive(Debug, Clone, Default)]
pub struct Response {
    /// The status code, 200 to 999; any other is sent as 500.
    pub status: u16,
    /// Names and values, in the order they are written.
    pub headers: Vec<(String, String)>,
    /// The body, shared with whoever else holds it.
    pub body: Body,
    /// The connection is closed after this response.
    pub close: bool,
}
