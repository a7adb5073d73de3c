//! The parts of a process's memory and descriptors that its clients may use.
use crate::prelude::*;

/// Clients may use one of this many parts of the memory of an edge.
const EDGE_CLIENT_MEMORY_PARTS: u64 = 2;
/// One of this many parts of an edge's memory is added to the half if the configuration
/// allows a body that is larger.
const EDGE_LARGEST_BODY_MEMORY_PARTS: u64 = 8;
/// Operators may use one of this many parts of the memory of a control node: a change is
/// held several times while it is read and replicated.
const OPERATOR_MEMORY_PARTS: u64 = 16;
/// One of this many parts of a control node's memory may be used if the largest body of an
/// operator needs it.
const OPERATOR_LARGEST_BODY_MEMORY_PARTS: u64 = 8;
/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 1024 * 1024 * 1024;
/// The receive buffers of client connections may use one of this many parts of the memory.
const RECEIVE_BUFFER_MEMORY_PARTS: u64 = 8;
/// Bytes that may arrive on a client connection before they are read.
const RECEIVE_BUFFER_BYTES: u64 = 64 * 1024;
/// Descriptors for files outside the data folder, which sockets cannot use.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: u64 = 10_000;
/// Clients of an edge may use one of this many parts of the descriptors.
const EDGE_DESCRIPTOR_PARTS: u64 = 3;
/// Calls to origins may use one of this many parts of the descriptors of an edge; the rest
/// is for peers and files.
const CALL_DESCRIPTOR_PARTS: u64 = 4;
/// Operators may use one of this many parts of the descriptors of a control node; the
/// others are for sessions with edges, peers and files.
const OPERATOR_DESCRIPTOR_PARTS: u64 = 4;
/// Minimum of each number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// Budget of the bytes that an edge holds for its clients.
pub fn edge_byte_budget(startup: &Startup) -> ByteBudget {
    let memory = memory_bytes(startup);
    let limit = memory / EDGE_CLIENT_MEMORY_PARTS;
    let ceiling = limit + memory / EDGE_LARGEST_BODY_MEMORY_PARTS;
    ByteBudget::new(limit as usize, ceiling as usize)
}

/// Budget of the bytes that a control node holds for operators.
pub fn operator_byte_budget(startup: &Startup) -> ByteBudget {
    let memory = memory_bytes(startup);
    let limit = memory / OPERATOR_MEMORY_PARTS;
    let ceiling = memory / OPERATOR_LARGEST_BODY_MEMORY_PARTS;
    ByteBudget::new(limit as usize, ceiling as usize)
}

/// Maximum number of connections of an edge with its clients.
pub fn max_edge_connections(startup: &Startup) -> usize {
    max_connections(startup, EDGE_DESCRIPTOR_PARTS)
}

/// Maximum number of requests that an edge has in flight, each with at most one call, and
/// the number of connections to origins above which idle ones are closed.
pub fn max_calls(startup: &Startup) -> usize {
    let calls = usable_descriptors(startup) / CALL_DESCRIPTOR_PARTS;
    calls.max(MIN_CONNECTIONS) as usize
}

/// Maximum number of connections of a control node with operators.
pub fn max_operator_connections(startup: &Startup) -> usize {
    max_connections(startup, OPERATOR_DESCRIPTOR_PARTS)
}

fn max_connections(startup: &Startup, descriptor_parts: u64) -> usize {
    let by_descriptors = usable_descriptors(startup) / descriptor_parts;
    let by_memory = memory_bytes(startup) / RECEIVE_BUFFER_MEMORY_PARTS / RECEIVE_BUFFER_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
}

fn usable_descriptors(startup: &Startup) -> u64 {
    let descriptors = startup.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

fn memory_bytes(startup: &Startup) -> u64 {
    startup.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES)
}
