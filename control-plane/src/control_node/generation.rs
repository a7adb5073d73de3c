//! After a majority of disks was lost: generations, rows taken back from edges, and when the operation ledger opens again.

use super::*;

impl ControlNode {
    /// Operations: those whose edge is gone become unknown; final ones are
    /// dropped when they have stood their time under this owner.
    pub(super) fn sweep(&mut self, now: Duration) {
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
                    if self.sessions.gone(now, operation.claimant, quorum) {
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
                leader.drop_row(&key);
            }
        }
        for text in notes {
            self.note(Event::OperationAbandoned, text);
        }
    }

    pub(super) fn majority_lost(&mut self, now: Duration) {
        if now >= self.closed {
            self.note(
                Event::MajorityLost,
                format!(
                    "unknown operations are not run for {:?}",
                    lease::LEDGER_CLOSED_AFTER_LOSS
                ),
            );
        }
        self.closed = now + lease::LEDGER_CLOSED_AFTER_LOSS;
    }

    /// Whether the ledger of this generation is known to be complete.
    pub(super) fn open(&self) -> bool {
        self.generation != 0 && self.replica.opened() == self.generation && self.refound.is_none()
    }

    /// The generation whose acknowledged rows may be lost, as far as known here.
    pub(super) fn lost(&self) -> u64 {
        let known =
            Some(self.replica.lost).filter(|generation| *generation == self.replica.generation());
        self.refound.or(known).unwrap_or(0)
    }

    /// Another knows that a majority of disks was lost: said with every
    /// promise, so that no partition is taken in ignorance of it.
    pub(super) fn note_loss(&mut self, now: Duration, generation: u64) {
        if generation != 0 && generation == self.generation && self.refound.is_none() {
            self.majority_lost(now);
            self.refound = Some(generation);
        }
    }

    /// Partitions that were founded, or lost a majority of their disks, first
    /// take back from the edges what those were shown.
    pub(super) fn recollect(&mut self, now: Duration) {
        if self.generation != self.replica.generation() {
            self.generation = self.replica.generation();
            self.entered = now;
            self.refound =
                Some(self.replica.lost).filter(|generation| *generation == self.generation);
            if self.replica.opened() != self.generation || self.refound.is_some() {
                // A first founding looks like the loss of everything.
                self.majority_lost(now);
                // An owner that lost nothing itself knows the roll as it was.
                let owner = self
                    .leaders
                    .get(&ASSIGNMENTS_PARTITION)
                    .filter(|leader| leader.ready() && leader.wary.is_none());
                self.before = owner
                    .and_then(PartitionLeader::edge_registry)
                    .or(self.before.take());
            }
        }
        if self.open() {
            self.closed = Duration::ZERO;
            self.before = None;
        }
        if let Some(after) = self.refound {
            let ask = ChangeRequest {
                requester: self.address,
                id: changes::NOBODY_WAITS,
                hops: 0,
                partition: CONFIGURATION_PARTITION,
                change: Change::Refound { after },
            };
            self.tell(self.address, ask);
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
            .filter(|(_, leader)| leader.ready() && leader.wary.is_some())
        {
            if *partition < PUBLISHED_PARTITIONS {
                told.extend(
                    self.sessions
                        .beyond(*partition, leader.version)
                        .into_iter()
                        .map(|edge| (edge, *partition)),
                );
            }
            // The ledger opens once the generation tells whether anything was lost.
            let may = *partition < PUBLISHED_PARTITIONS || self.generation != 0;
            if may && leader.wary.is_some_and(|until| now >= until) {
                leader.wary = None;
                before = leader.edge_registry().or(before);
                leader.put("founded".into(), Value::Founded { generation });
                if *partition == CONFIGURATION_PARTITION {
                    notes.push(format!("realm {generation:016x}"));
                }
            }
        }
        self.before = before.or(self.before.take());
        for (edge, partition) in told {
            self.tell(edge, RecallRequest { partition });
        }
        for text in notes {
            self.note(Event::GenerationFounded, text);
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
            .filter(|leader| leader.wary.is_some() && leader.version < version)
        else {
            return;
        };
        let newer = leader.recall(version, rows);
        self.granted = self.sessions.renewal_tokens();
        self.note(
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
        if let Some((members, gone, true)) = &self.before
            && now < self.closed
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
            self.before = None;
            notes.push("all of the roll told what they knew");
        }
        if self.fresh
            && self.generation != 0
            && !Generation::again(self.generation)
            && leader.opened() != self.generation
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
                .closed
                .max(self.entered + lease::LEDGER_CLOSED_AFTER_LOSS);
        if self.generation != 0
            && self.replica.opened() != self.generation
            && over
            && leader.opened() != self.generation
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
            if !members.contains(&peer) && self.sessions.gone(now, peer, quorum) {
                gone.push(peer);
            } else {
                members.insert(peer);
            }
        }
        self.departed.retain(|peer, _| gone.contains(peer));
        for peer in &gone {
            self.departed.entry(*peer).or_insert(now);
        }
        // Who is back in the same life has kept what it knows.
        gone.retain(|peer| {
            !members.contains(peer) && now < self.departed[peer] + lease::LEDGER_CLOSED_AFTER_LOSS
        });
        let members: Vec<Peer> = members.into_iter().collect();
        // Until the new generation has its name, the roll is the lost one's.
        let complete = if self.generation == 0 {
            complete
        } else {
            leader.opened() == self.generation
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
            self.note(
                Event::LedgerOpened,
                format!("realm {}: {why}", Generation::name(self.generation)),
            );
        }
    }

    /// Names the next generation, unless that was done since it was asked for.
    pub(super) fn refound(&mut self, after: u64) {
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
            self.note(Event::GenerationFounded, format!("realm {generation:016x}"));
        }
    }

    /// Another keeps the ledger closed for so long. The way the message took
    /// must not add to it, to and fro.
    pub(super) fn extend_closing(&mut self, now: Duration, left: Duration) {
        const ON_THE_WAY: Duration = Duration::from_secs(1);
        if !self.open() && now + left > self.closed + ON_THE_WAY {
            self.closed = now + left;
        }
    }
}
