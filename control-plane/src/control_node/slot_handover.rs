//! Handover of the slot of a member that is shutting down, with the contents of its disk, to an empty node that waits
//! for a slot.
//!
//! The leaving member offers its slot to the leader of the membership table, which writes a table that assigns the slot
//! to the joiner. Once the leaving member uses that table it acknowledges nothing any more, even over restarts. Only
//! then does it send the contents of its disk, and only to its direct successor: the joiner's disk is then the slot's
//! disk moved to another machine, and is included in quorums at once. If one of these messages is lost for good, the
//! joiner is recovered from the others as usual.

use super::*;

/// Maximum time that a node that is shutting down waits for others to lead its partitions.
const LEADER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum age of the last request of an empty node that is considered to wait for a slot.
pub(super) const JOINER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a new leader of the table has received a request of every joiner that waits.
const JOINER_DISCOVERY_TIME: Duration = Duration::from_millis(400);
/// Maximum time for which the offer of the slot waits for replies to operators' calls in flight at this node.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an offer without a reply is given up.
const OFFER_TIMEOUT: Duration = LEADER_HANDOVER_TIMEOUT;
/// Maximum time after the shutdown request for which a removed member waits for its successor; below the grace period
/// of the platform.
const SUCCESSOR_WAIT_TIMEOUT: Duration = Duration::from_millis(5_200);
/// Interval after which the contents of the disk are sent again if their receipt was not confirmed.
const STATE_RETRY_INTERVAL: Duration = Duration::from_millis(600);

/// Shutdown of this node; on the leader of the table, also the joiner that may be assigned the slot of a leaving
/// member.
#[derive(Debug, Default)]
pub(super) struct ShutdownState {
    /// Time when the shutdown was requested.
    requested_at: Option<Duration>,
    /// State of the handover of this node's slot.
    pub(super) handover: Handover,
    /// On the leader of the table: the empty node that last requested a slot from it.
    waiting_joiner: Option<WaitingJoiner>,
}

/// Empty node that waits for a slot.
#[derive(Debug, Clone, Copy)]
struct WaitingJoiner {
    peer: Peer,
    requested_at: Duration,
}

/// State of the handover of a member's slot when its shutdown is requested.
#[derive(Debug, Default)]
pub(super) enum Handover {
    /// No shutdown was requested, or the offer has no reply yet.
    #[default]
    Offered,
    /// A joiner waits, and will be assigned the slot.
    Deferred,
    /// No node waits for the slot: the member retains it.
    Retained,
    /// The table of this version assigns the slot to the successor.
    Assigned {
        version: u64,
        successor: Peer,
        last_sent: Option<Duration>,
    },
    /// The successor confirmed that its disk is full.
    Received,
}

impl ShutdownState {
    /// Returns true if the node's shutdown was requested.
    pub(super) fn is_requested(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Records the request of an empty node for a slot.
    pub(super) fn record_joiner(&mut self, now: Duration, peer: Peer) {
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
    /// Handles a shutdown request: the node's slot is offered, and others take over its partitions.
    pub(super) fn handle_shutdown_request(&mut self, now: Duration) {
        self.shutdown.requested_at.get_or_insert(now);
        self.offer_slot(now);
    }

    /// Returns true if the process may exit. After a shutdown request, others first take over the partitions and a
    /// joiner the slot; a removed node exits at once, and starts again with an empty disk. In both cases all operators'
    /// calls are replied to first.
    pub(super) fn can_shut_down(&self, now: Duration) -> bool {
        let is_finished = match self.shutdown.requested_at {
            Some(requested_at) => {
                let may_lead = now < requested_at + LEADER_HANDOVER_TIMEOUT;
                let still_leads = !self.leaders.is_empty() && may_lead;
                !still_leads && self.handover_complete(now, requested_at)
            }
            None => self.removed && self.journal.is_synced(),
        };
        is_finished && self.operator_calls.is_empty()
    }

    /// Offers the slot of a node that is shutting down to the leader of the table.
    fn offer_slot(&mut self, now: Duration) {
        let handover = &self.shutdown.handover;
        let is_decided = matches!(handover, Handover::Retained | Handover::Received);
        if is_decided || self.drains_operator_calls(now) || !self.can_vote() {
            return;
        }
        let Some(slot) = self.preferred_leader(now, MEMBERSHIP_PARTITION) else {
            return;
        };
        let change = Change::OfferSlot {
            member: self.local_peer(),
        };
        let offer = self.own_request(MEMBERSHIP_PARTITION, change);
        self.send(self.address(slot), offer);
    }

    fn drains_operator_calls(&self, now: Duration) -> bool {
        let in_drain_period = |since: Duration| now < since + CALL_DRAIN_TIMEOUT;
        !self.operator_calls.is_empty() && self.shutdown.requested_at.is_some_and(in_drain_period)
    }

    /// Assigns a leaving member's slot to a joiner, if one waits and this node leads the table.
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
            Some(_) if !self.is_membership_stable(now) => SlotOfferOutcome::Deferred,
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

    /// Returns true if a waiting joiner may not have sent its request to this leader yet.
    fn may_not_know_joiners(&self, now: Duration) -> bool {
        let leader = self.leaders.get(&MEMBERSHIP_PARTITION);
        leader
            .and_then(|leader| leader.active_since)
            .is_none_or(|since| now < since + JOINER_DISCOVERY_TIME)
    }

    /// Handles the reply to this node's offer.
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
            // Reply to an offer that was repeated while the table was in flight.
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

    /// Repeats the offer, or sends the contents of the disk once this node acknowledges nothing any more.
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

    /// Handles the contents of the slot's disk, as sent by the member that left it. They are valid only if no other
    /// node held the slot in between: the first table that contains this node must directly follow the sender's, and
    /// assign it the sender's slot.
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

    /// Handles the successor's confirmation that its disk is full.
    pub(super) fn handle_slot_state_received(&mut self, received: &SlotStateReceived) {
        if let Handover::Assigned { version, .. } = self.shutdown.handover
            && version == received.version
        {
            self.shutdown.handover = Handover::Received;
        }
    }

    /// Returns true if the node has a slot and a usable disk. That includes a node that was just removed: the reply to
    /// its offer may still be in flight.
    fn has_slot_to_offer(&self) -> bool {
        self.slot != NO_SLOT && self.replica.full && !self.journal.has_failed()
    }

    /// Returns true if nothing is left to do for the slot of a node whose shutdown was requested.
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
