//! Rules on operations: a key is executed once, and "not run" is final.
use super::*;

impl Checker {
    /// Returns the execution times of each operation key, in seconds.
    pub(super) fn executions_by_key(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut executions: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            if let Some(operation) = &call.operation {
                executions.entry(operation).or_default().push(call.at);
            }
        }
        executions
    }

    /// Returns the attempts of each operation key.
    pub(super) fn attempts_by_key(&self) -> BTreeMap<&str, Vec<&ClientRecord>> {
        let mut attempts: BTreeMap<&str, Vec<&ClientRecord>> = BTreeMap::new();
        for call in &self.clients {
            if let Some(operation) = &call.operation {
                attempts.entry(operation).or_default().push(call);
            }
        }
        attempts
    }

    /// Checks that no key is executed twice; exercised by every key that was
    /// sent more than once.
    pub(super) fn repeated_executions(&self) -> Cases {
        let mut cases = Cases::default();
        let executions = self.executions_by_key();
        let attempts = self.attempts_by_key();
        let keys: BTreeSet<&str> = executions.keys().chain(attempts.keys()).copied().collect();
        for key in keys {
            let count = executions.get(key).map_or(0, Vec::len);
            let attempts_of_key = attempts.get(key).map_or(&[][..], Vec::as_slice);
            if count > 1 || attempts_of_key.len() > 1 {
                let from = attempts_of_key
                    .iter()
                    .map(|attempt| attempt.start)
                    .fold(f64::MAX, f64::min);
                let to = attempts_of_key
                    .iter()
                    .map(|attempt| attempt.end)
                    .fold(f64::MIN, f64::max);
                cases.add_case((from, to), count <= 1, || {
                    format!("{key} was executed {count} times, at {:?}", executions[key])
                });
            }
        }
        cases
    }

    /// Checks that no request is executed after the response "not run".
    pub(super) fn executions_after_not_run(&self) -> Cases {
        let mut cases = Cases::default();
        let executions = self.executions_by_key();
        for (key, attempts) in self.attempts_by_key() {
            let Some(first) = attempts.iter().find(|attempt| attempt.outcome == "not_run") else {
                continue;
            };
            // An execution is legitimate if some attempt was in progress, or
            // had not ended with "not run".
            let illegitimate = executions.get(key).into_iter().flatten().find(|at| {
                !attempts.iter().any(|attempt| {
                    attempt.start <= **at && (attempt.end >= **at || attempt.outcome != "not_run")
                })
            });
            let contradicts_all_attempts =
                attempts.iter().all(|attempt| attempt.outcome == "not_run")
                    && executions.contains_key(key);
            let to = attempts
                .iter()
                .map(|attempt| attempt.end)
                .fold(first.end + GRACE_S, f64::max);
            cases.add_case(
                (first.start, to),
                illegitimate.is_none() && !contradicts_all_attempts,
                || format!("{key} was executed at {illegitimate:?} after \"not run\""),
            );
        }
        cases
    }
}
