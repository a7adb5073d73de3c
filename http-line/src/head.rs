//! Parsing of message heads: where a head ends, and how its headers frame the
//! body. Any message whose end two parsers could place differently is rejected,
//! which prevents request smuggling.

#[cfg(test)]
mod tests;

mod request;
mod response;

use crate::prelude::*;
pub(crate) use request::RequestHead;
pub(crate) use response::ResponseHead;

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 100;
/// Maximum number of digits of a `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 15;

/// Header names and values, in the order received.
type Headers = Vec<(String, String)>;

/// The headers that determine where the body ends.
struct BodyHeaders {
    length: Option<usize>,
    chunked: bool,
}

/// Returns the offset just behind the empty line that ends a head, if `bytes`
/// contains it. The first `scanned` bytes are known not to contain it.
pub(crate) fn find_head_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    let mut offset = scanned.saturating_sub(3);
    while let Some(line_feed) = bytes[offset..].iter().position(|byte| *byte == b'\n') {
        offset += line_feed + 1;
        match bytes[offset..] {
            [b'\n', ..] => return Some(offset + 1),
            [b'\r', b'\n', ..] => return Some(offset + 2),
            _ => {}
        }
    }
    None
}

/// Iterates over the values of all headers with this name.
pub(crate) fn header_values<'a>(
    headers: &'a [(String, String)],
    name: &'a str,
) -> impl Iterator<Item = &'a str> {
    headers
        .iter()
        .filter(move |header| header.0.eq_ignore_ascii_case(name))
        .map(|header| header.1.as_str())
}

/// Iterates over the list items of all headers with this name.
pub(crate) fn list_items<'a>(
    headers: &'a [(String, String)],
    name: &'a str,
) -> impl Iterator<Item = &'a str> {
    header_values(headers, name).flat_map(|value| value.split(','))
}

/// Appends a header line to a head that is being written.
pub(crate) fn push_header(head: &mut Vec<u8>, name: &str, value: &str) {
    for bytes in [name.as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
        head.extend_from_slice(bytes);
    }
}

/// Returns true if `names` contains the name, ignoring case.
pub(crate) fn is_one_of(name: &str, names: &[&str]) -> bool {
    names.iter().any(|known| name.eq_ignore_ascii_case(known))
}

fn trimmed(value: &str) -> String {
    value.trim_matches([' ', '\t']).to_string()
}

/// Returns true if the connection is closed after this message.
fn closes_connection(headers: &[(String, String)], is_http_1_0: bool) -> bool {
    let has = |option: &str| {
        list_items(headers, "connection").any(|item| item.trim().eq_ignore_ascii_case(option))
    };
    has("close") || (is_http_1_0 && !has("keep-alive"))
}

/// Reads the headers that determine the end of the body; repeated equal lengths
/// are merged into one header.
fn read_body_headers(headers: &mut Headers) -> Result<BodyHeaders, &'static str> {
    let length = content_length(headers)?;
    let codings: Vec<&str> = header_values(headers, "transfer-encoding").collect();
    let chunked = match codings[..] {
        [] => false,
        [coding] if coding.eq_ignore_ascii_case("chunked") => true,
        _ => return Err("an encoding other than chunked"),
    };
    if chunked && length.is_some() {
        return Err("both a length and chunked");
    }
    if let Some(length) = length {
        merge_lengths(headers, length);
    }
    Ok(BodyHeaders { length, chunked })
}

fn content_length(headers: &Headers) -> Result<Option<usize>, &'static str> {
    let mut length = None;
    for value in header_values(headers, "content-length") {
        let is_number = value.bytes().all(|byte| byte.is_ascii_digit());
        if value.is_empty() || value.len() > MAX_LENGTH_DIGITS || !is_number {
            return Err("malformed length");
        }
        let number: usize = value.parse().map_err(|_| "malformed length")?;
        if length.is_some_and(|earlier| earlier != number) {
            return Err("two unlike lengths");
        }
        length = Some(number);
    }
    Ok(length)
}

fn merge_lengths(headers: &mut Headers, length: usize) {
    let mut is_first = true;
    headers.retain_mut(|header| {
        if !header.0.eq_ignore_ascii_case("content-length") {
            return true;
        }
        header.1 = length.to_string();
        std::mem::take(&mut is_first)
    });
}
