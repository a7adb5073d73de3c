//! Tests of the chunked decoder.
use super::*;

/// Decodes the input in pieces of `step` bytes. Returns the body, the number of bytes
/// consumed and whether the body is complete.
fn decode(input: &[u8], step: usize) -> Result<(Vec<u8>, usize, bool), BodyError> {
    let (mut decoder, mut body, mut consumed) = (ChunkedDecoder::new(), HeldBytes::default(), 0);
    for bytes in input.chunks(step) {
        let progress = decoder.feed(bytes, &mut body, 20)?;
        consumed += progress.consumed;
        if progress.complete {
            return Ok((body.into_vec(), consumed, true));
        }
    }
    Ok((body.into_vec(), consumed, false))
}

#[test]
fn chunks_are_decoded_from_input_of_every_step() {
    let input = b"4\r\nabcd\r\n00A;n=\"x\"\r\n0123456789\r\n0\r\nT: u\r\n\r\nGET";
    for step in [1, 2, 3, 7, 100] {
        assert_eq!(
            decode(input, step).unwrap(),
            (b"abcd0123456789".to_vec(), input.len() - 3, true)
        );
    }
    assert!(!decode(b"1\r\na\r\n0\r\n", 1).unwrap().2);
}

#[test]
fn ambiguous_chunks_are_malformed() {
    for input in [
        "4\nabcd",
        "4 \r\nabcd",
        " 4\r\nabcd",
        "\r\n",
        "+4\r\n",
        "0x4\r\n",
        "4\r\nabcde",
        "4\r\nabcd\n",
        "4;a\nb\r\n",
        "000000004\r\n",
        "4;\r\r\n",
        "0\r\n\n",
        "0\r\n a: b\r\n",
        "0\r\na\rb\r\n",
        "fffffffff\r\n",
        "-1\r\n",
    ] {
        assert!(
            matches!(decode(input.as_bytes(), 1), Err(BodyError::Malformed(_))),
            "{input:?}"
        );
    }
    assert!(matches!(decode(b"15\r\n", 1), Err(BodyError::TooLarge)));
    assert!(matches!(
        decode(b"14\r\n01234567890123456789\r\n1\r\n", 9),
        Err(BodyError::TooLarge)
    ));
    assert!(matches!(
        decode(b"ffffffff\r\n", 1),
        Err(BodyError::TooLarge)
    ));
}
