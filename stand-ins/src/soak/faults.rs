//! Which troubles come when: drawn from a seed, overlapping, all mended at the
//! end.
use super::RelayMode;
use crate::prelude::*;

/// One thing that goes wrong for a while.
#[derive(Debug, Clone, PartialEq)]
pub enum SoakFault {
    /// An edge is killed and started again.
    KillEdge(usize),
    /// A control node is killed and started again.
    KillControl(usize),
    /// An edge stands still.
    PauseEdge(usize),
    /// A control node stands still.
    PauseControl(usize),
    /// The relay before an origin fails in this mode.
    Relay(usize, RelayMode),
    /// An origin has this fault.
    Origin(usize, &'static str),
}

/// A trouble begins or ends.
#[derive(Debug, Clone)]
pub struct FaultStep {
    /// Since the start of the run.
    pub at: Duration,
    /// What goes wrong.
    pub fault: SoakFault,
    /// False: it ends.
    pub begins: bool,
}

impl fmt::Display for FaultStep {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let what = if self.begins { "begins" } else { "ends" };
        write!(out, "{:?} {what}", self.fault)
    }
}

/// The steps of one run, in order.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Sorted by time.
    pub steps: Vec<FaultStep>,
}

/// Troubles at a time.
const OVERLAP: usize = 3;
const FIRST_MS: u64 = 1_000;
const LEAST_MS: u64 = 300;
const MOST_MS: u64 = 3_000;
/// The end of a run is free of troubles.
const CALM_END: Duration = Duration::from_secs(2);

impl FaultPlan {
    /// Draws troubles for a fleet; at most one control node is away at a time, and
    /// nothing has two troubles at once.
    pub fn draw(seed: u64, span: Duration, fleet: &Fleet) -> FaultPlan {
        let mut random = SeededRandom::new(seed ^ 0x50AC);
        let mut steps = Vec::new();
        let end = span.saturating_sub(CALM_END).as_millis() as u64;
        for lane in 0..OVERLAP {
            let mut at = FIRST_MS + random.below(MOST_MS);
            while at + LEAST_MS < end {
                let until = (at + LEAST_MS + random.below(MOST_MS)).min(end);
                let fault = FaultPlan::fault(&mut random, lane, fleet);
                for (at, begins) in [(at, true), (until, false)] {
                    steps.push(FaultStep {
                        at: Duration::from_millis(at),
                        fault: fault.clone(),
                        begins,
                    });
                }
                at = until + LEAST_MS + random.below(MOST_MS / 2);
            }
        }
        steps.sort_by_key(|step| (step.at, step.begins));
        FaultPlan { steps }
    }

    /// Each lane has troubles of its own kind, so that they never meet at one node.
    fn fault(random: &mut SeededRandom, lane: usize, fleet: &Fleet) -> SoakFault {
        let edge = random.below(fleet.edges.len() as u64) as usize;
        let control = random.below(fleet.control.len() as u64) as usize;
        // The last one is listed for a service that nobody asks for.
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
                    RelayMode::LoseOperatorResponses,
                    RelayMode::Reset,
                ][random.below(3) as usize],
            ),
        }
    }
}
