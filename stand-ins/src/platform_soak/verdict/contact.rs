//! Times at which machines are in contact and the control nodes are settled, as
//! the users' rules define them.
#[cfg(test)]
mod tests;

use super::super::observations::{Interval, ProcessEvent, ProcessEventKind};
use std::collections::HashMap;

/// Process events on which the rules with a time bound depend.
pub(super) struct ContactRecord {
    /// Intervals with events of a machine's processes.
    machines: HashMap<usize, Vec<Interval>>,
    /// Intervals with events of control processes.
    control_events: Vec<Interval>,
    /// Contact window, in seconds.
    contact_window: f64,
}

impl ContactRecord {
    pub(super) fn new(events: &[ProcessEvent], contact_window: f64) -> ContactRecord {
        let mut record = ContactRecord {
            machines: HashMap::new(),
            control_events: Vec::new(),
            contact_window,
        };
        let mut absent_since: HashMap<(usize, bool), f64> = HashMap::new();
        for event in events {
            let process = (event.machine, event.control);
            // A process is absent from its end to its next start, and while it
            // is suspended.
            let from = match event.kind {
                ProcessEventKind::Started | ProcessEventKind::Resumed => {
                    absent_since.remove(&process).unwrap_or(event.at)
                }
                ProcessEventKind::SettingsChanged => continue,
                _ => {
                    absent_since.entry(process).or_insert(event.at);
                    event.at
                }
            };
            record.add(event, Interval { from, to: event.at });
        }
        record
    }

    fn add(&mut self, event: &ProcessEvent, interval: Interval) {
        let own_events = self.machines.entry(event.machine).or_default();
        own_events.push(interval);
        if event.control {
            self.control_events.push(interval);
        }
    }

    /// Returns true if there was no event of a control process between one
    /// contact window before `from` and `to`.
    pub(super) fn is_settled(&self, from: f64, to: f64) -> bool {
        let span = self.with_window(from, to);
        !self.control_events.iter().any(|event| event.overlaps(span))
    }

    /// Returns true if the machine was in contact all the time.
    pub(super) fn is_in_contact(&self, machine: usize, from: f64, to: f64) -> bool {
        let span = self.with_window(from, to);
        let own_events = self.machines.get(&machine);
        let was_disturbed =
            own_events.is_some_and(|events| events.iter().any(|event| event.overlaps(span)));
        !was_disturbed && self.is_settled(from, to)
    }

    fn with_window(&self, from: f64, to: f64) -> Interval {
        Interval {
            from: from - self.contact_window,
            to,
        }
    }
}
