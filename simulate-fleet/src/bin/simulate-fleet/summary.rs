//! Summary of the results per rule over all seeds.
use simulate_fleet::prelude::*;

/// Maximum number of violations printed per rule and seed.
const CASES_SHOWN: usize = 4;

/// Case with the smallest margin to a rule's bound.
struct WorstCase {
    /// Used fraction of the bound; 1.0 is the whole bound.
    used: f64,
    text: String,
}

/// Results over all seeds: passed cases, worst margins, and number of faults of each kind
/// during the cases of each rule.
#[derive(Default)]
pub(crate) struct Summary {
    passed_cases: [usize; RULE_COUNT],
    /// Worst case, by the index of the rule.
    worst: BTreeMap<usize, WorstCase>,
    /// Number of faults during the cases of each rule, by the kind of the fault.
    coverage: BTreeMap<String, [usize; RULE_COUNT]>,
}

impl Summary {
    /// Adds the run of a seed and prints its violations; returns true if there are any.
    pub(crate) fn add(&mut self, seed: u64, checker: &Checker, verbose: bool) -> bool {
        let rules = checker.cases();
        for (kind, row) in checker.coverage(&rules) {
            let known = self.coverage.entry(kind).or_default();
            known
                .iter_mut()
                .zip(row)
                .for_each(|(known, more)| *known += more);
        }
        let mut broken = false;
        for (index, (rule, cases)) in rules.into_iter().enumerate() {
            self.add_worst(index, seed, cases.worst.as_ref());
            self.passed_cases[index] += cases.checked - cases.violations.len();
            let verdict = cases.verdict();
            broken |= matches!(verdict, Verdict::Violated(_));
            print_verdict(index + 1, rule, &verdict, verbose);
        }
        broken
    }

    fn add_worst(&mut self, index: usize, seed: u64, worst: Option<&(f64, String)>) {
        let Some((used, text)) = worst else { return };
        let known = self.worst.get(&index);
        if known.is_none_or(|known| *used > known.used) {
            let text = format!("{text} (seed {seed})");
            self.worst.insert(index, WorstCase { used: *used, text });
        }
    }

    pub(crate) fn print(&self) {
        println!("cases passed, by rule: {:?}", self.passed_cases);
        for (index, worst) in &self.worst {
            println!(
                "rule {}: at most {:.0} % of the bound: {}",
                index + 1,
                worst.used * 100.0,
                worst.text
            );
        }
        println!(
            "faults during the cases of each rule:\n{:>20} {}",
            "",
            (1..=RULE_COUNT)
                .map(|rule| format!("{rule:>6}"))
                .collect::<String>()
        );
        for (kind, row) in &self.coverage {
            println!(
                "{kind:>20} {}",
                row.iter()
                    .map(|count| format!("{count:>6}"))
                    .collect::<String>()
            );
        }
    }
}

/// Prints the verdict on a rule: always if violated, otherwise only if `verbose`.
fn print_verdict(number: usize, rule: &str, verdict: &Verdict, verbose: bool) {
    match verdict {
        Verdict::Violated(cases) => {
            let shown = cases.iter().take(CASES_SHOWN).cloned().collect::<Vec<_>>();
            println!(
                "  {number:2}. {rule}: VIOLATED in {} cases: {}",
                cases.len(),
                shown.join("; ")
            );
        }
        verdict if verbose => println!("  {number:2}. {rule}: {verdict:?}"),
        _ => {}
    }
}
