#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The sessions standing at this control node, and those the others told of.
/// Invariants:
/// - A session is counted for `lease::SESSION_LEASE` after the last renewal was heard;
///   the edge relied on it for less, counted from sending.
/// - A table told by another is, in all that decisions hang on, the one that it
///   had when it said so: differences are taken only if the sum is its sum. What
///   does not fit changes nothing, does not count as heard, and is asked for whole.
#[derive(Debug, Default)]
pub struct Sessions {
    local: BTreeMap<Peer, Session>,
    /// The state of `mine`, one more with each change, and its sum.
    revision: u64,
    checksum: u64,
    /// Who went, by the state since which; states up to `forgotten` are told
    /// whole.
    departures: BTreeMap<u64, Peer>,
    delta_floor: u64,
    peer_tables: BTreeMap<u8, PeerSessions>,
    /// Who last gave back a mark of this run at each address, and which: an
    /// address is one process's at a time, so who was there before that mark
    /// was told, and is another, has ended.
    current_incarnations: HashMap<SocketAddr, (u64, u64)>,
    run: u64,
    issued_tokens: u64,
    started_at: Option<Duration>,
}

#[derive(Debug)]
struct Session {
    last_renewal: Duration,
    /// Marks told when it was first heard.
    tokens_at_open: u64,
    info: SessionInfo,
    checksum: u64,
    /// The state since which it is as it is, and when that was.
    changed_revision: u64,
    changed_at: Duration,
}

#[derive(Debug, Default)]
struct PeerSessions {
    last_contact: Duration,
    revision: u64,
    checksum: u64,
    sessions: BTreeMap<Peer, SessionInfo>,
    newest: Vec<(u64, Peer)>,
}

/// What only operators read is told again this seldom.
const OPERATOR_DATA_INTERVAL: Duration = Duration::from_secs(5);
/// So many departures are told as differences.
const MAX_DEPARTURES: usize = 4096;

impl Sessions {
    /// Counts as just started: others may hold sessions we do not know of.
    pub fn restart(&mut self, now: Duration) {
        self.started_at = Some(now);
    }

    /// `run`: unlike that of any other run of this node.
    pub fn new(run: u64) -> Sessions {
        Sessions {
            run,
            ..Sessions::default()
        }
    }

    /// A mark for the next renewal told.
    pub fn issue_token(&mut self) -> RenewalToken {
        self.issued_tokens += 1;
        RenewalToken {
            run: self.run,
            count: self.issued_tokens,
        }
    }

    /// Marks told so far in this run.
    pub fn issued_tokens(&self) -> u64 {
        self.issued_tokens
    }

    /// True if this renewal opened the session. Earlier lives at the address
    /// that are known to have ended have none any more.
    pub fn renew(&mut self, now: Duration, seen: SessionInfo, heard: Option<RenewalToken>) -> bool {
        let peer = seen.peer;
        let opened = self.upsert(now, seen);
        if let Some(renewal_token) = heard.filter(|renewal_token| renewal_token.run == self.run) {
            let there = self
                .current_incarnations
                .entry(peer.address)
                .or_insert((peer.incarnation, 0));
            if renewal_token.count > there.1 {
                *there = (peer.incarnation, renewal_token.count);
            }
            let incarnations = self
                .local
                .range(Peer::new(peer.address, 0)..=Peer::new(peer.address, u64::MAX));
            let over: Vec<Peer> = incarnations
                .filter(|(other, one)| **other != peer && one.tokens_at_open < renewal_token.count)
                .map(|(other, _)| *other)
                .collect();
            for other in over {
                self.remove(other);
            }
        }
        opened
    }

    fn upsert(&mut self, now: Duration, seen: SessionInfo) -> bool {
        let known = self.local.get_mut(&seen.peer);
        let sum = known
            .as_ref()
            .filter(|known| known.info.core() == seen.core())
            .map_or_else(|| seen.sum(), |known| known.checksum);
        let Some(known) = known else {
            self.revision += 1;
            self.checksum ^= sum;
            self.local.insert(
                seen.peer,
                Session {
                    last_renewal: now,
                    tokens_at_open: self.issued_tokens,
                    info: seen,
                    checksum: sum,
                    changed_revision: self.revision,
                    changed_at: now,
                },
            );
            return true;
        };
        let read = now >= known.changed_at + OPERATOR_DATA_INTERVAL
            && (known.info.usage != seen.usage || known.info.origin_health != seen.origin_health);
        if sum != known.checksum || read {
            self.revision += 1;
            self.checksum ^= known.checksum ^ sum;
            (known.changed_revision, known.changed_at, known.checksum) = (self.revision, now, sum);
        }
        (known.last_renewal, known.info) = (now, seen);
        false
    }

    /// Whether a life that had begun when `renewal_tokens` were told has ended since:
    /// another is at its address.
    pub fn has_ended(&self, peer: Peer, renewal_tokens: u64) -> bool {
        self.current_incarnations
            .get(&peer.address)
            .is_some_and(|(incarnation, count)| {
                *incarnation != peer.incarnation && *count > renewal_tokens
            })
    }

    pub fn remove(&mut self, peer: Peer) -> bool {
        let Some(gone) = self.local.remove(&peer) else {
            return false;
        };
        self.revision += 1;
        self.checksum ^= gone.checksum;
        self.departures.insert(self.revision, peer);
        while self.departures.len() > MAX_DEPARTURES {
            self.delta_floor = self.departures.pop_first().expect("not empty").0;
        }
        true
    }

    /// Drops what lapsed and returns it.
    pub fn tick(&mut self, now: Duration) -> Vec<Peer> {
        self.started_at.get_or_insert(now);
        let lapsed: Vec<Peer> = self
            .local
            .iter()
            .filter(|(_, standing)| now >= standing.last_renewal + lease::SESSION_LEASE)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in &lapsed {
            self.remove(*peer);
        }
        lapsed
    }

    /// What a peer lacks that got our table up to this state.
    pub fn delta_since(&self, got: u64) -> SessionsDelta {
        let from = if got <= self.revision && got >= self.delta_floor {
            got
        } else {
            0
        };
        let put = self
            .local
            .values()
            .filter(|standing| standing.changed_revision > from)
            .map(|standing| standing.info.clone())
            .collect();
        let went = self
            .departures
            .range(from + 1..)
            .map(|(_, peer)| *peer)
            .filter(|peer| from > 0 && !self.local.contains_key(peer));
        let newest = (0..PUBLISHED_PARTITIONS).filter_map(|partition| {
            self.local
                .iter()
                .map(|(peer, one)| {
                    (
                        one.info
                            .version_vector
                            .get(usize::from(partition))
                            .copied()
                            .unwrap_or(0),
                        *peer,
                    )
                })
                .max()
        });
        SessionsDelta {
            from,
            to: self.revision,
            checksum: self.checksum,
            upserted: put,
            removed: went.collect(),
            newest: newest.collect(),
        }
    }

    /// The state up to which the table of another was got; 0: none.
    pub fn received_revision(&self, slot: u8) -> u64 {
        self.peer_tables
            .get(&slot)
            .map_or(0, |table| table.revision)
    }

    pub fn apply_delta(&mut self, now: Duration, slot: u8, since: SessionsDelta) {
        let table = self.peer_tables.entry(slot).or_default();
        let mut sum = if since.from == 0 { 0 } else { table.checksum };
        let known = |peer: &Peer| {
            table
                .sessions
                .get(peer)
                .filter(|_| since.from > 0)
                .map_or(0, SessionInfo::sum)
        };
        since
            .upserted
            .iter()
            .for_each(|seen| sum ^= known(&seen.peer) ^ seen.sum());
        since.removed.iter().for_each(|peer| sum ^= known(peer));
        if sum != since.checksum || since.from > table.revision {
            // Late, or of another run: what stands is not what it has.
            if since.to >= table.revision || since.from == 0 {
                table.revision = 0;
            }
            return;
        }
        if since.from == 0 {
            table.sessions.clear();
        }
        since.removed.iter().for_each(|peer| {
            table.sessions.remove(peer);
        });
        table
            .sessions
            .extend(since.upserted.into_iter().map(|seen| (seen.peer, seen)));
        (
            table.last_contact,
            table.revision,
            table.checksum,
            table.newest,
        ) = (now, since.to, sum, since.newest);
    }

    /// After a start, sessions renewed before it may still stand: not known
    /// until they would have lapsed or been renewed.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.started_at
            .is_some_and(|began| now >= began + lease::SESSION_LEASE)
    }

    /// The version of a partition that every session standing here has confirmed.
    pub fn confirmed_version(&self, now: Duration, partition: u8, published: u64) -> Option<u64> {
        let confirmed = self.local.values().filter_map(|standing| {
            standing
                .info
                .version_vector
                .get(usize::from(partition))
                .copied()
        });
        self.is_complete(now)
            .then(|| confirmed.min().unwrap_or(published).min(published))
    }

    pub fn local_sessions(&self) -> Vec<SessionInfo> {
        self.local.values().map(|one| one.info.clone()).collect()
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.local.keys().map(|peer| peer.address).collect()
    }

    /// Who has not confirmed this version of a partition, in this generation.
    pub fn unconfirmed(&self, generation: u64, partition: u8, version: u64) -> Vec<SocketAddr> {
        let has = |seen: &SessionInfo| {
            seen.generation == generation
                && seen
                    .version_vector
                    .get(usize::from(partition))
                    .is_some_and(|known| *known >= version)
        };
        self.local
            .values()
            .filter(|one| !has(&one.info))
            .map(|one| one.info.peer.address)
            .collect()
    }

    /// Tables of sessions not older than `lease::CONTROL_PEER_TIMEOUT`, ours included.
    fn current_tables(&self, now: Duration) -> Vec<Vec<&SessionInfo>> {
        let mut tables = Vec::new();
        if self.is_complete(now) {
            tables.push(self.local.values().map(|one| &one.info).collect());
        }
        for table in self.peer_tables.values() {
            if now < table.last_contact + lease::CONTROL_PEER_TIMEOUT {
                tables.push(table.sessions.values().collect());
            }
        }
        tables
    }

    pub fn remove_table(&mut self, slot: u8) {
        self.peer_tables.remove(&slot);
    }

    /// All that `live` and `gone` hang on, to see whether anything changed.
    pub fn membership_snapshot(&self, now: Duration) -> Vec<Vec<(Peer, bool)>> {
        self.current_tables(now)
            .into_iter()
            .map(|table| {
                table
                    .into_iter()
                    .map(|seen| (seen.peer, seen.draining))
                    .collect()
            })
            .collect()
    }

    /// Every session known, here or told.
    pub fn all(&self) -> Vec<&SessionInfo> {
        self.local
            .values()
            .map(|one| &one.info)
            .chain(
                self.peer_tables
                    .values()
                    .flat_map(|table| table.sessions.values()),
            )
            .collect()
    }

    /// Who confirmed more of updates partition than this version: here all, of others'
    /// tables the one that confirmed most.
    pub fn ahead_of(&self, partition: u8, version: u64) -> BTreeSet<SocketAddr> {
        let mine = self.local.iter().filter_map(|(peer, one)| {
            Some((*one.info.version_vector.get(usize::from(partition))?, *peer))
        });
        let told = self
            .peer_tables
            .values()
            .filter_map(|table| table.newest.get(usize::from(partition)).copied());
        mine.chain(told)
            .filter(|(known, _)| *known > version)
            .map(|(_, peer)| peer.address)
            .collect()
    }

    /// Every edge with a session in `rest` of the tables, as many as it takes
    /// to be live by its own rule.
    pub fn live(&self, now: Duration, quorum: Quorum) -> Vec<SessionInfo> {
        let mut count: BTreeMap<Peer, (usize, &SessionInfo)> = BTreeMap::new();
        for seen in self.current_tables(now).into_iter().flatten() {
            let known = count.entry(seen.peer).or_insert((0, seen));
            known.0 += 1;
        }
        count
            .into_values()
            .filter(|(tables, _)| *tables >= quorum.rest())
            .map(|(_, seen)| seen.clone())
            .collect()
    }

    /// True only if a majority says that no session of this peer stands.
    /// Invariant: an edge that is live by its own rule when they say so is not
    /// gone. It relies on `rest` control nodes, each of which counts its session
    /// for longer than it does; and of `most` one is among those.
    pub fn has_departed(&self, now: Duration, peer: Peer, quorum: Quorum) -> bool {
        let without = |table: &&Vec<&SessionInfo>| table.iter().all(|seen| seen.peer != peer);
        self.current_tables(now).iter().filter(without).count() >= quorum.most()
    }
}
