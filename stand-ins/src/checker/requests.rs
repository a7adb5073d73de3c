//! Rules on requests: planned changes drop none, disconnected clients cost no work.
use super::*;

/// After a planned change, in seconds: requests that began in it are judged.
const PLANNED_SPAN: f64 = 10.0;
/// Around the kill of an edge, in seconds: its requests may be dropped.
const KILL_SPAN: f64 = 0.5;

/// When the planned changes, the unplanned faults and the kills happened.
struct FaultTimes<'a> {
    planned: Vec<f64>,
    unplanned: Vec<f64>,
    /// By the address of the edge.
    kills: Vec<(&'a str, f64)>,
}

impl<'a> FaultTimes<'a> {
    /// In a fault's record `good` says that it was planned.
    fn of(fleet: &'a [FleetRecord]) -> FaultTimes<'a> {
        let times = |planned: bool| {
            fleet
                .iter()
                .filter(|one| one.what == "fault" && one.good == planned)
                .map(|one| one.at)
                .collect()
        };
        let kills = fleet
            .iter()
            .filter(|one| one.what == "killed")
            .map(|one| (one.subject.as_str(), one.at))
            .collect();
        FaultTimes {
            planned: times(true),
            unplanned: times(false),
            kills,
        }
    }

    /// Whether the request's edge was killed while it was in flight.
    fn killed(&self, call: &CallerRecord) -> bool {
        self.kills.iter().any(|(edge, at)| {
            *edge == call.edge && call.start < at + KILL_SPAN && call.end > at - KILL_SPAN
        })
    }

    /// Whether nothing unplanned explains a refusal of the request.
    fn calm(&self, call: &CallerRecord) -> bool {
        // The closing after a loss outlasts the rest of it.
        let span = if call.code == "ledger_recovering" {
            CLOSED
        } else {
            CALM
        };
        !any_within(&self.unplanned, call.start - span, call.end)
    }
}

/// Whether any of the times lies from `from` to `to`, both included.
fn any_within(times: &[f64], from: f64, to: f64) -> bool {
    times.iter().any(|at| *at >= from && *at <= to)
}

impl Checker {
    /// A request that was read in full and got no answer, or a refusal that
    /// only the planned change explains. Nothing unplanned shortly before or
    /// meanwhile; a node that was killed may drop.
    pub(super) fn dropped(&self) -> Cases {
        let mut cases = Cases::default();
        let times = FaultTimes::of(&self.fleet);
        for call in &self.callers {
            if !any_within(&times.planned, call.start - PLANNED_SPAN, call.end) {
                continue;
            }
            // A connection that was refused was not read.
            let read = call.status != 0 || call.dropped;
            let refused = read
                && times.calm(call)
                && call.status != 200
                && !CLEAN.contains(&call.code.as_str());
            let bad = (call.dropped || refused) && !times.killed(call);
            cases.case((call.start, call.end), !bad, || {
                format!(
                    "{} at {} at {:.3}: {} {}",
                    call.path, call.edge, call.start, call.status, call.code
                )
            });
        }
        cases
    }

    /// Exercised by each caller that leaves early; broken by each request that is
    /// sent long after that, and by what an edge itself counts as abandoned.
    pub(super) fn abandoned_work(&self) -> Cases {
        let mut cases = Cases::default();
        let observed = self
            .fleet
            .iter()
            .filter(|one| ["abandoned-work", "caller-left"].contains(&one.what.as_str()));
        for record in observed {
            cases.case((record.at, record.at), record.good, || {
                record.subject.clone()
            });
        }
        cases
    }
}
