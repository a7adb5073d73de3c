//! How a node obtains a slot: by founding the fleet, by requesting a slot, or by receiving a table that contains it.

use super::*;

impl ControlNode {
    /// Handles a message on a node without a slot, which only looks for nodes that know the table.
    pub(super) fn handle_message_without_slot(
        &mut self,
        now: Duration,
        from: Peer,
        message: &Message,
    ) {
        match message {
            Message::RecallReply(reply) => self.learn_recalled_table(now, reply),
            // After a loss of all disks only the edges know the table.
            Message::RenewRequest(_) if self.bootstrap.is_some() => {
                let partition = MEMBERSHIP_PARTITION;
                self.send(from.address, RecallRequest { partition });
            }
            // The sender considers this node a member. Unlike the seeds, which may have left, it is reachable.
            Message::Heartbeat(_) => {
                if let Some(bootstrap) = &mut self.bootstrap {
                    bootstrap.record_existing_table();
                    let founding = self.is_founding();
                    self.send(from.address, JoinRequest { founding });
                }
            }
            _ => {}
        }
    }

    /// Returns true if this node takes part in founding the fleet, with an empty disk.
    fn is_founding(&self) -> bool {
        let bootstrap = self.bootstrap.as_ref();
        bootstrap.is_some_and(|bootstrap| bootstrap.founding) && !self.replica.full
    }

    /// Requests a slot; the first seed of a founding creates the table instead.
    pub(super) fn request_slot(&mut self, now: Duration) {
        if let Some(members) = self.founding_table(now) {
            return self.found_table(now, members);
        }
        let founding = self.is_founding();
        // Seeds may have left by now, so members of the last known table are sent the request too.
        let known = self.members.iter().map(|peer| peer.address);
        let addresses: BTreeSet<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .chain(known)
            .filter(|address| *address != self.address)
            .collect();
        for address in addresses {
            self.send(address, JoinRequest { founding });
        }
    }

    /// Returns the founding table, if this node creates it and the join window is over.
    fn founding_table(&mut self, now: Duration) -> Option<Vec<Peer>> {
        let is_first_seed = self.seeds.first() == Some(&self.address);
        if !is_first_seed || !self.members.is_empty() || self.replica.full {
            return None;
        }
        let bootstrap = self.bootstrap.as_mut()?;
        bootstrap.founding_table(now, &self.seeds)
    }

    /// Stores the founding table, and sends it to all members once it is synced.
    fn found_table(&mut self, now: Duration, members: Vec<Peer>) {
        self.store(&Record::Founding {
            members: members.clone(),
        });
        let table = MembershipTable {
            version: 0,
            members,
        };
        for peer in &table.members {
            if peer.address != self.address {
                self.send_after_sync(peer.address, table.clone());
            }
        }
        self.join_table(now, table, Some(0));
    }

    /// Handles the request of a node for a slot, possibly repeated after the slot was assigned.
    pub(super) fn handle_join_request(&mut self, from: Peer, founding: bool) {
        if self.slot == NO_SLOT {
            if let Some(bootstrap) = self.bootstrap.as_mut().filter(|_| founding) {
                bootstrap.add_joiner(from.address);
            }
            return;
        }
        if self.is_member(&from) {
            // A removed node may reply too. The founder's own table is on its disk before it is sent.
            return self.send_after_sync(from.address, self.current_table());
        }
        if self.removed {
            return;
        }
        self.record_succession_joiner(from, founding);
        // The change is routed to the leader of the table like this node's own changes.
        let change = Change::JoinRequest {
            peer: from,
            founding,
        };
        let request = self.own_request(MEMBERSHIP_PARTITION, change);
        self.send(self.address, request);
    }

    /// Handles a membership table of another node: stores and adopts it if it is newer.
    pub(super) fn handle_membership_table(&mut self, now: Duration, table: MembershipTable) {
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.record_existing_table();
        }
        let local_peer = self.local_peer();
        let slot = table
            .members
            .iter()
            .position(|peer| peer.matches(&local_peer));
        let slot = slot.map(|at| at as u8);
        if table.version <= self.membership_version {
            // There is only one founding table; it is accepted by nodes that take part in the founding.
            let accepts = self.is_founding() && self.members.is_empty();
            if table.version == 0 && accepts && slot.is_some() {
                self.store(&Record::Founding {
                    members: table.members.clone(),
                });
                self.join_table(now, table, slot);
            }
            return;
        }
        // Stored in addition to the partition's rows, which may take longer to arrive.
        self.store(&Record::MembershipTable {
            version: table.version,
            members: table.members.clone(),
        });
        if self.replica.full && !self.members.is_empty() {
            self.adopt_table(table);
        } else {
            self.join_table(now, table, slot);
        }
    }

    /// Adopts a table on a node whose disk is not included in quorums yet.
    fn join_table(&mut self, now: Duration, table: MembershipTable, slot: Option<u8>) {
        self.membership_version = table.version;
        self.members = table.members;
        if self.slot != NO_SLOT && slot.is_none() {
            // Other members may have received messages of this incarnation and retired it since.
            return self.mark_removed();
        }
        self.table_adopted_at = now;
        // A member of the older table may hold another slot in this one, which is no reason to retire its incarnation.
        self.peers.clear();
        self.last_messages.clear();
        self.retired_incarnations = self.replica.retired.clone();
        self.slot = slot.unwrap_or(NO_SLOT);
        let recovering_slot = slot.filter(|_| !self.replica.full);
        self.recovery = recovering_slot
            .map(|slot| ReplicaRecovery::new(slot, self.members.len(), self.membership_version));
        self.sessions.restart(now);
    }

    /// Handles the table that an edge was shown, if this node has no other way to learn it.
    fn learn_recalled_table(&mut self, now: Duration, reply: &RecallReply) {
        if self.bootstrap.is_none() || reply.partition != MEMBERSHIP_PARTITION {
            return;
        }
        let table = reply.rows.iter().find_map(|(_, row)| match &row.value {
            Value::Members(members) => Some(MembershipTable {
                version: row.version,
                members: members.clone(),
            }),
            _ => None,
        });
        if let Some(table) = table {
            self.handle_membership_table(now, table);
        }
    }
}
