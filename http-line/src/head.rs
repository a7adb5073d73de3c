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

#[cfg(test)]
mod tests {
    use super::*;

    fn asked(lines: &str) -> std::result::Result<AskedHead, Refused> {
        Head::asked(format!("POST /a?b HTTP/1.1\r\nHost: h\r\n{lines}\r\n").as_bytes())
    }

    #[test]
    fn reads_a_head() {
        let head = asked(
            "Content-Length: 05\r\nX: \t\u{e9} y \r\ncontent-length: 5\r\nConnection: a, Close\r\n",
        )
        .unwrap();
        assert_eq!(
            (head.method.as_str(), head.target.as_str()),
            ("POST", "/a?b")
        );
        assert_eq!((head.framing, head.close), (Framing::Length(5), true));
        let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
        let want = [
            pair("Host", "h"),
            pair("Content-Length", "5"),
            pair("X", "\u{e9} y"),
            pair("Connection", "a, Close"),
        ];
        assert_eq!(head.headers, want);
        assert!(Head::asked(b"GET / HTTP/1.0\r\n\r\n").unwrap().close);
        assert!(
            !Head::asked(b"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n")
                .unwrap()
                .close
        );
        assert_eq!(Head::end(b"a\r\nb\r\n\r\nc", 0), Some(8));
        assert_eq!(Head::end(b"a\r\nb\r\n\r\nc", 7), Some(8));
        assert_eq!(Head::end(b"a\r\nb\r\n\r", 0), None);
        assert_eq!(Head::end(b"a\n\nb", 0), Some(3));
    }

    #[test]
    fn refuses_what_others_may_read_otherwise() {
        for lines in [
            "Content-Length: 1\r\nContent-Length: 2\r\n",
            "Content-Length: 1, 1\r\n",
            "Content-Length: +1\r\n",
            "Content-Length: \r\n",
            "Content-Length: 1 1\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding:\r\n chunked\r\n",
            "Transfer-Encoding : chunked\r\n",
            "A: b\r\n c\r\n",
            "A: b\rc\r\n",
            "A: b\nC: d\r\n",
            "A: b\0\r\n",
            "A\r\n",
            ": b\r\n",
            "A b: c\r\n",
            "Host: i\r\n",
            "Transfer-Encoding: \u{b}chunked\r\n",
        ] {
            assert_eq!(asked(lines).err().map(|e| e.0), Some(400), "{lines:?}");
        }
        for head in [
            "GET /\r\n\r\n",
            "GET / HTTP/2.0\r\n\r\n",
            "GET /a b HTTP/1.1\r\n\r\n",
            "G\u{e9} / HTTP/1.1\r\n\r\n",
            "GET /\u{e9} HTTP/1.1\r\n\r\n",
            "GET / HTTP/1.1 \r\n\r\n",
            "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        ] {
            assert_eq!(
                Head::asked(head.as_bytes()).err().map(|e| e.0),
                Some(400),
                "{head:?}"
            );
        }
        assert_eq!(
            Head::asked(b"GET / HTTP/1.1\r\nA: \xff\r\n\r\n")
                .err()
                .map(|e| e.0),
            Some(400)
        );
        assert_eq!(asked(&"A: b\r\n".repeat(101)).err().map(|e| e.0), Some(431));
    }

    #[test]
    fn knows_where_an_answer_ends() {
        let framing =
            |head: &str, bare| Head::answer(head.as_bytes(), bare).map(|head| head.framing);
        assert_eq!(
            framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", false),
            Ok(Framing::Length(3))
        );
        assert_eq!(
            framing("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true),
            Ok(Framing::Length(0))
        );
        assert_eq!(
            framing("HTTP/1.1 304 \r\nContent-Length: 3\r\n\r\n", false),
            Ok(Framing::Length(0))
        );
        assert_eq!(
            framing("HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n", false),
            Ok(Framing::Chunked)
        );
        assert_eq!(
            framing("HTTP/1.0 200 OK\r\n\r\n", false),
            Ok(Framing::UntilClose)
        );
        assert_eq!(
            framing("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", false),
            Ok(Framing::UntilClose)
        );
        assert!(framing("HTTP/1.1 200 OK\r\n\r\n", false).is_err());
        assert!(
            framing(
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                false
            )
            .is_err()
        );
        assert!(framing("SSH-2.0 x\r\n\r\n", false).is_err());
    }
}
