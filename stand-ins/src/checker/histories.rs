//! Rules on histories: the document, the items and the operation keys are linearizable.
use super::*;

impl Checker {
    /// Exercised by more than one call on the document, and by each item.
    pub(super) fn operators_histories(&self) -> Cases {
        let mut cases = Cases::default();
        if self.operators.len() > 1 {
            let all_lost = self.fleet.iter().rfind(|one| one.what == "all-lost");
            let judgement = judge_document(&self.operators, all_lost.map(|one| one.at));
            let span = span_of(self.operators.iter().map(|one| one.start));
            cases.case(span, judgement == Judgement::Linearizable, || {
                format!("{judgement:?} of {:?}", self.operators)
            });
        }
        for (name, judgement) in judge_items(&self.items) {
            let calls = || self.items.iter().filter(|one| one.name == name);
            let span = span_of(calls().map(|one| one.start));
            cases.case(span, judgement == Judgement::Linearizable, || {
                format!("{judgement:?} of {:?}", calls().collect::<Vec<_>>())
            });
        }
        cases
    }

    /// Exercised by every key that was answered or ran.
    pub(super) fn key_histories(&self) -> Cases {
        let mut cases = Cases::default();
        let runs = self.runs();
        let tries = self.attempts();
        let keys: BTreeSet<&str> = runs.keys().chain(tries.keys()).copied().collect();
        for key in keys {
            let ran = runs.get(key).map_or(&[][..], Vec::as_slice);
            let list = tries.get(key).map_or(&[][..], Vec::as_slice);
            if ran.is_empty() && list.iter().all(|one| one.status != 200) {
                continue;
            }
            let judgement = judge_key(ran, list);
            let from = list.iter().map(|one| one.start).fold(f64::MAX, f64::min);
            let to = list.iter().map(|one| one.end).fold(f64::MIN, f64::max);
            cases.case((from, to), judgement == Judgement::Linearizable, || {
                format!("{key}: {judgement:?}, ran at {ran:?}")
            });
        }
        cases
    }
}
