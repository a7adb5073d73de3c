//! The table of sessions that another control node reports.

use crate::prelude::*;

/// Table of sessions that another control node reports.
#[derive(Debug, Default)]
pub(super) struct PeerSessions {
    /// Time when a delta was last applied.
    pub(super) last_contact: Duration,
    /// Revision at the sender up to which the table was received; 0 requests the full table.
    revision: u64,
    checksum: u64,
    /// Sessions by edge.
    pub(super) sessions: BTreeMap<Peer, SessionInfo>,
    /// Highest confirmed version of each published partition, and the edge that confirmed it.
    newest: Vec<(u64, Peer)>,
}

impl PeerSessions {
    /// Returns the revision at the sender up to which the table was received; 0 if none was.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all sessions of the table.
    pub(super) fn infos(&self) -> impl Iterator<Item = &SessionInfo> {
        self.sessions.values()
    }

    /// Returns the highest confirmed version of a published partition, and the edge that confirmed it.
    pub(super) fn newest(&self, partition: u8) -> Option<(u64, Peer)> {
        self.newest.get(usize::from(partition)).copied()
    }

    /// Returns true if a delta was applied within the peer timeout.
    pub(super) fn is_current(&self, now: Duration) -> bool {
        now < self.last_contact + lease::CONTROL_PEER_TIMEOUT
    }

    /// Applies a delta, if the resulting table has the sender's checksum.
    pub(super) fn apply_delta(&mut self, now: Duration, delta: SessionsDelta) {
        let checksum = self.checksum_after(&delta);
        if checksum != delta.checksum || delta.from > self.revision {
            // The delta is late or of another run: it was made for another table than the present one.
            if delta.to >= self.revision || delta.from == 0 {
                self.revision = 0;
            }
            return;
        }
        if delta.from == 0 {
            self.sessions.clear();
        }
        for peer in &delta.removed {
            self.sessions.remove(peer);
        }
        let upserted = delta.upserted.into_iter().map(|info| (info.peer, info));
        self.sessions.extend(upserted);
        self.last_contact = now;
        self.revision = delta.to;
        self.checksum = checksum;
        self.newest = delta.newest;
    }

    /// Returns the checksum of the table with this delta applied.
    fn checksum_after(&self, delta: &SessionsDelta) -> u64 {
        let is_full = delta.from == 0;
        let known = |peer: &Peer| {
            let info = self.sessions.get(peer).filter(|_| !is_full);
            info.map_or(0, SessionInfo::checksum)
        };
        let mut checksum = if is_full { 0 } else { self.checksum };
        for info in &delta.upserted {
            checksum ^= known(&info.peer) ^ info.checksum();
        }
        for peer in &delta.removed {
            checksum ^= known(peer);
        }
        checksum
    }
}
