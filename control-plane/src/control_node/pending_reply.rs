//! Replies to changes, and the progress that the leader must reach before they are sent.

use super::*;

/// Reply that waits until its leader has reached the required progress.
pub(super) struct PendingReply {
    /// Partition of the change.
    pub(super) partition: u8,
    /// Address to which the reply is sent.
    pub(super) requester: SocketAddr,
    /// Id of the change at the requester.
    pub(super) id: u64,
    /// Version that must be committed.
    pub(super) required_commit: u64,
    /// Version that must be settled.
    pub(super) required_settled: u64,
    /// Round that must be confirmed.
    pub(super) required_round: u64,
    /// Outcome that is sent.
    pub(super) outcome: ChangeOutcome,
}

impl PendingReply {
    /// Returns a reply to this request without any requirement yet.
    pub(super) fn new(request: &ChangeRequest) -> PendingReply {
        PendingReply {
            partition: request.partition,
            requester: request.requester,
            id: request.id,
            required_commit: 0,
            required_settled: 0,
            required_round: 0,
            outcome: ChangeOutcome::Unknown,
        }
    }

    /// Returns true if the leader of its partition has reached the required progress.
    pub(super) fn is_due(&self, leader: &PartitionLeader) -> bool {
        self.partition == leader.partition
            && self.required_commit <= leader.committed()
            && self.required_settled <= leader.settled()
            && self.required_round <= leader.confirmed_round()
    }

    /// Returns the receiver's address and the reply.
    pub(super) fn into_message(self) -> (SocketAddr, Message) {
        let reply = ChangeReply {
            id: self.id,
            outcome: self.outcome,
        };
        (self.requester, reply.into())
    }

    /// Acknowledges once this version has settled, that is, every live edge uses it.
    pub(super) fn acknowledge(&mut self, version: u64) {
        self.required_settled = version;
        self.outcome = ChangeOutcome::Acknowledged { version };
    }

    /// Acknowledges as soon as the version is on a majority of disks, without waiting until it settles.
    pub(super) fn acknowledge_commit(&mut self) {
        if self.required_settled > 0 {
            self.required_commit = std::mem::take(&mut self.required_settled);
        }
    }

    /// Reports this outcome once its version is on a majority of disks.
    pub(super) fn report_commit(&mut self, (version, outcome): (u64, ChangeOutcome)) {
        self.required_commit = version;
        self.outcome = outcome;
    }

    /// Refuses a change because of the current rows. The refusal is sent only once these rows are on a majority of
    /// disks and the leader is confirmed, since a superseded leader may not know the changes accepted after it.
    pub(super) fn refuse(&mut self, leader: &mut PartitionLeader, outcome: ChangeOutcome) {
        self.required_commit = leader.version;
        self.required_round = leader.begin_read_round();
        self.outcome = outcome;
    }
}
