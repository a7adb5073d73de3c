use crate::prelude::*;

/// How a node that is not told who holds the slots comes to know it. Invariant:
/// only the first seed makes a founding table, only while `founding` (the whole
/// fleet starts for the first time, or again after everything was lost) and only
/// if nobody is heard who has one; it is on its disk before anybody is told.
#[derive(Debug)]
pub struct Bootstrap {
    pub founding: bool,
    /// No fleet was there before this one, so no operation ran.
    pub first_start: bool,
    join_window: Duration,
    started_at: Option<Duration>,
    joiners: BTreeSet<SocketAddr>,
    /// Somebody goes by a table already.
    table_exists: bool,
}

impl Bootstrap {
    pub fn new(founding: bool, span: Duration) -> Bootstrap {
        Bootstrap {
            founding,
            first_start: founding,
            join_window: span,
            started_at: None,
            joiners: BTreeSet::new(),
            table_exists: false,
        }
    }

    /// For a fleet that is founded again after everything was lost: operations
    /// of the earlier one may still be repeated, so its ledger stays closed.
    pub fn refounding(span: Duration) -> Bootstrap {
        Bootstrap {
            first_start: false,
            ..Bootstrap::new(true, span)
        }
    }

    /// This node knows a table: it was there after the founding, whatever its
    /// settings still say.
    pub fn end_founding(&mut self) {
        (self.founding, self.first_start) = (false, false);
    }

    /// A founding node asked for a slot.
    pub fn add_joiner(&mut self, address: SocketAddr) {
        self.joiners.insert(address);
    }

    pub fn note_existing_table(&mut self) {
        self.table_exists = true;
    }

    /// The founding table, once the span is over: the seeds in their order,
    /// then who asked, by address.
    pub fn founding_table(&mut self, now: Duration, seeds: &[SocketAddr]) -> Option<Vec<Peer>> {
        let since = *self.started_at.get_or_insert(now);
        if !self.founding || self.table_exists || now < since + self.join_window {
            return None;
        }
        let more = self
            .joiners
            .iter()
            .filter(|address| !seeds.contains(address));
        Some(
            seeds
                .iter()
                .chain(more)
                .take(MAX_SLOTS)
                .map(|address| Peer::new(*address, 0))
                .collect(),
        )
    }
}
