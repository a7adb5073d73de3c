//! Sessions of the edges: those at this control node, and those that the other nodes report.

mod local_sessions;
mod peer_sessions;
#[cfg(test)]
mod tests;

use crate::prelude::*;
use local_sessions::LocalSessions;
use peer_sessions::PeerSessions;

/// The sessions at this control node, and those that the other nodes report. Invariants:
/// - A session is counted for `lease::SESSION_LEASE` after its last renewal was received; the edge relies on it for
///   less, counted from sending.
/// - A peer's table is, in all that decisions depend on, the one that the peer had when it sent it: deltas are
///   applied only if the checksum is the peer's. A delta that does not fit changes nothing, does not count as a
///   contact, and the full table is requested.
#[derive(Debug, Default)]
pub struct Sessions {
    local: LocalSessions,
    /// Tables of the other nodes, by slot.
    peer_tables: BTreeMap<u8, PeerSessions>,
    /// The process that last returned a token of this run, at each address. An address is one process's at a time,
    /// so another one that was there before that token was issued has ended.
    current_incarnations: HashMap<SocketAddr, CurrentIncarnation>,
    /// This run of the node; unlike that of any other.
    run: u64,
    /// Tokens issued in this run.
    issued_tokens: u64,
    started_at: Option<Duration>,
}

#[derive(Debug)]
struct CurrentIncarnation {
    incarnation: u64,
    /// The newest token that it returned.
    token: u64,
}

/// What `Sessions::live` and `Sessions::has_departed` depend on, of one session.
#[derive(Debug, PartialEq)]
pub struct SessionStanding {
    /// The edge.
    pub peer: Peer,
    /// Whether it takes no new assignments.
    pub draining: bool,
}

impl Sessions {
    /// No sessions. `run` is unlike that of any other run of this node.
    pub fn new(run: u64) -> Sessions {
        Sessions {
            run,
            ..Sessions::default()
        }
    }

    /// Counts as just started: others may hold sessions that are not known here.
    pub fn restart(&mut self, now: Duration) {
        self.started_at = Some(now);
    }

    /// A token for the next reply to a renewal.
    pub fn issue_token(&mut self) -> RenewalToken {
        self.issued_tokens += 1;
        RenewalToken {
            run: self.run,
            count: self.issued_tokens,
        }
    }

    /// Number of tokens issued so far in this run.
    pub fn issued_tokens(&self) -> u64 {
        self.issued_tokens
    }

    /// Renews a session. True if that opened it. Earlier incarnations at the address that are known to have ended
    /// lose their sessions.
    pub fn renew(
        &mut self,
        now: Duration,
        info: SessionInfo,
        last_token: Option<RenewalToken>,
    ) -> bool {
        let peer = info.peer;
        let opened = self.local.upsert(now, info, self.issued_tokens);
        if let Some(token) = last_token.filter(|token| token.run == self.run) {
            self.note_returned_token(peer, token.count);
            self.local.remove_predecessors(peer, token.count);
        }
        opened
    }

    fn note_returned_token(&mut self, peer: Peer, token: u64) {
        let current = self
            .current_incarnations
            .entry(peer.address)
            .or_insert(CurrentIncarnation {
                incarnation: peer.incarnation,
                token: 0,
            });
        if token > current.token {
            current.incarnation = peer.incarnation;
            current.token = token;
        }
    }

    /// Whether an incarnation that had begun when so many tokens were issued has ended since: another is at its
    /// address.
    pub fn has_ended(&self, peer: Peer, issued_tokens: u64) -> bool {
        self.current_incarnations
            .get(&peer.address)
            .is_some_and(|current| {
                current.incarnation != peer.incarnation && current.token > issued_tokens
            })
    }

    /// Removes a session here. True if there was one.
    pub fn remove(&mut self, peer: Peer) -> bool {
        self.local.remove(peer)
    }

    /// Removes sessions whose lease has run out, and returns their edges.
    pub fn tick(&mut self, now: Duration) -> Vec<Peer> {
        self.started_at.get_or_insert(now);
        self.local.remove_lapsed(now)
    }

    /// What a peer lacks that received the table here up to this revision.
    pub fn delta_since(&self, revision: u64) -> SessionsDelta {
        self.local.delta_since(revision)
    }

    /// The revision up to which the table of a slot was received; 0: none.
    pub fn received_revision(&self, slot: u8) -> u64 {
        let table = self.peer_tables.get(&slot);
        table.map_or(0, PeerSessions::revision)
    }

    /// Applies a delta of the table of a slot, if it fits.
    pub fn apply_delta(&mut self, now: Duration, slot: u8, delta: SessionsDelta) {
        let table = self.peer_tables.entry(slot).or_default();
        table.apply_delta(now, delta);
    }

    /// Forgets the table of a slot.
    pub fn remove_table(&mut self, slot: u8) {
        self.peer_tables.remove(&slot);
    }

    /// Whether all sessions at this node are known. After a start, earlier ones may stand until they would have
    /// lapsed or been renewed.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.started_at
            .is_some_and(|started_at| now >= started_at + lease::SESSION_LEASE)
    }

    /// The version of a partition, up to `published`, that every session at this node has confirmed.
    pub fn confirmed_version(&self, now: Duration, partition: u8, published: u64) -> Option<u64> {
        let lowest = self.local.confirmed_versions(partition).min();
        self.is_complete(now)
            .then(|| lowest.unwrap_or(published).min(published))
    }

    /// The sessions at this node.
    pub fn local_sessions(&self) -> Vec<SessionInfo> {
        self.local.infos().cloned().collect()
    }

    /// Addresses of the edges with a session at this node.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.local.infos().map(|info| info.peer.address).collect()
    }

    /// Edges with a session at this node that have not confirmed this version of a partition, in this generation.
    pub fn unconfirmed(&self, generation: u64, partition: u8, version: u64) -> Vec<SocketAddr> {
        let has_confirmed = |info: &SessionInfo| {
            let known = info.version_vector.get(usize::from(partition));
            info.generation == generation && known.is_some_and(|known| *known >= version)
        };
        let unconfirmed = self.local.infos().filter(|info| !has_confirmed(info));
        unconfirmed.map(|info| info.peer.address).collect()
    }

    /// Complete tables not older than `lease::CONTROL_PEER_TIMEOUT`, that of this node included.
    fn current_tables(&self, now: Duration) -> Vec<Vec<&SessionInfo>> {
        let mut tables = Vec::new();
        if self.is_complete(now) {
            tables.push(self.local.infos().collect());
        }
        for table in self.peer_tables.values() {
            if table.is_current(now) {
                tables.push(table.infos().collect());
            }
        }
        tables
    }

    /// All that `live` and `has_departed` depend on, to see whether anything changed.
    pub fn standing(&self, now: Duration) -> Vec<Vec<SessionStanding>> {
        let standing = |info: &SessionInfo| SessionStanding {
            peer: info.peer,
            draining: info.draining,
        };
        let tables = self.current_tables(now).into_iter();
        tables
            .map(|table| table.into_iter().map(standing).collect())
            .collect()
    }

    /// Every session known here, also of tables that are not current.
    pub fn all(&self) -> Vec<&SessionInfo> {
        let reported = self.peer_tables.values().flat_map(PeerSessions::infos);
        self.local.infos().chain(reported).collect()
    }

    /// Edges that confirmed more of a published partition than this version: here all of them, of each other
    /// node's the one that confirmed most.
    pub fn ahead_of(&self, partition: u8, version: u64) -> BTreeSet<SocketAddr> {
        let local = self.local.infos().filter_map(|info| {
            let confirmed = info.version_vector.get(usize::from(partition))?;
            Some((*confirmed, info.peer))
        });
        let tables = self.peer_tables.values();
        let reported = tables.filter_map(|table| table.newest(partition));
        local
            .chain(reported)
            .filter(|(confirmed, _)| *confirmed > version)
            .map(|(_, peer)| peer.address)
            .collect()
    }

    /// Every edge with a session in `Quorum::rest` of the tables, as many as it takes to be live by its own rule.
    pub fn live(&self, now: Duration, quorum: Quorum) -> Vec<SessionInfo> {
        let mut sessions: BTreeMap<Peer, (usize, &SessionInfo)> = BTreeMap::new();
        for info in self.current_tables(now).into_iter().flatten() {
            let (tables, _) = sessions.entry(info.peer).or_insert((0, info));
            *tables += 1;
        }
        sessions
            .into_values()
            .filter(|(tables, _)| *tables >= quorum.intersecting())
            .map(|(_, info)| info.clone())
            .collect()
    }

    /// True only if a quorum reports that this peer has no session. Invariant: an edge that is live by its own rule
    /// when they report so has not departed. It relies on `Quorum::rest` control nodes, each of which counts its
    /// session for longer than it does; and of `Quorum::most` one is among those.
    pub fn has_departed(&self, now: Duration, peer: Peer, quorum: Quorum) -> bool {
        let lacks_peer = |table: &&Vec<&SessionInfo>| table.iter().all(|info| info.peer != peer);
        self.current_tables(now).iter().filter(lacks_peer).count() >= quorum.majority()
    }
}
