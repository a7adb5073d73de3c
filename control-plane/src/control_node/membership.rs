//! The membership table that this node goes by, and the incarnations that count by it.

use super::*;

impl ControlNode {
    /// The slot that this incarnation of a peer holds by the table.
    pub(super) fn slot_of(&self, peer: &Peer) -> Option<u8> {
        let at = self.members.iter().position(|known| known.matches(peer))?;
        Some(at as u8)
    }

    /// Whether this incarnation of a peer holds a slot.
    pub(super) fn is_member(&self, peer: &Peer) -> bool {
        self.slot_of(peer).is_some()
    }

    /// Handles what concerns membership itself, and drops what may not be handled by this node's table or by that of
    /// the sender. The message, if it stands.
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

    /// Whoever goes by an older table is sent the newer one; nothing but a heartbeat is handled under it. One who
    /// goes by a newer table learns by this node's heartbeat that it lacks it.
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

    /// The table that this node goes by.
    pub(super) fn current_table(&self) -> MembershipTable {
        MembershipTable {
            version: self.membership_version,
            members: self.members.clone(),
        }
    }

    /// The published table is an update like any other: adopted once published.
    pub(super) fn adopt_published_table(&mut self) {
        if let Some(table) = self.replica.published_table()
            && table.version > self.membership_version
        {
            self.adopt_table(table);
        }
    }

    /// Adopts a newer table, with a full disk: from now on nobody who goes by an older table gets a promise, or has
    /// anything stored here.
    pub(super) fn adopt_table(&mut self, table: MembershipTable) {
        self.membership_version = table.version;
        if table.members == self.members {
            for leader in self.leaders.values_mut() {
                leader.set_membership_version(table.version);
            }
            return;
        }
        self.table_adopted_at = self.contact_watch.last_tick();
        let members = table.members;
        let before = std::mem::replace(&mut self.members, members.clone());
        for slot in 0..before.len().max(members.len()) {
            let (old, new) = (before.get(slot).copied(), members.get(slot).copied());
            if old != new {
                self.replace_member(slot as u8, old, new);
            }
        }
        // What was promised and counted so far was counted by another table: partitions are taken anew by this one.
        self.leaders.clear();
        self.pending_replies.clear();
        let own_member = members.get(usize::from(self.slot));
        let is_named = own_member.is_some_and(|member| member.matches(&self.me()));
        if self.slot != NO_SLOT && !is_named {
            self.mark_removed();
        }
    }

    /// A slot went to another member, was added or was dropped.
    fn replace_member(&mut self, slot: u8, old: Option<Peer>, new: Option<Peer>) {
        let from = old.map_or(String::new(), |old| format!(" from {old}"));
        let to = new.map_or(String::new(), |new| new.to_string());
        self.log_event(Event::MemberReplaced, format!("slot {slot}{from} to {to}"));
        self.last_messages.remove(&slot);
        self.sessions.remove_table(slot);
        let Some(status) = self.peers.remove(&slot) else {
            return;
        };
        let stays = old
            .zip(new)
            .is_some_and(|(old, new)| new.matches(&Peer::new(old.address, status.incarnation)));
        if !stays {
            self.retire_incarnation(status.incarnation);
        }
    }

    /// What this disk sent counts for nothing any more. That is stored: whoever receives an acknowledgement of this
    /// node learns of it first, over its restarts.
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

    /// Another node retired these.
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

    /// Drops what was counted for a slot.
    fn forget_slot(&mut self, slot: u8) {
        self.sessions.remove_table(slot);
        for leader in self.leaders.values_mut() {
            leader.reset_replica(slot);
        }
    }

    pub(super) fn retired_incarnations(&self) -> Vec<u64> {
        self.retired_incarnations.iter().copied().collect()
    }

    /// A message of this incarnation came from a slot; an earlier one is retired.
    pub(super) fn on_member_contact(&mut self, slot: u8, incarnation: u64) {
        self.last_messages
            .insert(slot, self.contact_watch.last_tick());
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

    /// The slot of this node went to another: it acknowledges nothing any more, over its restarts.
    pub(super) fn mark_removed(&mut self) {
        if self.removed {
            return;
        }
        self.removed = true;
        self.store(&Record::Removed);
        self.leaders.clear();
        self.pending_replies.clear();
        // Nobody replies to operators who called here any more: they learn that at once, not by a timeout.
        self.fail_operator_calls();
        self.log_event(Event::MemberRemoved, format!("slot {}", self.slot));
    }
}
