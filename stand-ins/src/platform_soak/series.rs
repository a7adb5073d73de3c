//! Series of planned work and troubles that overlap, drawn from the seed.
use super::instance_list::{InstanceList, ListMode};
use super::machines::{Machines, ProcessRole, ProcessSignal};
use super::observations::{Interval, Observations};
use super::origin_pool::OriginPool;
use super::shape::FleetShape;
use crate::prelude::*;

/// What a run contains beside traffic, changes and releases of origins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing but traffic and changes: the run that others are compared with.
    Quiet,
    /// Edges are rolled; the core stays settled.
    RolledEdges,
    /// Edges and control nodes are rolled.
    RolledFleet,
    /// Edges are rolled, and a control node is replaced by an empty one.
    ReplacedControl,
    /// Processes are killed and suspended, beside rolled edges.
    Troubled,
}

impl Scenario {
    /// The scenario of a seed.
    pub fn of_seed(seed: u64) -> Scenario {
        [
            Scenario::RolledEdges,
            Scenario::RolledFleet,
            Scenario::ReplacedControl,
            Scenario::Troubled,
        ][(seed % 4) as usize]
    }

    /// Whether all that happens is planned work.
    pub fn is_planned(self) -> bool {
        self != Scenario::Troubled
    }
}

/// Plays the series of one run.
pub(super) struct Series {
    /// The size of the fleet.
    pub(super) shape: FleetShape,
    /// What happens.
    pub(super) scenario: Scenario,
    /// Of everything that is drawn.
    pub(super) seed: u64,
    /// The processes.
    pub(super) machines: Arc<Machines>,
    /// The origins.
    pub(super) origins: Arc<OriginPool>,
    /// The platform's list.
    pub(super) list: Arc<InstanceList>,
    /// Takes what happens.
    pub(super) observations: Arc<Observations>,
    /// Ends the series.
    pub(super) stop: Arc<AtomicBool>,
}

/// What one thread of a series plays.
type Lane = Box<dyn FnOnce(&Series) + Send>;

const SLICE: Duration = Duration::from_millis(50);
/// Of a hundred seeds, in so many the list is slow or failing at times.
const LIST_TROUBLE_PERCENT: u64 = 40;

impl Series {
    /// Starts all lanes; they end, and are to be joined, once `stop` is set.
    pub(super) fn start(self) -> Vec<thread::JoinHandle<()>> {
        let series = Arc::new(self);
        let mut lanes: Vec<Lane> = Vec::new();
        if series.scenario != Scenario::Quiet {
            for lane in 0..series.shape.rolls_at_once {
                lanes.push(Box::new(move |series| series.roll_edges(lane)));
            }
            lanes.push(Box::new(Series::reload_settings));
            for service in 0..series.shape.services {
                lanes.push(Box::new(move |series| series.release_origins(service)));
            }
            if series.random(1).chance(LIST_TROUBLE_PERCENT) {
                lanes.push(Box::new(Series::trouble_list));
            }
        }
        match series.scenario {
            Scenario::RolledFleet => lanes.push(Box::new(Series::roll_control)),
            Scenario::ReplacedControl => lanes.push(Box::new(Series::replace_control)),
            Scenario::Troubled => lanes.push(Box::new(Series::trouble_processes)),
            Scenario::Quiet | Scenario::RolledEdges => {}
        }
        lanes
            .into_iter()
            .map(|lane| {
                let series = series.clone();
                thread::spawn(move || lane(&series))
            })
            .collect()
    }

    fn random(&self, lane: u64) -> SeededRandom {
        SeededRandom::new(self.seed ^ (lane << 40) ^ 0x5E1E)
    }

    fn has_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Waits, but not beyond the end of the run; false once that has come.
    fn wait(&self, span: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.has_stopped() {
            thread::sleep(SLICE.min(until.saturating_duration_since(Instant::now())));
        }
        !self.has_stopped()
    }

    fn wait_drawn(&self, random: &mut SeededRandom, min_ms: u64, drawn_ms: u64) -> bool {
        self.wait(Duration::from_millis(min_ms + random.below(drawn_ms)))
    }

    /// One edge after the other, each lane with edges of its own.
    fn roll_edges(&self, lane: usize) {
        let mut random = self.random(100 + lane as u64);
        let first = match self.scenario {
            // Control machines are rolled as a whole by a lane of their own.
            Scenario::RolledFleet => self.shape.control_machines,
            _ => 0,
        };
        let own: Vec<usize> = (first + lane..self.shape.machines)
            .step_by(self.shape.rolls_at_once)
            .collect();
        let mut at = random.below(own.len() as u64) as usize;
        while self.wait_drawn(&mut random, 300, 1_200) {
            self.restart(own[at % own.len()], ProcessRole::Edge, &mut random);
            at += 1;
        }
    }

    fn restart(&self, machine: usize, role: ProcessRole, random: &mut SeededRandom) {
        self.machines.stop(machine, role);
        thread::sleep(Duration::from_millis(200 + random.below(600)));
        if let Err(error) = self.machines.start(machine, role, false) {
            eprintln!("cannot start machine {machine}: {error:#}");
        }
    }

    /// Control nodes one after the other, with a pause in which the core settles.
    fn roll_control(&self) {
        let mut random = self.random(200);
        let mut machine = random.below(self.shape.control_machines as u64) as usize;
        while self.wait_drawn(&mut random, 1_000, 6_000) {
            self.restart(machine, ProcessRole::Control, &mut random);
            machine = (machine + 1) % self.shape.control_machines;
        }
    }

    /// An empty control node starts on another machine; then one is stopped.
    fn replace_control(&self) {
        let mut random = self.random(300);
        let mut successor = self.shape.control_machines;
        while self.wait_drawn(&mut random, 3_000, 3_000) && successor < self.shape.machines {
            let gone = self.machines.control_machines()
                [random.below(self.shape.control_machines as u64) as usize];
            self.machines.stop(gone, ProcessRole::Control);
            self.machines.replace_control_machine(gone, successor);
            if let Err(error) = self.machines.start(successor, ProcessRole::Control, false) {
                eprintln!("cannot start machine {successor}: {error:#}");
            }
            // `catch_up_s`, and some more.
            if !self.wait(Duration::from_secs(8)) {
                return;
            }
            successor += 1;
        }
    }

    fn reload_settings(&self) {
        let mut random = self.random(400);
        while self.wait_drawn(&mut random, 500, 3_000) {
            let machine = random.below(self.shape.machines as u64) as usize;
            self.machines
                .signal(machine, ProcessRole::Edge, ProcessSignal::Reload);
        }
    }

    fn release_origins(&self, service: usize) {
        let mut random = self.random(500 + service as u64);
        let lag_ms = (self.shape.bounds.list_lag * 1000.0) as u64;
        while self.wait_drawn(&mut random, 200, 800) {
            let lag_s = random.below(lag_ms) as f64 / 1000.0;
            let extra = Duration::from_millis(300 + random.below(1_500));
            if let Err(error) = self.origins.replace(service, lag_s, extra) {
                eprintln!("cannot replace an origin: {error:#}");
            }
        }
    }

    fn trouble_list(&self) {
        let mut random = self.random(600);
        while self.wait_drawn(&mut random, 3_000, 6_000) {
            let mode = [ListMode::Slow, ListMode::Failing][random.below(2) as usize];
            let from = wall();
            self.list.set_mode(mode);
            self.wait_drawn(&mut random, 500, 2_000);
            self.list.set_mode(ListMode::Sound);
            let to = wall();
            self.observations.add_list_trouble(Interval { from, to });
        }
    }

    /// Kills and suspends processes, one control node at a time at most.
    fn trouble_processes(&self) {
        let mut random = self.random(700);
        while self.wait_drawn(&mut random, 1_000, 4_000) {
            let (machine, role) = if random.chance(40) {
                let control = self.machines.control_machines();
                let at = random.below(control.len() as u64) as usize;
                (control[at], ProcessRole::Control)
            } else {
                let machine = random.below(self.shape.machines as u64) as usize;
                (machine, ProcessRole::Edge)
            };
            if random.chance(50) {
                self.kill_and_start(machine, role, &mut random);
            } else {
                self.suspend(machine, role, &mut random);
            }
        }
    }

    fn kill_and_start(&self, machine: usize, role: ProcessRole, random: &mut SeededRandom) {
        self.machines.signal(machine, role, ProcessSignal::Kill);
        self.machines.kill(machine, role);
        thread::sleep(Duration::from_millis(200 + random.below(1_000)));
        if let Err(error) = self.machines.start(machine, role, false) {
            eprintln!("cannot start machine {machine}: {error:#}");
        }
    }

    fn suspend(&self, machine: usize, role: ProcessRole, random: &mut SeededRandom) {
        self.machines.signal(machine, role, ProcessSignal::Suspend);
        thread::sleep(Duration::from_millis(300 + random.below(2_500)));
        self.machines.signal(machine, role, ProcessSignal::Continue);
    }
}
