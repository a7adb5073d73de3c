//! Lost responses to operators, and commands that are resent.
use crate::prelude::*;

/// Percentage of responses to operators that are lost during `LoseOperatorResponses`.
const LOST_RESPONSE_PERCENT: u64 = 60;
/// Name of the configuration item that operators put.
const ITEM_NAME: &str = "note";

impl World {
    /// Puts the named item under its next revision, with a text unique to the revision.
    pub(crate) fn put_item(&mut self) {
        self.item_revision += 1;
        let revision = self.item_revision;
        let group = self.plan.deployment.services[1].name;
        let path = format!("/note/{revision}");
        let entry = json!({
            "name": ITEM_NAME, "path": path, "methods": ["POST"],
            "group": group, "rank": 0, "kind": "keyed",
        });
        let text: Arc<str> = entry.to_string().into();
        let item = Item {
            kind: ItemKind::Entry,
            name: ITEM_NAME.into(),
            revision,
            source: text.clone(),
            text: Some(text),
        };
        let node = self.random.below(self.plan.control_nodes as u64) as usize;
        self.send_operator_call(node, OperatorCall::PutItem { item }, 0);
    }

    /// Checks that every live edge applies an acknowledged revision or a later one.
    pub(crate) fn item_acknowledged(&mut self, revision: u64) {
        for node in self.edges() {
            if !self.nodes[node].live(self.now) {
                continue;
            }
            let shown = (revision..=self.item_revision)
                .any(|later| self.entry_visible(node, &format!("/note/{later}")) == Some(true));
            let subject = format!("{ITEM_NAME} at {:?}", self.nodes[node].node_id);
            self.record("at-ack", &subject, revision, shown);
        }
    }

    pub(crate) fn operator_response_is_lost(&mut self, command: &OperatorCommand) -> bool {
        let is_change = matches!(
            command.call,
            OperatorCall::Configure { .. }
                | OperatorCall::Purge { .. }
                | OperatorCall::Origins { .. }
                | OperatorCall::PutItem { .. }
        );
        is_change
            && self.now < self.operator_responses_lost_until
            && self.random.chance(LOST_RESPONSE_PERCENT)
    }

    /// Resends a command whose response was lost to the next control node.
    pub(crate) fn resend_to_next_node(
        &mut self,
        pending_call: PendingOperatorCall,
        outcome: &ChangeOutcome,
    ) {
        let PendingOperatorCall { node, command, .. } = pending_call;
        let settled = command.settled || matches!(outcome, ChangeOutcome::Acknowledged { .. });
        let span = self.random_micros(100_000, 1_500_000);
        let resend = SimEvent::SendOperatorCall {
            node: (node + 1) % self.plan.control_nodes,
            command: OperatorCommand { settled, ..command },
            attempts: 0,
        };
        self.after(span, resend);
    }

    /// Checks that a settled command is not rejected when it is resent. A response that reports
    /// an unknown outcome or no majority is allowed.
    pub(crate) fn check_resent_command(
        &mut self,
        command: &OperatorCommand,
        outcome: &ChangeOutcome,
    ) {
        if !command.settled || matches!(outcome, ChangeOutcome::Unknown | ChangeOutcome::NoMajority)
        {
            return;
        }
        let good = matches!(outcome, ChangeOutcome::Acknowledged { .. });
        let subject = match &command.call {
            OperatorCall::Configure { .. } => "configuration",
            OperatorCall::Purge { .. } => "purge",
            OperatorCall::Origins { .. } => "origins",
            OperatorCall::PutItem { .. } => "item",
            OperatorCall::ItemCommand { .. }
            | OperatorCall::ReadBack { .. }
            | OperatorCall::OpenLedger { .. } => return,
        };
        self.record("order-again", subject, 0, good);
    }

    /// Clears the settled state of commands after a total loss, since no node knows them.
    pub(crate) fn clear_settled_flags(&mut self) {
        let waiting = self
            .operator_calls
            .values_mut()
            .map(|pending_call| &mut pending_call.command);
        let queued = self.queue.values_mut().filter_map(|event| match event {
            SimEvent::SendOperatorCall { command, .. } => Some(command),
            _ => None,
        });
        for command in waiting.chain(queued) {
            command.settled = false;
        }
    }
}
