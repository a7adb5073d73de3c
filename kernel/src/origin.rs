//! Origins as listed by the platform, and their responses.
use crate::prelude::*;

/// A complete, verified response of an origin.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// Header names and values in order.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Arc<Vec<u8>>,
    /// Tags set by the origin, matched by purges.
    pub tags: Vec<String>,
}

impl Reply {
    /// Returns the size of headers and body in bytes.
    pub fn bytes(&self) -> usize {
        let header = |(name, value): &(String, String)| name.len() + value.len();
        self.body.len() + self.headers.iter().map(header).sum::<usize>()
    }
}

/// An origin as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Address on which the origin listens.
    pub address: SocketAddr,
    /// Service that the origin belongs to.
    #[validate(length(min = 1, max = 64))]
    pub service: String,
    /// Instance id, which the origin proves with its responses.
    #[validate(length(min = 1, max = 64))]
    pub instance: String,
    /// True if the origin shuts down: it gets no further requests.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// Zone of the origin.
    #[serde(default)]
    pub zone: String,
    /// Region of the origin.
    #[serde(default)]
    pub region: String,
    /// Maximum number of concurrent calls; 0: the limit of its group applies.
    #[serde(default)]
    pub capacity: u32,
    /// Remaining warm-up time (slow start) when the origin was first listed, in
    /// milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}
