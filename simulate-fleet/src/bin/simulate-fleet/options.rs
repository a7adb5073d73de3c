//! Parses and checks the command-line flags.
use simulate_fleet::prelude::*;

const HELP: &str = "simulates a fleet of the real state machines in virtual time

--deployment mombasa|trasa|small   (default small)
--edges N       number of edges (default: the deployment's)
--rate N        requests per second (default: the deployment's)
--seconds N     duration in virtual time (default 120: clients repeat operations up to 70 s later)
--seed N        the first seed (default 1)
--seeds N       number of seeds, which run one after the other (default 1)
--control N     number of control nodes (default 3; with any other number, the nodes
                found the membership table themselves)
--zones N       number of zones to which the nodes are assigned
--service-rate NAME=N   maximum calls per second to one origin of a service; for one service
--lost N --late N --doubled N   percentages of messages lost, delayed and duplicated, in the whole run
--faults none|random   (default random)
--script FILE   faults and changes with their times, see docs/simulator.md; instead of --faults
--drift N       maximum clock drift in parts per million (default 1000)
--shrink 1      shortens the schedule of a seed that violates a rule and prints it as a script
--trace 1       prints all events; 2: also messages between control nodes
--figures 1     prints only the measurements of docs/figures.md
--capacity A,B  prints only the tables of docs/CAPACITY.md, for these numbers of edges
                without clients (all: 16,64,256,1100) and --control nodes (default 12)

Prints the share of successful requests by rank, origin calls and their limits,
moved assignments, the longest gap without a success, violated rules, and the seed,
which reproduces the run. Exit code 1 if a rule is violated.";

/// Number of control nodes if the command line has none.
const DEFAULT_CONTROL_NODES: usize = 3;
/// Minimum duration of a run, in seconds.
const MIN_SECONDS: u64 = 20;
/// Maximum percentage of lost, duplicated or delayed messages.
const MAX_MESSAGE_FAULT_PERCENT: u64 = 90;
const ZONE_NAMES: [&str; 8] = [
    "zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6", "zone-7", "zone-8",
];

/// Action selected on the command line.
pub(crate) enum Options {
    /// Runs simulated fleets and checks the rules.
    Run(RunOptions),
    /// Prints the measurements of `docs/figures.md`.
    Figures,
    /// Prints the tables of `docs/CAPACITY.md`.
    Capacity {
        /// Number of edges of each measurement.
        sizes: Vec<usize>,
        control_nodes: usize,
    },
}

/// Options of simulated runs.
pub(crate) struct RunOptions {
    pub(crate) deployment: Deployment,
    pub(crate) control_nodes: usize,
    pub(crate) span: Duration,
    pub(crate) first_seed: u64,
    pub(crate) seeds: u64,
    pub(crate) schedule: ScheduleSource,
    pub(crate) message_faults: MessageFaults,
    /// Maximum clock drift, in parts per million.
    pub(crate) drift: u64,
    /// Shrinks the schedule of a seed that violated a rule.
    pub(crate) shrink: bool,
    /// Trace level. 1 prints events, 2 also messages between control nodes.
    pub(crate) trace: u8,
}

/// Source of the fault schedule of a run.
pub(crate) enum ScheduleSource {
    Empty,
    /// Random schedule from the run's seed.
    Random,
    /// Schedule read from a script file.
    Script(Vec<(Duration, Fault)>),
}

/// Percentages of messages that are lost, duplicated or delayed during the whole run.
#[derive(Clone, Copy)]
pub(crate) struct MessageFaults {
    pub(crate) lost: u64,
    pub(crate) doubled: u64,
    pub(crate) late: u64,
}

/// Flags that select the action, the deployment with its size, and the manner of the runs.
struct BasicFlags {
    deployment: String,
    seconds: u64,
    first_seed: u64,
    seeds: u64,
    /// Number of control nodes; none if the flag is missing.
    control_nodes: Option<usize>,
    edges: usize,
    rate: u64,
    faults: String,
    trace: u8,
    shrink: bool,
    drift: u64,
    capacity_sizes: String,
    figures: bool,
}

/// Further flags that change the deployment or its faults.
struct FleetFlags {
    zones: usize,
    service_rate: String,
    message_faults: MessageFaults,
    script: Option<String>,
}

impl Options {
    /// Parses the command line; exits the program if it is invalid.
    pub(crate) fn from_command_line() -> Options {
        let mut flags = Flags::from_command_line("simulate-fleet", HELP);
        let basic = BasicFlags::read(&mut flags);
        let deployment = basic.check(&mut flags);
        let fleet = FleetFlags::read(&mut flags);
        let deployment = fleet.check(&mut flags, &basic, deployment);
        let control_nodes = basic.control_nodes.unwrap_or(DEFAULT_CONTROL_NODES);
        let script = fleet
            .script
            .as_deref()
            .and_then(|path| read_script(&mut flags, path, &deployment, control_nodes));
        let sizes = read_sizes(&mut flags, &basic.capacity_sizes);
        flags.finish();
        if !sizes.is_empty() {
            let control_nodes = basic.control_nodes.unwrap_or(CAPACITY_CONTROL_NODES);
            return Options::Capacity {
                sizes,
                control_nodes,
            };
        }
        if basic.figures {
            return Options::Figures;
        }
        let schedule = match script {
            Some(schedule) => ScheduleSource::Script(schedule),
            None if basic.faults == "random" => ScheduleSource::Random,
            None => ScheduleSource::Empty,
        };
        Options::Run(RunOptions {
            deployment,
            control_nodes,
            span: Duration::from_secs(basic.seconds),
            first_seed: basic.first_seed,
            seeds: basic.seeds,
            schedule,
            message_faults: fleet.message_faults,
            drift: basic.drift,
            shrink: basic.shrink,
            trace: basic.trace,
        })
    }
}

impl BasicFlags {
    fn read(flags: &mut Flags) -> BasicFlags {
        BasicFlags {
            deployment: flags
                .value("--deployment", Some("small".to_string()))
                .unwrap_or_default(),
            seconds: flags.value("--seconds", Some(120)).unwrap_or(60),
            first_seed: flags.value("--seed", Some(1)).unwrap_or(1),
            seeds: flags.value("--seeds", Some(1)).unwrap_or(1),
            control_nodes: read_control_nodes(flags),
            edges: flags.value("--edges", Some(0)).unwrap_or(0),
            rate: flags.value("--rate", Some(0)).unwrap_or(0),
            faults: flags
                .value("--faults", Some("random".to_string()))
                .unwrap_or_default(),
            trace: flags.value("--trace", Some(0)).unwrap_or(0),
            shrink: flags.value("--shrink", Some(0u8)).unwrap_or(0) > 0,
            drift: flags.value("--drift", Some(1000)).unwrap_or(0),
            capacity_sizes: flags
                .value("--capacity", Some(String::new()))
                .unwrap_or_default(),
            figures: flags.value("--figures", Some(0u8)).unwrap_or(0) > 0,
        }
    }

    /// Checks the flags; returns the named deployment, or `small` if the name is unknown.
    fn check(&self, flags: &mut Flags) -> Deployment {
        let deployment = Deployment::find(&self.deployment);
        if deployment.is_none() {
            flags.add_finding("--deployment", "no such deployment");
        }
        if !["none", "random"].contains(&self.faults.as_str()) {
            flags.add_finding("--faults", "no such faults");
        }
        if self.seconds < MIN_SECONDS {
            flags.add_finding("--seconds", "at least 20");
        }
        deployment.unwrap_or_else(|| Deployment::find("small").expect("deployment exists"))
    }
}

impl FleetFlags {
    fn read(flags: &mut Flags) -> FleetFlags {
        FleetFlags {
            zones: flags.value("--zones", Some(0)).unwrap_or(0),
            service_rate: flags
                .value("--service-rate", Some(String::new()))
                .unwrap_or_default(),
            message_faults: MessageFaults {
                lost: flags.value("--lost", Some(0)).unwrap_or(0),
                doubled: flags.value("--doubled", Some(0)).unwrap_or(0),
                late: flags.value("--late", Some(0)).unwrap_or(0),
            },
            script: flags
                .value("--script", Some(String::new()))
                .filter(|path| !path.is_empty()),
        }
    }

    /// Checks the flags; returns the deployment with the sizes and rates that they set.
    fn check(
        &self,
        flags: &mut Flags,
        basic: &BasicFlags,
        mut deployment: Deployment,
    ) -> Deployment {
        if basic.edges > 0 {
            deployment.edges = basic.edges;
        }
        if basic.rate > 0 {
            deployment.rate = basic.rate;
        }
        if self.zones > 0 {
            deployment.zones = ZONE_NAMES[..self.zones.min(ZONE_NAMES.len())].to_vec();
        }
        let MessageFaults {
            lost,
            doubled,
            late,
        } = self.message_faults;
        if lost.max(doubled).max(late) > MAX_MESSAGE_FAULT_PERCENT {
            flags.add_finding("--lost, --doubled, --late", "at most 90 of a hundred");
        }
        if !self.service_rate.is_empty() && set_rate(&mut deployment, &self.service_rate).is_none()
        {
            flags.add_finding(
                "--service-rate",
                "must be a service of the deployment, = and a number",
            );
        }
        deployment
    }
}

/// Reads the number of control nodes; none if the flag is missing.
fn read_control_nodes(flags: &mut Flags) -> Option<usize> {
    let count = flags
        .value("--control", Some(0usize))
        .filter(|count| *count > 0)?;
    if !(1..=MAX_SLOTS).contains(&count) {
        flags.add_finding("--control", "1 to 16");
    }
    Some(count)
}

/// Sets the rate of a service from `NAME=N`; returns none if the service or the number is
/// invalid.
fn set_rate(deployment: &mut Deployment, text: &str) -> Option<()> {
    let (name, rate) = text.split_once('=')?;
    let rate = rate.parse::<f64>().ok()?;
    let service = deployment
        .services
        .iter_mut()
        .find(|service| service.name == name)?;
    service.rate = rate;
    Some(())
}

fn read_script(
    flags: &mut Flags,
    path: &str,
    deployment: &Deployment,
    control_nodes: usize,
) -> Option<Vec<(Duration, Fault)>> {
    let schedule = fs::read_to_string(path)
        .map_err(|error| vec![Finding::new("", error.to_string())])
        .and_then(|text| Script::read(&text, deployment, control_nodes));
    match schedule {
        Ok(schedule) => Some(schedule),
        Err(findings) => {
            for finding in findings {
                flags.add_finding(&format!("{path}{}", finding.place), &finding.text);
            }
            None
        }
    }
}

/// Parses the edge counts of `--capacity`; empty if the flag is missing.
fn read_sizes(flags: &mut Flags, text: &str) -> Vec<usize> {
    let sizes: Vec<usize> = if text == "all" {
        EDGE_COUNTS.to_vec()
    } else {
        text.split(',')
            .filter_map(|size| size.trim().parse().ok())
            .collect()
    };
    if !text.is_empty() && (sizes.is_empty() || sizes.contains(&0)) {
        flags.add_finding("--capacity", "all, or numbers of edges, as 16,64");
    }
    sizes
}
