//! Starts the fleet and its traffic.
use crate::Run;
use stand_ins::prelude::*;

/// Maximum time from the first start until nodes are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

impl Run {
    pub(crate) fn start_fleet(&mut self) -> Result<()> {
        self.fleet.start_all()?;
        self.fleet.wait_for_control(READY_LIMIT)?;
        self.fleet.put_origins(&[])?;
        self.configure(None)?;
        self.fleet.open_ledger()?;
        self.fleet.wait_for_edges(READY_LIMIT)?;
        // Time to grant assignments and check origins.
        thread::sleep(Duration::from_secs(2));
        println!(
            "started: {} control nodes, {} edges, {} origins",
            self.fleet.control.len(),
            self.fleet.edges.len(),
            self.fleet.origins.len()
        );
        Ok(())
    }

    pub(crate) fn start_clients(&self, seconds: u64, seed: u64) -> Result<Child> {
        let edges = self
            .fleet
            .edges
            .iter()
            .map(|node| (node.http, node.zone.clone()))
            .collect();
        let plan = CallerPlan {
            edges,
            rate: self.deployment.rate,
            seconds,
            seed,
            mix: self.deployment.mix.clone(),
        };
        let path = self.fleet.folder.join("callers.json");
        fs::write(&path, serde_json::to_string(&plan)?)?;
        let program = std::env::current_exe()?.with_file_name("stand-in-caller");
        let record = self.fleet.folder.join("callers.jsonl");
        Ok(Command::new(program)
            .arg("--plan")
            .arg(path)
            .arg("--record")
            .arg(record)
            .spawn()?)
    }
}
