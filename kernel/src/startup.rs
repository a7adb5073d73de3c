//! Settings of a process: from a file and flags, all findings at once.
#[cfg(test)]
mod tests;

use crate::prelude::*;

/// The settings of a process. From a JSON file (`--startup`) and flags; a flag
/// goes first. Everything wrong is reported at once.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Startup {
    /// Where peers reach us.
    pub mesh: Option<SocketAddr>,
    /// Where callers, operators and the platform reach us.
    pub http: Option<SocketAddr>,
    /// The zone of this machine.
    pub zone: String,
    /// Zones of one region are near each other.
    pub region: String,
    /// Edges: whose copies are shared. None: those of the region.
    pub ring: Option<String>,
    /// Edges: what this machine can carry beside others (default 1): assignments go
    /// by it.
    pub strength: Option<u32>,
    /// Edges: no callers come here, so `http` is not needed; it owns copies and
    /// admission for the others.
    pub shield: bool,
    /// Extra tries that a service may get in ten seconds beside a fifth of the
    /// first ones (default 3).
    pub extra_tries: Option<u32>,
    /// Where the platform asks whether callers may come, if not at `http`.
    pub ready: Option<SocketAddr>,
    /// Memory this process may use; sizes follow from it.
    pub memory_bytes: Option<u64>,
    /// The machine's link, in megabits a second: answers are paced to a part of
    /// it. None: they are not paced.
    pub link_mbps: Option<f64>,
    /// Descriptors this process may open.
    pub descriptors: Option<u64>,
    /// Control nodes to begin with. Without `gather_ms` the three that hold the
    /// slots, in their order; with it one to three of them, and who holds the
    /// slots is asked there.
    pub seeds: Vec<SocketAddr>,
    /// True only when the whole fleet starts for the first time, with empty
    /// disks. Heeded by control nodes with `gather_ms` only.
    pub founding: bool,
    /// In place of `founding` when operators found the fleet again after every
    /// disk and every edge was lost: operations of the earlier fleet may still
    /// be repeated, so the ledger stays closed.
    pub refounding: bool,
    /// How long the first seed collects founding control nodes before it fixes
    /// the table of slots. Edges: that the seeds are not that table.
    pub gather_ms: Option<u64>,
    /// Control nodes: how many of them may be lost at once, for good. Where those left then make no majority, empty
    /// ones take the places of the lost (default 0: never).
    pub tolerated_losses: Option<u32>,
    /// Control nodes only.
    pub data: Option<PathBuf>,
    /// How long a warned process goes on before it ends regardless.
    pub grace_ms: Option<u64>,
    /// How long outcomes of operations are retained (default 180 s): as long as a
    /// repeat may come. Memory of control nodes and edges grows with it.
    pub operation_retention_ms: Option<u64>,
    /// Edges: memory for cached responses, in bytes.
    pub cache_bytes: Option<u64>,
    /// The log level: error, warn, info or debug.
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
/// The longest time from a warning to the end, if the settings give none.
const DEFAULT_GRACE_MS: u64 = 20_000;

/// Why nothing can be logged.
#[derive(Debug, thiserror::Error)]
pub enum LoggerError {
    /// The settings name a level that does not exist.
    #[error("no such log level")]
    Level(#[from] log::ParseLevelError),
    /// The process logs already.
    #[error("the process logs already")]
    AlreadySet(#[from] log::SetLoggerError),
}

fn read_json(path: &Path) -> Result<Startup, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    serde_json::from_str(&text).map_err(|error| error.to_string())
}

/// Prints help or version where that is asked for, and ends the program.
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
    /// Reads flags and file for `program`; prints help, version or findings
    /// and exits where that is all there is to do.
    pub fn gather(program: &str, about: &str, disk: bool) -> Startup {
        let mut flags = pico_args::Arguments::from_env();
        help_or_version(program, &mut flags, &Startup::help(program, about, disk));
        Startup::read(flags, disk).unwrap_or_else(|found| exit_with_findings(program, &found))
    }

    fn help(program: &str, about: &str, disk: bool) -> String {
        let mut text = format!(
            "{program}: {about}\n\nUsage: {program} [--startup FILE] [flags]\n\n\
             --startup FILE   JSON with the fields named below; flags go first\n\
             --mesh IP:PORT   where other nodes reach this one\n\
             --http IP:PORT   where HTTP callers reach this one\n\
             --zone NAME      zone of this machine\n\
             --seeds A,B,C    mesh addresses of the three control nodes, by slot\n\
             --gather-ms N    one to three seeds, who are asked who holds the slots; the first\n\
             \x20                one collects founding control nodes for so long\n"
        );
        if disk {
            text += "--founding true  the whole fleet starts for the first time, with empty disks\n\
                     --refounding true  instead: it is founded again after everything was lost\n\
                     --data DIR       the data folder\n\nThe node holds the slot whose seed address is its --mesh. One elsewhere, with an\nempty folder, waits for a lost slot and takes it.\n\n";
        } else {
            text += "--cache-bytes N  memory for copies (default 268435456)\n\
                     --shield true    instead of --http: owns copies and admission for other edges\n";
        }
        text + "--grace-ms N     longest time from SIGTERM to the end (default 20000)\n\
                --log LEVEL      error, warn, info or debug (default info)\n\
                --help, --version"
    }

    fn read(mut flags: pico_args::Arguments, disk: bool) -> Result<Startup, Vec<Finding>> {
        let mut found = Vec::new();
        let mut startup = Startup::from_file(&mut flags, &mut found);
        for flag in FLAGS {
            let set = match flags.opt_value_from_str::<_, String>(flag) {
                Ok(None) => Ok(()),
                Ok(Some(text)) => startup
                    .set(flag, &text)
                    .map_err(|error| format!("{text}: {error}")),
                Err(error) => Err(error.to_string()),
            };
            found.extend(set.err().map(|error| Finding::new(flag, error)));
        }
        for rest in flags.finish() {
            found.push(Finding::new(rest.to_string_lossy(), "unknown flag"));
        }
        found.extend(startup.findings(disk));
        if found.is_empty() {
            Ok(startup)
        } else {
            Err(found)
        }
    }

    /// The settings of the file that `--startup` names, or none.
    fn from_file(flags: &mut pico_args::Arguments, found: &mut Vec<Finding>) -> Startup {
        let read = match flags.opt_value_from_str::<_, PathBuf>("--startup") {
            Ok(None) => return Startup::default(),
            Ok(Some(path)) => {
                read_json(&path).map_err(|error| Finding::new(path.display().to_string(), error))
            }
            Err(error) => Err(Finding::new("--startup", error.to_string())),
        };
        read.unwrap_or_else(|finding| {
            found.push(finding);
            Startup::default()
        })
    }

    /// Sets what one of [`FLAGS`] stands for.
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

    fn findings(&self, disk: bool) -> Vec<Finding> {
        let mut found = Vec::new();
        let mut need = |bad: bool, place: &str, text: &str| {
            if bad {
                found.push(Finding::new(place, text));
            }
        };
        need(self.mesh.is_none(), "mesh", "is needed");
        need(self.http.is_none() && !self.shield, "http", "is needed");
        need(
            self.shield && (self.http.is_some() || disk),
            "shield",
            "is for edges without http",
        );
        need(self.zone.is_empty(), "zone", "is needed");
        let unlike: BTreeSet<_> = self.seeds.iter().collect();
        let few = self.gather_ms.is_some() && (1..=3).contains(&self.seeds.len());
        need(
            !few && self.seeds.len() != 3 || unlike.len() != self.seeds.len(),
            "seeds",
            "must be three unlike addresses (or one to three with gather_ms)",
        );
        need(
            self.founding && self.refounding,
            "refounding",
            "must be false where founding is true",
        );
        let level = self.log.as_deref().unwrap_or("info");
        need(
            level.parse::<log::LevelFilter>().is_err(),
            "log",
            "no such level",
        );
        if disk {
            need(self.data.is_none(), "data", "is needed");
        }
        found
    }

    /// How long founding control nodes are collected; none if the seeds are
    /// the table of slots.
    pub fn gather_span(&self) -> Option<Duration> {
        self.gather_ms.map(Duration::from_millis)
    }

    /// Where this process runs.
    pub fn locality(&self) -> Locality {
        let ring = self.ring.clone().unwrap_or_else(|| self.region.clone());
        Locality {
            zone: self.zone.clone(),
            region: self.region.clone(),
            ring,
            weight: self.strength.unwrap_or(1),
        }
    }

    /// The longest time from a warning to the end.
    pub fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms.unwrap_or(DEFAULT_GRACE_MS))
    }

    /// How long outcomes of operations are retained.
    pub fn operation_retention(&self) -> Duration {
        self.operation_retention_ms
            .map_or(lease::OPERATION_RETENTION, Duration::from_millis)
    }

    /// Logs to standard error, one event a line.
    pub fn log(&self) -> Result<(), LoggerError> {
        let level = self
            .log
            .as_deref()
            .unwrap_or("info")
            .parse::<log::LevelFilter>()?;
        let began = Instant::now();
        fern::Dispatch::new()
            .format(move |out, text, record| {
                out.finish(format_args!(
                    "{:9.3} {:5} {text}",
                    began.elapsed().as_secs_f64(),
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
