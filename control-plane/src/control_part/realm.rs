//! After a majority of disks was lost: realms, rows taken back from edges, and when the operation ledger opens again.

use super::*;

impl ControlPart {
    /// Operations: those whose edge is gone become unknown; final ones are
    /// dropped when they have stood their time under this owner.
    pub(super) fn sweep(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        for (slice, leader) in self
            .leaders
            .iter_mut()
            .filter(|(slice, leader)| **slice >= NEWS && leader.ready())
        {
            let finished_since = self.finished_since.entry(*slice).or_default();
            let mut lost = Vec::new();
            let mut old = Vec::new();
            for (key, row) in &leader.rows {
                let Value::Operation(operation) = &row.value else {
                    continue;
                };
                if operation.state == OperationState::Running {
                    if self.sessions.gone(now, operation.by, quorum) {
                        lost.push((key.clone(), operation.clone()));
                    }
                    continue;
                }
                let since = finished_since
                    .entry(key.clone())
                    .or_insert((row.version, now));
                if since.0 != row.version {
                    *since = (row.version, now);
                }
                if now >= since.1 + lease::OPERATION {
                    old.push(key.clone());
                }
            }
            for (key, operation) in lost {
                notes.push(format!("{key} by {}", operation.by));
                leader.put(
                    key,
                    Value::Operation(Operation {
                        state: OperationState::Unknown,
                        ..operation
                    }),
                );
            }
            for key in old {
                finished_since.remove(&key);
                leader.drop_row(&key);
            }
        }
        for text in notes {
            self.note(Event::OperationAbandoned, text);
        }
    }

    pub(super) fn majority_lost(&mut self, now: Duration) {
        if now >= self.closed {
            self.note(
                Event::MajorityLost,
                format!("unknown operations are not run for {:?}", lease::CLOSED),
            );
        }
        self.closed = now + lease::CLOSED;
    }

    /// Whether the ledger of this realm is known to be complete.
    pub(super) fn open(&self) -> bool {
        self.realm != 0 && self.replica.opened() == self.realm && self.refound.is_none()
    }

    /// The realm whose acknowledged rows may be lost, as far as known here.
    pub(super) fn lost(&self) -> u64 {
        let known = Some(self.replica.lost).filter(|realm| *realm == self.replica.realm());
        self.refound.or(known).unwrap_or(0)
    }

    /// Another knows that a majority of disks was lost: said with every
    /// promise, so that no slice is taken in ignorance of it.
    pub(super) fn note_loss(&mut self, now: Duration, realm: u64) {
        if realm != 0 && realm == self.realm && self.refound.is_none() {
            self.majority_lost(now);
            self.refound = Some(realm);
        }
    }

    /// Slices that were founded, or lost a majority of their disks, first
    /// take back from the edges what those were shown.
    pub(super) fn recollect(&mut self, now: Duration) {
        if self.realm != self.replica.realm() {
            self.realm = self.replica.realm();
            self.entered = now;
            self.refound = Some(self.replica.lost).filter(|realm| *realm == self.realm);
            if self.replica.opened() != self.realm || self.refound.is_some() {
                // A first founding looks like the loss of everything.
                self.majority_lost(now);
                // An owner that lost nothing itself knows the roll as it was.
                let owner = self
                    .leaders
                    .get(&DUTIES)
                    .filter(|leader| leader.ready() && leader.wary.is_none());
                self.before = owner.and_then(PartitionLeader::roll).or(self.before.take());
            }
        }
        if self.open() {
            self.closed = Duration::ZERO;
            self.before = None;
        }
        if let Some(after) = self.refound {
            let ask = ChangeRequest {
                asker: self.address,
                id: changes::NOBODY_WAITS,
                hops: 0,
                slice: CONFIGURATION,
                ask: Change::Refound { after },
            };
            self.tell(self.address, ask);
        }
        let mut before = None;
        let mut told = Vec::new();
        let mut notes = Vec::new();
        let earlier = self
            .sessions
            .all()
            .iter()
            .map(|seen| seen.realm)
            .max()
            .unwrap_or(0);
        let realm = Realm::after(earlier.max(self.replica.realm()), self.replica.life);
        for (slice, leader) in self
            .leaders
            .iter_mut()
            .filter(|(_, leader)| leader.ready() && leader.wary.is_some())
        {
            if *slice < NEWS {
                told.extend(
                    self.sessions
                        .beyond(*slice, leader.version)
                        .into_iter()
                        .map(|edge| (edge, *slice)),
                );
            }
            // The ledger opens once the realm tells whether anything was lost.
            let may = *slice < NEWS || self.realm != 0;
            if may && leader.wary.is_some_and(|until| now >= until) {
                leader.wary = None;
                before = leader.roll().or(before);
                leader.put("founded".into(), Value::Founded { realm });
                if *slice == CONFIGURATION {
                    notes.push(format!("realm {realm:016x}"));
                }
            }
        }
        self.before = before.or(self.before.take());
        for (edge, slice) in told {
            self.tell(edge, RecallRequest { slice });
        }
        for text in notes {
            self.note(Event::RealmFounded, text);
        }
    }

    pub(super) fn handle_recall_reply(&mut self, recalled: RecallReply) {
        let RecallReply {
            slice,
            version,
            rows,
        } = recalled;
        let Some(leader) = self
            .leaders
            .get_mut(&slice)
            .filter(|leader| leader.wary.is_some() && leader.version < version)
        else {
            return;
        };
        let newer = leader.recall(version, rows);
        self.granted = self.sessions.marks();
        self.note(
            Event::RowsRecalled,
            format!("slice {slice}: {newer} rows up to version {version}"),
        );
    }

    /// Keeps the roll; and opens the ledger once all of the roll before a loss
    /// have told what they knew.
    pub(super) fn plan_roll(&mut self, now: Duration) {
        let mut notes = Vec::new();
        let quorum = self.quorum();
        let Some(leader) = self.leaders.get_mut(&DUTIES) else {
            return;
        };
        let told = |peer: &Peer| {
            self.sessions
                .all()
                .iter()
                .any(|seen| seen.peer == *peer && seen.realm == self.realm && seen.recalled)
        };
        if let Some((members, gone, true)) = &self.before
            && now < self.closed
            && Realm::again(self.realm)
            && gone.is_empty()
            && !members.is_empty()
            && members.iter().all(told)
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            self.before = None;
            notes.push("all of the roll told what they knew");
        }
        if self.fresh
            && self.realm != 0
            && !Realm::again(self.realm)
            && leader.opened() != self.realm
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("the fleet is new");
        }
        // All that could come again has come.
        let over = now >= self.closed.max(self.entered + lease::CLOSED);
        if self.realm != 0
            && self.replica.opened() != self.realm
            && over
            && leader.opened() != self.realm
        {
            leader.put("opened".into(), Value::Opened { realm: self.realm });
            notes.push("all that could come again has come");
        }
        let (known, mut gone, complete) = leader.roll().unwrap_or_default();
        let mut members: BTreeSet<Peer> = self
            .sessions
            .live(now, quorum)
            .iter()
            .map(|seen| seen.peer)
            .collect();
        for peer in known {
            if !members.contains(&peer) && self.sessions.gone(now, peer, quorum) {
                gone.push(peer);
            } else {
                members.insert(peer);
            }
        }
        self.departed.retain(|peer, _| gone.contains(peer));
        for peer in &gone {
            self.departed.entry(*peer).or_insert(now);
        }
        // Who is back in the same life has kept what it knows.
        gone.retain(|peer| !members.contains(peer) && now < self.departed[peer] + lease::CLOSED);
        let members: Vec<Peer> = members.into_iter().collect();
        // Until the new realm has its name, the roll is the lost one's.
        let complete = if self.realm == 0 {
            complete
        } else {
            leader.opened() == self.realm
        };
        let value = Value::Roll {
            members: members.clone(),
            gone,
            complete,
        };
        if leader.rows.get("roll").is_none_or(|row| row.value != value) {
            leader.put("roll".into(), value);
        }
        let settled = leader
            .rows
            .get("roll")
            .is_some_and(|row| row.version <= leader.settled());
        let before = leader.enrolled();
        let members: Vec<Peer> = members
            .into_iter()
            .filter(|peer| settled || before.contains(peer))
            .collect();
        if members != before {
            leader.put("enrolled".into(), Value::Enrolled { members });
        }
        for why in notes {
            self.note(
                Event::LedgerOpened,
                format!("realm {}: {why}", Realm::name(self.realm)),
            );
        }
    }

    /// Names the next realm, unless that was done since it was asked for.
    pub(super) fn refound(&mut self, after: u64) {
        let realm = Realm::after(self.replica.realm(), self.replica.life);
        let Some(leader) = self.leaders.get_mut(&CONFIGURATION) else {
            return;
        };
        if leader
            .rows
            .get("founded")
            .is_some_and(|row| row.value == Value::Founded { realm: after })
        {
            leader.put("founded".into(), Value::Founded { realm });
            self.note(Event::RealmFounded, format!("realm {realm:016x}"));
        }
    }

    /// Another keeps the ledger closed for so long. The way the message took
    /// must not add to it, to and fro.
    pub(super) fn extend_closing(&mut self, now: Duration, left: Duration) {
        const ON_THE_WAY: Duration = Duration::from_secs(1);
        if !self.open() && now + left > self.closed + ON_THE_WAY {
            self.closed = now + left;
        }
    }
}
