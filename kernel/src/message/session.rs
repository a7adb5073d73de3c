//! Sessions of edges with control nodes, and the state that edges report through them.
use crate::prelude::*;

/// An edge's session at a control node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SessionInfo {
    /// The edge.
    pub peer: Peer,
    /// The edge's zone.
    pub zone: String,
    /// The ring of cache partitions that the edge is a member of.
    pub ring: String,
    /// Relative capacity of the edge's machine (minimum 1).
    pub weight: u32,
    /// True if the edge shuts down and its assignments move.
    pub draining: bool,
    /// The edge's generation of the control state.
    pub generation: u64,
    /// True if the edge has reported all it knew of earlier generations.
    pub recall_complete: bool,
    /// The confirmed version of each published partition.
    pub version_vector: Vec<u64>,
    /// Requests served since the edge's start.
    pub usage: Usage,
    /// Health of the origins of the edge's admission controllers.
    pub origin_health: Vec<OriginHealth>,
}

/// Proves that an edge was alive after the token was sent: the edge returns it
/// with its next renewal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RenewalToken {
    /// Identifies the control node's process.
    pub run: u64,
    /// Counter that increases within the process.
    pub count: u64,
}

/// The difference between a table of sessions and an earlier state of it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct SessionsDelta {
    /// State that the delta applies to; 0: an empty table.
    pub from: u64,
    /// Resulting state.
    pub to: u64,
    /// Checksum of the complete resulting table: a receiver that computes another
    /// value does not have that state.
    pub checksum: u64,
    /// Sessions that are new or changed.
    pub upserted: Vec<SessionInfo>,
    /// Sessions that ended.
    pub removed: Vec<Peer>,
    /// For each published partition, the highest version currently confirmed at
    /// the sender and the edge that confirmed it. Sent in full since version
    /// vectors increase with every change.
    pub newest: Vec<(u64, Peer)>,
}

impl SessionInfo {
    /// Returns the fields that decisions of other nodes depend on; the others are
    /// for operators only.
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

    /// Returns a checksum of the decision fields.
    pub fn checksum(&self) -> u64 {
        let bytes = bincode::serialize(&self.decision_fields()).expect("sessions serialize");
        u64::from_be_bytes(Sha256::digest(bytes)[..8].try_into().expect("eight bytes"))
    }
}

/// The health of an origin as its admission controller sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OriginHealth {
    /// The address on which the origin listens.
    pub address: SocketAddr,
    /// The service that the origin belongs to.
    pub service: String,
    /// The origin's instance id.
    pub instance: String,
    /// The condition that decides whether the origin may be called.
    pub condition: OriginCondition,
    /// Number of calls in flight.
    pub calls: u32,
}

/// The condition that decides whether an origin may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OriginCondition {
    /// The origin proved its identity recently.
    Proven,
    /// The origin has not proved its identity recently.
    Unproven,
    /// The origin failed and is not called for some time (outlier ejection).
    #[serde(rename = "aside")]
    Ejected,
}

/// Counters of the requests that an edge served since its start. The JSON that
/// operators read has the names given by the `rename` attributes.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests received.
    #[serde(rename = "errands")]
    pub requests: u64,
    /// Requests served from the edge's own near cache, without contacting the owner.
    #[serde(rename = "near")]
    pub near_cache_hits: u64,
    /// Requests that ended with a response.
    #[serde(rename = "answered")]
    pub completed: u64,
    /// Requests that ended with a rejection.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests served from the shared cache.
    #[serde(rename = "copies")]
    pub cache_hits: u64,
    /// Number of calls to origins.
    pub calls: u64,
    /// Number of calls that were retries.
    #[serde(rename = "extra")]
    pub retries: u64,
    /// Number of requests in flight.
    pub pending: u64,
    /// Number of clients that disconnected before their response.
    #[serde(rename = "left")]
    pub client_disconnects: u64,
    /// Calls started, or kept in flight, for clients that had disconnected; must
    /// stay 0.
    pub abandoned: u64,
}
