use crate::prelude::*;

/// Which of two queues a message waits in. See the module's page on why no
/// receiver depends on the order between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Keeps sessions, leases and agreements alive, or is awaited by a caller;
    /// small.
    Urgent,
    /// Carries state or content, and may be large.
    Bulk,
}

impl Priority {
    pub fn of(message: &Message) -> Priority {
        match message {
            Message::RenewReply(reply) if reply.news.is_empty() => Priority::Urgent,
            Message::RenewReply(_)
            | Message::SnapshotReply(_)
            | Message::PrepareReply(_)
            | Message::AppendRequest(_)
            | Message::RecallReply(_)
            | Message::Copy(_)
            | Message::Put(_)
            | Message::HandoverReply(_) => Priority::Bulk,
            Message::ChangeRequest(request) => Priority::of_change(&request.ask),
            Message::ChangeReply(reply) => Priority::of_outcome(&reply.told),
            _ => Priority::Urgent,
        }
    }

    /// Only operators' and the platform's own changes are large and in no
    /// hurry; all that concerns one operation key goes one way.
    fn of_change(change: &Change) -> Priority {
        match change {
            Change::PutConfiguration { .. }
            | Change::PutItems { .. }
            | Change::PutOrigins { .. } => Priority::Bulk,
            _ => Priority::Urgent,
        }
    }

    fn of_outcome(outcome: &Outcome) -> Priority {
        match outcome {
            Outcome::Rows { .. } | Outcome::Configuration { .. } => Priority::Bulk,
            _ => Priority::Urgent,
        }
    }
}
