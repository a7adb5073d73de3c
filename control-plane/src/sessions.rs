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
    mine: BTreeMap<Peer, Session>,
    /// The state of `mine`, one more with each change, and its sum.
    at: u64,
    sum: u64,
    /// Who went, by the state since which; states up to `forgotten` are told
    /// whole.
    went: BTreeMap<u64, Peer>,
    forgotten: u64,
    told: BTreeMap<u8, PeerSessions>,
    /// Who last gave back a mark of this run at each address, and which: an
    /// address is one process's at a time, so who was there before that mark
    /// was told, and is another, has ended.
    there: HashMap<SocketAddr, (u64, u64)>,
    run: u64,
    count: u64,
    began: Option<Duration>,
}

#[derive(Debug)]
struct Session {
    heard: Duration,
    /// Marks told when it was first heard.
    first: u64,
    seen: SessionInfo,
    sum: u64,
    /// The state since which it is as it is, and when that was.
    since: u64,
    changed: Duration,
}

#[derive(Debug, Default)]
struct PeerSessions {
    heard: Duration,
    at: u64,
    sum: u64,
    seen: BTreeMap<Peer, SessionInfo>,
    newest: Vec<(u64, Peer)>,
}

/// What only operators read is told again this seldom.
const READ: Duration = Duration::from_secs(5);
/// So many departures are told as differences.
const WENT: usize = 4096;

impl Sessions {
    /// Counts as just started: others may hold sessions we do not know of.
    pub fn begin(&mut self, now: Duration) {
        self.began = Some(now);
    }

    /// `run`: unlike that of any other run of this node.
    pub fn new(run: u64) -> Sessions {
        Sessions {
            run,
            ..Sessions::default()
        }
    }

    /// A mark for the next renewal told.
    pub fn renewal_token(&mut self) -> RenewalToken {
        self.count += 1;
        RenewalToken {
            run: self.run,
            count: self.count,
        }
    }

    /// Marks told so far in this run.
    pub fn renewal_tokens(&self) -> u64 {
        self.count
    }

    /// True if this renewal opened the session. Earlier lives at the address
    /// that are known to have ended have none any more.
    pub fn renew(&mut self, now: Duration, seen: SessionInfo, heard: Option<RenewalToken>) -> bool {
        let peer = seen.peer;
        let opened = self.stand(now, seen);
        if let Some(renewal_token) = heard.filter(|renewal_token| renewal_token.run == self.run) {
            let there = self
                .there
                .entry(peer.address)
                .or_insert((peer.incarnation, 0));
            if renewal_token.count > there.1 {
                *there = (peer.incarnation, renewal_token.count);
            }
            let incarnations = self
                .mine
                .range(Peer::new(peer.address, 0)..=Peer::new(peer.address, u64::MAX));
            let over: Vec<Peer> = incarnations
                .filter(|(other, one)| **other != peer && one.first < renewal_token.count)
                .map(|(other, _)| *other)
                .collect();
            for other in over {
                self.leave(other);
            }
        }
        opened
    }

    fn stand(&mut self, now: Duration, seen: SessionInfo) -> bool {
        let known = self.mine.get_mut(&seen.peer);
        let sum = known
            .as_ref()
            .filter(|known| known.seen.core() == seen.core())
            .map_or_else(|| seen.sum(), |known| known.sum);
        let Some(known) = known else {
            self.at += 1;
            self.sum ^= sum;
            self.mine.insert(
                seen.peer,
                Session {
                    heard: now,
                    first: self.count,
                    seen,
                    sum,
                    since: self.at,
                    changed: now,
                },
            );
            return true;
        };
        let read = now >= known.changed + READ
            && (known.seen.usage != seen.usage || known.seen.origin_health != seen.origin_health);
        if sum != known.sum || read {
            self.at += 1;
            self.sum ^= known.sum ^ sum;
            (known.since, known.changed, known.sum) = (self.at, now, sum);
        }
        (known.heard, known.seen) = (now, seen);
        false
    }

    /// Whether a life that had begun when `renewal_tokens` were told has ended since:
    /// another is at its address.
    pub fn ended(&self, peer: Peer, renewal_tokens: u64) -> bool {
        self.there
            .get(&peer.address)
            .is_some_and(|(incarnation, count)| {
                *incarnation != peer.incarnation && *count > renewal_tokens
            })
    }

    pub fn leave(&mut self, peer: Peer) -> bool {
        let Some(gone) = self.mine.remove(&peer) else {
            return false;
        };
        self.at += 1;
        self.sum ^= gone.sum;
        self.went.insert(self.at, peer);
        while self.went.len() > WENT {
            self.forgotten = self.went.pop_first().expect("not empty").0;
        }
        true
    }

    /// Drops what lapsed and returns it.
    pub fn tick(&mut self, now: Duration) -> Vec<Peer> {
        self.began.get_or_insert(now);
        let lapsed: Vec<Peer> = self
            .mine
            .iter()
            .filter(|(_, standing)| now >= standing.heard + lease::SESSION_LEASE)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in &lapsed {
            self.leave(*peer);
        }
        lapsed
    }

    /// What a peer lacks that got our table up to this state.
    pub fn since(&self, got: u64) -> SessionsDelta {
        let from = if got <= self.at && got >= self.forgotten {
            got
        } else {
            0
        };
        let put = self
            .mine
            .values()
            .filter(|standing| standing.since > from)
            .map(|standing| standing.seen.clone())
            .collect();
        let went = self
            .went
            .range(from + 1..)
            .map(|(_, peer)| *peer)
            .filter(|peer| from > 0 && !self.mine.contains_key(peer));
        let newest = (0..PUBLISHED_PARTITIONS).filter_map(|partition| {
            self.mine
                .iter()
                .map(|(peer, one)| {
                    (
                        one.seen
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
            to: self.at,
            checksum: self.sum,
            upserted: put,
            removed: went.collect(),
            newest: newest.collect(),
        }
    }

    /// The state up to which the table of another was got; 0: none.
    pub fn got(&self, slot: u8) -> u64 {
        self.told.get(&slot).map_or(0, |table| table.at)
    }

    pub fn told(&mut self, now: Duration, slot: u8, since: SessionsDelta) {
        let table = self.told.entry(slot).or_default();
        let mut sum = if since.from == 0 { 0 } else { table.sum };
        let known = |peer: &Peer| {
            table
                .seen
                .get(peer)
                .filter(|_| since.from > 0)
                .map_or(0, SessionInfo::sum)
        };
        since
            .upserted
            .iter()
            .for_each(|seen| sum ^= known(&seen.peer) ^ seen.sum());
        since.removed.iter().for_each(|peer| sum ^= known(peer));
        if sum != since.checksum || since.from > table.at {
            // Late, or of another run: what stands is not what it has.
            if since.to >= table.at || since.from == 0 {
                table.at = 0;
            }
            return;
        }
        if since.from == 0 {
            table.seen.clear();
        }
        since.removed.iter().for_each(|peer| {
            table.seen.remove(peer);
        });
        table
            .seen
            .extend(since.upserted.into_iter().map(|seen| (seen.peer, seen)));
        (table.heard, table.at, table.sum, table.newest) = (now, since.to, sum, since.newest);
    }

    /// After a start, sessions renewed before it may still stand: not known
    /// until they would have lapsed or been renewed.
    pub fn known(&self, now: Duration) -> bool {
        self.began
            .is_some_and(|began| now >= began + lease::SESSION_LEASE)
    }

    /// The version of a partition that every session standing here has confirmed.
    pub fn clear(&self, now: Duration, partition: u8, published: u64) -> Option<u64> {
        let confirmed = self.mine.values().filter_map(|standing| {
            standing
                .seen
                .version_vector
                .get(usize::from(partition))
                .copied()
        });
        self.known(now)
            .then(|| confirmed.min().unwrap_or(published).min(published))
    }

    pub fn mine(&self) -> Vec<SessionInfo> {
        self.mine.values().map(|one| one.seen.clone()).collect()
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.mine.keys().map(|peer| peer.address).collect()
    }

    /// Who has not confirmed this version of a partition, in this generation.
    pub fn lacking(&self, generation: u64, partition: u8, version: u64) -> Vec<SocketAddr> {
        let has = |seen: &SessionInfo| {
            seen.generation == generation
                && seen
                    .version_vector
                    .get(usize::from(partition))
                    .is_some_and(|known| *known >= version)
        };
        self.mine
            .values()
            .filter(|one| !has(&one.seen))
            .map(|one| one.seen.peer.address)
            .collect()
    }

    /// Tables of sessions not older than `lease::CONTROL_PEER_TIMEOUT`, ours included.
    fn tables(&self, now: Duration) -> Vec<Vec<&SessionInfo>> {
        let mut tables = Vec::new();
        if self.known(now) {
            tables.push(self.mine.values().map(|one| &one.seen).collect());
        }
        for table in self.told.values() {
            if now < table.heard + lease::CONTROL_PEER_TIMEOUT {
                tables.push(table.seen.values().collect());
            }
        }
        tables
    }

    pub fn forget_slot(&mut self, slot: u8) {
        self.told.remove(&slot);
    }

    /// All that `live` and `gone` hang on, to see whether anything changed.
    pub fn standing(&self, now: Duration) -> Vec<Vec<(Peer, bool)>> {
        self.tables(now)
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
        self.mine
            .values()
            .map(|one| &one.seen)
            .chain(self.told.values().flat_map(|table| table.seen.values()))
            .collect()
    }

    /// Who confirmed more of updates partition than this version: here all, of others'
    /// tables the one that confirmed most.
    pub fn beyond(&self, partition: u8, version: u64) -> BTreeSet<SocketAddr> {
        let mine = self.mine.iter().filter_map(|(peer, one)| {
            Some((*one.seen.version_vector.get(usize::from(partition))?, *peer))
        });
        let told = self
            .told
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
        for seen in self.tables(now).into_iter().flatten() {
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
    pub fn gone(&self, now: Duration, peer: Peer, quorum: Quorum) -> bool {
        let without = |table: &&Vec<&SessionInfo>| table.iter().all(|seen| seen.peer != peer);
        self.tables(now).iter().filter(without).count() >= quorum.most()
    }
}
