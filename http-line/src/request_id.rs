//! Request ids, composed of the connection's token and the request's sequence
//! number on that connection.

/// Number of low bits of an id that hold the sequence number.
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

/// Returns true if a connection has no id left for a request with this sequence
/// number.
pub(crate) fn is_exhausted(sequence: u64) -> bool {
    sequence >> SEQUENCE_BITS != 0
}
