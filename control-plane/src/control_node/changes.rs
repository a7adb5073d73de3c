//! Changes on their way to the leader of their partition, made there, and their answers.

use super::*;

#[cfg(test)]
mod cluster;
#[cfg(test)]
mod tests;

/// How long a call of an operator is sent again before its outcome is given up
/// as unknown.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// An unanswered call is sent again after this.
const OPERATOR_CALL_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// An answer that waits for its leader to get so far.
pub(super) struct PendingReply {
    pub(super) partition: u8,
    pub(super) requester: SocketAddr,
    pub(super) id: u64,
    pub(super) required_commit: u64,
    pub(super) required_settled: u64,
    pub(super) required_round: u64,
    pub(super) outcome: ChangeOutcome,
}

impl PendingReply {
    /// A reply to this request that has to wait for nothing yet.
    fn new(request: &ChangeRequest) -> PendingReply {
        PendingReply {
            partition: request.partition,
            requester: request.requester,
            id: request.id,
            required_commit: 0,
            required_settled: 0,
            required_round: 0,
            outcome: ChangeOutcome::Unknown,
        }
    }

    /// Acknowledges once this version is in force everywhere.
    fn acknowledge(&mut self, version: u64) {
        self.required_settled = version;
        self.outcome = ChangeOutcome::Acknowledged { version };
    }

    /// Acknowledges as soon as the version is on a majority of disks instead.
    fn acknowledge_commit(&mut self) {
        if self.required_settled > 0 {
            self.required_commit = std::mem::take(&mut self.required_settled);
        }
    }

    /// Refuses for what stands: only once that is on a majority of disks and
    /// the leader is confirmed, since one that was superseded may not know what
    /// was accepted after it.
    fn refuse(&mut self, leader: &mut PartitionLeader, told: ChangeOutcome) {
        self.required_commit = leader.version;
        self.required_round = leader.begin_read_round();
        self.outcome = told;
    }

    /// Puts a row that is replaced whole, unless this change did so already,
    /// another version stands than the expected one, or something is found
    /// wrong with it. The version, if it is put now.
    fn replace_row(
        &mut self,
        leader: &mut PartitionLeader,
        key: &str,
        value: Value,
        expect: Option<u64>,
        change: u64,
        found: &dyn Fn() -> Option<Vec<Finding>>,
    ) -> Option<u64> {
        if let Some(version) = leader.applied_version(key, change) {
            self.acknowledge(version);
            return None;
        }
        let current = leader.rows.get(key).map_or(0, |row| row.version);
        if expect.is_some_and(|version| version != current) {
            let raced = ChangeOutcome::VersionConflict {
                version: current,
                complete_after: leader.applied_changes().complete_after(),
            };
            self.refuse(leader, raced);
            return None;
        }
        if let Some(found) = found() {
            self.outcome = ChangeOutcome::Findings(found);
            return None;
        }
        let version = leader.apply_change(key, value, change);
        self.acknowledge(version);
        Some(version)
    }

    /// Sets or removes items. How many, and the version, if any are put now.
    fn apply_items(
        &mut self,
        leader: &mut PartitionLeader,
        items: Vec<Item>,
    ) -> Option<(usize, u64)> {
        let change = match ItemsChange::judge(&leader.rows, items) {
            Ok(change) => change,
            Err(refusal) => {
                self.refuse(leader, outcome_of(refusal));
                return None;
            }
        };
        let is_item = |(_, value): &&(String, Value)| matches!(value, Value::Item(_));
        let count = change.rows.iter().filter(is_item).count();
        for (key, value) in change.rows {
            leader.put(key, value);
        }
        let versions = change.keys.iter().filter_map(|key| leader.rows.get(key));
        let version = versions.map(|row| row.version).max().unwrap_or(0);
        self.acknowledge(version);
        (count > 0).then_some((count, version))
    }
}

fn outcome_of(refusal: ItemsRefusal) -> ChangeOutcome {
    match refusal {
        ItemsRefusal::Invalid(found) => ChangeOutcome::Findings(found),
        ItemsRefusal::Conflict(found) => ChangeOutcome::RevisionConflict(found),
        ItemsRefusal::Forgotten(found) => ChangeOutcome::RevisionForgotten(found),
    }
}

/// A call from an operator, on its way to the leader of its partition.
pub(super) struct OperatorCall {
    partition: u8,
    change: Change,
    deadline: Duration,
    retry_at: Duration,
    /// The leader it was last meant for, and how often it was sent.
    sent_to: Option<u8>,
    attempts: u32,
}

impl OperatorCall {
    /// The version that the change is made to replace, if it says so.
    fn expected_version(&self) -> Option<u64> {
        match &self.change {
            Change::PutConfiguration { expect, .. } | Change::PutOrigins { expect, .. } => *expect,
            _ => None,
        }
    }

    /// What is known of a call that is given up: reads have no effect, and
    /// what was never sent had none.
    fn timeout_outcome(&self) -> ChangeOutcome {
        let is_read = matches!(self.change, Change::GetConfiguration | Change::List);
        if is_read || self.attempts == 0 {
            ChangeOutcome::NoMajority
        } else {
            ChangeOutcome::Unknown
        }
    }
}

/// A change of another member that does not reach the leader itself.
pub(super) struct Relay {
    requester: SocketAddr,
    id: u64,
    pub(super) deadline: Duration,
}

/// Id of a change that this node asks for by itself.
pub(super) const NO_REQUESTER_ID: u64 = 0;
/// Ids under which changes are passed on have this bit, ids of operators'
/// calls have not.
pub(super) const RELAY_ID_BIT: u64 = 1 << 63;
/// So many control nodes pass a change on at the most: one that is asked by
/// mistake, and one between it and the leader.
const MAX_HOPS: u8 = 2;
/// A cut of this length may be over before a caller could ask another node.
const ISOLATION_GRACE: Duration = Duration::from_millis(600);

impl ControlNode {
    /// Notes since when no majority is in contact with this node.
    pub(super) fn track_isolation(&mut self, now: Duration) {
        if self.reaches_majority(now) {
            self.isolated_since = None;
        } else {
            self.isolated_since.get_or_insert(now);
        }
    }

    fn is_isolated(&self, now: Duration) -> bool {
        let for_long = |since| now >= since + ISOLATION_GRACE;
        self.isolated_since.is_some_and(for_long) && !self.reaches_majority(now)
    }

    pub(super) fn reply_to_operator(&mut self, id: u64, outcome: ChangeOutcome) {
        let answer = OperatorResponse::ChangeOutcome(outcome);
        self.outputs.push(Output::OperatorResponse {
            id,
            response: answer,
        });
    }

    /// Answers all operators' calls with what is known of them by now.
    pub(super) fn fail_operator_calls(&mut self) {
        for (id, call) in std::mem::take(&mut self.operator_calls) {
            self.reply_to_operator(id, call.timeout_outcome());
        }
    }

    /// Sends operators' calls to the leaders of their partitions, again when
    /// there was no answer or when another member leads.
    pub(super) fn send_operator_calls(&mut self, now: Duration) {
        if self.is_isolated(now) {
            return self.fail_operator_calls();
        }
        let ids: Vec<u64> = self.operator_calls.keys().copied().collect();
        for id in ids {
            let call = &self.operator_calls[&id];
            if now >= call.deadline {
                let outcome = call.timeout_outcome();
                self.operator_calls.remove(&id);
                self.reply_to_operator(id, outcome);
                continue;
            }
            let leader = self.preferred_leader(now, call.partition);
            if leader.is_some() && (now >= call.retry_at || call.sent_to != leader) {
                self.send_operator_call(now, id, leader);
            }
        }
    }

    fn send_operator_call(&mut self, now: Duration, id: u64, leader: Option<u8>) {
        let Some(next_hop) = leader.and_then(|leader| self.next_hop(now, leader)) else {
            return;
        };
        let asker = self.address(self.slot);
        let Some(call) = self.operator_calls.get_mut(&id) else {
            return;
        };
        call.retry_at = now + OPERATOR_CALL_RETRY_INTERVAL;
        call.sent_to = leader;
        call.attempts += 1;
        let request = ChangeRequest {
            requester: asker,
            id,
            partition: call.partition,
            hops: 0,
            change: call.change.clone(),
        };
        self.send(self.address(next_hop), request);
    }

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
            return; // It asks again; by then it is on the roll.
        }
        self.pending_replies
            .retain(|known| (known.requester, known.id) != (request.requester, request.id));
        let partition = request.partition;
        let before = self.leaders[&partition].version;
        let mut reply = self.apply_change(now, request);
        let somebody_waits = reply.id != NO_REQUESTER_ID;
        if let Some(leader) = self.leaders.get_mut(&partition)
            && leader.version == before
            && somebody_waits
        {
            // Nothing was written that a majority would have to keep: whatever
            // is answered, a refusal too, a majority must still follow us.
            reply.required_round = leader.begin_read_round();
        }
        self.pending_replies.push(reply);
    }

    /// Whether we lead a partition, as far as we know.
    fn leads(&self, partition: u8) -> bool {
        let leader = self.leaders.get(&partition);
        self.can_vote()
            && leader.is_some_and(|leader| leader.ready() && leader.recall_until.is_none())
    }

    /// Sends a change on to the leader of its partition. A member of the table
    /// is answered through us, since the leader may not reach it; an edge by
    /// the leader itself.
    fn forward_change(&mut self, now: Duration, from: Peer, mut request: ChangeRequest) {
        if self.is_isolated(now) {
            let reply = ChangeReply {
                id: request.id,
                outcome: ChangeOutcome::NoMajority,
            };
            return self.send(from.address, reply);
        }
        let leader = self.preferred_leader(now, request.partition);
        let elsewhere = leader.filter(|slot| *slot != self.slot);
        let Some(next_hop) = elsewhere.and_then(|slot| self.next_hop(now, slot)) else {
            return;
        };
        if request.hops >= MAX_HOPS || self.address(next_hop) == from.address {
            return;
        }
        request.hops += 1;
        let from_member = self.members.iter().any(|peer| peer.names(&from));
        if from_member && request.requester == from.address {
            request.id = self.relay_id(now, request.requester, request.id);
            request.requester = self.address;
        }
        self.send(self.address(next_hop), request);
    }

    /// The id under which a member's change is passed on, the same for a
    /// change that is sent again.
    fn relay_id(&mut self, now: Duration, asker: SocketAddr, id: u64) -> u64 {
        let until = now + OPERATOR_CALL_TIMEOUT;
        let mut known = self.relays.iter_mut();
        let again = known.find(|(_, relay)| (relay.requester, relay.id) == (asker, id));
        if let Some((relay_id, relay)) = again {
            relay.deadline = until;
            return *relay_id;
        }
        let relay_id = self.next_relay_id | RELAY_ID_BIT;
        self.next_relay_id = relay_id.wrapping_add(1);
        self.relays.insert(
            relay_id,
            Relay {
                requester: asker,
                id,
                deadline: until,
            },
        );
        relay_id
    }

    /// Makes a change as the partition's owner; the answer pending_replies for the disks.
    pub(super) fn apply_change(&mut self, now: Duration, ask: ChangeRequest) -> PendingReply {
        let mut wait = PendingReply::new(&ask);
        let ChangeRequest {
            partition,
            change: ask,
            ..
        } = ask;
        let left = self.ledger_closed_until.saturating_sub(now);
        let leader = self.leaders.get_mut(&partition).expect("owner");
        match ask {
            Change::GetConfiguration => {
                wait.required_round = leader.begin_read_round();
                if let Some(Row {
                    version,
                    value: Value::Configuration { text, .. },
                }) = leader.rows.get("configuration")
                {
                    wait.required_commit = *version;
                    wait.outcome = ChangeOutcome::Configuration {
                        version: *version,
                        text: text.clone(),
                    };
                } else {
                    wait.outcome = ChangeOutcome::Configuration {
                        version: 0,
                        text: "".into(),
                    };
                }
            }
            Change::List => {
                wait.required_round = leader.begin_read_round();
                wait.required_commit = leader.version;
                let rows = leader
                    .rows
                    .iter()
                    .map(|(key, row)| (key.clone(), row.clone()))
                    .collect();
                wait.outcome = ChangeOutcome::Rows {
                    version: leader.version,
                    rows,
                };
            }
            Change::PutConfiguration {
                text,
                expect,
                change,
            } => {
                let found = || Configuration::read(&text).err();
                let value = Value::Configuration {
                    text: text.clone(),
                    change,
                };
                if let Some(version) =
                    wait.replace_row(leader, "configuration", value, expect, change, &found)
                {
                    self.log_event(Event::ConfigurationPut, format!("version {version}"));
                }
            }
            Change::PutItems { items } => {
                if let Some((count, version)) = wait.apply_items(leader, items) {
                    let text = format!("{count} items, version {version}");
                    self.log_event(Event::ConfigurationPut, text);
                }
            }
            Change::AddPurge { purge, change } => {
                let same = |row: &&Row| matches!(&row.value, Value::Purge { change: known, .. } if *known == change);
                let known = leader.rows.values().find(same).map(|row| row.version);
                let version = known.unwrap_or_else(|| {
                    let key = format!("purge/{:04}", (leader.version + 1) % MAX_RETAINED_PURGES);
                    leader.put(key, Value::Purge { purge, change })
                });
                wait.acknowledge(version);
            }
            Change::PutOrigins {
                list,
                expect,
                change,
                acknowledge,
            } => {
                let value = Value::Origins { list, change };
                if let Some(version) =
                    wait.replace_row(leader, "origins", value, expect, change, &|| None)
                {
                    self.log_event(Event::OriginsPut, format!("version {version}"));
                }
                if acknowledge == Acknowledge::Committed {
                    wait.acknowledge_commit();
                }
            }
            Change::OpenLedger { generation } if generation != self.generation => {
                let text = format!("the realm is {} now", Generation::name(self.generation));
                wait.outcome = ChangeOutcome::Findings(vec![Finding::new("/realm", text)]);
            }
            Change::OpenLedger { generation } => {
                let version = if leader.opened_generation() == generation {
                    leader.version
                } else {
                    leader.put("opened".into(), Value::Opened { generation })
                };
                wait.required_commit = version;
                wait.outcome = ChangeOutcome::Acknowledged { version };
                self.log_event(
                    Event::LedgerOpened,
                    format!("realm {}: operators said so", Generation::name(generation)),
                );
            }
            Change::Refound { after } => self.found_next_generation(after),
            Change::JoinRequest { peer, founding } => self.assign_slot(now, peer, founding),
            Change::OfferSlot { member } => self.assign_offered_slot(now, member),
            Change::Claim(claim) if !left.is_zero() && !Ledger::is_decided(leader, &claim) => {
                wait.outcome = ChangeOutcome::LedgerClosed { left }
            }
            Change::Claim(claim) => {
                (wait.required_commit, wait.outcome) = Ledger::claim(leader, claim)
            }
            Change::Release(claim) => {
                (wait.required_commit, wait.outcome) =
                    Ledger::finish(leader, claim, OperationState::Released)
            }
            Change::Record(claim, reply) => {
                let state = reply.map_or(OperationState::Unknown, OperationState::Done);
                (wait.required_commit, wait.outcome) = Ledger::finish(leader, claim, state);
            }
        }
        wait
    }

    pub(super) fn handle_change_reply(&mut self, reply: ChangeReply) {
        if let Some(relay) = self.relays.remove(&reply.id) {
            let passed_back = ChangeReply {
                id: relay.id,
                outcome: reply.outcome,
            };
            return self.send(relay.requester, passed_back);
        }
        let Some(call) = self.operator_calls.get_mut(&reply.id) else {
            return;
        };
        let outcome = match reply.outcome {
            // Who was to pass it on is cut off: another way may be found.
            ChangeOutcome::NoMajority => {
                call.retry_at = Duration::ZERO;
                return;
            }
            // An earlier try of ours may be what this one lost against.
            ChangeOutcome::VersionConflict { complete_after, .. }
                if call.attempts > 1
                    && call
                        .expected_version()
                        .is_some_and(|from| from < complete_after) =>
            {
                ChangeOutcome::Unknown
            }
            outcome => outcome,
        };
        self.operator_calls.remove(&reply.id);
        self.reply_to_operator(reply.id, outcome);
    }

    pub(super) fn handle_operator_request(&mut self, now: Duration, id: u64, ask: OperatorRequest) {
        match ask {
            OperatorRequest::Change { .. } if self.removed || self.slot == NO_SLOT => {
                self.reply_to_operator(id, ChangeOutcome::NoMajority);
            }
            OperatorRequest::Change { partition, change } => {
                let call = OperatorCall {
                    partition,
                    change,
                    deadline: now + OPERATOR_CALL_TIMEOUT,
                    retry_at: now,
                    sent_to: None,
                    attempts: 0,
                };
                self.operator_calls.insert(id, call);
                self.send_operator_calls(now);
            }
            OperatorRequest::State => {
                let answer = OperatorResponse::State(self.fleet_state(now));
                self.outputs.push(Output::OperatorResponse {
                    id,
                    response: answer,
                });
            }
        }
    }

    /// What this node knows of the fleet.
    pub(super) fn fleet_state(&self, now: Duration) -> serde_json::Value {
        let control: Vec<_> = (0..self.members.len() as u8)
            .map(|slot| {
                let peer = self.peers.get(&slot);
                let live = self.mutual_contacts(now).contains(slot);
                let full = if slot == self.slot { self.can_vote() } else { live && peer.is_some_and(|peer| peer.full) };
                serde_json::json!({ "slot": slot, "address": self.address(slot), "live": live, "full": full })
            })
            .collect();
        let edges: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .map(|seen| {
                serde_json::json!({
                    "address": seen.peer.address, "life": format!("{:016x}", seen.peer.incarnation), "zone": seen.zone,
                    "draining": seen.draining, "vector": seen.version_vector, "usage": seen.usage,
                })
            })
            .collect();
        let origins: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .flat_map(|seen| seen.origin_health)
            .collect();
        let partitions: Vec<_> = self
            .leaders
            .values()
            .filter(|leader| leader.ready())
            .map(|leader| {
                serde_json::json!({
                    "slice": leader.partition, "epoch": leader.epoch, "version": leader.version,
                    "committed": leader.committed(), "settled": leader.settled(), "rows": leader.rows.len(),
                })
            })
            .collect();
        let ledger = serde_json::json!({ "realm": Generation::name(self.generation), "closed_s": self.ledger_closed_until.saturating_sub(now).as_secs_f64().ceil() });
        serde_json::json!({ "slot": self.slot, "majority": self.reaches_majority(now), "ledger": ledger, "control": control, "edges": edges, "origins": origins, "owned_slices": partitions })
    }
}
