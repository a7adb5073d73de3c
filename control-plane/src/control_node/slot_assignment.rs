//! Changes of the membership table by its leader: when the table may change, and which node is assigned a slot.

use super::*;

impl ControlNode {
    /// Writes the table as a row of its partition, if this node leads that partition, so that edges receive the table.
    /// A founding table is in no row yet, and the row of a later one may have been lost with a majority of disks.
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

    /// Returns the first of the lost slots.
    fn lost_slot(&self, now: Duration) -> Option<u8> {
        self.other_slots()
            .find(|slot| self.is_slot_lost(now, *slot))
    }

    /// Returns true if a slot has been without a message for so long that it may be assigned to another node. For a
    /// slot without any message yet, the time counts from the adoption of the table.
    pub(super) fn is_slot_lost(&self, now: Duration, slot: u8) -> bool {
        let last_message = self.last_messages.get(&slot).copied();
        let last_contact = last_message.unwrap_or(self.table_adopted_at);
        self.failure_detector.is_lost(now, last_contact)
    }

    /// Returns true if the last change of the table is complete: it has settled, and every other member has a recovered
    /// disk or is lost. Then everything acknowledged under the earlier table is on a majority of the disks of this one.
    pub(super) fn is_membership_stable(&self, now: Duration) -> bool {
        let is_recovered = |slot: u8| self.peers.get(&slot).is_some_and(|peer| !peer.blank);
        let is_recovered_or_lost = |slot: u8| is_recovered(slot) || self.is_slot_lost(now, slot);
        self.table_has_settled() && self.other_slots().all(is_recovered_or_lost)
    }

    /// Returns true if the table that this leader uses is the last one written, and every live edge knows it.
    fn table_has_settled(&self) -> bool {
        let Some(leader) = self.leaders.get(&MEMBERSHIP_PARTITION) else {
            return false;
        };
        let is_adopted = |row: &Row| row.version <= self.membership_version;
        leader.settled() >= leader.version && leader.rows.get("places").is_none_or(is_adopted)
    }

    /// Returns true if every other member is connected with a full disk.
    fn all_members_are_full(&self, now: Duration) -> bool {
        let is_full = |peer: &PeerStatus| peer.full && peer.is_connected(now);
        self.other_slots()
            .all(|slot| self.peers.get(&slot).is_some_and(is_full))
    }

    /// Assigns a peer its own slot, a lost slot or, for a founding peer, a new slot, once the last change of the table
    /// has settled. A lost or new slot also waits until the last joiner was recovered.
    pub(super) fn assign_slot(&mut self, now: Duration, peer: Peer, founding: bool) {
        if self.is_member(&peer) {
            return;
        }
        // A node with a new disk at an address that holds a slot requests that slot.
        let own_slot = slot_at(&self.members, peer.address);
        if own_slot.is_none() {
            self.shutdown.record_joiner(now, peer);
        }
        if !self.table_has_settled() {
            return;
        }
        let lost_slot = || {
            self.lost_slot(now)
                .filter(|_| self.is_membership_stable(now))
        };
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

    /// Writes the next table. Returns its version.
    pub(super) fn put_table(&mut self, members: Vec<Peer>) -> Option<u64> {
        let leader = self.leaders.get_mut(&MEMBERSHIP_PARTITION)?;
        Some(leader.put("places".into(), Value::Members(members)))
    }
}
