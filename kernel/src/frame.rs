//! The frame codec between processes of a fleet. A frame is a header of eight bytes
//! and a body. The header is the body's length with two flags (4 bytes), and a
//! checksum over that word and the body (4 bytes). A message is one frame or, if it
//! is large, several chunks: other frames may be sent between them, so that a large
//! message does not delay small ones. An invalid frame ends its session only.
use crate::prelude::*;
use bincode::Options;

/// Maximum size of a frame and of a message, in bytes: larger than any complete
/// partition snapshot.
pub const FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Size of a chunk, in bytes: a larger bulk message is split into such chunks.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// Size of an encoded empty list, which is only its length.
const EMPTY_LIST_BYTES: usize = 8;
const HEADER_BYTES: usize = 8;
/// Flag: the body is a chunk of a message.
const CHUNK: u32 = 1 << 30;
/// Flag: further chunks of the message follow.
const MORE_CHUNKS: u32 = 1 << 31;
/// Bits of the first header word that hold the body's length.
const LENGTH_MASK: u32 = CHUNK - 1;

/// Reasons why received bytes are not valid frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The announced body, or the body assembled from chunks, has too many bytes.
    #[error("frame of {0} bytes exceeds the limit")]
    TooLarge(usize),
    /// The body does not match the checksum.
    #[error("frame does not match its checksum")]
    ChecksumMismatch,
    /// The flags are not a valid combination.
    #[error("frame has unknown flags")]
    UnknownFlags,
}

/// Reasons why a message cannot be encoded.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// The message is larger than the frame limit.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The serializer failed.
    #[error(transparent)]
    Encoding(#[from] bincode::Error),
}

/// The body of a frame is not a valid message.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] bincode::Error);

/// An encoded message: its own bytes, followed by bytes that it shares with messages
/// to other peers.
#[derive(Debug, Clone)]
pub struct EncodedMessage {
    own: Vec<u8>,
    shared: Option<Arc<[u8]>>,
    /// Time after which the receiver no longer waits for it.
    expires_at: Option<Instant>,
}

impl EncodedMessage {
    /// Encodes a message from a peer.
    pub fn new(from: Peer, message: &Message) -> Result<EncodedMessage, EncodeError> {
        let encoded = match message {
            Message::RenewReply(reply) if !reply.updates.is_empty() => {
                EncodedMessage::with_shared_updates(from, reply)?
            }
            _ => EncodedMessage {
                own: bincode::serialize(&(from, message))?,
                shared: None,
                expires_at: message.max_wait().map(|span| Instant::now() + span),
            },
        };
        if encoded.len() > FRAME_BYTES {
            return Err(FrameError::TooLarge(encoded.len()).into());
        }
        Ok(encoded)
    }

    /// Encodes a reply with its updates as shared bytes. This is possible since
    /// `updates` is the last field of a reply.
    fn with_shared_updates(from: Peer, reply: &RenewReply) -> Result<EncodedMessage, EncodeError> {
        let without_updates = RenewReply {
            updates: SharedUpdates::default(),
            ..reply.clone()
        };
        let mut own = bincode::serialize(&(from, Message::from(without_updates)))?;
        own.truncate(own.len() - EMPTY_LIST_BYTES);
        Ok(EncodedMessage {
            own,
            shared: Some(reply.updates.encoded()),
            expires_at: None,
        })
    }

    /// Returns true if the receiver no longer waits for it.
    pub fn is_expired(&self) -> bool {
        self.expires_at.is_some_and(|end| Instant::now() >= end)
    }

    /// Returns the size of the complete message in bytes.
    pub fn len(&self) -> usize {
        self.own.len() + self.shared().map_or(0, |shared| shared.len())
    }

    /// Returns true if it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of bytes that are not shared.
    pub fn own_len(&self) -> usize {
        self.own.len()
    }

    /// Returns the bytes shared with other messages.
    pub fn shared(&self) -> Option<&Arc<[u8]>> {
        self.shared.as_ref()
    }

    /// Appends the complete message as one frame.
    pub fn write_unchunked(&self, out: &mut Vec<u8>) {
        self.write_frame(0, self.len(), 0, out);
    }

    /// Appends the chunk that starts at offset `from`, and returns the offset of its
    /// end. A message that fits into one chunk is written as one frame.
    pub fn write_chunk(&self, from: usize, out: &mut Vec<u8>) -> usize {
        let to = self.len().min(from + CHUNK_BYTES);
        let flags = match (from, to == self.len()) {
            (0, true) => 0,
            (_, true) => CHUNK,
            (_, false) => CHUNK | MORE_CHUNKS,
        };
        self.write_frame(from, to, flags, out);
        to
    }

    fn write_frame(&self, from: usize, to: usize, flags: u32, out: &mut Vec<u8>) {
        let length_word = ((to - from) as u32 | flags).to_be_bytes();
        let start = out.len();
        out.extend(length_word);
        out.extend([0; HEADER_BYTES - 4]);
        let own = self.own.len();
        out.extend(&self.own[from.min(own)..to.min(own)]);
        if let Some(shared) = &self.shared {
            out.extend(&shared[from.max(own) - own..to.max(own) - own]);
        }
        let checksum = checksum(length_word, &out[start + HEADER_BYTES..]);
        out[start + 4..start + HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
    }
}

/// Encodes a message as one frame.
pub fn write(from: Peer, message: &Message) -> Result<Vec<u8>, EncodeError> {
    let mut frame = Vec::new();
    EncodedMessage::new(from, message)?.write_unchunked(&mut frame);
    Ok(frame)
}

/// Decodes a complete message; trailing bytes are an error.
pub fn decode(body: &[u8]) -> Result<(Peer, Message), DecodeError> {
    let options = bincode::options()
        .with_fixint_encoding()
        .with_limit(FRAME_BYTES as u64);
    Ok(options.deserialize(body)?)
}

fn checksum(length_word: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length_word);
    hasher.update(body);
    hasher.finalize()
}

/// Decodes the messages of one session from reads with arbitrary boundaries. Holds
/// memory only while a message is incomplete.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// The received part of an incomplete frame.
    partial: Vec<u8>,
    /// The received chunks of an incomplete message.
    chunks: Vec<u8>,
}

impl FrameDecoder {
    /// Adds received bytes and calls `on_body` with the body of each message that
    /// they complete.
    pub fn feed(&mut self, bytes: &[u8], on_body: &mut dyn FnMut(&[u8])) -> Result<(), FrameError> {
        if self.partial.is_empty() {
            let used = self.decode_frames(bytes, on_body)?;
            self.partial.extend(&bytes[used..]);
            return Ok(());
        }
        self.partial.extend(bytes);
        let partial = std::mem::take(&mut self.partial);
        let used = self.decode_frames(&partial, on_body)?;
        if used < partial.len() {
            self.partial = partial;
            self.partial.drain(..used);
        }
        Ok(())
    }

    /// Returns the number of buffered bytes of incomplete messages.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len() + self.chunks.len()
    }

    /// Decodes all complete frames and returns the number of bytes they use.
    fn decode_frames(
        &mut self,
        bytes: &[u8],
        on_body: &mut dyn FnMut(&[u8]),
    ) -> Result<usize, FrameError> {
        let mut used = 0;
        while let Some(header) = bytes[used..].first_chunk::<HEADER_BYTES>() {
            let [a, b, c, d, sum @ ..] = *header;
            let length_word = [a, b, c, d];
            let length_and_flags = u32::from_be_bytes(length_word);
            let length = (length_and_flags & LENGTH_MASK) as usize;
            if length > FRAME_BYTES {
                return Err(FrameError::TooLarge(length));
            }
            let start = used + HEADER_BYTES;
            let Some(body) = bytes.get(start..start + length) else {
                break;
            };
            if checksum(length_word, body) != u32::from_be_bytes(sum) {
                return Err(FrameError::ChecksumMismatch);
            }
            self.handle_body(length_and_flags & !LENGTH_MASK, body, on_body)?;
            used = start + length;
        }
        Ok(used)
    }

    fn handle_body(
        &mut self,
        flags: u32,
        body: &[u8],
        on_body: &mut dyn FnMut(&[u8]),
    ) -> Result<(), FrameError> {
        match flags {
            0 => on_body(body),
            MORE_CHUNKS => return Err(FrameError::UnknownFlags),
            _ => {
                let bytes = self.chunks.len() + body.len();
                if bytes > FRAME_BYTES {
                    return Err(FrameError::TooLarge(bytes));
                }
                self.chunks.extend(body);
                if flags & MORE_CHUNKS == 0 {
                    on_body(&std::mem::take(&mut self.chunks));
                }
            }
        }
        Ok(())
    }
}
