//! A fleet of real `platform-node` processes under series of planned work and
//! troubles that overlap, with clients that keep their connections, judged from
//! outside by the users' rules.
//!
//! Edges and control nodes are processes on loopback, each machine at an address
//! of its own; the platform's list, origins, operators and clients run here.
mod balancer;
mod http_message;
mod instance_list;
mod kept_client;
mod machines;
mod observations;
mod operators;
mod origin_pool;
mod routes;
mod series;
mod shape;
mod verdict;

use crate::prelude::*;
use balancer::Balancer;
use instance_list::InstanceList;
use kept_client::{ClientContext, KeptClient};
use machines::{Machines, network_of_run};
pub use observations::*;
use operators::Operators;
use origin_pool::OriginPool;
use routes::RouteBook;
pub use series::Scenario;
use series::Series;
pub use shape::{FleetShape, RuleBounds};
use std::net::{IpAddr, Ipv4Addr};
pub use verdict::{PlatformVerdict, Violation};

/// What is to be played.
#[derive(Debug, Clone)]
pub struct PlatformSoakPlan {
    /// Of everything that is drawn.
    pub seed: u64,
    /// What happens beside traffic and changes.
    pub scenario: Scenario,
    /// The size of the fleet.
    pub shape: FleetShape,
    /// How long clients, changes and series go on.
    pub span: Duration,
    /// The program `platform-node`.
    pub program: PathBuf,
    /// Takes settings, data and logs; made new.
    pub folder: PathBuf,
}

/// All edges are ready within this time of the first start.
const BRING_UP: Duration = Duration::from_secs(60);
/// Stand-ins' address on the run's network.
const STAND_IN_HOST: u8 = 2;

/// A fleet that runs, with all that stands around it.
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

/// Plays a plan once and judges it.
///
/// # Errors
///
/// The fleet could not be brought up.
pub fn run(plan: PlatformSoakPlan) -> Result<PlatformVerdict> {
    let soak = PlatformSoak::bring_up(plan)?;
    soak.play();
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
    fn bring_up(plan: PlatformSoakPlan) -> Result<PlatformSoak> {
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
        operators.send_first(&mut SeededRandom::new(plan.seed))?;
        let all_ready = || balancer.ready_count() == plan.shape.machines;
        if !Fleet::wait(BRING_UP, &mut { all_ready }) {
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

    /// Clients, operators and series go on for the span. Starts are behind by
    /// the contact window: until then the core is not settled.
    fn play(&self) {
        let window = Duration::from_secs_f64(self.plan.shape.bounds.contact_window);
        thread::sleep(window);
        let mut threads = self.start_clients();
        threads.extend(self.start_operators());
        let series = Series {
            shape: self.plan.shape.clone(),
            scenario: self.plan.scenario,
            seed: self.plan.seed,
            machines: self.machines.clone(),
            origins: self.origins.clone(),
            list: self.list.clone(),
            observations: self.observations.clone(),
            stop: self.stop.clone(),
        };
        threads.extend(series.start());
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
                let client = KeptClient::new(context.clone(), self.plan.seed, number);
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

    /// The operator asks for as long as a return takes: `catch_up_s` and the
    /// contact window.
    fn read_back(&self) -> Option<serde_json::Value> {
        self.operators.read_back(Duration::from_secs(15))
    }

    fn write_report(&self, verdict: &PlatformVerdict) -> Result<()> {
        let mut lines = vec![verdict.summary()];
        for violation in &verdict.broken {
            lines.push(format!("{}: {}", violation.rule, violation.text));
        }
        for event in self.observations.process_events() {
            lines.push(format!("{event:?}"));
        }
        for departure in self.observations.departures() {
            lines.push(format!("{departure:?}"));
        }
        for trouble in self.observations.list_troubles() {
            lines.push(format!("list troubled: {trouble:?}"));
        }
        fs::write(self.plan.folder.join("report.txt"), lines.join("\n"))?;
        Ok(())
    }
}
