use crate::prelude::*;

/// A whole request. Header names as sent, values trimmed; a repeated equal
/// `Content-Length` is kept once. The body is decoded: `Transfer-Encoding`,
/// if there, tells only how it came.
#[derive(Debug, Clone, PartialEq)]
pub struct Asked {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub peer: SocketAddr,
}
