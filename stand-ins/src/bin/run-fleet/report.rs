//! Judges the record of a run and prints it.
use crate::Run;
use stand_ins::prelude::*;

/// Broken cases printed of one rule.
const CASES_SHOWN: usize = 3;

impl Run {
    /// The exit code: 1 if a rule is broken.
    pub(crate) fn report(&self) -> Result<i32> {
        let checker = Checker::read(&self.fleet.folder, &self.deployment)?;
        self.print_traffic(&checker);
        let mut code = 0;
        for (index, (rule, cases)) in checker.cases().into_iter().enumerate() {
            let verdict = cases.verdict();
            if matches!(verdict, Verdict::Broken(_)) {
                code = 1;
            }
            let worst = cases.worst.map(|(used, text)| {
                format!("; at most {:.0} % of the bound: {text}", used * 100.0)
            });
            println!(
                "{:2}. {rule}: {}{}",
                index + 1,
                describe(&verdict),
                worst.unwrap_or_default()
            );
        }
        Ok(code)
    }

    fn print_traffic(&self, checker: &Checker) {
        let cached = checker
            .callers
            .iter()
            .filter(|call| checker.keeps.contains_key(&call.entry))
            .count();
        let fetched = checker
            .origins
            .iter()
            .filter(|call| {
                !call.probe
                    && call.operation.is_none()
                    && call.service == self.deployment.services[0].name
            })
            .count();
        println!(
            "\nerrands {}, origin calls {} (probes {})",
            checker.callers.len(),
            checker.origins.len(),
            checker.origins.iter().filter(|call| call.probe).count()
        );
        println!(
            "origin calls per cached request: {:.3}",
            fetched as f64 / cached.max(1) as f64
        );
        for (rank, (good, all)) in checker.shares() {
            println!(
                "rank {rank}: {good} of {all} served ({:.2} %)",
                100.0 * good as f64 / all as f64
            );
        }
        println!("other answers: {:?}\n", checker.other_answers());
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::NotExercised => "not exercised".to_string(),
        Verdict::Held(cases) => format!("held in {cases} cases"),
        Verdict::Broken(cases) => {
            let shown = cases.iter().take(CASES_SHOWN).cloned().collect::<Vec<_>>();
            format!("BROKEN in {} cases: {}", cases.len(), shown.join("; "))
        }
    }
}
