//! Sessions of the edges: those at this control node, and those that the other control nodes report.

mod local_sessions;
mod peer_sessions;
#[cfg(test)]
mod tests;

use crate::prelude::*;
use local_sessions::LocalSessions;
use peer_sessions::PeerSessions;

/// Sessions at this control node, and those that the other control nodes report. Invariants:
/// - A session is valid for `lease::SESSION_LEASE` after its last renewal was received; the edge relies on it for a
///   shorter time, counted from when the edge sent the renewal.
/// - A peer's table equals, in everything that decisions depend on, the table that the peer had when it sent the delta:
///   a delta is applied only if the resulting checksum is the peer's. A delta that does not fit changes nothing, does
///   not count as a contact, and causes a request for the full table.
#[derive(Debug, Default)]
pub struct Sessions {
    local: LocalSessions,
    /// Session tables of the other nodes, by slot.
    peer_tables: BTreeMap<u8, PeerSessions>,
    /// Process that last returned a token of this run, at each address. Only one process at a time has an address, so
    /// another process that used it before that token was issued has ended.
    current_incarnations: HashMap<SocketAddr, CurrentIncarnation>,
    /// Id of this run of the node; differs from that of every other run.
    run: u64,
    /// Number of tokens issued in this run.
    issued_tokens: u64,
    started_at: Option<Duration>,
}

#[derive(Debug)]
struct CurrentIncarnation {
    incarnation: u64,
    /// Newest token that it returned.
    token: u64,
}

/// Fields of one session on which `Sessions::live_sessions` and `Sessions::has_departed` depend.
#[derive(Debug, PartialEq)]
pub struct SessionStatus {
    /// Address and incarnation of the edge.
    pub peer: Peer,
    /// True if the edge takes no new assignments.
    pub draining: bool,
}

impl Sessions {
    /// Creates an empty set. `run` must differ from that of every other run of this node.
    pub fn new(run: u64) -> Sessions {
        Sessions {
            run,
            ..Sessions::default()
        }
    }

    /// Treats this node as just started: edges may hold sessions that are not known to it.
    pub fn restart(&mut self, now: Duration) {
        self.started_at = Some(now);
    }

    /// Returns a new token for the next reply to a renewal.
    pub fn issue_token(&mut self) -> RenewalToken {
        self.issued_tokens += 1;
        RenewalToken {
            run: self.run,
            count: self.issued_tokens,
        }
    }

    /// Returns the number of tokens issued so far in this run.
    pub fn issued_tokens(&self) -> u64 {
        self.issued_tokens
    }

    /// Opens or renews a session. Returns true if it was opened. Earlier incarnations at the address that are known to
    /// have ended lose their sessions.
    pub fn renew(
        &mut self,
        now: Duration,
        info: SessionInfo,
        last_token: Option<RenewalToken>,
    ) -> bool {
        let peer = info.peer;
        let opened = self.local.upsert(now, info, self.issued_tokens);
        if let Some(token) = last_token.filter(|token| token.run == self.run) {
            self.record_returned_token(peer, token.count);
            self.local.remove_predecessors(peer, token.count);
        }
        opened
    }

    fn record_returned_token(&mut self, peer: Peer, token: u64) {
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

    /// Returns true if an incarnation that had started when this number of tokens was issued has ended since: another
    /// one uses its address.
    pub fn has_ended(&self, peer: Peer, issued_tokens: u64) -> bool {
        self.current_incarnations
            .get(&peer.address)
            .is_some_and(|current| {
                current.incarnation != peer.incarnation && current.token > issued_tokens
            })
    }

    /// Removes a session at this node. Returns true if it existed.
    pub fn remove(&mut self, peer: Peer) -> bool {
        self.local.remove(peer)
    }

    /// Removes sessions whose lease has expired, and returns their edges.
    pub fn tick(&mut self, now: Duration) -> Vec<Peer> {
        self.started_at.get_or_insert(now);
        self.local.remove_lapsed(now)
    }

    /// Returns the changes after this revision, for a peer that received this node's table up to it; the full table if
    /// those changes are not all known.
    pub fn delta_since(&self, revision: u64) -> SessionsDelta {
        self.local.delta_since(revision)
    }

    /// Returns the revision up to which the table of a slot was received; 0 if none was.
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

    /// Returns true if all sessions at this node are known. After a start, sessions from before it may exist; within
    /// `lease::SESSION_LEASE` each of them is renewed or expires.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.started_at
            .is_some_and(|started_at| now >= started_at + lease::SESSION_LEASE)
    }

    /// Returns the version of a partition, up to `published`, that every session at this node has confirmed. None while
    /// not all sessions are known.
    pub fn confirmed_version(&self, now: Duration, partition: u8, published: u64) -> Option<u64> {
        let lowest = self.local.confirmed_versions(partition).min();
        self.is_complete(now)
            .then(|| lowest.unwrap_or(published).min(published))
    }

    /// Returns the sessions at this node.
    pub fn local_sessions(&self) -> Vec<SessionInfo> {
        self.local.infos().cloned().collect()
    }

    /// Returns the addresses of the edges with a session at this node.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.local.infos().map(|info| info.peer.address).collect()
    }

    /// Returns the edges with a session at this node that have not confirmed this version of a partition, in this
    /// generation.
    pub fn unconfirmed_edges(
        &self,
        generation: u64,
        partition: u8,
        version: u64,
    ) -> Vec<SocketAddr> {
        let has_confirmed = |info: &SessionInfo| {
            let known = info.version_vector.get(usize::from(partition));
            info.generation == generation && known.is_some_and(|known| *known >= version)
        };
        let unconfirmed = self.local.infos().filter(|info| !has_confirmed(info));
        unconfirmed.map(|info| info.peer.address).collect()
    }

    /// Returns the complete tables not older than `lease::CONTROL_PEER_TIMEOUT`, including that of this node.
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

    /// Returns everything that `live_sessions` and `has_departed` depend on, for the detection of changes.
    pub fn statuses(&self, now: Duration) -> Vec<Vec<SessionStatus>> {
        let status = |info: &SessionInfo| SessionStatus {
            peer: info.peer,
            draining: info.draining,
        };
        let tables = self.current_tables(now).into_iter();
        tables
            .map(|table| table.into_iter().map(status).collect())
            .collect()
    }

    /// Returns every session known to this node, including those of tables that are not current.
    pub fn all_sessions(&self) -> Vec<&SessionInfo> {
        let reported = self.peer_tables.values().flat_map(PeerSessions::infos);
        self.local.infos().chain(reported).collect()
    }

    /// Returns the edges that confirmed a version of a published partition newer than `version`: all such edges with a
    /// session at this node, and at most one edge per other node, the one with the newest confirmed version.
    pub fn edges_ahead_of(&self, partition: u8, version: u64) -> BTreeSet<SocketAddr> {
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

    /// Returns every edge with a session in at least `Quorum::intersecting` of the tables, the number that an edge
    /// needs to be live by its own rule.
    pub fn live_sessions(&self, now: Duration, quorum: Quorum) -> Vec<SessionInfo> {
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

    /// Returns true only if a quorum reports that this peer has no session. Invariant: an edge that is live by its own
    /// rule at the time of these reports has not departed. It relies on `Quorum::intersecting` control nodes, each of
    /// which keeps its session for longer than the edge relies on it, and any `Quorum::majority` of nodes includes one
    /// of those.
    pub fn has_departed(&self, now: Duration, peer: Peer, quorum: Quorum) -> bool {
        let lacks_peer = |table: &&Vec<&SessionInfo>| table.iter().all(|info| info.peer != peer);
        self.current_tables(now).iter().filter(lacks_peer).count() >= quorum.majority()
    }
}
