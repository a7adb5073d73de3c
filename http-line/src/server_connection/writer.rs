//! Writes responses to a client.

use super::*;
use crate::call::is_valid_header;
use crate::head::{is_one_of, push_header};

/// Headers that are written by the connection itself.
const OWN_HEADERS: [&str; 3] = ["connection", "transfer-encoding", "keep-alive"];
/// Capacity for the lines of a head that are not the response's headers.
const HEAD_CAPACITY_BYTES: usize = 64;
/// Bytes of a header line beside its name and value.
const HEADER_LINE_BYTES: usize = 4;

/// What decides how a response is written.
struct Delivery {
    is_head_request: bool,
    close: bool,
    is_http_1_0: bool,
}

impl ServerConnection {
    /// Queues all responses whose turn has come, and `100 Continue` in its turn.
    pub(super) fn write_ready_responses(&mut self) {
        while let Some(slot) = self.slots.pop_front_if(|slot| slot.response.is_some()) {
            let delivery = Delivery {
                is_head_request: slot.is_head_request,
                close: slot.close || (self.closing && self.slots.is_empty()),
                is_http_1_0: slot.is_http_1_0,
            };
            if let Some(response) = slot.response {
                write_response(&mut self.output, response, &delivery);
            }
        }
        if self.continue_due && self.slots.is_empty() {
            self.continue_due = false;
            self.output
                .push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec().into());
        }
    }
}

fn write_response(output: &mut SendQueue, response: Response, delivery: &Delivery) {
    let is_valid =
        (200..1000).contains(&response.status) && response.headers.iter().all(is_valid_header);
    let response = if is_valid {
        response
    } else {
        Response {
            status: 500,
            close: delivery.close,
            ..Response::default()
        }
    };
    output.push(encode_head(&response, delivery).into());
    if !delivery.is_head_request && !has_no_body(response.status) {
        output.push(response.body);
    }
}

fn has_no_body(status: u16) -> bool {
    matches!(status, 204 | 304)
}

fn encode_head(response: &Response, delivery: &Delivery) -> Vec<u8> {
    let header_bytes: usize = response
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + HEADER_LINE_BYTES)
        .sum();
    let mut head = Vec::with_capacity(HEAD_CAPACITY_BYTES + header_bytes);
    let (status, reason) = (response.status, reason_phrase(response.status));
    head.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    let has_length = push_headers(&mut head, response, delivery);
    let is_length_unknown = delivery.is_head_request && response.body.is_empty();
    if !(has_length || has_no_body(status) || is_length_unknown) {
        push_header(
            &mut head,
            "Content-Length",
            &response.body.len().to_string(),
        );
    }
    let end: &[u8] = match (delivery.close, delivery.is_http_1_0) {
        (true, _) => b"Connection: close\r\n\r\n",
        (_, true) => b"Connection: keep-alive\r\n\r\n",
        _ => b"\r\n",
    };
    head.extend_from_slice(end);
    head
}

/// Writes the response's headers, without our own; whether a length was among
/// them. A length is only passed on where no body tells it.
fn push_headers(head: &mut Vec<u8>, response: &Response, delivery: &Delivery) -> bool {
    let passes_length =
        response.body.is_empty() && (delivery.is_head_request || response.status == 304);
    let mut has_length = false;
    for (name, value) in &response.headers {
        let is_length = name.eq_ignore_ascii_case("content-length");
        let is_usable = passes_length && !has_length && value.parse::<u64>().is_ok();
        if is_one_of(name, &OWN_HEADERS) || (is_length && !is_usable) {
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
