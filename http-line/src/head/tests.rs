//! Tests of the parsing of heads.
use super::request::RequestRejection;
use super::*;

fn parse_with_headers(lines: &str) -> Result<RequestHead, RequestRejection> {
    RequestHead::parse(format!("POST /a?b HTTP/1.1\r\nHost: h\r\n{lines}\r\n").as_bytes())
}

#[test]
fn head_fields_and_end_are_parsed() {
    let head = parse_with_headers(
        "Content-Length: 05\r\nX: \t\u{e9} y \r\ncontent-length: 5\r\nConnection: a, Close\r\n",
    )
    .unwrap();
    assert_eq!(
        (head.method.as_str(), head.target.as_str()),
        ("POST", "/a?b")
    );
    assert_eq!((head.framing, head.close), (Framing::Length(5), true));
    let pair = |name: &str, value: &str| (name.to_string(), value.to_string());
    let expected = [
        pair("Host", "h"),
        pair("Content-Length", "5"),
        pair("X", "\u{e9} y"),
        pair("Connection", "a, Close"),
    ];
    assert_eq!(head.headers, expected);
    assert!(RequestHead::parse(b"GET / HTTP/1.0\r\n\r\n").unwrap().close);
    assert!(
        !RequestHead::parse(b"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n")
            .unwrap()
            .close
    );
    assert_eq!(find_head_end(b"a\r\nb\r\n\r\nc", 0), Some(8));
    assert_eq!(find_head_end(b"a\r\nb\r\n\r\nc", 7), Some(8));
    assert_eq!(find_head_end(b"a\r\nb\r\n\r", 0), None);
    assert_eq!(find_head_end(b"a\n\nb", 0), Some(3));
}

/// Headers that two parsers could interpret differently.
const AMBIGUOUS_HEADERS: [&str; 22] = [
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
];

/// Request heads with an invalid request line or framing.
const MALFORMED_HEADS: [&str; 7] = [
    "GET /\r\n\r\n",
    "GET / HTTP/2.0\r\n\r\n",
    "GET /a b HTTP/1.1\r\n\r\n",
    "G\u{e9} / HTTP/1.1\r\n\r\n",
    "GET /\u{e9} HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.1 \r\n\r\n",
    "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
];

#[test]
fn ambiguous_request_heads_are_rejected() {
    for lines in AMBIGUOUS_HEADERS {
        assert_eq!(
            parse_with_headers(lines)
                .err()
                .map(|rejection| rejection.status),
            Some(400),
            "{lines:?}"
        );
    }
    for head in MALFORMED_HEADS {
        assert_eq!(
            RequestHead::parse(head.as_bytes())
                .err()
                .map(|rejection| rejection.status),
            Some(400),
            "{head:?}"
        );
    }
    assert_eq!(
        RequestHead::parse(b"GET / HTTP/1.1\r\nA: \xff\r\n\r\n")
            .err()
            .map(|rejection| rejection.status),
        Some(400)
    );
    assert_eq!(
        parse_with_headers(&"A: b\r\n".repeat(101))
            .err()
            .map(|rejection| rejection.status),
        Some(431)
    );
}

#[test]
fn response_framing_follows_status_and_headers() {
    let framing = |head: &str, is_head_request| {
        ResponseHead::parse(head.as_bytes(), is_head_request).map(|head| head.framing)
    };
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
