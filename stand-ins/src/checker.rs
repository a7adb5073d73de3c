//! Judges a record of a fleet by the rules that must never break: one module a group of rules.
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

/// What came of one never.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Nothing happened that could have broken it.
    NotExercised,
    /// Held in so many cases.
    Held(usize),
    /// Broken, with the first cases.
    Broken(Vec<String>),
}

/// Reads what callers, origins and operators saw and judges each never.
pub struct Checker {
    /// Requests as clients saw them.
    pub callers: Vec<CallerRecord>,
    /// Sorted by time.
    pub origins: Vec<OriginRecord>,
    /// What the runner did or observed, sorted by time.
    pub fleet: Vec<FleetRecord>,
    /// Operators' calls on the document.
    pub operators: Vec<OperatorRecord>,
    /// Operators' calls on named items.
    pub items: Vec<ItemRecord>,
    /// Calls a second that one origin may get, by service.
    pub rates: BTreeMap<String, f64>,
    /// TTL in seconds of each cached entry.
    pub keeps: BTreeMap<String, u64>,
}

/// The twelve nevers and the two kinds of histories.
pub const JUDGED: usize = 15;
/// The brief's "about 2 seconds", as judged here.
pub const GRACE: f64 = 2.0;
/// The brief's "2 to 2.5 seconds".
pub const IN_FORCE: f64 = 2.5;
/// The brief's "about 15 seconds".
pub const BACK: f64 = 15.0;
/// While a lost ledger stays closed, unknown operations wait this much longer.
pub const CLOSED: f64 = 85.0;
/// The brief's "small allowance" of extra tries.
pub const ALLOWANCE: f64 = 3.0;
/// So long after anything unplanned a refusal is not the planned change's.
const CALM: f64 = 15.0;
/// What a planned change may bring a caller besides success: too much is asked
/// of the service, or this very operation runs at this moment.
const CLEAN: [&str; 2] = ["over_capacity", "in_progress"];

/// A rule in words, and the function that collects its cases from a record.
type Rule = (&'static str, fn(&Checker) -> Cases);

/// The rules in the brief's order, and then the histories.
const RULES: [Rule; JUDGED] = [
    ("an operation runs twice", Checker::runs_twice),
    (
        "\"not run\" is followed by the request running",
        Checker::not_run_ran,
    ),
    (
        "a success is not the origin's whole answer to this caller",
        Checker::foreign_success,
    ),
    (
        "an old copy is served 2 s after its purge was acknowledged",
        Checker::served_after_purge,
    ),
    (
        "a copy is served 2 s beyond its keep time once replaced",
        Checker::served_beyond_ttl,
    ),
    (
        "an acknowledged configuration is not in force everywhere in 2.5 s, or a node slips back",
        Checker::configuration_in_force,
    ),
    (
        "part of an invalid configuration takes effect, or read-back differs",
        Checker::configuration_integrity,
    ),
    (
        "a leaving origin is called after 2 s, or a service no entry allowed",
        Checker::leaving_called,
    ),
    (
        "extra tries exceed a fifth plus 3 in 10 s",
        Checker::extra_tries,
    ),
    (
        "an origin is called 10 % over its rate in 5 s",
        Checker::over_rate,
    ),
    (
        "a request read in full is dropped in a planned restart or change",
        Checker::dropped,
    ),
    (
        "service is not back 15 s after machines return",
        Checker::back_in_time,
    ),
    (
        "the history of the document or of an item is not linearizable",
        Checker::operators_histories,
    ),
    (
        "the history of an operation key is not linearizable",
        Checker::key_histories,
    ),
    (
        "work goes on for a caller that has left",
        Checker::abandoned_work,
    ),
];

/// Collects cases of one never: how many, when, and which were broken.
#[derive(Default)]
pub struct Cases {
    /// How many cases were judged.
    pub seen: usize,
    /// In which a fault might have broken a case, in seconds.
    pub spans: Vec<(f64, f64)>,
    /// The broken cases, in words.
    pub broken: Vec<String>,
    /// How near the worst case came to the bound, in its own words.
    pub worst: Option<(f64, String)>,
}

impl Cases {
    /// `span`: the time in which a fault might have broken this case.
    fn case(&mut self, span: (f64, f64), good: bool, text: impl FnOnce() -> String) {
        self.seen += 1;
        self.spans.push(span);
        if !good {
            self.broken.push(text());
        }
    }

    /// `used` of the bound, 1.0 being all of it.
    fn margin(&mut self, used: f64, text: impl FnOnce() -> String) {
        if self.worst.as_ref().is_none_or(|(most, _)| used > *most) {
            self.worst = Some((used, text()));
        }
    }

    /// What came of the rule.
    pub fn verdict(&self) -> Verdict {
        match (self.seen, self.broken.is_empty()) {
            (0, _) => Verdict::NotExercised,
            (seen, true) => Verdict::Held(seen),
            _ => Verdict::Broken(self.broken.clone()),
        }
    }

    /// Whether this moment lies in the span of any case; spans are merged.
    fn covers(merged: &[(f64, f64)], at: f64) -> bool {
        let after = merged.partition_point(|(from, _)| *from <= at);
        after > 0 && at <= merged[after - 1].1
    }

    fn merged(&self) -> Vec<(f64, f64)> {
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

/// The most events within any span, from sorted times, and when it began.
fn most_within(times: &[f64], span: f64) -> (usize, f64) {
    let mut first = 0;
    let mut most = (0, 0.0);
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] >= span {
            first += 1;
        }
        if last + 1 - first > most.0 {
            most = (last + 1 - first, times[first]);
        }
    }
    most
}

/// From the first to the last of some times.
fn span_of(times: impl Iterator<Item = f64>) -> (f64, f64) {
    times.fold((f64::MAX, f64::MIN), |(from, to), at| {
        (from.min(at), to.max(at))
    })
}

/// Calls an origin may get in five seconds.
fn rate_bound(rate: f64) -> f64 {
    (rate * 5.0 * 1.1).floor().max(1.0)
}

impl Checker {
    /// Reads the record that a run left in a folder.
    pub fn read(folder: &Path, deployment: &Deployment) -> Result<Checker> {
        let mut checker = Checker {
            callers: read_records(&folder.join("callers.jsonl"))?,
            origins: read_records(&folder.join("origins.jsonl"))?,
            fleet: read_records(&folder.join("fleet.jsonl"))?,
            operators: read_records(&folder.join("operators.jsonl"))?,
            items: vec![],
            rates: deployment.rates(),
            keeps: deployment.keeps(),
        };
        checker.origins.sort_by(|a, b| a.at.total_cmp(&b.at));
        checker.fleet.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(checker)
    }

    /// Each rule with its cases, in the order of [`RULES`].
    pub fn cases(&self) -> Vec<(&'static str, Cases)> {
        RULES
            .iter()
            .map(|(rule, judge)| (*rule, judge(self)))
            .collect()
    }

    /// Each rule with what came of it.
    pub fn verdicts(&self) -> Vec<(&'static str, Verdict)> {
        self.cases()
            .into_iter()
            .map(|(never, cases)| (never, cases.verdict()))
            .collect()
    }

    /// How many faults of each kind fell in a span of each never.
    pub fn coverage(&self, cases: &[(&'static str, Cases)]) -> BTreeMap<String, [usize; JUDGED]> {
        let mut table: BTreeMap<String, [usize; JUDGED]> = BTreeMap::new();
        for (never, (_, cases)) in cases.iter().enumerate() {
            let merged = cases.merged();
            for fault in self.fleet.iter().filter(|one| one.what == "fault") {
                let row = table.entry(fault.subject.clone()).or_default();
                row[never] += usize::from(Cases::covers(&merged, fault.at));
            }
        }
        table
    }
}
