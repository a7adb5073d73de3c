//! Sessions at this control node, with their changes by revision.

use crate::prelude::*;

/// Minimum interval between reports of an edge's usage and origin health, which only operators read.
const OPERATOR_DATA_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of departures that are reported as differences; peers that lag further are sent the full table.
const MAX_DEPARTURES: usize = 4096;

/// Sessions at this control node. Each change raises the revision, so that peers can be sent the differences.
#[derive(Debug, Default)]
pub(super) struct LocalSessions {
    /// Sessions by edge.
    pub(super) sessions: BTreeMap<Peer, Session>,
    /// Rises by one with each change.
    revision: u64,
    /// Exclusive or of the checksums of all sessions.
    pub(super) checksum: u64,
    /// Edges whose session ended, by the revision of that change.
    departures: BTreeMap<u64, Peer>,
    /// Revision below which peers are sent the full table.
    delta_floor: u64,
}

/// Session of one edge.
#[derive(Debug)]
pub(super) struct Session {
    /// Fields of the last renewal.
    pub(super) info: SessionInfo,
    last_renewal: Duration,
    /// Number of tokens issued when the session was opened.
    tokens_at_open: u64,
    /// Checksum of the fields on which the decisions of other nodes depend.
    checksum: u64,
    /// Revision and time of the last reported change.
    changed_revision: u64,
    changed_at: Duration,
}

impl LocalSessions {
    /// Opens or renews a session. Returns true if it was opened.
    pub(super) fn upsert(&mut self, now: Duration, info: SessionInfo, issued_tokens: u64) -> bool {
        let known = self.sessions.get_mut(&info.peer);
        let unchanged = known
            .as_ref()
            .filter(|known| known.info.decision_fields() == info.decision_fields());
        let checksum = unchanged.map_or_else(|| info.checksum(), |known| known.checksum);
        let Some(known) = known else {
            self.open(now, info, checksum, issued_tokens);
            return true;
        };
        let is_report_due = now >= known.changed_at + OPERATOR_DATA_INTERVAL
            && (known.info.usage != info.usage || known.info.origin_health != info.origin_health);
        if checksum != known.checksum || is_report_due {
            self.revision += 1;
            self.checksum ^= known.checksum ^ checksum;
            known.changed_revision = self.revision;
            known.changed_at = now;
            known.checksum = checksum;
        }
        known.last_renewal = now;
        known.info = info;
        false
    }

    fn open(&mut self, now: Duration, info: SessionInfo, checksum: u64, issued_tokens: u64) {
        self.revision += 1;
        self.checksum ^= checksum;
        let session = Session {
            last_renewal: now,
            tokens_at_open: issued_tokens,
            checksum,
            changed_revision: self.revision,
            changed_at: now,
            info,
        };
        self.sessions.insert(session.info.peer, session);
    }

    /// Removes a session. Returns true if it existed.
    pub(super) fn remove(&mut self, peer: Peer) -> bool {
        let Some(removed) = self.sessions.remove(&peer) else {
            return false;
        };
        self.revision += 1;
        self.checksum ^= removed.checksum;
        self.departures.insert(self.revision, peer);
        while self.departures.len() > MAX_DEPARTURES {
            self.delta_floor = self.departures.pop_first().expect("not empty").0;
        }
        true
    }

    /// Removes sessions of other incarnations at a peer's address that were opened before this token was issued:
    /// the peer returned it, so they have ended.
    pub(super) fn remove_predecessors(&mut self, peer: Peer, token: u64) {
        let address = peer.address;
        let at_address = Peer::new(address, 0)..=Peer::new(address, u64::MAX);
        let ended: Vec<Peer> = self
            .sessions
            .range(at_address)
            .filter(|(other, session)| **other != peer && session.tokens_at_open < token)
            .map(|(other, _)| *other)
            .collect();
        for other in ended {
            self.remove(other);
        }
    }

    /// Removes sessions whose lease has expired, and returns their edges.
    pub(super) fn remove_lapsed(&mut self, now: Duration) -> Vec<Peer> {
        let lapsed: Vec<Peer> = self
            .sessions
            .iter()
            .filter(|(_, session)| now >= session.last_renewal + lease::SESSION_LEASE)
            .map(|(peer, _)| *peer)
            .collect();
        for peer in &lapsed {
            self.remove(*peer);
        }
        lapsed
    }

    /// Returns the fields of all sessions.
    pub(super) fn infos(&self) -> impl Iterator<Item = &SessionInfo> {
        self.sessions.values().map(|session| &session.info)
    }

    /// Returns the version of a partition that each session has confirmed.
    pub(super) fn confirmed_versions(&self, partition: u8) -> impl Iterator<Item = u64> {
        let at = usize::from(partition);
        self.infos()
            .filter_map(move |info| info.version_vector.get(at).copied())
    }

    /// Returns the changes after this revision, for a peer that received the table up to it; the full table if those
    /// changes are not all known.
    pub(super) fn delta_since(&self, revision: u64) -> SessionsDelta {
        let is_covered = revision <= self.revision && revision >= self.delta_floor;
        let from = if is_covered { revision } else { 0 };
        let changed = self
            .sessions
            .values()
            .filter(|session| session.changed_revision > from);
        let departed = self.departures.range(from + 1..).map(|(_, peer)| *peer);
        SessionsDelta {
            from,
            to: self.revision,
            checksum: self.checksum,
            upserted: changed.map(|session| session.info.clone()).collect(),
            removed: departed
                .filter(|peer| from > 0 && !self.sessions.contains_key(peer))
                .collect(),
            newest: self.newest_confirmations(),
        }
    }

    /// Returns the highest confirmed version of each published partition, and the edge that confirmed it.
    fn newest_confirmations(&self) -> Vec<(u64, Peer)> {
        let confirmed = |info: &SessionInfo, partition: u8| {
            let version = info.version_vector.get(usize::from(partition));
            (version.copied().unwrap_or(0), info.peer)
        };
        (0..PUBLISHED_PARTITIONS)
            .filter_map(|partition| self.infos().map(|info| confirmed(info, partition)).max())
            .collect()
    }
}
