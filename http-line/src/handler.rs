//! What the event loop calls.

use crate::prelude::*;

/// Receives requests and the outcomes of calls. Called on the event loop's
/// thread: must not block.
pub trait Handler: Send + Sync {
    /// A complete request. `request_id` is never used twice; `listener` is the
    /// index of the listener that accepted the connection.
    fn on_request(&self, request_id: u64, listener: usize, request: Request);
    /// The call with this id has ended.
    fn on_response(&self, call_id: u64, outcome: ExchangeOutcome);
    /// The client of this request no longer waits for the response: it has
    /// closed its connection, or that ends before the response is written. Called
    /// once at most for a request. A client that only shut down its writing side
    /// looks the same until something is written to it: a response to it is still
    /// written if the connection stands.
    fn on_disconnect(&self, request_id: u64);
    /// The response to input that is not a valid request; its connection ends.
    fn rejection_response(&self, status: u16, reason: &str) -> Response {
        let headers = vec![("Content-Type".into(), "text/plain".into())];
        Response {
            status,
            headers,
            body: reason.as_bytes().to_vec().into(),
            close: true,
        }
    }
}
