//! Runs a fleet of processes with traffic and faults, and checks the rules.
mod faults;
mod markers;
mod operators;
mod options;
mod report;
mod scripts;
mod traffic;

use markers::MarkerWatch;
use options::Options;
use stand_ins::prelude::*;

fn main() -> Result<()> {
    let options = Options::from_command_line()?;
    let mut run = Run::plan(&options)?;
    run.start_fleet()?;
    if options.keep_up {
        run.wait_for_enter();
        return Ok(());
    }
    let mut clients = run.start_clients(options.seconds, options.seed)?;
    run.traffic_started_at = Instant::now();
    let watch = MarkerWatch::start(&run.fleet);
    match options.faults.as_str() {
        "script" => run.change_script()?,
        "power" => run.simulate_power_loss()?,
        "disks" => run.disk_losses()?,
        "turn" => run.rolling_restart()?,
        "core" => run.control_node_faults()?,
        _ => {}
    }
    let _ = clients.wait();
    watch.end();
    run.fleet.stop_all();
    std::process::exit(run.report()?);
}

/// Fleet of processes with the state of its operators.
pub(crate) struct Run {
    pub(crate) fleet: Fleet,
    pub(crate) deployment: Deployment,
    /// Marker entries of the newest document.
    pub(crate) markers: Vec<u64>,
    /// Version and text of the document that was acknowledged last.
    pub(crate) acknowledged: Option<(u64, String)>,
    /// Time at which traffic began.
    pub(crate) traffic_started_at: Instant,
}

impl Run {
    fn plan(options: &Options) -> Result<Run> {
        Ok(Run {
            fleet: Fleet::plan(&options.deployment, &options.folder)?,
            deployment: options.deployment.clone(),
            markers: vec![1],
            acknowledged: None,
            traffic_started_at: Instant::now(),
        })
    }

    /// Prints the addresses of the nodes and waits for a line of input.
    fn wait_for_enter(&self) {
        let addresses = |nodes: &[Node]| {
            let list: Vec<String> = nodes.iter().map(|node| node.http.to_string()).collect();
            list.join(",")
        };
        println!(
            "control {}\nedges {}\npress enter to end",
            addresses(&self.fleet.control),
            addresses(&self.fleet.edges)
        );
        let _ = std::io::stdin().read_line(&mut String::new());
    }

    /// Returns the seconds since traffic began.
    pub(crate) fn elapsed_s(&self) -> f64 {
        self.traffic_started_at.elapsed().as_secs_f64()
    }

    /// Sleeps until the given number of seconds after traffic began.
    pub(crate) fn sleep_until(&self, second: u64) {
        thread::sleep(
            Duration::from_secs(second).saturating_sub(self.traffic_started_at.elapsed()),
        );
    }
}
