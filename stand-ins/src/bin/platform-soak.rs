//! Runs the soak test of a fleet of `platform-node` processes; see
//! `stand_ins::platform_soak`.
use stand_ins::platform_soak::{self, FleetShape, PlatformSoakPlan, Scenario};
use stand_ins::prelude::*;

const HELP: &str = "runs a soak test of a fleet of platform-node processes on loopback under planned maintenance and faults

--seeds N       number of runs, one after the other (default 1)
--first N       the first seed (default 1)
--seconds N     duration of each run (default 20)
--shape NAME    small, narrow, hotels or vans (default small)
--quiet 1       baseline run without restarts, releases and faults, for comparison
--keep 1        also keeps the folder of a run without a violation
--folder DIR    folder for settings, data and logs, with a subfolder for each seed; must not exist

Seeds: 1, 5, 9 ... restart edges and control nodes in turn; 2, 6 ... replace control nodes; 3, 7 ... kill and
suspend nodes; 4, 8 ... restart only edges in turn. Exit code 1 if a rule is violated; logs and report.txt of
a run with a violation are kept.";

fn main() -> Result<()> {
    let mut flags = Flags::from_command_line("platform-soak", HELP);
    let seeds = flags.value("--seeds", Some(1u64)).unwrap_or(1);
    let first = flags.value("--first", Some(1u64)).unwrap_or(1);
    let seconds = flags.value("--seconds", Some(20u64)).unwrap_or(20);
    let shape = flags.value::<String>("--shape", Some("small".into()));
    let quiet = flags.value("--quiet", Some(0u8)).unwrap_or(0) == 1;
    let keeps = flags.value("--keep", Some(0u8)).unwrap_or(0) == 1;
    let folder = flags.value::<String>("--folder", None).map(PathBuf::from);
    if folder.as_ref().is_some_and(|folder| folder.exists()) {
        flags.add_finding("--folder", "exists already");
    }
    flags.finish();
    let folder = folder.context("folder")?;
    let shape = FleetShape::find(&shape.unwrap_or_default())?;
    let mut broken = 0;
    for seed in first..first + seeds {
        let scenario = if quiet {
            Scenario::Quiet
        } else {
            Scenario::of_seed(seed)
        };
        let plan = PlatformSoakPlan {
            seed,
            scenario,
            shape: shape.clone(),
            span: Duration::from_secs(seconds),
            program: std::env::current_exe()?.with_file_name("platform-node"),
            folder: folder.join(format!("seed-{seed}")),
        };
        let run_folder = plan.folder.clone();
        let verdict = platform_soak::run(plan)?;
        println!("seed {seed} {scenario:?}: {}", verdict.summary());
        for violation in verdict.violations.iter().take(6) {
            println!("  {}: {}", violation.rule, violation.text);
        }
        if !verdict.violations.is_empty() {
            broken += 1;
        } else if !keeps {
            fs::remove_dir_all(run_folder)?;
        }
    }
    println!("{broken} of {seeds} seeds broke a rule");
    std::process::exit(i32::from(broken > 0));
}
