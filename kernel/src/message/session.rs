//! Sessions of edges with control nodes, and what edges report through them.
use crate::prelude::*;

/// An edge's session at a control node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SessionInfo {
    /// The edge.
    pub peer: Peer,
    /// The edge's zone.
    pub zone: String,
    /// The ring of cache partitions it takes part in.
    pub ring: String,
    /// What it can carry beside other edges (1: the least).
    pub weight: u32,
    /// It shuts down: its assignments move.
    pub draining: bool,
    /// The generation that it goes by.
    pub generation: u64,
    /// It has reported all it knew of earlier generations.
    pub recall_complete: bool,
    /// The version it has confirmed of each published partition.
    pub version_vector: Vec<u64>,
    /// What it has served since its start.
    pub usage: Usage,
    /// How the origins of its admission controllers are doing.
    pub origin_health: Vec<OriginHealth>,
}

/// Proves that an edge was alive after the token was sent: the edge gives it
/// back with its next renewal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RenewalToken {
    /// The control node's process.
    pub run: u64,
    /// Rises within the process.
    pub count: u64,
}

/// How a table of sessions differs from an earlier state of it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SessionsDelta {
    /// The state that it is applied to; 0: an empty table.
    pub from: u64,
    /// The state that comes of it.
    pub to: u64,
    /// The checksum of the complete table afterwards: a receiver that comes to
    /// another one does not have it.
    pub checksum: u64,
    /// Sessions that are new or changed.
    pub upserted: Vec<SessionInfo>,
    /// Sessions that ended.
    pub removed: Vec<Peer>,
    /// For each published partition the highest version confirmed at the sender
    /// right now, and by whom: version vectors rise with each change and are
    /// not sent as differences.
    pub newest: Vec<(u64, Peer)>,
}

impl SessionInfo {
    /// All that others' decisions depend on; the rest is for operators to read.
    pub fn decision_fields(&self) -> (Peer, &str, &str, u32, bool, u64, bool) {
        (
            self.peer,
            &self.zone,
            &self.ring,
            self.weight,
            self.draining,
            self.generation,
            self.recall_complete,
        )
    }

    /// The checksum of its core.
    pub fn checksum(&self) -> u64 {
        let bytes = bincode::serialize(&self.decision_fields()).expect("sessions serialize");
        u64::from_be_bytes(Sha256::digest(bytes)[..8].try_into().expect("eight bytes"))
    }
}

/// An origin as its admission controller judges it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginHealth {
    /// Where it listens.
    pub address: SocketAddr,
    /// The service it belongs to.
    pub service: String,
    /// Its instance id.
    pub instance: String,
    /// Whether it may be called.
    pub condition: OriginCondition,
    /// Calls in flight.
    pub calls: u32,
}

/// Whether an origin may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OriginCondition {
    /// It proved its identity recently.
    Proven,
    /// It has not proved its identity, or not recently.
    Unproven,
    /// It failed and is not called for a while (outlier ejection).
    #[serde(rename = "aside")]
    Ejected,
}

/// What an edge has served since its start. Goes out as JSON to operators,
/// under the names it always had.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Requests received.
    #[serde(rename = "errands")]
    pub requests: u64,
    /// Served from the edge's own near cache, without asking the owner.
    #[serde(rename = "near")]
    pub near_cache_hits: u64,
    /// Answered with a response.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Answered with a rejection.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Served from the shared cache.
    #[serde(rename = "copies")]
    pub cache_hits: u64,
    /// Calls to origins.
    pub calls: u64,
    /// Calls that were retries.
    #[serde(rename = "extra")]
    pub retries: u64,
    /// Requests in flight.
    pub pending: u64,
    /// Clients that disconnected before their response.
    #[serde(rename = "left")]
    pub client_disconnects: u64,
    /// Calls begun, or kept in flight, for clients that had disconnected; must
    /// stay 0.
    pub abandoned: u64,
}
