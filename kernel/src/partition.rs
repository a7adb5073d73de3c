//! Partitions of the control state and of the shared cache, and the names of
//! the assignments that edges hold.
//!
//! Each partition of the control state has one leader at a time. The first
//! [`PUBLISHED_PARTITIONS`] partitions are published to the edges, with one version
//! each; the others hold the ledger of operations.
use crate::prelude::*;

/// Partition of the configuration: the document and the named items.
pub const CONFIGURATION_PARTITION: u8 = 0;

/// Partition of the purges of cached responses.
pub const PURGES_PARTITION: u8 = 1;

/// Partition of the list of origins.
pub const ORIGINS_PARTITION: u8 = 2;

/// Partition of the assignments' owners and of the registry of edges.
pub const ASSIGNMENTS_PARTITION: u8 = 3;

/// Partition of the members that hold the slots of the control plane.
pub const MEMBERSHIP_PARTITION: u8 = 4;

/// Number of partitions that are published to edges.
pub const PUBLISHED_PARTITIONS: u8 = 5;

/// Number of partitions of the ledger of operations.
pub const LEDGER_PARTITIONS: u8 = 16;

/// Number of partitions of the control state.
pub const PARTITIONS: u8 = PUBLISHED_PARTITIONS + LEDGER_PARTITIONS;

/// Maximum number of slots of the control plane. An epoch modulo this number is its
/// leader's slot, so two slots never use the same epoch.
pub const MAX_SLOTS: usize = 16;

/// Number of cache partitions of one ring.
pub const CACHE_PARTITIONS: u16 = 256;

/// Maximum number of purges kept as rows, in a ring buffer; an edge that lags further
/// behind drops its complete cache.
pub const MAX_RETAINED_PURGES: u64 = 1024;

/// Returns the partition that holds an operation key.
pub fn ledger_partition(operation: &str) -> u8 {
    PUBLISHED_PARTITIONS + Sha256::digest(operation.as_bytes())[0] % LEDGER_PARTITIONS
}

/// Returns the cache partition of a cache key.
pub fn cache_partition(key: &CacheKey) -> u16 {
    u16::from_be_bytes([key[0], key[1]]) % CACHE_PARTITIONS
}

/// A SHA-256 that identifies a cached response or a request.
pub type CacheKey = [u8; 32];

/// Returns the name of the assignment of a cache partition of one ring. Responses
/// are not shared between rings.
pub fn cache_assignment(ring: &str, partition: u16) -> String {
    if ring.is_empty() {
        format!("cache/{partition:03}")
    } else {
        format!("cache/{ring}/{partition:03}")
    }
}

/// Returns the ring whose edges may own an assignment; `None`: any edge.
pub fn assignment_ring(assignment: &str) -> Option<&str> {
    let (ring, _) = assignment
        .strip_prefix("cache/")?
        .rsplit_once('/')
        .unwrap_or_default();
    Some(ring)
}

/// Location of a process and the capacity of its machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Locality {
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine: the zones of one region are near each other.
    pub region: String,
    /// Ring of cache partitions that the process is a member of.
    pub ring: String,
    /// Relative capacity of the machine; 0 is treated as 1.
    pub weight: u32,
}

/// Name of the assignment of the control node that reads the platform's list of origins.
pub const ORIGIN_LIST_ASSIGNMENT: &str = "slice/origins";

/// Returns the name of the assignment of a service's admission controller.
pub fn admission_assignment(service: &str) -> String {
    format!("gate/{service}")
}
