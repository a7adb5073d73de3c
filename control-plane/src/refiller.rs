use crate::prelude::*;

/// Refills a blank disk. Two rounds with both other slots: after the first,
/// both have forgotten what the earlier disk of this slot acknowledged; so
/// whatever was acknowledged with its help by then lies on one of the two, and
/// the second round brings it.
#[derive(Debug)]
pub struct Refiller {
    slot: u8,
    round: u8,
    got: BTreeMap<u8, (bool, Vec<HeldSlice>)>,
}

/// All slices merged, and whether a majority of disks was lost: another was
/// blank too, or just refilled from what was left, and yet there was something.
pub struct Merged {
    pub held: Vec<HeldSlice>,
    pub lost: bool,
}

impl Refiller {
    pub fn new(slot: u8) -> Refiller {
        Refiller { slot, round: 0, got: BTreeMap::new() }
    }

    pub fn pulse(&self) -> Vec<(u8, Message)> {
        let others = (0..3).filter(|slot| *slot != self.slot && !self.got.contains_key(slot));
        others.map(|slot| (slot, Refill { slot: self.slot, round: self.round }.into())).collect()
    }

    /// All slices merged, once the second round is whole.
    pub fn heard(&mut self, refilled: Refilled) -> Option<Merged> {
        if refilled.round != self.round || refilled.slot == self.slot {
            return None;
        }
        self.got.insert(refilled.slot, (refilled.full && refilled.lost == 0, refilled.held));
        if self.got.len() < 2 {
            return None;
        }
        if self.round == 0 {
            self.round = 1;
            self.got.clear();
            return None;
        }
        let both_full = self.got.values().all(|(full, _)| *full);
        let mut lists = std::mem::take(&mut self.got).into_values().map(|(_, held)| held);
        let mut merged = lists.next().expect("two");
        for (mine, other) in merged.iter_mut().zip(lists.next().expect("two")) {
            let published = mine.image.published.max(other.image.published);
            mine.promised = mine.promised.max(other.promised);
            if other.image.published > mine.image.published {
                mine.shown = other.shown;
            }
            if (other.image.epoch, other.image.version) > (mine.image.epoch, mine.image.version) {
                mine.image = other.image;
            }
            mine.image.published = published;
        }
        let lost = !both_full && merged.iter().any(|one| one.image.version > 0);
        Some(Merged { held: merged, lost })
    }
}

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    #[test]
    fn only_the_second_round_of_both_others_counts_and_the_newer_image_wins() {
        let held = |promised, epoch, version| {
            vec![HeldSlice { slice: 0, promised, image: SliceImage { epoch, version, published: version, rows: BTreeMap::new() }, shown: BTreeMap::new() }]
        };
        let mut refiller = Refiller::new(1);
        assert!(refiller.heard(Refilled { slot: 0, round: 0, full: true, lost: 0, held: held(1, 1, 90) }).is_none());
        assert!(refiller.heard(Refilled { slot: 0, round: 0, full: true, lost: 0, held: held(1, 1, 90) }).is_none());
        assert!(refiller.heard(Refilled { slot: 2, round: 0, full: true, lost: 0, held: held(1, 1, 90) }).is_none());
        assert!(refiller.heard(Refilled { slot: 2, round: 0, full: true, lost: 0, held: held(1, 1, 90) }).is_none(), "late first round");
        assert!(refiller.heard(Refilled { slot: 0, round: 1, full: true, lost: 0, held: held(9, 3, 5) }).is_none());
        let merged = refiller.heard(Refilled { slot: 2, round: 1, full: true, lost: 0, held: held(7, 4, 2) }).unwrap();
        assert!(!merged.lost);
        let merged = merged.held;
        assert_eq!((merged[0].promised, merged[0].image.epoch, merged[0].image.version), (9, 4, 2));
    }
}
