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
    pub origins: Vec<OriginRecord>,
    pub fleet: Vec<FleetRecord>,
    pub rates: BTreeMap<String, f64>,
    pub keeps: BTreeMap<String, u64>,
}

/// The brief's "about 2 seconds", as judged here.
const GRACE: f64 = 2.0;

/// Collects cases of one never.
#[derive(Default)]
struct Cases {
    seen: usize,
    broken: Vec<String>,
}

impl Cases {
    fn case(&mut self, good: bool, text: impl FnOnce() -> String) {
        self.seen += 1;
        if !good {
            self.broken.push(text());
        }
    }

    fn verdict(self) -> Verdict {
        match (self.seen, self.broken.is_empty()) {
            (0, _) => Verdict::NotExercised,
            (seen, true) => Verdict::Held(seen),
            _ => Verdict::Broken(self.broken),
        }
    }
}

/// The most events within any span, from sorted times.
fn most_within(times: &[f64], span: f64) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while *time - times[first] >= span {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

impl Checker {
    pub fn read(folder: &Path, deployment: &Deployment) -> Result<Checker> {
        let mut checker = Checker {
            callers: read_records(&folder.join("callers.jsonl"))?,
            origins: read_records(&folder.join("origins.jsonl"))?,
            fleet: read_records(&folder.join("fleet.jsonl"))?,
            rates: deployment.rates(),
            keeps: deployment.keeps(),
        };
        checker.origins.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(checker)
    }

    pub fn verdicts(&self) -> Vec<(&'static str, Verdict)> {
        vec![
            ("an operation runs twice", self.runs_twice()),
            ("\"not run\" is followed by the request running", self.not_run_ran()),
            ("a success is not the origin's whole answer to this caller", self.foreign_success()),
            ("an old copy is served 2 s after its purge was acknowledged", self.served_after_purge()),
            ("a copy is served 2 s beyond its keep time once replaced", self.served_beyond_keep()),
            ("an acknowledged configuration is not in force everywhere in 2.5 s, or a node slips back", self.configuration_in_force()),
            ("part of an invalid configuration takes effect, or read-back differs", self.configuration_whole()),
            ("a leaving origin is called after 2 s, or a service no entry allowed", self.leaving_called()),
            ("extra tries exceed a fifth plus an allowance in 10 s", self.extra_tries()),
            ("an origin is called 10 % over its rate in 5 s", self.over_rate()),
            ("a request read in full is dropped in a planned restart or change", self.dropped()),
            ("service is not back 15 s after machines return", self.back_in_time()),
        ]
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

    /// Exercised by every key that was sent more than once.
    fn runs_twice(&self) -> Verdict {
        let mut cases = Cases::default();
        let runs = self.runs();
        let tries = self.attempts();
        let keys: BTreeSet<&str> = runs.keys().chain(tries.keys()).copied().collect();
        for key in keys {
            let count = runs.get(key).map_or(0, Vec::len);
            if count > 1 || tries.get(key).is_some_and(|tries| tries.len() > 1) {
                cases.case(count <= 1, || format!("{key} ran {count} times"));
            }
        }
        cases.verdict()
    }

    fn not_run_ran(&self) -> Verdict {
        let mut cases = Cases::default();
        let runs = self.runs();
        for (key, tries) in self.attempts() {
            if !tries.iter().any(|one| one.outcome == "not_run") {
                continue;
            }
            // A run belongs to some attempt that was under way, or whose end
            // did not say "not run".
            let bad = runs.get(key).into_iter().flatten().find(|at| {
                !tries.iter().any(|one| one.start <= **at && (one.end >= **at || one.outcome != "not_run"))
            });
            let only = tries.iter().all(|one| one.outcome == "not_run") && runs.contains_key(key);
            cases.case(bad.is_none() && !only, || format!("{key} ran at {bad:?} after \"not run\""));
        }
        cases.verdict()
    }

    fn foreign_success(&self) -> Verdict {
        let mut cases = Cases::default();
        for call in self.callers.iter().filter(|call| call.status == 200) {
            cases.case(call.fits, || format!("{} at {} {:?}", call.path, call.edge, call.operation));
        }
        cases.verdict()
    }

    /// Times at which content was replaced, and the version since then.
    fn replaced(&self) -> Vec<(f64, u64)> {
        self.fleet.iter().filter(|one| one.what == "content").map(|one| (one.at, one.number)).collect()
    }

    fn served_after_purge(&self) -> Verdict {
        let mut cases = Cases::default();
        for purge in self.fleet.iter().filter(|one| one.what == "purged" && one.good) {
            let reached = |call: &&CallerRecord| self.keeps.contains_key(&call.entry) && call.path.starts_with(&purge.subject) && call.status == 200;
            for call in self.callers.iter().filter(reached).filter(|call| call.start > purge.at + GRACE) {
                cases.case(call.version >= Some(purge.number), || {
                    format!("{} version {:?} at {} s after purge of {}", call.path, call.version, call.start - purge.at, purge.number)
                });
            }
        }
        cases.verdict()
    }

    fn served_beyond_keep(&self) -> Verdict {
        let mut cases = Cases::default();
        for (at, version) in self.replaced() {
            for call in self.callers.iter().filter(|call| call.status == 200) {
                let Some(keep) = self.keeps.get(&call.entry) else { continue };
                if call.start > at + *keep as f64 + GRACE {
                    cases.case(call.version >= Some(version), || {
                        format!("{} version {:?}, {} s after {version} came", call.path, call.version, call.start - at)
                    });
                }
            }
        }
        cases.verdict()
    }

    /// The runner looks at every edge for markers of acknowledged versions.
    fn configuration_in_force(&self) -> Verdict {
        let mut cases = Cases::default();
        let acknowledged = |marker: u64| self.fleet.iter().find(|one| one.what == "configured" && one.number == marker && one.good).map(|one| one.at);
        for seen in self.fleet.iter().filter(|one| one.what == "marker") {
            if acknowledged(seen.number).is_some_and(|at| seen.at > at + 2.5) {
                cases.case(seen.good, || format!("marker {} missing at {}", seen.number, seen.subject));
            }
        }
        // Only the simulator sees these: what was in force at the very moment
        // of the acknowledgement, and duties held by two live nodes.
        for seen in self.fleet.iter().filter(|one| one.what == "at-ack" || one.what == "duty-held-twice") {
            cases.case(seen.good, || format!("{} {} {} at {:.3}", seen.what, seen.subject, seen.number, seen.at));
        }
        cases.verdict()
    }

    fn configuration_whole(&self) -> Verdict {
        let mut cases = Cases::default();
        for seen in self.fleet.iter().filter(|one| one.what == "read-back" || one.what == "invalid-refused" || one.what == "invalid-marker") {
            cases.case(seen.good, || format!("{} {} {}", seen.what, seen.subject, seen.number));
        }
        cases.verdict()
    }

    fn leaving_called(&self) -> Verdict {
        let mut cases = Cases::default();
        for left in self.fleet.iter().filter(|one| one.what == "leaving") {
            let after = self.origins.iter().filter(|call| call.instance == left.subject && call.at > left.at + GRACE);
            let count = after.count();
            cases.case(count == 0, || format!("{} was called {count} times after 2 s", left.subject));
        }
        let allowed: BTreeSet<&String> = self.rates.keys().collect();
        for call in &self.origins {
            // A probe is how the other service is found out.
            if !allowed.contains(&call.service) && !call.probe {
                cases.case(false, || format!("{} is of service {}", call.path, call.service));
            }
        }
        cases.verdict()
    }

    fn extra_tries(&self) -> Verdict {
        let mut cases = Cases::default();
        for service in self.rates.keys() {
            let mut known = HashSet::new();
            let (mut firsts, mut extras) = (Vec::new(), Vec::new());
            for call in self.origins.iter().filter(|call| call.service == *service && !call.probe) {
                if known.insert(&call.errand) { firsts.push(call.at) } else { extras.push(call.at) }
            }
            for at in &extras {
                let within = |list: &[f64]| list.iter().filter(|time| **time > at - 10.0 && **time <= *at).count();
                let (first, extra) = (within(&firsts), within(&extras));
                cases.case(extra as f64 <= first as f64 * 0.2 + 5.0, || format!("{service}: {extra} extra of {first} first tries"));
            }
        }
        cases.verdict()
    }

    fn over_rate(&self) -> Verdict {
        let mut cases = Cases::default();
        for ((service, address), list) in self.calls_by_origin() {
            let Some(rate) = self.rates.get(service) else { continue };
            let most = most_within(&list, 5.0);
            // Only an origin that is driven near its rate puts it to the test.
            if most as f64 > rate * 5.0 * 0.5 {
                cases.case(most as f64 <= rate * 5.0 * 1.1 + 1.0, || format!("{address}: {most} calls in 5 s at {rate}/s"));
            }
        }
        cases.verdict()
    }

    /// Exercised only if something was planned; a killed node may drop.
    fn dropped(&self) -> Verdict {
        let mut cases = Cases::default();
        let planned = self.fleet.iter().any(|one| one.what == "restarted" || one.what == "configured");
        let killed: Vec<(&str, f64)> = self.fleet.iter().filter(|one| one.what == "killed").map(|one| (one.subject.as_str(), one.at)).collect();
        for call in self.callers.iter().filter(|_| planned) {
            let excused = killed.iter().any(|(edge, at)| *edge == call.edge && call.start < at + 0.5 && call.end > at - 0.5);
            cases.case(!call.dropped || excused, || format!("{} at {}: {}", call.path, call.edge, call.code));
        }
        cases.verdict()
    }

    fn back_in_time(&self) -> Verdict {
        let mut cases = Cases::default();
        for back in self.fleet.iter().filter(|one| one.what == "returned") {
            let first = self.callers.iter().filter(|call| call.status == 200 && call.end > back.at).map(|call| call.end).min_by(f64::total_cmp);
            cases.case(first.is_some_and(|first| first < back.at + 15.0), || format!("{} returned; first success {first:?}", back.subject));
        }
        for back in self.fleet.iter().filter(|one| one.what == "ready-again") {
            cases.case(back.good, || format!("{} was not ready in 15 s", back.subject));
        }
        cases.verdict()
    }

    /// The longest time in which errands ended and none with success.
    pub fn longest_gap(&self) -> f64 {
        let mut ends: Vec<f64> = self.callers.iter().filter(|call| call.status == 200).map(|call| call.end).collect();
        ends.sort_by(f64::total_cmp);
        ends.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max)
    }

    /// For each service, the most calls to one origin in 5 s, of what it may get.
    pub fn calls_against_rate(&self) -> String {
        let mut most: BTreeMap<&str, usize> = BTreeMap::new();
        for ((service, _), list) in self.calls_by_origin() {
            let known = most.entry(service).or_default();
            *known = (*known).max(most_within(&list, 5.0));
        }
        let one = |(service, rate): (&String, &f64)| format!("{service}: at most {} calls in 5 s of {}", most.get(service.as_str()).unwrap_or(&0), rate * 5.0);
        self.rates.iter().map(one).collect::<Vec<_>>().join(", ")
    }

    fn calls_by_origin(&self) -> BTreeMap<(&str, &str), Vec<f64>> {
        let mut times: BTreeMap<(&str, &str), Vec<f64>> = BTreeMap::new();
        for call in &self.origins {
            times.entry((&call.service, &call.address)).or_default().push(call.at);
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

#[cfg(test)]
mod tests {
    use crate::prelude::*;

    fn empty() -> Checker {
        Checker { callers: vec![], origins: vec![], fleet: vec![], rates: [("s".to_string(), 10.0)].into(), keeps: [("e".to_string(), 5)].into() }
    }

    fn verdict(checker: &Checker, at: usize) -> Verdict {
        checker.verdicts().remove(at).1
    }

    fn call(at: f64, operation: Option<&str>) -> OriginRecord {
        OriginRecord { at, service: "s".into(), instance: "i".into(), address: "a".into(), operation: operation.map(Into::into), errand: format!("{at}"), ..Default::default() }
    }

    fn errand(start: f64, status: u16, outcome: &str) -> CallerRecord {
        CallerRecord { start, end: start + 1.0, status, outcome: outcome.into(), operation: Some("k".into()), entry: "e".into(), fits: true, ..Default::default() }
    }

    fn event(at: f64, what: &str, number: u64, good: bool) -> FleetRecord {
        FleetRecord { at, what: what.into(), subject: "i".into(), number, good }
    }

    #[test]
    fn what_did_not_happen_is_not_exercised() {
        assert!(empty().verdicts().iter().all(|(_, verdict)| *verdict == Verdict::NotExercised));
        assert_eq!(empty().verdicts().len(), 12);
    }

    #[test]
    fn each_never_is_seen_when_broken() {
        let broken = |checker: &Checker, at: usize| matches!(verdict(checker, at), Verdict::Broken(_));
        let mut one = empty();
        one.origins = vec![call(1.0, Some("k")), call(9.0, Some("k"))];
        assert!(broken(&one, 0));
        let mut one = empty();
        one.callers = vec![errand(1.0, 503, "not_run")];
        assert_eq!(verdict(&one, 1), Verdict::Held(1));
        one.origins = vec![call(5.0, Some("k"))];
        assert!(broken(&one, 1));
        one.callers.push(errand(4.5, 200, ""));
        assert_eq!(verdict(&one, 1), Verdict::Held(1), "the later attempt ran");
        let mut one = empty();
        one.callers = vec![CallerRecord { fits: false, ..errand(1.0, 200, "") }];
        assert!(broken(&one, 2));
        let mut one = empty();
        one.callers = vec![CallerRecord { version: Some(1), path: "i/1".into(), ..errand(9.0, 200, "") }];
        one.fleet = vec![event(6.0, "purged", 2, true)];
        assert!(broken(&one, 3));
        one.fleet = vec![event(1.5, "content", 2, true)];
        assert!(broken(&one, 4));
        one.fleet = vec![event(1.0, "configured", 4, true), event(3.6, "marker", 4, false)];
        assert!(broken(&one, 5));
        one.fleet = vec![event(1.0, "read-back", 4, false)];
        assert!(broken(&one, 6));
        one.fleet = vec![event(1.0, "leaving", 0, true)];
        one.origins = vec![call(3.1, None)];
        assert!(broken(&one, 7));
        let mut one = empty();
        one.origins = (0..20).map(|at| OriginRecord { errand: "same".into(), ..call(f64::from(at) * 0.1, None) }).collect();
        assert!(broken(&one, 8));
        one.origins = (0..60).map(|at| call(f64::from(at) * 0.08, None)).collect();
        assert!(broken(&one, 9));
        one.callers = vec![CallerRecord { dropped: true, ..errand(1.0, 0, "") }];
        one.fleet = vec![event(1.0, "restarted", 0, true)];
        assert!(broken(&one, 10));
        one.fleet = vec![event(1.0, "returned", 0, true)];
        one.callers = vec![errand(20.0, 200, "")];
        assert!(broken(&one, 11));
    }
}
