//! Operators who set items: their answers may be lost, and then the same order
//! is sent again to the next control node.

use crate::prelude::*;

/// One operator's order: an item under a revision, with a content.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemCommand {
    /// When it is first sent.
    pub at: Duration,
    /// The control node that is asked first.
    pub node: usize,
    /// Of the item.
    pub name: String,
    /// The number the operator gives it.
    pub revision: u64,
    /// Tells contents apart.
    pub content: u32,
    /// So many answers do not reach the operator.
    pub operator_responses_lost: u32,
}

/// What became of an order.
#[derive(Debug, Clone)]
pub struct ItemCommandRecord {
    /// What was ordered.
    pub command: ItemCommand,
    /// How often it was sent.
    pub attempts: u32,
    /// The answer that ended it; none if it was sent until the end.
    pub outcome: Option<ChangeOutcome>,
    /// When it ended.
    pub ended_at: Duration,
}

/// An operator without an answer sends again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// An operator waits this long for one node.
const ITEM_COMMAND_TIMEOUT: Duration = Duration::from_millis(3500);

impl ItemCommand {
    fn change(&self) -> Change {
        let text: Arc<str> = json!({
            "service": self.name, "rate": 1 + self.content, "concurrency": 2, "proof": "named",
        })
        .to_string()
        .into();
        let item = Item {
            kind: ItemKind::Group,
            name: self.name.clone(),
            revision: self.revision,
            text: Some(text.clone()),
            source: text,
        };
        Change::PutItems { items: vec![item] }
    }
}

impl ItemCommandRecord {
    /// The order as its item's history has it: all its tries are one call. One
    /// that was refused for another reason than a conflict may have met a node
    /// that could not tell.
    pub(crate) fn history(&self) -> ItemRecord {
        let ItemCommand {
            at,
            name,
            revision,
            content,
            ..
        } = &self.command;
        let (revision, content) = (*revision, Some(content.to_string()));
        let (operation, known) = match &self.outcome {
            Some(ChangeOutcome::RevisionConflict(_)) => {
                (RevisedOperation::Conflict { revision, content }, true)
            }
            outcome => {
                let settled = matches!(outcome, Some(ChangeOutcome::Acknowledged { .. }));
                (RevisedOperation::Put { revision, content }, settled)
            }
        };
        ItemRecord {
            name: name.clone(),
            start: at.as_secs_f64(),
            end: known.then_some(self.ended_at.as_secs_f64()),
            operation,
        }
    }
}

impl World {
    /// Puts the plan's orders on the timetable.
    pub(crate) fn schedule_item_commands(&mut self) {
        for (command, at) in self
            .plan
            .commands
            .iter()
            .map(|command| command.at)
            .enumerate()
            .collect::<Vec<_>>()
        {
            let record = ItemCommandRecord {
                command: self.plan.commands[command].clone(),
                attempts: 0,
                outcome: None,
                ended_at: Duration::ZERO,
            };
            self.commands.push(record);
            self.push(at, SimEvent::SendItemCommand { command });
        }
    }

    pub(crate) fn send_item_command(&mut self, command: usize) {
        let record = &mut self.commands[command];
        if record.outcome.is_some() {
            return;
        }
        let node = (record.command.node + record.attempts as usize) % self.plan.control;
        record.attempts += 1;
        let change = record.command.change();
        if self.nodes[node].state_machine.is_none() {
            return self.after(RETRY_INTERVAL, SimEvent::SendItemCommand { command });
        }
        self.serial += 1;
        let id = self.serial;
        self.record_operator_call(node, OperatorCall::ItemCommand { command });
        self.after(ITEM_COMMAND_TIMEOUT, SimEvent::ItemCommandTimesOut { id });
        let partition = CONFIGURATION_PARTITION;
        let request = OperatorRequest::Change { partition, change };
        self.step(node, Input::Operator { id, request });
    }

    /// The operator gives this try up and goes to the next node.
    pub(crate) fn item_command_times_out(&mut self, id: u64) {
        if self.operator_calls.contains_key(&id) {
            self.on_operator_response(id, OperatorResponse::ChangeOutcome(ChangeOutcome::Unknown));
        }
    }

    pub(crate) fn on_item_command_outcome(&mut self, command: usize, outcome: ChangeOutcome) {
        let now = self.now;
        let record = &mut self.commands[command];
        let lost = record.command.operator_responses_lost > 0;
        if lost {
            record.command.operator_responses_lost -= 1;
        }
        if lost || matches!(outcome, ChangeOutcome::Unknown | ChangeOutcome::NoMajority) {
            return self.after(RETRY_INTERVAL, SimEvent::SendItemCommand { command });
        }
        record.outcome = Some(outcome);
        record.ended_at = now;
    }
}
