//! Which messages go ahead of others.
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

/// Rows of the partitions that all edges wait for (configuration, purges,
/// origins, assignments, members) are urgent up to this size: they do not stand
/// behind ledgers, which are large and many after a loss.
const URGENT_STATE_BYTES: usize = 64 * 1024;

impl Priority {
    /// `bytes`: the size of the message as it is sent.
    pub fn of(message: &Message, bytes: usize) -> Priority {
        let partition = match message {
            Message::AppendRequest(request) => Some(request.partition),
            Message::PrepareReply(reply) => Some(reply.partition),
            Message::RecallReply(reply) => Some(reply.partition),
            _ => None,
        };
        match partition {
            Some(partition) if partition < PUBLISHED_PARTITIONS && bytes <= URGENT_STATE_BYTES => {
                Priority::Urgent
            }
            _ => Priority::of_kind(message),
        }
    }

    fn of_kind(message: &Message) -> Priority {
        match message {
            Message::RenewReply(reply) if reply.updates.is_empty() => Priority::Urgent,
            Message::RenewReply(_)
            | Message::SnapshotReply(_)
            | Message::PrepareReply(_)
            | Message::AppendRequest(_)
            | Message::RecallReply(_)
            | Message::CacheCopy(_)
            | Message::CachePut(_)
            | Message::HandoverReply(_) => Priority::Bulk,
            Message::ChangeRequest(request) => Priority::of_change(&request.change),
            Message::ChangeReply(reply) => Priority::of_outcome(&reply.outcome),
            _ => Priority::Urgent,
        }
    }

    /// Only operators' and the platform's own changes are large and in no
    /// hurry; all that concerns one operation key goes one way.
    fn of_change(change: &Change) -> Priority {
        match change {
            Change::PutConfiguration { .. } | Change::PutItems { .. } => Priority::Bulk,
            _ => Priority::Urgent,
        }
    }

    fn of_outcome(outcome: &ChangeOutcome) -> Priority {
        match outcome {
            ChangeOutcome::Rows { .. } | ChangeOutcome::Configuration { .. } => Priority::Bulk,
            _ => Priority::Urgent,
        }
    }
}
