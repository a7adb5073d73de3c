//! The leader of the membership table: when it may change, and who gets a slot.

use super::*;

impl ControlNode {
    /// As leader of the table: writes it as a row, so that edges learn it. A first one that was founded is in no row
    /// yet, and one may have been lost with a majority.
    pub(super) fn publish_table(&mut self) {
        let Some(leader) = self
            .leaders
            .get_mut(&MEMBERSHIP_PARTITION)
            .filter(|leader| leader.is_serving())
        else {
            return;
        };
        let known = leader.rows.get("places").map(|row| row.version);
        let is_missing = known.is_none() && self.bootstrap.is_some();
        if is_missing || known.unwrap_or(0) < self.membership_version {
            leader.version = leader.version.max(self.membership_version);
            leader.put("places".into(), Value::Members(self.members.clone()));
        }
    }

    /// The first of the slots that are lost.
    fn lost_slot(&self, now: Duration) -> Option<u8> {
        self.other_slots()
            .find(|slot| self.is_slot_lost(now, *slot))
    }

    /// Whether a slot was without a message for so long that it may go to another node. One that was not met yet
    /// counts from when the table named it.
    pub(super) fn is_slot_lost(&self, now: Duration, slot: u8) -> bool {
        let last_message = self.last_messages.get(&slot).copied();
        let last_contact = last_message.unwrap_or(self.table_adopted_at);
        self.contact_watch.is_lost(now, last_contact)
    }

    /// Whether the last change of the table is done: it has settled, and every member was met with a disk that was
    /// recovered, or is lost. What was acknowledged by the table before then lies on a majority by this one.
    pub(super) fn membership_is_calm(&self, now: Duration) -> bool {
        let is_recovered = |slot: u8| self.peers.get(&slot).is_some_and(|peer| !peer.blank);
        let is_done = |slot: u8| is_recovered(slot) || self.is_slot_lost(now, slot);
        self.table_has_settled() && self.other_slots().all(is_done)
    }

    /// Whether the table that this leader goes by is the last one written, and every live edge knows it.
    fn table_has_settled(&self) -> bool {
        let Some(leader) = self.leaders.get(&MEMBERSHIP_PARTITION) else {
            return false;
        };
        let is_adopted = |row: &Row| row.version <= self.membership_version;
        leader.settled() >= leader.version && leader.rows.get("places").is_none_or(is_adopted)
    }

    /// Whether every other member is connected with a full disk.
    fn all_members_are_full(&self, now: Duration) -> bool {
        let is_full = |peer: &PeerStatus| peer.full && peer.is_connected(now);
        self.other_slots()
            .all(|slot| self.peers.get(&slot).is_some_and(is_full))
    }

    /// Puts a peer in its own or in a lost slot's place, or a founding one in a new slot, once the last change has
    /// settled. A lost or a new slot also waits until the last joiner was recovered.
    pub(super) fn assign_slot(&mut self, now: Duration, peer: Peer, founding: bool) {
        if self.is_member(&peer) {
            return;
        }
        // A new disk at an address that holds a slot requests that slot.
        let own_slot = slot_at(&self.members, peer.address);
        if own_slot.is_none() {
            self.shutdown.note_joiner(now, peer);
        }
        if !self.table_has_settled() {
            return;
        }
        let lost_slot = || self.lost_slot(now).filter(|_| self.membership_is_calm(now));
        let mut members = self.members.clone();
        if let Some(slot) = own_slot.or_else(lost_slot) {
            members[usize::from(slot)] = peer;
        } else if founding && members.len() < MAX_SLOTS && self.all_members_are_full(now) {
            members.push(Peer::new(peer.address, 0));
        } else {
            return;
        }
        self.put_table(members);
    }

    /// Writes a table to follow the one that is in force. Its version.
    pub(super) fn put_table(&mut self, members: Vec<Peer>) -> Option<u64> {
        let leader = self.leaders.get_mut(&MEMBERSHIP_PARTITION)?;
        Some(leader.put("places".into(), Value::Members(members)))
    }
}
