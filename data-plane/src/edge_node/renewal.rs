//! Renewals of this edge's lease and the updates they bring.
use super::EdgeNode;
use crate::prelude::*;

impl EdgeNode {
    pub(super) fn renew(&mut self, now: Duration) {
        if self.left {
            return;
        }
        self.next_renew = now + lease::EDGE_TICK;
        self.renew_with(now, self.seeds.clone());
    }

    pub(super) fn renew_with(&mut self, now: Duration, seeds: Vec<SocketAddr>) {
        let usage = Usage {
            cache_hits: self.cache.given,
            pending: self.jobs.len() as u64,
            ..self.usage.clone()
        };
        // Keyed errands begun in an earlier generation still have their end to tell.
        let old = |job: &Job| job.claim.is_some() && job.began < self.entered;
        let recalled = self.loose.is_empty() && !self.jobs.values().any(old);
        let found = self
            .admissions
            .values()
            .flat_map(|admission| admission.found(now))
            .collect();
        let renew = RenewRequest {
            sent: now,
            last_token: None,
            generation: self.generation,
            recall_complete: recalled,
            version_vector: self.vector.clone(),
            zone: self.locality.zone.clone(),
            ring: self.locality.ring.clone(),
            weight: self.locality.weight,
            draining: self.warned.is_some(),
            usage,
            origin_health: found,
        };
        for seed in seeds {
            let heard = self.renewal_tokens.get(&seed).copied();
            self.tell(
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
    pub(super) fn nudged(&mut self, now: Duration, from: Peer, nudge: &UpdateNotice) {
        self.renewal_tokens
            .insert(from.address, nudge.renewal_token);
        let known = self
            .vector
            .get(usize::from(nudge.partition))
            .is_some_and(|known| *known >= nudge.version);
        if known || self.left {
            return;
        }
        if self.seeds.contains(&from.address) {
            self.renew_with(now, vec![from.address])
        } else {
            self.renew(now)
        }
    }

    pub(super) fn renewed(&mut self, now: Duration, from: Peer, renewed: RenewReply) {
        if renewed.incarnation != self.me.incarnation
            || !self.seeds.contains(&from.address)
            || self.left
        {
            return;
        }
        if Generation::older(renewed.generation, self.generation) && renewed.generation != 0 {
            return; // It has not heard of the new generation yet.
        }
        if renewed.updates.is_empty() {
            let delay =
                self.link_delay
                    .measured(now, from.address, now.saturating_sub(renewed.sent));
            self.out
                .push(Output::Publish(PublishedState::LinkDelay(delay)));
        }
        self.renewal_tokens
            .insert(from.address, renewed.renewal_token);
        let before = std::mem::replace(&mut self.recalling, renewed.recall_requested);
        let recall = renewed.recall_requested && !before;
        if renewed.generation != 0 && renewed.generation != self.generation {
            self.enter(now, renewed.generation);
        } else if recall {
            self.tell_ended();
        }
        let mut newer = false;
        for updates in renewed.updates.into_updates() {
            if updates.version > self.vector[usize::from(updates.partition)] {
                newer = true;
                self.learn(now, updates);
            }
        }
        if self.seeds.contains(&from.address) {
            self.leases.renewed(from.address, renewed.sent);
        }
        self.check_live(now);
        if newer {
            // Confirm at once: others wait for it.
            self.renew(now);
        }
    }

    /// A new generation: what is known of the old one goes, but for what is told
    /// back; all updates is taken anew. Assignments of the old one are void.
    pub(super) fn enter(&mut self, now: Duration, generation: u64) {
        let before = std::mem::replace(&mut self.generation, generation);
        self.entered = now;
        if before == 0 {
            return;
        }
        // What is taken anew may be older at one control node than what was
        // known here: as at a start, two must have told theirs.
        self.leases.drop_all();
        // Fenced before anything of the new generation is shown.
        self.check_live(now);
        self.vector = vec![0; PUBLISHED_PARTITIONS.into()];
        self.known = vec![BTreeMap::new(); PUBLISHED_PARTITIONS.into()];
        self.items = Items::default();
        self.assignments.clear();
        self.cache.clear();
        self.near.clear();
        self.book = PurgeBook::default();
        self.sync_assignments(now);
        self.tell_ended();
    }

    pub(super) fn tell_ended(&mut self) {
        let changes: Vec<Change> = self
            .ended
            .iter()
            .map(|(_, claim, reply)| Change::Record(claim.clone(), reply.clone()))
            .collect();
        for change in changes {
            self.tell_later(Duration::ZERO, change);
        }
    }

    pub(super) fn recall(&mut self, from: Peer, partition: u8) {
        if let Some(rows) = self.known.get(usize::from(partition)) {
            let rows = rows
                .iter()
                .map(|(key, row)| (key.clone(), row.clone()))
                .collect();
            self.tell(
                from.address,
                RecallReply {
                    partition,
                    version: self.vector[usize::from(partition)],
                    rows,
                },
            );
        }
    }

    pub(super) fn learn(&mut self, now: Duration, updates: PartitionUpdate) {
        let known = self.vector[usize::from(updates.partition)];
        let rows: Vec<(String, Row)> = updates
            .rows
            .into_iter()
            .filter(|(_, row)| row.version > known)
            .collect();
        self.known[usize::from(updates.partition)].extend(rows.iter().cloned());
        match updates.partition {
            PURGES_PARTITION => {
                let (fresh, missed) = self.book.learn(now, updates.version, &rows);
                if missed {
                    self.cache.clear();
                    self.near.clear();
                }
                for purge in &fresh {
                    self.cache.purge(purge);
                    self.near.purge(purge);
                }
            }
            CONFIGURATION_PARTITION => {
                let parts = rows.iter().any(|(_, row)| {
                    matches!(row.value, Value::Configuration { .. } | Value::Item(_))
                });
                rows.into_iter()
                    .for_each(|(key, row)| self.learn_row(key, row));
                if parts {
                    self.take_configuration(updates.version);
                }
            }
            _ => rows
                .into_iter()
                .for_each(|(key, row)| self.learn_row(key, row)),
        }
        self.vector[usize::from(updates.partition)] = updates.version;
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
            self.forget_gone_askers(now);
        }
    }

    /// The parts as they stand now, made one table. What was acknowledged fits
    /// together; updates shows whole versions only.
    pub(super) fn take_configuration(&mut self, version: u64) {
        if let Ok((document, bounds)) = self.items.merged() {
            let table = Arc::new(RouteTable::new(version, document).within(bounds));
            self.table = Some(table.clone());
            self.note(Event::ConfigurationTaken, format!("version {version}"));
            self.out
                .push(Output::Publish(PublishedState::Configuration(table)));
        }
    }

    pub(super) fn learn_row(&mut self, key: String, row: Row) {
        match row.value {
            // It was checked before it was acknowledged.
            Value::Configuration { .. } | Value::Item(_) => {
                let _ = self.items.learn(&key, &row);
            }
            Value::Origins { list, .. } => self.origins = list,
            Value::Assignment(assignment) => {
                self.assignments.insert(key, assignment);
            }
            Value::Members(places) => {
                // Renewals of who no longer holds a slot count for nothing.
                self.seeds = places.iter().map(|peer| peer.address).collect();
                self.slots = places.len();
                self.leases.keep(&self.seeds);
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

    pub(super) fn check_live(&mut self, now: Duration) {
        let until = self.leases.until(self.slots);
        let live = now < until && !self.left;
        if live != self.live {
            self.live = live;
            self.note(
                if live { Event::Live } else { Event::Fenced },
                format!("vector {:?}", self.vector),
            );
        }
        let ready = self.warned.is_none() && self.table.is_some();
        self.out.push(Output::Publish(PublishedState::Fence {
            until: if self.left { Duration::ZERO } else { until },
            ready,
        }));
    }

    pub(super) fn is_live(&self, now: Duration) -> bool {
        !self.left && now < self.leases.until(self.slots)
    }
}
