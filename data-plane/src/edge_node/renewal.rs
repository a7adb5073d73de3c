//! Renewals of this edge's lease and the updates they bring.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn renew(&mut self, now: Duration) {
        if self.departed {
            return;
        }
        self.next_renewal = now + lease::EDGE_TICK;
        self.renew_with(now, self.control_nodes.clone());
    }

    pub(super) fn renew_with(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        let usage = Usage {
            cache_hits: self.cache_owner.hits,
            pending: self.active_requests.len() as u64,
            ..self.usage.clone()
        };
        // Keyed errands begun in an earlier generation still have their end to tell.
        let old = |active: &ActiveRequest| {
            active.claim.is_some() && active.started_at < self.generation_entered_at
        };
        let recalled =
            self.unconfirmed_changes.is_empty() && !self.active_requests.values().any(old);
        let found = self
            .admission_controllers
            .values()
            .flat_map(|admission| admission.origin_health(now))
            .collect();
        let renew = RenewRequest {
            sent: now,
            last_token: None,
            generation: self.generation,
            recall_complete: recalled,
            version_vector: self.version_vector.clone(),
            zone: self.locality.zone.clone(),
            ring: self.locality.ring.clone(),
            weight: self.locality.weight,
            draining: self.shutdown_requested_at.is_some(),
            usage,
            origin_health: found,
        };
        for seed in seeds {
            let heard = self.renewal_tokens.get(&seed).copied();
            self.send(
                seed,
                RenewRequest {
                    last_token: heard,
                    ..renew.clone()
                },
            );
        }
    }

    /// Who nudged shows what we lack: it is asked alone, the others are told
    /// once it is applied.
    pub(super) fn handle_update_notice(&mut self, now: Duration, from: Peer, nudge: &UpdateNotice) {
        self.renewal_tokens
            .insert(from.address, nudge.renewal_token);
        let known = self
            .version_vector
            .get(usize::from(nudge.partition))
            .is_some_and(|known| *known >= nudge.version);
        if known || self.departed {
            return;
        }
        if self.control_nodes.contains(&from.address) {
            self.renew_with(now, vec![from.address])
        } else {
            self.renew(now)
        }
    }

    pub(super) fn handle_renew_reply(&mut self, now: Duration, from: Peer, renewed: RenewReply) {
        if renewed.incarnation != self.local_peer.incarnation
            || !self.control_nodes.contains(&from.address)
            || self.departed
        {
            return;
        }
        if Generation::older(renewed.generation, self.generation) && renewed.generation != 0 {
            return; // It has not heard of the new generation yet.
        }
        if renewed.updates.is_empty() {
            let delay = self.link_delay_estimator.record(
                now,
                from.address,
                now.saturating_sub(renewed.sent),
            );
            self.outputs
                .push(Output::Publish(PublishedState::LinkDelay(delay)));
        }
        self.renewal_tokens
            .insert(from.address, renewed.renewal_token);
        let before = std::mem::replace(&mut self.recall_requested, renewed.recall_requested);
        let recall = renewed.recall_requested && !before;
        if renewed.generation != 0 && renewed.generation != self.generation {
            self.enter_generation(now, renewed.generation);
        } else if recall {
            self.resend_completed_operations();
        }
        let mut newer = false;
        for updates in renewed.updates.into_updates() {
            if updates.version > self.version_vector[usize::from(updates.partition)] {
                newer = true;
                self.apply_update(now, updates);
            }
        }
        if self.control_nodes.contains(&from.address) {
            self.leases.renewed(from.address, renewed.sent);
        }
        self.update_liveness(now);
        if newer {
            // Confirm at once: others wait for it.
            self.renew(now);
        }
    }

    /// A new generation: what is known of the old one goes, but for what is told
    /// back; all updates is taken anew. Assignments of the old one are void.
    pub(super) fn enter_generation(&mut self, now: Duration, generation: u64) {
        let before = std::mem::replace(&mut self.generation, generation);
        self.generation_entered_at = now;
        if before == 0 {
            return;
        }
        // What is taken anew may be older at one control node than what was
        // known here: as at a start, two must have told theirs.
        self.leases.clear();
        // Fenced before anything of the new generation is shown.
        self.update_liveness(now);
        self.version_vector = vec![0; PUBLISHED_PARTITIONS.into()];
        self.known_rows = vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()];
        self.configuration_items = Items::default();
        self.assignments.clear();
        self.cache_owner.clear();
        self.near_cache.clear();
        self.purge_log = PurgeLog::default();
        self.sync_assignments(now);
        self.resend_completed_operations();
    }

    pub(super) fn resend_completed_operations(&mut self) {
        let changes: Vec<Change> = self
            .completed_operations
            .iter()
            .map(|(_, claim, reply)| Change::Record(claim.clone(), reply.clone()))
            .collect();
        for change in changes {
            self.send_until_confirmed(Duration::ZERO, change);
        }
    }

    pub(super) fn handle_recall_request(&mut self, from: Peer, partition: u8) {
        if let Some(rows) = self.known_rows.get(usize::from(partition)) {
            let rows = rows
                .iter()
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect();
            self.send(
                from.address,
                RecallReply {
                    partition,
                    version: self.version_vector[usize::from(partition)],
                    rows,
                },
            );
        }
    }

    pub(super) fn apply_update(&mut self, now: Duration, updates: PartitionUpdate) {
        let known = self.version_vector[usize::from(updates.partition)];
        let rows: Vec<(String, Row)> = updates
            .rows
            .into_iter()
            .filter(|(_, row)| row.version > known)
            .collect();
        self.known_rows[usize::from(updates.partition)].extend(rows.iter().cloned());
        match updates.partition {
            PURGES_PARTITION => {
                let applied = self.purge_log.apply(now, updates.version, &rows);
                if applied.has_gap {
                    self.cache_owner.clear();
                    self.near_cache.clear();
                }
                for purge in &applied.new {
                    self.cache_owner.purge(purge);
                    self.near_cache.purge(purge);
                }
            }
            CONFIGURATION_PARTITION => {
                let parts = rows.iter().any(|(_, row)| {
                    matches!(row.value, Value::Configuration { .. } | Value::Item(_))
                });
                rows.into_iter()
                    .for_each(|(key, row)| self.apply_row(key, row));
                if parts {
                    self.apply_configuration(updates.version);
                }
            }
            _ => rows
                .into_iter()
                .for_each(|(key, row)| self.apply_row(key, row)),
        }
        self.version_vector[usize::from(updates.partition)] = updates.version;
        // What assignments are held and how hangs on these three.
        if [
            CONFIGURATION_PARTITION,
            ORIGINS_PARTITION,
            ASSIGNMENTS_PARTITION,
        ]
        .contains(&updates.partition)
        {
            self.sync_assignments(now);
        }
        if updates.partition == ASSIGNMENTS_PARTITION {
            self.forget_departed_edges(now);
        }
    }

    /// The parts as they stand now, made one table. What was acknowledged fits
    /// together; updates shows whole versions only.
    pub(super) fn apply_configuration(&mut self, version: u64) {
        if let Ok((document, bounds)) = self.configuration_items.merged() {
            let table = Arc::new(RouteTable::new(version, document).within(bounds));
            self.routes = Some(table.clone());
            self.log_event(Event::ConfigurationTaken, format!("version {version}"));
            self.outputs
                .push(Output::Publish(PublishedState::Configuration(table)));
        }
    }

    pub(super) fn apply_row(&mut self, key: String, row: Row) {
        match row.value {
            // It was checked before it was acknowledged.
            Value::Configuration { .. } | Value::Item(_) => {
                let _ = self.configuration_items.learn(&key, &row);
            }
            Value::Origins { list, .. } => self.origins = list,
            Value::Assignment(assignment) => {
                self.assignments.insert(key, assignment);
            }
            Value::Members(places) => {
                // Renewals of who no longer holds a slot count for nothing.
                self.control_nodes = places.iter().map(|peer| peer.address).collect();
                self.control_slots = places.len();
                self.leases.retain(&self.control_nodes);
            }
            Value::Purge { .. }
            | Value::Operation(_)
            | Value::Founded { .. }
            | Value::EdgeRegistry { .. }
            | Value::Enrolled { .. }
            | Value::Opened { .. }
            | Value::Accepted(_)
            | Value::Applied(_) => {}
        }
    }

    pub(super) fn update_liveness(&mut self, now: Duration) {
        let until = self.leases.live_until(self.control_slots);
        let live = now < until && !self.departed;
        if live != self.live {
            self.live = live;
            self.log_event(
                if live { Event::Live } else { Event::Fenced },
                format!("vector {:?}", self.version_vector),
            );
        }
        let ready = self.shutdown_requested_at.is_none() && self.routes.is_some();
        self.outputs.push(Output::Publish(PublishedState::Fence {
            until: if self.departed { Duration::ZERO } else { until },
            ready,
        }));
    }

    pub(super) fn is_live(&self, now: Duration) -> bool {
        !self.departed && now < self.leases.live_until(self.control_slots)
    }
}
