//! Who holds the slots: the membership table, joining, replaced and retired disks.

use super::*;

/// A slot not heard of for this long may go to an empty node that asks for one.
/// A process that is only started again is back before, and one that was wrongly
/// replaced comes back as an empty node.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(2);

/// Since when this node hears the others without a pause of its own: one that
/// was frozen has heard nobody for long, and that is no fault of theirs.
#[derive(Debug, Default)]
pub(super) struct ContactWatch {
    last_tick_at: Option<Duration>,
    unpaused_since: Duration,
}

impl ContactWatch {
    pub(super) fn tick(&mut self, now: Duration) {
        if !self.is_unpaused(now) {
            self.unpaused_since = now;
        }
        self.last_tick_at = Some(now);
    }

    /// About the present time.
    fn last_tick(&self) -> Duration {
        self.last_tick_at.unwrap_or_default()
    }

    /// Whether the last tick was as lately as it should be.
    fn is_unpaused(&self, now: Duration) -> bool {
        self.last_tick_at
            .is_some_and(|ticked| now < ticked + lease::CONTROL_PEER_TIMEOUT)
    }

    /// Whether one last heard of at this time has been silent for long enough.
    pub(super) fn is_lost(&self, now: Duration, heard: Duration) -> bool {
        self.is_unpaused(now) && now >= heard.max(self.unpaused_since) + MEMBER_LOSS_TIMEOUT
    }
}

impl ControlNode {
    /// The slot that this life of a peer holds by our table.
    pub(super) fn slot_of(&self, peer: &Peer) -> Option<u8> {
        let at = self.members.iter().position(|known| known.names(peer))?;
        Some(at as u8)
    }

    /// Handles what concerns membership itself, and holds back what may not be
    /// heeded by our table or by that of the sender. The message, if it stands.
    pub(super) fn check_membership(
        &mut self,
        now: Duration,
        from: Peer,
        slot: Option<u8>,
        message: Message,
    ) -> Option<Message> {
        match message {
            Message::JoinRequest(request) => {
                self.handle_join_request(from, request.founding);
                None
            }
            Message::MembershipTable(table) => {
                self.handle_membership_table(now, table);
                None
            }
            Message::SlotOfferReply(reply) => {
                self.handle_slot_offer_reply(now, &reply);
                None
            }
            Message::SlotState(state) => {
                self.handle_slot_state(now, from, state);
                None
            }
            Message::SlotStateReceived(received) => {
                self.handle_slot_state_received(&received);
                None
            }
            _ if self.removed => None,
            other if self.slot == NO_SLOT => {
                self.handle_message_without_slot(now, from, &other);
                None
            }
            other => self.compare_tables(now, from, slot, other),
        }
    }

    /// A node that holds no slot only looks for somebody who knows the table.
    fn handle_message_without_slot(&mut self, now: Duration, from: Peer, message: &Message) {
        match message {
            Message::RecallReply(reply) => self.learn_recalled_table(now, reply),
            // After a loss of all disks nobody but the edges knows the table.
            Message::RenewRequest(_) if self.bootstrap.is_some() => {
                self.send(
                    from.address,
                    RecallRequest {
                        partition: MEMBERSHIP_PARTITION,
                    },
                );
            }
            // The sender takes us for a member: seeds may be gone, it is there.
            Message::Heartbeat(_) => {
                let Some(bootstrap) = &mut self.bootstrap else {
                    return;
                };
                bootstrap.note_existing_table();
                let founding = bootstrap.founding && !self.replica.full;
                self.send(from.address, JoinRequest { founding });
            }
            _ => {}
        }
    }

    /// Who goes by an older table is told the newer one; nothing else than a
    /// heartbeat is heeded under it. One who goes by a newer one is told by our
    /// heartbeat that we lack it.
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

    pub(super) fn handle_heartbeat(
        &mut self,
        now: Duration,
        from: Peer,
        slot: u8,
        heartbeat: Heartbeat,
    ) {
        let status = PeerStatus {
            incarnation: from.incarnation,
            full: heartbeat.full,
            blank: heartbeat.blank,
            last_heartbeat: now,
            heard_slots: heartbeat.heard_slots,
            mutual_contacts: heartbeat.mutual_contacts,
            leader_candidates: heartbeat.leader_candidates,
            acknowledged_sessions: heartbeat.acknowledged_sessions,
        };
        self.peers.insert(slot, status);
        self.extend_ledger_closure(now, heartbeat.ledger_closed_for);
        self.on_loss_reported(now, heartbeat.lost_generation);
        if let Some(sessions) = heartbeat.sessions {
            self.sessions.apply_delta(now, slot, sessions);
        }
    }

    /// The table of places is updates like any other: heeded once published.
    pub(super) fn adopt_published_table(&mut self) {
        if let Some((version, members)) = self
            .replica
            .published_members()
            .filter(|(version, _)| *version > self.membership_version)
        {
            self.adopt_table(version, members);
        }
    }

    /// Of a full disk: from now on nobody who goes by an older table gets a
    /// promise or has anything kept here.
    pub(super) fn adopt_table(&mut self, version: u64, members: Vec<Peer>) {
        self.membership_version = version;
        if members == self.members {
            self.leaders
                .values_mut()
                .for_each(|leader| leader.set_membership_version(version));
            return;
        }
        self.table_adopted_at = self.contact_watch.last_tick();
        let before = std::mem::replace(&mut self.members, members.clone());
        for slot in 0..before.len().max(members.len()) {
            let (old, new) = (before.get(slot), members.get(slot));
            if old == new {
                continue;
            }
            let was = old.map_or(String::new(), |old| format!(" from {old}"));
            let to = new.map_or(String::new(), Peer::to_string);
            self.log_event(Event::MemberReplaced, format!("slot {slot}{was} to {to}"));
            let at = slot as u8;
            self.last_messages.remove(&at);
            self.sessions.remove_table(at);
            let Some(peer) = self.peers.remove(&at) else {
                continue;
            };
            let stays = old
                .zip(new)
                .is_some_and(|(old, new)| new.names(&Peer::new(old.address, peer.incarnation)));
            if !stays {
                self.retire_incarnation(peer.incarnation);
            }
        }
        // What was promised and counted so far was counted by another table:
        // partitions are taken anew by this one.
        self.leaders.clear();
        self.pending_replies.clear();
        if self.slot != NO_SLOT
            && !members
                .get(usize::from(self.slot))
                .is_some_and(|peer| peer.names(&self.me()))
        {
            self.mark_removed();
        }
    }

    /// What this disk said counts for nothing any more. Written down: whoever
    /// hears an acknowledgement of ours hears of this first, over our restarts.
    pub(super) fn retire_incarnation(&mut self, incarnation: u64) {
        if incarnation == self.replica.incarnation
            || self.retired_incarnations.contains(&incarnation)
        {
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

    /// Another retired these.
    pub(super) fn on_retired_reported(&mut self, incarnations: &[u64]) {
        for incarnation in incarnations {
            self.retire_incarnation(*incarnation);
            let slots: Vec<u8> = self
                .peers
                .iter()
                .filter(|(_, peer)| peer.incarnation == *incarnation)
                .map(|(slot, _)| *slot)
                .collect();
            for slot in slots {
                self.peers.remove(&slot);
                self.sessions.remove_table(slot);
                self.leaders
                    .values_mut()
                    .for_each(|leader| leader.reset_replica(slot));
            }
        }
    }

    pub(super) fn retired_incarnations(&self) -> Vec<u64> {
        self.retired_incarnations.iter().copied().collect()
    }

    pub(super) fn mark_removed(&mut self) {
        if !self.removed {
            self.removed = true;
            self.store(&Record::Removed);
            self.leaders.clear();
            self.pending_replies.clear();
            // Nobody answers those who asked here any more: at once, not when
            // they lose patience.
            self.fail_operator_calls();
            self.log_event(Event::MemberRemoved, format!("slot {}", self.slot));
        }
    }

    /// Another goes by a newer table.
    pub(super) fn handle_membership_table(&mut self, now: Duration, table: MembershipTable) {
        let MembershipTable { version, members } = table;
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.note_existing_table();
        }
        let slot = members
            .iter()
            .position(|peer| peer.names(&self.me()))
            .map(|at| at as u8);
        if version <= self.membership_version {
            // The founding table, which there is one of, by who was there.
            let mine = self
                .bootstrap
                .as_ref()
                .is_some_and(|bootstrap| bootstrap.founding)
                && self.members.is_empty()
                && !self.replica.full;
            if version == 0 && mine && slot.is_some() {
                self.store(&Record::Founding {
                    members: members.clone(),
                });
                self.join_table(now, 0, members, slot);
            }
            return;
        }
        // Kept beside what the partition's rows say: those may be longer in coming.
        self.store(&Record::MembershipTable {
            version,
            members: members.clone(),
        });
        if self.replica.full && !self.members.is_empty() {
            return self.adopt_table(version, members);
        }
        self.join_table(now, version, members, slot);
    }

    pub(super) fn join_table(
        &mut self,
        now: Duration,
        version: u64,
        members: Vec<Peer>,
        slot: Option<u8>,
    ) {
        (self.membership_version, self.members) = (version, members);
        if self.slot != NO_SLOT && slot.is_none() {
            // It may have been met by others, who then retired this life.
            return self.mark_removed();
        }
        self.table_adopted_at = now;
        // Who was met by the older table may sit elsewhere by this one: that
        // retires nobody.
        self.peers.clear();
        self.last_messages.clear();
        self.retired_incarnations = self.replica.retired.clone();
        self.slot = slot.unwrap_or(NO_SLOT);
        let blank = slot.filter(|_| !self.replica.full);
        self.recovery = blank.map(|slot| ReplicaRecovery::new(slot, self.members.len(), version));
        self.sessions.restart(now);
    }

    /// Without a slot: the first seed of a founding makes the table, all others
    /// ask.
    pub(super) fn request_slot(&mut self, now: Duration) {
        let first = self.seeds.first() == Some(&self.address)
            && self.members.is_empty()
            && !self.replica.full;
        let table = self
            .bootstrap
            .as_mut()
            .filter(|_| first)
            .and_then(|bootstrap| bootstrap.founding_table(now, &self.seeds));
        if let Some(members) = table {
            self.store(&Record::Founding {
                members: members.clone(),
            });
            for peer in &members {
                if peer.address != self.address {
                    self.send_after_sync(
                        peer.address,
                        MembershipTable {
                            version: 0,
                            members: members.clone(),
                        },
                    );
                }
            }
            return self.join_table(now, 0, members, Some(0));
        }
        let founding = self
            .bootstrap
            .as_ref()
            .is_some_and(|bootstrap| bootstrap.founding)
            && !self.replica.full;
        // Seeds may be gone by now: who is in the last known table is asked too.
        let known = self.members.iter().map(|peer| peer.address);
        let asked: BTreeSet<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(known)
            .filter(|one| *one != self.address)
            .collect();
        for one in asked {
            self.send(one, JoinRequest { founding });
        }
    }

    /// A node without a slot asks for one, or asks again after it got it.
    pub(super) fn handle_join_request(&mut self, from: Peer, founding: bool) {
        if let Some(bootstrap) = self
            .bootstrap
            .as_mut()
            .filter(|_| founding && self.slot == NO_SLOT)
        {
            bootstrap.add_joiner(from.address);
        }
        if self.slot == NO_SLOT {
            return;
        }
        if self.members.iter().any(|peer| peer.names(&from)) {
            // Also one that was removed may know. The founder's own table is on its disk before it is told.
            return self.send_after_sync(from.address, self.current_table());
        }
        if self.removed {
            return;
        }
        // To the owner, through our own door; nobody pending_replies for it.
        let ask = ChangeRequest {
            requester: self.address,
            id: changes::NO_REQUESTER_ID,
            hops: 0,
            partition: MEMBERSHIP_PARTITION,
            change: Change::JoinRequest {
                peer: from,
                founding,
            },
        };
        self.send(self.address, ask);
    }

    pub(super) fn current_table(&self) -> MembershipTable {
        MembershipTable {
            version: self.membership_version,
            members: self.members.clone(),
        }
    }

    /// An edge told who holds the slots, which nobody else knows here.
    pub(super) fn learn_recalled_table(&mut self, now: Duration, recalled: &RecallReply) {
        let table = recalled.rows.iter().find_map(|(_, row)| match &row.value {
            Value::Members(members) if recalled.partition == MEMBERSHIP_PARTITION => {
                Some((row.version, members.clone()))
            }
            _ => None,
        });
        if let Some((version, members)) = table.filter(|_| self.bootstrap.is_some()) {
            self.handle_membership_table(now, MembershipTable { version, members });
        }
    }

    /// The table becomes a row, so that edges learn it: a first one that was
    /// founded is in no row yet, and one may have been lost with a majority.
    pub(super) fn publish_table(&mut self) {
        let Some(leader) = self
            .leaders
            .get_mut(&MEMBERSHIP_PARTITION)
            .filter(|leader| leader.ready() && leader.recall_until.is_none())
        else {
            return;
        };
        let known = leader.rows.get("places").map(|row| row.version);
        if known.is_none() && self.bootstrap.is_some()
            || known.unwrap_or(0) < self.membership_version
        {
            leader.version = leader.version.max(self.membership_version);
            leader.put("places".into(), Value::Members(self.members.clone()));
        }
    }

    /// The first of the slots not heard of for long enough.
    fn lost_slot(&self, now: Duration) -> Option<u8> {
        self.other_slots()
            .find(|slot| self.is_slot_lost(now, *slot))
    }

    /// Whether a slot was silent for so long that it may go to another. One that
    /// was not met yet counts from when the table named it.
    pub(super) fn is_slot_lost(&self, now: Duration, slot: u8) -> bool {
        let met = self.last_messages.get(&slot).copied();
        self.contact_watch
            .is_lost(now, met.unwrap_or(self.table_adopted_at))
    }

    /// Whether the last change of the table is done: it has settled, and every
    /// member was met with a disk that was refilled, or is lost. What was
    /// acknowledged by the table before then lies on a majority by this one.
    pub(super) fn membership_is_calm(&self, now: Duration) -> bool {
        let refilled = |slot: u8| self.peers.get(&slot).is_some_and(|peer| !peer.blank);
        self.table_has_settled()
            && self
                .other_slots()
                .all(|slot| refilled(slot) || self.is_slot_lost(now, slot))
    }

    /// Whether the table that this leader goes by is the last one written, and
    /// every live edge knows it.
    pub(super) fn table_has_settled(&self) -> bool {
        let Some(leader) = self
            .leaders
            .get(&MEMBERSHIP_PARTITION)
            .filter(|leader| leader.settled() >= leader.version)
        else {
            return false;
        };
        leader
            .rows
            .get("places")
            .is_none_or(|row| row.version <= self.membership_version)
    }

    /// A slot was heard with this life; an earlier one is retired.
    pub(super) fn on_member_contact(&mut self, slot: u8, incarnation: u64) {
        self.last_messages
            .insert(slot, self.contact_watch.last_tick());
        let known = self
            .peers
            .entry(slot)
            .or_insert_with(|| PeerStatus::unknown(incarnation));
        if known.incarnation != incarnation {
            let earlier = known.incarnation;
            *known = PeerStatus::unknown(incarnation);
            for leader in self.leaders.values_mut() {
                leader.reset_replica(slot);
            }
            self.sessions.remove_table(slot);
            self.retire_incarnation(earlier);
        }
    }

    /// Puts a peer in its own or in a lost slot's place, or a founding one in a
    /// new slot, once the last change has settled. A lost or a new slot also
    /// waits until the last newcomer was refilled.
    pub(super) fn assign_slot(&mut self, now: Duration, peer: Peer, founding: bool) {
        if self.members.iter().any(|known| known.names(&peer)) {
            return;
        }
        // A new disk at a place that holds a slot asks for that slot.
        let own = self
            .members
            .iter()
            .position(|known| known.address == peer.address)
            .map(|at| at as u8);
        if own.is_none() {
            self.waiting_joiner = Some(WaitingJoiner {
                peer,
                requested_at: now,
            });
        }
        if !self.table_has_settled() {
            return;
        }
        let lost = || self.lost_slot(now).filter(|_| self.membership_is_calm(now));
        let all_full = || {
            self.other_slots().all(|slot| {
                self.peers
                    .get(&slot)
                    .is_some_and(|peer| peer.full && peer.is_connected(now))
            })
        };
        let mut members = self.members.clone();
        if let Some(slot) = own.or_else(lost) {
            members[usize::from(slot)] = peer;
        } else if founding && members.len() < MAX_SLOTS && all_full() {
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
