//! Partitions of the control state and of the shared cache, and the names of
//! the assignments that edges hold.
use crate::prelude::*;

/// The configuration document and its named items. The first
/// [`PUBLISHED_PARTITIONS`] are published to the edges, one version each; the
/// others hold the ledger of operations. Each has one leader at a time.
pub const CONFIGURATION_PARTITION: u8 = 0;

/// Purges of cached responses.
pub const PURGES_PARTITION: u8 = 1;

/// The list of origins.
pub const ORIGINS_PARTITION: u8 = 2;

/// Which edge owns which assignment, and the registry of edges.
pub const ASSIGNMENTS_PARTITION: u8 = 3;

/// Who holds the slots of the control plane.
pub const MEMBERSHIP_PARTITION: u8 = 4;

/// How many partitions are published to edges.
pub const PUBLISHED_PARTITIONS: u8 = 5;

/// How many partitions the ledger of operations has.
pub const LEDGER_PARTITIONS: u8 = 16;

/// All partitions of the control state.
pub const PARTITIONS: u8 = PUBLISHED_PARTITIONS + LEDGER_PARTITIONS;

/// Slots of the control plane at most; epochs are told apart by it.
pub const MAX_SLOTS: usize = 16;

/// How many partitions the cached responses of one ring have.
pub const CACHE_PARTITIONS: u16 = 256;

/// This many purges are kept as rows, one over the other; an edge further
/// behind than that drops its whole cache.
pub const MAX_RETAINED_PURGES: u64 = 1024;

/// The partition that holds an operation key.
pub fn ledger_partition(operation: &str) -> u8 {
    PUBLISHED_PARTITIONS + Sha256::digest(operation.as_bytes())[0] % LEDGER_PARTITIONS
}

/// The cache partition of a cache key.
pub fn cache_partition(key: &CacheKey) -> u16 {
    u16::from_be_bytes([key[0], key[1]]) % CACHE_PARTITIONS
}

/// A SHA-256 that stands for one cached response, or for one request.
pub type CacheKey = [u8; 32];

/// The assignment of a cache partition of one ring. Responses do not cross
/// between rings.
pub fn cache_assignment(ring: &str, partition: u16) -> String {
    if ring.is_empty() {
        format!("cache/{partition:03}")
    } else {
        format!("cache/{ring}/{partition:03}")
    }
}

/// The ring whose edges may own an assignment; none: any edge.
pub fn assignment_ring(assignment: &str) -> Option<&str> {
    let (ring, _) = assignment
        .strip_prefix("cache/")?
        .rsplit_once('/')
        .unwrap_or_default();
    Some(ring)
}

/// Where a process runs, and what its machine can carry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Locality {
    /// Its zone.
    pub zone: String,
    /// Its region: zones of one region are near each other.
    pub region: String,
    /// The ring of cache partitions that it takes part in.
    pub ring: String,
    /// What this machine can carry beside others; 0 counts as 1.
    pub weight: u32,
}

/// Of the control node that reads the platform's list of origins.
pub const ORIGIN_LIST_ASSIGNMENT: &str = "slice/origins";

/// The assignment of a service's admission controller.
pub fn admission_assignment(service: &str) -> String {
    format!("gate/{service}")
}
