//! Writing of responses.

use super::*;
use crate::call::is_valid_header;
use crate::head::{is_one_of, push_header};

/// Headers of a response that are not sent: the connection manages its own framing and
/// keep-alive.
const OMITTED_HEADERS: [&str; 3] = ["connection", "transfer-encoding", "keep-alive"];
/// Initial capacity in bytes for the lines of a head other than the response's
/// headers.
const HEAD_CAPACITY_BYTES: usize = 64;
/// Number of bytes of a header line in addition to its name and value.
const HEADER_LINE_BYTES: usize = 4;

/// Properties of the request and the connection that determine how a response is
/// written.
struct ResponseContext {
    is_head_request: bool,
    close: bool,
    is_http_1_0: bool,
}

impl ServerConnection {
    /// Queues the responses that are available in request order, and `100 Continue`
    /// after the responses to earlier requests.
    pub(super) fn write_ready_responses(&mut self) {
        while let Some(pending) = self
            .pending_requests
            .pop_front_if(|pending| pending.response.is_some())
        {
            let context = ResponseContext {
                is_head_request: pending.is_head_request,
                close: pending.close || (self.closing && self.pending_requests.is_empty()),
                is_http_1_0: pending.is_http_1_0,
            };
            if let Some(response) = pending.response {
                write_response(&mut self.output, response, &context);
            }
        }
        if self.continue_pending && self.pending_requests.is_empty() {
            self.continue_pending = false;
            self.output
                .push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec().into());
        }
    }
}

fn write_response(output: &mut SendQueue, response: Response, context: &ResponseContext) {
    let is_valid =
        (200..1000).contains(&response.status) && response.headers.iter().all(is_valid_header);
    let response = if is_valid {
        response
    } else {
        Response {
            status: 500,
            close: context.close,
            ..Response::default()
        }
    };
    output.push(encode_head(&response, context).into());
    if !context.is_head_request && !has_no_body(response.status) {
        output.push(response.body);
    }
}

fn has_no_body(status: u16) -> bool {
    matches!(status, 204 | 304)
}

fn encode_head(response: &Response, context: &ResponseContext) -> Vec<u8> {
    let header_bytes: usize = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + HEADER_LINE_BYTES)
        .sum();
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES + header_bytes);
    let (status, reason) = (response.status, reason_phrase(response.status));
    head.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    let has_length = push_headers(&mut head, response, context);
    let is_length_unknown = context.is_head_request && response.body.is_empty();
    if !(has_length || has_no_body(status) || is_length_unknown) {
        push_header(
            &mut head,
            "Content-Length",
            &response.body.len().to_string(),
        );
    }
    let end: &[u8] = match (context.close, context.is_http_1_0) {
        (true, _) => b"Connection: close\r\n\r\n",
        (_, true) => b"Connection: keep-alive\r\n\r\n",
        _ => b"\r\n",
    };
    head.extend_from_slice(end);
    head
}

/// Writes the headers of the response, except the omitted ones. A `Content-Length`
/// is forwarded only if there is no body to take it from. Returns true if one was
/// written.
fn push_headers(head: &mut Vec<u8>, response: &Response, context: &ResponseContext) -> bool {
    let forwards_length =
        response.body.is_empty() && (context.is_head_request || response.status == 304);
    let mut has_length = false;
    for (name, value) in &response.headers {
        let is_length = name.eq_ignore_ascii_case("content-length");
        let is_usable = forwards_length && !has_length && value.parse::<u64>().is_ok();
        if is_one_of(name, &OMITTED_HEADERS) || (is_length && !is_usable) {
            continue;
        }
        has_length |= is_length;
        push_header(head, name, value);
    }
    has_length
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        206 => "Partial Content",
        301 => "Moved Permanently",
        302 => "Found",
        303 => "See Other",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        308 => "Permanent Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        416 => "Range Not Satisfiable",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}
