//! Applies updates of the replicated state.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    /// Applies the updates that are newer than the known state. Returns true if
    /// there were any.
    pub(super) fn apply_updates(&mut self, now: Duration, updates: SharedUpdates) -> bool {
        let mut has_applied = false;
        for update in updates.into_updates() {
            if update.version > self.state.version_vector[usize::from(update.partition)] {
                has_applied = true;
                self.apply_update(now, update);
            }
        }
        has_applied
    }

    fn apply_update(&mut self, now: Duration, update: PartitionUpdate) {
        let PartitionUpdate {
            partition,
            version,
            rows,
        } = update;
        let index = usize::from(partition);
        let applied = self.state.version_vector[index];
        let rows: Vec<(String, Row)> = rows
            .into_iter()
            .filter(|(_, row)| row.version > applied)
            .collect();
        self.state.known_rows[index].extend(rows.iter().cloned());
        match partition {
            PURGES_PARTITION => self.apply_purges(now, version, &rows),
            CONFIGURATION_PARTITION => self.apply_configuration_rows(version, rows),
            _ => self.apply_rows(rows),
        }
        self.state.version_vector[index] = version;
        // The assignments of this edge depend on these three partitions.
        let affects_assignments = [
            CONFIGURATION_PARTITION,
            ORIGINS_PARTITION,
            ASSIGNMENTS_PARTITION,
        ];
        if affects_assignments.contains(&partition) {
            self.sync_assignments(now);
        }
        if partition == ASSIGNMENTS_PARTITION {
            self.remove_departed_edges(now);
        }
    }

    fn apply_purges(&mut self, now: Duration, version: u64, rows: &[(String, Row)]) {
        let applied = self.state.purge_log.apply(now, version, rows);
        if applied.has_gap {
            self.cache_owner.clear();
            self.near_cache.clear();
        }
        for purge in &applied.new {
            self.cache_owner.purge(purge);
            self.near_cache.purge(purge);
        }
    }

    fn apply_configuration_rows(&mut self, version: u64, rows: Vec<(String, Row)>) {
        let has_items = rows
            .iter()
            .any(|(_, row)| matches!(row.value, Value::Configuration { .. } | Value::Item(_)));
        self.apply_rows(rows);
        if has_items {
            self.rebuild_routes(version);
        }
    }

    /// Rebuilds the route table from all configuration items. Acknowledged items are
    /// consistent with each other, and updates contain complete versions only.
    fn rebuild_routes(&mut self, version: u64) {
        if let Ok((document, bounds)) = self.state.configuration_items.merged() {
            let routes = Arc::new(RouteTable::new(version, document).with_bounds(bounds));
            self.state.routes = Some(routes.clone());
            self.log_event(Event::ConfigurationTaken, format!("version {version}"));
            self.outputs
                .push(Output::Publish(PublishedState::Configuration(routes)));
        }
    }

    fn apply_rows(&mut self, rows: Vec<(String, Row)>) {
        for (key, row) in rows {
            self.apply_row(key, row);
        }
    }

    fn apply_row(&mut self, key: String, row: Row) {
        match row.value {
            // The item was validated before it was acknowledged.
            Value::Configuration { .. } | Value::Item(_) => {
                let _ = self.state.configuration_items.apply_row(&key, &row);
            }
            Value::Origins { list, .. } => self.state.origins = list,
            Value::Assignment(assignment) => {
                self.state.assignments.insert(key, assignment);
            }
            Value::Members(slots) => {
                // Leases from control nodes that no longer hold a slot are dropped.
                self.control_nodes = slots.iter().map(|peer| peer.address).collect();
                self.control_slots = slots.len();
                self.leases.retain(&self.control_nodes);
            }
            Value::Purge { .. }
            | Value::Operation(_)
            | Value::OperationWithReleases { .. }
            | Value::Founded { .. }
            | Value::EdgeRegistry { .. }
            | Value::Enrolled { .. }
            | Value::Opened { .. }
            | Value::Accepted(_)
            | Value::Applied(_) => {}
        }
    }

    /// Enters a new generation: drops the state of the old one, including its assignments,
    /// so that all updates are applied again. Routes and origins stay in force until then.
    /// Completed operations are kept and reported again.
    pub(super) fn enter_generation(&mut self, now: Duration, generation: u64) {
        let before = std::mem::replace(&mut self.state.generation, generation);
        self.state.generation_entered_at = now;
        if before == 0 {
            return;
        }
        // A single control node may have an older state than this edge had. As after
        // a start, replies from a quorum are required.
        self.leases.clear();
        // Fences the edge before state of the new generation is published.
        self.update_liveness(now);
        self.state.reset();
        self.cache_owner.clear();
        self.near_cache.clear();
        self.sync_assignments(now);
        self.resend_completed_operations();
    }

    /// Sends all known rows of a partition to a control plane that lost its state.
    pub(super) fn handle_recall_request(&mut self, from: Peer, partition: u8) {
        let index = usize::from(partition);
        let Some(known_rows) = self.state.known_rows.get(index) else {
            return;
        };
        let rows = known_rows
            .iter()
            .map(|(key, row)| (key.clone(), row.clone()))
            .collect();
        let reply = RecallReply {
            partition,
            version: self.state.version_vector[index],
            rows,
        };
        self.send(from.address, reply);
    }
}
