//! Schedules as text: a JSON array of lines, read and written.
mod read;
#[cfg(test)]
mod tests;
mod write;

use crate::prelude::*;

/// A scenario file: what happens when. Its words are those of `docs/simulator.md`.
pub struct Script;

impl Script {
    /// Reads a script for a fleet of so many control nodes.
    ///
    /// # Errors
    ///
    /// Everything wrong with the script at once, each finding with its place.
    pub fn read(
        text: &str,
        deployment: &Deployment,
        control_nodes: usize,
    ) -> Result<Vec<(Duration, Fault)>, Vec<Finding>> {
        read::read(text, deployment, control_nodes)
    }

    /// The script that reads back as this schedule, one fault a line.
    pub fn write(schedule: &[(Duration, Fault)], deployment: &Deployment) -> String {
        write::write(schedule, deployment)
    }
}
