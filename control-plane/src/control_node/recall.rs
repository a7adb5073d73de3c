//! Recall: before a partition is founded, and after the loss of a majority of disks, the partition's leader collects
//! the rows that edges were shown.

use super::*;

impl ControlNode {
    /// Enters the current generation, and recalls rows for the partitions led by this node that may lack some.
    pub(super) fn recall_rows(&mut self, now: Duration) {
        self.enter_generation(now);
        self.request_next_generation();
        self.send_recall_requests();
        self.end_recalls(now);
    }

    /// Requests rows from edges that confirmed a newer version than this node holds.
    fn send_recall_requests(&mut self) {
        let mut requests = Vec::new();
        for (partition, leader) in &self.leaders {
            let recalls = leader.is_ready() && leader.recall_until.is_some();
            if recalls && *partition < PUBLISHED_PARTITIONS {
                let edges = self.sessions.edges_ahead_of(*partition, leader.version);
                requests.extend(edges.into_iter().map(|edge| (edge, *partition)));
            }
        }
        for (edge, partition) in requests {
            self.send(edge, RecallRequest { partition });
        }
    }

    /// Founds the partitions whose recall period is over.
    fn end_recalls(&mut self, now: Duration) {
        let generation = self.next_generation();
        // The ledger opens only once the generation shows whether rows were lost.
        let has_generation = self.generation.current != 0;
        let mut registry = None;
        let mut is_generation_founded = false;
        for (partition, leader) in &mut self.leaders {
            let is_over = leader.recall_until.is_some_and(|until| now >= until);
            let may_end = *partition < PUBLISHED_PARTITIONS || has_generation;
            if !leader.is_ready() || !is_over || !may_end {
                continue;
            }
            leader.recall_until = None;
            registry = leader.edge_registry().or(registry);
            leader.put("founded".into(), Value::Founded { generation });
            is_generation_founded |= *partition == CONFIGURATION_PARTITION;
        }
        let earlier = self.generation.registry_before_loss.take();
        self.generation.registry_before_loss = registry.or(earlier);
        if is_generation_founded {
            self.log_event(Event::GenerationFounded, format!("realm {generation:016x}"));
        }
    }

    /// Returns the generation that follows all known at this node or at edges.
    fn next_generation(&self) -> u64 {
        let sessions = self.sessions.all_sessions();
        let reported = sessions.iter().map(|session| session.generation).max();
        let latest = reported.unwrap_or(0).max(self.replica.generation());
        Generation::after(latest, self.replica.incarnation)
    }

    /// Handles the rows that an edge was shown.
    pub(super) fn handle_recall_reply(&mut self, reply: RecallReply) {
        let RecallReply {
            partition,
            version,
            rows,
        } = reply;
        let Some(leader) = self.leaders.get_mut(&partition) else {
            return;
        };
        if leader.recall_until.is_none() || leader.version >= version {
            return;
        }
        let newer = leader.merge_recalled_rows(version, rows);
        self.assignments.tokens_at_grant = self.sessions.issued_tokens();
        let text = format!("slice {partition}: {newer} rows up to version {version}");
        self.log_event(Event::RowsRecalled, text);
    }
}
