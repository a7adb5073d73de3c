//! Origins as the platform lists them, and their responses.
use crate::prelude::*;

/// A complete, verified response of an origin as it goes to a client.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Names and values in order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
    /// What the origin tagged it with, for purges.
    pub tags: Vec<String>,
}

impl Reply {
    /// Bytes of its headers and body.
    pub fn bytes(&self) -> usize {
        let header = |(name, value): &(String, String)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// One origin as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Where it listens.
    pub address: SocketAddr,
    /// The service it belongs to.
    #[validate(length(min = 1, max = 64))]
    pub service: String,
    /// Its instance id, which it proves with its responses.
    #[validate(length(min = 1, max = 64))]
    pub instance: String,
    /// It shuts down: it gets no further requests.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// Calls it works on at a time; 0: as its group says.
    #[serde(default)]
    pub capacity: u32,
    /// How much longer it is warming up (slow start), in milliseconds, when it
    /// was first listed.
    #[serde(default)]
    pub cold_ms: u64,
}
