//! Runs a fleet of processes with traffic and faults, and judges it.
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
    run.bring_up()?;
    if options.keep_up {
        run.wait_for_enter();
        return Ok(());
    }
    let mut callers = run.start_callers(options.seconds, options.seed)?;
    run.began = Instant::now();
    let watch = MarkerWatch::start(&run.fleet);
    match options.faults.as_str() {
        "script" => run.script()?,
        "power" => run.power_cut()?,
        "disks" => run.disks()?,
        "turn" => run.turn()?,
        "core" => run.core()?,
        _ => {}
    }
    let _ = callers.wait();
    watch.end();
    run.fleet.stop_all();
    std::process::exit(run.report()?);
}

/// A fleet of processes and what its operators know.
pub(crate) struct Run {
    pub(crate) fleet: Fleet,
    pub(crate) deployment: Deployment,
    /// Marker entries of the newest document.
    pub(crate) markers: Vec<u64>,
    /// Version and text of the document that was acknowledged last.
    pub(crate) acknowledged: Option<(u64, String)>,
    /// When traffic began.
    pub(crate) began: Instant,
}

impl Run {
    fn plan(options: &Options) -> Result<Run> {
        Ok(Run {
            fleet: Fleet::plan(&options.deployment, &options.folder)?,
            deployment: options.deployment.clone(),
            markers: vec![1],
            acknowledged: None,
            began: Instant::now(),
        })
    }

    /// Prints where the nodes listen and waits for a line of input.
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

    /// Seconds of traffic so far.
    pub(crate) fn at(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Sleeps until so many seconds of traffic.
    pub(crate) fn until(&self, second: u64) {
        thread::sleep(Duration::from_secs(second).saturating_sub(self.began.elapsed()));
    }
}
