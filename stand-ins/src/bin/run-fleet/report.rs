//! Judges the record of a run and prints it.
use crate::Run;
use stand_ins::prelude::*;

impl Run {
    pub(crate) fn report(&self) -> Result<i32> {
        let checker = Checker::read(&self.fleet.folder, &self.deployment)?;
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
        let mut code = 0;
        for (at, (never, cases)) in checker.cases().into_iter().enumerate() {
            let text = match cases.verdict() {
                Verdict::NotExercised => "not exercised".to_string(),
                Verdict::Held(cases) => format!("held in {cases} cases"),
                Verdict::Broken(cases) => {
                    code = 1;
                    format!(
                        "BROKEN in {} cases: {}",
                        cases.len(),
                        cases.iter().take(3).cloned().collect::<Vec<_>>().join("; ")
                    )
                }
            };
            let worst = cases.worst.map(|(used, text)| {
                format!("; at most {:.0} % of the bound: {text}", used * 100.0)
            });
            println!("{:2}. {never}: {text}{}", at + 1, worst.unwrap_or_default());
        }
        Ok(code)
    }
}
