//! Checks the record of a fleet run against the safety rules, with one module for
//! each group of rules.
mod configuration;
mod figures;
mod histories;
mod operations;
mod origins;
mod recovery;
mod requests;
mod successes;
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// Result of checking one rule.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No recorded event exercises the rule.
    NotExercised,
    /// Number of cases checked, all without a violation.
    Satisfied(usize),
    /// Descriptions of the violations.
    Violated(Vec<String>),
}

/// Checks each rule against the records of clients, origins and operators.
pub struct Checker {
    /// Requests as recorded by the clients.
    pub clients: Vec<ClientRecord>,
    /// Calls as recorded by the origins, sorted by time.
    pub origins: Vec<OriginRecord>,
    /// Actions and observations of the fleet runner, sorted by time.
    pub fleet: Vec<FleetRecord>,
    /// Calls of operators on the configuration document.
    pub operators: Vec<OperatorRecord>,
    /// Calls of operators on named items.
    pub items: Vec<ItemRecord>,
    /// Maximum calls per second to one origin, by service.
    pub max_rates: BTreeMap<String, f64>,
    /// TTL of each cached entry, in seconds.
    pub ttls: BTreeMap<String, u64>,
}

/// Number of rules.
pub const RULE_COUNT: usize = 15;
/// Time in seconds that the requirements allow as "about 2 seconds".
pub const GRACE_S: f64 = 2.0;
/// Maximum time in seconds from the acknowledgement of a configuration until it
/// is in effect on every node. The requirements say "2 to 2.5 seconds".
pub const MAX_CONFIGURATION_DELAY_S: f64 = 2.5;
/// Maximum time in seconds until service is restored. The requirements say
/// "about 15 seconds".
pub const MAX_RECOVERY_S: f64 = 15.0;
/// Maximum time in seconds until service is restored while a lost ledger is
/// closed, because operations of unknown outcome have to wait for it.
pub const MAX_LEDGER_RECOVERY_S: f64 = 85.0;
/// Number of retries allowed in addition to the share of first attempts. The
/// requirements say "small allowance".
pub const RETRY_ALLOWANCE: f64 = 3.0;
/// Time in seconds after an unplanned fault in which a rejection is not
/// attributed to a planned change.
const FAULT_EFFECT_S: f64 = 15.0;
/// Rejection codes that are allowed during a planned change: the service is
/// over capacity, or the same operation is already running.
const ALLOWED_REJECTION_CODES: [&str; 2] = ["over_capacity", "in_progress"];

/// Text of a rule and the function that collects its cases from a record.
type Rule = (&'static str, fn(&Checker) -> Cases);

/// Rules in the order of the requirements, followed by the rules on histories.
const RULES: [Rule; RULE_COUNT] = [
    (
        "an operation is executed twice",
        Checker::repeated_executions,
    ),
    (
        "a request is executed after the response \"not run\"",
        Checker::executions_after_not_run,
    ),
    (
        "a success is not the origin's complete response to this request",
        Checker::mismatched_successes,
    ),
    (
        "a stale response is served 2 s after its purge was acknowledged",
        Checker::served_after_purge,
    ),
    (
        "a response is served 2 s beyond its TTL after the content changed",
        Checker::served_beyond_ttl,
    ),
    (
        "an acknowledged configuration is not in effect everywhere in 2.5 s, or a node reverts",
        Checker::configuration_in_force,
    ),
    (
        "part of an invalid configuration takes effect, or a read returns another one",
        Checker::configuration_integrity,
    ),
    (
        "a draining origin is called after 2 s, or a service that no entry allows",
        Checker::calls_to_draining_origins,
    ),
    (
        "retries exceed 20 % of the first attempts plus 3 in 10 s",
        Checker::retries_over_budget,
    ),
    (
        "calls to an origin exceed its rate by 10 % in 5 s",
        Checker::calls_over_rate,
    ),
    (
        "a completely read request is dropped in a planned restart or change",
        Checker::dropped_requests,
    ),
    (
        "service is not restored 15 s after machines return",
        Checker::recovery_in_time,
    ),
    (
        "the history of the document or of an item is not linearizable",
        Checker::operator_histories,
    ),
    (
        "the history of an operation key is not linearizable",
        Checker::key_histories,
    ),
    (
        "work continues for a disconnected client",
        Checker::abandoned_work,
    ),
];

/// Cases of one rule: their number, time spans and violations.
#[derive(Default)]
pub struct Cases {
    /// Number of cases checked.
    pub checked: usize,
    /// Time spans, in seconds, in which a fault might have caused a violation.
    pub spans: Vec<(f64, f64)>,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
    /// Largest used share of the bound (1.0 is the whole bound), with a
    /// description.
    pub worst: Option<(f64, String)>,
}

impl Cases {
    /// Adds a case. `span` is the time in which a fault might have caused a
    /// violation of it.
    fn add_case(&mut self, span: (f64, f64), is_compliant: bool, text: impl FnOnce() -> String) {
        self.checked += 1;
        self.spans.push(span);
        if !is_compliant {
            self.violations.push(text());
        }
    }

    /// Records the used share of the bound if it is the largest so far; 1.0 is
    /// the whole bound.
    fn record_margin(&mut self, used: f64, text: impl FnOnce() -> String) {
        if self
            .worst
            .as_ref()
            .is_none_or(|(max_used, _)| used > *max_used)
        {
            self.worst = Some((used, text()));
        }
    }

    /// Returns the result for the rule.
    pub fn verdict(&self) -> Verdict {
        match (self.checked, self.violations.is_empty()) {
            (0, _) => Verdict::NotExercised,
            (checked, true) => Verdict::Satisfied(checked),
            _ => Verdict::Violated(self.violations.clone()),
        }
    }

    /// Returns true if the time lies in one of the merged spans.
    fn is_covered(merged: &[(f64, f64)], at: f64) -> bool {
        let after = merged.partition_point(|(from, _)| *from <= at);
        after > 0 && at <= merged[after - 1].1
    }

    fn merged_spans(&self) -> Vec<(f64, f64)> {
        let mut spans = self.spans.clone();
        spans.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut merged: Vec<(f64, f64)> = Vec::new();
        for (from, to) in spans {
            match merged.last_mut().filter(|last| from <= last.1) {
                Some(last) => last.1 = last.1.max(to),
                None => merged.push((from, to)),
            }
        }
        merged
    }
}

/// Returns the largest number of events within any window of length `span` and
/// the start of that window. The times are sorted.
fn max_events_within(times: &[f64], span: f64) -> (usize, f64) {
    let mut first = 0;
    let mut maximum = (0, 0.0);
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] >= span {
            first += 1;
        }
        if last + 1 - first > maximum.0 {
            maximum = (last + 1 - first, times[first]);
        }
    }
    maximum
}

/// Returns the earliest and the latest time.
fn span_of(times: impl Iterator<Item = f64>) -> (f64, f64) {
    times.fold((f64::MAX, f64::MIN), |(from, to), at| {
        (from.min(at), to.max(at))
    })
}

/// Maximum number of calls to an origin in five seconds: 10 % above `rate` calls
/// per second, but at least one call.
fn rate_bound(rate: f64) -> f64 {
    (rate * 5.0 * 1.1).floor().max(1.0)
}

impl Checker {
    /// Reads the record of a run from a folder.
    pub fn read(folder: &Path, deployment: &Deployment) -> Result<Checker> {
        let mut checker = Checker {
            clients: read_records(&folder.join("callers.jsonl"))?,
            origins: read_records(&folder.join("origins.jsonl"))?,
            fleet: read_records(&folder.join("fleet.jsonl"))?,
            operators: read_records(&folder.join("operators.jsonl"))?,
            items: vec![],
            max_rates: deployment.max_rates(),
            ttls: deployment.ttls(),
        };
        checker.origins.sort_by(|a, b| a.at.total_cmp(&b.at));
        checker.fleet.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(checker)
    }

    /// Returns each rule with its cases, in the order of [`RULES`].
    pub fn cases(&self) -> Vec<(&'static str, Cases)> {
        RULES
            .iter()
            .map(|(rule, collect)| (*rule, collect(self)))
            .collect()
    }

    /// Returns each rule with its result.
    pub fn verdicts(&self) -> Vec<(&'static str, Verdict)> {
        self.cases()
            .into_iter()
            .map(|(rule, cases)| (rule, cases.verdict()))
            .collect()
    }

    /// Returns, for each kind of fault, the number of faults within the spans
    /// of each rule.
    pub fn coverage(
        &self,
        cases: &[(&'static str, Cases)],
    ) -> BTreeMap<String, [usize; RULE_COUNT]> {
        let mut table: BTreeMap<String, [usize; RULE_COUNT]> = BTreeMap::new();
        for (rule, (_, cases)) in cases.iter().enumerate() {
            let merged = cases.merged_spans();
            for fault in self.fleet.iter().filter(|record| record.kind == "fault") {
                let row = table.entry(fault.subject.clone()).or_default();
                row[rule] += usize::from(Cases::is_covered(&merged, fault.at));
            }
        }
        table
    }
}
