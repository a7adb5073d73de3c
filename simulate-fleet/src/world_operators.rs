//! Simulated operators and the platform's updates of the origin list.
use crate::prelude::*;

/// Interval between two attempts of an operator while no control node is ready.
const OPERATOR_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Number of retries after which the operator gives up.
const MAX_OPERATOR_RETRIES: u32 = 20;
/// Delay between two steps of opening the ledger.
const LEDGER_RETRY_DELAY: Duration = Duration::from_millis(50);

impl World {
    /// Puts the platform's origin list, or marks that a newer list waits.
    pub(crate) fn put_origins(&mut self) {
        if let Some(update_waiting) = &mut self.origins_put_pending {
            *update_waiting = true;
            return;
        }
        self.origins_put_pending = Some(false);
        let list = self
            .origins
            .iter()
            .map(|origin| origin.origin.clone())
            .collect();
        let node = self.random.below(self.plan.control_nodes as u64) as usize;
        self.send_operator_call(node, OperatorCall::Origins { list, at: 0.0 }, 0);
    }

    /// Records the draining origins of a settled list. They count as known from the time when a
    /// ready node received the acknowledged call. During another fault they count as known only
    /// from the acknowledgement, because before it perhaps no node could apply the list.
    pub(crate) fn on_origins_outcome(&mut self, list: &[Origin], settled: bool, received_at: f64) {
        let update_waiting = self.origins_put_pending.take().unwrap_or(false);
        let disturbed = self.fleet_records.iter().rev().any(|record| {
            record.kind == "fault" && !record.as_expected && record.at > received_at - 5.0
        });
        let at = if disturbed {
            self.seconds()
        } else {
            received_at
        };
        for origin in list.iter().filter(|origin| settled && origin.draining) {
            if !self
                .fleet_records
                .iter()
                .any(|record| record.kind == "leaving" && record.subject == origin.instance)
            {
                self.fleet_records.push(FleetRecord {
                    at,
                    kind: "leaving".into(),
                    subject: origin.instance.clone(),
                    number: 0,
                    as_expected: true,
                });
            }
        }
        if update_waiting || !settled {
            self.after(
                Duration::from_millis(if update_waiting { 0 } else { 500 }),
                SimEvent::PutOrigins,
            );
        }
    }

    /// Sends an operator's command to a ready control node, or retries later.
    pub(crate) fn send_operator_call(
        &mut self,
        node: usize,
        command: impl Into<OperatorCommand>,
        attempts: u32,
    ) {
        let mut command = command.into();
        let Some(node) = self.ready_control_node(node) else {
            return self.retry_operator_call(node, command, attempts);
        };
        if let OperatorCall::Origins { at, .. } = &mut command.call {
            *at = self.seconds();
        }
        // Drawn in every attempt, used only by the first one.
        let new_change = self.random.below(u64::MAX >> 12);
        let change = *command.change.get_or_insert(new_change);
        if let OperatorCall::ItemCommand { command } = command.call {
            return self.send_item_command(command);
        }
        let request = self.operator_request(&command.call, change);
        self.serial += 1;
        let id = self.serial;
        self.record_operator_call(node, command);
        self.step(node, Input::Operator { id, request });
    }

    /// The first ready control node at or after this index, as an operator's tool selects it.
    fn ready_control_node(&self, first: usize) -> Option<usize> {
        let control = self.plan.control_nodes;
        (0..control)
            .map(|offset| (first + offset) % control)
            .chain(self.first_spare()..self.nodes.len())
            .find(|node| self.nodes[*node].state_machine.is_some() && self.nodes[*node].ready)
    }

    /// Retries a call while no control node is ready, up to `MAX_OPERATOR_RETRIES`.
    fn retry_operator_call(&mut self, node: usize, command: OperatorCommand, attempts: u32) {
        if attempts < MAX_OPERATOR_RETRIES {
            let retry = SimEvent::SendOperatorCall {
                node,
                command,
                attempts: attempts + 1,
            };
            self.after(OPERATOR_RETRY_DELAY, retry);
        } else if let OperatorCall::Configure { marker, .. } = command.call {
            self.pending_markers.remove(&marker);
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
                    expect: Some(self.origins_version),
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
            OperatorCall::OpenLedger { generation: None } | OperatorCall::ItemCommand { .. } => {
                return OperatorRequest::State;
            }
        };
        OperatorRequest::Change { partition, change }
    }

    pub(crate) fn record_operator_call(
        &mut self,
        node: usize,
        command: impl Into<OperatorCommand>,
    ) {
        let mut command = command.into();
        let now = self.seconds();
        let start = *command.start.get_or_insert(now);
        let pending_call = PendingOperatorCall {
            node,
            command,
            start,
        };
        self.operator_calls.insert(self.serial, pending_call);
    }

    /// Records a call on the configuration document and its outcome for the history check.
    pub(crate) fn record_operator(
        &mut self,
        pending_call: &PendingOperatorCall,
        outcome: &ChangeOutcome,
    ) {
        let (operation, known) = match (&pending_call.command.call, outcome) {
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
        self.operator_records.push(OperatorRecord {
            start: pending_call.start,
            end,
            operation,
        });
    }

    pub(crate) fn on_operator_response(&mut self, id: u64, response: OperatorResponse) {
        let Some(pending_call) = self.operator_calls.remove(&id) else {
            return;
        };
        let outcome = match response {
            OperatorResponse::ChangeOutcome(outcome) => outcome,
            OperatorResponse::State(state) => return self.open_reported_ledger(&state),
        };
        if self.operator_response_is_lost(&pending_call.command) {
            return self.resend_to_next_node(pending_call, &outcome);
        }
        self.record_operator(&pending_call, &outcome);
        self.check_resent_command(&pending_call.command, &outcome);
        self.on_operator_outcome(pending_call.command.call, outcome);
    }

    /// Opens the ledger of the generation that a node reports.
    fn open_reported_ledger(&mut self, state: &serde_json::Value) {
        let generation = state["ledger"]["realm"]
            .as_str()
            .and_then(|text| u64::from_str_radix(text, 16).ok())
            .filter(|generation| *generation != 0);
        self.open_ledger(0, generation);
    }

    fn open_ledger(&mut self, node: usize, generation: Option<u64>) {
        let open = SimEvent::SendOperatorCall {
            node,
            command: OperatorCall::OpenLedger { generation }.into(),
            attempts: 0,
        };
        self.after(LEDGER_RETRY_DELAY, open);
    }

    fn on_operator_outcome(&mut self, call: OperatorCall, outcome: ChangeOutcome) {
        let settled = matches!(outcome, ChangeOutcome::Acknowledged { .. });
        match call {
            OperatorCall::Configure {
                marker,
                text,
                race,
                removed_markers,
                ..
            } => {
                self.pending_markers.remove(&marker);
                self.on_configuration_outcome(outcome, marker, text, race, removed_markers);
            }
            OperatorCall::Purge { prefix, version } => {
                self.record("purged", &prefix, version, settled);
                if settled {
                    self.trigger_loss(Trigger::Purged);
                }
            }
            OperatorCall::Origins { list, at } => {
                if let ChangeOutcome::Acknowledged { version }
                | ChangeOutcome::VersionConflict { version, .. } = outcome
                {
                    self.origins_version = version;
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
            OperatorCall::ItemCommand { command } => self.on_item_command_outcome(command, outcome),
            OperatorCall::ReadBack { expect } => self.on_read_back(expect, outcome),
        }
    }

    /// Checks a read-back: it may return a later version, but never an older one.
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

    /// Checks that every live edge has an acknowledged version or a later one.
    fn on_configuration_acknowledged(&mut self, version: u64, number: u64) {
        self.record("acknowledged", "", version, true);
        for node in self.edges() {
            if !self.nodes[node].live(self.now) {
                continue;
            }
            let route_table = self.nodes[node].route_table.as_ref();
            let known = route_table.map_or(0, |table| table.version);
            let subject = format!("{:?}", self.nodes[node].node_id);
            self.record("at-ack", &subject, number, known >= version);
        }
    }

    fn on_configuration_outcome(
        &mut self,
        outcome: ChangeOutcome,
        marker: u64,
        text: String,
        race: bool,
        removed_markers: Vec<u64>,
    ) {
        match outcome {
            ChangeOutcome::Acknowledged { version } => {
                self.record("configured", "", marker, true);
                removed_markers
                    .into_iter()
                    .for_each(|removed| self.record("removed", "", removed, true));
                self.on_configuration_acknowledged(version, marker);
                // The change may have been sent before a total loss and settled after it.
                if !self.markers.contains(&marker) {
                    self.markers.push(marker);
                }
                self.trigger_loss(Trigger::Configured);
                if self
                    .last_acknowledged
                    .as_ref()
                    .is_none_or(|(known, _)| *known < version)
                {
                    self.last_acknowledged = Some((version, text));
                }
            }
            ChangeOutcome::Findings(_) => self.record("invalid-refused", "", marker, marker == 999),
            // The marker may be in effect, so it stays in later documents.
            ChangeOutcome::Unknown => self.record("configure-unknown", "", marker, true),
            // The change was not applied and cannot take effect later.
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

    /// Puts a configuration with the markers of `base` and a new one. Outside races, the oldest
    /// marker is removed once there are more than four.
    pub(crate) fn configure(&mut self, node: usize, base: &[u64], expect: Option<u64>, race: bool) {
        self.next_marker += 1;
        let marker = self.next_marker;
        self.pending_markers.insert(marker);
        let mut list: Vec<u64> = base.iter().copied().chain([marker]).collect();
        // The last acknowledged marker stays, because edges are checked for it.
        let last = self.last_recorded("configured");
        if !race && list.len() > 4 {
            let oldest = usize::from(list.first().copied() == last);
            self.removed_markers.push(list.remove(oldest));
        }
        self.markers.push(marker);
        self.markers
            .retain(|known| !self.removed_markers.contains(known));
        let text = self
            .plan
            .deployment
            .document_with(&list, self.extra_entries);
        let removed_markers = self.removed_markers.clone();
        self.send_operator_call(
            node,
            OperatorCall::Configure {
                marker,
                text,
                expect,
                race,
                removed_markers,
            },
            0,
        );
    }
}
