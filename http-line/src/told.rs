use crate::prelude::*;

/// An answer. `Connection`, `Keep-Alive`, `Transfer-Encoding` and, when there is a body,
/// `Content-Length` are ours to write; those given are left out.
#[derive(Debug, Clone, Default)]
pub struct Told {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Body,
    /// The connection ends after this answer.
    pub close: bool,
}
