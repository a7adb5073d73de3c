//! Succession: a membership table that follows one whose majority was lost for good.
//!
//! In a table with an even number of members, twice as many as the deployment tolerates to lose, the survivors of such
//! a loss are no majority: they can change neither a row nor the table. But they hold everything that was acknowledged,
//! since every majority includes one of them, and without them the lost members can commit nothing either. So once the
//! lost members have been silent for longer than every lease lasts, and as many empty nodes request slots, the lowest
//! surviving slot writes a table that assigns the lost slots to those nodes. Each survivor stores this table before
//! using it, and from then on acknowledges nothing under the earlier one. The successors are recovered from all
//! survivors that use the new table, and only then is there a majority again.
//!
//! Assumption: empty nodes request slots only to replace members that were removed for good. If the lost members were
//! cut off instead, with as many empty nodes on their side of the network partition, they could write such a table too:
//! that would be more simultaneous losses than the deployment tolerates.

#[cfg(test)]
mod tests;

use super::slot_handover::JOINER_TIMEOUT;
use super::*;

/// Time for which members are unresponsive before others succeed them: longer than edges' leases, sessions and the time
/// after which a majority replaces a single lost member.
const SUCCESSION_TIMEOUT: Duration = Duration::from_secs(3);

/// State needed to replace lost members without a majority.
#[derive(Debug, Default)]
pub(super) struct Succession {
    /// Number of members that may be lost at once; 0 if members are never replaced without a majority.
    tolerated_losses: usize,
    /// Empty nodes that requested a slot, with the time of their last request.
    joiners: BTreeMap<Peer, Duration>,
}

impl Succession {
    fn record_joiner(&mut self, now: Duration, peer: Peer) {
        self.joiners
            .retain(|_, requested_at| now < *requested_at + JOINER_TIMEOUT);
        self.joiners.insert(peer, now);
    }

    fn waiting_joiners(&self, now: Duration) -> Vec<Peer> {
        let is_waiting = |requested_at: &Duration| now < *requested_at + JOINER_TIMEOUT;
        let waiting = self.joiners.iter();
        waiting
            .filter(|(_, requested_at)| is_waiting(requested_at))
            .map(|(peer, _)| *peer)
            .collect()
    }
}

impl ControlNode {
    /// Sets the number of members that may be lost at once.
    pub fn with_tolerated_losses(mut self, members: usize) -> ControlNode {
        self.succession.tolerated_losses = members;
        self
    }

    /// Records the request for a slot of an empty node at an address that holds none.
    pub(super) fn record_succession_joiner(&mut self, peer: Peer, founding: bool) {
        let holds_address = slot_at(&self.members, peer.address).is_some();
        if !founding && !holds_address {
            let now = self.failure_detector.last_tick();
            self.succession.record_joiner(now, peer);
        }
    }

    /// Assigns the slots of members that were lost for good to empty nodes, if no majority is left that could and this
    /// is the lowest surviving slot.
    pub(super) fn succeed_lost_members(&mut self, now: Duration) {
        let Some(members) = self.succeeding_members(now) else {
            return;
        };
        let table = MembershipTable {
            version: next_succession(self.membership_version),
            members,
        };
        self.store(&Record::MembershipTable {
            version: table.version,
            members: table.members.clone(),
        });
        let text = format!("version {}", table.version);
        self.log_event(Event::LostMembersSucceeded, text);
        self.adopt_table(table.clone());
        for slot in self.other_slots() {
            self.send_after_sync(self.address(slot), table.clone());
        }
    }

    /// Returns the members with the lost ones replaced, if all conditions of a succession hold.
    fn succeeding_members(&self, now: Duration) -> Option<Vec<Peer>> {
        let lost = self.lost_without_majority(now)?;
        let survivors_agree = self.surviving_slots(&lost).all(|slot| {
            slot == self.slot
                || self
                    .peers
                    .get(&slot)
                    .is_some_and(|peer| peer.has_lost_contact_with(now, &lost))
        });
        let is_lowest = self.surviving_slots(&lost).next() == Some(self.slot);
        let joiners = self.succession.waiting_joiners(now);
        if !self.can_vote() || !survivors_agree || !is_lowest || joiners.len() != lost.len() {
            return None;
        }
        let mut members = self.members.clone();
        for (slot, joiner) in lost.into_iter().zip(joiners) {
            members[usize::from(slot)] = joiner;
        }
        Some(members)
    }

    /// Returns the unresponsive slots, if they are as many as may be lost and the other slots make no majority.
    fn lost_without_majority(&self, now: Duration) -> Option<Vec<u8>> {
        let tolerated = self.succession.tolerated_losses;
        if self.slot == NO_SLOT || tolerated == 0 || self.members.len() != 2 * tolerated {
            return None;
        }
        let lost: Vec<u8> = self
            .other_slots()
            .filter(|slot| self.is_slot_unresponsive(now, *slot))
            .collect();
        (lost.len() == tolerated).then_some(lost)
    }

    fn is_slot_unresponsive(&self, now: Duration, slot: u8) -> bool {
        let last_message = self.last_messages.get(&slot).copied();
        let last_contact = last_message.unwrap_or(self.table_adopted_at);
        self.failure_detector
            .is_unresponsive(now, last_contact, SUCCESSION_TIMEOUT)
    }

    fn surviving_slots(&self, lost: &[u8]) -> impl Iterator<Item = u8> {
        let slots = 0..self.members.len() as u8;
        slots.filter(|slot| !lost.contains(slot))
    }
}
