//! Command-line flags of the fleet runner.
use stand_ins::prelude::*;

const HELP: &str = "starts a fleet on loopback, runs its traffic and faults, and checks the rules

--deployment mombasa|trasa|small   (default small)
--seconds N     duration of the traffic (default 60; the complete script needs 60)
--folder DIR    folder for data, logs and records; must not exist
--faults none|script|power|disks|turn|core   (default script)
                script: changes, races, purges, single kills and restarts
                power: all nodes killed at once and restarted
                disks: nodes suspended, one control disk removed, then all three
                turn: every node drained and restarted, one at a time
                core: some and then all control nodes suspended, an address reused by
                another service, a lost slot taken by an empty node at another address
--seed N        seed of the traffic (default 1)
--keep-up 1     keeps the fleet running until a line is read

Prints the verdict on each rule. Exit code 1 if a rule is violated.";

const FAULTS: [&str; 6] = ["none", "script", "power", "disks", "turn", "core"];

/// Options of the command line.
pub(crate) struct Options {
    pub(crate) deployment: Deployment,
    pub(crate) folder: PathBuf,
    /// Duration of traffic, in seconds.
    pub(crate) seconds: u64,
    /// Fault script, one of `FAULTS`.
    pub(crate) faults: String,
    /// Seed of the traffic.
    pub(crate) seed: u64,
    /// True if the fleet runs without traffic and faults until a line is read.
    pub(crate) keep_up: bool,
}

impl Options {
    /// Reads the command line; exits if it contains errors.
    pub(crate) fn from_command_line() -> Result<Options> {
        let mut flags = Flags::from_command_line("run-fleet", HELP);
        let name = flags
            .value("--deployment", Some("small".to_string()))
            .unwrap_or_default();
        let seconds = flags.value("--seconds", Some(60)).unwrap_or(60);
        let folder = flags.value::<String>("--folder", None).map(PathBuf::from);
        let faults = flags
            .value("--faults", Some("script".to_string()))
            .unwrap_or_default();
        let seed = flags.value("--seed", Some(1)).unwrap_or(1);
        let keep_up = flags.value("--keep-up", Some(0u8)).unwrap_or(0) > 0;
        let deployment = Deployment::find(&name);
        if deployment.is_none() {
            flags.add_finding("--deployment", "no such deployment");
        }
        if !FAULTS.contains(&faults.as_str()) {
            flags.add_finding("--faults", "no such faults");
        }
        if folder.as_ref().is_some_and(|folder| folder.exists()) {
            flags.add_finding("--folder", "exists already");
        }
        flags.finish();
        Ok(Options {
            deployment: deployment.context("deployment")?,
            folder: folder.context("folder")?,
            seconds,
            faults,
            seed,
            keep_up,
        })
    }
}
