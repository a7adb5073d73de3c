//! Soak test of a fleet of `platform-node` processes with overlapping planned
//! work and faults and with keep-alive clients. Checks the users' rules from
//! outside the processes.
//!
//! Edges and control nodes are processes on loopback, and each machine has its
//! own address. The platform's list, origins, operators and clients are threads
//! of this process.
mod balancer;
pub(crate) mod http_message;
mod instance_list;
mod keep_alive_client;
mod machines;
mod observations;
mod operators;
mod origin_pool;
mod quiet_fleet;
mod routes;
mod series;
mod shape;
mod verdict;

use crate::prelude::*;
use balancer::Balancer;
use instance_list::InstanceList;
use keep_alive_client::{ClientContext, KeepAliveClient};
pub use machines::ProcessRole;
use machines::{Machines, network_of_run};
pub use observations::*;
use operators::Operators;
use origin_pool::OriginPool;
pub use quiet_fleet::QuietFleet;
use routes::RouteBook;
pub use series::Scenario;
use series::ScenarioRunner;
pub use shape::{FleetShape, RuleBounds};
use std::net::{IpAddr, Ipv4Addr};
pub use verdict::{PlatformVerdict, Violation};

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct PlatformSoakPlan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Planned work and faults in addition to traffic and changes.
    pub scenario: Scenario,
    /// Size of the fleet.
    pub shape: FleetShape,
    /// Duration of clients, changes and the scenario.
    pub span: Duration,
    /// Path of the program `platform-node`.
    pub program: PathBuf,
    /// Folder for settings, data and logs, which is created.
    pub folder: PathBuf,
}

/// Maximum time from the first start until all edges are ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
/// Last byte of the address of the stand-ins on the run's network.
const STAND_IN_HOST: u8 = 2;

/// Running fleet with its stand-ins.
struct PlatformSoak {
    plan: PlatformSoakPlan,
    observations: Arc<Observations>,
    machines: Arc<Machines>,
    list: Arc<InstanceList>,
    origins: Arc<OriginPool>,
    balancer: Arc<Balancer>,
    routes: Arc<RouteBook>,
    operators: Arc<Operators>,
    stop: Arc<AtomicBool>,
}

/// Runs a plan once and checks the rules.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub fn run(plan: PlatformSoakPlan) -> Result<PlatformVerdict> {
    let soak = PlatformSoak::start_fleet(plan)?;
    soak.run_traffic();
    let read_back = soak.read_back();
    soak.machines.record_crashes();
    soak.machines.kill_all();
    let verdict = PlatformVerdict::of(
        &soak.plan.shape,
        soak.plan.scenario,
        &soak.observations,
        read_back.as_ref(),
    );
    soak.write_report(&verdict)?;
    Ok(verdict)
}

impl PlatformSoak {
    fn start_fleet(plan: PlatformSoakPlan) -> Result<PlatformSoak> {
        fs::create_dir_all(&plan.folder)?;
        let network = network_of_run(plan.seed);
        let stand_in = IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, STAND_IN_HOST));
        let stop = Arc::new(AtomicBool::new(false));
        let observations = Arc::new(Observations::default());
        let list = InstanceList::serve(SocketAddr::new(stand_in, 0), stop.clone())?;
        let origins = OriginPool::start(&plan.shape, list.clone(), observations.clone())?;
        let machines = Arc::new(Machines::new(
            &plan.shape,
            &plan.program,
            &plan.folder,
            network,
            list.address,
            observations.clone(),
        )?);
        let routes = Arc::new(RouteBook::new(&plan.shape));
        machines.start_all()?;
        let balancer = Balancer::start(&machines, plan.shape.machines, &stop);
        let operators = Arc::new(Operators {
            shape: plan.shape.clone(),
            machines: machines.clone(),
            observations: observations.clone(),
            routes: routes.clone(),
        });
        operators.send_initial_configuration(&mut SeededRandom::new(plan.seed))?;
        let all_ready = || balancer.ready_count() == plan.shape.machines;
        if !Fleet::wait_until(STARTUP_TIMEOUT, &mut { all_ready }) {
            bail!("{} edges are ready", balancer.ready_count());
        }
        Ok(PlatformSoak {
            plan,
            observations,
            machines,
            list,
            origins,
            balancer,
            routes,
            operators,
            stop,
        })
    }

    /// Runs clients, operators and the scenario for the span of the plan. They
    /// begin one contact window after the start, because the control nodes are
    /// not settled before that.
    fn run_traffic(&self) {
        let window = Duration::from_secs_f64(self.plan.shape.bounds.contact_window);
        thread::sleep(window);
        let mut threads = self.start_clients();
        threads.extend(self.start_operators());
        let scenario_runner = ScenarioRunner {
            shape: self.plan.shape.clone(),
            scenario: self.plan.scenario,
            seed: self.plan.seed,
            machines: self.machines.clone(),
            origins: self.origins.clone(),
            list: self.list.clone(),
            observations: self.observations.clone(),
            stop: self.stop.clone(),
        };
        threads.extend(scenario_runner.start());
        thread::sleep(self.plan.span);
        self.stop.store(true, Ordering::Release);
        for thread in threads {
            if thread.join().is_err() {
                eprintln!("a thread of the soak panicked");
            }
        }
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let context = Arc::new(ClientContext {
            machines: self.machines.clone(),
            balancer: self.balancer.clone(),
            routes: self.routes.clone(),
            observations: self.observations.clone(),
            stop: self.stop.clone(),
        });
        (0..self.plan.shape.clients)
            .map(|number| {
                let client = KeepAliveClient::new(context.clone(), self.plan.seed, number);
                thread::spawn(move || client.run())
            })
            .collect()
    }

    fn start_operators(&self) -> Vec<thread::JoinHandle<()>> {
        (0..operators::WORKERS)
            .map(|worker| {
                let (operators, stop) = (self.operators.clone(), self.stop.clone());
                let seed = self.plan.seed;
                thread::spawn(move || operators.run_worker(seed, worker, &stop))
            })
            .collect()
    }

    /// Reads the configuration at the end. The time limit covers a restart:
    /// `catch_up_s` and the contact window.
    fn read_back(&self) -> Option<serde_json::Value> {
        self.operators.read_back(Duration::from_secs(15))
    }

    fn write_report(&self, verdict: &PlatformVerdict) -> Result<()> {
        let mut lines = vec![verdict.summary()];
        for violation in &verdict.violations {
            lines.push(format!("{}: {}", violation.rule, violation.text));
        }
        for event in self.observations.process_events() {
            lines.push(format!("{event:?}"));
        }
        for departure in self.observations.departures() {
            lines.push(format!("{departure:?}"));
        }
        for fault in self.observations.list_faults() {
            lines.push(format!("list fault: {fault:?}"));
        }
        fs::write(self.plan.folder.join("report.txt"), lines.join("\n"))?;
        Ok(())
    }
}
