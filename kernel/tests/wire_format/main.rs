//! Tests of the wire format between processes against bytes written by commit 3cfc7c8.
//!
//! `frames.hex` is never edited: renaming a message, field or variant does not change
//! the bytes, but reordering, swapping or retyping one does.
#[path = "../samples/mod.rs"]
mod samples;

mod messages;

use kernel::prelude::*;

/// The expected frames, one per line in hexadecimal digits, in the order of `messages()`.
const FRAMES: &str = include_str!("frames.hex");
/// Number of message kinds when the frames were written.
const MESSAGE_KINDS: usize = 40;

fn sender() -> Peer {
    Peer::new(samples::address(1), 0x0102_0304_0506_0708)
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hexadecimal(hexadecimal: &str) -> Vec<u8> {
    (0..hexadecimal.len() / 2)
        .map(|index| u8::from_str_radix(&hexadecimal[2 * index..2 * index + 2], 16).unwrap())
        .collect()
}

#[test]
fn every_message_encodes_to_the_checked_in_frame() {
    let messages = messages::messages();
    let frames: Vec<&str> = FRAMES.lines().collect();
    assert_eq!(messages.len(), frames.len());
    for (message, expected) in messages.iter().zip(frames) {
        let frame = frame::write(sender(), message).unwrap();
        assert_eq!(hexadecimal(&frame), expected, "{}", message.name());
    }
}

#[test]
fn every_checked_in_frame_decodes_to_its_message() {
    for (message, frame) in messages::messages().into_iter().zip(FRAMES.lines()) {
        let mut decoder = frame::FrameDecoder::default();
        let mut decoded = Vec::new();
        decoder
            .feed(&parse_hexadecimal(frame), &mut |body| {
                decoded.push(frame::decode(body))
            })
            .unwrap();
        let decoded: Vec<(Peer, Message)> = decoded.into_iter().map(Result::unwrap).collect();
        assert_eq!(decoded, [(sender(), message)]);
    }
}

#[test]
fn samples_cover_every_message_kind() {
    let names: BTreeSet<&str> = messages::messages().iter().map(Message::name).collect();
    assert_eq!(names.len(), MESSAGE_KINDS);
}

/// `operate state` shows the usage of edges and the health of origins as JSON; the names
/// must not change.
#[test]
fn usage_and_origin_health_keep_their_json_names() {
    let usage = Usage {
        requests: 1,
        near_cache_hits: 2,
        completed: 3,
        rejected: 4,
        cache_hits: 5,
        calls: 6,
        retries: 7,
        pending: 8,
        client_disconnects: 9,
        abandoned: 10,
    };
    assert_eq!(
        serde_json::to_string(&usage).unwrap(),
        r#"{"errands":1,"near":2,"answered":3,"refused":4,"copies":5,"calls":6,"extra":7,"pending":8,"left":9,"abandoned":10}"#
    );
    let health = |condition| OriginHealth {
        address: "127.0.0.1:80".parse().unwrap(),
        service: "s".into(),
        instance: "i".into(),
        condition,
        calls: 4,
    };
    for (condition, name) in [
        (OriginCondition::Proven, "proven"),
        (OriginCondition::Unproven, "unproven"),
        (OriginCondition::Ejected, "aside"),
    ] {
        assert_eq!(
            serde_json::to_string(&health(condition)).unwrap(),
            format!(
                r#"{{"address":"127.0.0.1:80","service":"s","instance":"i","condition":"{name}","calls":4}}"#
            )
        );
    }
}
