//! Tests of `chunk`.
use super::*;

fn read(input: &[u8], step: usize) -> std::result::Result<(Vec<u8>, usize, bool), Fault> {
    let (mut chunk, mut body, mut used) = (Chunk::new(), Vec::new(), 0);
    for part in input.chunks(step) {
        let (size, done) = chunk.feed(part, &mut body, 20)?;
        used += size;
        if done {
            return Ok((body, used, true));
        }
    }
    Ok((body, used, false))
}

#[test]
fn reads_in_any_pieces() {
    let input = b"4\r\nabcd\r\n00A;n=\"x\"\r\n0123456789\r\n0\r\nT: u\r\n\r\nGET";
    for step in [1, 2, 3, 7, 100] {
        assert_eq!(
            read(input, step).unwrap(),
            (b"abcd0123456789".to_vec(), input.len() - 3, true)
        );
    }
    assert!(!read(b"1\r\na\r\n0\r\n", 1).unwrap().2);
}

#[test]
fn refuses_what_others_may_read_otherwise() {
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
            matches!(read(input.as_bytes(), 1), Err(Fault::Bad(_))),
            "{input:?}"
        );
    }
    assert!(matches!(read(b"15\r\n", 1), Err(Fault::Large)));
    assert!(matches!(
        read(b"14\r\n01234567890123456789\r\n1\r\n", 9),
        Err(Fault::Large)
    ));
    assert!(matches!(read(b"ffffffff\r\n", 1), Err(Fault::Large)));
}
