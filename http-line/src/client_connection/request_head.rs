//! Writes the head of a request.

use super::*;
use crate::head::{is_one_of, push_header};

/// Capacity for a head without a reallocation, as a rule.
const HEAD_CAPACITY_BYTES: usize = 256;
/// Headers that are written by the connection itself.
const OWN_HEADERS: [&str; 3] = ["content-length", "transfer-encoding", "expect"];

pub(super) fn encode_head(call: &Call) -> Vec<u8> {
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES);
    for bytes in [
        call.method.as_bytes(),
        b" ",
        call.target.as_bytes(),
        b" HTTP/1.1\r\n",
    ] {
        head.extend_from_slice(bytes);
    }
    for (name, value) in &call.headers {
        if !is_one_of(name, &OWN_HEADERS) {
            push_header(&mut head, name, value);
        }
    }
    if !call.body.is_empty() || matches!(call.method.as_str(), "POST" | "PUT" | "PATCH") {
        push_header(&mut head, "Content-Length", &call.body.len().to_string());
    }
    head.extend_from_slice(b"\r\n");
    head
}
