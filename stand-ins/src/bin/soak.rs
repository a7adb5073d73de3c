//! Runs the soak test of a fleet of processes; see `stand_ins::soak`.
use stand_ins::prelude::*;
use stand_ins::soak::{Soak, SoakPlan, SoakVerdict};

const HELP: &str =
    "runs a soak test of a fleet of real processes on loopback under random, overlapping faults

--seeds N       number of runs, one after the other (default 1)
--first N       the first seed (default 1)
--seconds N     duration of each run (default 20)
--folder DIR    folder for data and logs, with a subfolder for each seed; must not exist

Clients disconnect in all ways while nodes are killed and suspended and the links to
origins are interrupted or reset or lose responses. Exit code 1 if work continues for
disconnected clients; the logs of a run with a violation are kept.";

fn main() -> Result<()> {
    let mut flags = Flags::from_command_line("soak", HELP);
    let seeds = flags.value("--seeds", Some(1u64)).unwrap_or(1);
    let first = flags.value("--first", Some(1u64)).unwrap_or(1);
    let seconds = flags.value("--seconds", Some(20u64)).unwrap_or(20);
    let folder = flags.value::<String>("--folder", None).map(PathBuf::from);
    if folder.as_ref().is_some_and(|folder| folder.exists()) {
        flags.add_finding("--folder", "exists already");
    }
    flags.finish();
    let folder = folder.context("folder")?;
    let mut total = SoakVerdict::default();
    for seed in first..first + seeds {
        let plan = SoakPlan {
            seed,
            span: Duration::from_secs(seconds),
            folder: folder.join(format!("seed-{seed}")),
        };
        let run_folder = plan.folder.clone();
        let verdict = Soak::run(plan)?;
        println!("seed {seed}: {verdict}");
        for line in verdict.violations.iter().take(10) {
            println!("  {line}");
        }
        if verdict.violations.is_empty() {
            fs::remove_dir_all(run_folder)?;
        }
        total.add(verdict);
    }
    println!("{seeds} seeds: {total}");
    std::process::exit(i32::from(!total.violations.is_empty()));
}
