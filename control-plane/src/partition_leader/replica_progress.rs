//! Replication progress of one replica, as its leader knows it.

use crate::prelude::*;

/// Replication progress of the replica in one slot, under the leader's epoch.
#[derive(Debug, Clone, Default)]
pub(super) struct ReplicaProgress {
    /// Version up to which its disk holds the leader's rows; none until it synced the first append.
    pub(super) synced_version: Option<u64>,
    /// Published version that it was last sent.
    pub(super) sent_published: u64,
    /// Newest round that it replied to.
    pub(super) confirmed_round: u64,
    /// Version that all sessions at its node have confirmed.
    pub(super) sessions_confirmed: u64,
    /// Append that it has not replied to.
    pub(super) in_flight: Option<InFlight>,
}

/// Append without a reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct InFlight {
    /// Round in which it was sent.
    pub(super) round: u64,
    /// Time from which the next append may be sent even without a reply.
    pub(super) resend_at: Duration,
}

impl ReplicaProgress {
    /// Records a reply. Replies may arrive late and in any order, so no value decreases.
    pub(super) fn on_append_reply(&mut self, reply: &AppendReply) {
        if self
            .in_flight
            .is_some_and(|append| append.round == reply.round)
        {
            self.in_flight = None;
        }
        let synced_version = self.synced_version.unwrap_or(0).max(reply.synced_version);
        self.synced_version = Some(synced_version);
        self.confirmed_round = self.confirmed_round.max(reply.round);
        let sessions_confirmed = reply.sessions_confirmed.unwrap_or(0);
        self.sessions_confirmed = self.sessions_confirmed.max(sessions_confirmed);
    }

    /// Returns true if an append is in flight that should not be sent again yet.
    pub(super) fn awaits_reply(&self, now: Duration) -> bool {
        self.in_flight.is_some_and(|append| now < append.resend_at)
    }
}
