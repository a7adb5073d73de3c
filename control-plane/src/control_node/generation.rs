//! After a majority of disks was lost: generations, rows taken back from edges, and when the operation ledger opens again.

use super::*;

impl ControlNode {
    /// Operations: those whose edge is gone become unknown; final ones are
    /// dropped when they have stood their time under this owner.
    pub(super) fn expire_operations(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        for (partition, leader) in self
            .leaders
            .iter_mut()
            .filter(|(partition, leader)| **partition >= PUBLISHED_PARTITIONS && leader.ready())
        {
            let finished_since = self.finished_since.entry(*partition).or_default();
            let mut lost = Vec::new();
            let mut old = Vec::new();
            for (key, row) in &leader.rows {
                let Value::Operation(operation) = &row.value else {
                    continue;
                };
                if operation.state == OperationState::Running {
                    if self.sessions.has_departed(now, operation.claimant, quorum) {
                        lost.push((key.clone(), operation.clone()));
                    }
                    continue;
                }
                let since = finished_since
                    .entry(key.clone())
                    .or_insert((row.version, now));
                if since.0 != row.version {
                    *since = (row.version, now);
                }
                if now >= since.1 + lease::OPERATION_RETENTION {
                    old.push(key.clone());
                }
            }
            for (key, operation) in lost {
                notes.push(format!("{key} by {}", operation.claimant));
                leader.put(
                    key,
                    Value::Operation(Operation {
                        state: OperationState::Unknown,
                        ..operation
                    }),
                );
            }
            for key in old {
                finished_since.remove(&key);
                leader.remove_row(&key);
            }
        }
        for text in notes {
            self.log_event(Event::OperationAbandoned, text);
        }
    }

    pub(super) fn close_ledger(&mut self, now: Duration) {
        if now >= self.ledger_closed_until {
            self.log_event(
                Event::MajorityLost,
                format!(
                    "unknown operations are not run for {:?}",
                    lease::LEDGER_CLOSED_AFTER_LOSS
                ),
            );
        }
        self.ledger_closed_until = now + lease::LEDGER_CLOSED_AFTER_LOSS;
    }

    /// Whether the ledger of this generation is known to be complete.
    pub(super) fn is_ledger_open(&self) -> bool {
        self.generation != 0
            && self.replica.opened_generation() == self.generation
            && self.refound_after.is_none()
    }

    /// The generation whose acknowledged rows may be lost, as far as known here.
    pub(super) fn lost_generation(&self) -> u64 {
        let known = Some(self.replica.lost_generation)
            .filter(|generation| *generation == self.replica.generation());
        self.refound_after.or(known).unwrap_or(0)
    }

    /// Another knows that a majority of disks was lost: said with every
    /// promise, so that no partition is taken in ignorance of it.
    pub(super) fn on_loss_reported(&mut self, now: Duration, generation: u64) {
        if generation != 0 && generation == self.generation && self.refound_after.is_none() {
            self.close_ledger(now);
            self.refound_after = Some(generation);
        }
    }

    /// Partitions that were founded, or lost a majority of their disks, first
    /// take back from the edges what those were shown.
    pub(super) fn recall_rows(&mut self, now: Duration) {
        if self.generation != self.replica.generation() {
            self.generation = self.replica.generation();
            self.generation_entered_at = now;
            self.refound_after = Some(self.replica.lost_generation)
                .filter(|generation| *generation == self.generation);
            if self.replica.opened_generation() != self.generation || self.refound_after.is_some() {
                // A first founding looks like the loss of everything.
                self.close_ledger(now);
                // An owner that lost nothing itself knows the roll as it was.
                let owner = self
                    .leaders
                    .get(&ASSIGNMENTS_PARTITION)
                    .filter(|leader| leader.ready() && leader.recall_until.is_none());
                self.registry_before_loss = owner
                    .and_then(PartitionLeader::edge_registry)
                    .or(self.registry_before_loss.take());
            }
        }
        if self.is_ledger_open() {
            self.ledger_closed_until = Duration::ZERO;
            self.registry_before_loss = None;
        }
        if let Some(after) = self.refound_after {
            let ask = ChangeRequest {
                requester: self.address,
                id: changes::NO_REQUESTER_ID,
                hops: 0,
                partition: CONFIGURATION_PARTITION,
                change: Change::Refound { after },
            };
            self.send(self.address, ask);
        }
        let mut before = None;
        let mut told = Vec::new();
        let mut notes = Vec::new();
        let earlier = self
            .sessions
            .all()
            .iter()
            .map(|seen| seen.generation)
            .max()
            .unwrap_or(0);
        let generation = Generation::after(
            earlier.max(self.replica.generation()),
            self.replica.incarnation,
        );
        for (partition, leader) in self
            .leaders
            .iter_mut()
            .filter(|(_, leader)| leader.ready() && leader.recall_until.is_some())
        {
            if *partition < PUBLISHED_PARTITIONS {
                told.extend(
                    self.sessions
                        .ahead_of(*partition, leader.version)
                        .into_iter()
                        .map(|edge| (edge, *partition)),
                );
            }
            // The ledger opens once the generation tells whether anything was lost.
            let may = *partition < PUBLISHED_PARTITIONS || self.generation != 0;
            if may && leader.recall_until.is_some_and(|until| now >= until) {
                leader.recall_until = None;
                before = leader.edge_registry().or(before);
                leader.put("founded".into(), Value::Founded { generation });
                if *partition == CONFIGURATION_PARTITION {
                    notes.push(format!("realm {generation:016x}"));
                }
            }
        }
        self.registry_before_loss = before.or(self.registry_before_loss.take());
        for (edge, partition) in told {
            self.send(edge, RecallRequest { partition });
        }
        for text in notes {
            self.log_event(Event::GenerationFounded, text);
        }
    }

    pub(super) fn handle_recall_reply(&mut self, recalled: RecallReply) {
        let RecallReply {
            partition,
            version,
            rows,
        } = recalled;
        let Some(leader) = self
            .leaders
            .get_mut(&partition)
            .filter(|leader| leader.recall_until.is_some() && leader.version < version)
        else {
            return;
        };
        let newer = leader.merge_recalled_rows(version, rows);
        self.tokens_at_grant = self.sessions.issued_tokens();
        self.log_event(
            Event::RowsRecalled,
            format!("slice {partition}: {newer} rows up to version {version}"),
        );
    }

    /// Keeps the roll; and opens the ledger once all of the roll before a loss
    /// have told what they knew.
    pub(super) fn plan_edge_registry(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        let Some(leader) = self.leaders.get_mut(&ASSIGNMENTS_PARTITION) else {
            return;
        };
        let told = |peer: &Peer| {
            self.sessions.all().iter().any(|seen| {
                seen.peer == *peer && seen.generation == self.generation && seen.recall_complete
            })
        };
        if let Some((members, gone, true)) = &self.registry_before_loss
            && now < self.ledger_closed_until
            && Generation::again(self.generation)
            && gone.is_empty()
            && !members.is_empty()
            && members.iter().all(told)
        {
            leader.put(
                "opened".into(),
                Value::Opened {
                    generation: self.generation,
                },
            );
            self.registry_before_loss = None;
            notes.push("all of the roll told what they knew");
        }
        if self.first_fleet_start
            && self.generation != 0
            && !Generation::again(self.generation)
            && leader.opened_generation() != self.generation
        {
            leader.put(
                "opened".into(),
                Value::Opened {
                    generation: self.generation,
                },
            );
            notes.push("the fleet is new");
        }
        // All that could come again has come.
        let over = now
            >= self
                .ledger_closed_until
                .max(self.generation_entered_at + lease::LEDGER_CLOSED_AFTER_LOSS);
        if self.generation != 0
            && self.replica.opened_generation() != self.generation
            && over
            && leader.opened_generation() != self.generation
        {
            leader.put(
                "opened".into(),
                Value::Opened {
                    generation: self.generation,
                },
            );
            notes.push("all that could come again has come");
        }
        let (known, mut gone, complete) = leader.edge_registry().unwrap_or_default();
        let mut members: BTreeSet<Peer> = self
            .sessions
            .live(now, quorum)
            .iter()
            .map(|seen| seen.peer)
            .collect();
        for peer in known {
            if !members.contains(&peer) && self.sessions.has_departed(now, peer, quorum) {
                gone.push(peer);
            } else {
                members.insert(peer);
            }
        }
        self.departed_since.retain(|peer, _| gone.contains(peer));
        for peer in &gone {
            self.departed_since.entry(*peer).or_insert(now);
        }
        // Who is back in the same life has kept what it knows.
        gone.retain(|peer| {
            !members.contains(peer)
                && now < self.departed_since[peer] + lease::LEDGER_CLOSED_AFTER_LOSS
        });
        let members: Vec<Peer> = members.into_iter().collect();
        // Until the new generation has its name, the roll is the lost one's.
        let complete = if self.generation == 0 {
            complete
        } else {
            leader.opened_generation() == self.generation
        };
        let value = Value::EdgeRegistry {
            members: members.clone(),
            departed: gone,
            complete,
        };
        if leader.rows.get("roll").is_none_or(|row| row.value != value) {
            leader.put("roll".into(), value);
        }
        let settled = leader
            .rows
            .get("roll")
            .is_some_and(|row| row.version <= leader.settled());
        let before = leader.enrolled();
        let members: Vec<Peer> = members
            .into_iter()
            .filter(|peer| settled || before.contains(peer))
            .collect();
        if members != before {
            leader.put("enrolled".into(), Value::Enrolled { members });
        }
        for why in notes {
            self.log_event(
                Event::LedgerOpened,
                format!("realm {}: {why}", Generation::name(self.generation)),
            );
        }
    }

    /// Names the next generation, unless that was done since it was asked for.
    pub(super) fn found_next_generation(&mut self, after: u64) {
        let generation = Generation::after(self.replica.generation(), self.replica.incarnation);
        let Some(leader) = self.leaders.get_mut(&CONFIGURATION_PARTITION) else {
            return;
        };
        if leader
            .rows
            .get("founded")
            .is_some_and(|row| row.value == Value::Founded { generation: after })
        {
            leader.put("founded".into(), Value::Founded { generation });
            self.log_event(Event::GenerationFounded, format!("realm {generation:016x}"));
        }
    }

    /// Another keeps the ledger closed for so long. The way the message took
    /// must not add to it, to and fro.
    pub(super) fn extend_ledger_closure(&mut self, now: Duration, left: Duration) {
        const ON_THE_WAY: Duration = Duration::from_secs(1);
        if !self.is_ledger_open() && now + left > self.ledger_closed_until + ON_THE_WAY {
            self.ledger_closed_until = now + left;
        }
    }
}
