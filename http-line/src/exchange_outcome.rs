//! Outcomes of calls to other addresses.

/// The response to a call, or the error that ended it.
pub type ExchangeOutcome = Result<ReceivedResponse, ExchangeError>;

/// A complete response from another address.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// Header names and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// True if a length or the last chunk marked the end of the body. If false,
    /// only the end of the connection did, and the body may have been truncated.
    pub delimited: bool,
}

/// The reason why a call has no response. `Display` writes its text.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// No bytes were sent: the call is invalid, the connection could not be
    /// established, the timeout passed before anything was written, or there are
    /// too many connections.
    #[error("{0}")]
    NotSent(String),
    /// Some bytes may have been sent, but no complete response was received.
    #[error("{reason}")]
    Interrupted {
        /// Description of what ended the exchange.
        reason: String,
        /// True if the connection had served a call before and ended before any
        /// byte of a response, as when the peer closes an idle connection.
        reused: bool,
    },
}
