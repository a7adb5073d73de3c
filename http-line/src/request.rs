//! A request from a client.

use crate::prelude::*;

/// A complete request. Header names are as sent, values trimmed; repeated equal
/// `Content-Length` headers are merged. The body is decoded: `Transfer-Encoding`,
/// if there, tells only how it was framed.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// Names and values, in the order sent.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
    /// Address of the client.
    pub peer: SocketAddr,
}
