//! Discovery or founding of the membership table by a node that is not given one.

use crate::prelude::*;

/// Discovery or founding of the membership table. Invariant: only the first seed creates a founding table, only while
/// `founding` (the fleet starts for the first time, or again after everything was lost) and only if no node with a
/// table is found. The table is on the first seed's disk before any node is sent it.
#[derive(Debug)]
pub struct Bootstrap {
    /// True if the fleet is being founded.
    pub founding: bool,
    /// True if no fleet existed before this one, so that no operation has run.
    pub first_start: bool,
    /// Time for which founding nodes may join before the table is created.
    join_window: Duration,
    started_at: Option<Duration>,
    /// Founding nodes that requested a slot.
    joiners: BTreeSet<SocketAddr>,
    /// True if another node already uses a table.
    table_exists: bool,
}

impl Bootstrap {
    /// Returns the bootstrap of a fleet that starts for the first time, if `founding`, or of a node that joins a fleet.
    pub fn new(founding: bool, join_window: Duration) -> Bootstrap {
        Bootstrap {
            founding,
            first_start: founding,
            join_window,
            started_at: None,
            joiners: BTreeSet::new(),
            table_exists: false,
        }
    }

    /// Returns the bootstrap of a fleet that is founded again after everything was lost: operations of the earlier
    /// fleet may still be retried, so its ledger stays closed.
    pub fn refounding(join_window: Duration) -> Bootstrap {
        Bootstrap {
            first_start: false,
            ..Bootstrap::new(true, join_window)
        }
    }

    /// Ends the founding, regardless of the node's settings: this node knows a table, so it was already part of the
    /// fleet.
    pub fn end_founding(&mut self) {
        self.founding = false;
        self.first_start = false;
    }

    /// Records the request of a founding node for a slot.
    pub fn add_joiner(&mut self, address: SocketAddr) {
        self.joiners.insert(address);
    }

    /// Records that another node uses a table, so that this node founds none.
    pub fn record_existing_table(&mut self) {
        self.table_exists = true;
    }

    /// Returns the founding table, once the join window is over: the seeds in their order, then the joiners by address.
    pub fn founding_table(&mut self, now: Duration, seeds: &[SocketAddr]) -> Option<Vec<Peer>> {
        let started_at = *self.started_at.get_or_insert(now);
        if !self.founding || self.table_exists || now < started_at + self.join_window {
            return None;
        }
        let joiners = self.joiners.iter();
        let unlisted = joiners.filter(|address| !seeds.contains(address));
        let members = seeds.iter().chain(unlisted).take(MAX_SLOTS);
        Some(members.map(|address| Peer::new(*address, 0)).collect())
    }
}
