//! Parsing of request heads.

use super::*;

/// The head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: Headers,
    pub(crate) framing: Framing,
    /// True if the connection is closed after the response.
    pub(crate) close: bool,
    pub(crate) is_http_1_0: bool,
    /// True if the client waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

/// The reason why input is not a request that can be served.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub(crate) struct RequestRejection {
    /// Status code of the response.
    pub(crate) status: u16,
    pub(crate) reason: &'static str,
}

impl RequestRejection {
    fn malformed(reason: &'static str) -> RequestRejection {
        RequestRejection {
            status: 400,
            reason,
        }
    }
}

impl RequestHead {
    /// Parses a head, including the empty line at its end.
    pub(crate) fn parse(bytes: &[u8]) -> Result<RequestHead, RequestRejection> {
        if has_bare_line_feed(bytes) {
            return Err(RequestRejection::malformed("a line ends without CR"));
        }
        let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut buffer);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(size)) if size == bytes.len() => {}
            Ok(_) => return Err(RequestRejection::malformed("the head ends twice")),
            Err(httparse::Error::TooManyHeaders) => {
                return Err(RequestRejection {
                    status: 431,
                    reason: "too many headers",
                });
            }
            Err(_) => return Err(RequestRejection::malformed("malformed head")),
        }
        let target = parsed.path.unwrap_or_default();
        if target.bytes().any(|byte| !(0x21..0x7f).contains(&byte)) {
            return Err(RequestRejection::malformed("malformed target"));
        }
        let is_http_1_0 = parsed.version == Some(0);
        let mut headers = read_headers(parsed.headers)?;
        let framing = read_framing(&mut headers, is_http_1_0)?;
        if header_values(&headers, "host").count() > 1 {
            return Err(RequestRejection::malformed("more than one host"));
        }
        Ok(RequestHead {
            method: parsed.method.unwrap_or_default().to_string(),
            target: target.to_string(),
            framing,
            close: closes_connection(&headers, is_http_1_0),
            is_http_1_0,
            expects_continue: !is_http_1_0 && expects_continue(&headers),
            headers,
        })
    }
}

fn has_bare_line_feed(bytes: &[u8]) -> bool {
    bytes.iter().enumerate().any(|(offset, byte)| {
        let follows_return = offset > 0 && bytes[offset - 1] == b'\r';
        *byte == b'\n' && !follows_return
    })
}

fn read_headers(parsed: &[httparse::Header]) -> Result<Headers, RequestRejection> {
    let mut headers = Vec::with_capacity(parsed.len());
    for header in parsed {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| RequestRejection::malformed("a header is not UTF-8"))?;
        headers.push((header.name.to_string(), trimmed(value)));
    }
    Ok(headers)
}

fn read_framing(headers: &mut Headers, is_http_1_0: bool) -> Result<Framing, RequestRejection> {
    let body = read_body_headers(headers).map_err(RequestRejection::malformed)?;
    if is_http_1_0 && body.chunked {
        return Err(RequestRejection::malformed("chunked in HTTP/1.0"));
    }
    Ok(if body.chunked {
        Framing::Chunked
    } else {
        Framing::Length(body.length.unwrap_or(0))
    })
}

fn expects_continue(headers: &Headers) -> bool {
    header_values(headers, "expect").any(|value| value.eq_ignore_ascii_case("100-continue"))
}
