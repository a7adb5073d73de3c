//! Judges a record of a fleet by the rules that must never break.
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
    pub callers: Vec<CallerRecord>,
    /// Sorted by time.
    pub origins: Vec<OriginRecord>,
    pub fleet: Vec<FleetRecord>,
    /// Operators' calls on the document.
    pub operators: Vec<OperatorRecord>,
    /// Operators' calls on named items.
    pub items: Vec<ItemRecord>,
    pub rates: BTreeMap<String, f64>,
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

/// Collects cases of one never: how many, when, and which were broken.
#[derive(Default)]
pub struct Cases {
    pub seen: usize,
    pub spans: Vec<(f64, f64)>,
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

    /// Each never with its cases, in the brief's order, and then the histories.
    pub fn cases(&self) -> Vec<(&'static str, Cases)> {
        vec![
            ("an operation runs twice", self.runs_twice()),
            (
                "\"not run\" is followed by the request running",
                self.not_run_ran(),
            ),
            (
                "a success is not the origin's whole answer to this caller",
                self.foreign_success(),
            ),
            (
                "an old copy is served 2 s after its purge was acknowledged",
                self.served_after_purge(),
            ),
            (
                "a copy is served 2 s beyond its keep time once replaced",
                self.served_beyond_ttl(),
            ),
            (
                "an acknowledged configuration is not in force everywhere in 2.5 s, or a node slips back",
                self.configuration_in_force(),
            ),
            (
                "part of an invalid configuration takes effect, or read-back differs",
                self.configuration_whole(),
            ),
            (
                "a leaving origin is called after 2 s, or a service no entry allowed",
                self.leaving_called(),
            ),
            (
                "extra tries exceed a fifth plus 3 in 10 s",
                self.extra_tries(),
            ),
            (
                "an origin is called 10 % over its rate in 5 s",
                self.over_rate(),
            ),
            (
                "a request read in full is dropped in a planned restart or change",
                self.dropped(),
            ),
            (
                "service is not back 15 s after machines return",
                self.back_in_time(),
            ),
            (
                "the history of the document or of an item is not linearizable",
                self.operators_histories(),
            ),
            (
                "the history of an operation key is not linearizable",
                self.key_histories(),
            ),
            (
                "work goes on for a caller that has left",
                self.abandoned_work(),
            ),
        ]
    }

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

    fn runs(&self) -> BTreeMap<&str, Vec<f64>> {
        let mut runs: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            if let Some(operation) = &call.operation {
                runs.entry(operation).or_default().push(call.at);
            }
        }
        runs
    }

    fn attempts(&self) -> BTreeMap<&str, Vec<&CallerRecord>> {
        let mut tries: BTreeMap<&str, Vec<&CallerRecord>> = BTreeMap::new();
        for call in &self.callers {
            if let Some(operation) = &call.operation {
                tries.entry(operation).or_default().push(call);
            }
        }
        tries
    }

    /// Exercised by more than one call on the document, and by each item.
    fn operators_histories(&self) -> Cases {
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
    fn key_histories(&self) -> Cases {
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

    /// Exercised by every key that was sent more than once.
    fn runs_twice(&self) -> Cases {
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

    fn not_run_ran(&self) -> Cases {
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

    fn foreign_success(&self) -> Cases {
        let mut cases = Cases::default();
        for call in self.callers.iter().filter(|call| call.status == 200) {
            cases.case((call.start, call.end), call.fits, || {
                format!("{} at {} {:?}", call.path, call.edge, call.operation)
            });
        }
        cases
    }

    /// Times at which content was replaced, and the version since then.
    fn replaced(&self) -> Vec<(f64, u64)> {
        self.fleet
            .iter()
            .filter(|one| one.what == "content")
            .map(|one| (one.at, one.number))
            .collect()
    }

    /// Judged by when a request began: an answer that was on its way when the
    /// bound passed was asked for before it.
    fn served_after_purge(&self) -> Cases {
        let mut cases = Cases::default();
        for purge in self
            .fleet
            .iter()
            .filter(|one| one.what == "purged" && one.good)
        {
            let reached = |call: &&CallerRecord| {
                self.keeps.contains_key(&call.entry)
                    && call.path.starts_with(&purge.subject)
                    && call.status == 200
            };
            for call in self
                .callers
                .iter()
                .filter(reached)
                .filter(|call| call.start > purge.at)
            {
                let old = call.version < Some(purge.number);
                if old {
                    let after = call.start - purge.at;
                    cases.margin(after / GRACE, || format!("an old copy {after:.3} s after"));
                }
                if call.start > purge.at + GRACE {
                    cases.case((purge.at - GRACE, purge.at + GRACE), !old, || {
                        format!(
                            "{} version {:?} at {} s after purge of {}",
                            call.path,
                            call.version,
                            call.start - purge.at,
                            purge.number
                        )
                    });
                }
            }
        }
        cases
    }

    fn served_beyond_ttl(&self) -> Cases {
        let mut cases = Cases::default();
        for (at, version) in self.replaced() {
            for call in self
                .callers
                .iter()
                .filter(|call| call.status == 200 && call.start > at)
            {
                let Some(keep) = self.keeps.get(&call.entry) else {
                    continue;
                };
                let old = call.version < Some(version);
                let after = call.start - at - *keep as f64;
                if old {
                    cases.margin(after / GRACE, || {
                        format!("an old copy {after:.3} s after its keep time")
                    });
                }
                if after > GRACE {
                    cases.case((at, at + *keep as f64 + GRACE), !old, || {
                        format!(
                            "{} version {:?}, {} s after {version} came",
                            call.path,
                            call.version,
                            call.start - at
                        )
                    });
                }
            }
        }
        cases
    }

    /// The runner looks at every edge for markers of acknowledged versions, and
    /// for those an acknowledged version took away; and every table an edge
    /// took is in the record with its version.
    fn configuration_in_force(&self) -> Cases {
        let mut cases = Cases::default();
        let at_of = |what: &str, number: u64| {
            self.fleet
                .iter()
                .find(|one| one.what == what && one.number == number && one.good)
                .map(|one| one.at)
        };
        for (look, since) in [("marker", "configured"), ("marker-gone", "removed")] {
            let mut known: BTreeMap<u64, Option<f64>> = BTreeMap::new();
            for seen in self.fleet.iter().filter(|one| one.what == look) {
                let Some(at) = *known
                    .entry(seen.number)
                    .or_insert_with(|| at_of(since, seen.number))
                else {
                    continue;
                };
                if !seen.good && seen.at > at {
                    let after = seen.at - at;
                    cases.margin(after / IN_FORCE, || {
                        format!("{look} {} not yet so {after:.3} s after", seen.number)
                    });
                }
                if seen.at > at + IN_FORCE {
                    cases.case((at - GRACE, at + IN_FORCE), seen.good, || {
                        format!(
                            "{look} {} not so at {} at {:.3}",
                            seen.number, seen.subject, seen.at
                        )
                    });
                }
            }
        }
        // An edge takes versions in rising order, over its restarts too as far
        // as they were acknowledged; and nothing older than what was
        // acknowledged 2.5 s ago.
        let mut taken: HashMap<&str, u64> = HashMap::new();
        let mut acknowledged: Vec<(f64, u64)> = Vec::new();
        for one in &self.fleet {
            match one.what.as_str() {
                "acknowledged" => acknowledged.push((one.at, one.number)),
                "in-force" => {
                    let before = taken.insert(&one.subject, one.number).unwrap_or(0);
                    let due = acknowledged
                        .iter()
                        .filter(|(at, _)| one.at > at + IN_FORCE)
                        .map(|(_, version)| *version)
                        .max()
                        .unwrap_or(0);
                    let good = one.number >= before && one.number >= due;
                    cases.case((one.at - IN_FORCE, one.at), good, || {
                        format!(
                            "{} took version {} at {:.3} after {before}, {due} being in force",
                            one.subject, one.number, one.at
                        )
                    });
                }
                "killed" | "restarted" if one.number == 0 => {
                    let most = acknowledged
                        .iter()
                        .map(|(_, version)| *version)
                        .max()
                        .unwrap_or(0);
                    taken
                        .entry(&one.subject)
                        .and_modify(|version| *version = most.min(*version));
                }
                // All that knew of earlier ones is gone.
                "all-lost" => {
                    taken.clear();
                    acknowledged.clear();
                }
                // Only the simulator sees these: what was in force at the very
                // moment of the acknowledgement, and assignments held by two live
                // nodes.
                "at-ack" | "duty-held-twice" => {
                    cases.case((one.at - GRACE, one.at), one.good, || {
                        format!(
                            "{} {} {} at {:.3}",
                            one.what, one.subject, one.number, one.at
                        )
                    });
                }
                _ => {}
            }
        }
        cases
    }

    fn configuration_whole(&self) -> Cases {
        let mut cases = Cases::default();
        for seen in self.fleet.iter().filter(|one| {
            [
                "read-back",
                "invalid-refused",
                "invalid-marker",
                "order-again",
            ]
            .contains(&one.what.as_str())
        }) {
            cases.case((seen.at - 5.0, seen.at), seen.good, || {
                format!("{} {} {}", seen.what, seen.subject, seen.number)
            });
        }
        cases
    }

    /// "Learned" is when the platform's call was read by a node that could
    /// take it, not when it was answered.
    fn leaving_called(&self) -> Cases {
        let mut cases = Cases::default();
        for left in self.fleet.iter().filter(|one| one.what == "leaving") {
            let calls = || {
                self.origins
                    .iter()
                    .filter(|call| call.instance == left.subject && call.at > left.at)
            };
            if let Some(last) = calls().map(|call| call.at - left.at).max_by(f64::total_cmp) {
                cases.margin(last / GRACE, || format!("the last call {last:.3} s after"));
            }
            let count = calls().filter(|call| call.at > left.at + GRACE).count();
            cases.case((left.at - GRACE, left.at + GRACE), count == 0, || {
                format!("{} was called {count} times after 2 s", left.subject)
            });
        }
        // A probe carries nobody's request and is how another service at an
        // address is found out; but only where an allowed one was listed.
        let allowed: BTreeSet<&String> = self.rates.keys().collect();
        let listed: BTreeSet<&String> = self
            .origins
            .iter()
            .filter(|call| allowed.contains(&call.service))
            .map(|call| &call.address)
            .collect();
        for call in self
            .origins
            .iter()
            .filter(|call| !allowed.contains(&call.service))
        {
            let good = call.probe && listed.contains(&call.address);
            cases.case((call.at - GRACE, call.at), good, || {
                format!(
                    "{} at {} is of service {}",
                    call.path, call.address, call.service
                )
            });
        }
        cases
    }

    /// A probe repeats nobody's request and is no extra try; it counts against
    /// the rate.
    fn extra_tries(&self) -> Cases {
        let mut cases = Cases::default();
        for service in self.rates.keys() {
            let mut known = HashSet::new();
            let (mut firsts, mut extras) = (Vec::new(), Vec::new());
            for call in self
                .origins
                .iter()
                .filter(|call| call.service == *service && !call.probe)
            {
                if known.insert(&call.request) {
                    firsts.push(call.at)
                } else {
                    extras.push(call.at)
                }
            }
            for at in &extras {
                let within = |list: &[f64]| {
                    list.partition_point(|time| *time <= *at)
                        - list.partition_point(|time| *time <= at - 10.0)
                };
                let (first, extra) = (within(&firsts), within(&extras));
                let bound = first as f64 * 0.2 + ALLOWANCE;
                cases.margin(extra as f64 / bound, || {
                    format!("{service}: {extra} extra of {first} first tries")
                });
                cases.case((at - 10.0, *at), extra as f64 <= bound, || {
                    format!("{service}: {extra} extra of {first} first tries at {at:.3}")
                });
            }
        }
        cases
    }

    /// Every origin counts; the span is the fullest five seconds.
    fn over_rate(&self) -> Cases {
        let mut cases = Cases::default();
        for ((service, address), list) in self.calls_by_origin() {
            let Some(rate) = self.rates.get(service) else {
                continue;
            };
            let (most, from) = most_within(&list, 5.0);
            let bound = rate_bound(*rate);
            cases.margin(most as f64 / bound, || {
                format!("{service}: {most} calls in 5 s at {rate}/s")
            });
            cases.case((from, from + 5.0), most as f64 <= bound, || {
                format!("{address}: {most} calls in 5 s at {rate}/s, from {from:.3}")
            });
        }
        cases
    }

    /// A request that was read in full and got no answer, or a refusal that
    /// only the planned change explains. Nothing unplanned shortly before or
    /// meanwhile; a node that was killed may drop.
    fn dropped(&self) -> Cases {
        let mut cases = Cases::default();
        let times = |what: &str, good: bool| -> Vec<f64> {
            self.fleet
                .iter()
                .filter(|one| one.what == what && one.good == good)
                .map(|one| one.at)
                .collect()
        };
        // In a fault's record `good` says that it was planned.
        let (planned, unplanned) = (times("fault", true), times("fault", false));
        let killed: Vec<(&str, f64)> = self
            .fleet
            .iter()
            .filter(|one| one.what == "killed")
            .map(|one| (one.subject.as_str(), one.at))
            .collect();
        let within =
            |list: &[f64], from: f64, to: f64| list.iter().any(|at| *at >= from && *at <= to);
        for call in &self.callers {
            if !within(&planned, call.start - 10.0, call.end) {
                continue;
            }
            let excused = killed.iter().any(|(edge, at)| {
                *edge == call.edge && call.start < at + 0.5 && call.end > at - 0.5
            });
            // The closing after a loss outlasts the rest of it.
            let calm = if call.code == "ledger_recovering" {
                CLOSED
            } else {
                CALM
            };
            let calm = !within(&unplanned, call.start - calm, call.end);
            // A connection that was refused was not read.
            let read = call.status != 0 || call.dropped;
            let refused =
                read && calm && call.status != 200 && !CLEAN.contains(&call.code.as_str());
            let bad = (call.dropped || refused) && !excused;
            cases.case((call.start, call.end), !bad, || {
                format!(
                    "{} at {} at {:.3}: {} {}",
                    call.path, call.edge, call.start, call.status, call.code
                )
            });
        }
        cases
    }

    /// Exercised by each caller that leaves early; broken by each request that is
    /// sent long after that, and by what an edge itself counts as abandoned.
    fn abandoned_work(&self) -> Cases {
        let mut cases = Cases::default();
        let seen =
            |one: &&FleetRecord| ["abandoned-work", "caller-left"].contains(&one.what.as_str());
        for one in self.fleet.iter().filter(seen) {
            cases.case((one.at, one.at), one.good, || one.subject.clone());
        }
        cases
    }

    /// Every kind of entry is served again, and every edge is ready.
    fn back_in_time(&self) -> Cases {
        let mut cases = Cases::default();
        let last = self.callers.iter().map(|call| call.end).fold(0.0, f64::max);
        for back in self.fleet.iter().filter(|one| one.what == "returned") {
            let entries: BTreeSet<&str> = self
                .callers
                .iter()
                .map(|call| call.entry.as_str())
                .collect();
            for entry in entries {
                let calls = || {
                    self.callers
                        .iter()
                        .filter(|call| call.entry == entry && call.end > back.at)
                };
                let closed = calls()
                    .any(|call| call.code == "ledger_recovering" && call.start < back.at + BACK);
                let limit = if closed { CLOSED } else { BACK };
                let first = calls()
                    .filter(|call| call.status == 200)
                    .map(|call| call.end - back.at)
                    .min_by(f64::total_cmp);
                // A record that ends too soon shows nothing; nor does one in
                // which something else was broken meanwhile.
                let meanwhile = self.fleet.iter().any(|one| {
                    one.what == "fault"
                        && !one.good
                        && one.at > back.at + 0.01
                        && one.at < back.at + limit
                });
                if first.is_none_or(|first| first >= limit)
                    && (meanwhile || first.is_none() && last < back.at + limit)
                {
                    continue;
                }
                if let Some(first) = first {
                    cases.margin(first / limit, || {
                        format!("{entry} after {first:.2} of {limit} s")
                    });
                }
                cases.case(
                    (back.at - BACK, back.at + BACK),
                    first.is_some_and(|first| first < limit),
                    || {
                        format!(
                            "{entry}: {} returned at {:.3}; first success after {first:?}",
                            back.subject, back.at
                        )
                    },
                );
            }
        }
        for back in self.fleet.iter().filter(|one| one.what == "ready-again") {
            cases.case((back.at - BACK, back.at), back.good, || {
                format!("{} was not ready in 15 s at {:.3}", back.subject, back.at)
            });
        }
        cases
    }

    /// The longest time in which errands ended and none with success.
    pub fn longest_gap(&self) -> f64 {
        let mut ends: Vec<f64> = self
            .callers
            .iter()
            .filter(|call| call.status == 200)
            .map(|call| call.end)
            .collect();
        ends.sort_by(f64::total_cmp);
        ends.windows(2)
            .map(|pair| pair[1] - pair[0])
            .fold(0.0, f64::max)
    }

    /// For each service, the most calls to one origin in 5 s, of what it may get.
    pub fn calls_against_rate(&self) -> String {
        let mut most: BTreeMap<&str, usize> = BTreeMap::new();
        for ((service, _), list) in self.calls_by_origin() {
            let known = most.entry(service).or_default();
            *known = (*known).max(most_within(&list, 5.0).0);
        }
        let one = |(service, rate): (&String, &f64)| {
            format!(
                "{service}: at most {} calls in 5 s of {}",
                most.get(service.as_str()).unwrap_or(&0),
                rate * 5.0
            )
        };
        self.rates.iter().map(one).collect::<Vec<_>>().join(", ")
    }

    fn calls_by_origin(&self) -> BTreeMap<(&str, &str), Vec<f64>> {
        let mut times: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            times
                .entry((&call.service, &call.address))
                .or_default()
                .push(call.at);
        }
        times
    }

    /// Errands that were not served, by status and code.
    pub fn other_answers(&self) -> BTreeMap<(u16, &str), usize> {
        let mut codes = BTreeMap::new();
        for call in self.callers.iter().filter(|call| call.status != 200) {
            *codes.entry((call.status, call.code.as_str())).or_default() += 1;
        }
        codes
    }

    /// Share of errands with a success, by rank.
    pub fn shares(&self) -> BTreeMap<u32, (usize, usize)> {
        let mut shares: BTreeMap<u32, (usize, usize)> = BTreeMap::new();
        for call in &self.callers {
            let share = shares.entry(call.rank).or_default();
            share.0 += usize::from(call.status == 200);
            share.1 += 1;
        }
        shares
    }
}
