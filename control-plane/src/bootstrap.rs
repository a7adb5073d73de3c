//! How a node that is not given the membership table finds it or founds it.

use crate::prelude::*;

/// How a node that is not given the membership table comes to know it. Invariant: only the first seed makes a
/// founding table, only while `founding` (the fleet starts for the first time, or again after everything was lost)
/// and only if nobody is met who has one; the table is on its disk before anybody is sent it.
#[derive(Debug)]
pub struct Bootstrap {
    /// Whether the fleet is being founded.
    pub founding: bool,
    /// No fleet was there before this one, so no operation ran.
    pub first_start: bool,
    /// How long founding nodes may join before the table is made.
    join_window: Duration,
    started_at: Option<Duration>,
    /// Founding nodes that requested a slot.
    joiners: BTreeSet<SocketAddr>,
    /// Another node goes by a table already.
    table_exists: bool,
}

impl Bootstrap {
    /// Of a fleet that starts for the first time, if `founding`, or of a node that joins one.
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

    /// Of a fleet that is founded again after everything was lost: operations of the earlier one may still be
    /// retried, so its ledger stays closed.
    pub fn refounding(join_window: Duration) -> Bootstrap {
        Bootstrap {
            first_start: false,
            ..Bootstrap::new(true, join_window)
        }
    }

    /// This node knows a table: it was there after the founding, whatever its settings still say.
    pub fn end_founding(&mut self) {
        self.founding = false;
        self.first_start = false;
    }

    /// A founding node requested a slot.
    pub fn add_joiner(&mut self, address: SocketAddr) {
        self.joiners.insert(address);
    }

    /// Another node goes by a table: none is founded here.
    pub fn note_existing_table(&mut self) {
        self.table_exists = true;
    }

    /// The founding table, once the join window is over: the seeds in their order, then the joiners by address.
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
