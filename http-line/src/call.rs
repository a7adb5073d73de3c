//! A request to another address.

use crate::prelude::*;

/// A request to another address. Its outcome is handed to the handler once
/// with its `id`, unless the call is cancelled before.
#[derive(Debug, Clone)]
pub struct Call {
    /// Unique among all calls in flight.
    pub id: u64,
    /// Where the request goes.
    pub address: SocketAddr,
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// Names and values, in the order sent. `Host` is up to the caller; lengths
    /// and encodings are left out.
    pub headers: Vec<(String, String)>,
    /// The body, sent with a `Content-Length`.
    pub body: Arc<Vec<u8>>,
    /// For the entire exchange, from `EventLoopHandle::call` on.
    pub timeout: Duration,
    /// The request that this is an attempt of, if its response could be mistaken
    /// for that of another attempt.
    pub request: Option<u64>,
    /// The response must carry this header with this value.
    pub echo: Option<(String, String)>,
    /// Most connections to this address from this process.
    pub max_connections: usize,
}

/// Why a call cannot be written as a request.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum InvalidCall {
    /// The method is not a token.
    #[error("the method is no token")]
    Method,
    /// The target is empty or has controls or spaces.
    #[error("the target has controls, spaces or nothing")]
    Target,
    /// A header's name is not a token, or its value has controls.
    #[error("header {0:?} has controls")]
    Header(String),
}

impl Call {
    /// Whether nothing in it can end a line of the head early.
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

/// Whether the header cannot end its line early.
pub(crate) fn is_valid_header((name, value): &(String, String)) -> bool {
    is_token(name)
        && value
            .bytes()
            .all(|byte| byte == b'\t' || (byte >= b' ' && byte != 0x7f))
}
