//! The membership table that this node uses, and the incarnations that hold its slots.

use super::*;

impl ControlNode {
    /// Returns the slot that this incarnation of a peer holds in the table.
    pub(super) fn slot_of(&self, peer: &Peer) -> Option<u8> {
        let at = self.members.iter().position(|known| known.matches(peer))?;
        Some(at as u8)
    }

    /// Returns true if this incarnation of a peer holds a slot.
    pub(super) fn is_member(&self, peer: &Peer) -> bool {
        self.slot_of(peer).is_some()
    }

    /// Handles messages about membership, and drops those that this node's table or the sender's does not permit.
    /// Returns the message if it is still to be handled.
    pub(super) fn check_membership(
        &mut self,
        now: Duration,
        from: Peer,
        slot: Option<u8>,
        message: Message,
    ) -> Option<Message> {
        match message {
            Message::JoinRequest(request) => self.handle_join_request(from, request.founding),
            Message::MembershipTable(table) => self.handle_membership_table(now, table),
            Message::SlotOfferReply(reply) => self.handle_slot_offer_reply(now, &reply),
            Message::SlotState(state) => self.handle_slot_state(now, from, state),
            Message::SlotStateReceived(received) => self.handle_slot_state_received(&received),
            _ if self.removed => {}
            other if self.slot == NO_SLOT => self.handle_message_without_slot(now, from, &other),
            other => return self.compare_tables(now, from, slot, other),
        }
        None
    }

    /// Sends this node's table to a sender with an older one, of which only heartbeats are handled. A sender with a
    /// newer table is sent a heartbeat, which shows that this node lacks that table.
    fn compare_tables(
        &mut self,
        now: Duration,
        from: Peer,
        slot: Option<u8>,
        message: Message,
    ) -> Option<Message> {
        let version = match &message {
            Message::Heartbeat(heartbeat) => heartbeat.membership_version,
            Message::PrepareRequest(request) => request.membership_version,
            Message::AppendRequest(request) => request.membership_version,
            Message::SnapshotRequest(request) => request.membership_version,
            _ => return Some(message),
        };
        let is_heartbeat = matches!(message, Message::Heartbeat(_));
        if version < self.membership_version {
            self.send(from.address, self.current_table());
            return Some(message).filter(|_| is_heartbeat);
        }
        if is_heartbeat && version > self.membership_version {
            self.send(from.address, self.heartbeat(now, slot.unwrap_or(NO_SLOT)));
        }
        Some(message)
    }

    /// Returns the table that this node uses.
    pub(super) fn current_table(&self) -> MembershipTable {
        MembershipTable {
            version: self.membership_version,
            members: self.members.clone(),
        }
    }

    /// Adopts the published table if it is newer: it is replicated like any other row, and adopted once published.
    pub(super) fn adopt_published_table(&mut self) {
        if let Some(table) = self.replica.published_table()
            && table.version > self.membership_version
        {
            self.adopt_table(table);
        }
    }

    /// Adopts a newer table on a node with a full disk: from now on this node promises and stores nothing for a node
    /// that uses an older table.
    pub(super) fn adopt_table(&mut self, table: MembershipTable) {
        self.membership_version = table.version;
        if table.members == self.members {
            for leader in self.leaders.values_mut() {
                leader.set_membership_version(table.version);
            }
            return;
        }
        self.table_adopted_at = self.failure_detector.last_tick();
        let members = table.members;
        let before = std::mem::replace(&mut self.members, members.clone());
        for slot in 0..before.len().max(members.len()) {
            let (old, new) = (before.get(slot).copied(), members.get(slot).copied());
            if old != new {
                self.replace_member(slot as u8, old, new);
            }
        }
        // Promises and acknowledgements so far were counted under another table. With this table, partitions are led
        // under new epochs.
        self.leaders.clear();
        self.pending_replies.clear();
        let own_member = members.get(usize::from(self.slot));
        let is_still_member = own_member.is_some_and(|member| member.matches(&self.local_peer()));
        if self.slot != NO_SLOT && !is_still_member {
            self.mark_removed();
        }
    }

    /// Handles a slot that was assigned to another member, was added or was dropped.
    fn replace_member(&mut self, slot: u8, old: Option<Peer>, new: Option<Peer>) {
        let from = old.map_or(String::new(), |old| format!(" from {old}"));
        let to = new.map_or(String::new(), |new| new.to_string());
        self.log_event(Event::MemberReplaced, format!("slot {slot}{from} to {to}"));
        self.last_messages.remove(&slot);
        self.sessions.remove_table(slot);
        let Some(status) = self.peers.remove(&slot) else {
            return;
        };
        let is_same_incarnation = old
            .zip(new)
            .is_some_and(|(old, new)| new.matches(&Peer::new(old.address, status.incarnation)));
        if !is_same_incarnation {
            self.retire_incarnation(status.incarnation);
        }
    }

    /// Retires an incarnation: messages of this disk are ignored from now on. The retirement is stored, so that every
    /// later acknowledgement of this node reports it, even after a restart.
    pub(super) fn retire_incarnation(&mut self, incarnation: u64) {
        let is_own = incarnation == self.replica.incarnation;
        if is_own || self.retired_incarnations.contains(&incarnation) {
            return;
        }
        self.retired_incarnations.push_back(incarnation);
        while self.retired_incarnations.len() > MAX_RETIRED_INCARNATIONS {
            self.retired_incarnations.pop_front();
        }
        if self.replica.full {
            self.store(&Record::Retired { incarnation });
        }
    }

    /// Handles incarnations that another node retired.
    pub(super) fn on_retired_reported(&mut self, incarnations: &[u64]) {
        for incarnation in incarnations {
            self.retire_incarnation(*incarnation);
            let is_retired = |peer: &PeerStatus| peer.incarnation == *incarnation;
            let slots: Vec<u8> = self
                .peers
                .iter()
                .filter(|(_, peer)| is_retired(peer))
                .map(|(slot, _)| *slot)
                .collect();
            for slot in slots {
                self.peers.remove(&slot);
                self.forget_slot(slot);
            }
        }
    }

    /// Drops the sessions and acknowledgements recorded for a slot.
    fn forget_slot(&mut self, slot: u8) {
        self.sessions.remove_table(slot);
        for leader in self.leaders.values_mut() {
            leader.reset_replica(slot);
        }
    }

    /// Returns the retired incarnations known to this node, the latest last.
    pub(super) fn retired_incarnations(&self) -> Vec<u64> {
        self.retired_incarnations.iter().copied().collect()
    }

    /// Records a message of this incarnation from a slot, and retires an earlier incarnation.
    pub(super) fn on_member_contact(&mut self, slot: u8, incarnation: u64) {
        self.last_messages
            .insert(slot, self.failure_detector.last_tick());
        let status = self
            .peers
            .entry(slot)
            .or_insert_with(|| PeerStatus::unknown(incarnation));
        if status.incarnation != incarnation {
            let earlier = status.incarnation;
            *status = PeerStatus::unknown(incarnation);
            self.forget_slot(slot);
            self.retire_incarnation(earlier);
        }
    }

    /// Marks this node as removed after its slot was assigned to another: it acknowledges nothing any more, even over
    /// restarts.
    pub(super) fn mark_removed(&mut self) {
        if self.removed {
            return;
        }
        self.removed = true;
        self.store(&Record::Removed);
        self.leaders.clear();
        self.pending_replies.clear();
        // Calls from operators get no reply from the leader any more: they fail at once instead of by a timeout.
        self.fail_operator_calls();
        self.log_event(Event::MemberRemoved, format!("slot {}", self.slot));
    }
}
