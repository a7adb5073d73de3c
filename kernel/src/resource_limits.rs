//! The parts of a process's memory and descriptors that its clients may use.
use crate::prelude::*;

/// Clients may use the memory of an edge divided by this.
const EDGE_CLIENT_MEMORY_DIVISOR: u64 = 2;
/// The memory of an edge divided by this is added if the configuration allows a body that
/// does not fit otherwise.
const EDGE_LARGEST_BODY_MEMORY_DIVISOR: u64 = 8;
/// Operators may use the memory of a control node divided by this: a change is held several
/// times while it is read and replicated.
const OPERATOR_MEMORY_DIVISOR: u64 = 16;
/// Operators may use the memory divided by this if their largest body does not fit
/// otherwise.
const OPERATOR_LARGEST_BODY_MEMORY_DIVISOR: u64 = 8;
/// Memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 1024 * 1024 * 1024;
/// The receive buffers of client connections may use the memory divided by this.
const RECEIVE_BUFFER_MEMORY_DIVISOR: u64 = 8;
/// Bytes that may arrive on a client connection before they are read.
const RECEIVE_BUFFER_BYTES: u64 = 64 * 1024;
/// Descriptors for files outside the data folder, which sockets cannot use.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: u64 = 10_000;
/// Clients of an edge may use the descriptors divided by this.
const EDGE_DESCRIPTOR_DIVISOR: u64 = 3;
/// Calls to origins may use the descriptors of an edge divided by this; the rest is for
/// peers and files.
const CALL_DESCRIPTOR_DIVISOR: u64 = 4;
/// Operators may use the descriptors of a control node divided by this; the others are for
/// sessions with edges, peers and files.
const OPERATOR_DESCRIPTOR_DIVISOR: u64 = 4;
/// Minimum of each number of connections.
const MIN_CONNECTIONS: u64 = 16;

/// Budget of the bytes that an edge holds for its clients.
pub fn edge_byte_budget(startup: &Startup) -> ByteBudget {
    let memory = memory_bytes(startup);
    let limit = memory / EDGE_CLIENT_MEMORY_DIVISOR;
    let ceiling = limit + memory / EDGE_LARGEST_BODY_MEMORY_DIVISOR;
    ByteBudget::new(limit as usize, ceiling as usize)
}

/// Budget of the bytes that a control node holds for operators.
pub fn operator_byte_budget(startup: &Startup) -> ByteBudget {
    let memory = memory_bytes(startup);
    let limit = memory / OPERATOR_MEMORY_DIVISOR;
    let ceiling = memory / OPERATOR_LARGEST_BODY_MEMORY_DIVISOR;
    ByteBudget::new(limit as usize, ceiling as usize)
}

/// Maximum number of connections of an edge with its clients.
pub fn max_edge_connections(startup: &Startup) -> usize {
    max_connections(startup, EDGE_DESCRIPTOR_DIVISOR)
}

/// Maximum number of requests that an edge has in flight, each with at most one call, and
/// the number of connections to origins above which idle ones are closed.
pub fn max_calls(startup: &Startup) -> usize {
    let calls = usable_descriptors(startup) / CALL_DESCRIPTOR_DIVISOR;
    calls.max(MIN_CONNECTIONS) as usize
}

/// Maximum number of connections of a control node with operators.
pub fn max_operator_connections(startup: &Startup) -> usize {
    max_connections(startup, OPERATOR_DESCRIPTOR_DIVISOR)
}

fn max_connections(startup: &Startup, descriptor_divisor: u64) -> usize {
    let by_descriptors = usable_descriptors(startup) / descriptor_divisor;
    let by_memory = memory_bytes(startup) / RECEIVE_BUFFER_MEMORY_DIVISOR / RECEIVE_BUFFER_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS) as usize
}

fn usable_descriptors(startup: &Startup) -> u64 {
    let descriptors = startup.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

fn memory_bytes(startup: &Startup) -> u64 {
    startup.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES)
}
