//! Rule DRAIN: no requests to an origin once it has been listed as draining for
//! the drain timeout.
use super::super::observations::*;
use super::{PlatformVerdict, RunObservations, record_seconds};
use std::collections::HashMap;

impl PlatformVerdict {
    pub(super) fn check_drain(&mut self, run: &RunObservations) {
        let shown: HashMap<&str, f64> = run
            .departures
            .iter()
            .map(|departure| (departure.origin.as_str(), departure.shown))
            .collect();
        let mut latest: HashMap<&str, f64> = HashMap::new();
        for attempt in &run.attempts {
            for arrival in run.arrivals.get(&attempt.id).into_iter().flatten() {
                let Some(shown) = shown.get(arrival.origin.as_str()) else {
                    continue;
                };
                let delay = arrival.at - shown;
                if delay < 0.0
                    || !run
                        .contact
                        .is_in_contact(attempt.machine, *shown, arrival.at)
                {
                    continue;
                }
                let last = latest.entry(&arrival.origin).or_default();
                *last = last.max(delay);
                if delay > run.shape.bounds.drain_timeout + run.list_fault_end(*shown, delay) {
                    let text =
                        format!("{delay:.3} s after it was listed: {arrival:?}, {attempt:?}");
                    self.add_violation("DRAIN", text);
                }
            }
        }
        for delay in latest.into_values() {
            record_seconds(&mut self.drain_ms, delay);
        }
    }
}

impl RunObservations<'_> {
    /// Returns the time in seconds from `shown` to the end of the last list
    /// fault that overlaps the `delay` after it; 0 if there is none. The drain
    /// timeout does not run while the list is slow or failing.
    fn list_fault_end(&self, shown: f64, delay: f64) -> f64 {
        let span = Interval {
            from: shown,
            to: shown + delay,
        };
        self.list_faults
            .iter()
            .filter(|fault| fault.overlaps(span))
            .map(|fault| fault.to - shown)
            .fold(0.0, f64::max)
    }
}
