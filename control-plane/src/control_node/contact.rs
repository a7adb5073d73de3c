//! Connectivity between members in both directions, and which members may lead a partition.
//!
//! Each heartbeat lists the slots whose heartbeats its sender receives. So each node knows which members exchange
//! messages with it in both directions, even if a network partition lets messages pass in one direction only. A member
//! may lead only while it is in contact with a majority. A member that this node does not reach directly is eligible if
//! a member in contact with this node lists it as a leader candidate; messages for it are then sent through that
//! member.

use super::*;

/// Maximum age of the last heartbeat of a member that is listed as a leader candidate to others. It is shorter than the
/// peer timeout: by the time this node considers a member departed, no other member lists it any more.
const CANDIDATE_TIMEOUT: Duration =
    lease::CONTROL_PEER_TIMEOUT.saturating_sub(lease::CONTROL_TICK.saturating_mul(2));

/// Status of a member as reported by its last heartbeat.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerStatus {
    pub(super) incarnation: u64,
    /// True if its disk is included in quorums and it is not shutting down.
    pub(super) full: bool,
    /// True if its disk neither promises epochs nor stores rows.
    pub(super) blank: bool,
    /// Time when the heartbeat was received; zero before the first.
    last_heartbeat: Duration,
    /// Slots whose heartbeats it receives.
    heard_slots: SlotSet,
    /// Slots in `heard_slots` that receive its heartbeats too.
    mutual_contacts: SlotSet,
    /// Slots in `mutual_contacts` that it lists as leader candidates.
    leader_candidates: SlotSet,
    /// Revision of this node's table of sessions that it has acknowledged.
    pub(super) acknowledged_sessions: u64,
}

impl PeerStatus {
    /// Returns the status of an incarnation that has sent no heartbeat yet.
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

    /// Returns the status reported by a heartbeat received now.
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

    /// Returns true if the member is connected, its disk is not blank, and it receives heartbeats from none of these
    /// slots.
    pub(super) fn has_lost_contact_with(&self, now: Duration, slots: &[u8]) -> bool {
        let receives_none = slots.iter().all(|slot| !self.heard_slots.contains(*slot));
        self.is_connected(now) && !self.blank && receives_none
    }

    /// Returns true if the member's heartbeats have not timed out.
    pub(super) fn is_connected(&self, now: Duration) -> bool {
        self.sent_heartbeat_within(now, lease::CONTROL_PEER_TIMEOUT)
    }
}

impl ControlNode {
    /// Returns the heartbeat for a slot.
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

    /// Handles a member's heartbeat.
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

    /// Returns the slots whose heartbeats were received within the timeout, including this node's slot.
    fn heard_slots(&self, now: Duration, timeout: Duration) -> SlotSet {
        let recent = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.sent_heartbeat_within(now, timeout));
        recent.map(|(slot, _)| *slot).chain([self.slot]).collect()
    }

    /// Returns the slots that exchange heartbeats with this node in both directions, including its own.
    pub(super) fn mutual_contacts(&self, now: Duration) -> SlotSet {
        let heard = self.heard_slots(now, lease::CONTROL_PEER_TIMEOUT);
        let mutual = heard.iter().filter(|slot| {
            let receives_own_heartbeats = |peer: &PeerStatus| peer.heard_slots.contains(self.slot);
            *slot == self.slot || self.peers.get(slot).is_some_and(receives_own_heartbeats)
        });
        mutual.collect()
    }

    /// Returns true if a majority of the table is in contact with this node. Without contact with a majority, the node
    /// can neither confirm nor refuse anything.
    pub(super) fn reaches_majority(&self, now: Duration) -> bool {
        self.mutual_contacts(now).len() >= self.quorum().majority()
    }

    /// Returns true if this node may lead a partition.
    pub(super) fn may_lead(&self, now: Duration) -> bool {
        self.has_full_disk(self.slot) && self.is_voting_majority(self.mutual_contacts(now))
    }

    /// Returns true if the disks of these slots that promise and store make a majority, to this node's knowledge. A
    /// node that is shutting down still votes. Slots without a known status are assumed to vote.
    fn is_voting_majority(&self, slots: SlotSet) -> bool {
        let votes = |slot: &u8| match self.peers.get(slot) {
            _ if *slot == self.slot => self.can_vote(),
            Some(peer) => !peer.blank,
            None => true,
        };
        slots.iter().filter(votes).count() >= self.quorum().majority()
    }

    /// Returns true if the disk of a slot is full and its node is not shutting down.
    fn has_full_disk(&self, slot: u8) -> bool {
        if slot == self.slot {
            return self.can_vote() && !self.shutdown.is_requested();
        }
        self.peers.get(&slot).is_none_or(|peer| peer.full)
    }

    /// Returns the members in contact with this node, with a heartbeat within the timeout, that may lead. All nodes
    /// decide this from the same heartbeats, so they agree as soon as those are received.
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

    /// Returns the members that this node lists as leader candidates to others.
    fn leader_candidates(&self, now: Duration) -> SlotSet {
        self.eligible_contacts(now, CANDIDATE_TIMEOUT)
    }

    /// Returns all members that may lead. This node alone decides about members in contact with it; any other member is
    /// eligible if a contact lists it as a leader candidate.
    pub(super) fn eligible_leaders(&self, now: Duration) -> SlotSet {
        let contacts = self.mutual_contacts(now);
        let listed = contacts
            .iter()
            .filter_map(|slot| self.peers.get(&slot))
            .map(|peer| peer.leader_candidates)
            .fold(SlotSet::default(), SlotSet::union);
        let listed_only = listed.difference(contacts);
        self.eligible_contacts(now, lease::CONTROL_PEER_TIMEOUT)
            .union(listed_only)
    }

    /// Returns the slot that leads a partition: the eligible one with the highest weight. None if no member is known to
    /// be eligible.
    pub(super) fn preferred_leader(&self, now: Duration, partition: u8) -> Option<u8> {
        self.preferred_leader_among(self.eligible_leaders(now), partition)
    }

    /// Returns the preferred leader among these slots, so that callers compute the eligible ones once for several
    /// partitions.
    pub(super) fn preferred_leader_among(&self, eligible: SlotSet, partition: u8) -> Option<u8> {
        // The name is an input of the hash on which all nodes must agree.
        let name = format!("slice/{partition}");
        let is_known = |slot: &u8| usize::from(*slot) < self.members.len();
        let eligible = eligible.iter().filter(is_known);
        eligible.max_by_key(|slot| Peer::new(self.address(*slot), 0).rendezvous_weight(&name))
    }

    /// Returns the slot to which messages for a slot are sent: itself, or a member in contact with both.
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
