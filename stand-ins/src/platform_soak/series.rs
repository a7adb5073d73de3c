//! Runs the scenario: overlapping planned work and faults, drawn from the seed.
use super::instance_list::{InstanceList, ListMode};
use super::machines::{Machines, ProcessRole, ProcessSignal};
use super::observations::{Interval, Observations};
use super::origin_pool::OriginPool;
use super::shape::FleetShape;
use crate::prelude::*;

/// Planned work and faults of a run, in addition to traffic and changes. All
/// scenarios except `Quiet` also replace origins, reload settings and, for some
/// seeds, make the platform's list slow or failing at times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Traffic and changes only; the baseline for the other scenarios.
    Quiet,
    /// Rolling restart of edges; the control nodes are not touched.
    RolledEdges,
    /// Rolling restart of edges and control nodes.
    RolledFleet,
    /// Rolling restart of edges, with control nodes replaced by empty ones.
    ReplacedControl,
    /// Rolling restart of edges, with processes killed and suspended.
    FaultInjection,
}

impl Scenario {
    /// Returns the scenario of a seed.
    pub fn of_seed(seed: u64) -> Scenario {
        [
            Scenario::RolledEdges,
            Scenario::RolledFleet,
            Scenario::ReplacedControl,
            Scenario::FaultInjection,
        ][(seed % 4) as usize]
    }

    /// Returns true if the scenario contains planned work only.
    pub fn is_planned(self) -> bool {
        self != Scenario::FaultInjection
    }
}

/// Runs the scenario of one run.
pub(super) struct ScenarioRunner {
    /// Size of the fleet.
    pub(super) shape: FleetShape,
    /// Scenario to run.
    pub(super) scenario: Scenario,
    /// Seed of all random numbers.
    pub(super) seed: u64,
    /// Processes of the fleet.
    pub(super) machines: Arc<Machines>,
    /// Origins of the run.
    pub(super) origins: Arc<OriginPool>,
    /// Platform's list of origins.
    pub(super) list: Arc<InstanceList>,
    /// Collects the events.
    pub(super) observations: Arc<Observations>,
    /// Stops the scenario when set.
    pub(super) stop: Arc<AtomicBool>,
}

/// Task of one thread of the scenario.
type Task = Box<dyn FnOnce(&ScenarioRunner) + Send>;

/// Interval at which waiting tasks check `stop`.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Percentage of seeds with a list that is slow or failing at times.
const LIST_FAULT_PERCENT: u64 = 40;

impl ScenarioRunner {
    /// Starts all tasks. They end once `stop` is set, and the caller joins
    /// them.
    pub(super) fn start(self) -> Vec<thread::JoinHandle<()>> {
        let runner = Arc::new(self);
        let mut tasks: Vec<Task> = Vec::new();
        if runner.scenario != Scenario::Quiet {
            for task_index in 0..runner.shape.rolls_at_once {
                tasks.push(Box::new(move |runner| runner.roll_edges(task_index)));
            }
            tasks.push(Box::new(ScenarioRunner::reload_settings));
            for service in 0..runner.shape.services {
                tasks.push(Box::new(move |runner| runner.release_origins(service)));
            }
            if runner.random(1).chance(LIST_FAULT_PERCENT) {
                tasks.push(Box::new(ScenarioRunner::inject_list_faults));
            }
        }
        match runner.scenario {
            Scenario::RolledFleet => tasks.push(Box::new(ScenarioRunner::roll_control)),
            Scenario::ReplacedControl => tasks.push(Box::new(ScenarioRunner::replace_control)),
            Scenario::FaultInjection => tasks.push(Box::new(ScenarioRunner::inject_process_faults)),
            Scenario::Quiet | Scenario::RolledEdges => {}
        }
        tasks
            .into_iter()
            .map(|task| {
                let runner = runner.clone();
                thread::spawn(move || task(&runner))
            })
            .collect()
    }

    fn random(&self, stream: u64) -> SeededRandom {
        SeededRandom::new(self.seed ^ (stream << 40) ^ 0x5E1E)
    }

    fn has_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Waits for the span or until the run ends; returns false if the run has
    /// ended.
    fn wait(&self, span: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.has_stopped() {
            thread::sleep(STOP_POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
        !self.has_stopped()
    }

    fn wait_random(&self, random: &mut SeededRandom, min_ms: u64, random_ms: u64) -> bool {
        self.wait(Duration::from_millis(min_ms + random.below(random_ms)))
    }

    /// Restarts edges one at a time; each task has its own edges.
    fn roll_edges(&self, task_index: usize) {
        let mut random = self.random(100 + task_index as u64);
        let first = match self.scenario {
            // On machines with a control process, `roll_control` restarts that
            // process instead of the edge.
            Scenario::RolledFleet => self.shape.control_machines,
            _ => 0,
        };
        let own_edges: Vec<usize> = (first + task_index..self.shape.machines)
            .step_by(self.shape.rolls_at_once)
            .collect();
        let mut at = random.below(own_edges.len() as u64) as usize;
        while self.wait_random(&mut random, 300, 1_200) {
            self.restart(
                own_edges[at % own_edges.len()],
                ProcessRole::Edge,
                &mut random,
            );
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

    /// Restarts control nodes one at a time, with a pause for the control nodes
    /// to settle.
    fn roll_control(&self) {
        let mut random = self.random(200);
        let mut machine = random.below(self.shape.control_machines as u64) as usize;
        while self.wait_random(&mut random, 1_000, 6_000) {
            self.restart(machine, ProcessRole::Control, &mut random);
            machine = (machine + 1) % self.shape.control_machines;
        }
    }

    /// Stops a control node and starts an empty one on another machine.
    fn replace_control(&self) {
        let mut random = self.random(300);
        let mut successor = self.shape.control_machines;
        while self.wait_random(&mut random, 3_000, 3_000) && successor < self.shape.machines {
            let replaced = self.machines.control_machines()
                [random.below(self.shape.control_machines as u64) as usize];
            self.machines.stop(replaced, ProcessRole::Control);
            self.machines.replace_control_machine(replaced, successor);
            if let Err(error) = self.machines.start(successor, ProcessRole::Control, false) {
                eprintln!("cannot start machine {successor}: {error:#}");
            }
            // `catch_up_s` with a margin.
            if !self.wait(Duration::from_secs(8)) {
                return;
            }
            successor += 1;
        }
    }

    fn reload_settings(&self) {
        let mut random = self.random(400);
        while self.wait_random(&mut random, 500, 3_000) {
            let machine = random.below(self.shape.machines as u64) as usize;
            self.machines
                .signal(machine, ProcessRole::Edge, ProcessSignal::Reload);
        }
    }

    fn release_origins(&self, service: usize) {
        let mut random = self.random(500 + service as u64);
        let lag_ms = (self.shape.bounds.list_lag * 1000.0) as u64;
        while self.wait_random(&mut random, 200, 800) {
            let lag_s = random.below(lag_ms) as f64 / 1000.0;
            let extra = Duration::from_millis(300 + random.below(1_500));
            if let Err(error) = self.origins.replace(service, lag_s, extra) {
                eprintln!("cannot replace an origin: {error:#}");
            }
        }
    }

    fn inject_list_faults(&self) {
        let mut random = self.random(600);
        while self.wait_random(&mut random, 3_000, 6_000) {
            let mode = [ListMode::Slow, ListMode::Failing][random.below(2) as usize];
            let from = wall();
            self.list.set_mode(mode);
            self.wait_random(&mut random, 500, 2_000);
            self.list.set_mode(ListMode::Healthy);
            let to = wall();
            self.observations.add_list_fault(Interval { from, to });
        }
    }

    /// Kills and suspends processes, at most one control node at a time.
    fn inject_process_faults(&self) {
        let mut random = self.random(700);
        while self.wait_random(&mut random, 1_000, 4_000) {
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
