//! Fault schedule: overlapping faults, drawn from a seed, all of which end
//! before the run does.
use super::RelayMode;
use crate::prelude::*;

/// Fault that lasts for a while.
#[derive(Debug, Clone, PartialEq)]
pub enum SoakFault {
    /// Kills an edge and restarts it.
    KillEdge(usize),
    /// Kills a control node and restarts it.
    KillControl(usize),
    /// Suspends an edge.
    PauseEdge(usize),
    /// Suspends a control node.
    PauseControl(usize),
    /// Sets the failure mode of the relay in front of an origin.
    Relay(usize, RelayMode),
    /// Sets a fault of an origin.
    Origin(usize, &'static str),
}

/// Start or end of a fault.
#[derive(Debug, Clone)]
pub struct FaultStep {
    /// Time since the start of the run.
    pub at: Duration,
    /// Fault that starts or ends.
    pub fault: SoakFault,
    /// True if the fault starts, false if it ends.
    pub starts: bool,
}

impl fmt::Display for FaultStep {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let transition = if self.starts { "starts" } else { "ends" };
        write!(out, "{:?} {transition}", self.fault)
    }
}

/// Fault schedule of one run.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Steps, sorted by time.
    pub steps: Vec<FaultStep>,
}

/// Number of concurrent faults.
const CONCURRENT_FAULTS: usize = 3;
/// Minimum time before the first fault, in milliseconds.
const MIN_FIRST_FAULT_MS: u64 = 1_000;
/// Minimum duration of a fault, and pause between two, in milliseconds.
const MIN_FAULT_MS: u64 = 300;
/// Upper bound of the random part of a fault's duration, in milliseconds.
const RANDOM_FAULT_MS: u64 = 3_000;
/// Time at the end of a run without faults.
const FAULT_FREE_END: Duration = Duration::from_secs(2);

impl FaultPlan {
    /// Draws faults for a fleet. At most one control node is down at a time,
    /// and no component has two faults at once.
    pub fn draw(seed: u64, span: Duration, fleet: &Fleet) -> FaultPlan {
        let mut random = SeededRandom::new(seed ^ 0x50AC);
        let mut steps = Vec::new();
        let end = span.saturating_sub(FAULT_FREE_END).as_millis() as u64;
        for lane in 0..CONCURRENT_FAULTS {
            let mut at = MIN_FIRST_FAULT_MS + random.below(RANDOM_FAULT_MS);
            while at + MIN_FAULT_MS < end {
                let until = (at + MIN_FAULT_MS + random.below(RANDOM_FAULT_MS)).min(end);
                let fault = FaultPlan::draw_fault(&mut random, lane, fleet);
                for (at, starts) in [(at, true), (until, false)] {
                    steps.push(FaultStep {
                        at: Duration::from_millis(at),
                        fault: fault.clone(),
                        starts,
                    });
                }
                at = until + MIN_FAULT_MS + random.below(RANDOM_FAULT_MS / 2);
            }
        }
        steps.sort_by_key(|step| (step.at, step.starts));
        FaultPlan { steps }
    }

    /// Draws a fault. Each lane has its own kinds of faults, so that no node
    /// has two at the same time.
    fn draw_fault(random: &mut SeededRandom, lane: usize, fleet: &Fleet) -> SoakFault {
        let edge = random.below(fleet.edges.len() as u64) as usize;
        let control = random.below(fleet.control.len() as u64) as usize;
        // The last origin belongs to a service that no client requests.
        let origin = random.below(fleet.origins.len() as u64 - 1) as usize;
        match lane {
            0 if random.chance(50) => SoakFault::KillEdge(edge),
            0 => SoakFault::PauseEdge(edge),
            1 if random.chance(30) => SoakFault::KillControl(control),
            1 if random.chance(40) => SoakFault::PauseControl(control),
            1 => SoakFault::Origin(
                origin,
                ["slow", "lose-answer", "unsigned", "status-500"][random.below(4) as usize],
            ),
            _ => SoakFault::Relay(
                origin,
                [
                    RelayMode::DropLink,
                    RelayMode::LoseResponses,
                    RelayMode::Reset,
                ][random.below(3) as usize],
            ),
        }
    }
}
