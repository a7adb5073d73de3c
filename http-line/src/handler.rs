//! Callbacks of the event loop.

use crate::prelude::*;

/// Receives requests and the outcomes of calls. The methods run on the thread of
/// the event loop and must not block.
pub trait Handler: Send + Sync {
    /// Called for each complete request. `request_id` is never reused; `listener`
    /// is the index of the listener that accepted the connection.
    fn on_request(&self, request_id: u64, listener: usize, request: Request);
    /// Called when the call with this id has ended.
    fn on_response(&self, call_id: u64, outcome: ExchangeOutcome);
    /// Called at most once per request, when the client is no longer waiting for
    /// the response: it has closed its connection, or the connection ends before
    /// the response is written. A half-close by the client is indistinguishable from a
    /// full close until something is written, so a response is still written if
    /// the connection is open.
    fn on_disconnect(&self, request_id: u64);
    /// Creates the response to input that is not a valid request; the connection
    /// is closed after it.
    fn rejection_response(&self, status: u16, reason: &str) -> Response {
        let headers = vec![("Content-Type".into(), "text/plain".into())];
        Response {
            status,
            headers,
            body: reason.as_bytes().to_vec().into(),
            close: true,
            send_limit: None,
        }
    }
}
