//! Soak test of a fleet of processes with random, overlapping faults and with
//! clients that disconnect early. Checks the rules from outside the processes.
//!
//! Control nodes and edges are separate processes on loopback; origins and
//! clients are threads of this process. Each origin is reached through a
//! `Relay`, which can drop traffic, reset connections and discard responses,
//! and which records the requests of edges and when they are cancelled. Edges
//! and control nodes are killed or suspended for a while.
mod disconnecting_client;
mod faults;
mod relay;
mod verdict;

use crate::fleet::free_address;
use crate::prelude::*;
pub use disconnecting_client::{ClientRequest, DisconnectMode, DisconnectingClient, RequestKind};
pub use faults::{FaultPlan, SoakFault};
pub use relay::{ForwardedRequest, Relay, RelayMode};
pub use verdict::SoakVerdict;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Duration of clients and faults.
    pub span: Duration,
    /// Folder for data, logs and records.
    pub folder: PathBuf,
}

/// Number of concurrent client threads.
const CLIENTS: usize = 12;
/// Processing time of an origin call, long enough for clients to disconnect
/// during it.
const PROCESSING_TIME: Duration = Duration::from_millis(150);
/// Maximum time until nodes are ready after the first start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after the last fault in which remaining work has to end.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Fleet under test with its stand-ins.
pub struct Soak {
    plan: SoakPlan,
    fleet: Fleet,
    relays: Vec<Arc<Relay>>,
    origins: Vec<Arc<StandInOrigin>>,
    stop: Arc<AtomicBool>,
    /// Intervals in which nodes were suspended or down.
    downtimes: Vec<Downtime>,
}

/// Interval in which a node could not detect that a client disconnected.
#[derive(Debug, Clone)]
pub struct Downtime {
    /// HTTP address of the node.
    pub edge: SocketAddr,
    /// Start of the interval, in seconds as returned by `wall`.
    pub from: f64,
    /// End of the interval, in seconds; `f64::MAX` while the node is still
    /// down.
    pub to: f64,
}

impl Soak {
    /// Runs the plan once: starts the fleet, injects faults and checks the
    /// rules.
    pub fn run(plan: SoakPlan) -> Result<SoakVerdict> {
        let mut soak = Soak::start_fleet(plan)?;
        let requests = soak.run_traffic()?;
        thread::sleep(SETTLE_TIME);
        let verdict = soak.check(requests);
        soak.stop.store(true, Ordering::Release);
        soak.fleet.stop_all();
        verdict
    }

    fn start_fleet(plan: SoakPlan) -> Result<Soak> {
        let deployment = Deployment::find("small").context("deployment")?;
        let mut fleet = Fleet::plan(&deployment, &plan.folder)?;
        let stop = Arc::new(AtomicBool::new(false));
        let (mut relays, mut origins) = (Vec::new(), Vec::new());
        for node in &mut fleet.origins {
            let relay = Relay::new(free_address()?, stop.clone())?;
            let instance = node.name.trim_start_matches("origin-").to_string();
            let key = Deployment::signing_key(&node.zone);
            let mut origin = StandInOrigin::new(node.http, &node.zone, &instance, key);
            origin.delay = PROCESSING_TIME;
            origin.content = Some(plan.folder.join("content-version"));
            let origin = Arc::new(origin);
            origin.serve(stop.clone())?;
            relay.forward_to(node.http);
            // The platform lists the relay's address.
            node.http = relay.address();
            relays.push(relay);
            origins.push(origin);
        }
        fleet.start_nodes()?;
        fleet.wait_for_control(STARTUP_TIMEOUT)?;
        fleet.put_origins(&[])?;
        let (status, body) =
            fleet.request_as_operator("PUT", "configuration", &deployment.document(&[1]), None)?;
        if status != 200 {
            bail!("configuration: {status} {body}");
        }
        fleet.open_ledger()?;
        fleet.wait_for_edges(STARTUP_TIMEOUT)?;
        Ok(Soak {
            plan,
            fleet,
            relays,
            origins,
            stop,
            downtimes: Vec::new(),
        })
    }

    /// Runs clients while faults start and end.
    fn run_traffic(&mut self) -> Result<Vec<ClientRequest>> {
        let edges: Vec<SocketAddr> = self.fleet.edges.iter().map(|node| node.http).collect();
        let clients: Vec<_> = (0..CLIENTS)
            .map(|worker| {
                let client = DisconnectingClient::new(self.plan.seed, worker, edges.clone());
                let (stop, span) = (self.stop.clone(), self.plan.span);
                thread::spawn(move || client.run(span, &stop))
            })
            .collect();
        let faults = FaultPlan::draw(self.plan.seed, self.plan.span, &self.fleet);
        self.inject_faults(faults)?;
        let ended = clients.into_iter().map(|client| client.join());
        let lists: std::result::Result<Vec<Vec<ClientRequest>>, _> = ended.collect();
        let lists = lists.map_err(|_| anyhow!("a client thread panicked"))?;
        Ok(lists.into_iter().flatten().collect())
    }

    fn inject_faults(&mut self, plan: FaultPlan) -> Result<()> {
        let started_at = Instant::now();
        for step in plan.steps {
            thread::sleep(step.at.saturating_sub(started_at.elapsed()));
            println!("{:6.2} s  {step}", started_at.elapsed().as_secs_f64());
            self.apply(&step.fault, step.starts)?;
        }
        thread::sleep(self.plan.span.saturating_sub(started_at.elapsed()));
        Ok(())
    }

    fn apply(&mut self, fault: &SoakFault, starts: bool) -> Result<()> {
        match fault {
            SoakFault::KillEdge(at) => self.kill(false, *at, starts)?,
            SoakFault::KillControl(at) => self.kill(true, *at, starts)?,
            SoakFault::PauseEdge(at) => self.pause(false, *at, starts),
            SoakFault::PauseControl(at) => self.pause(true, *at, starts),
            SoakFault::Relay(at, mode) => {
                let mode = if starts { *mode } else { RelayMode::Pass };
                self.relays[*at].set_mode(mode);
            }
            SoakFault::Origin(at, fault) => {
                let fault = if starts { fault } else { "" };
                let mut origin_fault = self.origins[*at].fault.lock().expect("no holder panics");
                *origin_fault = fault.into();
            }
        }
        Ok(())
    }

    fn node(&mut self, control: bool, at: usize) -> &mut Node {
        if control {
            &mut self.fleet.control[at]
        } else {
            &mut self.fleet.edges[at]
        }
    }

    fn kill(&mut self, control: bool, at: usize, starts: bool) -> Result<()> {
        let folder = self.plan.folder.clone();
        let node = self.node(control, at);
        if starts {
            node.kill();
        } else {
            Fleet::start(&folder, node)?;
        }
        let address = node.http;
        self.record_downtime(address, starts);
        Ok(())
    }

    fn pause(&mut self, control: bool, at: usize, starts: bool) {
        let node = self.node(control, at);
        node.signal(if starts { "-STOP" } else { "-CONT" });
        let address = node.http;
        self.record_downtime(address, starts);
    }

    fn record_downtime(&mut self, edge: SocketAddr, starts: bool) {
        let at = wall();
        if starts {
            let (from, to) = (at, f64::MAX);
            self.downtimes.push(Downtime { edge, from, to });
        } else if let Some(last) = self
            .downtimes
            .iter_mut()
            .rfind(|downtime| downtime.edge == edge)
        {
            last.to = at;
        }
    }

    fn check(&self, requests: Vec<ClientRequest>) -> Result<SoakVerdict> {
        let forwarded_requests = self
            .relays
            .iter()
            .flat_map(|relay| relay.forwarded_requests());
        let mut verdict = SoakVerdict::of(
            &requests,
            &forwarded_requests.collect::<Vec<_>>(),
            &self.downtimes,
        );
        verdict.count_reports(&self.plan.folder)?;
        let (status, state) = self.fleet.request_as_operator("GET", "state", "", None)?;
        if status == 200 {
            verdict.count_usage(&state);
        }
        Ok(verdict)
    }
}
