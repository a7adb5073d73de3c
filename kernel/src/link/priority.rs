//! Priorities of messages.
use crate::prelude::*;

/// The priority of a message; each peer has one outgoing queue per priority. The
/// documentation of the parent module explains why no receiver depends on the order
/// between the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Priority {
    /// Small messages that keep sessions, leases and consensus alive, or that a
    /// client waits for.
    Urgent,
    /// Messages that carry state or content, and may be large.
    Bulk,
}

/// Maximum size, in bytes, of urgent messages with rows of the partitions that all
/// edges wait for (configuration, purges, origins, assignments, members): such
/// messages do not wait behind ledger rows, which are large and numerous after a loss.
const URGENT_STATE_BYTES: usize = 64 * 1024;

impl Priority {
    /// Returns the priority of a message whose encoding has this many bytes.
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

    /// Returns the priority of a change. Only configuration changes are large and
    /// not urgent; all messages about an operation key have the same priority.
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
