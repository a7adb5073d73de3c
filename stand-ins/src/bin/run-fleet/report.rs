//! Checks the rules against the record of a run and prints the results.
use crate::Run;
use stand_ins::prelude::*;

/// Maximum number of violations printed for a rule.
const MAX_VIOLATIONS_SHOWN: usize = 3;

impl Run {
    /// Prints the report; returns the exit code, which is 1 if a rule is
    /// violated.
    pub(crate) fn report(&self) -> Result<i32> {
        let checker = Checker::read(&self.fleet.folder, &self.deployment)?;
        self.print_traffic(&checker);
        let mut code = 0;
        for (index, (rule, cases)) in checker.cases().into_iter().enumerate() {
            let verdict = cases.verdict();
            if matches!(verdict, Verdict::Violated(_)) {
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
            .clients
            .iter()
            .filter(|call| checker.ttls.contains_key(&call.entry))
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
            "\nrequests {}, origin calls {} (health checks {})",
            checker.clients.len(),
            checker.origins.len(),
            checker.origins.iter().filter(|call| call.probe).count()
        );
        println!(
            "origin calls per cached request: {:.3}",
            fetched as f64 / cached.max(1) as f64
        );
        for (rank, (successes, total)) in checker.shares() {
            println!(
                "rank {rank}: {successes} of {total} served ({:.2} %)",
                100.0 * successes as f64 / total as f64
            );
        }
        println!("other responses: {:?}\n", checker.unsuccessful_responses());
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::NotExercised => "not exercised".to_string(),
        Verdict::Satisfied(cases) => format!("held in {cases} cases"),
        Verdict::Violated(cases) => {
            let shown = cases
                .iter()
                .take(MAX_VIOLATIONS_SHOWN)
                .cloned()
                .collect::<Vec<_>>();
            format!("BROKEN in {} cases: {}", cases.len(), shown.join("; "))
        }
    }
}
