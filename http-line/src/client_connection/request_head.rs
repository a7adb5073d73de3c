//! Encoding of request heads.

use super::*;
use crate::head::{is_one_of, push_header};

/// Initial capacity of the buffer for a head, in bytes; avoids a reallocation for
/// typical heads.
const HEAD_CAPACITY_BYTES: usize = 256;
/// Headers of a call that are not sent: the connection frames the body itself and does
/// not support `Expect`.
const OMITTED_HEADERS: [&str; 3] = ["content-length", "transfer-encoding", "expect"];

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
        if !is_one_of(name, &OMITTED_HEADERS) {
            push_header(&mut head, name, value);
        }
    }
    if !call.body.is_empty() || matches!(call.method.as_str(), "POST" | "PUT" | "PATCH") {
        push_header(&mut head, "Content-Length", &call.body.len().to_string());
    }
    head.extend_from_slice(b"\r\n");
    head
}
