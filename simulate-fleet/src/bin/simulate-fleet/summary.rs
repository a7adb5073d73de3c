//! What all seeds together showed about each rule.
use simulate_fleet::prelude::*;

/// Broken cases printed of one rule and seed.
const CASES_SHOWN: usize = 4;

/// The case that came nearest to a rule's bound.
struct WorstCase {
    /// 1.0 being all of the bound.
    used: f64,
    text: String,
}

/// Over all seeds: cases held, worst margins, and how many faults of each
/// kind fell into the cases of each rule.
#[derive(Default)]
pub(crate) struct Summary {
    passed_cases: [usize; JUDGED],
    /// By the index of the rule.
    worst: BTreeMap<usize, WorstCase>,
    /// By the kind of the fault.
    coverage: BTreeMap<String, [usize; JUDGED]>,
}

impl Summary {
    /// Adds a seed's run and prints what it broke; whether it broke anything.
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
            self.passed_cases[index] += cases.seen - cases.broken.len();
            let verdict = cases.verdict();
            broken |= matches!(verdict, Verdict::Broken(_));
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
        println!("cases held, by never: {:?}", self.passed_cases);
        for (index, worst) in &self.worst {
            println!(
                "never {}: at most {:.0} % of the bound: {}",
                index + 1,
                worst.used * 100.0,
                worst.text
            );
        }
        println!(
            "faults that fell into the cases of each never:\n{:>20} {}",
            "",
            (1..=JUDGED)
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

/// Prints a broken rule always, any other only if `verbose`.
fn print_verdict(number: usize, rule: &str, verdict: &Verdict, verbose: bool) {
    match verdict {
        Verdict::Broken(cases) => {
            let shown = cases.iter().take(CASES_SHOWN).cloned().collect::<Vec<_>>();
            println!(
                "  {number:2}. {rule}: BROKEN in {} cases: {}",
                cases.len(),
                shown.join("; ")
            );
        }
        verdict if verbose => println!("  {number:2}. {rule}: {verdict:?}"),
        _ => {}
    }
}
