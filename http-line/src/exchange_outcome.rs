//! How a call to another address ended.

/// The response to a call, or what its failure proves.
pub type ExchangeOutcome = Result<ReceivedResponse, ExchangeError>;

/// A complete response from another address.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedResponse {
    /// The status code.
    pub status: u16,
    /// Names and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// A length or the last chunk marked the body's end. If not, only the end
    /// of the connection did, and the body may have been truncated.
    pub delimited: bool,
}

/// Why a call has no response. The text is the reason.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was sent: an invalid call, no connection, the timeout before
    /// anything was written, or too many connections.
    #[error("{0}")]
    NotSent(String),
    /// Something may have been sent and no complete response was received.
    #[error("{reason}")]
    Interrupted {
        /// What ended the exchange.
        reason: String,
        /// The connection had served a call before and ended before any byte of
        /// a response, as when the other side closes an idle connection.
        reused: bool,
    },
}
