//! Which members this node is in contact with, in both directions, and who may lead a partition.
//!
//! Each heartbeat names the slots that its sender hears. So a node knows for
//! each other whether messages get through both ways, also when a cut lets
//! them pass in one direction only. A member may lead only while it is in
//! contact with a majority; one that we do not reach ourselves counts if a
//! member that we do reach says so, and what is meant for it goes by that one.

use super::*;

/// A member vouches only for those it heard within this span: by the time that
/// we take a member for gone ourselves, nobody vouches for it any more.
const CANDIDATE_TIMEOUT: Duration =
    lease::CONTROL_PEER_TIMEOUT.saturating_sub(lease::CONTROL_TICK.saturating_mul(2));

impl ControlNode {
    /// Slots whose heartbeats came within the span, our own among them.
    pub(super) fn recently_heard(&self, now: Duration, span: Duration) -> SlotSet {
        let near = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.heartbeat_within(now, span));
        near.map(|(slot, _)| *slot).chain([self.slot]).collect()
    }

    /// Slots that we hear and that hear us, our own among them.
    pub(super) fn mutual_contacts(&self, now: Duration) -> SlotSet {
        let hears = self.recently_heard(now, lease::CONTROL_PEER_TIMEOUT);
        let both_ways = hears.iter().filter(|slot| {
            let hears_us = |peer: &PeerStatus| peer.heard_slots.contains(self.slot);
            *slot == self.slot || self.peers.get(slot).is_some_and(hears_us)
        });
        both_ways.collect()
    }

    /// Whether a majority of the table is in contact with us. Without it, this
    /// node can neither confirm nor refuse anything.
    pub(super) fn reaches_majority(&self, now: Duration) -> bool {
        self.mutual_contacts(now).len() >= self.quorum().most()
    }

    /// Whether this node may lead a partition.
    pub(super) fn may_lead(&self, now: Duration) -> bool {
        self.has_full_disk(self.slot) && self.is_voting_majority(self.mutual_contacts(now))
    }

    /// Whether these slots make a majority of disks that promise and keep, as
    /// far as known here; one that is about to end still does. Of a slot that
    /// is not in contact with us the best is assumed.
    fn is_voting_majority(&self, slots: SlotSet) -> bool {
        let promises = |slot: &u8| match self.peers.get(slot) {
            _ if *slot == self.slot => self.can_vote(),
            Some(peer) => !peer.blank,
            None => true,
        };
        slots.iter().filter(promises).count() >= self.quorum().most()
    }

    /// Whether the disk of a slot is full and its node goes on.
    fn has_full_disk(&self, slot: u8) -> bool {
        if slot == self.slot {
            return self.can_vote() && self.shutdown_requested_at.is_none();
        }
        self.peers.get(&slot).is_none_or(|peer| peer.full)
    }

    /// Members in contact with us, heard within the span, that may lead. All
    /// judge that by the same heartbeats, so they agree as soon as those came.
    fn eligible_contacts(&self, now: Duration, span: Duration) -> SlotSet {
        let heard = self.recently_heard(now, span);
        let eligible = self.mutual_contacts(now).iter().filter(|slot| {
            if *slot == self.slot {
                return self.may_lead(now);
            }
            let may_lead =
                |peer: &PeerStatus| peer.full && self.is_voting_majority(peer.mutual_contacts);
            heard.contains(*slot) && self.peers.get(slot).is_some_and(may_lead)
        });
        eligible.collect()
    }

    /// Members for which we vouch to others.
    pub(super) fn leader_candidates(&self, now: Duration) -> SlotSet {
        self.eligible_contacts(now, CANDIDATE_TIMEOUT)
    }

    /// All members that may lead. Who is in contact with us is judged by
    /// itself alone; for others, who is in contact with us vouches.
    pub(super) fn eligible_leaders(&self, now: Duration) -> SlotSet {
        let contacts = self.mutual_contacts(now);
        let vouched = contacts
            .iter()
            .filter_map(|slot| self.peers.get(&slot))
            .map(|peer| peer.leader_candidates)
            .fold(SlotSet::default(), SlotSet::union);
        let elsewhere = vouched.without(contacts);
        self.eligible_contacts(now, lease::CONTROL_PEER_TIMEOUT)
            .union(elsewhere)
    }

    /// The slot that shall lead a partition: by weight over those that may.
    /// None while nobody may, as far as known here.
    pub(super) fn preferred_leader(&self, now: Duration, partition: u8) -> Option<u8> {
        self.preferred_leader_among(self.eligible_leaders(now), partition)
    }

    /// The same, for who asks for several partitions at once.
    pub(super) fn preferred_leader_among(&self, eligible: SlotSet, partition: u8) -> Option<u8> {
        let name = format!("slice/{partition}");
        let known = |slot: &u8| usize::from(*slot) < self.members.len();
        let eligible = eligible.iter().filter(known);
        eligible.max_by_key(|slot| Peer::new(self.address(*slot), 0).weight(&name))
    }

    /// Whom to tell what is meant for a slot: itself, or a member in contact
    /// with both of us.
    pub(super) fn next_hop(&self, now: Duration, slot: u8) -> Option<u8> {
        let contacts = self.mutual_contacts(now);
        if contacts.contains(slot) {
            return Some(slot);
        }
        let reaches = |peer: &PeerStatus| peer.mutual_contacts.contains(slot);
        contacts
            .iter()
            .find(|between| self.peers.get(between).is_some_and(reaches))
    }
}
