//! A member that is about to end hands its slot, with all that its disk holds, to an empty node that waits for one.
//!
//! The leaving member offers its slot to the leader of the membership table, which writes a table that names the
//! joiner in its place. From when the leaving member goes by that table it acknowledges nothing any more, over its
//! restarts. Only then does it send what its disk holds, to its direct successor and to nobody else: the joiner's
//! disk then is the one that the slot had, moved to another machine, and counts at once. If any message of it is lost
//! for good, the joiner is recovered from the others as ever.

use super::*;

/// A node that is to end waits this long for others to lead its partitions.
const LEADER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// An empty node that requested a slot within this time is there and waits.
pub(super) const JOINER_TIMEOUT: Duration = Duration::from_secs(1);
/// A leader of the table that is newer than this may not have heard of a joiner that waits.
const JOINER_DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Operators' calls in flight here are replied to before the slot is offered, if that takes no longer.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// An offer without a reply for this long is given up.
const OFFER_TIMEOUT: Duration = LEADER_HANDOVER_TIMEOUT;
/// A removed member stays for its successor until so long after the request to end: below the grace period of the
/// platform.
const SUCCESSOR_WAIT_TIMEOUT: Duration = Duration::from_millis(5_200);
/// What the disk holds is sent again when its receipt was not confirmed by then.
const STATE_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// The end of this node, and as leader of the table the joiner that may follow another one.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// When the node was requested to end.
    requested_at: Option<Duration>,
    /// What becomes of its slot.
    pub(super) handover: Handover,
    /// As leader of the table: the empty node that last requested a slot here.
    waiting_joiner: Option<WaitingJoiner>,
}

/// An empty node that waits for a slot.
#[derive(Debug, Clone, Copy)]
struct WaitingJoiner {
    peer: Peer,
    requested_at: Duration,
}

/// What becomes of a member's slot when it is requested to end.
#[derive(Debug, Default)]
pub(super) enum Handover {
    /// Not requested to end, or the offer has no reply yet.
    #[default]
    Offered,
    /// A joiner waits, and will have the slot.
    Deferred,
    /// Nobody waits for the slot: the member retains it.
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

impl ShutdownState {
    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// An empty node requested a slot.
    pub(super) fn note_joiner(&mut self, now: Duration, peer: Peer) {
        self.waiting_joiner = Some(WaitingJoiner {
            peer,
            requested_at: now,
        });
    }

    fn current_joiner(&self, now: Duration) -> Option<Peer> {
        let is_waiting = |joiner: &WaitingJoiner| now < joiner.requested_at + JOINER_TIMEOUT;
        let joiner = self.waiting_joiner.filter(is_waiting)?;
        Some(joiner.peer)
    }
}

impl ControlNode {
    /// The node is to end: its slot is offered, and others take its partitions.
    pub(super) fn handle_shutdown_request(&mut self, now: Duration) {
        self.shutdown.requested_at.get_or_insert(now);
        self.offer_slot(now);
    }

    /// Whether the node may end. When requested to, others take the partitions and a joiner the slot first; one that
    /// was removed ends at once, and starts over with an empty disk. All operators' calls have their replies before.
    pub(super) fn can_shut_down(&self, now: Duration) -> bool {
        let is_over = match self.shutdown.requested_at {
            Some(requested_at) => {
                let may_lead = now < requested_at + LEADER_HANDOVER_TIMEOUT;
                let still_leads = !self.leaders.is_empty() && may_lead;
                !still_leads && self.handover_complete(now, requested_at)
            }
            None => self.removed && self.journal.is_synced(),
        };
        is_over && self.operator_calls.is_empty()
    }

    /// Offers the slot of a node that is to end to the leader of the table.
    fn offer_slot(&mut self, now: Duration) {
        let handover = &self.shutdown.handover;
        let is_decided = matches!(handover, Handover::Retained | Handover::Received);
        if is_decided || self.drains_operator_calls(now) || !self.can_vote() {
            return;
        }
        let Some(slot) = self.preferred_leader(now, MEMBERSHIP_PARTITION) else {
            return;
        };
        let change = Change::OfferSlot { member: self.me() };
        let offer = self.own_request(MEMBERSHIP_PARTITION, change);
        self.send(self.address(slot), offer);
    }

    fn drains_operator_calls(&self, now: Duration) -> bool {
        let is_early = |since: Duration| now < since + CALL_DRAIN_TIMEOUT;
        !self.operator_calls.is_empty() && self.shutdown.requested_at.is_some_and(is_early)
    }

    /// As leader of the table: gives a leaving member's slot to a joiner, if one waits.
    pub(super) fn assign_offered_slot(&mut self, now: Duration, member: Peer) {
        let Some(slot) = self.members.iter().position(|known| known.matches(&member)) else {
            return;
        };
        let joiner = self
            .shutdown
            .current_joiner(now)
            .filter(|peer| !self.is_member(peer));
        let outcome = match joiner {
            None if self.may_not_know_joiners(now) => return,
            None => SlotOfferOutcome::NoJoiner,
            Some(_) if !self.membership_is_calm(now) => SlotOfferOutcome::Deferred,
            Some(successor) => {
                let mut members = self.members.clone();
                members[slot] = successor;
                let Some(version) = self.put_table(members) else {
                    return;
                };
                SlotOfferOutcome::Assigned { version, successor }
            }
        };
        self.send(member.address, SlotOfferReply { outcome });
    }

    /// Whether a joiner that waits may not have requested a slot from this leader yet.
    fn may_not_know_joiners(&self, now: Duration) -> bool {
        let leader = self.leaders.get(&MEMBERSHIP_PARTITION);
        leader
            .and_then(|leader| leader.active_since)
            .is_none_or(|since| now < since + JOINER_DISCOVERY_TIME)
    }

    /// The reply to this node's offer.
    pub(super) fn handle_slot_offer_reply(&mut self, now: Duration, reply: &SlotOfferReply) {
        let is_assigned = match self.shutdown.handover {
            Handover::Retained | Handover::Received => return,
            Handover::Assigned {
                last_sent: Some(_), ..
            } => return,
            Handover::Assigned { .. } => true,
            Handover::Offered | Handover::Deferred => false,
        };
        if !self.shutdown.is_requested() {
            return;
        }
        self.shutdown.handover = match reply.outcome {
            SlotOfferOutcome::NoJoiner => Handover::Retained,
            // To an offer made again while the table was on its way.
            SlotOfferOutcome::Deferred if is_assigned => return,
            SlotOfferOutcome::Deferred => Handover::Deferred,
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

    /// Makes the offer again, or sends what the disk holds once this node acknowledges nothing any more.
    pub(super) fn tick_handover(&mut self, now: Duration) {
        if !self.shutdown.is_requested() {
            return;
        }
        self.offer_slot(now);
        let Handover::Assigned {
            version,
            successor,
            last_sent,
        } = self.shutdown.handover
        else {
            return;
        };
        let is_due = last_sent.is_none_or(|sent| now >= sent + STATE_RETRY_INTERVAL);
        let may_send = self.removed && self.replica.full && !self.journal.has_failed();
        if may_send && is_due {
            self.shutdown.handover = Handover::Assigned {
                version,
                successor,
                last_sent: Some(now),
            };
            self.send_slot_state(version, successor);
        }
    }

    fn send_slot_state(&mut self, version: u64, successor: Peer) {
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

    /// The disk of this node's slot, as the member before it left it. It counts only if no other held the slot
    /// between: the table that first named this node is the one that followed the sender's, and gave it the sender's
    /// slot.
    pub(super) fn handle_slot_state(&mut self, now: Duration, from: Peer, state: SlotState) {
        let version = state.version;
        let is_direct = self.membership_version == version && self.slot == state.slot;
        if self.recovery.is_some() && is_direct {
            for incarnation in &state.retired_incarnations {
                self.retire_incarnation(*incarnation);
            }
            let recovered = RecoveredState {
                partitions: state.partitions,
                majority_lost: state.lost_generation != 0,
            };
            self.finish_recovery(now, recovered);
        }
        if self.can_vote() && self.membership_version >= version {
            self.send_after_sync(from.address, SlotStateReceived { version });
        }
    }

    /// The successor's disk is full.
    pub(super) fn handle_slot_state_received(&mut self, received: &SlotStateReceived) {
        if let Handover::Assigned { version, .. } = self.shutdown.handover
            && version == received.version
        {
            self.shutdown.handover = Handover::Received;
        }
    }

    /// Also true of one that was removed a moment ago: the reply to its offer may still be on its way.
    fn has_slot_to_offer(&self) -> bool {
        self.slot != NO_SLOT && self.replica.full && !self.journal.has_failed()
    }

    /// Whether nothing is left to do for the slot of a node that was requested to end.
    fn handover_complete(&self, now: Duration, requested_at: Duration) -> bool {
        match self.shutdown.handover {
            Handover::Offered => !self.has_slot_to_offer() || now >= requested_at + OFFER_TIMEOUT,
            Handover::Retained | Handover::Received => true,
            Handover::Deferred | Handover::Assigned { .. } => {
                now >= requested_at + SUCCESSOR_WAIT_TIMEOUT
            }
        }
    }
}
