//! Requests received from clients.

use crate::prelude::*;

/// A complete request. Header names are as sent, values are trimmed, and repeated
/// equal `Content-Length` headers are merged. The body is decoded, so a
/// `Transfer-Encoding` header only documents how it was framed.
#[derive(Debug, PartialEq)]
pub struct Request {
    /// The method, as sent.
    pub method: String,
    /// The request target, as sent.
    pub target: String,
    /// Header names and values, in the order sent.
    pub headers: Vec<(String, String)>,
    /// The decoded body. Its bytes are counted against the budget of the process until it
    /// is dropped.
    pub body: HeldBytes,
    /// Address of the client.
    pub peer: SocketAddr,
}
