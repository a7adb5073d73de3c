//! Request ids: the token of the connection, and the request's sequence number
//! on it.

/// Low bits of an id that are the sequence number.
const SEQUENCE_BITS: u32 = 24;

pub(crate) fn request_id(token: usize, sequence: u64) -> u64 {
    ((token as u64) << SEQUENCE_BITS) | sequence
}

pub(crate) fn token_of(request_id: u64) -> usize {
    (request_id >> SEQUENCE_BITS) as usize
}

pub(crate) fn sequence_of(request_id: u64) -> u64 {
    request_id & ((1 << SEQUENCE_BITS) - 1)
}

/// Whether a connection has no more ids for a request with this number.
pub(crate) fn is_exhausted(sequence: u64) -> bool {
    sequence >> SEQUENCE_BITS != 0
}
