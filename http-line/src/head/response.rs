//! Parsing of response heads.

use super::*;

/// The head of a response.
#[derive(Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// True if the connection is closed after this response.
    pub(crate) close: bool,
}

/// The reason why input is not a valid response.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{0}")]
pub(crate) struct MalformedResponse(pub(crate) &'static str);

impl ResponseHead {
    /// Parses a head, including the empty line at its end. A response to a HEAD
    /// request has no body, regardless of its headers.
    pub(crate) fn parse(
        bytes: &[u8],
        is_head_request: bool,
    ) -> Result<ResponseHead, MalformedResponse> {
        let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut buffer);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(size)) if size == bytes.len() => {}
            Err(httparse::Error::TooManyHeaders) => {
                return Err(MalformedResponse("too many headers"));
            }
            _ => return Err(MalformedResponse("malformed head")),
        }
        let is_http_1_0 = parsed.version == Some(0);
        let status = parsed.code.unwrap_or(0);
        let mut headers = read_headers(parsed.headers);
        let close = closes_connection(&headers, is_http_1_0);
        let has_no_body = is_head_request || status < 200 || matches!(status, 204 | 304);
        let framing = if has_no_body {
            Framing::Length(0)
        } else {
            read_framing(&mut headers, is_http_1_0, close)?
        };
        Ok(ResponseHead {
            status,
            headers,
            framing,
            close,
        })
    }
}

/// Converts the parsed headers. Values that are not UTF-8 are decoded as Latin-1.
fn read_headers(parsed: &[httparse::Header]) -> Headers {
    let mut headers = Vec::with_capacity(parsed.len());
    for header in parsed {
        let value = match std::str::from_utf8(header.value) {
            Ok(value) => value.to_string(),
            Err(_) => header.value.iter().map(|byte| *byte as char).collect(),
        };
        headers.push((header.name.to_string(), trimmed(&value)));
    }
    headers
}

fn read_framing(
    headers: &mut Headers,
    is_http_1_0: bool,
    close: bool,
) -> Result<Framing, MalformedResponse> {
    let body = read_body_headers(headers).map_err(MalformedResponse)?;
    match body.length {
        _ if body.chunked && is_http_1_0 => Err(MalformedResponse("chunked in HTTP/1.0")),
        _ if body.chunked => Ok(Framing::Chunked),
        Some(length) => Ok(Framing::Length(length)),
        None if close => Ok(Framing::UntilClose),
        None => Err(MalformedResponse(
            "the end of the body cannot be determined",
        )),
    }
}
