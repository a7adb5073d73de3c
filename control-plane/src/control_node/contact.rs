//! Which members this node is in contact with, in both directions, and which may lead a partition.
//!
//! Each heartbeat names the slots that its sender hears. So a node knows for each other whether messages get through
//! both ways, also when a network partition lets them pass in one direction only. A member may lead only while it is
//! in contact with a majority. One that this node does not reach itself counts if a member that it does reach vouches
//! for it, and what is meant for it is sent by way of that member.

use super::*;

/// A member vouches only for those it heard within this time: by the time that this node takes a member for departed
/// itself, nobody vouches for it any more.
const CANDIDATE_TIMEOUT: Duration =
    lease::CONTROL_PEER_TIMEOUT.saturating_sub(lease::CONTROL_TICK.saturating_mul(2));

/// What a member's last heartbeat reported.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerStatus {
    pub(super) incarnation: u64,
    /// Its disk counts and it goes on.
    pub(super) full: bool,
    /// Its disk promises and stores nothing.
    pub(super) blank: bool,
    /// When the heartbeat was received; zero before the first.
    last_heartbeat: Duration,
    /// Slots that it hears.
    heard_slots: SlotSet,
    /// Those of them that hear it too.
    mutual_contacts: SlotSet,
    /// Those of them for which it vouches.
    leader_candidates: SlotSet,
    /// The revision of this node's table of sessions up to which it has it.
    pub(super) acknowledged_sessions: u64,
}

impl PeerStatus {
    /// Of an incarnation that has sent no heartbeat yet.
    pub(super) fn unknown(incarnation: u64) -> PeerStatus {
        PeerStatus {
            incarnation,
            full: false,
            blank: true,
            last_heartbeat: Duration::ZERO,
            heard_slots: SlotSet::default(),
            mutual_contacts: SlotSet::default(),
            leader_candidates: SlotSet::default(),
            acknowledged_sessions: 0,
        }
    }

    /// Of a heartbeat received now.
    pub(super) fn reported(now: Duration, incarnation: u64, heartbeat: &Heartbeat) -> PeerStatus {
        PeerStatus {
            incarnation,
            full: heartbeat.full,
            blank: heartbeat.blank,
            last_heartbeat: now,
            heard_slots: heartbeat.heard_slots,
            mutual_contacts: heartbeat.mutual_contacts,
            leader_candidates: heartbeat.leader_candidates,
            acknowledged_sessions: heartbeat.acknowledged_sessions,
        }
    }

    fn sent_heartbeat_within(&self, now: Duration, timeout: Duration) -> bool {
        now < self.last_heartbeat + timeout
    }

    /// Whether it is connected in both directions with a full disk, and hears none of these slots either.
    pub(super) fn lacks(&self, now: Duration, slots: &[u8]) -> bool {
        let hears_none = slots.iter().all(|slot| !self.heard_slots.contains(*slot));
        self.is_connected(now) && !self.blank && hears_none
    }

    /// Whether its heartbeats have not timed out.
    pub(super) fn is_connected(&self, now: Duration) -> bool {
        self.sent_heartbeat_within(now, lease::CONTROL_PEER_TIMEOUT)
    }
}

impl ControlNode {
    /// The heartbeat for a slot.
    pub(super) fn heartbeat(&self, now: Duration, to: u8) -> Heartbeat {
        let acknowledged = self
            .peers
            .get(&to)
            .map_or(0, |peer| peer.acknowledged_sessions);
        let sessions = self
            .sessions
            .is_complete(now)
            .then(|| self.sessions.delta_since(acknowledged));
        Heartbeat {
            slot: self.slot,
            full: self.can_vote() && !self.shutdown.is_requested(),
            blank: !self.replica.full || self.journal.has_failed(),
            membership_version: self.membership_version,
            ledger_closed_for: self.generation.ledger_closed_until.saturating_sub(now),
            lost_generation: self.lost_generation(),
            heard_slots: self.heard_slots(now, lease::CONTROL_PEER_TIMEOUT),
            mutual_contacts: self.mutual_contacts(now),
            leader_candidates: self.leader_candidates(now),
            acknowledged_sessions: self.sessions.received_revision(to),
            sessions,
        }
    }

    /// A member sent a heartbeat.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Duration,
        from: Peer,
        slot: u8,
        heartbeat: Heartbeat,
    ) {
        let status = PeerStatus::reported(now, from.incarnation, &heartbeat);
        self.peers.insert(slot, status);
        self.extend_ledger_closure(now, heartbeat.ledger_closed_for);
        self.on_loss_reported(now, heartbeat.lost_generation);
        if let Some(delta) = heartbeat.sessions {
            self.sessions.apply_delta(now, slot, delta);
        }
    }

    /// Slots whose heartbeats came within the timeout, this node's among them.
    fn heard_slots(&self, now: Duration, timeout: Duration) -> SlotSet {
        let recent = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.sent_heartbeat_within(now, timeout));
        recent.map(|(slot, _)| *slot).chain([self.slot]).collect()
    }

    /// Slots that this node hears and that hear it, its own among them.
    pub(super) fn mutual_contacts(&self, now: Duration) -> SlotSet {
        let heard = self.heard_slots(now, lease::CONTROL_PEER_TIMEOUT);
        let both_ways = heard.iter().filter(|slot| {
            let hears_this_node = |peer: &PeerStatus| peer.heard_slots.contains(self.slot);
            *slot == self.slot || self.peers.get(slot).is_some_and(hears_this_node)
        });
        both_ways.collect()
    }

    /// Whether a majority of the table is in contact with this node. Without it, the node can neither confirm nor
    /// refuse anything.
    pub(super) fn reaches_majority(&self, now: Duration) -> bool {
        self.mutual_contacts(now).len() >= self.quorum().majority()
    }

    /// Whether this node may lead a partition.
    pub(super) fn may_lead(&self, now: Duration) -> bool {
        self.has_full_disk(self.slot) && self.is_voting_majority(self.mutual_contacts(now))
    }

    /// Whether these slots make a majority of disks that promise and store, as far as known here; one that is about
    /// to end still does. Of a slot that is not in contact with this node the best is assumed.
    fn is_voting_majority(&self, slots: SlotSet) -> bool {
        let votes = |slot: &u8| match self.peers.get(slot) {
            _ if *slot == self.slot => self.can_vote(),
            Some(peer) => !peer.blank,
            None => true,
        };
        slots.iter().filter(votes).count() >= self.quorum().majority()
    }

    /// Whether the disk of a slot is full and its node goes on.
    fn has_full_disk(&self, slot: u8) -> bool {
        if slot == self.slot {
            return self.can_vote() && !self.shutdown.is_requested();
        }
        self.peers.get(&slot).is_none_or(|peer| peer.full)
    }

    /// Members in contact with this node, heard within the timeout, that may lead. All judge that by the same
    /// heartbeats, so they agree as soon as those were received.
    fn eligible_contacts(&self, now: Duration, timeout: Duration) -> SlotSet {
        let heard = self.heard_slots(now, timeout);
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

    /// Members for which this node vouches to others.
    fn leader_candidates(&self, now: Duration) -> SlotSet {
        self.eligible_contacts(now, CANDIDATE_TIMEOUT)
    }

    /// All members that may lead. Those in contact with this node are judged by itself alone; for others, whoever is
    /// in contact with it vouches.
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

    /// The slot that shall lead a partition: by weight over those that may. None while none may, as far as known
    /// here.
    pub(super) fn preferred_leader(&self, now: Duration, partition: u8) -> Option<u8> {
        self.preferred_leader_among(self.eligible_leaders(now), partition)
    }

    /// The same of these slots, for several partitions at once.
    pub(super) fn preferred_leader_among(&self, eligible: SlotSet, partition: u8) -> Option<u8> {
        // The name is part of the hash by which all nodes agree.
        let name = format!("slice/{partition}");
        let is_known = |slot: &u8| usize::from(*slot) < self.members.len();
        let eligible = eligible.iter().filter(is_known);
        eligible.max_by_key(|slot| Peer::new(self.address(*slot), 0).weight(&name))
    }

    /// Where to send what is meant for a slot: to itself, or to a member in contact with both.
    pub(super) fn next_hop(&self, now: Duration, slot: u8) -> Option<u8> {
        let contacts = self.mutual_contacts(now);
        if contacts.contains(slot) {
            return Some(slot);
        }
        let reaches = |peer: &PeerStatus| peer.mutual_contacts.contains(slot);
        contacts
            .iter()
            .find(|relay| self.peers.get(relay).is_some_and(reaches))
    }
}
