//! Which troubles come when: drawn from a seed, overlapping, all mended at the
//! end.
use super::RelayMode;
use crate::prelude::*;

/// One thing that goes wrong for a while.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    KillEdge(usize),
    KillControl(usize),
    PauseEdge(usize),
    PauseControl(usize),
    Relay(usize, RelayMode),
    Origin(usize, &'static str),
}

/// A trouble begins or ends.
#[derive(Debug, Clone)]
pub struct TroubleStep {
    pub at: Duration,
    pub trouble: Trouble,
    pub begins: bool,
}

impl fmt::Display for TroubleStep {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let what = if self.begins { "begins" } else { "ends" };
        write!(out, "{:?} {what}", self.trouble)
    }
}

/// The steps of one run, in order.
#[derive(Debug, Clone)]
pub struct TroublePlan {
    pub steps: Vec<TroubleStep>,
}

/// Troubles at a time.
const OVERLAP: usize = 3;
const FIRST_MS: u64 = 1_000;
const LEAST_MS: u64 = 300;
const MOST_MS: u64 = 3_000;
/// The end of a run is free of troubles.
const CALM_END: Duration = Duration::from_secs(2);

impl TroublePlan {
    /// Draws troubles for a fleet; at most one control node is away at a time, and
    /// nothing has two troubles at once.
    pub fn draw(seed: u64, span: Duration, fleet: &Fleet) -> TroublePlan {
        let mut dice = Dice::new(seed ^ 0x50AC);
        let mut steps = Vec::new();
        let end = span.saturating_sub(CALM_END).as_millis() as u64;
        for lane in 0..OVERLAP {
            let mut at = FIRST_MS + dice.roll(MOST_MS);
            while at + LEAST_MS < end {
                let until = (at + LEAST_MS + dice.roll(MOST_MS)).min(end);
                let trouble = TroublePlan::trouble(&mut dice, lane, fleet);
                for (at, begins) in [(at, true), (until, false)] {
                    steps.push(TroubleStep {
                        at: Duration::from_millis(at),
                        trouble: trouble.clone(),
                        begins,
                    });
                }
                at = until + LEAST_MS + dice.roll(MOST_MS / 2);
            }
        }
        steps.sort_by_key(|step| (step.at, step.begins));
        TroublePlan { steps }
    }

    /// Each lane has troubles of its own kind, so that they never meet at one node.
    fn trouble(dice: &mut Dice, lane: usize, fleet: &Fleet) -> Trouble {
        let edge = dice.roll(fleet.edges.len() as u64) as usize;
        let control = dice.roll(fleet.control.len() as u64) as usize;
        // The last one is listed for a service that nobody asks for.
        let origin = dice.roll(fleet.origins.len() as u64 - 1) as usize;
        match lane {
            0 if dice.chance(50) => Trouble::KillEdge(edge),
            0 => Trouble::PauseEdge(edge),
            1 if dice.chance(30) => Trouble::KillControl(control),
            1 if dice.chance(40) => Trouble::PauseControl(control),
            1 => Trouble::Origin(
                origin,
                ["slow", "lose-answer", "unsigned", "status-500"][dice.roll(4) as usize],
            ),
            _ => Trouble::Relay(
                origin,
                [RelayMode::Cut, RelayMode::LoseAnswers, RelayMode::Reset][dice.roll(3) as usize],
            ),
        }
    }
}
