//! A fleet of real processes under random, overlapping troubles, with callers
//! that leave early, judged from outside.
//!
//! Control nodes and edges are processes of their own on loopback; origins and
//! callers run here. Each origin is reached through a `Relay`, which can cut it
//! off, reset it and lose its answers, and which sees what edges send and when
//! they give up. Edges and control nodes are killed and stopped for a while.
mod disconnecting_client;
mod faults;
mod relay;
mod verdict;

use crate::fleet::free_address;
use crate::prelude::*;
pub use disconnecting_client::{Departure, DisconnectingClient, Manner, RequestSort};
pub use faults::{FaultPlan, SoakFault};
pub use relay::{Passage, Relay, RelayMode};
pub use verdict::SoakVerdict;

/// What is to be played.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Of everything that is drawn.
    pub seed: u64,
    /// How long clients and faults go on.
    pub span: Duration,
    /// Takes data, logs and records.
    pub folder: PathBuf,
}

/// Callers that leave early or late, at once.
const LEAVERS: usize = 12;
/// Work of an origin on one call: long enough for callers to leave during it.
const WORK: Duration = Duration::from_millis(150);
/// Nodes are ready within this time at the first start.
const BRING_UP: Duration = Duration::from_secs(40);
/// After the troubles everything runs on for this long, to be seen to end.
const SETTLE: Duration = Duration::from_secs(3);

/// The fleet under soak, with what stands around it.
pub struct Soak {
    plan: SoakPlan,
    fleet: Fleet,
    relays: Vec<Arc<Relay>>,
    origins: Vec<Arc<StandInOrigin>>,
    stop: Arc<AtomicBool>,
    /// Edges that stood still or were away, and when.
    absences: Vec<Absence>,
}

/// A span in which a node could not see that a caller had left.
#[derive(Debug, Clone)]
pub struct Absence {
    /// Its HTTP address.
    pub edge: SocketAddr,
    /// Seconds, as `wall` tells them.
    pub from: f64,
    /// The largest number: it is still away.
    pub to: f64,
}

impl Soak {
    /// Plays the plan once: starts the fleet, troubles it, and judges.
    pub fn run(plan: SoakPlan) -> Result<SoakVerdict> {
        let mut soak = Soak::bring_up(plan)?;
        let departures = soak.play()?;
        thread::sleep(SETTLE);
        let verdict = soak.judge(departures);
        soak.stop.store(true, Ordering::Release);
        soak.fleet.stop_all();
        verdict
    }

    fn bring_up(plan: SoakPlan) -> Result<Soak> {
        let deployment = Deployment::find("small").context("deployment")?;
        let mut fleet = Fleet::plan(&deployment, &plan.folder)?;
        let stop = Arc::new(AtomicBool::new(false));
        let (mut relays, mut origins) = (Vec::new(), Vec::new());
        for node in &mut fleet.origins {
            let relay = Relay::new(free_address()?, stop.clone())?;
            let instance = node.name.trim_start_matches("origin-").to_string();
            let key = Deployment::key_of(&node.zone);
            let mut origin = StandInOrigin::new(node.http, &node.zone, &instance, key);
            origin.delay = WORK;
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
        fleet.wait_for_control(BRING_UP)?;
        fleet.put_origins(&[])?;
        let (status, body) =
            fleet.operate("PUT", "configuration", &deployment.document(&[1]), None)?;
        if status != 200 {
            bail!("configuration: {status} {body}");
        }
        fleet.open_ledger()?;
        fleet.wait_for_edges(BRING_UP)?;
        Ok(Soak {
            plan,
            fleet,
            relays,
            origins,
            stop,
            absences: Vec::new(),
        })
    }

    /// Callers come while troubles begin and end, up to three at a time.
    fn play(&mut self) -> Result<Vec<Departure>> {
        let edges: Vec<SocketAddr> = self.fleet.edges.iter().map(|node| node.http).collect();
        let leavers: Vec<_> = (0..LEAVERS)
            .map(|worker| {
                let disconnecting_client =
                    DisconnectingClient::new(self.plan.seed, worker, edges.clone());
                let (stop, span) = (self.stop.clone(), self.plan.span);
                thread::spawn(move || disconnecting_client.run(span, &stop))
            })
            .collect();
        let faults = FaultPlan::draw(self.plan.seed, self.plan.span, &self.fleet);
        self.fault(faults)?;
        let ended = leavers
            .into_iter()
            .map(|disconnecting_client| disconnecting_client.join());
        let lists: std::result::Result<Vec<Vec<Departure>>, _> = ended.collect();
        let lists = lists.map_err(|_| anyhow!("a caller's thread panicked"))?;
        Ok(lists.into_iter().flatten().collect())
    }

    fn fault(&mut self, plan: FaultPlan) -> Result<()> {
        let began = Instant::now();
        for step in plan.steps {
            thread::sleep(step.at.saturating_sub(began.elapsed()));
            println!("{:6.2} s  {step}", began.elapsed().as_secs_f64());
            self.apply(&step.fault, step.begins)?;
        }
        thread::sleep(self.plan.span.saturating_sub(began.elapsed()));
        Ok(())
    }

    fn apply(&mut self, fault: &SoakFault, begins: bool) -> Result<()> {
        match fault {
            SoakFault::KillEdge(at) => self.kill(false, *at, begins)?,
            SoakFault::KillControl(at) => self.kill(true, *at, begins)?,
            SoakFault::PauseEdge(at) => self.pause(false, *at, begins),
            SoakFault::PauseControl(at) => self.pause(true, *at, begins),
            SoakFault::Relay(at, mode) => {
                let mode = if begins { *mode } else { RelayMode::Pass };
                self.relays[*at].set_mode(mode);
            }
            SoakFault::Origin(at, fault) => {
                let fault = if begins { fault } else { "" };
                let mut set = self.origins[*at].fault.lock().expect("no holder panics");
                *set = fault.into();
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

    fn kill(&mut self, control: bool, at: usize, begins: bool) -> Result<()> {
        let folder = self.plan.folder.clone();
        let node = self.node(control, at);
        if begins {
            node.kill();
        } else {
            Fleet::start(&folder, node)?;
        }
        let address = node.http;
        self.note_absence(address, begins);
        Ok(())
    }

    fn pause(&mut self, control: bool, at: usize, begins: bool) {
        let node = self.node(control, at);
        node.signal(if begins { "-STOP" } else { "-CONT" });
        let address = node.http;
        self.note_absence(address, begins);
    }

    fn note_absence(&mut self, edge: SocketAddr, begins: bool) {
        let at = wall();
        if begins {
            let (from, to) = (at, f64::MAX);
            self.absences.push(Absence { edge, from, to });
        } else if let Some(last) = self.absences.iter_mut().rfind(|one| one.edge == edge) {
            last.to = at;
        }
    }

    fn judge(&self, departures: Vec<Departure>) -> Result<SoakVerdict> {
        let passages = self.relays.iter().flat_map(|relay| relay.passages());
        let mut verdict =
            SoakVerdict::of(&departures, &passages.collect::<Vec<_>>(), &self.absences);
        verdict.count_reports(&self.plan.folder)?;
        let (status, state) = self.fleet.operate("GET", "state", "", None)?;
        if status == 200 {
            verdict.count_usage(&state);
        }
        Ok(verdict)
    }
}
