//! Changes on their way to the leader of their partition, made there, and their answers.

use super::*;

/// How long a call of an operator is sent again before its outcome is given up
/// as unknown.
const OPERATOR_CALL_LIMIT: Duration = Duration::from_secs(12);
/// An unanswered call is sent again after this.
const OPERATOR_CALL_AGAIN: Duration = Duration::from_millis(400);

/// An answer that waits for its leader to get so far.
pub(super) struct PendingReply {
    pub(super) slice: u8,
    pub(super) asker: SocketAddr,
    pub(super) id: u64,
    pub(super) commit: u64,
    pub(super) settle: u64,
    pub(super) round: u64,
    pub(super) told: Outcome,
}

impl PendingReply {
    /// Puts a row that is replaced whole, unless this change did so already,
    /// another version stands than the expected one, or something is found
    /// wrong with it. The version, if it is put now.
    fn replace(
        &mut self,
        leader: &mut PartitionLeader,
        key: &str,
        value: Value,
        expect: Option<u64>,
        change: u64,
        found: &dyn Fn() -> Option<Vec<Finding>>,
    ) -> Option<u64> {
        let row = leader.rows.get(key);
        let current = row.map_or(0, |row| row.version);
        let made = row.is_some_and(|row| matches!(&row.value, Value::Configuration { change: known, .. } | Value::Origins { change: known, .. } if *known == change));
        if made {
            self.settle = current;
            self.told = Outcome::Settled { version: current };
            return None;
        }
        if expect.is_some_and(|version| version != current) {
            self.commit = current;
            self.told = Outcome::Raced { version: current };
            return None;
        }
        if let Some(found) = found() {
            self.told = Outcome::Findings(found);
            return None;
        }
        let version = leader.put(key.into(), value);
        leader.make(change, version);
        self.settle = version;
        self.told = Outcome::Settled { version };
        Some(version)
    }
}

/// A call from an operator, on its way to the owner.
pub(super) struct OperatorCall {
    pub(super) slice: u8,
    pub(super) change: Change,
    pub(super) until: Duration,
    pub(super) next: Duration,
    pub(super) tries: u32,
}

impl ControlPart {
    pub(super) fn send_operator_calls(&mut self, now: Duration) {
        let over: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, front)| now >= front.until)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.operator_calls.remove(&id);
            self.out.push(Output::OperatorAnswer {
                id,
                answer: OperatorAnswer::Outcome(Outcome::Lost),
            });
        }
        let me = self.address(self.slot);
        let due: Vec<u64> = self
            .operator_calls
            .iter()
            .filter(|(_, front)| now >= front.next)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let front = &self.operator_calls[&id];
            let (slice, ask) = (front.slice, front.change.clone());
            let Some(slot) = self.chosen(now, slice) else {
                continue;
            };
            let front = self.operator_calls.get_mut(&id).expect("just seen");
            front.next = now + OPERATOR_CALL_AGAIN;
            front.tries += 1;
            self.tell(
                self.address(slot),
                ChangeRequest {
                    asker: me,
                    id,
                    slice,
                    ask,
                },
            );
        }
    }

    pub(super) fn handle_change_request(&mut self, now: Duration, from: Peer, ask: ChangeRequest) {
        let owner = self
            .leaders
            .get(&ask.slice)
            .is_some_and(|leader| leader.ready() && leader.wary.is_none());
        if let Change::Claim(claim) = &ask.ask
            && owner
            && !self.replica.enrolled(&claim.by)
        {
            return; // It asks again; by then it is on the roll.
        }
        if owner && self.able() {
            self.pending_replies
                .retain(|wait| (wait.asker, wait.id) != (ask.asker, ask.id));
            let wait = self.change(now, ask);
            self.pending_replies.push(wait);
        } else if from.address == ask.asker
            && let Some(slot) = self
                .chosen(now, ask.slice)
                .filter(|slot| *slot != self.slot)
        {
            self.tell(self.address(slot), ask);
        }
    }

    /// Makes a change as the slice's owner; the answer pending_replies for the disks.
    pub(super) fn change(&mut self, now: Duration, ask: ChangeRequest) -> PendingReply {
        let ChangeRequest {
            asker,
            id,
            slice,
            ask,
        } = ask;
        let again = match &ask {
            Change::PutConfiguration { change, .. } | Change::PutOrigins { change, .. } => self
                .leaders
                .get(&slice)
                .and_then(|leader| leader.made(*change)),
            _ => None,
        };
        if let Some(version) = again {
            return PendingReply {
                slice,
                asker,
                id,
                commit: 0,
                settle: version,
                round: 0,
                told: Outcome::Settled { version },
            };
        }
        let left = self.closed.saturating_sub(now);
        let leader = self.leaders.get_mut(&slice).expect("owner");
        let mut wait = PendingReply {
            slice,
            asker,
            id,
            commit: 0,
            settle: 0,
            round: 0,
            told: Outcome::Lost,
        };
        match ask {
            Change::GetConfiguration => {
                wait.round = leader.start_round();
                if let Some(Row {
                    version,
                    value: Value::Configuration { text, .. },
                }) = leader.rows.get("configuration")
                {
                    wait.commit = *version;
                    wait.told = Outcome::Configuration {
                        version: *version,
                        text: text.clone(),
                    };
                } else {
                    wait.told = Outcome::Configuration {
                        version: 0,
                        text: "".into(),
                    };
                }
            }
            Change::List => {
                wait.round = leader.start_round();
                wait.commit = leader.version;
                let rows = leader
                    .rows
                    .iter()
                    .map(|(key, row)| (key.clone(), row.clone()))
                    .collect();
                wait.told = Outcome::Rows {
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
                    wait.replace(leader, "configuration", value, expect, change, &found)
                {
                    self.note(Event::ConfigurationPut, format!("version {version}"));
                }
            }
            Change::PutItems { items, change: _ } => match Items::change(&leader.rows, items) {
                Err(found) => wait.told = Outcome::Findings(found),
                Ok(fresh) => {
                    // What is not newer stands already, settled or on its way.
                    let count = fresh.len();
                    let mut version = leader.version;
                    for (key, item) in fresh {
                        version = leader.put(key, Value::Item(item));
                    }
                    wait.settle = version;
                    wait.told = Outcome::Settled { version };
                    self.note(
                        Event::ConfigurationPut,
                        format!("{count} items, version {version}"),
                    );
                }
            },
            Change::AddPurge { purge, change } => {
                let same = |row: &&Row| matches!(&row.value, Value::Purge { change: known, .. } if *known == change);
                let known = leader.rows.values().find(same).map(|row| row.version);
                let version = known.unwrap_or_else(|| {
                    let key = format!("purge/{:04}", (leader.version + 1) % PURGES_KEPT);
                    leader.put(key, Value::Purge { purge, change })
                });
                wait.settle = version;
                wait.told = Outcome::Settled { version };
            }
            Change::PutOrigins {
                list,
                expect,
                change,
            } => {
                let value = Value::Origins { list, change };
                if let Some(version) =
                    wait.replace(leader, "origins", value, expect, change, &|| None)
                {
                    self.note(Event::OriginsPut, format!("version {version}"));
                }
            }
            Change::OpenLedger { realm } if realm != self.realm => {
                let text = format!("the realm is {} now", Realm::name(self.realm));
                wait.told = Outcome::Findings(vec![Finding::new("/realm", text)]);
            }
            Change::OpenLedger { realm } => {
                let version = if leader.opened() == realm {
                    leader.version
                } else {
                    leader.put("opened".into(), Value::Opened { realm })
                };
                wait.commit = version;
                wait.told = Outcome::Settled { version };
                self.note(
                    Event::LedgerOpened,
                    format!("realm {}: operators said so", Realm::name(realm)),
                );
            }
            Change::Refound { after } => self.refound(after),
            Change::JoinRequest { peer, founding } => self.assign_slot(now, peer, founding),
            Change::OfferSlot { member } => self.assign_offered_slot(now, member),
            Change::Claim(claim) if !left.is_zero() && !Ledger::tells(leader, &claim) => {
                wait.told = Outcome::Closed { left }
            }
            Change::Claim(claim) => (wait.commit, wait.told) = Ledger::claim(leader, claim),
            Change::Release(claim) => {
                (wait.commit, wait.told) = Ledger::finish(leader, claim, OperationState::Released)
            }
            Change::Record(claim, reply) => {
                let state = reply.map_or(OperationState::Unknown, OperationState::Done);
                (wait.commit, wait.told) = Ledger::finish(leader, claim, state);
            }
        }
        wait
    }

    pub(super) fn handle_change_reply(&mut self, told: ChangeReply) {
        let Some(front) = self.operator_calls.get(&told.id) else {
            return;
        };
        let outcome = match told.told {
            // An earlier try of ours may be what this one lost against.
            Outcome::Raced { .. } if front.tries > 1 => Outcome::Lost,
            outcome => outcome,
        };
        self.operator_calls.remove(&told.id);
        self.out.push(Output::OperatorAnswer {
            id: told.id,
            answer: OperatorAnswer::Outcome(outcome),
        });
    }

    pub(super) fn operator(&mut self, now: Duration, id: u64, ask: OperatorAsk) {
        match ask {
            OperatorAsk::Change { .. } if self.removed || self.slot == NO_SLOT => {
                self.out.push(Output::OperatorAnswer {
                    id,
                    answer: OperatorAnswer::Outcome(Outcome::Lost),
                });
            }
            OperatorAsk::Change { slice, change } => {
                self.operator_calls.insert(
                    id,
                    OperatorCall {
                        slice,
                        change,
                        until: now + OPERATOR_CALL_LIMIT,
                        next: now,
                        tries: 0,
                    },
                );
                self.send_operator_calls(now);
            }
            OperatorAsk::State => {
                let answer = OperatorAnswer::State(self.state(now));
                self.out.push(Output::OperatorAnswer { id, answer });
            }
        }
    }

    /// What this node knows of the fleet.
    pub(super) fn state(&self, now: Duration) -> serde_json::Value {
        let control: Vec<_> = (0..self.places.len() as u8)
            .map(|slot| {
                let peer = self.peers.get(&slot);
                let live = slot == self.slot || peer.is_some_and(|peer| peer.near(now));
                let full = if slot == self.slot { self.able() } else { live && peer.is_some_and(|peer| peer.full) };
                serde_json::json!({ "slot": slot, "address": self.address(slot), "live": live, "full": full })
            })
            .collect();
        let edges: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .map(|seen| {
                serde_json::json!({
                    "address": seen.peer.address, "life": format!("{:016x}", seen.peer.life), "zone": seen.zone,
                    "draining": seen.draining, "vector": seen.vector, "usage": seen.usage,
                })
            })
            .collect();
        let origins: Vec<_> = self
            .sessions
            .live(now, self.quorum())
            .into_iter()
            .flat_map(|seen| seen.found)
            .collect();
        let slices: Vec<_> = self
            .leaders
            .values()
            .filter(|leader| leader.ready())
            .map(|leader| {
                serde_json::json!({
                    "slice": leader.slice, "epoch": leader.epoch, "version": leader.version,
                    "committed": leader.committed(), "settled": leader.settled(), "rows": leader.rows.len(),
                })
            })
            .collect();
        let ledger = serde_json::json!({ "realm": Realm::name(self.realm), "closed_s": self.closed.saturating_sub(now).as_secs_f64().ceil() });
        serde_json::json!({ "slot": self.slot, "ledger": ledger, "control": control, "edges": edges, "origins": origins, "owned_slices": slices })
    }
}
