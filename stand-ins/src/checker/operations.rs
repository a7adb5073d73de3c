//! Rules on operations: a key runs once, and "not run" is final.
use super::*;

impl Checker {
    pub(super) fn runs(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut runs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            if let Some(operation) = &call.operation {
                runs.entry(operation).or_default().push(call.at);
            }
        }
        runs
    }

    pub(super) fn attempts(&self) -> BTreeMap<&str, Vec<&CallerRecord>> {
        let mut tries: BTreeMap<&str, Vec<&CallerRecord>> = BTreeMap::new();
        for call in &self.callers {
            if let Some(operation) = &call.operation {
                tries.entry(operation).or_default().push(call);
            }
        }
        tries
    }

    /// Exercised by every key that was sent more than once.
    pub(super) fn runs_twice(&self) -> Cases {
        let mut cases = Cases::default();
        let runs = self.runs();
        let tries = self.attempts();
        let keys: BTreeSet<&str> = runs.keys().chain(tries.keys()).copied().collect();
        for key in keys {
            let count = runs.get(key).map_or(0, Vec::len);
            let list = tries.get(key).map_or(&[][..], Vec::as_slice);
            if count > 1 || list.len() > 1 {
                let from = list.iter().map(|one| one.start).fold(f64::MAX, f64::min);
                let to = list.iter().map(|one| one.end).fold(f64::MIN, f64::max);
                cases.case((from, to), count <= 1, || {
                    format!("{key} ran {count} times, at {:?}", runs[key])
                });
            }
        }
        cases
    }

    pub(super) fn not_run_ran(&self) -> Cases {
        let mut cases = Cases::default();
        let runs = self.runs();
        for (key, tries) in self.attempts() {
            let Some(first) = tries.iter().find(|one| one.outcome == "not_run") else {
                continue;
            };
            // A run belongs to some attempt that was under way, or whose end
            // did not say "not run".
            let bad = runs.get(key).into_iter().flatten().find(|at| {
                !tries
                    .iter()
                    .any(|one| one.start <= **at && (one.end >= **at || one.outcome != "not_run"))
            });
            let only = tries.iter().all(|one| one.outcome == "not_run") && runs.contains_key(key);
            let to = tries
                .iter()
                .map(|one| one.end)
                .fold(first.end + GRACE, f64::max);
            cases.case((first.start, to), bad.is_none() && !only, || {
                format!("{key} ran at {bad:?} after \"not run\"")
            });
        }
        cases
    }
}
