//! Frames between our processes. A frame is a header of eight bytes and a
//! body: the body's length with two flags, a checksum over that word and the
//! body, then the body. A message is one frame, or, if it is large, several
//! chunks: other frames may go between them, so that a large message holds up
//! no small one. A frame that does not check out ends its session and nothing
//! else.
use crate::prelude::*;
use bincode::Options;

/// Larger than any whole partition snapshot we send.
pub const FRAME_BYTES: usize = 64 * 1024 * 1024;
/// A larger message that need not hurry goes in chunks of this size.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// What an empty list is encoded as: its length.
const EMPTY_LIST_BYTES: usize = 8;
const HEADER_BYTES: usize = 8;
/// The body is a chunk of a message.
const CHUNK: u32 = 1 << 30;
/// Further chunks of the message follow.
const MORE_CHUNKS: u32 = 1 << 31;
const LENGTH: u32 = CHUNK - 1;

/// Why a session's bytes are no frames of ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A body of so many bytes is announced, or gathered from chunks.
    #[error("frame of {0} bytes")]
    TooLarge(usize),
    /// The body is not the one that was sent.
    #[error("frame does not match its checksum")]
    ChecksumMismatch,
    /// The flags are none that we write.
    #[error("frame with unknown flags")]
    UnknownFlags,
}

/// Why a message cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum EncodeError {
    /// It is larger than a frame may be.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It has no encoding.
    #[error(transparent)]
    Encoding(#[from] bincode::Error),
}

/// The body of a frame is no message of ours.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct DecodeError(#[from] bincode::Error);

/// A message as it is sent: bytes of its own, and after them those that it
/// shares with messages to others.
#[derive(Debug, Clone)]
pub struct EncodedMessage {
    own: Vec<u8>,
    shared: Option<Arc<[u8]>>,
    /// Nobody waits for it from then on.
    expires: Option<Instant>,
}

impl EncodedMessage {
    /// Encodes a message from a peer.
    pub fn new(from: Peer, message: &Message) -> Result<EncodedMessage, EncodeError> {
        let encoded = match message {
            Message::RenewReply(reply) if !reply.updates.is_empty() => {
                EncodedMessage::sharing_updates(from, reply)?
            }
            _ => EncodedMessage {
                own: bincode::serialize(&(from, message))?,
                shared: None,
                expires: message.awaited().map(|span| Instant::now() + span),
            },
        };
        if encoded.len() > FRAME_BYTES {
            return Err(FrameError::TooLarge(encoded.len()).into());
        }
        Ok(encoded)
    }

    /// Updates is the last field of a reply, so it stands at the end.
    fn sharing_updates(from: Peer, reply: &RenewReply) -> Result<EncodedMessage, EncodeError> {
        let without = RenewReply {
            updates: SharedUpdates::default(),
            ..reply.clone()
        };
        let mut own = bincode::serialize(&(from, Message::from(without)))?;
        own.truncate(own.len() - EMPTY_LIST_BYTES);
        Ok(EncodedMessage {
            own,
            shared: Some(reply.updates.encoded()),
            expires: None,
        })
    }

    /// Whether nobody waits for it any more.
    pub fn expired(&self) -> bool {
        self.expires.is_some_and(|end| Instant::now() >= end)
    }

    /// Bytes of the complete message.
    pub fn len(&self) -> usize {
        self.own.len() + self.shared().map_or(0, |shared| shared.len())
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that no other message has.
    pub fn own_len(&self) -> usize {
        self.own.len()
    }

    /// Bytes that other messages have, too.
    pub fn shared(&self) -> Option<&Arc<[u8]>> {
        self.shared.as_ref()
    }

    /// Appends the whole message as one frame.
    pub fn write_whole(&self, out: &mut Vec<u8>) {
        self.write_frame(0, self.len(), 0, out);
    }

    /// Appends the chunk that begins at `from`, and returns where it ends. A
    /// message that fits into one chunk is one frame.
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
        let word = ((to - from) as u32 | flags).to_be_bytes();
        let start = out.len();
        out.extend(word);
        out.extend([0; HEADER_BYTES - 4]);
        let own = self.own.len();
        out.extend(&self.own[from.min(own)..to.min(own)]);
        if let Some(shared) = &self.shared {
            out.extend(&shared[from.max(own) - own..to.max(own) - own]);
        }
        let sum = checksum(word, &out[start + HEADER_BYTES..]);
        out[start + 4..start + HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
    }
}

/// A message as one frame.
pub fn write(from: Peer, message: &Message) -> Result<Vec<u8>, EncodeError> {
    let mut frame = Vec::new();
    EncodedMessage::new(from, message)?.write_whole(&mut frame);
    Ok(frame)
}

/// Reads a whole message back; nothing may be left over.
pub fn decode(body: &[u8]) -> Result<(Peer, Message), DecodeError> {
    let options = bincode::options()
        .with_fixint_encoding()
        .with_limit(FRAME_BYTES as u64);
    Ok(options.deserialize(body)?)
}

fn checksum(word: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&word);
    hasher.update(body);
    hasher.finalize()
}

/// Finds the messages in the bytes of one session, however they are cut. Holds
/// memory only while a message is incomplete.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// The start of a frame whose end has not come.
    partial: Vec<u8>,
    /// Pieces of a message whose last has not come.
    gathered: Vec<u8>,
}

impl FrameDecoder {
    /// Hands the body of each message that is complete by now to `take`.
    pub fn feed(&mut self, bytes: &[u8], take: &mut dyn FnMut(&[u8])) -> Result<(), FrameError> {
        if self.partial.is_empty() {
            let used = self.take_frames(bytes, take)?;
            self.partial.extend(&bytes[used..]);
            return Ok(());
        }
        self.partial.extend(bytes);
        let partial = std::mem::take(&mut self.partial);
        let used = self.take_frames(&partial, take)?;
        if used < partial.len() {
            self.partial = partial;
            self.partial.drain(..used);
        }
        Ok(())
    }

    /// Bytes held of what is incomplete.
    pub fn held(&self) -> usize {
        self.partial.len() + self.gathered.len()
    }

    /// Returns how many bytes the complete frames take.
    fn take_frames(
        &mut self,
        bytes: &[u8],
        take: &mut dyn FnMut(&[u8]),
    ) -> Result<usize, FrameError> {
        let mut used = 0;
        while let Some(header) = bytes[used..].first_chunk::<HEADER_BYTES>() {
            let [a, b, c, d, sum @ ..] = *header;
            let word = [a, b, c, d];
            let flagged = u32::from_be_bytes(word);
            let length = (flagged & LENGTH) as usize;
            if length > FRAME_BYTES {
                return Err(FrameError::TooLarge(length));
            }
            let start = used + HEADER_BYTES;
            let Some(body) = bytes.get(start..start + length) else {
                break;
            };
            if checksum(word, body) != u32::from_be_bytes(sum) {
                return Err(FrameError::ChecksumMismatch);
            }
            self.take_body(flagged & !LENGTH, body, take)?;
            used = start + length;
        }
        Ok(used)
    }

    fn take_body(
        &mut self,
        flags: u32,
        body: &[u8],
        take: &mut dyn FnMut(&[u8]),
    ) -> Result<(), FrameError> {
        match flags {
            0 => take(body),
            MORE_CHUNKS => return Err(FrameError::UnknownFlags),
            _ => {
                let bytes = self.gathered.len() + body.len();
                if bytes > FRAME_BYTES {
                    return Err(FrameError::TooLarge(bytes));
                }
                self.gathered.extend(body);
                if flags & MORE_CHUNKS == 0 {
                    take(&std::mem::take(&mut self.gathered));
                }
            }
        }
        Ok(())
    }
}
