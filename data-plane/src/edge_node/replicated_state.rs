//! The part of the replicated state that an edge knows.
use crate::prelude::*;

/// The rows that this edge has received, and what it uses of them.
pub(super) struct ReplicatedState {
    /// The generation of the state; 0 before the first update.
    pub(super) generation: u64,
    pub(super) generation_entered_at: Duration,
    /// The version of each partition that was applied completely.
    pub(super) version_vector: Vec<u64>,
    /// Every row that was received, by partition, in case the control plane loses it.
    pub(super) known_rows: Vec<BTreeMap<String, Row>>,
    pub(super) routes: Option<Arc<RouteTable>>,
    /// The configuration items that the routes were built of.
    pub(super) configuration_items: Items,
    pub(super) origins: Arc<Vec<Origin>>,
    pub(super) assignments: HashMap<String, Assignment>,
    pub(super) purge_log: PurgeLog,
}

impl Default for ReplicatedState {
    fn default() -> ReplicatedState {
        ReplicatedState {
            generation: 0,
            generation_entered_at: Duration::ZERO,
            version_vector: vec![0; PUBLISHED_PARTITIONS.into()],
            known_rows: vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()],
            routes: None,
            configuration_items: Items::default(),
            origins: Arc::default(),
            assignments: HashMap::new(),
            purge_log: PurgeLog::default(),
        }
    }
}

impl ReplicatedState {
    /// Enters a generation: all updates are applied anew. Routes and origins stay
    /// in force until then.
    pub(super) fn reset(&mut self) {
        self.version_vector = vec![0; PUBLISHED_PARTITIONS.into()];
        self.known_rows = vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()];
        self.configuration_items = Items::default();
        self.assignments.clear();
        self.purge_log = PurgeLog::default();
    }
}
