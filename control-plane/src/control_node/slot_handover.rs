//! A member that is about to end hands its slot, with all that its disk holds,
//! to an empty node that waits for one.
//!
//! The leaving member offers its slot to the leader of the membership table,
//! which writes a table that names the newcomer in its place. From when the
//! leaving member goes by that table it acknowledges nothing any more, over its
//! restarts. Only then does it send what its disk holds, to its direct successor
//! and to nobody else: the newcomer's disk then is the one that the slot had,
//! moved to another machine, and counts at once. If any message of it is lost
//! for good, the newcomer is refilled from the others as ever.

use super::*;

/// An empty node that asked within this time is there and waits.
const JOINER_TIMEOUT: Duration = Duration::from_secs(1);
/// Who leads the table for less than this may not have heard of one that waits.
const JOINER_DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Operators' calls under way here are answered before the slot is offered, if
/// that takes no longer.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// An offer that nobody answers for this long is given up.
const OFFER_TIMEOUT: Duration = LEADER_HANDOVER_TIMEOUT;
/// A removed member stays for its successor until so long after the warning:
/// below the grace period of the platform.
const SUCCESSOR_WAIT_TIMEOUT: Duration = Duration::from_millis(5_200);
/// What the disk holds is sent again when it was not received by then.
const STATE_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// An empty node that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingJoiner {
    pub(super) peer: Peer,
    pub(super) requested_at: Duration,
}

/// What becomes of a member's slot after a warning.
#[derive(Debug, Default)]
pub(super) enum Handover {
    /// Not warned, or the offer is not answered yet.
    #[default]
    Offered,
    /// A newcomer waits, and will have the slot.
    Deferred,
    /// Nobody waits for the slot: it is kept.
    Retained,
    /// The table of this version gives it to the successor.
    Assigned {
        version: u64,
        successor: Peer,
        last_sent: Option<Duration>,
    },
    /// The successor's disk is full.
    Received,
}

impl ControlNode {
    /// Offers the slot of a node that was warned to who leads the table.
    pub(super) fn offer_slot(&mut self, now: Duration) {
        let answered = matches!(self.handover, Handover::Retained | Handover::Received);
        let calls_first = !self.operator_calls.is_empty()
            && self
                .shutdown_requested_at
                .is_some_and(|since| now < since + CALL_DRAIN_TIMEOUT);
        if answered || calls_first || !self.can_vote() {
            return;
        }
        let Some(slot) = self.preferred_leader(now, MEMBERSHIP_PARTITION) else {
            return;
        };
        let offer = ChangeRequest {
            hops: 0,
            requester: self.address,
            id: 0,
            partition: MEMBERSHIP_PARTITION,
            change: Change::OfferSlot { member: self.me() },
        };
        self.send(self.address(slot), offer);
    }

    /// As leader of the table: gives a leaving member's slot to a newcomer, if
    /// one waits.
    pub(super) fn assign_offered_slot(&mut self, now: Duration, member: Peer) {
        let Some(slot) = self.members.iter().position(|known| known.names(&member)) else {
            return;
        };
        let waiting = self
            .waiting_joiner
            .filter(|newcomer| now < newcomer.requested_at + JOINER_TIMEOUT)
            .map(|newcomer| newcomer.peer)
            .filter(|peer| !self.members.iter().any(|known| known.names(peer)));
        let answer = match waiting {
            None if self.may_not_know_joiners(now) => return,
            None => SlotOfferOutcome::NoNewcomer,
            Some(_) if !self.membership_is_calm(now) => SlotOfferOutcome::Later,
            Some(successor) => {
                let mut members = self.members.clone();
                members[slot] = successor;
                let Some(version) = self.put_table(members) else {
                    return;
                };
                SlotOfferOutcome::Assigned { version, successor }
            }
        };
        self.send(member.address, SlotOfferReply { outcome: answer });
    }

    /// Whether a newcomer that waits may not have asked this leader yet.
    fn may_not_know_joiners(&self, now: Duration) -> bool {
        let since = self
            .leaders
            .get(&MEMBERSHIP_PARTITION)
            .and_then(|leader| leader.active_since);
        since.is_none_or(|since| now < since + JOINER_DISCOVERY_TIME)
    }

    /// The answer to our offer.
    pub(super) fn handle_slot_offer_reply(&mut self, now: Duration, reply: &SlotOfferReply) {
        let sent = matches!(
            self.handover,
            Handover::Assigned {
                last_sent: Some(_),
                ..
            }
        );
        let over = matches!(self.handover, Handover::Retained | Handover::Received);
        if self.shutdown_requested_at.is_none() || sent || over {
            return;
        }
        let assigned = matches!(self.handover, Handover::Assigned { .. });
        self.handover = match reply.outcome {
            SlotOfferOutcome::NoNewcomer => Handover::Retained,
            // To an offer made again while the table was on its way.
            SlotOfferOutcome::Later if assigned => return,
            SlotOfferOutcome::Later => Handover::Deferred,
            SlotOfferOutcome::Assigned { version, successor } => Handover::Assigned {
                version,
                successor,
                last_sent: None,
            },
        };
        if self.removed {
            self.tick_handover(now);
        }
    }

    /// Makes the offer again, or sends what the disk holds once it acknowledges
    /// nothing any more.
    pub(super) fn tick_handover(&mut self, now: Duration) {
        if self.shutdown_requested_at.is_none() {
            return;
        }
        self.offer_slot(now);
        let Handover::Assigned {
            version,
            successor,
            last_sent: sent,
        } = self.handover
        else {
            return;
        };
        let due = sent.is_none_or(|sent| now >= sent + STATE_RETRY_INTERVAL);
        if !self.removed || !self.replica.full || self.disk_failure.is_some() || !due {
            return;
        }
        self.handover = Handover::Assigned {
            version,
            successor,
            last_sent: Some(now),
        };
        let state = SlotState {
            version,
            slot: self.slot,
            lost_generation: self.lost_generation(),
            retired_incarnations: self.retired_incarnations(),
            partitions: self.replica.snapshot(),
        };
        self.send_after_sync(successor.address, self.current_table());
        self.send_after_sync(successor.address, state);
    }

    /// The disk of our slot, as the member before us left it. It counts only if
    /// no other held the slot between: the table that first named us is the one
    /// that followed the sender's,
    /// and gave us the sender's slot.
    pub(super) fn handle_slot_state(&mut self, now: Duration, from: Peer, state: SlotState) {
        let version = state.version;
        let direct = self.membership_version == version && self.slot == state.slot;
        if self.recovery.is_some() && direct {
            for incarnation in &state.retired_incarnations {
                self.retire_incarnation(*incarnation);
            }
            let merged = RecoveredState {
                partitions: state.partitions,
                majority_lost: state.lost_generation != 0,
            };
            self.finish_recovery(now, merged);
        }
        if self.can_vote() && self.membership_version >= version {
            self.send_after_sync(from.address, SlotStateReceived { version });
        }
    }

    pub(super) fn handle_slot_state_received(&mut self, received: &SlotStateReceived) {
        if matches!(self.handover, Handover::Assigned { version, .. } if version == received.version)
        {
            self.handover = Handover::Received;
        }
    }

    /// Also one that was removed a moment ago: the answer to its offer may still
    /// be on its way.
    fn has_slot_to_offer(&self) -> bool {
        self.slot != NO_SLOT && self.replica.full && self.disk_failure.is_none()
    }

    /// Whether nothing is left to do for the slot of a node that was warned.
    pub(super) fn handover_complete(&self, now: Duration, warned: Duration) -> bool {
        match self.handover {
            Handover::Offered => !self.has_slot_to_offer() || now >= warned + OFFER_TIMEOUT,
            Handover::Retained | Handover::Received => true,
            Handover::Deferred | Handover::Assigned { .. } => {
                now >= warned + SUCCESSOR_WAIT_TIMEOUT
            }
        }
    }
}
