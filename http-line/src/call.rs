//! Requests sent to origins and other addresses.

use crate::prelude::*;

/// A request to another address. Its outcome is passed to the handler exactly
/// once, with its `id`, unless the call is cancelled first.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier of the call, unique among all calls in flight.
    pub id: u64,
    /// Destination of the request.
    pub address: SocketAddr,
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// Header names and values, in the order sent. The caller provides `Host`;
    /// `Content-Length`, `Transfer-Encoding` and `Expect` are omitted.
    pub headers: Vec<(String, String)>,
    /// The body, sent with a `Content-Length`.
    pub body: Arc<HeldBytes>,
    /// Timeout of the entire exchange, counted from `EventLoopHandle::call`.
    pub timeout: Duration,
    /// Identifier of the request that this call is an attempt of, if its response
    /// could be mistaken for the response to another attempt.
    pub request: Option<u64>,
    /// Header name and value that the response must carry.
    pub required_response_header: Option<(String, String)>,
    /// Maximum number of connections from this process to this address.
    pub max_connections: usize,
}

/// The reason why a call cannot be written as a request.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidCall {
    /// The method is not a token.
    #[error("the method is not a token")]
    Method,
    /// The target is empty or contains control characters or spaces.
    #[error("the target is empty or contains control characters or spaces")]
    Target,
    /// The name of a header is not a token, or its value contains control
    /// characters.
    #[error("the name of header {0:?} is not a token, or its value contains control characters")]
    Header(String),
}

impl Call {
    /// Checks that no part of the call can end a line of the head early, so that
    /// no header or request can be injected.
    pub fn check(&self) -> Result<(), InvalidCall> {
        if !is_token(&self.method) {
            return Err(InvalidCall::Method);
        }
        let is_separator = |byte: u8| byte <= b' ' || byte == 0x7f;
        if self.target.is_empty() || self.target.bytes().any(is_separator) {
            return Err(InvalidCall::Target);
        }
        match self.headers.iter().find(|header| !is_valid_header(header)) {
            Some((name, _)) => Err(InvalidCall::Header(name.clone())),
            None => Ok(()),
        }
    }
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte))
}

/// Returns true if the header cannot end its line early.
pub(crate) fn is_valid_header((name, value): &(String, String)) -> bool {
    is_token(name)
        && value
            .bytes()
            .all(|byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}
