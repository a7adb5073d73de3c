//! Settings of a process, read from a file and flags; all findings are reported together.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The settings of a process, read from a JSON file (`--startup`) and flags. A flag
/// overrides the file. All errors are reported together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Startup {
    /// Address on which this process listens for peers.
    pub mesh: Option<SocketAddr>,
    /// Address on which this process listens for clients, operators and the platform.
    pub http: Option<SocketAddr>,
    /// Zone of this machine.
    pub zone: String,
    /// Region of this machine: the zones of one region are near each other.
    pub region: String,
    /// Edges: the ring within which cached responses are shared. `None`: the region.
    pub ring: Option<String>,
    /// Edges: relative capacity of this machine (default 1), by which assignments are
    /// distributed.
    pub strength: Option<u32>,
    /// Edges: serves no clients, so `http` is not required; owns cache partitions and
    /// admission controllers for the other edges.
    pub shield: bool,
    /// Number of retries that a service may get in ten seconds, in addition to a fifth of
    /// its first attempts (default 3).
    pub extra_tries: Option<u32>,
    /// Address on which the platform checks readiness for clients, if not `http`.
    pub ready: Option<SocketAddr>,
    /// Memory limit of this process, in bytes, from which other sizes are derived.
    pub memory_bytes: Option<u64>,
    /// Bandwidth of the machine's link, in megabits per second: responses are paced to a
    /// fraction of it. `None`: no pacing.
    pub link_mbps: Option<f64>,
    /// Maximum number of file descriptors of this process.
    pub descriptors: Option<u64>,
    /// Addresses of the initial control nodes. Without `gather_ms`, the three that hold
    /// the slots, in slot order; with it, one to three control nodes from which the
    /// membership table is requested.
    pub seeds: Vec<SocketAddr>,
    /// True only when the complete fleet starts for the first time, with empty disks.
    /// Used only by control nodes with `gather_ms`.
    pub founding: bool,
    /// Replaces `founding` when operators found the fleet again after every disk and
    /// every edge was lost: operations of the earlier fleet may still be repeated, so
    /// the ledger stays closed.
    pub refounding: bool,
    /// Time, in milliseconds, for which the first seed collects founding control nodes
    /// before it fixes the membership table. At edges, any value means that the seeds
    /// are not the membership table.
    pub gather_ms: Option<u64>,
    /// Control nodes: number of members that may be lost permanently at the same time.
    /// If the remaining ones are no majority, empty nodes replace the lost members
    /// (default 0: never).
    pub tolerated_losses: Option<u32>,
    /// Control nodes: folder of the data.
    pub data: Option<PathBuf>,
    /// Grace period in milliseconds: a process exits at the latest this long after it was
    /// requested to shut down.
    pub grace_ms: Option<u64>,
    /// Retention of operation outcomes in milliseconds (default 180 s): the time in which
    /// a client may repeat an operation. Memory of control nodes and edges grows with it.
    pub operation_retention_ms: Option<u64>,
    /// Edges: maximum memory for cached responses, in bytes.
    pub cache_bytes: Option<u64>,
    /// Log level: error, warn, info or debug.
    pub log: Option<String>,
}

/// The flags that set one field each, in the order in which they are read.
const FLAGS: [&str; 12] = [
    "--mesh",
    "--http",
    "--zone",
    "--seeds",
    "--gather-ms",
    "--founding",
    "--refounding",
    "--data",
    "--shield",
    "--grace-ms",
    "--cache-bytes",
    "--log",
];
/// Default of `grace_ms`.
const DEFAULT_GRACE_MS: u64 = 20_000;

/// Reasons why the logger could not be installed.
#[derive(Debug, thiserror::Error)]
pub enum LoggerError {
    /// The settings name an unknown level.
    #[error("no such log level")]
    Level(#[from] log::ParseLevelError),
    /// The process has a logger already.
    #[error("a logger is already installed")]
    AlreadySet(#[from] log::SetLoggerError),
}

fn read_json(path: &Path) -> Result<Startup, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// Prints help or version and exits the program, if a flag requests it.
pub fn help_or_version(program: &str, flags: &mut pico_args::Arguments, help: &str) {
    if flags.contains(["-h", "--help"]) {
        println!("{help}");
        std::process::exit(0);
    }
    if flags.contains(["-V", "--version"]) {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        std::process::exit(0);
    }
}

impl Startup {
    /// Reads the settings of `program` from its flags and file. Prints help, version
    /// or findings and exits the program if there are any to print.
    pub fn load(program: &str, about: &str, has_disk: bool) -> Startup {
        let mut flags = pico_args::Arguments::from_env();
        help_or_version(
            program,
            &mut flags,
            &Startup::help(program, about, has_disk),
        );
        Startup::read(flags, has_disk)
            .unwrap_or_else(|findings| exit_with_findings(program, &findings))
    }

    fn help(program: &str, about: &str, has_disk: bool) -> String {
        let mut text = format!(
            "{program}: {about}\n\nUsage: {program} [--startup FILE] [flags]\n\n\
             --startup FILE   JSON with the fields named below; flags override it\n\
             --mesh IP:PORT   where other nodes reach this one\n\
             --http IP:PORT   where HTTP clients reach this one\n\
             --zone NAME      zone of this machine\n\
             --seeds A,B,C    mesh addresses of the three control nodes, by slot\n\
             --gather-ms N    one to three seeds, which report who holds the slots; the first\n\
             \x20                one collects founding control nodes for N milliseconds\n"
        );
        if has_disk {
            text += "--founding true  the whole fleet starts for the first time, with empty disks\n\
                     --refounding true  instead: the fleet is founded again after all data was lost\n\
                     --data DIR       the data folder\n\nA node whose --mesh is a seed address holds the slot of that seed. Any other node,\nwith an empty folder, waits for a lost slot and takes it over.\n\n";
        } else {
            text += "--cache-bytes N  memory for cached responses (default 268435456)\n\
                     --shield true    instead of --http: owns cache partitions and admission for other edges\n";
        }
        text + "--grace-ms N     longest time from SIGTERM to the end (default 20000)\n\
                --log LEVEL      error, warn, info or debug (default info)\n\
                --help, --version"
    }

    fn read(mut flags: pico_args::Arguments, has_disk: bool) -> Result<Startup, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut startup = Startup::from_file(&mut flags, &mut findings);
        for flag in FLAGS {
            let set = match flags.opt_value_from_str::<_, String>(flag) {
                Ok(None) => Ok(()),
                Ok(Some(text)) => startup
                    .set(flag, &text)
                    .map_err(|error| format!("{text}: {error}")),
                Err(error) => Err(error.to_string()),
            };
            findings.extend(set.err().map(|error| Finding::new(flag, error)));
        }
        for unknown in flags.finish() {
            findings.push(Finding::new(unknown.to_string_lossy(), "unknown flag"));
        }
        findings.extend(startup.findings(has_disk));
        if findings.is_empty() {
            Ok(startup)
        } else {
            Err(findings)
        }
    }

    /// Reads the file that `--startup` names; returns the defaults without one.
    fn from_file(flags: &mut pico_args::Arguments, findings: &mut Vec<Finding>) -> Startup {
        let read = match flags.opt_value_from_str::<_, PathBuf>("--startup") {
            Ok(None) => return Startup::default(),
            Ok(Some(path)) => {
                read_json(&path).map_err(|error| Finding::new(path.display().to_string(), error))
            }
            Err(error) => Err(Finding::new("--startup", error.to_string())),
        };
        read.unwrap_or_else(|finding| {
            findings.push(finding);
            Startup::default()
        })
    }

    /// Sets the field of one of [`FLAGS`].
    fn set(&mut self, flag: &str, text: &str) -> Result<(), Box<dyn std::error::Error>> {
        match flag {
            "--mesh" => self.mesh = Some(text.parse()?),
            "--http" => self.http = Some(text.parse()?),
            "--zone" => self.zone = text.into(),
            "--seeds" => {
                let seeds = text.split(',').map(str::parse);
                self.seeds = seeds.collect::<Result<_, _>>()?;
            }
            "--gather-ms" => self.gather_ms = Some(text.parse()?),
            "--founding" => self.founding = text.parse()?,
            "--refounding" => self.refounding = text.parse()?,
            "--data" => self.data = Some(text.into()),
            "--shield" => self.shield = text.parse()?,
            "--grace-ms" => self.grace_ms = Some(text.parse()?),
            "--cache-bytes" => self.cache_bytes = Some(text.parse()?),
            "--log" => self.log = Some(text.into()),
            unknown => unreachable!("{unknown} is not among the flags"),
        }
        Ok(())
    }

    fn findings(&self, has_disk: bool) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut report_if = |invalid: bool, place: &str, text: &str| {
            if invalid {
                findings.push(Finding::new(place, text));
            }
        };
        report_if(self.mesh.is_none(), "mesh", "is needed");
        report_if(self.http.is_none() && !self.shield, "http", "is needed");
        report_if(
            self.shield && (self.http.is_some() || has_disk),
            "shield",
            "is for edges without http",
        );
        report_if(self.zone.is_empty(), "zone", "is needed");
        let distinct_seeds: BTreeSet<_> = self.seeds.iter().collect();
        let few_are_valid = self.gather_ms.is_some() && (1..=3).contains(&self.seeds.len());
        report_if(
            !few_are_valid && self.seeds.len() != 3 || distinct_seeds.len() != self.seeds.len(),
            "seeds",
            "must be three unlike addresses (or one to three with gather_ms)",
        );
        report_if(
            self.founding && self.refounding,
            "refounding",
            "must be false where founding is true",
        );
        let level = self.log.as_deref().unwrap_or("info");
        report_if(
            level.parse::<log::LevelFilter>().is_err(),
            "log",
            "no such level",
        );
        if has_disk {
            report_if(self.data.is_none(), "data", "is needed");
        }
        findings
    }

    /// Returns the time for which founding control nodes are collected; `None` if the
    /// seeds are the membership table.
    pub fn gather_duration(&self) -> Option<Duration> {
        self.gather_ms.map(Duration::from_millis)
    }

    /// Returns the location and capacity of this process.
    pub fn locality(&self) -> Locality {
        let ring = self.ring.clone().unwrap_or_else(|| self.region.clone());
        Locality {
            zone: self.zone.clone(),
            region: self.region.clone(),
            ring,
            weight: self.strength.unwrap_or(1),
        }
    }

    /// Returns the maximum time from the shutdown request to the exit.
    pub fn grace_period(&self) -> Duration {
        Duration::from_millis(self.grace_ms.unwrap_or(DEFAULT_GRACE_MS))
    }

    /// Returns the retention of operation outcomes.
    pub fn operation_retention(&self) -> Duration {
        self.operation_retention_ms
            .map_or(lease::OPERATION_RETENTION, Duration::from_millis)
    }

    /// Installs the logger, which writes one line per event to standard error.
    pub fn log(&self) -> Result<(), LoggerError> {
        let level = self
            .log
            .as_deref()
            .unwrap_or("info")
            .parse::<log::LevelFilter>()?;
        let started_at = Instant::now();
        fern::Dispatch::new()
            .format(move |out, text, record| {
                out.finish(format_args!(
                    "{:9.3} {:5} {text}",
                    started_at.elapsed().as_secs_f64(),
                    record.level()
                ))
            })
            .level(log::LevelFilter::Warn)
            .level_for("kernel", level)
            .chain(std::io::stderr())
            .apply()?;
        Ok(())
    }
}
