//! DRAIN: requests that reach an origin after it was shown as draining.
use super::super::observations::*;
use super::{JudgedRun, PlatformVerdict, record_seconds};
use std::collections::HashMap;

impl PlatformVerdict {
    pub(super) fn judge_drain(&mut self, run: &JudgedRun) {
        let shown: HashMap<&str, f64> = run
            .departures
            .iter()
            .map(|departure| (departure.origin.as_str(), departure.shown))
            .collect();
        let mut latest: HashMap<&str, f64> = HashMap::new();
        for one in &run.tries {
            for arrival in run.arrivals.get(&one.id).into_iter().flatten() {
                let Some(shown) = shown.get(arrival.origin.as_str()) else {
                    continue;
                };
                let late = arrival.at - shown;
                if late < 0.0 || !run.contact.is_in_touch(one.machine, *shown, arrival.at) {
                    continue;
                }
                let last = latest.entry(&arrival.origin).or_default();
                *last = last.max(late);
                if late > run.shape.bounds.drain_timeout + run.list_trouble_since(*shown, late) {
                    let text = format!("{late:.3} s after it was shown: {arrival:?}, {one:?}");
                    self.violate("DRAIN", text);
                }
            }
        }
        for late in latest.into_values() {
            record_seconds(&mut self.drain_ms, late);
        }
    }
}

impl JudgedRun<'_> {
    /// The drain time does not run while the list is slow or failing: until the
    /// end of the last such span.
    fn list_trouble_since(&self, shown: f64, late: f64) -> f64 {
        let span = Interval {
            from: shown,
            to: shown + late,
        };
        self.list_troubles
            .iter()
            .filter(|trouble| trouble.overlaps(span))
            .map(|trouble| trouble.to - shown)
            .fold(0.0, f64::max)
    }
}
