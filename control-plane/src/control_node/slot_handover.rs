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
const NEWCOMER_WAITS: Duration = Duration::from_secs(1);
/// Who leads the table for less than this may not have heard of one that waits.
const NEWCOMER_HEARD: Duration = Duration::from_millis(400);
/// Operators' calls under way here are answered before the slot is offered, if
/// that takes no longer.
const CALLS_FIRST: Duration = Duration::from_secs(1);
/// An offer that nobody answers for this long is given up.
const OFFER_LIMIT: Duration = HAND_OVER;
/// A removed member stays for its successor until so long after the warning:
/// below the grace period of the platform.
const STAY_LIMIT: Duration = Duration::from_millis(5_200);
/// What the disk holds is sent again when it was not received by then.
const STATE_AGAIN: Duration = Duration::from_millis(600);

/// An empty node that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Newcomer {
    pub(super) peer: Peer,
    pub(super) asked: Duration,
}

/// What becomes of a member's slot after a warning.
#[derive(Debug, Default)]
pub(super) enum Handover {
    /// Not warned, or the offer is not answered yet.
    #[default]
    Offered,
    /// A newcomer waits, and will have the slot.
    Later,
    /// Nobody waits for the slot: it is kept.
    Kept,
    /// The table of this version gives it to the successor.
    Assigned {
        version: u64,
        successor: Peer,
        sent: Option<Duration>,
    },
    /// The successor's disk is full.
    Received,
}

impl ControlNode {
    /// Offers the slot of a node that was warned to who leads the table.
    pub(super) fn offer_slot(&mut self, now: Duration) {
        let answered = matches!(self.handover, Handover::Kept | Handover::Received);
        let calls_first = !self.operator_calls.is_empty()
            && self.warned.is_some_and(|since| now < since + CALLS_FIRST);
        if answered || calls_first || !self.able() {
            return;
        }
        let Some(slot) = self.chosen(now, MEMBERSHIP_PARTITION) else {
            return;
        };
        let offer = ChangeRequest {
            hops: 0,
            requester: self.address,
            id: 0,
            partition: MEMBERSHIP_PARTITION,
            change: Change::OfferSlot { member: self.me() },
        };
        self.tell(self.address(slot), offer);
    }

    /// As leader of the table: gives a leaving member's slot to a newcomer, if
    /// one waits.
    pub(super) fn assign_offered_slot(&mut self, now: Duration, member: Peer) {
        let Some(slot) = self.members.iter().position(|known| known.names(&member)) else {
            return;
        };
        let waiting = self
            .newcomer
            .filter(|newcomer| now < newcomer.asked + NEWCOMER_WAITS)
            .map(|newcomer| newcomer.peer)
            .filter(|peer| !self.members.iter().any(|known| known.names(peer)));
        let answer = match waiting {
            None if self.may_lack_newcomers(now) => return,
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
        self.tell(member.address, SlotOfferReply { outcome: answer });
    }

    /// Whether a newcomer that waits may not have asked this leader yet.
    fn may_lack_newcomers(&self, now: Duration) -> bool {
        let since = self
            .leaders
            .get(&MEMBERSHIP_PARTITION)
            .and_then(|leader| leader.active_since);
        since.is_none_or(|since| now < since + NEWCOMER_HEARD)
    }

    /// The answer to our offer.
    pub(super) fn handle_slot_offer_reply(&mut self, now: Duration, reply: &SlotOfferReply) {
        let sent = matches!(self.handover, Handover::Assigned { sent: Some(_), .. });
        let over = matches!(self.handover, Handover::Kept | Handover::Received);
        if self.warned.is_none() || sent || over {
            return;
        }
        let assigned = matches!(self.handover, Handover::Assigned { .. });
        self.handover = match reply.outcome {
            SlotOfferOutcome::NoNewcomer => Handover::Kept,
            // To an offer made again while the table was on its way.
            SlotOfferOutcome::Later if assigned => return,
            SlotOfferOutcome::Later => Handover::Later,
            SlotOfferOutcome::Assigned { version, successor } => Handover::Assigned {
                version,
                successor,
                sent: None,
            },
        };
        if self.removed {
            self.tick_handover(now);
        }
    }

    /// Makes the offer again, or sends what the disk holds once it acknowledges
    /// nothing any more.
    pub(super) fn tick_handover(&mut self, now: Duration) {
        if self.warned.is_none() {
            return;
        }
        self.offer_slot(now);
        let Handover::Assigned {
            version,
            successor,
            sent,
        } = self.handover
        else {
            return;
        };
        let due = sent.is_none_or(|sent| now >= sent + STATE_AGAIN);
        if !self.removed || !self.replica.full || self.failed.is_some() || !due {
            return;
        }
        self.handover = Handover::Assigned {
            version,
            successor,
            sent: Some(now),
        };
        let state = SlotState {
            version,
            slot: self.slot,
            lost_generation: self.lost(),
            retired_incarnations: self.retired_incarnations(),
            partitions: self.replica.copy_out(),
        };
        self.tell_synced(successor.address, self.known_table());
        self.tell_synced(successor.address, state);
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
                self.retire(*incarnation);
            }
            let merged = Merged {
                held: state.partitions,
                lost: state.lost_generation != 0,
            };
            self.finish_recovery(now, merged);
        }
        if self.able() && self.membership_version >= version {
            self.tell_synced(from.address, SlotStateReceived { version });
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
        self.slot != NO_SLOT && self.replica.full && self.failed.is_none()
    }

    /// Whether nothing is left to do for the slot of a node that was warned.
    pub(super) fn handover_over(&self, now: Duration, warned: Duration) -> bool {
        match self.handover {
            Handover::Offered => !self.has_slot_to_offer() || now >= warned + OFFER_LIMIT,
            Handover::Kept | Handover::Received => true,
            Handover::Later | Handover::Assigned { .. } => now >= warned + STAY_LIMIT,
        }
    }
}
