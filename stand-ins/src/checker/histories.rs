//! Rules on histories: document, items and operation keys are linearizable.
use super::*;

impl Checker {
    /// Checks the histories of the document and the items; exercised by more
    /// than one call on the document, and by each item.
    pub(super) fn operator_histories(&self) -> Cases {
        let mut cases = Cases::default();
        if self.operators.len() > 1 {
            let all_lost = self.fleet.iter().rfind(|record| record.kind == "all-lost");
            let result = check_document(&self.operators, all_lost.map(|loss| loss.at));
            let span = span_of(self.operators.iter().map(|call| call.start));
            cases.add_case(span, result == HistoryResult::Linearizable, || {
                format!("{result:?} of {:?}", self.operators)
            });
        }
        for (name, result) in check_items(&self.items) {
            let calls = || self.items.iter().filter(|call| call.name == name);
            let span = span_of(calls().map(|call| call.start));
            cases.add_case(span, result == HistoryResult::Linearizable, || {
                format!("{result:?} of {:?}", calls().collect::<Vec<_>>())
            });
        }
        cases
    }

    /// Checks the histories of operation keys; exercised by every key with an
    /// execution or a successful response.
    pub(super) fn key_histories(&self) -> Cases {
        let mut cases = Cases::default();
        let executions = self.executions_by_key();
        let attempts = self.attempts_by_key();
        let keys: BTreeSet<&str> = executions.keys().chain(attempts.keys()).copied().collect();
        for key in keys {
            let execution_times = executions.get(key).map_or(&[][..], Vec::as_slice);
            let attempts_of_key = attempts.get(key).map_or(&[][..], Vec::as_slice);
            if execution_times.is_empty() && attempts_of_key.iter().all(|call| call.status != 200) {
                continue;
            }
            let result = check_key(execution_times, attempts_of_key);
            let from = attempts_of_key
                .iter()
                .map(|call| call.start)
                .fold(f64::MAX, f64::min);
            let to = attempts_of_key
                .iter()
                .map(|call| call.end)
                .fold(f64::MIN, f64::max);
            cases.add_case((from, to), result == HistoryResult::Linearizable, || {
                format!("{key}: {result:?}, executed at {execution_times:?}")
            });
        }
        cases
    }
}
