//! When machines are in touch and the core is settled, by the users' rules.
use super::super::observations::{Interval, ProcessEvent, ProcessEventKind};
use std::collections::HashMap;

/// What happened to processes, as the rules with a time bound look at it.
pub(super) struct ContactRecord {
    /// Spans in which a machine's own processes were not left alone.
    machines: HashMap<usize, Vec<Interval>>,
    /// The same for the processes of the core.
    core: Vec<Interval>,
    contact_window: f64,
}

impl ContactRecord {
    pub(super) fn new(events: &[ProcessEvent], contact_window: f64) -> ContactRecord {
        let mut record = ContactRecord {
            machines: HashMap::new(),
            core: Vec::new(),
            contact_window,
        };
        let mut away_since: HashMap<(usize, bool), f64> = HashMap::new();
        for event in events {
            let process = (event.machine, event.control);
            // From a process's end to its next start it is away.
            let from = match event.kind {
                ProcessEventKind::Started | ProcessEventKind::Suspended => {
                    away_since.remove(&process).unwrap_or(event.at)
                }
                _ => event.at,
            };
            if event.kind != ProcessEventKind::Started {
                away_since.entry(process).or_insert(event.at);
            }
            if event.kind == ProcessEventKind::SettingsChanged {
                away_since.remove(&process);
                continue;
            }
            record.add(event, Interval { from, to: event.at });
        }
        record
    }

    fn add(&mut self, event: &ProcessEvent, interval: Interval) {
        let own = self.machines.entry(event.machine).or_default();
        own.push(interval);
        if event.control {
            self.core.push(interval);
        }
    }

    /// Whether nothing happened to the core from the contact window before
    /// `from` until `to`.
    pub(super) fn is_settled(&self, from: f64, to: f64) -> bool {
        let span = self.with_window(from, to);
        !self.core.iter().any(|event| event.overlaps(span))
    }

    /// Whether the machine was in touch all the time.
    pub(super) fn is_in_touch(&self, machine: usize, from: f64, to: f64) -> bool {
        let span = self.with_window(from, to);
        let own = self.machines.get(&machine);
        let troubled = own.is_some_and(|events| events.iter().any(|event| event.overlaps(span)));
        !troubled && self.is_settled(from, to)
    }

    fn with_window(&self, from: f64, to: f64) -> Interval {
        Interval {
            from: from - self.contact_window,
            to,
        }
    }
}
