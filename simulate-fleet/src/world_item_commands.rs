//! Item commands of operators: if a response is lost, the command is resent to the next
//! control node.

use crate::prelude::*;

/// Operator command that puts an item under a revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ItemCommand {
    /// Time of the first attempt.
    pub at: Duration,
    /// The control node of the first attempt.
    pub node: usize,
    /// Name of the item.
    pub name: String,
    /// Revision number that the operator assigns.
    pub revision: u64,
    /// Distinguishes contents of the same item.
    pub content: u32,
    /// Number of responses that are lost before they reach the operator.
    pub operator_responses_lost: u32,
}

/// Result of an item command.
#[derive(Debug, Clone)]
pub struct ItemCommandRecord {
    /// The command.
    pub command: ItemCommand,
    /// Number of attempts.
    pub attempts: u32,
    /// Final response; none if the command was retried until the end of the run.
    pub outcome: Option<ChangeOutcome>,
    /// Time of the final response.
    pub ended_at: Duration,
}

/// Delay between two attempts of a command.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time that an operator waits for the response of one node.
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
    /// Entry of the command in its item's history, with all attempts as one call. A command
    /// rejected for another reason than a conflict has an unknown outcome.
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
    /// Schedules the item commands of the plan.
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
        let node = (record.command.node + record.attempts as usize) % self.plan.control_nodes;
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

    /// Ends an attempt that timed out; the command is retried at the next node.
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
