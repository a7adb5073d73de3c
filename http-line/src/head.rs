#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The head of a message, and where it ends. Nothing is taken whose end two
/// readers could see at different places.
pub struct Head;

#[derive(Debug)]
pub struct AskedHead {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub framing: Framing,
    pub close: bool,
    pub old: bool,
    pub expect: bool,
}

#[derive(Debug)]
pub struct AnswerHead {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub framing: Framing,
    pub close: bool,
}

type Refused = (u16, &'static str);
const HEADERS: usize = 100;

impl Head {
    /// Just behind the empty line, where it is in `bytes`; `from`: how many
    /// were looked at before.
    pub fn end(bytes: &[u8], from: usize) -> Option<usize> {
        let mut at = from.saturating_sub(3);
        while let Some(next) = bytes[at..].iter().position(|b| *b == b'\n') {
            at += next + 1;
            match bytes[at..] {
                [b'\n', ..] => return Some(at + 1),
                [b'\r', b'\n', ..] => return Some(at + 2),
                _ => {}
            }
        }
        None
    }

    /// `bytes`: a head with its empty line.
    pub fn asked(bytes: &[u8]) -> std::result::Result<AskedHead, Refused> {
        let alone =
            |(at, byte): (usize, &u8)| *byte == b'\n' && (at == 0 || bytes[at - 1] != b'\r');
        if bytes.iter().enumerate().any(alone) {
            return Err((400, "a line ends without CR"));
        }
        let mut room = [httparse::EMPTY_HEADER; HEADERS];
        let mut found = httparse::Request::new(&mut room);
        match found.parse(bytes) {
            Ok(httparse::Status::Complete(size)) if size == bytes.len() => {}
            Ok(_) => return Err((400, "the head ends twice")),
            Err(httparse::Error::TooManyHeaders) => return Err((431, "too many headers")),
            Err(_) => return Err((400, "malformed head")),
        }
        let target = found.path.unwrap_or_default();
        if target.bytes().any(|b| !(0x21..0x7f).contains(&b)) {
            return Err((400, "malformed target"));
        }
        let old = found.version == Some(0);
        let mut headers = Vec::with_capacity(found.headers.len());
        for header in found.headers.iter() {
            let value =
                std::str::from_utf8(header.value).map_err(|_| (400, "a header is not UTF-8"))?;
            headers.push((
                header.name.to_string(),
                value.trim_matches([' ', '\t']).to_string(),
            ));
        }
        let (length, chunked) = Head::framing(&mut headers).map_err(|why| (400, why))?;
        if old && chunked {
            return Err((400, "chunked in HTTP/1.0"));
        }
        if Head::named(&headers, "host").count() > 1 {
            return Err((400, "more than one host"));
        }
        let framing = if chunked {
            Framing::Chunked
        } else {
            Framing::Length(length.unwrap_or(0))
        };
        Ok(AskedHead {
            method: found.method.unwrap_or_default().to_string(),
            target: target.to_string(),
            framing,
            close: Head::closes(&headers, old),
            old,
            expect: !old
                && Head::named(&headers, "expect")
                    .any(|value| value.eq_ignore_ascii_case("100-continue")),
            headers,
        })
    }

    /// `bytes`: a head with its empty line; `bare`: it answers a HEAD.
    pub fn answer(bytes: &[u8], bare: bool) -> std::result::Result<AnswerHead, &'static str> {
        let mut room = [httparse::EMPTY_HEADER; HEADERS];
        let mut found = httparse::Response::new(&mut room);
        match found.parse(bytes) {
            Ok(httparse::Status::Complete(size)) if size == bytes.len() => {}
            Err(httparse::Error::TooManyHeaders) => return Err("too many headers"),
            _ => return Err("malformed head"),
        }
        let old = found.version == Some(0);
        let status = found.code.unwrap_or(0);
        let mut headers = Vec::with_capacity(found.headers.len());
        for header in found.headers.iter() {
            let value = match std::str::from_utf8(header.value) {
                Ok(value) => value.to_string(),
                Err(_) => header.value.iter().map(|byte| *byte as char).collect(),
            };
            headers.push((
                header.name.to_string(),
                value.trim_matches([' ', '\t']).to_string(),
            ));
        }
        let close = Head::closes(&headers, old);
        if bare || status < 200 || matches!(status, 204 | 304) {
            return Ok(AnswerHead {
                status,
                headers,
                framing: Framing::Length(0),
                close,
            });
        }
        let framing = match Head::framing(&mut headers)? {
            (_, true) if old => return Err("chunked in HTTP/1.0"),
            (_, true) => Framing::Chunked,
            (Some(size), _) => Framing::Length(size),
            _ if close => Framing::UntilClose,
            _ => return Err("the end of the body cannot be known"),
        };
        Ok(AnswerHead {
            status,
            headers,
            framing,
            close,
        })
    }

    pub fn named<'a>(
        headers: &'a [(String, String)],
        name: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        headers
            .iter()
            .filter(move |pair| pair.0.eq_ignore_ascii_case(name))
            .map(|pair| pair.1.as_str())
    }

    fn closes(headers: &[(String, String)], old: bool) -> bool {
        let has = |word: &str| {
            let mut words = Head::named(headers, "connection").flat_map(|value| value.split(','));
            words.any(|found| found.trim().eq_ignore_ascii_case(word))
        };
        has("close") || (old && !has("keep-alive"))
    }

    /// The one length, and whether it is chunked. Equal lengths are made one.
    fn framing(
        headers: &mut Vec<(String, String)>,
    ) -> std::result::Result<(Option<usize>, bool), &'static str> {
        let mut length = None;
        for value in Head::named(headers, "content-length") {
            if value.is_empty() || value.len() > 15 || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err("malformed length");
            }
            let size: usize = value.parse().map_err(|_| "malformed length")?;
            if length.is_some_and(|before| before != size) {
                return Err("two unlike lengths");
            }
            length = Some(size);
        }
        let codes: Vec<&str> = Head::named(headers, "transfer-encoding").collect();
        let chunked = match codes[..] {
            [] => false,
            [code] if code.eq_ignore_ascii_case("chunked") => true,
            _ => return Err("an encoding other than chunked"),
        };
        if chunked && length.is_some() {
            return Err("both a length and chunked");
        }
        if let Some(size) = length {
            let mut first = true;
            headers.retain_mut(|pair| {
                if !pair.0.eq_ignore_ascii_case("content-length") {
                    return true;
                }
                pair.1 = size.to_string();
                std::mem::take(&mut first)
            });
        }
        Ok((length, chunked))
    }
}
