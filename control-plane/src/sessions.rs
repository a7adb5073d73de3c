use crate::prelude::*;

/// The sessions standing at this control node, and those the others told of.
/// Invariant: a session is counted for `lease::CONTROL` after the last renewal
/// was heard; the edge relied on it for less, counted from sending.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Last heard, and the marks told when first heard.
    mine: BTreeMap<Mate, (Duration, u64, Seen)>,
    told: BTreeMap<u8, (Duration, Vec<Seen>)>,
    /// Who last gave back a mark of this run at each address, and which: an
    /// address is one process's at a time, so who was there before that mark
    /// was told, and is another, has ended.
    there: HashMap<SocketAddr, (u64, u64)>,
    run: u64,
    count: u64,
    began: Option<Duration>,
}

impl Sessions {
    /// Counts as just started: others may hold sessions we do not know of.
    pub fn begin(&mut self, now: Duration) {
        self.began = Some(now);
    }

    /// `run`: unlike that of any other run of this node.
    pub fn new(run: u64) -> Sessions {
        Sessions { run, ..Sessions::default() }
    }

    /// A mark for the next renewal told.
    pub fn mark(&mut self) -> Mark {
        self.count += 1;
        Mark { run: self.run, count: self.count }
    }

    /// Marks told so far in this run.
    pub fn marks(&self) -> u64 {
        self.count
    }

    /// True if this renewal opened the session. Earlier lives at the address
    /// that are known to have ended have none any more.
    pub fn renew(&mut self, now: Duration, seen: Seen, heard: Option<Mark>) -> bool {
        let mate = seen.mate;
        let first = self.mine.get(&mate).map_or(self.count, |(_, first, _)| *first);
        let opened = self.mine.insert(mate, (now, first, seen)).is_none();
        if let Some(mark) = heard.filter(|mark| mark.run == self.run) {
            let there = self.there.entry(mate.address).or_insert((mate.life, 0));
            if mark.count > there.1 {
                *there = (mate.life, mark.count);
            }
            let over = |other: &Mate, first: u64| other.address == mate.address && other.life != mate.life && first < mark.count;
            self.mine.retain(|other, (_, first, _)| !over(other, *first));
        }
        opened
    }

    /// Whether a life that had begun when `marks` were told has ended since:
    /// another is at its address.
    pub fn ended(&self, mate: Mate, marks: u64) -> bool {
        self.there.get(&mate.address).is_some_and(|(life, count)| *life != mate.life && *count > marks)
    }

    pub fn leave(&mut self, mate: Mate) -> bool {
        self.mine.remove(&mate).is_some()
    }

    /// Drops what lapsed and returns it.
    pub fn pulse(&mut self, now: Duration) -> Vec<Mate> {
        self.began.get_or_insert(now);
        let lapsed: Vec<Mate> =
            self.mine.iter().filter(|(_, (heard, ..))| now >= *heard + lease::CONTROL).map(|(mate, _)| *mate).collect();
        for mate in &lapsed {
            self.mine.remove(mate);
        }
        lapsed
    }

    pub fn told(&mut self, now: Duration, slot: u8, seen: Vec<Seen>) {
        self.told.insert(slot, (now, seen));
    }

    /// After a start, sessions renewed before it may still stand: not known
    /// until they would have lapsed or been renewed.
    pub fn known(&self, now: Duration) -> bool {
        self.began.is_some_and(|began| now >= began + lease::CONTROL)
    }

    /// The version of a slice that every session standing here has confirmed.
    pub fn clear(&self, now: Duration, slice: u8, published: u64) -> Option<u64> {
        let confirmed = self.mine.values().filter_map(|(_, _, seen)| seen.vector.get(usize::from(slice)).copied());
        self.known(now).then(|| confirmed.min().unwrap_or(published).min(published))
    }

    pub fn mine(&self) -> Vec<Seen> {
        self.mine.values().map(|(_, _, seen)| seen.clone()).collect()
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.mine.keys().map(|mate| mate.address).collect()
    }

    /// Tables of sessions not older than `lease::CONTROL_MATE`, ours included.
    fn tables(&self, now: Duration) -> Vec<Vec<&Seen>> {
        let mut tables = Vec::new();
        if self.known(now) {
            tables.push(self.mine.values().map(|(_, _, seen)| seen).collect());
        }
        for (heard, seen) in self.told.values() {
            if now < *heard + lease::CONTROL_MATE {
                tables.push(seen.iter().collect());
            }
        }
        tables
    }

    pub fn forget_slot(&mut self, slot: u8) {
        self.told.remove(&slot);
    }

    /// All that `live` and `gone` hang on, to see whether anything changed.
    pub fn standing(&self, now: Duration) -> Vec<Vec<(Mate, bool)>> {
        self.tables(now).into_iter().map(|table| table.into_iter().map(|seen| (seen.mate, seen.draining)).collect()).collect()
    }

    /// Every session known, here or told.
    pub fn all(&self) -> Vec<&Seen> {
        self.mine.values().map(|(_, _, seen)| seen).chain(self.told.values().flat_map(|(_, seen)| seen)).collect()
    }

    /// Every edge with a session in `rest` of the tables, as many as it takes
    /// to be live by its own rule.
    pub fn live(&self, now: Duration, quorum: Quorum) -> Vec<Seen> {
        let mut count: BTreeMap<Mate, (usize, &Seen)> = BTreeMap::new();
        for seen in self.tables(now).into_iter().flatten() {
            let known = count.entry(seen.mate).or_insert((0, seen));
            known.0 += 1;
        }
        count.into_values().filter(|(tables, _)| *tables >= quorum.rest()).map(|(_, seen)| seen.clone()).collect()
    }

    /// True only if a majority says that no session of this mate stands.
    /// Invariant: an edge that is live by its own rule when they say so is not
    /// gone. It relies on `rest` control nodes, each of which counts its session
    /// for longer than it does; and of `most` one is among those.
    pub fn gone(&self, now: Duration, mate: Mate, quorum: Quorum) -> bool {
        let without = |table: &&Vec<&Seen>| table.iter().all(|seen| seen.mate != mate);
        self.tables(now).iter().filter(without).count() >= quorum.most()
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn seen(port: u16, version: u64) -> Seen {
        let mate = Mate::new(SocketAddr::from(([127, 0, 0, 1], port)), 1);
        Seen { mate, zone: "z".into(), ring: String::new(), draining: false, realm: 0, recalled: true, vector: vec![version; 4], usage: Usage::default(), found: vec![] }
    }

    #[test]
    fn clear_waits_for_the_slowest_session_until_it_confirms_or_lapses() {
        let at = Duration::from_millis;
        let mut table = Sessions::default();
        table.pulse(at(0));
        table.renew(at(1000), seen(1, 5), None);
        table.renew(at(1000), seen(2, 7), None);
        assert_eq!(table.clear(at(700), PURGES, 7), None, "just started: earlier sessions may stand");
        assert_eq!(table.clear(at(1100), PURGES, 7), Some(5));
        table.renew(at(1400), seen(2, 7), None);
        assert_eq!(table.pulse(at(1799)).len(), 0);
        assert_eq!(table.pulse(at(1800)), [seen(1, 5).mate]);
        assert_eq!(table.clear(at(1800), PURGES, 7), Some(7));
    }

    #[test]
    fn of_two_lives_at_an_address_the_one_that_gives_back_a_later_mark_is_there() {
        let at = Duration::from_millis;
        let life = |life| Seen { mate: Mate { life, ..seen(1, 0).mate }, ..seen(1, 0) };
        let mut table = Sessions::new(7);
        table.pulse(at(0));
        let (one, two) = (life(8), life(3));
        table.renew(at(10), one.clone(), None);
        let mark = table.mark();
        table.renew(at(20), one.clone(), Some(mark));
        table.renew(at(30), two.clone(), None);
        assert_eq!(table.mine().len(), 2, "a first renewal may have been long on the way");
        table.renew(at(40), two.clone(), Some(Mark { run: 6, count: 99 }));
        assert!(!table.ended(one.mate, 0) && table.mine().len() == 2, "a mark of another run tells nothing");
        let granted = table.marks();
        table.renew(at(45), two.clone(), Some(mark));
        assert!(!table.ended(one.mate, granted), "told before it was known that the other had begun");
        let mark = table.mark();
        table.renew(at(50), two.clone(), Some(mark));
        assert!(table.ended(one.mate, granted) && !table.ended(two.mate, granted));
        assert_eq!(table.mine(), std::slice::from_ref(&two));
        table.renew(at(60), one, None);
        let mark = table.mark();
        table.renew(at(70), two.clone(), Some(mark));
        assert_eq!(table.mine(), [two], "what the earlier life said came late");
    }

    #[test]
    fn an_edge_is_gone_only_by_a_majority_of_tables() {
        let at = Duration::from_millis;
        let mut table = Sessions::default();
        table.pulse(at(0));
        assert!(!table.gone(at(5000), seen(1, 1).mate, Quorum::new(3)), "one table is no majority");
        table.told(at(5000), 1, vec![seen(1, 1)]);
        assert!(!table.gone(at(5000), seen(1, 1).mate, Quorum::new(3)));
        table.told(at(5100), 1, vec![]);
        assert!(table.gone(at(5100), seen(1, 1).mate, Quorum::new(3)));
    }

    /// Of any tables: an edge in `rest` of them is live and not gone, whatever
    /// the others say; one in fewer is not live, and gone once `most` lack it.
    #[test]
    fn live_edges_are_never_gone_whatever_the_number_of_slots() {
        let at = Duration::from_millis;
        for slots in [3usize, 4, 5, 8] {
            let quorum = Quorum::new(slots);
            for tables in 0..=slots {
                let mut table = Sessions::default();
                for slot in 0..slots {
                    table.told(at(5000), slot as u8, if slot < tables { vec![seen(1, 1)] } else { vec![] });
                }
                let (live, gone) = (!table.live(at(5000), quorum).is_empty(), table.gone(at(5000), seen(1, 1).mate, quorum));
                assert_eq!((live, gone), (tables >= quorum.rest(), slots - tables >= quorum.most()), "{tables} of {slots}");
                assert!(!(live && gone));
            }
        }
    }
}
