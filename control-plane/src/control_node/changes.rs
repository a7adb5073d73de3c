//! Routing of changes to the leader of their partition, and their application there.

use super::*;

#[cfg(test)]
mod cluster;
#[cfg(test)]
mod tests;

/// Maximum time for which a change is retried before its outcome is reported as unknown.
pub(super) const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Id of a change that a node requests on its own behalf, without waiting for the reply.
const NO_REQUESTER_ID: u64 = 0;
/// Maximum number of control nodes that forward a change: one that received it by mistake, and one between that node
/// and the leader.
const MAX_HOPS: u8 = 2;
/// Key of the row that holds the list of origins, which is replaced as a unit.
const ORIGINS_KEY: &str = "origins";

/// New value for a row that is replaced as a unit.
struct Replacement<'a> {
    key: &'a str,
    value: Value,
    /// Expected current version of the row, if the change names one.
    expect: Option<u64>,
    /// Id of the change.
    change: u64,
}

/// Validates a replacement. Returns the rows to write beside it, or findings.
type ValidateReplacement<'a> =
    dyn Fn(&PartitionLeader) -> Result<Vec<(String, Value)>, Vec<Finding>> + 'a;

impl PendingReply {
    /// Writes a row that is replaced as a unit, unless this change was already applied, the current version is not the
    /// expected one, or the value is invalid. Returns the version if the row is written now.
    fn replace_row(
        &mut self,
        leader: &mut PartitionLeader,
        replacement: Replacement<'_>,
        validate: &ValidateReplacement<'_>,
    ) -> Option<u64> {
        let Replacement {
            key,
            value,
            expect,
            change,
        } = replacement;
        if let Some(version) = leader.applied_version(key, change) {
            self.acknowledge(version);
            return None;
        }
        let current = leader.rows.get(key).map_or(0, |row| row.version);
        if expect.is_some_and(|version| version != current) {
            let conflict = ChangeOutcome::VersionConflict {
                version: current,
                complete_after: leader.applied_changes().complete_after(),
            };
            self.refuse(leader, conflict);
            return None;
        }
        let rows_beside = match validate(leader) {
            Ok(rows) => rows,
            Err(findings) => {
                self.refuse(leader, ChangeOutcome::Findings(findings));
                return None;
            }
        };
        for (key, value) in rows_beside {
            leader.put(key, value);
        }
        let version = leader.apply_change(key, value, change);
        self.acknowledge(version);
        Some(version)
    }

    /// Sets or removes items. Returns the number of changed items and their version, if any item changed.
    fn apply_items(
        &mut self,
        leader: &mut PartitionLeader,
        items: Vec<Item>,
    ) -> Option<(usize, u64)> {
        let change = match ItemsChange::validate(&leader.rows, items) {
            Ok(change) => change,
            Err(rejection) => {
                self.refuse(leader, rejection_outcome(rejection));
                return None;
            }
        };
        let is_item = |(_, value): &&(String, Value)| matches!(value, Value::Item(_));
        let count = change.rows.iter().filter(is_item).count();
        for (key, value) in change.rows {
            leader.put(key, value);
        }
        let rows = change.keys.iter().filter_map(|key| leader.rows.get(key));
        let version = rows.map(|row| row.version).max().unwrap_or(0);
        self.acknowledge(version);
        (count > 0).then_some((count, version))
    }
}

fn rejection_outcome(rejection: ItemsRejection) -> ChangeOutcome {
    match rejection {
        ItemsRejection::Invalid(findings) => ChangeOutcome::Findings(findings),
        ItemsRejection::Conflict(findings) => ChangeOutcome::RevisionConflict(findings),
        ItemsRejection::Forgotten(findings) => ChangeOutcome::RevisionForgotten(findings),
    }
}

impl ControlNode {
    /// Handles a change requested by a node or an edge.
    pub(super) fn handle_change_request(
        &mut self,
        now: Duration,
        from: Peer,
        request: ChangeRequest,
    ) {
        if !self.leads(request.partition) {
            return self.forward_change(now, from, request);
        }
        if let Change::Claim(claim) = &request.change
            && !self.replica.is_enrolled(&claim.claimant)
        {
            return; // The edge retries the claim until it is enrolled.
        }
        self.pending_replies
            .retain(|known| (known.requester, known.id) != (request.requester, request.id));
        let partition = request.partition;
        let version_before = self.leaders[&partition].version;
        let mut reply = self.apply_change(now, request);
        let has_requester = reply.id != NO_REQUESTER_ID;
        if let Some(leader) = self.leaders.get_mut(&partition)
            && leader.version == version_before
            && has_requester
        {
            // No row was written that a majority has to store. Any outcome, including a refusal, still requires a
            // majority to confirm that this node is the leader.
            reply.required_round = leader.begin_read_round();
        }
        self.pending_replies.push(reply);
    }

    /// Returns a request for a change by this node itself, whose reply is ignored.
    pub(super) fn own_request(&self, partition: u8, change: Change) -> ChangeRequest {
        ChangeRequest {
            requester: self.address,
            id: NO_REQUESTER_ID,
            hops: 0,
            partition,
            change,
        }
    }

    /// Returns true if this node leads a partition and may serve it, to its own knowledge.
    fn leads(&self, partition: u8) -> bool {
        let leader = self.leaders.get(&partition);
        self.can_vote() && leader.is_some_and(PartitionLeader::is_serving)
    }

    /// Forwards a change to the leader of its partition. A member of the table receives the reply through this node,
    /// since the leader may not reach it; an edge receives it directly from the leader.
    fn forward_change(&mut self, now: Duration, from: Peer, mut request: ChangeRequest) {
        if self.is_isolated(now) {
            let reply = ChangeReply {
                id: request.id,
                outcome: ChangeOutcome::NoMajority,
            };
            return self.send(from.address, reply);
        }
        let leader = self.preferred_leader(now, request.partition);
        let other_leader = leader.filter(|slot| *slot != self.slot);
        let Some(next_hop) = other_leader.and_then(|slot| self.next_hop(now, slot)) else {
            return;
        };
        if request.hops >= MAX_HOPS || self.address(next_hop) == from.address {
            return;
        }
        request.hops += 1;
        if self.is_member(&from) && request.requester == from.address {
            request.id = self.relays.id_for(now, request.requester, request.id);
            request.requester = self.address;
        }
        self.send(self.address(next_hop), request);
    }

    /// Applies a change as leader of its partition. The reply is sent once the required disks have synced.
    fn apply_change(&mut self, now: Duration, request: ChangeRequest) -> PendingReply {
        let mut reply = PendingReply::new(&request);
        match request.change {
            Change::GetConfiguration => self.read_configuration(&mut reply),
            Change::List => self.list_rows(&mut reply),
            Change::PutConfiguration {
                text,
                expect,
                change,
            } => self.put_configuration(&mut reply, &text, expect, change),
            Change::PutItems { items } => self.put_items(&mut reply, items),
            Change::AddPurge { purge, change } => self.add_purge(&mut reply, purge, change),
            Change::PutOrigins {
                list,
                expect,
                change,
                acknowledge,
            } => {
                let value = Value::Origins { list, change };
                self.put_origins(&mut reply, value, expect, change, acknowledge);
            }
            Change::OpenLedger { generation } => {
                self.open_ledger_by_operator(&mut reply, generation)
            }
            Change::FoundGeneration { after } => self.found_next_generation(after),
            Change::JoinRequest { peer, founding } => self.assign_slot(now, peer, founding),
            Change::OfferSlot { member } => self.assign_offered_slot(now, member),
            Change::Claim(claim) => self.claim_operation(now, &mut reply, claim),
            Change::Release(claim) => {
                self.finish_operation(&mut reply, claim, OperationState::Released);
            }
            Change::RecordOutcome(claim, response) => {
                let state = response.map_or(OperationState::Unknown, OperationState::Done);
                self.finish_operation(&mut reply, claim, state);
            }
        }
        reply
    }

    fn leader_of(&mut self, reply: &PendingReply) -> &mut PartitionLeader {
        let leader = self.leaders.get_mut(&reply.partition);
        leader.expect("this node leads the partition")
    }

    fn read_configuration(&mut self, reply: &mut PendingReply) {
        let leader = self.leader_of(reply);
        reply.required_round = leader.begin_read_round();
        let (version, text) = match leader.rows.get(CONFIGURATION_KEY) {
            Some(Row {
                version,
                value: Value::Configuration { text, .. },
            }) => (*version, text.clone()),
            _ => (0, "".into()),
        };
        reply.required_commit = version;
        reply.outcome = ChangeOutcome::Configuration { version, text };
    }

    fn list_rows(&mut self, reply: &mut PendingReply) {
        let leader = self.leader_of(reply);
        reply.required_round = leader.begin_read_round();
        reply.required_commit = leader.version;
        let rows = leader.rows.iter();
        reply.outcome = ChangeOutcome::Rows {
            version: leader.version,
            rows: rows.map(|(key, row)| (key.clone(), row.clone())).collect(),
        };
    }

    fn put_configuration(
        &mut self,
        reply: &mut PendingReply,
        text: &Arc<str>,
        expect: Option<u64>,
        change: u64,
    ) {
        let replacement = Replacement {
            key: CONFIGURATION_KEY,
            value: Value::Configuration {
                text: text.clone(),
                change,
            },
            expect,
            change,
        };
        let validate = |leader: &PartitionLeader| {
            DocumentChange::validate(&leader.rows, text).map(|change| change.removed_groups)
        };
        let leader = self.leader_of(reply);
        if let Some(version) = reply.replace_row(leader, replacement, &validate) {
            self.log_event(Event::ConfigurationPut, format!("version {version}"));
        }
    }

    fn put_items(&mut self, reply: &mut PendingReply, items: Vec<Item>) {
        let leader = self.leader_of(reply);
        if let Some((count, version)) = reply.apply_items(leader, items) {
            let text = format!("{count} items, version {version}");
            self.log_event(Event::ConfigurationPut, text);
        }
    }

    fn add_purge(&mut self, reply: &mut PendingReply, purge: Purge, change: u64) {
        let leader = self.leader_of(reply);
        let is_same = |row: &&Row| matches!(&row.value, Value::Purge { change: known, .. } if *known == change);
        let known = leader.rows.values().find(is_same).map(|row| row.version);
        let version = known.unwrap_or_else(|| {
            let key = format!("purge/{:04}", (leader.version + 1) % MAX_RETAINED_PURGES);
            leader.put(key, Value::Purge { purge, change })
        });
        reply.acknowledge(version);
    }

    fn put_origins(
        &mut self,
        reply: &mut PendingReply,
        value: Value,
        expect: Option<u64>,
        change: u64,
        acknowledge: Acknowledge,
    ) {
        let replacement = Replacement {
            key: ORIGINS_KEY,
            value,
            expect,
            change,
        };
        let leader = self.leader_of(reply);
        if let Some(version) = reply.replace_row(leader, replacement, &|_| Ok(Vec::new())) {
            self.log_event(Event::OriginsPut, format!("version {version}"));
        }
        if acknowledge == Acknowledge::Committed {
            reply.acknowledge_commit();
        }
    }

    /// Opens the ledger at an operator's request: the operator confirms that no operation that may still be retried ran
    /// before this generation.
    fn open_ledger_by_operator(&mut self, reply: &mut PendingReply, generation: u64) {
        let current = self.generation.current;
        if generation != current {
            let text = format!("the realm is {} now", Generation::format(current));
            reply.outcome = ChangeOutcome::Findings(vec![Finding::new("/realm", text)]);
            return;
        }
        let leader = self.leader_of(reply);
        let version = if leader.opened_generation() == generation {
            leader.version
        } else {
            leader.put("opened".into(), Value::Opened { generation })
        };
        reply.report_commit((version, ChangeOutcome::Acknowledged { version }));
        let name = Generation::format(generation);
        self.log_event(
            Event::LedgerOpened,
            format!("realm {name}: opened by an operator"),
        );
    }

    /// Claims an operation. While the ledger is closed, an operation without a record here may already have run, so it
    /// is refused.
    fn claim_operation(&mut self, now: Duration, reply: &mut PendingReply, claim: Claim) {
        let remaining = self.generation.ledger_closed_until.saturating_sub(now);
        let leader = self.leader_of(reply);
        if !remaining.is_zero() && !Ledger::is_decided(leader, &claim) {
            reply.outcome = ChangeOutcome::LedgerClosed { remaining };
        } else {
            reply.report_commit(Ledger::claim(leader, claim));
        }
    }

    fn finish_operation(&mut self, reply: &mut PendingReply, claim: Claim, state: OperationState) {
        let leader = self.leader_of(reply);
        reply.report_commit(Ledger::finish(leader, claim, state));
    }
}
