//! Tests of the frame codec with valid, corrupted and arbitrary input.
use kernel::frame::{CHUNK_BYTES, EncodedMessage, FrameDecoder, FrameError};
use kernel::prelude::*;
use proptest::prelude::{any, prop};
use proptest::test_runner::Config;

type Decoded = Result<(Peer, Message), frame::DecodeError>;

fn peer() -> Peer {
    Peer::new("127.0.0.1:9".parse().unwrap(), 3)
}

fn heartbeat() -> Message {
    Heartbeat {
        heard_slots: SlotSet::default(),
        mutual_contacts: SlotSet::default(),
        leader_candidates: SlotSet::default(),
        slot: 2,
        full: true,
        blank: false,
        membership_version: 0,
        ledger_closed_for: Duration::ZERO,
        lost_generation: 0,
        acknowledged_sessions: 0,
        sessions: None,
    }
    .into()
}

/// A message larger than several chunks, whose content varies throughout.
fn large(fill: u32) -> Message {
    let row = |index: u32| {
        let value = Value::Founded {
            generation: u64::from(index * fill),
        };
        (format!("row {index}"), Row { version: 1, value })
    };
    RecallReply {
        partition: 3,
        version: 7,
        rows: (0..4 * CHUNK_BYTES as u32 / 40).map(row).collect(),
    }
    .into()
}

fn in_chunks(message: &Message) -> Vec<Vec<u8>> {
    let encoded = EncodedMessage::new(peer(), message).unwrap();
    let mut chunks = Vec::new();
    let mut offset = 0;
    while offset < encoded.len() {
        let mut chunk = Vec::new();
        offset = encoded.write_chunk(offset, &mut chunk);
        chunks.push(chunk);
    }
    chunks
}

fn read(decoder: &mut FrameDecoder, bytes: &[u8]) -> Result<Vec<Decoded>, FrameError> {
    let mut messages = Vec::new();
    decoder.feed(bytes, &mut |body| messages.push(frame::decode(body)))?;
    Ok(messages)
}

/// Decodes the messages of valid bytes.
fn messages(decoder: &mut FrameDecoder, bytes: &[u8]) -> Vec<Message> {
    let found = read(decoder, bytes).unwrap();
    found.into_iter().map(|result| result.unwrap().1).collect()
}

#[test]
fn flipped_or_missing_byte_of_a_frame_is_an_error() {
    let good = frame::write(peer(), &heartbeat()).unwrap();
    let found = read(&mut FrameDecoder::default(), &good).unwrap();
    assert_eq!(found.len(), 1);
    assert_eq!(*found[0].as_ref().unwrap(), (peer(), heartbeat()));
    for index in 0..good.len() {
        for bit in 0..8 {
            let mut bad = good.clone();
            bad[index] ^= 1 << bit;
            let found = read(&mut FrameDecoder::default(), &bad);
            // With a greater length the decoder waits for more bytes.
            let is_incomplete = found.as_ref().is_ok_and(Vec::is_empty);
            assert!(
                is_incomplete || found.is_err(),
                "flip of bit {bit} at byte {index}"
            );
        }
        let cut = read(&mut FrameDecoder::default(), &good[..index]).unwrap();
        assert!(cut.is_empty(), "cut at byte {index}");
    }
}

#[test]
fn large_message_is_chunked_and_others_interleave() {
    let chunks = in_chunks(&large(1));
    assert!(chunks.len() > 3);
    assert!(chunks.iter().all(|chunk| chunk.len() <= CHUNK_BYTES + 8));
    let small = frame::write(peer(), &heartbeat()).unwrap();
    let mut decoder = FrameDecoder::default();
    let mut found = Vec::new();
    for chunk in &chunks {
        found.extend(messages(&mut decoder, chunk));
        found.extend(messages(&mut decoder, &small));
    }
    let expected = vec![heartbeat(); chunks.len() - 1];
    assert_eq!(found[..chunks.len() - 1], expected);
    assert_eq!(found[chunks.len() - 1..], [large(1), heartbeat()]);
    assert_eq!(
        decoder.buffered_bytes(),
        0,
        "nothing is buffered after a complete message"
    );
}

#[test]
fn chunks_beyond_frame_limit_are_rejected() {
    let chunks = in_chunks(&large(1));
    let mut decoder = FrameDecoder::default();
    let max_chunks = frame::FRAME_BYTES / CHUNK_BYTES;
    let error = (0..max_chunks + 1).find_map(|_| read(&mut decoder, &chunks[0]).err());
    assert!(matches!(error, Some(FrameError::TooLarge(_))));
}

#[test]
fn announced_length_beyond_limit_is_rejected_at_once() {
    let mut header = (frame::FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    header.extend([0; 4]);
    let error = read(&mut FrameDecoder::default(), &header);
    assert_eq!(
        error.err(),
        Some(FrameError::TooLarge(frame::FRAME_BYTES + 1))
    );
}

#[test]
fn trailing_bytes_in_body_are_rejected() {
    let mut body = frame::write(peer(), &heartbeat()).unwrap()[8..].to_vec();
    assert!(frame::decode(&body).is_ok());
    body.push(0);
    assert!(frame::decode(&body).is_err());
}

#[test]
fn shared_updates_are_encoded_once_and_decode_unchanged() {
    let updates = SharedUpdates::from(vec![PartitionUpdate {
        partition: 3,
        version: 7,
        rows: match large(2) {
            Message::RecallReply(reply) => reply.rows,
            _ => vec![],
        },
    }]);
    let reply = |incarnation: u64| {
        Message::from(RenewReply {
            incarnation,
            renewal_token: RenewalToken::default(),
            sent: Duration::from_millis(incarnation),
            generation: 5,
            recall_requested: false,
            updates: updates.clone(),
        })
    };
    let [one, other] =
        [1, 2].map(|incarnation| EncodedMessage::new(peer(), &reply(incarnation)).unwrap());
    assert!(Arc::ptr_eq(one.shared().unwrap(), other.shared().unwrap()));
    assert!(one.own_len() < 200);
    for incarnation in [1, 2] {
        let whole = bincode::serialize(&(peer(), reply(incarnation))).unwrap();
        let frame = frame::write(peer(), &reply(incarnation)).unwrap();
        assert_eq!(frame[8..], whole);
        let chunks = in_chunks(&reply(incarnation)).concat();
        let found = messages(&mut FrameDecoder::default(), &chunks);
        assert_eq!(found, [reply(incarnation)]);
    }
}

proptest::proptest! {
    #![proptest_config(Config::with_cases(512))]

    #[test]
    fn decoder_survives_arbitrary_bytes(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..20)
    ) {
        let mut decoder = FrameDecoder::default();
        for chunk in &chunks {
            if read(&mut decoder, chunk).is_err() {
                break;
            }
        }
    }

    #[test]
    fn arbitrary_body_decodes_or_is_rejected(
        body in prop::collection::vec(any::<u8>(), 0..600)
    ) {
        let _ = frame::decode(&body);
    }

    /// Slightly corrupted bodies reach deeper into the decoder than arbitrary bytes.
    #[test]
    fn corrupted_body_decodes_or_is_rejected(
        kind in 0..2,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let message = if kind == 0 { heartbeat() } else { large(3) };
        let mut body = frame::write(peer(), &message).unwrap()[8..].to_vec();
        for (index, byte) in changes {
            let index = index.index(body.len());
            body[index] = byte;
        }
        let _ = frame::decode(&body);
        let _ = frame::decode(&body[..cut.index(body.len())]);
    }

    #[test]
    fn messages_decode_at_any_read_boundaries(
        cuts in prop::collection::vec(1..30_000usize, 1..40),
        large_first in any::<bool>(),
    ) {
        let small = frame::write(peer(), &heartbeat()).unwrap();
        let chunks = in_chunks(&large(5)).concat();
        let (bytes, expected) = if large_first {
            ([chunks, small].concat(), [large(5), heartbeat()])
        } else {
            ([small, chunks].concat(), [heartbeat(), large(5)])
        };
        let mut decoder = FrameDecoder::default();
        let mut found = Vec::new();
        let mut rest = &bytes[..];
        for cut in cuts.iter().cycle() {
            let (chunk, after) = rest.split_at((*cut).min(rest.len()));
            found.extend(messages(&mut decoder, chunk));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        proptest::prop_assert_eq!(found, expected);
        proptest::prop_assert_eq!(decoder.buffered_bytes(), 0);
    }
}
