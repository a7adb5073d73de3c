//! Reads and writes schedules as JSON scripts.
mod read;
#[cfg(test)]
mod tests;
mod write;

use crate::prelude::*;

/// Scenario script: a JSON array of faults with their times. `docs/simulator.md` describes
/// its fields.
pub struct Script;

impl Script {
    /// Reads a script for a fleet with this number of control nodes.
    ///
    /// # Errors
    ///
    /// Returns all errors of the script, each with its location.
    pub fn read(
        text: &str,
        deployment: &Deployment,
        control_nodes: usize,
    ) -> Result<Vec<(Duration, Fault)>, Vec<Finding>> {
        read::read(text, deployment, control_nodes)
    }

    /// Writes a schedule as a script, one fault per line; `read` returns the same schedule.
    pub fn write(schedule: &[(Duration, Fault)], deployment: &Deployment) -> String {
        write::write(schedule, deployment)
    }
}
