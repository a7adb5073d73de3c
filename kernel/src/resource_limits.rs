//! The parts of a process's memory that its clients may use.
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

fn memory_bytes(startup: &Startup) -> u64 {
    startup.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES)
}
