//! Simulated operators.
use crate::prelude::*;

/// Between two attempts of an operator who finds no control node ready.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_secs(1);
/// After so many of them the operator gives up.
const MAX_OPERATOR_RETRIES: u32 = 20;
/// Between two steps of opening the ledger.
const LEDGER_RETRY_DELAY: Duration = Duration::from_millis(50);

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
        let Some(node) = self.ready_control_node(node) else {
            return self.ask_later(node, order, tries);
        };
        if let OperatorCall::Origins { at, .. } = &mut order.call {
            *at = self.seconds();
        }
        // Drawn for every order, used by its first attempt.
        let drawn = self.random.below(u64::MAX >> 12);
        let change = *order.change.get_or_insert(drawn);
        if let OperatorCall::Order { order } = order.call {
            return self.send_order(order);
        }
        let request = self.operator_request(&order.call, change);
        self.serial += 1;
        let id = self.serial;
        self.record_operator_call(node, order);
        self.step(node, Input::Operator { id, request });
    }

    /// An operator's tool takes the next control node if one is down.
    fn ready_control_node(&self, first: usize) -> Option<usize> {
        let control = self.plan.control;
        (0..control)
            .map(|more| (first + more) % control)
            .chain(self.first_spare()..self.nodes.len())
            .find(|node| self.nodes[*node].part.is_some() && self.nodes[*node].ready)
    }

    /// No control node is ready: the operator retries, and gives up in the end.
    fn ask_later(&mut self, node: usize, order: Order, tries: u32) {
        if tries < MAX_OPERATOR_RETRIES {
            let retry = SimEvent::Ask {
                node,
                order,
                tries: tries + 1,
            };
            self.after(OPERATOR_RETRY_DELAY, retry);
        } else if let OperatorCall::Configure { marker, .. } = order.call {
            self.changing.remove(&marker);
        }
    }

    fn operator_request(&self, call: &OperatorCall, change: u64) -> OperatorRequest {
        let (partition, change) = match call {
            OperatorCall::Configure { text, expect, .. } => {
                let put = Change::PutConfiguration {
                    text: text.as_str().into(),
                    expect: *expect,
                    change,
                };
                (CONFIGURATION_PARTITION, put)
            }
            OperatorCall::Purge { prefix, .. } => {
                let purge = Purge {
                    prefix: Some(prefix.clone()),
                    ..Purge::default()
                };
                (PURGES_PARTITION, Change::AddPurge { purge, change })
            }
            OperatorCall::Origins { list, .. } => {
                let put = Change::PutOrigins {
                    list: Arc::new(list.clone()),
                    expect: Some(self.origins_at),
                    change,
                    acknowledge: Acknowledge::Settled,
                };
                (ORIGINS_PARTITION, put)
            }
            OperatorCall::ReadBack { .. } => (CONFIGURATION_PARTITION, Change::GetConfiguration),
            OperatorCall::PutItem { item } => {
                let items = vec![item.clone()];
                (CONFIGURATION_PARTITION, Change::PutItems { items })
            }
            OperatorCall::OpenLedger {
                generation: Some(generation),
            } => {
                let generation = *generation;
                (ASSIGNMENTS_PARTITION, Change::OpenLedger { generation })
            }
            OperatorCall::OpenLedger { generation: None } | OperatorCall::Order { .. } => {
                return OperatorRequest::State;
            }
        };
        OperatorRequest::Change { partition, change }
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
        let (operation, known) = match (&question.order.call, outcome) {
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

    pub(crate) fn on_operator_response(&mut self, id: u64, response: OperatorResponse) {
        let Some(question) = self.operator_calls.remove(&id) else {
            return;
        };
        let outcome = match response {
            OperatorResponse::ChangeOutcome(outcome) => outcome,
            OperatorResponse::State(state) => return self.open_ledger_of(&state),
        };
        if self.operator_response_is_lost(&question.order) {
            return self.send_again(question, &outcome);
        }
        self.record_operator(&question, &outcome);
        self.judge_again(&question.order, &outcome);
        self.on_operator_outcome(question.order.call, outcome);
    }

    /// Opens the ledger under the generation that a node reports.
    fn open_ledger_of(&mut self, state: &serde_json::Value) {
        let generation = state["ledger"]["realm"]
            .as_str()
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .filter(|generation| *generation != 0);
        self.open_ledger(0, generation);
    }

    fn open_ledger(&mut self, node: usize, generation: Option<u64>) {
        let ask = SimEvent::Ask {
            node,
            order: OperatorCall::OpenLedger { generation }.into(),
            tries: 0,
        };
        self.after(LEDGER_RETRY_DELAY, ask);
    }

    fn on_operator_outcome(&mut self, call: OperatorCall, outcome: ChangeOutcome) {
        let settled = matches!(outcome, ChangeOutcome::Acknowledged { .. });
        match call {
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
            OperatorCall::Origins { list, at } => {
                if let ChangeOutcome::Acknowledged { version }
                | ChangeOutcome::VersionConflict { version, .. } = outcome
                {
                    self.origins_at = version;
                }
                self.on_origins_outcome(&list, settled, at)
            }
            OperatorCall::OpenLedger { .. } if !settled => self.open_ledger(1, None),
            OperatorCall::OpenLedger { .. } => {}
            OperatorCall::PutItem { item } => {
                if settled {
                    self.item_acknowledged(item.revision);
                }
            }
            OperatorCall::Order { order } => self.on_order_outcome(order, outcome),
            OperatorCall::ReadBack { expect } => self.on_read_back(expect, outcome),
        }
    }

    /// A later change may be in force by now, never an older one.
    fn on_read_back(&mut self, (version, text): (u64, String), outcome: ChangeOutcome) {
        let ChangeOutcome::Configuration {
            version: read_version,
            text: read_text,
        } = outcome
        else {
            return;
        };
        let same = if read_version == version {
            *read_text == *text
        } else {
            read_version > version
        };
        self.record("read-back", "", version, same);
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
