//! The part of the replicated state that an edge receives.
use crate::prelude::*;

/// The rows that this edge has received, and the state derived from them.
pub(super) struct ReplicatedState {
    /// The generation of the state; 0 before the first update.
    pub(super) generation: u64,
    pub(super) generation_entered_at: Duration,
    /// The last version of each partition that was applied completely.
    pub(super) version_vector: Vec<u64>,
    /// All received rows by partition, for a control plane that lost them.
    pub(super) known_rows: Vec<BTreeMap<String, Row>>,
    pub(super) routes: Option<Arc<RouteTable>>,
    /// The configuration items from which the routes were built.
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
    /// Resets the state for a new generation, in which all updates are applied again.
    /// Routes and origins stay in force until then.
    pub(super) fn reset(&mut self) {
        self.version_vector = vec![0; PUBLISHED_PARTITIONS.into()];
        self.known_rows = vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()];
        self.configuration_items = Items::default();
        self.assignments.clear();
        self.purge_log = PurgeLog::default();
    }
}
