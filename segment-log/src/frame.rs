//! The file format: a header, followed by checksummed frames that contain records.

/// Header of a file. The last byte is the format version. Files of version 0 can still
/// be read: they have no header, and each frame contains one record instead of a batch.
pub(crate) const HEADER: [u8; 8] = *b"OTSLOG\0\x01";
/// Size of the length and checksum before a frame's content.
pub(crate) const FRAME_PREFIX_BYTES: usize = 8;
/// Size of the length before a record in a batch.
const RECORD_PREFIX_BYTES: usize = 4;
/// Number of bytes that are searched for a valid frame if a file does not start with a
/// header or frame.
const SEARCHED_BYTES: usize = 64 * 1024;

/// The contents of a file.
pub(crate) struct FileContents {
    pub(crate) records: Vec<Vec<u8>>,
    /// Number of valid bytes from the start; the rest is torn or corrupt.
    pub(crate) valid_bytes: usize,
    pub(crate) total_bytes: usize,
    /// True if a valid frame follows the first invalid bytes.
    pub(crate) valid_frame_follows: bool,
    /// True if frames contain batches, and not single records as in version 0.
    pub(crate) has_batches: bool,
}

/// Reasons why a file is not in a supported format.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ForeignContent {
    #[error("format version {found} instead of {expected}")]
    OtherVersion { found: u8, expected: u8 },
    #[error("unknown format")]
    UnknownFormat,
}

/// Parses the contents of a file.
pub(crate) fn parse(bytes: &[u8]) -> Result<FileContents, ForeignContent> {
    let (magic, version) = HEADER.split_at(HEADER.len() - 1);
    if bytes.starts_with(&HEADER) {
        return Ok(read_frames(bytes, HEADER.len(), true));
    }
    if bytes.starts_with(magic) {
        let found = bytes.get(magic.len()).copied().unwrap_or_default();
        let expected = version[0];
        return Err(ForeignContent::OtherVersion { found, expected });
    }
    let searched = &bytes[..bytes.len().min(SEARCHED_BYTES)];
    if !bytes.is_empty() && frame_at(bytes).is_none() && !valid_frame_follows(searched) {
        return Err(ForeignContent::UnknownFormat);
    }
    Ok(read_frames(bytes, 0, false))
}

/// Parses frames from `start` on: batches or, in version 0, single records.
fn read_frames(bytes: &[u8], start: usize, has_batches: bool) -> FileContents {
    let mut records = Vec::new();
    let mut valid_bytes = start;
    while let Some(content) = frame_at(&bytes[valid_bytes..]) {
        if has_batches {
            let Some(mut batch) = decode_batch(content) else {
                break;
            };
            records.append(&mut batch);
        } else {
            records.push(content.to_vec());
        }
        valid_bytes += content.len() + FRAME_PREFIX_BYTES;
    }
    FileContents {
        records,
        valid_bytes,
        total_bytes: bytes.len(),
        valid_frame_follows: valid_frame_follows(&bytes[valid_bytes..]),
        has_batches,
    }
}

/// Returns the content of the frame at the start of `bytes`, if it is complete and
/// valid.
fn frame_at(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_be_bytes(bytes.get(4..8)?.try_into().ok()?);
    let content = bytes.get(FRAME_PREFIX_BYTES..FRAME_PREFIX_BYTES + length)?;
    (length > 0 && crc32fast::hash(content) == checksum).then_some(content)
}

/// Returns true if a valid frame follows invalid bytes. This distinguishes corruption in
/// the middle of a file from a torn write at its end.
fn valid_frame_follows(rest: &[u8]) -> bool {
    (1..rest.len()).any(|offset| frame_at(&rest[offset..]).is_some())
}

/// Encodes a frame with this content.
pub(crate) fn encode_frame(content: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(content.len() + FRAME_PREFIX_BYTES);
    bytes.extend((content.len() as u32).to_be_bytes());
    bytes.extend(crc32fast::hash(content).to_be_bytes());
    bytes.extend(content);
    bytes
}

/// Encodes a record of a batch.
pub(crate) fn encode_record(record: &[u8]) -> Vec<u8> {
    let length = (record.len() as u32).to_be_bytes();
    [&length[..], record].concat()
}

fn decode_batch(mut batch: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !batch.is_empty() {
        let prefix = batch.get(..RECORD_PREFIX_BYTES)?.try_into().ok()?;
        let end = RECORD_PREFIX_BYTES + u32::from_be_bytes(prefix) as usize;
        records.push(batch.get(RECORD_PREFIX_BYTES..end)?.to_vec());
        batch = &batch[end..];
    }
    Some(records)
}
