//! Simulated operators.
use crate::prelude::*;

/// Operators, and the platform's list of origins.
impl World {
    pub(crate) fn put_origins(&mut self) {
        if let Some(due) = &mut self.origins_due {
            *due = true;
            return;
        }
        self.origins_due = Some(false);
        let list = self
            .origins
            .iter()
            .map(|origin| origin.origin.clone())
            .collect();
        let node = self.random.below(self.plan.control as u64) as usize;
        self.ask(node, OperatorCall::Origins { list, at: 0.0 }, 0);
    }

    /// Learned when the call that was acknowledged in the end was read by a
    /// node that could take it. With another fault about, when it was
    /// acknowledged: nobody may have been there to learn it from.
    pub(crate) fn on_origins_outcome(&mut self, list: &[Origin], settled: bool, read: f64) {
        let due = self.origins_due.take().unwrap_or(false);
        let disturbed = self
            .fleet
            .iter()
            .rev()
            .any(|one| one.what == "fault" && !one.good && one.at > read - 5.0);
        let at = if disturbed { self.seconds() } else { read };
        for origin in list.iter().filter(|origin| settled && origin.draining) {
            if !self
                .fleet
                .iter()
                .any(|one| one.what == "leaving" && one.subject == origin.instance)
            {
                self.fleet.push(FleetRecord {
                    at,
                    what: "leaving".into(),
                    subject: origin.instance.clone(),
                    number: 0,
                    good: true,
                });
            }
        }
        if due || !settled {
            self.after(
                Duration::from_millis(if due { 0 } else { 500 }),
                SimEvent::PutOrigins,
            );
        }
    }

    pub(crate) fn ask(&mut self, node: usize, order: impl Into<Order>, tries: u32) {
        let mut order = order.into();
        // An operator's tool takes the next control node if one is down.
        let Some(node) = (0..self.plan.control)
            .map(|more| (node + more) % self.plan.control)
            .chain(self.first_spare()..self.nodes.len())
            .find(|node| self.nodes[*node].part.is_some() && self.nodes[*node].ready)
        else {
            if tries < 20 {
                self.after(
                    Duration::from_secs(1),
                    SimEvent::Ask {
                        node,
                        order,
                        tries: tries + 1,
                    },
                );
            } else if let OperatorCall::Configure { marker, .. } = order.operator_calls {
                self.changing.remove(&marker);
            }
            return;
        };
        if let OperatorCall::Origins { at, .. } = &mut order.operator_calls {
            *at = self.seconds();
        }
        let drawn = self.random.below(u64::MAX >> 12);
        let change = *order.change.get_or_insert(drawn);
        let (partition, change) = match &order.operator_calls {
            OperatorCall::Configure { text, expect, .. } => (
                CONFIGURATION_PARTITION,
                Change::PutConfiguration {
                    text: text.as_str().into(),
                    expect: *expect,
                    change,
                },
            ),
            OperatorCall::Purge { prefix, .. } => {
                let purge = Purge {
                    prefix: Some(prefix.clone()),
                    ..Purge::default()
                };
                (PURGES_PARTITION, Change::AddPurge { purge, change })
            }
            OperatorCall::Origins { list, .. } => (
                ORIGINS_PARTITION,
                Change::PutOrigins {
                    list: Arc::new(list.clone()),
                    expect: Some(self.origins_at),
                    change,
                    acknowledge: Acknowledge::Settled,
                },
            ),
            OperatorCall::ReadBack { .. } => (CONFIGURATION_PARTITION, Change::GetConfiguration),
            OperatorCall::PutItem { item } => {
                let items = vec![item.clone()];
                (CONFIGURATION_PARTITION, Change::PutItems { items })
            }
            OperatorCall::Order { order } => return self.send_order(*order),
            OperatorCall::OpenLedger { generation: None } => {
                self.serial += 1;
                self.record_operator_call(node, order);
                return self.step(
                    node,
                    Input::Operator {
                        id: self.serial,
                        request: OperatorRequest::State,
                    },
                );
            }
            OperatorCall::OpenLedger {
                generation: Some(generation),
            } => (
                ASSIGNMENTS_PARTITION,
                Change::OpenLedger {
                    generation: *generation,
                },
            ),
        };
        self.serial += 1;
        let id = self.serial;
        self.record_operator_call(node, order);
        self.step(
            node,
            Input::Operator {
                id,
                request: OperatorRequest::Change { partition, change },
            },
        );
    }

    pub(crate) fn record_operator_call(&mut self, node: usize, order: impl Into<Order>) {
        let mut order = order.into();
        let now = self.seconds();
        let start = *order.start.get_or_insert(now);
        let question = Question { node, order, start };
        self.operator_calls.insert(self.serial, question);
    }

    /// Notes a call on the document with what came of it, for its history.
    pub(crate) fn record_operator(&mut self, question: &Question, outcome: &ChangeOutcome) {
        let (operation, known) = match (&question.order.operator_calls, outcome) {
            (OperatorCall::Configure { .. }, ChangeOutcome::Findings(_)) => return,
            (OperatorCall::Configure { .. }, ChangeOutcome::VersionConflict { version, .. }) => {
                (DocumentOperation::Raced { version: *version }, true)
            }
            (OperatorCall::Configure { text, .. }, outcome) => {
                let version = match outcome {
                    ChangeOutcome::Acknowledged { version } => Some(*version),
                    _ => None,
                };
                let content = document_digest(text);
                let put = DocumentOperation::Put { version, content };
                (put, version.is_some())
            }
            (OperatorCall::ReadBack { .. }, ChangeOutcome::Configuration { version, text }) => {
                let content = document_digest(text);
                let version = *version;
                (DocumentOperation::Read { version, content }, true)
            }
            _ => return,
        };
        let end = known.then(|| self.seconds());
        self.operators.push(OperatorRecord {
            start: question.start,
            end,
            operation,
        });
    }

    pub(crate) fn on_operator_response(&mut self, id: u64, answer: OperatorResponse) {
        let Some(question) = self.operator_calls.remove(&id) else {
            return;
        };
        let outcome = match answer {
            OperatorResponse::ChangeOutcome(outcome) => outcome,
            OperatorResponse::State(state) => {
                let generation = state["ledger"]["realm"]
                    .as_str()
                    .and_then(|text| u64::from_str_radix(text, 16).ok())
                    .filter(|generation| *generation != 0);
                let next = OperatorCall::OpenLedger { generation };
                return self.after(
                    Duration::from_millis(50),
                    SimEvent::Ask {
                        node: 0,
                        order: next.into(),
                        tries: 0,
                    },
                );
            }
        };
        if self.operator_response_is_lost(&question.order) {
            return self.send_again(question, &outcome);
        }
        self.record_operator(&question, &outcome);
        let order = question.order;
        self.judge_again(&order, &outcome);
        let operator_calls = order.operator_calls;
        let settled = matches!(outcome, ChangeOutcome::Acknowledged { .. });
        if let (
            OperatorCall::Origins { .. },
            ChangeOutcome::Acknowledged { version }
            | ChangeOutcome::VersionConflict { version, .. },
        ) = (&operator_calls, &outcome)
        {
            self.origins_at = *version;
        }
        match operator_calls {
            OperatorCall::Configure {
                marker,
                text,
                race,
                without,
                ..
            } => {
                self.changing.remove(&marker);
                self.configured(outcome, marker, text, race, without);
            }
            OperatorCall::Purge { prefix, version } => {
                self.record("purged", &prefix, version, settled);
                if settled {
                    self.spring(Trigger::Purged);
                }
            }
            OperatorCall::Origins { list, at } => self.on_origins_outcome(&list, settled, at),
            OperatorCall::OpenLedger { .. } if !settled => self.after(
                Duration::from_millis(50),
                SimEvent::Ask {
                    node: 1,
                    order: OperatorCall::OpenLedger { generation: None }.into(),
                    tries: 0,
                },
            ),
            OperatorCall::OpenLedger { .. } => {}
            OperatorCall::PutItem { item } => {
                if settled {
                    self.item_acknowledged(item.revision);
                }
            }
            OperatorCall::Order { order } => self.on_order_outcome(order, outcome),
            OperatorCall::ReadBack {
                expect: (version, text),
            } => {
                if let ChangeOutcome::Configuration {
                    version: known,
                    text: told,
                } = outcome
                {
                    // A later change may be in force by now, never an older one.
                    let same = if known == version {
                        *told == *text
                    } else {
                        known > version
                    };
                    self.record("read-back", "", version, same);
                }
            }
        }
    }

    /// A version is in force everywhere: every live edge has it by now.
    fn acknowledged_at(&mut self, version: u64, number: u64) {
        self.record("acknowledged", "", version, true);
        for node in self.edges() {
            if !self.nodes[node].live(self.now) {
                continue;
            }
            let image = self.nodes[node].image.as_ref();
            let known = image.map_or(0, |image| image.version);
            let subject = format!("{:?}", self.nodes[node].place);
            self.record("at-ack", &subject, number, known >= version);
        }
    }

    fn configured(
        &mut self,
        outcome: ChangeOutcome,
        marker: u64,
        text: String,
        race: bool,
        without: Vec<u64>,
    ) {
        match outcome {
            ChangeOutcome::Acknowledged { version } => {
                self.record("configured", "", marker, true);
                without
                    .into_iter()
                    .for_each(|gone| self.record("removed", "", gone, true));
                self.acknowledged_at(version, marker);
                // Sent before everything was lost, and settled after it.
                if !self.markers.contains(&marker) {
                    self.markers.push(marker);
                }
                self.spring(Trigger::Configured);
                if self
                    .acknowledged
                    .as_ref()
                    .is_none_or(|(known, _)| *known < version)
                {
                    self.acknowledged = Some((version, text));
                }
            }
            ChangeOutcome::Findings(_) => self.record("invalid-refused", "", marker, marker == 999),
            // Unknown: the marker may be in force, so it stays in later documents.
            ChangeOutcome::Unknown => self.record("configure-unknown", "", marker, true),
            // Nothing was done, and so nothing comes into force.
            ChangeOutcome::NoMajority => {
                self.markers.retain(|known| *known != marker);
                self.record("no-majority", "", marker, true);
            }
            ChangeOutcome::VersionConflict { .. } => {
                self.markers.retain(|known| *known != marker);
                self.record("raced", "", marker, race);
            }
            _ => {}
        }
    }

    /// One operator's change, made on top of `base`, with a marker of its own.
    /// A marker that stood in four changes is taken out again.
    pub(crate) fn configure(&mut self, node: usize, base: &[u64], expect: Option<u64>, race: bool) {
        self.next_marker += 1;
        let marker = self.next_marker;
        self.changing.insert(marker);
        let mut list: Vec<u64> = base.iter().copied().chain([marker]).collect();
        // The one that was acknowledged last is looked for meanwhile: it stays.
        let last = self.last("configured");
        if !race && list.len() > 4 {
            let oldest = usize::from(list.first().copied() == last);
            self.removed.push(list.remove(oldest));
        }
        self.markers.push(marker);
        self.markers.retain(|known| !self.removed.contains(known));
        let text = self.plan.deployment.document_with(&list, self.grown);
        let without = self.removed.clone();
        self.ask(
            node,
            OperatorCall::Configure {
                marker,
                text,
                expect,
                race,
                without,
            },
            0,
        );
    }
}
